package audit

import (
	"context"
	"errors"
	"fmt"

	"micaspindle/internal/storage"
)

// pageSize is the number of records read per request.
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

// catchUp reads batches of this chain that were committed after their requests had failed
// without an answer.
func (l *Log) catchUp(ctx context.Context) error {
	last, hash, err := l.walk(ctx, l.chain, l.next-1, l.prev, func(batch *Batch) {
		for _, uncertain := range l.uncertain {
			if uncertain.signature == batch.Sig {
				// The batch was committed after all, so its records are no longer unwritten.
				l.unwritten = l.unwritten[uncertain.aggregated:]
			}
		}
		l.uncertain = nil
	})
	l.next, l.prev = last+1, hash
	return err
}

// findEnd returns the number and the hash of a chain's last batch. It reads the chain from
// the batch that the head names, or from the beginning if the head is missing or does not
// match that batch.
func (l *Log) findEnd(ctx context.Context, chain string, rawHead []byte) (number uint64, hash string, err error) {
	var from head
	if rawHead != nil {
		if from, err = l.checkHead(ctx, chain, rawHead); err != nil {
			return 0, "", err
		}
	}
	return l.walk(ctx, chain, from.Number, from.Hash, func(*Batch) {})
}

// checkHead returns a chain's head if it matches the batch that it names. Otherwise it returns the
// zero head, so that the chain is read from its first batch.
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

// walk reads the batches that follow the batch with the given number and hash, and calls visit
// for each of them. It returns the number and hash of the last batch.
func (l *Log) walk(ctx context.Context, chain string, number uint64, hash string, visit func(*Batch)) (uint64, string, error) {
	err := l.scan(ctx, BatchPrefix(chain), BatchKey(chain, number), func(key string, raw []byte) error {
		n, batch, err := decodeBatch(key, raw)
		if err != nil {
			return err
		}
		if n != number+1 || batch.Prev != hash {
			// Continuing preserves the evidence: the verifier will report the place.
			l.log.Error("audit chain is broken: batch does not follow the previous one", "chain", chain, "batch", n, "expected", number+1)
		}
		visit(batch)
		number, hash = n, batch.Hash(chain, n)
		return nil
	})
	return number, hash, err
}

// decodeBatch decodes a stored batch and the number in its key.
func decodeBatch(key string, raw []byte) (number uint64, batch *Batch, err error) {
	batch = new(Batch)
	_, number, ok := ParseBatchKey(key)
	if err := storage.Decode(raw, batch); err != nil || !ok {
		return 0, nil, fmt.Errorf("audit: cannot decode batch %s", key)
	}
	return number, batch, nil
}

// scan calls visit for each record with a prefix whose key sorts after the given one. It stops
// when visit returns an error.
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

// numberedOverhead is the size of a batch in a response without its stored value, in bytes.
const numberedOverhead = 64

// Batches returns the batches of a chain whose numbers are greater than after: as many as fit in
// a response of size bytes, but at least one if there is any.
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
