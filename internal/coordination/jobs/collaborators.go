package jobs

import (
	"time"

	"micaspindle/internal/coordination/cluster"
)

// Agents is what Tracker asks of its collaborator.
type Agents interface {
	// StopAttempt wants an attempt off its machine.
	StopAttempt(a *cluster.Attempt, grace float64, now time.Time)
}

// Auth is what Tracker asks of its collaborator.
type Auth interface {
	// NoteJob remembers the queue of an accepted job, from its record.
	NoteJob(id string, record []byte)
}

// Scheduler is what Tracker asks of its collaborator.
type Scheduler interface {
	ClassGroup(class string) int
	// CountDone counts a job that was done.
	CountDone(part int, groups [2]int, at time.Time)
}
