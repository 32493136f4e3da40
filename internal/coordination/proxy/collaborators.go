package proxy

import (
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
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
	// CheckPeer refuses a message that does not come from the controller that it names.
	CheckPeer(caller *auth.Caller, label string) error
}
