// Package lease acquires, renews, hands over and loses the leases of partitions and of the cluster
// leadership, and tracks the incarnations of all controllers. Invariant: a controller that has lost
// a lease, or may have lost it, answers no heartbeat under it, and its successor assumes that it
// answered heartbeats until the latest possible time. Numbered rules are those of docs/design.md.
package lease

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Holder manages the leases of partitions and of the cluster leadership that this controller holds.
// These all depend on one lease of the state store, the controller lease, which only this process
// renews. The fields of Holder may be accessed only on the event loop.
type Holder struct {
	*cluster.State
	loop    *eventloop.Loop
	store   *storage.Store
	log     *slog.Logger
	metrics *telemetry.Metrics

	autoscaler Autoscaler
	replicator Replicator
	takeover   Takeover
	records    Records

	// incarnations are the newest incarnation records of the controllers, by label.
	incarnations map[string]incarnationRecord
	// EndedIncarnations holds, for each incarnation that has provably ended, the latest time at
	// which it or one of its delegates may have answered a heartbeat. The proof is the record of a
	// later incarnation of the same controller.
	EndedIncarnations map[IncarnationID]time.Time
	// announcedLease is the ID of the controller lease in this controller's own incarnation record.
	announcedLease uint64
}

// New returns a holder. Connect must be called before the holder is used.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Holder {
	return &Holder{State: state, loop: loop, store: store, log: log,
		incarnations: map[string]incarnationRecord{}, EndedIncarnations: map[IncarnationID]time.Time{}}
}

// Connect sets the collaborators. It is called once, before the event loop starts.
func (h *Holder) Connect(autoscaler Autoscaler, replicator Replicator, takeover Takeover, records Records) {
	h.autoscaler, h.replicator, h.takeover, h.records = autoscaler, replicator, takeover, records
}

// Observe sets the metrics. It is called before the event loop starts.
func (h *Holder) Observe(m *telemetry.Metrics) { h.metrics = m }

// leaseIsFresh reports whether the controller lease was renewed recently enough for this controller to
// acquire leases or to revoke those of others.
func (h *Holder) leaseIsFresh(now time.Time) bool {
	return now.Sub(h.LeaseRenewedAt) <= h.Operator.LeaseTTL/2
}
