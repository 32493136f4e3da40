package audit

import "micaspindle/internal/protocol"

const (
	// maxBodyBytes is the maximum size of the body of a transaction.
	maxBodyBytes = 48 << 10
	// batchChanges is the maximum number of changes that the log adds to a transaction: the
	// batch, the chain's head and the signer's certificate.
	batchChanges = 3
	// conditionsPerChange is the ratio of the maximum number of conditions of a transaction to
	// its maximum number of changes.
	conditionsPerChange = 4
	// batchOverhead is the size of a batch without its lines, in bytes.
	batchOverhead = 300

	// The maximum sizes of a change, a condition and a line without their texts, in bytes.
	changeOverhead    = 80
	conditionOverhead = 60
	lineOverhead      = 8
	// escapeOverhead is the number of bytes by which a character grows if JSON escapes it as
	// \uXXXX.
	escapeOverhead = 5
)

// capacity is the remaining capacity of a transaction.
type capacity struct {
	changes, conditions int
	// body is the remaining size of the transaction's body, lines that of the batch's lines, in
	// bytes.
	body, lines int
	// keys are the keys that the transaction changes.
	keys map[string]bool
}

func (l *Log) newCapacity() *capacity {
	return &capacity{
		changes:    l.store.TxnOps() - batchChanges,
		conditions: conditionsPerChange*l.store.TxnOps() - 1, // the batch has one condition
		body:       maxBodyBytes,
		lines:      l.store.ValueBytes() - batchOverhead,
		keys:       map[string]bool{},
	}
}

// fits reports whether a change fits in the transaction. A transaction changes a key once at
// most, so a second change of the same key does not fit.
func (c *capacity) fits(change *pendingChange) bool {
	for _, part := range change.txn.Then {
		if c.keys[part.Put+part.Delete] {
			return false
		}
	}
	return len(change.txn.Then) <= c.changes && len(change.txn.If) <= c.conditions && change.size <= c.body && lineSize(change.line) <= c.lines
}

// use subtracts the size of a change.
func (c *capacity) use(change *pendingChange) {
	c.changes -= len(change.txn.Then)
	c.conditions -= len(change.txn.If)
	c.body -= change.size
	c.lines -= lineSize(change.line)
	for _, part := range change.txn.Then {
		c.keys[part.Put+part.Delete] = true
	}
}

// changeSize returns an upper bound of the number of bytes that a change and the line of its record
// take in the body of a transaction.
func changeSize(txn *protocol.Transaction, line string) int {
	size := lineSize(line)
	for _, change := range txn.Then {
		size += len(change.Put) + len(change.Delete) + changeOverhead
		if len(change.Value) > 0 {
			size += protocol.JSONSize(change.Value)
		}
	}
	for _, condition := range txn.If {
		size += len(condition.Key) + conditionOverhead
	}
	return size
}

// lineSize returns an upper bound of the size of a line in a value that is encoded as JSON,
// where the line's quotes are escaped again.
func lineSize(line string) int {
	size := len(line) + lineOverhead
	for i := range len(line) {
		switch c := line[i]; {
		case c == '"' || c == '\\':
			size++
		case c == ':' || c == ',' || c >= 0x80 || c == '<' || c == '>' || c == '&':
			size += escapeOverhead
		}
	}
	return size
}
