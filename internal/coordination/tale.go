package coordination

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/identity"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// What an owner knows beyond the records, and tells its standby: when attempts began,
// which machines are slow, faulty or about to be taken, which images they hold, how far
// estimates are off; and what the leader is about. It is told as what has changed since
// what the other has, bounded in size and rate. It serves predictions only: nothing that
// a rule rests on comes from it (33).

const (
	talePath   = "/peer/tale"
	recallPath = "/peer/recall"
	taleEvery  = time.Second
	taleTime   = time.Second // for a message and its answer
	// taleBytes is what one message holds at most; the rest follows with the next. That is
	// some 26,000 attempts, or 500 machines with all their images: a standby that knows
	// nothing has 4,000 machines and 64,000 attempts after some 10 s.
	taleBytes = peerBodyLeast * 3 / 4
	// taleOverhead is what an entry takes beside itself.
	taleOverhead = 8
	// taleImages is how many images of a machine are told, the newest.
	taleImages = 50
	// movesTold is how many machines that were moved of late the leader names.
	movesTold = 4000
	// leaderTaleFor is how long what the leader told counts after it was told.
	leaderTaleFor = 10 * time.Second
)

// telling is how far a part's tale has come with the standby.
type telling struct {
	to    string // whom it is told to
	have  uint64 // up to where that one has it
	clock uint64 // the place of the newest change
}

// tellable is what is told of a machine, as far as a change of it is told again.
type tellable struct {
	addr    string
	session uint64
	faulty  bool
	slow    int
	notice  bool
	images  int
}

func (m *machine) tells() tellable {
	return tellable{m.rec.Addr, m.session, m.faulty, m.slowTasks, !m.notice.IsZero(), len(m.images)}
}

// taleDuty tells each part's standby, and the leader's peers, once a second.
func (f *following) taleDuty() {
	for f.c.sleep(taleEvery) {
		f.tellAll(f.c.ctx)
	}
}

// tellAll tells everything that there is to tell now, to each at the same time.
func (f *following) tellAll(ctx context.Context) {
	c := f.c
	type message struct {
		to, addr string
		part     *part // nil: the leader's
		tale     *peer.Tale
	}
	var out []message
	c.do(func() {
		now := time.Now()
		for _, p := range c.parts {
			if ps := c.peers[p.standby]; p.mine && p.ready && ps != nil && ps.recent(now) {
				out = append(out, message{p.standby, ps.addr, p, f.tell(p, now)})
			}
		}
		if c.leader.mine {
			tale := f.tellLeader(now)
			for label, ps := range c.peers {
				if ps.recent(now) {
					out = append(out, message{label, ps.addr, nil, tale})
				}
			}
		}
	})
	done := make(chan struct{}, len(out))
	for _, msg := range out {
		c.duty.Go(func() {
			defer func() { done <- struct{}{} }()
			reply := new(peer.TaleReply)
			if err := ask(ctx, c.net, taleTime, msg.addr, talePath, msg.tale, reply); err != nil {
				c.log.Debug("tale not told", "to", msg.to, "reason", err)
				return
			}
			if msg.part != nil {
				c.do(func() {
					if t := &msg.part.telling; t.to == msg.to && msg.part.version == msg.tale.Claim {
						t.have = min(reply.Have, t.clock)
					}
				})
			}
		})
	}
	for range out {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// tell is what has changed of a part's tale since what its standby has.
func (f *following) tell(p *part, now time.Time) *peer.Tale {
	c := f.c
	t := &p.telling
	if t.to != p.standby {
		t.to, t.have = p.standby, 0
	}
	tale := &peer.Tale{From: c.set.Label, Nonce: c.nonce, Claim: p.version, Part: uint32(p.index), Since: t.have}
	room := taleBytes
	for _, class := range slices.Sorted(maps.Keys(c.bias)) {
		b := c.bias[class]
		told := &peer.ClassTale{Class: class, Ratio: b.ratio, Count: uint32(b.count)}
		tale.Classes = append(tale.Classes, told)
		room -= proto.Size(told) + taleOverhead
	}
	list := f.changes(p)
	tale.Upto = t.clock
	if !tellChanges(tale, list, room, now) {
		c.boundMet(observe.ReplicaMessages, 1)
	}
	return tale
}

// taleChange is an attempt or a machine of which something changed, and the place of that
// change among all of the part.
type taleChange struct {
	place   uint64
	attempt *attempt
	machine *machine
}

// changes lists what has changed since what the part's standby has, in order.
func (f *following) changes(p *part) (list []taleChange) {
	c, t := f.c, &p.telling
	for _, j := range c.jobs {
		if j.part != p.index || !j.owned {
			continue
		}
		for _, a := range j.live {
			if a.noted == 0 && !a.startedAt.IsZero() && (!a.inherited || !a.told.IsZero()) {
				t.clock++
				a.noted = t.clock
			}
			if a.noted > t.have {
				list = append(list, taleChange{place: a.noted, attempt: a})
			}
		}
	}
	for _, m := range c.machines {
		if m.rec.Part != p.index || !m.heard {
			continue
		}
		if tells := m.tells(); m.noted == 0 || tells != m.tellable {
			t.clock++
			m.tellable, m.noted = tells, t.clock
		}
		if m.noted > t.have {
			list = append(list, taleChange{place: m.noted, machine: m})
		}
	}
	slices.SortFunc(list, func(a, b taleChange) int { return cmp.Compare(a.place, b.place) })
	return list
}

// tellChanges puts changes into a message, as many as there is room for, and says whether
// that was all: the others follow with the next.
func tellChanges(tale *peer.Tale, list []taleChange, room int, now time.Time) bool {
	for i, change := range list {
		var at *peer.AttemptTale
		var mt *peer.MachineTale
		if a := change.attempt; a != nil {
			at = &peer.AttemptTale{Job: a.job.spec.ID, Task: uint32(a.task), Attempt: a.number, RanS: a.ranS(now)}
			room -= proto.Size(at) + taleOverhead
		} else {
			mt = change.machine.tale(now)
			room -= proto.Size(mt) + taleOverhead
		}
		if room < 0 && i > 0 {
			tale.Upto = list[i-1].place
			return false
		}
		if at != nil {
			tale.Attempts = append(tale.Attempts, at)
		} else {
			tale.Machines = append(tale.Machines, mt)
		}
	}
	return true
}

// tale is what is known of a machine beyond its record.
func (m *machine) tale(now time.Time) *peer.MachineTale {
	mt := &peer.MachineTale{Name: m.name, Addr: m.rec.Addr, Session: m.session, Faulty: m.faulty, SlowTasks: uint32(m.slowTasks), NoticeS: -1}
	if !m.notice.IsZero() {
		mt.NoticeS = max(0, m.notice.Sub(now).Seconds())
	}
	images := slices.SortedFunc(maps.Keys(m.images), func(a, b string) int {
		return cmp.Or(m.images[b].Compare(m.images[a]), cmp.Compare(a, b))
	})
	mt.Images = images[:min(len(images), taleImages)]
	return mt
}

// heardTale is a part's tale as its owner told it.
type heardTale struct {
	from, nonce string
	claim, have uint64
	machines    map[string]heardMachine
	classes     []*peer.ClassTale
	// dropped is how many machines there was no room for since that was last counted.
	dropped int
}

type taleKey struct {
	job    string
	task   int
	number uint64
}

type heardMachine struct {
	*peer.MachineTale
	notice time.Time // zero: not announced
}

// taleMost is how many machines a tale may hold: more than any part has, so that only a
// faulty sender is bounded by it.
const taleMost = 100_000

// hear takes a message in and says up to where the tale is known. What comes twice or
// late does nothing; after a gap the sender goes on from what is known.
func (h *heardTale) hear(t *peer.Tale, began func(taleKey, time.Time), now time.Time) uint64 {
	if t.Claim < h.claim {
		return 0 // an owner of before
	}
	if h.from != t.From || h.nonce != t.Nonce || h.claim != t.Claim {
		*h = heardTale{from: t.From, nonce: t.Nonce, claim: t.Claim}
	}
	if t.Since > h.have || t.Upto < h.have {
		return h.have
	}
	if h.machines == nil {
		h.machines = map[string]heardMachine{}
	}
	for _, a := range t.Attempts {
		if a.RanS >= 0 && a.RanS < 1e9 {
			began(taleKey{a.Job, int(a.Task), a.Attempt}, now.Add(-time.Duration(a.RanS*float64(time.Second))))
		}
	}
	for _, m := range t.Machines {
		if _, known := h.machines[m.Name]; !known && len(h.machines) >= taleMost {
			h.dropped++
		} else {
			hm := heardMachine{MachineTale: m}
			if m.NoticeS >= 0 && m.NoticeS < 1e9 {
				hm.notice = now.Add(time.Duration(m.NoticeS * float64(time.Second)))
			}
			h.machines[m.Name] = hm
		}
	}
	h.have, h.classes = t.Upto, t.Classes
	return h.have
}

// hearTale answers an owner that tells its part's tale, or the leader.
func (f *following) hearTale(who *caller, body []byte) transport.Response {
	c := f.c
	t := new(peer.Tale)
	if err := proto.Unmarshal(body, t); err != nil {
		return refuse(400, "bad tale", 0)
	}
	if refusal := c.speaksFor(who, "peer", identity.Name{Kind: identity.Controller, ID: t.From}); refusal != nil {
		return *refusal
	}
	reply := new(peer.TaleReply)
	c.do(func() {
		now := time.Now()
		if t.Leader != nil {
			c.heardLeader = heardLeader{from: t.From, at: now, tale: t.Leader}
			return
		}
		if fo := f.copies[int(t.Part)]; fo != nil {
			reply.Have = fo.tale.hear(t, fo.shadow.told, now)
			c.boundMet(observe.ReplicaMachines, fo.tale.dropped)
			c.boundMet(observe.ReplicaStarts, fo.shadow.dropped)
			fo.tale.dropped, fo.shadow.dropped = 0, 0
		}
	})
	return replyOf(reply)
}

// recall answers a controller that was started anew: the tale of a part as its former
// life told it here.
func (f *following) recall(body []byte) transport.Response {
	c := f.c
	req := new(peer.RecallRequest)
	if err := proto.Unmarshal(body, req); err != nil {
		return refuse(400, "bad request", 0)
	}
	tale := &peer.Tale{Part: req.Part}
	c.do(func() {
		if fo := f.copies[int(req.Part)]; fo != nil && fo.tale.have != 0 {
			whole := false
			if tale, whole = fo.retold(time.Now()); !whole {
				c.boundMet(observe.RecallBytes, 1)
			}
		}
	})
	return replyOf(tale)
}

// recallBytes is what a recalled tale holds at most, below what a client takes as a
// response: 64,000 attempts take some 2 MB, 4,000 machines 0.4 MB, their images the rest.
const recallBytes = 6 << 20

// retold is a tale as it was heard, for whoever asks. whole is false if it was too large: it
// lacks images then, which only tell where a start is quick, or even more.
func (fo *follower) retold(now time.Time) (t *peer.Tale, whole bool) {
	h := &fo.tale
	t = &peer.Tale{From: h.from, Nonce: h.nonce, Claim: h.claim, Part: uint32(fo.part), Upto: h.have, Classes: h.classes}
	room := recallBytes - proto.Size(t)
	fits := func(m proto.Message) bool {
		room -= proto.Size(m) + taleOverhead
		return room >= 0
	}
	for id, sj := range fo.shadow.jobs {
		for task, a := range sj.live {
			if a.told.IsZero() {
				continue
			}
			at := &peer.AttemptTale{Job: id, Task: uint32(task), Attempt: a.number, RanS: now.Sub(a.told).Seconds()}
			if !fits(at) {
				return t, false
			}
			t.Attempts = append(t.Attempts, at)
		}
	}
	for _, hm := range h.machines {
		m := proto.CloneOf(hm.MachineTale)
		m.Images = nil
		if !hm.notice.IsZero() {
			m.NoticeS = max(0, hm.notice.Sub(now).Seconds())
		}
		if !fits(m) {
			return t, false
		}
		t.Machines = append(t.Machines, m)
	}
	for _, m := range t.Machines {
		images := h.machines[m.Name].Images
		if !fits(&peer.MachineTale{Images: images}) {
			return t, false
		}
		m.Images = images
	}
	return t, true
}

// began puts it to an inherited attempt when it did, as its former owner had told.
func (f *following) began(p *part, k taleKey, at time.Time) bool {
	j := f.c.jobs[k.job]
	if j == nil || j.part != p.index || !j.owned {
		return false
	}
	a := j.live[k.task]
	if a == nil || a.number != k.number || !a.blind() {
		return false
	}
	if a.told = at; !a.startedAt.IsZero() {
		a.startedAt = at
	}
	a.machine.predicted = nil
	return true
}

// recollect puts what the former owner told of machines and classes to what they are now.
func (f *following) recollect(p *part, h *heardTale, now time.Time) {
	c := f.c
	for name, mt := range h.machines {
		m := c.machines[name]
		if m == nil || m.rec.Part != p.index {
			continue
		}
		for _, image := range mt.Images {
			if _, ok := m.images[image]; !ok {
				m.images[image] = now
			}
		}
		if m.rec.Addr == "" {
			m.rec.Addr = mt.Addr
		}
		m.faulty, m.slowTasks = m.faulty || mt.Faulty, max(m.slowTasks, int(mt.SlowTasks))
		if m.hint < mt.Session {
			m.hint = mt.Session
		}
		if m.notice.IsZero() {
			m.notice = mt.notice
		}
	}
	for _, ct := range h.classes {
		b := c.bias[ct.Class]
		if b != nil && b.count >= int(ct.Count) || ct.Ratio <= 0 || ct.Ratio > 4 {
			continue
		}
		if b != nil || c.mayLearn() {
			c.bias[ct.Class] = &classBias{ratio: ct.Ratio, count: int(ct.Count)}
		}
	}
}

// recallTale asks the others what they were told of a part that this controller has just
// taken over without a tale of its own: its former life's, above all.
func (f *following) recallTale(p *part, claim uint64) {
	c := f.c
	for _, ps := range c.peers {
		c.duty.Go(func() {
			t := new(peer.Tale)
			err := ask(c.ctx, c.net, taleTime, ps.addr, recallPath, &peer.RecallRequest{Part: uint32(p.index)}, t)
			if err != nil && !errors.Is(err, transport.ErrNotSent) {
				c.log.Debug("tale not recalled", "from", ps.addr, "reason", err)
			}
			if err != nil || t.Upto == 0 {
				return
			}
			c.do(func() {
				if !p.mine || !p.ready || p.version != claim {
					return
				}
				now, h, attempts := time.Now(), heardTale{}, 0
				h.hear(t, func(k taleKey, at time.Time) {
					if f.began(p, k, at) {
						attempts++
					}
				}, now)
				f.recollect(p, &h, now)
				c.log.Info("recalled what was known of a part", "part", p.index, "attempts", attempts, "machines", len(h.machines))
			})
		})
	}
}

// heardLeader is what the leader told last.
type heardLeader struct {
	from string
	at   time.Time
	tale *peer.LeaderTale
}

// tellLeader is what the leader is about.
func (f *following) tellLeader(now time.Time) *peer.Tale {
	c := f.c
	l := &c.leader
	lt := &peer.LeaderTale{}
	for _, name := range slices.Sorted(maps.Keys(l.renting)) {
		r := l.renting[name]
		lt.Rentals = append(lt.Rentals, &peer.RentalTale{Name: name, Type: r.kind.Type, Zone: r.kind.Zone, Spot: r.kind.Spot, Count: uint32(r.count), Part: uint32(r.part)})
	}
	for kind, until := range l.refused {
		if until.After(now) {
			lt.Refused = append(lt.Refused, &peer.RefusalTale{Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, ForS: until.Sub(now).Seconds()})
		}
	}
	for name, at := range l.moved {
		if c.machines[name] != nil && len(lt.Moved) < movesTold && now.Sub(at) < 2*time.Minute {
			lt.Moved = append(lt.Moved, &peer.MovedTale{Name: name, AgoS: now.Sub(at).Seconds()})
		}
	}
	return &peer.Tale{From: c.set.Label, Nonce: c.nonce, Claim: l.version, Leader: lt}
}

// leadOn goes on with what the leader before was about: what the cloud lacked, which
// machines were moved of late, and its rentals without an answer, which are repeated
// under their own names, so that they rent nothing twice (18).
func (f *following) leadOn(h heardLeader, now time.Time) {
	c := f.c
	l := &c.leader
	version := l.version
	if h.tale == nil || now.Sub(h.at) > leaderTaleFor || h.from == c.set.Label {
		return
	}
	for _, r := range h.tale.Refused {
		if r.ForS > 0 && r.ForS < 60 {
			l.refused[fit.Kind{Type: r.Type, Zone: r.Zone, Spot: r.Spot}] = h.at.Add(time.Duration(r.ForS * float64(time.Second)))
		}
	}
	for _, m := range h.tale.Moved {
		l.moved[m.Name] = h.at.Add(-time.Duration(m.AgoS * float64(time.Second)))
	}
	for _, r := range h.tale.Rentals {
		if int(r.Part) >= len(c.parts) || r.Count == 0 || r.Count > 50 || l.renting[r.Name] != nil {
			continue
		}
		rent := &rental{kind: fit.Kind{Type: r.Type, Zone: r.Zone, Spot: r.Spot}, part: int(r.Part), count: int(r.Count)}
		l.renting[r.Name] = rent
		c.log.Info("repeating a rental of the leader before", "request", r.Name, "type", r.Type, "count", r.Count)
		c.duty.Go(func() { c.finishRental(r.Name, rent, version) })
	}
}
