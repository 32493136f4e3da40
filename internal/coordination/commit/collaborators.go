package commit

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/storage"
)

// Agents is what Committer asks of its collaborator.
type Agents interface {
	// MachineRecorded follows the assignment record of a machine.
	MachineRecorded(name string, rec storage.Machine, version uint64, now time.Time)
	// ReleaseAttempt books an attempt that is proven over without a result.
	ReleaseAttempt(a *cluster.Attempt, reason string, now time.Time)
	// SendCommands sends direct commands, one request at a time for each machine.
	SendCommands(m *cluster.Machine)
	// TokensDue are the machines of a part whose tokens are due to be raised, the longest due first.
	TokensDue(p *cluster.Partition, now time.Time) (due []*cluster.Machine)
}

// Leases is what Committer asks of its collaborator.
type Leases interface {
	// LosePartition stops acting for a part.
	LosePartition(p *cluster.Partition, reason string)
}

// Scheduler is what Committer asks of its collaborator.
type Scheduler interface {
	// Place gives waiting tasks to machines by least contention: it gathers what the
	// placement's room decides on, and reserves what that says.
	Place(p *cluster.Partition, now time.Time)
	// Preempt stops running work for jobs that must start now and find no room.
	Preempt(p *cluster.Partition, now time.Time)
	// Queue lists the jobs of a part that want something, in the order in which they
	// are served: those with waiting tasks, with records to write, or at their end. The
	// list is kept for a moment, so that events do not each sort all jobs again, unless
	// another job comes to want something: served last, its tasks would find the room
	// taken, and its ends would be on record, and its team's room be free, a batch later.
	Queue(p *cluster.Partition) []*cluster.Job
}

// Jobs is what Committer asks of its collaborator.
type Jobs interface {
	ApplyFinalRecord(id string, raw []byte)
	// DropIfReleased forgets a job that has ended and holds nothing any more.
	DropIfReleased(j *cluster.Job)
	// SetFinal notes that a job is done or withdrawn, for good, and when it was at the earliest.
	SetFinal(id, status string, at time.Time)
}
