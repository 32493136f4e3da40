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

// absences asks for many users at once whether keys are absent. A transaction that
// only compares reads as many keys as it may have conditions, for one request; asked
// one by one, the polls of some 1,500 waiting jobs take every request that the service
// grants, those that keep the controllers' claims among them
// (docs/incidents/night-flood.md).
type absences struct {
	mu      sync.Mutex
	waiting []*absence
	// asking says that somebody asks now, for itself and for those who waited then.
	asking bool
	// pace bounds the requests that polls take.
	pace *rate.Limiter
	// capacity is how many questions may wait.
	capacity int
	// most is how many keys a comparison may hold.
	most atomic.Int64
}

// absence is a question and its answer.
type absence struct {
	key string
	// turn is closed when the question is answered, or when it is this one's turn to
	// ask.
	turn     chan struct{}
	answered bool
	present  bool
	err      error
}

const (
	// pollShare is the part of the service's requests that polls may take; conditions
	// is how many a transaction may hold for each change that it may.
	pollShare  = 0.5
	conditions = 4
	// keyBytes bounds the keys of one question: the body's limit is 64 KiB.
	keyBytes = 32 << 10
)

func (a *absences) init(rps float64, txnOps, controllers int) {
	a.most.Store(int64(conditions * txnOps))
	share := pollShare * rps / float64(controllers)
	a.capacity = max(absenceQueueMin, int(absenceQueueSeconds*share*conditions*float64(txnOps)))
	a.pace = rate.NewLimiter(rate.Limit(share), max(2, int(share/2)))
}

// UserKeyAbsent reads for a user whether a key is absent. Users who ask while another
// question is on its way are asked for together by the next one: it is sent after
// they came, so that what it says is no older than their question.
func (s *Store) UserKeyAbsent(ctx context.Context, key string) (bool, error) {
	a := &s.absences
	q := &absence{key: key, turn: make(chan struct{})}
	a.mu.Lock()
	if len(a.waiting) >= a.capacity {
		a.mu.Unlock()
		if s.OnPollRefused != nil {
			s.OnPollRefused()
		}
		return false, fmt.Errorf("%w: budget used up", ErrRefused)
	}
	a.waiting = append(a.waiting, q)
	lead := !a.asking
	a.asking = true
	a.mu.Unlock()
	if !lead {
		select {
		case <-q.turn:
		case <-ctx.Done():
			if s.gaveUp(q) {
				return false, fmt.Errorf("%w: %w", ErrRefused, ctx.Err())
			}
			<-q.turn // it is asked for just now, or asks itself
		}
		if q.answered {
			return !q.present, q.err
		}
	}
	s.askAbsences(ctx, q)
	return !q.present, q.err
}

const (
	// absenceQueueSeconds is for how many seconds questions may wait at the pace at which they are
	// asked: more would be answered too late.
	absenceQueueSeconds = 2
	// absenceQueueMin is how many may wait at any pace. One takes some 200 bytes beside its
	// user's connection.
	absenceQueueMin = 2048
)

// gaveUp takes back a question that nobody has begun to ask, and says whether it
// could.
func (s *Store) gaveUp(q *absence) bool {
	a := &s.absences
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.Index(a.waiting, q)
	if i < 0 || q.onTurn() {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	return true
}

// onTurn says whether its turn has come. The lock is held.
func (q *absence) onTurn() bool {
	select {
	case <-q.turn:
		return true
	default:
		return false
	}
}

// askAbsences asks for those who wait, its own question among them, and hands the
// turn on.
func (s *Store) askAbsences(ctx context.Context, own *absence) {
	a := &s.absences
	// The user who waits for this may go away; the others may not pay for that.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	err := a.pace.Wait(ctx)
	if err == nil {
		_, err = forUser(s.requests, 1)
	} else {
		err = fmt.Errorf("%w: budget used up: %w", ErrRefused, err)
	}
	a.mu.Lock()
	// Its own question is the oldest: it led, or was given the turn as the first.
	n, size := 0, 0
	for n < len(a.waiting) && n < int(a.most.Load()) && size < keyBytes {
		size += len(a.waiting[n].key)
		n++
	}
	asked := slices.Clone(a.waiting[:n])
	a.waiting = slices.Delete(a.waiting, 0, n)
	a.mu.Unlock()

	var present map[string]bool
	if err == nil {
		present, err = s.present(ctx, asked)
	}
	for _, q := range asked {
		q.answered, q.present, q.err = true, present[q.key], err
		if q != own {
			close(q.turn)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 {
		a.asking = false
		return
	}
	close(a.waiting[0].turn) // it asks next
}

// present says which keys of questions are there. A refused comparison need not name
// every key that is there, so the others are compared again; one that is too large
// goes in smaller ones from then on.
func (s *Store) present(ctx context.Context, asked []*absence) (map[string]bool, error) {
	found := map[string]bool{}
	var keys []string
	for _, q := range asked {
		keys = append(keys, q.key)
	}
	slices.Sort(keys)
	for keys = slices.Compact(keys); len(keys) > 0; {
		txn := &protocol.Transaction{}
		for _, key := range keys[:min(len(keys), int(s.absences.most.Load()))] {
			txn.If = append(txn.If, protocol.Condition{Key: key, Version: 0})
		}
		_, err := s.commit(ctx, txn)
		var conflict *Conflict
		switch {
		case err == nil:
			keys = keys[len(txn.If):]
		case errors.As(err, &conflict):
			before := len(keys)
			keys = slices.DeleteFunc(keys, func(key string) bool {
				present := slices.Contains(conflict.Failed, key)
				if present {
					found[key] = true
				}
				return present
			})
			if len(keys) == before {
				return nil, fmt.Errorf("%w: refused a comparison without saying why", ErrUnknown)
			}
		case errors.Is(err, ErrTooLarge) && len(txn.If) > 1:
			s.absences.most.Store(int64(len(txn.If)+1) / 2)
		default:
			return nil, err
		}
	}
	return found, nil
}
