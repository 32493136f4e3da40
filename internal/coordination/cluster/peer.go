package cluster

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol/peer"
)

// Peer is the state of another controller according to its summaries.
type Peer struct {
	// Addr is the peer's address for other controllers, from the settings.
	Addr string
	// Summary is the peer's last summary, received at LastSummaryAt; nil if none was
	// received.
	Summary       *peer.Summary
	LastSummaryAt time.Time
	// AliveSince is the time since which the peer's summaries have arrived without a
	// gap.
	AliveSince time.Time
	// ReportingMachines are the machines that send their heartbeats to the peer,
	// according to Summary.
	ReportingMachines map[string]bool
	// DivertedMachines are the ReportingMachines that have contacted this controller
	// since that summary.
	DivertedMachines map[string]bool
	// RevokedLeaseID is the id of the peer's lease that this controller revoked, or 0
	// if there is none.
	RevokedLeaseID uint64
}

// peerSilenceLimit is the maximum age of a peer's last summary for the peer to count as
// alive.
const peerSilenceLimit = 2 * time.Second

// Alive reports whether the peer's last summary is recent enough for the peer to count as
// alive.
func (p *Peer) Alive(now time.Time) bool {
	return p.Summary != nil && now.Sub(p.LastSummaryAt) <= peerSilenceLimit
}

// PartitionSummary returns the peer's last summary of a partition that it leads, or nil if
// there is none. It may be called on a nil Peer.
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

// HasReplicaOf reports whether the peer has a complete replica of a partition.
func (p *Peer) HasReplicaOf(partition int) bool {
	return slices.ContainsFunc(p.Summary.GetReplicas(), func(replica *peer.ReplicaStatus) bool {
		return int(replica.Partition) == partition && replica.Revision > 0
	})
}

// UpdateReportingMachines sets ReportingMachines from a new Summary.
func (p *Peer) UpdateReportingMachines() {
	if p.ReportingMachines == nil {
		p.ReportingMachines = map[string]bool{}
	}
	clear(p.ReportingMachines)
	clear(p.DivertedMachines)
	for _, partition := range p.Summary.Partitions {
		// Machines in delegated shards are no evidence that the leader is
		// unreachable: a delegate that cannot reach the leader redirects the
		// machines' agents, while the leader may still serve all other machines.
		delegated := delegatedShards(partition)
		for _, m := range partition.Machines {
			if m.Reported && (len(partition.Delegated) == 0 || !delegated[delegation.ShardOf(m.Name)]) {
				p.ReportingMachines[m.Name] = true
			}
		}
	}
}

// AnnouncedStandby returns the label of the standby that a partition's leader has
// announced, or "" if it announced none. Leaders of old versions never announce one.
func (s *State) AnnouncedStandby(partition *Partition) string {
	leader := partition.Leader
	if leader == "" {
		leader = partition.FormerLeader
	}
	return s.Peers[leader].PartitionSummary(partition).GetStandby()
}

// ZoneOf returns a controller's zone, or "" if the controller is not in the settings.
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

// FailoverCandidates returns the controllers that could take over a partition now.
func (s *State) FailoverCandidates(now time.Time) []failover.Candidate {
	var all []failover.Candidate
	if !s.Draining {
		all = append(all, s.ownCandidate())
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

// ownCandidate returns the candidate entry of this controller.
func (s *State) ownCandidate() failover.Candidate {
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
