package agents

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
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
