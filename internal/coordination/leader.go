package coordination

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// leaderState is what the leader keeps in memory. All of it may be lost: names
// of rentals never repeat, and machines without a record are adopted.
type leaderState struct {
	mine    bool
	owner   string
	version uint64
	orphan  time.Time

	// kick brings the next round forward.
	kick     chan struct{}
	counter  int
	renting  map[string]*rental
	refused  map[offer]time.Time // capacity that was refused, until when
	deleting map[string]time.Time
	adopting map[string]time.Time
	moved    map[string]time.Time
	// settled is when a part was last given a machine: what its owner said
	// before it noticed must not bring another one.
	settled map[int]time.Time
	listed  map[string]protocol.ListedMachine
}

// offer is something that the cloud rents.
type offer struct {
	typ, zone string
	spot      bool
}

// rental is a request under way.
type rental struct {
	offer offer
	part  int
	count int
}

func (l *leaderState) init() {
	l.renting, l.refused = map[string]*rental{}, map[offer]time.Time{}
	l.deleting, l.adopting = map[string]time.Time{}, map[string]time.Time{}
	l.moved, l.settled = map[string]time.Time{}, map[int]time.Time{}
	l.listed = map[string]protocol.ListedMachine{}
}

// applyLeader follows who leads.
func (c *Controller) applyLeader(e protocol.Event, now time.Time) {
	l := &c.leader
	if e.Version < l.version || e.Put != "" && e.Version == l.version {
		return
	}
	if e.Delete != "" {
		if l.version != 0 || l.orphan.IsZero() {
			l.orphan = now
		}
		l.owner, l.version = "", 0
		c.dropLead("the claim ended")
		return
	}
	var claim bookkeeping.Claim
	if err := bookkeeping.Decode(e.Value, &claim); err != nil {
		c.log.Error("bad leader record", "reason", err)
		return
	}
	c.dropLead("the claim changed hands")
	l.owner, l.version = claim.Owner, e.Version
	if claim.Owner == c.set.Label && claim.Nonce == c.nonce {
		l.init()
		l.mine = true
		c.log.Info("leading", "token", l.version)
	}
}

func (c *Controller) dropLead(reason string) {
	if c.leader.mine {
		c.log.Info("no longer leading", "reason", reason)
		c.leader.mine = false
	}
}

// cloud sends one request to the cloud within its budget.
func (c *Controller) cloud(method, target string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
	defer cancel()
	if err := c.cloudBudget.Wait(ctx); err != nil {
		return 0, fmt.Errorf("cloud budget: %w", err)
	}
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	resp, err := c.net.Do(ctx, c.set.Services.Cloud, method, target, body)
	if err != nil {
		return 0, fmt.Errorf("cloud: %w", err)
	}
	if out != nil && resp.Status == 200 {
		if err := protocol.Decode(resp.Body, out); err != nil {
			return 0, fmt.Errorf("cloud: %w", err)
		}
	}
	return resp.Status, nil
}

// catalogDuty learns the machine types. Only the leader asks again and again,
// for the prices; the others ask until they know.
func (c *Controller) catalogDuty() {
	pause := time.Duration(0)
	for c.sleep(pause) {
		pause = time.Second
		want, leading := false, false
		c.do(func() {
			leading = c.leader.mine
			want = len(c.catalog) == 0 || leading
		})
		if !want {
			continue
		}
		var cat protocol.Catalog
		status, err := c.cloud("GET", "/catalog", nil, &cat)
		if err != nil || status != 200 || len(cat.Types) == 0 {
			c.log.Debug("no catalog", "status", status, "reason", err)
			continue
		}
		c.do(func() { c.setCatalog(cat.Types) })
		if leading {
			c.keepCatalog(cat)
			pause = 20 * time.Second
		}
	}
}

// keepCatalog records the machine types for controllers that start while the
// cloud's interface is down.
func (c *Controller) keepCatalog(cat protocol.Catalog) {
	_, err := c.store.Get(c.ctx, bookkeeping.CatalogKey)
	if !errors.Is(err, bookkeeping.ErrNotFound) {
		return
	}
	value := bookkeeping.Encode(cat)
	if protocol.JSONSize(value) > c.store.ValueBytes() {
		return // the record only helps while the cloud is down
	}
	_, err = c.store.Commit(c.ctx, &protocol.Transaction{
		If:   []protocol.Condition{{Key: bookkeeping.CatalogKey, Version: 0}},
		Then: []protocol.Change{{Put: bookkeeping.CatalogKey, Value: value}},
	})
	if err != nil {
		c.log.Debug("catalog not recorded", "reason", err)
	}
}

// leaderDuty lists the cloud's machines and steers the fleet while leading.
func (c *Controller) leaderDuty() {
	lastList := time.Time{}
	listEvery := max(2*time.Second, settings.Seconds(c.set.Params.Cloud.ListLagS/3))
	for {
		select {
		case <-time.After(c.op.MovePeriod):
		case <-c.leader.kick:
			// What was refused is sought elsewhere at once.
		case <-c.ctx.Done():
			return
		}
		leading := false
		c.do(func() { leading = c.leader.mine })
		if !leading {
			continue
		}
		if time.Since(lastList) > listEvery {
			lastList = time.Now()
			c.duty.Go(c.listMachines)
		}
		c.do(func() { c.steer(time.Now()) })
	}
}

func (c *Controller) listMachines() {
	listed := map[string]protocol.ListedMachine{}
	after := ""
	for {
		var page protocol.MachineList
		status, err := c.cloud("GET", "/machines?after="+after+"&page=500", nil, &page)
		if err != nil || status != 200 {
			c.log.Debug("machines not listed", "status", status, "reason", err)
			return
		}
		for _, m := range page.Machines {
			listed[m.Name] = m
			after = m.Name
		}
		if !page.More {
			break
		}
	}
	c.do(func() {
		c.leader.listed = listed
		for name, lm := range listed {
			if m := c.machines[name]; m != nil && m.rec.Addr == "" {
				m.rec.Addr = lm.Addr
			}
		}
	})
}

// view is what the leader knows of one part.
type view struct {
	part    int
	owner   string
	demands []*peer.Demand
	states  map[string]*peer.MachineStatus
}

// settleTime is how long a new machine's record takes to show in what its
// owner says.
const settleTime = 300 * time.Millisecond

func (c *Controller) views(now time.Time) []*view {
	views := make([]*view, len(c.parts))
	fill := func(owner string, sum *peer.Summary, heard time.Time) {
		for _, ps := range sum.Parts {
			i := int(ps.Part)
			if i >= len(views) || c.parts[i].owner != owner {
				continue
			}
			v := &view{part: i, owner: owner, demands: ps.Demands, states: map[string]*peer.MachineStatus{}}
			for _, st := range ps.Machines {
				v.states[st.Name] = st
			}
			if heard.Sub(c.leader.settled[i]) < settleTime {
				v.demands = nil
			}
			views[i] = v
		}
	}
	fill(c.set.Label, c.summary(now), now)
	for label, ps := range c.peers {
		if ps.recent(now) {
			fill(label, ps.summary, ps.heard)
		}
	}
	return views
}

// steer is one round of the leader: adopt, give up, move, rent, return.
func (c *Controller) steer(now time.Time) {
	l := &c.leader
	if !l.mine || len(c.catalog) == 0 || now.Sub(c.renewed) > c.op.ClaimTTL {
		return
	}
	views := c.views(now)
	c.adoptStrays(views, now)
	c.giveUp(views, now)
	c.moveIdle(views, now)
	c.rent(views, now)
	c.returnIdle(views, now)
}

// adoptStrays records machines that turn up without a record: those up at the
// start, and those whose rental was answered to nobody.
func (c *Controller) adoptStrays(views []*view, now time.Time) {
	strays := map[string]bookkeeping.Machine{}
	take := func(u *peer.UnknownMachine) {
		strays[u.Name] = bookkeeping.Machine{Addr: u.Addr, Type: u.Type, Zone: u.Zone, Spot: u.Spot}
	}
	for _, u := range c.unknown {
		take(u)
	}
	for _, ps := range c.peers {
		if ps.recent(now) {
			for _, u := range ps.summary.Unknown {
				take(u)
			}
		}
	}
	late := 4 + 2*c.set.Params.Cloud.ListLagS
	for name, lm := range c.leader.listed {
		if lm.State != protocol.MachineFailed && lm.AgeS > late && now.Sub(c.started) > 5*time.Second {
			strays[name] = bookkeeping.Machine{Addr: lm.Addr, Type: lm.Type, Zone: lm.Zone, Spot: lm.Spot}
		}
	}
	held := make([]int, len(c.parts))
	for _, m := range c.machines {
		held[m.rec.Part]++
	}
	names := make([]string, 0, len(strays))
	for name := range strays {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		_, deleted := c.gone[name]
		if c.machines[name] != nil || deleted || now.Sub(c.leader.adopting[name]) < 5*time.Second {
			continue
		}
		if len(c.leader.renting) > 0 && now.Sub(c.leader.adopting[name]) > time.Hour {
			// It may be the answer to a rental that is still under way.
			c.leader.adopting[name] = now.Add(-3 * time.Second)
			continue
		}
		c.leader.adopting[name] = now
		rec := strays[name]
		best := 0
		for i := range held {
			if held[i] < held[best] {
				best = i
			}
		}
		for _, v := range views {
			if v != nil && len(v.demands) > 0 && held[v.part] == held[best] {
				best = v.part
			}
		}
		rec.Part = best
		held[best]++
		c.log.Info("machine adopted", "machine", name, "type", rec.Type, "zone", rec.Zone, "part", rec.Part)
		c.duty.Go(func() { c.recordMachines([]string{name}, rec) })
	}
}

// recordMachines writes the assignment of new machines.
func (c *Controller) recordMachines(names []string, rec bookkeeping.Machine) {
	for len(names) > 0 {
		var group []string
		for {
			group = names[:min(c.store.TxnOps(), len(names))]
			version := uint64(0)
			c.do(func() {
				if c.leader.mine {
					version = c.leader.version
				}
			})
			if version == 0 {
				return // the next leader adopts them
			}
			txn := &protocol.Transaction{If: []protocol.Condition{{Key: bookkeeping.LeaderKey, Version: version}}}
			for _, name := range group {
				key := bookkeeping.MachineKey(name)
				txn.If = append(txn.If, protocol.Condition{Key: key, Version: 0})
				txn.Then = append(txn.Then, protocol.Change{Put: key, Value: bookkeeping.Encode(rec)})
			}
			ctx, cancel := context.WithTimeout(c.ctx, 4*time.Second)
			rev, err := c.store.Commit(ctx, txn)
			cancel()
			if err == nil {
				c.do(func() {
					for _, name := range group {
						c.machineRecorded(name, rec, rev, time.Now())
					}
				})
				break
			}
			var conflict *bookkeeping.Conflict
			if errors.As(err, &conflict) {
				return // on record already, or no longer leading: the watch tells
			}
			c.log.Info("machines not recorded yet", "machines", group, "reason", err)
			if !c.sleep(500 * time.Millisecond) {
				return
			}
		}
		names = names[len(group):]
	}
}

// giveUp deletes machines that are lost, failed, faulty or never came up.
func (c *Controller) giveUp(views []*view, now time.Time) {
	var names []string
	for name, m := range c.machines {
		reason := ""
		var st *peer.MachineStatus
		if v := views[m.rec.Part]; v != nil {
			st = v.states[name]
		}
		lm, listed := c.leader.listed[name]
		switch {
		case st != nil && st.Lost:
			reason = "lost"
		case st != nil && st.Faulty && st.Idle:
			reason = "faulty"
		case listed && lm.State == protocol.MachineFailed:
			reason = "failed"
		case st != nil && st.NeverUp:
			reason = "never came up"
		}
		if reason == "" || now.Sub(c.leader.deleting[name]) < 5*time.Second {
			continue
		}
		c.leader.deleting[name] = now
		c.log.Info("giving machine up", "machine", name, "reason", reason)
		names = append(names, name)
	}
	if len(names) > 0 {
		c.duty.Go(func() { c.deleteMachines(names) })
	}
}

// deleteMachines deletes machines and then their records; the record goes only
// after the cloud's answer, since its end proves all attempts over.
func (c *Controller) deleteMachines(names []string) {
	status, err := c.cloud("POST", "/machines/delete", protocol.MachineNames{Machines: names}, nil)
	if err != nil || status != 200 {
		c.log.Info("machines not deleted", "machines", names, "status", status, "reason", err)
		return
	}
	for _, name := range names {
		var txn *protocol.Transaction
		c.do(func() {
			if m := c.machines[name]; m != nil && c.leader.mine {
				key := bookkeeping.MachineKey(name)
				txn = &protocol.Transaction{
					If:   []protocol.Condition{{Key: bookkeeping.LeaderKey, Version: c.leader.version}, {Key: key, Version: m.version}},
					Then: []protocol.Change{{Delete: key}}}
			}
		})
		if txn == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, 4*time.Second)
		_, err := c.store.Commit(ctx, txn)
		cancel()
		if err != nil {
			c.log.Info("record of a deleted machine stays for now", "machine", name, "reason", err)
			continue
		}
		c.do(func() { c.machineDeleted(name, time.Now()) })
	}
}

func demandAllows(d *peer.Demand, typ, zone string, spot bool) bool {
	return (len(d.Types) == 0 || slices.Contains(d.Types, typ)) && (d.Zone == "" || d.Zone == zone) && (!spot || d.Spot)
}

// howMany is how many of a demand's tasks the given room holds.
func howMany(d *peer.Demand, cpus, gpus, mem float64) int {
	return slots([3]float64{d.Cpus, d.Gpus, d.MemGb}, [3]float64{cpus, gpus, mem}, int(d.Count))
}

// perMachine is how many tasks like a demand's an empty machine of a type runs
// at a time, at most most.
func perMachine(d *peer.Demand, t *protocol.MachineType, most int) int {
	return slots([3]float64{d.Cpus, d.Gpus, d.MemGb}, [3]float64{t.CPUs, t.GPUs, t.MemGB}, most)
}

// moveIdle moves idle machines from parts without fitting work to the part
// whose tasks have waited longest, one write for each move.
func (c *Controller) moveIdle(views []*view, now time.Time) {
	var needy []*view
	for _, v := range views {
		if v != nil && len(v.demands) > 0 {
			needy = append(needy, v)
		}
	}
	oldest := func(v *view) float64 {
		w := 0.0
		for _, d := range v.demands {
			w = max(w, d.WaitedS)
		}
		return w
	}
	slices.SortFunc(needy, func(a, b *view) int {
		switch wa, wb := oldest(a), oldest(b); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return a.part - b.part
	})
	for _, to := range needy {
		for _, d := range to.demands {
			for _, from := range views {
				if from == nil || from == to || d.Count == 0 {
					continue
				}
				for name, st := range from.states {
					m := c.machines[name]
					if d.Count == 0 || m == nil || m.typ == nil || !st.Idle || st.Retiring || st.Faulty || st.Lost || m.rec.Part != from.part ||
						now.Sub(c.leader.moved[name]) < 3*time.Second || !demandAllows(d, m.rec.Type, m.rec.Zone, m.rec.Spot) {
						continue
					}
					n := howMany(d, m.typ.CPUs, m.typ.GPUs, m.typ.MemGB)
					if n == 0 || wantsMachine(from, m) {
						continue
					}
					d.Count -= uint32(n)
					c.move(st, m, from, to.part, now)
				}
			}
		}
	}
}

// move asks the owner of an idle machine to hand it to another part.
func (c *Controller) move(st *peer.MachineStatus, m *machine, from *view, to int, now time.Time) {
	c.leader.moved[m.name] = now
	st.Idle = false
	c.log.Info("moving machine", "machine", m.name, "from", from.part, "to", to)
	c.askOwner(from.owner, &peer.FleetRequest{Machine: m.name, ToPart: uint32(to)}, func() {
		c.do(func() { c.leader.settled[to] = time.Now() })
	})
}

// wantsMachine says whether a part has waiting work for a machine of its own.
func wantsMachine(v *view, m *machine) bool {
	for _, d := range v.demands {
		if d.Count > 0 && demandAllows(d, m.rec.Type, m.rec.Zone, m.rec.Spot) && howMany(d, m.typ.CPUs, m.typ.GPUs, m.typ.MemGB) > 0 {
			return true
		}
	}
	return false
}

// askOwner asks a machine's owner for something; then runs if it agreed.
func (c *Controller) askOwner(owner string, fr *peer.FleetRequest, then func()) {
	c.duty.Go(func() {
		reply, err := c.askPeer(owner, fr)
		if err != nil || !reply.Ok {
			c.log.Debug("owner declined", "machine", fr.Machine, "owner", owner, "answer", reply.GetReason(), "reason", err)
			return
		}
		if then != nil {
			then()
		}
	})
}

func (c *Controller) askPeer(owner string, fr *peer.FleetRequest) (*peer.FleetReply, error) {
	if owner == c.set.Label {
		return c.fleetRequest(fr), nil
	}
	ps := c.peers[owner]
	if ps == nil {
		return nil, fmt.Errorf("no such controller %q", owner)
	}
	body, err := proto.Marshal(fr)
	if err != nil {
		return nil, fmt.Errorf("fleet request: %w", err)
	}
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	resp, err := c.net.Do(ctx, ps.addr, "POST", fleetPath, body)
	if err != nil {
		return nil, fmt.Errorf("fleet request: %w", err)
	}
	reply := new(peer.FleetReply)
	if resp.Status != 200 {
		return nil, fmt.Errorf("fleet request: %w: status %d", transport.ErrClosed, resp.Status)
	}
	return reply, proto.Unmarshal(resp.Body, reply)
}

// idleLimit is how long a machine may stand idle; an ordinary one is too dear
// to wait as long as a spot one.
func (c *Controller) idleLimit(m *machine) float64 {
	if m.rec.Spot {
		return c.op.IdleReturn.Seconds()
	}
	return c.op.IdleReturn.Seconds() / 3
}

// returnIdle returns machines that have stood idle, unless their first minute,
// which is paid anyway, is not over.
func (c *Controller) returnIdle(views []*view, now time.Time) {
	for _, v := range views {
		if v == nil {
			continue
		}
		for name, st := range v.states {
			m := c.machines[name]
			if m == nil || m.typ == nil || !st.Idle || st.IdleS < c.idleLimit(m) || now.Sub(m.recordedAt) < 55*time.Second ||
				now.Sub(c.leader.moved[name]) < 3*time.Second || now.Sub(c.leader.deleting[name]) < 5*time.Second {
				continue
			}
			needed := false
			for _, w := range views {
				needed = needed || w == nil || wantsMachine(w, m)
			}
			if needed {
				continue
			}
			c.leader.deleting[name] = now
			c.log.Info("returning machine", "machine", name, "type", m.rec.Type, "idle_s", st.IdleS)
			c.askOwner(v.owner, &peer.FleetRequest{Machine: name, Retire: true}, func() { c.deleteMachines([]string{name}) })
		}
	}
}
