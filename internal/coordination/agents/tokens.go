package agents

import (
	"cmp"
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
)

// CommandAnswerWait is how long the answer to a command is waited for before the command
// counts as held up, where a task of a cancelled job depends on it. It is as long as a
// worker takes to report a change.
const CommandAnswerWait = 500 * time.Millisecond

// stopAnswerWait is the same where no job was cancelled.
const stopAnswerWait = time.Second

// reapDelay is how long an ended attempt whose start may still come stays with its
// worker, so that one raise serves many. It holds neither room nor quota.
const reapDelay = 5 * time.Second

// pendingCommandsLimit bounds the orders to a machine that wait for an answer.
const pendingCommandsLimit = 4

// RepeatedCommandsSocketShare of the sockets, and repeatsLeast at least, may hold orders beside earlier
// ones to the same machine: where many machines are cut off, workers and users need them.
const RepeatedCommandsSocketShare = 32

const RepeatedCommandsMin = 8

// commandsSent notes that orders are sent to a machine.
func (ag *Agents) commandsSent(m *cluster.Machine, now time.Time) {
	if m.PendingCommands > 0 {
		ag.RepeatedCommands++
	}
	m.PendingCommands++
	m.CommandedAt = now
}

// commandsAnswered notes that the answer to orders has come or been given up.
func (ag *Agents) commandsAnswered(m *cluster.Machine) {
	if m.PendingCommands--; m.PendingCommands > 0 {
		ag.RepeatedCommands--
	}
}

// mayRepeat says whether orders may be sent to a machine beside those that are under way:
// a cancelled task depends on them, and there is room.
func (ag *Agents) mayRepeat(m *cluster.Machine) bool {
	most := max(RepeatedCommandsMin, ag.Settings.Params.MachineLimits.Sockets/RepeatedCommandsSocketShare)
	return m.HasCancelledTask() && m.PendingCommands < pendingCommandsLimit && ag.RepeatedCommands < most
}

// mayStillStart says whether a start of an attempt was sent that can come at any time.
func (ag *Agents) mayStillStart(a *cluster.Attempt) bool {
	return a.State == cluster.AttemptCommitted && a.Stopping && a.StartToken != 0 && a.StartToken >= ag.Token(a.Machine)
}

// fenceOutStart has the token raised where a start of an attempt that is to stop may still come.
// The answer to the start is waited for, but not for long if its job was cancelled: its
// user was told so, and from then on nothing of it may start.
func (ag *Agents) fenceOutStart(a *cluster.Attempt, now time.Time) {
	if !ag.mayStillStart(a) {
		return
	}
	switch {
	case a.Job.Ended && now.Sub(a.StartSentAt) > CommandAnswerWait:
	case a.StartsInFlight == 0 && now.Sub(a.StopRequestedAt) > stopAnswerWait:
	default:
		return
	}
	a.Machine.RaiseTokenBy(now)
	ag.Partitions[a.Machine.Record.Partition].Wake()
}

// repeatCommands sends what the machine has to do beside commands that are held up.
func (ag *Agents) repeatCommands(m *cluster.Machine) {
	if m.Fenced {
		ag.sendCommandsNow(m)
	} else {
		ag.Fence(m)
	}
}

// TokensDue are the machines of a part whose tokens are due to be raised, the longest due first.
func (ag *Agents) TokensDue(p *cluster.Partition, now time.Time) (due []*cluster.Machine) {
	for _, m := range ag.Machines {
		if m.Record.Partition == p.Index && !m.TokenRaiseBy.IsZero() && !m.TokenRaiseBy.After(now) {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(x, y *cluster.Machine) int {
		return cmp.Or(x.TokenRaiseBy.Compare(y.TokenRaiseBy), cmp.Compare(x.Name, y.Name))
	})
	return due
}
