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

// waitingClient is a client that waits for an action at a front end, until it leaves.
type waitingClient struct {
	stream grpc.ServerStreamingClient[longrunningpb.Operation]
	name   string
	leave  context.CancelFunc
}

func executeAt(t *testing.T, b *build, action *repb.Digest) *waitingClient {
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

func waitAt(t *testing.T, b *build, name string) *waitingClient {
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

// withdrawn reports whether the job of an operation was withdrawn.
func (j *scriptedJobs) withdrawn(operation string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.states[strings.Split(operation, "/")[1]] == protocol.StatusCancelled
}

// eventually waits until a condition holds; never checks that it does not hold for a while.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
	}
}

func never(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * shortLinger); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			t.Fatalf("too early: %s", what)
		}
	}
}

// A job is withdrawn after the last client that waits for it has left, at whichever front
// end, also if that front end has died before.
func TestInterestLeases(t *testing.T) {
	jobs := &scriptedJobs{ended: map[string]bool{}, states: map[string]string{}, submitted: make(chan *protocol.Submission, 100)}
	s := startGroupWith(t, 3, 2, jobs)
	for _, f := range s.frontEnds {
		go f.Sweep(s.clients[0].ctx, shortLinger)
	}
	for i, b := range s.clients {
		s.clients[i] = b.as("Bearer anna")
	}
	// Two clients wait at two front ends; the first leaves, then the other.
	a := executeAt(t, s.clients[0], s.clients[0].action("one"))
	b := waitAt(t, s.clients[1], a.name)
	gone := func() bool { return jobs.withdrawn(a.name) }
	a.leave()
	never(t, "withdrawn while a client waits at a peer", gone)
	b.leave()
	eventually(t, "withdrawn after the last one went", gone)
	// A front end dies. Its client comes back at another one, and the next time does not.
	c := executeAt(t, s.clients[0], s.clients[0].action("two"))
	gone = func() bool { return jobs.withdrawn(c.name) }
	time.Sleep(shortLinger) // a peer gets an interest lease
	s.servers[0].Stop()
	d := waitAt(t, s.clients[2], c.name)
	never(t, "withdrawn though the client came back", gone)
	jobs.end("Bearer anna")
	s.servers[2].Stop()
	d.leave()
	eventually(t, "withdrawn by a peer with a lease", func() bool { return gone() && jobs.called("withdraw as certificate person/anna") })
}

// Only peers may send interest leases.
func TestInterestLeasesAreForPeersOnly(t *testing.T) {
	b, _, _ := startExecuting(t, oneTeam)
	n := inspection.NewNeighboursClient(b.conn)
	_, err := n.Note(b.ctx, &inspection.NoteRequest{Interests: []*inspection.Interest{{Job: "job-1", ForMs: 1}}})
	b.code(err, codes.PermissionDenied)
	_, err = n.Wanted(b.ctx, &inspection.WantedRequest{Jobs: []string{"job-1"}})
	b.code(err, codes.PermissionDenied)
}
