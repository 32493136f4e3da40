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

// Store is what the log needs of the state service's client.
type Store interface {
	// UserCommit commits a transaction that a user waits for.
	UserCommit(ctx context.Context, txn *protocol.Transaction) (uint64, error)
	Get(ctx context.Context, key string) (*protocol.Item, error)
	Page(ctx context.Context, prefix, after string, size int) (*protocol.ItemList, error)
	// BudgetIn is how long it takes until there is budget for n changes of a user.
	BudgetIn(n int) time.Duration
	// TxnOps is how many changes a transaction may have, ValueBytes how large a value may be.
	TxnOps() int
	ValueBytes() int
}

const (
	// GatherInterval is for how long denials and reads are gathered at the most before
	// they are written; a crash loses no more than these.
	GatherInterval = 5 * time.Second
	// patience is how long a change may wait for its turn before it is refused.
	patience = 400 * time.Millisecond
	// maxLinger is for how long of that a change may wait for others.
	maxLinger = patience * 3 / 4
	// scarceLinger is how long a change waits for others where the budget does not
	// allow for a full transaction.
	scarceLinger = 150 * time.Millisecond
	// lingerStep is how often the budget is looked at while changes wait for it.
	lingerStep = 10 * time.Millisecond
	// pause is how often what was gathered is looked at, and the wait before a retry.
	pause = 250 * time.Millisecond
	// finalTimeout is how long writing the rest may take when the log stops.
	finalTimeout = time.Second
	// queueSize is how many changes may wait.
	queueSize = 256
)

// errBehind refuses a change because those before it took too long. It wraps
// storage.ErrBudget, so that the user is answered 429.
var errBehind = fmt.Errorf("%w: audit log is over its budget", storage.ErrBudget)

// Log writes one controller's chain. Changes from several users at a time go in
// one transaction together with the batch that records them, so that the audit
// costs one change for all of them and no transaction of its own. One such
// transaction is under way at a time; the number of its batch must not exist
// yet, so that a late one and its retry exclude each other.
type Log struct {
	store   Store
	chain   string
	signer  func() Signer
	log     *slog.Logger
	queue   chan *pendingChange
	tally   tally
	stopped chan struct{}

	// Owned by Run.

	opened bool
	// next is the number of the next batch, prev the hash of the last one.
	next uint64
	prev string
	// deferred is a change that did not fit the last transaction.
	deferred *pendingChange
	// published are the signers whose certificates are stored.
	published map[string]bool
	// unwritten are gathered records that are not written yet.
	unwritten []Record
	// uncertain are the batches that were sent under the next number without an
	// answer: any of them may still be committed, and one at the most.
	uncertain []uncertainBatch
}

// uncertainBatch identifies a batch that may be committed late, and how many records from the
// front of the unwritten ones it holds.
type uncertainBatch struct {
	signature string
	gathered  int
}

// pendingChange is a change that waits for its record.
type pendingChange struct {
	txn  *protocol.Transaction
	line string
	// state is a changeState: a caller may abandon the change until the writer has taken it.
	state  atomic.Int32
	result chan result
	since  time.Time
	// size is what it takes of a transaction's body.
	size int
}

// States of a pendingChange.
const (
	stateWaiting int32 = iota
	stateTaken
	stateAbandoned
)

// result is what became of a change.
type result struct {
	revision uint64
	err      error
}

// NewLog returns the log of a chain; Run must be started.
func NewLog(store Store, chain string, signer func() Signer, log *slog.Logger) *Log {
	return &Log{store: store, chain: chain, signer: signer, log: log, queue: make(chan *pendingChange, queueSize),
		stopped: make(chan struct{}), published: map[string]bool{}}
}

// Commit commits a change together with its record: neither is there without
// the other. Errors are those of the store's UserCommit.
func (l *Log) Commit(ctx context.Context, txn *protocol.Transaction, record Record) (uint64, error) {
	change := newPendingChange(txn, record.line())
	select {
	case l.queue <- change:
	default:
		return 0, errBehind
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case result := <-change.result:
		return result.revision, result.err
	case <-timer.C:
		if change.abandon() {
			return 0, errBehind
		}
	case <-ctx.Done():
		if change.abandon() {
			return 0, fmt.Errorf("%w: %w", storage.ErrRefused, ctx.Err())
		}
	case <-l.stopped:
	}
	return l.awaitTaken(ctx, change)
}

// awaitTaken waits for the result of a change that the writer may have taken.
func (l *Log) awaitTaken(ctx context.Context, change *pendingChange) (uint64, error) {
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
		return 0, fmt.Errorf("%w: stopping", storage.ErrUnknown)
	}
}

func newPendingChange(txn *protocol.Transaction, line string) *pendingChange {
	return &pendingChange{txn: txn, line: line, result: make(chan result, 1), since: time.Now(), size: changeSize(txn, line)}
}

// abandon reports whether the caller could abandon the change: the writer won't take it.
func (c *pendingChange) abandon() bool {
	return c.state.CompareAndSwap(stateWaiting, stateAbandoned)
}

// take reports whether the writer could take the change: its caller waits for the result.
func (c *pendingChange) take() bool { return c.state.CompareAndSwap(stateWaiting, stateTaken) }

// finish tells the callers of changes what became of them.
func finish(changes []*pendingChange, r result) {
	for _, change := range changes {
		change.result <- r
	}
}

// Note gathers a record that needs no transaction of its own.
func (l *Log) Note(record Record) { l.tally.add(record) }

// Run writes until ctx ends; what was gathered by then is written before it
// returns, if the state service takes it within finalTimeout.
func (l *Log) Run(ctx context.Context) {
	defer close(l.stopped)
	tick := ticker.New(pause)
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
			l.writeGathered(ctx)
		case <-ctx.Done():
			l.writeRest(ctx)
			return
		}
	}
}

// writeChanges writes a change together with others that come meanwhile.
func (l *Log) writeChanges(ctx context.Context, first *pendingChange) {
	l.linger(ctx, first)
	l.write(ctx, l.collect(first))
}

// writeGathered writes what was gathered, if it is due. The tally is drained only once the
// last lot is written, so that a flood can't make more lines than the gathering allows.
func (l *Log) writeGathered(ctx context.Context) {
	if len(l.unwritten) == 0 && l.tally.oldest(time.Now()) >= GatherInterval-4*pause {
		l.unwritten = l.tally.drain()
	}
	if len(l.unwritten) > 0 {
		l.write(ctx, nil)
	}
}

// writeRest writes all that was gathered, after ctx has ended.
func (l *Log) writeRest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
	defer cancel()
	l.unwritten = append(l.unwritten, l.tally.drain()...)
	for l.opened && len(l.unwritten) > 0 && ctx.Err() == nil {
		l.write(ctx, nil)
	}
}

// linger waits while the state service's budget does not allow for what waits
// here, but not beyond the first one's patience: a change that waits for budget
// in any case can share its batch with those that come meanwhile.
func (l *Log) linger(ctx context.Context, first *pendingChange) {
	full := l.store.TxnOps() - 2
	for ctx.Err() == nil && time.Since(first.since) < maxLinger {
		// The first, those in the queue, and the batch.
		waiting := min(1+len(l.queue), full-1) + 1
		if l.store.BudgetIn(full) <= 0 || time.Since(first.since) > scarceLinger && l.store.BudgetIn(waiting) <= 0 {
			return
		}
		l.sleep(ctx, lingerStep)
	}
}

// collect takes as many waiting changes as fit one transaction with the first.
func (l *Log) collect(first *pendingChange) []*pendingChange {
	capacity := l.newCapacity()
	var taken []*pendingChange
	for change := first; change != nil; change = l.poll() {
		if change != first && !capacity.fits(change) {
			l.deferred = change
			break
		}
		// The first goes even if it seems too large: the service decides.
		if change.take() {
			capacity.use(change)
			taken = append(taken, change)
		}
	}
	return taken
}

// poll returns a change from the queue, nil if there is none.
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
