package scheduler

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
)

// Scarcity looks over all unfinished jobs, those of other parts too: machines
// move between parts. It is kept for a moment, like the order of jobs.
func (sched *Scheduler) Scarcity(now time.Time) binpack.Scarcity {
	if sched.ScarcityCache != nil && now.Sub(sched.scarcityAt) < cluster.QueueOrderTTL {
		return sched.ScarcityCache
	}
	s := binpack.Scarcity{}
	for id, j := range sched.Jobs {
		if j.Ended || j.Blocked || sched.FinalStates[id] != "" || j.Loaded && len(j.Pending) == 0 {
			continue
		}
		n := sched.typeCount(j.Spec)
		for i := range sched.Catalog {
			if t := &sched.Catalog[i]; binpack.FitsOffered(cluster.ConstraintsOf(j.Spec), cluster.ResourcesOf(j.Spec), t) {
				s.Note(t.Name, n)
			}
		}
	}
	sched.ScarcityCache, sched.scarcityAt = s, now
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
func (sched *Scheduler) predictTasks(m *cluster.Machine, now time.Time) []contention.Task {
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
func (sched *Scheduler) RemainingS(a *cluster.Attempt, now time.Time) float64 {
	if a.Job.Spec.Standing {
		return sched.horizon().MaxS
	}
	return max(sched.EstimateS(a.Job.Spec)-a.RunningS(now), sched.HeartbeatInterval.Seconds())
}

// runtimeCorrection is how run times of a class compare with their estimates.
type runtimeCorrection struct {
	Ratio float64
	Count int
}

// LearnRunTime takes in a completed task. The ratio follows slowly, since single
// estimates are often wrong by half.
func (sched *Scheduler) LearnRunTime(class string, ran, estimate float64) {
	if estimate <= 0 || ran <= 0 {
		return
	}
	b := sched.Corrections[class]
	if b == nil {
		if !sched.mayLearn() {
			return
		}
		b = &runtimeCorrection{Ratio: 1}
		sched.Corrections[class] = b
	}
	b.Count++
	weight := max(0.02, 1/float64(b.Count+5))
	b.Ratio += weight * (min(4, max(0.25, ran/estimate)) - b.Ratio)
}

// mayLearn says whether the run times of one more class may be learnt.
func (sched *Scheduler) mayLearn() bool {
	if len(sched.Corrections) < MaxClassGroups {
		return true
	}
	sched.bounds.Met(telemetry.Estimates, 1)
	return false
}

// EstimateS is the owner's estimate, corrected by what the class has shown.
func (sched *Scheduler) EstimateS(s *protocol.JobSpec) float64 {
	if b := sched.Corrections[s.Class]; b != nil {
		return s.EstimateS * b.Ratio
	}
	return s.EstimateS
}

// RuntimeCorrections lists what was learned of classes, by name.
func (sched *Scheduler) RuntimeCorrections() (list []*peer.RuntimeCorrection) {
	for _, class := range slices.Sorted(maps.Keys(sched.Corrections)) {
		correction := sched.Corrections[class]
		list = append(list, &peer.RuntimeCorrection{Class: class, Ratio: correction.Ratio, Count: uint32(correction.Count)})
	}
	return list
}

// AdoptCorrection takes over what another controller has learned of a class, if that is
// more than what is known here.
func (sched *Scheduler) AdoptCorrection(told *peer.RuntimeCorrection) {
	own := sched.Corrections[told.Class]
	if own != nil && own.Count >= int(told.Count) || told.Ratio <= 0 || told.Ratio > 4 {
		return
	}
	if own != nil || sched.mayLearn() {
		sched.Corrections[told.Class] = &runtimeCorrection{Ratio: told.Ratio, Count: int(told.Count)}
	}
}
