package cluster

import (
	"slices"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// Job is an accepted job that has not ended, or has ended but still has attempts or run
// records to be cleaned up. Every controller has the job's record and dependencies; only
// the leader of the job's partition has its run state.
type Job struct {
	// From the job's record; does not change.

	Spec      *protocol.JobSpec
	Partition int
	// Team is the index of the job's team in the settings, and ClassGroup the
	// fair-share group of the job's class.
	Team       int
	ClassGroup int
	// SubmittedAt is the time of the submission, converted to the monotonic clock.
	SubmittedAt time.Time

	// From the dependency graph, on every controller.

	// Blocked is set while some dependency is not done.
	Blocked bool
	// DependenciesDoneAt is the latest known completion time of a dependency; zero if
	// there is none.
	DependenciesDoneAt time.Time
	// InheritedUrgency is the highest urgency among the job's dependents.
	InheritedUrgency protocol.Urgency
	// InheritedDeadline is the time by which the job must be done for its dependents to
	// meet their deadlines; zero if no dependent has a deadline.
	InheritedDeadline time.Time

	// The job's end.

	// Ended is set once the job is done or cancelled. The remaining attempts are then
	// being stopped.
	Ended bool
	// CancelledAt is the earliest time at which the job's cancellation may have been
	// confirmed to a user; zero if the job is not cancelled, or was cancelled so long
	// ago that no task can still run.
	CancelledAt time.Time

	// Run state, valid while HasRunState is set; only the partition's leader has it.

	HasRunState bool
	// TaskDone is set for the tasks that are done, by task index; DoneCount is the
	// number of these tasks.
	TaskDone  []bool
	DoneCount int
	// Completing is set once all tasks are done: the final record is to be written.
	Completing bool
	// Pending are the tasks that wait for a machine, in the order in which they are placed.
	Pending []int
	// LiveAttempts are the attempts that occupy a task, by task index; RunningCount is
	// the number of live attempts that were reported as running.
	LiveAttempts map[int]*Attempt
	RunningCount int
	// Chunks are the job's run records, by index.
	Chunks map[int]*RunChunk
	// MayHaveDirtyChunk is set when a chunk becomes dirty, and cleared when HasDirtyChunk
	// finds none.
	MayHaveDirtyChunk bool
	// Failures counts the failed attempts since a task was last done, at LastDoneAt. No task
	// is placed until BackoffUntil.
	Failures     int
	LastDoneAt   time.Time
	BackoffUntil time.Time
	// FailedMachines and FailedTasks are the recent failures of the job's attempts, by machine
	// and by task index; nil if there are none.
	FailedMachines map[string]*MachineFailures
	FailedTasks    map[int]*TaskFailures
	// NextTrialAt is the time until which no task is placed on a machine where the job failed
	// and which has not been found sound since.
	NextTrialAt time.Time
	// LastPlacedAt is the time at which a task was last placed on a machine.
	LastPlacedAt time.Time
	// RunTimesS are the run times of done tasks in seconds, by machine; nil if no task is
	// done.
	RunTimesS map[string][]float64
}

// defaultTimeToDue is the time after which a ready job without a deadline counts as due in
// the queue.
const defaultTimeToDue = time.Hour

// InitRunState creates the run state for the partition's leader, with all tasks pending.
func (j *Job) InitRunState() {
	j.HasRunState = true
	j.TaskDone = make([]bool, j.Spec.Tasks)
	j.DoneCount, j.RunningCount, j.Completing = 0, 0, false
	j.LiveAttempts, j.Chunks, j.RunTimesS = map[int]*Attempt{}, map[int]*RunChunk{}, nil
	j.ClearFailures()
	j.Pending = make([]int, j.Spec.Tasks)
	for task := range j.Pending {
		j.Pending[task] = task
	}
}

// DropRunState drops the run state, which only the partition's leader has.
func (j *Job) DropRunState() {
	j.HasRunState, j.TaskDone, j.LiveAttempts, j.Chunks, j.Pending = false, nil, nil, nil, nil
	j.Completing, j.RunningCount, j.DoneCount = false, 0, 0
	j.ClearFailures()
}

// Requeue puts a task at the front of the pending tasks.
func (j *Job) Requeue(task int) { j.Pending = slices.Insert(j.Pending, 0, task) }

// RebuildPending makes exactly those tasks pending that are neither done nor occupied by an
// attempt.
func (j *Job) RebuildPending() {
	j.Pending = j.Pending[:0]
	if waiting := j.Spec.Tasks - j.DoneCount - len(j.LiveAttempts); cap(j.Pending) < waiting {
		j.Pending = make([]int, 0, waiting)
	}
	for task := range j.Spec.Tasks {
		if !j.TaskDone[task] && j.LiveAttempts[task] == nil {
			j.Pending = append(j.Pending, task)
		}
	}
}

// Attempts returns the attempts that occupy a task of the job, in no particular order.
func (j *Job) Attempts() []*Attempt {
	list := make([]*Attempt, 0, len(j.LiveAttempts))
	for _, a := range j.LiveAttempts {
		list = append(list, a)
	}
	return list
}

// HasWork reports whether the partition's leader has something to do for the job.
func (j *Job) HasWork() bool { return len(j.Pending) > 0 || j.Completing || j.MayHaveDirtyChunk }

// Urgency returns the highest urgency among the job and its dependents.
func (j *Job) Urgency() protocol.Urgency { return max(j.Spec.Urgency, j.InheritedUrgency) }

// WaitingSince returns the time since which no task of the job was placed although the job could
// have started.
func (j *Job) WaitingSince() time.Time {
	if since := j.ReadySince(); since.After(j.LastPlacedAt) {
		return since
	}
	return j.LastPlacedAt
}

// ReadySince returns the earliest time at which the job could have started.
func (j *Job) ReadySince() time.Time {
	if j.DependenciesDoneAt.After(j.SubmittedAt) {
		return j.DependenciesDoneAt
	}
	return j.SubmittedAt
}

// Deadline returns the latest time at which the job can finish so that it and its
// dependents meet their deadlines, and whether any of them has a deadline.
func (j *Job) Deadline() (time.Time, bool) {
	if j.Spec.DeadlineS <= 0 {
		return j.InheritedDeadline, !j.InheritedDeadline.IsZero()
	}
	own := j.SubmittedAt.Add(settings.Seconds(j.Spec.DeadlineS))
	if !j.InheritedDeadline.IsZero() && j.InheritedDeadline.Before(own) {
		return j.InheritedDeadline, true
	}
	return own, true
}

// Due returns the time by which the job should be done: its deadline or, if there is none,
// a default time that determines the job's place in the queue.
func (j *Job) Due() time.Time {
	if at, ok := j.Deadline(); ok {
		return at
	}
	return j.ReadySince().Add(defaultTimeToDue)
}

// inheritRequirement raises the inherited urgency and advances the inherited deadline to
// the requirements of a dependent, and reports whether either has changed.
func (j *Job) inheritRequirement(urgency protocol.Urgency, by time.Time) bool {
	changed := false
	if urgency > j.InheritedUrgency {
		j.InheritedUrgency, changed = urgency, true
	}
	if !by.IsZero() && (j.InheritedDeadline.IsZero() || by.Before(j.InheritedDeadline)) {
		j.InheritedDeadline, changed = by, true
	}
	return changed
}

// ZoneCounts returns the number of the job's attempts in each zone.
func (j *Job) ZoneCounts() map[string]int {
	zones := map[string]int{}
	for _, a := range j.LiveAttempts {
		zones[a.Machine.Record.Zone]++
	}
	return zones
}
