package state

import (
	"context"
	"fmt"
	"net/url"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/protocol"
)

func commit(t *testing.T, s *Service, txn protocol.Transaction) int {
	t.Helper()
	if txn.If == nil {
		txn.If = []protocol.Condition{}
	}
	return s.Serve(context.Background(), "", "POST", "/commit", nil, protocol.Encode(txn)).Status
}

func TestTransactionsLeasesAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(new(sync.Mutex))
		s.TxnOps, s.ValueKB = 2, 1
		value := protocol.Encode(map[string]any{"a": 1})
		put := func(key string, lease uint64) []protocol.Change {
			return []protocol.Change{{Put: key, Value: value, Lease: lease}}
		}
		for _, tc := range []struct {
			name string
			txn  protocol.Transaction
			want int
		}{
			{"create", protocol.Transaction{If: []protocol.Condition{{Key: "k"}}, Then: put("k", 0)}, 200},
			{"create existing key", protocol.Transaction{If: []protocol.Condition{{Key: "k"}}, Then: put("k", 0)}, 409},
			{"update at version", protocol.Transaction{If: []protocol.Condition{{Key: "k", Version: 1}}, Then: put("k", 0)}, 200},
			{"unknown lease", protocol.Transaction{Then: put("l", 9)}, 400},
			{"too many changes", protocol.Transaction{Then: append(append(put("a", 0), put("b", 0)...), put("c", 0)...)}, 400},
			{"invalid key", protocol.Transaction{Then: put("a b", 0)}, 400},
			{"compare only", protocol.Transaction{If: []protocol.Condition{{Key: "k", Version: 2}}}, 200},
		} {
			if got := commit(t, s, tc.txn); got != tc.want {
				t.Errorf("transaction %q: got status %d, want %d", tc.name, got, tc.want)
			}
		}
		if s.Revision != 2 {
			t.Errorf("revision %d after two changes, want 2", s.Revision)
		}
		var lease protocol.Lease
		resp := s.Serve(context.Background(), "", "POST", "/grants", nil, protocol.Encode(protocol.LeaseRequest{TTLMS: 1000}))
		if err := protocol.Decode(resp.Body, &lease); err != nil || commit(t, s, protocol.Transaction{Then: put("leased", lease.ID)}) != 200 {
			t.Fatalf("put of a key with a new lease failed; error %v in the response to the lease request", err)
		}
		time.Sleep(1100 * time.Millisecond)
		if resp := s.Serve(context.Background(), "", "GET", "/store/leased", nil, nil); resp.Status != 404 {
			t.Errorf("read of a key after its lease has expired returns status %d, want 404", resp.Status)
		}
		// A watch returns as soon as there is a change under its prefix.
		go func() {
			time.Sleep(time.Second)
			commit(t, s, protocol.Transaction{Then: put("w/1", 0)})
		}()
		var ev protocol.Events
		started := time.Now()
		q := url.Values{"under": {"w/"}, "after": {"1"}, "wait_ms": {"5000"}}
		resp = s.Serve(context.Background(), "", "GET", "/changes", q, nil)
		if err := protocol.Decode(resp.Body, &ev); err != nil || len(ev.Events) != 1 || time.Since(started) > 1200*time.Millisecond {
			t.Errorf("watch: error %v, %d events after %s, want 1 event after about 1s", err, len(ev.Events), time.Since(started))
		}
		// A watch from a revision whose events have been dropped fails.
		for i := range minKeptEvents + 2*minKeptEvents/10 {
			if commit(t, s, protocol.Transaction{Then: put(fmt.Sprintf("x/%d", i%10), 0)}) != 200 {
				t.Fatal("a put to fill the history failed, want status 200")
			}
		}
		if resp := s.Serve(context.Background(), "", "GET", "/changes", q, nil); resp.Status != 410 {
			t.Errorf("a watch from a dropped revision returns status %d, want 410", resp.Status)
		}
	})
}
