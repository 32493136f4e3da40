package jobs

import (
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
)

// AddCancellation adds to a transaction what makes a job cancelled, on condition that it has
// no final record yet.
func AddCancellation(txn *protocol.Transaction, id string, now time.Time) {
	key := storage.FinalKey(id)
	final := storage.Final{Status: protocol.StatusCancelled, AtMS: now.UnixMilli()}
	txn.If = append(txn.If, protocol.Condition{Key: key, Version: 0})
	txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.Encode(final)})
}

// ApplyCancellationNotices applies the cancellations that another controller has seen
// committed. A final record never changes, so that a notice is as good as the record,
// however late it comes (rule 43).
func (t *Tracker) ApplyCancellationNotices(summary *peer.Summary, now time.Time) {
	for _, notice := range summary.Cancelled {
		if protocol.ValidID(notice.Job) {
			age := time.Duration(notice.AgeMs) * time.Millisecond
			t.SetFinal(notice.Job, protocol.StatusCancelled, now.Add(-age))
		}
	}
}
