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

// flood lets so many callers of a client in, each holding its place for a time,
// and counts those who were through by an end.
func flood(ctx context.Context, wg *sync.WaitGroup, q *Queue, team, client string, callers int, hold time.Duration, served *int, mu *sync.Mutex) {
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				leave, err := q.Enter(ctx, team, client, 1)
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
				leave()
				mu.Lock()
				*served++
				mu.Unlock()
			}
		})
	}
}

// Teams that all want more than there is get it by weight, however many clients
// and callers each has; clients of one team share alike.
func TestSharesFollowWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Limits{Concurrency: 4, MaxWaiting: 1000, Weights: map[string]float64{"red": 3}})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		var mu sync.Mutex
		var red, blue, small int
		flood(ctx, &wg, q, "red", "r", 10, 100*time.Millisecond, &red, &mu)
		flood(ctx, &wg, q, "blue", "many", 200, 100*time.Millisecond, &blue, &mu)
		flood(ctx, &wg, q, "blue", "few", 4, 100*time.Millisecond, &small, &mu)
		wg.Wait()
		total := float64(red + blue + small)
		if total < 3900 || math.Abs(float64(red)/total-0.75) > 0.02 || math.Abs(float64(small)/total-0.125) > 0.02 {
			t.Errorf("red %d, blue's two clients %d and %d", red, blue, small)
		}
	})
}

// A team that asks seldom is served next, whatever floods beside it; nobody saves
// up what he did not ask for.
func TestQuietOnesAreServedNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Limits{Concurrency: 2, MaxWaiting: 100})
		// No deadline: how long the quiet one waits in all hangs on how the two places
		// happen to be staggered, and is up to a second each time.
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var wg sync.WaitGroup
		var mu sync.Mutex
		flooded := 0
		flood(ctx, &wg, q, "red", "r", 500, time.Second, &flooded, &mu)
		time.Sleep(10 * time.Second)
		for range 20 {
			begun := time.Now()
			leave, err := q.Enter(ctx, "blue", "b", 1)
			if err != nil {
				t.Fatal(err)
			}
			if waited := time.Since(begun); waited > time.Second {
				t.Errorf("a quiet team waited %s for places that are held for 1 s", waited)
			}
			leave()
			time.Sleep(2 * time.Second)
		}
		cancel()
		wg.Wait()
		if flooded < 80 {
			t.Errorf("the flood got %d", flooded)
		}
	})
}

// A full queue refuses at once and says when; who waits with less than his share
// takes the place of one of those who flood it.
func TestAFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Limits{Concurrency: 1, MaxWaiting: 10})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		first, err := q.Enter(ctx, "red", "r", 1)
		if err != nil {
			t.Fatal(err)
		}
		refused := make(chan error, 20)
		for range 11 {
			go func() {
				_, err := q.Enter(ctx, "red", "r", 1)
				refused <- err
			}()
		}
		synctest.Wait()
		var busy *BusyError
		if err := <-refused; !errors.As(err, &busy) || busy.RetryAfter < leastRetry {
			t.Fatalf("one too many got %v", err)
		}
		// Another client of the team, and another team: both find a place.
		got := make(chan string, 2)
		for _, who := range [][2]string{{"red", "other"}, {"blue", "b"}} {
			go func() {
				leave, err := q.Enter(ctx, who[0], who[1], 1)
				if err != nil {
					t.Error(who, err)
					return
				}
				got <- who[0] + " " + who[1]
				leave()
			}()
			synctest.Wait()
			if err := <-refused; !errors.As(err, &busy) {
				t.Fatalf("who was dropped got %v", err)
			}
		}
		if s := q.Stats(); s.Waiting != 10 || s.ByTeam["blue"] != 1 || s.Refused != 3 {
			t.Errorf("%+v", s)
		}
		first()
		synctest.Wait()
		if a := <-got; a != "blue b" {
			t.Errorf("%s was first", a)
		}
		cancel()
		synctest.Wait()
		if s := q.Stats(); s.Waiting != 0 || s.ByTeam["red"] != 0 {
			t.Errorf("%+v", s)
		}
	})
}

// Who gives up or has waited for too long leaves no place behind him.
func TestGivingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Limits{Concurrency: 1, MaxWaiting: 10, MaxWait: 3 * time.Second})
		leave, err := q.Enter(context.Background(), "red", "r", 1)
		if err != nil {
			t.Fatal(err)
		}
		begun := time.Now()
		var busy *BusyError
		if _, err := q.Enter(context.Background(), "red", "r", 1); !errors.As(err, &busy) || time.Since(begun) != 3*time.Second {
			t.Errorf("%v after %s", err, time.Since(begun))
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := q.Enter(ctx, "red", "r", 1); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%v", err)
		}
		cancel()
		if _, err := q.Enter(ctx, "red", "r", 1); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("who had given up before: %v", err)
		}
		leave()
		leave() // once more is nothing
		if s := q.Stats(); s.Inside != 0 || s.Waiting != 0 {
			t.Errorf("%+v", s)
		}
		if leave, err := q.Enter(context.Background(), "blue", "b", 1); err != nil {
			t.Error(err)
		} else {
			leave()
		}
	})
}

// A rate is shared by cost: small pieces of one do not pass large ones of another.
func TestARateIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(Limits{PerSecond: 1000, MaxWaiting: 100, Weights: map[string]float64{"blue": 4}})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
		defer cancel()
		var mu sync.Mutex
		var wg sync.WaitGroup
		sent := map[string]float64{}
		for team, piece := range map[string]float64{"red": 10, "blue": 100} {
			for range 4 {
				wg.Go(func() {
					for {
						leave, err := q.Enter(ctx, team, "c", piece)
						if err != nil {
							return
						}
						leave()
						mu.Lock()
						sent[team] += piece
						mu.Unlock()
					}
				})
			}
		}
		wg.Wait()
		if all := sent["red"] + sent["blue"]; math.Abs(all-100_000) > 1000 || math.Abs(sent["blue"]/all-0.8) > 0.02 {
			t.Errorf("sent %v", sent)
		}
	})
}

// Whatever callers do, no more are inside than may be, and none stays behind.
func TestRandomCallers(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			most := 1 + rng.IntN(4)
			q := New(Limits{Concurrency: most, MaxWaiting: rng.IntN(20), MaxWait: time.Duration(rng.IntN(2)) * time.Second})
			var mu sync.Mutex
			inside := 0
			var wg sync.WaitGroup
			for i := range 200 {
				team, client := fmt.Sprint(rng.IntN(3)), fmt.Sprint(rng.IntN(3))
				at, hold, gives := time.Duration(rng.IntN(5000))*time.Millisecond, time.Duration(rng.IntN(200))*time.Millisecond, time.Duration(1+rng.IntN(2000))*time.Millisecond
				wg.Go(func() {
					time.Sleep(at)
					ctx, cancel := context.WithTimeout(context.Background(), gives)
					defer cancel()
					leave, err := q.Enter(ctx, team, client, float64(i%5))
					if err != nil {
						return
					}
					mu.Lock()
					if inside++; inside > most {
						t.Errorf("seed %d: %d inside of %d", seed, inside, most)
					}
					mu.Unlock()
					time.Sleep(hold)
					mu.Lock()
					inside--
					mu.Unlock()
					leave()
				})
			}
			wg.Wait()
			if s := q.Stats(); s.Inside != 0 || s.Waiting != 0 || s.Admitted+s.Refused > 200 {
				t.Errorf("seed %d: %+v", seed, s)
			}
		})
	}
}

func TestTheZeroValueLetsEverybodyIn(t *testing.T) {
	var q Queue
	for range 100 {
		if _, err := q.Enter(context.Background(), "a", "b", 1); err != nil {
			t.Fatal(err)
		}
	}
}

// A team alone borrows most of it; who comes then finds some at once and his whole
// quota as others give back.
func TestLedgerBorrows(t *testing.T) {
	l, err := NewLedger(100, 80, []string{"red", "blue", "red"}, map[string]float64{"blue": 3})
	if err != nil || l.Quota("red") != 25 || l.Quota("blue") != 75 {
		t.Fatalf("%v, quotas %v and %v", err, l.Quota("red"), l.Quota("blue"))
	}
	take := func(team, client string) (n int) {
		for l.Acquire(team, client, 1) {
			n++
		}
		return n
	}
	if n := take("red", "r"); n != 80 {
		t.Errorf("one client took %d of at most 80", n)
	}
	if n := take("red", "s"); n != 1 { // 81, so that a quarter of blue's 75 is left
		t.Errorf("the team borrowed up to %d", 80+n)
	}
	if n := take("blue", "b"); n != 19 {
		t.Errorf("who came later found %d", n)
	}
	for range 60 {
		l.Release("red", "r", 1)
	}
	if n := take("blue", "b"); n != 59 { // its own 75, and 3 of the 4 that red leaves
		t.Errorf("blue took %d more", n)
	}
	if n := take("red", "r"); n != 1 {
		t.Errorf("red took %d again", n)
	}
	if l.Held()["blue"] != 78 || l.Acquire("green", "g", 1) {
		t.Errorf("held %v", l.Held())
	}
}

func TestLimitsAreChecked(t *testing.T) {
	for _, l := range []Limits{{Concurrency: -1}, {PerSecond: math.NaN()}, {MaxWaiting: -1}, {MaxWait: -1}, {Weights: map[string]float64{"a": 0}}} {
		if l.Check() == nil {
			t.Errorf("%+v passes", l)
		}
	}
	for _, f := range []func() (*Ledger, error){
		func() (*Ledger, error) { return NewLedger(0, 0, nil, nil) },
		func() (*Ledger, error) { return NewLedger(1, -1, nil, nil) },
		func() (*Ledger, error) { return NewLedger(1, 0, nil, map[string]float64{"a": math.Inf(1)}) },
	} {
		if _, err := f(); err == nil {
			t.Error("a ledger that is none")
		}
	}
}
