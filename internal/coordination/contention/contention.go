// Package contention computes the contention rate by which progress-based placement compares
// machines: the expected number of co-running tasks, summed over seconds. It follows ProCon
// (Fu et al., "Progress-based Container Scheduling for Short-lived Applications in a
// Kubernetes Cluster"), whose equations and algorithms the comments name. It is pure, so that
// it can be checked against values worked out by hand.
package contention

import "math"

const (
	// maxProgress is MAX of equation 3: the progress of a task that has ended, in percent.
	maxProgress = 100
	// roundingTolerance keeps 30.000000000000004 from counting as 31 seconds.
	roundingTolerance = 1e-9
)

// Task is a running task as the prediction sees it.
type Task struct {
	ElapsedS  float64
	EstimateS float64
	// Use is R of equation 2: the amount of resources that the task takes on its machine.
	Use float64
	// Service: the task runs until the horizon ends.
	Service bool
}

// Machine is a candidate with its running tasks, which must not change once it was compared.
type Machine struct {
	Tasks []Task
	// UseLimit is the use below which the machine counts as under its limit.
	UseLimit float64

	// The contention of the machine as it is does not depend on the newcomer. It is computed
	// once, so that many tasks can be placed against it.
	computed        bool
	use, contention float64
}

// Horizon bounds predictions.
type Horizon struct {
	// MaxS is how many seconds services count as running; no prediction goes beyond it.
	MaxS float64
	// OverdueS is how many seconds a task past its estimate is expected to run: one
	// heartbeat interval.
	OverdueS float64
}

// Remaining is the remaining-time indicator of equation 3, i = f / u × (MAX − P), in seconds.
// share is u of equation 2. Agents report no progress, so the progress P is the elapsed time
// over the estimate in percent, and f, the time that a percent takes, the estimate over 100.
func (h Horizon) Remaining(t Task, share float64) float64 {
	switch {
	case t.Service:
		return h.MaxS
	case t.EstimateS <= 0 || t.ElapsedS >= t.EstimateS:
		return min(h.OverdueS, h.MaxS)
	case share <= 0:
		return h.MaxS
	}
	f := t.EstimateS / maxProgress
	progress := t.ElapsedS / t.EstimateS * maxProgress
	return min(f/share*(maxProgress-progress), h.MaxS)
}

// expectedSeconds is in how many of the seconds of algorithm 1 a task is expected to run.
func (h Horizon) expectedSeconds(t Task, share float64) float64 {
	return math.Ceil(h.Remaining(t, share) - roundingTolerance)
}

// Contention is the contention rate of equation 4, computed as in algorithm 1: the sum, over
// each second until the largest indicator, of the expected running tasks minus one. A task
// with indicator i runs in ceil(i) of these seconds, so the sum needs no loop over seconds.
func (h Horizon) Contention(tasks []Task) float64 {
	total := totalUse(tasks)
	var sum, longest float64
	for _, task := range tasks {
		seconds := h.expectedSeconds(task, task.Use/total) // equation 2
		sum += seconds
		longest = max(longest, seconds)
	}
	return sum - longest
}

// EvenContention is the contention rate as algorithm 2 updates it where no machine is under
// its limit: as if newcomer had joined, and each task got 1/(running tasks + 1).
func (h Horizon) EvenContention(tasks []Task, newcomer Task) float64 {
	share := 1 / float64(len(tasks)+1)
	own := h.expectedSeconds(newcomer, share)
	sum, longest := own, own
	for _, task := range tasks {
		seconds := h.expectedSeconds(task, share)
		sum += seconds
		longest = max(longest, seconds)
	}
	return sum - longest
}

// totalUse is the summed use of tasks.
func totalUse(tasks []Task) float64 {
	var sum float64
	for _, task := range tasks {
		sum += task.Use
	}
	return sum
}

// compute computes what does not depend on a newcomer, once.
func (m *Machine) compute(h Horizon) {
	if !m.computed {
		m.computed, m.use, m.contention = true, totalUse(m.Tasks), h.Contention(m.Tasks)
	}
}

// Choose is algorithm 2: the index of the machine to place newcomer on, or -1 without
// candidates. Machines under their limit go first, by their contention as it is; if there is
// none, all compete by even-share contention. before says whether candidate a goes before b
// where both are equal.
func (h Horizon) Choose(machines []*Machine, newcomer Task, before func(a, b int) bool) int {
	best, least := -1, math.Inf(1)
	consider := func(i int, rate float64) {
		if best < 0 || rate < least || rate == least && before(i, best) {
			best, least = i, rate
		}
	}
	for i, machine := range machines {
		if machine.compute(h); machine.use < machine.UseLimit {
			consider(i, machine.contention)
		}
	}
	if best >= 0 {
		return best
	}
	for i, machine := range machines {
		consider(i, h.EvenContention(machine.Tasks, newcomer))
	}
	return best
}
