// Package proxy delegates heartbeats: where a partition's leader runs out of sockets, other
// controllers answer the heartbeats of some shards of its machines under short grants, and
// forward its commands. The leader alone decides. It owns the assignments of this controller
// as a delegate, and the delegations of the partitions that it leads.
package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/agents"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/identity"
	"micaspindle/internal/overview"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// Proxy answers heartbeats and forwards commands for leaders of other partitions, and
// delegates shards of the own partitions to others. It belongs to the loop, but for the
// queued commands.
type Proxy struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester
	log     *slog.Logger
	bounds  *telemetry.BoundReporter
	metrics *telemetry.Metrics

	agents Agents
	auth   Auth

	// capacity is how many machines' connections the sockets hold: one for heartbeats and one
	// for commands each.
	capacity int
	// UnsentLimit bounds the heartbeats of a partition that wait to be told to its leader, in
	// bytes: 10 MiB at 322 MB of memory, while those of 4,000 machines with 16 tasks each have
	// 3.9 MB.
	UnsentLimit int
	Assignments []*assignment // by partition
	// MovedAt is when a shard last changed its delegate.
	MovedAt, balancedAt time.Time
	// moves are the last ones, for operators, moveTimes when each of them was.
	moves     []overview.ShardMove
	moveTimes []time.Time

	mu     sync.Mutex
	queued map[string][]*forwardedCommand // commands that wait to be forwarded, by delegate
}

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, log *slog.Logger, bounds *telemetry.BoundReporter) *Proxy {
	px := &Proxy{State: state, loop: loop, network: network, log: log, bounds: bounds,
		capacity: state.Settings.Params.MachineLimits.Sockets / 2, UnsentLimit: UnsentBytesLimit(state.Settings.Params.MachineLimits),
		queued: map[string][]*forwardedCommand{}}
	for range state.Partitions {
		px.Assignments = append(px.Assignments, &assignment{Unsent: map[string]answeredHeartbeat{}, wakeup: make(chan struct{}, 1)})
	}
	return px
}

// Connect gives it its collaborators, before the loop starts.
func (px *Proxy) Connect(agents Agents, auth Auth) {
	px.agents, px.auth = agents, auth
}

// Observe makes it measure itself, before the loop starts.
func (px *Proxy) Observe(m *telemetry.Metrics) { px.metrics = m }

const DelegationPath = "/peer/carry"

const ForwardPath = "/peer/relay"

// renewInterval is how often a carrier asks to go on, carryGather for how long it
// gathers reports after one has come, carryWait how long it waits for the reply.
const renewInterval = 300 * time.Millisecond

const gatherDelay = 50 * time.Millisecond

const renewTimeout = time.Second

// renewalBytesLimit is how many bytes of reports one message holds; more go in several.
const renewalBytesLimit = peerapi.PortableBodyLimit * 3 / 4

// delegateSettleTime is how long a controller must have been heard before it is given shares.
const delegateSettleTime = 5 * time.Second

const forwardGatherDelay = 3 * time.Millisecond

// ForwardCommandsLimit are the orders of one message, relayBytes their size; relayAnswers is
// how long a carrier waits for the workers' answers to them.
const ForwardCommandsLimit = 64

const forwardBytesLimit = peerapi.PortableBodyLimit / 2

const forwardAnswerWait = 400 * time.Millisecond

// redirectInterval is how long a worker that was sent to its carrier and came back is
// served here, sendAwayAgain if it did not come through to the carrier at all.
const redirectInterval = 3 * time.Second

const redirectRetryInterval = 30 * time.Second

// assignment is what a carrier does for a part's owner.
type assignment struct {
	Leader       string
	Lease        uint64
	Shards       [delegation.ShardCount]bool
	GrantedUntil time.Time // end of the grant, by our clock
	Serial       uint64
	// Unsent that were answered and not yet told, the newest of each machine; size is
	// that of them and of those on their way.
	Unsent      map[string]answeredHeartbeat
	UnsentBytes int
	wakeup      chan struct{}
}

// answeredHeartbeat is a report that was answered here, as it came.
type answeredHeartbeat struct {
	Raw             []byte
	epoch, sequence uint64
}

// add keeps a report to be told, unless a newer one of its machine is: reports may come late.
func (e *assignment) add(machine string, a answeredHeartbeat) {
	if had, ok := e.Unsent[machine]; ok {
		if had.epoch > a.epoch || had.epoch == a.epoch && had.sequence > a.sequence {
			return
		}
		e.UnsentBytes -= len(had.Raw)
	}
	e.UnsentBytes += len(a.Raw)
	e.Unsent[machine] = a
}

// allows says whether the errand allows an answer to a machine of a part now.
func (e *assignment) allows(p *cluster.Partition, m *cluster.Machine, now time.Time) bool {
	return e.Shards[m.Shard] && now.Before(e.GrantedUntil) && p.Leader == e.Leader && p.LeaseRevision == e.Lease
}

// AnswerHeartbeat answers a worker's report for the part's owner, if that has granted it. What
// is answered is told to the owner with the next request (37).
func (px *Proxy) AnswerHeartbeat(m *cluster.Machine, r *protocol.Heartbeat, raw []byte, now time.Time) (transport.Response, bool) {
	p, e := px.Partitions[m.Record.Partition], px.Assignments[m.Record.Partition]
	if px.Draining || p.Held || !e.allows(p, m, now) {
		return transport.Response{}, false
	}
	token := px.Token(m)
	if r.Token > token {
		return respond.Refuse(503, "superseded", 1), true
	}
	if e.UnsentBytes+len(raw) > px.UnsentLimit {
		px.bounds.Met(telemetry.ForwardedHeartbeats, 1)
		return respond.Refuse(503, "the owner of the machine is behind", 1), true
	}
	if r.Addr != "" {
		m.Record.Addr = r.Addr
	}
	e.add(m.Name, answeredHeartbeat{bytes.Clone(raw), r.Epoch, r.Sequence})
	eventloop.Signal(e.wakeup)
	return transport.Response{Status: 200, Body: protocol.Encode(protocol.CommandBatch{Token: token, Commands: px.agents.StopsForCancelledJobs(r)})}, true
}

// isDelegate says whether a part's owner wants this controller to carry something of it.
func (px *Proxy) isDelegate(p *cluster.Partition, now time.Time) bool {
	ps := px.Peers[p.Leader]
	return !p.Held && ps != nil && ps.Alive(now) && !px.Draining &&
		slices.ContainsFunc(ps.PartitionSummary(p).GetDelegated(), func(k *peer.DelegatedShards) bool { return k.Delegate == px.Settings.Label })
}

// takeUnsent removes reports to be told, as many as a message holds, and says how many bytes they
// have.
func (e *assignment) takeUnsent() (told map[string]answeredHeartbeat, size int) {
	told = map[string]answeredHeartbeat{}
	for machine, a := range e.Unsent {
		if len(told) > 0 && size+len(a.Raw) > renewalBytesLimit {
			break
		}
		told[machine] = a
		size += len(a.Raw)
		delete(e.Unsent, machine)
	}
	return told, size
}

// RenewLoop asks a part's owner again and again to go on, and tells it what came. It sleeps
// while nothing of the part is to be carried here.
func (px *Proxy) RenewLoop(p *cluster.Partition) {
	e := px.Assignments[p.Index]
	for engaged := false; ; engaged = px.RenewAll(p, e) {
		var again <-chan time.Time
		if engaged {
			again = time.After(renewInterval)
		}
		select {
		case <-e.wakeup:
			if !px.loop.Sleep(gatherDelay) {
				return
			}
		case <-again:
		case <-px.loop.Context().Done():
			return
		}
	}
}

// SummaryReceived looks whether a controller wants something of its parts carried here.
func (px *Proxy) SummaryReceived(sum *peer.Summary) {
	for _, p := range sum.Partitions {
		for _, k := range p.Delegated {
			if k.Delegate == px.Settings.Label && int(p.Partition) < len(px.Assignments) {
				eventloop.Signal(px.Assignments[p.Partition].wakeup)
			}
		}
	}
}

// RenewAll sends requests, one at a time, until all that was answered is told or one had no
// reply. It says whether there was anything to ask.
func (px *Proxy) RenewAll(p *cluster.Partition, e *assignment) bool {
	asked, more := px.renew(p, e)
	for more && px.loop.Context().Err() == nil {
		_, more = px.renew(p, e)
	}
	return asked
}

// renew sends one request with what was answered since the last one that had a reply, as
// much as a message holds. It says whether there was anything to ask, and whether there is
// more to tell.
func (px *Proxy) renew(p *cluster.Partition, e *assignment) (asked, more bool) {
	var req *peer.DelegationRequest
	var told map[string]answeredHeartbeat
	addr, size, left := "", 0, false
	var begun time.Time
	px.loop.Do(func() {
		begun = time.Now()
		if e.Leader != p.Leader || e.Lease != p.LeaseRevision {
			// Another owner: what was told to the one before is its successor's to find out.
			e.Leader, e.Lease, e.Serial, e.GrantedUntil, e.UnsentBytes = p.Leader, p.LeaseRevision, 0, time.Time{}, 0
			e.Shards = [delegation.ShardCount]bool{}
			clear(e.Unsent)
		}
		ps := px.Peers[p.Leader]
		if ps == nil || !px.isDelegate(p, begun) && len(e.Unsent) == 0 {
			return
		}
		addr = ps.Addr
		req = &peer.DelegationRequest{From: px.Settings.Label, Nonce: px.Nonce, Partition: uint32(p.Index), LeaseRevision: e.Lease}
		told, size = e.takeUnsent()
		if left = len(e.Unsent) > 0; !left {
			// Only with all of it does the request show that every answer up to the last
			// reply is known (39).
			req.After = e.Serial
		}
		for _, a := range told {
			req.Heartbeats = append(req.Heartbeats, a.Raw)
		}
	})
	if req == nil {
		return false, false
	}
	reply := new(peer.DelegationGrant)
	err := peerapi.Call(px.loop.Context(), px.network, renewTimeout, addr, DelegationPath, req, reply)
	px.loop.Do(func() {
		if e.Leader != p.Leader || e.Lease != req.LeaseRevision {
			return
		}
		e.UnsentBytes -= size
		if err != nil {
			px.log.Debug("not carried on", "part", p.Index, "owner", e.Leader, "reason", err)
			for name, a := range told { // to be told again
				e.add(name, a)
			}
			return
		}
		more = left
		e.Serial, e.GrantedUntil = reply.Serial, begun.Add(time.Duration(reply.GrantMs)*time.Millisecond)
		had := e.Shards
		e.Shards = [delegation.ShardCount]bool{}
		for _, s := range reply.Shards {
			if s < delegation.ShardCount {
				e.Shards[s] = true
			}
		}
		if had != e.Shards {
			px.log.Info("carrying shares of a part", "part", p.Index, "owner", e.Leader, "shares", reply.Shards)
		}
	})
	return true, more
}

// HandleRenewal answers a carrier: it takes in what came there and grants the carrier its shares.
func (px *Proxy) HandleRenewal(who *auth.Caller, body []byte) transport.Response {
	req := new(peer.DelegationRequest)
	if err := proto.Unmarshal(body, req); err != nil {
		return respond.Refuse(400, "bad request", 0)
	}
	if refusal := px.auth.CheckSender(who, "peer", identity.Name{Kind: identity.Controller, ID: req.From}); refusal != nil {
		return *refusal
	}
	reports := make([]*protocol.Heartbeat, 0, len(req.Heartbeats))
	for _, raw := range req.Heartbeats {
		r := new(protocol.Heartbeat)
		if err := protocol.Decode(raw, r); err == nil && r.Check() == nil {
			reports = append(reports, r)
		}
	}
	reply, ok := new(peer.DelegationGrant), false
	px.loop.Do(func() {
		now := time.Now()
		if int(req.Partition) >= len(px.Partitions) {
			return
		}
		p := px.Partitions[req.Partition]
		if ok = px.MayAnswer(p, now) && p.Ready && p.LeaseRevision == req.LeaseRevision && !px.Draining; !ok {
			return
		}
		for _, r := range reports {
			px.applyHeartbeat(p, r, now)
		}
		granted, d, serial := p.Delegations.Renew(req.From, req.Nonce, req.After, px.AnswerBound()-now.Sub(px.InformedAt()), now)
		for _, s := range granted {
			reply.Shards = append(reply.Shards, uint32(s))
		}
		reply.GrantMs, reply.Serial = uint32(d.Milliseconds()), serial
	})
	if !ok {
		return respond.Refuse(409, "not the owner under this claim", 0)
	}
	return peerapi.Reply(reply)
}

// applyHeartbeat takes in a report that a carrier has answered.
func (px *Proxy) applyHeartbeat(p *cluster.Partition, r *protocol.Heartbeat, now time.Time) {
	m := px.Machines[r.Machine]
	if m == nil || m.Record.Partition != p.Index {
		return
	}
	m.AcceptHeartbeat(r)
	m.AnsweredUntil = now // at the latest
	if r.Token > px.Token(m) || !m.IsNewer(r) {
		return // late, or older than what came otherwise
	}
	if r.Addr != "" {
		m.Record.Addr = r.Addr
	}
	px.agents.ApplyHeartbeat(m, r, now)
	m.LastHeardAt, m.DelegateHeardAt = now, now
	if m.Fenced && m.NeedsCommands() {
		px.agents.SendCommands(m)
	}
}

// RedirectTarget names the carrier that a worker which came here should report to.
func (px *Proxy) RedirectTarget(p *cluster.Partition, m *cluster.Machine, now time.Time) string {
	pause := redirectInterval
	if !m.DelegateHeardAt.After(m.RedirectedAt) {
		pause = redirectRetryInterval
	}
	if !p.Ready || !m.Fenced || !m.RedirectedAt.IsZero() && now.Sub(m.RedirectedAt) < pause || !p.Delegations.Active(m.Shard, now) {
		return ""
	}
	m.RedirectedAt = now
	return p.Delegations.Delegate(m.Shard)
}

// Load is how many machines keep their connections here.
func (px *Proxy) Load(now time.Time) delegation.Load {
	l := delegation.Load{Capacity: px.capacity}
	for _, m := range px.Machines {
		p, e := px.Partitions[m.Record.Partition], px.Assignments[m.Record.Partition]
		if p.Held && m.HasReported && !m.Lost && p.Delegations.Delegate(m.Shard) == "" || !p.Held && e.allows(p, m, now) {
			l.Machines++
		}
	}
	return l
}

// Rebalance evens out who carries what of this controller's parts.
func (px *Proxy) Rebalance(now time.Time) {
	if now.Sub(px.balancedAt) < delegation.MoveInterval {
		return
	}
	px.balancedAt = now
	v := px.view(now, nil)
	v.MayMove, v.MayReturn = now.Sub(px.MovedAt) >= delegation.MoveInterval, now.Sub(px.MovedAt) >= delegation.ReturnInterval
	for _, mv := range delegation.PlanMoves(v) {
		px.reassign(mv, now)
	}
}

// SpreadShards gives shares of a part that was just taken over away at once, as many as its
// machines ask for: they must all be fenced and will all report, and an owner that is
// alone with that may run out of sockets. Carriers of the owner before keep what they
// have, so that its workers' connections stay.
func (px *Proxy) SpreadShards(p *cluster.Partition, now time.Time) {
	v := px.view(now, p)
	for _, k := range px.Peers[p.FormerLeader].PartitionSummary(p).GetDelegated() {
		able := slices.ContainsFunc(v.Peers, func(peer delegation.Peer) bool { return peer.Label == k.Delegate && peer.Available && peer.Settled })
		for _, s := range k.Shards {
			if s < delegation.ShardCount && able && !v.Unsupported {
				px.reassign(delegation.Move{Partition: p.Index, Shard: int(s), To: k.Delegate, Reason: "as under the owner before"}, now)
			}
		}
	}
	v = px.view(now, p) // what they have is in what they tell
	v.MayMove = true
	for range delegation.ShardCount {
		moves := delegation.PlanMoves(v)
		for _, mv := range moves {
			px.reassign(mv, now)
			v.Apply(mv)
		}
		if len(moves) == 0 {
			return
		}
	}
}

// reassign lets a share change its carrier.
func (px *Proxy) reassign(mv delegation.Move, now time.Time) {
	p := px.Partitions[mv.Partition]
	from := p.Delegations.Delegate(mv.Shard)
	px.log.Info("a share changes its carrier", "part", mv.Partition, "share", mv.Shard, "from", from, "to", mv.To, "reason", mv.Reason)
	px.metrics.Count(telemetry.ShardMoved, 1)
	px.recordMove(overview.ShardMove{Part: mv.Partition, Shard: mv.Shard, From: from, To: mv.To, Reason: mv.Reason}, now)
	p.Delegations.Assign(mv.Shard, mv.To)
	px.MovedAt = now
}

// view is what a plan is made of. All machines of a part that is just taken over count,
// though none of them was heard yet.
func (px *Proxy) view(now time.Time, taken *cluster.Partition) delegation.View {
	v := delegation.View{Own: px.Load(now)}
	for _, label := range px.Labels {
		ps := px.Peers[label]
		if ps == nil || ps.Summary == nil {
			continue
		}
		sum := ps.Summary
		if ps.Alive(now) && sum.Capacity == 0 {
			v.Unsupported = true
		}
		v.Peers = append(v.Peers, delegation.Peer{Label: label, Load: delegation.Load{Machines: int(sum.Connected), Capacity: int(sum.Capacity)},
			Available: ps.Alive(now) && sum.Capacity > 0 && !sum.Draining,
			Settled:   now.Sub(ps.AliveSince) >= delegateSettleTime && sum.StateSilenceS < 3})
	}
	counts := make(map[*cluster.Partition]*[delegation.ShardCount]int)
	for _, m := range px.Machines {
		p := px.Partitions[m.Record.Partition]
		if p != taken && (!p.Held || !p.Ready || !m.HasReported || m.Lost) {
			continue
		}
		if counts[p] == nil {
			counts[p] = new([delegation.ShardCount]int)
		}
		counts[p][m.Shard]++
		if p == taken && p.Delegations.Delegate(m.Shard) == "" {
			v.Own.Machines++
		}
	}
	for _, p := range px.Partitions {
		if n := counts[p]; n != nil {
			for s := range delegation.ShardCount {
				v.Shards = append(v.Shards, delegation.Shard{Partition: p.Index, Index: s, Machines: n[s], Delegate: p.Delegations.Delegate(s)})
			}
		}
	}
	return v
}

// recentMovesLimit is how many moves are kept for operators.
const recentMovesLimit = 16

func (px *Proxy) recordMove(mv overview.ShardMove, now time.Time) {
	px.moves, px.moveTimes = append(px.moves, mv), append(px.moveTimes, now)
	if n := len(px.moves) - recentMovesLimit; n > 0 {
		px.moves, px.moveTimes = slices.Delete(px.moves, 0, n), slices.Delete(px.moveTimes, 0, n)
	}
}

// RecentMoves is the last moves with how long ago they were.
func (px *Proxy) RecentMoves(now time.Time) []overview.ShardMove {
	list := slices.Clone(px.moves)
	for i := range list {
		list[i].AgoS = now.Sub(px.moveTimes[i]).Seconds()
	}
	return list
}

// Overview says who carries what of a part.
func (px *Proxy) Overview(p *cluster.Partition, now time.Time) (list []overview.Delegate) {
	machines := map[string]int{}
	for _, m := range px.Machines {
		if m.Record.Partition == p.Index && m.HasReported && !m.Lost {
			machines[p.Delegations.Delegate(m.Shard)]++
		}
	}
	for _, k := range p.DelegationSummary(px.Labels) {
		active := slices.ContainsFunc(k.Shards, func(s uint32) bool { return p.Delegations.Active(int(s), now) })
		list = append(list, overview.Delegate{Controller: k.Delegate, Shards: len(k.Shards), Machines: machines[k.Delegate], Active: active})
	}
	return list
}

// forwardedCommand is orders that go to a worker by way of its carrier.
type forwardedCommand struct {
	peer.ForwardedCommand
	done chan *peer.ForwardResult
}

var errDelegateUnanswered = errors.New("the carrier had no answer of the worker")

// ForwardCommands passes a machine's orders on by way of its carrier. An error that wraps
// transport.ErrNotSent proves that they can never arrive.
func (px *Proxy) ForwardCommands(via, machine string, body []byte) (*transport.Response, error) {
	it := &forwardedCommand{ForwardedCommand: peer.ForwardedCommand{Machine: machine, Body: body}, done: make(chan *peer.ForwardResult, 1)}
	px.mu.Lock()
	first := len(px.queued[via]) == 0
	px.queued[via] = append(px.queued[via], it)
	px.mu.Unlock()
	if first {
		px.loop.Go(func() { px.flush(via) })
	}
	a := <-it.done
	switch {
	case a.Unsent:
		return nil, fmt.Errorf("%w: by way of %s", transport.ErrNotSent, via)
	case a.Status == 0:
		return nil, fmt.Errorf("%w, by way of %s", errDelegateUnanswered, via)
	}
	return &transport.Response{Status: int(a.Status), Body: a.Body}, nil
}

// flush sends what was gathered for a carrier, as much as a message holds at a time.
func (px *Proxy) flush(via string) {
	px.loop.Sleep(forwardGatherDelay)
	px.mu.Lock()
	batch := px.queued[via]
	delete(px.queued, via)
	px.mu.Unlock()
	for len(batch) > 0 {
		n, size := 0, 0
		req := &peer.ForwardRequest{From: px.Settings.Label}
		for n < len(batch) && n < ForwardCommandsLimit && (n == 0 || size+len(batch[n].Body) <= forwardBytesLimit) {
			size += len(batch[n].Body)
			req.Commands = append(req.Commands, &peer.ForwardedCommand{Machine: batch[n].Machine, Body: batch[n].Body})
			n++
		}
		lot := batch[:n]
		batch = batch[n:]
		px.loop.Go(func() { px.forward(via, req, lot) })
	}
}

func (px *Proxy) forward(via string, req *peer.ForwardRequest, lot []*forwardedCommand) {
	reply := new(peer.ForwardReply)
	err := peerapi.Call(px.loop.Context(), px.network, renewTimeout, px.Peers[via].Addr, ForwardPath, req, reply)
	if err == nil && len(reply.Results) != len(lot) {
		err = fmt.Errorf("%d answers to %d orders", len(reply.Results), len(lot))
	}
	if err != nil {
		px.log.Debug("orders not relayed", "by", via, "reason", err)
		px.loop.Do(func() {
			for _, p := range px.Partitions {
				p.Delegations.MarkDown(via, time.Now())
			}
		})
	}
	for i, it := range lot {
		if err == nil {
			it.done <- reply.Results[i]
		} else {
			it.done <- &peer.ForwardResult{Unsent: errors.Is(err, transport.ErrNotSent)}
		}
	}
}

// HandleForwarded passes orders on to workers and answers with what they answered within a
// moment. It decides nothing: workers obey or refuse orders by their token.
func (px *Proxy) HandleForwarded(who *auth.Caller, body []byte) transport.Response {
	req := new(peer.ForwardRequest)
	if err := proto.Unmarshal(body, req); err != nil || len(req.Commands) > ForwardCommandsLimit {
		return respond.Refuse(400, "bad request", 0)
	}
	if refusal := px.auth.CheckSender(who, "peer", identity.Name{Kind: identity.Controller, ID: req.From}); refusal != nil {
		return *refusal
	}
	addrs := make([]string, len(req.Commands))
	if !px.loop.Do(func() {
		for i, o := range req.Commands {
			if m := px.Machines[o.Machine]; m != nil {
				addrs[i] = m.Record.Addr
			}
		}
	}) {
		return respond.Refuse(503, "stopping", 1)
	}
	type numbered struct {
		i int
		a *peer.ForwardResult
	}
	answers := make(chan numbered, len(addrs))
	reply := &peer.ForwardReply{}
	waiting := 0
	for i, addr := range addrs {
		reply.Results = append(reply.Results, &peer.ForwardResult{Unsent: addr == ""})
		if addr == "" {
			continue
		}
		waiting++
		go func() {
			ctx, cancel := context.WithTimeout(px.loop.Context(), agents.CommandTimeout)
			defer cancel()
			a := &peer.ForwardResult{}
			resp, err := px.network.Do(ctx, addr, "POST", "/orders", req.Commands[i].Body)
			if err == nil {
				a.Status, a.Body = uint32(resp.Status), resp.Body
			} else {
				a.Unsent = errors.Is(err, transport.ErrNotSent)
			}
			answers <- numbered{i, a}
		}()
	}
	t := time.NewTimer(forwardAnswerWait)
	defer t.Stop()
	for ; waiting > 0; waiting-- {
		select {
		case n := <-answers:
			reply.Results[n.i] = n.a
		case <-t.C:
			return peerapi.Reply(reply) // the others may still arrive: not answered
		}
	}
	return peerapi.Reply(reply)
}
