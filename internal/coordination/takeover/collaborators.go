package takeover

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/replication"
)

// Agents is what Takeover asks of its collaborator.
type Agents interface {
	// Fence raises the worker's token by orders without commands, without waiting
	// for its next report, so that nobody older commands it any more (7).
	Fence(m *cluster.Machine)
	// StopAttempt wants an attempt off its machine.
	StopAttempt(a *cluster.Attempt, grace float64, now time.Time)
}

// Leases is what Takeover asks of its collaborator.
type Leases interface {
	ClearPartition(p *cluster.Partition)
	// LastAnswerBound is the latest moment at which anybody but this controller may have
	// answered a machine of a part.
	LastAnswerBound(p *cluster.Partition, m *cluster.Machine) time.Time
}

// Proxy is what Takeover asks of its collaborator.
type Proxy interface {
	// SpreadShards gives shares of a part that was just taken over away at once, as many as its
	// machines ask for: they must all be fenced and will all report, and an owner that is
	// alone with that may run out of sockets. Carriers of the owner before keep what they
	// have, so that its workers' connections stay.
	SpreadShards(p *cluster.Partition, now time.Time)
}

// Replicator is what Takeover asks of its collaborator.
type Replicator interface {
	// ApplyHints puts what the former owner told of machines and classes to what they are now.
	ApplyHints(p *cluster.Partition, h *replication.ReceivedUpdates, now time.Time)
	// CompleteReplica brings a part's copy to the claim under which it is to be used, or reads the part
	// anew if there is none that can be. Nothing of the owner before is applied after the
	// claim, so that an answer that reaches it covers everything (32).
	CompleteReplica(p *cluster.Partition, claim uint64) (*replication.Replica, bool, error)
	// DropReplica forgets the replica of a partition: what it holds is its taker's from then on.
	DropReplica(partition int)
	// RequestStateTransfer asks the others what they were told of a part that this controller has just
	// taken over without a tale of its own: its former life's, above all.
	RequestStateTransfer(p *cluster.Partition, claim uint64)
}

// Jobs is what Takeover asks of its collaborator.
type Jobs interface {
	// ApplyJobRecord takes up an accepted job. Records never change.
	ApplyJobRecord(id string, raw []byte)
	// DropIfReleased forgets a job that has ended and holds nothing any more.
	DropIfReleased(j *cluster.Job)
	// LoadJobRecord makes a job of its record.
	LoadJobRecord(id string, raw []byte) *cluster.Job
}
