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

// NoteDiverted notes that a machine's agent came here though another controller leads it: with
// other such machines, and with the leader's silence, it shows that the leader is dead.
func (h *Holder) NoteDiverted(leader, machine string, now time.Time) {
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

// RevokeIfDead revokes the lease of a controller that neither controllers nor agents reach, so
// that its leases end at once and not when their time to live is over. That is an earlier end
// of the lease and nothing else: what it still writes fails on its leases, it answers agents no
// longer than after any end, and its successor counts on as much (rule 11).
func (h *Holder) RevokeIfDead(label string, other *cluster.Peer, now time.Time) {
	incarnation := h.incarnations[label]
	evidence := failover.Evidence{Silent: now.Sub(other.LastSummaryAt), Interval: peering.SummaryInterval,
		Reporting: len(other.ReportingMachines), Diverted: len(other.DivertedMachines)}
	if incarnation.Lease == 0 || incarnation.Lease == other.RevokedLeaseID || !evidence.Dead() || !h.Synced || !h.leaseIsFresh(now) {
		return
	}
	if !h.leadsAny(IncarnationID{Label: label, Nonce: incarnation.Nonce}) {
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

// leadsAny says whether an incarnation leads any partition.
func (h *Holder) leadsAny(id IncarnationID) bool {
	for _, p := range h.Partitions {
		if p.Leader == id.Label && p.LeaderNonce == id.Nonce {
			return true
		}
	}
	return false
}
