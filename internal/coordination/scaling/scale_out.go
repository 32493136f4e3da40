package scaling

import (
	"math"
	"slices"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
)

// scaleOut asks the cloud for machines for the demands that no idle machine serves. Partitions
// for which a scale-out is under way are left out, since their demands don't reflect yet what
// it brings.
func (r *round) scaleOut() {
	for partition := range r.Partitions {
		if r.Partitions[partition].Known && !r.ScalingOut[partition] {
			r.scaleOutPartition(partition)
		}
	}
}

// scaleOutPartition asks for machines for a partition, demand by demand.
func (r *round) scaleOutPartition(partition int) {
	fleet := r.fleet(partition)
	wanted := map[binpack.MachineKind]int{}
	var kinds []binpack.MachineKind // in the order in which they are first wanted
	ahead := 0.0                    // tasks of earlier demands
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
			if wanted[kind] == 0 {
				kinds = append(kinds, kind)
			}
			wanted[kind]++
			fleet[kind]++
			r.serve(kind, demands)
		}
		ahead += count
	}
	for _, kind := range kinds {
		r.plan.ScaleOuts = append(r.plan.ScaleOuts, ScaleOut{Kind: kind, Partition: partition, Count: wanted[kind]})
	}
}

// fleet counts the machines of a partition by kind.
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

// machineType finds a type in the catalog, nil if it is not there.
func (r *round) machineType(name string) *protocol.MachineType {
	for i := range r.Catalog {
		if r.Catalog[i].Name == name {
			return &r.Catalog[i]
		}
	}
	return nil
}

// fleetSlots is how many tasks like a demand's a fleet runs at once, on machines that no work
// of fewer choices needs.
func (r *round) fleetSlots(demand *Demand, fleet map[binpack.MachineKind]int) float64 {
	slots, breadth := 0, r.breadth(demand)
	for kind, count := range fleet {
		machineType := r.machineType(kind.Type)
		if machineType != nil && !r.Scarcity.Contested(kind.Type, breadth) && demand.Constraints.Allows(kind) {
			slots += count * binpack.Size(machineType).Slots(demand.Resources, binpack.UnboundedSlots)
		}
	}
	return float64(slots)
}

// breadth is how many machine types a demand's tasks fit.
func (r *round) breadth(demand *Demand) int {
	breadth := 0
	for i := range r.Catalog {
		if binpack.FitsType(demand.Constraints, demand.Resources, &r.Catalog[i]) {
			breadth++
		}
	}
	return breadth
}

// offer is a kind of machine that would serve a demand.
type offer struct {
	kind binpack.MachineKind
	// taskPrice is the machine's price over how many of the demand's tasks it holds.
	taskPrice float64
	// contested: work of fewer choices needs the type.
	contested bool
}

// betterThan reports whether an offer is uncontested where the other is not or, as to that
// equal, cheaper.
func (o offer) betterThan(other offer) bool {
	if o.contested != other.contested {
		return !o.contested
	}
	return o.taskPrice < other.taskPrice-binpack.Epsilon
}

// cheapestKind picks the kind of machine that serves a demand at the least price for each of
// its tasks, the first of several. Types that work of fewer choices needs come last. waitS is
// how many seconds the demand's last task would wait for the machines that there are.
func (r *round) cheapestKind(demand *Demand, waitS float64) (binpack.MachineKind, bool) {
	best := offer{taskPrice: math.Inf(1), contested: true}
	found := false
	breadth := r.breadth(demand)
	for i := range r.Catalog {
		machineType := &r.Catalog[i]
		slots := binpack.Size(machineType).Slots(demand.Resources, demand.Count)
		if slots == 0 {
			continue
		}
		contested := r.Scarcity.Contested(machineType.Name, breadth)
		zones := slices.Clone(machineType.ZonesOffered)
		slices.Sort(zones)
		for _, zone := range zones {
			for _, spot := range []bool{true, false} {
				kind := binpack.MachineKind{Type: machineType.Name, Zone: zone, Spot: spot}
				if !r.mayAskFor(kind, machineType, demand, waitS) {
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

// mayAskFor reports whether a kind of machine will do for a demand and may be had. Ordinary
// machines are not asked for while the demand has time to wait for a spot machine.
func (r *round) mayAskFor(kind binpack.MachineKind, machineType *protocol.MachineType, demand *Demand, waitS float64) bool {
	if !demand.Constraints.Allows(kind) || r.Now.Before(r.RefusedCapacity[kind]) {
		return false
	}
	mayWait := !kind.Spot && demand.Constraints.Spot && demand.SlackS-demand.EstimateS-machineType.BootS-waitS > spotSlackS
	return !mayWait
}

func price(machineType *protocol.MachineType, spot bool) float64 {
	if spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

// serve takes off the demands what a machine of a kind would run.
func (r *round) serve(kind binpack.MachineKind, demands []Demand) {
	room := binpack.Size(r.machineType(kind.Type))
	for i := range demands {
		demand := &demands[i]
		if !demand.Constraints.Allows(kind) {
			continue
		}
		slots := room.Slots(demand.Resources, demand.Count)
		demand.Count -= slots
		room = room.Plus(demand.Resources, -float64(slots))
	}
}
