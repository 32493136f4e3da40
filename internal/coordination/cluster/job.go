package cluster

import (
	"slices"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// Job is an accepted job that has not ended, or whose remains are still to be cleared away.
// Every controller knows its record and dependencies; only its partition's leader knows its
// run state.
type Job struct {
	// From the job's record; none of it changes.

	Spec      *protocol.JobSpec
	Partition int
	// Team is the index of its team in the settings, ClassGroup the fair-share group of its
	// class.
	Team       int
	ClassGroup int
	// SubmittedAt is its submission on the monotonic clock, as well as that is known.
	SubmittedAt time.Time

	// From the graph of dependencies, on every controller.

	// Blocked: some dependency is not done.
	Blocked bool
	// DependenciesDoneAt is when the last done dependency was done, as far as that is known;
	// zero: none is done.
	DependenciesDoneAt time.Time
	// InheritedUrgency is the highest among the jobs that need it.
	InheritedUrgency protocol.Urgency
	// InheritedDeadline is when it must be done for the jobs that need it to be in time;
	// zero: none of them has a deadline.
	InheritedDeadline time.Time

	// Its end.

	// Ended: it is done or cancelled, and what is left of it is being stopped.
	Ended bool
	// CancelledAt is when its cancellation was confirmed to a user, at the earliest; zero: it
	// is done, or that is longer ago than any task of it may still run.
	CancelledAt time.Time

	// Run state, valid while Loaded; only the partition's leader has it.

	HasRunState bool
	// TaskDone says of each task whether it is done; DoneCount counts them.
	TaskDone  []bool
	DoneCount int
	// Completing: all tasks are done and its final record is to be written.
	Completing bool
	// Pending are the tasks that wait for a machine, in the order in which they are placed.
	Pending []int
	// LiveAttempts are the attempts that hold a task, by task; RunningCount counts those
	// that were seen running.
	LiveAttempts map[int]*Attempt
	RunningCount int
	// Chunks are its run records, by index.
	Chunks map[int]*RunChunk
	// MayHaveDirtyChunk: some run record has changed since none was last found Dirty.
	MayHaveDirtyChunk bool
	// Failures counts failed attempts since a task was last done; until BackoffUntil no
	// task is placed.
	Failures     int
	BackoffUntil time.Time
	// FailedMachines are the machines on which attempts failed; nil: none.
	FailedMachines map[string]bool
	// RunTimesS are the run times of done tasks in seconds, by machine; nil: none is done.
	RunTimesS map[string][]float64
}

// queueHorizon is the deadline by which a job without one queues, from when it was ready.
const queueHorizon = time.Hour

// InitRunState prepares a job for its partition's leader, with all tasks pending.
func (j *Job) InitRunState() {
	j.HasRunState = true
	j.TaskDone = make([]bool, j.Spec.Tasks)
	j.DoneCount, j.RunningCount, j.Completing = 0, 0, false
	j.LiveAttempts, j.Chunks, j.FailedMachines, j.RunTimesS = map[int]*Attempt{}, map[int]*RunChunk{}, nil, nil
	j.Pending = make([]int, j.Spec.Tasks)
	for task := range j.Pending {
		j.Pending[task] = task
	}
}

// DropRunState forgets what only the partition's leader knows.
func (j *Job) DropRunState() {
	j.HasRunState, j.TaskDone, j.LiveAttempts, j.Chunks, j.Pending = false, nil, nil, nil, nil
	j.Completing, j.RunningCount, j.DoneCount = false, 0, 0
}

// Requeue makes a task pending, ahead of the others.
func (j *Job) Requeue(task int) { j.Pending = slices.Insert(j.Pending, 0, task) }

// RebuildPending makes exactly those tasks pending that are neither done nor held by an attempt.
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

// Attempts lists the attempts that hold a task of the job, in no order.
func (j *Job) Attempts() []*Attempt {
	list := make([]*Attempt, 0, len(j.LiveAttempts))
	for _, a := range j.LiveAttempts {
		list = append(list, a)
	}
	return list
}

// HasWork says whether the job needs something done by its partition's leader.
func (j *Job) HasWork() bool { return len(j.Pending) > 0 || j.Completing || j.MayHaveDirtyChunk }

// Urgency is the highest among the job and those that need it.
func (j *Job) Urgency() protocol.Urgency { return max(j.Spec.Urgency, j.InheritedUrgency) }

// ReadySince is when the job could first have started.
func (j *Job) ReadySince() time.Time {
	if j.DependenciesDoneAt.After(j.SubmittedAt) {
		return j.DependenciesDoneAt
	}
	return j.SubmittedAt
}

// Deadline is the latest finish at which the job and those that need it can still be in
// time, if any of them has a deadline.
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

// Due is when the job should be done; one without a deadline queues as if it had a distant
// one.
func (j *Job) Due() time.Time {
	if at, ok := j.Deadline(); ok {
		return at
	}
	return j.ReadySince().Add(queueHorizon)
}

// inheritNeed raises the job's inherited urgency and moves its inherited deadline forward
// to what a job that needs it asks for, and says whether that changed anything.
func (j *Job) inheritNeed(urgency protocol.Urgency, by time.Time) bool {
	changed := false
	if urgency > j.InheritedUrgency {
		j.InheritedUrgency, changed = urgency, true
	}
	if !by.IsZero() && (j.InheritedDeadline.IsZero() || by.Before(j.InheritedDeadline)) {
		j.InheritedDeadline, changed = by, true
	}
	return changed
}

// ZoneCounts counts the job's attempts by the zones of their machines.
func (j *Job) ZoneCounts() map[string]int {
	zones := map[string]int{}
	for _, a := range j.LiveAttempts {
		zones[a.Machine.Record.Zone]++
	}
	return zones
}
