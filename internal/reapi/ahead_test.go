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

// execution asks for an action and ends with its first answer or its context.
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

// One client floods; another one of the team comes later, and his job is in the
// cluster before all but a window of the flood. What the first gives up on meanwhile
// never gets there.
func TestAnotherClientOfTheTeam(t *testing.T) {
	config := oneTeam
	config.GatherMost = 10
	ledger, err := admission.NewLedger(1000, 500, []string{"red", "blue"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	config.Shares = Shares{Waiting: ledger, Ahead: admission.HandoffLimits{Min: 30, MaxDuration: time.Second}}
	b, g, jobs := startExecuting(t, config)
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
	// Lots may be small where the machine is slow: the window is of tasks.
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
	// His result is no place for the flood; one of the flood's is.
	g.result(t, own)
	if held := ledger.Held()["red"]; held != float64(200-sum) {
		t.Errorf("%v actions wait, %d are submitted", held, sum)
	}
	end()
	wg.Wait()
	for deadline := time.Now().Add(5 * time.Second); ledger.Held()["red"] > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%v actions that nobody waits for keep their places", ledger.Held()["red"])
		}
	}
	quiet()
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	if len(g.gather.lots) > 0 || len(g.gather.running) > int(sum)+1 {
		t.Errorf("%d lots and %d tasks are left", len(g.gather.lots), len(g.gather.running))
	}
}

// What was served makes room for what waits; what the controllers say runs does too.
func TestTheWindowMoves(t *testing.T) {
	config := oneTeam
	config.GatherMost, config.GatherFor = 10, time.Hour // lots are full, however slow the machine
	config.Shares.Ahead = admission.HandoffLimits{Min: 10, MaxDuration: time.Millisecond}
	b, g, jobs := startExecuting(t, config)
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
	// All of the job's tasks run, which its status says within two seconds.
	jobs.mu.Lock()
	jobs.runs = map[string]int{*s.ID: 10}
	jobs.mu.Unlock()
	select {
	case s = <-jobs.submitted:
	case <-time.After(2*statusEvery + time.Second):
		t.Fatal("what runs is no room")
	}
	// Its results come.
	raw, err := g.store.Read(manifestKey(t, s), maxTreeNode)
	if err != nil {
		t.Fatal(err)
	}
	m, err := ParseManifest(raw)
	if err != nil {
		t.Fatal(err)
	}
	for i := range m.Tasks {
		if _, err := g.RecordResult(b.ctx, "", "red", &m.Tasks[i], &repb.ActionResult{}, true); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-jobs.submitted:
	case <-time.After(5 * time.Second):
		t.Fatal("what is served is no room")
	}
}

// However many wait for a job's tasks, the controllers are asked once in a while.
func TestManyWaitOneAsks(t *testing.T) {
	b, _, jobs := startExecuting(t, oneTeam)
	b = b.as("Bearer anna")
	if _, err := b.execution(b.ctx, b.action("alone")); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
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
	time.Sleep(2*statusEvery + statusEvery/2)
	jobs.mu.Lock()
	defer jobs.mu.Unlock()
	asked := 0
	for _, c := range jobs.calls {
		if c == "status as Bearer anna" {
			asked++
		}
	}
	if most := 2 * (int(time.Since(begun)/statusEvery) + 1); asked == 0 || asked > most {
		t.Errorf("asked %d times for two jobs, at most %d", asked, most)
	}
}

// manifestKey is where a job's manifest lies.
func manifestKey(t *testing.T, s *protocol.Submission) blobstore.Key {
	t.Helper()
	d, _, ok := ParseImage(*s.Image)
	if !ok {
		t.Fatalf("%q names no manifest", *s.Image)
	}
	return blobstore.Key{Space: "red", Digest: d}
}

// Who waits at a gate that keeps no copy of the result is told it within a moment:
// the other gate is asked, in one call for all.
func TestResultsOfOtherGatesAreFound(t *testing.T) {
	jobs := &scriptedJobs{ended: map[string]bool{}, states: map[string]string{}, submitted: make(chan *protocol.Submission, 1000)}
	s := startSeveralWith(t, 2, 1, jobs)
	ctx, cancel := context.WithCancel(s.clients[0].ctx)
	defer cancel()
	for _, g := range s.gates {
		go g.Sweep(ctx, time.Minute)
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
		s.gates[0].result(t, a)
	}
	begun := time.Now()
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
	if took := time.Since(begun); took > 3*time.Second {
		t.Errorf("found after %s", took)
	}
	s.gates[1].gather.mu.Lock()
	defer s.gates[1].gather.mu.Unlock()
	if len(s.gates[1].gather.seekers) > 0 {
		t.Errorf("%d are still sought", len(s.gates[1].gather.seekers))
	}
}
