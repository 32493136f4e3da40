// Package autoscaler scales the fleet out and in, moves idle machines between partitions and
// terminates unhealthy ones, while this controller is the cluster's leader. Decisions are made
// by package scaling, from a view that is gathered here. Everything it keeps in memory may be
// lost: request names never repeat, and machines without a record are adopted.
package autoscaler

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/scaling"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Autoscaler rents, moves and returns machines while this controller is the cluster's
// leader.
type Autoscaler struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester
	store   *storage.Store
	log     *slog.Logger
	metrics *telemetry.Metrics

	agents    Agents
	cloud     Cloud
	peering   Peering
	scheduler Scheduler
}

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger) *Autoscaler {
	return &Autoscaler{State: state, loop: loop, network: network, store: store, log: log}
}

// Connect gives it its collaborators, before the loop starts.
func (as *Autoscaler) Connect(agents Agents, cloud Cloud, peering Peering, scheduler Scheduler) {
	as.agents, as.cloud, as.peering, as.scheduler = agents, cloud, peering, scheduler
}

// Observe makes it measure itself, before the loop starts.
func (as *Autoscaler) Observe(m *telemetry.Metrics) { as.metrics = m }

// ApplyLeadership follows who leads.
func (as *Autoscaler) ApplyLeadership(e protocol.Event, now time.Time) {
	l := &as.Leadership
	if e.Version < l.Revision || e.Put != "" && e.Version == l.Revision {
		return
	}
	if e.Delete != "" {
		if l.Revision != 0 || l.VacantSince.IsZero() {
			l.VacantSince = now
		}
		l.FormerHolder, l.Holder, l.Revision = l.Holder, "", 0
		as.DropLeadership("the claim ended")
		eventloop.Signal(as.LeaseWakeup)
		return
	}
	var claim storage.Lease
	if err := storage.Decode(e.Value, &claim); err != nil {
		as.log.Error("bad leader record", "reason", err)
		return
	}
	as.DropLeadership("the claim changed hands")
	l.Holder, l.Revision = claim.Holder, e.Version
	if claim.Holder == as.Settings.Label && claim.Nonce == as.Nonce {
		l.Reset()
		l.Held = true
		as.ResumeLeadership(as.LastLeaderUpdate, now)
		as.log.Info("leading", "token", l.Revision)
	}
}

func (as *Autoscaler) DropLeadership(reason string) {
	if as.Leadership.Held {
		as.log.Info("no longer leading", "reason", reason)
		as.Leadership.Held = false
	}
}

// CatalogLoop learns the machine types. Only the leader asks again and again,
// for the prices; the others ask until they know.
func (as *Autoscaler) CatalogLoop() {
	pause := time.Duration(0)
	for as.loop.Sleep(pause) {
		pause = time.Second
		want, leading := false, false
		as.loop.Do(func() {
			leading = as.Leadership.Held
			want = len(as.Catalog) == 0 || leading
		})
		if !want {
			continue
		}
		var cat protocol.Catalog
		status, err := as.cloud.Call("GET", "/catalog", nil, &cat)
		if err != nil || status != 200 || len(cat.Types) == 0 {
			as.log.Debug("no catalog", "status", status, "reason", err)
			continue
		}
		as.loop.Do(func() { as.SetCatalog(cat.Types) })
		if leading {
			as.recordCatalog(cat)
			pause = 20 * time.Second
		}
	}
}

// recordCatalog records the machine types for controllers that start while the
// cloud's interface is down.
func (as *Autoscaler) recordCatalog(cat protocol.Catalog) {
	_, err := as.store.Get(as.loop.Context(), storage.CatalogKey)
	if !errors.Is(err, storage.ErrNotFound) {
		return
	}
	value := storage.Encode(cat)
	if protocol.JSONSize(value) > as.store.ValueBytes() {
		return // the record only helps while the cloud is down
	}
	_, err = as.store.Commit(as.loop.Context(), &protocol.Transaction{
		If:   []protocol.Condition{{Key: storage.CatalogKey, Version: 0}},
		Then: []protocol.Change{{Put: storage.CatalogKey, Value: value}},
	})
	if err != nil {
		as.log.Debug("catalog not recorded", "reason", err)
	}
}

// LeaderLoop lists the cloud's machines and steers the fleet while leading.
func (as *Autoscaler) LeaderLoop() {
	lastList := time.Time{}
	listEvery := max(2*time.Second, settings.Seconds(as.Settings.Params.Cloud.ListLagS/3))
	for {
		select {
		case <-time.After(as.Operator.MovePeriod):
		case <-as.Leadership.Wakeup:
			// What was refused is sought elsewhere at once.
		case <-as.loop.Context().Done():
			return
		}
		leading := false
		as.loop.Do(func() { leading = as.Leadership.Held })
		if !leading {
			continue
		}
		if time.Since(lastList) > listEvery {
			lastList = time.Now()
			as.loop.Go(as.listMachines)
		}
		as.loop.Do(func() { as.ReconcileFleet(time.Now()) })
	}
}

func (as *Autoscaler) listMachines() {
	listed := map[string]protocol.ListedMachine{}
	after := ""
	for {
		var page protocol.MachineList
		status, err := as.cloud.Call("GET", "/machines?after="+after+"&page=500", nil, &page)
		if err != nil || status != 200 {
			as.log.Debug("machines not listed", "status", status, "reason", err)
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
	as.loop.Do(func() {
		as.Leadership.Listed = listed
		for name, lm := range listed {
			if m := as.Machines[name]; m != nil && m.Record.Addr == "" {
				m.Record.Addr = lm.Addr
			}
		}
	})
}

// assignmentLag is how long a new machine's record takes to show in what its
// owner says.
const assignmentLag = 300 * time.Millisecond

// ReconcileFleet is one round of the leader: it gathers what is known, has the fleet's room
// decide, and does what that says.
func (as *Autoscaler) ReconcileFleet(now time.Time) {
	l := &as.Leadership
	if !l.Held || len(as.Catalog) == 0 || now.Sub(as.LeaseRenewedAt) > as.Operator.LeaseTTL {
		return
	}
	strays := as.unrecordedMachines(now)
	plan := scaling.Decide(as.ScalingView(strays, now))
	for _, a := range plan.Adopt {
		rec := strays[a.Name]
		rec.Partition = a.Partition
		l.AdoptingSince[a.Name] = now
		as.log.Info("machine adopted", "machine", a.Name, "type", rec.Type, "zone", rec.Zone, "part", rec.Partition)
		as.loop.Go(func() { as.recordMachines([]string{a.Name}, rec) })
	}
	for _, name := range plan.AdoptLater {
		l.AdoptingSince[name] = now.Add(-3 * time.Second)
	}
	if len(plan.Terminate) > 0 {
		var names []string
		for _, d := range plan.Terminate {
			l.DeletingSince[d.Name] = now
			names = append(names, d.Name)
			as.log.Info("giving machine up", "machine", d.Name, "reason", d.Reason)
		}
		as.loop.Go(func() { as.deleteMachines(names) })
	}
	for _, m := range plan.Moves {
		l.MovedAt[m.Name] = now
		as.log.Info("moving machine", "machine", m.Name, "from", m.From, "to", m.To)
		as.askPartitionLeader(as.Partitions[m.From].Leader, &peer.MachineRequest{Machine: m.Name, ToPartition: uint32(m.To)}, func() {
			as.loop.Do(func() { as.Leadership.AssignedAt[m.To] = time.Now() })
		})
	}
	for _, r := range plan.ScaleOuts {
		as.startScaleOut(r)
	}
	for _, name := range plan.ScaleIns {
		l.DeletingSince[name] = now
		m := as.Machines[name]
		as.log.Info("returning machine", "machine", name, "type", m.Record.Type, "part", m.Record.Partition)
		as.askPartitionLeader(as.Partitions[m.Record.Partition].Leader, &peer.MachineRequest{Machine: name, Retire: true}, func() { as.deleteMachines([]string{name}) })
	}
}

// ScalingView is what the leader's decisions rest on.
func (as *Autoscaler) ScalingView(strays map[string]storage.Machine, now time.Time) scaling.View {
	l := &as.Leadership
	// An ordinary machine is too dear to wait as long as a spot one.
	v := scaling.View{Now: now, Partitions: make([]scaling.Partition, len(as.Partitions)), Machines: make([]scaling.Machine, 0, len(as.Machines)), Catalog: as.Catalog,
		Scarcity: as.scheduler.Scarcity(now), RefusedCapacity: l.RefusedCapacity, ScalingOut: map[int]bool{}, IdleSpot: as.Operator.IdleReturn, IdleOrdinary: as.Operator.IdleReturn / 3}
	for _, r := range l.PendingScaleOut {
		v.ScalingOut[r.Partition] = true
	}
	for _, name := range slices.Sorted(maps.Keys(strays)) {
		v.Unrecorded = append(v.Unrecorded, scaling.Unrecorded{Name: name, Kind: cluster.MachineKindOf(strays[name]), Tried: l.AdoptingSince[name]})
	}
	states := map[string]*peer.MachineStatus{} // as the owner of the machine's part tells
	take := func(owner string, sum *peer.Summary, heard time.Time) {
		for _, ps := range sum.Partitions {
			i := int(ps.Partition)
			if i >= len(v.Partitions) || as.Partitions[i].Leader != owner {
				continue
			}
			v.Partitions[i].Known = true
			for _, st := range ps.Machines {
				if m := as.Machines[st.Name]; m != nil && m.Record.Partition == i {
					states[st.Name] = st
				}
			}
			if heard.Sub(l.AssignedAt[i]) >= assignmentLag {
				v.Partitions[i].Demands = scalingDemands(ps.Demands)
			}
		}
	}
	take(as.Settings.Label, &peer.Summary{Partitions: as.peering.PartitionSummaries(now)}, now)
	for label, ps := range as.Peers {
		if ps.Alive(now) {
			take(label, ps.Summary, ps.LastHeardAt)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(as.Machines)) {
		m := as.Machines[name]
		f := scaling.Machine{Name: name, Partition: m.Record.Partition, Kind: cluster.MachineKindOf(m.Record), Type: m.Type, Serving: !m.Lost && !m.Quarantined,
			Failed: l.Listed[name].State == protocol.MachineFailed || as.IsDeleted(name), Recorded: m.RecordedAt, Moved: l.MovedAt[name], DeletingSince: l.DeletingSince[name]}
		if st := states[name]; st != nil {
			f.Idle, f.Lost, f.Quarantined, f.NeverUp, f.Retiring, f.IdleS = st.Idle, st.Lost, st.Quarantined, st.NeverUp, st.Retiring, st.IdleS
		}
		v.Machines = append(v.Machines, f)
	}
	return v
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
func (as *Autoscaler) unrecordedMachines(now time.Time) map[string]storage.Machine {
	strays := map[string]storage.Machine{}
	take := func(u *peer.UnregisteredMachine) {
		strays[u.Name] = storage.Machine{Addr: u.Addr, Type: u.Type, Zone: u.Zone, Spot: u.Spot}
	}
	for _, u := range as.UnregisteredMachines {
		take(u)
	}
	for _, ps := range as.Peers {
		if ps.Alive(now) {
			for _, u := range ps.Summary.Unregistered {
				take(u)
			}
		}
	}
	late := 4 + 2*as.Settings.Params.Cloud.ListLagS
	for name, lm := range as.Leadership.Listed {
		if lm.State != protocol.MachineFailed && lm.AgeS > late && now.Sub(as.StartedAt) > 5*time.Second {
			strays[name] = storage.Machine{Addr: lm.Addr, Type: lm.Type, Zone: lm.Zone, Spot: lm.Spot}
		}
	}
	maps.DeleteFunc(strays, func(name string, _ storage.Machine) bool {
		_, deleted := as.DeletedMachines[name]
		return deleted || as.Machines[name] != nil
	})
	return strays
}

// recordMachines writes the assignment of new machines.
func (as *Autoscaler) recordMachines(names []string, rec storage.Machine) {
	tries := as.loop.Tries("records", recordBackoff)
	for len(names) > 0 {
		var group []string
		for {
			group = names[:min(as.store.TxnOps(), len(names))]
			version := uint64(0)
			as.loop.Do(func() {
				if as.Leadership.Held {
					version = as.Leadership.Revision
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
			ctx, cancel := context.WithTimeout(as.loop.Context(), 4*time.Second)
			rev, err := as.store.Commit(ctx, txn)
			cancel()
			if err == nil {
				as.loop.Do(func() {
					for _, name := range group {
						as.agents.MachineRecorded(name, rec, rev, time.Now())
					}
				})
				break
			}
			var conflict *storage.Conflict
			if errors.As(err, &conflict) {
				return // on record already, or no longer leading: the watch tells
			}
			as.log.Info("machines not recorded yet", "machines", group, "reason", err)
			if !as.loop.Sleep(tries.Failed()) {
				return
			}
		}
		names = names[len(group):]
	}
}

// deleteMachines deletes machines and then their records; the record goes only
// after the cloud's answer, since its end proves all attempts over.
func (as *Autoscaler) deleteMachines(names []string) {
	status, err := as.cloud.Call("POST", "/machines/delete", protocol.MachineNames{Machines: names}, nil)
	if err != nil || status != 200 {
		as.log.Info("machines not deleted", "machines", names, "status", status, "reason", err)
		return
	}
	for _, name := range names {
		var txn *protocol.Transaction
		as.loop.Do(func() {
			if m := as.Machines[name]; m != nil && as.Leadership.Held {
				key := storage.MachineKey(name)
				txn = &protocol.Transaction{
					If:   []protocol.Condition{{Key: storage.LeadershipKey, Version: as.Leadership.Revision}, {Key: key, Version: m.Revision}},
					Then: []protocol.Change{{Delete: key}}}
			}
		})
		if txn == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(as.loop.Context(), 4*time.Second)
		_, err := as.store.Commit(ctx, txn)
		cancel()
		if err != nil {
			as.log.Info("record of a deleted machine stays for now", "machine", name, "reason", err)
			continue
		}
		as.loop.Do(func() { as.agents.MachineDeleted(name, time.Now()) })
	}
}

// askPartitionLeader asks a machine's owner for something; then runs if it agreed.
func (as *Autoscaler) askPartitionLeader(owner string, fr *peer.MachineRequest, then func()) {
	as.loop.Go(func() {
		reply, err := as.sendMachineRequest(owner, fr)
		if err != nil || !reply.Ok {
			as.log.Debug("owner declined", "machine", fr.Machine, "owner", owner, "answer", reply.GetReason(), "reason", err)
			return
		}
		if then != nil {
			then()
		}
	})
}

func (as *Autoscaler) sendMachineRequest(owner string, fr *peer.MachineRequest) (*peer.MachineReply, error) {
	if owner == as.Settings.Label {
		return as.agents.HandleMachineRequest(fr), nil
	}
	ps := as.Peers[owner]
	if ps == nil {
		return nil, fmt.Errorf("no such controller %q", owner)
	}
	reply := new(peer.MachineReply)
	return reply, peerapi.Call(as.loop.Context(), as.network, 3*time.Second, ps.Addr, peerapi.MachineRequestPath, fr, reply)
}
