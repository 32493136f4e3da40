package audit

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/ticker"
)

// Store is what the log needs of the state service's client.
type Store interface {
	UserCommit(ctx context.Context, txn *protocol.Transaction) (uint64, error)
	Get(ctx context.Context, key string) (*protocol.Item, error)
	Page(ctx context.Context, prefix, after string, size int) (*protocol.ItemList, error)
	// BudgetIn is how long it takes until a user's n changes find budget.
	BudgetIn(n int) time.Duration
	TxnOps() int
	ValueBytes() int
}

const (
	// GatherInterval is how long refusals and looks are gathered at the most before
	// they are written; a kill loses no more than these.
	GatherInterval = 5 * time.Second
	// patience is how long a change may wait for its turn before it is refused.
	patience = 400 * time.Millisecond
	// headEvery is after how many batches the chain's head is written anew.
	headEvery = 32
	queued    = 256
	bodyBytes = 48 << 10
	pause     = 250 * time.Millisecond
	// lingerStep is how often the budget is looked at while changes wait for it.
	lingerStep = 10 * time.Millisecond
	// scarce is how long a change waits for others where the budget does not
	// allow for a full transaction.
	scarce = 150 * time.Millisecond
	// settling is how long an unanswered batch is looked for.
	settling = time.Second
)

// errBehind refuses a change because those before it took too long. Its words
// tell the user's door to answer 429.
var errBehind = fmt.Errorf("%w: audit log is over its budget", storage.ErrRefused)

// Log writes one controller's chain. Changes from several users at a time go in
// one transaction together with the batch that records them, so that the audit
// costs one change for all of them and no transaction of its own. One such
// transaction is under way at a time; the number of its batch must not exist
// yet, so that a late one and its repetition exclude each other.
type Log struct {
	store   Store
	chain   string
	signer  func() Signer
	log     *slog.Logger
	items   chan *item
	tally   tally
	stopped chan struct{}

	// Owned by Run.
	opened    bool
	next      uint64
	prev      string
	spare     *item
	published map[string]bool // signers whose certificate is on record
	left      []Record        // gathered, not written yet
	// unsure are the batches that were sent under the next number without an
	// answer: any of them may still come, and one at the most.
	unsure []unsureBatch
}

// unsureBatch tells a batch that comes late, and how many records from the
// front of what is left it holds.
type unsureBatch struct {
	sig      string
	gathered int
}

// item is one change that waits for its record.
type item struct {
	txn  *protocol.Transaction
	line string
	// state says whose the change is: a caller may give it up until the writer
	// has taken it.
	state  atomic.Int32
	result chan result
	since  time.Time
	size   int // what it takes of a transaction's body
}

const (
	waiting int32 = iota
	taken
	givenUp
)

type result struct {
	revision uint64
	err      error
}

// NewLog makes the log of a chain; Run must be started.
func NewLog(store Store, chain string, signer func() Signer, log *slog.Logger) *Log {
	return &Log{store: store, chain: chain, signer: signer, log: log, items: make(chan *item, queued), stopped: make(chan struct{}),
		published: map[string]bool{}}
}

// Commit commits a change together with its record: neither is there without
// the other. Errors are those of the store's UserCommit.
func (l *Log) Commit(ctx context.Context, txn *protocol.Transaction, r Record) (uint64, error) {
	it := &item{txn: txn, line: r.line(), since: time.Now(), result: make(chan result, 1)}
	it.size = it.bodySize()
	select {
	case l.items <- it:
	default:
		return 0, errBehind
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case res := <-it.result:
		return res.revision, res.err
	case <-timer.C:
		if it.state.CompareAndSwap(waiting, givenUp) {
			return 0, errBehind
		}
	case <-ctx.Done():
		if it.state.CompareAndSwap(waiting, givenUp) {
			return 0, fmt.Errorf("%w: %w", storage.ErrRefused, ctx.Err())
		}
	case <-l.stopped:
	}
	select {
	case res := <-it.result:
		return res.revision, res.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", storage.ErrUnknown, ctx.Err())
	case <-l.stopped:
		select {
		case res := <-it.result:
			return res.revision, res.err
		default:
			return 0, fmt.Errorf("%w: stopping", storage.ErrUnknown)
		}
	}
}

// Note gathers a record that needs no transaction of its own.
func (l *Log) Note(r Record) { l.tally.add(r) }

// Run writes until ctx ends; what was gathered by then is written before it
// returns, if the state service takes it within a second.
func (l *Log) Run(ctx context.Context) {
	defer close(l.stopped)
	tick := ticker.New(pause)
	defer tick.Stop()
	for {
		if first := l.spare; first != nil {
			l.spare = nil
			l.linger(ctx, first)
			l.write(ctx, l.collect(first))
			continue
		}
		select {
		case first := <-l.items:
			l.linger(ctx, first)
			l.write(ctx, l.collect(first))
		case <-tick.C:
			// What was gathered is taken out once the last lot is written, so that
			// a flood can't make more lines than the gathering allows.
			if len(l.left) == 0 && l.tally.oldest(time.Now()) >= GatherInterval-4*pause {
				l.left = l.tally.drain()
			}
			if len(l.left) > 0 {
				l.write(ctx, nil)
			}
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			l.left = append(l.left, l.tally.drain()...)
			for l.opened && len(l.left) > 0 && last.Err() == nil {
				l.write(last, nil)
			}
			return
		}
	}
}

// linger waits while the state service's budget does not allow for what waits
// here, but not beyond the first one's patience: a change that waits for budget
// in any case can share its batch with those that come meanwhile.
func (l *Log) linger(ctx context.Context, first *item) {
	full := l.store.TxnOps() - 2
	for ctx.Err() == nil && time.Since(first.since) < patience*3/4 {
		n := min(1+len(l.items), full-1) + 1
		if l.store.BudgetIn(full) <= 0 || time.Since(first.since) > scarce && l.store.BudgetIn(n) <= 0 {
			return
		}
		select {
		case <-time.After(lingerStep):
		case <-ctx.Done():
		}
	}
}

// collect takes as many waiting changes as fit one transaction with the first.
func (l *Log) collect(first *item) []*item {
	room := l.newRoom()
	var batch []*item
	for it := first; it != nil; {
		switch {
		case it != first && !room.fits(it):
			l.spare = it
			return batch
		case !it.state.CompareAndSwap(waiting, taken):
			// Its caller has gone.
		default:
			// The first goes even if it seems too large: the service decides.
			room.take(it)
			batch = append(batch, it)
		}
		it = nil
		select {
		case it = <-l.items:
		default:
		}
	}
	return batch
}

// room is what is left of a transaction.
type room struct {
	ops, conds, body, lines int
	keys                    map[string]bool
}

const lineOverhead = 300 // the batch without its lines

func (l *Log) newRoom() *room {
	// The batch itself, its head and its signer's certificate.
	return &room{ops: l.store.TxnOps() - 3, conds: 4*l.store.TxnOps() - 1, body: bodyBytes, lines: l.store.ValueBytes() - lineOverhead, keys: map[string]bool{}}
}

// fits says whether a change fits.
func (r *room) fits(it *item) bool {
	for _, c := range it.txn.Then {
		if r.keys[c.Put+c.Delete] {
			return false // two users at the same key: one after the other
		}
	}
	return len(it.txn.Then) <= r.ops && len(it.txn.If) <= r.conds && it.size <= r.body && lineSize(it.line) <= r.lines
}

// take takes up a change's room.
func (r *room) take(it *item) {
	r.ops, r.conds, r.body, r.lines = r.ops-len(it.txn.Then), r.conds-len(it.txn.If), r.body-it.size, r.lines-lineSize(it.line)
	for _, c := range it.txn.Then {
		r.keys[c.Put+c.Delete] = true
	}
}

// bodySize bounds what a change takes of a transaction's body.
func (it *item) bodySize() int {
	body := lineSize(it.line)
	for _, c := range it.txn.Then {
		body += len(c.Put) + len(c.Delete) + 80
		if len(c.Value) > 0 {
			body += protocol.JSONSize(c.Value)
		}
	}
	for _, c := range it.txn.If {
		body += len(c.Key) + 60
	}
	return body
}

// lineSize bounds what a line takes inside a value, counted as JSON: its quotes
// are escaped once more.
func lineSize(line string) int {
	size := len(line) + 8
	for i := range len(line) {
		if c := line[i]; c == '"' || c == '\\' {
			size++
		} else if c == ':' || c == ',' || c >= 0x80 || c == '<' || c == '>' || c == '&' {
			size += 5
		}
	}
	return size
}

// write commits changes with their batch, or only what was gathered.
func (l *Log) write(ctx context.Context, items []*item) {
	fail := func(err error) {
		for _, it := range items {
			it.result <- result{err: err}
		}
		items = nil
	}
	if !l.opened {
		if err := l.open(ctx); err != nil {
			l.log.Debug("audit chain can't be read yet", "reason", err)
			fail(fmt.Errorf("%w: audit chain can't be read", storage.ErrRefused))
			l.sleep(ctx)
			return
		}
	}
	for tries := 0; tries < 6; tries++ {
		batch, gathered, txn, err := l.assemble(items)
		if err != nil {
			l.log.Error("audit batch not made", "reason", err)
			fail(fmt.Errorf("%w: audit batch not made", storage.ErrRefused))
			return
		}
		if len(batch.Lines) == 0 {
			return
		}
		revision, err := l.store.UserCommit(ctx, txn)
		var conflict *storage.Conflict
		if errors.Is(err, storage.ErrUnknown) {
			revision, err = l.settle(ctx, batch, err)
		}
		switch {
		case err == nil:
			l.advance(batch)
			l.published[batch.Signer] = l.published[batch.Signer] || slices.ContainsFunc(txn.Then, func(c protocol.Change) bool { return c.Put == signerKey(batch.Signer) })
			for _, it := range items {
				it.result <- result{revision: revision}
			}
			return
		case errors.As(err, &conflict):
			l.putBack(gathered)
			if items, err = l.sortOut(ctx, items, conflict); err != nil {
				fail(err)
				return
			}
			if len(items) == 0 {
				return // what was gathered waits for the next batch
			}
		case errors.Is(err, storage.ErrTooLarge):
			l.putBack(gathered)
			if len(items) > 1 {
				for _, it := range items {
					l.write(ctx, []*item{it})
				}
				return
			}
			fail(err)
			return
		default:
			l.putBack(gathered)
			if errors.Is(err, storage.ErrUnknown) {
				l.unsure = append(l.unsure, unsureBatch{batch.Sig, len(gathered)})
			}
			fail(err)
			l.sleep(ctx)
			return
		}
	}
	fail(fmt.Errorf("%w: audit chain moves on", storage.ErrRefused))
}

func (l *Log) sleep(ctx context.Context) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// assemble makes the next batch and its transaction. What was gathered rides
// along as far as there is room.
func (l *Log) assemble(items []*item) (*Batch, []Record, *protocol.Transaction, error) {
	signer := l.signer()
	batch := &Batch{Prev: l.prev, Signer: signer.ID}
	txn := &protocol.Transaction{If: []protocol.Condition{{Key: BatchKey(l.chain, l.next)}}}
	space := l.store.ValueBytes() - lineOverhead
	for _, it := range items {
		txn.If = append(txn.If, it.txn.If...)
		txn.Then = append(txn.Then, it.txn.Then...)
		batch.Lines = append(batch.Lines, it.line)
		space -= lineSize(it.line)
	}
	var gathered []Record
	for len(l.left) > 0 {
		line := l.left[0].line()
		if space -= lineSize(line); space < 0 && len(batch.Lines) > 0 {
			break
		}
		batch.Lines = append(batch.Lines, line)
		gathered = append(gathered, l.left[0])
		l.left = l.left[1:]
	}
	if err := batch.seal(l.chain, l.next, signer); err != nil {
		l.putBack(gathered)
		return nil, nil, nil, err
	}
	txn.Then = append(txn.Then, protocol.Change{Put: BatchKey(l.chain, l.next), Value: storage.Encode(batch)})
	// The head needs no condition of its own: whoever writes it holds the
	// number of the batch, and batches come in order.
	if l.next%headEvery == 1 && len(txn.Then) < l.store.TxnOps() {
		end := head{Number: l.next, Hash: batch.Hash(l.chain, l.next)}
		txn.Then = append(txn.Then, protocol.Change{Put: headKey(l.chain), Value: storage.Encode(end)})
	}
	if !l.published[signer.ID] && len(txn.Then) < l.store.TxnOps() {
		txn.Then = append(txn.Then, protocol.Change{Put: signerKey(signer.ID),
			Value: storage.Encode(signerRecord{base64.StdEncoding.EncodeToString(signer.Cert.Raw)})})
	}
	return batch, gathered, txn, nil
}

// signerRecord keeps a signer's certificate beside what it has signed.
type signerRecord struct {
	Cert string `msgpack:"c"`
}

func (l *Log) putBack(gathered []Record) { l.left = append(gathered, l.left...) }

func (l *Log) advance(b *Batch) {
	l.prev = b.Hash(l.chain, l.next)
	l.next++
	l.unsure = nil
}

// settle finds out what became of a batch whose transaction got no answer. If
// it is not there it may still come; then its number is tried again, and only
// one of the two can be.
func (l *Log) settle(ctx context.Context, batch *Batch, unknown error) (uint64, error) {
	begun := time.Now()
	for time.Since(begun) < settling {
		item, err := l.store.Get(ctx, BatchKey(l.chain, l.next))
		switch {
		case err == nil:
			var there Batch
			if storage.Decode(item.Value, &there) == nil && there.Sig == batch.Sig && there.Prev == batch.Prev && slices.Equal(there.Lines, batch.Lines) {
				return item.Version, nil
			}
			return 0, &storage.Conflict{Failed: []string{BatchKey(l.chain, l.next)}}
		case errors.Is(err, storage.ErrNotFound), ctx.Err() != nil:
			return 0, unknown
		}
		l.sleep(ctx)
	}
	return 0, unknown
}

// sortOut answers the changes whose own conditions failed and returns the rest,
// to be tried again. If the batch's number is taken, the chain is followed.
func (l *Log) sortOut(ctx context.Context, items []*item, conflict *storage.Conflict) ([]*item, error) {
	failed := map[string]bool{}
	for _, key := range conflict.Failed {
		failed[key] = true
	}
	var rest []*item
	for _, it := range items {
		var own []string
		for _, c := range it.txn.If {
			if failed[c.Key] {
				own = append(own, c.Key)
			}
		}
		if len(own) > 0 {
			it.result <- result{err: &storage.Conflict{Failed: own}}
		} else {
			rest = append(rest, it)
		}
	}
	if failed[BatchKey(l.chain, l.next)] || len(rest) == len(items) {
		if err := l.follow(ctx); err != nil {
			return rest, fmt.Errorf("%w: audit chain can't be read", storage.ErrRefused)
		}
	}
	return rest, nil
}

// open finds the chain's end.
func (l *Log) open(ctx context.Context) error {
	var raw []byte
	item, err := l.store.Get(ctx, headKey(l.chain))
	switch {
	case err == nil:
		raw = item.Value
	case !errors.Is(err, storage.ErrNotFound):
		return err
	}
	last, hash, err := l.end(ctx, l.chain, raw)
	if err != nil {
		return err
	}
	l.next, l.prev, l.opened = last+1, hash, true
	l.log.Info("audit chain opened", "chain", l.chain, "next", l.next)
	return nil
}

// end finds a chain's last batch, from its head if that is true to the batch it
// names, and from the beginning if not.
func (l *Log) end(ctx context.Context, chain string, rawHead []byte) (uint64, string, error) {
	var from head
	if rawHead != nil {
		var there Batch
		item, err := (*protocol.Item)(nil), storage.Decode(rawHead, &from)
		if err == nil {
			item, err = l.store.Get(ctx, BatchKey(chain, from.Number))
		}
		if err == nil {
			err = storage.Decode(item.Value, &there)
		}
		switch {
		case errors.Is(err, storage.ErrRefused), errors.Is(err, storage.ErrUnknown):
			return 0, "", err
		case err != nil || there.Hash(chain, from.Number) != from.Hash:
			l.log.Error("audit chain has a head that is not true", "chain", chain)
			from = head{}
		}
	}
	return l.walk(ctx, chain, from.Number, from.Hash, func(*Batch) {})
}

// walk reads on from a batch to the chain's end.
func (l *Log) walk(ctx context.Context, chain string, number uint64, hash string, each func(*Batch)) (uint64, string, error) {
	err := l.all(ctx, BatchPrefix(chain), BatchKey(chain, number), func(key string, raw []byte) error {
		var b Batch
		_, n, ok := ParseBatchKey(key)
		if err := storage.Decode(raw, &b); err != nil || !ok {
			return fmt.Errorf("audit: %s can't be read", key)
		}
		if n != number+1 || b.Prev != hash {
			// Going on keeps the evidence; the verifier will name the place.
			l.log.Error("audit chain is not what was written", "chain", chain, "batch", n, "expected", number+1)
		}
		each(&b)
		number, hash = n, b.Hash(chain, n)
		return nil
	})
	return number, hash, err
}

// follow takes in batches of this chain that came late.
func (l *Log) follow(ctx context.Context) error {
	last, hash, err := l.walk(ctx, l.chain, l.next-1, l.prev, func(b *Batch) {
		for _, u := range l.unsure {
			if u.sig == b.Sig {
				l.left = l.left[u.gathered:] // it came after all: these are written
			}
		}
		l.unsure = nil
	})
	l.next, l.prev = last+1, hash
	return err
}
