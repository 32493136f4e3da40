package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// Cloud is the client of the cloud provider's API.
type Cloud interface {
	// DeleteMachines deletes machines. Once it has returned without an error, nothing runs on
	// them. It blocks, so it is called outside the event loop.
	DeleteMachines(names []string) error
}

// Leases detects failed leaders of other partitions, and computes the answer bounds of former leaders.
type Leases interface {
	// LastAnswerBound returns the latest time at which a former leader, or a delegate of one, may
	// answer a heartbeat of a machine of a partition.
	LastAnswerBound(p *cluster.Partition, m *cluster.Machine) failover.AnswerBound
	// AddDivertedMachine records that a machine's agent sent its heartbeat to this controller
	// instead of the partition's leader. If several agents do so and the leader sends no
	// summaries, the leader is considered failed.
	AddDivertedMachine(leader, machine string, now time.Time)
}

// Proxy forwards heartbeats and commands between agents, their delegates and partition leaders.
type Proxy interface {
	// AnswerHeartbeat answers a heartbeat on behalf of the partition leader, if the leader has
	// delegated the machine's shard to this controller. The heartbeat is forwarded to the
	// leader with the next delegation request (rule 37).
	AnswerHeartbeat(machine *cluster.Machine, heartbeat *protocol.Heartbeat, raw []byte, now time.Time) (transport.Response, bool)
	// ForwardCommands sends commands to a machine through its delegate. An error that wraps
	// transport.ErrNotSent proves that the commands can never arrive.
	ForwardCommands(delegate, machine string, body []byte) (*transport.Response, error)
	// RedirectTarget returns the delegate to which an agent that contacted this controller
	// should send its heartbeats, or "" if it should keep sending them here.
	RedirectTarget(partition *cluster.Partition, machine *cluster.Machine, now time.Time) string
}

// Scheduler predicts the run times of tasks from the run times of completed tasks.
type Scheduler interface {
	// LearnRunTime adds the run time of a completed task to the statistics of its class,
	// together with the user's estimate. Both are in seconds.
	LearnRunTime(class string, runTimeS, estimateS float64)
	// RemainingS predicts the remaining run time of an attempt in seconds.
	RemainingS(attempt *cluster.Attempt, now time.Time) float64
}

// Jobs tracks the unfinished jobs.
type Jobs interface {
	// DropIfReleased removes a job that has ended from memory, once the job has no live
	// attempts and no run records.
	DropIfReleased(job *cluster.Job)
}
