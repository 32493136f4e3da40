package storage

import (
	"micaspindle/internal/protocol"
)

// minValueLimit is the lower bound of the value size limit after refusals, in bytes as JSON. A smaller
// value was probably refused for a reason other than its size.
const minValueLimit = 256

// TxnOps returns the maximum number of changes in a transaction.
func (s *Store) TxnOps() int { return int(s.txnOps.Load()) }

// ValueBytes returns the maximum size of a value, in bytes as JSON.
func (s *Store) ValueBytes() int { return int(s.valueBytes.Load()) }

// lowerSizeLimits lowers the limits after the state store refused a transaction for an unannounced
// size limit. It first halves the number of changes. When a single change is refused, its value must
// be too large: the value size limit is lowered and the number of changes restored.
func (s *Store) lowerSizeLimits(txn *protocol.Transaction) {
	if n := int64(len(txn.Then)); n > 1 {
		s.txnOps.Store(min(s.txnOps.Load(), (n+1)/2))
		return
	}
	for _, change := range txn.Then {
		if size := int64(protocol.JSONSize(change.Value)); change.Put != "" && size > minValueLimit {
			s.valueBytes.Store(min(s.valueBytes.Load(), size-1))
			s.txnOps.Store(int64(s.limits.TxnOps))
		}
	}
}
