package retry

import (
	"fmt"
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

func TestPausesGrowWithinBounds(t *testing.T) {
	b := Backoff{100 * time.Millisecond, time.Second}
	for failures, bound := range map[int]time.Duration{0: 100, 1: 100, 2: 200, 3: 400, 4: 800, 5: 1000, 60: 1000, 5000: 1000} {
		bound *= time.Millisecond
		p := b.Pause("n0 commit", failures)
		if p < bound/2 || p > bound || p != b.Pause("n0 commit", failures) {
			t.Errorf("after %d failures %s, bound %s", failures, p, bound)
		}
	}
	tries := Tries{Backoff: b, Who: "x"}
	first := tries.Failed()
	tries.Failed()
	tries.Succeeded()
	if again := tries.Failed(); again != first || first > 100*time.Millisecond {
		t.Errorf("%s, after a success %s", first, again)
	}
}

// Those who failed together do not come back together: of 2,000 whose pause is up to
// a second, no 100 ms of the second half hold much more than a fifth.
func TestPausesAreSpread(t *testing.T) {
	b := Backoff{time.Second, time.Second}
	for try := 1; try < 4; try++ {
		buckets := map[int]int{}
		for i := range 2000 {
			buckets[int(b.Pause(fmt.Sprint("controller-", i), try)/(100*time.Millisecond))]++
		}
		for at, n := range buckets {
			if at < 5 || at > 9 || n > 480 {
				t.Errorf("try %d: %d of 2000 come between %d and %d ms", try, n, at*100, at*100+100)
			}
		}
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := Budget{Ratio: 0.1, Max: 5}
	for i := range 5 {
		if !b.Retry() {
			t.Fatalf("retry %d is refused though nothing was tried yet", i)
		}
	}
	retries := 0
	for range 1000 { // all fail
		b.Call()
		if b.Retry() {
			retries++
		}
	}
	if retries < 95 || retries > 101 {
		t.Errorf("%d retries of 1000 calls that fail", retries)
	}
	for range 1000 { // all answered
		b.Call()
	}
	for n := 0; ; n++ {
		if !b.Retry() {
			if n != 5 {
				t.Errorf("%d were saved, at most 5", n)
			}
			break
		}
	}
	if new(Budget).Retry() {
		t.Error("the zero value gives retries")
	}
}

func TestCircuit(t *testing.T) {
	c := CircuitBreaker{After: 2, OpenTime: Backoff{time.Second, 4 * time.Second}}
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	if !c.Allow(now) || c.Open(now) {
		t.Error("a new one is open")
	}
	c.Done(at(0), false)
	if !c.Allow(at(0)) {
		t.Error("one failure of two opened it")
	}
	c.Done(at(0), false)
	if c.Allow(at(0.4)) || !c.Open(at(0.4)) {
		t.Error("it is closed in its rest")
	}
	if !c.Allow(at(1)) || c.Allow(at(1)) || c.Open(at(1)) {
		t.Error("after the rest not one call tries")
	}
	c.Done(at(1.1), false)
	if c.Allow(at(2.0)) || !c.Allow(at(3.2)) {
		t.Error("the second rest is not longer")
	}
	if c.Allow(at(4)) || !c.Allow(at(7.3)) {
		t.Error("a try of which nothing is heard keeps others out for good, or not at all")
	}
	c.Done(at(7.4), true)
	for range 2 {
		if !c.Allow(at(7.4)) {
			t.Error("an answer did not close it")
		}
	}
	// The zero value opens at once and rests not at all: callers give both.
	var zero CircuitBreaker
	zero.Done(now, false)
	if !zero.Allow(now) {
		t.Error("the zero value rests")
	}
}
