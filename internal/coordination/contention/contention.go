// Package contention computes the contention rate by which progress-based placement compares
// machines: the expected number of co-running tasks, summed over seconds. It implements ProCon
// (Fu et al., "Progress-based Container Scheduling for Short-lived Applications in a
// Kubernetes Cluster"). The comments refer to the equations and algorithms of that paper.
package contention

import "math"

const (
	// maxProgress is MAX in equation 3: the progress of a finished task, in percent.
	maxProgress = 100
	// roundingTolerance prevents rounding errors from adding a second: 30.000000000000004 seconds
	// count as 30.
	roundingTolerance = 1e-9
)

// Task is the input of the prediction for one running task.
type Task struct {
	ElapsedS  float64
	EstimateS float64
	// Use is R in equation 2: the amount of resources that the task uses on its machine.
	Use float64
	// Service marks a task that runs until it is stopped, and so until the end of the horizon.
	Service bool
}

// Machine is a candidate with its running tasks. They must not change after the first call of
// Choose, since results are cached.
type Machine struct {
	Tasks []Task
	// UseLimit is the total use below which Choose prefers the machine.
	UseLimit float64

	// Total use and contention rate of the running tasks. They don't depend on the new task, so
	// they are computed only once.
	computed        bool
	use, contention float64
}

// Horizon holds the limits of the predicted remaining times of tasks.
type Horizon struct {
	// LengthS is the length of the horizon in seconds. It limits every prediction, and services are
	// predicted to run for all of it.
	LengthS float64
	// OverdueS is the predicted remaining time, in seconds, of a task that has reached its
	// estimate: one heartbeat interval.
	OverdueS float64
}

// Remaining returns the remaining-time indicator of equation 3, i = f / u × (MAX − P), in seconds.
// share is u in equation 2. Agents don't report progress, so P is the elapsed time as a percentage
// of the estimate, and f, the time for one percent of progress, is a hundredth of the estimate.
func (h Horizon) Remaining(t Task, share float64) float64 {
	switch {
	case t.Service:
		return h.LengthS
	case t.EstimateS <= 0 || t.ElapsedS >= t.EstimateS:
		return min(h.OverdueS, h.LengthS)
	case share <= 0:
		return h.LengthS
	}
	f := t.EstimateS / maxProgress
	progress := t.ElapsedS / t.EstimateS * maxProgress
	return min(f/share*(maxProgress-progress), h.LengthS)
}

// expectedSeconds returns the number of one-second steps of algorithm 1 during which a task is
// expected to run.
func (h Horizon) expectedSeconds(t Task, share float64) float64 {
	return math.Ceil(h.Remaining(t, share) - roundingTolerance)
}

// Contention returns the contention rate of equation 4 as defined by algorithm 1: for each second
// up to the largest indicator, the expected number of running tasks minus one, summed up. A task
// with indicator i counts for ceil(i) seconds, so the sum is computed without a loop over seconds.
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

// EvenContention returns the contention rate that algorithm 2 uses if no machine is under its
// use limit: the rate with newTask added, where each task gets an equal share of the machine.
func (h Horizon) EvenContention(tasks []Task, newTask Task) float64 {
	share := 1 / float64(len(tasks)+1)
	own := h.expectedSeconds(newTask, share)
	sum, longest := own, own
	for _, task := range tasks {
		seconds := h.expectedSeconds(task, share)
		sum += seconds
		longest = max(longest, seconds)
	}
	return sum - longest
}

// totalUse returns the sum of the tasks' use.
func totalUse(tasks []Task) float64 {
	var sum float64
	for _, task := range tasks {
		sum += task.Use
	}
	return sum
}

// compute caches total use and contention rate of the running tasks.
func (m *Machine) compute(h Horizon) {
	if !m.computed {
		m.computed, m.use, m.contention = true, totalUse(m.Tasks), h.Contention(m.Tasks)
	}
}

// Choose implements algorithm 2: it returns the index of the machine on which to place newTask, or
// -1 if there are no machines. Among machines under their use limits it chooses the one with the
// lowest contention rate of its running tasks. If no machine is under its use limit, it chooses the
// one with the lowest EvenContention. before breaks ties: it reports whether machine a is preferred to
// machine b.
func (h Horizon) Choose(machines []*Machine, newTask Task, before func(a, b int) bool) int {
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
		consider(i, h.EvenContention(machine.Tasks, newTask))
	}
	return best
}
