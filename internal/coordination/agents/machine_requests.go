package agents

import (
	"context"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
)

// moveTimeout is how long the transaction that moves a machine may take.
const moveTimeout = 2 * time.Second

// Reasons for which a machine request is declined.
const (
	reasonStopping = "stopping"
	reasonNotLed   = "not mine"
	reasonInUse    = "in use"
)

// machineMove is the transaction that assigns a machine to another partition.
type machineMove struct {
	machine *cluster.Machine
	record  storage.Machine
	txn     *protocol.Transaction
}

// HandleMachineRequest does what the cluster leader asks about a machine of a partition that
// this controller leads: it lets the machine be retired, or moves it to another partition. It
// blocks, so it is called outside the event loop.
func (a *Agents) HandleMachineRequest(request *peer.MachineRequest) *peer.MachineReply {
	var reply *peer.MachineReply
	var move *machineMove
	if !a.loop.Do(func() { reply, move = a.prepareMachineRequest(request, time.Now()) }) {
		return &peer.MachineReply{Reason: reasonStopping}
	}
	if move == nil {
		return reply
	}
	ctx, cancel := context.WithTimeout(a.loop.Context(), moveTimeout)
	defer cancel()
	revision, err := a.store.Commit(ctx, move.txn)
	reply = &peer.MachineReply{Reason: reasonStopping}
	a.loop.Do(func() { reply = a.machineMoved(move, revision, err) })
	return reply
}

// prepareMachineRequest answers the cluster leader's request, or returns the move that it asks
// for.
func (a *Agents) prepareMachineRequest(request *peer.MachineRequest, now time.Time) (*peer.MachineReply, *machineMove) {
	machine := a.Machines[request.Machine]
	if machine == nil || !a.Partitions[machine.Record.Partition].Ready || int(request.ToPartition) >= len(a.Partitions) {
		return &peer.MachineReply{Reason: reasonNotLed}, nil
	}
	if mayHoldWork(machine) || !machine.HasReported && !request.Retire {
		return &peer.MachineReply{Reason: reasonInUse}, nil
	}
	if request.Retire {
		machine.RetiringSince = now
		return &peer.MachineReply{Ok: true}, nil
	}
	return nil, a.startMove(machine, int(request.ToPartition))
}

// mayHoldWork says whether a machine that is not lost holds work, may come to hold some by
// commands under way, or is about to be moved.
func mayHoldWork(machine *cluster.Machine) bool {
	return machine.HasReported && !machine.Lost &&
		(len(machine.Attempts) > 0 || len(machine.OrphanedTasks) > 0 || machine.CommandRequestsInFlight > 0 || machine.Moving || !machine.TokenConfirmed)
}

// startMove keeps work off a machine and returns its move to another partition. All commands to
// it are answered and its newest heartbeat shows no task (rule 10).
func (a *Agents) startMove(machine *cluster.Machine, to int) *machineMove {
	machine.Moving = true
	record := machine.Record
	record.Partition = to
	partition := a.Partitions[machine.Record.Partition]
	return &machineMove{machine: machine, record: record, txn: &protocol.Transaction{
		If: []protocol.Condition{
			{Key: storage.LeaseKey(partition.Index), Version: partition.LeaseRevision},
			{Key: storage.MachineKey(machine.Name), Version: machine.Revision},
		},
		Then: []protocol.Change{{Put: storage.MachineKey(machine.Name), Value: storage.Encode(record)}},
	}}
}

// machineMoved takes in the outcome of a move.
func (a *Agents) machineMoved(move *machineMove, revision uint64, err error) *peer.MachineReply {
	if err != nil {
		// An unanswered move may still be applied. Until the record shows, the machine stays
		// out of use for a while; then a raised token settles who commands it.
		move.machine.RaiseTokenBy(time.Now())
		return &peer.MachineReply{Reason: err.Error()}
	}
	a.MachineRecorded(move.machine.Name, move.record, revision, time.Now())
	return &peer.MachineReply{Ok: true}
}
