package reapi

import (
	"context"
	"strings"
	"testing"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"

	"micaspindle/internal/protocol"
	"micaspindle/internal/reapi/inspection"
)

const shortLinger = 400 * time.Millisecond

// waitingClient is a client that waits for an action at a front end until it is cancelled.
type waitingClient struct {
	stream grpc.ServerStreamingClient[longrunningpb.Operation]
	name   string
	cancel context.CancelFunc
}

// executeAt executes an action at a front end and returns once the operation has started.
func executeAt(t *testing.T, b *testClient, action *repb.Digest) *waitingClient {
	t.Helper()
	ctx, cancel := context.WithCancel(b.ctx)
	s, err := repb.NewExecutionClient(b.conn).Execute(ctx, &repb.ExecuteRequest{ActionDigest: action})
	if err != nil {
		t.Fatal(err)
	}
	op, err := s.Recv()
	if err != nil {
		t.Fatal(err)
	}
	return &waitingClient{s, op.GetName(), cancel}
}

// waitAt waits for an operation at a front end.
func waitAt(t *testing.T, b *testClient, name string) *waitingClient {
	t.Helper()
	ctx, cancel := context.WithCancel(b.ctx)
	s, err := repb.NewExecutionClient(b.conn).WaitExecution(ctx, &repb.WaitExecutionRequest{Name: name})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Recv(); err != nil {
		t.Fatal(err)
	}
	return &waitingClient{s, name, cancel}
}

// cancelled reports whether the job of an operation was cancelled.
func (j *fakeJobs) cancelled(operation string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.states[strings.Split(operation, "/")[1]] == protocol.StatusCancelled
}

// eventually waits until a condition holds.
func eventually(t *testing.T, condition string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for this condition: %s", condition)
		}
	}
}

// never checks that a condition does not hold for a multiple of the linger time.
func never(t *testing.T, condition string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * shortLinger); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			t.Fatalf("this condition held, want it never to hold: %s", condition)
		}
	}
}

// A job is cancelled after its last client has disconnected from any front end, even if that
// front end failed before.
func TestInterestLeases(t *testing.T) {
	jobs := &fakeJobs{expired: map[string]bool{}, states: map[string]string{}, submitted: make(chan *protocol.Submission, 100)}
	s := startGroupWith(t, 3, 2, jobs)
	for _, f := range s.frontEnds {
		go f.Sweep(s.clients[0].ctx, shortLinger)
	}
	for i, b := range s.clients {
		s.clients[i] = b.as("Bearer anna")
	}
	// Two clients wait at different front ends and leave one after the other.
	a := executeAt(t, s.clients[0], s.clients[0].uploadAction("one"))
	b := waitAt(t, s.clients[1], a.name)
	cancelled := func() bool { return jobs.cancelled(a.name) }
	a.cancel()
	never(t, "job cancelled while a client waits at a peer", cancelled)
	b.cancel()
	eventually(t, "job cancelled after the last client left", cancelled)
	// A front end fails and its client reconnects to another one. That one fails too, and the
	// client does not reconnect.
	c := executeAt(t, s.clients[0], s.clients[0].uploadAction("two"))
	cancelled = func() bool { return jobs.cancelled(c.name) }
	time.Sleep(shortLinger) // until a peer has an interest lease
	s.servers[0].Stop()
	d := waitAt(t, s.clients[2], c.name)
	never(t, "job cancelled although its client reconnected", cancelled)
	jobs.expire("Bearer anna")
	s.servers[2].Stop()
	d.cancel()
	eventually(t, "job cancelled by a peer with a lease", func() bool { return cancelled() && jobs.called("withdraw as certificate person/anna") })
}

// Only peers may send interest leases and ask which jobs are awaited.
func TestInterestLeasesAreForPeersOnly(t *testing.T) {
	b, _, _ := startExecuting(t, twoTeams)
	n := inspection.NewNeighboursClient(b.conn)
	_, err := n.Note(b.ctx, &inspection.NoteRequest{Interests: []*inspection.Interest{{Job: "job-1", ForMs: 1}}})
	b.wantCode(err, codes.PermissionDenied)
	_, err = n.Wanted(b.ctx, &inspection.WantedRequest{Jobs: []string{"job-1"}})
	b.wantCode(err, codes.PermissionDenied)
}
