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

// What users are told is checked as a history: the requests and answers of all controllers
// for a job must be those of one job that is unknown, then accepted, then done or withdrawn
// for good, each at some moment between its request and its answer (49).

// question is what was asked about a job; the last task's end is asked by nobody.
type question int

const (
	submits question = iota
	polls
	withdraws
	ends
)

// told is what was answered.
type told struct {
	status int
	state  string
}

// jobLife is a job as its users may see it.
type jobLife int

const (
	lifeUnknown jobLife = iota
	lifeAccepted
	lifeDone
	lifeWithdrawn
)

// shows says whether an answer shows this state.
func (l jobLife) shows(a told) bool {
	if a.status == 404 {
		return l == lifeUnknown
	}
	switch a.state {
	case protocol.StatusDone:
		return l == lifeDone
	case protocol.StatusCancelled:
		return l == lifeWithdrawn
	}
	return l == lifeAccepted
}

// after is the state that a request leaves behind.
func (l jobLife) after(q question) jobLife {
	switch {
	case q == submits && l == lifeUnknown:
		return lifeAccepted
	case q == withdraws && l == lifeAccepted:
		return lifeWithdrawn
	case q == ends && l == lifeAccepted:
		return lifeDone
	}
	return l
}

// jobModel is the life of a job. A request without an answer may be carried out at any
// later time, or never, which is at the end of time.
var jobModel = porcupine.Model{
	Init: func() any { return lifeUnknown },
	Step: func(state, input, output any) (bool, any) {
		next := state.(jobLife).after(input.(question))
		answer, answered := output.(told)
		return !answered || next.shows(answer), next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, " -> ", output) },
}

// history gathers what was asked and answered, in the order in which it happened.
type history struct {
	mu   sync.Mutex
	next int64
	jobs map[string][]porcupine.Operation
	// answers counts, so that a history that says nothing is not taken for a good one.
	answers, finals int
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	return h.next
}

func (h *history) note(job string, op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[job] = append(h.jobs[job], op)
	if a, ok := op.Output.(told); ok {
		h.answers++
		if a.state == protocol.StatusDone || a.state == protocol.StatusCancelled {
			h.finals++
		}
	}
}

// asks sends one request to a controller and notes it. It says how the job is, "" if that
// was not answered.
func (h *history) asks(w *world, label string, q question, s *protocol.JobSpec) string {
	w.mu.Lock()
	n := w.nodes[label]
	w.mu.Unlock()
	if n == nil {
		return ""
	}
	method, path, body := "GET", "/submissions/"+s.ID, []byte(nil)
	switch q {
	case submits:
		method, path, body = "POST", "/submissions", submission(s)
	case withdraws:
		method, path = "POST", path+"/withdraw"
	}
	op := porcupine.Operation{Input: q, Call: h.tick(), Return: math.MaxInt64}
	resp := w.ask(label, method, path, body)
	state := ""
	switch resp.Status {
	case 200, 201:
		var st protocol.JobStatus
		must(protocol.Decode(resp.Body, &st))
		state = st.Status
		op.Output, op.Return = told{resp.Status, state}, h.tick()
	case 404:
		op.Output, op.Return = told{status: 404}, h.tick()
	case 400, 422:
		w.locked(func() { w.breakRule("%s got %d", s.ID, resp.Status) })
		return ""
	default:
		if q == polls {
			return "" // asks for nothing and says nothing
		}
	}
	h.note(s.ID, op)
	return state
}

// closeLook asks all controllers at once, again and again within milliseconds, and repeats
// the submission.
func (h *history) closeLook(w *world, s *protocol.JobSpec, rng *rand.Rand) {
	var all sync.WaitGroup
	for range 2 {
		for _, l := range []string{"n0", "n1", "n2"} {
			q := polls
			if rng.IntN(5) == 0 {
				q = submits
			}
			all.Go(func() { h.asks(w, l, q, s) })
		}
		time.Sleep(time.Duration(rng.IntN(4)) * time.Millisecond)
	}
	all.Wait()
}

// live takes a job through its life: submitted at one controller after another, looked at
// closely, perhaps called off, at once or later or at its end, until it is over.
func (h *history) live(w *world, s *protocol.JobSpec, rng *rand.Rand) {
	pick := func() string { return fmt.Sprint("n", rng.IntN(3)) }
	// insists repeats a request until it is answered, as users do.
	insists := func(q question) string {
		for range 90 {
			if st := h.asks(w, pick(), q, s); st != "" {
				return st
			}
			time.Sleep(time.Second)
		}
		w.locked(func() { w.breakRule("%s: request %v never answered", s.ID, q) })
		return ""
	}
	insists(submits)
	h.closeLook(w, s, rng)
	if rng.IntN(2) == 0 {
		time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
		insists(withdraws)
		h.closeLook(w, s, rng)
	}
	for range 120 {
		st := h.asks(w, pick(), polls, s)
		if st == protocol.StatusDone || st == protocol.StatusCancelled {
			h.closeLook(w, s, rng)
			if rng.IntN(2) == 0 {
				insists(withdraws) // of a job that is over
				h.closeLook(w, s, rng)
			}
			return
		}
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
	}
	w.locked(func() { w.breakRule("%s never ended", s.ID) })
}

// toldTroubles are those under which users ask: answers are lost while others read what
// was written, transactions are late, controllers end or are cut off.
func toldTroubles(seed uint64) []meeting {
	kinds := []string{"lost answers", "lost answers", "late writes", "crash", "refused", "cut from all but workers", "outage", "hand-over", "still", "watches stuck", "crash of all", "late commands", "slow links"}
	rng := rand.New(rand.NewPCG(seed, 79))
	plan := []meeting{{Kind: "late writes", At: 14 * time.Second, For: 10 * time.Second, Share: 0.5},
		{Kind: "lost answers", At: 32 * time.Second, For: 10 * time.Second, Share: 0.5}}
	for i := range 8 {
		plan = append(plan, meeting{Kind: kinds[rng.IntN(len(kinds))], At: time.Duration(4+i*6)*time.Second + time.Duration(rng.IntN(5000))*time.Millisecond,
			For: time.Duration(500+rng.IntN(6000)) * time.Millisecond, Arg: rng.IntN(1000), Share: 0.2 + 0.6*rng.Float64(), With: []string{"", "final", "claim", "run"}[rng.IntN(4)]})
	}
	return plan
}

func TestWhatUsersAreToldIsLinearizable(t *testing.T) {
	t.Parallel()
	from, count := meetingsOf(6)
	for seed := from; seed < from+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			plan := toldTroubles(seed)
			h := &history{jobs: map[string][]porcupine.Operation{}}
			prepare := func(w *world) {
				if announce(w); seed%3 == 2 {
					w.old = map[string]bool{"n1": true}
				}
			}
			simulatePrepared(t, 30_000+seed, prepare, func(w *world) {
				time.Sleep(2 * time.Second)
				w.locked(func() {
					w.cloud.Capacity = 16
					w.steps.follow(w)
					w.runTime = func(job string, _ int, _ string) time.Duration {
						return time.Duration(2+int(job[len(job)-1])%9) * time.Second
					}
				})
				specs := map[string]*protocol.JobSpec{}
				var users sync.WaitGroup
				for i := range 24 {
					s := spec(fmt.Sprintf("job-%d", i), 1+i%3, []string{"red", "blue", "green"}[i%3])
					specs[s.ID] = s
					w.locked(func() { w.jobs[s.ID] = &userJob{spec: s, tasksDone: map[int]bool{}} })
				}
				w.locked(func() {
					w.ended = func(job string) {
						h.note(job, porcupine.Operation{Input: ends, Call: h.tick(), Return: math.MaxInt64})
						if len(job)%2 == 0 { // called off at the very end
							w.group.Go(func() {
								h.asks(w, "n0", withdraws, specs[job])
								h.closeLook(w, specs[job], rand.New(rand.NewPCG(seed, 80)))
							})
						}
					}
				})
				begun := time.Now()
				for _, m := range plan {
					w.group.Go(func() { w.bring(m, begun, 3*time.Second) })
				}
				for i := range 24 {
					rng := rand.New(rand.NewPCG(seed, 81+uint64(i)))
					users.Go(func() {
						time.Sleep(time.Duration(i*2000+rng.IntN(1500)) * time.Millisecond)
						h.live(w, specs[fmt.Sprintf("job-%d", i)], rng)
					})
				}
				users.Wait()
				time.Sleep(20 * time.Second)
			})
			if h.answers < 24*15 || h.finals < 24*4 {
				t.Errorf("only %d answers, %d of them final", h.answers, h.finals)
			}
			h.check(t)
			if t.Failed() {
				for _, m := range plan {
					t.Log(m)
				}
			}
		})
	}
}

// check fails the test for each job of which users were told what no life of a job gives.
func (h *history) check(t *testing.T) {
	t.Helper()
	for job, ops := range h.jobs {
		for i := range ops {
			ops[i].ClientId = i
		}
		if porcupine.CheckOperations(jobModel, ops) {
			continue
		}
		t.Errorf("%s: told what no job's life gives", job)
		slices.SortFunc(ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
		for _, op := range ops {
			t.Logf("%d-%d %s", op.Call, op.Return, jobModel.DescribeOperation(op.Input, op.Output))
		}
	}
}

// The checker itself must refuse what a user may not be told.
func TestHistoryOfAJob(t *testing.T) {
	t.Parallel()
	accepted, done, gone, unknown := told{201, "queued"}, told{200, "done"}, told{200, "withdrawn"}, told{status: 404}
	op := func(q question, call, ret int64, out any) porcupine.Operation {
		return porcupine.Operation{Input: q, Call: call, Return: ret, Output: out}
	}
	for _, tc := range []struct {
		name string
		ops  []porcupine.Operation
		ok   bool
	}{
		{"a life", []porcupine.Operation{op(polls, 1, 2, unknown), op(submits, 3, 4, accepted), op(polls, 5, 6, accepted), op(ends, 7, math.MaxInt64, nil), op(polls, 8, 9, done)}, true},
		{"404 after accepted", []porcupine.Operation{op(submits, 1, 2, accepted), op(polls, 3, 4, unknown)}, false},
		{"queued after withdrawn", []porcupine.Operation{op(submits, 1, 2, accepted), op(withdraws, 3, 4, gone), op(polls, 5, 6, accepted)}, false},
		{"queued while it is withdrawn", []porcupine.Operation{op(submits, 1, 2, accepted), op(withdraws, 3, 6, gone), op(polls, 4, 5, accepted)}, true},
		{"queued after another was told withdrawn meanwhile", []porcupine.Operation{op(submits, 1, 2, accepted), op(withdraws, 3, 9, gone), op(polls, 4, 5, gone), op(polls, 6, 7, accepted)}, false},
		{"done before its end", []porcupine.Operation{op(submits, 1, 2, accepted), op(polls, 3, 4, done), op(ends, 5, math.MaxInt64, nil)}, false},
		{"withdrawn by nobody", []porcupine.Operation{op(submits, 1, 2, accepted), op(polls, 3, 4, gone)}, false},
		{"withdrawn without an answer, later", []porcupine.Operation{op(submits, 1, 2, accepted), op(withdraws, 3, math.MaxInt64, nil), op(polls, 4, 5, accepted), op(polls, 6, 7, gone)}, true},
		{"queued again", []porcupine.Operation{op(submits, 1, 2, accepted), op(withdraws, 3, math.MaxInt64, nil), op(polls, 4, 5, gone), op(polls, 6, 7, accepted)}, false},
	} {
		for i := range tc.ops {
			tc.ops[i].ClientId = i
		}
		if got := porcupine.CheckOperations(jobModel, tc.ops); got != tc.ok {
			t.Errorf("%s: %v", tc.name, got)
		}
	}
}
