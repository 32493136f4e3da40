package records

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// Agents tracks the recorded machines.
type Agents interface {
	// ApplyMachineDeletion handles the deletion of a machine's record. The cluster leader deletes
	// the record only once the machine is proven not to exist any more.
	ApplyMachineDeletion(name string, now time.Time)
	// ApplyMachineRecord handles a new or changed machine record, which assigns the machine to a
	// partition.
	ApplyMachineRecord(name string, rec storage.Machine, version uint64, now time.Time)
}

// Auth maintains the access policy from its records.
type Auth interface {
	// Enabled reports whether requests are authenticated. If not, policy records are ignored.
	Enabled() bool
	// ApplyPolicyRecord applies a change of one policy record.
	ApplyPolicyRecord(kind storage.RecordKind, name string, event protocol.Event) error
	// DropUnlistedPolicy removes policy records whose keys are not in a listing.
	DropUnlistedPolicy(listed map[string]bool)
	// PublishPolicy makes all policy records applied since the last call effective at once.
	// requestedAt is the time of the request for the listing or watch that returned them.
	PublishPolicy(requestedAt time.Time)
}

// Autoscaler tracks the cluster leader.
type Autoscaler interface {
	// ApplyLeadership applies a change of the cluster leadership record.
	ApplyLeadership(event protocol.Event, now time.Time)
}

// Leases tracks the leaders of the partitions.
type Leases interface {
	// ApplyIncarnation applies a change of a controller's incarnation record.
	ApplyIncarnation(label string, event protocol.Event)
	// ApplyLease applies a change of a partition's lease record.
	ApplyLease(p *cluster.Partition, event protocol.Event, now time.Time)
	// AddUnknownLeaders adds an unknown former leader to each partition before a listing is
	// applied, since leaders may have changed while the records were not watched.
	AddUnknownLeaders(now time.Time)
}

// Scheduler counts completed jobs.
type Scheduler interface {
	// CountListedJob counts a listed job if it has completed, since this controller may have missed
	// the change.
	CountListedJob(id string, raw []byte)
	// ResetDoneCounts resets the counts before a listing is applied.
	ResetDoneCounts()
}

// Jobs tracks jobs from their records.
type Jobs interface {
	// ApplyFinalRecord ends a job with the state in its final record.
	ApplyFinalRecord(id string, raw []byte)
	// ApplyJobRecord adds an accepted job from its record, which never changes.
	ApplyJobRecord(id string, raw []byte)
}
