package lease

import (
	"context"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
)

// Autoscaler does the work of the cluster leader.
type Autoscaler interface {
	// DropLeadership stops acting as the cluster leader.
	DropLeadership(reason string)
}

// Replicator sends the standbys of the partitions led here what is not on record.
type Replicator interface {
	// SendUpdates sends all pending replica updates at the same time and returns once they are
	// answered or ctx ends.
	SendUpdates(ctx context.Context)
}

// Takeover decides which leases this controller should hold, and rebuilds the state of the
// partitions whose leases it has acquired.
type Takeover interface {
	// ShouldHandBack says whether to release a partition now, for its preferred leader.
	ShouldHandBack(p *cluster.Partition, now time.Time) bool
	// TakeOver rebuilds the state of a partition from what its former leader recorded; revision
	// is that of the partition's lease.
	TakeOver(p *cluster.Partition, revision uint64)
	// WantsLeadership says whether to acquire the cluster leadership now.
	WantsLeadership(now time.Time) bool
	// WantsPartition says whether to acquire the lease of a partition now.
	WantsPartition(p *cluster.Partition, now time.Time) bool
}

// Records applies the state store's changes to what this controller knows.
type Records interface {
	// ApplyEvent applies one change. It runs on the event loop.
	ApplyEvent(e protocol.Event)
}
