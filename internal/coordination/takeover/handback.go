package takeover

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/lease"
)

const (
	// handbackWarmUp is how long a partition that is to be handed back waits for its preferred
	// leader to have a replica of it.
	handbackWarmUp = 10 * time.Second
	// handbackImbalance is by how many partitions with teams this controller must lead more than
	// the preferred leader of one for that to be handed back.
	handbackImbalance = 2
)

// ShouldHandBack says whether to release a partition now, for its preferred leader.
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

// preferredLeader is the controller whose own a partition is and to which it is handed back now
// that it is there again; empty: it stays. That is done only where it evens the load out.
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
