package agents

import (
	"context"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
)

// moveTimeout is the timeout of the transaction that moves a machine.
const moveTimeout = 2 * time.Second

// Reasons for refusing a machine request.
const (
	reasonStopping = "stopping"
	reasonNotLed   = "not mine"
	reasonInUse    = "in use"
)

// machineMove is the assignment of a machine to another partition.
type machineMove struct {
	machine *cluster.Machine
	record  storage.Machine
	txn     *protocol.Transaction
}

// HandleMachineRequest handles a request of the cluster leader to retire a machine of a partition
// that this controller leads, or to move the machine to another partition. It blocks, so it is
// called outside the event loop.
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
	a.loop.Do(func() { reply = a.handleMoveResult(move, revision, err) })
	return reply
}

// prepareMachineRequest returns the reply to a machine request or, if a machine is to be moved, the
// move to commit.
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

// mayHoldWork reports whether a machine that is not lost has tasks, may receive tasks through
// commands in flight, or is being moved.
func mayHoldWork(machine *cluster.Machine) bool {
	return machine.HasReported && !machine.Lost &&
		(len(machine.Attempts) > 0 || len(machine.OrphanedTasks) > 0 || machine.CommandRequestsInFlight > 0 || machine.Moving || !machine.TokenConfirmed)
}

// startMove excludes a machine from scheduling and returns the move to another partition. The
// caller has checked that all commands to the machine are answered and that the machine's newest
// heartbeat contains no task (rule 10).
func (a *Agents) startMove(machine *cluster.Machine, toPartition int) *machineMove {
	machine.Moving = true
	record := machine.Record
	record.Partition = toPartition
	partition := a.Partitions[machine.Record.Partition]
	return &machineMove{machine: machine, record: record, txn: &protocol.Transaction{
		If: []protocol.Condition{
			{Key: storage.LeaseKey(partition.Index), Version: partition.LeaseRevision},
			{Key: storage.MachineKey(machine.Name), Version: machine.Revision},
		},
		Then: []protocol.Change{{Put: storage.MachineKey(machine.Name), Value: storage.Encode(record)}},
	}}
}

// handleMoveResult processes the result of the transaction of a move.
func (a *Agents) handleMoveResult(move *machineMove, revision uint64, err error) *peer.MachineReply {
	if err != nil {
		// A move that was not answered may still be committed. The machine stays excluded
		// from scheduling until its record is received. Writing the record again raises the
		// fencing token and determines the machine's partition.
		move.machine.RaiseTokenBy(time.Now())
		return &peer.MachineReply{Reason: err.Error()}
	}
	a.ApplyMachineRecord(move.machine.Name, move.record, revision, time.Now())
	return &peer.MachineReply{Ok: true}
}
