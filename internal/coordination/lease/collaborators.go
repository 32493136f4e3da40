package lease

import (
	"context"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
)

// Autoscaler is what LeaseHolder asks of its collaborator.
type Autoscaler interface {
	DropLeadership(reason string)
}

// Replicator is what LeaseHolder asks of its collaborator.
type Replicator interface {
	// SendUpdates tells everything that there is to tell now, to each at the same time.
	SendUpdates(ctx context.Context)
}

// Takeover is what LeaseHolder asks of its collaborator.
type Takeover interface {
	// ShouldHandBack says whether to give a part up to its home now.
	ShouldHandBack(p *cluster.Partition, now time.Time) bool
	// TakeOver reads what the part's former owner recorded. Everything that owner
	// still sends fails from now on, since it is conditional on the old claim.
	TakeOver(p *cluster.Partition, version uint64)
	WantsLeadership(now time.Time) bool
	// WantsPartition says whether to claim a part now: its own at once, an orphan after
	// a pause that is longer the more parts are held already.
	WantsPartition(p *cluster.Partition, now time.Time) bool
}

// Records is what LeaseHolder asks of its collaborator.
type Records interface {
	ApplyEvent(e protocol.Event)
}
