package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/telemetry"
)

// reconcile updates the attempts on a machine from the tasks in a heartbeat under the current
// fencing token.
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

// applyTaskReport updates an attempt from its entry in a heartbeat.
func (a *Agents) applyTaskReport(attempt *cluster.Attempt, task protocol.TaskReport, now time.Time) {
	if attempt.State <= cluster.AttemptCommitted {
		attempt.State = cluster.AttemptConfirmed
	}
	if !attempt.Live() {
		return
	}
	switch task.State {
	case protocol.TaskRunning:
		a.handleAttemptRunning(attempt, now)
	case protocol.TaskEnded:
		a.handleAttemptExit(attempt, task, now)
	}
}

// handleAttemptRunning processes the report that an attempt is running.
func (a *Agents) handleAttemptRunning(attempt *cluster.Attempt, now time.Time) {
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
	a.detectSlowMachine(attempt, now.Sub(attempt.StartedAt).Seconds(), now)
}

// applyAbsence updates an attempt that is missing from a heartbeat. token is the heartbeat's
// fencing token.
func (a *Agents) applyAbsence(key string, attempt *cluster.Attempt, token uint64, now time.Time) {
	switch attempt.State {
	case cluster.AttemptReleased:
		if !a.absenceProvesEnd(attempt, token, now) {
			return
		}
		a.log.Info("attempt forgotten", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", attempt.Machine.Name, "token", token)
		delete(attempt.Machine.Attempts, key)
	case cluster.AttemptExited:
		// The attempt is kept until its end is committed.
	case cluster.AttemptConfirmed:
		if a.absenceProvesEnd(attempt, token, now) {
			a.ReleaseAttempt(attempt, "missing from heartbeat", now)
		}
	case cluster.AttemptCommitted:
		// The agent refuses a start with an earlier token, even one that is still in
		// flight.
		if attempt.Stopping && attempt.StartToken < token {
			a.ReleaseAttempt(attempt, "never started", now)
		}
	}
}

// absenceProvesEnd reports whether an attempt that the agent no longer reports has certainly ended. If
// a copy of its start could run it again under the agent's token, absenceProvesEnd requests a higher
// token.
func (a *Agents) absenceProvesEnd(attempt *cluster.Attempt, token uint64, now time.Time) bool {
	if attempt.MayStartAgain(token) {
		attempt.Machine.RaiseTokenBy(now)
		return false
	}
	return true
}
