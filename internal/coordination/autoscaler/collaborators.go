package autoscaler

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
)

// Agents moves, retires and forgets machines, in the state and with their agents.
type Agents interface {
	// HandleMachineRequest moves or retires a machine of one of this controller's
	// partitions, if it is idle.
	HandleMachineRequest(req *peer.MachineRequest) *peer.MachineReply
	// MachineDeleted takes a machine whose record was deleted out of the state.
	MachineDeleted(name string, now time.Time)
	// MachineRecorded takes the record of a machine, and its version, into the state.
	MachineRecorded(name string, rec storage.Machine, version uint64, now time.Time)
}

// Cloud creates, lists and deletes machines.
type Cloud interface {
	// Catalog gets the machine types that the cloud offers, at least one.
	Catalog() (protocol.Catalog, error)
	// Machines lists all machines of the cluster that the cloud knows, by name. The list
	// lags behind.
	Machines() (map[string]protocol.ListedMachine, error)
	// CreateMachines asks for machines and returns the names of those that the cloud gives,
	// which may be fewer. A request that is repeated under its name creates no machine twice.
	CreateMachines(req protocol.CreateMachinesRequest) ([]string, error)
	// DeleteMachines deletes machines. Nothing runs on them once it has returned without an
	// error.
	DeleteMachines(names []string) error
}

// Peering summarises this controller for others.
type Peering interface {
	// PartitionSummaries describes the partitions that this controller leads.
	PartitionSummaries(now time.Time) []*peer.PartitionSummary
}

// Scheduler knows the pending work of all partitions.
type Scheduler interface {
	// Scarcity says of each machine type how few choices the unfinished jobs have that need
	// it.
	Scarcity(now time.Time) binpack.Scarcity
}
