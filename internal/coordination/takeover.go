package coordination

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// WantsPartition says whether to claim a part now: its own at once, an orphan after
// a pause that is longer the more parts are held already.
func (f *Replicator) WantsPartition(p *Partition, now time.Time) bool {
	c := f.c
	if !c.Synced || p.Held || c.Draining || now.Sub(c.ResignedAt) < 10*time.Second && !c.ResignedAt.IsZero() {
		return false
	}
	if p.LeaseRevision != 0 {
		// A former life's, or one whose release is not on record yet.
		return p.Leader == c.Settings.Label && now.Sub(p.AcquiredAt) > ReleaseTimeout
	}
	if f.isStandbyFor(p.FormerLeader, f.NamedStandby(p), now) {
		return true
	}
	if f.liveStandby(p, now) && now.Sub(p.VacantSince) < standbyHeadStart {
		return false
	}
	if p.Index == c.SelfIndex {
		return true
	}
	held := 0
	for _, q := range c.Partitions {
		if q.Held {
			held++
		}
	}
	pause := time.Duration(held) * 400 * time.Millisecond
	if now.Sub(c.StartedAt) < 5*time.Second {
		pause += 2500 * time.Millisecond
	}
	return now.Sub(p.VacantSince) >= pause
}

// standbyHeadStart is how long others leave a part to the standby that has a copy of it.
const standbyHeadStart = 600 * time.Millisecond

func (f *Replicator) WantsLeadership(now time.Time) bool {
	c := f.c
	l := &c.Leadership
	if !c.Synced || l.Held || c.Draining || now.Sub(c.ResignedAt) < 10*time.Second && !c.ResignedAt.IsZero() {
		return false
	}
	if l.Revision != 0 {
		return l.Holder == c.Settings.Label
	}
	return f.isStandbyFor(l.FormerHolder, "", now) || now.Sub(l.VacantSince) >= time.Duration(c.SelfIndex)*400*time.Millisecond
}

// preferredLeader is the controller whose own a part is and to which it goes back now that it is
// there again; empty: it stays. That is done only where it evens the work out.
func (f *Replicator) preferredLeader(p *Partition, now time.Time) string {
	c := f.c
	if !p.Held || !p.Ready || !p.HasTeams || p.Index == c.SelfIndex || p.Index >= len(c.Labels) || now.Sub(p.AcquiredAt) < SettleTime {
		return ""
	}
	label := c.Labels[p.Index]
	home := c.Peers[label]
	if home == nil || !home.Alive(now) || home.Summary.Leaving || now.Sub(home.HeardSince) < SettleTime {
		return ""
	}
	mine, theirs := 0, 0
	for _, q := range c.Partitions {
		switch {
		case q.HasTeams && q.Held:
			mine++
		case q.HasTeams && q.Leader == label:
			theirs++
		}
	}
	if mine-theirs < 2 {
		return ""
	}
	return label
}

// handbackWarmUp is how long a part that goes back waits for its home to have a copy of it.
const handbackWarmUp = 10 * time.Second

// ShouldHandBack says whether to give a part up to its home now.
func (f *Replicator) ShouldHandBack(p *Partition, now time.Time) bool {
	c := f.c
	home := f.preferredLeader(p, now)
	if home == "" {
		p.HandbackSince = time.Time{}
		return false
	}
	if p.HandbackSince.IsZero() {
		p.HandbackSince = now
	}
	return !c.Peers[home].Summary.Copies || c.Peers[home].HasReplicaOf(p.Index) || now.Sub(p.HandbackSince) > handbackWarmUp
}

// TakeOver reads what the part's former owner recorded. Everything that owner
// still sends fails from now on, since it is conditional on the old claim.
func (f *Replicator) TakeOver(p *Partition, version uint64) {
	c := f.c
	current := func() bool {
		ok := false
		return c.loop.Do(func() { ok = p.Held && p.LeaseRevision == version }) && ok
	}
	tries := c.loop.Tries("rebuild "+strconv.Itoa(p.Index), takeoverBackoff)
	for current() {
		if err := f.tryTakeOver(p, version); err == nil {
			return
		} else {
			c.log.Info("rebuilding failed", "part", p.Index, "reason", err)
		}
		if !c.loop.Sleep(tries.Failed()) {
			return
		}
	}
}

func (f *Replicator) tryTakeOver(p *Partition, version uint64) error {
	c := f.c
	fo, warm, err := f.CompleteReplica(p, version)
	if err != nil {
		return err
	}
	specs := map[string]*protocol.Item{}
	var lacks, missing []string
	told := true
	for begun := time.Now(); ; {
		c.loop.Do(func() {
			if lacks, missing = nil, nil; !p.Held || p.LeaseRevision != version {
				return // lost meanwhile: nothing to wait for
			}
			// Asked in the same turn as the rest: a job that ends meanwhile is not known
			// any more, yet its attempts hold their team's quota until they are over.
			if missing = fo.Derived.UnknownJobs(c.Jobs, specs); len(missing) > 0 {
				return
			}
			if lacks = f.missingEvidence(p, version, fo.Records.Revision()); len(lacks) > 0 {
				return
			}
			f.install(p, fo, specs, warm)
			told = fo.Updates.Acknowledged != 0
		})
		if len(missing) > 0 {
			for _, id := range missing {
				if specs[id], err = c.store.Get(c.loop.Context(), storage.JobKey(id)); err != nil {
					return err
				}
			}
			continue
		}
		if len(lacks) == 0 {
			if !told {
				f.RequestStateTransfer(p, version)
			}
			return nil
		}
		if time.Since(begun) > catchUpTimeout || !c.loop.Sleep(catchUpPollInterval) {
			return fmt.Errorf("not to be decided on yet: missing %s", strings.Join(lacks, ", "))
		}
	}
}

// missingEvidence says what is still missing before the first decision on a part whose run records
// are known up to a revision. Machines and ends of jobs come with the watch, in order.
// Quotas are added up as the records are taken in.
func (f *Replicator) missingEvidence(p *Partition, claim, runs uint64) []string {
	c := f.c
	return failover.TakeoverCheck{LeaseRevision: claim, NewestLease: p.LeaseRevision, SinceRenewal: time.Since(c.LeaseRenewedAt), TTL: c.Operator.ClaimTTL,
		RunRecords: runs, MachineRecords: c.RecordsRevision, FinalStates: c.RecordsRevision, Counted: true}.Missing()
}

// catchUp is how long a new owner waits for what is missing before it reads anew.
const (
	catchUpTimeout      = 2 * time.Second
	catchUpPollInterval = 10 * time.Millisecond
)

// install takes a part's copy as the state of its jobs and machines. The copy is the
// part's from then on.
func (f *Replicator) install(p *Partition, fo *Replica, specs map[string]*protocol.Item, warm bool) {
	c := f.c
	now := time.Now()
	delete(f.replicas, p.Index)
	if !p.Cleared {
		c.ClearPartition(p)
	}
	p.Cleared = false
	for id, it := range specs {
		if c.FinalStates[id] == "" {
			c.ApplyJobRecord(id, it.Value)
		} else if c.Jobs[id] == nil {
			// An ended job whose attempts are not all proven over.
			c.LoadJobRecord(id, it.Value)
		}
	}
	for name, attempts := range fo.Derived.AttemptsByMachine {
		m := c.Machines[name]
		if m == nil || m.Record.Partition != p.Index {
			// The record of a machine goes only after the machine, and a
			// machine moves only when it is empty: these attempts are over.
			continue
		}
		m.Attempts = attempts
		for _, a := range attempts {
			a.Machine, a.CommittedAt = m, now
		}
	}
	for _, m := range c.Machines {
		if m.Record.Partition == p.Index {
			m.Prediction, m.Used = nil, binpack.Resources{}
		}
	}
	live, bound := 0, 0
	for id, j := range c.Jobs {
		if j.Partition != p.Index {
			continue
		}
		if sj := fo.Derived.Jobs[id]; sj != nil {
			live += sj.Bind(j, now)
			bound++
			p.Usage[j.Team].Add(ResourcesOf(j.Spec), float64(len(j.LiveAttempts)))
		} else {
			j.Load()
		}
		j.RequeueAll()
		if c.FinalStates[id] != "" {
			j.Ended, j.CancelledAt, j.Pending = true, c.Cancellations.CancelledAt(id), nil
		} else if j.DoneCount == j.Spec.Tasks && !j.Spec.Standing {
			j.Completing = true
		}
	}
	if bound < len(fo.Derived.Jobs) {
		for id, sj := range fo.Derived.Jobs {
			if c.Jobs[id] == nil || c.Jobs[id].Partition != p.Index {
				c.log.Error("run records of a job that is not known", "job", id, "records", len(sj.Records))
				sj.Unbind(id)
			}
		}
	}
	f.ApplyHints(p, &fo.Updates, now)
	c.proxy.SpreadShards(p, now)
	for _, m := range c.Machines {
		if m.Record.Partition == p.Index {
			// Former owners may have gone on answering until then (8, 12, 34).
			m.AnsweredUntil = c.LastAnswerBound(p, m)
			m.LastHeardAt, m.LedSince = now, now
			c.Fence(m)
		}
	}
	for id, j := range c.Jobs {
		if j.Partition == p.Index && c.FinalStates[id] != "" {
			for _, a := range j.Attempts() {
				c.StopAttempt(a, 0, now)
			}
			c.DropIfReleased(j)
		}
	}
	p.Ready, p.WarmFailover, p.QueueOrder, p.Replication, p.HandbackSince = true, warm, nil, ReplicationProgress{}, time.Time{}
	p.Wake()
	c.metrics.Took(telemetry.Takeover, now.Sub(p.AcquiredAt), now)
	kind := telemetry.TakeoverCold
	if warm {
		kind = telemetry.TakeoverWarm
	}
	c.metrics.Count(kind, 1)
	c.log.Info("part ready", "part", p.Index, "live", live, "after", now.Sub(p.AcquiredAt), "warm", warm)
}

func (j *Job) RequeueAll() {
	j.Pending = j.Pending[:0]
	if waiting := j.Spec.Tasks - j.DoneCount - len(j.LiveAttempts); cap(j.Pending) < waiting {
		j.Pending = make([]int, 0, waiting)
	}
	for t := range j.Spec.Tasks {
		if !j.TaskDone[t] && j.LiveAttempts[t] == nil {
			j.Pending = append(j.Pending, t)
		}
	}
}
