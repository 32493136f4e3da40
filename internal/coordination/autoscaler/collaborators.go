package autoscaler

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
)

// Agents moves, retires and deletes machines, both in the state and with their agents.
type Agents interface {
	// HandleMachineRequest moves or retires a machine of a partition that this controller leads, if
	// the machine is idle.
	HandleMachineRequest(req *peer.MachineRequest) *peer.MachineReply
	// ApplyMachineDeletion removes a machine from the state after its record was deleted.
	ApplyMachineDeletion(name string, now time.Time)
	// ApplyMachineRecord applies a machine's record, with its version, to the state.
	ApplyMachineRecord(name string, rec storage.Machine, version uint64, now time.Time)
}

// Cloud creates, lists and deletes machines.
type Cloud interface {
	// Catalog returns the machine types that the cloud offers, at least one.
	Catalog() (protocol.Catalog, error)
	// Machines returns all machines of the cluster that the cloud lists, by name. The list may be
	// out of date.
	Machines() (map[string]protocol.ListedMachine, error)
	// CreateMachines requests machines and returns the names of those that were created, which may
	// be fewer. Repeating a request under the same name creates no further machines.
	CreateMachines(req protocol.CreateMachinesRequest) ([]string, error)
	// DeleteMachines deletes machines. If it returns no error, nothing runs on them any more.
	DeleteMachines(names []string) error
}

// Peering summarises the state of this controller.
type Peering interface {
	// PartitionSummaries returns the summaries of the partitions that this controller leads.
	PartitionSummaries(now time.Time) []*peer.PartitionSummary
}

// Scheduler provides the scarcity of machine types.
type Scheduler interface {
	// Scarcity returns the scarcity of each machine type, given the unfinished jobs that need
	// the type and the other types on which these jobs can run.
	Scarcity(now time.Time) binpack.Scarcity
}
