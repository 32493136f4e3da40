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
	// handbackImbalance is the minimum number of partitions with teams that this controller must
	// lead more than the preferred leader for a partition to be handed back.
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

// preferredLeader returns the label of the preferred leader of a partition that this controller leads,
// if the partition is to be handed back to it, else "". A partition is handed back only if the preferred
// leader has been alive for lease.SettleTime and leads at least handbackImbalance fewer partitions with
// teams than this controller.
func (t *Takeover) preferredLeader(p *cluster.Partition, now time.Time) string {
	if !p.Held || !p.Ready || !p.HasTeams || p.Index == t.SelfIndex || p.Index >= len(t.Labels) || now.Sub(p.AcquiredAt) < lease.SettleTime {
		return ""
	}
	label := t.Labels[p.Index]
	preferred := t.Peers[label]
	if preferred == nil || !preferred.Alive(now) || preferred.Summary.Draining || now.Sub(preferred.AliveSince) < lease.SettleTime {
		return ""
	}
	ownCount, preferredCount := 0, 0
	for _, other := range t.Partitions {
		switch {
		case other.HasTeams && other.Held:
			ownCount++
		case other.HasTeams && other.Leader == label:
			preferredCount++
		}
	}
	if ownCount-preferredCount < handbackImbalance {
		return ""
	}
	return label
}
