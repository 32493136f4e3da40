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
	for _, part := range ps.Summary.Partitions {
		// Those that others carry prove nothing: a carrier that doesn't hear the owner
		// sends them away, and the owner may serve all the others.
		var carried [delegation.ShardCount]bool
		for _, k := range part.Delegated {
			for _, s := range k.Shards {
				carried[s%delegation.ShardCount] = true
			}
		}
		for _, m := range part.Machines {
			if m.Reported && (len(part.Delegated) == 0 || !carried[delegation.ShardOf(m.Name)]) {
				ps.ReportingMachines[m.Name] = true
			}
		}
	}
}
