package takeover

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/replication"
)

// Agents stops attempts and sends commands to agents.
type Agents interface {
	// Fence raises a machine's fencing token with empty commands, without waiting for its next
	// heartbeat, so that no former leader commands it any more (rule 7).
	Fence(m *cluster.Machine)
	// StopAttempt stops an attempt, with so many seconds of grace.
	StopAttempt(a *cluster.Attempt, grace float64, now time.Time)
}

// Leases knows what this controller, or others before it, may still do under a lease.
type Leases interface {
	// ClearPartition forgets what only the leader of a partition may believe.
	ClearPartition(p *cluster.Partition)
	// LastAnswerBound is the latest moment at which anybody but this controller may have
	// answered a machine of a partition.
	LastAnswerBound(p *cluster.Partition, m *cluster.Machine) time.Time
}

// Proxy delegates shards of a partition's machines to other controllers.
type Proxy interface {
	// SpreadShards delegates shards of a partition that was just taken over at once, as many as
	// its machines ask for: all of them must be fenced and will send heartbeats, and a leader
	// that is alone with that may run out of sockets. Delegates of the former leader keep what
	// they have, so that the agents' connections stay.
	SpreadShards(p *cluster.Partition, now time.Time)
}

// Replicator has the replicas that partitions are taken over from.
type Replicator interface {
	// ApplyHints applies what the former leader sent of machines and classes.
	ApplyHints(p *cluster.Partition, updates *replication.ReceivedUpdates, now time.Time)
	// CompleteReplica brings the replica of a partition to the lease under which it is to be
	// used, or reads the records anew if there is none that can be; warm says that it did not.
	CompleteReplica(p *cluster.Partition, leaseRevision uint64) (replica *replication.Replica, warm bool, err error)
	// DropReplica forgets the replica of a partition: what it holds belongs to the partition
	// from then on.
	DropReplica(partition int)
	// RequestStateTransfer asks the other controllers for the updates of a partition that this
	// one has just taken over without having received any: its former incarnation's, above all.
	RequestStateTransfer(p *cluster.Partition, leaseRevision uint64)
}

// Jobs holds the jobs of all partitions.
type Jobs interface {
	// ApplyJobRecord makes an accepted job known. Records never change.
	ApplyJobRecord(id string, raw []byte)
	// DropIfReleased forgets a job that has ended and holds nothing any more.
	DropIfReleased(j *cluster.Job)
	// LoadJobRecord makes a job of its record.
	LoadJobRecord(id string, raw []byte) *cluster.Job
}
