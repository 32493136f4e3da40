package proxy

import (
	"time"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// Agents is what Proxy asks of its collaborator.
type Agents interface {
	// ApplyHeartbeat takes in a report, from whichever way it came.
	ApplyHeartbeat(m *cluster.Machine, r *protocol.Heartbeat, now time.Time)
	// SendCommands sends direct commands, one request at a time for each machine.
	SendCommands(m *cluster.Machine)
	// StopsForCancelledJobs stops what a report shows of withdrawn jobs. Whoever answers a report keeps
	// what it shows alive, so that nobody may do so for a task that it knows to be withdrawn:
	// neither an owner that has not read its part's records yet nor a carrier, which both
	// decide nothing else. A withdrawal is on record for good, so that the stop needs none.
	StopsForCancelledJobs(r *protocol.Heartbeat) []protocol.Command
}

// Auth is what Proxy asks of its collaborator.
type Auth interface {
	// CheckSender says whether a message comes from the worker or controller that it
	// names, and refuses it if not.
	CheckSender(who *auth.Caller, verb string, named identity.Name) *transport.Response
}
