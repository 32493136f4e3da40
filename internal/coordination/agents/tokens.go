package agents

import (
	"cmp"
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
)

// A command that was sent may be executed again at any later time, whether it was answered or not,
// until the machine's agent has received a higher fencing token (rule 50). While the agent knows the
// attempt, a copy of its start has no effect. So the token of one machine is raised before an
// unanswered start of a stopped attempt can arrive, and the tokens of the whole partition before
// ended attempts are forgotten.

const (
	// CommandAnswerWait is the time after which an unanswered command to a machine with a task
	// of a cancelled job is repeated, or the machine's token is raised. It equals the maximum
	// time until an agent reports a change.
	CommandAnswerWait = 500 * time.Millisecond
	// stopAnswerWait is the time from the request of a stop until the token is raised, if the
	// request with the start has failed but the start may still arrive.
	stopAnswerWait = time.Second
	// forgetDelay is the delay of the token record that lets agents forget a released attempt.
	// One record serves all attempts of a partition that were released before, which meanwhile
	// use neither resources nor quota.
	forgetDelay = 5 * time.Second
	// commandRequestsInFlightLimit is the maximum number of requests in flight to one machine.
	commandRequestsInFlightLimit = 4

	// The limit on requests to machines to which an earlier request is still in flight is the
	// number of sockets divided by RepeatedCommandsSocketShare, but at least
	// RepeatedCommandsMin. The other sockets are kept for agents and users if many machines are
	// unreachable.
	RepeatedCommandsSocketShare = 32
	RepeatedCommandsMin         = 8
)

// recordCommandsSent records that a request with commands to a machine is in flight.
func (a *Agents) recordCommandsSent(machine *cluster.Machine, now time.Time) {
	if machine.CommandRequestsInFlight > 0 {
		a.RepeatedCommands++
	}
	machine.CommandRequestsInFlight++
	machine.CommandsSentAt = now
}

// recordCommandsAnswered records that a request with commands was answered or failed.
func (a *Agents) recordCommandsAnswered(machine *cluster.Machine) {
	machine.CommandRequestsInFlight--
	if machine.CommandRequestsInFlight > 0 {
		a.RepeatedCommands--
	}
}

// mayRepeat reports whether commands may be sent to a machine while other requests to it are in
// flight. This requires that the machine has a task of a cancelled job and that the limits on
// requests are not reached.
func (a *Agents) mayRepeat(machine *cluster.Machine) bool {
	return machine.HasCancelledTask() && machine.CommandRequestsInFlight < commandRequestsInFlightLimit && a.RepeatedCommands < a.repeatLimit()
}

// repeatLimit returns the limit on repeated requests in flight to machines that may be unreachable.
func (a *Agents) repeatLimit() int {
	return max(RepeatedCommandsMin, a.Settings.Params.ProcessLimits.Sockets/RepeatedCommandsSocketShare)
}

// awaitsHigherToken reports whether a released attempt must not be forgotten under the machine's
// present token, because a copy of its start could then run it again. If so, it requests a higher
// token (rule 9).
func (a *Agents) awaitsHigherToken(attempt *cluster.Attempt, token uint64, now time.Time) bool {
	if attempt.State != cluster.AttemptReleased || !attempt.MayStartAgain(token) {
		return false
	}
	a.Partitions[attempt.Machine.Record.Partition].RaiseTokensBy(now.Add(forgetDelay))
	return true
}

// startMayStillArrive reports whether a start was sent for an attempt that is being stopped, and
// the agent may still accept it.
func (a *Agents) startMayStillArrive(attempt *cluster.Attempt) bool {
	return attempt.State == cluster.AttemptCommitted && attempt.Stopping && attempt.StartToken != 0 &&
		attempt.StartToken >= a.FencingToken(attempt.Machine)
}

// fencePendingStart requests a higher fencing token if a start of an attempt that is being stopped
// may still arrive, once the wait for the answer to the start is over. The wait is short if the job
// has ended, because no task may start after its cancellation was confirmed to a user.
func (a *Agents) fencePendingStart(attempt *cluster.Attempt, now time.Time) {
	if !a.startMayStillArrive(attempt) {
		return
	}
	endedJobWaitOver := attempt.Job.Ended && now.Sub(attempt.StartSentAt) > CommandAnswerWait
	stopWaitOver := attempt.StartsInFlight == 0 && now.Sub(attempt.StopRequestedAt) > stopAnswerWait
	if !endedJobWaitOver && !stopWaitOver {
		return
	}
	attempt.Machine.RaiseTokenBy(now)
	a.Partitions[attempt.Machine.Record.Partition].Wake()
}

// repeatCommands sends the pending commands or the fencing token again, although earlier requests
// to the machine were not answered.
func (a *Agents) repeatCommands(machine *cluster.Machine) {
	if machine.TokenConfirmed {
		a.sendCommandsNow(machine)
	} else {
		a.Fence(machine)
	}
}

// MachinesDueForNewToken returns the machines of a partition whose fencing tokens are due to be
// raised, longest overdue first.
func (a *Agents) MachinesDueForNewToken(partition *cluster.Partition, now time.Time) (due []*cluster.Machine) {
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
