package peering

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

const (
	// neverUpGrace is the time for which a new leader waits for the first heartbeat of a
	// machine whose boot timeout has passed.
	neverUpGrace = 10 * time.Second
	// firstHeartbeatMargin is the time, in addition to the heartbeat interval, within which a
	// machine that was moved to this partition is expected to send its first heartbeat here.
	firstHeartbeatMargin = time.Second
)

// Boot times are calculated from BootS of the machine type in the catalog: BootS times a factor,
// plus a number of seconds.
const (
	bootTimeoutFactor, bootTimeoutExtraS = 3, 15
	usualBootFactor, usualBootExtraS     = 1.6, 2
)

// PartitionSummaries returns the summaries of the partitions that this controller leads.
func (e *Exchange) PartitionSummaries(now time.Time) (list []*peer.PartitionSummary) {
	for _, partition := range e.Partitions {
		if partition.Held && partition.Ready {
			list = append(list, e.PartitionSummary(partition, now))
		}
	}
	return list
}

// PartitionSummary returns the summary of a partition: its machines, its delegates and the demand
// of its waiting tasks for more machines.
func (e *Exchange) PartitionSummary(partition *cluster.Partition, now time.Time) *peer.PartitionSummary {
	summary := &peer.PartitionSummary{
		Partition: uint32(partition.Index),
		Standby:   partition.Standby,
		Delegated: partition.DelegationSummary(e.Labels),
	}
	var expected []expectedMachine
	for _, machine := range e.Machines {
		if machine.Record.Partition != partition.Index {
			continue
		}
		summary.Machines = append(summary.Machines, machineStatus(machine, now))
		if e.isExpected(machine, now) {
			expected = append(expected, expectedMachine{machine, machine.Free()})
		}
	}
	summary.Demands = e.demands(partition, expected, DemandsLimit(len(summary.Machines)), now)
	return summary
}

// machineStatus returns the status of a machine.
func machineStatus(machine *cluster.Machine, now time.Time) *peer.MachineStatus {
	idle := len(machine.Attempts) == 0 && len(machine.OrphanedTasks) == 0 && machine.TokenConfirmed && machine.CommandRequestsInFlight == 0
	status := &peer.MachineStatus{
		Name:        machine.Name,
		Reported:    machine.HasReported,
		Idle:        idle,
		Lost:        machine.Lost,
		Retiring:    !machine.RetiringSince.IsZero(),
		Quarantined: machine.Quarantined,
		Addr:        machine.Record.Addr,
		NeverUp:     isNeverUp(machine, now),
	}
	if idle {
		status.IdleS = now.Sub(machine.IdleSince).Seconds()
	}
	return status
}

// isNeverUp reports whether a machine has sent no heartbeat although its boot timeout has passed.
func isNeverUp(machine *cluster.Machine, now time.Time) bool {
	return !machine.HasReported && len(machine.Attempts) == 0 && machine.Type != nil &&
		now.Sub(machine.HeartbeatsExpectedSince) > neverUpGrace && machine.Age(now) > bootTimeout(machine.Type)
}

// isExpected reports whether a machine is expected to run waiting tasks soon: the machine is
// booting or was just moved to this partition, and it has sent no heartbeat or is not fenced yet.
func (e *Exchange) isExpected(machine *cluster.Machine, now time.Time) bool {
	if machine.Type == nil || machine.Lost || machine.Quarantined || e.IsDeleted(machine.Name) || !machine.RetiringSince.IsZero() {
		return false
	}
	unfenced := !machine.TokenConfirmed && machine.PreemptionAt.IsZero()
	if machine.HasReported && !unfenced {
		return false
	}
	return machine.Age(now) < usualBootTime(machine.Type) ||
		now.Sub(machine.HeartbeatsExpectedSince) < e.HeartbeatInterval+firstHeartbeatMargin
}

// bootTimeout is the time after which a machine that has sent no heartbeat is assumed never to
// boot.
func bootTimeout(machineType *protocol.MachineType) time.Duration {
	return time.Duration((bootTimeoutFactor*machineType.BootS + bootTimeoutExtraS) * float64(time.Second))
}

// usualBootTime is the time within which most machines boot. A machine that takes longer may never
// boot, so it no longer reduces the demand for machines.
func usualBootTime(machineType *protocol.MachineType) time.Duration {
	return time.Duration((usualBootFactor*machineType.BootS + usualBootExtraS) * float64(time.Second))
}
