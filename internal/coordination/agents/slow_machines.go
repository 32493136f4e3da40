package agents

import (
	"micaspindle/internal/coordination/cluster"
)

const slowFactor = 3 // how much longer than its like a task takes on a slow machine

const slowTasksLimit = 2 // so many such tasks, and the machine is set aside

const slowSampleSize = 3 // so many tasks of the job must be done elsewhere, to compare

// detectSlowMachine judges a machine by a task's run time against those of the same
// job on other machines: their estimates share one error, so the estimate says
// nothing. A false alarm costs little, since work that runs goes on; only no
// new work comes, and the machine is returned once idle.
func (ag *Agents) detectSlowMachine(a *cluster.Attempt, ran float64) {
	if a.Slow || a.StartUnknown() {
		return
	}
	var sum float64
	n := 0
	for name, times := range a.Job.RunTimesS {
		if name != a.Machine.Name {
			for _, t := range times {
				sum += t
				n++
			}
		}
	}
	if n < slowSampleSize || ran < slowFactor*sum/float64(n) {
		return
	}
	a.Slow = true
	m := a.Machine
	m.SlowTasks++
	if m.SlowTasks >= slowTasksLimit && !m.Quarantined {
		m.Quarantined = true
		ag.log.Info("machine set aside", "machine", m.Name, "reason", "tasks take far longer than elsewhere")
	}
}
