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

// fakeJobs is a fake of the controllers that records every call.
type fakeJobs struct {
	mu           sync.Mutex
	expired      map[string]bool   // expired credentials
	states       map[string]string // status by job
	runningTasks map[string]int    // number of running tasks by job
	calls        []string          // "{method} as {credential}"
	submitted    chan *protocol.Submission
}

func (j *fakeJobs) call(method, credential, job string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, method+" as "+credential)
	if j.expired[credential] {
		return &client.Refusal{Status: 401}
	}
	return nil
}

func (j *fakeJobs) Submit(_ context.Context, credential string, s *protocol.Submission) (protocol.JobStatus, error) {
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

func (j *fakeJobs) Status(_ context.Context, credential, job string) (protocol.JobStatus, error) {
	if err := j.call("status", credential, job); err != nil {
		return protocol.JobStatus{}, err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return protocol.JobStatus{ID: job, Status: j.states[job], Running: j.runningTasks[job]}, nil
}

func (j *fakeJobs) Cancel(_ context.Context, credential, job string) error {
	if err := j.call("withdraw", credential, job); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.states[job] = protocol.StatusCancelled
	return nil
}

func (j *fakeJobs) expire(credential string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.expired[credential] = true
}

func (j *fakeJobs) called(call string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Contains(j.calls, call)
}

// allowAll is an Access that allows every call and derives client names from credentials.
type allowAll struct{}

func (allowAll) Allows(_ context.Context, credential, _, _ string) (string, error) {
	return "person/" + strings.TrimPrefix(strings.TrimPrefix(credential, "Bearer "), certificatePrefix+"person/"), nil
}

// startExecuting starts a front end that submits jobs to a fakeJobs.
func startExecuting(t *testing.T, config Config) (*testClient, *FrontEnd, *fakeJobs) {
	t.Helper()
	jobs := &fakeJobs{expired: map[string]bool{}, states: map[string]string{}, submitted: make(chan *protocol.Submission, 1000)}
	b, f := startWithJobs(t, config, allowAll{}, largeStore, jobs)
	return b, f, jobs
}

// uploadAction uploads an action that runs a shell script.
func (b *testClient) uploadAction(script string) *repb.Digest {
	b.t.Helper()
	command, _ := proto.Marshal(&repb.Command{Arguments: []string{"/bin/sh", "-c", script}})
	root, _ := proto.Marshal(&repb.Directory{})
	act, _ := proto.Marshal(&repb.Action{CommandDigest: b.uploadBlob(command), InputRootDigest: b.uploadBlob(root)})
	return b.uploadBlob(act)
}

// recordTestResult records the result of an execution, as if a worker had reported it.
func (f *FrontEnd) recordTestResult(t *testing.T, action *repb.Digest) {
	t.Helper()
	entry := &ManifestEntry{Execution: executionKey(digestOf(action), ""), Hash: action.Hash, Size: action.SizeBytes}
	if first, err := f.RecordResult(context.Background(), "", "red", entry, &repb.ActionResult{ExecutionMetadata: &repb.ExecutedActionMetadata{Worker: "m-1"}}, true); err != nil || !first {
		t.Fatalf("RecordResult returned first = %v, error %v; want the first result", first, err)
	}
}

// If the job of an action was cancelled, or its result was lost with a front end, a repeated
// request submits a new job. Its id must differ from that of the ended job, for which the
// controllers would not run any task again.
func TestResubmissionAfterJobEnded(t *testing.T) {
	for _, state := range []string{protocol.StatusCancelled, protocol.StatusDone} {
		b, f, jobs := startExecuting(t, twoTeams)
		b = b.as("Bearer anna")
		action := b.uploadAction("true")
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
		second := executeAt(t, b, action)
		eventually(t, "submission of the action as another job", func() bool {
			select {
			case s := <-jobs.submitted:
				return *s.ID != *sub.ID
			default:
				return false
			}
		})
		f.recordTestResult(t, action)
		for {
			op, err := second.stream.Recv()
			if err != nil {
				t.Fatalf("repeated execution after a job with status %s: got error %v, want a result", state, err)
			}
			if op.GetDone() {
				break
			}
		}
	}
}

// If a client's token expires while its action runs, the client still gets the result. If the
// token of a disconnected client expires, its job is still cancelled. In both cases the front
// end acts on behalf of the client with its own rights.
func TestExpiredCredentials(t *testing.T) {
	b, f, jobs := startExecuting(t, twoTeams)
	b = b.as("Bearer anna")
	action := b.uploadAction("true")
	s, err := repb.NewExecutionClient(b.conn).Execute(b.ctx, &repb.ExecuteRequest{ActionDigest: action})
	if err != nil {
		t.Fatal(err)
	}
	if op, err := s.Recv(); err != nil || op.GetDone() {
		t.Fatalf("first message of the execution: %v, error %v; want an operation that is not done", op, err)
	}
	jobs.expire("Bearer anna")
	for deadline := time.Now().Add(20 * time.Second); !jobs.called("status as certificate person/anna"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("status was not requested on behalf of the client; calls: %q", jobs.calls)
		}
	}
	time.Sleep(2 * statusInterval)
	jobs.mu.Lock()
	uses := 0
	for _, c := range jobs.calls {
		if c == "status as Bearer anna" {
			uses++
		}
	}
	jobs.mu.Unlock()
	if uses > 1 {
		t.Errorf("the expired token was used for %d calls, want at most 1", uses)
	}
	f.recordTestResult(t, action)
	for {
		op, err := s.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if op.GetDone() {
			break
		}
	}
	// The job of a client that disconnects and whose token expires is cancelled.
	ctx, cancel := context.WithCancel(b.ctx)
	ben := (&testClient{b.t, ctx, b.cas, b.ac, b.bytes, b.conn}).as("Bearer ben")
	ben.ctx = metadata.NewOutgoingContext(ctx, metadata.Pairs("authorization", "Bearer ben"))
	if s, err = repb.NewExecutionClient(b.conn).Execute(ben.ctx, &repb.ExecuteRequest{ActionDigest: ben.uploadAction("false")}); err == nil {
		_, err = s.Recv()
	}
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	jobs.expire("Bearer ben")
	go f.Sweep(b.ctx, 200*time.Millisecond)
	for deadline := time.Now().Add(20 * time.Second); !jobs.called("withdraw as certificate person/ben"); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the job was not cancelled on behalf of the client; calls: %q", jobs.calls)
		}
	}
}

// A client is identified by its authorization header or, without one, by its verified certificate.
// A header in the form of a certificate's credential counts as none.
func TestCredentials(t *testing.T) {
	config := twoTeams
	config.CertificateName = func(context.Context) string { return "person/carl" }
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
		s, err := repb.NewExecutionClient(b.conn).Execute(c.ctx, &repb.ExecuteRequest{ActionDigest: c.uploadAction(header)})
		if err == nil {
			_, err = s.Recv()
		}
		if err != nil || !jobs.called(want) {
			t.Errorf("authorization header %q: the job was not submitted with the expected credential; calls: %q, error: %v", header, jobs.calls, err)
		}
	}
}

// A team that floods the front end with actions can't use the quota of another team. Its
// excess actions are rejected with a retry delay. An action stops using the quota when its
// job is submitted.
func TestWaitingActionsAreShared(t *testing.T) {
	config := twoTeams
	ledger, err := admission.NewQuotaPool(100, 60, []string{"red", "blue"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	config.Shares.Waiting = ledger
	b, _, jobs := startExecuting(t, config)
	b = b.as("Bearer flood")
	var actions []*repb.Digest
	for i := range 120 {
		actions = append(actions, b.uploadAction(fmt.Sprint(i)))
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
				t.Errorf("the rejected action has no retry delay: %v", err)
			}
		})
	}
	wg.Wait()
	if got[codes.OK] < 60 || got[codes.OK]+got[codes.ResourceExhausted] != 120 {
		t.Errorf("calls by status code: %v, want at least 60 OK and the others ResourceExhausted", got)
	}
	for deadline := time.Now().Add(10 * time.Second); ledger.Held()["red"] != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("submitted actions still use the quota: %v", ledger.Held())
		}
	}
	tasks := 0
	for range len(jobs.submitted) {
		tasks += int(*(<-jobs.submitted).Tasks)
	}
	if tasks != got[codes.OK] {
		t.Errorf("%d tasks were submitted for %d accepted actions, want one task per action", tasks, got[codes.OK])
	}
}
