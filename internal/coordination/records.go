package coordination

// The records that every controller follows: jobs, their ends, machines, claims and the
// machine types, by a listing and the changes after it.

import (
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// watchOutagePatience is how long a watch may go on through an outage: after one that is given
// up everything is listed.
const watchOutagePatience = 12 * time.Second

// watchDuty follows the shared records: a listing, then changes from there.
func (c *Controller) watchDuty() {
	tries := c.loop.Tries("watch", followBackoff)
	// As often as the lease is renewed: the older of the two bounds what workers are
	// answered (informed).
	wait, patience := c.Operator.ClaimTTL/3, watchOutagePatience
	if c.guard != nil {
		wait, patience = min(wait, policyWatchWait), storage.ChangePatience
	}
	late := false
	revision := uint64(0)
	for {
		asked := time.Now()
		if revision == 0 {
			items, rev, err := c.store.List(c.loop.Context(), storage.WatchPrefix)
			if err != nil {
				c.log.Debug("listing failed", "reason", err)
				if !c.loop.Sleep(tries.Failed()) {
					return
				}
				continue
			}
			if !c.loop.Do(func() {
				c.applyListing(items, rev)
				c.RecordsAsOf, c.RecordsRevision = asked, rev
				c.PublishPolicy(asked)
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
		ev, err := c.store.Watch(c.loop.Context(), storage.WatchPrefix, revision, most, patience)
		if err != nil {
			if c.loop.Context().Err() != nil {
				return
			}
			// A watch that ended without an answer, or that answers 410, may
			// have missed changes; a fresh listing never does.
			c.log.Debug("watch ended", "reason", err)
			revision = 0
			if !c.loop.Sleep(tries.Failed()) {
				return
			}
			continue
		}
		if !c.loop.Do(func() {
			for _, e := range ev.Events {
				c.applyEvent(e)
			}
			c.RecordsAsOf, c.RecordsRevision = asked, max(c.RecordsRevision, ev.Revision)
			c.PublishPolicy(asked)
		}) {
			return
		}
		revision, late = max(revision, ev.Revision), time.Since(asked) > 2*wait
		tries.Succeeded()
	}
}

// applyListing replaces what is known of the shared records.
func (c *Controller) applyListing(items []protocol.Item, revision uint64) {
	now := time.Now()
	machines, claims, policy := map[string]bool{}, map[string]bool{}, map[string]bool{}
	c.ListedEnds = map[string]time.Time{}
	defer func() { c.ListedEnds = nil }()
	// Final states go first, so that ended jobs are not taken up.
	for _, it := range items {
		if kind, id := storage.ParseKey(it.Key); kind == storage.KindFinal {
			c.ApplyFinalRecord(id, it.Value)
		}
	}
	c.NoteMissedLeaders(now)
	c.ResetDoneCounts()
	for _, it := range items {
		switch kind, name := storage.ParseKey(it.Key); kind {
		case storage.KindJob:
			c.CountListedJob(name, it.Value)
		case storage.KindMachine:
			machines[name] = true
		case storage.KindLease, storage.KindLeadership:
			claims[it.Key] = true
		case storage.KindPolicyHead, storage.KindRole, storage.KindIdentity:
			policy[it.Key] = true
		case storage.KindFinal:
			continue
		}
		c.applyEvent(protocol.Event{Put: it.Key, Value: it.Value, Version: it.Version})
	}
	// What was written after the listing began is not in it, yet not gone.
	for name, m := range c.Machines {
		if !machines[name] && m.Revision <= revision {
			c.MachineDeleted(name, now)
		}
	}
	for _, p := range c.Partitions {
		if key := storage.LeaseKey(p.Index); !claims[key] && p.LeaseRevision != 0 {
			c.applyEvent(protocol.Event{Delete: key, Version: revision})
		}
	}
	for _, p := range c.Partitions {
		// A part that was never seen claimed is an orphan from now on, so that
		// its preferred owner has the time to start.
		if p.LeaseRevision == 0 && p.VacantSince.IsZero() {
			p.VacantSince = now
		}
	}
	if !claims[storage.LeadershipKey] {
		c.applyEvent(protocol.Event{Delete: storage.LeadershipKey, Version: revision})
	}
	if c.guard != nil {
		c.policy.dropUnlisted(policy)
	}
	if !c.Synced {
		c.Synced = true
		c.log.Info("records read", "jobs", len(c.Jobs), "final", len(c.FinalStates), "machines", len(c.Machines))
	}
}

func (c *Controller) applyEvent(e protocol.Event) {
	now := time.Now()
	key := e.Put + e.Delete
	kind, name := storage.ParseKey(key)
	switch kind {
	case storage.KindLease:
		for _, p := range c.Partitions {
			if storage.LeaseKey(p.Index) == key {
				c.ApplyLease(p, e, now)
			}
		}
	case storage.KindLeadership:
		c.ApplyLeadership(e, now)
	case storage.KindMachine:
		if e.Delete != "" {
			if m := c.Machines[name]; m != nil && e.Version >= m.Revision {
				c.MachineDeleted(name, now)
			}
			return
		}
		var rec storage.Machine
		if err := storage.Decode(e.Value, &rec); err != nil || rec.Partition < 0 || rec.Partition >= len(c.Partitions) {
			c.log.Error("bad machine record", "machine", name, "reason", err)
			return
		}
		c.MachineRecorded(name, rec, e.Version, now)
	case storage.KindJob:
		if e.Delete == "" {
			c.ApplyJobRecord(name, e.Value)
		}
	case storage.KindFinal:
		if e.Delete == "" {
			c.ApplyFinalRecord(name, e.Value)
		}
	case storage.KindIncarnation:
		c.ApplyIncarnation(name, e)
	case storage.KindPolicyHead, storage.KindRole, storage.KindIdentity:
		if c.guard != nil {
			if err := c.policy.apply(kind, name, e); err != nil {
				c.log.Error("bad policy record", "key", key, "reason", err)
			}
		}
	case storage.KindCatalog:
		var cat protocol.Catalog
		if e.Delete == "" && storage.Decode(e.Value, &cat) == nil && len(c.Catalog) == 0 {
			c.SetCatalog(cat.Types)
		}
	}
}

func (c *Controller) SetCatalog(types []protocol.MachineType) {
	c.Catalog = types
	c.MachineTypes = map[string]*protocol.MachineType{}
	for i := range types {
		c.MachineTypes[types[i].Name] = &types[i]
	}
	for _, m := range c.Machines {
		m.Type = c.MachineTypes[m.Record.Type]
	}
}

// ApplyJobRecord takes up an accepted job. Records never change.
func (c *Controller) ApplyJobRecord(id string, raw []byte) {
	if c.guard != nil {
		if _, known := c.jobQueues.queueOf(id); !known {
			var spec protocol.JobSpec
			if storage.Decode(raw, &spec) == nil {
				c.jobQueues.add(&spec)
			}
		}
	}
	if c.Jobs[id] != nil || c.FinalStates[id] != "" {
		return
	}
	if j := c.LoadJobRecord(id, raw); j != nil {
		c.Dependencies.Add(j, func(dep string) (string, time.Time) { return c.FinalStates[dep], c.ListedEnds[dep] })
		c.wakeForDoomedJobs()
	}
}

// LoadJobRecord makes a job of its record.
func (c *Controller) LoadJobRecord(id string, raw []byte) *Job {
	spec := new(protocol.JobSpec)
	if err := storage.Decode(raw, spec); err != nil || spec.Tasks < 1 {
		c.log.Error("bad job record", "job", id, "reason", err)
		return nil
	}
	team, ok := c.TeamIndex[spec.Team]
	if !ok {
		c.log.Error("job of a team that is not in the settings", "job", id, "team", spec.Team)
		return nil
	}
	j := &Job{Spec: spec, Partition: c.TeamPartition[team], Team: team, ClassGroup: c.ClassGroup(spec.Class), SubmittedAt: SteadyTime(spec.SubmittedMS, time.Now())}
	c.Jobs[id] = j
	if p := c.Partitions[j.Partition]; p.Held && p.Ready {
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

func (c *Controller) ApplyFinalRecord(id string, raw []byte) {
	var f storage.Final
	if err := storage.Decode(raw, &f); err != nil {
		c.log.Error("bad final record", "job", id, "reason", err)
		return
	}
	if c.ListedEnds != nil {
		c.ListedEnds[id] = SteadyTime(f.AtMS, time.Now())
	}
	at := time.Now()
	if f.AtMS > 0 {
		at = SteadyTime(f.AtMS, at)
	}
	c.SetFinal(id, f.Status, at)
}

// SetFinal notes that a job is done or withdrawn, for good, and when it was at the earliest.
func (c *Controller) SetFinal(id, status string, at time.Time) {
	if c.FinalStates[id] != "" {
		return
	}
	c.FinalStates[id] = status
	if status == protocol.StatusWithdrawn && time.Since(at) < c.CancelBound && !c.Cancellations.Add(id, at) {
		c.bounds.Met(telemetry.Cancellations, 1)
	}
	for _, j := range c.Dependencies.JobEnded(id, status == protocol.StatusDone, time.Now()) {
		if p := c.Partitions[j.Partition]; p.Held && p.Ready {
			p.QueueOrder = nil
			p.Wake()
		}
	}
	c.wakeForDoomedJobs()
	j := c.Jobs[id]
	if j == nil {
		return
	}
	if status == protocol.StatusDone {
		c.CountDone(j.Partition, j.Groups(), time.Now())
	}
	if !j.Loaded {
		delete(c.Jobs, id)
		return
	}
	j.Ended, j.Pending = true, nil
	if status == protocol.StatusWithdrawn {
		j.CancelledAt = at
	}
	now := time.Now()
	if status == protocol.StatusWithdrawn {
		c.log.Info("job withdrawn", "job", id, "live", len(j.LiveAttempts))
	}
	for _, a := range j.LiveAttempts {
		c.StopAttempt(a, 0, now)
	}
	c.Partitions[j.Partition].Wake()
	c.DropIfReleased(j)
}

// wakeForDoomedJobs lets the owners of jobs that are to be withdrawn do so.
func (c *Controller) wakeForDoomedJobs() {
	if len(c.Dependencies.DoomedJobs) > 0 {
		for _, p := range c.Partitions {
			p.Wake()
		}
	}
}

// DropIfReleased forgets a job that has ended and holds nothing any more.
func (c *Controller) DropIfReleased(j *Job) {
	if c.FinalStates[j.Spec.ID] == "" || len(j.LiveAttempts) > 0 {
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
	delete(c.Jobs, j.Spec.ID)
}
