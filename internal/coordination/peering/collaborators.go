package peering

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// Proxy knows the load by heartbeats, and acts on the delegations in other controllers'
// summaries.
type Proxy interface {
	// Load is how many machines are connected to this controller, and how many its
	// sockets hold.
	Load(now time.Time) delegation.Load
	// SummaryReceived checks whether a controller delegates shards of its partitions to this
	// one.
	SummaryReceived(summary *peer.Summary)
}

// Replicator knows the replicas that this controller holds.
type Replicator interface {
	// Summaries describes the replicas that this controller holds of other leaders' partitions.
	Summaries() []*peer.ReplicaStatus
}

// Scheduler knows the queue and the run times that it expects.
type Scheduler interface {
	// EstimateS is the submitter's estimate of a task's run time in seconds, corrected by what
	// the job's class has shown.
	EstimateS(spec *protocol.JobSpec) float64
	// Queue lists the jobs of a partition that need anything, in the order in which they are
	// served: those with waiting tasks, with records to write, or at their end.
	Queue(partition *cluster.Partition) []*cluster.Job
}

// Jobs tracks the jobs and their cancellations.
type Jobs interface {
	// ApplyCancellationNotices applies the cancellations that another controller has seen
	// committed. Such a record never changes, so a notice is as good as the record, however
	// late it comes.
	ApplyCancellationNotices(summary *peer.Summary, now time.Time)
}
