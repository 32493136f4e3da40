package takeover

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
)

// ChooseStandby names the standby of a partition led here: the controller that it is to be
// handed back to, or the one that was named before, while that one is as good as any.
func (t *Takeover) ChooseStandby(p *cluster.Partition, now time.Time) {
	if preferred := t.preferredLeader(p, now); preferred != "" && t.Peers[preferred].Summary.Replicates {
		p.Standby = preferred
		return
	}
	able := slices.DeleteFunc(t.FailoverCandidates(now), func(c failover.Candidate) bool {
		other := t.Peers[c.Label]
		return other != nil && !other.Summary.Replicates
	})
	p.Standby = failover.KeepStandby(p.Standby, t.Settings.Label, t.Settings.Zone, able)
}

// isStandbyFor says whether this controller is the standby of what a former leader led: the one
// that it had named, as long as that one is there, else the one that all would choose. A
// controller that has just started knows too little to be chosen, but not to be named.
func (t *Takeover) isStandbyFor(former, named string, now time.Time) bool {
	if former == "" || named != t.Settings.Label && now.Sub(t.StartedAt) < startSettleTime {
		return false
	}
	all := t.FailoverCandidates(now)
	if named == "" || !slices.ContainsFunc(all, func(c failover.Candidate) bool { return c.Label == named }) {
		named = failover.ChooseStandby(former, t.ZoneOf(former), all)
	}
	return named == t.Settings.Label
}

// liveStandby says whether another controller is there that was named the standby of a vacant
// partition and has a replica of it.
func (t *Takeover) liveStandby(p *cluster.Partition, now time.Time) bool {
	named := t.Peers[t.AnnouncedStandby(p)]
	return named != nil && named.Alive(now) && !named.Summary.Draining && named.HasReplicaOf(p.Index)
}
