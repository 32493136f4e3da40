package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/telemetry"
)

const (
	// deleteLead is how long before a cancelled task must be gone its machine is deleted, if
	// the task could not be stopped.
	deleteLead = 8 * time.Second
	// stopGraceBeforeDelete is the least time that a stop is given before that.
	stopGraceBeforeDelete = 3 * time.Second
	// deleteRetryInterval is how long a machine's deletion waits for the next try.
	deleteRetryInterval = 2 * time.Second
	// deleteBatchLimit is how many machines one request to the cloud names.
	deleteBatchLimit = 100
)

// OutlastsCancelBound says whether a task of a cancelled job may be on a machine for longer than
// the setting cancel_s allows: it was not stopped, and the machine's lease, which may go on
// until leaseEnd, does not provably expire in time (rule 46). A machine that is merely silent is
// left alone.
func (a *Agents) OutlastsCancelBound(machine *cluster.Machine, leaseEnd, now time.Time) bool {
	for _, attempt := range machine.Attempts {
		if !attempt.Live() || !attempt.Stopping || attempt.Job.CancelledAt.IsZero() || now.Sub(attempt.StopRequestedAt) < stopGraceBeforeDelete {
			continue
		}
		due := attempt.Job.CancelledAt.Add(a.CancelBound)
		if now.After(due.Add(-deleteLead)) && leaseEnd.After(due.Add(-cluster.ClockMargin)) {
			return true
		}
	}
	return false
}

// deleteMachinesInTime has the cloud delete machines on which tasks of cancelled jobs may go on.
// The partition leader does so itself: the cluster leader needs the state store, which the same
// failure that keeps a task from being stopped may have cut off. The records are removed later,
// as those of lost machines are.
func (a *Agents) deleteMachinesInTime(machines []*cluster.Machine) {
	names := make([]string, 0, len(machines))
	for _, machine := range machines {
		names = append(names, machine.Name)
	}
	a.log.Info("machine termination started", "machine", names, "reason", "cancelled tasks on them can't be stopped in time")
	a.loop.Go(func() {
		if err := a.cloud.DeleteMachines(names); err != nil {
			a.log.Info("machine deletion failed", "machine", names, "error", err)
			return
		}
		a.loop.Do(func() { a.machinesDeleted(machines, time.Now()) })
	})
}

// machinesDeleted takes in that the cloud has deleted machines.
func (a *Agents) machinesDeleted(machines []*cluster.Machine, now time.Time) {
	for _, machine := range machines {
		if a.Machines[machine.Name] != machine {
			continue
		}
		a.metrics.Count(telemetry.MachineLeaseExpired, 1)
		machine.DeleteConfirmed, machine.Lost, machine.TokenConfirmed = true, true, false
		a.releaseAll(machine, "machine is deleted", now)
	}
}
