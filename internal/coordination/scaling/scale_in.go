package scaling

// scaleIn gives back machines that have been idle for long and that no partition wants, unless
// their first minute is not over.
func (r *round) scaleIn() {
	for i := range r.Machines {
		if r.mayScaleIn(i) && !r.wantedAnywhere(&r.Machines[i]) {
			r.plan.ScaleIns = append(r.plan.ScaleIns, r.Machines[i].Name)
		}
	}
}

// mayScaleIn reports whether a machine has been idle for long and nothing else is done with it.
func (r *round) mayScaleIn(i int) bool {
	machine := &r.Machines[i]
	maxIdle := r.IdleOrdinary
	if machine.Kind.Spot {
		maxIdle = r.IdleSpot
	}
	return machine.Type != nil && machine.Idle && machine.IdleS >= maxIdle.Seconds() &&
		!r.moved[i] && !r.terminated[i] &&
		!r.recently(machine.RecordedAt, minLifetime) &&
		!r.recently(machine.MovedAt, moveRest) && !r.recently(machine.DeletingSince, retryRest)
}

// wantedAnywhere reports whether a partition wants a machine, or may want it since its leader
// has said nothing lately.
func (r *round) wantedAnywhere(machine *Machine) bool {
	for partition := range r.Partitions {
		if !r.Partitions[partition].Known || r.wants(partition, machine) {
			return true
		}
	}
	return false
}
