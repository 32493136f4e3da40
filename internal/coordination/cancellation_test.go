package coordination

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// configureLongAnswerBound configures a long bound for the leaders' answers to heartbeats, and a
// run time of tasks that exceeds the cancellation bound.
func configureLongAnswerBound(sim *simulatedCluster) {
	sim.cloud.Capacity = 30
	sim.settings.Params.Teams[0].CPUsMax, sim.settings.Params.Teams[1].CPUsMax = 0, 0
	sim.settings.Params.AgentTimes.CancelS, sim.settings.Params.AgentTimes.LeaseS = 43, 18
	sim.taskRunTime = func(string, int, string) time.Duration { return 10 * time.Minute }
}

// The state store refuses the requests of the partition leader only, so that other controllers
// confirm cancellations; then the state store is down for longer than cancel_s, while agents still
// send heartbeats to the old leader. Each task must stop within cancel_s of the confirmation, which
// the simulated cluster checks at every step of every machine.
func TestCancellationBetweenARefusalAndAnOutage(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// refusedFor is the duration of the refusal before the outage begins. If it is 0,
		// the outage begins when a successor has acquired the lease but not read the
		// partition's records.
		refusedFor time.Duration
		// noNotices: no controller receives cancellation notices; cut: the leader is also cut
		// off from its peers.
		noNotices, cut bool
		// watchesStuck: the watches deliver no events; this begins before the first
		// cancellation.
		watchesStuck bool
		// hang is the time for which half of the machines of cancelled jobs hang.
		hang time.Duration
		// twice: refusal and outage happen twice.
		twice bool
	}{
		{name: "notices", refusedFor: 2 * time.Second},
		{name: "no notices", refusedFor: 2 * time.Second, noNotices: true},
		{name: "no notices, twice", refusedFor: 1500 * time.Millisecond, noNotices: true, twice: true},
		{name: "cut off from its peers as well", refusedFor: 2 * time.Second, noNotices: true, cut: true},
		{name: "watches deliver nothing", refusedFor: 2 * time.Second, noNotices: true, watchesStuck: true},
		{name: "the lease expires first", refusedFor: 3600 * time.Millisecond, noNotices: true},
		{name: "a successor holds the lease", noNotices: true},
		{name: "a successor is ready", refusedFor: 6 * time.Second, noNotices: true},
		{name: "machines hang", refusedFor: 2 * time.Second, noNotices: true, hang: 14 * time.Second},
		{name: "machines hang, a successor holds the lease", noNotices: true, hang: 14 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 301, configureLongAnswerBound, func(sim *simulatedCluster) {
				time.Sleep(3 * time.Second)
				// Cancellations begin 4 s before the refusal and continue every 0.1 s.
				const cancellations, beforeRefusal = 56, 40
				rounds := 1
				if tc.twice {
					rounds = 2
				}
				for i := range cancellations * rounds {
					s := newJobSpec(fmt.Sprintf("job-%d", i), 1, "green")
					s.CPUs, s.EstimateS, s.DeadlineS = 2, 600, 0
					sim.submit(s)
				}
				time.Sleep(40 * time.Second)
				partition := sim.partitionOf("green")
				for round := range rounds {
					sim.cancelDuringRefusal(round*cancellations, cancellations, beforeRefusal, partition, func(i int, leader string) {
						switch i {
						case 0:
							sim.withLock(func() { sim.suppressNotices, sim.state.WatchesStuck = tc.noNotices, tc.watchesStuck })
						case beforeRefusal:
							sim.setStateStoreRefusal(leader, true)
							if tc.cut {
								sim.mu.Lock()
								sim.dropsMessage = func(from, host string) bool {
									return host == leader && from[0] == 'n' || from == leader && host[0] == 'n'
								}
								sim.mu.Unlock()
							}
						}
					}, tc.hang)
					if tc.refusedFor == 0 {
						sim.waitForLeaseChange(partition)
					}
					time.Sleep(tc.refusedFor - (cancellations-beforeRefusal)*100*time.Millisecond)
					sim.setOutage(true)
					time.Sleep(12 * time.Second)
					for _, l := range allControllers {
						sim.setStateStoreRefusal(l, false)
					}
					time.Sleep(45 * time.Second)
					sim.withLock(func() { sim.state.WatchesStuck, sim.dropsMessage, sim.suppressNotices = false, nil, false })
					sim.setOutage(false)
					time.Sleep(30 * time.Second)
				}
				sim.mu.Lock()
				for id, submitted := range sim.jobs {
					if submitted.finalStatus == protocol.StatusCancelled && len(sim.machinesRunning(id)) > 0 {
						t.Errorf("the cancelled job %s still runs on %v", id, sim.machinesRunning(id))
					}
				}
				sim.mu.Unlock()
			})
		})
	}
}

// cancelDuringRefusal cancels count jobs at controllers that do not lead their partition, one every
// 0.1 s, beginning with the job numbered first. It calls beforeCancel before each cancellation.
// beforeRefusal is the number of cancellations before the refusal begins. If hang is not 0, the
// machines of every second job hang for that time.
func (sim *simulatedCluster) cancelDuringRefusal(first, count, beforeRefusal, partition int, beforeCancel func(i int, leader string), hang time.Duration) {
	leader := sim.leaderOf(partition)
	if leader == "" {
		sim.t.Fatal("the partition has no leader")
	}
	others := sim.otherControllers(leader)
	confirmed, confirmedAfter, runningTasks := 0, 0, 0
	for i := range count {
		beforeCancel(i, leader)
		job := fmt.Sprintf("job-%d", first+i)
		var machines []string
		sim.withLock(func() { machines = sim.machinesRunning(job) })
		runningTasks += len(machines)
		if begun := time.Now(); sim.cancelAt(others[i%len(others)], job) {
			confirmed++
			if i >= beforeRefusal {
				confirmedAfter++
			}
			if hang > 0 && i%2 == 0 {
				for _, machine := range machines {
					sim.hangMachine(machine, hang)
				}
			}
			time.Sleep(100*time.Millisecond - time.Since(begun))
		}
	}
	if runningTasks < count/2 || confirmed < count/2 || confirmedAfter < 5 {
		sim.t.Fatalf("%d tasks of %d jobs ran, %d cancellations were confirmed, %d of them after the refusal began; want at least half as many tasks and confirmed cancellations as jobs, and at least 5 confirmed after the refusal began", runningTasks, count, confirmed, confirmedAfter)
	}
}

// A team is at its quota, and a job on unreachable machines is cancelled while a new leader reads
// the partition's records: the job's tasks count against the team's quota until they have
// provably ended (rules 6, 39, 47).
func TestTeamQuotaHoldsForJobsThatEndDuringATakeover(t *testing.T) {
	t.Parallel()
	prepare := func(sim *simulatedCluster) {
		configureLongAnswerBound(sim)
		sim.settings.Params.Teams[0].CPUsMax = 32
	}
	runConfiguredSimulation(t, 302, prepare, func(sim *simulatedCluster) {
		time.Sleep(3 * time.Second)
		for _, id := range []string{"job-1", "job-2"} {
			s := newJobSpec(id, 8, "red") // uses the whole quota
			s.EstimateS, s.DeadlineS = 600, 0
			sim.submit(s)
		}
		time.Sleep(20 * time.Second)
		partition := sim.partitionOf("red")
		leader := sim.leaderOf(partition)
		acquired := make(chan struct{})
		var delayRecords atomic.Bool
		sim.withLock(func() {
			if n := len(sim.machinesRunning("job-1")); n != 8 {
				t.Fatalf("%d tasks of job-1 run, want 8", n)
			}
			unreachable := sim.machinesRunningAnyOf("job-1")
			sim.dropsMessage = func(_, host string) bool { return unreachable[host] }
			// After the successor has acquired the lease, the shared records are
			// delayed, so that the successor still waits for them after it has read the
			// partition's records.
			sim.onResponse = func(_, _, target string, _ []byte, _ *transport.Response) bool {
				for delayRecords.Load() && strings.HasPrefix(target, "/changes?under="+storage.WatchPrefix) {
					time.Sleep(time.Millisecond)
				}
				return false
			}
			previous := sim.state.BeforePut
			sim.state.BeforePut = func(c protocol.Change, old protocol.Item, exists bool) {
				previous(c, old, exists)
				if c.Put == storage.LeaseKey(partition) && !delayRecords.Swap(true) {
					close(acquired)
				}
			}
		})
		sim.killController(leader)
		<-acquired
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
			t.Fatalf("no cancellation was confirmed while %q read the partition's records", successor)
		}
		delayRecords.Store(false)
		time.Sleep(10 * time.Second)
		sim.withLock(func() {
			if n := len(sim.machinesRunning("job-1")); n != 8 {
				t.Errorf("%d tasks of the cancelled job are left, want 8: its machines were reached", n)
			}
		})
		// The other job starts once the machine leases have expired (rule 47).
		time.Sleep(50 * time.Second)
		sim.withLock(func() {
			if n := len(sim.machinesRunning("job-2")); n != 8 {
				t.Errorf("%d tasks of the next job run, want 8", n)
			}
		})
	})
}

// If a cancelled task cannot be stopped, the partition leader deletes its machine within cancel_s,
// without the cluster leader and the state store. A machine whose lease provably expires in time
// is kept.
func TestMachinesOfCancelledTasksAreDeletedInTime(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// takeover: the leader is killed, so that its successor has no record of the
		// answered heartbeats; outage: the state store goes down as well.
		takeover, outage bool
		// afterTakeover: the cancellation follows the takeover, so that the leader has a
		// record of the machines that it answered. Otherwise the cancellation precedes the
		// takeover.
		afterTakeover bool
		// inboundLost: messages to the machines are lost, but not those from them; cut: the
		// machines cannot be reached.
		inboundLost, cut bool
		// deleted: the machines must be deleted.
		deleted bool
	}{
		{name: "unreachable, same leader", cut: true},
		{name: "unreachable, same leader, state store outage", cut: true, outage: true},
		{name: "inbound messages lost, same leader", inboundLost: true},
		{name: "unreachable after a takeover", takeover: true, cut: true, deleted: true},
		{name: "unreachable after a takeover, then state store outage", takeover: true, cut: true, outage: true, deleted: true},
		{name: "cancelled after the takeover, then state store outage", takeover: true, afterTakeover: true, cut: true, outage: true},
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
				partition := sim.partitionOf("green")
				leader := sim.leaderOf(partition)
				var machines []string
				sim.withLock(func() {
					if machines = sim.machinesRunning("job-1"); len(machines) != 4 {
						t.Fatalf("%d tasks of job-1 run, want 4", len(machines))
					}
					unreachable := sim.machinesRunningAnyOf("job-1")
					if tc.cut {
						sim.dropsMessage = func(_, host string) bool { return unreachable[host] }
					}
					if tc.inboundLost {
						sim.inboundLost = unreachable
					}
				})
				cancelledAt := time.Now()
				cancelJob := func() {
					if !sim.cancelAt(sim.otherControllers(leader)[0], "job-1") {
						t.Fatal("the cancellation of job-1 was not confirmed")
					}
					cancelledAt = time.Now()
				}
				if !tc.afterTakeover {
					cancelJob()
				}
				if tc.takeover {
					sim.killController(leader)
					for range 100 {
						time.Sleep(100 * time.Millisecond)
						if sim.leaderOf(partition) != "" {
							break
						}
					}
				}
				if tc.afterTakeover {
					cancelJob()
				}
				if tc.outage {
					sim.setOutage(true)
				}
				countDeleted := func() (deletedCount int) {
					sim.mu.Lock()
					defer sim.mu.Unlock()
					for _, m := range machines {
						if sim.cloud.Machines[m] == nil {
							deletedCount++
						}
					}
					return deletedCount
				}
				time.Sleep(time.Until(cancelledAt.Add(30 * time.Second)))
				if deletedCount := countDeleted(); tc.takeover && deletedCount > 0 {
					t.Errorf("%d machines were deleted while there was time to stop their tasks", deletedCount)
				}
				time.Sleep(time.Until(cancelledAt.Add(43 * time.Second)))
				deletedCount := countDeleted()
				// Without an outage, the cluster leader may have deleted lost
				// machines that the partition leader would keep.
				if tc.deleted && deletedCount != len(machines) || !tc.deleted && tc.outage && deletedCount > 0 {
					t.Errorf("%d of %d machines were deleted within cancel_s, want all: %v; otherwise want none", deletedCount, len(machines), tc.deleted)
				}
				if sim.leaderOf(partition) == "" && !tc.outage {
					t.Error("the partition has no leader")
				}
				sim.withLock(func() { sim.dropsMessage, sim.inboundLost = nil, nil })
				sim.setOutage(false)
				time.Sleep(30 * time.Second)
			})
		})
	}
}

// A leader whose requests the state store refuses receives cancellations in its peers' notices and
// stops the tasks at once. Without notices, a delegate that has received the cancellation stops the
// tasks on the machines that send it heartbeats (rule 43). In both cases, the tasks stop long
// before the cancellation bound.
func TestNoticesAndDelegatesStopCancelledTasks(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		noNotices bool
	}{{"notices", false}, {"only the delegate knows", true}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			prepare := func(sim *simulatedCluster) {
				configureFewSockets(sim)
				sim.taskRunTime = func(string, int, string) time.Duration { return 10 * time.Minute }
			}
			runConfiguredSimulation(t, 304, prepare, func(sim *simulatedCluster) {
				partition := sim.startDelegation(8)
				leader := sim.leaderOf(partition)
				var delegated, direct int
				count := func() (delegated, direct int) {
					sim.forEachAgent(func(agent *agent.Agent) {
						for _, task := range agent.Tasks {
							if task.Job != "job-0" && task.Job != "job-1" || task.State == protocol.TaskEnded {
							} else if agent.Controllers[agent.ControllerIndex] == leader {
								direct++
							} else {
								delegated++
							}
						}
					})
					return delegated, direct
				}
				sim.withLock(func() { sim.suppressNotices = tc.noNotices })
				if delegated, direct = count(); delegated == 0 || direct == 0 {
					t.Fatalf("%d tasks on delegated machines, %d on the leader's, want some on both", delegated, direct)
				}
				sim.setStateStoreRefusal(leader, true)
				for _, id := range []string{"job-0", "job-1"} {
					if !sim.cancelAt(sim.otherControllers(leader)[0], id) {
						t.Fatalf("the cancellation of %s was not confirmed", id)
					}
				}
				time.Sleep(1800 * time.Millisecond) // the leader's lease remains valid
				if sim.leaderOf(partition) != leader {
					t.Fatal("the partition leader changed")
				}
				delegatedLeft, directLeft := count()
				if delegatedLeft > 0 || !tc.noNotices && directLeft > 0 {
					t.Errorf("running tasks after 1.8 s: %d on delegated machines, %d on the leader's; before: %d and %d; a controller with a cancellation notice should stop all", delegatedLeft, directLeft, delegated, direct)
				}
				if tc.noNotices && directLeft == 0 {
					t.Error("the leader stopped its tasks without a notice")
				}
				sim.setStateStoreRefusal(leader, false)
				sim.withLock(func() { sim.suppressNotices = false })
				time.Sleep(25 * time.Second)
			})
		})
	}
}

// A cancellation notice contains the time since the job's cancellation. Later notices about the
// same job change nothing.
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
			t.Errorf("cancelled %s before the notice arrived, %d final states; want 7 s and 1", begun.Sub(at), len(c.FinalStates))
		}
		if notices := c.Cancellations.Recent(time.Now(), c.CancelBound); len(notices) != 1 || notices[0].AgeMs != 10_000 {
			t.Errorf("notices to pass on: %v, want one with an age of 10 s", notices)
		}
		for i := range c.Cancellations.Limit + 10 {
			c.jobs.SetFinalState(fmt.Sprintf("job-%d", 10+i), protocol.StatusCancelled, time.Now())
		}
		if notices := c.Cancellations.Recent(time.Now(), c.CancelBound); len(notices) != c.Cancellations.Limit || notices[0].Job != "job-1" {
			t.Errorf("%d notices to pass on, want the maximum number, with job-1 first", len(notices))
		}
		if time.Sleep(c.CancelBound + time.Second); len(c.Cancellations.Recent(time.Now(), c.CancelBound)) != 0 {
			t.Error("notices never expire")
		}
	})
}

// A cancellation prevents waiting tasks from starting even if the leader has received neither a
// watch event nor a notice of it, because every transaction that starts a task is conditional on
// the absence of the job's final record (rule 17).
func TestNoStartAfterACancellationUnseenByTheLeader(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 305, configureLongAnswerBound, func(sim *simulatedCluster) {
		time.Sleep(3 * time.Second)
		sim.withLock(func() {
			sim.cloud.Capacity = 2 // for four tasks at a time
			sim.cloud.Types = sim.cloud.Types[:1]
			sim.taskRunTime = func(string, int, string) time.Duration { return 20 * time.Second }
		})
		first, second := newJobSpec("job-1", 4, "green"), newJobSpec("job-2", 4, "green")
		first.Urgency = protocol.High
		sim.submit(first)
		sim.submit(second)
		time.Sleep(18 * time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		sim.withLock(func() {
			sim.suppressNotices, sim.state.WatchesStuck = true, true
			if len(sim.machinesRunning("job-1")) != 4 || len(sim.machinesRunning("job-2")) != 0 {
				t.Fatalf("%d tasks of job-1 and %d of job-2 run, want 4 and 0", len(sim.machinesRunning("job-1")), len(sim.machinesRunning("job-2")))
			}
		})
		if !sim.cancelAt(sim.otherControllers(leader)[0], "job-2") {
			t.Fatal("the cancellation of job-2 was not confirmed")
		}
		unseen := false
		for range 150 { // 15 s, in which the first job ends and frees its machines
			time.Sleep(100 * time.Millisecond)
			sim.onController(leader, func(c *Controller) {
				sim.withLock(func() {
					if len(sim.jobs["job-1"].tasksDone) == 0 { // the machines are not free yet
						unseen = c.FinalStates["job-2"] == ""
					}
				})
			})
			sim.withLock(func() {
				if n := len(sim.machinesRunning("job-2")); n > 0 {
					t.Fatalf("%d tasks of the cancelled job started", n)
				}
			})
		}
		if !unseen {
			t.Error("the leader received the cancellation before a machine was free")
		}
		sim.withLock(func() { sim.suppressNotices, sim.state.WatchesStuck = false, false })
		time.Sleep(5 * time.Second)
	})
}
