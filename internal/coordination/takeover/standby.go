package takeover

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
)

// ChooseStandby sets the standby of a partition that this controller leads: the controller to which the
// partition is to be handed back, or else the best candidate. The current standby is kept unless
// another candidate is clearly better.
func (t *Takeover) ChooseStandby(p *cluster.Partition, now time.Time) {
	if preferred := t.preferredLeader(p, now); preferred != "" && t.Peers[preferred].Summary.Replicates {
		p.Standby = preferred
		return
	}
	candidates := slices.DeleteFunc(t.FailoverCandidates(now), func(c failover.Candidate) bool {
		other := t.Peers[c.Label]
		return other != nil && !other.Summary.Replicates
	})
	p.Standby = failover.KeepStandby(p.Standby, t.Settings.Label, t.Settings.Zone, candidates)
}

// isStandbyFor reports whether this controller is the standby for a former leader. standby is the label
// of the announced standby. If that is no candidate, failover.ChooseStandby chooses one, which is the
// same on all controllers. A controller that has just started is the standby only if it was announced,
// since it may not have received the summaries of all other controllers yet.
func (t *Takeover) isStandbyFor(former, standby string, now time.Time) bool {
	if former == "" || standby != t.Settings.Label && now.Sub(t.StartedAt) < startupSettleTime {
		return false
	}
	candidates := t.FailoverCandidates(now)
	if standby == "" || !slices.ContainsFunc(candidates, func(c failover.Candidate) bool { return c.Label == standby }) {
		standby = failover.ChooseStandby(former, t.ZoneOf(former), candidates)
	}
	return standby == t.Settings.Label
}

// hasLiveStandby reports whether the announced standby of a vacant partition is another controller
// that is alive, not draining, and has a complete replica of it.
func (t *Takeover) hasLiveStandby(p *cluster.Partition, now time.Time) bool {
	standby := t.Peers[t.AnnouncedStandby(p)]
	return standby != nil && standby.Alive(now) && !standby.Summary.Draining && standby.HasReplicaOf(p.Index)
}
