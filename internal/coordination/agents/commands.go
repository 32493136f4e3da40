package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
)

const (
	// commandsLimit is the maximum number of commands in one message. It keeps an answer to an
	// agent well below 64 KiB.
	commandsLimit = 300
	// directStartPeriod is the time for which a new attempt's start command is sent only in
	// requests to the agent. After that, answers to heartbeats repeat the command.
	directStartPeriod = 500 * time.Millisecond
	// A stop is repeated with its grace period until stopGraceSlackS seconds after that period
	// has ended, and without grace afterwards.
	stopGraceSlackS = 2
)

// commandsFor returns the pending commands for a machine's agent, in order. forHeartbeat is set if
// the commands are for the answer to a heartbeat, which also repeats commands whose own request may
// have been lost.
func (a *Agents) commandsFor(machine *cluster.Machine, now time.Time, forHeartbeat bool) []protocol.Command {
	commands := []protocol.Command{}
	if !machine.NeedsCommands() {
		return commands
	}
	token := a.Token(machine)
	for _, attempt := range machine.SortedAttempts() {
		if a.awaitsHigherToken(attempt, token, now) {
			continue
		}
		if op, graceS := opForAttempt(attempt, token, now, forHeartbeat); op != "" {
			commands = append(commands, protocol.Command{Op: op, Task: attempt.TaskName(), Attempt: attempt.Number, GraceS: graceS})
		}
	}
	for _, task := range machine.OrphanedTasks {
		commands = append(commands, commandForOrphan(task))
	}
	return commands[:min(len(commands), commandsLimit)]
}

// opForAttempt returns the operation of the pending command for an attempt, or "" if there is none,
// and its grace period in seconds. If the operation is a start, opForAttempt records that the start
// is sent.
func opForAttempt(attempt *cluster.Attempt, token uint64, now time.Time, forHeartbeat bool) (op string, graceS float64) {
	switch {
	case attempt.State == cluster.AttemptCommitted && !attempt.Stopping && !attempt.Job.Ended && attempt.Epoch == attempt.Machine.Epoch:
		if attempt.StartsInFlight > 0 || forHeartbeat && attempt.StartToken == 0 && now.Sub(attempt.CommittedAt) < directStartPeriod {
			return "", 0
		}
		attempt.StartToken, attempt.StartSentAt = token, now
		return protocol.OpStart, 0
	case attempt.State == cluster.AttemptConfirmed && attempt.Stopping:
		if now.Sub(attempt.StopRequestedAt).Seconds() > attempt.StopGraceS+stopGraceSlackS {
			return protocol.OpStop, 0
		}
		return protocol.OpStop, attempt.StopGraceS
	case attempt.State == cluster.AttemptReleased && attempt.StartsInFlight == 0:
		return protocol.OpForget, 0
	}
	return "", 0
}

// commandForOrphan returns the command for a task that matches no known attempt: a stop or, once
// the task has ended, a forget.
func commandForOrphan(task protocol.TaskReport) protocol.Command {
	command := protocol.Command{Op: protocol.OpStop, Task: task.Task, Attempt: task.Attempt}
	if task.State == protocol.TaskEnded {
		command.Op = protocol.OpForget
	}
	return command
}
