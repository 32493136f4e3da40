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

// completesJob reports whether a message to the state store is the transaction that records a
// job as done.
func completesJob(host, target string, body []byte, job string) bool {
	if host != "state" || target != "/commit" {
		return false
	}
	var txn protocol.Transaction
	panicOnError(protocol.Decode(body, &txn))
	return slices.ContainsFunc(txn.Then, func(c protocol.Change) bool {
		var final storage.Final
		return c.Put == storage.FinalKey(job) && storage.Decode(c.Value, &final) == nil && final.Status == protocol.StatusDone
	})
}

// A cancellation, a status request and a repeated submission at every controller race with the
// end of a job's last task, without any other fault, at each step of its commit: the answers
// are those of one linearizable job (rules 15, 16, 49).
func TestRequestsRaceWithEachStepOfJobCompletion(t *testing.T) {
	t.Parallel()
	for _, step := range []string{"the task ends", "its end is reported", "the commit is sent", "the commit is done", "its response is lost", "the commit is late"} {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond, 40 * time.Millisecond} {
			t.Run(fmt.Sprint(step, " ", delay), func(t *testing.T) {
				t.Parallel()
				h := &requestHistory{jobs: map[string][]porcupine.Operation{}}
				runSimulation(t, 640, func(sim *simulatedCluster) {
					sim.runJobEndRace(h, step, delay)
				})
				h.check(t)
				if h.finals < 10 {
					t.Errorf("only %d final answers", h.finals)
				}
			})
		}
	}
}

// synctestOnce is a sync.Once for functions that sleep: a goroutine that waits for one lets the
// fake time of the bubble advance, which one that waits for a mutex does not.
type synctestOnce struct {
	mu   sync.Mutex
	done chan struct{} // nil before the first call
}

// Do calls f the first time, and waits until that call is over.
func (o *synctestOnce) Do(f func()) {
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

// runJobEndRace sends requests at a step of the completion of jobs of one to three tasks.
func (sim *simulatedCluster) runJobEndRace(h *requestHistory, step string, delay time.Duration) {
	time.Sleep(2 * time.Second)
	sim.setRunTime(3 * time.Second)
	for i := range 3 {
		s := newJobSpec(fmt.Sprintf("job-%d", i), 1+i, "green")
		sim.withLock(func() { sim.jobs[s.ID] = newSubmittedJob(s) })
		var once synctestOnce
		var asking sync.WaitGroup
		ask := func() {
			once.Do(func() {
				for k, l := range allControllers {
					for n, q := range []requestKind{requestCancel, requestPoll, requestSubmit} {
						asking.Go(func() {
							time.Sleep(time.Duration((k+n)%3) * time.Millisecond)
							h.request(sim, l, q, s)
						})
					}
				}
				time.Sleep(delay)
			})
		}
		sim.withLock(func() {
			sim.onJobEnd = func(job string) {
				h.record(job, porcupine.Operation{Input: jobCompletion, Call: h.nextTime(), Return: math.MaxInt64})
				switch step {
				case "the task ends":
					sim.group.Go(ask)
				case "its end is reported":
					sim.group.Go(func() {
						sim.waitForCompletion(job)
						ask()
					})
				}
			}
			sim.onRequest = func(_, host, target string, body []byte) bool {
				if step == "the commit is sent" && completesJob(host, target, body, s.ID) {
					ask()
				}
				return false
			}
			sim.onResponse = func(_, host, target string, body []byte, resp *transport.Response) bool {
				if resp.Status != 200 || !completesJob(host, target, body, s.ID) {
					return false
				}
				if step == "the commit is done" || step == "its response is lost" {
					ask()
				}
				return step == "its response is lost"
			}
			if step == "the commit is late" {
				sim.lateTransactionShare, sim.lateTransactionKind = 1, writeOfFinal
				sim.onRequest = nil
				sim.onJobEnd = func(job string) {
					h.record(job, porcupine.Operation{Input: jobCompletion, Call: h.nextTime(), Return: math.MaxInt64})
					sim.group.Go(func() {
						sim.waitForCompletion(job)
						time.Sleep(time.Second)
						ask()
						sim.withLock(func() { sim.lateTransactionShare, sim.lateTransactionKind = 0, "" })
					})
				}
			}
		})
		for h.request(sim, "n0", requestSubmit, s) == "" {
			time.Sleep(time.Second)
		}
		for range 90 {
			time.Sleep(time.Second)
			if st := h.request(sim, "n1", requestPoll, s); st == protocol.StatusDone || st == protocol.StatusCancelled {
				break
			}
		}
		unasked := false
		once.Do(func() { unasked = true })
		if unasked {
			sim.t.Errorf("no request was sent at step %q", step)
		}
		asking.Wait()
		h.pollAllControllers(sim, s, rand.New(rand.NewPCG(1, uint64(i))))
		sim.withLock(func() { sim.onJobEnd, sim.onRequest, sim.onResponse = nil, nil, nil })
	}
	time.Sleep(10 * time.Second)
}

// waitForCompletion waits until a controller knows that a job's last task has ended.
func (sim *simulatedCluster) waitForCompletion(job string) {
	for range 5000 {
		known := false
		for _, l := range allControllers {
			sim.onController(l, func(c *Controller) {
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

// Jobs are cancelled as their machines hang, until just before or after the lease expires, the
// machine would be deleted, or everything must be gone; the state store is up or down
// meanwhile. A machine that continues must not continue their tasks (rules 12, 46).
func TestCancelledTasksOfHungMachinesAreFenced(t *testing.T) {
	t.Parallel()
	for _, hang := range []time.Duration{17 * time.Second, 19 * time.Second, 33 * time.Second, 36 * time.Second, 42 * time.Second, 44 * time.Second, 60 * time.Second} {
		for _, outage := range []bool{false, true} {
			t.Run(fmt.Sprint(hang, " outage ", outage), func(t *testing.T) {
				t.Parallel()
				runConfiguredSimulation(t, 641, configureLongAnswerBound, func(sim *simulatedCluster) {
					time.Sleep(3 * time.Second)
					for i := range 6 {
						s := newJobSpec(fmt.Sprintf("job-%d", i), 2, "green")
						s.EstimateS, s.DeadlineS = 600, 0
						sim.submit(s)
					}
					time.Sleep(25 * time.Second)
					partition := sim.partitionOf("green")
					leader := sim.leaderOf(partition)
					var on []string
					for i := range 4 {
						var machines []string
						id := fmt.Sprintf("job-%d", i)
						sim.withLock(func() { machines = sim.machinesRunning(id) })
						for _, m := range machines {
							sim.hangMachine(m, hang)
						}
						on = append(on, machines...)
						if !sim.cancelAt(sim.otherControllers(leader)[i%2], id) {
							t.Fatalf("%s is not cancelled", id)
						}
					}
					if len(on) < 8 {
						t.Errorf("%d machines of cancelled tasks hang", len(on))
					}
					if outage {
						time.Sleep(time.Second)
						sim.setOutage(true)
					}
					time.Sleep(settings.Seconds(sim.settings.Params.Workers.CancelS))
					sim.withLock(func() {
						for _, agent := range sim.workers {
							for _, task := range agent.Tasks {
								submitted := sim.jobs[task.Job]
								if task.Running && !submitted.cancelledAt.IsZero() && time.Since(agent.LeaseRenewedAt) <= agent.Lease {
									t.Errorf("%s may continue on %s", task.Name, agent.Name)
								}
							}
						}
					})
					sim.setOutage(false)
					time.Sleep(25 * time.Second)
				})
			})
		}
	}
}
