package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/eventloop"
)

// Partition is a subset of the teams with their jobs and machines. Its leader, one
// controller, schedules the jobs on the machines.
type Partition struct {
	// From the settings; does not change.

	Index int
	// HasTeams is set if the partition has at least one team.
	HasTeams bool

	// The lease, from its record.

	// Leader is the label of the controller that holds the lease, and LeaderNonce the
	// nonce of that controller's process; both are "" if the partition has no leader.
	Leader      string
	LeaderNonce string
	// FormerLeader is the label of the last leader, or "" if there never was one. It is
	// used while the partition has no leader.
	FormerLeader string
	// LeaseRevision is the revision of the lease's record in the state store, or 0 if there
	// is none.
	LeaseRevision uint64
	// LeaseAppliedRevision is the revision of the newest change of the lease's record that was
	// applied, its deletion included. Older changes, which a listing or a late answer to a watch
	// may bring, are ignored.
	LeaseAppliedRevision uint64
	// TokenRecord is the partition's token record.
	TokenRecord TokenRecord
	// VacantSince is the time since which the partition has had no leader.
	VacantSince time.Time
	// FormerLeaders are earlier leaders that may still answer agents' heartbeats, or whose last
	// answers may keep machine leases valid.
	FormerLeaders []failover.FormerLeader

	// This controller's leadership of the partition.

	// Held is set while this controller holds the lease, which it acquired at AcquiredAt.
	Held       bool
	AcquiredAt time.Time
	// Ready is set once the partition's run state was read after the lease was acquired.
	Ready bool
	// AnswersHeartbeats is set while this controller may answer the heartbeats of the
	// partition's agents, as last logged.
	AnswersHeartbeats bool
	// WarmFailover is set if the run state at the takeover came from a replica.
	WarmFailover bool
	// LeaderStateCleared is set once all state that is valid only on the partition's
	// leader was removed from memory.
	LeaderStateCleared bool
	// Wakeup triggers the next round of the partition's work early.
	Wakeup chan struct{}
	// Committing is set while a transaction is in flight.
	Committing bool
	// HasUnconfirmedChunk is set if the last write of a run record was not answered.
	HasUnconfirmedChunk bool

	// TokenRaiseBy is the time by which the token record must be written again; zero if no
	// write is needed.
	TokenRaiseBy time.Time
	// TokenRaisedAt is the revision of the last token record that this controller wrote.
	TokenRaisedAt uint64

	// Scheduling, on the leader.

	// Usage is the resource usage of the live attempts, by team index.
	Usage []binpack.TeamResources
	// QueueOrder are the jobs with work for the leader, in scheduling order, computed
	// at QueueOrderedAt; nil if the order must be recomputed. IdleJobs are the other
	// jobs that have run state and are not blocked.
	QueueOrder     []*Job
	IdleJobs       []*Job
	QueueOrderedAt time.Time
	// PreemptionCheckedAt is the time at which preemption was last considered.
	PreemptionCheckedAt time.Time
	// DoneTallies are the counts of recently completed jobs, by fair-share group.
	DoneTallies map[int]*fairshare.Tally
	FairShare   FairShareState
	// LongWaitingJobs is the number of jobs that had waited long at WaitingJobsReportedAt, and
	// JobsExcludedFromRoom the number of those that their own failures keep from a machine
	// with room.
	LongWaitingJobs       int
	JobsExcludedFromRoom  int
	WaitingJobsReportedAt time.Time

	// Replication, handback and delegation, on the leader.

	// Standby is the label of the controller that was chosen to take over, or "" if there
	// is none.
	Standby string
	// Replication is the progress of the replication to the standby.
	Replication ReplicationProgress
	// HandbackSince is the time since which the partition is to be handed back to its
	// preferred leader; zero if no handback is due.
	HandbackSince time.Time
	// Delegations are the shards whose agents are connected to other controllers.
	Delegations delegation.Ledger
	// DelegatedUntil is the latest end of the grants that were given before this controller
	// last lost the partition.
	DelegatedUntil time.Time
}

// TokenRecord is a token record as read from the state store. It raises the fencing tokens of the
// partition's machines to Revision while the partition lease has the revision LeaseRevision.
type TokenRecord struct {
	Revision, LeaseRevision uint64
}

// RaisedToken returns the token to which the token record raises the partition's machines, or 0 if
// the record was written under another lease.
func (p *Partition) RaisedToken() uint64 {
	if p.TokenRecord.LeaseRevision != p.LeaseRevision {
		return 0
	}
	return p.TokenRecord.Revision
}

// RaiseTokensBy requests that the tokens of the partition's machines be raised, at the latest at a
// given time.
func (p *Partition) RaiseTokensBy(by time.Time) {
	if p.TokenRaiseBy.IsZero() || by.Before(p.TokenRaiseBy) {
		p.TokenRaiseBy = by
	}
}

// QueueOrderTTL is the time for which a computed QueueOrder is used.
const QueueOrderTTL = 200 * time.Millisecond

// Wake triggers the next round of the partition's work early.
func (p *Partition) Wake() { eventloop.Signal(p.Wakeup) }
