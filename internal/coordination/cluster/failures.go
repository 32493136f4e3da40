package cluster

import (
	"maps"
	"slices"
	"time"
)

// Pauses after failures. Each has a maximum well below the 90 s within which a job must start once
// the cause of the failures is gone (rule 57).
const (
	// machineRetryPause is the time after which a job may try a machine again on which it failed.
	// It doubles with each failed retry.
	machineRetryPause = 20 * time.Second
	// taskRetryPause is the time for which a task waits that failed on taskFailuresLimit attempts.
	// It doubles with each further failure.
	taskRetryPause = 2 * time.Second
	// jobRetryPause is the time for which a job waits that failed on failedMachinesLimit machines.
	// It doubles with each failed attempt.
	jobRetryPause = 2 * time.Second
	// retryPauseMax is the maximum of each of these pauses.
	retryPauseMax = time.Minute
)

const (
	// failureMemory is the time after which a failure is no longer evidence against a machine, a
	// task or a job.
	failureMemory = 10 * time.Minute
	// failedMachinesLimit is the number of machines on which a job may fail before the job itself
	// is considered faulty.
	failedMachinesLimit = 2
	// taskFailuresLimit is the number of failures from which a task itself is considered faulty.
	taskFailuresLimit = 2
)

// MachineFailures are the failures of one job's attempts on one machine.
type MachineFailures struct {
	Machine *Machine
	// Count is the number of failed tries. Attempts that were placed before the last failure
	// was reported belong to the same try.
	Count int
	// LastAt is the time at which the last failure was reported.
	LastAt time.Time
	// RetryAt is the time until which no task of the job may start on the machine.
	RetryAt time.Time
}

// TaskFailures are the failures of the attempts of one task.
type TaskFailures struct {
	Count   int
	LastAt  time.Time
	RetryAt time.Time
}

// RecordFailure records the failure of an attempt of the job, and reports whether the failure is
// evidence against the machine. It is not if the job or the task failed elsewhere, too, or if the
// attempt only tried a machine again on which the job had failed.
func (j *Job) RecordFailure(attempt *Attempt, now time.Time) (implicatesMachine bool) {
	j.forgetOldFailures(now)
	faulty := j.isFaulty(attempt.Machine) || j.taskFailures(attempt.TaskIndex) >= taskFailuresLimit
	j.Failures++
	retry := j.recordMachineFailure(attempt, now)
	j.recordTaskFailure(attempt.TaskIndex, now)
	if j.isFaulty(nil) {
		// The job must not keep occupying machines.
		j.BackoffUntil = now.Add(retryPause(jobRetryPause, j.Failures))
	}
	return !faulty && !retry
}

// RecordDone records that an attempt of the job is done: the job works on its machine.
func (j *Job) RecordDone(attempt *Attempt, now time.Time) {
	j.Failures, j.LastDoneAt = 0, now
	delete(j.FailedTasks, attempt.TaskIndex)
}

// ClearFailures forgets all failures and their pauses, which only the partition's leader knows.
func (j *Job) ClearFailures() {
	j.Failures, j.BackoffUntil, j.NextTrialAt = 0, time.Time{}, time.Time{}
	j.FailedMachines, j.FailedTasks, j.LastDoneAt, j.LastPlacedAt = nil, nil, time.Time{}, time.Time{}
}

// isFaulty reports whether the job failed on failedMachinesLimit machines since a task of it was last
// done, so that the cause is probably the job. A machine may be left out of the count.
func (j *Job) isFaulty(except *Machine) bool {
	count := 0
	for _, failures := range j.FailedMachines {
		if failures.Machine != except && failures.LastAt.After(j.LastDoneAt) {
			count++
		}
	}
	return count >= failedMachinesLimit
}

// recordMachineFailure excludes the machine of a failed attempt for a while. It reports whether the
// attempt was a retry on a machine where the job had failed before.
func (j *Job) recordMachineFailure(attempt *Attempt, now time.Time) (retry bool) {
	failures := j.FailedMachines[attempt.Machine.Name]
	if failures == nil {
		if j.FailedMachines == nil {
			j.FailedMachines = map[string]*MachineFailures{}
		}
		failures = &MachineFailures{Machine: attempt.Machine}
		j.FailedMachines[attempt.Machine.Name] = failures
	}
	retry = failures.Count > 0 && attempt.PlacedAt.After(failures.LastAt)
	if failures.Count == 0 || retry {
		failures.Count++
	}
	failures.LastAt = now
	failures.RetryAt = now.Add(failures.pause())
	return retry
}

// recordTaskFailure holds a task back for a while if it failed repeatedly.
func (j *Job) recordTaskFailure(task int, now time.Time) {
	failures := j.FailedTasks[task]
	if failures == nil {
		if j.FailedTasks == nil {
			j.FailedTasks = map[int]*TaskFailures{}
		}
		failures = &TaskFailures{}
		j.FailedTasks[task] = failures
	}
	failures.Count++
	failures.LastAt = now
	if failures.Count >= taskFailuresLimit {
		failures.RetryAt = now.Add(retryPause(taskRetryPause, failures.Count-taskFailuresLimit+1))
	}
}

// taskFailures returns the number of failures of a task.
func (j *Job) taskFailures(task int) int {
	if failures := j.FailedTasks[task]; failures != nil {
		return failures.Count
	}
	return 0
}

// forgetOldFailures forgets failures that are no longer evidence.
func (j *Job) forgetOldFailures(now time.Time) {
	maps.DeleteFunc(j.FailedMachines, func(_ string, f *MachineFailures) bool { return now.Sub(f.LastAt) > failureMemory })
	maps.DeleteFunc(j.FailedTasks, func(_ int, f *TaskFailures) bool { return now.Sub(f.LastAt) > failureMemory })
}

// MachineExclusions returns the names of the machines on which no task of the job may start now, and
// of those on which one may be tried if it fits nowhere else. Both are nil if there are none.
func (j *Job) MachineExclusions(now time.Time) (excluded, lastChoice map[string]bool) {
	j.forgetOldFailures(now)
	for name, failures := range j.FailedMachines {
		switch until := j.ExcludedUntil(failures); {
		case now.Before(until):
			excluded = addName(excluded, name)
		case !failures.refuted():
			lastChoice = addName(lastChoice, name)
		}
	}
	return excluded, lastChoice
}

// SuspectMachines returns the names of the machines that the job can't count on: those on which no
// task of it may start now, and its last choices; nil if there are none.
func (j *Job) SuspectMachines(now time.Time) map[string]bool {
	excluded, lastChoice := j.MachineExclusions(now)
	if excluded == nil {
		return lastChoice
	}
	maps.Copy(excluded, lastChoice)
	return excluded
}

// PreemptionExclusions is MachineExclusions for preemption: other jobs lose work for the first retry
// on a machine only, and not for a job that failed on several machines.
func (j *Job) PreemptionExclusions(now time.Time) (excluded, lastChoice map[string]bool) {
	excluded, lastChoice = j.MachineExclusions(now)
	faulty := j.isFaulty(nil)
	for name := range lastChoice {
		if faulty || j.FailedMachines[name].Count > 1 {
			excluded = addName(excluded, name)
		}
	}
	maps.DeleteFunc(lastChoice, func(name string, _ bool) bool { return excluded[name] })
	return excluded, lastChoice
}

// ExcludedUntil returns the time until which no task of the job may start on a machine where it
// failed. As long as nothing has refuted the suspicion, the job tries one such machine at a time.
func (j *Job) ExcludedUntil(failures *MachineFailures) time.Time {
	if !failures.refuted() && j.NextTrialAt.After(failures.RetryAt) {
		return j.NextTrialAt
	}
	return failures.RetryAt
}

// RecordPlacement records that a task of the job was placed on a machine. If the job failed there, or
// on several machines, the placement is a trial, which the next one has to wait for.
func (j *Job) RecordPlacement(machine *Machine, now time.Time) {
	j.LastPlacedAt = now
	if j.isFaulty(nil) {
		j.BackoffUntil = now.Add(retryPause(jobRetryPause, j.Failures))
	}
	if failures := j.FailedMachines[machine.Name]; failures != nil && !failures.refuted() {
		j.NextTrialAt = now.Add(failures.pause())
	}
}

// refuted reports whether a task that was placed on the machine after the last failure is done.
func (f *MachineFailures) refuted() bool { return f.Machine.SoundAt.After(f.LastAt) }

// pause returns the time between a failure on the machine and the next try, and between two trials.
func (f *MachineFailures) pause() time.Duration { return retryPause(machineRetryPause, f.Count) }

// retryPause returns the pause after a number of failures: the first pause is doubled for each
// failure after the first.
func retryPause(first time.Duration, failures int) time.Duration {
	pause := first
	for range failures - 1 {
		if pause *= 2; pause >= retryPauseMax {
			return retryPauseMax
		}
	}
	return pause
}

// ReadyTasks returns the number of pending tasks that may be placed now, and moves them before the
// others. Tasks that failed repeatedly wait, a gang as a whole. Of a job that failed on several
// machines only one task may be placed, since it would probably fail as well.
func (j *Job) ReadyTasks(now time.Time) int {
	ready := j.moveHeldTasksBack(now)
	switch {
	case j.Spec.Gang && ready < len(j.Pending):
		return 0
	case !j.Spec.Gang && j.isFaulty(nil):
		return min(ready, 1)
	}
	return ready
}

// moveHeldTasksBack moves the pending tasks that wait because they failed repeatedly behind the
// others, and returns the number of the others.
func (j *Job) moveHeldTasksBack(now time.Time) (ready int) {
	held := func(task int) bool {
		failures := j.FailedTasks[task]
		return failures != nil && now.Before(failures.RetryAt)
	}
	if len(j.FailedTasks) == 0 || !slices.ContainsFunc(j.Pending, held) {
		return len(j.Pending)
	}
	var waiting []int
	kept := make([]int, 0, len(j.Pending))
	for _, task := range j.Pending {
		if held(task) {
			waiting = append(waiting, task)
		} else {
			kept = append(kept, task)
		}
	}
	j.Pending = append(kept, waiting...)
	return len(kept)
}

// addName adds a name to a set, which is created if it is nil.
func addName(names map[string]bool, name string) map[string]bool {
	if names == nil {
		names = map[string]bool{}
	}
	names[name] = true
	return names
}
