package reapi

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"

	"micaspindle/internal/admission"
	"micaspindle/internal/blobstore"
	"micaspindle/internal/protocol"
)

// startExecution executes an action and returns once the first response has arrived or ctx has
// ended.
func (b *testClient) startExecution(ctx context.Context, action *repb.Digest) (repb.Execution_ExecuteClient, error) {
	s, err := repb.NewExecutionClient(b.conn).Execute(ctx, &repb.ExecuteRequest{ActionDigest: action})
	if err != nil {
		return nil, err
	}
	_, err = s.Recv()
	return s, err
}

// manyActions uploads n actions.
func manyActions(b *testClient, name string, n int) (out []*repb.Digest) {
	for i := range n {
		out = append(out, b.uploadAction(fmt.Sprint(name, i)))
	}
	return out
}

// Clients of a team take turns: when one client floods the front end with actions, only a
// window of them is submitted before the job of a client that arrives later. Actions that are
// cancelled while they wait must not be submitted.
func TestClientsOfTeamTakeTurns(t *testing.T) {
	config := twoTeams
	config.MaxBatchActions = 10
	ledger, err := admission.NewQuotaPool(1000, 500, []string{"red", "blue"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	config.Shares = Shares{Waiting: ledger, Handoff: admission.HandoffLimits{Min: 30, MaxDuration: time.Second}}
	b, f, jobs := startExecuting(t, config)
	anna, bert := b.as("Bearer anna"), b.as("Bearer bert")
	floodCtx, cancelFlood := context.WithCancel(anna.ctx)
	defer cancelFlood()
	var wg sync.WaitGroup
	for _, a := range manyActions(anna, "anna", 200) {
		wg.Go(func() { _, _ = anna.startExecution(floodCtx, a) })
	}
	next := func() *protocol.Submission {
		t.Helper()
		select {
		case s := <-jobs.submitted:
			return s
		case <-time.After(5 * time.Second):
			t.Fatal("no job was submitted within 5 s")
			return nil
		}
	}
	expectNoJob := func() {
		t.Helper()
		select {
		case s := <-jobs.submitted:
			t.Fatalf("unexpected submission of a job of %d tasks", *s.Tasks)
		case <-time.After(300 * time.Millisecond):
		}
	}
	// The window counts tasks; on a slow machine it may take several small batches to fill it.
	sum := *next().Tasks
	for waiting := true; waiting; {
		select {
		case s := <-jobs.submitted:
			sum += *s.Tasks
		case <-time.After(500 * time.Millisecond):
			waiting = false
		}
	}
	if sum <= 20 || sum > 30 {
		t.Fatalf("%d tasks were submitted, want more than 20 and at most the window of 30", sum)
	}
	own := bert.uploadAction("bert")
	if _, err := bert.startExecution(bert.ctx, own); err != nil {
		t.Fatal(err)
	}
	if s := next(); *s.Tasks != 1 {
		t.Errorf("a job of %d tasks was submitted, want the single task of the second client", *s.Tasks)
	}
	expectNoJob()
	// The second client's result does not admit further actions of the first client.
	f.recordTestResult(t, own)
	if held := ledger.Held()["red"]; held != float64(200-sum) {
		t.Errorf("%v actions wait at the front end, want %d: 200 less %d submitted", held, 200-sum, sum)
	}
	cancelFlood()
	wg.Wait()
	for deadline := time.Now().Add(5 * time.Second); ledger.Held()["red"] > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%v cancelled actions are still counted as waiting", ledger.Held()["red"])
		}
	}
	expectNoJob()
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if len(f.executions.batches) > 0 || len(f.executions.running) > int(sum)+1 {
		t.Errorf("%d batches and %d tasks are left after the cancellation, want none and at most %d", len(f.executions.batches), len(f.executions.running), sum+1)
	}
}

// Tasks that start to run and tasks whose results arrive no longer count in the submission
// window, so further actions are submitted.
func TestSubmissionWindow(t *testing.T) {
	config := twoTeams
	config.MaxBatchActions, config.BatchDelay = 10, time.Hour // batches are submitted only when full, even on a slow machine
	config.Shares.Handoff = admission.HandoffLimits{Min: 10, MaxDuration: time.Millisecond}
	b, f, jobs := startExecuting(t, config)
	b = b.as("Bearer anna")
	actions := manyActions(b, "a", 40)
	for _, a := range actions {
		go func() {
			s, err := b.startExecution(b.ctx, a)
			for err == nil {
				_, err = s.Recv()
			}
		}()
	}
	s := <-jobs.submitted
	select {
	case <-jobs.submitted:
		t.Fatal("a second job was submitted although the window was full")
	case <-time.After(300 * time.Millisecond):
	}
	// All tasks of the job start to run, which the next status request shows.
	jobs.mu.Lock()
	jobs.runningTasks = map[string]int{*s.ID: 10}
	jobs.mu.Unlock()
	select {
	case s = <-jobs.submitted:
	case <-time.After(2*statusInterval + time.Second):
		t.Fatal("no second job was submitted after all tasks of the first job had started, want one")
	}
	// The results of the second job arrive.
	raw, err := f.store.Read(manifestKey(t, s), maxMessageBlobBytes)
	if err != nil {
		t.Fatal(err)
	}
	m, err := ParseManifest(raw)
	if err != nil {
		t.Fatal(err)
	}
	for i := range m.Tasks {
		if _, err := f.RecordResult(b.ctx, "", "red", &m.Tasks[i], &repb.ActionResult{}, true); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-jobs.submitted:
	case <-time.After(5 * time.Second):
		t.Fatal("no third job was submitted after the results of the second job had arrived, want one")
	}
}

// The status of a job is requested once per interval, however many calls wait for its tasks.
func TestStatusIsRequestedOnce(t *testing.T) {
	b, _, jobs := startExecuting(t, twoTeams)
	b = b.as("Bearer anna")
	if _, err := b.startExecution(b.ctx, b.uploadAction("alone")); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	var wg sync.WaitGroup
	a := b.uploadAction("shared")
	for range 200 {
		wg.Go(func() {
			if _, err := b.startExecution(b.ctx, a); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	time.Sleep(2*statusInterval + statusInterval/2)
	jobs.mu.Lock()
	defer jobs.mu.Unlock()
	requests := 0
	for _, c := range jobs.calls {
		if c == "status as Bearer anna" {
			requests++
		}
	}
	if most := 2 * (int(time.Since(started)/statusInterval) + 1); requests == 0 || requests > most {
		t.Errorf("%d status requests for two jobs, want between 1 and %d", requests, most)
	}
}

// manifestKey returns the key of a job's manifest.
func manifestKey(t *testing.T, s *protocol.Submission) blobstore.Key {
	t.Helper()
	d, _, ok := ParseImage(*s.Image)
	if !ok {
		t.Fatalf("image %q does not name a manifest", *s.Image)
	}
	return blobstore.Key{Space: "red", Digest: d}
}

// A client that waits at a front end without a copy of the result soon gets it from a peer. One
// call to the peer looks up the results of all executions.
func TestLookupOfPeerResults(t *testing.T) {
	jobs := &fakeJobs{expired: map[string]bool{}, states: map[string]string{}, submitted: make(chan *protocol.Submission, 1000)}
	s := startGroupWith(t, 2, 1, jobs)
	ctx, cancel := context.WithCancel(s.clients[0].ctx)
	defer cancel()
	for _, f := range s.frontEnds {
		go f.Sweep(ctx, time.Minute)
	}
	b := s.clients[1].as("Bearer anna")
	const n = 50
	var waits []repb.Execution_ExecuteClient
	actions := manyActions(b, "a", n)
	for _, a := range actions {
		w, err := b.startExecution(b.ctx, a)
		if err != nil {
			t.Fatal(err)
		}
		waits = append(waits, w)
	}
	for _, a := range actions {
		s.frontEnds[0].recordTestResult(t, a)
	}
	started := time.Now()
	for _, w := range waits {
		for {
			op, err := w.Recv()
			if err != nil {
				t.Fatal(err)
			}
			if op.GetDone() {
				break
			}
		}
	}
	if took := time.Since(started); took > 3*time.Second {
		t.Errorf("the results of %d executions at the peer were found after %s, want at most 3s", n, took)
	}
	s.frontEnds[1].executions.mu.Lock()
	defer s.frontEnds[1].executions.mu.Unlock()
	if len(s.frontEnds[1].executions.lookups) > 0 {
		t.Errorf("%d lookups are left, want none", len(s.frontEnds[1].executions.lookups))
	}
}
