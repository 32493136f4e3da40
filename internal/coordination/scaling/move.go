package scaling

import (
	"cmp"
	"slices"

	"micaspindle/internal/coordination/binpack"
)

// move moves idle machines from partitions that have no tasks for them to partitions with demands,
// beginning with the partition whose tasks have waited longest.
func (r *round) move() {
	for i := range r.Machines {
		if r.mayMove(i) {
			partition := r.Machines[i].Partition
			r.movable[partition] = append(r.movable[partition], i)
		}
	}
	for _, to := range r.partitionsByWait() {
		for i := range r.demands[to] {
			for from := range r.Partitions {
				if from != to && r.Partitions[from].Reporting {
					r.moveFrom(from, to, &r.demands[to][i])
				}
			}
		}
	}
}

// mayMove reports whether a machine is idle and may be moved.
func (r *round) mayMove(i int) bool {
	machine := &r.Machines[i]
	return machine.Type != nil && machine.Idle &&
		!machine.Retiring && !machine.Quarantined && !machine.Lost && !r.terminated[i] &&
		!r.recently(machine.MovedAt, moveCooldown) && !r.recently(machine.DeletingSince, retryInterval)
}

// partitionsByWait returns the partitions with demands, in descending order of the longest wait among
// their tasks.
func (r *round) partitionsByWait() []int {
	var partitions []int
	longestS := make([]float64, len(r.Partitions))
	for i, demands := range r.demands {
		if len(demands) > 0 {
			partitions = append(partitions, i)
		}
		for _, demand := range demands {
			longestS[i] = max(longestS[i], demand.WaitedS)
		}
	}
	slices.SortStableFunc(partitions, func(a, b int) int { return cmp.Compare(longestS[b], longestS[a]) })
	return partitions
}

// moveFrom moves machines from one partition to another until a demand there is met or no suitable
// machine is left.
func (r *round) moveFrom(from, to int, demand *Demand) {
	r.movable[from] = slices.DeleteFunc(r.movable[from], func(i int) bool {
		machine := &r.Machines[i]
		if demand.Count <= 0 || !demand.Constraints.Allows(machine.Kind) {
			return false
		}
		slots := binpack.Size(machine.Type).Slots(demand.Resources, demand.Count)
		if slots == 0 || r.hasDemandFor(from, machine) {
			return false
		}
		demand.Count -= slots
		r.moved[i] = true
		r.plan.Moves = append(r.plan.Moves, Move{Name: machine.Name, From: from, To: to})
		return true
	})
}
