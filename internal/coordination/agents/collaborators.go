package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// Cloud is what Agents asks of its collaborator.
type Cloud interface {
	// Call sends one request to the cloud within its budget.
	Call(method, target string, in, out any) (int, error)
}

// Leases is what Agents asks of its collaborator.
type Leases interface {
	// NoteDiverted notes that a machine's worker came here though its home is another: with
	// others, and with the other's silence, it shows that the other is gone.
	NoteDiverted(home, machine string, now time.Time)
}

// Proxy is what Agents asks of its collaborator.
type Proxy interface {
	// AnswerHeartbeat answers a worker's report for the part's owner, if that has granted it. What
	// is answered is told to the owner with the next request (37).
	AnswerHeartbeat(m *cluster.Machine, r *protocol.Heartbeat, raw []byte, now time.Time) (transport.Response, bool)
	// ForwardCommands passes a machine's orders on by way of its carrier. An error that wraps
	// transport.ErrNotSent proves that they can never arrive.
	ForwardCommands(via, machine string, body []byte) (*transport.Response, error)
	// RedirectTarget names the carrier that a worker which came here should report to.
	RedirectTarget(p *cluster.Partition, m *cluster.Machine, now time.Time) string
}

// Scheduler is what Agents asks of its collaborator.
type Scheduler interface {
	// LearnRunTime takes in a completed task. The ratio follows slowly, since single
	// estimates are often wrong by half.
	LearnRunTime(class string, ran, estimate float64)
	// RemainingS predicts how long an attempt still runs.
	RemainingS(a *cluster.Attempt, now time.Time) float64
}

// Jobs is what Agents asks of its collaborator.
type Jobs interface {
	// DropIfReleased forgets a job that has ended and holds nothing any more.
	DropIfReleased(j *cluster.Job)
}
