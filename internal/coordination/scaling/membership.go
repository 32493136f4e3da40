package scaling

import "slices"

// adopt assigns unrecorded machines to the partitions that have the fewest, of these to the
// last one with pending work.
func (r *round) adopt() {
	counts := make([]int, len(r.Partitions))
	for i := range r.Machines {
		counts[r.Machines[i].Partition]++
	}
	for _, machine := range r.Unrecorded {
		if r.recently(machine.TriedAt, retryRest) {
			continue
		}
		if len(r.ScalingOut) > 0 && r.Now.Sub(machine.TriedAt) > adoptionMemory {
			r.plan.AdoptLater = append(r.plan.AdoptLater, machine.Name)
			continue
		}
		partition := r.neediest(counts)
		counts[partition]++
		r.plan.Adopt = append(r.plan.Adopt, Adoption{Name: machine.Name, Partition: partition})
	}
}

// neediest picks a partition by its count of machines.
func (r *round) neediest(counts []int) int {
	fewest := slices.Min(counts)
	best := slices.Index(counts, fewest)
	for i, count := range counts {
		if count == fewest && len(r.demands[i]) > 0 {
			best = i
		}
	}
	return best
}

// terminate gives up machines that are unhealthy.
func (r *round) terminate() {
	for i := range r.Machines {
		machine := &r.Machines[i]
		reason, unhealthy := machine.unhealthy()
		if !unhealthy || r.recently(machine.DeletingSince, retryRest) {
			continue
		}
		r.terminated[i] = true
		r.plan.Terminate = append(r.plan.Terminate, Termination{Name: machine.Name, Reason: reason})
	}
}

// unhealthy reports whether a machine is to be terminated, and why. A quarantined one may
// finish its tasks before.
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
