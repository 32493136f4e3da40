package jobs

import (
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
)

// AddCancellation adds the cancellation of a job to a transaction, on condition that the job has no
// final record yet.
func AddCancellation(txn *protocol.Transaction, id string, now time.Time) {
	key := storage.FinalKey(id)
	final := storage.FinalRecord{Status: protocol.StatusCancelled, AtMS: now.UnixMilli()}
	txn.If = append(txn.If, protocol.Condition{Key: key, Version: 0})
	txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.Encode(final)})
}

// ApplyCancellationNotices applies another controller's notices of committed cancellations. A final
// record never changes, so a notice is valid however late it arrives (rule 43). It stops the job's tasks.
// The jobs that depend on the job wait for its final record, which says whether it was reassigned (rule 60).
func (t *Tracker) ApplyCancellationNotices(summary *peer.Summary, now time.Time) {
	for _, notice := range summary.Cancelled {
		if protocol.ValidJobID(notice.Job) {
			age := time.Duration(notice.AgeMs) * time.Millisecond
			if t.FinalStates[notice.Job] == "" {
				t.NoticedCancellations[notice.Job] = true
				t.endJob(notice.Job, protocol.StatusCancelled, now.Add(-age))
			}
		}
	}
}
