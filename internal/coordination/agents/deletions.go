package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/telemetry"
)

const (
	// deleteLead is the time before the end of the cancellation bound at which a machine is
	// deleted if a cancelled task on the machine could not be stopped.
	deleteLead = 8 * time.Second
	// stopGraceBeforeDelete is the minimum time between a stop and the deletion of the machine.
	stopGraceBeforeDelete = 3 * time.Second
	// deleteRetryInterval is the interval between attempts to delete a machine.
	deleteRetryInterval = 2 * time.Second
	// deleteBatchLimit is the maximum number of machines in one deletion request to the cloud.
	deleteBatchLimit = 100
)

// MayExceedCancelBound reports whether a task of a cancelled job may run on a machine for longer
// than the setting cancel_s allows: the task was not stopped, and the machine's lease, which may be
// valid until leaseEnd, does not provably expire in time (rule 46). A machine that sends no
// heartbeats, but whose lease expires in time, needs no deletion.
func (a *Agents) MayExceedCancelBound(machine *cluster.Machine, leaseEnd, now time.Time) bool {
	for _, attempt := range machine.Attempts {
		if !attempt.Live() || !attempt.Stopping || attempt.Job.CancelledAt.IsZero() || now.Sub(attempt.StopRequestedAt) < stopGraceBeforeDelete {
			continue
		}
		deadline := attempt.Job.CancelledAt.Add(a.CancelBound)
		if now.After(deadline.Add(-deleteLead)) && leaseEnd.After(deadline.Add(-cluster.ClockMargin)) {
			return true
		}
	}
	return false
}

// deleteOverdueMachines requests the deletion of machines on which tasks of cancelled jobs may
// still be running. The partition leader requests the deletion itself, because the cluster leader
// depends on the state store, which may be unreachable due to the same failure that prevents the
// stop. The machine records are removed later, like those of lost machines.
func (a *Agents) deleteOverdueMachines(machines []*cluster.Machine) {
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
		a.loop.Do(func() { a.handleMachinesDeleted(machines, time.Now()) })
	})
}

// handleMachinesDeleted releases the attempts on machines that the cloud has deleted.
func (a *Agents) handleMachinesDeleted(machines []*cluster.Machine, now time.Time) {
	for _, machine := range machines {
		if a.Machines[machine.Name] != machine {
			continue
		}
		a.metrics.Count(telemetry.MachineLeaseExpired, 1)
		machine.DeleteConfirmed, machine.Lost, machine.TokenConfirmed = true, true, false
		a.releaseAll(machine, "machine deleted", now)
	}
}
