package takeover

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/lease"
)

const (
	// handbackWarmUp is the maximum time for which the handback of a partition is delayed until its
	// preferred leader has a replica of it.
	handbackWarmUp = 10 * time.Second
	// handbackImbalance is the number of partitions with teams that this controller must lead beyond
	// those of the preferred leader before it hands one back.
	handbackImbalance = 2
)

// ShouldHandBack reports whether to release a partition now to its preferred leader.
func (t *Takeover) ShouldHandBack(p *cluster.Partition, now time.Time) bool {
	label := t.preferredLeader(p, now)
	if label == "" {
		p.HandbackSince = time.Time{}
		return false
	}
	if p.HandbackSince.IsZero() {
		p.HandbackSince = now
	}
	preferred := t.Peers[label]
	return !preferred.Summary.Replicates || preferred.HasReplicaOf(p.Index) || now.Sub(p.HandbackSince) > handbackWarmUp
}

// preferredLeader returns the preferred leader of a partition led here, if the partition is to be
// handed back to it, else "". A partition is handed back only if that controller has been alive for
// long enough and leads at least handbackImbalance fewer partitions with teams than this one.
func (t *Takeover) preferredLeader(p *cluster.Partition, now time.Time) string {
	if !p.Held || !p.Ready || !p.HasTeams || p.Index == t.SelfIndex || p.Index >= len(t.Labels) || now.Sub(p.AcquiredAt) < lease.SettleTime {
		return ""
	}
	label := t.Labels[p.Index]
	preferred := t.Peers[label]
	if preferred == nil || !preferred.Alive(now) || preferred.Summary.Draining || now.Sub(preferred.AliveSince) < lease.SettleTime {
		return ""
	}
	mine, theirs := 0, 0
	for _, other := range t.Partitions {
		switch {
		case other.HasTeams && other.Held:
			mine++
		case other.HasTeams && other.Leader == label:
			theirs++
		}
	}
	if mine-theirs < handbackImbalance {
		return ""
	}
	return label
}
