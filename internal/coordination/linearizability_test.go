package coordination

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"micaspindle/internal/protocol"
)

// The answers to users are checked for linearizability. Each request for a job must appear to take
// effect at some moment between request and answer, whichever controller answers it, on a single
// job that is first unknown, then accepted, and finally done or cancelled (rule 49).

// requestKind is the kind of an operation in a job's history.
type requestKind int

// The kinds of operations: the requests of users, and the end of a job's last task.
const (
	requestSubmit requestKind = iota
	requestPoll
	requestCancel
	jobCompletion
)

// userAnswer is a controller's answer to a user's request.
type userAnswer struct {
	status    int
	jobStatus string
}

// jobState is the state of a job in answers to users.
type jobState int

// The states of a job.
const (
	jobUnknown jobState = iota
	jobAccepted
	jobDone
	jobCancelled
)

// matches reports whether an answer is correct for the state.
func (s jobState) matches(a userAnswer) bool {
	if a.status == 404 {
		return s == jobUnknown
	}
	switch a.jobStatus {
	case protocol.StatusDone:
		return s == jobDone
	case protocol.StatusCancelled:
		return s == jobCancelled
	}
	return s == jobAccepted
}

// next returns the state after an operation.
func (s jobState) next(q requestKind) jobState {
	switch {
	case q == requestSubmit && s == jobUnknown:
		return jobAccepted
	case q == requestCancel && s == jobAccepted:
		return jobCancelled
	case q == jobCompletion && s == jobAccepted:
		return jobDone
	}
	return s
}

// jobStateModel is the sequential specification of a job. A request without an answer may take
// effect at any later time, or never.
var jobStateModel = porcupine.Model{
	Init: func() any { return jobUnknown },
	Step: func(state, input, output any) (bool, any) {
		next := state.(jobState).next(input.(requestKind))
		answer, answered := output.(userAnswer)
		return !answered || next.matches(answer), next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, " -> ", output) },
}

// requestHistory records requests and answers in the order in which they occurred.
type requestHistory struct {
	mu   sync.Mutex
	next int64
	jobs map[string][]porcupine.Operation
	// answers is the number of answers, and finals the number of answers with a final state.
	// With them, a test checks that its history is not trivial.
	answers, finals int
}

// nextTime returns the next logical time.
func (h *requestHistory) nextTime() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	return h.next
}

// record adds an operation to a job's history.
func (h *requestHistory) record(job string, op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[job] = append(h.jobs[job], op)
	if a, ok := op.Output.(userAnswer); ok {
		h.answers++
		if a.jobStatus == protocol.StatusDone || a.jobStatus == protocol.StatusCancelled {
			h.finals++
		}
	}
}

// request sends one request to a controller and records it. It returns the job's status, or ""
// if the answer had none.
func (h *requestHistory) request(sim *simulatedCluster, label string, q requestKind, s *protocol.JobSpec) string {
	process := sim.processOf(label)
	if process == nil {
		return ""
	}
	method, path, body := "GET", "/submissions/"+s.ID, []byte(nil)
	switch q {
	case requestSubmit:
		method, path, body = "POST", "/submissions", encodeSubmission(s)
	case requestCancel:
		method, path = "POST", path+"/withdraw"
	}
	op := porcupine.Operation{Input: q, Call: h.nextTime(), Return: math.MaxInt64}
	resp := sim.sendRequest(label, method, path, body)
	state := ""
	switch resp.Status {
	case 200, 201:
		var st protocol.JobStatus
		panicOnError(protocol.Decode(resp.Body, &st))
		state = st.Status
		op.Output, op.Return = userAnswer{resp.Status, state}, h.nextTime()
	case 404:
		op.Output, op.Return = userAnswer{status: 404}, h.nextTime()
	case 400, 422:
		sim.withLock(func() { sim.recordViolation("request for %s was refused with status %d", s.ID, resp.Status) })
		return ""
	default:
		if q == requestPoll {
			return "" // an unanswered poll changes no state, so it is not recorded
		}
	}
	h.record(s.ID, op)
	return state
}

// pollAllControllers polls all controllers concurrently, twice within milliseconds. Some of the
// polls are replaced by repeated submissions.
func (h *requestHistory) pollAllControllers(sim *simulatedCluster, s *protocol.JobSpec, rng *rand.Rand) {
	var all sync.WaitGroup
	for range 2 {
		for _, label := range allControllers {
			q := requestPoll
			if rng.IntN(5) == 0 {
				q = requestSubmit
			}
			all.Go(func() { h.request(sim, label, q, s) })
		}
		time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond)
	}
	all.Wait()
}

// runJobLifecycle submits a job and polls it until it is done or cancelled. At random it cancels
// the job within 5 s, after its end, or both.
func (h *requestHistory) runJobLifecycle(sim *simulatedCluster, s *protocol.JobSpec, rng *rand.Rand) {
	randomController := func() string { return fmt.Sprint("n", rng.IntN(3)) }
	// retry repeats a request until it is answered, like users.
	retry := func(q requestKind) string {
		for range 90 {
			if st := h.request(sim, randomController(), q, s); st != "" {
				return st
			}
			time.Sleep(time.Second)
		}
		sim.withLock(func() { sim.recordViolation("%s: request of kind %v was not answered after 90 tries", s.ID, q) })
		return ""
	}
	retry(requestSubmit)
	h.pollAllControllers(sim, s, rng)
	if rng.IntN(2) == 0 {
		time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
		retry(requestCancel)
		h.pollAllControllers(sim, s, rng)
	}
	for range 120 {
		st := h.request(sim, randomController(), requestPoll, s)
		if st == protocol.StatusDone || st == protocol.StatusCancelled {
			h.pollAllControllers(sim, s, rng)
			if rng.IntN(2) == 0 {
				retry(requestCancel) // on a finished job
				h.pollAllControllers(sim, s, rng)
			}
			return
		}
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
	}
	sim.withLock(func() { sim.recordViolation("%s was neither done nor cancelled after 120 polls", s.ID) })
}

// drawLinearizabilityFaults returns a random plan of faults that are injected while users send
// requests, such as lost responses to transactions, late transactions, and controllers that are
// killed or cut off.
func drawLinearizabilityFaults(seed uint64) []plannedFault {
	kinds := []faultKind{
		faultLostTransactionAnswers, faultLostTransactionAnswers, faultLateTransactions, faultCrash, faultStateStoreRefusal,
		faultCutFromAllButAgents, faultStateStoreOutage, faultHandover, faultPause, faultWatchesStuck, faultCrashOfAll,
		faultLateCommands, faultSlowLinks,
	}
	triggers := []string{"", writeOfFinal, writeOfLease, writeOfRun}
	rng := rand.New(rand.NewPCG(seed, 79))
	plan := []plannedFault{{Kind: faultLateTransactions, At: 14 * time.Second, For: 10 * time.Second, Share: 0.5},
		{Kind: faultLostTransactionAnswers, At: 32 * time.Second, For: 10 * time.Second, Share: 0.5}}
	for i := range 8 {
		plan = append(plan, plannedFault{
			Kind:    kinds[rng.IntN(len(kinds))],
			At:      time.Duration(4+i*6)*time.Second + time.Duration(rng.IntN(5000))*time.Millisecond,
			For:     time.Duration(500+rng.IntN(6000)) * time.Millisecond,
			Arg:     rng.IntN(1000),
			Share:   0.2 + 0.6*rng.Float64(),
			OnWrite: triggers[rng.IntN(len(triggers))],
		})
	}
	return plan
}

func TestUserAnswersAreLinearizable(t *testing.T) {
	t.Parallel()
	from, count := seedRange(6)
	for seed := from; seed < from+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			plan := drawLinearizabilityFaults(seed)
			h := &requestHistory{jobs: map[string][]porcupine.Operation{}}
			prepare := func(sim *simulatedCluster) {
				if announceLowerLimits(sim); seed%3 == 2 {
					sim.controllersOfOldVersion = map[string]bool{"n1": true}
				}
			}
			runConfiguredSimulation(t, 30_000+seed, prepare, func(sim *simulatedCluster) {
				time.Sleep(2 * time.Second)
				sim.withLock(func() {
					sim.cloud.Capacity = 16
					sim.writes.observe(sim)
					sim.taskRunTime = func(job string, _ int, _ string) time.Duration {
						return time.Duration(2+int(job[len(job)-1])%9) * time.Second
					}
				})
				specs := map[string]*protocol.JobSpec{}
				var users sync.WaitGroup
				for i := range 24 {
					s := newJobSpec(fmt.Sprintf("job-%d", i), 1+i%3, allTeams[i%3])
					specs[s.ID] = s
					sim.withLock(func() { sim.jobs[s.ID] = newSubmittedJob(s) })
				}
				sim.withLock(func() {
					sim.onJobEnd = func(job string) {
						h.record(job, porcupine.Operation{Input: jobCompletion, Call: h.nextTime(), Return: math.MaxInt64})
						if len(job)%2 == 0 { // cancel while the job ends
							sim.group.Go(func() {
								h.request(sim, "n0", requestCancel, specs[job])
								h.pollAllControllers(sim, specs[job], rand.New(rand.NewPCG(seed, 80)))
							})
						}
					}
				})
				start := time.Now()
				for _, fault := range plan {
					sim.group.Go(func() { sim.injectAtTrigger(fault, start, 3*time.Second) })
				}
				for i := range 24 {
					rng := rand.New(rand.NewPCG(seed, 81+uint64(i)))
					users.Go(func() {
						time.Sleep(time.Duration(i*2000+rng.IntN(1500)) * time.Millisecond)
						h.runJobLifecycle(sim, specs[fmt.Sprintf("job-%d", i)], rng)
					})
				}
				users.Wait()
				time.Sleep(20 * time.Second)
			})
			if h.answers < 24*15 || h.finals < 24*4 {
				t.Errorf("%d answers, %d of them with a final state, want at least 360 and 96", h.answers, h.finals)
			}
			h.check(t)
			if t.Failed() {
				for _, fault := range plan {
					t.Log(fault)
				}
			}
		})
	}
}

// check fails the test for each job whose history is not linearizable.
func (h *requestHistory) check(t *testing.T) {
	t.Helper()
	for job, ops := range h.jobs {
		for i := range ops {
			ops[i].ClientId = i
		}
		if porcupine.CheckOperations(jobStateModel, ops) {
			continue
		}
		t.Errorf("%s: history is not linearizable", job)
		slices.SortFunc(ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
		for _, op := range ops {
			t.Logf("%d-%d %s", op.Call, op.Return, jobStateModel.DescribeOperation(op.Input, op.Output))
		}
	}
}

// The checker itself must reject invalid histories.
func TestLinearizabilityCheckerRefusesInvalidHistories(t *testing.T) {
	t.Parallel()
	accepted, done, cancelled, unknown := userAnswer{201, "queued"}, userAnswer{200, "done"}, userAnswer{200, "withdrawn"}, userAnswer{status: 404}
	op := func(q requestKind, call, ret int64, out any) porcupine.Operation {
		return porcupine.Operation{Input: q, Call: call, Return: ret, Output: out}
	}
	for _, tc := range []struct {
		name string
		ops  []porcupine.Operation
		ok   bool
	}{
		{"valid history", []porcupine.Operation{op(requestPoll, 1, 2, unknown), op(requestSubmit, 3, 4, accepted), op(requestPoll, 5, 6, accepted), op(jobCompletion, 7, math.MaxInt64, nil), op(requestPoll, 8, 9, done)}, true},
		{"404 after accepted", []porcupine.Operation{op(requestSubmit, 1, 2, accepted), op(requestPoll, 3, 4, unknown)}, false},
		{"queued after cancelled", []porcupine.Operation{op(requestSubmit, 1, 2, accepted), op(requestCancel, 3, 4, cancelled), op(requestPoll, 5, 6, accepted)}, false},
		{"queued during the cancellation", []porcupine.Operation{op(requestSubmit, 1, 2, accepted), op(requestCancel, 3, 6, cancelled), op(requestPoll, 4, 5, accepted)}, true},
		{"queued after another user saw cancelled", []porcupine.Operation{op(requestSubmit, 1, 2, accepted), op(requestCancel, 3, 9, cancelled), op(requestPoll, 4, 5, cancelled), op(requestPoll, 6, 7, accepted)}, false},
		{"done before its last task ended", []porcupine.Operation{op(requestSubmit, 1, 2, accepted), op(requestPoll, 3, 4, done), op(jobCompletion, 5, math.MaxInt64, nil)}, false},
		{"cancelled by nobody", []porcupine.Operation{op(requestSubmit, 1, 2, accepted), op(requestPoll, 3, 4, cancelled)}, false},
		{"cancelled later by a request without an answer", []porcupine.Operation{op(requestSubmit, 1, 2, accepted), op(requestCancel, 3, math.MaxInt64, nil), op(requestPoll, 4, 5, accepted), op(requestPoll, 6, 7, cancelled)}, true},
		{"queued again", []porcupine.Operation{op(requestSubmit, 1, 2, accepted), op(requestCancel, 3, math.MaxInt64, nil), op(requestPoll, 4, 5, cancelled), op(requestPoll, 6, 7, accepted)}, false},
	} {
		for i := range tc.ops {
			tc.ops[i].ClientId = i
		}
		if got := porcupine.CheckOperations(jobStateModel, tc.ops); got != tc.ok {
			t.Errorf("%s: history accepted: %v, want %v", tc.name, got, tc.ok)
		}
	}
}
