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

// scriptedJobs is a fake of the controllers. Credentials may expire; every call is recorded.
type scriptedJobs struct {
	mu        sync.Mutex
	ended     map[string]bool // credentials
	states    map[string]string
	runs      map[string]int // running tasks, by job
	calls     []string
	submitted chan *protocol.Submission
}

func (j *scriptedJobs) call(what, credential, job string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, what+" as "+credential)
	if j.ended[credential] {
		return &client.Refusal{Status: 401}
	}
	return nil
}

func (j *scriptedJobs) Submit(_ context.Context, credential string, s *protocol.Submission) (protocol.JobStatus, error) {
	if err := j.call("submit", credential, *s.ID); err != nil {
		return protocol.JobStatus{}, err
	}
	j.mu.Lock()
	if j.states[*s.ID] == "" {
		j.states[*s.ID] = protocol.StatusRunning
	}
	jobStatus := protocol.JobStatus{ID: *s.ID, Status: j.states[*s.ID]}
	j.mu.Unlock()
	j.submitted <- s
	return jobStatus, nil
}

func (j *scriptedJobs) Status(_ context.Context, credential, job string) (protocol.JobStatus, error) {
	if err := j.call("status", credential, job); err != nil {
		return protocol.JobStatus{}, err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return protocol.JobStatus{ID: job, Status: j.states[job], Running: j.runs[job]}, nil
}

func (j *scriptedJobs) Withdraw(_ context.Context, credential, job string) error {
	if err := j.call("withdraw", credential, job); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.states[job] = protocol.StatusCancelled
	return nil
}

func (j *scriptedJobs) end(credential string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended[credential] = true
}

func (j *scriptedJobs) called(what string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Contains(j.calls, what)
}

// everyone is an Access that allows everything and derives names from credentials.
type everyone struct{}

func (everyone) Allows(_ context.Context, credential, _, _ string) (string, error) {
	return "person/" + strings.TrimPrefix(strings.TrimPrefix(credential, "Bearer "), certificatePrefix+"person/"), nil
}

// startExecuting serves a front end with scripted jobs.
func startExecuting(t *testing.T, config Config) (*build, *FrontEnd, *scriptedJobs) {
	t.Helper()
	jobs := &scriptedJobs{ended: map[string]bool{}, states: map[string]string{}, submitted: make(chan *protocol.Submission, 1000)}
	b, f := startWith(t, config, everyone{}, roomy, jobs)
	return b, f, jobs
}

// action uploads a unique action.
func (b *build) action(script string) *repb.Digest {
	b.t.Helper()
	command, _ := proto.Marshal(&repb.Command{Arguments: []string{"/bin/sh", "-c", script}})
	root, _ := proto.Marshal(&repb.Directory{})
	act, _ := proto.Marshal(&repb.Action{CommandDigest: b.blob(command), InputRootDigest: b.blob(root)})
	return b.blob(act)
}

// result records the result of an execution as a worker does.
func (f *FrontEnd) result(t *testing.T, action *repb.Digest) {
	t.Helper()
	entry := &ManifestEntry{Execution: executionKey(digestOf(action), ""), Hash: action.Hash, Size: action.SizeBytes}
	if first, err := f.RecordResult(context.Background(), "", "red", entry, &repb.ActionResult{ExecutionMetadata: &repb.ExecutedActionMetadata{Worker: "m-1"}}, true); err != nil || !first {
		t.Fatalf("%v %v", first, err)
	}
}

// An action whose job was withdrawn, or whose result was lost with a front end, is executed
// again when it is requested again. Since the job's id derives from the manifest, it was
// once taken for the ended job, and the build never ended.
func TestResubmissionAfterJobEnded(t *testing.T) {
	for _, state := range []string{protocol.StatusCancelled, protocol.StatusDone} {
		b, f, jobs := startExecuting(t, oneTeam)
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
		f.result(t, action)
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

// A client's token expires while its action runs, and another's while its job lingers: the
// first gets its result, and the second's job is withdrawn, both by the front end's own
// rights in the clients' names.
func TestExpiredCredentials(t *testing.T) {
	b, f, jobs := startExecuting(t, oneTeam)
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
	time.Sleep(2 * statusInterval)
	jobs.mu.Lock()
	shown := 0
	for _, c := range jobs.calls {
		if c == "status as Bearer anna" {
			shown++
		}
	}
	jobs.mu.Unlock()
	if shown > 1 {
		t.Errorf("an expired token was used %d times", shown)
	}
	f.result(t, action)
	for {
		op, err := s.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if op.GetDone() {
			break
		}
	}
	// Another client leaves and its token expires; its job is withdrawn.
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
	go f.Sweep(b.ctx, 200*time.Millisecond)
	for deadline := time.Now().Add(20 * time.Second); !jobs.called("withdraw as certificate person/ben"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("called %q", jobs.calls)
		}
	}
}

// A header that a client sends is never taken for a verified certificate; a verified
// certificate counts if there is no token.
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

// Many actions of one team leave room for another's, and are refused with a retry delay;
// an action that has its job occupies no room.
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
