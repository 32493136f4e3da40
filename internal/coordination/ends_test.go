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
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// endsJob says whether a message to the state service is the transaction that makes a job done.
func endsJob(host, target string, body []byte, job string) bool {
	if host != "state" || target != "/commit" {
		return false
	}
	var txn protocol.Transaction
	must(protocol.Decode(body, &txn))
	return slices.ContainsFunc(txn.Then, func(c protocol.Change) bool {
		var final storage.Final
		return c.Put == storage.FinalKey(job) && storage.Decode(c.Value, &final) == nil && final.Status == protocol.StatusDone
	})
}

// A cancellation, a question and a repeated submission at every controller meet the end of
// a job's last task, with no other trouble, at each step of the commit of that end: what
// users are told is one life of the job (15, 16, 49).
func TestRequestsMeetEachStepOfAnEnd(t *testing.T) {
	t.Parallel()
	for _, step := range []string{"the task ends", "its end is reported", "the commit is sent", "the commit is done", "its answer is lost", "the commit is late"} {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond, 40 * time.Millisecond} {
			t.Run(fmt.Sprint(step, " ", delay), func(t *testing.T) {
				t.Parallel()
				h := &history{jobs: map[string][]porcupine.Operation{}}
				simulate(t, 640, func(w *world) {
					w.playEnd(h, step, delay)
				})
				h.check(t)
				if h.finals < 10 {
					t.Errorf("only %d final answers", h.finals)
				}
			})
		}
	}
}

// bubbleOnce is a sync.Once for functions that sleep: whoever waits for one lets the time
// of the bubble go on, which who waits for a mutex does not.
type bubbleOnce struct {
	mu   sync.Mutex
	done chan struct{} // nil before the first call
}

// Do calls f the first time, and waits until that is over.
func (o *bubbleOnce) Do(f func()) {
	o.mu.Lock()
	first := o.done == nil
	if first {
		o.done = make(chan struct{})
	}
	done := o.done
	o.mu.Unlock()
	if !first {
		<-done
		return
	}
	defer close(done)
	f()
}

// playEnd lets requests meet a step of the ends of jobs of one to three tasks.
func (w *world) playEnd(h *history, step string, delay time.Duration) {
	time.Sleep(2 * time.Second)
	w.locked(func() { w.runTime = func(string, int, string) time.Duration { return 3 * time.Second } })
	for i := range 3 {
		s := spec(fmt.Sprintf("job-%d", i), 1+i, "green")
		w.locked(func() { w.jobs[s.ID] = &userJob{spec: s, tasksDone: map[int]bool{}} })
		var once bubbleOnce
		var asking sync.WaitGroup
		ask := func() {
			once.Do(func() {
				for k, l := range []string{"n0", "n1", "n2"} {
					for n, q := range []question{withdraws, polls, submits} {
						asking.Go(func() {
							time.Sleep(time.Duration((k+n)%3) * time.Millisecond)
							h.asks(w, l, q, s)
						})
					}
				}
				time.Sleep(delay)
			})
		}
		w.locked(func() {
			w.ended = func(job string) {
				h.note(job, porcupine.Operation{Input: ends, Call: h.tick(), Return: math.MaxInt64})
				switch step {
				case "the task ends":
					w.group.Go(ask)
				case "its end is reported":
					w.group.Go(func() {
						w.awaitFinishing(job)
						ask()
					})
				}
			}
			w.asked = func(_, host, target string, body []byte) bool {
				if step == "the commit is sent" && endsJob(host, target, body, s.ID) {
					ask()
				}
				return false
			}
			w.answered = func(_, host, target string, body []byte, resp *transport.Response) bool {
				if resp.Status != 200 || !endsJob(host, target, body, s.ID) {
					return false
				}
				if step == "the commit is done" || step == "its answer is lost" {
					ask()
				}
				return step == "its answer is lost"
			}
			if step == "the commit is late" {
				w.lateWrites, w.lateWhat = 1, "final"
				w.asked = nil
				w.ended = func(job string) {
					h.note(job, porcupine.Operation{Input: ends, Call: h.tick(), Return: math.MaxInt64})
					w.group.Go(func() {
						w.awaitFinishing(job)
						time.Sleep(time.Second)
						ask()
						w.locked(func() { w.lateWrites, w.lateWhat = 0, "" })
					})
				}
			}
		})
		for h.asks(w, "n0", submits, s) == "" {
			time.Sleep(time.Second)
		}
		for range 90 {
			time.Sleep(time.Second)
			if st := h.asks(w, "n1", polls, s); st == protocol.StatusDone || st == protocol.StatusCancelled {
				break
			}
		}
		asked := false
		once.Do(func() { asked = true })
		if asked {
			w.t.Errorf("nobody asked as %s", step)
		}
		asking.Wait()
		h.closeLook(w, s, rand.New(rand.NewPCG(1, uint64(i))))
		w.locked(func() { w.ended, w.asked, w.answered = nil, nil, nil })
	}
	time.Sleep(10 * time.Second)
}

// awaitFinishing waits until a job's owner knows that its last task has ended.
func (w *world) awaitFinishing(job string) {
	for range 5000 {
		known := false
		for _, l := range []string{"n0", "n1", "n2"} {
			w.in(l, func(c *Controller) {
				j := c.Jobs[job]
				known = known || j != nil && j.Completing || c.FinalStates[job] != ""
			})
		}
		if known {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Jobs are cancelled as their machines hang, until just before or after the lease runs out,
// the machine would be deleted, or everything must be gone; the state service is there or
// out meanwhile. A machine that goes on must not go on with them (12, 46).
func TestCancelledTasksOfMachinesThatHang(t *testing.T) {
	t.Parallel()
	for _, hang := range []time.Duration{17 * time.Second, 19 * time.Second, 33 * time.Second, 36 * time.Second, 42 * time.Second, 44 * time.Second, 60 * time.Second} {
		for _, outage := range []bool{false, true} {
			t.Run(fmt.Sprint(hang, " outage ", outage), func(t *testing.T) {
				t.Parallel()
				simulatePrepared(t, 641, gapWorld, func(w *world) {
					time.Sleep(3 * time.Second)
					for i := range 6 {
						s := spec(fmt.Sprintf("job-%d", i), 2, "green")
						s.EstimateS, s.DeadlineS = 600, 0
						w.submit(s)
					}
					time.Sleep(25 * time.Second)
					part := w.partOf("green")
					owner := w.owns(part)
					var on []string
					for i := range 4 {
						var machines []string
						id := fmt.Sprintf("job-%d", i)
						w.locked(func() { machines = w.runs(id) })
						for _, m := range machines {
							w.hang(m, hang)
						}
						on = append(on, machines...)
						if !w.withdrawAt(w.others(owner)[i%2], id) {
							t.Fatalf("%s is not cancelled", id)
						}
					}
					if len(on) < 8 {
						t.Errorf("%d machines of cancelled tasks hang", len(on))
					}
					if outage {
						time.Sleep(time.Second)
						w.outage(true)
					}
					time.Sleep(settings.Seconds(w.set.Params.Workers.CancelS))
					w.locked(func() {
						for _, wk := range w.workers {
							for _, task := range wk.Tasks {
								uj := w.jobs[task.Job]
								if task.Running && !uj.withdrawn.IsZero() && time.Since(wk.LeaseFrom) <= wk.Lease {
									t.Errorf("%s may go on on %s", task.Name, wk.Name)
								}
							}
						}
					})
					w.outage(false)
					time.Sleep(25 * time.Second)
				})
			})
		}
	}
}
