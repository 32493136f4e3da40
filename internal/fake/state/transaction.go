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
		return malformed(err.Error())
	}
	if s.Writes != nil && !s.Writes.AllowN(time.Now(), len(txn.Then)) {
		s.RefusedRate++
		return answer(http.StatusTooManyRequests, emptyBody{})
	}
	s.Changes += len(txn.Then)
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
		return answer(http.StatusConflict, protocol.TransactionResult{Failed: failed, Revision: s.Revision})
	}
	if len(txn.Then) > 0 {
		s.apply(txn.Then)
	}
	return answer(http.StatusOK, protocol.TransactionResult{Revision: s.Revision})
}

// checkTransaction returns the response to a transaction that is malformed or too large,
// nil if it is neither.
func (s *Service) checkTransaction(txn *protocol.Transaction, body []byte) *transport.Response {
	if s.TxnOps > 0 && (len(txn.Then) > s.TxnOps || len(txn.If) > conditionsPerOp*s.TxnOps) || protocol.JSONSize(body) > maxBody {
		return s.oversized(fmt.Sprintf("transaction over its limits: %d changes, %d conditions", len(txn.Then), len(txn.If)))
	}
	hidden := s.HiddenOps > 0 && len(txn.Then) > s.HiddenOps
	for _, change := range txn.Then {
		if !validChange(change) {
			return malformed("bad key")
		}
		size := 0
		if len(change.Value) > 0 {
			size = protocol.JSONSize(change.Value)
		}
		hidden = hidden || s.HiddenValue > 0 && size > s.HiddenValue
		if s.ValueKB > 0 && size > int(s.ValueKB*1024) {
			return s.oversized("value of " + change.Put + " is too large")
		}
	}
	if hidden {
		s.RefusedSize++
		return malformed("too large")
	}
	for _, change := range txn.Then {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			return malformed("no such lease")
		}
	}
	return nil
}

// validChange reports whether a change puts or deletes one valid key.
func validChange(change protocol.Change) bool {
	key := change.Put + change.Delete
	both := change.Put != "" && change.Delete != ""
	return key != "" && len(key) <= maxKey && !strings.ContainsRune(key, ' ') && !both
}

// oversized returns the response to a transaction over an announced bound.
func (s *Service) oversized(what string) *transport.Response {
	if s.Oversized != nil {
		s.Oversized(what)
	}
	return malformed("too large")
}

// apply makes changes under one new revision.
func (s *Service) apply(changes []protocol.Change) {
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
		s.Largest[first] = max(s.Largest[first], protocol.JSONSize(change.Value))
		s.Items[change.Put] = protocol.Item{Key: change.Put, Value: change.Value, Version: s.Revision, Lease: change.Lease}
		s.record(protocol.Event{Put: change.Put, Value: change.Value, Version: s.Revision})
	}
	s.notifyWatches()
}

// deleteItem deletes an item under the present revision.
func (s *Service) deleteItem(key string) {
	delete(s.Items, key)
	s.record(protocol.Event{Delete: key, Version: s.Revision})
}
