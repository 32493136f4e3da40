package cluster

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol/peer"
)

// Peer is another controller, as its summaries show it.
type Peer struct {
	// Addr is its address for other controllers, from the settings.
	Addr string
	// Summary is the last that it sent, received at LastSummaryAt; nil: none was.
	Summary       *peer.Summary
	LastSummaryAt time.Time
	// AliveSince is since when its summaries have come without a gap.
	AliveSince time.Time
	// ReportingMachines are the machines that report to it, by its Summary.
	ReportingMachines map[string]bool
	// DivertedMachines are those of them that have come to this controller since.
	DivertedMachines map[string]bool
	// RevokedLeaseID is the id of its lease that was revoked from here; 0: none was.
	RevokedLeaseID uint64
}

// peerSilenceLimit is how old a peer's last summary may be for the peer to be alive.
const peerSilenceLimit = 2 * time.Second

// Alive says whether what the controller last sent still counts.
func (p *Peer) Alive(now time.Time) bool {
	return p.Summary != nil && now.Sub(p.LastSummaryAt) <= peerSilenceLimit
}

// PartitionSummary is what the controller last sent of a partition as its leader; nil:
// nothing. It may be called on a nil Peer.
func (p *Peer) PartitionSummary(partition *Partition) *peer.PartitionSummary {
	if p == nil || p.Summary == nil {
		return nil
	}
	for _, summary := range p.Summary.Partitions {
		if int(summary.Partition) == partition.Index {
			return summary
		}
	}
	return nil
}

// HasReplicaOf says whether the controller has a complete replica of a partition.
func (p *Peer) HasReplicaOf(partition int) bool {
	return slices.ContainsFunc(p.Summary.GetReplicas(), func(replica *peer.ReplicaStatus) bool {
		return int(replica.Partition) == partition && replica.Revision > 0
	})
}

// UpdateReportingMachines sets ReportingMachines from a Summary that has just come.
func (p *Peer) UpdateReportingMachines() {
	if p.ReportingMachines == nil {
		p.ReportingMachines = map[string]bool{}
	}
	clear(p.ReportingMachines)
	clear(p.DivertedMachines)
	for _, partition := range p.Summary.Partitions {
		// Machines in delegated shards prove nothing: a delegate that does not reach the
		// leader redirects them, though the leader may serve all the others.
		delegated := delegatedShards(partition)
		for _, m := range partition.Machines {
			if m.Reported && (len(partition.Delegated) == 0 || !delegated[delegation.ShardOf(m.Name)]) {
				p.ReportingMachines[m.Name] = true
			}
		}
	}
}

// AnnouncedStandby is which controller a partition's leader has chosen as its standby; "": none,
// or the leader is of a version that chooses none.
func (s *State) AnnouncedStandby(partition *Partition) string {
	leader := partition.Leader
	if leader == "" {
		leader = partition.FormerLeader
	}
	return s.Peers[leader].PartitionSummary(partition).GetStandby()
}

// ZoneOf is a controller's zone, from the settings; "": it is not in them.
func (s *State) ZoneOf(label string) string {
	if label == s.Settings.Label {
		return s.Settings.Zone
	}
	for _, other := range s.Settings.Others {
		if other.Label == label {
			return other.Zone
		}
	}
	return ""
}

// FailoverCandidates are the controllers that could take something over now.
func (s *State) FailoverCandidates(now time.Time) []failover.Candidate {
	var all []failover.Candidate
	if !s.Draining {
		all = append(all, s.ownCandidacy())
	}
	for label, p := range s.Peers {
		if !p.Alive(now) || p.Summary.Draining {
			continue
		}
		candidate := failover.Candidate{Label: label, Zone: s.ZoneOf(label), Partitions: len(p.Summary.Partitions)}
		for _, partition := range p.Summary.Partitions {
			candidate.Machines += len(partition.Machines)
		}
		all = append(all, candidate)
	}
	return all
}

// ownCandidacy is this controller with what it leads.
func (s *State) ownCandidacy() failover.Candidate {
	candidate := failover.Candidate{Label: s.Settings.Label, Zone: s.Settings.Zone}
	for _, m := range s.Machines {
		if s.Partitions[m.Record.Partition].Held {
			candidate.Machines++
		}
	}
	for _, partition := range s.Partitions {
		if partition.Held {
			candidate.Partitions++
		}
	}
	return candidate
}
