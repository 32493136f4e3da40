package coordination

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
)

// Scarcity looks over all unfinished jobs, those of other parts too: machines
// move between parts. It is kept for a moment, like the order of jobs.
func (sched *Scheduler) Scarcity(now time.Time) binpack.Scarcity {
	if sched.scarcityCache != nil && now.Sub(sched.scarcityAt) < QueueOrderTTL {
		return sched.scarcityCache
	}
	s := binpack.Scarcity{}
	for id, j := range sched.Jobs {
		if j.Ended || j.Blocked || sched.FinalStates[id] != "" || j.Loaded && len(j.Pending) == 0 {
			continue
		}
		n := sched.typeCount(j.Spec)
		for i := range sched.Catalog {
			if t := &sched.Catalog[i]; binpack.FitsOffered(ConstraintsOf(j.Spec), ResourcesOf(j.Spec), t) {
				s.Note(t.Name, n)
			}
		}
	}
	sched.scarcityCache, sched.scarcityAt = s, now
	return s
}

// typeCount is on how many machine types a task could run.
func (sched *Scheduler) typeCount(s *protocol.JobSpec) int {
	return binpack.TypeCount(sched.typeSet(s))
}

func (sched *Scheduler) horizon() contention.Horizon {
	return contention.Horizon{MaxS: 3600, OverdueS: sched.HeartbeatInterval.Seconds()}
}

// predictTasks lists a machine's running tasks as placement sees them.
func (sched *Scheduler) predictTasks(m *Machine, now time.Time) []contention.Task {
	var tasks []contention.Task
	for _, a := range m.Attempts {
		if a.Live() {
			tasks = append(tasks, sched.predictTask(a.Job.Spec, a.RunningS(now)))
		}
	}
	return tasks
}

func (sched *Scheduler) predictTask(s *protocol.JobSpec, elapsed float64) contention.Task {
	return contention.Task{ElapsedS: elapsed, EstimateS: sched.EstimateS(s), Use: s.CPUs, Service: s.Standing}
}

// RemainingS predicts how long an attempt still runs.
func (sched *Scheduler) RemainingS(a *Attempt, now time.Time) float64 {
	if a.Job.Spec.Standing {
		return sched.horizon().MaxS
	}
	return max(sched.EstimateS(a.Job.Spec)-a.RunningS(now), sched.HeartbeatInterval.Seconds())
}

const (
	slowFactor     = 3 // how much longer than its like a task takes on a slow machine
	slowTasksLimit = 2 // so many such tasks, and the machine is set aside
	slowSampleSize = 3 // so many tasks of the job must be done elsewhere, to compare
)

// detectSlowMachine judges a machine by a task's run time against those of the same
// job on other machines: their estimates share one error, so the estimate says
// nothing. A false alarm costs little, since work that runs goes on; only no
// new work comes, and the machine is returned once idle.
func (ag *Agents) detectSlowMachine(a *Attempt, ran float64) {
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

// runtimeCorrection is how run times of a class compare with their estimates.
type runtimeCorrection struct {
	ratio float64
	count int
}

// LearnRunTime takes in a completed task. The ratio follows slowly, since single
// estimates are often wrong by half.
func (sched *Scheduler) LearnRunTime(class string, ran, estimate float64) {
	if estimate <= 0 || ran <= 0 {
		return
	}
	b := sched.runtimeCorrections[class]
	if b == nil {
		if !sched.mayLearn() {
			return
		}
		b = &runtimeCorrection{ratio: 1}
		sched.runtimeCorrections[class] = b
	}
	b.count++
	weight := max(0.02, 1/float64(b.count+5))
	b.ratio += weight * (min(4, max(0.25, ran/estimate)) - b.ratio)
}

// mayLearn says whether the run times of one more class may be learnt.
func (sched *Scheduler) mayLearn() bool {
	if len(sched.runtimeCorrections) < classGroupsLimit {
		return true
	}
	sched.bounds.Met(telemetry.Estimates, 1)
	return false
}

// EstimateS is the owner's estimate, corrected by what the class has shown.
func (sched *Scheduler) EstimateS(s *protocol.JobSpec) float64 {
	if b := sched.runtimeCorrections[s.Class]; b != nil {
		return s.EstimateS * b.ratio
	}
	return s.EstimateS
}

// RuntimeCorrections lists what was learned of classes, by name.
func (sched *Scheduler) RuntimeCorrections() (list []*peer.ClassTale) {
	for _, class := range slices.Sorted(maps.Keys(sched.runtimeCorrections)) {
		correction := sched.runtimeCorrections[class]
		list = append(list, &peer.ClassTale{Class: class, Ratio: correction.ratio, Count: uint32(correction.count)})
	}
	return list
}

// AdoptCorrection takes over what another controller has learned of a class, if that is
// more than what is known here.
func (sched *Scheduler) AdoptCorrection(told *peer.ClassTale) {
	own := sched.runtimeCorrections[told.Class]
	if own != nil && own.count >= int(told.Count) || told.Ratio <= 0 || told.Ratio > 4 {
		return
	}
	if own != nil || sched.mayLearn() {
		sched.runtimeCorrections[told.Class] = &runtimeCorrection{ratio: told.Ratio, count: int(told.Count)}
	}
}
