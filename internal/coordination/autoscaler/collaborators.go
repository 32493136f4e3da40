package autoscaler

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
)

// Agents is what Autoscaler asks of its collaborator.
type Agents interface {
	// HandleMachineRequest does what the leader asks about one of this owner's machines.
	HandleMachineRequest(fr *peer.MachineRequest) *peer.MachineReply
	// MachineDeleted follows the end of a record, which the leader removes only
	// after the machine is certainly gone.
	MachineDeleted(name string, now time.Time)
	// MachineRecorded follows the assignment record of a machine.
	MachineRecorded(name string, rec storage.Machine, version uint64, now time.Time)
}

// Cloud is what Autoscaler asks of its collaborator.
type Cloud interface {
	// Call sends one request to the cloud within its budget.
	Call(method, target string, in, out any) (int, error)
}

// Peering is what Autoscaler asks of its collaborator.
type Peering interface {
	// PartitionSummaries describes the own parts.
	PartitionSummaries(now time.Time) (list []*peer.PartitionSummary)
}

// Scheduler is what Autoscaler asks of its collaborator.
type Scheduler interface {
	// Scarcity looks over all unfinished jobs, those of other parts too: machines
	// move between parts. It is kept for a moment, like the order of jobs.
	Scarcity(now time.Time) binpack.Scarcity
}
