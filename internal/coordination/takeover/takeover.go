// Package takeover decides which partitions this controller should lead, and rebuilds the
// state of one that it has acquired from a replica or from the state store. Invariant: nothing
// is placed before the records are known up to the lease's revision.
package takeover

import (
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/lease"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Takeover decides which partitions to take over, and rebuilds their state.
type Takeover struct {
	*cluster.State
	loop    *eventloop.Loop
	store   *storage.Store
	log     *slog.Logger
	metrics *telemetry.Metrics

	agents     Agents
	jobs       Jobs
	leases     Leases
	proxy      Proxy
	replicator Replicator
}

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Takeover {
	return &Takeover{State: state, loop: loop, store: store, log: log}
}

// Connect gives it its collaborators, before the loop starts.
func (to *Takeover) Connect(agents Agents, jobs Jobs, leases Leases, proxy Proxy, replicator Replicator) {
	to.agents, to.jobs, to.leases, to.proxy, to.replicator = agents, jobs, leases, proxy, replicator
}

// Observe makes it measure itself, before the loop starts.
func (to *Takeover) Observe(m *telemetry.Metrics) { to.metrics = m }

// WantsPartition says whether to claim a part now: its own at once, an orphan after
// a pause that is longer the more parts are held already.
func (to *Takeover) WantsPartition(p *cluster.Partition, now time.Time) bool {
	if !to.Synced || p.Held || to.Draining || now.Sub(to.ResignedAt) < 10*time.Second && !to.ResignedAt.IsZero() {
		return false
	}
	if p.LeaseRevision != 0 {
		// A former life's, or one whose release is not on record yet.
		return p.Leader == to.Settings.Label && now.Sub(p.AcquiredAt) > lease.ReleaseTimeout
	}
	if to.isStandbyFor(p.FormerLeader, to.NamedStandby(p), now) {
		return true
	}
	if to.liveStandby(p, now) && now.Sub(p.VacantSince) < standbyHeadStart {
		return false
	}
	if p.Index == to.SelfIndex {
		return true
	}
	held := 0
	for _, q := range to.Partitions {
		if q.Held {
			held++
		}
	}
	pause := time.Duration(held) * 400 * time.Millisecond
	if now.Sub(to.StartedAt) < 5*time.Second {
		pause += 2500 * time.Millisecond
	}
	return now.Sub(p.VacantSince) >= pause
}

// standbyHeadStart is how long others leave a part to the standby that has a copy of it.
const standbyHeadStart = 600 * time.Millisecond

func (to *Takeover) WantsLeadership(now time.Time) bool {
	l := &to.Leadership
	if !to.Synced || l.Held || to.Draining || now.Sub(to.ResignedAt) < 10*time.Second && !to.ResignedAt.IsZero() {
		return false
	}
	if l.Revision != 0 {
		return l.Holder == to.Settings.Label
	}
	return to.isStandbyFor(l.FormerHolder, "", now) || now.Sub(l.VacantSince) >= time.Duration(to.SelfIndex)*400*time.Millisecond
}

// preferredLeader is the controller whose own a part is and to which it goes back now that it is
// there again; empty: it stays. That is done only where it evens the work out.
func (to *Takeover) preferredLeader(p *cluster.Partition, now time.Time) string {
	if !p.Held || !p.Ready || !p.HasTeams || p.Index == to.SelfIndex || p.Index >= len(to.Labels) || now.Sub(p.AcquiredAt) < lease.SettleTime {
		return ""
	}
	label := to.Labels[p.Index]
	home := to.Peers[label]
	if home == nil || !home.Alive(now) || home.Summary.Draining || now.Sub(home.AliveSince) < lease.SettleTime {
		return ""
	}
	mine, theirs := 0, 0
	for _, q := range to.Partitions {
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
func (to *Takeover) ShouldHandBack(p *cluster.Partition, now time.Time) bool {
	home := to.preferredLeader(p, now)
	if home == "" {
		p.HandbackSince = time.Time{}
		return false
	}
	if p.HandbackSince.IsZero() {
		p.HandbackSince = now
	}
	return !to.Peers[home].Summary.Replicates || to.Peers[home].HasReplicaOf(p.Index) || now.Sub(p.HandbackSince) > handbackWarmUp
}

// TakeOver reads what the part's former owner recorded. Everything that owner
// still sends fails from now on, since it is conditional on the old claim.
func (to *Takeover) TakeOver(p *cluster.Partition, version uint64) {
	current := func() bool {
		ok := false
		return to.loop.Do(func() { ok = p.Held && p.LeaseRevision == version }) && ok
	}
	tries := to.loop.Tries("rebuild "+strconv.Itoa(p.Index), takeoverBackoff)
	for current() {
		if err := to.tryTakeOver(p, version); err == nil {
			return
		} else {
			to.log.Info("rebuilding failed", "part", p.Index, "reason", err)
		}
		if !to.loop.Sleep(tries.Failed()) {
			return
		}
	}
}

func (to *Takeover) tryTakeOver(p *cluster.Partition, version uint64) error {
	fo, warm, err := to.replicator.CompleteReplica(p, version)
	if err != nil {
		return err
	}
	specs := map[string]*protocol.Item{}
	var lacks, missing []string
	told := true
	for begun := time.Now(); ; {
		to.loop.Do(func() {
			if lacks, missing = nil, nil; !p.Held || p.LeaseRevision != version {
				return // lost meanwhile: nothing to wait for
			}
			// Asked in the same turn as the rest: a job that ends meanwhile is not known
			// any more, yet its attempts hold their team's quota until they are over.
			if missing = fo.Derived.UnknownJobs(to.Jobs, specs); len(missing) > 0 {
				return
			}
			if lacks = to.MissingEvidence(p, version, fo.Records.Revision()); len(lacks) > 0 {
				return
			}
			to.Install(p, fo, specs, warm)
			told = fo.Updates.Acknowledged != 0
		})
		if len(missing) > 0 {
			for _, id := range missing {
				if specs[id], err = to.store.Get(to.loop.Context(), storage.JobKey(id)); err != nil {
					return err
				}
			}
			continue
		}
		if len(lacks) == 0 {
			if !told {
				to.replicator.RequestStateTransfer(p, version)
			}
			return nil
		}
		if time.Since(begun) > catchUpTimeout || !to.loop.Sleep(catchUpPollInterval) {
			return fmt.Errorf("not to be decided on yet: missing %s", strings.Join(lacks, ", "))
		}
	}
}

// MissingEvidence says what is still missing before the first decision on a part whose run records
// are known up to a revision. Machines and ends of jobs come with the watch, in order.
// Quotas are added up as the records are taken in.
func (to *Takeover) MissingEvidence(p *cluster.Partition, claim, runs uint64) []string {
	return failover.TakeoverCheck{LeaseRevision: claim, NewestLease: p.LeaseRevision, SinceRenewal: time.Since(to.LeaseRenewedAt), TTL: to.Operator.LeaseTTL,
		RunRecords: runs, MachineRecords: to.RecordsRevision, FinalStates: to.RecordsRevision, Counted: true}.Missing()
}

// catchUp is how long a new owner waits for what is missing before it reads anew.
const catchUpTimeout = 2 * time.Second

const catchUpPollInterval = 10 * time.Millisecond

// Install takes a part's copy as the state of its jobs and machines. The copy is the
// part's from then on.
func (to *Takeover) Install(p *cluster.Partition, fo *replication.Replica, specs map[string]*protocol.Item, warm bool) {
	now := time.Now()
	to.replicator.DropReplica(p.Index)
	if !p.Cleared {
		to.leases.ClearPartition(p)
	}
	p.Cleared = false
	for id, it := range specs {
		if to.FinalStates[id] == "" {
			to.jobs.ApplyJobRecord(id, it.Value)
		} else if to.Jobs[id] == nil {
			// An ended job whose attempts are not all proven over.
			to.jobs.LoadJobRecord(id, it.Value)
		}
	}
	for name, attempts := range fo.Derived.AttemptsByMachine {
		m := to.Machines[name]
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
	for _, m := range to.Machines {
		if m.Record.Partition == p.Index {
			m.Prediction, m.Used = nil, binpack.Resources{}
		}
	}
	live, bound := 0, 0
	for id, j := range to.Jobs {
		if j.Partition != p.Index {
			continue
		}
		if sj := fo.Derived.Jobs[id]; sj != nil {
			live += sj.Bind(j, now)
			bound++
			p.Usage[j.Team].Add(cluster.ResourcesOf(j.Spec), float64(len(j.LiveAttempts)))
		} else {
			j.Load()
		}
		j.RequeueAll()
		if to.FinalStates[id] != "" {
			j.Ended, j.CancelledAt, j.Pending = true, to.Cancellations.CancelledAt(id), nil
		} else if j.DoneCount == j.Spec.Tasks && !j.Spec.Standing {
			j.Completing = true
		}
	}
	if bound < len(fo.Derived.Jobs) {
		for id, sj := range fo.Derived.Jobs {
			if to.Jobs[id] == nil || to.Jobs[id].Partition != p.Index {
				to.log.Error("run records of a job that is not known", "job", id, "records", len(sj.Records))
				sj.Unbind(id)
			}
		}
	}
	to.replicator.ApplyHints(p, &fo.Updates, now)
	to.proxy.SpreadShards(p, now)
	for _, m := range to.Machines {
		if m.Record.Partition == p.Index {
			// Former owners may have gone on answering until then (8, 12, 34).
			m.AnsweredUntil = to.leases.LastAnswerBound(p, m)
			m.LastHeardAt, m.LedSince = now, now
			to.agents.Fence(m)
		}
	}
	for id, j := range to.Jobs {
		if j.Partition == p.Index && to.FinalStates[id] != "" {
			for _, a := range j.Attempts() {
				to.agents.StopAttempt(a, 0, now)
			}
			to.jobs.DropIfReleased(j)
		}
	}
	p.Ready, p.WarmFailover, p.QueueOrder, p.Replication, p.HandbackSince = true, warm, nil, cluster.ReplicationProgress{}, time.Time{}
	p.Wake()
	to.metrics.RecordWait(telemetry.Takeover, now.Sub(p.AcquiredAt), now)
	kind := telemetry.TakeoverCold
	if warm {
		kind = telemetry.TakeoverWarm
	}
	to.metrics.Count(kind, 1)
	to.log.Info("part ready", "part", p.Index, "live", live, "after", now.Sub(p.AcquiredAt), "warm", warm)
}
