package storage

import (
	"errors"
	"testing"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// Only refusals by the controller's own budget are ErrBudget, not those by the state store.
func TestOnlyBudgetRefusalsAreErrBudget(t *testing.T) {
	limits := settings.StateStoreLimits{RPS: 10, WriteRPS: 5, ValueKB: 8, TxnOps: 2}
	done := transport.Response{Status: 200, Body: protocol.Encode(protocol.TransactionResult{Revision: 7})}
	s := NewStore(&scriptedStore{answers: []transport.Response{done}}, "state:1", limits, 5)
	txn := &protocol.Transaction{Then: []protocol.Change{put("w/j/job-1/spec", 9)}}
	var err error
	for range 100 {
		if _, err = s.UserCommit(t.Context(), txn); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrBudget) || !errors.Is(err, ErrRefused) {
		t.Errorf("error of an exhausted budget: %v, want ErrBudget and ErrRefused", err)
	}

	for _, status := range []int{429, 503} {
		refused := transport.Response{Status: status, Body: protocol.Encode(map[string]any{})}
		s := NewStore(&scriptedStore{answers: []transport.Response{refused}}, "state:1", limits, 5)
		_, err := s.UserGet(t.Context(), "w/j/job-1/final")
		if !errors.Is(err, ErrRefused) || errors.Is(err, ErrBudget) {
			t.Errorf("error for status %d: %v, want ErrRefused but not ErrBudget", status, err)
		}
	}
}

// The state store expects an empty map as the body of a renewal.
func TestRenewalBodyIsAnEmptyMap(t *testing.T) {
	if got, want := string(Encode(renewRequest{})), string(Encode(map[string]any{})); got != want {
		t.Errorf("renewal body %x, want %x", got, want)
	}
}
