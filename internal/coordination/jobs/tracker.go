// Package jobs follows jobs from their record to their final state: it takes up accepted
// jobs, keeps the graph of dependencies, and ends what was done or cancelled. Invariant: a
// final state never changes.
package jobs

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Tracker follows jobs from their record to their final state.
type Tracker struct {
	*cluster.State
	log    *slog.Logger
	bounds *telemetry.BoundReporter

	agents    Agents
	auth      Auth
	scheduler Scheduler
}

// New makes one without collaborators.
func New(state *cluster.State, log *slog.Logger, bounds *telemetry.BoundReporter) *Tracker {
	return &Tracker{State: state, log: log, bounds: bounds}
}

// Connect gives it its collaborators, before the loop starts.
func (tr *Tracker) Connect(agents Agents, auth Auth, scheduler Scheduler) {
	tr.agents, tr.auth, tr.scheduler = agents, auth, scheduler
}

// ApplyJobRecord takes up an accepted job. Records never change.
func (tr *Tracker) ApplyJobRecord(id string, raw []byte) {
	tr.auth.NoteJob(id, raw)
	if tr.Jobs[id] != nil || tr.FinalStates[id] != "" {
		return
	}
	if j := tr.LoadJobRecord(id, raw); j != nil {
		tr.Dependencies.Add(j, func(dep string) (string, time.Time) { return tr.FinalStates[dep], tr.ListedEnds[dep] })
		tr.wakeForDoomedJobs()
	}
}

// LoadJobRecord makes a job of its record.
func (tr *Tracker) LoadJobRecord(id string, raw []byte) *cluster.Job {
	spec := new(protocol.JobSpec)
	if err := storage.Decode(raw, spec); err != nil || spec.Tasks < 1 {
		tr.log.Error("bad job record", "job", id, "reason", err)
		return nil
	}
	team, ok := tr.TeamIndex[spec.Team]
	if !ok {
		tr.log.Error("job of a team that is not in the settings", "job", id, "team", spec.Team)
		return nil
	}
	j := &cluster.Job{Spec: spec, Partition: tr.TeamPartition[team], Team: team, ClassGroup: tr.scheduler.ClassGroup(spec.Class), SubmittedAt: cluster.SteadyTime(spec.SubmittedMS, time.Now())}
	tr.Jobs[id] = j
	if p := tr.Partitions[j.Partition]; p.Held && p.Ready {
		j.Load()
		p.QueueOrder = nil
		p.Wake()
	}
	return j
}

func (tr *Tracker) ApplyFinalRecord(id string, raw []byte) {
	var f storage.Final
	if err := storage.Decode(raw, &f); err != nil {
		tr.log.Error("bad final record", "job", id, "reason", err)
		return
	}
	if tr.ListedEnds != nil {
		tr.ListedEnds[id] = cluster.SteadyTime(f.AtMS, time.Now())
	}
	at := time.Now()
	if f.AtMS > 0 {
		at = cluster.SteadyTime(f.AtMS, at)
	}
	tr.SetFinal(id, f.Status, at)
}

// SetFinal notes that a job is done or withdrawn, for good, and when it was at the earliest.
func (tr *Tracker) SetFinal(id, status string, at time.Time) {
	if tr.FinalStates[id] != "" {
		return
	}
	tr.FinalStates[id] = status
	if status == protocol.StatusWithdrawn && time.Since(at) < tr.CancelBound && !tr.Cancellations.Add(id, at) {
		tr.bounds.Met(telemetry.Cancellations, 1)
	}
	for _, j := range tr.Dependencies.JobEnded(id, status == protocol.StatusDone, time.Now()) {
		if p := tr.Partitions[j.Partition]; p.Held && p.Ready {
			p.QueueOrder = nil
			p.Wake()
		}
	}
	tr.wakeForDoomedJobs()
	j := tr.Jobs[id]
	if j == nil {
		return
	}
	if status == protocol.StatusDone {
		tr.scheduler.CountDone(j.Partition, j.Groups(), time.Now())
	}
	if !j.Loaded {
		delete(tr.Jobs, id)
		return
	}
	j.Ended, j.Pending = true, nil
	if status == protocol.StatusWithdrawn {
		j.CancelledAt = at
	}
	now := time.Now()
	if status == protocol.StatusWithdrawn {
		tr.log.Info("job withdrawn", "job", id, "live", len(j.LiveAttempts))
	}
	for _, a := range j.LiveAttempts {
		tr.agents.StopAttempt(a, 0, now)
	}
	tr.Partitions[j.Partition].Wake()
	tr.DropIfReleased(j)
}

// wakeForDoomedJobs lets the owners of jobs that are to be withdrawn do so.
func (tr *Tracker) wakeForDoomedJobs() {
	if len(tr.Dependencies.DoomedJobs) > 0 {
		for _, p := range tr.Partitions {
			p.Wake()
		}
	}
}

// DropIfReleased forgets a job that has ended and holds nothing any more.
func (tr *Tracker) DropIfReleased(j *cluster.Job) {
	if tr.FinalStates[j.Spec.ID] == "" || len(j.LiveAttempts) > 0 {
		return
	}
	now := time.Now()
	left := false
	for _, ch := range j.Chunks {
		if ch.Revision != 0 || ch.Unconfirmed {
			left = true
			if !ch.Dirty {
				ch.Dirty, ch.DirtySince, j.RecordsChanged = true, now, true
			}
		}
	}
	if left {
		return
	}
	for _, ch := range j.Chunks {
		for _, a := range ch.Exited {
			a.State = cluster.AttemptReleased
		}
	}
	delete(tr.Jobs, j.Spec.ID)
}
