package jobs

import (
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// AddCancellation adds to a transaction what makes a job withdrawn, unless it has
// ended.
func AddCancellation(txn *protocol.Transaction, id string, now time.Time) {
	key := storage.FinalKey(id)
	txn.If = append(txn.If, protocol.Condition{Key: key, Version: 0})
	txn.Then = append(txn.Then, protocol.Change{Put: key,
		Value: storage.Encode(storage.Final{Status: protocol.StatusWithdrawn, AtMS: now.UnixMilli()})})
}
