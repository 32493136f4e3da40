// Package jobs follows jobs from their record to their final state: it takes up accepted
// jobs, maintains the graph of dependencies, and ends what was done or cancelled. Invariant: a
// final state never changes.
package jobs

import (
	"errors"
	"log/slog"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// errNoTasks is what is wrong with a job record that decodes but has no task.
var errNoTasks = errors.New("no tasks")

// Tracker follows jobs from their record to their final state. Its methods run in the event
// loop.
type Tracker struct {
	*cluster.State
	log    *slog.Logger
	bounds *telemetry.BoundReporter

	agents    Agents
	auth      Auth
	scheduler Scheduler
}

// New makes a tracker without collaborators.
func New(state *cluster.State, log *slog.Logger, bounds *telemetry.BoundReporter) *Tracker {
	return &Tracker{State: state, log: log, bounds: bounds}
}

// Connect sets the collaborators, before the loop starts.
func (t *Tracker) Connect(agents Agents, auth Auth, scheduler Scheduler) {
	t.agents, t.auth, t.scheduler = agents, auth, scheduler
}

// ApplyJobRecord takes up an accepted job. Records of jobs never change, so one that is
// known already does nothing.
func (t *Tracker) ApplyJobRecord(id string, raw []byte) {
	t.auth.NoteJob(id, raw)
	if t.Jobs[id] != nil || t.FinalStates[id] != "" {
		return
	}
	if j := t.LoadJobRecord(id, raw); j != nil {
		t.Dependencies.Add(j, t.finalOf)
		t.wakeForDoomedJobs()
	}
}

// finalOf is a job's final status, and when it ended where a listing has just shown it.
func (t *Tracker) finalOf(id string) (string, time.Time) {
	return t.FinalStates[id], t.ListedEndTimes[id]
}

// LoadJobRecord makes a job of its record and adds it to the unfinished jobs, without its
// dependencies; nil: the record can't be used.
func (t *Tracker) LoadJobRecord(id string, raw []byte) *cluster.Job {
	spec := new(protocol.JobSpec)
	err := storage.Decode(raw, spec)
	if err == nil && spec.Tasks < 1 {
		err = errNoTasks
	}
	if err != nil {
		t.log.Error("invalid job record", "job", id, "error", err)
		return nil
	}
	team, ok := t.TeamIndex[spec.Team]
	if !ok {
		t.log.Error("job of a team that is not in the settings", "job", id, "team", spec.Team)
		return nil
	}
	j := &cluster.Job{
		Spec:        spec,
		Partition:   t.TeamPartition[team],
		Team:        team,
		ClassGroup:  t.scheduler.ClassGroup(spec.Class),
		SubmittedAt: cluster.MonotonicTime(spec.SubmittedMS, time.Now()),
	}
	t.Jobs[id] = j
	if p := t.Partitions[j.Partition]; p.Held && p.Ready {
		j.InitRunState()
		requeue(p)
	}
	return j
}

// requeue has a partition's queue computed anew, at once.
func requeue(p *cluster.Partition) {
	p.QueueOrder = nil
	p.Wake()
}

// ApplyFinalRecord ends a job as its final record says.
func (t *Tracker) ApplyFinalRecord(id string, raw []byte) {
	var final storage.Final
	if err := storage.Decode(raw, &final); err != nil {
		t.log.Error("invalid final record", "job", id, "error", err)
		return
	}
	if t.ListedEndTimes != nil {
		t.ListedEndTimes[id] = cluster.MonotonicTime(final.AtMS, time.Now())
	}
	at := time.Now()
	if final.AtMS > 0 {
		at = cluster.MonotonicTime(final.AtMS, at)
	}
	t.SetFinal(id, final.Status, at)
}

// SetFinal notes that a job is done or cancelled, for good, and when it was at the earliest.
// A job that has ended already stays as it is.
func (t *Tracker) SetFinal(id, status string, at time.Time) {
	if t.FinalStates[id] != "" {
		return
	}
	t.FinalStates[id] = status
	if status == protocol.StatusCancelled {
		t.noteCancellation(id, at)
	}
	for _, dependent := range t.Dependencies.JobEnded(id, status == protocol.StatusDone, time.Now()) {
		if p := t.Partitions[dependent.Partition]; p.Held && p.Ready {
			requeue(p)
		}
	}
	t.wakeForDoomedJobs()
	j := t.Jobs[id]
	if j == nil {
		return
	}
	if status == protocol.StatusDone {
		t.scheduler.CountDone(j.Partition, j.Groups(), time.Now())
	}
	if !j.HasRunState {
		delete(t.Jobs, id)
		return
	}
	t.stop(j, status, at)
}

// noteCancellation stores a notice of a cancellation for the other controllers, unless every
// task of the job has certainly ended.
func (t *Tracker) noteCancellation(id string, at time.Time) {
	if time.Since(at) < t.CancelBound && !t.Cancellations.Add(id, at) {
		t.bounds.Met(telemetry.Cancellations, 1)
	}
}

// stop ends what still runs of a loaded job that has ended.
func (t *Tracker) stop(j *cluster.Job, status string, at time.Time) {
	j.Ended, j.Pending = true, nil
	now := time.Now()
	if status == protocol.StatusCancelled {
		j.CancelledAt = at
		t.log.Info("job cancelled", "job", j.Spec.ID, "count", len(j.LiveAttempts))
	}
	for _, a := range j.LiveAttempts {
		t.agents.StopAttempt(a, 0, now)
	}
	t.Partitions[j.Partition].Wake()
	t.DropIfReleased(j)
}

// wakeForDoomedJobs lets the partitions' leaders cancel the jobs that are doomed.
func (t *Tracker) wakeForDoomedJobs() {
	if len(t.Dependencies.JobsToCancel) > 0 {
		for _, p := range t.Partitions {
			p.Wake()
		}
	}
}

// DropIfReleased forgets a job that has ended once none of its attempts holds a task and its
// run records are gone; it has those that are left written.
func (t *Tracker) DropIfReleased(j *cluster.Job) {
	if t.FinalStates[j.Spec.ID] == "" || len(j.LiveAttempts) > 0 {
		return
	}
	if hasRunRecords(j, time.Now()) {
		return
	}
	for _, chunk := range j.Chunks {
		for _, a := range chunk.Exited {
			a.State = cluster.AttemptReleased
		}
	}
	delete(t.Jobs, j.Spec.ID)
}

// hasRunRecords says whether run records of a job are or may be in the state store, and marks
// them to be written, which drops those of a job that has ended.
func hasRunRecords(j *cluster.Job, now time.Time) bool {
	left := false
	for _, chunk := range j.Chunks {
		if chunk.Revision == 0 && !chunk.Unconfirmed {
			continue
		}
		left = true
		if !chunk.Dirty {
			chunk.Dirty, chunk.DirtySince, j.MayHaveDirtyChunk = true, now, true
		}
	}
	return left
}
