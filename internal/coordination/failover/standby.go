// Package failover makes the decisions of a failover: which controller is the standby of a
// partition, when a leader counts as dead before its lease has run out, until when a former leader
// may have answered agents, and what is still to be checked before the first decision. All of it
// is pure; it knows no record's meaning, no connection and no controller.
package failover

import (
	"cmp"
	"slices"
)

// machineTolerance is how many machines more than twice the least loaded controller's a standby
// may lead before another is named: a new replica costs requests, and the failover would be cold
// meanwhile.
const machineTolerance = 50

// Candidate is a controller that could take a partition over.
type Candidate struct {
	Label, Zone string
	// Machines and Partitions are how many it leads.
	Machines, Partitions int
}

// ChooseStandby names the standby of what a leader leads: a controller in another zone, since
// zones fail as one, and there the least loaded. All that know the same choose the same. Empty:
// there is none. zone is the leader's; empty: it is not known.
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

// KeepStandby chooses like ChooseStandby, but the present standby, which has a replica already,
// stays as long as it is there, is in as good a zone as the best, and does not lead far more
// machines.
func KeepStandby(present, leader, zone string, all []Candidate) string {
	best := ChooseStandby(leader, zone, all)
	if present == "" || present == best || present == leader {
		return best
	}
	indexOf := func(label string) int {
		return slices.IndexFunc(all, func(c Candidate) bool { return c.Label == label })
	}
	i, k := indexOf(present), indexOf(best)
	if i < 0 || k < 0 {
		return best
	}
	worseZone := all[i].Zone == zone && all[k].Zone != zone
	if worseZone || all[i].Machines > 2*all[k].Machines+machineTolerance {
		return best
	}
	return present
}
