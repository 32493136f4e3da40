package lease

import (
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
)

// Reasons for this controller to stop acting under a lease, as logged.
const (
	reasonLeaseEnded    = "the lease ended"
	reasonLeaseReplaced = "another controller acquired the lease"
	// The end of the controller lease ends all other leases of this controller.
	reasonControllerLeaseEnded = "the controller lease ended"
)

// StopLeading makes this controller stop acting as the leader of a partition, if it is the leader.
func (h *Holder) StopLeading(p *cluster.Partition, reason string) {
	if !p.Held {
		return
	}
	h.log.Info("partition lost", "partition", p.Index, "reason", reason)
	p.Held, p.Ready, p.FairShare = false, false, cluster.FairShareState{}
	p.DelegatedUntil, p.Delegations = p.Delegations.LatestGrantEnd(), delegation.Ledger{}
	h.ClearLeaderState(p)
}

// ClearLeaderState drops the state of a partition's jobs and machines that is valid only on the
// partition's leader.
func (h *Holder) ClearLeaderState(p *cluster.Partition) {
	p.LeaderStateCleared = true
	clear(p.Usage)
	for id, j := range h.Jobs {
		if j.Partition != p.Index {
			continue
		}
		if j.DropRunState(); h.FinalStates[id] != "" {
			delete(h.Jobs, id)
		}
	}
	for _, m := range h.Machines {
		if m.Record.Partition == p.Index {
			m.ResetLeaderState()
		}
	}
}

// loseAllLeases stops acting as the leader of all partitions and of the cluster.
func (h *Holder) loseAllLeases(reason string) {
	h.LeaseID = 0
	for _, p := range h.Partitions {
		h.StopLeading(p, reason)
	}
	h.autoscaler.DropLeadership(reason)
}
