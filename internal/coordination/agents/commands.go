package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
)

const (
	// commandsLimit is how many commands one message holds. It keeps an answer to an agent
	// far below 64 KiB.
	commandsLimit = 300
	// directStartWait is how long the first start of an attempt is left to direct commands
	// before the answer to a heartbeat carries it.
	directStartWait = 500 * time.Millisecond
	// stopGraceSlackS is for how many seconds beyond its grace a stop is repeated with grace;
	// afterwards it is sent without.
	stopGraceSlackS = 2
)

// commandsFor lists what an agent should do, in order. The answer to a heartbeat repeats what
// direct commands may have failed to bring; repeated says that the list is for one.
func (a *Agents) commandsFor(machine *cluster.Machine, now time.Time, repeated bool) []protocol.Command {
	commands := []protocol.Command{}
	if !machine.NeedsCommands() {
		return commands
	}
	token := a.Token(machine)
	for _, attempt := range machine.SortedAttempts() {
		if op, graceS := opForAttempt(attempt, token, now, repeated); op != "" {
			commands = append(commands, protocol.Command{Op: op, Task: attempt.TaskName(), Attempt: attempt.Number, GraceS: graceS})
		}
	}
	for _, task := range machine.OrphanedTasks {
		commands = append(commands, commandForOrphan(task))
	}
	return commands[:min(len(commands), commandsLimit)]
}

// opForAttempt returns what an agent should do about an attempt, "" if nothing, and with how many
// seconds of grace. It notes that a start is sent.
func opForAttempt(attempt *cluster.Attempt, token uint64, now time.Time, repeated bool) (op string, graceS float64) {
	switch {
	case attempt.State == cluster.AttemptCommitted && !attempt.Stopping && !attempt.Job.Ended && attempt.Epoch == attempt.Machine.Epoch:
		if attempt.StartsInFlight > 0 || repeated && attempt.StartToken == 0 && now.Sub(attempt.CommittedAt) < directStartWait {
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
		if attempt.StartUnanswered && attempt.StartToken >= token {
			// A repeated start may still arrive (rule 9).
			attempt.Machine.RaiseTokenBy(now.Add(forgetDelay))
			return "", 0
		}
		return protocol.OpForget, 0
	}
	return "", 0
}

// commandForOrphan returns what an agent should do about a task that is on no record: stop it,
// then forget it.
func commandForOrphan(task protocol.TaskReport) protocol.Command {
	command := protocol.Command{Op: protocol.OpStop, Task: task.Task, Attempt: task.Attempt}
	if task.State == protocol.TaskEnded {
		command.Op = protocol.OpForget
	}
	return command
}
