package reapi

import (
	"context"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/protocol"
	"micaspindle/internal/reapi/inspection"
)

// A caller must not see the statistics of teams that it may not view, nor totals from which
// they could be derived.
func TestInspectionShowsOwnTeamsOnly(t *testing.T) {
	rights := allowedCalls{"anna view red": true, "anna view-arguments red": true, "anna submit red": true, "root view red": true, "root view blue": true}
	b, _ := startFrontEnd(t, twoTeams, rights, largeStore)
	anna := b.as("anna")
	data := randomBytes(5000)
	if _, err := anna.upload("uploads/1/blobs/"+blobstore.Of(data).String(), data, 0, chunkSize, true); err != nil {
		t.Fatal(err)
	}
	getStore := func(c *testClient) (*inspection.StoreReply, error) {
		return inspection.NewInspectionClient(b.conn).GetStore(c.ctx, &inspection.StoreRequest{})
	}
	got, err := getStore(anna)
	if err != nil || len(got.Teams) != 1 || got.Teams[0].Name != "red" || got.Teams[0].Bytes != 5000 || got.Teams[0].Promised != 5000 || got.Totals != nil {
		t.Errorf("GetStore as a viewer of team red = %v, %v; want team red with 5000 bytes and no totals", got, err)
	}
	got, err = getStore(b.as("root"))
	if err != nil || len(got.Teams) != 2 || got.Totals.GetBytes() != 5000 || got.Totals.GetMaxBytes() != largeStore.MaxBytes {
		t.Errorf("GetStore as a viewer of all teams = %v, %v; want two teams and totals of 5000 bytes", got, err)
	}
	_, err = getStore(b.as("ben"))
	b.wantCode(err, codes.PermissionDenied)
	_, err = getStore(b)
	b.wantCode(err, codes.Unauthenticated)
}

// GetAction reports the state of an action at every stage, by operation name and by digest.
func TestInspectionOfActions(t *testing.T) {
	b, f, jobs := startExecuting(t, twoTeams)
	b = b.as("Bearer anna")
	action := b.uploadAction("true")
	getAction := func(req *inspection.ActionRequest) *inspection.ActionReply {
		t.Helper()
		r, err := inspection.NewInspectionClient(b.conn).GetAction(b.ctx, req)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	byDigest := &inspection.ActionRequest{Hash: action.Hash, SizeBytes: action.SizeBytes}
	if r := getAction(byDigest); r.State != "unknown" {
		t.Errorf("GetAction before execution = %v, want state unknown", r)
	}
	s, err := repb.NewExecutionClient(b.conn).Execute(b.ctx, &repb.ExecuteRequest{ActionDigest: action})
	if err != nil {
		t.Fatal(err)
	}
	op, err := s.Recv()
	if err != nil {
		t.Fatal(err)
	}
	job := *(<-jobs.submitted).ID
	for state, want := range map[string]string{protocol.StatusQueued: "queued", protocol.StatusRunning: "running", protocol.StatusCancelled: "withdrawn", protocol.StatusDone: "unknown"} {
		jobs.mu.Lock()
		jobs.states[job] = state
		jobs.mu.Unlock()
		for _, req := range []*inspection.ActionRequest{byDigest, {Name: op.GetName()}} {
			if r := getAction(req); r.State != want || r.Job != job || r.Task != 0 || r.Operation != op.GetName() || r.JobState != state || r.WaitsFor == "" {
				t.Errorf("GetAction while the job is %s = %v, want state %s", state, r, want)
			}
		}
	}
	f.recordTestResult(t, action)
	if r := getAction(byDigest); r.State != "done" || !r.Cached || r.Result.GetWorker() != "m-1" || r.WaitsFor != "" {
		t.Errorf("GetAction after execution = %v, want state done with the cached result", r)
	}
	for _, req := range []*inspection.ActionRequest{{Name: "operations/x"}, {Hash: "zz", SizeBytes: 1}} {
		ctx, cancel := context.WithTimeout(b.ctx, 5*time.Second)
		_, err := inspection.NewInspectionClient(b.conn).GetAction(ctx, req)
		cancel()
		if err == nil {
			t.Errorf("GetAction accepted the invalid request %v", req)
		}
	}
}
