package coordination

// The records that every controller follows: jobs, their ends, machines, claims and the
// machine types, by a listing and the changes after it.

import (
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
)

// watchPatience is how long a watch may go on through an outage: after one that is given
// up everything is listed.
const watchPatience = 12 * time.Second

// watchDuty follows the shared records: a listing, then changes from there.
func (c *Controller) watchDuty() {
	tries := c.tries("watch", followPause)
	// As often as the lease is renewed: the older of the two bounds what workers are
	// answered (informed).
	wait, patience := c.op.ClaimTTL/3, watchPatience
	if c.guard != nil {
		wait, patience = min(wait, policyWait), bookkeeping.ChangePatience
	}
	late := false
	revision := uint64(0)
	for {
		asked := time.Now()
		if revision == 0 {
			items, rev, err := c.store.List(c.ctx, bookkeeping.WatchPrefix)
			if err != nil {
				c.log.Debug("listing failed", "reason", err)
				if !c.sleep(tries.Failed()) {
					return
				}
				continue
			}
			if !c.do(func() {
				c.applyListing(items, rev)
				c.fresh, c.followed = asked, rev
				c.publishPolicy(asked)
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
		ev, err := c.store.Watch(c.ctx, bookkeeping.WatchPrefix, revision, most, patience)
		if err != nil {
			if c.ctx.Err() != nil {
				return
			}
			// A watch that ended without an answer, or that answers 410, may
			// have missed changes; a fresh listing never does.
			c.log.Debug("watch ended", "reason", err)
			revision = 0
			if !c.sleep(tries.Failed()) {
				return
			}
			continue
		}
		if !c.do(func() {
			for _, e := range ev.Events {
				c.applyEvent(e)
			}
			c.fresh, c.followed = asked, max(c.followed, ev.Revision)
			c.publishPolicy(asked)
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
	c.listedEnds = map[string]time.Time{}
	defer func() { c.listedEnds = nil }()
	// Final states go first, so that ended jobs are not taken up.
	for _, it := range items {
		if kind, id := bookkeeping.ParseKey(it.Key); kind == bookkeeping.KindFinal {
			c.applyFinalRecord(id, it.Value)
		}
	}
	c.unfollowed(now)
	c.forgetDone()
	for _, it := range items {
		switch kind, name := bookkeeping.ParseKey(it.Key); kind {
		case bookkeeping.KindJob:
			c.listedJob(name, it.Value)
		case bookkeeping.KindMachine:
			machines[name] = true
		case bookkeeping.KindClaim, bookkeeping.KindLeader:
			claims[it.Key] = true
		case bookkeeping.KindPolicyHead, bookkeeping.KindRole, bookkeeping.KindIdentity:
			policy[it.Key] = true
		case bookkeeping.KindFinal:
			continue
		}
		c.applyEvent(protocol.Event{Put: it.Key, Value: it.Value, Version: it.Version})
	}
	// What was written after the listing began is not in it, yet not gone.
	for name, m := range c.machines {
		if !machines[name] && m.version <= revision {
			c.machineDeleted(name, now)
		}
	}
	for _, p := range c.parts {
		if key := bookkeeping.ClaimKey(p.index); !claims[key] && p.version != 0 {
			c.applyEvent(protocol.Event{Delete: key, Version: revision})
		}
	}
	for _, p := range c.parts {
		// A part that was never seen claimed is an orphan from now on, so that
		// its preferred owner has the time to start.
		if p.version == 0 && p.orphan.IsZero() {
			p.orphan = now
		}
	}
	if !claims[bookkeeping.LeaderKey] {
		c.applyEvent(protocol.Event{Delete: bookkeeping.LeaderKey, Version: revision})
	}
	if c.guard != nil {
		c.policy.forget(policy)
	}
	if !c.synced {
		c.synced = true
		c.log.Info("records read", "jobs", len(c.jobs), "final", len(c.finals), "machines", len(c.machines))
	}
}

func (c *Controller) applyEvent(e protocol.Event) {
	now := time.Now()
	key := e.Put + e.Delete
	kind, name := bookkeeping.ParseKey(key)
	switch kind {
	case bookkeeping.KindClaim:
		for _, p := range c.parts {
			if bookkeeping.ClaimKey(p.index) == key {
				c.applyClaim(p, e, now)
			}
		}
	case bookkeeping.KindLeader:
		c.applyLeader(e, now)
	case bookkeeping.KindMachine:
		if e.Delete != "" {
			if m := c.machines[name]; m != nil && e.Version >= m.version {
				c.machineDeleted(name, now)
			}
			return
		}
		var rec bookkeeping.Machine
		if err := bookkeeping.Decode(e.Value, &rec); err != nil || rec.Part < 0 || rec.Part >= len(c.parts) {
			c.log.Error("bad machine record", "machine", name, "reason", err)
			return
		}
		c.machineRecorded(name, rec, e.Version, now)
	case bookkeeping.KindJob:
		if e.Delete == "" {
			c.applyJobRecord(name, e.Value)
		}
	case bookkeeping.KindFinal:
		if e.Delete == "" {
			c.applyFinalRecord(name, e.Value)
		}
	case bookkeeping.KindLife:
		c.applyLife(name, e)
	case bookkeeping.KindPolicyHead, bookkeeping.KindRole, bookkeeping.KindIdentity:
		if c.guard != nil {
			if err := c.policy.apply(kind, name, e); err != nil {
				c.log.Error("bad policy record", "key", key, "reason", err)
			}
		}
	case bookkeeping.KindCatalog:
		var cat protocol.Catalog
		if e.Delete == "" && bookkeeping.Decode(e.Value, &cat) == nil && len(c.catalog) == 0 {
			c.setCatalog(cat.Types)
		}
	}
}

func (c *Controller) setCatalog(types []protocol.MachineType) {
	c.catalog = types
	c.types = map[string]*protocol.MachineType{}
	for i := range types {
		c.types[types[i].Name] = &types[i]
	}
	for _, m := range c.machines {
		m.typ = c.types[m.rec.Type]
	}
}

// applyJobRecord takes up an accepted job. Records never change.
func (c *Controller) applyJobRecord(id string, raw []byte) {
	if c.guard != nil {
		if _, known := c.queues.of(id); !known {
			var spec protocol.JobSpec
			if bookkeeping.Decode(raw, &spec) == nil {
				c.queues.note(&spec)
			}
		}
	}
	if c.jobs[id] != nil || c.finals[id] != "" {
		return
	}
	if j := c.takeUp(id, raw); j != nil {
		c.graph.add(j, func(dep string) (string, time.Time) { return c.finals[dep], c.listedEnds[dep] })
		c.wakeDoomed()
	}
}

// takeUp makes a job of its record.
func (c *Controller) takeUp(id string, raw []byte) *job {
	spec := new(protocol.JobSpec)
	if err := bookkeeping.Decode(raw, spec); err != nil || spec.Tasks < 1 {
		c.log.Error("bad job record", "job", id, "reason", err)
		return nil
	}
	team, ok := c.teamIndex[spec.Team]
	if !ok {
		c.log.Error("job of a team that is not in the settings", "job", id, "team", spec.Team)
		return nil
	}
	j := &job{spec: spec, part: c.teamPart[team], team: team, class: c.classGroup(spec.Class), received: steady(spec.SubmittedMS, time.Now())}
	c.jobs[id] = j
	if p := c.parts[j.part]; p.mine && p.ready {
		j.own()
		p.order = nil
		p.wake()
	}
	return j
}

// steady is the moment on the steady clock of a wall clock's reading that lies
// in the past.
func steady(ms int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(0, now.UnixMilli()-ms)) * time.Millisecond)
}

// own prepares a job for its part's owner, with all tasks waiting.
func (j *job) own() {
	j.owned = true
	j.done = make([]bool, j.spec.Tasks)
	j.doneCount, j.running, j.finishing = 0, 0, false
	j.live, j.chunks, j.failedOn, j.ranS = map[int]*attempt{}, map[int]*chunk{}, nil, nil
	j.queue = make([]int, j.spec.Tasks)
	for i := range j.queue {
		j.queue[i] = i
	}
}

// disown forgets what only the owner keeps.
func (j *job) disown() {
	j.owned, j.done, j.live, j.chunks, j.queue = false, nil, nil, nil, nil
	j.finishing, j.running, j.doneCount = false, 0, 0
}

func (c *Controller) applyFinalRecord(id string, raw []byte) {
	var f bookkeeping.Final
	if err := bookkeeping.Decode(raw, &f); err != nil {
		c.log.Error("bad final record", "job", id, "reason", err)
		return
	}
	if c.listedEnds != nil {
		c.listedEnds[id] = steady(f.AtMS, time.Now())
	}
	at := time.Now()
	if f.AtMS > 0 {
		at = steady(f.AtMS, at)
	}
	c.setFinal(id, f.Status, at)
}

// setFinal notes that a job is done or withdrawn, for good, and when it was at the earliest.
func (c *Controller) setFinal(id, status string, at time.Time) {
	if c.finals[id] != "" {
		return
	}
	c.finals[id] = status
	if status == protocol.StatusWithdrawn && time.Since(at) < c.cancelS && !c.notices.note(id, at) {
		c.boundMet(observe.Cancellations, 1)
	}
	for _, j := range c.graph.ended(id, status == protocol.StatusDone, time.Now()) {
		if p := c.parts[j.part]; p.mine && p.ready {
			p.order = nil
			p.wake()
		}
	}
	c.wakeDoomed()
	j := c.jobs[id]
	if j == nil {
		return
	}
	if status == protocol.StatusDone {
		c.countDone(j.part, j.groups(), time.Now())
	}
	if !j.owned {
		delete(c.jobs, id)
		return
	}
	j.withdrawn, j.queue = true, nil
	if status == protocol.StatusWithdrawn {
		j.withdrawnAt = at
	}
	now := time.Now()
	if status == protocol.StatusWithdrawn {
		c.log.Info("job withdrawn", "job", id, "live", len(j.live))
	}
	for _, a := range j.live {
		c.stopAttempt(a, 0, now)
	}
	c.parts[j.part].wake()
	c.dropIfOver(j)
}

// wakeDoomed lets the owners of jobs that are to be withdrawn do so.
func (c *Controller) wakeDoomed() {
	if len(c.graph.doomed) > 0 {
		for _, p := range c.parts {
			p.wake()
		}
	}
}

// dropIfOver forgets a job that has ended and holds nothing any more.
func (c *Controller) dropIfOver(j *job) {
	if c.finals[j.spec.ID] == "" || len(j.live) > 0 {
		return
	}
	now := time.Now()
	left := false
	for _, ch := range j.chunks {
		if ch.version != 0 || ch.unsure {
			left = true
			if !ch.dirty {
				ch.dirty, ch.since, j.touched = true, now, true
			}
		}
	}
	if left {
		return
	}
	for _, ch := range j.chunks {
		for _, a := range ch.ended {
			a.state = attemptOver
		}
	}
	delete(c.jobs, j.spec.ID)
}
