// Package peering tells the other controllers how this one stands, several times a second,
// and takes in what they tell. It owns what is known of each peer.
package peering

import (
	"context"
	"log/slog"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Exchange tells the other controllers how this one stands, and takes in what they tell.
type Exchange struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester
	store   *storage.Store
	log     *slog.Logger
	bounds  *telemetry.BoundReporter

	jobs       Jobs
	proxy      Proxy
	replicator Replicator
	scheduler  Scheduler

	SummaryCache cachedSummary
}

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Exchange {
	return &Exchange{State: state, loop: loop, network: network, store: store, log: log, bounds: bounds}
}

// Connect gives it its collaborators, before the loop starts.
func (ex *Exchange) Connect(jobs Jobs, proxy Proxy, replicator Replicator, scheduler Scheduler) {
	ex.jobs, ex.proxy, ex.replicator, ex.scheduler = jobs, proxy, replicator, scheduler
}

const SummaryPath = "/peer/summary"

const SummaryInterval = 500 * time.Millisecond

func (ex *Exchange) ReceiveSummary(sum *peer.Summary) {
	ps := ex.Peers[sum.From]
	if ps == nil {
		return
	}
	now := time.Now()
	if !ps.Alive(now) {
		ps.AliveSince = now
	}
	ps.LastHeardAt, ps.Summary = now, sum
	ps.NoteReporting()
	ex.jobs.ApplyCancellationNotices(sum, now)
	ex.proxy.SummaryReceived(sum)
	// Addresses learnt by others let a new owner fence at once.
	for _, part := range sum.Partitions {
		for _, st := range part.Machines {
			if m := ex.Machines[st.Name]; m != nil && !m.HasReported {
				if m.Record.Addr == "" {
					m.Record.Addr = st.Addr
				}
			}
		}
	}
}

// PeerLoop tells one other controller several times a second how things are.
func (ex *Exchange) PeerLoop(label string) {
	ps := ex.Peers[label]
	for ex.loop.Sleep(SummaryInterval) {
		var body []byte
		ex.loop.Do(func() {
			body = ex.MarshalledSummary(time.Now())
		})
		if body == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(ex.loop.Context(), time.Second)
		resp, err := ex.network.Do(ctx, ps.Addr, "POST", SummaryPath, body)
		switch {
		case err != nil:
			ex.log.Debug("peer not reached", "peer", label, "reason", err)
		case resp.Status != 200:
			ex.log.Debug("summary refused", "peer", label, "status", resp.Status, "bytes", len(body))
		}
		cancel()
	}
}

// cachedSummary is the last summary as it goes to the others: one serves all of them.
type cachedSummary struct {
	body         []byte
	MarshalledAt time.Time
}

// MarshalledSummary is the summary as it goes to the others, made anew if it is old; nil
// before the records were read.
func (ex *Exchange) MarshalledSummary(now time.Time) []byte {
	cached := &ex.SummaryCache
	if ex.Synced && (cached.body == nil || now.Sub(cached.MarshalledAt) >= SummaryInterval*4/5) {
		cached.body = ex.EncodeSummary(ex.OwnSummary(now))
		cached.MarshalledAt = now
	}
	return cached.body
}

// OwnSummary describes this controller and its parts.
func (ex *Exchange) OwnSummary(now time.Time) *peer.Summary {
	load := ex.proxy.Load(now)
	sum := &peer.Summary{From: ex.Settings.Label, StateSilenceS: ex.store.SinceLastAnswer().Seconds(), WriteDemand: ex.WriteDemand,
		Replicas: ex.replicator.Summaries(), Draining: ex.Draining, Replicates: true, Cancelled: ex.Cancellations.Recent(now, ex.CancelBound),
		Capacity: uint32(load.Capacity), Connected: uint32(load.Machines)}
	sum.Partitions = ex.PartitionSummaries(now)
	for _, j := range ex.Jobs {
		if !j.Loaded || j.DoneCount == 0 && j.RunningCount == 0 {
			continue
		}
		if len(sum.Jobs) >= JobProgressLimit {
			ex.bounds.Met(telemetry.JobProgress, 1)
			break
		}
		sum.Jobs = append(sum.Jobs, &peer.JobProgress{Id: j.Spec.ID, Done: uint32(j.DoneCount), Running: uint32(j.RunningCount)})
	}
	for _, u := range ex.UnregisteredMachines {
		sum.Unregistered = append(sum.Unregistered, u)
	}
	for name := range ex.DivertedMachines {
		sum.Diverted = append(sum.Diverted, name)
	}
	return sum
}

// JobProgressLimit is how many jobs' progress is told, for users who ask another controller:
// 64,000 running tasks in arrays of eight. One takes some 24 bytes of a message and 100 of
// memory.
const JobProgressLimit = 8000

// PartitionSummaries describes the own parts.
func (ex *Exchange) PartitionSummaries(now time.Time) (list []*peer.PartitionSummary) {
	for _, p := range ex.Partitions {
		if p.Held && p.Ready {
			list = append(list, ex.PartitionSummary(p, now))
		}
	}
	return list
}

// DemandsMin is how many demands of a part are told at least.
const DemandsMin = 200

// machinesPerDemand is for how many machines of a large part one more is: what waits
// grows with them.
const machinesPerDemand = 4

// DemandsLimit is how many demands are told of a part with so many machines.
func DemandsLimit(machines int) int { return max(DemandsMin, machines/machinesPerDemand) }

func (ex *Exchange) PartitionSummary(p *cluster.Partition, now time.Time) *peer.PartitionSummary {
	ps := &peer.PartitionSummary{Partition: uint32(p.Index), Standby: p.Standby, Delegated: p.DelegationSummary(ex.Labels)}
	var coming []*cluster.Machine
	left := map[*cluster.Machine]binpack.Resources{}
	for _, m := range ex.Machines {
		if m.Record.Partition != p.Index {
			continue
		}
		idle := len(m.Attempts) == 0 && len(m.OrphanedTasks) == 0 && m.Fenced && m.PendingCommands == 0
		st := &peer.MachineStatus{Name: m.Name, Reported: m.HasReported, Idle: idle, Lost: m.Lost, Retiring: !m.RetiringSince.IsZero(),
			Quarantined: m.Quarantined, Addr: m.Record.Addr,
			NeverUp: !m.HasReported && len(m.Attempts) == 0 && m.Type != nil && now.Sub(m.LedSince) > neverUpGrace && m.Age(now) > ex.bootTimeout(m.Type)}
		if idle {
			st.IdleS = now.Sub(m.IdleSince).Seconds()
		}
		ps.Machines = append(ps.Machines, st)
		// A machine that still boots, or was just moved here, will take some
		// of what waits.
		if m.Type != nil && !m.Lost && !m.Quarantined && !ex.IsDeleted(m.Name) && m.RetiringSince.IsZero() && (!m.HasReported || !m.Fenced && m.PreemptionAt.IsZero()) &&
			(m.Age(now) < usualBootTime(m.Type) || now.Sub(m.LedSince) < ex.HeartbeatInterval+time.Second) {
			coming = append(coming, m)
			left[m] = m.Free()
		}
	}
	claimed := make([]binpack.Compute, len(p.Usage))
	most := DemandsLimit(len(ps.Machines))
	for _, j := range p.FairShare.StarvedFirst(ex.scheduler.Queue(p), most/StarvedDemandsShare) {
		if len(j.Pending) == 0 || j.Ended || now.Before(j.BackoffUntil) {
			continue
		}
		s := j.Spec
		n := len(j.Pending)
		// Jobs of a team share what its limit leaves.
		team, own := ex.Settings.Params.Teams[j.Team], &claimed[j.Team]
		if team.CPUsMax > 0 && s.CPUs > 0 {
			n = min(n, int((team.CPUsMax-p.Usage[j.Team].CPUs-own.CPUs+binpack.Epsilon)/s.CPUs))
		}
		if team.GPUsMax > 0 && s.GPUs > 0 {
			n = min(n, int((team.GPUsMax-p.Usage[j.Team].GPUs-own.GPUs+binpack.Epsilon)/s.GPUs))
		}
		if n <= 0 {
			continue
		}
		own.Add(cluster.ResourcesOf(s), float64(n))
		for _, m := range coming {
			for n > 0 && cluster.ConstraintsOf(s).Allows(cluster.MachineKindOf(m.Record)) && left[m].Holds(cluster.ResourcesOf(s)) {
				left[m] = left[m].Plus(cluster.ResourcesOf(s), -1)
				n--
			}
		}
		if n <= 0 {
			continue
		}
		if len(ps.Demands) >= most {
			ex.bounds.Met(telemetry.Demands, 1)
			break
		}
		ps.Demands = append(ps.Demands, &peer.Demand{Cpus: s.CPUs, Gpus: s.GPUs, MemGb: s.MemGB, Types: s.Types, Zone: s.Zone,
			Spot: s.Spot, Count: uint32(n), WaitedS: now.Sub(j.ReadySince()).Seconds(),
			EstimateS: ex.scheduler.EstimateS(s), SlackS: j.Due().Sub(now).Seconds()})
	}
	return ps
}

// bootTimeout is how long a machine may take to come up before it is given up.
func (ex *Exchange) bootTimeout(t *protocol.MachineType) time.Duration {
	return time.Duration((3*t.BootS + 15) * float64(time.Second))
}

// neverUpGrace is how long a new owner waits for a machine that should have
// been up long ago.
const neverUpGrace = 10 * time.Second

// usualBootTime is how long most machines take. What takes longer may never come
// up, so waiting work no longer counts on it.
func usualBootTime(t *protocol.MachineType) time.Duration {
	return time.Duration((1.6*t.BootS + 2) * float64(time.Second))
}
