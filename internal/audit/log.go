package audit

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/ticker"
)

// Store is the part of the state store's client that the log uses.
type Store interface {
	// UserCommit commits a transaction for a user who is waiting for the result.
	UserCommit(ctx context.Context, txn *protocol.Transaction) (uint64, error)
	Get(ctx context.Context, key string) (*protocol.Item, error)
	Page(ctx context.Context, prefix, after string, size int) (*protocol.ItemList, error)
	// WriteBudgetDelay returns the time until the write budget allows n changes for users.
	WriteBudgetDelay(n int) time.Duration
	// TxnOps returns the maximum number of changes of a transaction, ValueBytes the maximum
	// size of a value.
	TxnOps() int
	ValueBytes() int
}

const (
	// AggregationInterval is the maximum time for which denials and reads are aggregated in memory
	// before they are written. A crash loses at most the records of this interval.
	AggregationInterval = 5 * time.Second
	// queueTimeout is the maximum time for which a change waits in the queue before it is refused.
	queueTimeout = 400 * time.Millisecond
	// maxLinger is the part of queueTimeout for which a change may wait for others to share its
	// transaction.
	maxLinger = queueTimeout * 3 / 4
	// scarceLinger is the time for which a change waits for others if the write budget does not
	// allow a full transaction.
	scarceLinger = 150 * time.Millisecond
	// lingerStep is the interval at which the write budget is checked while changes wait.
	lingerStep = 10 * time.Millisecond
	// pollInterval is the interval at which aggregated records are checked, and the delay before
	// a retry.
	pollInterval = 250 * time.Millisecond
	// shutdownTimeout bounds the time for writing the remaining records when the log stops.
	shutdownTimeout = time.Second
	// queueSize is the maximum number of changes in the queue.
	queueSize = 256
)

// errOverloaded refuses a change because the queue is full or the change has waited too long
// in it. It wraps storage.ErrBudget, so that the user gets status 429.
var errOverloaded = fmt.Errorf("%w: audit log is overloaded", storage.ErrBudget)

// Log writes one controller's chain. Concurrent changes are grouped in one transaction with the
// batch that records them, so that the log adds one change per group and no transaction of
// its own. Only one such transaction is in progress at a time. Its condition is that no batch
// with this number exists, so that a delayed transaction and its retry can't both be committed.
type Log struct {
	store      Store
	chain      string
	signer     func() Signer
	log        *slog.Logger
	queue      chan *pendingChange
	aggregator aggregator
	stopped    chan struct{}

	// The fields below are used by Run only.

	opened bool
	// next is the number of the next batch, prev the hash of the last one.
	next uint64
	prev string
	// deferred is a change that did not fit in the last transaction.
	deferred *pendingChange
	// published are the IDs of the signers whose certificates are stored.
	published map[string]bool
	// unwritten are aggregated records that are not written yet.
	unwritten []Record
	// uncertain are the batches with the next number that were sent without getting an answer.
	// At most one of them can still be committed.
	uncertain []uncertainBatch
}

// uncertainBatch identifies a batch that may still be committed.
type uncertainBatch struct {
	signature string
	// aggregated is the number of unwritten records, counted from the first, that the batch
	// contains.
	aggregated int
}

// pendingChange is a change that waits to be committed with its record.
type pendingChange struct {
	txn  *protocol.Transaction
	line string
	// state is one of the states below. The caller may abandon the change until the writer has
	// taken it.
	state    atomic.Int32
	result   chan result
	queuedAt time.Time
	// size is an upper bound of the change's size in the body of a transaction.
	size int
}

// The states of a pendingChange.
const (
	stateWaiting int32 = iota
	stateTaken
	stateAbandoned
)

// result is the revision of the transaction that committed a change, or the error.
type result struct {
	revision uint64
	err      error
}

// NewLog returns the log of a chain. The caller must start Run.
func NewLog(store Store, chain string, signer func() Signer, log *slog.Logger) *Log {
	return &Log{store: store, chain: chain, signer: signer, log: log, queue: make(chan *pendingChange, queueSize),
		stopped: make(chan struct{}), published: map[string]bool{}}
}

// Commit commits a change together with its record: either both are stored or neither.
// Errors are those of the store's UserCommit.
func (l *Log) Commit(ctx context.Context, txn *protocol.Transaction, record Record) (uint64, error) {
	change := newPendingChange(txn, record.line())
	select {
	case l.queue <- change:
	default:
		return 0, errOverloaded
	}
	timer := time.NewTimer(queueTimeout)
	defer timer.Stop()
	select {
	case result := <-change.result:
		return result.revision, result.err
	case <-timer.C:
		if change.abandon() {
			return 0, errOverloaded
		}
	case <-ctx.Done():
		if change.abandon() {
			return 0, fmt.Errorf("%w: %w", storage.ErrRefused, ctx.Err())
		}
	case <-l.stopped:
	}
	return l.awaitResult(ctx, change)
}

// awaitResult waits for the result of a change that the writer may have taken.
func (l *Log) awaitResult(ctx context.Context, change *pendingChange) (uint64, error) {
	select {
	case result := <-change.result:
		return result.revision, result.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", storage.ErrUnknown, ctx.Err())
	case <-l.stopped:
	}
	select {
	case result := <-change.result:
		return result.revision, result.err
	default:
		return 0, fmt.Errorf("%w: audit log is stopping", storage.ErrUnknown)
	}
}

func newPendingChange(txn *protocol.Transaction, line string) *pendingChange {
	return &pendingChange{txn: txn, line: line, result: make(chan result, 1), queuedAt: time.Now(), size: changeSize(txn, line)}
}

// abandon abandons the change unless the writer has taken it, and reports whether it did.
func (c *pendingChange) abandon() bool {
	return c.state.CompareAndSwap(stateWaiting, stateAbandoned)
}

// take takes the change for writing unless its caller has abandoned it, and reports whether it
// did.
func (c *pendingChange) take() bool { return c.state.CompareAndSwap(stateWaiting, stateTaken) }

// finish sends a result to the callers of changes.
func finish(changes []*pendingChange, r result) {
	for _, change := range changes {
		change.result <- r
	}
}

// Aggregate aggregates a record, which Run writes later.
func (l *Log) Aggregate(record Record) { l.aggregator.add(record) }

// Run writes changes and aggregated records until ctx ends. Before it returns, it tries for
// shutdownTimeout to write the remaining aggregated records.
func (l *Log) Run(ctx context.Context) {
	defer close(l.stopped)
	tick := ticker.New(pollInterval)
	defer tick.Stop()
	for {
		if first := l.deferred; first != nil {
			l.deferred = nil
			l.writeChanges(ctx, first)
			continue
		}
		select {
		case first := <-l.queue:
			l.writeChanges(ctx, first)
		case <-tick.C:
			l.writeAggregated(ctx)
		case <-ctx.Done():
			l.flush(ctx)
			return
		}
	}
}

// writeChanges writes a change together with others that arrive while it waits for the budget.
func (l *Log) writeChanges(ctx context.Context, first *pendingChange) {
	l.linger(ctx, first)
	l.write(ctx, l.collect(first))
}

// writeAggregated writes the aggregated records when they are due. It drains the aggregator only
// after the previously drained records are written, so that the number of lines stays bounded
// under a flood of requests.
func (l *Log) writeAggregated(ctx context.Context) {
	if len(l.unwritten) == 0 && l.aggregator.age(time.Now()) >= AggregationInterval-4*pollInterval {
		l.unwritten = l.aggregator.drain()
	}
	if len(l.unwritten) > 0 {
		l.write(ctx, nil)
	}
}

// flush writes all aggregated records after ctx has ended.
func (l *Log) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	l.unwritten = append(l.unwritten, l.aggregator.drain()...)
	for l.opened && len(l.unwritten) > 0 && ctx.Err() == nil {
		l.write(ctx, nil)
	}
}

// linger waits for the write budget, for maxLinger at most since the first change was queued.
// A change that has to wait for budget anyway can then share its batch with changes that
// arrive in the meantime.
func (l *Log) linger(ctx context.Context, first *pendingChange) {
	full := l.store.TxnOps() - 2
	for ctx.Err() == nil && time.Since(first.queuedAt) < maxLinger {
		// One change for the first, one for each in the queue, and one for the batch.
		waiting := min(1+len(l.queue), full-1) + 1
		if l.store.WriteBudgetDelay(full) <= 0 || time.Since(first.queuedAt) > scarceLinger && l.store.WriteBudgetDelay(waiting) <= 0 {
			return
		}
		l.sleep(ctx, lingerStep)
	}
}

// collect takes the first change and as many queued changes as fit in the same transaction.
func (l *Log) collect(first *pendingChange) []*pendingChange {
	capacity := l.newCapacity()
	var taken []*pendingChange
	for change := first; change != nil; change = l.poll() {
		if change != first && !capacity.fits(change) {
			l.deferred = change
			break
		}
		// The first change is sent even if it seems too large: the state store decides.
		if change.take() {
			capacity.use(change)
			taken = append(taken, change)
		}
	}
	return taken
}

// poll returns the next change from the queue, or nil if there is none.
func (l *Log) poll() *pendingChange {
	select {
	case change := <-l.queue:
		return change
	default:
		return nil
	}
}

func (l *Log) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
