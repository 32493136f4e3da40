package coordination

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/shares"
	"micaspindle/internal/identity"
	"micaspindle/internal/observe"
	"micaspindle/internal/overview"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

const (
	carryPath = "/peer/carry"
	relayPath = "/peer/relay"

	// carryEvery is how often a carrier asks to go on, carryGather for how long it
	// gathers reports after one has come, carryWait how long it waits for the reply.
	carryEvery  = 300 * time.Millisecond
	carryGather = 50 * time.Millisecond
	carryWait   = time.Second
	// carryMessage is how many bytes of reports one message holds; more go in several.
	carryMessage = peerBodyLeast * 3 / 4

	// carrySettle is how long a controller must have been heard before it is given shares.
	carrySettle = 5 * time.Second

	relayGather = 3 * time.Millisecond
	// relayMost are the orders of one message, relayBytes their size; relayAnswers is
	// how long a carrier waits for the workers' answers to them.
	relayMost    = 64
	relayBytes   = peerBodyLeast / 2
	relayAnswers = 400 * time.Millisecond

	// sendAwayEvery is how long a worker that was sent to its carrier and came back is
	// served here, sendAwayAgain if it did not come through to the carrier at all.
	sendAwayEvery = 3 * time.Second
	sendAwayAgain = 30 * time.Second
)

// carrying is what this controller carries for owners of other parts, and what others
// carry for it. It belongs to the loop, but for the relays.
type carrying struct {
	c *Controller
	// room is how many machines' connections the sockets hold: a report's and an order's each.
	room int
	// most bounds the reports of a part that wait for a reply, in bytes: 10 MiB at 322 MB of
	// memory, while those of 4,000 machines with 16 tasks each have 3.9 MB.
	most    int
	errands []*errand // by part
	// moved is when a share last went away or came back.
	moved, steered time.Time
	// moves are the last ones, for operators.
	moves []overview.Move
	times []time.Time // when each of them was

	mu     sync.Mutex
	relays map[string][]*relayed // orders that wait, by carrier
}

// errand is what a carrier does for a part's owner.
type errand struct {
	owner  string
	claim  uint64
	shares [shares.Count]bool
	until  time.Time // end of the grant, by our clock
	serial uint64
	// reports that were answered and not yet told, the newest of each machine; size is
	// that of them and of those on their way.
	reports map[string]answered
	size    int
	kick    chan struct{}
}

// answered is a report that was answered here, as it came.
type answered struct {
	raw               []byte
	session, sequence uint64
}

// keep keeps a report to be told, unless a newer one of its machine is: reports may come late.
func (e *errand) keep(machine string, a answered) {
	if had, ok := e.reports[machine]; ok {
		if had.session > a.session || had.session == a.session && had.sequence > a.sequence {
			return
		}
		e.size -= len(had.raw)
	}
	e.size += len(a.raw)
	e.reports[machine] = a
}

func (cy *carrying) init(c *Controller) {
	limits := c.set.Params.MachineLimits
	cy.c, cy.room, cy.relays = c, limits.Sockets/2, map[string][]*relayed{}
	cy.most = carriedMost(limits)
	for range c.parts {
		cy.errands = append(cy.errands, &errand{reports: map[string]answered{}, kick: make(chan struct{}, 1)})
	}
}

// holds says whether the errand allows an answer to a machine of a part now.
func (e *errand) holds(p *part, m *machine, now time.Time) bool {
	return e.shares[m.share] && now.Before(e.until) && p.owner == e.owner && p.version == e.claim
}

// answer answers a worker's report for the part's owner, if that has granted it. What
// is answered is told to the owner with the next request (37).
func (cy *carrying) answer(m *machine, r *protocol.Report, raw []byte, now time.Time) (transport.Response, bool) {
	c := cy.c
	p, e := c.parts[m.rec.Part], cy.errands[m.rec.Part]
	if c.leaving || p.mine || !e.holds(p, m, now) {
		return transport.Response{}, false
	}
	token := c.token(m)
	if r.Token > token {
		return refuse(503, "superseded", 1), true
	}
	if e.size+len(raw) > cy.most {
		c.boundMet(observe.CarriedReports, 1)
		return refuse(503, "the owner of the machine is behind", 1), true
	}
	if r.Addr != "" {
		m.rec.Addr = r.Addr
	}
	e.keep(m.name, answered{bytes.Clone(raw), r.Session, r.Sequence})
	nudge(e.kick)
	return transport.Response{Status: 200, Body: protocol.Encode(protocol.Orders{Token: token, Commands: c.stopsOfWithdrawn(r)})}, true
}

// named says whether a part's owner wants this controller to carry something of it.
func (cy *carrying) named(p *part, now time.Time) bool {
	c := cy.c
	ps := c.peers[p.owner]
	return !p.mine && ps != nil && ps.recent(now) && !c.leaving &&
		slices.ContainsFunc(ps.told(p).GetCarried(), func(k *peer.Carried) bool { return k.By == c.set.Label })
}

// take removes reports to be told, as many as a message holds, and says how many bytes they
// have.
func (e *errand) take() (told map[string]answered, size int) {
	told = map[string]answered{}
	for machine, a := range e.reports {
		if len(told) > 0 && size+len(a.raw) > carryMessage {
			break
		}
		told[machine] = a
		size += len(a.raw)
		delete(e.reports, machine)
	}
	return told, size
}

// duty asks a part's owner again and again to go on, and tells it what came. It sleeps
// while nothing of the part is to be carried here.
func (cy *carrying) duty(p *part) {
	c, e := cy.c, cy.errands[p.index]
	for engaged := false; ; engaged = cy.askAll(p, e) {
		var again <-chan time.Time
		if engaged {
			again = time.After(carryEvery)
		}
		select {
		case <-e.kick:
			if !c.sleep(carryGather) {
				return
			}
		case <-again:
		case <-c.ctx.Done():
			return
		}
	}
}

// heard looks whether a controller wants something of its parts carried here.
func (cy *carrying) heard(sum *peer.Summary) {
	for _, p := range sum.Parts {
		for _, k := range p.Carried {
			if k.By == cy.c.set.Label && int(p.Part) < len(cy.errands) {
				nudge(cy.errands[p.Part].kick)
			}
		}
	}
}

// askAll sends requests, one at a time, until all that was answered is told or one had no
// reply. It says whether there was anything to ask.
func (cy *carrying) askAll(p *part, e *errand) bool {
	asked, more := cy.ask(p, e)
	for more && cy.c.ctx.Err() == nil {
		_, more = cy.ask(p, e)
	}
	return asked
}

// ask sends one request with what was answered since the last one that had a reply, as
// much as a message holds. It says whether there was anything to ask, and whether there is
// more to tell.
func (cy *carrying) ask(p *part, e *errand) (asked, more bool) {
	c := cy.c
	var req *peer.CarryRequest
	var told map[string]answered
	addr, size, left := "", 0, false
	var begun time.Time
	c.do(func() {
		begun = time.Now()
		if e.owner != p.owner || e.claim != p.version {
			// Another owner: what was told to the one before is its successor's to find out.
			e.owner, e.claim, e.serial, e.until, e.size = p.owner, p.version, 0, time.Time{}, 0
			e.shares = [shares.Count]bool{}
			clear(e.reports)
		}
		ps := c.peers[p.owner]
		if ps == nil || !cy.named(p, begun) && len(e.reports) == 0 {
			return
		}
		addr = ps.addr
		req = &peer.CarryRequest{From: c.set.Label, Nonce: c.nonce, Part: uint32(p.index), Claim: e.claim}
		told, size = e.take()
		if left = len(e.reports) > 0; !left {
			// Only with all of it does the request show that every answer up to the last
			// reply is known (39).
			req.After = e.serial
		}
		for _, a := range told {
			req.Reports = append(req.Reports, a.raw)
		}
	})
	if req == nil {
		return false, false
	}
	reply := new(peer.CarryReply)
	err := ask(c.ctx, c.net, carryWait, addr, carryPath, req, reply)
	c.do(func() {
		if e.owner != p.owner || e.claim != req.Claim {
			return
		}
		e.size -= size
		if err != nil {
			c.log.Debug("not carried on", "part", p.index, "owner", e.owner, "reason", err)
			for name, a := range told { // to be told again
				e.keep(name, a)
			}
			return
		}
		more = left
		e.serial, e.until = reply.Serial, begun.Add(time.Duration(reply.GrantMs)*time.Millisecond)
		had := e.shares
		e.shares = [shares.Count]bool{}
		for _, s := range reply.Shares {
			if s < shares.Count {
				e.shares[s] = true
			}
		}
		if had != e.shares {
			c.log.Info("carrying shares of a part", "part", p.index, "owner", e.owner, "shares", reply.Shares)
		}
	})
	return true, more
}

// asked answers a carrier: it takes in what came there and grants the carrier its shares.
func (cy *carrying) asked(who *caller, body []byte) transport.Response {
	c := cy.c
	req := new(peer.CarryRequest)
	if err := proto.Unmarshal(body, req); err != nil {
		return refuse(400, "bad request", 0)
	}
	if refusal := c.speaksFor(who, "peer", identity.Name{Kind: identity.Controller, ID: req.From}); refusal != nil {
		return *refusal
	}
	reports := make([]*protocol.Report, 0, len(req.Reports))
	for _, raw := range req.Reports {
		r := new(protocol.Report)
		if err := protocol.Decode(raw, r); err == nil && r.Check() == nil {
			reports = append(reports, r)
		}
	}
	reply, ok := new(peer.CarryReply), false
	c.do(func() {
		now := time.Now()
		if int(req.Part) >= len(c.parts) {
			return
		}
		p := c.parts[req.Part]
		if ok = c.entitled(p, now) && p.ready && p.version == req.Claim && !c.leaving; !ok {
			return
		}
		for _, r := range reports {
			cy.take(p, r, now)
		}
		granted, d, serial := p.ledger.Asked(req.From, req.Nonce, req.After, c.answerBound()-now.Sub(c.informed()), now)
		for _, s := range granted {
			reply.Shares = append(reply.Shares, uint32(s))
		}
		reply.GrantMs, reply.Serial = uint32(d.Milliseconds()), serial
	})
	if !ok {
		return refuse(409, "not the owner under this claim", 0)
	}
	return replyOf(reply)
}

// take takes in a report that a carrier has answered.
func (cy *carrying) take(p *part, r *protocol.Report, now time.Time) {
	c := cy.c
	m := c.machines[r.Machine]
	if m == nil || m.rec.Part != p.index {
		return
	}
	m.reports(r)
	m.answeredBy = now // at the latest
	if r.Token > c.token(m) || !m.newer(r) {
		return // late, or older than what came otherwise
	}
	if r.Addr != "" {
		m.rec.Addr = r.Addr
	}
	c.observe(m, r, now)
	m.lastHeard, m.carriedAt = now, now
	if m.fenced && m.awaits() {
		c.sendOrders(m)
	}
}

// sendsAway names the carrier that a worker which came here should report to.
func (cy *carrying) sendsAway(p *part, m *machine, now time.Time) string {
	pause := sendAwayEvery
	if !m.carriedAt.After(m.sentAway) {
		pause = sendAwayAgain
	}
	if !p.ready || !m.fenced || !m.sentAway.IsZero() && now.Sub(m.sentAway) < pause || !p.ledger.Active(m.share, now) {
		return ""
	}
	m.sentAway = now
	return p.ledger.By(m.share)
}

// load is how many machines keep their connections here.
func (cy *carrying) load(now time.Time) shares.Load {
	c := cy.c
	l := shares.Load{Room: cy.room}
	for _, m := range c.machines {
		p, e := c.parts[m.rec.Part], cy.errands[m.rec.Part]
		if p.mine && m.heard && !m.lost && p.ledger.By(m.share) == "" || !p.mine && e.holds(p, m, now) {
			l.Machines++
		}
	}
	return l
}

// steer evens out who carries what of this controller's parts.
func (cy *carrying) steer(now time.Time) {
	if now.Sub(cy.steered) < shares.Pause {
		return
	}
	cy.steered = now
	v := cy.view(now, nil)
	v.Rested, v.RestedLong = now.Sub(cy.moved) >= shares.Pause, now.Sub(cy.moved) >= shares.Return
	for _, mv := range shares.Plan(v) {
		cy.move(mv, now)
	}
}

// spread gives shares of a part that was just taken over away at once, as many as its
// machines ask for: they must all be fenced and will all report, and an owner that is
// alone with that may run out of sockets. Carriers of the owner before keep what they
// have, so that its workers' connections stay.
func (cy *carrying) spread(p *part, now time.Time) {
	v := cy.view(now, p)
	for _, k := range cy.c.peers[p.last].told(p).GetCarried() {
		able := slices.ContainsFunc(v.Peers, func(peer shares.Peer) bool { return peer.Label == k.By && peer.Able && peer.Fit })
		for _, s := range k.Shares {
			if s < shares.Count && able && !v.Whole {
				cy.move(shares.Move{Part: p.index, Share: int(s), To: k.By, Reason: "as under the owner before"}, now)
			}
		}
	}
	v = cy.view(now, p) // what they have is in what they tell
	v.Rested = true
	for range shares.Count {
		moves := shares.Plan(v)
		for _, mv := range moves {
			cy.move(mv, now)
			v.Apply(mv)
		}
		if len(moves) == 0 {
			return
		}
	}
}

// move lets a share change its carrier.
func (cy *carrying) move(mv shares.Move, now time.Time) {
	c := cy.c
	p := c.parts[mv.Part]
	from := p.ledger.By(mv.Share)
	c.log.Info("a share changes its carrier", "part", mv.Part, "share", mv.Share, "from", from, "to", mv.To, "reason", mv.Reason)
	c.metrics.Count(observe.ShareMoved, 1)
	cy.note(overview.Move{Part: mv.Part, Share: mv.Share, From: from, To: mv.To, Reason: mv.Reason}, now)
	p.ledger.Assign(mv.Share, mv.To)
	cy.moved = now
}

// view is what a plan is made of. All machines of a part that is just taken over count,
// though none of them was heard yet.
func (cy *carrying) view(now time.Time, taken *part) shares.View {
	c := cy.c
	v := shares.View{Own: cy.load(now)}
	for _, label := range c.labels {
		ps := c.peers[label]
		if ps == nil || ps.summary == nil {
			continue
		}
		sum := ps.summary
		if ps.recent(now) && sum.Room == 0 {
			v.Whole = true
		}
		v.Peers = append(v.Peers, shares.Peer{Label: label, Load: shares.Load{Machines: int(sum.Connected), Room: int(sum.Room)},
			Able: ps.recent(now) && sum.Room > 0 && !sum.Leaving,
			Fit:  now.Sub(ps.since) >= carrySettle && sum.StateSilenceS < 3})
	}
	counts := make(map[*part]*[shares.Count]int)
	for _, m := range c.machines {
		p := c.parts[m.rec.Part]
		if p != taken && (!p.mine || !p.ready || !m.heard || m.lost) {
			continue
		}
		if counts[p] == nil {
			counts[p] = new([shares.Count]int)
		}
		counts[p][m.share]++
		if p == taken && p.ledger.By(m.share) == "" {
			v.Own.Machines++
		}
	}
	for _, p := range c.parts {
		if n := counts[p]; n != nil {
			for s := range shares.Count {
				v.Held = append(v.Held, shares.Held{Part: p.index, Share: s, Machines: n[s], By: p.ledger.By(s)})
			}
		}
	}
	return v
}

// movesMost is how many moves are kept for operators.
const movesMost = 16

func (cy *carrying) note(mv overview.Move, now time.Time) {
	cy.moves, cy.times = append(cy.moves, mv), append(cy.times, now)
	if n := len(cy.moves) - movesMost; n > 0 {
		cy.moves, cy.times = slices.Delete(cy.moves, 0, n), slices.Delete(cy.times, 0, n)
	}
}

// told is the last moves with how long ago they were.
func (cy *carrying) told(now time.Time) []overview.Move {
	list := slices.Clone(cy.moves)
	for i := range list {
		list[i].AgoS = now.Sub(cy.times[i]).Seconds()
	}
	return list
}

// overview says who carries what of a part.
func (cy *carrying) overview(p *part, now time.Time) (list []overview.Carried) {
	machines := map[string]int{}
	for _, m := range cy.c.machines {
		if m.rec.Part == p.index && m.heard && !m.lost {
			machines[p.ledger.By(m.share)]++
		}
	}
	for _, k := range p.carried(cy.c.labels) {
		active := slices.ContainsFunc(k.Shares, func(s uint32) bool { return p.ledger.Active(int(s), now) })
		list = append(list, overview.Carried{By: k.By, Shares: len(k.Shares), Machines: machines[k.By], Active: active})
	}
	return list
}

// carried lists a part's carriers, as others are told of them.
func (p *part) carried(labels []string) (list []*peer.Carried) {
	for _, label := range labels {
		if held := p.ledger.Shares(label); len(held) > 0 {
			k := &peer.Carried{By: label}
			for _, s := range held {
				k.Shares = append(k.Shares, uint32(s))
			}
			list = append(list, k)
		}
	}
	return list
}

// relayed is orders that go to a worker by way of its carrier.
type relayed struct {
	peer.Relayed
	done chan *peer.RelayAnswer
}

var errUnanswered = errors.New("the carrier had no answer of the worker")

// send passes a machine's orders on by way of its carrier. An error that wraps
// transport.ErrNotSent proves that they can never arrive.
func (cy *carrying) send(via, machine string, body []byte) (*transport.Response, error) {
	it := &relayed{Relayed: peer.Relayed{Machine: machine, Body: body}, done: make(chan *peer.RelayAnswer, 1)}
	cy.mu.Lock()
	first := len(cy.relays[via]) == 0
	cy.relays[via] = append(cy.relays[via], it)
	cy.mu.Unlock()
	if first {
		cy.c.duty.Go(func() { cy.flush(via) })
	}
	a := <-it.done
	switch {
	case a.Unsent:
		return nil, fmt.Errorf("%w: by way of %s", transport.ErrNotSent, via)
	case a.Status == 0:
		return nil, fmt.Errorf("%w, by way of %s", errUnanswered, via)
	}
	return &transport.Response{Status: int(a.Status), Body: a.Body}, nil
}

// flush sends what was gathered for a carrier, as much as a message holds at a time.
func (cy *carrying) flush(via string) {
	c := cy.c
	c.sleep(relayGather)
	cy.mu.Lock()
	batch := cy.relays[via]
	delete(cy.relays, via)
	cy.mu.Unlock()
	for len(batch) > 0 {
		n, size := 0, 0
		req := &peer.RelayRequest{From: c.set.Label}
		for n < len(batch) && n < relayMost && (n == 0 || size+len(batch[n].Body) <= relayBytes) {
			size += len(batch[n].Body)
			req.Orders = append(req.Orders, &peer.Relayed{Machine: batch[n].Machine, Body: batch[n].Body})
			n++
		}
		lot := batch[:n]
		batch = batch[n:]
		c.duty.Go(func() { cy.pass(via, req, lot) })
	}
}

func (cy *carrying) pass(via string, req *peer.RelayRequest, lot []*relayed) {
	c := cy.c
	reply := new(peer.RelayReply)
	err := ask(c.ctx, c.net, carryWait, c.peers[via].addr, relayPath, req, reply)
	if err == nil && len(reply.Answers) != len(lot) {
		err = fmt.Errorf("%d answers to %d orders", len(reply.Answers), len(lot))
	}
	if err != nil {
		c.log.Debug("orders not relayed", "by", via, "reason", err)
		c.do(func() {
			for _, p := range c.parts {
				p.ledger.Down(via, time.Now())
			}
		})
	}
	for i, it := range lot {
		if err == nil {
			it.done <- reply.Answers[i]
		} else {
			it.done <- &peer.RelayAnswer{Unsent: errors.Is(err, transport.ErrNotSent)}
		}
	}
}

// relayed passes orders on to workers and answers with what they answered within a
// moment. It decides nothing: workers obey or refuse orders by their token.
func (cy *carrying) relayed(who *caller, body []byte) transport.Response {
	c := cy.c
	req := new(peer.RelayRequest)
	if err := proto.Unmarshal(body, req); err != nil || len(req.Orders) > relayMost {
		return refuse(400, "bad request", 0)
	}
	if refusal := c.speaksFor(who, "peer", identity.Name{Kind: identity.Controller, ID: req.From}); refusal != nil {
		return *refusal
	}
	addrs := make([]string, len(req.Orders))
	if !c.do(func() {
		for i, o := range req.Orders {
			if m := c.machines[o.Machine]; m != nil {
				addrs[i] = m.rec.Addr
			}
		}
	}) {
		return refuse(503, "stopping", 1)
	}
	type numbered struct {
		i int
		a *peer.RelayAnswer
	}
	answers := make(chan numbered, len(addrs))
	reply := &peer.RelayReply{}
	waiting := 0
	for i, addr := range addrs {
		reply.Answers = append(reply.Answers, &peer.RelayAnswer{Unsent: addr == ""})
		if addr == "" {
			continue
		}
		waiting++
		go func() {
			ctx, cancel := context.WithTimeout(c.ctx, orderWait)
			defer cancel()
			a := &peer.RelayAnswer{}
			resp, err := c.net.Do(ctx, addr, "POST", "/orders", req.Orders[i].Body)
			if err == nil {
				a.Status, a.Body = uint32(resp.Status), resp.Body
			} else {
				a.Unsent = errors.Is(err, transport.ErrNotSent)
			}
			answers <- numbered{i, a}
		}()
	}
	t := time.NewTimer(relayAnswers)
	defer t.Stop()
	for ; waiting > 0; waiting-- {
		select {
		case n := <-answers:
			reply.Answers[n.i] = n.a
		case <-t.C:
			return replyOf(reply) // the others may still arrive: not answered
		}
	}
	return replyOf(reply)
}
