package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/telemetry"
)

const (
	// refusedBackoff is how long a machine that refused a start gets no other.
	refusedBackoff = time.Second
	// unknownJobBackoff is how long a job that an agent does not know waits.
	unknownJobBackoff = 2 * time.Second
	// failedBackoff is how long a machine on which a task failed gets no start.
	failedBackoff = 10 * time.Second
	// failureBackoff is how long a job waits that fails on several machines; it doubles with
	// each failure, up to failureBackoffMax.
	failureBackoff    = time.Second
	failureBackoffMax = time.Minute
	// failureDoublingsLimit keeps the doubled backoff within its type.
	failureDoublingsLimit = 6
	// failedMachinesLimit is on how many machines a job fails before the job itself counts as
	// faulty.
	failedMachinesLimit = 2
	// failedJobsLimit is how many jobs fail on a machine before it is quarantined.
	failedJobsLimit = 2
	// saveSlackS is for how many seconds more than its job needs to save an attempt may go
	// on after a stop.
	saveSlackS = 1
)

// attemptExited takes in the end of an attempt that its agent reported.
func (a *Agents) attemptExited(attempt *cluster.Attempt, task protocol.TaskReport, now time.Time) {
	job := attempt.Job
	attempt.ExitCause = task.Cause
	attempt.State = cluster.AttemptExited
	a.release(attempt, now)
	chunk := job.Chunk(attempt.TaskIndex)
	chunk.Exited = append(chunk.Exited, attempt)
	if job.Ended {
		a.jobs.DropIfReleased(job)
		return
	}
	switch task.Cause {
	case protocol.CauseDone:
		a.attemptDone(attempt, now)
	case protocol.CauseError:
		a.attemptFailed(attempt, now)
	case protocol.CauseFull, protocol.CauseInUse:
		attempt.Machine.AvoidUntil = now.Add(refusedBackoff)
		a.startRefused(attempt)
	case protocol.CauseUnknown:
		job.BackoffUntil = now.Add(unknownJobBackoff)
		a.startRefused(attempt)
	default:
		job.Requeue(attempt.TaskIndex)
	}
}

// attemptDone takes in that a task completed. The tasks of a service start again.
func (a *Agents) attemptDone(attempt *cluster.Attempt, now time.Time) {
	job := attempt.Job
	if job.Spec.Standing {
		job.Requeue(attempt.TaskIndex)
		return
	}
	if !attempt.StartedAt.IsZero() && !attempt.StartTimeUnknown() {
		a.recordRunTime(attempt, now.Sub(attempt.StartedAt).Seconds())
	}
	job.Failures = 0
	clear(attempt.Machine.FailedJobs)
	if !job.TaskDone[attempt.TaskIndex] {
		job.TaskDone[attempt.TaskIndex] = true
		job.DoneCount++
	}
	job.Completing = job.DoneCount == job.Spec.Tasks
}

// recordRunTime takes in for how many seconds a completed task ran.
func (a *Agents) recordRunTime(attempt *cluster.Attempt, ran float64) {
	job, machine := attempt.Job, attempt.Machine
	a.scheduler.LearnRunTime(job.Spec.Class, ran, job.Spec.EstimateS)
	a.detectSlowMachine(attempt, ran)
	if !attempt.Slow {
		machine.SlowTasks = 0
	}
	if job.RunTimesS == nil {
		job.RunTimesS = map[string][]float64{}
	}
	job.RunTimesS[machine.Name] = append(job.RunTimesS[machine.Name], ran)
}

// attemptFailed takes in that a task failed. Its machine may be at fault, or its job.
func (a *Agents) attemptFailed(attempt *cluster.Attempt, now time.Time) {
	job, machine := attempt.Job, attempt.Machine
	job.Requeue(attempt.TaskIndex)
	job.Failures++
	machine.FailedJobs[job.Spec.ID] = true
	machine.AvoidUntil = now.Add(failedBackoff)
	a.metrics.Count(telemetry.AttemptFailed, 1)
	a.log.Info("task failed", "task", attempt.TaskName(), "machine", machine.Name, "count", job.Failures)
	if job.FailedMachines == nil {
		job.FailedMachines = map[string]bool{}
	}
	job.FailedMachines[machine.Name] = true
	if len(job.FailedMachines) >= failedMachinesLimit {
		// The job may be at fault, so it must not occupy the fleet.
		job.BackoffUntil = now.Add(min(failureBackoffMax, failureBackoff<<min(job.Failures, failureDoublingsLimit)))
	}
	if len(machine.FailedJobs) >= failedJobsLimit && !machine.Quarantined {
		a.quarantine(machine, "different jobs fail on it")
		for _, other := range machine.SortedAttempts() {
			a.StopAttempt(other, other.Job.Spec.SaveS+saveSlackS, now)
		}
	}
}

// quarantine keeps new work off a machine. It is returned to the cloud once it is idle.
func (a *Agents) quarantine(machine *cluster.Machine, reason string) {
	machine.Quarantined = true
	a.log.Info("machine quarantined", "machine", machine.Name, "reason", reason)
}

// startRefused takes in that the agent refused to start an attempt.
func (a *Agents) startRefused(attempt *cluster.Attempt) {
	attempt.Job.Requeue(attempt.TaskIndex)
	a.log.Info("start refused", "task", attempt.TaskName(), "machine", attempt.Machine.Name, "reason", attempt.ExitCause)
}

// ReleaseAttempt ends an attempt that is proven over without a result, and has its task start
// again.
func (a *Agents) ReleaseAttempt(attempt *cluster.Attempt, reason string, now time.Time) {
	machine, job := attempt.Machine, attempt.Job
	delete(machine.Attempts, cluster.AttemptKey(attempt.TaskName(), attempt.Number))
	if !attempt.Live() {
		return
	}
	a.log.Info("attempt released", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", machine.Name, "reason", reason)
	attempt.State = cluster.AttemptReleased
	a.release(attempt, now)
	machine.RecountUsed()
	if job.Ended {
		a.jobs.DropIfReleased(job)
		return
	}
	job.Requeue(attempt.TaskIndex)
}

// releaseAll ends all attempts on a machine without a result.
func (a *Agents) releaseAll(machine *cluster.Machine, reason string, now time.Time) {
	for _, attempt := range machine.SortedAttempts() {
		a.ReleaseAttempt(attempt, reason, now)
	}
}

// release frees what an attempt held.
func (a *Agents) release(attempt *cluster.Attempt, now time.Time) {
	job := attempt.Job
	delete(job.LiveAttempts, attempt.TaskIndex)
	if !attempt.StartedAt.IsZero() {
		job.RunningCount--
	}
	partition := a.Partitions[job.Partition]
	partition.Usage[job.Team].Add(cluster.ResourcesOf(job.Spec), -1)
	if job.Spec.Gang && attempt.ExitCause != protocol.CauseDone {
		// Without one task the others of a gang can't go on: all start again together.
		for _, other := range job.Attempts() {
			a.StopAttempt(other, job.Spec.SaveS+saveSlackS, now)
		}
	}
	job.MarkDirty(attempt.TaskIndex, false, now)
	partition.Wake()
}

// StopAttempt has an attempt stopped with so many seconds of grace. An earlier stop stands
// unless its grace was longer.
func (a *Agents) StopAttempt(attempt *cluster.Attempt, graceS float64, now time.Time) {
	if !attempt.Live() || attempt.Stopping && attempt.StopGraceS <= graceS {
		return
	}
	if neverSent(attempt) {
		// Nothing was sent, so nothing can arrive.
		a.ReleaseAttempt(attempt, "stopped before its start", now)
		return
	}
	attempt.Stopping, attempt.StopGraceS, attempt.StopRequestedAt = true, graceS, now
	a.fenceOutStart(attempt, now)
	a.SendCommands(attempt.Machine)
}

// neverSent says whether no start of an attempt was sent, by this controller or, as its fenced
// machine shows, by an earlier leader.
func neverSent(attempt *cluster.Attempt) bool {
	switch attempt.State {
	case cluster.AttemptReserved:
		return true
	case cluster.AttemptCommitted:
		return attempt.StartToken == 0 && attempt.StartsInFlight == 0 && attempt.Machine.TokenConfirmed
	}
	return false
}
