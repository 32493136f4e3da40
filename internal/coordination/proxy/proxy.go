// Package proxy delegates the heartbeats of agents. A partition's leader that runs out of sockets
// delegates some shards of the partition's machines to other controllers. A delegate answers the
// heartbeats of its shards under time-limited grants and forwards the leader's commands. Only the
// leader makes decisions.
//
// The code of delegates is in assignment.go, answering.go, renewal.go and command_delivery.go, that
// of leaders in grants.go, rebalancing.go and command_forwarding.go.
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

// Proxy serves shards of other leaders' partitions as a delegate, and delegates shards of the
// partitions that this controller leads. Except for queuedCommands, its state must be used only in
// the event loop.
type Proxy struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester
	log     *slog.Logger
	bounds  *telemetry.BoundReporter
	metrics *telemetry.Metrics

	agents Agents
	auth   Auth

	// capacity is the number of machines for which the sockets suffice.
	capacity int
	// UnsentLimit is the limit, in bytes, on the heartbeats of one partition that were answered
	// here and not yet sent to its leader. Those of 4,000 machines with 16 tasks each take less
	// than 4 MB.
	UnsentLimit int
	// Assignments are the states of this controller as a delegate, by partition index.
	Assignments []*assignment
	// ShardMovedAt is the time of the last move of a shard.
	ShardMovedAt time.Time
	// balancedAt is the time of the last run of Rebalance.
	balancedAt time.Time
	// recentMoves are the last shard moves, for operators, and recentMoveTimes their times.
	recentMoves     []overview.ShardMove
	recentMoveTimes []time.Time

	mu             sync.Mutex
	queuedCommands map[string][]*forwardedCommand // commands not yet sent, by delegate
}

// New returns a Proxy. Connect must be called before it is used.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, log *slog.Logger, bounds *telemetry.BoundReporter) *Proxy {
	limits := state.Settings.Params.ProcessLimits
	p := &Proxy{
		State:          state,
		loop:           loop,
		network:        network,
		log:            log,
		bounds:         bounds,
		capacity:       limits.Sockets / socketsPerMachine,
		UnsentLimit:    UnsentBytesLimit(limits),
		queuedCommands: map[string][]*forwardedCommand{},
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

// Load returns the number of machines that this controller serves and the number for which its
// sockets suffice. It serves the machines of its own partitions in shards without a delegate, and
// those of the shards delegated to it.
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
