package agents

import (
	"cmp"
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
)

// A command without an answer may be carried out at any later time, until its agent has seen a
// higher fencing token (rule 50). So where a start must not come any more, the token of its
// machine is raised: the record of the machine is written again, and the agent is fenced.

const (
	// CommandAnswerWait is how long the answer to a command is waited for before the command
	// counts as held up, where a task of a cancelled job depends on it. It is as long as an
	// agent takes to report a change.
	CommandAnswerWait = 500 * time.Millisecond
	// stopAnswerWait is the same where no job was cancelled.
	stopAnswerWait = time.Second
	// forgetDelay is how long a released attempt whose start may still arrive stays with its
	// agent, so that one raise of the token serves many. It holds neither room nor quota.
	forgetDelay = 5 * time.Second
	// pendingCommandsLimit bounds the requests to a machine that wait for an answer.
	pendingCommandsLimit = 4

	// One in RepeatedCommandsSocketShare of the sockets, and RepeatedCommandsMin at least, may
	// serve requests beside earlier ones to the same machine: where many machines are cut off,
	// agents and users need the others.
	RepeatedCommandsSocketShare = 32
	RepeatedCommandsMin         = 8
)

// commandsSent notes that a request with commands is sent to a machine.
func (a *Agents) commandsSent(machine *cluster.Machine, now time.Time) {
	if machine.CommandRequestsInFlight > 0 {
		a.RepeatedCommands++
	}
	machine.CommandRequestsInFlight++
	machine.CommandsSentAt = now
}

// commandsAnswered notes that the answer to a request with commands has come or been given up.
func (a *Agents) commandsAnswered(machine *cluster.Machine) {
	machine.CommandRequestsInFlight--
	if machine.CommandRequestsInFlight > 0 {
		a.RepeatedCommands--
	}
}

// mayRepeat says whether commands may be sent to a machine beside those that are under way: a
// task of a cancelled job depends on them, and there are sockets left.
func (a *Agents) mayRepeat(machine *cluster.Machine) bool {
	limit := max(RepeatedCommandsMin, a.Settings.Params.MachineLimits.Sockets/RepeatedCommandsSocketShare)
	return machine.HasCancelledTask() && machine.CommandRequestsInFlight < pendingCommandsLimit && a.RepeatedCommands < limit
}

// mayStillStart says whether a start of an attempt was sent that may arrive at any time.
func (a *Agents) mayStillStart(attempt *cluster.Attempt) bool {
	return attempt.State == cluster.AttemptCommitted && attempt.Stopping && attempt.StartToken != 0 &&
		attempt.StartToken >= a.Token(attempt.Machine)
}

// fenceOutStart has the token raised where a start of an attempt that is to stop may still
// arrive. The answer to the start is waited for, but not for long if its job was cancelled: its
// cancellation was confirmed to a user, and from then on nothing of it may start.
func (a *Agents) fenceOutStart(attempt *cluster.Attempt, now time.Time) {
	if !a.mayStillStart(attempt) {
		return
	}
	cancelledWaitOver := attempt.Job.Ended && now.Sub(attempt.StartSentAt) > CommandAnswerWait
	stopWaitOver := attempt.StartsInFlight == 0 && now.Sub(attempt.StopRequestedAt) > stopAnswerWait
	if !cancelledWaitOver && !stopWaitOver {
		return
	}
	attempt.Machine.RaiseTokenBy(now)
	a.Partitions[attempt.Machine.Record.Partition].Wake()
}

// repeatCommands sends what a machine's agent should do beside commands that are held up.
func (a *Agents) repeatCommands(machine *cluster.Machine) {
	if machine.TokenConfirmed {
		a.sendCommandsNow(machine)
	} else {
		a.Fence(machine)
	}
}

// TokensDue lists the machines of a partition whose tokens are due to be raised, those that are
// due the longest first.
func (a *Agents) TokensDue(partition *cluster.Partition, now time.Time) (due []*cluster.Machine) {
	for _, machine := range a.Machines {
		if machine.Record.Partition == partition.Index && !machine.TokenRaiseBy.IsZero() && !machine.TokenRaiseBy.After(now) {
			due = append(due, machine)
		}
	}
	slices.SortFunc(due, func(x, y *cluster.Machine) int {
		return cmp.Or(x.TokenRaiseBy.Compare(y.TokenRaiseBy), cmp.Compare(x.Name, y.Name))
	})
	return due
}
