package cluster

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol/peer"
)

// NamedStandby is which controller a part's owner has named to take the part over; empty:
// none, or the owner is of a version that names nobody.
func (s *State) NamedStandby(p *Partition) string {
	owner := p.Leader
	if owner == "" {
		owner = p.FormerLeader
	}
	return s.Peers[owner].PartitionSummary(p).GetStandby()
}

// HasReplicaOf says whether another controller's copy of a part is whole.
func (ps *Peer) HasReplicaOf(part int) bool {
	return slices.ContainsFunc(ps.Summary.GetReplicas(), func(f *peer.ReplicaStatus) bool { return int(f.Partition) == part && f.Revision > 0 })
}

// ZoneOf is a controller's zone, as the settings tell.
func (s *State) ZoneOf(label string) string {
	if label == s.Settings.Label {
		return s.Settings.Zone
	}
	for _, o := range s.Settings.Others {
		if o.Label == label {
			return o.Zone
		}
	}
	return ""
}

// Candidates are the controllers that could take something over now.
func (s *State) Candidates(now time.Time) []failover.Candidate {
	own := failover.Candidate{Label: s.Settings.Label, Zone: s.Settings.Zone}
	for _, m := range s.Machines {
		if s.Partitions[m.Record.Partition].Held {
			own.Machines++
		}
	}
	for _, p := range s.Partitions {
		if p.Held {
			own.Partitions++
		}
	}
	var all []failover.Candidate
	if !s.Draining {
		all = append(all, own)
	}
	for label, ps := range s.Peers {
		if !ps.Alive(now) || ps.Summary.Draining {
			continue
		}
		other := failover.Candidate{Label: label, Zone: s.ZoneOf(label), Partitions: len(ps.Summary.Partitions)}
		for _, p := range ps.Summary.Partitions {
			other.Machines += len(p.Machines)
		}
		all = append(all, other)
	}
	return all
}
