package peering

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// Proxy serves shards as a delegate and reports this controller's load.
type Proxy interface {
	// Load returns the number of machines that this controller serves, and the number for which
	// its sockets suffice.
	Load(now time.Time) delegation.Load
	// SummaryReceived handles a summary in which a leader may delegate shards to this controller.
	SummaryReceived(summary *peer.Summary)
}

// Replicator holds replicas of other leaders' partitions.
type Replicator interface {
	// ReplicaStatuses returns the status of each replica that this controller holds.
	ReplicaStatuses() []*peer.ReplicaStatus
}

// Scheduler provides the job queues and the estimates of run times.
type Scheduler interface {
	// EstimateS returns the submitter's estimate of a task's run time in seconds, corrected by the
	// observed run times of the job's class.
	EstimateS(spec *protocol.JobSpec) float64
	// Queue returns the jobs of a partition that have waiting tasks, run records to write or a
	// completion to commit, in scheduling order.
	Queue(partition *cluster.Partition) []*cluster.Job
}

// Jobs tracks jobs and their cancellations.
type Jobs interface {
	// ApplyCancellationNotices applies the committed cancellations in another controller's
	// summary. A cancellation record never changes, so a notice is valid however late it
	// arrives.
	ApplyCancellationNotices(summary *peer.Summary, now time.Time)
}
