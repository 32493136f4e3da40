package autoscaler

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/scaling"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
)

const (
	// assignmentLag is how long a new machine's record takes to show in the summary of its
	// partition's leader.
	assignmentLag = 300 * time.Millisecond
	// ordinaryIdleDivisor is by how much sooner an idle ordinary machine is scaled in than a
	// spot machine, since it is dearer.
	ordinaryIdleDivisor = 3
)

// ScalingView gathers what the leader's decisions depend on. unrecorded are the machines
// without a record.
func (a *Autoscaler) ScalingView(unrecorded map[string]storage.Machine, now time.Time) scaling.View {
	view := scaling.View{
		Now:             now,
		Partitions:      make([]scaling.Partition, len(a.Partitions)),
		Machines:        make([]scaling.Machine, 0, len(a.Machines)),
		Catalog:         a.Catalog,
		Scarcity:        a.scheduler.Scarcity(now),
		RefusedCapacity: a.Leadership.CapacityRefusedUntil,
		ScalingOut:      map[int]bool{},
		IdleSpot:        a.Operator.IdleReturn,
		IdleOrdinary:    a.Operator.IdleReturn / ordinaryIdleDivisor,
	}
	for _, request := range a.Leadership.PendingScaleOuts {
		view.ScalingOut[request.Partition] = true
	}
	for _, name := range slices.Sorted(maps.Keys(unrecorded)) {
		view.Unrecorded = append(view.Unrecorded, scaling.Unrecorded{
			Name:    name,
			Kind:    cluster.MachineKindOf(unrecorded[name]),
			TriedAt: a.Leadership.AdoptionTriedAt[name],
		})
	}
	statuses := map[string]*peer.MachineStatus{}
	a.addSummary(&view, statuses, a.Settings.Label, a.peering.PartitionSummaries(now), now)
	for label, controller := range a.Peers {
		if controller.Alive(now) {
			a.addSummary(&view, statuses, label, controller.Summary.Partitions, controller.LastSummaryAt)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a.Machines)) {
		view.Machines = append(view.Machines, a.scalingMachine(name, statuses[name]))
	}
	return view
}

// addSummary takes in what a controller, at a moment, said of the partitions that it leads:
// their demands, and the statuses of their machines.
func (a *Autoscaler) addSummary(view *scaling.View, statuses map[string]*peer.MachineStatus, controller string, partitions []*peer.PartitionSummary, heardAt time.Time) {
	for _, summary := range partitions {
		index := int(summary.Partition)
		if index >= len(view.Partitions) || a.Partitions[index].Leader != controller {
			continue
		}
		view.Partitions[index].Known = true
		for _, status := range summary.Machines {
			if machine := a.Machines[status.Name]; machine != nil && machine.Record.Partition == index {
				statuses[status.Name] = status
			}
		}
		// Demands from before a machine was assigned must not bring another one.
		if heardAt.Sub(a.Leadership.MachineAssignedAt[index]) >= assignmentLag {
			view.Partitions[index].Demands = scalingDemands(summary.Demands)
		}
	}
}

// scalingMachine describes a machine on record. status is what its partition's leader said of
// it, nil: nothing.
func (a *Autoscaler) scalingMachine(name string, status *peer.MachineStatus) scaling.Machine {
	leadership, machine := &a.Leadership, a.Machines[name]
	view := scaling.Machine{
		Name:          name,
		Partition:     machine.Record.Partition,
		Kind:          cluster.MachineKindOf(machine.Record),
		Type:          machine.Type,
		Serving:       !machine.Lost && !machine.Quarantined,
		Failed:        leadership.ListedMachines[name].State == protocol.MachineFailed || a.IsDeleted(name),
		RecordedAt:    machine.RecordedAt,
		MovedAt:       leadership.MovedAt[name],
		DeletingSince: leadership.DeletionRequestedAt[name],
	}
	if status != nil {
		view.Idle, view.IdleS = status.Idle, status.IdleS
		view.Lost, view.Quarantined = status.Lost, status.Quarantined
		view.NeverUp, view.Retiring = status.NeverUp, status.Retiring
	}
	return view
}

func scalingDemands(received []*peer.Demand) []scaling.Demand {
	demands := make([]scaling.Demand, len(received))
	for i, demand := range received {
		demands[i] = scaling.Demand{
			Constraints: binpack.Constraints{Types: demand.Types, Zone: demand.Zone, Spot: demand.Spot},
			Resources:   binpack.Resources{CPUs: demand.Cpus, GPUs: demand.Gpus, MemGB: demand.MemGb},
			Count:       int(demand.Count),
			EstimateS:   demand.EstimateS,
			SlackS:      demand.SlackS,
			WaitedS:     demand.WaitedS,
		}
	}
	return demands
}
