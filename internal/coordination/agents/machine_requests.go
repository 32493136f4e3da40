package agents

import (
	"context"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
)

// HandleMachineRequest does what the leader asks about one of this owner's machines.
func (ag *Agents) HandleMachineRequest(fr *peer.MachineRequest) *peer.MachineReply {
	reply := &peer.MachineReply{Reason: "stopping"}
	var txn *protocol.Transaction
	var m *cluster.Machine
	var rec storage.Machine
	ag.loop.Do(func() {
		m = ag.Machines[fr.Machine]
		if m == nil || !ag.Partitions[m.Record.Partition].Ready || int(fr.ToPartition) >= len(ag.Partitions) {
			reply.Reason = "not mine"
			return
		}
		if m.HasReported && !m.Lost && (len(m.Attempts) > 0 || len(m.OrphanedTasks) > 0 || m.PendingCommands > 0 || m.Moving || !m.Fenced) || !m.HasReported && !fr.Retire {
			reply.Reason = "in use"
			return
		}
		if fr.Retire {
			m.RetiringSince = time.Now()
			reply.Ok = true
			return
		}
		// Every order is answered and the newest report is empty (10).
		m.Moving = true
		rec = m.Record
		rec.Partition = int(fr.ToPartition)
		p := ag.Partitions[m.Record.Partition]
		txn = &protocol.Transaction{
			If: []protocol.Condition{{Key: storage.LeaseKey(p.Index), Version: p.LeaseRevision},
				{Key: storage.MachineKey(m.Name), Version: m.Revision}},
			Then: []protocol.Change{{Put: storage.MachineKey(m.Name), Value: storage.Encode(rec)}},
		}
	})
	if txn == nil {
		return reply
	}
	ctx, cancel := context.WithTimeout(ag.loop.Context(), 2*time.Second)
	defer cancel()
	rev, err := ag.store.Commit(ctx, txn)
	ag.loop.Do(func() {
		if err == nil {
			ag.MachineRecorded(m.Name, rec, rev, time.Now())
			reply.Ok = true
			return
		}
		reply.Reason = err.Error()
		// An unanswered move may still be applied; until the record shows, the
		// machine stays out of use for a while and is then claimed by a bump.
		m.RaiseTokenBy(time.Now())
	})
	return reply
}
