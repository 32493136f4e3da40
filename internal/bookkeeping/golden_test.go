package bookkeeping_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/golden"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

var stored = golden.Codec{
	Marshal:   func(value any) ([]byte, error) { return bookkeeping.Encode(value), nil },
	Unmarshal: func(data []byte, pointer any) error { return bookkeeping.Decode(data, pointer) },
}

// Every kind of record that controllers share through the state service stays as it is.
func TestGoldenRecords(t *testing.T) {
	for name, record := range map[string]any{
		"job":         golden.Fill(&protocol.JobSpec{}),
		"final":       golden.Fill(&bookkeeping.Final{}),
		"run":         golden.Fill(&bookkeeping.RunRecord{}),
		"claim":       golden.Fill(&bookkeeping.Lease{}), // of a part and of the leader
		"life":        golden.Fill(&bookkeeping.Incarnation{}),
		"machine":     golden.Fill(&bookkeeping.Machine{}),
		"catalog":     golden.Fill(&protocol.Catalog{}),
		"policy-head": golden.Fill(&bookkeeping.PolicyHead{}),
		"role":        golden.Fill(&rights.Role{}),
		"identity":    golden.Fill(&rights.Identity{}),
	} {
		t.Run(name, func(t *testing.T) { golden.Check(t, name, record, stored) })
	}
}

// Keys stay as they are, and each is recognised as what it holds.
func TestGoldenKeys(t *testing.T) {
	for _, tc := range []struct {
		name, key, want string
		kind            bookkeeping.Kind
		of              string
	}{
		{"claim", bookkeeping.LeaseKey(12), "w/c/12", bookkeeping.KindLease, "12"},
		{"leader", bookkeeping.LeadershipKey, "w/c/leader", bookkeeping.KindLeadership, ""},
		{"machine", bookkeeping.MachineKey("m-000231"), "w/m/m-000231", bookkeeping.KindMachine, "m-000231"},
		{"job", bookkeeping.JobKey("job-000412"), "w/j/job-000412/spec", bookkeeping.KindJob, "job-000412"},
		{"final", bookkeeping.FinalKey("job-000412"), "w/j/job-000412/final", bookkeeping.KindFinal, "job-000412"},
		{"life", bookkeeping.IncarnationKey("spindle-1"), "w/l/spindle-1", bookkeeping.KindIncarnation, "spindle-1"},
		{"catalog", bookkeeping.CatalogKey, "w/catalog", bookkeeping.KindCatalog, ""},
		{"policy head", bookkeeping.PolicyHeadKey, "w/a/head", bookkeeping.KindPolicyHead, ""},
		{"role", bookkeeping.RoleKey("owners"), "w/a/role/owners", bookkeeping.KindRole, "owners"},
		{"identity", bookkeeping.IdentityKey("user:eva"), "w/a/id/user:eva", bookkeeping.KindIdentity, "user:eva"},
		{"run", bookkeeping.RunKey(3, "job-000412", 2), "r/3/job-000412/2", bookkeeping.KindOther, ""},
		{"watched", bookkeeping.WatchPrefix, "w/", bookkeeping.KindOther, ""},
		{"runs of a part", bookkeeping.RunPrefix(3), "r/3/", bookkeeping.KindOther, ""},
		{"records of a job", bookkeeping.JobPrefix("job-7"), "w/j/job-7/", bookkeeping.KindOther, ""},
	} {
		if tc.key != tc.want {
			t.Errorf("%s: key %q, want %q", tc.name, tc.key, tc.want)
		}
		if kind, of := bookkeeping.ParseKey(tc.want); kind != tc.kind || of != tc.of {
			t.Errorf("%s: key %q is kind %v of %q, want %v of %q", tc.name, tc.want, kind, of, tc.kind, tc.of)
		}
	}
	if id, chunk, err := bookkeeping.ParseRunKey("r/3/job-000412/2"); err != nil || id != "job-000412" || chunk != 2 {
		t.Errorf("run key is chunk %d of %q (%v)", chunk, id, err)
	}
	if bookkeeping.ChunkTasks != 64 {
		t.Errorf("a run record holds %d tasks, want 64", bookkeeping.ChunkTasks)
	}
}

// recorder keeps the last request and answers each with an empty map.
type recorder struct{ method, target string }

func (r *recorder) Do(_ context.Context, _, method, target string, _ []byte) (*transport.Response, error) {
	r.method, r.target = method, target
	return &transport.Response{Status: 200, Body: protocol.Encode(map[string]any{})}, nil
}

// The requests to the state service stay as they are.
func TestGoldenStateRequests(t *testing.T) {
	last := &recorder{}
	store := bookkeeping.NewStore(last, "state:1", settings.State{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 5)
	ctx := t.Context()
	for _, tc := range []struct {
		name, method, target string
		request              func() error
	}{
		{"get", "GET", "/store/w/catalog", func() error { _, err := store.Get(ctx, "w/catalog"); return err }},
		{"page", "GET", "/store?after=w/c/3&page=7&under=w/", func() error { _, err := store.Page(ctx, "w/", "w/c/3", 7); return err }},
		{"commit", "POST", "/commit", func() error { _, err := store.Commit(ctx, &protocol.Transaction{}); return err }},
		{"grant", "POST", "/grants", func() error { _, err := store.GrantLease(ctx, time.Second); return err }},
		{"touch", "POST", "/grants/9/touch", func() error { return store.RenewLease(ctx, 9, time.Second) }},
		{"revoke", "DELETE", "/grants/9", func() error { store.RevokeLease(ctx, 9); return nil }},
		{"watch", "GET", "/changes?after=5&under=w/&wait_ms=250", func() error {
			_, err := store.Watch(ctx, "w/", 5, 250*time.Millisecond, time.Second)
			return err
		}},
	} {
		if err := tc.request(); err != nil {
			t.Errorf("%s: %v", tc.name, err)
		}
		if target := orderQuery(last.target); last.method != tc.method || target != tc.target {
			t.Errorf("%s: asked %s %s, want %s %s", tc.name, last.method, target, tc.method, tc.target)
		}
	}
}

// orderQuery sorts the parameters of a request's query, whose order is open.
func orderQuery(target string) string {
	path, query, found := strings.Cut(target, "?")
	if !found {
		return path
	}
	parameters := strings.Split(query, "&")
	slices.Sort(parameters)
	return path + "?" + strings.Join(parameters, "&")
}
