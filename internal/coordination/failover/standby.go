// Package failover makes the decisions of a failover: the choice of a partition's standby, whether a
// leader counts as dead before its lease expires, the latest time at which former leaders may have
// answered heartbeats, and the preconditions of a new leader's first decision. The functions read no
// records and use no connections.
package failover

import (
	"cmp"
	"slices"
)

// machineTolerance is the number of machines by which a standby may exceed twice the load of the best
// candidate before it is replaced. A replacement is costly: until the new standby has read its
// replica, a failover has no replica to use.
const machineTolerance = 50

// Candidate is a controller that could take over a partition.
type Candidate struct {
	Label, Zone string
	// Machines and Partitions are the numbers of machines and partitions that it leads.
	Machines, Partitions int
}

// ChooseStandby returns the label of the standby for a leader's partitions, or "" if there is no
// candidate. It prefers controllers outside the leader's zone, since a whole zone may fail, and
// among these the least loaded. The choice is deterministic. zone is the leader's zone, or "" if unknown.
func ChooseStandby(leader, zone string, all []Candidate) string {
	all = slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.Label == leader })
	if len(all) == 0 {
		return ""
	}
	sameZone := func(c Candidate) int {
		if zone != "" && c.Zone == zone {
			return 1
		}
		return 0
	}
	return slices.MinFunc(all, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(sameZone(a), sameZone(b)), cmp.Compare(a.Machines, b.Machines), cmp.Compare(a.Partitions, b.Partitions), cmp.Compare(a.Label, b.Label))
	}).Label
}

// KeepStandby chooses like ChooseStandby, but keeps the current standby, which already has a replica,
// as long as it is a candidate, its zone is no worse than that of the best candidate, and it does
// not lead far more machines.
func KeepStandby(current, leader, zone string, all []Candidate) string {
	best := ChooseStandby(leader, zone, all)
	if current == "" || current == best || current == leader {
		return best
	}
	indexOf := func(label string) int {
		return slices.IndexFunc(all, func(c Candidate) bool { return c.Label == label })
	}
	i, k := indexOf(current), indexOf(best)
	if i < 0 || k < 0 {
		return best
	}
	worseZone := all[i].Zone == zone && all[k].Zone != zone
	if worseZone || all[i].Machines > 2*all[k].Machines+machineTolerance {
		return best
	}
	return current
}
