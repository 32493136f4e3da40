package coordination

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/scaling"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// Leadership is what the leader keeps in memory. All of it may be lost: names
// of rentals never repeat, and machines without a record are adopted.
type Leadership struct {
	Held         bool
	Holder       string
	FormerHolder string // who led before, while nobody does
	Revision     uint64
	VacantSince  time.Time

	// Wakeup brings the next round forward.
	Wakeup          chan struct{}
	Requests        int
	PendingScaleOut map[string]*ScaleOutRequest
	RefusedCapacity map[binpack.MachineKind]time.Time // capacity that was refused, until when
	Deleting        map[string]time.Time
	Adopting        map[string]time.Time
	MovedAt         map[string]time.Time
	// AssignedAt is when a part was last given a machine: what its owner said
	// before it noticed must not bring another one.
	AssignedAt map[int]time.Time
	Listed     map[string]protocol.ListedMachine
}

// ScaleOutRequest is a request under way.
type ScaleOutRequest struct {
	Kind      binpack.MachineKind
	Partition int
	Count     int
}

func (l *Leadership) Reset() {
	l.PendingScaleOut, l.RefusedCapacity = map[string]*ScaleOutRequest{}, map[binpack.MachineKind]time.Time{}
	l.Deleting, l.Adopting = map[string]time.Time{}, map[string]time.Time{}
	l.MovedAt, l.AssignedAt = map[string]time.Time{}, map[int]time.Time{}
	l.Listed = map[string]protocol.ListedMachine{}
}

// ApplyLeadership follows who leads.
func (c *Controller) ApplyLeadership(e protocol.Event, now time.Time) {
	l := &c.Leadership
	if e.Version < l.Revision || e.Put != "" && e.Version == l.Revision {
		return
	}
	if e.Delete != "" {
		if l.Revision != 0 || l.VacantSince.IsZero() {
			l.VacantSince = now
		}
		l.FormerHolder, l.Holder, l.Revision = l.Holder, "", 0
		c.DropLeadership("the claim ended")
		eventloop.Signal(c.LeaseWakeup)
		return
	}
	var claim storage.Lease
	if err := storage.Decode(e.Value, &claim); err != nil {
		c.log.Error("bad leader record", "reason", err)
		return
	}
	c.DropLeadership("the claim changed hands")
	l.Holder, l.Revision = claim.Holder, e.Version
	if claim.Holder == c.Settings.Label && claim.Nonce == c.Nonce {
		l.Reset()
		l.Held = true
		c.replicator.ResumeLeadership(c.LastLeaderUpdate, now)
		c.log.Info("leading", "token", l.Revision)
	}
}

func (c *Controller) DropLeadership(reason string) {
	if c.Leadership.Held {
		c.log.Info("no longer leading", "reason", reason)
		c.Leadership.Held = false
	}
}

// errCloudCircuitOpen: the cloud's interface has not answered for a while.
var errCloudCircuitOpen = errors.New("the cloud's interface does not answer; it is left alone for a moment")

// callCloud sends one request to the cloud within its budget.
func (c *Controller) callCloud(method, target string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(c.loop.Context(), 5*time.Second)
	defer cancel()
	if c.cloudCircuit.Open(time.Now()) {
		return 0, errCloudCircuitOpen
	}
	if err := c.cloudBudget.Wait(ctx); err != nil {
		return 0, fmt.Errorf("cloud budget: %w", err)
	}
	var body []byte
	if in != nil {
		body = protocol.Encode(in)
	}
	if !c.cloudCircuit.Allow(time.Now()) {
		return 0, errCloudCircuitOpen
	}
	resp, err := c.network.Do(ctx, c.Settings.Services.Cloud, method, target, body)
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

// CatalogLoop learns the machine types. Only the leader asks again and again,
// for the prices; the others ask until they know.
func (c *Controller) CatalogLoop() {
	pause := time.Duration(0)
	for c.loop.Sleep(pause) {
		pause = time.Second
		want, leading := false, false
		c.loop.Do(func() {
			leading = c.Leadership.Held
			want = len(c.Catalog) == 0 || leading
		})
		if !want {
			continue
		}
		var cat protocol.Catalog
		status, err := c.callCloud("GET", "/catalog", nil, &cat)
		if err != nil || status != 200 || len(cat.Types) == 0 {
			c.log.Debug("no catalog", "status", status, "reason", err)
			continue
		}
		c.loop.Do(func() { c.SetCatalog(cat.Types) })
		if leading {
			c.recordCatalog(cat)
			pause = 20 * time.Second
		}
	}
}

// recordCatalog records the machine types for controllers that start while the
// cloud's interface is down.
func (c *Controller) recordCatalog(cat protocol.Catalog) {
	_, err := c.store.Get(c.loop.Context(), storage.CatalogKey)
	if !errors.Is(err, storage.ErrNotFound) {
		return
	}
	value := storage.Encode(cat)
	if protocol.JSONSize(value) > c.store.ValueBytes() {
		return // the record only helps while the cloud is down
	}
	_, err = c.store.Commit(c.loop.Context(), &protocol.Transaction{
		If:   []protocol.Condition{{Key: storage.CatalogKey, Version: 0}},
		Then: []protocol.Change{{Put: storage.CatalogKey, Value: value}},
	})
	if err != nil {
		c.log.Debug("catalog not recorded", "reason", err)
	}
}

// LeaderLoop lists the cloud's machines and steers the fleet while leading.
func (c *Controller) LeaderLoop() {
	lastList := time.Time{}
	listEvery := max(2*time.Second, settings.Seconds(c.Settings.Params.Cloud.ListLagS/3))
	for {
		select {
		case <-time.After(c.Operator.MovePeriod):
		case <-c.Leadership.Wakeup:
			// What was refused is sought elsewhere at once.
		case <-c.loop.Context().Done():
			return
		}
		leading := false
		c.loop.Do(func() { leading = c.Leadership.Held })
		if !leading {
			continue
		}
		if time.Since(lastList) > listEvery {
			lastList = time.Now()
			c.loop.Go(c.listMachines)
		}
		c.loop.Do(func() { c.reconcileFleet(time.Now()) })
	}
}

func (c *Controller) listMachines() {
	listed := map[string]protocol.ListedMachine{}
	after := ""
	for {
		var page protocol.MachineList
		status, err := c.callCloud("GET", "/machines?after="+after+"&page=500", nil, &page)
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
	c.loop.Do(func() {
		c.Leadership.Listed = listed
		for name, lm := range listed {
			if m := c.Machines[name]; m != nil && m.Record.Addr == "" {
				m.Record.Addr = lm.Addr
			}
		}
	})
}

// assignmentLag is how long a new machine's record takes to show in what its
// owner says.
const assignmentLag = 300 * time.Millisecond

// reconcileFleet is one round of the leader: it gathers what is known, has the fleet's room
// decide, and does what that says.
func (c *Controller) reconcileFleet(now time.Time) {
	l := &c.Leadership
	if !l.Held || len(c.Catalog) == 0 || now.Sub(c.LeaseRenewedAt) > c.Operator.ClaimTTL {
		return
	}
	strays := c.unrecordedMachines(now)
	plan := scaling.Decide(c.scalingView(strays, now))
	for _, a := range plan.Adopt {
		rec := strays[a.Name]
		rec.Partition = a.Partition
		l.Adopting[a.Name] = now
		c.log.Info("machine adopted", "machine", a.Name, "type", rec.Type, "zone", rec.Zone, "part", rec.Partition)
		c.loop.Go(func() { c.recordMachines([]string{a.Name}, rec) })
	}
	for _, name := range plan.AdoptLater {
		l.Adopting[name] = now.Add(-3 * time.Second)
	}
	if len(plan.Terminate) > 0 {
		var names []string
		for _, d := range plan.Terminate {
			l.Deleting[d.Name] = now
			names = append(names, d.Name)
			c.log.Info("giving machine up", "machine", d.Name, "reason", d.Reason)
		}
		c.loop.Go(func() { c.deleteMachines(names) })
	}
	for _, m := range plan.Moves {
		l.MovedAt[m.Name] = now
		c.log.Info("moving machine", "machine", m.Name, "from", m.From, "to", m.To)
		c.askPartitionLeader(c.Partitions[m.From].Leader, &peer.FleetRequest{Machine: m.Name, ToPart: uint32(m.To)}, func() {
			c.loop.Do(func() { c.Leadership.AssignedAt[m.To] = time.Now() })
		})
	}
	for _, r := range plan.ScaleOuts {
		c.startScaleOut(r)
	}
	for _, name := range plan.ScaleIns {
		l.Deleting[name] = now
		m := c.Machines[name]
		c.log.Info("returning machine", "machine", name, "type", m.Record.Type, "part", m.Record.Partition)
		c.askPartitionLeader(c.Partitions[m.Record.Partition].Leader, &peer.FleetRequest{Machine: name, Retire: true}, func() { c.deleteMachines([]string{name}) })
	}
}

// scalingView is what the leader's decisions rest on.
func (c *Controller) scalingView(strays map[string]storage.Machine, now time.Time) scaling.View {
	l := &c.Leadership
	// An ordinary machine is too dear to wait as long as a spot one.
	v := scaling.View{Now: now, Partitions: make([]scaling.Partition, len(c.Partitions)), Machines: make([]scaling.Machine, 0, len(c.Machines)), Catalog: c.Catalog,
		Scarcity: c.Scarcity(now), RefusedCapacity: l.RefusedCapacity, ScalingOut: map[int]bool{}, IdleSpot: c.Operator.IdleReturn, IdleOrdinary: c.Operator.IdleReturn / 3}
	for _, r := range l.PendingScaleOut {
		v.ScalingOut[r.Partition] = true
	}
	for _, name := range slices.Sorted(maps.Keys(strays)) {
		v.Unrecorded = append(v.Unrecorded, scaling.Unrecorded{Name: name, Kind: MachineKindOf(strays[name]), Tried: l.Adopting[name]})
	}
	states := map[string]*peer.MachineStatus{} // as the owner of the machine's part tells
	take := func(owner string, sum *peer.Summary, heard time.Time) {
		for _, ps := range sum.Parts {
			i := int(ps.Part)
			if i >= len(v.Partitions) || c.Partitions[i].Leader != owner {
				continue
			}
			v.Partitions[i].Known = true
			for _, st := range ps.Machines {
				if m := c.Machines[st.Name]; m != nil && m.Record.Partition == i {
					states[st.Name] = st
				}
			}
			if heard.Sub(l.AssignedAt[i]) >= assignmentLag {
				v.Partitions[i].Demands = scalingDemands(ps.Demands)
			}
		}
	}
	take(c.Settings.Label, &peer.Summary{Parts: c.PartitionSummaries(now)}, now)
	for label, ps := range c.Peers {
		if ps.Alive(now) {
			take(label, ps.Summary, ps.HeardAt)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Machines)) {
		m := c.Machines[name]
		f := scaling.Machine{Name: name, Partition: m.Record.Partition, Kind: MachineKindOf(m.Record), Type: m.Type, Serving: !m.Lost && !m.Quarantined,
			Failed: l.Listed[name].State == protocol.MachineFailed || c.IsDeleted(name), Recorded: m.RecordedAt, Moved: l.MovedAt[name], DeletingSince: l.Deleting[name]}
		if st := states[name]; st != nil {
			f.Idle, f.Lost, f.Quarantined, f.NeverUp, f.Retiring, f.IdleS = st.Idle, st.Lost, st.Faulty, st.NeverUp, st.Retiring, st.IdleS
		}
		v.Machines = append(v.Machines, f)
	}
	return v
}

// IsDeleted says whether a machine is known to be gone though it is on record: the write of
// its record went unanswered and was applied after the record's end (44).
func (c *Controller) IsDeleted(name string) bool {
	_, gone := c.DeletedMachines[name]
	return gone
}

func MachineKindOf(rec storage.Machine) binpack.MachineKind {
	return binpack.MachineKind{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
}

func scalingDemands(told []*peer.Demand) []scaling.Demand {
	out := make([]scaling.Demand, len(told))
	for i, d := range told {
		out[i] = scaling.Demand{Constraints: binpack.Constraints{Types: d.Types, Zone: d.Zone, Spot: d.Spot}, Resources: binpack.Resources{CPUs: d.Cpus, GPUs: d.Gpus, MemGB: d.MemGb},
			Count: int(d.Count), EstimateS: d.EstimateS, SlackS: d.SlackS, WaitedS: d.WaitedS}
	}
	return out
}

// unrecordedMachines are machines that turn up without a record: those up at the start, and
// those whose rental was answered to nobody.
func (c *Controller) unrecordedMachines(now time.Time) map[string]storage.Machine {
	strays := map[string]storage.Machine{}
	take := func(u *peer.UnknownMachine) {
		strays[u.Name] = storage.Machine{Addr: u.Addr, Type: u.Type, Zone: u.Zone, Spot: u.Spot}
	}
	for _, u := range c.UnregisteredMachines {
		take(u)
	}
	for _, ps := range c.Peers {
		if ps.Alive(now) {
			for _, u := range ps.Summary.Unknown {
				take(u)
			}
		}
	}
	late := 4 + 2*c.Settings.Params.Cloud.ListLagS
	for name, lm := range c.Leadership.Listed {
		if lm.State != protocol.MachineFailed && lm.AgeS > late && now.Sub(c.StartedAt) > 5*time.Second {
			strays[name] = storage.Machine{Addr: lm.Addr, Type: lm.Type, Zone: lm.Zone, Spot: lm.Spot}
		}
	}
	maps.DeleteFunc(strays, func(name string, _ storage.Machine) bool {
		_, deleted := c.DeletedMachines[name]
		return deleted || c.Machines[name] != nil
	})
	return strays
}

// recordMachines writes the assignment of new machines.
func (c *Controller) recordMachines(names []string, rec storage.Machine) {
	tries := c.loop.Tries("records", recordBackoff)
	for len(names) > 0 {
		var group []string
		for {
			group = names[:min(c.store.TxnOps(), len(names))]
			version := uint64(0)
			c.loop.Do(func() {
				if c.Leadership.Held {
					version = c.Leadership.Revision
				}
			})
			if version == 0 {
				return // the next leader adopts them
			}
			txn := &protocol.Transaction{If: []protocol.Condition{{Key: storage.LeadershipKey, Version: version}}}
			for _, name := range group {
				key := storage.MachineKey(name)
				txn.If = append(txn.If, protocol.Condition{Key: key, Version: 0})
				txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.Encode(rec)})
			}
			ctx, cancel := context.WithTimeout(c.loop.Context(), 4*time.Second)
			rev, err := c.store.Commit(ctx, txn)
			cancel()
			if err == nil {
				c.loop.Do(func() {
					for _, name := range group {
						c.MachineRecorded(name, rec, rev, time.Now())
					}
				})
				break
			}
			var conflict *storage.Conflict
			if errors.As(err, &conflict) {
				return // on record already, or no longer leading: the watch tells
			}
			c.log.Info("machines not recorded yet", "machines", group, "reason", err)
			if !c.loop.Sleep(tries.Failed()) {
				return
			}
		}
		names = names[len(group):]
	}
}

// deleteMachines deletes machines and then their records; the record goes only
// after the cloud's answer, since its end proves all attempts over.
func (c *Controller) deleteMachines(names []string) {
	status, err := c.callCloud("POST", "/machines/delete", protocol.MachineNames{Machines: names}, nil)
	if err != nil || status != 200 {
		c.log.Info("machines not deleted", "machines", names, "status", status, "reason", err)
		return
	}
	for _, name := range names {
		var txn *protocol.Transaction
		c.loop.Do(func() {
			if m := c.Machines[name]; m != nil && c.Leadership.Held {
				key := storage.MachineKey(name)
				txn = &protocol.Transaction{
					If:   []protocol.Condition{{Key: storage.LeadershipKey, Version: c.Leadership.Revision}, {Key: key, Version: m.Revision}},
					Then: []protocol.Change{{Delete: key}}}
			}
		})
		if txn == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(c.loop.Context(), 4*time.Second)
		_, err := c.store.Commit(ctx, txn)
		cancel()
		if err != nil {
			c.log.Info("record of a deleted machine stays for now", "machine", name, "reason", err)
			continue
		}
		c.loop.Do(func() { c.MachineDeleted(name, time.Now()) })
	}
}

// askPartitionLeader asks a machine's owner for something; then runs if it agreed.
func (c *Controller) askPartitionLeader(owner string, fr *peer.FleetRequest, then func()) {
	c.loop.Go(func() {
		reply, err := c.sendMachineRequest(owner, fr)
		if err != nil || !reply.Ok {
			c.log.Debug("owner declined", "machine", fr.Machine, "owner", owner, "answer", reply.GetReason(), "reason", err)
			return
		}
		if then != nil {
			then()
		}
	})
}

func (c *Controller) sendMachineRequest(owner string, fr *peer.FleetRequest) (*peer.FleetReply, error) {
	if owner == c.Settings.Label {
		return c.HandleMachineRequest(fr), nil
	}
	ps := c.Peers[owner]
	if ps == nil {
		return nil, fmt.Errorf("no such controller %q", owner)
	}
	reply := new(peer.FleetReply)
	return reply, callPeer(c.loop.Context(), c.network, 3*time.Second, ps.Addr, MachineRequestPath, fr, reply)
}
