package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

const (
	// retirementTimeout is how long a machine waits for the cluster leader to retire it before
	// it gets work again.
	retirementTimeout = 30 * time.Second
	// commandRetryInterval is how often commands that did not arrive are sent again.
	commandRetryInterval = time.Second
)

// MachineRecorded takes in the assignment record of a machine, as of a revision. Records older
// than the one known are ignored.
func (a *Agents) MachineRecorded(name string, record storage.Machine, revision uint64, now time.Time) {
	delete(a.UnregisteredMachines, name)
	machine := a.Machines[name]
	if machine == nil {
		machine = newMachine(name, now)
		a.Machines[name] = machine
	} else if revision <= machine.Revision {
		return
	}
	moved := machine.Revision != 0 && machine.Record.Partition != record.Partition
	if record.Addr == "" {
		record.Addr = machine.Record.Addr
	}
	if moved {
		machine.Record = record
		machine.ResetLeaderState()
		machine.AnsweredUntil, machine.HeartbeatsExpectedSince = now.Add(a.AnswerBound()), now
		machine.FormerLeaderAnswersUntil = machine.AnsweredUntil
	}
	machine.Record, machine.Revision, machine.Type = record, revision, a.MachineTypes[record.Type]
	machine.Moving, machine.TokenConfirmed, machine.TokenRaiseBy = false, false, time.Time{}
	partition := a.Partitions[record.Partition]
	if partition.Held && partition.Ready && (moved || machine.HasReported) {
		a.Fence(machine)
	}
}

// newMachine returns a machine of which nothing but the name is known.
func newMachine(name string, now time.Time) *cluster.Machine {
	return &cluster.Machine{
		Name:                    name,
		Shard:                   delegation.ShardOf(name),
		Attempts:                map[string]*cluster.Attempt{},
		OrphanedTasks:           map[string]protocol.TaskReport{},
		FailedJobs:              map[string]bool{},
		Images:                  map[string]time.Time{},
		RecordedAt:              now,
		HeartbeatsExpectedSince: now,
		LastHeartbeatAt:         now,
	}
}

// MachineDeleted takes in that a machine's record is gone. The cluster leader removes it only
// after the machine certainly is.
func (a *Agents) MachineDeleted(name string, now time.Time) {
	machine := a.Machines[name]
	if machine == nil {
		return
	}
	a.releaseAll(machine, "machine is gone", now)
	delete(a.Machines, name)
	a.DeletedMachines[name] = now
}

// CheckMachines finds the machines whose lease must have expired, and does what has become due
// for the others.
func (a *Agents) CheckMachines(now time.Time) {
	bound := time.Duration(float64(a.AgentLease)*cluster.ClockDriftFactor) + cluster.ClockMargin
	var overdue []*cluster.Machine
	for _, machine := range a.Machines {
		partition := a.Partitions[machine.Record.Partition]
		if !partition.Held || !partition.Ready || machine.Lost {
			continue
		}
		known, answered := partition.Delegations.AnswerBounds(machine.Shard, machine.AnsweredUntil, now)
		if (machine.HasReported || len(machine.Attempts) > 0) && known.Sub(answered) > bound {
			a.machineLost(machine, now)
			continue
		}
		if a.OutlastsCancelBound(machine, answered.Add(bound), now) && now.Sub(machine.DeleteTriedAt) > deleteRetryInterval {
			machine.DeleteTriedAt = now
			overdue = append(overdue, machine)
		}
		a.checkMachine(machine, now)
	}
	if len(overdue) > 0 {
		a.deleteMachinesInTime(overdue[:min(len(overdue), deleteBatchLimit)])
	}
}

// machineLost takes in that a machine's lease has expired: its agent has stopped all tasks.
func (a *Agents) machineLost(machine *cluster.Machine, now time.Time) {
	a.metrics.Count(telemetry.MachineLeaseExpired, 1)
	a.log.Info("machine lease expired", "machine", machine.Name, "elapsed", now.Sub(machine.LastHeartbeatAt), "count", len(machine.Attempts))
	machine.Lost, machine.TokenConfirmed = true, false
	a.releaseAll(machine, "machine lease expired", now)
}

// checkMachine does what has become due for a machine whose lease may still run: a retirement
// that did not happen is given up, work leaves a machine that goes away, and commands without
// an answer are repeated.
func (a *Agents) checkMachine(machine *cluster.Machine, now time.Time) {
	if !machine.RetiringSince.IsZero() && now.Sub(machine.RetiringSince) > retirementTimeout {
		machine.RetiringSince = time.Time{}
	}
	if !machine.PreemptionAt.IsZero() && machine.TokenConfirmed {
		a.evacuate(machine, now)
	}
	for _, attempt := range machine.Attempts {
		a.fenceOutStart(attempt, now)
	}
	if now.Sub(machine.CommandsSentAt) > CommandAnswerWait && a.mayRepeat(machine) {
		a.repeatCommands(machine)
	}
	retryDue := machine.TokenConfirmed && machine.CommandRequestsInFlight == 0 && now.Sub(machine.CommandsRetriedAt) > commandRetryInterval
	if retryDue && machine.HasUnsentCommands() {
		machine.CommandsRetriedAt = now
		a.SendCommands(machine)
	}
}
