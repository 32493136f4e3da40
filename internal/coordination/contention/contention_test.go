package contention

import (
	"math"
	"testing"
)

// h is the horizon of all predictions in these tests.
var h = Horizon{MaxS: 1000, OverdueS: 3}

// The predicted rest of a task, by its progress and its share u of the machine.
func TestRemaining(t *testing.T) {
	for _, tc := range []struct {
		name string
		task Task
		u    float64
		want float64
	}{
		// f = 40/100 = 0.4, P = 10/40 = 25%: 0.4/1 × 75 = 30.
		{"alone", Task{ElapsedS: 10, EstimateS: 40}, 1, 30},
		// Half of the machine's use doubles it: 0.4/0.5 × 75 = 60.
		{"half the use", Task{ElapsedS: 10, EstimateS: 40}, 0.5, 60},
		{"not started", Task{EstimateS: 25}, 1, 25},
		// Beyond the estimate: one more heartbeat interval, whatever its share.
		{"overdue", Task{ElapsedS: 50, EstimateS: 40}, 0.1, 3},
		{"no estimate", Task{ElapsedS: 5}, 1, 3},
		{"service", Task{Service: true, EstimateS: 5}, 1, 1000},
		// 100/0.01 × ... = 0.4/0.01 × 100 = 4000, beyond the horizon.
		{"cut at the horizon", Task{EstimateS: 40}, 0.01, 1000},
	} {
		if got := h.Remaining(tc.task, tc.u); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("%s: remaining %v, want %v", tc.name, got, tc.want)
		}
	}
}

// contentionBySeconds sums algorithm 1 second by second, as the paper states it.
func contentionBySeconds(indicators []float64) float64 {
	longest, sum := 0.0, 0.0
	for _, i := range indicators {
		longest = max(longest, i)
	}
	for t := 0.0; t < longest; t++ {
		running := 0.0
		for _, i := range indicators {
			if i > t {
				running++
			}
		}
		sum += running - 1
	}
	return sum
}

// Contention is the sum over time of the tasks that run beside another one.
func TestContention(t *testing.T) {
	// Uses 4 and 4, so u = 1/2 each.
	// a: 0.1/0.5 × (100−0) = 20 s. b: 0.2/0.5 × (100−50) = 20 s.
	// Both run for 20 seconds: 20 × (2−1) = 20.
	two := []Task{{EstimateS: 10, Use: 4}, {ElapsedS: 10, EstimateS: 20, Use: 4}}
	if got := h.Contention(two); got != 20 {
		t.Errorf("two tasks: %v, want 20", got)
	}
	// Uses 8 and 4: u = 2/3 and 1/3.
	// a: 0.12/(2/3) × 100 = 18. b: 0.1/(1/3) × 100 = 30.
	// 18 seconds with two tasks, 12 with one: 18.
	uneven := []Task{{EstimateS: 12, Use: 8}, {EstimateS: 10, Use: 4}}
	if got := h.Contention(uneven); got != 18 {
		t.Errorf("uneven: %v, want 18", got)
	}
	if got := h.Contention(nil); got != 0 {
		t.Errorf("empty: %v", got)
	}
	if got := h.Contention(two[:1]); got != 0 {
		t.Errorf("one task alone: %v", got)
	}
	// Joined by a third, each gets 1/3: 30, 0.2×3×50 = 30, and 5×3 = 15.
	// 15 seconds with three tasks, 15 with two: 15×2 + 15×1 = 45.
	if got := h.EvenContention(two, Task{EstimateS: 5, Use: 4}); got != 45 {
		t.Errorf("even share: %v, want 45", got)
	}
	for _, ind := range [][]float64{{3, 3, 7.5}, {0.2}, {10, 4.4, 4.6, 1}} {
		tasks := make([]Task, len(ind))
		for i, v := range ind {
			tasks[i] = Task{EstimateS: v, Use: 1}
		}
		scaled := make([]float64, len(ind))
		for i, v := range ind {
			scaled[i] = v * float64(len(ind))
		}
		if got, want := h.Contention(tasks), contentionBySeconds(scaled); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v: %v, the sum over seconds gives %v", ind, got, want)
		}
	}
}

// Which machine a new task is placed on, by contention.
func TestChoose(t *testing.T) {
	long := Task{EstimateS: 100, Use: 4}
	short := Task{EstimateS: 10, Use: 4}
	newcomer := Task{EstimateS: 10, Use: 4}
	for _, tc := range []struct {
		name     string
		machines []*Machine
		want     int
	}{
		{"none", nil, -1},
		// Two tasks about to end contend less than two that stay: the paper's
		// first example. 2×(10/0.5)→20 against 200.
		{"soon free", []*Machine{{Tasks: []Task{long, long}, Limit: 16}, {Tasks: []Task{short, short}, Limit: 16}}, 1},
		// Under the limit goes first, whatever its contention.
		{"under limit first", []*Machine{{Tasks: []Task{short}, Limit: 4}, {Tasks: []Task{long, long, long}, Limit: 16}}, 1},
		// None is under its limit. With the newcomer (10/0.5 = 20): beside the
		// long task 200 and 20 → 20; beside two short 30, 30, 30 → 60.
		{"even share", []*Machine{{Tasks: []Task{short, short}, Limit: 8}, {Tasks: []Task{long}, Limit: 4}}, 1},
		{"ties are broken by the caller", []*Machine{{Tasks: []Task{long}, Limit: 16}, {Limit: 16}}, 0},
	} {
		if got := h.Choose(tc.machines, newcomer, func(a, b int) bool { return a < b }); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}
