package jobs

import (
	"time"

	"micaspindle/internal/coordination/cluster"
)

// Agents stops attempts on machines.
type Agents interface {
	// StopAttempt has an attempt stopped; its process gets grace seconds between the signal
	// and the kill.
	StopAttempt(a *cluster.Attempt, grace float64, now time.Time)
}

// Auth knows who may see which job.
type Auth interface {
	// NoteJob remembers the queue of an accepted job, from its record.
	NoteJob(id string, record []byte)
}

// Scheduler groups jobs for fair shares and counts what each group got done.
type Scheduler interface {
	// ClassGroup gives the fair-share group of a class.
	ClassGroup(class string) int
	// CountDone counts a done job of a partition for its groups.
	CountDone(partition int, groups [2]int, at time.Time)
}
