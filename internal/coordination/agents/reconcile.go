package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/telemetry"
)

// reconcile compares the tasks in a heartbeat under the current fencing token with the attempts
// that should be on the machine.
func (a *Agents) reconcile(machine *cluster.Machine, heartbeat *protocol.Heartbeat, now time.Time) {
	reported := make(map[string]bool, len(heartbeat.Tasks))
	clear(machine.OrphanedTasks)
	for _, task := range heartbeat.Tasks {
		key := cluster.AttemptKey(task.Task, task.Attempt)
		reported[key] = true
		if attempt := machine.Attempts[key]; attempt != nil {
			a.applyTaskReport(attempt, task, now)
		} else {
			machine.OrphanedTasks[key] = task
		}
	}
	for key, attempt := range machine.Attempts {
		if !reported[key] {
			a.applyAbsence(key, attempt, heartbeat.Token, now)
		}
	}
	machine.RecountUsed()
}

// applyTaskReport takes in what the agent says of an attempt.
func (a *Agents) applyTaskReport(attempt *cluster.Attempt, task protocol.TaskReport, now time.Time) {
	if attempt.State <= cluster.AttemptCommitted {
		attempt.State = cluster.AttemptConfirmed
	}
	if !attempt.Live() {
		return
	}
	switch task.State {
	case protocol.TaskRunning:
		a.attemptRunning(attempt, now)
	case protocol.TaskEnded:
		a.attemptExited(attempt, task, now)
	}
}

// attemptRunning takes in that an attempt runs.
func (a *Agents) attemptRunning(attempt *cluster.Attempt, now time.Time) {
	if attempt.StartedAt.IsZero() {
		attempt.StartedAt = now
		if !attempt.ReplicatedStart.IsZero() {
			attempt.StartedAt = attempt.ReplicatedStart
		}
		attempt.Job.RunningCount++
		if !attempt.Inherited {
			a.metrics.RecordWait(telemetry.Start, now.Sub(attempt.Job.ReadySince()), now)
		}
	}
	attempt.Machine.Images[attempt.Job.Spec.Image] = now
	a.detectSlowMachine(attempt, now.Sub(attempt.StartedAt).Seconds())
}

// applyAbsence takes in that a heartbeat under a token does not show an attempt.
func (a *Agents) applyAbsence(key string, attempt *cluster.Attempt, token uint64, now time.Time) {
	switch attempt.State {
	case cluster.AttemptReleased:
		// The agent has forgotten it.
		delete(attempt.Machine.Attempts, key)
	case cluster.AttemptExited:
		// It stays until its end is on record.
	case cluster.AttemptConfirmed:
		a.ReleaseAttempt(attempt, "vanished", now)
	case cluster.AttemptCommitted:
		// No start of this controller can still arrive under the token, also none under way.
		if attempt.Stopping && attempt.StartToken < token {
			a.ReleaseAttempt(attempt, "never started", now)
		}
	}
}
