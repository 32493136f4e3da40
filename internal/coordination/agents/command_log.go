package agents

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol"
	"micaspindle/internal/telemetry"
)

// logCommands logs the commands of a message to an agent: the token and the epoch under which they
// are valid, the token that the agent is known to have received, and the route, which is "direct",
// "heartbeat" for an answer to a heartbeat, or the label of a delegate.
func (a *Agents) logCommands(machine *cluster.Machine, batch protocol.CommandBatch, route string) {
	if len(batch.Commands) == 0 || !a.log.Enabled(a.loop.Context(), slog.LevelInfo) {
		return
	}
	attempts := map[string][]string{}
	for _, command := range batch.Commands {
		attempts[command.Op] = append(attempts[command.Op], cluster.AttemptKey(command.Task, command.Attempt))
	}
	a.log.Info("commands sent", "machine", machine.Name, "epoch", machine.Epoch, "token", batch.Token, "token_seen", machine.TokenSeen, "route", route,
		"starts", attempts[protocol.OpStart], "stops", attempts[protocol.OpStop], "forgets", attempts[protocol.OpForget])
}

// logHeartbeatAnswering logs when this controller begins or ceases to answer the heartbeats of a
// partition's agents as the partition's leader.
func (a *Agents) logHeartbeatAnswering(now time.Time) {
	for _, partition := range a.Partitions {
		answers := a.MayAnswerHeartbeats(partition, now)
		if answers == partition.AnswersHeartbeats {
			continue
		}
		partition.AnswersHeartbeats = answers
		if answers {
			a.log.Info("heartbeats answered", "partition", partition.Index, "token", partition.LeaseRevision)
		} else {
			a.log.Info("heartbeats no longer answered", "partition", partition.Index, "elapsed", now.Sub(a.UpToDateAt()))
		}
	}
}

// logOlderToken logs that a heartbeat is answered although its agent has not received this leader's
// fencing token, so that a former leader may answer the agent too.
func (a *Agents) logOlderToken(machine *cluster.Machine, heartbeat *protocol.Heartbeat, token uint64, now time.Time) {
	a.metrics.Count(telemetry.HeartbeatOlderToken, 1)
	a.log.With(boundAttributes(machine.Answers.Others(), now)...).
		Info("heartbeat answered under an older token", "machine", machine.Name, "epoch", heartbeat.Epoch, "token", token, "token_seen", heartbeat.Token)
}

// logLeaseExpiry logs that a machine's lease counts as expired, with the times on which this rests: the
// last heartbeat received, the last answer that any controller may have given, and the answer bound of
// former leaders.
func (a *Agents) logLeaseExpiry(machine *cluster.Machine, now time.Time) {
	a.log.With(boundAttributes(machine.Answers.Others(), now)...).
		Info("machine lease expired", "machine", machine.Name, "epoch", machine.Epoch, "elapsed", now.Sub(machine.LastHeartbeatAt),
			"token", a.Token(machine), "token_seen", machine.TokenSeen, "token_confirmed", machine.TokenConfirmed,
			"answered", now.Sub(machine.Answers.Until()), "count", len(machine.Attempts))
}

// boundAttributes returns the log attributes of a bound on former leaders' answers: the controller, the
// time that is left, which is negative if it is over, and the reason. There are none if no former leader
// can have answered the machine.
func boundAttributes(bound failover.AnswerBound, now time.Time) []any {
	if bound.Until.IsZero() {
		return nil
	}
	return []any{"controller", bound.Controller, "after", bound.Until.Sub(now), "reason", bound.Reason}
}
