// Package agents sends commands to the agents of the machines in the partitions that this
// controller leads, and processes their heartbeats. It tracks fencing tokens, agent epochs,
// machine leases and the attempts on each machine.
//
// Invariant: an attempt holds its resources until it has provably ended. The proof is a heartbeat
// under the current fencing token, a later agent epoch, a confirmed deletion of the machine, or
// the certain expiry of the machine lease.
package agents

import (
	"log/slog"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Agents sends commands to the agents of the partitions that this controller leads, and processes
// their heartbeats. Its methods run in the event loop, except for PostCommands and
// HandleMachineRequest, which block.
type Agents struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester
	store   *storage.Store
	log     *slog.Logger
	metrics *telemetry.Metrics

	cloud     Cloud
	jobs      Jobs
	leases    Leases
	proxy     Proxy
	scheduler Scheduler

	// RepeatedCommands counts the requests in flight to machines to which an earlier request is
	// still in flight.
	RepeatedCommands int
	// FenceRetriesInFlight counts the machines to which a repeated message with the fencing token
	// is in flight.
	FenceRetriesInFlight int
}

// New returns an Agents without collaborators. The caller must call Connect before using it.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger) *Agents {
	return &Agents{State: state, loop: loop, network: network, store: store, log: log}
}

// Connect sets the collaborators. It is called once, before the loop starts.
func (a *Agents) Connect(cloud Cloud, jobs Jobs, leases Leases, proxy Proxy, scheduler Scheduler) {
	a.cloud, a.jobs, a.leases, a.proxy, a.scheduler = cloud, jobs, leases, proxy, scheduler
}

// Observe sets the metrics. It is called before the loop starts; without it, no metrics are
// recorded.
func (a *Agents) Observe(metrics *telemetry.Metrics) { a.metrics = metrics }
