package coordination

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/standin/worker"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// configureLongAnswerBound is one whose bound for answers is long, and whose work runs for longer than a
// withdrawal has.
func configureLongAnswerBound(sim *simulatedCluster) {
	sim.cloud.Capacity = 30
	sim.settings.Params.Teams[0].CPUsMax, sim.settings.Params.Teams[1].CPUsMax = 0, 0
	sim.settings.Params.Workers.CancelS, sim.settings.Params.Workers.LeaseS = 43, 18
	sim.runTime = func(string, int, string) time.Duration { return 10 * time.Minute }
}

// The gap: the state service refuses the leading controller alone, another confirms
// withdrawals, and then the service is down for everybody for longer than cancel_s, while
// the workers go on reporting to the old owner. Every task must be gone within cancel_s of
// the answer's arrival at its user (checked by the world, at every step of every machine).
func TestCancellationBetweenARefusalAndAnOutage(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// refusedFor is how long the refusal lasts before the outage begins; 0: until a
		// successor has claimed the part, and not read its records.
		refusedFor time.Duration
		// noNotices: the controllers hear nothing of it from each other; cut: nor anything else.
		noNotices, cut bool
		// stuck: the watches bring nothing from before the first withdrawal on.
		stuck bool
		// hang is for how long machines of withdrawn jobs stand still.
		hang  time.Duration
		twice bool
	}{
		{name: "news", refusedFor: 2 * time.Second},
		{name: "no news", refusedFor: 2 * time.Second, noNotices: true},
		{name: "no news, twice", refusedFor: 1500 * time.Millisecond, noNotices: true, twice: true},
		{name: "cut from the others too", refusedFor: 2 * time.Second, noNotices: true, cut: true},
		{name: "watches bring nothing", refusedFor: 2 * time.Second, noNotices: true, stuck: true},
		{name: "the lease ends first", refusedFor: 3600 * time.Millisecond, noNotices: true},
		{name: "a successor has claimed", noNotices: true},
		{name: "a successor decides", refusedFor: 6 * time.Second, noNotices: true},
		{name: "machines hang", refusedFor: 2 * time.Second, noNotices: true, hang: 14 * time.Second},
		{name: "machines hang, a successor has claimed", noNotices: true, hang: 14 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 301, configureLongAnswerBound, func(sim *simulatedCluster) {
				time.Sleep(3 * time.Second)
				// Withdrawals every 0.1 s, from 4 s before the refusal on.
				const each, before = 56, 40
				rounds := 1
				if tc.twice {
					rounds = 2
				}
				for i := range each * rounds {
					s := newJobSpec(fmt.Sprintf("job-%d", i), 1, "green")
					s.CPUs, s.EstimateS, s.DeadlineS = 2, 600, 0
					sim.submit(s)
				}
				time.Sleep(40 * time.Second)
				partition := 0
				sim.onController("n0", func(c *Controller) { partition = c.TeamPartition[c.TeamIndex["green"]] })
				for round := range rounds {
					sim.cancelDuringRefusal(round*each, each, before, partition, func(i int, leader string) {
						switch i {
						case 0:
							sim.mu.Lock()
							sim.suppressNotices, sim.state.Stuck = tc.noNotices, tc.stuck
							sim.mu.Unlock()
						case before:
							sim.setStateServiceRefusal(leader, true)
							if tc.cut {
								sim.mu.Lock()
								sim.cut = func(from, host string) bool {
									return host == leader && from[0] == 'n' || from == leader && host[0] == 'n'
								}
								sim.mu.Unlock()
							}
						}
					}, tc.hang)
					if tc.refusedFor == 0 {
						sim.waitForLeaseChange(partition)
					}
					time.Sleep(tc.refusedFor - (each-before)*100*time.Millisecond)
					sim.setOutage(true)
					time.Sleep(12 * time.Second)
					for _, l := range []string{"n0", "n1", "n2"} {
						sim.setStateServiceRefusal(l, false)
					}
					time.Sleep(45 * time.Second)
					sim.mu.Lock()
					sim.state.Stuck, sim.cut, sim.suppressNotices = false, nil, false
					sim.mu.Unlock()
					sim.setOutage(false)
					time.Sleep(30 * time.Second)
				}
				sim.mu.Lock()
				for id, submitted := range sim.jobs {
					if submitted.finalStatus == protocol.StatusWithdrawn && len(sim.machinesRunning(id)) > 0 {
						t.Errorf("%s runs on %v", id, sim.machinesRunning(id))
					}
				}
				sim.mu.Unlock()
			})
		})
	}
}

// cancelDuringRefusal withdraws jobs from one number on at controllers that do not own their part, one
// every 0.1 s, and lets something happen before each.
func (sim *simulatedCluster) cancelDuringRefusal(from, count, before, partition int, happen func(i int, leader string), hang time.Duration) {
	leader := sim.leaderOf(partition)
	if leader == "" {
		sim.t.Fatal("nobody owns the part")
	}
	others := sim.otherControllers(leader)
	confirmed, after, running := 0, 0, 0
	for i := range count {
		happen(i, leader)
		job := fmt.Sprintf("job-%d", from+i)
		sim.mu.Lock()
		on := sim.machinesRunning(job)
		sim.mu.Unlock()
		running += len(on)
		if begun := time.Now(); sim.cancelAt(others[i%len(others)], job) {
			confirmed++
			if i >= before {
				after++
			}
			if hang > 0 && i%2 == 0 {
				for _, m := range on {
					sim.hangMachine(m, hang)
				}
			}
			time.Sleep(100*time.Millisecond - time.Since(begun))
		}
	}
	if running < count/2 || confirmed < count/2 || after < 5 {
		sim.t.Fatalf("%d of %d ran, %d withdrawals confirmed, %d of them after the refusal", running, count, confirmed, after)
	}
}

// Every team is at its limit when the leader changes, the machines can't be asked, and a
// cancellation falls into the moment in which the successor reads its part's records: what
// the cancelled job has on its machines counts against the team's limit until it is proven
// over (6, 39, 47).
func TestTeamQuotaHoldsForJobsThatEndDuringATakeover(t *testing.T) {
	t.Parallel()
	prepare := func(sim *simulatedCluster) {
		configureLongAnswerBound(sim)
		sim.settings.Params.Teams[0].CPUsMax = 32
	}
	runConfiguredSimulation(t, 302, prepare, func(sim *simulatedCluster) {
		time.Sleep(3 * time.Second)
		for _, id := range []string{"job-1", "job-2"} {
			s := newJobSpec(id, 8, "red") // all of the limit
			s.EstimateS, s.DeadlineS = 600, 0
			sim.submit(s)
		}
		time.Sleep(20 * time.Second)
		partition := 0
		sim.onController("n0", func(c *Controller) { partition = c.TeamPartition[c.TeamIndex["red"]] })
		leader := sim.leaderOf(partition)
		claimed := make(chan struct{})
		var late atomic.Bool
		sim.withLock(func() {
			if n := len(sim.machinesRunning("job-1")); n != 8 {
				t.Fatalf("%d tasks run", n)
			}
			out := sim.machinesRunningAnyOf("job-1")
			sim.cut = func(_, host string) bool { return out[host] }
			// The shared records come late, so that the successor waits for them after it
			// has read those of the part.
			sim.onResponse = func(_, _, target string, _ []byte, _ *transport.Response) bool {
				for late.Load() && strings.HasPrefix(target, "/changes?under="+storage.WatchPrefix) {
					time.Sleep(time.Millisecond)
				}
				return false
			}
			check := sim.state.BeforePut
			sim.state.BeforePut = func(c protocol.Change, old protocol.Item, exists bool) {
				check(c, old, exists)
				if c.Put == storage.LeaseKey(partition) && !late.Swap(true) {
					close(claimed)
				}
			}
		})
		sim.killController(leader)
		<-claimed
		time.Sleep(200 * time.Millisecond)
		successor := ""
		for _, l := range sim.otherControllers("") {
			sim.onController(l, func(c *Controller) {
				if c.Partitions[partition].Held && !c.Partitions[partition].Ready {
					successor = l
				}
			})
		}
		if successor == "" || !sim.cancelAt(successor, "job-1") {
			t.Fatalf("no withdrawal while %q reads", successor)
		}
		late.Store(false)
		time.Sleep(10 * time.Second)
		sim.withLock(func() {
			if n := len(sim.machinesRunning("job-1")); n != 8 {
				t.Errorf("%d tasks of the cancelled job left: its machines were asked", n)
			}
		})
		// Afterwards the others' turn comes, once the leases have run out (47).
		time.Sleep(50 * time.Second)
		sim.withLock(func() {
			if n := len(sim.machinesRunning("job-2")); n != 8 {
				t.Errorf("%d tasks of the next job run", n)
			}
		})
	})
}

// A withdrawn task that can't be stopped has its machine deleted by its owner, without the
// leader and without the state service, and before cancel_s is over; one whose lease
// provably runs out in time has not.
func TestMachinesOfCancelledTasksAreDeletedInTime(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// taken: the owner is lost with the withdrawal, and its successor can't know whom
		// it has answered; outage: the state service ends as well.
		taken, outage bool
		// later: the withdrawal comes after that, so that it is known whom nobody answers.
		later     bool
		deaf, cut bool
		deleted   bool
	}{
		{name: "silent under the same owner", cut: true},
		{name: "silent under the same owner in an outage", cut: true, outage: true},
		{name: "deaf under the same owner", deaf: true},
		{name: "silent after a takeover", taken: true, cut: true, deleted: true},
		{name: "silent after a takeover, then an outage", taken: true, cut: true, outage: true, deleted: true},
		{name: "withdrawn after the takeover, then an outage", taken: true, later: true, cut: true, outage: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 303, configureLongAnswerBound, func(sim *simulatedCluster) {
				time.Sleep(3 * time.Second)
				for i := range 4 {
					s := newJobSpec(fmt.Sprintf("job-%d", i), 4, "green")
					s.EstimateS, s.DeadlineS = 600, 0
					sim.submit(s)
				}
				time.Sleep(20 * time.Second)
				partition := 0
				sim.onController("n0", func(c *Controller) { partition = c.TeamPartition[c.TeamIndex["green"]] })
				leader := sim.leaderOf(partition)
				var on []string
				sim.withLock(func() {
					if on = sim.machinesRunning("job-1"); len(on) != 4 {
						t.Fatalf("%d tasks run", len(on))
					}
					out := sim.machinesRunningAnyOf("job-1")
					if tc.cut {
						sim.cut = func(_, host string) bool { return out[host] }
					}
					if tc.deaf {
						sim.inboundLost = out
					}
				})
				told := time.Now()
				withdraw := func() {
					if !sim.cancelAt(sim.otherControllers(leader)[0], "job-1") {
						t.Fatal("not withdrawn")
					}
					told = time.Now()
				}
				if !tc.later {
					withdraw()
				}
				if tc.taken {
					sim.killController(leader)
					for range 100 {
						time.Sleep(100 * time.Millisecond)
						if sim.leaderOf(partition) != "" {
							break
						}
					}
				}
				if tc.later {
					withdraw()
				}
				if tc.outage {
					sim.setOutage(true)
				}
				missing := func() (gone int) {
					sim.mu.Lock()
					defer sim.mu.Unlock()
					for _, m := range on {
						if sim.cloud.Machines[m] == nil {
							gone++
						}
					}
					return gone
				}
				time.Sleep(time.Until(told.Add(30 * time.Second)))
				if gone := missing(); tc.taken && gone > 0 {
					t.Errorf("%d machines deleted though there was time to stop what is on them", gone)
				}
				time.Sleep(time.Until(told.Add(43 * time.Second)))
				gone := missing()
				// Under the same owner the leader sends lost machines away by and by.
				if tc.deleted && gone != len(on) || !tc.deleted && tc.outage && gone > 0 {
					t.Errorf("%d of %d machines deleted within cancel_s", gone, len(on))
				}
				if sim.leaderOf(partition) == "" && !tc.outage {
					t.Error("nobody owns the part")
				}
				sim.withLock(func() { sim.cut, sim.inboundLost = nil, nil })
				sim.setOutage(false)
				time.Sleep(30 * time.Second)
			})
		})
	}
}

// An owner that the state service refuses alone hears of withdrawals from the others and
// stops what they concern at once; without that, a carrier that knows does so for the
// machines that report to it (43). The bound is not needed for either.
func TestNoticesAndDelegatesStopCancelledTasks(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		noNotices bool
	}{{"news", false}, {"a carrier knows", true}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			prepare := func(sim *simulatedCluster) {
				configureFewSockets(sim)
				sim.runTime = func(string, int, string) time.Duration { return 10 * time.Minute }
			}
			runConfiguredSimulation(t, 304, prepare, func(sim *simulatedCluster) {
				partition := sim.startDelegation(8)
				leader := sim.leaderOf(partition)
				var delegated, kept int
				count := func() (delegated, kept int) {
					sim.forEachWorker(func(agent *worker.Worker) {
						for _, task := range agent.Tasks {
							if task.Job != "job-0" && task.Job != "job-1" || task.State == protocol.TaskEnded {
							} else if agent.Homes[agent.Home] == leader {
								kept++
							} else {
								delegated++
							}
						}
					})
					return delegated, kept
				}
				sim.withLock(func() { sim.suppressNotices = tc.noNotices })
				if delegated, kept = count(); delegated == 0 || kept == 0 {
					t.Fatalf("%d tasks on machines that others carry, %d on others", delegated, kept)
				}
				sim.setStateServiceRefusal(leader, true)
				for _, id := range []string{"job-0", "job-1"} {
					if !sim.cancelAt(sim.otherControllers(leader)[0], id) {
						t.Fatal("not withdrawn")
					}
				}
				time.Sleep(1800 * time.Millisecond) // the owner's lease goes on
				if sim.leaderOf(partition) != leader {
					t.Fatal("the part changed hands")
				}
				carriedNow, keptNow := count()
				if carriedNow > 0 || !tc.noNotices && keptNow > 0 {
					t.Errorf("%d and %d of %d and %d tasks left after 1.8 s", carriedNow, keptNow, delegated, kept)
				}
				if tc.noNotices && keptNow == 0 {
					t.Error("the owner knew without being told")
				}
				sim.setStateServiceRefusal(leader, false)
				sim.withLock(func() { sim.suppressNotices = false })
				time.Sleep(25 * time.Second)
			})
		})
	}
}

// News say for how long a job has been withdrawn, and are taken once.
func TestCancellationNoticesCarryTheirAge(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		begun := time.Now()
		c.jobs.ApplyCancellationNotices(&peer.Summary{Cancelled: []*peer.CancelledJob{{Job: "job-1", AgeMs: 7000}, {Job: "not an id"}}}, begun)
		time.Sleep(3 * time.Second)
		c.jobs.ApplyCancellationNotices(&peer.Summary{Cancelled: []*peer.CancelledJob{{Job: "job-1", AgeMs: 500}}}, time.Now())
		if at := c.Cancellations.CancelledAt("job-1"); begun.Sub(at) != 7*time.Second || len(c.FinalStates) != 1 {
			t.Errorf("withdrawn %s before it was heard, %d finals", begun.Sub(at), len(c.FinalStates))
		}
		if told := c.Cancellations.Recent(time.Now(), c.CancelBound); len(told) != 1 || told[0].AgeMs != 10_000 {
			t.Errorf("told on: %v", told)
		}
		for i := range c.Cancellations.Limit + 10 {
			c.jobs.SetFinal(fmt.Sprintf("job-%d", 10+i), protocol.StatusWithdrawn, time.Now())
		}
		if told := c.Cancellations.Recent(time.Now(), c.CancelBound); len(told) != c.Cancellations.Limit || told[0].Job != "job-1" {
			t.Errorf("%d told at a time", len(told))
		}
		if time.Sleep(c.CancelBound + time.Second); len(c.Cancellations.Recent(time.Now(), c.CancelBound)) != 0 {
			t.Error("news are told for ever")
		}
	})
}

// A withdrawal that the owner has not seen yet, since its watch brings nothing and nobody
// tells it, still keeps what waits from being started: its record is in every start's
// conditions (17).
func TestNoStartAfterACancellationUnseenByTheLeader(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 305, configureLongAnswerBound, func(sim *simulatedCluster) {
		time.Sleep(3 * time.Second)
		sim.withLock(func() {
			sim.cloud.Capacity = 2 // four tasks at a time
			sim.cloud.Types = sim.cloud.Types[:1]
			sim.runTime = func(string, int, string) time.Duration { return 20 * time.Second }
		})
		first, second := newJobSpec("job-1", 4, "green"), newJobSpec("job-2", 4, "green")
		first.Urgency = protocol.High
		sim.submit(first)
		sim.submit(second)
		time.Sleep(18 * time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		sim.withLock(func() {
			sim.suppressNotices, sim.state.Stuck = true, true
			if len(sim.machinesRunning("job-1")) != 4 || len(sim.machinesRunning("job-2")) != 0 {
				t.Fatalf("%d and %d tasks run", len(sim.machinesRunning("job-1")), len(sim.machinesRunning("job-2")))
			}
		})
		if !sim.cancelAt(sim.otherControllers(leader)[0], "job-2") {
			t.Fatal("not withdrawn")
		}
		unseen := false
		for range 150 { // meanwhile the first job ends, and there is room
			time.Sleep(100 * time.Millisecond)
			sim.onController(leader, func(c *Controller) {
				sim.withLock(func() {
					if len(sim.jobs["job-1"].tasksDone) == 0 { // up to the moment when there is
						unseen = c.FinalStates["job-2"] == ""
					}
				})
			})
			sim.withLock(func() {
				if n := len(sim.machinesRunning("job-2")); n > 0 {
					t.Fatalf("%d tasks of a withdrawn job started", n)
				}
			})
		}
		if !unseen {
			t.Error("the owner knew of the withdrawal before there was room")
		}
		sim.withLock(func() { sim.suppressNotices, sim.state.Stuck = false, false })
		time.Sleep(5 * time.Second)
	})
}
