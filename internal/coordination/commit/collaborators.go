package commit

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/storage"
)

// Agents sends commands to agents and owns the attempts on machines.
type Agents interface {
	// MachineRecorded takes in the assignment record of a machine, as of a revision.
	MachineRecorded(name string, record storage.Machine, revision uint64, now time.Time)
	// ReleaseAttempt ends an attempt that is proven over without a result.
	ReleaseAttempt(attempt *cluster.Attempt, reason string, now time.Time)
	// SendCommands sends what a machine's agent should do, one request at a time for each
	// machine.
	SendCommands(machine *cluster.Machine)
	// TokensDue lists the machines of a partition whose fencing tokens are due to be raised,
	// those that are due the longest first.
	TokensDue(partition *cluster.Partition, now time.Time) (due []*cluster.Machine)
}

// Leases holds the partition leases of this controller.
type Leases interface {
	// LosePartition stops acting as the leader of a partition.
	LosePartition(partition *cluster.Partition, reason string)
}

// Scheduler decides which tasks start where.
type Scheduler interface {
	// Place reserves machines for waiting tasks.
	Place(partition *cluster.Partition, now time.Time)
	// Preempt stops running tasks for jobs that must start now and find no room.
	Preempt(partition *cluster.Partition, now time.Time)
	// Queue lists the jobs of a partition that have waiting tasks, records to write or their
	// end to record, in the order in which they are served.
	Queue(partition *cluster.Partition) []*cluster.Job
}

// Jobs holds the jobs that are not finished, and how the others ended.
type Jobs interface {
	// ApplyFinalRecord takes in the record of how a job ended.
	ApplyFinalRecord(id string, raw []byte)
	// DropIfReleased forgets a job that has ended and holds nothing any more.
	DropIfReleased(job *cluster.Job)
	// SetFinal notes that a job is done or cancelled, for good, and since when at the earliest.
	SetFinal(id, status string, at time.Time)
}
