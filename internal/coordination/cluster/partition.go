package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/eventloop"
)

// Partition is the work of some of the teams, together with the machines for it. It is
// served by one controller, its leader.
type Partition struct {
	// From the settings; does not change.

	Index int
	// HasTeams is set if some team's work belongs to the partition.
	HasTeams bool

	// The lease, from its record.

	// Leader is the label of the controller that holds the lease, and LeaderNonce the nonce
	// of that controller's process; both are "" if nobody holds it.
	Leader      string
	LeaderNonce string
	// FormerLeader is the label of the last leader, used while there is none, or "" if
	// there never was one.
	FormerLeader string
	// LeaseRevision is the revision of the lease's record in the state store, or 0 if there
	// is none.
	LeaseRevision uint64
	// VacantSince is the time since which the partition has had no leader.
	VacantSince time.Time
	// FormerLeaders are earlier leaders that may still answer agents' heartbeats.
	FormerLeaders []failover.FormerLeader

	// This controller's leadership of the partition.

	// Held is set while this controller holds the lease, which it acquired at AcquiredAt.
	Held       bool
	AcquiredAt time.Time
	// Ready is set once the partition's run state was read after the lease was acquired.
	Ready bool
	// WarmFailover is set if that run state came from a replica.
	WarmFailover bool
	// LeaderStateCleared is set if no state is left in memory that is valid only on the
	// partition's leader.
	LeaderStateCleared bool
	// Wakeup triggers the next round of the partition's work early.
	Wakeup chan struct{}
	// Committing is set while a transaction is in flight.
	Committing bool
	// HasUnconfirmedChunk is set if the last write of some run record went unanswered.
	HasUnconfirmedChunk bool

	// Scheduling, on the leader.

	// Usage is what the live attempts use, by team index.
	Usage []binpack.Compute
	// QueueOrder are the jobs that need service, in the order in which they are served,
	// computed at QueueOrderedAt; nil if it must be recomputed. IdleJobs are the other jobs
	// that have run state and are not blocked.
	QueueOrder     []*Job
	IdleJobs       []*Job
	QueueOrderedAt time.Time
	// PreemptionCheckedAt is when preemption was last considered.
	PreemptionCheckedAt time.Time
	// DoneTallies count the jobs that were done recently, by fair-share group.
	DoneTallies map[int]*fairshare.Tally
	FairShare   FairShareState

	// Replication, handback and delegation, on the leader.

	// Standby is the label of the controller that was chosen to take over, or "" if there
	// is none.
	Standby string
	// Replication is how far the standby's replica has followed.
	Replication ReplicationProgress
	// HandbackSince is the time since which the partition is to be handed back to its
	// preferred leader; zero if it is not.
	HandbackSince time.Time
	// Delegations are the shards whose agents are connected to other controllers.
	Delegations delegation.Ledger
	// DelegatedUntil is the latest end of the grants that were given before this controller
	// last lost the partition.
	DelegatedUntil time.Time
}

// QueueOrderTTL is how long a computed QueueOrder is used.
const QueueOrderTTL = 200 * time.Millisecond

// Wake triggers the next round of the partition's work early.
func (p *Partition) Wake() { eventloop.Signal(p.Wakeup) }
