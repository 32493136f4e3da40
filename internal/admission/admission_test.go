package admission

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// flood starts callers of a client that enter the queue again and again, hold their slot for a
// time and retry after refusals, until ctx ends. It counts the admissions in served.
func flood(ctx context.Context, wg *sync.WaitGroup, q *Queue, team, client string, callers int, hold time.Duration, served *int, mu *sync.Mutex) {
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				release, err := q.Acquire(ctx, team, client, 1)
				var busy *BusyError
				if errors.As(err, &busy) {
					select {
					case <-time.After(busy.RetryAfter):
					case <-ctx.Done():
					}
					continue
				}
				if err != nil {
					return
				}
				time.Sleep(hold)
				release()
				mu.Lock()
				*served++
				mu.Unlock()
			}
		})
	}
}

// Teams that all exceed the capacity share it by weight, however many clients and callers each
// has, and the clients of a team share equally.
func TestThroughputFollowsWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Limits{Concurrency: 4, MaxWaiting: 1000, Weights: map[string]float64{"red": 3}})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		var mu sync.Mutex
		var red, blueMany, blueFew int
		flood(ctx, &wg, q, "red", "r", 10, 100*time.Millisecond, &red, &mu)
		flood(ctx, &wg, q, "blue", "many", 200, 100*time.Millisecond, &blueMany, &mu)
		flood(ctx, &wg, q, "blue", "few", 4, 100*time.Millisecond, &blueFew, &mu)
		wg.Wait()
		total := float64(red + blueMany + blueFew)
		if total < 3900 || math.Abs(float64(red)/total-0.75) > 0.02 || math.Abs(float64(blueFew)/total-0.125) > 0.02 {
			t.Errorf("admitted: %d for red, %d and %d for the clients of blue; want shares of 3/4, 1/8 and 1/8", red, blueMany, blueFew)
		}
	})
}

// A team that seldom has callers is admitted next, even while another team floods the queue, and
// its idle time earns it no credit.
func TestIdleTeamsAreAdmittedNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Limits{Concurrency: 2, MaxWaiting: 100})
		// There is no deadline, since the total wait of blue depends on when the two slots are
		// released: it is up to a second each time.
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var wg sync.WaitGroup
		var mu sync.Mutex
		flooded := 0
		flood(ctx, &wg, q, "red", "r", 500, time.Second, &flooded, &mu)
		time.Sleep(10 * time.Second)
		for range 20 {
			begun := time.Now()
			release, err := q.Acquire(ctx, "blue", "b", 1)
			if err != nil {
				t.Fatal(err)
			}
			if waited := time.Since(begun); waited > time.Second {
				t.Errorf("blue waited %s, want at most the 1 s for which slots are held", waited)
			}
			release()
			time.Sleep(2 * time.Second)
		}
		cancel()
		wg.Wait()
		if flooded < 80 {
			t.Errorf("red was admitted %d times, want at least 80", flooded)
		}
	})
}

// A full queue refuses callers at once with a retry delay, but evicts a waiter of a client or team
// above its share for a caller of one below.
func TestFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Limits{Concurrency: 1, MaxWaiting: 10})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		release, err := q.Acquire(ctx, "red", "r", 1)
		if err != nil {
			t.Fatal(err)
		}
		refused := make(chan error, 20)
		for range 11 {
			go func() {
				_, err := q.Acquire(ctx, "red", "r", 1)
				refused <- err
			}()
		}
		synctest.Wait()
		var busy *BusyError
		if err := <-refused; !errors.As(err, &busy) || busy.RetryAfter < minRetryDelay {
			t.Fatalf("caller of the full queue got error %v, want BusyError with a retry delay", err)
		}
		// Another client of the team and another team may both wait.
		got := make(chan string, 2)
		for _, who := range [][2]string{{"red", "other"}, {"blue", "b"}} {
			go func() {
				release, err := q.Acquire(ctx, who[0], who[1], 1)
				if err != nil {
					t.Errorf("%v was refused: %v", who, err)
					return
				}
				got <- who[0] + " " + who[1]
				release()
			}()
			synctest.Wait()
			if err := <-refused; !errors.As(err, &busy) {
				t.Fatalf("evicted waiter got error %v, want BusyError", err)
			}
		}
		if s := q.Stats(); s.Waiting != 10 || s.ByTeam["blue"] != 1 || s.Refused != 3 {
			t.Errorf("stats of the full queue: %+v, want 10 waiting, 1 of them of blue, and 3 refused", s)
		}
		release()
		synctest.Wait()
		if a := <-got; a != "blue b" {
			t.Errorf("%q was admitted first, want blue", a)
		}
		cancel()
		synctest.Wait()
		if s := q.Stats(); s.Waiting != 0 || s.ByTeam["red"] != 0 {
			t.Errorf("stats after all contexts ended: %+v, want none waiting", s)
		}
	})
}

// A caller that is cancelled or times out occupies neither a slot nor a place in the queue.
func TestCancelledAndTimedOutCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Limits{Concurrency: 1, MaxWaiting: 10, MaxWait: 3 * time.Second})
		release, err := q.Acquire(context.Background(), "red", "r", 1)
		if err != nil {
			t.Fatal(err)
		}
		begun := time.Now()
		var busy *BusyError
		if _, err := q.Acquire(context.Background(), "red", "r", 1); !errors.As(err, &busy) || time.Since(begun) != 3*time.Second {
			t.Errorf("got error %v after %s, want BusyError after 3 s", err, time.Since(begun))
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := q.Acquire(ctx, "red", "r", 1); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("caller whose context ends while it waits got error %v, want DeadlineExceeded", err)
		}
		cancel()
		if _, err := q.Acquire(ctx, "red", "r", 1); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("caller whose context has ended before got error %v, want DeadlineExceeded", err)
		}
		release()
		release() // has no effect
		if s := q.Stats(); s.Active != 0 || s.Waiting != 0 {
			t.Errorf("stats after all callers left: %+v, want none inside or waiting", s)
		}
		if release, err := q.Acquire(context.Background(), "blue", "b", 1); err != nil {
			t.Errorf("caller of the idle queue was refused: %v", err)
		} else {
			release()
		}
	})
}

// The rate is shared by cost: a team gets no more of it by splitting its work into small calls.
func TestRateIsSharedByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Limits{PerSecond: 1000, MaxWaiting: 100, Weights: map[string]float64{"blue": 4}})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
		defer cancel()
		var mu sync.Mutex
		var wg sync.WaitGroup
		sent := map[string]float64{}
		for team, cost := range map[string]float64{"red": 10, "blue": 100} {
			for range 4 {
				wg.Go(func() {
					for {
						release, err := q.Acquire(ctx, team, "c", cost)
						if err != nil {
							return
						}
						release()
						mu.Lock()
						sent[team] += cost
						mu.Unlock()
					}
				})
			}
		}
		wg.Wait()
		if all := sent["red"] + sent["blue"]; math.Abs(all-100_000) > 1000 || math.Abs(sent["blue"]/all-0.8) > 0.02 {
			t.Errorf("cost admitted: %v, want 100,000 in all and 80%% of it for blue", sent)
		}
	})
}

// With random callers, the concurrency limit holds and no slot or waiter is leaked.
func TestRandomCallers(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			limit := 1 + rng.IntN(4)
			q := New(Limits{Concurrency: limit, MaxWaiting: rng.IntN(20), MaxWait: time.Duration(rng.IntN(2)) * time.Second})
			var mu sync.Mutex
			inside := 0
			var wg sync.WaitGroup
			for i := range 200 {
				team, client := fmt.Sprint(rng.IntN(3)), fmt.Sprint(rng.IntN(3))
				start, hold, timeout := time.Duration(rng.IntN(5000))*time.Millisecond, time.Duration(rng.IntN(200))*time.Millisecond, time.Duration(1+rng.IntN(2000))*time.Millisecond
				wg.Go(func() {
					time.Sleep(start)
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					release, err := q.Acquire(ctx, team, client, float64(i%5))
					if err != nil {
						return
					}
					mu.Lock()
					if inside++; inside > limit {
						t.Errorf("seed %d: %d callers hold slots, limit %d", seed, inside, limit)
					}
					mu.Unlock()
					time.Sleep(hold)
					mu.Lock()
					inside--
					mu.Unlock()
					release()
				})
			}
			wg.Wait()
			if s := q.Stats(); s.Active != 0 || s.Waiting != 0 || s.Admitted+s.Refused > 200 {
				t.Errorf("seed %d: stats after all callers left: %+v, want none inside or waiting, and 200 calls at most", seed, s)
			}
		})
	}
}

func TestZeroValueAdmitsEverybody(t *testing.T) {
	var q Queue
	for range 100 {
		if _, err := q.Acquire(context.Background(), "a", "b", 1); err != nil {
			t.Fatal(err)
		}
	}
}

// A team may borrow the unused quota of another except for the part that is never lent. The other
// team can use that part at once, and the rest of its quota as the borrower releases it.
func TestQuotaPoolBorrows(t *testing.T) {
	l, err := NewQuotaPool(100, 80, []string{"red", "blue", "red"}, map[string]float64{"blue": 3})
	if err != nil || l.Quota("red") != 25 || l.Quota("blue") != 75 {
		t.Fatalf("NewQuotaPool: error %v, quotas of red and blue %v and %v, want 25 and 75", err, l.Quota("red"), l.Quota("blue"))
	}
	take := func(team, client string) (n int) {
		for l.Acquire(team, client, 1) {
			n++
		}
		return n
	}
	if n := take("red", "r"); n != 80 {
		t.Errorf("first client of red took %d, want its limit of 80", n)
	}
	if n := take("red", "s"); n != 1 { // 81 in all: red's own 25 and 56 of blue's 75, a quarter of which is not lent
		t.Errorf("red took %d in all, want 81", 80+n)
	}
	if n := take("blue", "b"); n != 19 {
		t.Errorf("blue took %d, want the 19 that are left", n)
	}
	for range 60 {
		l.Release("red", "r", 1)
	}
	if n := take("blue", "b"); n != 59 { // 78 in all: its own 75 and 3 of the 4 that red does not use
		t.Errorf("blue took %d more, want 59", n)
	}
	if n := take("red", "r"); n != 1 {
		t.Errorf("red took %d more, want 1", n)
	}
	if l.Held()["blue"] != 78 || l.Acquire("green", "g", 1) {
		t.Errorf("held %v, want 78 by blue and none by the unknown team green", l.Held())
	}
}

func TestInvalidLimits(t *testing.T) {
	for _, l := range []Limits{{Concurrency: -1}, {PerSecond: math.NaN()}, {MaxWaiting: -1}, {MaxWait: -1}, {Weights: map[string]float64{"a": 0}}} {
		if l.Check() == nil {
			t.Errorf("invalid limits %+v are accepted", l)
		}
	}
	for i, f := range []func() (*QuotaPool, error){
		func() (*QuotaPool, error) { return NewQuotaPool(0, 0, nil, nil) },
		func() (*QuotaPool, error) { return NewQuotaPool(1, -1, nil, nil) },
		func() (*QuotaPool, error) { return NewQuotaPool(1, 0, nil, map[string]float64{"a": math.Inf(1)}) },
	} {
		if _, err := f(); err == nil {
			t.Errorf("NewQuotaPool accepted the invalid arguments of case %d", i)
		}
	}
}
