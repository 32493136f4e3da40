// Package agents commands the agents of the machines in the partitions that this controller
// leads and takes in what they report: heartbeats, commands, fencing tokens, agent epochs,
// attempts and machine leases.
//
// It owns the attempts on machines. Invariant: an attempt holds its resources until it is
// proven over, by a heartbeat under the current fencing token, a later agent epoch, a confirmed
// deletion of the machine, or a machine lease that must have expired.
package agents

import (
	"log/slog"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Agents commands the agents of the partitions that this controller leads, and takes in what
// they report. Its methods run in the event loop, but for PostCommands and
// HandleMachineRequest, which wait for answers.
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

	// RepeatedCommands counts the requests under way beside earlier ones to the same machine.
	RepeatedCommands int
}

// New returns an Agents without collaborators; Connect must follow.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger) *Agents {
	return &Agents{State: state, loop: loop, network: network, store: store, log: log}
}

// Connect sets the collaborators. It is called once, before the loop starts.
func (a *Agents) Connect(cloud Cloud, jobs Jobs, leases Leases, proxy Proxy, scheduler Scheduler) {
	a.cloud, a.jobs, a.leases, a.proxy, a.scheduler = cloud, jobs, leases, proxy, scheduler
}

// Observe sets the metrics, before the loop starts. Without it nothing is measured.
func (a *Agents) Observe(metrics *telemetry.Metrics) { a.metrics = metrics }
