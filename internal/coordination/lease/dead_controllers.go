package lease

import (
	"context"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/telemetry"
)

// revokeTimeout bounds the revocation of another controller's lease.
const revokeTimeout = 2 * time.Second

// AddDivertedMachine records in memory that this controller has received a heartbeat of a machine whose
// leader is another controller. Enough such machines, together with missing summaries of the leader,
// show that the leader is dead.
func (h *Holder) AddDivertedMachine(leader, machine string, now time.Time) {
	other := h.Peers[leader]
	if other == nil || !other.ReportingMachines[machine] {
		return
	}
	if other.DivertedMachines == nil {
		other.DivertedMachines = map[string]bool{}
	}
	other.DivertedMachines[machine] = true
	h.RevokeIfDead(leader, other, now)
}

// RevokeIfDead revokes the controller lease of a controller that neither controllers nor agents can
// reach, so that its leases end before their TTL. This is as safe as the expiry of the lease: the
// former leader's writes fail, since they are conditional on its leases, and it answers heartbeats
// no longer than its successor assumes (rule 11).
func (h *Holder) RevokeIfDead(label string, other *cluster.Peer, now time.Time) {
	incarnation := h.incarnations[label]
	evidence := failover.Evidence{Silent: now.Sub(other.LastSummaryAt), Interval: peering.SummaryInterval,
		Reporting: len(other.ReportingMachines), Diverted: len(other.DivertedMachines)}
	if incarnation.Lease == 0 || incarnation.Lease == other.RevokedLeaseID || !evidence.Dead() || !h.Synced || !h.leaseIsFresh(now) {
		return
	}
	if !h.leadsAnyPartition(IncarnationID{Label: label, Nonce: incarnation.Nonce}) {
		return
	}
	other.RevokedLeaseID = incarnation.Lease
	h.metrics.Count(telemetry.LeaseRevoked, 1)
	h.log.Info("revoking the lease of a dead controller", "controller", label, "elapsed", evidence.Silent, "diverted", evidence.Diverted, "count", evidence.Reporting)
	h.loop.Go(func() {
		ctx, cancel := context.WithTimeout(h.loop.Context(), revokeTimeout)
		defer cancel()
		h.store.RevokeLease(ctx, incarnation.Lease)
	})
}

// leadsAnyPartition reports whether an incarnation leads any partition.
func (h *Holder) leadsAnyPartition(id IncarnationID) bool {
	for _, p := range h.Partitions {
		if p.Leader == id.Label && p.LeaderNonce == id.Nonce {
			return true
		}
	}
	return false
}
