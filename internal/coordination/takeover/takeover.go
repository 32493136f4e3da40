// Package takeover decides which partitions this controller should lead. It rebuilds the state of an
// acquired partition from a replica or from the state store. Invariant: no task of a partition is
// placed before the partition's records have been applied up to the revision of its lease.
package takeover

import (
	"log/slog"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Takeover decides which partitions to take over and rebuilds their state.
type Takeover struct {
	*cluster.State
	loop    *eventloop.Loop
	store   *storage.Store
	log     *slog.Logger
	metrics *telemetry.Metrics

	agents     Agents
	jobs       Jobs
	leases     Leases
	proxy      Proxy
	replicator Replicator
}

// New creates a Takeover. Connect must be called before the Takeover is used.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Takeover {
	return &Takeover{State: state, loop: loop, store: store, log: log}
}

// Connect sets the collaborators. It is called once, before the event loop starts.
func (t *Takeover) Connect(agents Agents, jobs Jobs, leases Leases, proxy Proxy, replicator Replicator) {
	t.agents, t.jobs, t.leases, t.proxy, t.replicator = agents, jobs, leases, proxy, replicator
}

// Observe sets the metrics. It is called before the event loop starts.
func (t *Takeover) Observe(m *telemetry.Metrics) { t.metrics = m }
