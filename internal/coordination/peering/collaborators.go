package peering

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// Proxy is what Exchange asks of its collaborator.
type Proxy interface {
	// Load is how many machines keep their connections here.
	Load(now time.Time) delegation.Load
	// SummaryReceived looks whether a controller wants something of its parts carried here.
	SummaryReceived(sum *peer.Summary)
}

// Replicator is what Exchange asks of its collaborator.
type Replicator interface {
	// Summaries is what this controller tells the others of its copies.
	Summaries() (list []*peer.ReplicaStatus)
}

// Scheduler is what Exchange asks of its collaborator.
type Scheduler interface {
	// EstimateS is the owner's estimate, corrected by what the class has shown.
	EstimateS(s *protocol.JobSpec) float64
	// Queue lists the jobs of a part that want something, in the order in which they
	// are served: those with waiting tasks, with records to write, or at their end. The
	// list is kept for a moment, so that events do not each sort all jobs again, unless
	// another job comes to want something: served last, its tasks would find the room
	// taken, and its ends would be on record, and its team's room be free, a batch later.
	Queue(p *cluster.Partition) []*cluster.Job
}

// Jobs is what Exchange asks of its collaborator.
type Jobs interface {
	// ApplyCancellationNotices takes in what another controller has seen committed. Such a record never
	// changes, so that it is as good as read, however late it comes.
	ApplyCancellationNotices(sum *peer.Summary, now time.Time)
}
