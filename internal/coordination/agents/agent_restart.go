package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol"
)

// An agent that restarts without its memory has forgotten its attempts and its fencing token, so it
// executes copies of any start for its epoch. Its heartbeats look like copies of old ones. Only the
// answer to a request proves the restart, since it was made after the request was sent (rule 56).

// ProbeIfRestarted sends a message without commands to a machine's agent, from which a heartbeat came
// that is not newer than an earlier one. The heartbeat is a copy, unless the agent has restarted. It
// sends at most two messages in a machine lease.
func (a *Agents) ProbeIfRestarted(machine *cluster.Machine, now time.Time) {
	if now.Sub(machine.ProbedAt) < a.AgentLease/2 || !a.isLedHere(machine) || !a.Partitions[machine.Record.Partition].Ready {
		return
	}
	machine.ProbedAt = now
	a.sendFence(machine)
}

// detectRestart checks whether an agent has restarted without its memory: its answer to a request is
// not newer than a heartbeat that was applied before the request was sent. If so, the agent's
// heartbeats count from this answer on, and its token is raised, so that attempts that are missing
// from a heartbeat under the new token have certainly ended.
func (a *Agents) detectRestart(machine *cluster.Machine, sentAfter cluster.HeartbeatPosition, answer *protocol.Heartbeat, now time.Time) {
	position := cluster.PositionOf(answer)
	if sentAfter.Before(position) || answer.Machine != machine.Name {
		return
	}
	a.log.Info("agent restarted without its memory", "machine", machine.Name, "epoch", answer.Epoch, "token", answer.Token, "token_seen", machine.TokenSeen)
	machine.Epoch, machine.Sequence = position.Epoch, position.Sequence-1
	machine.NewestHeartbeatRequest = machine.Position()
	machine.Answers.Answered(now) // the agent's first lease began at the restart
	// The agent has lost its token, so it accepts answers of former leaders again.
	machine.Answers.OthersMayAnswer(failover.Latest(machine.Answers.Others(), a.leases.LastAnswerBound(a.Partitions[machine.Record.Partition], machine)))
	machine.RaiseTokenBy(now)
	a.Partitions[machine.Record.Partition].Wake()
	for _, attempt := range machine.SortedAttempts() {
		if attempt.Epoch > position.Epoch {
			a.StopAttempt(attempt, 0, now) // it can't be started any more
		}
	}
}
