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

// fakeStore is a fake state store that only checks conditions. It responds after a short delay.
type fakeStore struct {
	mu            sync.Mutex
	present       map[string]bool
	requests      int
	maxConditions int // maximum conditions in a transaction; 0 means no limit
	maxFailed     int // maximum keys named in a conflict; 0 means no limit
	down          bool
}

func (c *fakeStore) Do(ctx context.Context, _, _, _ string, body []byte) (*transport.Response, error) {
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
	c.requests++
	var failed []string
	for _, cond := range txn.If {
		if c.present[cond.Key] && (c.maxFailed == 0 || len(failed) < c.maxFailed) {
			failed = append(failed, cond.Key)
		}
	}
	answer := func(status int, v any) (*transport.Response, error) {
		return &transport.Response{Status: status, Body: protocol.Encode(v)}, nil
	}
	switch {
	case c.down:
		return answer(503, map[string]any{})
	case c.maxConditions > 0 && len(txn.If) > c.maxConditions:
		return answer(400, protocol.Problem{Error: "too many"})
	case len(failed) > 0:
		return answer(409, protocol.TransactionResult{Failed: failed})
	}
	return answer(200, protocol.TransactionResult{Revision: 7})
}

// pollConcurrently sends n queries concurrently and returns the number of failed ones. It fails the
// test if a result is wrong.
func pollConcurrently(t *testing.T, s *Store, c *fakeStore, n int) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range n {
		wg.Go(func() {
			key := fmt.Sprintf("w/j/job-%d/final", i)
			absent, err := s.UserKeyAbsent(t.Context(), key)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			} else if absent == c.present[key] {
				t.Errorf("UserKeyAbsent of %s = %v, want the opposite", key, absent)
			}
		})
	}
	wg.Wait()
	return failed
}

func newFakeStore(present ...int) (*fakeStore, *Store) {
	c := &fakeStore{present: map[string]bool{}}
	for _, i := range present {
		c.present[fmt.Sprintf("w/j/job-%d/final", i)] = true
	}
	return c, NewStore(c, "state:1", settings.StateStoreLimits{RPS: 300, WriteRPS: 90, ValueKB: 8, TxnOps: 12}, 5)
}

// Guards against one request per poll, which starved the renewals of the controllers' leases
// (docs/incidents/night-flood.md).
func TestManyPollsTakeFewRequests(t *testing.T) {
	for name, c := range map[string]struct {
		change      func(*fakeStore)
		maxRequests int
		maxTime     time.Duration
	}{
		"no faults":                      {func(*fakeStore) {}, 40, 2 * time.Second},
		"one key named in each conflict": {func(c *fakeStore) { c.maxFailed = 1 }, 60, 2 * time.Second},
		"unannounced size limit":         {func(c *fakeStore) { c.maxConditions = 10 }, 200, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				svc, s := newFakeStore(3, 400, 401, 402, 999)
				c.change(svc)
				begun := time.Now()
				if failed := pollConcurrently(t, s, svc, 1000); failed > 0 || svc.requests > c.maxRequests || time.Since(begun) > c.maxTime {
					t.Errorf("%d polls failed, %d requests sent in %s, want no failures and at most maxRequests and maxTime of the case", failed, svc.requests, time.Since(begun))
				}
			})
		})
	}
}

// The result of a poll must not be older than the poll, or a user could see a job's state go back.
func TestPollsSeeWhatWasThereWhenTheyCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc, s := newFakeStore()
		var wg sync.WaitGroup
		for range 200 {
			wg.Go(func() {
				if absent, err := s.UserKeyAbsent(t.Context(), "w/j/job-1/final"); err != nil || !absent {
					t.Errorf("UserKeyAbsent of an absent key = %v, %v, want true, nil", absent, err)
				}
			})
		}
		wg.Wait()
		wg.Go(func() { _, _ = s.UserKeyAbsent(t.Context(), "w/j/job-2/final") })
		synctest.Wait() // until that query is in flight
		svc.mu.Lock()
		svc.present["w/j/job-2/final"] = true
		svc.mu.Unlock()
		if absent, err := s.UserKeyAbsent(t.Context(), "w/j/job-2/final"); err != nil || absent {
			t.Errorf("UserKeyAbsent of a key written before the query = %v, %v, want false, nil", absent, err)
		}
		wg.Wait()
	})
}

// A cancelled query must not fail others, whether it is waiting, is the sender, or has just become
// the sender.
func TestCancelledPollsDoNotFailOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc, s := newFakeStore(5)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var wg sync.WaitGroup
		for i := range 300 {
			c := t.Context()
			if i%2 == 0 {
				c = ctx
			}
			wg.Go(func() {
				if absent, err := s.UserKeyAbsent(c, fmt.Sprintf("w/j/job-%d/final", i)); err == nil && absent == (i == 5) || err != nil && c != ctx {
					t.Errorf("query %d: UserKeyAbsent = %v, %v", i, absent, err)
				}
			})
			if i == 150 {
				time.Sleep(7 * time.Millisecond)
				cancel()
			}
		}
		wg.Wait()
		if failed := pollConcurrently(t, s, svc, 10); failed > 0 {
			t.Errorf("%d queries failed after the cancellation", failed)
		}
	})
}

// A query that is cancelled when it has just become the sender must still send its batch, or the
// queue would stall.
func TestCancelledSenderStaysInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, s := newFakeStore()
		first, next := &absenceQuery{key: "a", ready: make(chan struct{})}, &absenceQuery{key: "b", ready: make(chan struct{})}
		s.absences.sending, s.absences.waiting = true, []*absenceQuery{first, next}
		if !s.absences.remove(next) || len(s.absences.waiting) != 1 {
			t.Error("a cancelled waiting query was not removed")
		}
		close(first.ready)
		if s.absences.remove(first) {
			t.Error("the sender was removed from the queue")
		}
	})
}

func TestSplitBatchesCoverAllKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc, s := newFakeStore(47)
		svc.maxConditions = 10
		var asked []*absenceQuery
		for i := range 48 {
			asked = append(asked, &absenceQuery{key: fmt.Sprintf("w/j/job-%d/final", i)})
		}
		if found, err := s.presentKeys(t.Context(), asked); err != nil || len(found) != 1 || !found["w/j/job-47/final"] {
			t.Errorf("presentKeys = %v, %v, want only key 47", found, err)
		}
	})
}

func TestPollsAreRefusedOnlyDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc, s := newFakeStore(1)
		svc.down = true
		if failed := pollConcurrently(t, s, svc, 100); failed != 100 {
			t.Errorf("%d of 100 queries failed during an outage, want all", failed)
		}
		if _, err := s.UserKeyAbsent(t.Context(), "w/j/job-1/final"); !errors.Is(err, ErrRefused) {
			t.Errorf("error during an outage: %v, want ErrRefused", err)
		}
		svc.down = false
		time.Sleep(time.Second)
		if failed := pollConcurrently(t, s, svc, 100); failed != 0 {
			t.Errorf("%d queries failed after the outage, want 0", failed)
		}
	})
}

// The queue's capacity follows the rate at which batches are sent. A query beyond it is refused and
// counted.
func TestWaitingPollsAreBounded(t *testing.T) {
	for _, tc := range []struct {
		name     string
		limits   settings.StateStoreLimits
		capacity int
	}{
		{"low request rate", settings.StateStoreLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 2048},
		{"large deployment", settings.StateStoreLimits{RPS: 300, WriteRPS: 90, ValueKB: 8, TxnOps: 12}, 2880},
		{"high request rate", settings.StateStoreLimits{RPS: 900, WriteRPS: 270, ValueKB: 8, TxnOps: 12}, 8640},
	} {
		s := NewStore(&fakeStore{}, "state:1", tc.limits, 5)
		refused := 0
		s.OnPollRefused = func() { refused++ }
		s.absences.sending = true // so that the query waits
		s.absences.waiting = make([]*absenceQuery, tc.capacity-1)
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := s.UserKeyAbsent(cancelled, "w/j/job-1/final"); !errors.Is(err, context.Canceled) || refused != 0 {
			t.Errorf("%s: query within the capacity: error %v, %d queries refused; want context.Canceled after waiting, and none refused", tc.name, err, refused)
		}
		s.absences.waiting = make([]*absenceQuery, tc.capacity)
		if _, err := s.UserKeyAbsent(t.Context(), "w/j/job-1/final"); !errors.Is(err, ErrBudget) || !errors.Is(err, ErrRefused) || refused != 1 {
			t.Errorf("%s: query beyond the capacity: error %v, %d queries refused; want ErrBudget and 1", tc.name, err, refused)
		}
	}
}
