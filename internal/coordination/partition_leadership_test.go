package coordination

import (
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// What an owner sent before it lost its part must not be obeyed after the
// successor was heard: a takeover raises every machine's token.
func TestCommandsOfAFormerLeaderAreRefused(t *testing.T) {
	t.Parallel()
	runSimulation(t, 13, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		late := map[string]protocol.Orders{}
		sim.mu.Lock()
		sim.interceptCommands = func(name string, o *protocol.Orders) { late[name] = *o }
		sim.mu.Unlock()
		sim.mu.Lock()
		sim.runTime = func(string, int, string) time.Duration { return time.Minute }
		sim.mu.Unlock()
		for i, team := range []string{"red", "blue", "green"} {
			sim.submit(newJobSpec(fmt.Sprintf("job-%d", i), 2, team))
		}
		time.Sleep(15 * time.Second)
		sim.mu.Lock()
		sim.interceptCommands = nil
		before := len(late)
		sim.mu.Unlock()
		if before == 0 {
			t.Fatal("no orders were sent")
		}
		for _, label := range []string{"n0", "n1", "n2"} {
			sim.killController(label)
		}
		sim.startController("n1")
		sim.mu.Lock()
		n := sim.controllers["n1"].controller
		sim.mu.Unlock()
		// Until a worker has heard the successor, it knows no better.
		for fenced := 0; fenced < len(late); time.Sleep(100 * time.Millisecond) {
			fenced = 0
			n.loop.Do(func() {
				for name := range late {
					if m := n.Machines[name]; m != nil && m.Fenced {
						fenced++
					}
				}
			})
		}
		for name, o := range late {
			sim.mu.Lock()
			agent := sim.workers[name]
			sim.mu.Unlock()
			if resp := sim.serveWorker(agent, "/orders", protocol.Encode(o)); resp.Status == 200 {
				t.Errorf("%s obeyed an order from before the takeover", name)
			}
		}
		sim.waitForAllJobs(3 * time.Minute)
	})
}

// An owner without the state service keeps its workers' leases alive, but not
// for so long that a task withdrawn through a successor outlives cancel_s.
func TestLeaderAnswersHeartbeatsOnlyWithinItsBound(t *testing.T) {
	t.Parallel()
	runSimulation(t, 15, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.mu.Lock()
		sim.runTime = func(string, int, string) time.Duration { return time.Hour }
		sim.mu.Unlock()
		for i, team := range []string{"red", "blue", "green"} {
			sim.submit(newJobSpec(fmt.Sprintf("job-%d", i), 1, team))
		}
		time.Sleep(12 * time.Second)
		sim.setOutage(true)
		// cancel_s − lease_s and two seconds' margin: 25 − 8 − 2 = 15.
		answered := func() (n int) {
			for _, label := range []string{"n0", "n1", "n2"} {
				sim.mu.Lock()
				var reports []*protocol.Heartbeat
				for _, agent := range sim.workers {
					reports = append(reports, agent.Snapshot())
				}
				sim.mu.Unlock()
				for _, r := range reports {
					if sim.sendRequest(label, "POST", "/checkin", protocol.Encode(r)).Status == 200 {
						n++
					}
				}
			}
			return n
		}
		time.Sleep(11 * time.Second)
		if answered() == 0 {
			t.Error("nobody answers the workers 11 s into the outage")
		}
		time.Sleep(6 * time.Second)
		if n := answered(); n > 0 {
			t.Errorf("%d reports answered 17 s into the outage", n)
		}
		sim.setOutage(false)
	})
}

func TestStateStoreOutage(t *testing.T) {
	t.Parallel()
	runSimulation(t, 6, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.submit(newJobSpec("job-1", 8, "blue"))
		time.Sleep(12 * time.Second)
		sim.setOutage(true)
		time.Sleep(3 * time.Second)
		resp := sim.sendRequest("n1", "POST", "/submissions", encodeSubmission(newJobSpec("job-2", 1, "red")))
		if resp.Status != 503 || resp.RetryAfter == 0 {
			t.Errorf("submission during the outage: %d, Retry-After %d", resp.Status, resp.RetryAfter)
		}
		if resp := sim.sendRequest("n1", "GET", "/submissions/job-1", nil); resp.Status != 503 {
			t.Errorf("poll of an unfinished job during the outage: %d", resp.Status)
		}
		time.Sleep(8 * time.Second)
		sim.mu.Lock()
		for _, agent := range sim.workers {
			if agent.Session != 1 {
				t.Errorf("%s lost its lease in the outage", agent.Name)
			}
		}
		sim.mu.Unlock()
		sim.setOutage(false)
		sim.waitForAllJobs(2 * time.Minute)
	})
}

func TestAgentsAreRedirectedToTheirLeader(t *testing.T) {
	t.Parallel()
	runSimulation(t, 9, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.submit(newJobSpec("job-1", 4, "green"))
		sim.waitForAllJobs(time.Minute)
		sim.mu.Lock()
		var r *protocol.Heartbeat
		for _, agent := range sim.workers {
			r = agent.Snapshot()
		}
		sim.mu.Unlock()
		homes := map[string]bool{}
		for _, label := range []string{"n0", "n1", "n2"} {
			resp := sim.sendRequest(label, "POST", "/checkin", protocol.Encode(r))
			if resp.Status == 421 {
				var h protocol.Home
				panicOnError(protocol.Decode(resp.Body, &h))
				homes[h.Home] = true
				if h.Home == label {
					t.Errorf("%s names itself", label)
				}
			}
		}
		if len(homes) != 1 {
			t.Errorf("homes named: %v", homes)
		}
	})
}

// A machine that is cut off may still run its tasks until its lease has run
// out: they must not be started elsewhere before.
func TestSilentMachineKeepsItsTasksUntilItsLeaseExpires(t *testing.T) {
	t.Parallel()
	runSimulation(t, 11, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.runTime = func(string, int, string) time.Duration { return 25 * time.Second }
		sim.submit(newJobSpec("job-1", 12, "blue"))
		time.Sleep(15 * time.Second)
		sim.mu.Lock()
		victim := ""
		for name, agent := range sim.workers {
			if len(agent.Tasks) > 0 {
				victim = name
			}
		}
		sim.cut = func(_, host string) bool { return host == victim }
		sim.mu.Unlock()
		if victim == "" {
			t.Fatal("no machine has work")
		}
		time.Sleep(20 * time.Second)
		sim.mu.Lock()
		sim.cut = nil
		sim.mu.Unlock()
		sim.waitForAllJobs(3 * time.Minute)
	})
}

func TestLeaderWithoutItsAgentsGivesUpItsPartition(t *testing.T) {
	t.Parallel()
	runSimulation(t, 12, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.submit(newJobSpec("job-1", 4, "red"))
		sim.submit(newJobSpec("job-2", 4, "blue"))
		sim.submit(newJobSpec("job-3", 4, "green"))
		time.Sleep(10 * time.Second)
		sim.mu.Lock()
		sim.cut = func(from, host string) bool { return from == "n0" && strings.HasPrefix(host, "m-") }
		sim.mu.Unlock()
		time.Sleep(25 * time.Second)
		owned := 0
		n := sim.controllers["n0"].controller
		n.loop.Do(func() {
			for _, p := range n.Partitions {
				if p.Held {
					owned++
				}
			}
		})
		machines := 0
		n.loop.Do(func() { machines = len(n.Machines) })
		if owned > 0 && machines > 0 {
			t.Logf("n0 still owns %d parts with %d machines on record", owned, machines)
		}
		sim.waitForAllJobs(2 * time.Minute)
		sim.mu.Lock()
		sim.cut = nil
		sim.mu.Unlock()
	})
}

// After a takeover the new owner has heard none of its machines yet: they must
// not be taken for machines that never came up, nor the rest of an inherited
// task for its whole run time.
func TestTakeoverKeepsMachinesAndEstimates(t *testing.T) {
	t.Parallel()
	runSimulation(t, 19, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.mu.Lock()
		sim.runTime = func(string, int, string) time.Duration { return 60 * time.Second }
		sim.mu.Unlock()
		for i, team := range []string{"red", "blue", "green"} {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 6, team)
			s.EstimateS, s.DeadlineS = 60, 200
			sim.submit(s)
		}
		time.Sleep(55 * time.Second) // longer than any boot may take
		sim.mu.Lock()
		before := maps.Clone(sim.cloud.Machines)
		sim.mu.Unlock()
		// The leader lives on and has known the machines for long.
		var leader *simulatedController
		for _, label := range []string{"n0", "n1", "n2"} {
			sim.mu.Lock()
			n := sim.controllers[label]
			sim.mu.Unlock()
			n.controller.loop.Do(func() {
				if n.controller.Leadership.Held {
					leader = n
				}
			})
		}
		for _, label := range []string{"n0", "n1", "n2"} {
			if label != leader.label {
				sim.killController(label)
				sim.startController(label)
			}
		}
		// Their workers don't reach the new owners for a moment.
		sim.mu.Lock()
		sim.cut = func(from, host string) bool {
			return from != leader.label && strings.HasPrefix(host, "m-")
		}
		sim.mu.Unlock()
		time.Sleep(3 * time.Second)
		sim.mu.Lock()
		sim.cut = nil
		sim.mu.Unlock()
		time.Sleep(3 * time.Second)
		sim.mu.Lock()
		for name := range before {
			if _, ok := sim.cloud.Machines[name]; !ok {
				t.Errorf("%s was given up in the takeover", name)
			}
		}
		sim.mu.Unlock()
		if len(before) == 0 {
			t.Error("no machines before the takeover")
		}
		time.Sleep(8 * time.Second)
		for _, label := range []string{"n0", "n1", "n2"} {
			if label == leader.label {
				continue
			}
			sim.mu.Lock()
			n := sim.controllers[label].controller
			sim.mu.Unlock()
			n.loop.Do(func() {
				// What a former owner told of its attempts' beginnings teaches what they
				// took; attempts that began nobody knows when teach nothing.
				for class, b := range n.scheduler.Corrections {
					if math.Abs(b.Ratio-1) > 0.01 {
						t.Errorf("inherited tasks taught %s a ratio of %v", class, b.Ratio)
					}
				}
				for _, m := range n.Machines {
					if m.Quarantined {
						t.Errorf("%s set aside", m.Name)
					}
				}
			})
		}
		sim.waitForAllJobs(3 * time.Minute)
	})
}

// An attempt of a session that had ended before the takeover must not hold its
// task for ever, even if the new owner knew the later session already.
func TestInheritedAttemptOfAnOlderEpochIsOver(t *testing.T) {
	t.Parallel()
	set := newSimulatedCluster(t, 1).settings
	set.Label = "n0"
	c := newTestController(t.Context(), &set, settings.DefaultOperator())
	p := c.Partitions[0]
	p.Held, p.Ready, p.LeaseRevision = true, true, 5
	now := time.Now()
	c.agents.MachineRecorded("m-1", storage.Machine{Type: "small", Zone: "a"}, 3, now)
	m := c.Machines["m-1"]
	m.Epoch, m.HasReported = 2, true
	j := &cluster.Job{Spec: newJobSpec("job-1", 1, "red")}
	j.Load()
	j.Pending = nil
	c.Jobs["job-1"] = j
	a := &cluster.Attempt{Job: j, Number: 1, Machine: m, Epoch: 1, State: cluster.AttemptCommitted, Inherited: true}
	j.LiveAttempts[0] = a
	m.Attempts[cluster.AttemptKey(a.TaskName(), 1)] = a
	c.agents.ApplyReport(m, &protocol.Heartbeat{Machine: "m-1", Epoch: 2, Sequence: 9, Token: 5}, now)
	if len(j.LiveAttempts) != 0 || len(j.Pending) != 1 {
		t.Errorf("live %v, queue %v", j.LiveAttempts, j.Pending)
	}
}

// Controllers that start together must each get their part, instead of the
// first one taking all and doing all the work.
func TestPartitionsAreSpreadAtStartup(t *testing.T) {
	t.Parallel()
	runSimulation(t, 20, func(sim *simulatedCluster) {
		time.Sleep(4 * time.Second)
		for _, label := range []string{"n0", "n1", "n2"} {
			if owned := sim.leaseCount(label); owned != 1 {
				t.Errorf("%s owns %d parts", label, owned)
			}
		}
	})
}

// After a takeover one controller must not own two parts for ever, and giving
// one back must not cost what runs.
func TestPartitionsAreHandedBack(t *testing.T) {
	t.Parallel()
	runSimulation(t, 22, func(sim *simulatedCluster) {
		sim.runTime = func(string, int, string) time.Duration { return 90 * time.Second }
		time.Sleep(4 * time.Second)
		for i, team := range []string{"red", "blue", "green"} {
			sim.submit(newJobSpec(fmt.Sprintf("job-%d", i), 4, team))
		}
		time.Sleep(25 * time.Second)
		sim.killController("n0")
		time.Sleep(12 * time.Second)
		if sim.leaseCount("n1")+sim.leaseCount("n2") != 3 {
			t.Error("the dead controller's part was not taken over")
		}
		sim.startController("n0")
		time.Sleep(25 * time.Second)
		for _, label := range []string{"n0", "n1", "n2"} {
			if n := sim.leaseCount(label); n != 1 {
				t.Errorf("%s owns %d parts", label, n)
			}
		}
		sim.waitForAllJobs(3 * time.Minute)
		sim.mu.Lock()
		starts := 0
		for _, agent := range sim.workers {
			starts += agent.Starts
		}
		sim.mu.Unlock()
		if starts > 12 {
			t.Errorf("%d starts of 12 tasks: what ran was lost", starts)
		}
	})
}
