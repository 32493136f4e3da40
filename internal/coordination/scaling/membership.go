package scaling

import "slices"

// adopt assigns unrecorded machines to partitions. While a scale-out is in progress, the first attempt
// for a machine is postponed, since the machine may belong to the scale-out.
func (r *round) adopt() {
	counts := make([]int, len(r.Partitions))
	for i := range r.Machines {
		counts[r.Machines[i].Partition]++
	}
	for _, machine := range r.Unrecorded {
		if r.recently(machine.TriedAt, retryInterval) {
			continue
		}
		if len(r.ScalingOut) > 0 && r.Now.Sub(machine.TriedAt) > adoptionAttemptTTL {
			r.plan.AdoptLater = append(r.plan.AdoptLater, machine.Name)
			continue
		}
		partition := r.smallestPartition(counts)
		counts[partition]++
		r.plan.Adopt = append(r.plan.Adopt, Adoption{Name: machine.Name, Partition: partition})
	}
}

// smallestPartition returns a partition with the fewest machines. In a tie, it returns the last of
// these partitions that has demands, or the first if none has.
func (r *round) smallestPartition(counts []int) int {
	fewest := slices.Min(counts)
	best := slices.Index(counts, fewest)
	for i, count := range counts {
		if count == fewest && len(r.demands[i]) > 0 {
			best = i
		}
	}
	return best
}

// terminate plans the termination of unhealthy machines.
func (r *round) terminate() {
	for i := range r.Machines {
		machine := &r.Machines[i]
		reason, unhealthy := machine.unhealthy()
		if !unhealthy || r.recently(machine.DeletingSince, retryInterval) {
			continue
		}
		r.terminated[i] = true
		r.plan.Terminate = append(r.plan.Terminate, Termination{Name: machine.Name, Reason: reason})
	}
}

// unhealthy reports whether a machine is to be terminated, and returns the reason. A quarantined
// machine may finish its tasks first.
func (m *Machine) unhealthy() (TerminationReason, bool) {
	switch {
	case m.Lost:
		return reasonLost, true
	case m.Quarantined && m.Idle:
		return reasonQuarantined, true
	case m.Failed:
		return reasonFailed, true
	case m.NeverUp:
		return reasonNeverUp, true
	}
	return "", false
}
