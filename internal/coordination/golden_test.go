package coordination

import (
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/coordination/replication"

	"testing"

	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// The paths between controllers stay as they are.
func TestGoldenPeerPaths(t *testing.T) {
	for _, tc := range []struct{ name, got, want string }{
		{"summary", peering.SummaryPath, "/peer/summary"},
		{"fleet request", peerapi.MachineRequestPath, "/peer/fleet"},
		{"tale", replication.UpdatePath, "/peer/tale"},
		{"recall", replication.StateTransferPath, "/peer/recall"},
		{"carry", proxy.DelegationPath, "/peer/carry"},
		{"relay", proxy.ForwardPath, "/peer/relay"},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: path %q, want %q", tc.name, tc.got, tc.want)
		}
	}
}

// The paths and methods of users, workers and operators stay as they are: a known path
// refuses another method with 405, an unknown one is 404.
func TestGoldenPublicPaths(t *testing.T) {
	other := map[string]string{"GET": "POST", "POST": "GET"}
	ctx, c := t.Context(), newTestController(t.Context(), &newWorld(t, 1).set, settings.DefaultOperator())
	must(c.EnableAuth(auth.Identities{}))
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
			t.Errorf("%s %s: %d, want 405", other[method], path, resp.Status)
		}
	}
	if resp := c.Serve(ctx, &transport.Request{Method: "GET", Path: "/unknown"}); resp.Status != 404 {
		t.Errorf("an unknown path: %d, want 404", resp.Status)
	}
	for _, path := range []string{"/metrics", "/overview"} {
		if resp := c.ServeOperations(ctx, &transport.Request{Method: "POST", Path: path}); resp.Status != 405 {
			t.Errorf("POST %s: %d, want 405", path, resp.Status)
		}
	}
}
