// Package autoscaler scales the fleet out and in, moves idle machines between partitions and
// terminates unhealthy ones, while this controller is the cluster's leader. Decisions are made
// by package scaling, from a view that is gathered here. Everything it keeps in memory may be
// lost: request names never repeat, and machines without a record are adopted.
package autoscaler

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// recordTimeout bounds the write of records of machines.
const recordTimeout = 4 * time.Second

// Autoscaler scales the fleet while this controller is the cluster's leader. Its state is the
// event loop's Leadership; its loops and requests to the cloud run beside the event loop.
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

// New makes an autoscaler. Connect must be called before it is used.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger) *Autoscaler {
	return &Autoscaler{State: state, loop: loop, network: network, store: store, log: log}
}

// Connect sets the collaborators. It is called once, before the event loop starts.
func (a *Autoscaler) Connect(agents Agents, cloud Cloud, peering Peering, scheduler Scheduler) {
	a.agents, a.cloud, a.peering, a.scheduler = agents, cloud, peering, scheduler
}

// Observe sets the metrics. It is called before the event loop starts.
func (a *Autoscaler) Observe(metrics *telemetry.Metrics) { a.metrics = metrics }
