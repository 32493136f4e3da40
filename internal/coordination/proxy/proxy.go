// Package proxy delegates heartbeats: where a partition's leader runs out of sockets, other
// controllers answer the heartbeats of some shards of its machines under short grants, and
// forward its commands. The leader alone decides. It owns the assignments of this controller
// as a delegate, and the delegations of the partitions that it leads.
//
// The delegate's side is in assignment.go, answering.go, renewal.go and forwarded.go, the
// leader's in grants.go, rebalancing.go and forwarding.go.
package proxy

import (
	"log/slog"
	"sync"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/overview"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Proxy answers heartbeats and forwards commands for leaders of other partitions, and
// delegates shards of the own partitions to others. It belongs to the event loop, but for
// the queued commands.
type Proxy struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester
	log     *slog.Logger
	bounds  *telemetry.BoundReporter
	metrics *telemetry.Metrics

	agents Agents
	auth   Auth

	// capacity is how many machines' connections the sockets hold: one for heartbeats and one
	// for commands each.
	capacity int
	// UnsentLimit bounds the heartbeats of a partition that were answered here and are still
	// to be sent to its leader, in bytes: 10 MiB at 322 MB of memory, while those of 4,000
	// machines with 16 tasks each have 3.9 MB.
	UnsentLimit int
	// Assignments are what this controller does as a delegate, by partition.
	Assignments []*assignment
	// MovedAt is when a shard last changed its delegate.
	MovedAt    time.Time
	balancedAt time.Time
	// moves are the last changes of delegates, for operators; moveTimes is when each was.
	moves     []overview.ShardMove
	moveTimes []time.Time

	mu     sync.Mutex
	queued map[string][]*forwardedCommand // commands that wait to be forwarded, by delegate
}

// New makes a Proxy without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, log *slog.Logger, bounds *telemetry.BoundReporter) *Proxy {
	limits := state.Settings.Params.MachineLimits
	p := &Proxy{
		State:       state,
		loop:        loop,
		network:     network,
		log:         log,
		bounds:      bounds,
		capacity:    limits.Sockets / socketsPerMachine,
		UnsentLimit: UnsentBytesLimit(limits),
		queued:      map[string][]*forwardedCommand{},
	}
	for range state.Partitions {
		p.Assignments = append(p.Assignments, newAssignment())
	}
	return p
}

// Connect sets the collaborators. It must be called before the event loop starts.
func (p *Proxy) Connect(agents Agents, auth Auth) {
	p.agents, p.auth = agents, auth
}

// Observe sets the metrics. It must be called before the event loop starts.
func (p *Proxy) Observe(metrics *telemetry.Metrics) { p.metrics = metrics }

// Load is how many machines are connected to this controller, and how many its
// sockets hold: those of the own partitions that no delegate serves, and those of the shards
// that are delegated to it.
func (p *Proxy) Load(now time.Time) delegation.Load {
	load := delegation.Load{Capacity: p.capacity}
	for _, machine := range p.Machines {
		partition, assigned := p.Partitions[machine.Record.Partition], p.Assignments[machine.Record.Partition]
		if partition.Held && machine.HasReported && !machine.Lost && partition.Delegations.Delegate(machine.Shard) == "" ||
			!partition.Held && assigned.allows(partition, machine, now) {
			load.Machines++
		}
	}
	return load
}
