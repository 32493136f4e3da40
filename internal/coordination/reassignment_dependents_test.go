package coordination

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// permutations returns all orders of the numbers below n.
func permutations(n int) (all [][]int) {
	if n == 0 {
		return [][]int{nil}
	}
	for _, shorter := range permutations(n - 1) {
		for at := range n {
			order := append([]int(nil), shorter[:at]...)
			all = append(all, append(append(order, n-1), shorter[at:]...))
		}
	}
	return all
}

// A job that depends on a reassigned job waits for the successor, in whatever order the records and the
// notice of the cancellation arrive. It is never to be cancelled because of the reassignment, and never
// ready before the successor is done (review case 7).
func TestDependentsFollowTheSuccessorInEveryOrder(t *testing.T) {
	t.Parallel()
	encode := func(id, team string, dependencies ...string) []byte {
		s := newDependentJobSpec(id, 1, team, dependencies...)
		s.Urgency = protocol.Standard
		if id == "job-3" {
			s.Urgency = protocol.High
		}
		return storage.Encode(s)
	}
	final := func(status, successor string) []byte {
		return storage.Encode(storage.FinalRecord{Status: status, AtMS: 1, Successor: successor})
	}
	for _, row := range []struct{ name, successorStatus string }{{"successor done", protocol.StatusDone}, {"successor cancelled", protocol.StatusCancelled}, {"successor unfinished", ""}} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				events := 6
				if row.successorStatus == "" {
					events = 5
				}
				for _, order := range permutations(events) {
					c, end := newIdleController(t)
					successorEnded := false
					apply := []func(){
						func() { c.jobs.ApplyJobRecord("job-1", encode("job-1", "red")) },
						func() { c.jobs.ApplyJobRecord("job-2", encode("job-2", "blue")) },
						func() { c.jobs.ApplyJobRecord("job-3", encode("job-3", "red", "job-1")) },
						func() { c.jobs.ApplyFinalRecord("job-1", final(protocol.StatusCancelled, "job-2")) },
						func() {
							c.jobs.ApplyCancellationNotices(&peer.Summary{Cancelled: []*peer.CancelledJob{{Job: "job-1"}}}, time.Now())
						},
						func() {
							successorEnded = true
							c.jobs.ApplyFinalRecord("job-2", final(row.successorStatus, ""))
						},
					}
					for _, event := range order {
						apply[event]()
						dependent := c.Jobs["job-3"]
						if dependent != nil && !dependent.Blocked && !successorEnded || len(c.Dependencies.JobsToCancel) > 0 && row.successorStatus != protocol.StatusCancelled {
							t.Fatalf("order %v, after event %d: dependent blocked: %v, %d jobs to cancel; want true and 0", order, event, dependent.Blocked, len(c.Dependencies.JobsToCancel))
						}
					}
					dependent := c.Jobs["job-3"]
					toCancel := c.Dependencies.JobsToCancel["job-3"] != nil
					if dependent.Blocked != (row.successorStatus != protocol.StatusDone) || toCancel != (row.successorStatus == protocol.StatusCancelled) {
						t.Fatalf("order %v: dependent blocked: %v, to be cancelled: %v", order, dependent.Blocked, toCancel)
					}
					if row.successorStatus == "" && c.Jobs["job-2"].InheritedUrgency != protocol.High {
						t.Fatalf("order %v: the successor inherits urgency %d from its dependent, want %d", order, c.Jobs["job-2"].InheritedUrgency, protocol.High)
					}
					if n := len(c.Dependencies.NodeByJob); row.successorStatus == protocol.StatusDone && n > 0 {
						t.Fatalf("order %v: %d nodes of the dependency graph are left, want 0", order, n)
					}
					end()
				}
			})
		})
	}
}

// reassignmentRace is a simulated cluster in which job-1 waits for room, and job-3, which depends on it, is
// accepted beside the reassignment of job-1 to job-2.
type reassignmentRace struct {
	*simulatedCluster
}

// acceptDependent submits job-3 to a controller.
func (r *reassignmentRace) acceptDependent(label string) {
	s := newJobSpecOfClass("job-3", "red", "letters")
	s.Dependencies = []string{"job-1"}
	r.withLock(func() { r.jobs[s.ID] = newAcceptedJob(s) })
	if response := r.sendRequest(label, "POST", "/submissions", encodeSubmission(s)); response.Status != 201 {
		r.t.Errorf("the dependent job got status %d, want 201", response.Status)
	}
}

// reassign asks a controller to reassign a job, and returns the status.
func (r *reassignmentRace) reassign(label, id, as string) int {
	added, cancelRequested := false, false
	r.withLock(func() {
		cancelRequested, r.jobs[id].cancelRequested = r.jobs[id].cancelRequested, true
		if added = r.jobs[as] == nil; added {
			spec := *r.jobs[id].spec
			spec.ID, spec.Team = as, "blue"
			r.jobs[as] = newAcceptedJob(&spec)
		}
	})
	status := r.requestAs("person/root", label, "POST", "/submissions/"+id+"/reassign", protocol.Reassignment{As: as, Team: "blue"}).Status
	r.withLock(func() {
		if status == 200 {
			r.jobs[id].successor = as
			return
		}
		r.jobs[id].cancelRequested = cancelRequested
		if added {
			delete(r.jobs, as)
		}
	})
	return status
}

// beforeCommit calls f once, before a controller sends the transaction of a reassignment to job-2.
func (r *reassignmentRace) beforeCommit(label string, f func()) {
	var once sync.Once
	r.withLock(func() {
		r.onRequest = func(from, host, target string, body []byte) bool {
			if from == label && host == "state" && target == "/commit" && bytes.Contains(body, []byte(storage.JobKey("job-2"))) {
				once.Do(f)
			}
			return false
		}
	})
}

// delayWatch delays the answers to a controller's watches.
func (r *reassignmentRace) delayWatch(label string) {
	r.withLock(func() {
		r.onResponse = func(from, _, target string, _ []byte, _ *transport.Response) bool {
			if from == label && strings.HasPrefix(target, "/changes") {
				time.Sleep(300 * time.Millisecond)
			}
			return false
		}
	})
}

// expect fails the test unless a reassignment got one of the statuses.
func (r *reassignmentRace) expect(status int, want ...int) {
	r.t.Helper()
	if !slices.Contains(want, status) {
		r.t.Errorf("the reassignment got status %d, want one of %v", status, want)
	}
}

// A job that depends on a reassigned job is never withdrawn because of that, whenever and wherever it was
// accepted, and runs after the successor (review case 7, went_back).
func TestDependentsOfReassignedJobs(t *testing.T) {
	t.Parallel()
	for i, row := range []struct {
		name string
		run  func(r *reassignmentRace)
		// cancelled: the user cancels the successor, and with it the dependent.
		cancelled bool
	}{
		{"accepted before, while watches deliver nothing", func(r *reassignmentRace) {
			r.withLock(func() { r.state.WatchesStuck = true })
			r.acceptDependent("n0")
			r.expect(r.reassign("n2", "job-1", "job-2"), 503)
			r.withLock(func() { r.state.WatchesStuck = false })
		}, false},
		{"accepted before, with a watch whose answers are late", func(r *reassignmentRace) {
			r.delayWatch("n2")
			r.acceptDependent("n0")
			r.expect(r.reassign("n2", "job-1", "job-2"), 422)
		}, false},
		{"accepted between check and commit", func(r *reassignmentRace) {
			r.beforeCommit("n2", func() { r.acceptDependent("n0") })
			r.expect(r.reassign("n2", "job-1", "job-2"), 200)
		}, false},
		{"accepted afterwards, at a controller that is behind", func(r *reassignmentRace) {
			r.delayWatch("n0")
			r.expect(r.reassign("n2", "job-1", "job-2"), 200)
			r.acceptDependent("n0")
		}, false},
		{"accepted afterwards", func(r *reassignmentRace) {
			r.expect(r.reassign("n2", "job-1", "job-2"), 200)
			time.Sleep(time.Second)
			r.acceptDependent("n0")
		}, false},
		{"reassigned twice", func(r *reassignmentRace) {
			r.delayWatch("n0")
			r.expect(r.reassign("n2", "job-1", "job-2"), 200)
			r.expect(r.reassign("n1", "job-2", "job-4"), 200)
			r.acceptDependent("n0")
		}, false},
		{"the commit's answer is lost and the request is repeated elsewhere", func(r *reassignmentRace) {
			r.beforeCommit("n2", func() { r.acceptDependent("n0") })
			r.withLock(func() {
				r.onResponse = func(from, _, target string, body []byte, _ *transport.Response) bool {
					return from == "n2" && target == "/commit" && bytes.Contains(body, []byte(storage.JobKey("job-2")))
				}
			})
			r.expect(r.reassign("n2", "job-1", "job-2"), 200, 503)
			r.expect(r.reassign("n1", "job-1", "job-2"), 200)
		}, false},
		{"the successor is cancelled", func(r *reassignmentRace) {
			r.beforeCommit("n2", func() { r.acceptDependent("n0") })
			r.expect(r.reassign("n2", "job-1", "job-2"), 200)
			r.cancelJob("job-2")
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			runSimulationWithIdentities(t, 5700+uint64(i), func(sim *simulatedCluster) {
				race := &reassignmentRace{sim}
				sim.withLock(func() { sim.cloud.Capacity = 0 })
				sim.submit(newJobSpecOfClass("job-1", "red", "match"))
				time.Sleep(time.Second)
				row.run(race)
				time.Sleep(2 * time.Second)
				sim.withLock(func() {
					sim.onRequest, sim.onResponse, sim.cloud.Capacity = nil, nil, 12
				})
				want := protocol.StatusDone
				if row.cancelled {
					want = protocol.StatusCancelled
				}
				sim.waitForAllJobs(3 * time.Minute)
				for _, label := range allControllers {
					if got := sim.poll(label, "job-3"); got != want {
						t.Errorf("%s calls the dependent job %q, want %q", label, got, want)
					}
				}
			})
		})
	}
}

// A job is reassigned only if each controller's present process follows successors: an older version would
// withdraw the jobs that depend on it. The records that say so are conditions of the transaction.
func TestReassignmentWaitsForOlderVersions(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 5750, func(sim *simulatedCluster) {
		race := &reassignmentRace{sim}
		sim.withLock(func() { sim.cloud.Capacity = 0 })
		sim.submit(newJobSpecOfClass("job-1", "red", "match"))
		key := storage.IncarnationKey("n1")
		rewrite := func(followsSuccessors bool) {
			var record storage.Incarnation
			panicOnError(storage.Decode(sim.state.Items[key].Value, &record))
			record.FollowsSuccessors = followsSuccessors
			txn := protocol.Transaction{If: []protocol.Condition{}, Then: []protocol.Change{{Put: key, Value: storage.Encode(record)}}}
			if response := sim.state.Serve(sim.ctx, "", "POST", "/commit", nil, protocol.Encode(&txn)); response.Status != 200 {
				t.Errorf("writing an incarnation record got status %d, want 200", response.Status)
			}
		}
		rewrite(false)
		time.Sleep(time.Second)
		race.expect(race.reassign("n2", "job-1", "job-2"), 503)
		rewrite(true)
		time.Sleep(time.Second)
		// The record changes between the check and the commit.
		race.beforeCommit("n2", func() { rewrite(false) })
		race.expect(race.reassign("n2", "job-1", "job-2"), 503)
		for _, label := range allControllers {
			if got := sim.poll(label, "job-1"); got != protocol.StatusQueued {
				t.Errorf("%s calls the job %q, want %q", label, got, protocol.StatusQueued)
			}
		}
		rewrite(true)
		time.Sleep(time.Second)
		race.expect(race.reassign("n2", "job-1", "job-2"), 200)
		sim.withLock(func() { sim.onRequest, sim.cloud.Capacity = nil, 12 })
		sim.waitForAllJobs(3 * time.Minute)
	})
}

// A repeated reassignment gets the same answer although it would be refused now.
func TestRepeatedReassignmentIsNotJudgedAnew(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 5760, func(sim *simulatedCluster) {
		race := &reassignmentRace{sim}
		sim.withLock(func() { sim.cloud.Capacity = 0 })
		sim.submit(newJobSpecOfClass("job-1", "red", "match"))
		race.expect(race.reassign("n2", "job-1", "job-2"), 200)
		for _, label := range allControllers {
			sim.onController(label, func(c *Controller) { c.SetCatalog([]protocol.MachineType{{Name: "tiny", CPUs: 0.1, MemGB: 0.1}}) })
			race.expect(race.reassign(label, "job-1", "job-2"), 200)
			race.expect(race.reassign(label, "job-1", fmt.Sprint("job-9", label[1:])), 409)
			sim.onController(label, func(c *Controller) { c.SetCatalog(sim.cloud.Types) })
		}
		sim.withLock(func() { sim.cloud.Capacity = 12 })
		sim.waitForAllJobs(3 * time.Minute)
	})
}

// Random submissions with dependencies, reassignments and cancellations at controllers whose watches are late
// withdraw no job that nobody cancelled, and all jobs end.
func TestRandomReassignments(t *testing.T) {
	t.Parallel()
	for seed := uint64(5800); seed < 5806; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSimulationWithIdentities(t, seed, func(sim *simulatedCluster) {
				race := &reassignmentRace{sim}
				rng := rand.New(rand.NewPCG(seed, 3))
				sim.setRunTime(2 * time.Second)
				sim.withLock(func() { sim.cloud.Capacity = 2 })
				reassigned := 0
				for i := range 40 {
					race.delayWatch(allControllers[rng.IntN(3)])
					s := newJobSpecOfClass(fmt.Sprint("job-", i), "red", "match")
					for range min(i, rng.IntN(3)) {
						if id := fmt.Sprint("job-", max(0, i-1-rng.IntN(6))); !slices.Contains(s.Dependencies, id) {
							s.Dependencies = append(s.Dependencies, id)
						}
					}
					sim.withLock(func() { sim.jobs[s.ID] = newSubmittedJob(s) })
					sim.submitUntilAccepted(s, rng.IntN(3))
					switch id := fmt.Sprint("job-", max(0, i-rng.IntN(4))); rng.IntN(5) {
					case 0, 1:
						if race.reassign(allControllers[rng.IntN(3)], id, fmt.Sprint("job-", 100+i)) == 200 {
							reassigned++
						}
					case 2:
						if rng.IntN(3) == 0 {
							sim.cancelJob(id)
						}
					}
					for range rng.IntN(3) {
						sim.poll(allControllers[rng.IntN(3)], fmt.Sprint("job-", rng.IntN(i+1)))
						time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
					}
				}
				sim.withLock(func() { sim.onResponse, sim.cloud.Capacity = nil, 16 })
				sim.waitForAllJobs(10 * time.Minute)
				if reassigned == 0 {
					t.Error("no job was reassigned")
				}
				t.Logf("%d jobs reassigned", reassigned)
			})
		})
	}
}
