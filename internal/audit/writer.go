package audit

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

const (
	// headInterval is after how many batches the chain's head is written anew.
	headInterval = 32
	// maxWriteAttempts is how often a batch is written anew after a conflict.
	maxWriteAttempts = 6
	// settleTimeout is how long a batch without an answer is looked for.
	settleTimeout = time.Second
)

// draft is a batch that is about to be committed.
type draft struct {
	batch *Batch
	txn   *protocol.Transaction
	// gathered are the unwritten records that the batch holds.
	gathered []Record
}

// write commits changes with their batch, or without changes only what was gathered.
func (l *Log) write(ctx context.Context, changes []*pendingChange) {
	if !l.opened {
		if err := l.open(ctx); err != nil {
			l.log.Debug("audit chain can't be read yet", "error", err)
			finish(changes, result{err: fmt.Errorf("%w: audit chain can't be read", storage.ErrRefused)})
			l.sleep(ctx, pause)
			return
		}
	}
	for range maxWriteAttempts {
		remaining, retry := l.tryWrite(ctx, changes)
		if !retry {
			return
		}
		changes = remaining
	}
	finish(changes, result{err: fmt.Errorf("%w: audit chain moves on", storage.ErrRefused)})
}

// tryWrite commits changes with their batch once. If there was a conflict, it returns the
// changes that are to be tried again.
func (l *Log) tryWrite(ctx context.Context, changes []*pendingChange) (remaining []*pendingChange, retry bool) {
	d, err := l.assemble(changes)
	if err != nil {
		l.log.Error("audit batch not made", "error", err)
		finish(changes, result{err: fmt.Errorf("%w: audit batch not made", storage.ErrRefused)})
		return nil, false
	}
	if len(d.batch.Lines) == 0 {
		return nil, false
	}
	revision, err := l.store.UserCommit(ctx, d.txn)
	if errors.Is(err, storage.ErrUnknown) {
		revision, err = l.settle(ctx, d.batch, err)
	}
	if err == nil {
		l.advance(d)
		finish(changes, result{revision: revision})
		return nil, false
	}
	l.putBack(d.gathered)
	var conflict *storage.Conflict
	switch {
	case errors.As(err, &conflict):
		return l.resolveConflict(ctx, changes, conflict)
	case errors.Is(err, storage.ErrTooLarge) && len(changes) > 1:
		for _, change := range changes {
			l.write(ctx, []*pendingChange{change})
		}
	case errors.Is(err, storage.ErrTooLarge):
		finish(changes, result{err: err})
	default:
		if errors.Is(err, storage.ErrUnknown) {
			l.uncertain = append(l.uncertain, uncertainBatch{d.batch.Sig, len(d.gathered)})
		}
		finish(changes, result{err: err})
		l.sleep(ctx, pause)
	}
	return nil, false
}

// assemble makes the next batch and its transaction. What was gathered is added
// as far as there is room.
func (l *Log) assemble(changes []*pendingChange) (*draft, error) {
	signer := l.signer()
	d := &draft{
		batch: &Batch{Prev: l.prev, Signer: signer.ID},
		txn:   &protocol.Transaction{If: []protocol.Condition{{Key: BatchKey(l.chain, l.next)}}},
	}
	room := l.store.ValueBytes() - batchOverhead
	for _, change := range changes {
		d.txn.If = append(d.txn.If, change.txn.If...)
		d.txn.Then = append(d.txn.Then, change.txn.Then...)
		d.batch.Lines = append(d.batch.Lines, change.line)
		room -= lineSize(change.line)
	}
	l.addGathered(d, room)
	if err := d.batch.sign(l.chain, l.next, signer); err != nil {
		l.putBack(d.gathered)
		return nil, err
	}
	l.addRecords(d, &signer)
	return d, nil
}

// addGathered adds unwritten records to a batch as far as there is room, but one in any case.
func (l *Log) addGathered(d *draft, room int) {
	for len(l.unwritten) > 0 {
		line := l.unwritten[0].line()
		if room -= lineSize(line); room < 0 && len(d.batch.Lines) > 0 {
			break
		}
		d.batch.Lines = append(d.batch.Lines, line)
		d.gathered = append(d.gathered, l.unwritten[0])
		l.unwritten = l.unwritten[1:]
	}
}

// addRecords adds the audit's own records to a transaction: the batch, now and then the head,
// and a new signer's certificate. The head needs no condition of its own: whoever writes it
// writes the batch of that number, and batches come in order.
func (l *Log) addRecords(d *draft, signer *Signer) {
	d.txn.Then = append(d.txn.Then, protocol.Change{Put: BatchKey(l.chain, l.next), Value: storage.Encode(d.batch)})
	if l.next%headInterval == 1 && len(d.txn.Then) < l.store.TxnOps() {
		end := head{Number: l.next, Hash: d.batch.Hash(l.chain, l.next)}
		d.txn.Then = append(d.txn.Then, protocol.Change{Put: headKey(l.chain), Value: storage.Encode(end)})
	}
	if !l.published[signer.ID] && len(d.txn.Then) < l.store.TxnOps() {
		d.txn.Then = append(d.txn.Then, protocol.Change{Put: signerKey(signer.ID), Value: storage.Encode(signer.record())})
	}
}

// putBack makes gathered records unwritten again, in front of the others.
func (l *Log) putBack(gathered []Record) { l.unwritten = append(gathered, l.unwritten...) }

// advance goes on to the next batch after one was committed.
func (l *Log) advance(d *draft) {
	l.prev = d.batch.Hash(l.chain, l.next)
	l.next++
	l.uncertain = nil
	certificate := signerKey(d.batch.Signer)
	if slices.ContainsFunc(d.txn.Then, func(change protocol.Change) bool { return change.Put == certificate }) {
		l.published[d.batch.Signer] = true
	}
}

// settle finds out what became of a batch whose transaction got no answer. If
// it is not there it may still be committed; then its number is tried again, and only
// one of the two can be.
func (l *Log) settle(ctx context.Context, batch *Batch, unknown error) (uint64, error) {
	key := BatchKey(l.chain, l.next)
	begun := time.Now()
	for time.Since(begun) < settleTimeout {
		item, err := l.store.Get(ctx, key)
		switch {
		case err == nil:
			if isBatch(item.Value, batch) {
				return item.Version, nil
			}
			return 0, &storage.Conflict{Failed: []string{key}}
		case errors.Is(err, storage.ErrNotFound), ctx.Err() != nil:
			return 0, unknown
		}
		l.sleep(ctx, pause)
	}
	return 0, unknown
}

// isBatch reports whether a stored value is a certain batch.
func isBatch(value []byte, batch *Batch) bool {
	var stored Batch
	return storage.Decode(value, &stored) == nil && stored.Sig == batch.Sig && stored.Prev == batch.Prev && slices.Equal(stored.Lines, batch.Lines)
}

// resolveConflict answers the changes whose own conditions failed and returns the rest,
// to be tried again; what was gathered waits for the next batch. If the batch's number is
// taken, the chain is read on.
func (l *Log) resolveConflict(ctx context.Context, changes []*pendingChange, conflict *storage.Conflict) (remaining []*pendingChange, retry bool) {
	failed := map[string]bool{}
	for _, key := range conflict.Failed {
		failed[key] = true
	}
	for _, change := range changes {
		if own := failedConditions(change.txn, failed); len(own) > 0 {
			change.result <- result{err: &storage.Conflict{Failed: own}}
		} else {
			remaining = append(remaining, change)
		}
	}
	if failed[BatchKey(l.chain, l.next)] || len(remaining) == len(changes) {
		if err := l.follow(ctx); err != nil {
			finish(remaining, result{err: fmt.Errorf("%w: audit chain can't be read", storage.ErrRefused)})
			return nil, false
		}
	}
	return remaining, len(remaining) > 0
}

// failedConditions lists a transaction's keys that are among the failed ones.
func failedConditions(txn *protocol.Transaction, failed map[string]bool) (keys []string) {
	for _, condition := range txn.If {
		if failed[condition.Key] {
			keys = append(keys, condition.Key)
		}
	}
	return keys
}
