package storage

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	"micaspindle/internal/protocol"
)

const (
	// absenceShare is the fraction of the state store's request rate that the absence queries of all
	// controllers may use.
	absenceShare = 0.5
	// conditionsPerOp is the ratio of a transaction's condition limit to its change limit.
	conditionsPerOp = 4
	// keyBytesLimit bounds the total size of the keys in one batch, in bytes. It leaves room for
	// the encoding within the request body limit of 64 KiB.
	keyBytesLimit = 32 << 10
	// absenceQueueSeconds sets the queue capacity to the number of queries that can be sent in
	// this many seconds. A longer queue would delay the answers too much.
	absenceQueueSeconds = 2
	// absenceQueueMin is the smallest queue capacity, in queries. A queued query uses about
	// 200 bytes.
	absenceQueueMin = 2048
)

// absenceQueue batches users' queries for the absence of keys. One transaction without changes
// checks as many keys as it may have conditions, in a single request. Sent one by one, the polls
// of about 1,500 waiting jobs exhaust the state store's request limit and starve the renewals of
// the controllers' leases (docs/incidents/night-flood.md).
//
// One query at a time is the sender: its goroutine sends a batch for itself and for the queries
// in the queue, and then makes the oldest remaining query the next sender.
type absenceQueue struct {
	mu      sync.Mutex
	waiting []*absenceQuery
	// sending is true while some query is the sender.
	sending bool
	// requests limits the rate of batches.
	requests *rate.Limiter
	// capacity is the maximum length of waiting.
	capacity int
	// conditionsLimit is the maximum number of keys in a batch.
	conditionsLimit atomic.Int64
}

// absenceQuery is a user's query for the absence of a key, with its result.
type absenceQuery struct {
	key string
	// ready is closed when the query has a result or becomes the sender.
	ready    chan struct{}
	answered bool
	present  bool
	err      error
}

func (q *absenceQueue) init(rps float64, txnOps, controllers int) {
	q.conditionsLimit.Store(int64(conditionsPerOp * txnOps))
	share := absenceShare * rps / float64(controllers)
	q.capacity = max(absenceQueueMin, int(absenceQueueSeconds*share*conditionsPerOp*float64(txnOps)))
	q.requests = rate.NewLimiter(rate.Limit(share), max(2, int(share/2)))
}

// UserKeyAbsent reports whether a key is absent, for a user's request. Queries that arrive while
// a batch is in flight are sent in the next one, so that no result is older than its query. If
// too many queries are waiting, the error is ErrBudget.
func (s *Store) UserKeyAbsent(ctx context.Context, key string) (bool, error) {
	query := &absenceQuery{key: key, ready: make(chan struct{})}
	isSender, admitted := s.absences.add(query)
	if !admitted {
		if s.OnPollRefused != nil {
			s.OnPollRefused()
		}
		return false, ErrBudget
	}
	if !isSender {
		if err := s.absences.await(ctx, query); err != nil {
			return false, err
		}
	}
	if !query.answered {
		s.sendAbsenceBatch(ctx, query)
	}
	return !query.present, query.err
}

// add appends a query unless the queue is full, and reports whether the query is the sender.
func (q *absenceQueue) add(query *absenceQuery) (isSender, admitted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= q.capacity {
		return false, false
	}
	q.waiting = append(q.waiting, query)
	isSender = !q.sending
	q.sending = true
	return isSender, true
}

// await waits until a query has a result or is the sender. If ctx ends first, it removes the query
// from the queue and returns an error, unless the query is already in a batch or is the sender.
func (q *absenceQueue) await(ctx context.Context, query *absenceQuery) error {
	select {
	case <-query.ready:
		return nil
	case <-ctx.Done():
	}
	if q.remove(query) {
		return fmt.Errorf("%w: %w", ErrRefused, ctx.Err())
	}
	<-query.ready // the query is in a batch or is the sender
	return nil
}

// remove deletes a query from the queue and reports whether it did. A query that is in a batch or
// is the sender stays.
func (q *absenceQueue) remove(query *absenceQuery) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, query)
	if i < 0 || query.isSender() {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// isSender reports whether a waiting query is the sender. The caller holds the queue's lock.
func (q *absenceQuery) isSender() bool {
	select {
	case <-q.ready:
		return true
	default:
		return false
	}
}

// takeBatch removes the oldest queries, up to the size of one batch, and returns them.
func (q *absenceQueue) takeBatch() []*absenceQuery {
	q.mu.Lock()
	defer q.mu.Unlock()
	count, bytes := 0, 0
	for count < len(q.waiting) && count < int(q.conditionsLimit.Load()) && bytes < keyBytesLimit {
		bytes += len(q.waiting[count].key)
		count++
	}
	batch := slices.Clone(q.waiting[:count])
	q.waiting = slices.Delete(q.waiting, 0, count)
	return batch
}

// appointNextSender makes the oldest waiting query the next sender, if there is one.
func (q *absenceQueue) appointNextSender() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.sending = false
		return
	}
	close(q.waiting[0].ready)
}

// sendAbsenceBatch sends a batch of waiting queries, including the sender's own, stores the results,
// and appoints the next sender.
func (s *Store) sendAbsenceBatch(ctx context.Context, own *absenceQuery) {
	// Cancellation of the sender's request must not fail the other queries in the batch.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	err := s.admitAbsenceBatch(ctx)
	// The sender's own query is the oldest one, so the batch includes it.
	queries := s.absences.takeBatch()
	var present map[string]bool
	if err == nil {
		present, err = s.presentKeys(ctx, queries)
	}
	for _, query := range queries {
		query.answered, query.present, query.err = true, present[query.key], err
		if query != own {
			close(query.ready)
		}
	}
	s.absences.appointNextSender()
}

// admitAbsenceBatch waits until the budget allows one batch.
func (s *Store) admitAbsenceBatch(ctx context.Context) error {
	if err := s.absences.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrBudget, err)
	}
	_, err := reserveForUser(s.requests, 1)
	return err
}

// presentKeys returns the queried keys that exist. A conflict may leave out some existing keys, so
// the remaining keys are compared again. If the state store refuses a batch for its size, later
// batches have at most half as many keys.
func (s *Store) presentKeys(ctx context.Context, queries []*absenceQuery) (map[string]bool, error) {
	present := map[string]bool{}
	var keys []string
	for _, query := range queries {
		keys = append(keys, query.key)
	}
	slices.Sort(keys)
	for keys = slices.Compact(keys); len(keys) > 0; {
		compared := keys[:min(len(keys), int(s.absences.conditionsLimit.Load()))]
		err := s.compareAbsent(ctx, compared)
		var conflict *Conflict
		switch {
		case err == nil:
			keys = keys[len(compared):]
		case errors.As(err, &conflict):
			before := len(keys)
			keys = slices.DeleteFunc(keys, func(key string) bool {
				failed := slices.Contains(conflict.Failed, key)
				if failed {
					present[key] = true
				}
				return failed
			})
			if len(keys) == before {
				return nil, fmt.Errorf("%w: the reported conflict is on none of the compared keys", ErrUnknown)
			}
		case errors.Is(err, ErrTooLarge) && len(compared) > 1:
			s.absences.conditionsLimit.Store(int64(len(compared)+1) / 2)
		default:
			return nil, err
		}
	}
	return present, nil
}

// compareAbsent returns nil if all keys are absent, and a *Conflict if some exist.
func (s *Store) compareAbsent(ctx context.Context, keys []string) error {
	txn := &protocol.Transaction{}
	for _, key := range keys {
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: 0})
	}
	_, err := s.commit(ctx, txn)
	return err
}
