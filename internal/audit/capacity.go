package audit

import "micaspindle/internal/protocol"

const (
	// maxBody bounds the body of a transaction, in bytes.
	maxBody = 48 << 10
	// batchChanges is what the audit adds to a transaction: the batch itself, its chain's
	// head and its signer's certificate.
	batchChanges = 3
	// conditionsPerChange is how many conditions a transaction may have for each change that
	// it may have.
	conditionsPerChange = 4
	// batchOverhead is the size of a batch without its lines.
	batchOverhead = 300

	// What a change, a condition and a line take at the most besides their texts.
	changeOverhead    = 80
	conditionOverhead = 60
	lineOverhead      = 8
	// escapeOverhead is what a character takes more if JSON escapes it as \uXXXX.
	escapeOverhead = 5
)

// capacity is what is left of a transaction.
type capacity struct {
	changes, conditions int
	// body and lines are in bytes, of the transaction and of the batch.
	body, lines int
	keys        map[string]bool
}

func (l *Log) newCapacity() *capacity {
	return &capacity{
		changes:    l.store.TxnOps() - batchChanges,
		conditions: conditionsPerChange*l.store.TxnOps() - 1, // the batch has one
		body:       maxBody,
		lines:      l.store.ValueBytes() - batchOverhead,
		keys:       map[string]bool{},
	}
}

// fits reports whether a change fits. Two changes of the same key go one after the other.
func (c *capacity) fits(change *pendingChange) bool {
	for _, part := range change.txn.Then {
		if c.keys[part.Put+part.Delete] {
			return false
		}
	}
	return len(change.txn.Then) <= c.changes && len(change.txn.If) <= c.conditions && change.size <= c.body && lineSize(change.line) <= c.lines
}

// use subtracts what a change takes.
func (c *capacity) use(change *pendingChange) {
	c.changes -= len(change.txn.Then)
	c.conditions -= len(change.txn.If)
	c.body -= change.size
	c.lines -= lineSize(change.line)
	for _, part := range change.txn.Then {
		c.keys[part.Put+part.Delete] = true
	}
}

// changeSize bounds what a change with its line takes of a transaction's body.
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

// lineSize bounds what a line takes inside a value, counted as JSON: its quotes
// are escaped once more.
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
