package storage

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// comparer is a state service that only compares, a moment after it was asked.
type comparer struct {
	mu      sync.Mutex
	present map[string]bool
	asked   int
	most    int // conditions that it takes; 0: any
	named   int // how many present keys it names at a time; 0: all
	down    bool
}

func (c *comparer) Do(ctx context.Context, _, _, _ string, body []byte) (*transport.Response, error) {
	var txn protocol.Transaction
	if err := protocol.Decode(body, &txn); err != nil {
		return nil, err
	}
	select {
	case <-time.After(5 * time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	var failed []string
	for _, cond := range txn.If {
		if c.present[cond.Key] && (c.named == 0 || len(failed) < c.named) {
			failed = append(failed, cond.Key)
		}
	}
	answer := func(status int, v any) (*transport.Response, error) {
		return &transport.Response{Status: status, Body: protocol.Encode(v)}, nil
	}
	switch {
	case c.down:
		return answer(503, map[string]any{})
	case c.most > 0 && len(txn.If) > c.most:
		return answer(400, protocol.Problem{Error: "too many"})
	case len(failed) > 0:
		return answer(409, protocol.TransactionResult{Failed: failed})
	}
	return answer(200, protocol.TransactionResult{Revision: 7})
}

// ask has n users ask at once, and returns how many got an error. Every answer must be
// right.
func ask(t *testing.T, s *Store, c *comparer, n int) int {
	var all sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range n {
		all.Go(func() {
			key := fmt.Sprintf("w/j/job-%d/final", i)
			absent, err := s.UserKeyAbsent(t.Context(), key)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			} else if absent == c.present[key] {
				t.Errorf("%s: absent %v", key, absent)
			}
		})
	}
	all.Wait()
	return failed
}

func newComparer(present ...int) (*comparer, *Store) {
	c := &comparer{present: map[string]bool{}}
	for _, i := range present {
		c.present[fmt.Sprintf("w/j/job-%d/final", i)] = true
	}
	return c, NewStore(c, "state:1", settings.StateStoreLimits{RPS: 300, WriteRPS: 90, ValueKB: 8, TxnOps: 12}, 5)
}

// A thousand users who poll at once took as many requests, which were those that keep
// the controllers' claims (docs/incidents/night-flood.md).
func TestManyPollsTakeFewRequests(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*comparer)
		most   int // requests
		within time.Duration
	}{
		"as they are":                       {func(*comparer) {}, 40, 2 * time.Second},
		"present keys are named one by one": {func(c *comparer) { c.named = 1 }, 60, 2 * time.Second},
		"a limit that nobody announced":     {func(c *comparer) { c.most = 10 }, 200, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				svc, s := newComparer(3, 400, 401, 402, 999)
				c.change(svc)
				begun := time.Now()
				if failed := ask(t, s, svc, 1000); failed > 0 || svc.asked > c.most || time.Since(begun) > c.within {
					t.Errorf("%d polls failed, %d requests, %s", failed, svc.asked, time.Since(begun))
				}
			})
		})
	}
}

// What a poll is told is no older than the poll: another may have told its user more.
func TestPollsSeeWhatWasThereWhenTheyCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc, s := newComparer()
		var all sync.WaitGroup
		for range 200 {
			all.Go(func() {
				if absent, err := s.UserKeyAbsent(t.Context(), "w/j/job-1/final"); err != nil || !absent {
					t.Errorf("%v %v", absent, err)
				}
			})
		}
		all.Wait()
		all.Go(func() { _, _ = s.UserKeyAbsent(t.Context(), "w/j/job-2/final") })
		synctest.Wait() // that question is on its way
		svc.mu.Lock()
		svc.present["w/j/job-2/final"] = true
		svc.mu.Unlock()
		if absent, err := s.UserKeyAbsent(t.Context(), "w/j/job-2/final"); err != nil || absent {
			t.Errorf("absent %v, %v, though it was there before the question", absent, err)
		}
		all.Wait()
	})
}

// A user who goes away takes nobody else's answer along, whether it waits, asks for all,
// or has just been given the turn.
func TestUsersWhoGoAwayLeaveTheOthersTheirAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc, s := newComparer(5)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var all sync.WaitGroup
		for i := range 300 {
			c := t.Context()
			if i%2 == 0 {
				c = ctx
			}
			all.Go(func() {
				if absent, err := s.UserKeyAbsent(c, fmt.Sprintf("w/j/job-%d/final", i)); err == nil && absent == (i == 5) || err != nil && c != ctx {
					t.Errorf("%d: %v %v", i, absent, err)
				}
			})
			if i == 150 {
				time.Sleep(7 * time.Millisecond)
				cancel()
			}
		}
		all.Wait()
		if failed := ask(t, s, svc, 10); failed > 0 {
			t.Errorf("%d failed afterwards", failed)
		}
	})
}

// The same at the very moment at which the turn comes: it must ask, or nobody would.
func TestTurnOfAUserWhoJustGoesAwayIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s := newComparer()
		first, next := &absenceQuery{key: "a", turn: make(chan struct{})}, &absenceQuery{key: "b", turn: make(chan struct{})}
		s.absences.asking, s.absences.waiting = true, []*absenceQuery{first, next}
		if !s.absences.remove(next) || len(s.absences.waiting) != 1 {
			t.Error("who waits can't go away")
		}
		close(first.turn)
		if s.absences.remove(first) {
			t.Error("whose turn it is goes away")
		}
	})
}

func TestComparisonsInPiecesLeaveNothingOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc, s := newComparer(47)
		svc.most = 10
		var asked []*absenceQuery
		for i := range 48 {
			asked = append(asked, &absenceQuery{key: fmt.Sprintf("w/j/job-%d/final", i)})
		}
		if found, err := s.presentKeys(t.Context(), asked); err != nil || len(found) != 1 || !found["w/j/job-47/final"] {
			t.Errorf("%v %v", found, err)
		}
	})
}

func TestPollsDuringAnOutageAreRefusedAndComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc, s := newComparer(1)
		svc.down = true
		if failed := ask(t, s, svc, 100); failed != 100 {
			t.Errorf("%d of 100 refused", failed)
		}
		if _, err := s.UserKeyAbsent(t.Context(), "w/j/job-1/final"); !errors.Is(err, ErrRefused) {
			t.Errorf("%v", err)
		}
		svc.down = false
		time.Sleep(time.Second)
		if failed := ask(t, s, svc, 100); failed != 0 {
			t.Errorf("%d failed", failed)
		}
	})
}

// How many polls may wait follows the pace at which they are asked; one more is refused
// and counted.
func TestWaitingPollsAreBounded(t *testing.T) {
	for _, tc := range []struct {
		name   string
		limits settings.StateStoreLimits
		room   int
	}{
		{"a slow service", settings.StateStoreLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 2048},
		{"a large deployment", settings.StateStoreLimits{RPS: 300, WriteRPS: 90, ValueKB: 8, TxnOps: 12}, 2880},
		{"three times its arrivals", settings.StateStoreLimits{RPS: 900, WriteRPS: 270, ValueKB: 8, TxnOps: 12}, 8640},
	} {
		s := NewStore(&comparer{}, "state:1", tc.limits, 5)
		refused := 0
		s.OnPollRefused = func() { refused++ }
		s.absences.asking = true // so that all wait
		s.absences.waiting = make([]*absenceQuery, tc.room-1)
		gone, leave := context.WithCancel(t.Context())
		leave()
		if _, err := s.UserKeyAbsent(gone, "w/j/job-1/final"); !errors.Is(err, context.Canceled) || refused != 0 {
			t.Errorf("%s: the last that may wait: %v, %d refused", tc.name, err, refused)
		}
		s.absences.waiting = make([]*absenceQuery, tc.room)
		if _, err := s.UserKeyAbsent(t.Context(), "w/j/job-1/final"); !errors.Is(err, ErrBudget) || !errors.Is(err, ErrRefused) || refused != 1 {
			t.Errorf("%s: one more: %v, %d refused", tc.name, err, refused)
		}
	}
}
