package coordination

// The records that every controller follows: jobs, their ends, machines, claims and the
// machine types, by a listing and the changes after it.

import (
	"log/slog"
	"time"

	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Watcher follows the shared records and hands each to its owner.
type Watcher struct {
	*State
	loop  *eventloop.Loop
	store *storage.Store
	log   *slog.Logger

	agents     *Agents
	auth       *Auth
	autoscaler *Autoscaler
	jobs       *Tracker
	leases     *LeaseHolder
	scheduler  *Scheduler
}

// NewWatcher makes one without collaborators.
func NewWatcher(state *State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Watcher {
	return &Watcher{State: state, loop: loop, store: store, log: log}
}

// Connect gives it its collaborators, before the loop starts.
func (wa *Watcher) Connect(agents *Agents, auth *Auth, autoscaler *Autoscaler, jobs *Tracker, leases *LeaseHolder, scheduler *Scheduler) {
	wa.agents, wa.auth, wa.autoscaler, wa.jobs, wa.leases, wa.scheduler = agents, auth, autoscaler, jobs, leases, scheduler
}

// Tracker follows jobs from their record to their final state.
type Tracker struct {
	*State
	log    *slog.Logger
	bounds *telemetry.BoundReporter

	agents    *Agents
	auth      *Auth
	scheduler *Scheduler
}

// NewTracker makes one without collaborators.
func NewTracker(state *State, log *slog.Logger, bounds *telemetry.BoundReporter) *Tracker {
	return &Tracker{State: state, log: log, bounds: bounds}
}

// Connect gives it its collaborators, before the loop starts.
func (tr *Tracker) Connect(agents *Agents, auth *Auth, scheduler *Scheduler) {
	tr.agents, tr.auth, tr.scheduler = agents, auth, scheduler
}

// watchOutagePatience is how long a watch may go on through an outage: after one that is given
// up everything is listed.
const watchOutagePatience = 12 * time.Second

// watchDuty follows the shared records: a listing, then changes from there.
func (wa *Watcher) watchDuty() {
	tries := wa.loop.Tries("watch", followBackoff)
	// As often as the lease is renewed: the older of the two bounds what workers are
	// answered (informed).
	wait, patience := wa.Operator.ClaimTTL/3, watchOutagePatience
	if wa.auth.Enabled() {
		wait, patience = min(wait, policyWatchWait), storage.ChangePatience
	}
	late := false
	revision := uint64(0)
	for {
		asked := time.Now()
		if revision == 0 {
			items, rev, err := wa.store.List(wa.loop.Context(), storage.WatchPrefix)
			if err != nil {
				wa.log.Debug("listing failed", "reason", err)
				if !wa.loop.Sleep(tries.Failed()) {
					return
				}
				continue
			}
			if !wa.loop.Do(func() {
				wa.applyListing(items, rev)
				wa.RecordsAsOf, wa.RecordsRevision = asked, rev
				wa.auth.PublishPolicy(asked)
			}) {
				return
			}
			revision = rev
			asked = time.Now()
		}
		most := wait
		if late {
			most = 0 // what was asked for long ago, before an outage perhaps, informs of little
		}
		ev, err := wa.store.Watch(wa.loop.Context(), storage.WatchPrefix, revision, most, patience)
		if err != nil {
			if wa.loop.Context().Err() != nil {
				return
			}
			// A watch that ended without an answer, or that answers 410, may
			// have missed changes; a fresh listing never does.
			wa.log.Debug("watch ended", "reason", err)
			revision = 0
			if !wa.loop.Sleep(tries.Failed()) {
				return
			}
			continue
		}
		if !wa.loop.Do(func() {
			for _, e := range ev.Events {
				wa.applyEvent(e)
			}
			wa.RecordsAsOf, wa.RecordsRevision = asked, max(wa.RecordsRevision, ev.Revision)
			wa.auth.PublishPolicy(asked)
		}) {
			return
		}
		revision, late = max(revision, ev.Revision), time.Since(asked) > 2*wait
		tries.Succeeded()
	}
}

// applyListing replaces what is known of the shared records.
func (wa *Watcher) applyListing(items []protocol.Item, revision uint64) {
	now := time.Now()
	machines, claims, policy := map[string]bool{}, map[string]bool{}, map[string]bool{}
	wa.ListedEnds = map[string]time.Time{}
	defer func() { wa.ListedEnds = nil }()
	// Final states go first, so that ended jobs are not taken up.
	for _, it := range items {
		if kind, id := storage.ParseKey(it.Key); kind == storage.KindFinal {
			wa.jobs.ApplyFinalRecord(id, it.Value)
		}
	}
	wa.leases.NoteMissedLeaders(now)
	wa.scheduler.ResetDoneCounts()
	for _, it := range items {
		switch kind, name := storage.ParseKey(it.Key); kind {
		case storage.KindJob:
			wa.scheduler.CountListedJob(name, it.Value)
		case storage.KindMachine:
			machines[name] = true
		case storage.KindLease, storage.KindLeadership:
			claims[it.Key] = true
		case storage.KindPolicyHead, storage.KindRole, storage.KindIdentity:
			policy[it.Key] = true
		case storage.KindFinal:
			continue
		}
		wa.applyEvent(protocol.Event{Put: it.Key, Value: it.Value, Version: it.Version})
	}
	// What was written after the listing began is not in it, yet not gone.
	for name, m := range wa.Machines {
		if !machines[name] && m.Revision <= revision {
			wa.agents.MachineDeleted(name, now)
		}
	}
	for _, p := range wa.Partitions {
		if key := storage.LeaseKey(p.Index); !claims[key] && p.LeaseRevision != 0 {
			wa.applyEvent(protocol.Event{Delete: key, Version: revision})
		}
	}
	for _, p := range wa.Partitions {
		// A part that was never seen claimed is an orphan from now on, so that
		// its preferred owner has the time to start.
		if p.LeaseRevision == 0 && p.VacantSince.IsZero() {
			p.VacantSince = now
		}
	}
	if !claims[storage.LeadershipKey] {
		wa.applyEvent(protocol.Event{Delete: storage.LeadershipKey, Version: revision})
	}
	if wa.auth.Enabled() {
		wa.auth.DropUnlistedPolicy(policy)
	}
	if !wa.Synced {
		wa.Synced = true
		wa.log.Info("records read", "jobs", len(wa.Jobs), "final", len(wa.FinalStates), "machines", len(wa.Machines))
	}
}

func (wa *Watcher) applyEvent(e protocol.Event) {
	now := time.Now()
	key := e.Put + e.Delete
	kind, name := storage.ParseKey(key)
	switch kind {
	case storage.KindLease:
		for _, p := range wa.Partitions {
			if storage.LeaseKey(p.Index) == key {
				wa.leases.ApplyLease(p, e, now)
			}
		}
	case storage.KindLeadership:
		wa.autoscaler.ApplyLeadership(e, now)
	case storage.KindMachine:
		if e.Delete != "" {
			if m := wa.Machines[name]; m != nil && e.Version >= m.Revision {
				wa.agents.MachineDeleted(name, now)
			}
			return
		}
		var rec storage.Machine
		if err := storage.Decode(e.Value, &rec); err != nil || rec.Partition < 0 || rec.Partition >= len(wa.Partitions) {
			wa.log.Error("bad machine record", "machine", name, "reason", err)
			return
		}
		wa.agents.MachineRecorded(name, rec, e.Version, now)
	case storage.KindJob:
		if e.Delete == "" {
			wa.jobs.ApplyJobRecord(name, e.Value)
		}
	case storage.KindFinal:
		if e.Delete == "" {
			wa.jobs.ApplyFinalRecord(name, e.Value)
		}
	case storage.KindIncarnation:
		wa.leases.ApplyIncarnation(name, e)
	case storage.KindPolicyHead, storage.KindRole, storage.KindIdentity:
		if wa.auth.Enabled() {
			if err := wa.auth.ApplyPolicyRecord(kind, name, e); err != nil {
				wa.log.Error("bad policy record", "key", key, "reason", err)
			}
		}
	case storage.KindCatalog:
		var cat protocol.Catalog
		if e.Delete == "" && storage.Decode(e.Value, &cat) == nil && len(wa.Catalog) == 0 {
			wa.SetCatalog(cat.Types)
		}
	}
}

func (s *State) SetCatalog(types []protocol.MachineType) {
	s.Catalog = types
	s.MachineTypes = map[string]*protocol.MachineType{}
	for i := range types {
		s.MachineTypes[types[i].Name] = &types[i]
	}
	for _, m := range s.Machines {
		m.Type = s.MachineTypes[m.Record.Type]
	}
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
func (tr *Tracker) LoadJobRecord(id string, raw []byte) *Job {
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
	j := &Job{Spec: spec, Partition: tr.TeamPartition[team], Team: team, ClassGroup: tr.scheduler.ClassGroup(spec.Class), SubmittedAt: SteadyTime(spec.SubmittedMS, time.Now())}
	tr.Jobs[id] = j
	if p := tr.Partitions[j.Partition]; p.Held && p.Ready {
		j.Load()
		p.QueueOrder = nil
		p.Wake()
	}
	return j
}

// SteadyTime is the moment on the steady clock of a wall clock's reading that lies
// in the past.
func SteadyTime(ms int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(0, now.UnixMilli()-ms)) * time.Millisecond)
}

// Load prepares a job for its part's owner, with all tasks waiting.
func (j *Job) Load() {
	j.Loaded = true
	j.TaskDone = make([]bool, j.Spec.Tasks)
	j.DoneCount, j.RunningCount, j.Completing = 0, 0, false
	j.LiveAttempts, j.Chunks, j.FailedMachines, j.RunTimesS = map[int]*Attempt{}, map[int]*RunChunk{}, nil, nil
	j.Pending = make([]int, j.Spec.Tasks)
	for i := range j.Pending {
		j.Pending[i] = i
	}
}

// Unload forgets what only the owner keeps.
func (j *Job) Unload() {
	j.Loaded, j.TaskDone, j.LiveAttempts, j.Chunks, j.Pending = false, nil, nil, nil, nil
	j.Completing, j.RunningCount, j.DoneCount = false, 0, 0
}

func (tr *Tracker) ApplyFinalRecord(id string, raw []byte) {
	var f storage.Final
	if err := storage.Decode(raw, &f); err != nil {
		tr.log.Error("bad final record", "job", id, "reason", err)
		return
	}
	if tr.ListedEnds != nil {
		tr.ListedEnds[id] = SteadyTime(f.AtMS, time.Now())
	}
	at := time.Now()
	if f.AtMS > 0 {
		at = SteadyTime(f.AtMS, at)
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
func (tr *Tracker) DropIfReleased(j *Job) {
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
			a.State = AttemptReleased
		}
	}
	delete(tr.Jobs, j.Spec.ID)
}
