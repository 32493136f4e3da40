package scaling

// scaleIn plans the release of machines that have been idle for long and that no partition needs.
func (r *round) scaleIn() {
	for i := range r.Machines {
		if r.mayScaleIn(i) && !r.mayBeNeeded(&r.Machines[i]) {
			r.plan.ScaleIns = append(r.plan.ScaleIns, r.Machines[i].Name)
		}
	}
}

// mayScaleIn reports whether a machine has been idle for long, is older than minLifetime, and is
// affected neither by the rest of the plan nor by a recent move or deletion.
func (r *round) mayScaleIn(i int) bool {
	machine := &r.Machines[i]
	maxIdle := r.IdleOrdinary
	if machine.Kind.Spot {
		maxIdle = r.IdleSpot
	}
	return machine.Type != nil && machine.Idle && machine.IdleS >= maxIdle.Seconds() &&
		!r.moved[i] && !r.terminated[i] &&
		!r.recently(machine.RecordedAt, minLifetime) &&
		!r.recently(machine.MovedAt, moveCooldown) && !r.recently(machine.DeletingSince, retryInterval)
}

// mayBeNeeded reports whether some partition has demand for a machine, or has unknown demands because
// its leader has not reported recently.
func (r *round) mayBeNeeded(machine *Machine) bool {
	for partition := range r.Partitions {
		if !r.Partitions[partition].Reporting || r.hasDemandFor(partition, machine) {
			return true
		}
	}
	return false
}
