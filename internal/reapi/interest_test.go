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

// waiting is a client that waits for an action at a gate, until it goes.
type waiting struct {
	stream grpc.ServerStreamingClient[longrunningpb.Operation]
	name   string
	leave  context.CancelFunc
}

func executeAt(t *testing.T, b *build, action *repb.Digest) *waiting {
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
	return &waiting{s, op.GetName(), cancel}
}

func waitAt(t *testing.T, b *build, name string) *waiting {
	t.Helper()
	ctx, cancel := context.WithCancel(b.ctx)
	s, err := repb.NewExecutionClient(b.conn).WaitExecution(ctx, &repb.WaitExecutionRequest{Name: name})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Recv(); err != nil {
		t.Fatal(err)
	}
	return &waiting{s, name, cancel}
}

// withdrawn says whether the job of an operation was withdrawn.
func (j *scriptedJobs) withdrawn(operation string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.states[strings.Split(operation, "/")[1]] == protocol.StatusCancelled
}

// eventually waits until something is so; never sees that it is not for a while.
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

// A job ends with the last client that waits for it, wherever that is, also where
// the gate at which it waited does not live to see it go.
func TestInterestIsKnownToOtherGates(t *testing.T) {
	jobs := &scriptedJobs{ended: map[string]bool{}, states: map[string]string{}, submitted: make(chan *protocol.Submission, 100)}
	s := startSeveralWith(t, 3, 2, jobs)
	for _, g := range s.gates {
		go g.Sweep(s.clients[0].ctx, shortLinger)
	}
	for i, b := range s.clients {
		s.clients[i] = b.as("Bearer anna")
	}
	// Two wait at two gates; the first goes, then the other.
	a := executeAt(t, s.clients[0], s.clients[0].action("one"))
	b := waitAt(t, s.clients[1], a.name)
	gone := func() bool { return jobs.withdrawn(a.name) }
	a.leave()
	never(t, "withdrawn while somebody waits at another gate", gone)
	b.leave()
	eventually(t, "withdrawn after the last one went", gone)
	// A gate dies under its client, which comes back at another one, and later not.
	c := executeAt(t, s.clients[0], s.clients[0].action("two"))
	gone = func() bool { return jobs.withdrawn(c.name) }
	time.Sleep(shortLinger) // it is told to another gate
	s.servers[0].Stop()
	d := waitAt(t, s.clients[2], c.name)
	never(t, "withdrawn though the client came back", gone)
	jobs.end("Bearer anna")
	s.servers[2].Stop()
	d.leave()
	eventually(t, "withdrawn by a gate that was told", func() bool { return gone() && jobs.called("withdraw as certificate person/anna") })
}

// Only gates tell each other who waits.
func TestInterestIsAmongGates(t *testing.T) {
	b, _, _ := startExecuting(t, oneTeam)
	n := inspection.NewNeighboursClient(b.conn)
	_, err := n.Note(b.ctx, &inspection.NoteRequest{Interests: []*inspection.Interest{{Job: "job-1", ForMs: 1}}})
	b.code(err, codes.PermissionDenied)
	_, err = n.Wanted(b.ctx, &inspection.WantedRequest{Jobs: []string{"job-1"}})
	b.code(err, codes.PermissionDenied)
}
