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
			t.Errorf("pause after %d failures is %s, want between half and all of %s, and the same each time", failures, p, bound)
		}
	}
	tries := FailureCounter{Backoff: b, JitterKey: "x"}
	first := tries.Failed()
	tries.Failed()
	tries.Succeeded()
	if again := tries.Failed(); again != first || first > 100*time.Millisecond {
		t.Errorf("first pause is %s, first pause after a success %s, want the same", first, again)
	}
}

// Callers that fail together must not retry together: the pauses of 2,000 callers with a bound of one
// second are spread evenly over its second half.
func TestPausesAreSpread(t *testing.T) {
	b := Backoff{time.Second, time.Second}
	for try := 1; try < 4; try++ {
		buckets := map[int]int{}
		for i := range 2000 {
			buckets[int(b.Pause(fmt.Sprint("controller-", i), try)/(100*time.Millisecond))]++
		}
		for at, n := range buckets {
			if at < 5 || at > 9 || n > 480 {
				t.Errorf("try %d: %d of 2000 callers retry between %d and %d ms, want at most 480, all from 500 to 1000 ms", try, n, at*100, at*100+100)
			}
		}
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := Budget{Ratio: 0.1, Max: 5}
	for i := range 5 {
		if !b.Retry() {
			t.Fatalf("retry %d of the initial 5 is refused", i)
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
		t.Errorf("%d retries for 1000 failed calls, want 95 to 101", retries)
	}
	for range 1000 { // all answered
		b.Call()
	}
	for n := 0; ; n++ {
		if !b.Retry() {
			if n != 5 {
				t.Errorf("%d retries allowed by a full budget, want 5", n)
			}
			break
		}
	}
	if new(Budget).Retry() {
		t.Error("the zero value allows a retry")
	}
}

func TestCircuitBreaker(t *testing.T) {
	c := CircuitBreaker{FailureThreshold: 2, OpenTime: Backoff{time.Second, 4 * time.Second}}
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	if !c.Allow(now) || c.Open(now) {
		t.Error("a new circuit is open")
	}
	c.Done(at(0), false)
	if !c.Allow(at(0)) {
		t.Error("the circuit is open after one failure, want two")
	}
	c.Done(at(0), false)
	if c.Allow(at(0.4)) || !c.Open(at(0.4)) {
		t.Error("the circuit is not open after two failures")
	}
	if !c.Allow(at(1)) || c.Allow(at(1)) || c.Open(at(1)) {
		t.Error("a half-open circuit does not allow exactly one probe")
	}
	c.Done(at(1.1), false)
	if c.Allow(at(2.0)) || !c.Allow(at(3.2)) {
		t.Error("the open time did not grow after a failed probe")
	}
	if c.Allow(at(4)) || !c.Allow(at(7.3)) {
		t.Error("a probe without an outcome does not block others for exactly OpenTime.Max")
	}
	c.Done(at(7.4), true)
	for range 2 {
		if !c.Allow(at(7.4)) {
			t.Error("the circuit did not close after an answered probe")
		}
	}
	// The zero value opens after one failure, with an open time of 0.
	var zero CircuitBreaker
	zero.Done(now, false)
	if !zero.Allow(now) {
		t.Error("the zero value blocks a call after a failure")
	}
}
