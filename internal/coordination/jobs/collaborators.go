package jobs

import (
	"time"

	"micaspindle/internal/coordination/cluster"
)

// Agents stops attempts on machines.
type Agents interface {
	// StopAttempt stops an attempt. Its process is killed if it has not exited graceS seconds
	// after the signal.
	StopAttempt(attempt *cluster.Attempt, graceS float64, now time.Time)
}

// Auth decides which users may access a job.
type Auth interface {
	// AddJobQueue records the queue of an accepted job from its record.
	AddJobQueue(id string, record []byte)
}

// Scheduler assigns jobs to fair-share groups and counts the completed jobs of each group.
type Scheduler interface {
	// ClassGroup returns the fair-share group of a class.
	ClassGroup(class string) int
	// CountDoneJob counts a completed job of a partition for its fair-share groups.
	CountDoneJob(partition int, groups [2]int, at time.Time)
}
