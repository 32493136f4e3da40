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
	// assignmentLag is the time until a new machine's record is reflected in the summaries of its
	// partition's leader.
	assignmentLag = 300 * time.Millisecond
	// ordinaryIdleDivisor is the ratio of the idle times before scale-in of spot machines and
	// of ordinary machines, which are more expensive.
	ordinaryIdleDivisor = 3
)

// ScalingView returns the input of scaling.Decide. unrecorded are the machines without a record.
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

// addSummary adds a controller's summaries of its partitions, received at the given time, to the
// scaling input: the demands to the partitions in view, and the machines' statuses to statuses.
func (a *Autoscaler) addSummary(view *scaling.View, statuses map[string]*peer.MachineStatus, controller string, partitions []*peer.PartitionSummary, receivedAt time.Time) {
	for _, summary := range partitions {
		index := int(summary.Partition)
		if index >= len(view.Partitions) || a.Partitions[index].Leader != controller {
			continue
		}
		view.Partitions[index].Reporting = true
		for _, status := range summary.Machines {
			if machine := a.Machines[status.Name]; machine != nil && machine.Record.Partition == index {
				statuses[status.Name] = status
			}
		}
		// Demand that was reported before a machine was assigned to the partition must not
		// cause another scale-out.
		if receivedAt.Sub(a.Leadership.MachineAssignedAt[index]) >= assignmentLag {
			view.Partitions[index].Demands = scalingDemands(summary.Demands)
		}
	}
}

// scalingMachine describes a machine that has a record. status is its status from the partition's
// leader, or nil if there is none.
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
