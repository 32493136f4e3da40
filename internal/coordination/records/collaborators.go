package records

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// Agents is what Watcher asks of its collaborator.
type Agents interface {
	// MachineDeleted follows the end of a record, which the leader removes only
	// after the machine is certainly gone.
	MachineDeleted(name string, now time.Time)
	// MachineRecorded follows the assignment record of a machine.
	MachineRecorded(name string, rec storage.Machine, version uint64, now time.Time)
}

// Auth is what Watcher asks of its collaborator.
type Auth interface {
	// ApplyPolicyRecord takes in a record of the policy.
	ApplyPolicyRecord(kind storage.Kind, name string, e protocol.Event) error
	// DropUnlistedPolicy drops the policy's records that a listing no longer holds.
	DropUnlistedPolicy(listed map[string]bool)
	// Enabled says whether requests need an identity.
	Enabled() bool
	// PublishPolicy gives the connections what the watch has brought, once for all
	// records that came together. asked is when the listing or watch was sent that
	// brought it.
	PublishPolicy(asked time.Time)
}

// Autoscaler is what Watcher asks of its collaborator.
type Autoscaler interface {
	// ApplyLeadership follows who leads.
	ApplyLeadership(e protocol.Event, now time.Time)
}

// Leases is what Watcher asks of its collaborator.
type Leases interface {
	// ApplyIncarnation follows the record of a controller's life.
	ApplyIncarnation(label string, e protocol.Event)
	// ApplyLease follows who owns a part.
	ApplyLease(p *cluster.Partition, e protocol.Event, now time.Time)
	// NoteMissedLeaders notes that owners may have come and gone unseen before a listing.
	NoteMissedLeaders(now time.Time)
}

// Scheduler is what Watcher asks of its collaborator.
type Scheduler interface {
	// CountListedJob counts a listed job that is done: what a controller that was away missed.
	CountListedJob(id string, raw []byte)
	// ResetDoneCounts begins the count anew, before a listing is taken in.
	ResetDoneCounts()
}

// Jobs is what Watcher asks of its collaborator.
type Jobs interface {
	ApplyFinalRecord(id string, raw []byte)
	// ApplyJobRecord takes up an accepted job. Records never change.
	ApplyJobRecord(id string, raw []byte)
}
