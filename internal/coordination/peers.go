package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// Exchange tells the other controllers how this one stands, and takes in what they tell.
type Exchange struct {
	*State
	loop    *eventloop.Loop
	network storage.Requester
	store   *storage.Store
	log     *slog.Logger
	bounds  *telemetry.BoundReporter

	jobs       *Tracker
	proxy      *Proxy
	replicator *Replicator
	scheduler  *Scheduler

	ownSummary cachedSummary
}

// NewExchange makes one without collaborators.
func NewExchange(state *State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Exchange {
	return &Exchange{State: state, loop: loop, network: network, store: store, log: log, bounds: bounds}
}

// Connect gives it its collaborators, before the loop starts.
func (ex *Exchange) Connect(jobs *Tracker, proxy *Proxy, replicator *Replicator, scheduler *Scheduler) {
	ex.jobs, ex.proxy, ex.replicator, ex.scheduler = jobs, proxy, replicator, scheduler
}

const (
	SummaryPath        = "/peer/summary"
	MachineRequestPath = "/peer/fleet"
	SummaryInterval    = 500 * time.Millisecond
)

// ServePeers answers the other controllers.
func (c *Controller) ServePeers(_ context.Context, req *transport.Request) transport.Response {
	who, refusal := c.auth.AuthenticatePeer(req)
	if refusal != nil {
		return *refusal
	}
	switch {
	case req.Method != "POST":
		return Refuse(405, "method not allowed", 0)
	case req.Path == SummaryPath:
		sum := new(peer.Summary)
		if err := proto.Unmarshal(req.Body, sum); err != nil {
			return Refuse(400, "bad summary", 0)
		}
		if refusal := c.auth.CheckSender(who, "peer", identity.Name{Kind: identity.Controller, ID: sum.From}); refusal != nil {
			return *refusal
		}
		c.loop.Do(func() { c.peering.receiveSummary(sum) })
		return transport.Response{Status: 200}
	case req.Path == UpdatePath:
		return c.replicator.HandleUpdate(who, req.Body)
	case req.Path == StateTransferPath:
		return c.replicator.HandleStateTransfer(req.Body)
	case req.Path == DelegationPath:
		return c.proxy.HandleRenewal(who, req.Body)
	case req.Path == ForwardPath:
		return c.proxy.HandleForwarded(who, req.Body)
	case req.Path == MachineRequestPath:
		fr := new(peer.FleetRequest)
		if err := proto.Unmarshal(req.Body, fr); err != nil {
			return Refuse(400, "bad request", 0)
		}
		return protoResponse(c.agents.HandleMachineRequest(fr))
	}
	return Refuse(404, "no such path", 0)
}

// protoResponse answers another controller.
func protoResponse(m proto.Message) transport.Response {
	body, err := proto.Marshal(m)
	if err != nil {
		return Refuse(500, "reply failed", 0)
	}
	return transport.Response{Status: 200, Body: body}
}

// callPeer sends another controller a message and reads its reply. A version that does not know
// the path answers 404.
func callPeer(ctx context.Context, net storage.Requester, most time.Duration, addr, path string, in, reply proto.Message) error {
	body, err := proto.Marshal(in)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	resp, err := net.Do(ctx, addr, "POST", path, body)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if resp.Status != 200 {
		return fmt.Errorf("%s: status %d", path, resp.Status)
	}
	return proto.Unmarshal(resp.Body, reply)
}

func (ex *Exchange) receiveSummary(sum *peer.Summary) {
	ps := ex.Peers[sum.From]
	if ps == nil {
		return
	}
	now := time.Now()
	if !ps.Alive(now) {
		ps.HeardSince = now
	}
	ps.HeardAt, ps.Summary = now, sum
	ps.NoteReporting()
	ex.jobs.ApplyCancellationNotices(sum, now)
	ex.proxy.SummaryReceived(sum)
	// Addresses learnt by others let a new owner fence at once.
	for _, part := range sum.Parts {
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
			body = ex.marshalledSummary(time.Now())
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
	marshalledAt time.Time
}

// marshalledSummary is the summary as it goes to the others, made anew if it is old; nil
// before the records were read.
func (ex *Exchange) marshalledSummary(now time.Time) []byte {
	cached := &ex.ownSummary
	if ex.Synced && (cached.body == nil || now.Sub(cached.marshalledAt) >= SummaryInterval*4/5) {
		cached.body = ex.encodeSummary(ex.OwnSummary(now))
		cached.marshalledAt = now
	}
	return cached.body
}

// OwnSummary describes this controller and its parts.
func (ex *Exchange) OwnSummary(now time.Time) *peer.Summary {
	load := ex.proxy.Load(now)
	sum := &peer.Summary{From: ex.Settings.Label, StateSilenceS: ex.store.SinceLastAnswer().Seconds(), WriteDemand: ex.WriteDemand,
		Follows: ex.replicator.Summaries(), Leaving: ex.Draining, Copies: true, Withdrawn: ex.Cancellations.Recent(now, ex.CancelBound),
		Room: uint32(load.Capacity), Connected: uint32(load.Machines)}
	sum.Parts = ex.PartitionSummaries(now)
	for _, j := range ex.Jobs {
		if !j.Loaded || j.DoneCount == 0 && j.RunningCount == 0 {
			continue
		}
		if len(sum.Jobs) >= jobProgressLimit {
			ex.bounds.Met(telemetry.JobProgress, 1)
			break
		}
		sum.Jobs = append(sum.Jobs, &peer.JobProgress{Id: j.Spec.ID, Done: uint32(j.DoneCount), Running: uint32(j.RunningCount)})
	}
	for _, u := range ex.UnregisteredMachines {
		sum.Unknown = append(sum.Unknown, u)
	}
	for name := range ex.DivertedMachines {
		sum.Strayed = append(sum.Strayed, name)
	}
	return sum
}

// jobProgressLimit is how many jobs' progress is told, for users who ask another controller:
// 64,000 running tasks in arrays of eight. One takes some 24 bytes of a message and 100 of
// memory.
const jobProgressLimit = 8000

// PartitionSummaries describes the own parts.
func (ex *Exchange) PartitionSummaries(now time.Time) (list []*peer.PartSummary) {
	for _, p := range ex.Partitions {
		if p.Held && p.Ready {
			list = append(list, ex.partitionSummary(p, now))
		}
	}
	return list
}

const (
	// demandsMin is how many demands of a part are told at least.
	demandsMin = 200
	// machinesPerDemand is for how many machines of a large part one more is: what waits
	// grows with them.
	machinesPerDemand = 4
)

// demandsLimit is how many demands are told of a part with so many machines.
func demandsLimit(machines int) int { return max(demandsMin, machines/machinesPerDemand) }

func (ex *Exchange) partitionSummary(p *Partition, now time.Time) *peer.PartSummary {
	ps := &peer.PartSummary{Part: uint32(p.Index), Standby: p.Standby, Carried: p.DelegationSummary(ex.Labels)}
	var coming []*Machine
	left := map[*Machine]binpack.Resources{}
	for _, m := range ex.Machines {
		if m.Record.Partition != p.Index {
			continue
		}
		idle := len(m.Attempts) == 0 && len(m.OrphanedTasks) == 0 && m.Fenced && m.PendingCommands == 0
		st := &peer.MachineStatus{Name: m.Name, Heard: m.HasReported, Idle: idle, Lost: m.Lost, Retiring: !m.RetiringSince.IsZero(),
			Faulty: m.Quarantined, Addr: m.Record.Addr,
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
	most := demandsLimit(len(ps.Machines))
	for _, j := range p.FairShare.StarvedFirst(ex.scheduler.Queue(p), most/starvedDemandsShare) {
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
		own.Add(ResourcesOf(s), float64(n))
		for _, m := range coming {
			for n > 0 && ConstraintsOf(s).Allows(MachineKindOf(m.Record)) && left[m].Holds(ResourcesOf(s)) {
				left[m] = left[m].Plus(ResourcesOf(s), -1)
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

// Age is how long ago a machine was rented. A record may not say it, and clocks
// differ, so that it is at least how long its owner has known it.
func (m *Machine) Age(now time.Time) time.Duration {
	known := now.Sub(m.LedSince)
	if m.Record.RentedMS == 0 {
		return known
	}
	return max(known, time.Duration(now.UnixMilli()-m.Record.RentedMS)*time.Millisecond)
}

// HandleMachineRequest does what the leader asks about one of this owner's machines.
func (ag *Agents) HandleMachineRequest(fr *peer.FleetRequest) *peer.FleetReply {
	reply := &peer.FleetReply{Reason: "stopping"}
	var txn *protocol.Transaction
	var m *Machine
	var rec storage.Machine
	ag.loop.Do(func() {
		m = ag.Machines[fr.Machine]
		if m == nil || !ag.Partitions[m.Record.Partition].Ready || int(fr.ToPart) >= len(ag.Partitions) {
			reply.Reason = "not mine"
			return
		}
		if m.HasReported && !m.Lost && (len(m.Attempts) > 0 || len(m.OrphanedTasks) > 0 || m.PendingCommands > 0 || m.Moving || !m.Fenced) || !m.HasReported && !fr.Retire {
			reply.Reason = "in use"
			return
		}
		if fr.Retire {
			m.RetiringSince = time.Now()
			reply.Ok = true
			return
		}
		// Every order is answered and the newest report is empty (10).
		m.Moving = true
		rec = m.Record
		rec.Partition = int(fr.ToPart)
		p := ag.Partitions[m.Record.Partition]
		txn = &protocol.Transaction{
			If: []protocol.Condition{{Key: storage.LeaseKey(p.Index), Version: p.LeaseRevision},
				{Key: storage.MachineKey(m.Name), Version: m.Revision}},
			Then: []protocol.Change{{Put: storage.MachineKey(m.Name), Value: storage.Encode(rec)}},
		}
	})
	if txn == nil {
		return reply
	}
	ctx, cancel := context.WithTimeout(ag.loop.Context(), 2*time.Second)
	defer cancel()
	rev, err := ag.store.Commit(ctx, txn)
	ag.loop.Do(func() {
		if err == nil {
			ag.MachineRecorded(m.Name, rec, rev, time.Now())
			reply.Ok = true
			return
		}
		reply.Reason = err.Error()
		// An unanswered move may still be applied; until the record shows, the
		// machine stays out of use for a while and is then claimed by a bump.
		m.RaiseTokenBy(time.Now())
	})
	return reply
}
