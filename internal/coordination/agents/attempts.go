package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/telemetry"
)

// attemptExited books the end that a worker reported.
func (ag *Agents) attemptExited(a *cluster.Attempt, t protocol.TaskReport, now time.Time) {
	j := a.Job
	a.ExitCause = t.Cause
	a.State = cluster.AttemptExited
	ag.release(a, now)
	ch := j.Chunk(a.TaskIndex)
	ch.Exited = append(ch.Exited, a)
	if j.Ended {
		ag.jobs.DropIfReleased(j)
		return
	}
	switch t.Cause {
	case protocol.CauseDone:
		ag.attemptDone(a, now)
	case protocol.CauseError:
		ag.attemptFailed(a, now)
	case protocol.CauseFull, protocol.CauseInUse:
		a.Machine.AvoidUntil = now.Add(refusedBackoff)
		ag.startRefused(a)
	case protocol.CauseUnknown:
		j.BackoffUntil = now.Add(unknownJobBackoff)
		ag.startRefused(a)
	default:
		j.Requeue(a.TaskIndex)
	}
}

// refusedBackoff is how long a machine that refused a start is given no other.
const refusedBackoff = time.Second

// unknownJobBackoff is how long a job that a worker does not know waits.
const unknownJobBackoff = 2 * time.Second

// failedBackoff is how long a machine on which a task failed is given no start.
const failedBackoff = 10 * time.Second

// failureBackoffMax bounds how long a job that fails on several machines waits; the
// wait doubles with each failure.
const failureBackoffMax = time.Minute

// attemptDone books a task that completed.
func (ag *Agents) attemptDone(a *cluster.Attempt, now time.Time) {
	j, m := a.Job, a.Machine
	if j.Spec.Standing {
		j.Requeue(a.TaskIndex)
		return
	}
	if !a.StartedAt.IsZero() && !a.StartUnknown() {
		ran := now.Sub(a.StartedAt).Seconds()
		ag.scheduler.LearnRunTime(j.Spec.Class, ran, j.Spec.EstimateS)
		ag.detectSlowMachine(a, ran)
		if !a.Slow {
			m.SlowTasks = 0
		}
		if j.RunTimesS == nil {
			j.RunTimesS = map[string][]float64{}
		}
		j.RunTimesS[m.Name] = append(j.RunTimesS[m.Name], ran)
	}
	j.Failures = 0
	clear(m.FailedJobs)
	if !j.TaskDone[a.TaskIndex] {
		j.TaskDone[a.TaskIndex] = true
		j.DoneCount++
	}
	j.Completing = j.DoneCount == j.Spec.Tasks
}

// attemptFailed books a task that failed. Its machine may be at fault, or its job.
func (ag *Agents) attemptFailed(a *cluster.Attempt, now time.Time) {
	j, m := a.Job, a.Machine
	j.Requeue(a.TaskIndex)
	j.Failures++
	m.FailedJobs[j.Spec.ID] = true
	m.AvoidUntil = now.Add(failedBackoff)
	ag.metrics.Count(telemetry.AttemptFailed, 1)
	ag.log.Info("task failed", "task", a.TaskName(), "machine", m.Name, "failures", j.Failures)
	if j.FailedMachines == nil {
		j.FailedMachines = map[string]bool{}
	}
	j.FailedMachines[m.Name] = true
	if len(j.FailedMachines) >= 2 {
		// It fails on different machines: the job may be at fault, so it
		// must not burn the fleet.
		j.BackoffUntil = now.Add(min(failureBackoffMax, time.Second<<min(j.Failures, 6)))
	}
	if len(m.FailedJobs) >= 2 && !m.Quarantined {
		m.Quarantined = true
		ag.log.Info("machine set aside", "machine", m.Name, "reason", "different jobs fail on it")
		for _, b := range m.SortedAttempts() {
			ag.StopAttempt(b, b.Job.Spec.SaveS+1, now)
		}
	}
}

// startRefused books a start that the worker refused.
func (ag *Agents) startRefused(a *cluster.Attempt) {
	a.Job.Requeue(a.TaskIndex)
	ag.log.Info("start refused", "task", a.TaskName(), "machine", a.Machine.Name, "reason", a.ExitCause)
}

// ReleaseAttempt books an attempt that is proven over without a result.
func (ag *Agents) ReleaseAttempt(a *cluster.Attempt, reason string, now time.Time) {
	delete(a.Machine.Attempts, cluster.AttemptKey(a.TaskName(), a.Number))
	if !a.Live() {
		return
	}
	ag.log.Info("attempt over", "task", a.TaskName(), "machine", a.Machine.Name, "reason", reason)
	a.State = cluster.AttemptReleased
	ag.release(a, now)
	a.Machine.RecountUsed()
	if a.Job.Ended {
		ag.jobs.DropIfReleased(a.Job)
		return
	}
	a.Job.Requeue(a.TaskIndex)
}

// release frees what an attempt held.
func (ag *Agents) release(a *cluster.Attempt, now time.Time) {
	j := a.Job
	delete(j.LiveAttempts, a.TaskIndex)
	if !a.StartedAt.IsZero() {
		j.RunningCount--
	}
	p := ag.Partitions[j.Partition]
	p.Usage[j.Team].Add(cluster.ResourcesOf(j.Spec), -1)
	if j.Spec.Gang && a.ExitCause != protocol.CauseDone {
		// Without one, the others can't go on: all start again together.
		for _, mate := range j.Attempts() {
			ag.StopAttempt(mate, j.Spec.SaveS+1, now)
		}
	}
	j.MarkDirty(a.TaskIndex, false, now)
	p.Wake()
}

// StopAttempt wants an attempt off its machine.
func (ag *Agents) StopAttempt(a *cluster.Attempt, grace float64, now time.Time) {
	if !a.Live() || a.Stopping && a.StopGraceS <= grace {
		return
	}
	if a.State == cluster.AttemptReserved || a.State == cluster.AttemptCommitted && a.StartToken == 0 && a.StartsInFlight == 0 && a.Machine.Fenced {
		// Nothing was sent, so nothing can arrive.
		ag.ReleaseAttempt(a, "stopped before its start", now)
		return
	}
	a.Stopping, a.StopGraceS, a.StopRequestedAt = true, grace, now
	ag.fenceOutStart(a, now)
	ag.SendCommands(a.Machine)
}

// evacuate moves work off a machine that will be taken: what would be over in
// time goes on, what can save does so at the last moment, and what would be
// lost anyway is started elsewhere now.
func (ag *Agents) evacuate(m *cluster.Machine, now time.Time) {
	left := m.PreemptionAt.Sub(now).Seconds()
	for _, a := range m.SortedAttempts() {
		if !a.Live() || a.Stopping {
			continue
		}
		s := a.Job.Spec
		remaining := ag.scheduler.RemainingS(a, now)
		switch {
		case a.StartedAt.IsZero():
			ag.StopAttempt(a, 0, now)
		case remaining < left*0.9:
		case s.CheckpointS > 0:
			if left < s.SaveS+2+1.5*ag.HeartbeatInterval.Seconds() {
				ag.StopAttempt(a, s.SaveS+1, now)
			}
		case remaining > left*1.2:
			ag.StopAttempt(a, 0, now)
		}
	}
}
