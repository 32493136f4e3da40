package coordination

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/identity"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

const (
	summaryPath  = "/peer/summary"
	fleetPath    = "/peer/fleet"
	summaryEvery = 500 * time.Millisecond
)

// ServePeers answers the other controllers.
func (c *Controller) ServePeers(_ context.Context, req *transport.Request) transport.Response {
	who, refusal := c.peer(req)
	if refusal != nil {
		return *refusal
	}
	switch {
	case req.Method != "POST":
		return refuse(405, "method not allowed", 0)
	case req.Path == summaryPath:
		sum := new(peer.Summary)
		if err := proto.Unmarshal(req.Body, sum); err != nil {
			return refuse(400, "bad summary", 0)
		}
		if refusal := c.speaksFor(who, "peer", identity.Name{Kind: identity.Controller, ID: sum.From}); refusal != nil {
			return *refusal
		}
		c.do(func() { c.heardPeer(sum) })
		return transport.Response{Status: 200}
	case req.Path == talePath:
		return c.following.hearTale(who, req.Body)
	case req.Path == recallPath:
		return c.following.recall(req.Body)
	case req.Path == carryPath:
		return c.carrying.asked(who, req.Body)
	case req.Path == relayPath:
		return c.carrying.relayed(who, req.Body)
	case req.Path == fleetPath:
		fr := new(peer.FleetRequest)
		if err := proto.Unmarshal(req.Body, fr); err != nil {
			return refuse(400, "bad request", 0)
		}
		return replyOf(c.fleetRequest(fr))
	}
	return refuse(404, "no such path", 0)
}

// replyOf answers another controller.
func replyOf(m proto.Message) transport.Response {
	body, err := proto.Marshal(m)
	if err != nil {
		return refuse(500, "reply failed", 0)
	}
	return transport.Response{Status: 200, Body: body}
}

// ask sends another controller a message and reads its reply. A version that does not know
// the path answers 404.
func ask(ctx context.Context, net bookkeeping.Doer, most time.Duration, addr, path string, in, reply proto.Message) error {
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

func (c *Controller) heardPeer(sum *peer.Summary) {
	ps := c.peers[sum.From]
	if ps == nil {
		return
	}
	now := time.Now()
	if !ps.recent(now) {
		ps.since = now
	}
	ps.heard, ps.summary = now, sum
	ps.noteReporting()
	c.heardNotices(sum, now)
	c.carrying.heard(sum)
	// Addresses learnt by others let a new owner fence at once.
	for _, part := range sum.Parts {
		for _, st := range part.Machines {
			if m := c.machines[st.Name]; m != nil && !m.heard {
				if m.rec.Addr == "" {
					m.rec.Addr = st.Addr
				}
			}
		}
	}
}

// peerDuty tells one other controller several times a second how things are.
func (c *Controller) peerDuty(label string) {
	ps := c.peers[label]
	for c.sleep(summaryEvery) {
		var body []byte
		c.do(func() {
			body = c.said.latest(c, time.Now())
		})
		if body == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
		resp, err := c.net.Do(ctx, ps.addr, "POST", summaryPath, body)
		switch {
		case err != nil:
			c.log.Debug("peer not reached", "peer", label, "reason", err)
		case resp.Status != 200:
			c.log.Debug("summary refused", "peer", label, "status", resp.Status, "bytes", len(body))
		}
		cancel()
	}
}

// said is the last summary as it goes to the others: one serves all of them.
type said struct {
	body []byte
	at   time.Time
}

func (s *said) latest(c *Controller, now time.Time) []byte {
	if c.synced && (s.body == nil || now.Sub(s.at) >= summaryEvery*4/5) {
		s.body = c.encodeSummary(c.summary(now))
		s.at = now
	}
	return s.body
}

// summary describes this controller and its parts.
func (c *Controller) summary(now time.Time) *peer.Summary {
	sum := &peer.Summary{From: c.set.Label, StateSilenceS: c.store.Silence().Seconds(), WriteDemand: c.writeDemand,
		Follows: c.following.follows(), Leaving: c.leaving, Copies: true, Withdrawn: c.notices.latest(now, c.cancelS),
		Room: uint32(c.carrying.room), Connected: uint32(c.carrying.load(now).Machines)}
	sum.Parts = c.partSummaries(now)
	for _, j := range c.jobs {
		if !j.owned || j.doneCount == 0 && j.running == 0 {
			continue
		}
		if len(sum.Jobs) >= progressMost {
			c.boundMet(observe.JobProgress, 1)
			break
		}
		sum.Jobs = append(sum.Jobs, &peer.JobProgress{Id: j.spec.ID, Done: uint32(j.doneCount), Running: uint32(j.running)})
	}
	for _, u := range c.unknown {
		sum.Unknown = append(sum.Unknown, u)
	}
	for name := range c.strayed {
		sum.Strayed = append(sum.Strayed, name)
	}
	return sum
}

// progressMost is how many jobs' progress is told, for users who ask another controller:
// 64,000 running tasks in arrays of eight. One takes some 24 bytes of a message and 100 of
// memory.
const progressMost = 8000

// partSummaries describes the own parts.
func (c *Controller) partSummaries(now time.Time) (list []*peer.PartSummary) {
	for _, p := range c.parts {
		if p.mine && p.ready {
			list = append(list, c.partSummary(p, now))
		}
	}
	return list
}

const (
	// demandsLeast is how many demands of a part are told at least.
	demandsLeast = 200
	// demandMachines is for how many machines of a large part one more is: what waits
	// grows with them.
	demandMachines = 4
)

// demandsMost is how many demands are told of a part with so many machines.
func demandsMost(machines int) int { return max(demandsLeast, machines/demandMachines) }

func (c *Controller) partSummary(p *part, now time.Time) *peer.PartSummary {
	ps := &peer.PartSummary{Part: uint32(p.index), Standby: p.standby, Carried: p.carried(c.labels)}
	var coming []*machine
	left := map[*machine]fit.Amounts{}
	for _, m := range c.machines {
		if m.rec.Part != p.index {
			continue
		}
		idle := len(m.attempts) == 0 && len(m.foreign) == 0 && m.fenced && m.pendingOrders == 0
		st := &peer.MachineStatus{Name: m.name, Heard: m.heard, Idle: idle, Lost: m.lost, Retiring: !m.retiring.IsZero(),
			Faulty: m.faulty, Addr: m.rec.Addr,
			NeverUp: !m.heard && len(m.attempts) == 0 && m.typ != nil && now.Sub(m.ownedSince) > neverUpPause && m.age(now) > c.bootLimit(m.typ)}
		if idle {
			st.IdleS = now.Sub(m.idleSince).Seconds()
		}
		ps.Machines = append(ps.Machines, st)
		// A machine that still boots, or was just moved here, will take some
		// of what waits.
		if m.typ != nil && !m.lost && !m.faulty && !c.deleted(m.name) && m.retiring.IsZero() && (!m.heard || !m.fenced && m.notice.IsZero()) &&
			(m.age(now) < usualBoot(m.typ) || now.Sub(m.ownedSince) < c.reportS+time.Second) {
			coming = append(coming, m)
			left[m] = m.free()
		}
	}
	claimed := make([]fit.Share, len(p.usage))
	most := demandsMost(len(ps.Machines))
	for _, j := range p.floor.first(c.inOrder(p), most/behindShare) {
		if len(j.queue) == 0 || j.withdrawn || now.Before(j.holdTill) {
			continue
		}
		s := j.spec
		n := len(j.queue)
		// Jobs of a team share what its limit leaves.
		team, own := c.set.Params.Teams[j.team], &claimed[j.team]
		if team.CPUsMax > 0 && s.CPUs > 0 {
			n = min(n, int((team.CPUsMax-p.usage[j.team].CPUs-own.CPUs+fit.Epsilon)/s.CPUs))
		}
		if team.GPUsMax > 0 && s.GPUs > 0 {
			n = min(n, int((team.GPUsMax-p.usage[j.team].GPUs-own.GPUs+fit.Epsilon)/s.GPUs))
		}
		if n <= 0 {
			continue
		}
		own.Add(needOf(s), float64(n))
		for _, m := range coming {
			for n > 0 && wishOf(s).Allows(kindOf(m.rec)) && left[m].Holds(needOf(s)) {
				left[m] = left[m].Plus(needOf(s), -1)
				n--
			}
		}
		if n <= 0 {
			continue
		}
		if len(ps.Demands) >= most {
			c.boundMet(observe.Demands, 1)
			break
		}
		ps.Demands = append(ps.Demands, &peer.Demand{Cpus: s.CPUs, Gpus: s.GPUs, MemGb: s.MemGB, Types: s.Types, Zone: s.Zone,
			Spot: s.Spot, Count: uint32(n), WaitedS: now.Sub(j.since()).Seconds(),
			EstimateS: c.estimate(s), SlackS: j.due().Sub(now).Seconds()})
	}
	return ps
}

// bootLimit is how long a machine may take to come up before it is given up.
func (c *Controller) bootLimit(t *protocol.MachineType) time.Duration {
	return time.Duration((3*t.BootS + 15) * float64(time.Second))
}

// neverUpPause is how long a new owner waits for a machine that should have
// been up long ago.
const neverUpPause = 10 * time.Second

// usualBoot is how long most machines take. What takes longer may never come
// up, so waiting work no longer counts on it.
func usualBoot(t *protocol.MachineType) time.Duration {
	return time.Duration((1.6*t.BootS + 2) * float64(time.Second))
}

// age is how long ago a machine was rented. A record may not say it, and clocks
// differ, so that it is at least how long its owner has known it.
func (m *machine) age(now time.Time) time.Duration {
	known := now.Sub(m.ownedSince)
	if m.rec.RentedMS == 0 {
		return known
	}
	return max(known, time.Duration(now.UnixMilli()-m.rec.RentedMS)*time.Millisecond)
}

// fleetRequest does what the leader asks about one of this owner's machines.
func (c *Controller) fleetRequest(fr *peer.FleetRequest) *peer.FleetReply {
	reply := &peer.FleetReply{Reason: "stopping"}
	var txn *protocol.Transaction
	var m *machine
	var rec bookkeeping.Machine
	c.do(func() {
		m = c.machines[fr.Machine]
		if m == nil || !c.parts[m.rec.Part].ready || int(fr.ToPart) >= len(c.parts) {
			reply.Reason = "not mine"
			return
		}
		if m.heard && !m.lost && (len(m.attempts) > 0 || len(m.foreign) > 0 || m.pendingOrders > 0 || m.moving || !m.fenced) || !m.heard && !fr.Retire {
			reply.Reason = "in use"
			return
		}
		if fr.Retire {
			m.retiring = time.Now()
			reply.Ok = true
			return
		}
		// Every order is answered and the newest report is empty (10).
		m.moving = true
		rec = m.rec
		rec.Part = int(fr.ToPart)
		p := c.parts[m.rec.Part]
		txn = &protocol.Transaction{
			If: []protocol.Condition{{Key: bookkeeping.ClaimKey(p.index), Version: p.version},
				{Key: bookkeeping.MachineKey(m.name), Version: m.version}},
			Then: []protocol.Change{{Put: bookkeeping.MachineKey(m.name), Value: bookkeeping.Encode(rec)}},
		}
	})
	if txn == nil {
		return reply
	}
	ctx, cancel := context.WithTimeout(c.ctx, 2*time.Second)
	defer cancel()
	rev, err := c.store.Commit(ctx, txn)
	c.do(func() {
		if err == nil {
			c.machineRecorded(m.name, rec, rev, time.Now())
			reply.Ok = true
			return
		}
		reply.Reason = err.Error()
		// An unanswered move may still be applied; until the record shows, the
		// machine stays out of use for a while and is then claimed by a bump.
		m.raiseToken(time.Now())
	})
	return reply
}
