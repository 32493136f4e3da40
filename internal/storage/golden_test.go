package storage_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/golden"
	"micaspindle/internal/protocol"
	"micaspindle/internal/rights"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

var stored = golden.Codec{
	Marshal:   func(value any) ([]byte, error) { return storage.Encode(value), nil },
	Unmarshal: func(data []byte, pointer any) error { return storage.Decode(data, pointer) },
}

// Guards against changes in the encoding of the records in the state store.
func TestGoldenRecords(t *testing.T) {
	for name, record := range map[string]any{
		"job":         golden.Fill(&protocol.JobSpec{}),
		"final":       golden.Fill(&storage.FinalRecord{}),
		"run":         golden.Fill(&storage.RunRecord{}),
		"claim":       golden.Fill(&storage.Lease{}), // of a partition and of the cluster leader
		"life":        golden.Fill(&storage.Incarnation{}),
		"machine":     golden.Fill(&storage.Machine{}),
		"token":       golden.Fill(&storage.Token{}),
		"catalog":     golden.Fill(&protocol.Catalog{}),
		"policy-head": golden.Fill(&storage.PolicyHead{}),
		"role":        golden.Fill(&rights.Role{}),
		"identity":    golden.Fill(&rights.Identity{}),
	} {
		t.Run(name, func(t *testing.T) { golden.Check(t, name, record, stored) })
	}
}

// Guards against changes of the keys, and checks that ParseKey recognises each.
func TestGoldenKeys(t *testing.T) {
	for _, tc := range []struct {
		name, key, want string
		kind            storage.RecordKind
		of              string
	}{
		{"claim", storage.LeaseKey(12), "w/c/12", storage.KindLease, "12"},
		{"leader", storage.LeadershipKey, "w/c/leader", storage.KindLeadership, ""},
		{"token", storage.TokenKey(12), "w/f/12", storage.KindToken, "12"},
		{"machine", storage.MachineKey("m-000231"), "w/m/m-000231", storage.KindMachine, "m-000231"},
		{"job", storage.JobKey("job-000412"), "w/j/job-000412/spec", storage.KindJob, "job-000412"},
		{"final", storage.FinalKey("job-000412"), "w/j/job-000412/final", storage.KindFinal, "job-000412"},
		{"life", storage.IncarnationKey("spindle-1"), "w/l/spindle-1", storage.KindIncarnation, "spindle-1"},
		{"catalog", storage.CatalogKey, "w/catalog", storage.KindCatalog, ""},
		{"policy head", storage.PolicyHeadKey, "w/a/head", storage.KindPolicyHead, ""},
		{"role", storage.RoleKey("owners"), "w/a/role/owners", storage.KindRole, "owners"},
		{"identity", storage.IdentityKey("user:eva"), "w/a/id/user:eva", storage.KindIdentity, "user:eva"},
		{"run", storage.RunKey(3, "job-000412", 2), "r/3/job-000412/2", storage.KindOther, ""},
		{"watched keys", storage.WatchPrefix, "w/", storage.KindOther, ""},
		{"run records of a partition", storage.RunPrefix(3), "r/3/", storage.KindOther, ""},
		{"records of a job", storage.JobPrefix("job-7"), "w/j/job-7/", storage.KindOther, ""},
	} {
		if tc.key != tc.want {
			t.Errorf("%s: key %q, want %q", tc.name, tc.key, tc.want)
		}
		if kind, of := storage.ParseKey(tc.want); kind != tc.kind || of != tc.of {
			t.Errorf("%s: key %q is kind %v of %q, want %v of %q", tc.name, tc.want, kind, of, tc.kind, tc.of)
		}
	}
	if id, chunk, err := storage.ParseRunKey("r/3/job-000412/2"); err != nil || id != "job-000412" || chunk != 2 {
		t.Errorf("run key is parsed as chunk %d of job %q (%v), want chunk 2 of job-000412", chunk, id, err)
	}
	if storage.ChunkTasks != 64 {
		t.Errorf("a run record holds %d tasks, want 64", storage.ChunkTasks)
	}
}

// recorder records the last request and answers each with an empty map.
type recorder struct{ method, target string }

func (r *recorder) Do(_ context.Context, _, method, target string, _ []byte) (*transport.Response, error) {
	r.method, r.target = method, target
	return &transport.Response{Status: 200, Body: protocol.Encode(map[string]any{})}, nil
}

// Guards against changes of the requests to the state store.
func TestGoldenStateRequests(t *testing.T) {
	last := &recorder{}
	store := storage.NewStore(last, "state:1", settings.StateStoreLimits{RPS: 100, WriteRPS: 25, ValueKB: 8, TxnOps: 12}, 5)
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
			t.Errorf("%s: sent %s %s, want %s %s", tc.name, last.method, target, tc.method, tc.target)
		}
	}
}

// orderQuery sorts the parameters of a request's query, since their order is unspecified.
func orderQuery(target string) string {
	path, query, found := strings.Cut(target, "?")
	if !found {
		return path
	}
	parameters := strings.Split(query, "&")
	slices.Sort(parameters)
	return path + "?" + strings.Join(parameters, "&")
}
