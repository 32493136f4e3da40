package audit

import (
	"context"
	"errors"
	"fmt"

	"micaspindle/internal/storage"
)

// pageSize is how many records are read at a time.
const pageSize = 50

// open finds the end of this controller's chain.
func (l *Log) open(ctx context.Context) error {
	var rawHead []byte
	item, err := l.store.Get(ctx, headKey(l.chain))
	switch {
	case err == nil:
		rawHead = item.Value
	case !errors.Is(err, storage.ErrNotFound):
		return err
	}
	last, hash, err := l.findEnd(ctx, l.chain, rawHead)
	if err != nil {
		return err
	}
	l.next, l.prev, l.opened = last+1, hash, true
	l.log.Info("audit chain opened", "chain", l.chain, "next", l.next)
	return nil
}

// follow takes in batches of this chain that were committed late.
func (l *Log) follow(ctx context.Context) error {
	last, hash, err := l.walk(ctx, l.chain, l.next-1, l.prev, func(batch *Batch) {
		for _, uncertain := range l.uncertain {
			if uncertain.signature == batch.Sig {
				// It was committed after all: what it holds is written.
				l.unwritten = l.unwritten[uncertain.gathered:]
			}
		}
		l.uncertain = nil
	})
	l.next, l.prev = last+1, hash
	return err
}

// findEnd returns the number and the hash of a chain's last batch. It reads the chain from
// the batch that its head names, or if the head does not match that batch, from the beginning.
func (l *Log) findEnd(ctx context.Context, chain string, rawHead []byte) (number uint64, hash string, err error) {
	var from head
	if rawHead != nil {
		if from, err = l.checkHead(ctx, chain, rawHead); err != nil {
			return 0, "", err
		}
	}
	return l.walk(ctx, chain, from.Number, from.Hash, func(*Batch) {})
}

// checkHead returns a chain's head if it matches the batch it names; if not, a head before
// all batches.
func (l *Log) checkHead(ctx context.Context, chain string, rawHead []byte) (head, error) {
	var claimed head
	err := storage.Decode(rawHead, &claimed)
	var batch Batch
	if err == nil {
		batch, err = l.readBatch(ctx, chain, claimed.Number)
	}
	switch {
	case errors.Is(err, storage.ErrRefused), errors.Is(err, storage.ErrUnknown):
		return head{}, err
	case err != nil || batch.Hash(chain, claimed.Number) != claimed.Hash:
		l.log.Error("audit chain head does not match its batch", "chain", chain)
		return head{}, nil
	}
	return claimed, nil
}

func (l *Log) readBatch(ctx context.Context, chain string, number uint64) (batch Batch, err error) {
	item, err := l.store.Get(ctx, BatchKey(chain, number))
	if err != nil {
		return batch, err
	}
	err = storage.Decode(item.Value, &batch)
	return batch, err
}

// walk reads on from a batch to the chain's end, whose number and hash it returns.
func (l *Log) walk(ctx context.Context, chain string, number uint64, hash string, each func(*Batch)) (uint64, string, error) {
	err := l.scan(ctx, BatchPrefix(chain), BatchKey(chain, number), func(key string, raw []byte) error {
		n, batch, err := decodeBatch(key, raw)
		if err != nil {
			return err
		}
		if n != number+1 || batch.Prev != hash {
			// Going on preserves the evidence; the verifier will name the place.
			l.log.Error("audit chain is not what was written", "chain", chain, "batch", n, "expected", number+1)
		}
		each(batch)
		number, hash = n, batch.Hash(chain, n)
		return nil
	})
	return number, hash, err
}

// decodeBatch reads a stored batch and its number.
func decodeBatch(key string, raw []byte) (number uint64, batch *Batch, err error) {
	batch = new(Batch)
	_, number, ok := ParseBatchKey(key)
	if err := storage.Decode(raw, batch); err != nil || !ok {
		return 0, nil, fmt.Errorf("audit: %s can't be read", key)
	}
	return number, batch, nil
}

// scan calls visit for every record under a prefix that comes after a key, until visit
// returns an error.
func (l *Log) scan(ctx context.Context, prefix, after string, visit func(key string, raw []byte) error) error {
	for {
		list, err := l.store.Page(ctx, prefix, after, pageSize)
		if err != nil {
			return err
		}
		for _, item := range list.Items {
			if err := visit(item.Key, item.Value); err != nil {
				return err
			}
			after = item.Key
		}
		if !list.More {
			return nil
		}
	}
}

// numberedOverhead is what a batch takes in an answer besides its record, in bytes.
const numberedOverhead = 64

// Batches reads batches of a chain that come after a number, as many as an
// answer of size bytes may hold, but one at least.
func (l *Log) Batches(ctx context.Context, chain string, after uint64, size int) ([]NumberedBatch, error) {
	list, err := l.store.Page(ctx, BatchPrefix(chain), BatchKey(chain, after), pageSize)
	if err != nil {
		return nil, err
	}
	var batches []NumberedBatch
	for _, item := range list.Items {
		number, batch, err := decodeBatch(item.Key, item.Value)
		if err != nil {
			return nil, err
		}
		if size -= len(item.Value) + numberedOverhead; size < 0 && len(batches) > 0 {
			break
		}
		batches = append(batches, NumberedBatch{chain, number, *batch})
	}
	return batches, nil
}
