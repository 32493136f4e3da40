package state

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// commit applies a transaction if all its conditions hold.
func (s *Service) commit(body []byte) *transport.Response {
	var txn protocol.Transaction
	if err := protocol.Decode(body, &txn); err != nil {
		return badRequest(err.Error())
	}
	if s.WriteLimiter != nil && !s.WriteLimiter.AllowN(time.Now(), len(txn.Then)) {
		s.RefusedForRate++
		return newResponse(http.StatusTooManyRequests, emptyBody{})
	}
	s.ChangesRequested += len(txn.Then)
	if refusal := s.checkTransaction(&txn, body); refusal != nil {
		return refusal
	}
	var failed []string
	for _, condition := range txn.If {
		if s.Items[condition.Key].Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return newResponse(http.StatusConflict, protocol.TransactionResult{Failed: failed, Revision: s.Revision})
	}
	if len(txn.Then) > 0 {
		s.applyChanges(txn.Then)
	}
	return newResponse(http.StatusOK, protocol.TransactionResult{Revision: s.Revision})
}

// checkTransaction returns the response that refuses a malformed or oversized transaction,
// or nil if the transaction is valid.
func (s *Service) checkTransaction(txn *protocol.Transaction, body []byte) *transport.Response {
	if s.TxnOps > 0 && (len(txn.Then) > s.TxnOps || len(txn.If) > maxConditionsPerChange*s.TxnOps) || protocol.JSONSize(body) > maxTransactionSize {
		return s.refuseOversized(fmt.Sprintf("transaction exceeds its limits: %d changes, %d conditions", len(txn.Then), len(txn.If)))
	}
	exceedsUnannounced := s.UnannouncedTxnOps > 0 && len(txn.Then) > s.UnannouncedTxnOps
	for _, change := range txn.Then {
		if !validChange(change) {
			return badRequest("bad key")
		}
		size := 0
		if len(change.Value) > 0 {
			size = protocol.JSONSize(change.Value)
		}
		exceedsUnannounced = exceedsUnannounced || s.UnannouncedValueBytes > 0 && size > s.UnannouncedValueBytes
		if s.ValueKB > 0 && size > int(s.ValueKB*1024) {
			return s.refuseOversized("value of " + change.Put + " is too large")
		}
	}
	if exceedsUnannounced {
		s.RefusedForSize++
		return badRequest("too large")
	}
	for _, change := range txn.Then {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			return badRequest("no such lease")
		}
	}
	return nil
}

// validChange reports whether a change puts or deletes exactly one key, and the key is valid.
func validChange(change protocol.Change) bool {
	key := change.Put + change.Delete
	both := change.Put != "" && change.Delete != ""
	return key != "" && len(key) <= maxKeyLength && !strings.ContainsRune(key, ' ') && !both
}

// refuseOversized returns the response to a transaction that exceeds an announced bound.
func (s *Service) refuseOversized(what string) *transport.Response {
	if s.OnOversized != nil {
		s.OnOversized(what)
	}
	return badRequest("too large")
}

// applyChanges applies changes under one new revision.
func (s *Service) applyChanges(changes []protocol.Change) {
	s.Revision++
	for _, change := range changes {
		if change.Delete != "" {
			s.deleteItem(change.Delete)
			continue
		}
		old, exists := s.Items[change.Put]
		if s.BeforePut != nil {
			s.BeforePut(change, old, exists)
		}
		first, _, _ := strings.Cut(change.Put, "/")
		s.LargestValues[first] = max(s.LargestValues[first], protocol.JSONSize(change.Value))
		s.Items[change.Put] = protocol.Item{Key: change.Put, Value: change.Value, Version: s.Revision, Lease: change.Lease}
		s.appendEvent(protocol.Event{Put: change.Put, Value: change.Value, Version: s.Revision})
	}
	s.notifyWatches()
}

// deleteItem deletes an item under the current revision.
func (s *Service) deleteItem(key string) {
	delete(s.Items, key)
	s.appendEvent(protocol.Event{Delete: key, Version: s.Revision})
}
