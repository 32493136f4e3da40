package peering

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// Proxy knows how many machines this controller serves, and serves shards as a delegate.
type Proxy interface {
	// Load returns how many machines this controller serves, and for how many its sockets suffice.
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
	// Queue returns the jobs of a partition that need attention, in scheduling order: jobs with
	// waiting tasks or with records to write, and jobs that are about to end.
	Queue(partition *cluster.Partition) []*cluster.Job
}

// Jobs tracks jobs and their cancellations.
type Jobs interface {
	// ApplyCancellationNotices applies the cancellations in another controller's summary, which
	// that controller has seen committed. A cancellation record never changes, so a notice is valid
	// however late it arrives.
	ApplyCancellationNotices(summary *peer.Summary, now time.Time)
}
