package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// Cloud is the client of the cloud's interface, by which machines are deleted.
type Cloud interface {
	// DeleteMachines deletes machines. Nothing runs on them once it has returned without an
	// error. It blocks, so it is called outside the event loop.
	DeleteMachines(names []string) error
}

// Leases judges whether the leaders of other partitions are still alive.
type Leases interface {
	// NoteDiverted records that a machine's agent came to this controller instead of its
	// leader. Several such machines, together with the leader's silence, show that the
	// leader is gone.
	NoteDiverted(leader, machine string, now time.Time)
}

// Proxy passes heartbeats and commands between agents, their delegates and partition leaders.
type Proxy interface {
	// AnswerHeartbeat answers a heartbeat on behalf of the partition leader, if that has
	// delegated the machine's shard to this controller. The leader gets the heartbeat with
	// the next delegation request (rule 37).
	AnswerHeartbeat(machine *cluster.Machine, heartbeat *protocol.Heartbeat, raw []byte, now time.Time) (transport.Response, bool)
	// ForwardCommands sends commands to a machine by way of its delegate. An error that
	// wraps transport.ErrNotSent proves that they can never arrive.
	ForwardCommands(delegate, machine string, body []byte) (*transport.Response, error)
	// RedirectTarget is the delegate to which an agent that came here should send its
	// heartbeats; "": it stays here.
	RedirectTarget(partition *cluster.Partition, machine *cluster.Machine, now time.Time) string
}

// Scheduler predicts run times and learns from those that were measured.
type Scheduler interface {
	// LearnRunTime takes in the run time in seconds of a completed task of a class, beside
	// its estimate.
	LearnRunTime(class string, ran, estimate float64)
	// RemainingS predicts for how many seconds an attempt still runs.
	RemainingS(attempt *cluster.Attempt, now time.Time) float64
}

// Jobs holds the jobs that are not finished.
type Jobs interface {
	// DropIfReleased forgets a job that has ended and holds nothing any more.
	DropIfReleased(job *cluster.Job)
}
