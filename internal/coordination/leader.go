package coordination

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/coordination/fleet"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
)

// leaderState is what the leader keeps in memory. All of it may be lost: names
// of rentals never repeat, and machines without a record are adopted.
type leaderState struct {
	mine    bool
	owner   string
	last    string // who led before, while nobody does
	version uint64
	orphan  time.Time

	// kick brings the next round forward.
	kick     chan struct{}
	counter  int
	renting  map[string]*rental
	refused  map[fit.Kind]time.Time // capacity that was refused, until when
	deleting map[string]time.Time
	adopting map[string]time.Time
	moved    map[string]time.Time
	// settled is when a part was last given a machine: what its owner said
	// before it noticed must not bring another one.
	settled map[int]time.Time
	listed  map[string]protocol.ListedMachine
}

// rental is a request under way.
type rental struct {
	kind  fit.Kind
	part  int
	count int
}

func (l *leaderState) init() {
	l.renting, l.refused = map[string]*rental{}, map[fit.Kind]time.Time{}
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
		l.last, l.owner, l.version = l.owner, "", 0
		c.dropLead("the claim ended")
		nudge(c.claimKick)
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
		c.following.leadOn(c.heardLeader, now)
		c.log.Info("leading", "token", l.version)
	}
}

func (c *Controller) dropLead(reason string) {
	if c.leader.mine {
		c.log.Info("no longer leading", "reason", reason)
		c.leader.mine = false
	}
}

// errCloudRests: the cloud's interface has not answered for a while.
var errCloudRests = errors.New("the cloud's interface does not answer; it is left alone for a moment")

// cloud sends one request to the cloud within its budget.
func (c *Controller) cloud(method, target string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
	defer cancel()
	if c.cloudCircuit.Open(time.Now()) {
		return 0, errCloudRests
	}
	if err := c.cloudBudget.Wait(ctx); err != nil {
		return 0, fmt.Errorf("cloud budget: %w", err)
	}
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	if !c.cloudCircuit.Allow(time.Now()) {
		return 0, errCloudRests
	}
	resp, err := c.net.Do(ctx, c.set.Services.Cloud, method, target, body)
	c.cloudCircuit.Done(time.Now(), err == nil)
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

// settleTime is how long a new machine's record takes to show in what its
// owner says.
const settleTime = 300 * time.Millisecond

// steer is one round of the leader: it gathers what is known, has the fleet's room
// decide, and does what that says.
func (c *Controller) steer(now time.Time) {
	l := &c.leader
	if !l.mine || len(c.catalog) == 0 || now.Sub(c.renewed) > c.op.ClaimTTL {
		return
	}
	strays := c.strays(now)
	plan := fleet.Decide(c.view(strays, now))
	for _, a := range plan.Adopt {
		rec := strays[a.Name]
		rec.Part = a.Part
		l.adopting[a.Name] = now
		c.log.Info("machine adopted", "machine", a.Name, "type", rec.Type, "zone", rec.Zone, "part", rec.Part)
		c.duty.Go(func() { c.recordMachines([]string{a.Name}, rec) })
	}
	for _, name := range plan.Later {
		l.adopting[name] = now.Add(-3 * time.Second)
	}
	if len(plan.GiveUp) > 0 {
		var names []string
		for _, d := range plan.GiveUp {
			l.deleting[d.Name] = now
			names = append(names, d.Name)
			c.log.Info("giving machine up", "machine", d.Name, "reason", d.Reason)
		}
		c.duty.Go(func() { c.deleteMachines(names) })
	}
	for _, m := range plan.Moves {
		l.moved[m.Name] = now
		c.log.Info("moving machine", "machine", m.Name, "from", m.From, "to", m.To)
		c.askOwner(c.parts[m.From].owner, &peer.FleetRequest{Machine: m.Name, ToPart: uint32(m.To)}, func() {
			c.do(func() { c.leader.settled[m.To] = time.Now() })
		})
	}
	for _, r := range plan.Rentals {
		c.startRental(r)
	}
	for _, name := range plan.Returns {
		l.deleting[name] = now
		m := c.machines[name]
		c.log.Info("returning machine", "machine", name, "type", m.rec.Type, "part", m.rec.Part)
		c.askOwner(c.parts[m.rec.Part].owner, &peer.FleetRequest{Machine: name, Retire: true}, func() { c.deleteMachines([]string{name}) })
	}
}

// view is what the leader's decisions rest on.
func (c *Controller) view(strays map[string]bookkeeping.Machine, now time.Time) fleet.View {
	l := &c.leader
	// An ordinary machine is too dear to wait as long as a spot one.
	v := fleet.View{Now: now, Parts: make([]fleet.Part, len(c.parts)), Machines: make([]fleet.Machine, 0, len(c.machines)), Catalog: c.catalog,
		Scarce: c.scarcity(now), Refused: l.refused, Renting: map[int]bool{}, IdleSpot: c.op.IdleReturn, IdleOrdinary: c.op.IdleReturn / 3}
	for _, r := range l.renting {
		v.Renting[r.part] = true
	}
	for _, name := range slices.Sorted(maps.Keys(strays)) {
		v.Strays = append(v.Strays, fleet.Stray{Name: name, Kind: kindOf(strays[name]), Tried: l.adopting[name]})
	}
	states := map[string]*peer.MachineStatus{} // as the owner of the machine's part tells
	take := func(owner string, sum *peer.Summary, heard time.Time) {
		for _, ps := range sum.Parts {
			i := int(ps.Part)
			if i >= len(v.Parts) || c.parts[i].owner != owner {
				continue
			}
			v.Parts[i].Known = true
			for _, st := range ps.Machines {
				if m := c.machines[st.Name]; m != nil && m.rec.Part == i {
					states[st.Name] = st
				}
			}
			if heard.Sub(l.settled[i]) >= settleTime {
				v.Parts[i].Demands = demandsOf(ps.Demands)
			}
		}
	}
	take(c.set.Label, &peer.Summary{Parts: c.partSummaries(now)}, now)
	for label, ps := range c.peers {
		if ps.recent(now) {
			take(label, ps.summary, ps.heard)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.machines)) {
		m := c.machines[name]
		f := fleet.Machine{Name: name, Part: m.rec.Part, Kind: kindOf(m.rec), Type: m.typ, Serves: !m.lost && !m.faulty,
			Failed: l.listed[name].State == protocol.MachineFailed || c.deleted(name), Recorded: m.recordedAt, Moved: l.moved[name], Leaving: l.deleting[name]}
		if st := states[name]; st != nil {
			f.Idle, f.Lost, f.Faulty, f.NeverUp, f.Retiring, f.IdleS = st.Idle, st.Lost, st.Faulty, st.NeverUp, st.Retiring, st.IdleS
		}
		v.Machines = append(v.Machines, f)
	}
	return v
}

// deleted says whether a machine is known to be gone though it is on record: the write of
// its record went unanswered and was applied after the record's end (44).
func (c *Controller) deleted(name string) bool {
	_, gone := c.gone[name]
	return gone
}

func kindOf(rec bookkeeping.Machine) fit.Kind {
	return fit.Kind{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
}

func demandsOf(told []*peer.Demand) []fleet.Demand {
	out := make([]fleet.Demand, len(told))
	for i, d := range told {
		out[i] = fleet.Demand{Wish: fit.Wish{Types: d.Types, Zone: d.Zone, Spot: d.Spot}, Need: fit.Amounts{CPUs: d.Cpus, GPUs: d.Gpus, MemGB: d.MemGb},
			Count: int(d.Count), EstimateS: d.EstimateS, SlackS: d.SlackS, WaitedS: d.WaitedS}
	}
	return out
}

// strays are machines that turn up without a record: those up at the start, and
// those whose rental was answered to nobody.
func (c *Controller) strays(now time.Time) map[string]bookkeeping.Machine {
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
	maps.DeleteFunc(strays, func(name string, _ bookkeeping.Machine) bool {
		_, deleted := c.gone[name]
		return deleted || c.machines[name] != nil
	})
	return strays
}

// recordMachines writes the assignment of new machines.
func (c *Controller) recordMachines(names []string, rec bookkeeping.Machine) {
	tries := c.tries("records", recordPause)
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
			if !c.sleep(tries.Failed()) {
				return
			}
		}
		names = names[len(group):]
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
	reply := new(peer.FleetReply)
	return reply, ask(c.ctx, c.net, 3*time.Second, ps.addr, fleetPath, fr, reply)
}
