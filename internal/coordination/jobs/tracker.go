// Package jobs tracks jobs from acceptance to their final state. It loads the records of accepted
// jobs, maintains the dependency graph, and stops jobs that are done or cancelled. Invariant: a
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

// errNoTasks is returned for a job record without tasks.
var errNoTasks = errors.New("job has no tasks")

// Tracker tracks jobs from acceptance to their final state. Its methods run in the event loop.
type Tracker struct {
	*cluster.State
	log    *slog.Logger
	bounds *telemetry.BoundReporter

	agents    Agents
	auth      Auth
	scheduler Scheduler
}

// New returns a Tracker without collaborators. The caller must call Connect before using it.
func New(state *cluster.State, log *slog.Logger, bounds *telemetry.BoundReporter) *Tracker {
	return &Tracker{State: state, log: log, bounds: bounds}
}

// Connect sets the collaborators. It is called once, before the loop starts.
func (t *Tracker) Connect(agents Agents, auth Auth, scheduler Scheduler) {
	t.agents, t.auth, t.scheduler = agents, auth, scheduler
}

// ApplyJobRecord loads an accepted job. Job records never change, so a job that is already in
// memory stays as it is.
func (t *Tracker) ApplyJobRecord(id string, raw []byte) {
	t.auth.AddJobQueue(id, raw)
	if t.Jobs[id] != nil || t.FinalStates[id] != "" {
		return
	}
	if j := t.LoadJobRecord(id, raw); j != nil {
		t.Dependencies.Add(j, t.endOf)
		t.wakeForJobsToCancel()
	}
}

// endOf returns the end of a job according to its final record. The time at which the job ended is only
// available while a listing of the records is applied.
func (t *Tracker) endOf(id string) cluster.JobEnd {
	if t.NoticedCancellations[id] {
		return cluster.JobEnd{}
	}
	return cluster.JobEnd{Status: t.FinalStates[id], Successor: t.Successors[id], At: t.ListedEndTimes[id]}
}

// LoadJobRecord decodes a job record and adds the job to the unfinished jobs, without its
// dependencies. It returns nil if the record is invalid.
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
		t.log.Error("team of job is not in the settings", "job", id, "team", spec.Team)
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
		invalidateQueueOrder(p)
	}
	return j
}

// invalidateQueueOrder drops the cached queue order of a partition and triggers a round of the
// partition's work, which recomputes the order.
func invalidateQueueOrder(p *cluster.Partition) {
	p.QueueOrder = nil
	p.Wake()
}

// ApplyFinalRecord sets the final state of a job from its final record.
func (t *Tracker) ApplyFinalRecord(id string, raw []byte) {
	var final storage.FinalRecord
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
	if final.Successor != "" {
		t.Successors[id] = final.Successor
	}
	t.SetFinalState(id, final.Status, at)
}

// SetFinalState sets the final state of a job, done or cancelled, that is on record. at is the earliest
// time at which the job may have ended. The final state of a job never changes, so an existing one is
// kept.
func (t *Tracker) SetFinalState(id, status string, at time.Time) {
	if t.FinalStates[id] != "" && !t.NoticedCancellations[id] {
		return
	}
	delete(t.NoticedCancellations, id)
	t.endJob(id, status, at)
	t.updateDependents(id)
}

// updateDependents informs the jobs that depend on a job of its end, which is on record: they become ready,
// are to be cancelled with it, or wait for its successor.
func (t *Tracker) updateDependents(id string) {
	if n := t.Dependencies.DependentsOf(id); n > 0 && t.FinalStates[id] == protocol.StatusCancelled {
		if successor := t.Successors[id]; successor != "" {
			t.log.Info("jobs wait for the successor of their dependency", "job", id, "successor", successor, "count", n, "records_revision", t.RecordsRevision)
		} else {
			t.log.Info("jobs are cancelled with their dependency", "job", id, "count", n, "records_revision", t.RecordsRevision)
		}
	}
	for _, dependent := range t.Dependencies.JobEnded(id, t.endOf, time.Now()) {
		if p := t.Partitions[dependent.Partition]; p.Held && p.Ready {
			invalidateQueueOrder(p)
		}
	}
	t.wakeForJobsToCancel()
}

// endJob sets the final state of a job, unless it has one already, and stops the job.
func (t *Tracker) endJob(id, status string, at time.Time) {
	if t.FinalStates[id] != "" {
		return
	}
	t.FinalStates[id] = status
	if status == protocol.StatusCancelled && t.Successors[id] == "" {
		t.recordCancellation(id, at)
	}
	j := t.Jobs[id]
	if j == nil {
		return
	}
	if status == protocol.StatusDone {
		t.scheduler.CountDoneJob(j.Partition, j.Groups(), time.Now())
	}
	if !j.HasRunState {
		delete(t.Jobs, id)
		return
	}
	t.stopJob(j, status, at)
}

// recordCancellation stores a cancellation notice for the other controllers, unless all tasks of
// the job have certainly ended.
func (t *Tracker) recordCancellation(id string, at time.Time) {
	if time.Since(at) < t.CancelBound && !t.Cancellations.Add(id, at) {
		t.bounds.ReportExceeded(telemetry.Cancellations, 1)
	}
}

// stopJob stops the live attempts of a job that has ended.
func (t *Tracker) stopJob(j *cluster.Job, status string, at time.Time) {
	j.Ended, j.Pending = true, nil
	now := time.Now()
	if status == protocol.StatusCancelled {
		j.CancelledAt = at
		if t.Successors[j.Spec.ID] == "" {
			t.log.Info("job cancelled", "job", j.Spec.ID, "count", len(j.LiveAttempts))
		}
	}
	for _, a := range j.LiveAttempts {
		t.agents.StopAttempt(a, 0, now)
	}
	t.Partitions[j.Partition].Wake()
	t.DropIfReleased(j)
}

// wakeForJobsToCancel triggers a round of work in all partitions if there are jobs to cancel
// because a dependency was cancelled.
func (t *Tracker) wakeForJobsToCancel() {
	if len(t.Dependencies.JobsToCancel) > 0 {
		for _, p := range t.Partitions {
			p.Wake()
		}
	}
}

// DropIfReleased removes a job that has ended from memory, once the job has no live attempt and its
// run records are deleted. Until then, it marks the remaining run records for deletion.
func (t *Tracker) DropIfReleased(j *cluster.Job) {
	if t.FinalStates[j.Spec.ID] == "" || len(j.LiveAttempts) > 0 {
		return
	}
	if markRunRecordsForDeletion(j, time.Now()) {
		return
	}
	for _, chunk := range j.Chunks {
		for _, a := range chunk.Exited {
			a.State = cluster.AttemptReleased
		}
	}
	delete(t.Jobs, j.Spec.ID)
}

// markRunRecordsForDeletion marks chunks of an ended job as dirty if their run records may be in
// the state store, so that the next commit deletes the records. It reports whether there are such
// chunks.
func markRunRecordsForDeletion(j *cluster.Job, now time.Time) bool {
	found := false
	for _, chunk := range j.Chunks {
		if chunk.Revision == 0 && !chunk.Unconfirmed {
			continue
		}
		found = true
		if !chunk.Dirty {
			chunk.Dirty, chunk.DirtySince, j.MayHaveDirtyChunk = true, now, true
		}
	}
	return found
}
