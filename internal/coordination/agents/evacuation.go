package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
)

const (
	// finishesInTime and outlastsNotice are fractions of the time left before a preemption: work
	// with less than the first remaining counts as done before it, and work with more than
	// the second as lost.
	finishesInTime = 0.9
	outlastsNotice = 1.2
	// saveLeadS and saveLeadHeartbeats are how much earlier than a task needs to save it is
	// stopped, in seconds and heartbeat intervals: the stop may take that long to arrive.
	saveLeadS          = 2
	saveLeadHeartbeats = 1.5
)

// evacuate moves work off a machine that the cloud is going to take away: what is done in time
// goes on, what can save does so at the last moment, and what would be lost anyway is started
// elsewhere now.
func (a *Agents) evacuate(machine *cluster.Machine, now time.Time) {
	left := machine.PreemptionAt.Sub(now).Seconds()
	for _, attempt := range machine.SortedAttempts() {
		if attempt.Live() && !attempt.Stopping {
			a.evacuateAttempt(attempt, left, now)
		}
	}
}

// evacuateAttempt stops an attempt on a machine that has so many seconds left, if that is to be
// done now.
func (a *Agents) evacuateAttempt(attempt *cluster.Attempt, left float64, now time.Time) {
	spec := attempt.Job.Spec
	remaining := a.scheduler.RemainingS(attempt, now)
	switch {
	case attempt.StartedAt.IsZero():
		a.StopAttempt(attempt, 0, now)
	case remaining < left*finishesInTime:
		// It is done before the machine goes.
	case spec.CheckpointS > 0:
		if left < spec.SaveS+saveLeadS+saveLeadHeartbeats*a.HeartbeatInterval.Seconds() {
			a.StopAttempt(attempt, spec.SaveS+saveSlackS, now)
		}
	case remaining > left*outlastsNotice:
		a.StopAttempt(attempt, 0, now)
	}
}
