package api

import (
	"bytes"
	"testing"

	"micaspindle/internal/audit"
	"micaspindle/internal/protocol"
)

// TestFindRoute checks the method, the verb and the job id of each path. A case without a method
// expects no route.
func TestFindRoute(t *testing.T) {
	for _, tc := range []struct{ path, method, verb, job string }{
		{"/checkin", "POST", "", ""},
		{"/healthz", "GET", "", ""},
		{"/submissions", "POST", "submit", ""},
		{"/submissions/", "GET", "view", ""},
		{"/submissions/job-1", "GET", "view", "job-1"},
		{"/submissions/job-1/", "", "", "job-1"},
		{"/submissions/job-1/withdraw", "POST", "withdraw", "job-1"},
		{"/submissions/job-1/withdraw/", "", "", "job-1"},
		{"/submissions/job-1/arguments", "GET", "view-arguments", "job-1"},
		{"/submissions/job-1/reassign", "POST", "reassign", "job-1"},
		{"/submissions//withdraw", "POST", "withdraw", ""},
		{"/submissionsx", "", "", ""},
		{"/whoami", "GET", "whoami", ""},
		{"/whoami/", "", "", ""},
		{"/may", "GET", "may", ""},
		{"/withdrawals", "POST", "withdraw-all", ""},
		{"/policy", "POST", "change-policy", ""},
		{"/policy/roles", "GET", "read-policy", ""},
		{"/policy/", "GET", "read-policy", ""},
		{"/audit", "", "", ""},
		{"/audit/seal", "GET", "read-audit", ""},
		{"", "", "", ""},
		{"/", "", "", ""},
	} {
		found, job := findRoute(tc.path)
		if found == nil {
			found = &route{}
		}
		if found.method != tc.method || found.verb != tc.verb || job != tc.job {
			t.Errorf("path %q: got method %q, verb %q, job %q; want %q, %q, %q", tc.path, found.method, found.verb, job, tc.method, tc.verb, tc.job)
		}
	}
}

// TestBodies checks the field names in encoded responses.
func TestBodies(t *testing.T) {
	batches := []audit.NumberedBatch{{Chain: "spindle-0", Number: 7, Batch: audit.Batch{Prev: "p", Lines: []string{"{}"}, Signer: "k", Sig: "s"}}}
	for _, tc := range []struct{ got, want any }{
		{health{Status: "ok"}, map[string]any{"status": "ok"}},
		{auditBatches{batches}, map[string]any{"batches": batches}},
		{auditBatches{}, map[string]any{"batches": []audit.NumberedBatch(nil)}},
	} {
		if got, want := protocol.Encode(tc.got), protocol.Encode(tc.want); !bytes.Equal(got, want) {
			t.Errorf("encoded response %+v: got %q, want %q", tc.got, got, want)
		}
	}
}
