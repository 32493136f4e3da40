package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/eventloop"
)

// Partition is the work of some of the teams, with the machines for it. One controller, its
// leader, serves it.
type Partition struct {
	// From the settings; none of it changes.

	Index int
	// HasTeams: some team's work is in it.
	HasTeams bool

	// The lease, from its record.

	// Leader is the label of the controller that holds the lease and LeaderNonce that
	// process's incarnation; "": nobody does.
	Leader      string
	LeaderNonce string
	// FormerLeader is who led last, for while nobody does; "": nobody has yet.
	FormerLeader string
	// LeaseRevision is the revision of the lease's record; 0: there is none.
	LeaseRevision uint64
	// VacantSince is since when nobody leads it.
	VacantSince time.Time
	// FormerLeaders are earlier leaders that may still answer agents' heartbeats.
	FormerLeaders []failover.FormerLeader

	// This controller's service of it.

	// Held: this controller holds the lease. It does so since AcquiredAt.
	Held       bool
	AcquiredAt time.Time
	// Ready: the partition's run state was read after the lease was acquired.
	Ready bool
	// WarmFailover: that was from a replica.
	WarmFailover bool
	// Cleared: nothing is kept in memory that only the partition's leader may believe.
	LeaderStateCleared bool
	// Wakeup brings the next turn of the partition's work forward.
	Wakeup chan struct{}
	// Committing: a transaction is under way.
	Committing bool
	// Unconfirmed: some run record's last write went unanswered.
	HasUnconfirmedChunk bool

	// Scheduling, on the leader.

	// Usage is what live attempts use, by team index.
	Usage []binpack.Compute
	// QueueOrder are the jobs that need something done, in the order in which they are
	// served, as of QueueOrderedAt; nil: to be computed. IdleJobs are the other loaded jobs
	// that are not blocked.
	QueueOrder     []*Job
	IdleJobs       []*Job
	QueueOrderedAt time.Time
	// PreemptionCheckedAt is when work was last considered for preemption.
	PreemptionCheckedAt time.Time
	// DoneTallies count the jobs that were done recently, by fair-share group.
	DoneTallies map[int]*fairshare.Tally
	FairShare   FairShareState

	// Replication, handback and delegation, on the leader.

	// Standby is the controller that was chosen to take over; "": none.
	Standby string
	// Replication is how far the standby's replica has come.
	Replication ReplicationProgress
	// HandbackSince is since when it is to go back to its preferred leader; zero: it is not.
	HandbackSince time.Time
	// Delegations are the shards whose agents' connections other controllers serve.
	Delegations delegation.Ledger
	// DelegatedUntil is the latest end of any grant that was given before this controller
	// last lost the partition.
	DelegatedUntil time.Time
}

// QueueOrderTTL is for how long a computed QueueOrder is used.
const QueueOrderTTL = 200 * time.Millisecond

// Wake brings the next turn of the partition's work forward.
func (p *Partition) Wake() { eventloop.Signal(p.Wakeup) }
