package coordination

import (
	"testing"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// The paths between controllers are part of the wire protocol and must not change.
func TestGoldenPeerPaths(t *testing.T) {
	for _, tc := range []struct{ name, got, want string }{
		{"summary", peering.SummaryPath, "/peer/summary"},
		{"machine request", peerapi.MachineRequestPath, "/peer/fleet"},
		{"replica update", replication.UpdatePath, "/peer/tale"},
		{"state transfer", replication.StateTransferPath, "/peer/recall"},
		{"delegation", proxy.DelegationPath, "/peer/carry"},
		{"forwarding", proxy.ForwardPath, "/peer/relay"},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: path %q, want %q", tc.name, tc.got, tc.want)
		}
	}
}

// The paths and methods for users, agents and operators must not change. A known path responds
// to any other method with 405, an unknown path with 404.
func TestGoldenPublicPaths(t *testing.T) {
	other := map[string]string{"GET": "POST", "POST": "GET"}
	ctx, c := t.Context(), newTestController(t.Context(), &newSimulatedCluster(t, 1).settings, settings.DefaultOperator())
	panicOnError(c.EnableAuth(auth.Config{}))
	for path, method := range map[string]string{
		"/checkin":                     "POST",
		"/healthz":                     "GET",
		"/submissions":                 "POST",
		"/submissions/job-7":           "GET",
		"/submissions/job-7/withdraw":  "POST",
		"/submissions/job-7/arguments": "GET",
		"/submissions/job-7/reassign":  "POST",
		"/whoami":                      "GET",
		"/may":                         "GET",
		"/withdrawals":                 "POST",
		"/policy":                      "POST",
		"/policy/roles":                "GET",
		"/policy/identities":           "GET",
		"/audit/seal":                  "GET",
		"/audit/batches":               "GET",
	} {
		if resp := c.Serve(ctx, &transport.Request{Method: other[method], Path: path}); resp.Status != 405 {
			t.Errorf("%s %s: status %d, want 405", other[method], path, resp.Status)
		}
	}
	if resp := c.Serve(ctx, &transport.Request{Method: "GET", Path: "/unknown"}); resp.Status != 404 {
		t.Errorf("unknown path: status %d, want 404", resp.Status)
	}
	for _, path := range []string{"/metrics", "/overview"} {
		if resp := c.ServeOperations(ctx, &transport.Request{Method: "POST", Path: path}); resp.Status != 405 {
			t.Errorf("POST %s: status %d, want 405", path, resp.Status)
		}
	}
}
