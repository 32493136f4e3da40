package contention

import (
	"math"
	"testing"
)

var h = Horizon{LengthS: 1000, OverdueS: 3}

func TestRemaining(t *testing.T) {
	for _, tc := range []struct {
		name string
		task Task
		u    float64
		want float64
	}{
		// f = 40/100 = 0.4, P = 10/40 = 25%: 0.4/1 × 75 = 30.
		{"alone", Task{ElapsedS: 10, EstimateS: 40}, 1, 30},
		// With half of the machine, the task takes twice as long: 0.4/0.5 × 75 = 60.
		{"half of the machine", Task{ElapsedS: 10, EstimateS: 40}, 0.5, 60},
		{"not started", Task{EstimateS: 25}, 1, 25},
		// Past the estimate: one heartbeat interval, whatever the share.
		{"overdue", Task{ElapsedS: 50, EstimateS: 40}, 0.1, 3},
		{"no estimate", Task{ElapsedS: 5}, 1, 3},
		{"service", Task{Service: true, EstimateS: 5}, 1, 1000},
		// 0.4/0.01 × 100 = 4000, beyond the horizon.
		{"limited by the horizon", Task{EstimateS: 40}, 0.01, 1000},
	} {
		if got := h.Remaining(tc.task, tc.u); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("%s: %v s remaining, want %v", tc.name, got, tc.want)
		}
	}
}

// contentionBySecond computes algorithm 1 second by second, as written in the paper.
func contentionBySecond(indicators []float64) float64 {
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

func TestContention(t *testing.T) {
	// Uses 4 and 4, so u = 1/2 each.
	// a: 0.1/0.5 × (100−0) = 20 s. b: 0.2/0.5 × (100−50) = 20 s.
	// Both run for 20 seconds: 20 × (2−1) = 20.
	two := []Task{{EstimateS: 10, Use: 4}, {ElapsedS: 10, EstimateS: 20, Use: 4}}
	if got := h.Contention(two); got != 20 {
		t.Errorf("two tasks of equal use: contention %v, want 20", got)
	}
	// Uses 8 and 4: u = 2/3 and 1/3.
	// a: 0.12/(2/3) × 100 = 18. b: 0.1/(1/3) × 100 = 30.
	// 18 seconds with two tasks, 12 with one: 18.
	uneven := []Task{{EstimateS: 12, Use: 8}, {EstimateS: 10, Use: 4}}
	if got := h.Contention(uneven); got != 18 {
		t.Errorf("two tasks of different use: contention %v, want 18", got)
	}
	if got := h.Contention(nil); got != 0 {
		t.Errorf("no tasks: contention %v, want 0", got)
	}
	if got := h.Contention(two[:1]); got != 0 {
		t.Errorf("one task: contention %v, want 0", got)
	}
	// With a third task, each gets 1/3: 0.1×3×100 = 30, 0.2×3×50 = 30, and 0.05×3×100 = 15.
	// 15 seconds with three tasks, 15 with two: 15×2 + 15×1 = 45.
	if got := h.EvenContention(two, Task{EstimateS: 5, Use: 4}); got != 45 {
		t.Errorf("even shares: contention %v, want 45", got)
	}
	for _, estimates := range [][]float64{{3, 3, 7.5}, {0.2}, {10, 4.4, 4.6, 1}} {
		tasks := make([]Task, len(estimates))
		for i, estimate := range estimates {
			tasks[i] = Task{EstimateS: estimate, Use: 1}
		}
		indicators := make([]float64, len(estimates))
		for i, estimate := range estimates {
			indicators[i] = estimate * float64(len(estimates))
		}
		if got, want := h.Contention(tasks), contentionBySecond(indicators); math.Abs(got-want) > 1e-9 {
			t.Errorf("estimates %v: contention %v, but %v when summed second by second", estimates, got, want)
		}
	}
}

func TestChoose(t *testing.T) {
	long := Task{EstimateS: 100, Use: 4}
	short := Task{EstimateS: 10, Use: 4}
	newTask := Task{EstimateS: 10, Use: 4}
	for _, tc := range []struct {
		name     string
		machines []*Machine
		want     int
	}{
		{"no machines", nil, -1},
		// Two short tasks against two long ones, the paper's first example:
		// 10/0.5 = 20 each, contention 20, against 100/0.5 = 200 each, contention 200.
		{"lower contention", []*Machine{{Tasks: []Task{long, long}, UseLimit: 16}, {Tasks: []Task{short, short}, UseLimit: 16}}, 1},
		// A machine under its use limit is preferred, whatever its contention.
		{"under the use limit", []*Machine{{Tasks: []Task{short}, UseLimit: 4}, {Tasks: []Task{long, long, long}, UseLimit: 16}}, 1},
		// No machine is under its use limit. The new task with the long task: indicators
		// 20 and 200, contention 20. With the two short tasks: 30, 30 and 30, contention 60.
		{"even shares", []*Machine{{Tasks: []Task{short, short}, UseLimit: 8}, {Tasks: []Task{long}, UseLimit: 4}}, 1},
		{"tie broken by the caller", []*Machine{{Tasks: []Task{long}, UseLimit: 16}, {UseLimit: 16}}, 0},
	} {
		if got := h.Choose(tc.machines, newTask, func(a, b int) bool { return a < b }); got != tc.want {
			t.Errorf("%s: chose machine %d, want %d", tc.name, got, tc.want)
		}
	}
}
