package commit

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/storage"
)

// Agents sends commands to agents and owns the attempts on machines.
type Agents interface {
	// ApplyMachineRecord applies a revision of a machine's record.
	ApplyMachineRecord(name string, record storage.Machine, revision uint64, now time.Time)
	// ReleaseAttempt releases an attempt that has provably ended without a result.
	ReleaseAttempt(attempt *cluster.Attempt, reason string, now time.Time)
	// SendCommands sends the pending commands to a machine's agent, one request at a time.
	SendCommands(machine *cluster.Machine)
	// MachinesDueForNewToken returns the machines of a partition whose fencing tokens are due
	// to be raised, longest overdue first.
	MachinesDueForNewToken(partition *cluster.Partition, now time.Time) (due []*cluster.Machine)
}

// Leases holds the partition leases of this controller.
type Leases interface {
	// StopLeading gives up the leadership of a partition.
	StopLeading(partition *cluster.Partition, reason string)
}

// Scheduler places tasks on machines.
type Scheduler interface {
	// Place reserves machines for waiting tasks.
	Place(partition *cluster.Partition, now time.Time)
	// Preempt stops running tasks to make room for jobs that have to start now.
	Preempt(partition *cluster.Partition, now time.Time)
	// Queue returns the jobs of a partition that have waiting tasks, run records to write or a
	// completion to commit, in scheduling order.
	Queue(partition *cluster.Partition) []*cluster.Job
}

// Jobs tracks the unfinished jobs and the final states of ended jobs.
type Jobs interface {
	// ApplyFinalRecord sets the final state of a job from its final record.
	ApplyFinalRecord(id string, raw []byte)
	// DropIfReleased removes a job that has ended from memory, once the job has no live
	// attempts and no run records.
	DropIfReleased(job *cluster.Job)
	// SetFinalState sets the final state of a job. at is the earliest time at which the job may
	// have ended.
	SetFinalState(id, status string, at time.Time)
}
