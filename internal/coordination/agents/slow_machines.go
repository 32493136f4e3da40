package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
)

const (
	// A task is slow if it runs at least slowFactor times the mean run time of the same job's
	// tasks on other machines.
	slowFactor = 3
	// slowSampleSize is the minimum number of tasks completed on other machines for a
	// comparison.
	slowSampleSize = 3
)

// detectSlowMachine quarantines a machine on which tasks run far longer than tasks of the same job
// on other machines. runTimeS is the run time of an attempt so far, in seconds. The user's estimate
// is not used, since it may be wrong for all tasks of the job. A false positive is cheap: running
// tasks continue, and the machine is returned to the cloud once it is idle.
func (a *Agents) detectSlowMachine(attempt *cluster.Attempt, runTimeS float64, now time.Time) {
	if attempt.Slow || attempt.StartTimeUnknown() {
		return
	}
	sum, count := runTimesElsewhere(attempt)
	if count < slowSampleSize || runTimeS < slowFactor*sum/float64(count) {
		return
	}
	attempt.Slow = true
	machine := attempt.Machine
	if machine.Quarantined {
		return
	}
	machine.SlowTasks++
	if machine.SlowTasks >= cluster.SlowTasksLimit {
		a.quarantine(machine, "tasks take far longer than on other machines", now)
	}
}

// runTimesElsewhere returns the total run time, in seconds, and the number of the tasks that an
// attempt's job completed on other machines.
func runTimesElsewhere(attempt *cluster.Attempt) (sum float64, count int) {
	for name, times := range attempt.Job.RunTimesS {
		if name == attempt.Machine.Name {
			continue
		}
		for _, runTimeS := range times {
			sum += runTimeS
		}
		count += len(times)
	}
	return sum, count
}
