package cluster

// NeedsCommands says whether there may be anything to command: most reports change
// nothing.
func (m *Machine) NeedsCommands() bool {
	if len(m.OrphanedTasks) > 0 {
		return true
	}
	for _, a := range m.Attempts {
		if a.State == AttemptCommitted || a.State == AttemptReleased || a.State == AttemptConfirmed && a.Stopping {
			return true
		}
	}
	return false
}

// HasUnsentCommands says whether direct orders could bring something forward.
func (m *Machine) HasUnsentCommands() bool {
	for _, a := range m.Attempts {
		if a.State == AttemptCommitted && a.StartsInFlight == 0 && !a.Stopping || a.State == AttemptConfirmed && a.Stopping {
			return true
		}
	}
	return false
}
