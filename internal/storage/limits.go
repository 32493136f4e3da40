package storage

import (
	"micaspindle/internal/protocol"
)

// shrinkFloor is the size of values, in bytes as JSON, that no refusal lowers the limit below: a
// refused lease may be malformed in some other way.
const shrinkFloor = 256

// TxnOps is how many changes a transaction may hold.
func (s *Store) TxnOps() int { return int(s.txnOps.Load()) }

// ValueBytes is how large a value may be, counted as JSON.
func (s *Store) ValueBytes() int { return int(s.valueBytes.Load()) }

// shrink takes in that the state store found a transaction too large, under a limit that nobody
// had announced: fewer changes next time, until one alone is refused, which shows that its value
// is too large.
func (s *Store) shrink(txn *protocol.Transaction) {
	if n := int64(len(txn.Then)); n > 1 {
		s.txnOps.Store(min(s.txnOps.Load(), (n+1)/2))
		return
	}
	for _, change := range txn.Then {
		if size := int64(protocol.JSONSize(change.Value)); change.Put != "" && size > shrinkFloor {
			s.valueBytes.Store(min(s.valueBytes.Load(), size-1))
			s.txnOps.Store(int64(s.limits.TxnOps))
		}
	}
}
