// Package autoscaler scales the fleet out and in, moves idle machines between partitions and
// terminates unhealthy ones, while this controller is the cluster leader. It gathers the input
// for package scaling, which makes the decisions, and executes them. Its state in memory may be
// lost: names of requests are never reused, and machines without a record are adopted.
package autoscaler

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// recordTimeout is the timeout of a write of machine records.
const recordTimeout = 4 * time.Second

// Autoscaler scales the fleet while this controller is the cluster leader. Its state is
// cluster.Leadership, which must be used only in the event loop. Its own loops and its requests to
// the cloud run outside the event loop.
type Autoscaler struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester
	store   *storage.Store
	log     *slog.Logger
	metrics *telemetry.Metrics

	agents    Agents
	cloud     Cloud
	peering   Peering
	scheduler Scheduler
}

// New returns an Autoscaler. Connect must be called before it is used.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger) *Autoscaler {
	return &Autoscaler{State: state, loop: loop, network: network, store: store, log: log}
}

// Connect sets the collaborators. It must be called before the event loop starts.
func (a *Autoscaler) Connect(agents Agents, cloud Cloud, peering Peering, scheduler Scheduler) {
	a.agents, a.cloud, a.peering, a.scheduler = agents, cloud, peering, scheduler
}

// Observe sets the metrics. It must be called before the event loop starts.
func (a *Autoscaler) Observe(metrics *telemetry.Metrics) { a.metrics = metrics }
