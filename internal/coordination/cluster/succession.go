package cluster

import (
	"micaspindle/internal/coordination/delegation"
)

// NoteReporting notes which machines report to a controller, as it says.
func (ps *Peer) NoteReporting() {
	if ps.ReportingMachines == nil {
		ps.ReportingMachines = map[string]bool{}
	}
	clear(ps.ReportingMachines)
	clear(ps.DivertedMachines)
	for _, part := range ps.Summary.Parts {
		// Those that others carry prove nothing: a carrier that doesn't hear the owner
		// sends them away, and the owner may serve all the others.
		var carried [delegation.ShardCount]bool
		for _, k := range part.Carried {
			for _, s := range k.Shares {
				carried[s%delegation.ShardCount] = true
			}
		}
		for _, m := range part.Machines {
			if m.Heard && (len(part.Carried) == 0 || !carried[delegation.ShardOf(m.Name)]) {
				ps.ReportingMachines[m.Name] = true
			}
		}
	}
}
