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

// completesJob reports whether a request to the state store is the transaction that records a job
// as done.
func completesJob(host, target string, body []byte, job string) bool {
	if host != "state" || target != "/commit" {
		return false
	}
	var txn protocol.Transaction
	panicOnError(protocol.Decode(body, &txn))
	return slices.ContainsFunc(txn.Then, func(c protocol.Change) bool {
		var final storage.FinalRecord
		return c.Put == storage.FinalKey(job) && storage.Decode(c.Value, &final) == nil && final.Status == protocol.StatusDone
	})
}

// Cancellations, polls and repeated submissions at every controller race with each step of a job's
// completion, without other faults: the answers must be linearizable (rules 15, 16, 49).
func TestRequestsRaceWithEachStepOfJobCompletion(t *testing.T) {
	t.Parallel()
	for _, step := range []string{"the task ends", "its end is reported", "the commit is sent", "the commit is done", "its response is lost", "the commit is late"} {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond, 40 * time.Millisecond} {
			t.Run(fmt.Sprint(step, " ", delay), func(t *testing.T) {
				t.Parallel()
				h := &requestHistory{jobs: map[string][]porcupine.Operation{}}
				runSimulation(t, 640, func(sim *simulatedCluster) {
					sim.runCompletionRace(h, step, delay)
				})
				h.check(t)
				if h.finals < 10 {
					t.Errorf("%d answers with a final status, want at least 10", h.finals)
				}
			})
		}
	}
}

// synctestOnce is a sync.Once for functions that sleep in a synctest bubble. Its waiting callers
// block on a channel, because the bubble's fake time does not advance while they wait for a mutex.
type synctestOnce struct {
	mu   sync.Mutex
	done chan struct{} // nil before the first call
}

// Do calls f if it is the first call, and otherwise waits until the first call has returned.
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

// runCompletionRace sends requests at a step of the completion of jobs of one to three tasks.
func (sim *simulatedCluster) runCompletionRace(h *requestHistory, step string, delay time.Duration) {
	time.Sleep(2 * time.Second)
	sim.setRunTime(3 * time.Second)
	for i := range 3 {
		s := newJobSpec(fmt.Sprintf("job-%d", i), 1+i, "green")
		sim.withLock(func() { sim.jobs[s.ID] = newSubmittedJob(s) })
		var once synctestOnce
		var requests sync.WaitGroup
		sendRequests := func() {
			once.Do(func() {
				for k, label := range allControllers {
					for n, kind := range []requestKind{requestCancel, requestPoll, requestSubmit} {
						requests.Go(func() {
							time.Sleep(time.Duration((k+n)%3) * time.Millisecond)
							h.request(sim, label, kind, s)
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
					sim.group.Go(sendRequests)
				case "its end is reported":
					sim.group.Go(func() {
						sim.waitForCompletion(job)
						sendRequests()
					})
				}
			}
			sim.onRequest = func(_, host, target string, body []byte) bool {
				if step == "the commit is sent" && completesJob(host, target, body, s.ID) {
					sendRequests()
				}
				return false
			}
			sim.onResponse = func(_, host, target string, body []byte, resp *transport.Response) bool {
				if resp.Status != 200 || !completesJob(host, target, body, s.ID) {
					return false
				}
				if step == "the commit is done" || step == "its response is lost" {
					sendRequests()
				}
				return step == "its response is lost"
			}
			if step == "the commit is late" {
				sim.lateTransactionRate, sim.lateTransactionKind = 1, writeOfFinal
				sim.onRequest = nil
				sim.onJobEnd = func(job string) {
					h.record(job, porcupine.Operation{Input: jobCompletion, Call: h.nextTime(), Return: math.MaxInt64})
					sim.group.Go(func() {
						sim.waitForCompletion(job)
						time.Sleep(time.Second)
						sendRequests()
						sim.withLock(func() { sim.lateTransactionRate, sim.lateTransactionKind = 0, "" })
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
		notSent := false
		once.Do(func() { notSent = true })
		if notSent {
			sim.t.Errorf("no request was sent at step %q", step)
		}
		requests.Wait()
		h.pollAllControllers(sim, s, rand.New(rand.NewPCG(1, uint64(i))))
		sim.withLock(func() { sim.onJobEnd, sim.onRequest, sim.onResponse = nil, nil, nil })
	}
	time.Sleep(10 * time.Second)
}

// waitForCompletion waits until a controller has received the end of a job's last task, or for 5 s.
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

// Jobs are cancelled while their machines hang. The machines resume just before or after one of
// three times: the expiry of their leases, their deletion, and the end of cancel_s. The state store
// is up or down. The cancelled tasks must not continue (rules 12, 46).
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
					var hung []string
					for i := range 4 {
						var machines []string
						id := fmt.Sprintf("job-%d", i)
						sim.withLock(func() { machines = sim.machinesRunning(id) })
						for _, m := range machines {
							sim.hangMachine(m, hang)
						}
						hung = append(hung, machines...)
						if !sim.cancelAt(sim.otherControllers(leader)[i%2], id) {
							t.Fatalf("the cancellation of %s was not confirmed", id)
						}
					}
					if len(hung) < 8 {
						t.Errorf("%d machines with cancelled tasks hang, want at least 8", len(hung))
					}
					if outage {
						time.Sleep(time.Second)
						sim.setOutage(true)
					}
					time.Sleep(settings.Seconds(sim.settings.Params.AgentTimes.CancelS))
					sim.withLock(func() {
						for _, agent := range sim.agents {
							for _, task := range agent.Tasks {
								submitted := sim.jobs[task.Job]
								if task.Running && !submitted.cancelledAt.IsZero() && time.Since(agent.LeaseRenewedAt) <= agent.LeaseDuration {
									t.Errorf("cancelled task %s may resume on %s", task.Name, agent.Name)
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
