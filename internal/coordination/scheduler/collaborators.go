package scheduler

import (
	"time"

	"micaspindle/internal/coordination/cluster"
)

// Agents is what Scheduler asks of its collaborator.
type Agents interface {
	// StopAttempt wants an attempt off its machine.
	StopAttempt(a *cluster.Attempt, grace float64, now time.Time)
}
