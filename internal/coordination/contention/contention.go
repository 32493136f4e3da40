// Package contention computes the contention that progress-based placement
// (ProCon, Fu et al.) compares: expected co-running tasks per second. It is
// pure, so that it can be checked against values worked out by hand.
package contention

import "math"

// full is MAX, the progress of a task that has ended, in percent.
const full = 100

// rounding keeps 30.000000000000004 from counting as 31 seconds.
const rounding = 1e-9

// Task is a running task as the prediction sees it.
type Task struct {
	ElapsedS  float64
	EstimateS float64
	// Use is the share measure R: what the task occupies on its machine.
	Use float64
	// Service says that the task runs until the horizon ends.
	Service bool
}

// Machine is a candidate with its running tasks.
type Machine struct {
	Tasks []Task
	// UseLimit is the use below which the machine counts as under its limit.
	UseLimit float64

	// The machine as it is does not depend on the newcomer, so that many can be
	// placed against one computation.
	computed        bool
	use, contention float64
}

// precompute computes what does not depend on a newcomer, once.
func (h Horizon) precompute(m *Machine) {
	if !m.computed {
		m.computed, m.use, m.contention = true, Use(m.Tasks), h.Contention(m.Tasks)
	}
}

// Horizon bounds predictions.
type Horizon struct {
	// MaxS is when services count as over; no prediction goes beyond it.
	MaxS float64
	// OverdueS is what a task past its estimate still gets: one report period.
	OverdueS float64
}

// Remaining is the remaining-time indicator i = f / u × (MAX − P) of equation
// 3. Workers report no progress, so P is elapsed time over the estimate in
// percent and f the estimate over 100.
func (h Horizon) Remaining(t Task, u float64) float64 {
	if t.Service {
		return h.MaxS
	}
	if t.EstimateS <= 0 || t.ElapsedS >= t.EstimateS {
		return min(h.OverdueS, h.MaxS)
	}
	if u <= 0 {
		return h.MaxS
	}
	f := t.EstimateS / full
	p := t.ElapsedS / t.EstimateS * full
	return min(f/u*(full-p), h.MaxS)
}

// Contention is algorithm 1: the sum over each second until the largest
// indicator of the expected running tasks minus one. A task with indicator i
// runs in ceil(i) of these seconds, so the sum needs no loop over seconds.
func (h Horizon) Contention(tasks []Task) float64 {
	total := Use(tasks)
	var sum, longest float64
	for _, t := range tasks {
		seconds := h.seconds(t, t.Use/total)
		sum += seconds
		longest = max(longest, seconds)
	}
	return sum - longest
}

// EvenContention recomputes a machine's contention as if newcomer had joined
// and each task got 1/(running tasks + 1).
func (h Horizon) EvenContention(tasks []Task, newcomer Task) float64 {
	even := 1 / float64(len(tasks)+1)
	own := h.seconds(newcomer, even)
	sum, longest := own, own
	for _, t := range tasks {
		seconds := h.seconds(t, even)
		sum += seconds
		longest = max(longest, seconds)
	}
	return sum - longest
}

// seconds is in how many seconds a task is expected to run.
func (h Horizon) seconds(t Task, u float64) float64 { return math.Ceil(h.Remaining(t, u) - rounding) }

// Use is the summed use of tasks.
func Use(tasks []Task) float64 {
	var sum float64
	for _, t := range tasks {
		sum += t.Use
	}
	return sum
}

// Choose is algorithm 2: the index of the machine to place newcomer on, or -1
// without candidates. Machines under their limit go first, by contention as it
// is; if there is none, all compete by even-share contention. tie says whether
// candidate a goes before b where both are equal.
func (h Horizon) Choose(machines []*Machine, newcomer Task, tie func(a, b int) bool) int {
	best, least := -1, math.Inf(1)
	consider := func(i int, c float64) {
		if best < 0 || c < least || c == least && tie(i, best) {
			best, least = i, c
		}
	}
	for i, m := range machines {
		if h.precompute(m); m.use < m.UseLimit {
			consider(i, m.contention)
		}
	}
	if best >= 0 {
		return best
	}
	for i, m := range machines {
		consider(i, h.EvenContention(m.Tasks, newcomer))
	}
	return best
}
