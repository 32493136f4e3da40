package scaling

import (
	"math"
	"slices"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
)

// scaleOut plans requests to the cloud for the demands that moved machines don't meet. Partitions
// with a scale-out in progress are skipped, since their demands don't account for its machines yet.
func (r *round) scaleOut() {
	for partition := range r.Partitions {
		if r.Partitions[partition].Reporting && !r.ScalingOut[partition] {
			r.scaleOutPartition(partition)
		}
	}
}

// scaleOutPartition plans scale-outs for the demands of a partition, in queue order.
func (r *round) scaleOutPartition(partition int) {
	fleet := r.fleet(partition)
	requested := map[binpack.MachineKind]int{}
	var kinds []binpack.MachineKind // keys of requested, in order of insertion
	ahead := 0.0                    // number of tasks of earlier demands
	demands := r.demands[partition]
	for i := range demands {
		demand := &demands[i]
		count := float64(demand.Count)
		for demand.Count > 0 {
			waitS := demand.EstimateS * (ahead + float64(demand.Count)) / max(1, r.fleetSlots(demand, fleet))
			kind, found := r.cheapestKind(demand, waitS)
			if !found {
				break
			}
			if requested[kind] == 0 {
				kinds = append(kinds, kind)
			}
			requested[kind]++
			fleet[kind]++
			r.allocate(kind, demands)
		}
		ahead += count
	}
	for _, kind := range kinds {
		r.plan.ScaleOuts = append(r.plan.ScaleOuts, ScaleOut{Kind: kind, Partition: partition, Count: requested[kind]})
	}
}

// fleet counts the serving machines of a partition by kind.
func (r *round) fleet(partition int) map[binpack.MachineKind]int {
	counts := map[binpack.MachineKind]int{}
	for i := range r.Machines {
		machine := &r.Machines[i]
		if machine.Partition == partition && machine.Type != nil && machine.Serving {
			counts[machine.Kind]++
		}
	}
	return counts
}

// machineType returns a machine type of the catalog, or nil if there is none of that name.
func (r *round) machineType(name string) *protocol.MachineType {
	for i := range r.Catalog {
		if r.Catalog[i].Name == name {
			return &r.Catalog[i]
		}
	}
	return nil
}

// fleetSlots returns the number of a demand's tasks that a fleet can run at once. Contested machine
// types are left to the jobs that fit fewer types.
func (r *round) fleetSlots(demand *Demand, fleet map[binpack.MachineKind]int) float64 {
	slots, typeCount := 0, r.eligibleTypes(demand)
	for kind, count := range fleet {
		machineType := r.machineType(kind.Type)
		if machineType != nil && !r.Scarcity.Contested(kind.Type, typeCount) && demand.Constraints.Allows(kind) {
			slots += count * binpack.Size(machineType).Slots(demand.Resources, binpack.UnboundedSlots)
		}
	}
	return float64(slots)
}

// eligibleTypes returns the number of machine types that a demand's tasks fit.
func (r *round) eligibleTypes(demand *Demand) int {
	count := 0
	for i := range r.Catalog {
		if binpack.FitsType(demand.Constraints, demand.Resources, &r.Catalog[i]) {
			count++
		}
	}
	return count
}

// offer is a machine kind that can be requested for a demand.
type offer struct {
	kind binpack.MachineKind
	// taskPrice is the machine's price divided by the number of the demand's tasks that fit on
	// it.
	taskPrice float64
	// contested is set if jobs that fit fewer machine types need this type.
	contested bool
}

// betterThan reports whether an offer is preferred to another: a type that is not contested is
// preferred to one that is, then the lower price per task to the higher.
func (o offer) betterThan(other offer) bool {
	if o.contested != other.contested {
		return !o.contested
	}
	return o.taskPrice < other.taskPrice-binpack.Epsilon
}

// cheapestKind returns the best offer for a demand: the machine kind with the lowest price per task,
// where contested types come last and the first kind wins a tie. waitS is the time in seconds
// that the last task of the demand would wait for the existing machines.
func (r *round) cheapestKind(demand *Demand, waitS float64) (binpack.MachineKind, bool) {
	best := offer{taskPrice: math.Inf(1), contested: true}
	found := false
	typeCount := r.eligibleTypes(demand)
	for i := range r.Catalog {
		machineType := &r.Catalog[i]
		slots := binpack.Size(machineType).Slots(demand.Resources, demand.Count)
		if slots == 0 {
			continue
		}
		contested := r.Scarcity.Contested(machineType.Name, typeCount)
		zones := slices.Clone(machineType.Zones)
		slices.Sort(zones)
		for _, zone := range zones {
			for _, spot := range []bool{true, false} {
				kind := binpack.MachineKind{Type: machineType.Name, Zone: zone, Spot: spot}
				if !r.mayRequest(kind, machineType, demand, waitS) {
					continue
				}
				candidate := offer{kind: kind, taskPrice: price(machineType, spot) / float64(slots), contested: contested}
				if candidate.betterThan(best) {
					best, found = candidate, true
				}
			}
		}
	}
	return best.kind, found
}

// mayRequest reports whether a machine kind may be requested for a demand. Kinds that the cloud
// recently refused are excluded, and so are ordinary machines while the demand has time to wait for
// spot capacity.
func (r *round) mayRequest(kind binpack.MachineKind, machineType *protocol.MachineType, demand *Demand, waitS float64) bool {
	if !demand.Constraints.Allows(kind) || r.Now.Before(r.RefusedCapacity[kind]) {
		return false
	}
	mayWait := !kind.Spot && demand.Constraints.Spot && demand.SlackS-demand.EstimateS-machineType.BootS-waitS > minSpotSlackS
	return !mayWait
}

func price(machineType *protocol.MachineType, spot bool) float64 {
	if spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

// allocate subtracts from the demands the tasks that a new machine of a kind would run.
func (r *round) allocate(kind binpack.MachineKind, demands []Demand) {
	free := binpack.Size(r.machineType(kind.Type))
	for i := range demands {
		demand := &demands[i]
		if !demand.Constraints.Allows(kind) {
			continue
		}
		slots := free.Slots(demand.Resources, demand.Count)
		demand.Count -= slots
		free = free.Plus(demand.Resources, -float64(slots))
	}
}
