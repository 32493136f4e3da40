package agents

import (
	"micaspindle/internal/coordination/cluster"
)

const (
	// slowFactor is how many times as long as the same job's tasks elsewhere a task takes
	// before it counts as slow.
	slowFactor = 3
	// slowTasksLimit is how many slow tasks in a row quarantine a machine.
	slowTasksLimit = 2
	// slowSampleSize is how many tasks of the job must be done elsewhere, to compare.
	slowSampleSize = 3
)

// detectSlowMachine judges a machine by a task's run time, in seconds, against those of the same
// job on other machines: their estimates share one error, so the estimate says nothing. A false
// alarm costs little, since work that runs goes on; only no new work comes, and the machine is
// returned once idle.
func (a *Agents) detectSlowMachine(attempt *cluster.Attempt, ran float64) {
	if attempt.Slow || attempt.StartTimeUnknown() {
		return
	}
	sum, count := runTimesElsewhere(attempt)
	if count < slowSampleSize || ran < slowFactor*sum/float64(count) {
		return
	}
	attempt.Slow = true
	machine := attempt.Machine
	machine.SlowTasks++
	if machine.SlowTasks >= slowTasksLimit && !machine.Quarantined {
		a.quarantine(machine, "tasks take far longer than elsewhere")
	}
}

// runTimesElsewhere is the sum of the run times, in seconds, of the tasks of an attempt's job
// that were done on other machines, and how many those are.
func runTimesElsewhere(attempt *cluster.Attempt) (sum float64, count int) {
	for name, times := range attempt.Job.RunTimesS {
		if name == attempt.Machine.Name {
			continue
		}
		for _, ran := range times {
			sum += ran
		}
		count += len(times)
	}
	return sum, count
}
