package takeover

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
)

// ChooseStandby names who is to take an own part over: whoever it goes back to, or the
// one that was named before, while that one is as good as any.
func (to *Takeover) ChooseStandby(p *cluster.Partition, now time.Time) {
	if home := to.preferredLeader(p, now); home != "" && to.Peers[home].Summary.Replicates {
		p.Standby = home
		return
	}
	able := slices.DeleteFunc(to.Candidates(now), func(o failover.Candidate) bool {
		ps := to.Peers[o.Label]
		return ps != nil && !ps.Summary.Replicates
	})
	p.Standby = failover.KeepStandby(p.Standby, to.Settings.Label, to.Settings.Zone, able)
}

// isStandbyFor says whether this controller is the standby of what another owned: the one
// that it had named, as long as that one is there, else whoever all would choose. One that
// has just started knows too little to be chosen, but not to be named.
func (to *Takeover) isStandbyFor(owner, named string, now time.Time) bool {
	if owner == "" || named != to.Settings.Label && now.Sub(to.StartedAt) < 5*time.Second {
		return false // not known, or not settled
	}
	all := to.Candidates(now)
	if named == "" || !slices.ContainsFunc(all, func(o failover.Candidate) bool { return o.Label == named }) {
		named = failover.ChooseStandby(owner, to.ZoneOf(owner), all)
	}
	return named == to.Settings.Label
}

// liveStandby says whether another controller is there that was named a lost part's standby and
// has a copy of it.
func (to *Takeover) liveStandby(p *cluster.Partition, now time.Time) bool {
	ps := to.Peers[to.NamedStandby(p)]
	return ps != nil && ps.Alive(now) && !ps.Summary.Draining && ps.HasReplicaOf(p.Index)
}
