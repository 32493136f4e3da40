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
	// headInterval is the number of batches between updates of the chain's head.
	headInterval = 32
	// maxWriteAttempts is the maximum number of attempts to write a batch after conflicts.
	maxWriteAttempts = 6
	// resolveTimeout bounds the time of the search for a batch whose transaction got no answer.
	resolveTimeout = time.Second
)

// draft is a batch that is about to be committed.
type draft struct {
	batch *Batch
	txn   *protocol.Transaction
	// aggregated are the unwritten records that the batch contains.
	aggregated []Record
}

// write commits changes and unwritten records in a batch. Without changes, the batch has the
// unwritten records only.
func (l *Log) write(ctx context.Context, changes []*pendingChange) {
	if !l.opened {
		if err := l.open(ctx); err != nil {
			l.log.Debug("cannot read audit chain, will retry", "error", err)
			finish(changes, result{err: fmt.Errorf("%w: cannot read audit chain", storage.ErrRefused)})
			l.sleep(ctx, pollInterval)
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
	finish(changes, result{err: fmt.Errorf("%w: too many conflicts in the audit chain", storage.ErrRefused)})
}

// tryWrite makes one attempt to commit changes with their batch. After a conflict, it returns
// the changes to be retried.
func (l *Log) tryWrite(ctx context.Context, changes []*pendingChange) (remaining []*pendingChange, retry bool) {
	d, err := l.assemble(changes)
	if err != nil {
		l.log.Error("cannot sign audit batch", "error", err)
		finish(changes, result{err: fmt.Errorf("%w: cannot sign audit batch", storage.ErrRefused)})
		return nil, false
	}
	if len(d.batch.Lines) == 0 {
		return nil, false
	}
	revision, err := l.store.UserCommit(ctx, d.txn)
	if errors.Is(err, storage.ErrUnknown) {
		revision, err = l.resolveUnknown(ctx, d.batch, err)
	}
	if err == nil {
		l.advance(d)
		finish(changes, result{revision: revision})
		return nil, false
	}
	l.putBack(d.aggregated)
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
			l.uncertain = append(l.uncertain, uncertainBatch{d.batch.Sig, len(d.aggregated)})
		}
		finish(changes, result{err: err})
		l.sleep(ctx, pollInterval)
	}
	return nil, false
}

// assemble builds the next batch and its transaction. The batch gets as many unwritten records
// as fit.
func (l *Log) assemble(changes []*pendingChange) (*draft, error) {
	signer := l.signer()
	d := &draft{
		batch: &Batch{Prev: l.prev, Signer: signer.ID},
		txn:   &protocol.Transaction{If: []protocol.Condition{{Key: BatchKey(l.chain, l.next)}}},
	}
	available := l.store.ValueBytes() - batchOverhead
	for _, change := range changes {
		d.txn.If = append(d.txn.If, change.txn.If...)
		d.txn.Then = append(d.txn.Then, change.txn.Then...)
		d.batch.Lines = append(d.batch.Lines, change.line)
		available -= lineSize(change.line)
	}
	l.addAggregated(d, available)
	if err := d.batch.sign(l.chain, l.next, signer); err != nil {
		l.putBack(d.aggregated)
		return nil, err
	}
	l.addRecords(d, &signer)
	return d, nil
}

// addAggregated adds as many unwritten records to a batch as fit in available bytes. A batch that has
// no lines gets at least one.
func (l *Log) addAggregated(d *draft, available int) {
	for len(l.unwritten) > 0 {
		line := l.unwritten[0].line()
		if available -= lineSize(line); available < 0 && len(d.batch.Lines) > 0 {
			break
		}
		d.batch.Lines = append(d.batch.Lines, line)
		d.aggregated = append(d.aggregated, l.unwritten[0])
		l.unwritten = l.unwritten[1:]
	}
}

// addRecords adds the log's own records to a transaction: the batch, at intervals the head, and
// the certificate of a new signer. The head needs no condition: it is written in the same
// transaction as the batch that it names, and batches are committed in order.
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

// putBack puts aggregated records back at the front of the unwritten ones.
func (l *Log) putBack(records []Record) { l.unwritten = append(records, l.unwritten...) }

// advance updates the number, the hash and the published signers for the next batch after a batch
// was committed.
func (l *Log) advance(d *draft) {
	l.prev = d.batch.Hash(l.chain, l.next)
	l.next++
	l.uncertain = nil
	certificate := signerKey(d.batch.Signer)
	if slices.ContainsFunc(d.txn.Then, func(change protocol.Change) bool { return change.Put == certificate }) {
		l.published[d.batch.Signer] = true
	}
}

// resolveUnknown looks for a batch whose transaction got no answer and returns its revision. If
// there is no batch with its number, it returns unknownErr: the transaction may still be
// committed later. The next batch then has the same number, so that only one of the two can
// be committed.
func (l *Log) resolveUnknown(ctx context.Context, batch *Batch, unknownErr error) (uint64, error) {
	key := BatchKey(l.chain, l.next)
	start := time.Now()
	for time.Since(start) < resolveTimeout {
		item, err := l.store.Get(ctx, key)
		switch {
		case err == nil:
			if equalsBatch(item.Value, batch) {
				return item.Version, nil
			}
			return 0, &storage.Conflict{Failed: []string{key}}
		case errors.Is(err, storage.ErrNotFound), ctx.Err() != nil:
			return 0, unknownErr
		}
		l.sleep(ctx, pollInterval)
	}
	return 0, unknownErr
}

// equalsBatch reports whether a stored value is the given batch.
func equalsBatch(value []byte, batch *Batch) bool {
	var stored Batch
	return storage.Decode(value, &stored) == nil && stored.Sig == batch.Sig && stored.Prev == batch.Prev && slices.Equal(stored.Lines, batch.Lines)
}

// resolveConflict fails the changes whose own conditions failed and returns the others for a
// retry. If the batch's number is taken, or none of the changes has a failed condition, it
// reads the new batches of the chain first.
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
		if err := l.catchUp(ctx); err != nil {
			finish(remaining, result{err: fmt.Errorf("%w: cannot read audit chain", storage.ErrRefused)})
			return nil, false
		}
	}
	return remaining, len(remaining) > 0
}

// failedConditions returns the keys in a transaction's conditions that are among the failed
// keys.
func failedConditions(txn *protocol.Transaction, failed map[string]bool) (keys []string) {
	for _, condition := range txn.If {
		if failed[condition.Key] {
			keys = append(keys, condition.Key)
		}
	}
	return keys
}
