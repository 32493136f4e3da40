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

// scriptedStore is a fake state store that gives its answers in order and then repeats the last one.
type scriptedStore struct {
	answers  []transport.Response
	requests int
}

func (s *scriptedStore) Do(context.Context, string, string, string, []byte) (*transport.Response, error) {
	a := s.answers[min(s.requests, len(s.answers)-1)]
	s.requests++
	return &a, nil
}

func put(key string, size int) protocol.Change {
	return protocol.Change{Put: key, Value: Encode(map[string]string{"x": string(make([]byte, size))})}
}

// Other controllers may briefly exhaust the state store's rate limit: a user's commit is retried,
// but for no longer than userWaitLimit.
func TestUserCommitIsRetriedAfterRateLimiting(t *testing.T) {
	over := transport.Response{Status: 429, Body: protocol.Encode(map[string]any{})}
	done := transport.Response{Status: 200, Body: protocol.Encode(protocol.TransactionResult{Revision: 7})}
	for _, tc := range []struct {
		answers []transport.Response
		err     error
	}{{[]transport.Response{over, over, done}, nil}, {[]transport.Response{over}, ErrRefused}} {
		synctest.Test(t, func(t *testing.T) {
			s := NewStore(&scriptedStore{answers: tc.answers}, "state:1", settings.StateStoreLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 5)
			begun := time.Now()
			_, err := s.UserCommit(t.Context(), &protocol.Transaction{Then: []protocol.Change{put("w/j/job-1/spec", 9)}})
			if !errors.Is(err, tc.err) || time.Since(begun) > userWaitLimit {
				t.Errorf("error %v after %s, want %v within userWaitLimit", err, time.Since(begun), tc.err)
			}
		})
	}
}

// A transaction that the state store refuses for its size must not be retried unchanged: batches
// shrink until the refusal of a single change shows that its value is too large.
func TestRefusalsForSizeShrinkBatches(t *testing.T) {
	tooLarge := transport.Response{Status: 400, Body: protocol.Encode(protocol.Problem{Error: "too large"})}
	s := NewStore(&scriptedStore{answers: []transport.Response{tooLarge}}, "state:1", settings.StateStoreLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 5)
	for _, n := range []int{12, 6, 3, 2} {
		if s.TxnOps() != n {
			t.Errorf("TxnOps returned %d, want %d", s.TxnOps(), n)
		}
		txn := &protocol.Transaction{}
		for range n {
			txn.Then = append(txn.Then, put("r/0/job-1/0", 20))
		}
		if _, err := s.CommitLease(t.Context(), txn); !errors.Is(err, ErrTooLarge) {
			t.Errorf("several changes: error %v, want ErrTooLarge", err)
		}
	}
	value := put("r/0/job-1/0", 200)
	if _, err := s.CommitLease(t.Context(), &protocol.Transaction{Then: []protocol.Change{value}}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("single large change: error %v, want ErrTooLarge", err)
	}
	if size := protocol.JSONSize(value.Value); s.TxnOps() != 12 || s.ValueBytes() != size-1 {
		t.Errorf("limits are %d changes and %d bytes, want 12 and one below the refused %d bytes", s.TxnOps(), s.ValueBytes(), size)
	}
	gone := transport.Response{Status: 400, Body: protocol.Encode(protocol.Problem{Error: "no such lease"})}
	s.network = &scriptedStore{answers: []transport.Response{gone}}
	if _, err := s.CommitLease(t.Context(), &protocol.Transaction{Then: []protocol.Change{value}}); !errors.Is(err, ErrLeaseGone) || s.TxnOps() != 12 {
		t.Errorf("expired lease: error %v, limit of %d changes, want ErrLeaseGone and 12", err, s.TxnOps())
	}
}
