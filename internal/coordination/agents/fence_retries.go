package agents

import (
	"cmp"
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/retry"
	"micaspindle/internal/telemetry"
)

// A message with the fencing token may be lost, or not be sent because another request to the machine is
// in flight. The agent may then go on with a former leader and never send a heartbeat here, so the
// message is repeated until the agent has confirmed the token (rule 59).

// fenceBackoff is the pause between two messages with the fencing token to one machine.
var fenceBackoff = retry.Backoff{First: 500 * time.Millisecond, Max: 4 * time.Second}

// fenceRetryDue reports whether a machine's agent, which has not confirmed the fencing token, is to be
// sent the token again.
func fenceRetryDue(machine *cluster.Machine, now time.Time) bool {
	return machine.AwaitsFence() && machine.Record.Addr != "" && machine.CommandRequestsInFlight == 0 && !now.Before(machine.FenceRetryAt)
}

// retryFences sends the fencing token again to as many of the machines as the limit on requests in flight
// allows: first to those that have reported here and thus are reachable, then to those due longest.
func (a *Agents) retryFences(due []*cluster.Machine) {
	slices.SortFunc(due, func(x, y *cluster.Machine) int {
		return cmp.Or(compareReported(x, y), x.FenceRetryAt.Compare(y.FenceRetryAt), cmp.Compare(x.Name, y.Name))
	})
	for _, machine := range due {
		if a.FenceRetriesInFlight >= a.repeatLimit() {
			return
		}
		machine.FenceRetryInFlight = true
		a.FenceRetriesInFlight++
		a.Fence(machine)
	}
}

// compareReported orders machines that have reported to this leader before the others.
func compareReported(x, y *cluster.Machine) int {
	switch {
	case x.HasReported == y.HasReported:
		return 0
	case x.HasReported:
		return -1
	}
	return 1
}

// recordFenceAnswered records that a message with the fencing token was answered or failed.
func (a *Agents) recordFenceAnswered(machine *cluster.Machine) {
	if machine.FenceRetryInFlight {
		machine.FenceRetryInFlight = false
		a.FenceRetriesInFlight--
	}
}

// recordFenceFailed sets the time of the next message with the fencing token after one that failed.
func (a *Agents) recordFenceFailed(machine *cluster.Machine, now time.Time, err error) {
	machine.FenceFailures++
	pause := fenceBackoff.Pause(machine.Name, machine.FenceFailures)
	machine.FenceRetryAt = now.Add(pause)
	a.metrics.Count(telemetry.FenceUnanswered, 1)
	a.log.Info("machine not fenced", "machine", machine.Name, "token", a.Token(machine), "count", machine.FenceFailures, "after", pause, "error", err)
}
