// Package lease acquires, renews, hands over and loses the leases of partitions and of the
// cluster's leadership, and knows the incarnations of all controllers. Invariant: a controller
// that has lost a lease, or may have, answers no agent under it; who takes it over counts on
// the latest moment at which the former leader may have answered.
package lease

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Holder acquires, renews, hands over and loses the leases of partitions and of the cluster's
// leadership. All of them hang on one lease of the state store, the controller lease, which
// this process alone renews. Its fields belong to the event loop.
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

	// incarnations has the newest incarnation record of each controller, by label.
	incarnations map[string]incarnationRecord
	// EndedIncarnations has the latest moment at which an incarnation that is proven to be over,
	// by the record of a later one, or one of its delegates may have answered an agent.
	EndedIncarnations map[IncarnationID]time.Time
	// announcedLease is the controller lease that this controller's own record names.
	announcedLease uint64
}

// New makes a holder; Connect gives it its collaborators.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Holder {
	return &Holder{State: state, loop: loop, store: store, log: log,
		incarnations: map[string]incarnationRecord{}, EndedIncarnations: map[IncarnationID]time.Time{}}
}

// Connect sets the collaborators. It is called once, before the loop starts.
func (h *Holder) Connect(autoscaler Autoscaler, replicator Replicator, takeover Takeover, records Records) {
	h.autoscaler, h.replicator, h.takeover, h.records = autoscaler, replicator, takeover, records
}

// Observe sets the metrics. It is called before the loop starts.
func (h *Holder) Observe(m *telemetry.Metrics) { h.metrics = m }

// leaseIsFresh says whether the controller lease was renewed so recently that it is worth
// acquiring or revoking leases under it.
func (h *Holder) leaseIsFresh(now time.Time) bool {
	return now.Sub(h.LeaseRenewedAt) <= h.Operator.LeaseTTL/2
}
