package autoscaler

import (
	"context"
	"errors"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/retry"
	"micaspindle/internal/storage"
)

// recordBackoff is the pause, before jitter, between attempts to write the records of new machines.
var recordBackoff = retry.Backoff{First: 666 * time.Millisecond, Max: 666 * time.Millisecond}

// recordMachines writes the same record for each of several new machines, in one or more
// transactions. It retries until all records are written, another writer has written one of the
// records, or this controller is no longer the leader. Machines that remain without a record are
// adopted later.
func (a *Autoscaler) recordMachines(names []string, record storage.Machine) {
	retries := a.loop.NewRetryCounter("records", recordBackoff)
	for len(names) > 0 {
		leaseRevision, leading := a.leads()
		if !leading {
			return
		}
		batch := names[:min(a.store.TxnOps(), len(names))]
		revision, err := a.commitRecords(batch, record, leaseRevision)
		if err == nil {
			a.loop.Do(func() {
				for _, name := range batch {
					a.agents.ApplyMachineRecord(name, record, revision, time.Now())
				}
			})
			names = names[len(batch):]
			continue
		}
		var conflict *storage.Conflict
		if errors.As(err, &conflict) {
			return // a record exists or leadership was lost: the watch delivers the change
		}
		a.log.Info("machine record write failed, retrying", "machine", batch, "error", err)
		if !a.loop.Sleep(retries.Failed()) {
			return
		}
	}
}

// commitRecords writes the records of machines that have none, if this controller is still the
// leader.
func (a *Autoscaler) commitRecords(names []string, record storage.Machine, leaseRevision uint64) (uint64, error) {
	txn := &protocol.Transaction{If: []protocol.Condition{{Key: storage.LeadershipKey, Version: leaseRevision}}}
	for _, name := range names {
		key := storage.MachineKey(name)
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: 0})
		txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.Encode(record)})
	}
	return a.commit(txn)
}

// deleteMachines deletes machines and then their records. A record is deleted only once the cloud
// has confirmed the deletion, because the deletion of the record means that no attempt runs on the
// machine any more.
func (a *Autoscaler) deleteMachines(names []string) {
	if err := a.cloud.DeleteMachines(names); err != nil {
		a.log.Info("machine deletion failed", "machine", names, "error", err)
		return
	}
	for _, name := range names {
		a.deleteRecord(name)
	}
}

// deleteRecord deletes the record of a deleted machine, if this controller is still the leader.
func (a *Autoscaler) deleteRecord(name string) {
	var txn *protocol.Transaction
	a.loop.Do(func() {
		machine := a.Machines[name]
		if machine == nil || !a.Leadership.Held {
			return
		}
		key := storage.MachineKey(name)
		txn = &protocol.Transaction{
			If: []protocol.Condition{
				{Key: storage.LeadershipKey, Version: a.Leadership.Revision},
				{Key: key, Version: machine.Revision},
			},
			Then: []protocol.Change{{Delete: key}},
		}
	})
	if txn == nil {
		return
	}
	if _, err := a.commit(txn); err != nil {
		a.log.Info("machine record deletion failed", "machine", name, "error", err)
		return
	}
	a.loop.Do(func() { a.agents.ApplyMachineDeletion(name, time.Now()) })
}

// commit commits a transaction on machine records and returns its revision.
func (a *Autoscaler) commit(txn *protocol.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(a.loop.Context(), recordTimeout)
	defer cancel()
	return a.store.Commit(ctx, txn)
}
