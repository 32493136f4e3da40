package records

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// Agents follows the machines on record.
type Agents interface {
	// MachineDeleted follows the deletion of a machine's record, which the cluster leader
	// does only after the machine is certainly gone.
	MachineDeleted(name string, now time.Time)
	// MachineRecorded follows a machine's record, which says whose machine it is.
	MachineRecorded(name string, rec storage.Machine, version uint64, now time.Time)
}

// Auth follows the records of the access policy.
type Auth interface {
	// Enabled says whether requests need an identity; if not, no policy is followed.
	Enabled() bool
	// ApplyPolicyRecord applies one record of the policy.
	ApplyPolicyRecord(kind storage.Kind, name string, event protocol.Event) error
	// DropUnlistedPolicy drops the policy's records whose keys are not in a listing.
	DropUnlistedPolicy(listed map[string]bool)
	// PublishPolicy makes the applied records of the policy effective, once for all that
	// came together. requestedAt is when the listing or watch that brought them was requested.
	PublishPolicy(requestedAt time.Time)
}

// Autoscaler follows who is the cluster leader.
type Autoscaler interface {
	// ApplyLeadership follows the record of the cluster leadership.
	ApplyLeadership(event protocol.Event, now time.Time)
}

// Leases follows who leads which partition.
type Leases interface {
	// ApplyIncarnation follows the record of a controller's incarnation.
	ApplyIncarnation(label string, event protocol.Event)
	// ApplyLease follows the record of a partition's lease.
	ApplyLease(p *cluster.Partition, event protocol.Event, now time.Time)
	// NoteMissedLeaders notes that leaders may have come and gone unseen before a listing.
	NoteMissedLeaders(now time.Time)
}

// Scheduler counts the jobs that were done.
type Scheduler interface {
	// CountListedJob counts a listed job if it is done: a controller that was away missed it.
	CountListedJob(id string, raw []byte)
	// ResetDoneCounts begins the counts anew, before a listing is applied.
	ResetDoneCounts()
}

// Jobs follows jobs and their ends.
type Jobs interface {
	// ApplyFinalRecord ends a job as its final record says.
	ApplyFinalRecord(id string, raw []byte)
	// ApplyJobRecord takes up an accepted job. Such records never change.
	ApplyJobRecord(id string, raw []byte)
}
