package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

const (
	// retirementTimeout is the time after which a machine is scheduled again if the cluster
	// leader does not complete the machine's retirement.
	retirementTimeout = 30 * time.Second
	// commandRetryInterval is the interval at which unsent commands are retried.
	commandRetryInterval = time.Second
)

// ApplyMachineRecord applies a revision of a machine's record, which assigns the machine to a
// partition. Revisions that are not newer than the last one applied are ignored.
func (a *Agents) ApplyMachineRecord(name string, record storage.Machine, revision uint64, now time.Time) {
	delete(a.UnregisteredMachines, name)
	machine := a.Machines[name]
	if machine == nil {
		machine = newMachine(name, now)
		a.Machines[name] = machine
	} else if revision <= machine.Revision {
		return
	}
	formerPartition := machine.Record.Partition
	moved := machine.Revision != 0 && formerPartition != record.Partition
	if record.Addr == "" {
		record.Addr = machine.Record.Addr
	}
	if moved {
		machine.Record = record
		machine.ResetLeaderState()
		machine.HeartbeatsExpectedSince = now
		machine.MoveBound = failover.AnswerBound{Until: now.Add(a.AnswerBound()), Controller: a.Partitions[formerPartition].Leader, Reason: failover.BoundByMove}
		machine.Answers.OthersMayAnswer(machine.MoveBound)
	}
	machine.Record, machine.Revision, machine.Type = record, revision, a.MachineTypes[record.Type]
	machine.Moving, machine.TokenConfirmed, machine.TokenRaiseBy = false, false, time.Time{}
	partition := a.Partitions[record.Partition]
	if partition.Held && partition.Ready && (moved || machine.HasReported) {
		a.Fence(machine)
	}
}

// newMachine returns a machine whose record and heartbeats have not been received yet.
func newMachine(name string, now time.Time) *cluster.Machine {
	return &cluster.Machine{
		Name:                    name,
		Shard:                   delegation.ShardOf(name),
		Attempts:                map[string]*cluster.Attempt{},
		OrphanedTasks:           map[string]protocol.TaskReport{},
		FailedJobs:              map[string]time.Time{},
		Images:                  map[string]time.Time{},
		RecordedAt:              now,
		HeartbeatsExpectedSince: now,
		LastHeartbeatAt:         now,
	}
}

// ApplyMachineDeletion applies the deletion of a machine's record. The cluster leader deletes the record
// only after the machine itself has certainly been deleted.
func (a *Agents) ApplyMachineDeletion(name string, now time.Time) {
	machine := a.Machines[name]
	if machine == nil {
		return
	}
	a.releaseAll(machine, "machine record deleted", now)
	delete(a.Machines, name)
	a.DeletedMachines[name] = now
}

// CheckMachines handles expired machine leases, and performs the periodic work for the other
// machines.
func (a *Agents) CheckMachines(now time.Time) {
	leaseBound := a.AgentLeaseBound()
	var toDelete, toFence []*cluster.Machine
	a.logHeartbeatAnswering(now)
	for _, machine := range a.Machines {
		partition := a.Partitions[machine.Record.Partition]
		if !partition.Held || !partition.Ready || machine.Lost {
			continue
		}
		knownUntil, lastAnswer := partition.Delegations.AnswerBounds(machine.Shard, machine.Answers.Until(), now)
		if (machine.HasReported || len(machine.Attempts) > 0) && knownUntil.Sub(lastAnswer) > leaseBound {
			a.handleLeaseExpiry(machine, now)
			continue
		}
		if a.MayExceedCancelBound(machine, lastAnswer.Add(leaseBound), now) && now.Sub(machine.DeleteTriedAt) > deleteRetryInterval {
			machine.DeleteTriedAt = now
			toDelete = append(toDelete, machine)
		}
		a.checkMachine(machine, now)
		if fenceRetryDue(machine, now) {
			toFence = append(toFence, machine)
		}
	}
	a.retryFences(toFence)
	if len(toDelete) > 0 {
		a.deleteOverdueMachines(toDelete[:min(len(toDelete), deleteBatchLimit)])
	}
}

// handleLeaseExpiry marks a machine whose lease has expired as lost and releases its attempts. The
// agent stops all tasks when the lease expires.
func (a *Agents) handleLeaseExpiry(machine *cluster.Machine, now time.Time) {
	a.metrics.Count(telemetry.MachineLeaseExpired, 1)
	a.logLeaseExpiry(machine, now)
	machine.Lost, machine.TokenConfirmed = true, false
	a.releaseAll(machine, "machine lease expired", now)
}

// checkMachine performs the periodic work for a machine whose lease may still be valid: it abandons
// a retirement that was not completed, evacuates a machine that is going to be preempted or is
// faulty, and repeats commands that were not answered.
func (a *Agents) checkMachine(machine *cluster.Machine, now time.Time) {
	if !machine.RetiringSince.IsZero() && now.Sub(machine.RetiringSince) > retirementTimeout {
		machine.RetiringSince = time.Time{}
	}
	if !machine.PreemptionAt.IsZero() && machine.TokenConfirmed {
		a.evacuate(machine, now)
	}
	if machine.QuarantinedAsFaulty() && machine.TokenConfirmed {
		a.drainFaulty(machine, now) // a former leader may have ended before it did
	}
	for _, attempt := range machine.Attempts {
		a.fencePendingStart(attempt, now)
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
