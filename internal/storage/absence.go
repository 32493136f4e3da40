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
	// pollShare is the part of the state store's requests that absence queries may take.
	pollShare = 0.5
	// conditionsPerOp is how many conditions a transaction may hold for each change that it
	// may.
	conditionsPerOp = 4
	// keyBytesLimit bounds the keys of one comparison, in bytes: the body's limit is 64 KiB.
	keyBytesLimit = 32 << 10
	// absenceQueueSeconds is for how many seconds queries may wait at the pace at which they
	// are sent: more would be answered too late.
	absenceQueueSeconds = 2
	// absenceQueueMin is how many queries may wait at any pace. One takes some 200 bytes beside
	// its user's connection.
	absenceQueueMin = 2048
)

// absenceQueue asks for many users at once whether keys are absent. A transaction that only
// compares reads as many keys as it may have conditions, for one request; asked one by one, the
// polls of some 1,500 waiting jobs take every request that the state store grants, those that
// renew the controllers' leases among them (docs/incidents/night-flood.md).
//
// One user's query at a time has the turn: its goroutine asks for itself and for those that wait,
// and then passes the turn on.
type absenceQueue struct {
	mu      sync.Mutex
	waiting []*absenceQuery
	// asking says that some query has the turn.
	asking bool
	// requests bounds the requests that queries take.
	requests *rate.Limiter
	// capacity is how many queries may wait.
	capacity int
	// conditionsLimit is how many keys a comparison may hold.
	conditionsLimit atomic.Int64
}

// absenceQuery is a user's query whether a key is absent, and its answer.
type absenceQuery struct {
	key string
	// turn is closed when the query is answered, or when it gets the turn.
	turn     chan struct{}
	answered bool
	present  bool
	err      error
}

func (q *absenceQueue) init(rps float64, txnOps, controllers int) {
	q.conditionsLimit.Store(int64(conditionsPerOp * txnOps))
	share := pollShare * rps / float64(controllers)
	q.capacity = max(absenceQueueMin, int(absenceQueueSeconds*share*conditionsPerOp*float64(txnOps)))
	q.requests = rate.NewLimiter(rate.Limit(share), max(2, int(share/2)))
}

// UserKeyAbsent reads for a user whether a key is absent. Users who ask while another comparison
// is under way are asked for together by the next one: it is sent after they came, so that its
// answer is no older than their query.
func (s *Store) UserKeyAbsent(ctx context.Context, key string) (bool, error) {
	query := &absenceQuery{key: key, turn: make(chan struct{})}
	hasTurn, admitted := s.absences.add(query)
	if !admitted {
		if s.OnPollRefused != nil {
			s.OnPollRefused()
		}
		return false, ErrBudget
	}
	if !hasTurn {
		if err := s.absences.awaitTurn(ctx, query); err != nil {
			return false, err
		}
	}
	if !query.answered {
		s.askAbsences(ctx, query)
	}
	return !query.present, query.err
}

// add has a query wait, unless too many do, and says whether it has the turn at once.
func (q *absenceQueue) add(query *absenceQuery) (hasTurn, admitted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= q.capacity {
		return false, false
	}
	q.waiting = append(q.waiting, query)
	hasTurn = !q.asking
	q.asking = true
	return hasTurn, true
}

// awaitTurn waits until a query is answered or has the turn, or its user goes away.
func (q *absenceQueue) awaitTurn(ctx context.Context, query *absenceQuery) error {
	select {
	case <-query.turn:
		return nil
	case <-ctx.Done():
	}
	if q.remove(query) {
		return fmt.Errorf("%w: %w", ErrRefused, ctx.Err())
	}
	<-query.turn // it is being asked for, or has the turn
	return nil
}

// remove takes back a query that nobody has begun to ask, and says whether it could.
func (q *absenceQueue) remove(query *absenceQuery) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.Index(q.waiting, query)
	if i < 0 || query.hasTurn() {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// hasTurn says whether a waiting query has the turn. The queue's lock is held.
func (q *absenceQuery) hasTurn() bool {
	select {
	case <-q.turn:
		return true
	default:
		return false
	}
}

// take removes and returns as many queries, the oldest first, as one request of askAbsences
// serves.
func (q *absenceQueue) take() []*absenceQuery {
	q.mu.Lock()
	defer q.mu.Unlock()
	count, bytes := 0, 0
	for count < len(q.waiting) && count < int(q.conditionsLimit.Load()) && bytes < keyBytesLimit {
		bytes += len(q.waiting[count].key)
		count++
	}
	taken := slices.Clone(q.waiting[:count])
	q.waiting = slices.Delete(q.waiting, 0, count)
	return taken
}

// passTurn gives the turn to the oldest query that waits, if any.
func (q *absenceQueue) passTurn() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.asking = false
		return
	}
	close(q.waiting[0].turn)
}

// askAbsences asks for the queries that wait, the one that has the turn among them, and passes
// the turn on.
func (s *Store) askAbsences(ctx context.Context, own *absenceQuery) {
	// The user who has the turn may go away; the others must not pay for that.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	err := s.admitAbsences(ctx)
	// Its own query is the oldest: it found the queue empty, or got the turn as the first.
	queries := s.absences.take()
	var present map[string]bool
	if err == nil {
		present, err = s.presentKeys(ctx, queries)
	}
	for _, query := range queries {
		query.answered, query.present, query.err = true, present[query.key], err
		if query != own {
			close(query.turn)
		}
	}
	s.absences.passTurn()
}

// admitAbsences waits until the budget grants a comparison.
func (s *Store) admitAbsences(ctx context.Context) error {
	if err := s.absences.requests.Wait(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrBudget, err)
	}
	_, err := reserveForUser(s.requests, 1)
	return err
}

// presentKeys says which keys of queries are there. A refused comparison need not name every key
// that is there, so the others are compared again; after one that was too large, they are
// smaller from then on.
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
				return nil, fmt.Errorf("%w: refused a comparison without saying why", ErrUnknown)
			}
		case errors.Is(err, ErrTooLarge) && len(compared) > 1:
			s.absences.conditionsLimit.Store(int64(len(compared)+1) / 2)
		default:
			return nil, err
		}
	}
	return present, nil
}

// compareAbsent succeeds if all keys are absent.
func (s *Store) compareAbsent(ctx context.Context, keys []string) error {
	txn := &protocol.Transaction{}
	for _, key := range keys {
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: 0})
	}
	_, err := s.commit(ctx, txn)
	return err
}
