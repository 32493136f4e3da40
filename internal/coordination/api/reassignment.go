package api

import (
	"slices"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/storage"
)

const (
	// conditionsPerChange is the ratio of the maximum number of conditions in a transaction to
	// the maximum number of changes.
	conditionsPerChange = 4
	// otherReassignConditions is the number of a reassignment's conditions on records other than
	// run records and incarnations: one each on the final record, the successor's record and the
	// audit batch.
	otherReassignConditions = 3
)

// reassignment is the move of a job to another queue.
type reassignment struct {
	id       string
	from, to rights.Queue
	// partition is the partition that holds the job's run records.
	partition int
	// spec is the specification of the job, and successor the specification of the job that
	// replaces it.
	spec, successor *protocol.JobSpec
	// value is the encoded record of the successor.
	value []byte
	// successorConditions demand that no controller runs a version which cancels the jobs that
	// depend on a reassigned job.
	successorConditions []protocol.Condition
}

// chunks returns the maximum number of run records of the job.
func (r *reassignment) chunks() int {
	return (r.spec.Tasks + storage.ChunkTasks - 1) / storage.ChunkTasks
}

// transaction returns the transaction that cancels the job and accepts its successor, on
// condition that no task was started, and the job's final record in it.
func (r *reassignment) transaction(now time.Time) (txn *protocol.Transaction, final []byte) {
	final = storage.Encode(storage.FinalRecord{Status: protocol.StatusCancelled, AtMS: now.UnixMilli(), Successor: r.successor.ID})
	txn = &protocol.Transaction{
		If: []protocol.Condition{{Key: storage.FinalKey(r.id)}, {Key: storage.JobKey(r.successor.ID)}},
		Then: []protocol.Change{
			{Put: storage.FinalKey(r.id), Value: final},
			{Put: storage.JobKey(r.successor.ID), Value: r.value},
		},
	}
	txn.If = append(txn.If, r.successorConditions...)
	for chunk := range r.chunks() {
		txn.If = append(txn.If, protocol.Condition{Key: storage.RunKey(r.partition, r.id, chunk)})
	}
	return txn, final
}

// onlyIncarnations reports whether all keys of a conflict are those of incarnation records.
func (r *reassignment) onlyIncarnations(failed []string) bool {
	return !slices.ContainsFunc(failed, func(key string) bool {
		return !slices.ContainsFunc(r.successorConditions, func(condition protocol.Condition) bool { return condition.Key == key })
	})
}
