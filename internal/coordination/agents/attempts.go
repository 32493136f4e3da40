package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/telemetry"
)

const (
	// startRefusedBackoff is the time for which no task is started on a machine whose agent
	// refused a start.
	startRefusedBackoff = time.Second
	// unknownJobBackoff is the time for which a job is not scheduled after an agent reported
	// the job as unknown.
	unknownJobBackoff = 2 * time.Second
	// failedMachineBackoff is the time for which no task is started on a machine after a task
	// failed there.
	failedMachineBackoff = 10 * time.Second
	// failedJobsLimit is the number of different jobs that may fail on a machine before it is
	// quarantined.
	failedJobsLimit = 2
	// saveSlackS is added to the duration of a job's checkpoint to get the grace period of a
	// stop, in seconds.
	saveSlackS = 1
)

// handleAttemptExit processes the end of an attempt, as reported by its agent.
func (a *Agents) handleAttemptExit(attempt *cluster.Attempt, task protocol.TaskReport, now time.Time) {
	job := attempt.Job
	attempt.ExitCause = task.Cause
	attempt.State = cluster.AttemptExited
	a.log.Info("attempt ended", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", attempt.Machine.Name, "reason", task.Cause)
	a.freeResources(attempt, now)
	chunk := job.Chunk(attempt.TaskIndex)
	chunk.Exited = append(chunk.Exited, attempt)
	if job.Ended {
		a.jobs.DropIfReleased(job)
		return
	}
	switch task.Cause {
	case protocol.CauseDone:
		a.handleTaskDone(attempt, now)
	case protocol.CauseError:
		a.handleTaskFailure(attempt, now)
	case protocol.CauseFull, protocol.CauseTaskInUse:
		attempt.Machine.Avoid(now.Add(startRefusedBackoff), now)
		a.handleStartRefusal(attempt)
	case protocol.CauseUnknownTask:
		job.BackoffUntil = now.Add(unknownJobBackoff)
		a.handleStartRefusal(attempt)
	default:
		job.Requeue(attempt.TaskIndex)
	}
}

// handleTaskDone processes the completion of a task. The tasks of a service are started again.
func (a *Agents) handleTaskDone(attempt *cluster.Attempt, now time.Time) {
	job := attempt.Job
	attempt.Machine.RecordDone(attempt.PlacedAt)
	if job.Spec.Service {
		job.Requeue(attempt.TaskIndex)
		return
	}
	if !attempt.StartedAt.IsZero() && !attempt.StartTimeUnknown() {
		a.recordRunTime(attempt, now)
	}
	job.RecordDone(attempt, now)
	if !job.TaskDone[attempt.TaskIndex] {
		job.TaskDone[attempt.TaskIndex] = true
		job.DoneCount++
	}
	job.Completing = job.DoneCount == job.Spec.Tasks
}

// recordRunTime records the run time of a completed task.
func (a *Agents) recordRunTime(attempt *cluster.Attempt, now time.Time) {
	job, machine := attempt.Job, attempt.Machine
	runTimeS := now.Sub(attempt.StartedAt).Seconds()
	a.scheduler.LearnRunTime(job.Spec.Class, runTimeS, job.Spec.EstimateS)
	a.detectSlowMachine(attempt, runTimeS, now)
	if !attempt.Slow && !machine.Quarantined {
		machine.SlowTasks = 0
	}
	if job.RunTimesS == nil {
		job.RunTimesS = map[string][]float64{}
	}
	job.RunTimesS[machine.Name] = append(job.RunTimesS[machine.Name], runTimeS)
}

// handleTaskFailure processes the failure of a task. The cause may be the machine or the job.
func (a *Agents) handleTaskFailure(attempt *cluster.Attempt, now time.Time) {
	job, machine := attempt.Job, attempt.Machine
	job.Requeue(attempt.TaskIndex)
	failedJobs := 0
	if job.RecordFailure(attempt, now) {
		failedJobs = machine.RecordFailedJob(job.Spec.ID, now)
		machine.Avoid(now.Add(failedMachineBackoff), now)
	}
	a.metrics.Count(telemetry.AttemptFailed, 1)
	a.log.Info("task failed", "task", attempt.TaskName(), "machine", machine.Name, "count", job.Failures,
		"retry_there_after", job.FailedMachines[machine.Name].RetryAt.Sub(now), "machine_backoff", max(0, machine.AvoidUntil.Sub(now)),
		"job_backoff", max(0, job.BackoffUntil.Sub(now)))
	if failedJobs >= failedJobsLimit && !machine.QuarantinedAsFaulty() {
		machine.SlowTasks = 0
		a.quarantine(machine, "different jobs fail on it", now)
		a.drainFaulty(machine, now)
	}
}

// drainFaulty stops the attempts on a machine on which different jobs failed, so that the machine
// becomes idle and is returned.
func (a *Agents) drainFaulty(machine *cluster.Machine, now time.Time) {
	for _, attempt := range machine.SortedAttempts() {
		a.StopAttempt(attempt, attempt.Job.Spec.CheckpointDurationS+saveSlackS, now)
	}
}

// quarantine excludes a machine from scheduling. The machine is returned to the cloud once it is
// idle.
func (a *Agents) quarantine(machine *cluster.Machine, reason string, now time.Time) {
	machine.Quarantine(now)
	a.metrics.Count(telemetry.MachineQuarantined, 1)
	a.log.Info("machine quarantined", "machine", machine.Name, "reason", reason)
}

// handleStartRefusal requeues the task of an attempt that the agent refused to start.
func (a *Agents) handleStartRefusal(attempt *cluster.Attempt) {
	attempt.Job.Requeue(attempt.TaskIndex)
	a.log.Info("start refused", "task", attempt.TaskName(), "machine", attempt.Machine.Name, "reason", attempt.ExitCause)
}

// ReleaseAttempt releases an attempt that has provably ended without a result, and requeues its
// task.
func (a *Agents) ReleaseAttempt(attempt *cluster.Attempt, reason string, now time.Time) {
	machine, job := attempt.Machine, attempt.Job
	delete(machine.Attempts, cluster.AttemptKey(attempt.TaskName(), attempt.Number))
	if !attempt.Live() {
		return
	}
	a.log.Info("attempt released", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", machine.Name, "reason", reason)
	attempt.State = cluster.AttemptReleased
	a.freeResources(attempt, now)
	machine.RecountUsed()
	if job.Ended {
		a.jobs.DropIfReleased(job)
		return
	}
	job.Requeue(attempt.TaskIndex)
}

// releaseAll releases all attempts on a machine.
func (a *Agents) releaseAll(machine *cluster.Machine, reason string, now time.Time) {
	for _, attempt := range machine.SortedAttempts() {
		a.ReleaseAttempt(attempt, reason, now)
	}
}

// freeResources returns the resources of an attempt that has ended. If the job is gang-scheduled
// and the attempt was not successful, freeResources also stops the job's other attempts.
func (a *Agents) freeResources(attempt *cluster.Attempt, now time.Time) {
	job := attempt.Job
	delete(job.LiveAttempts, attempt.TaskIndex)
	if !attempt.StartedAt.IsZero() {
		job.RunningCount--
	}
	partition := a.Partitions[job.Partition]
	partition.Usage[job.Team].Add(cluster.ResourcesOf(job.Spec), -1)
	if job.Spec.Gang && attempt.ExitCause != protocol.CauseDone {
		// A gang's tasks can only run together, so all of them are restarted.
		for _, other := range job.Attempts() {
			a.StopAttempt(other, job.Spec.CheckpointDurationS+saveSlackS, now)
		}
	}
	job.MarkDirty(attempt.TaskIndex, false, now)
	partition.Wake()
}

// StopAttempt stops an attempt with a grace period in seconds. If a stop was requested before, the
// shorter grace period applies.
func (a *Agents) StopAttempt(attempt *cluster.Attempt, graceS float64, now time.Time) {
	if !attempt.Live() || attempt.Stopping && attempt.StopGraceS <= graceS {
		return
	}
	if startNeverSent(attempt) {
		// No start was sent, so none can arrive later.
		a.ReleaseAttempt(attempt, "stopped before its start was sent", now)
		return
	}
	attempt.Stopping, attempt.StopGraceS, attempt.StopRequestedAt = true, graceS, now
	a.fencePendingStart(attempt, now)
	a.SendCommands(attempt.Machine)
}

// startNeverSent reports whether it is certain that no start of an attempt has reached or may still
// reach the agent. Starts sent by earlier leaders are ruled out once the machine has confirmed the
// current fencing token.
func startNeverSent(attempt *cluster.Attempt) bool {
	switch attempt.State {
	case cluster.AttemptReserved:
		return true
	case cluster.AttemptCommitted:
		return attempt.StartToken == 0 && attempt.StartsInFlight == 0 && attempt.Machine.TokenConfirmed
	}
	return false
}
