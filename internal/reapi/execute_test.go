package reapi

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/admission"
	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

// scriptedJobs are the controllers: credentials may end, and every call is kept.
type scriptedJobs struct {
	mu        sync.Mutex
	ended     map[string]bool // credentials
	states    map[string]string
	runs      map[string]int // tasks that run, by job
	calls     []string
	submitted chan *protocol.Submission
}

func (j *scriptedJobs) call(what, cred, job string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, what+" as "+cred)
	if j.ended[cred] {
		return &client.Refusal{Status: 401}
	}
	return nil
}

func (j *scriptedJobs) Submit(_ context.Context, cred string, s *protocol.Submission) (protocol.JobStatus, error) {
	if err := j.call("submit", cred, *s.ID); err != nil {
		return protocol.JobStatus{}, err
	}
	j.mu.Lock()
	if j.states[*s.ID] == "" {
		j.states[*s.ID] = protocol.StatusRunning
	}
	st := protocol.JobStatus{ID: *s.ID, Status: j.states[*s.ID]}
	j.mu.Unlock()
	j.submitted <- s
	return st, nil
}

func (j *scriptedJobs) Status(_ context.Context, cred, job string) (protocol.JobStatus, error) {
	if err := j.call("status", cred, job); err != nil {
		return protocol.JobStatus{}, err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return protocol.JobStatus{ID: job, Status: j.states[job], Running: j.runs[job]}, nil
}

func (j *scriptedJobs) Withdraw(_ context.Context, cred, job string) error {
	if err := j.call("withdraw", cred, job); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.states[job] = protocol.StatusCancelled
	return nil
}

func (j *scriptedJobs) end(cred string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended[cred] = true
}

func (j *scriptedJobs) called(what string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Contains(j.calls, what)
}

// everyone is an access that knows clients by their credential.
type everyone struct{}

func (everyone) Allows(_ context.Context, credential, _, _ string) (string, error) {
	return "person/" + strings.TrimPrefix(strings.TrimPrefix(credential, "Bearer "), vouching+"person/"), nil
}

// startExecuting serves a gate whose jobs are scripted.
func startExecuting(t *testing.T, config Config) (*build, *FrontEnd, *scriptedJobs) {
	t.Helper()
	jobs := &scriptedJobs{ended: map[string]bool{}, states: map[string]string{}, submitted: make(chan *protocol.Submission, 1000)}
	b, g := startWith(t, config, everyone{}, roomy, jobs)
	return b, g, jobs
}

// action uploads an action that is like no other.
func (b *build) action(script string) *repb.Digest {
	b.t.Helper()
	command, _ := proto.Marshal(&repb.Command{Arguments: []string{"/bin/sh", "-c", script}})
	root, _ := proto.Marshal(&repb.Directory{})
	act, _ := proto.Marshal(&repb.Action{CommandDigest: b.blob(command), InputRootDigest: b.blob(root)})
	return b.blob(act)
}

// result records an execution's result as a worker does.
func (g *FrontEnd) result(t *testing.T, action *repb.Digest) {
	t.Helper()
	e := &ManifestEntry{Execution: executionKey(digestOf(action), ""), Hash: action.Hash, Size: action.SizeBytes}
	if first, err := g.RecordResult(context.Background(), "", "red", e, &repb.ActionResult{ExecutionMetadata: &repb.ExecutedActionMetadata{Worker: "m-1"}}, true); err != nil || !first {
		t.Fatalf("%v %v", first, err)
	}
}

// An action whose job was withdrawn, or whose result went with a gate, runs again when it
// is asked for again. Its job's id came from the same manifest, so that it was the ended
// job for ever: a build that lost its gates at the wrong moment never ended.
func TestActionsOfAnEndedJobAreSubmittedAnew(t *testing.T) {
	for _, state := range []string{protocol.StatusCancelled, protocol.StatusDone} {
		b, g, jobs := startExecuting(t, oneTeam)
		b = b.as("Bearer anna")
		action := b.action("true")
		first := executeAt(t, b, action)
		sub := <-jobs.submitted
		jobs.mu.Lock()
		jobs.states[*sub.ID] = state
		jobs.mu.Unlock()
		for err := error(nil); err == nil; {
			var op *longrunningpb.Operation
			if op, err = first.stream.Recv(); op.GetDone() {
				break
			}
		}
		again := executeAt(t, b, action)
		eventually(t, "submitted as another job", func() bool {
			select {
			case s := <-jobs.submitted:
				return *s.ID != *sub.ID
			default:
				return false
			}
		})
		g.result(t, action)
		for {
			op, err := again.stream.Recv()
			if err != nil {
				t.Fatalf("%s: %v", state, err)
			}
			if op.GetDone() {
				break
			}
		}
	}
}

// A client's token ends while its action runs, and another's while its job lingers:
// the first is told its result, and the second's job is withdrawn, both by the
// gate for whom it was.
func TestTokensThatEnd(t *testing.T) {
	b, g, jobs := startExecuting(t, oneTeam)
	b = b.as("Bearer anna")
	action := b.action("true")
	s, err := repb.NewExecutionClient(b.conn).Execute(b.ctx, &repb.ExecuteRequest{ActionDigest: action})
	if err != nil {
		t.Fatal(err)
	}
	if op, err := s.Recv(); err != nil || op.GetDone() {
		t.Fatalf("%v %v", op, err)
	}
	jobs.end("Bearer anna")
	for deadline := time.Now().Add(20 * time.Second); !jobs.called("status as certificate person/anna"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("called %q", jobs.calls)
		}
	}
	time.Sleep(2 * statusEvery)
	jobs.mu.Lock()
	shown := 0
	for _, c := range jobs.calls {
		if c == "status as Bearer anna" {
			shown++
		}
	}
	jobs.mu.Unlock()
	if shown > 1 {
		t.Errorf("a token that has ended was shown %d times", shown)
	}
	g.result(t, action)
	for {
		op, err := s.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if op.GetDone() {
			break
		}
	}
	// Another one goes, its token ends, and its job with it.
	ctx, cancel := context.WithCancel(b.ctx)
	ben := (&build{b.t, ctx, b.cas, b.ac, b.bytes, b.conn}).as("Bearer ben")
	ben.ctx = metadata.NewOutgoingContext(ctx, metadata.Pairs("authorization", "Bearer ben"))
	if s, err = repb.NewExecutionClient(b.conn).Execute(ben.ctx, &repb.ExecuteRequest{ActionDigest: ben.action("false")}); err == nil {
		_, err = s.Recv()
	}
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	jobs.end("Bearer ben")
	go g.Sweep(b.ctx, 200*time.Millisecond)
	for deadline := time.Now().Add(20 * time.Second); !jobs.called("withdraw as certificate person/ben"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("called %q", jobs.calls)
		}
	}
}

// What a client sends is never taken for a certificate that the gate has seen; one
// that it has seen counts where there is no token.
func TestCredentials(t *testing.T) {
	config := oneTeam
	config.Certified = func(context.Context) string { return "person/carl" }
	b, _, jobs := startExecuting(t, config)
	for header, want := range map[string]string{
		"":                        "submit as certificate person/carl",
		"Bearer anna":             "submit as Bearer anna",
		"certificate person/root": "submit as ",
	} {
		c := b
		if header != "" {
			c = b.as(header)
		}
		s, err := repb.NewExecutionClient(b.conn).Execute(c.ctx, &repb.ExecuteRequest{ActionDigest: c.action(header)})
		if err == nil {
			_, err = s.Recv()
		}
		if err != nil || !jobs.called(want) {
			t.Errorf("%q: called %q, %v", header, jobs.calls, err)
		}
	}
}

// A flood of one team's actions leaves places to another's, and is told when to
// come back; nothing keeps a place once it has its job.
func TestWaitingActionsAreShared(t *testing.T) {
	config := oneTeam
	ledger, err := admission.NewLedger(100, 60, []string{"red", "blue"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	config.Shares.Waiting = ledger
	b, _, jobs := startExecuting(t, config)
	b = b.as("Bearer flood")
	var actions []*repb.Digest
	for i := range 120 {
		actions = append(actions, b.action(fmt.Sprint(i)))
	}
	var mu sync.Mutex
	got := map[codes.Code]int{}
	var wg sync.WaitGroup
	for _, a := range actions {
		wg.Go(func() {
			s, err := repb.NewExecutionClient(b.conn).Execute(b.ctx, &repb.ExecuteRequest{ActionDigest: a})
			if err == nil {
				_, err = s.Recv()
			}
			mu.Lock()
			defer mu.Unlock()
			got[status.Code(err)]++
			if status.Code(err) == codes.ResourceExhausted && retryDelay(err) == 0 {
				t.Errorf("%v", err)
			}
		})
	}
	wg.Wait()
	if got[codes.OK] < 60 || got[codes.OK]+got[codes.ResourceExhausted] != 120 {
		t.Errorf("%v", got)
	}
	for deadline := time.Now().Add(10 * time.Second); ledger.Held()["red"] != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("held %v", ledger.Held())
		}
	}
	tasks := 0
	for range len(jobs.submitted) {
		tasks += int(*(<-jobs.submitted).Tasks)
	}
	if tasks != got[codes.OK] {
		t.Errorf("%d tasks of %d actions", tasks, got[codes.OK])
	}
}
