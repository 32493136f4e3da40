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

// execution requests an action and returns with its first response or its context.
func (b *build) execution(ctx context.Context, action *repb.Digest) (repb.Execution_ExecuteClient, error) {
	s, err := repb.NewExecutionClient(b.conn).Execute(ctx, &repb.ExecuteRequest{ActionDigest: action})
	if err != nil {
		return nil, err
	}
	_, err = s.Recv()
	return s, err
}

func manyActions(b *build, name string, n int) (out []*repb.Digest) {
	for i := range n {
		out = append(out, b.action(fmt.Sprint(name, i)))
	}
	return out
}

// One client submits many actions. The job of another client of the team that comes later
// is submitted before all but a window of these. Actions that the first client cancels
// meanwhile are never submitted.
func TestClientsOfTeamTakeTurns(t *testing.T) {
	config := oneTeam
	config.GatherMost = 10
	ledger, err := admission.NewLedger(1000, 500, []string{"red", "blue"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	config.Shares = Shares{Waiting: ledger, Ahead: admission.HandoffLimits{Min: 30, MaxDuration: time.Second}}
	b, f, jobs := startExecuting(t, config)
	anna, bert := b.as("Bearer anna"), b.as("Bearer bert")
	flood, end := context.WithCancel(anna.ctx)
	defer end()
	var wg sync.WaitGroup
	for _, a := range manyActions(anna, "anna", 200) {
		wg.Go(func() { _, _ = anna.execution(flood, a) })
	}
	next := func() *protocol.Submission {
		t.Helper()
		select {
		case s := <-jobs.submitted:
			return s
		case <-time.After(5 * time.Second):
			t.Fatal("no job comes")
			return nil
		}
	}
	quiet := func() {
		t.Helper()
		select {
		case s := <-jobs.submitted:
			t.Fatalf("a job of %d tasks comes", *s.Tasks)
		case <-time.After(300 * time.Millisecond):
		}
	}
	// Batches may be small on a slow machine: the window is of tasks.
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
		t.Fatalf("%d tasks are ahead of 30 that may be", sum)
	}
	own := bert.action("bert")
	if _, err := bert.execution(bert.ctx, own); err != nil {
		t.Fatal(err)
	}
	if s := next(); *s.Tasks != 1 {
		t.Errorf("a job of %d tasks instead", *s.Tasks)
	}
	quiet()
	// The second client's result admits no action of the first.
	f.result(t, own)
	if held := ledger.Held()["red"]; held != float64(200-sum) {
		t.Errorf("%v actions wait, %d are submitted", held, sum)
	}
	end()
	wg.Wait()
	for deadline := time.Now().Add(5 * time.Second); ledger.Held()["red"] > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%v actions that nobody waits for occupy the queue", ledger.Held()["red"])
		}
	}
	quiet()
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if len(f.executions.batches) > 0 || len(f.executions.running) > int(sum)+1 {
		t.Errorf("%d batches and %d tasks are left", len(f.executions.batches), len(f.executions.running))
	}
}

// Received results and running tasks both admit further actions.
func TestSubmissionWindow(t *testing.T) {
	config := oneTeam
	config.GatherMost, config.GatherFor = 10, time.Hour // batches are full, however slow the machine
	config.Shares.Ahead = admission.HandoffLimits{Min: 10, MaxDuration: time.Millisecond}
	b, f, jobs := startExecuting(t, config)
	b = b.as("Bearer anna")
	actions := manyActions(b, "a", 40)
	for _, a := range actions {
		go func() {
			s, err := b.execution(b.ctx, a)
			for err == nil {
				_, err = s.Recv()
			}
		}()
	}
	s := <-jobs.submitted
	select {
	case <-jobs.submitted:
		t.Fatal("the window is passed over")
	case <-time.After(300 * time.Millisecond):
	}
	// All tasks of the job run, as its status shows within two seconds.
	jobs.mu.Lock()
	jobs.runs = map[string]int{*s.ID: 10}
	jobs.mu.Unlock()
	select {
	case s = <-jobs.submitted:
	case <-time.After(2*statusInterval + time.Second):
		t.Fatal("what runs is no room")
	}
	// Its results arrive.
	raw, err := f.store.Read(manifestKey(t, s), maxTreeNode)
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
		t.Fatal("what is served is no room")
	}
}

// However many calls wait for a job's tasks, its status is requested once per interval.
func TestStatusIsRequestedOnce(t *testing.T) {
	b, _, jobs := startExecuting(t, oneTeam)
	b = b.as("Bearer anna")
	if _, err := b.execution(b.ctx, b.action("alone")); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	var wg sync.WaitGroup
	a := b.action("shared")
	for range 200 {
		wg.Go(func() {
			if _, err := b.execution(b.ctx, a); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	time.Sleep(2*statusInterval + statusInterval/2)
	jobs.mu.Lock()
	defer jobs.mu.Unlock()
	asked := 0
	for _, c := range jobs.calls {
		if c == "status as Bearer anna" {
			asked++
		}
	}
	if most := 2 * (int(time.Since(started)/statusInterval) + 1); asked == 0 || asked > most {
		t.Errorf("asked %d times for two jobs, at most %d", asked, most)
	}
}

// manifestKey returns the key of a job's manifest.
func manifestKey(t *testing.T, s *protocol.Submission) blobstore.Key {
	t.Helper()
	d, _, ok := ParseImage(*s.Image)
	if !ok {
		t.Fatalf("%q names no manifest", *s.Image)
	}
	return blobstore.Key{Space: "red", Digest: d}
}

// A client that waits at a front end without a copy of the result gets it soon: the peer is
// asked, in one call for all executions.
func TestLookupOfPeerResults(t *testing.T) {
	jobs := &scriptedJobs{ended: map[string]bool{}, states: map[string]string{}, submitted: make(chan *protocol.Submission, 1000)}
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
		w, err := b.execution(b.ctx, a)
		if err != nil {
			t.Fatal(err)
		}
		waits = append(waits, w)
	}
	for _, a := range actions {
		s.frontEnds[0].result(t, a)
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
		t.Errorf("found after %s", took)
	}
	s.frontEnds[1].executions.mu.Lock()
	defer s.frontEnds[1].executions.mu.Unlock()
	if len(s.frontEnds[1].executions.lookups) > 0 {
		t.Errorf("%d lookups are left", len(s.frontEnds[1].executions.lookups))
	}
}
