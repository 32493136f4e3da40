package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
)

const (
	// likelyDoneRatio and likelyLostRatio are ratios of a task's remaining run time to the
	// time until a preemption. Below the first, the task is expected to finish before the
	// preemption. Above the second, the task is expected to be lost.
	likelyDoneRatio = 0.9
	likelyLostRatio = 1.2
	// saveLeadS and saveLeadHeartbeats, in seconds and heartbeat intervals, allow for the time
	// until a stop arrives: a task that saves its progress is stopped that much earlier.
	saveLeadS          = 2
	saveLeadHeartbeats = 1.5
)

// evacuate moves work off a machine that is going to be preempted. Tasks that are expected to
// finish in time continue, and tasks with checkpoints are stopped just in time to save. Tasks that
// have not started or would be lost are stopped at once, to be restarted elsewhere.
func (a *Agents) evacuate(machine *cluster.Machine, now time.Time) {
	untilPreemptionS := machine.PreemptionAt.Sub(now).Seconds()
	for _, attempt := range machine.SortedAttempts() {
		if attempt.Live() && !attempt.Stopping {
			a.evacuateAttempt(attempt, untilPreemptionS, now)
		}
	}
}

// evacuateAttempt stops an attempt on a machine that will be preempted in untilPreemptionS seconds,
// if the attempt has to be stopped now.
func (a *Agents) evacuateAttempt(attempt *cluster.Attempt, untilPreemptionS float64, now time.Time) {
	spec := attempt.Job.Spec
	remainingS := a.scheduler.RemainingS(attempt, now)
	switch {
	case attempt.StartedAt.IsZero():
		a.StopAttempt(attempt, 0, now)
	case remainingS < untilPreemptionS*likelyDoneRatio:
		// The task is expected to finish before the preemption.
	case spec.CheckpointIntervalS > 0:
		if untilPreemptionS < spec.CheckpointDurationS+saveLeadS+saveLeadHeartbeats*a.HeartbeatInterval.Seconds() {
			a.StopAttempt(attempt, spec.CheckpointDurationS+saveSlackS, now)
		}
	case remainingS > untilPreemptionS*likelyLostRatio:
		a.StopAttempt(attempt, 0, now)
	}
}
