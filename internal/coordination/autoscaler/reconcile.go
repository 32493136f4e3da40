package autoscaler

import (
	"time"

	"micaspindle/internal/coordination/scaling"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
)

// postponedAdoptionBackdate is subtracted from the recorded time of a postponed adoption, so that
// the next attempt follows sooner than after an adoption that failed.
const postponedAdoptionBackdate = 3 * time.Second

// LeaderLoop periodically lists the cloud's machines and reconciles the fleet while this controller
// is the cluster leader. It returns when the event loop's context ends.
func (a *Autoscaler) LeaderLoop() {
	listedAt := time.Time{}
	listInterval := a.listInterval()
	for {
		select {
		case <-time.After(a.Operator.MovePeriod):
		case <-a.Leadership.Wakeup:
			// The cloud refused a scale-out: request other capacity at once.
		case <-a.loop.Context().Done():
			return
		}
		if _, leading := a.leads(); !leading {
			continue
		}
		if time.Since(listedAt) > listInterval {
			listedAt = time.Now()
			a.loop.Go(a.listMachines)
		}
		a.loop.Do(func() { a.ReconcileFleet(time.Now()) })
	}
}

// ReconcileFleet runs one round of scaling: it gathers the input, calls scaling.Decide and starts
// the actions of the plan. It does nothing if this controller is not the cluster leader, if its
// lease may have expired, or if it has no catalog.
func (a *Autoscaler) ReconcileFleet(now time.Time) {
	if !a.Leadership.Held || len(a.Catalog) == 0 || now.Sub(a.LeaseRenewedAt) > a.Operator.LeaseTTL {
		return
	}
	unrecorded := a.unrecordedMachines(now)
	plan := scaling.Decide(a.ScalingView(unrecorded, now))
	for _, adoption := range plan.Adopt {
		a.adopt(adoption, unrecorded[adoption.Name], now)
	}
	for _, name := range plan.AdoptLater {
		a.Leadership.AdoptionTriedAt[name] = now.Add(-postponedAdoptionBackdate)
	}
	a.terminate(plan.Terminate, now)
	for _, move := range plan.Moves {
		a.move(move, now)
	}
	for _, scaleOut := range plan.ScaleOuts {
		a.startScaleOut(scaleOut)
	}
	for _, name := range plan.ScaleIns {
		a.scaleIn(name, now)
	}
}

// adopt writes a record that assigns an unrecorded machine to a partition.
func (a *Autoscaler) adopt(adoption scaling.Adoption, record storage.Machine, now time.Time) {
	record.Partition = adoption.Partition
	a.Leadership.AdoptionTriedAt[adoption.Name] = now
	a.log.Info("machine adopted", "machine", adoption.Name, "type", record.Type, "zone", record.Zone, "partition", record.Partition)
	a.loop.Go(func() { a.recordMachines([]string{adoption.Name}, record) })
}

// terminate deletes unhealthy machines.
func (a *Autoscaler) terminate(terminations []scaling.Termination, now time.Time) {
	if len(terminations) == 0 {
		return
	}
	names := make([]string, len(terminations))
	for i, termination := range terminations {
		names[i] = termination.Name
		a.Leadership.DeletionRequestedAt[termination.Name] = now
		a.log.Info("machine termination started", "machine", termination.Name, "reason", string(termination.Reason))
	}
	a.loop.Go(func() { a.deleteMachines(names) })
}

// move requests from the leader of a machine's partition that the machine be moved to another
// partition.
func (a *Autoscaler) move(move scaling.Move, now time.Time) {
	a.Leadership.MovedAt[move.Name] = now
	a.log.Info("machine move started", "machine", move.Name, "partition", move.To, "former_partition", move.From)
	request := &peer.MachineRequest{Machine: move.Name, ToPartition: uint32(move.To)}
	a.askPartitionLeader(move.From, request, func() {
		a.loop.Do(func() { a.Leadership.MachineAssignedAt[move.To] = time.Now() })
	})
}

// scaleIn requests from the leader of a machine's partition that the machine be retired, and then
// deletes it.
func (a *Autoscaler) scaleIn(name string, now time.Time) {
	a.Leadership.DeletionRequestedAt[name] = now
	record := a.Machines[name].Record
	a.log.Info("scale-in started", "machine", name, "type", record.Type, "partition", record.Partition)
	request := &peer.MachineRequest{Machine: name, Retire: true}
	a.askPartitionLeader(record.Partition, request, func() { a.deleteMachines([]string{name}) })
}
