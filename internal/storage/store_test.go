package storage

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// script answers one request after the other, the last one for ever.
type script struct {
	answers []transport.Response
	asked   int
}

func (s *script) Do(context.Context, string, string, string, []byte) (*transport.Response, error) {
	a := s.answers[min(s.asked, len(s.answers)-1)]
	s.asked++
	return &a, nil
}

func put(key string, size int) protocol.Change {
	return protocol.Change{Put: key, Value: Encode(map[string]string{"x": string(make([]byte, size))})}
}

// Other controllers may use the budget up for a moment: a user does not have to
// come back for that, but is not kept waiting either.
func TestUsersOutlastAMomentOverTheLimit(t *testing.T) {
	over := transport.Response{Status: 429, Body: protocol.Encode(map[string]any{})}
	done := transport.Response{Status: 200, Body: protocol.Encode(protocol.TransactionResult{Revision: 7})}
	for _, tc := range []struct {
		answers []transport.Response
		err     error
	}{{[]transport.Response{over, over, done}, nil}, {[]transport.Response{over}, ErrRefused}} {
		synctest.Test(t, func(t *testing.T) {
			s := NewStore(&script{answers: tc.answers}, "state:1", settings.StateStoreLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 5)
			begun := time.Now()
			_, err := s.UserCommit(t.Context(), &protocol.Transaction{Then: []protocol.Change{put("w/j/job-1/spec", 9)}})
			if !errors.Is(err, tc.err) || time.Since(begun) > userWaitLimit {
				t.Errorf("%v after %s, want %v", err, time.Since(begun), tc.err)
			}
		})
	}
}

// A transaction that the service finds too large is not repeated unchanged:
// batches shrink, until a change alone shows that its value is too large.
func TestRefusalsForSizeShrinkBatches(t *testing.T) {
	tooLarge := transport.Response{Status: 400, Body: protocol.Encode(protocol.Problem{Error: "too large"})}
	s := NewStore(&script{answers: []transport.Response{tooLarge}}, "state:1", settings.StateStoreLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 5)
	for _, n := range []int{12, 6, 3, 2} {
		if s.TxnOps() != n {
			t.Errorf("%d changes at a time, want %d", s.TxnOps(), n)
		}
		txn := &protocol.Transaction{}
		for range n {
			txn.Then = append(txn.Then, put("r/0/job-1/0", 20))
		}
		if _, err := s.CommitLease(t.Context(), txn); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%v", err)
		}
	}
	value := put("r/0/job-1/0", 200)
	if _, err := s.CommitLease(t.Context(), &protocol.Transaction{Then: []protocol.Change{value}}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("%v", err)
	}
	if size := protocol.JSONSize(value.Value); s.TxnOps() != 12 || s.ValueBytes() != size-1 {
		t.Errorf("%d changes of %d bytes, after one of %d was refused alone", s.TxnOps(), s.ValueBytes(), size)
	}
	gone := transport.Response{Status: 400, Body: protocol.Encode(protocol.Problem{Error: "no such lease"})}
	s.network = &script{answers: []transport.Response{gone}}
	if _, err := s.CommitLease(t.Context(), &protocol.Transaction{Then: []protocol.Change{value}}); !errors.Is(err, ErrLeaseGone) || s.TxnOps() != 12 {
		t.Errorf("%v, %d changes", err, s.TxnOps())
	}
}
