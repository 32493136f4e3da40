package proxy

import (
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
)

// Agents applies heartbeats from agents and sends them commands.
type Agents interface {
	// ApplyHeartbeat applies a machine's heartbeat to the state, whether it came from the agent or
	// from a delegate.
	ApplyHeartbeat(machine *cluster.Machine, heartbeat *protocol.Heartbeat, now time.Time)
	// ProbeIfRestarted asks an agent for its state if a heartbeat was not newer than an earlier
	// one, since the agent may have restarted without its memory.
	ProbeIfRestarted(machine *cluster.Machine, now time.Time)
	// SendCommands sends the pending commands to a machine's agent, one request at a time.
	SendCommands(machine *cluster.Machine)
	// StopsForCancelledJobs returns stop commands for the attempts of cancelled jobs in a
	// heartbeat. An answer to a heartbeat renews the leases of all attempts in it, so the
	// answer must stop the tasks that are known to be cancelled. This holds for delegates, and
	// for a leader that has not yet read the partition's records, although neither makes any
	// other decision. A cancellation is permanent, so a stop command needs no record.
	StopsForCancelledJobs(heartbeat *protocol.Heartbeat) []protocol.Command
}

// Auth authenticates the senders of messages.
type Auth interface {
	// CheckPeer returns an error unless the caller is the controller with the given label.
	CheckPeer(caller *auth.Caller, label string) error
}
