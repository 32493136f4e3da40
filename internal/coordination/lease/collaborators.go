package lease

import (
	"context"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
)

// Autoscaler runs the tasks of the cluster leader.
type Autoscaler interface {
	// DropLeadership stops acting as the cluster leader.
	DropLeadership(reason string)
}

// Replicator sends the state that is not in the state store's records to the standbys of the
// partitions that this controller leads.
type Replicator interface {
	// SendUpdates sends all pending replica updates concurrently and returns once they are
	// answered or ctx ends.
	SendUpdates(ctx context.Context)
}

// Takeover decides which leases this controller should hold, and rebuilds the state of the
// partitions whose leases it has acquired.
type Takeover interface {
	// ShouldHandBack reports whether to release a partition now for its preferred leader.
	ShouldHandBack(p *cluster.Partition, now time.Time) bool
	// TakeOver rebuilds the state of a partition from its former leader's records. revision is
	// the revision of the partition's lease.
	TakeOver(p *cluster.Partition, revision uint64)
	// ShouldAcquireLeadership reports whether to acquire the cluster leadership now.
	ShouldAcquireLeadership(now time.Time) bool
	// ShouldAcquirePartition reports whether to acquire the lease of a partition now.
	ShouldAcquirePartition(p *cluster.Partition, now time.Time) bool
}

// Records applies changes of the state store's records to this controller's state.
type Records interface {
	// ApplyEvent applies one change. It runs in the event loop.
	ApplyEvent(e protocol.Event)
}
