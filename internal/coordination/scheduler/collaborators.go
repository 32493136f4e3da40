package scheduler

import (
	"time"

	"micaspindle/internal/coordination/cluster"
)

// Agents stops attempts on behalf of the scheduler.
type Agents interface {
	// StopAttempt sends the agent of an attempt's machine the command to stop it. The task
	// gets graceS seconds to save a checkpoint.
	StopAttempt(a *cluster.Attempt, graceS float64, now time.Time)
}
