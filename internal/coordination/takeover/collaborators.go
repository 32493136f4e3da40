package takeover

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/replication"
)

// Agents sends commands to agents.
type Agents interface {
	// Fence sends a machine the new fencing token with an empty list of commands, without waiting
	// for its next heartbeat. The machine then refuses commands of former leaders (rule 7).
	Fence(m *cluster.Machine)
	// StopAttempt stops an attempt, with a grace period in seconds.
	StopAttempt(a *cluster.Attempt, grace float64, now time.Time)
}

// Leases holds the partition leases and the times until which former leaders may answer heartbeats.
type Leases interface {
	// ClearLeaderState drops the state of a partition that is valid only on its leader.
	ClearLeaderState(p *cluster.Partition)
	// LastAnswerBound returns the latest time at which another controller may have answered a
	// heartbeat of a machine of a partition.
	LastAnswerBound(p *cluster.Partition, m *cluster.Machine) failover.AnswerBound
	// FormerLeaderBounds returns the present answer bounds of a partition's former leaders.
	FormerLeaderBounds(p *cluster.Partition) []failover.AnswerBound
}

// Proxy delegates shards of a partition's machines to other controllers.
type Proxy interface {
	// SpreadShards immediately delegates shards of a partition that was just taken over, as many
	// as its number of machines requires. Since all machines are fenced and send heartbeats at the
	// same time, the leader might not have enough sockets without delegates. Delegates of the former
	// leader keep their shards, and so their connections to agents.
	SpreadShards(p *cluster.Partition, now time.Time)
}

// Replicator maintains the replicas from which partitions are taken over.
type Replicator interface {
	// ApplyHints merges the former leader's hints on machines and job classes into the state.
	ApplyHints(p *cluster.Partition, updates *replication.ReceivedUpdates, now time.Time)
	// PrepareReplica returns a replica of a partition that is current as of the revision of the
	// newly acquired lease. It catches up the existing replica (warm), or reads all run records
	// if there is none or it cannot be used (not warm).
	PrepareReplica(p *cluster.Partition, leaseRevision uint64) (replica *replication.Replica, warm bool, err error)
	// DropReplica removes the replica of a partition. It is called when a takeover transfers the
	// replica's contents to the partition.
	DropReplica(partition int)
	// RequestStateTransfer requests the updates of a partition from all other controllers. It is
	// called after a takeover if this controller has received no updates, usually because of a
	// restart.
	RequestStateTransfer(p *cluster.Partition, leaseRevision uint64)
}

// Jobs holds the jobs of all partitions.
type Jobs interface {
	// ApplyJobRecord adds an accepted job from its record, which never changes.
	ApplyJobRecord(id string, raw []byte)
	// DropIfReleased removes a job if it has ended and no longer uses resources.
	DropIfReleased(j *cluster.Job)
	// LoadJobRecord adds a job from its record, even if the job has ended.
	LoadJobRecord(id string, raw []byte) *cluster.Job
}
