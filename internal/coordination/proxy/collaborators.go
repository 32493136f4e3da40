package proxy

import (
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// Agents applies heartbeats of agents and sends commands to them.
type Agents interface {
	// ApplyHeartbeat applies a machine's heartbeat to the state, whichever way it came.
	ApplyHeartbeat(machine *cluster.Machine, heartbeat *protocol.Heartbeat, now time.Time)
	// SendCommands sends a machine's commands to its agent, one request at a time for each
	// machine.
	SendCommands(machine *cluster.Machine)
	// StopsForCancelledJobs makes stop commands for the attempts of cancelled jobs that a heartbeat
	// shows. Whoever answers a heartbeat renews the lease of every attempt in it, so nobody may
	// do so for a task that it knows to be cancelled: neither a leader that has not read its
	// partition's records yet nor a delegate, which both decide nothing else. A cancellation
	// is on record for good, so the stop needs no record of its own.
	StopsForCancelledJobs(heartbeat *protocol.Heartbeat) []protocol.Command
}

// Auth checks who sent a message.
type Auth interface {
	// CheckSender checks that a message comes from the agent or controller that it names; it
	// returns the refusal if not, otherwise nil.
	CheckSender(caller *auth.Caller, verb string, named identity.Name) *transport.Response
}
