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

// Commands of a former leader must be refused after the new leader has reached the agent, because a
// takeover raises every machine's fencing token.
func TestCommandsOfAFormerLeaderAreRefused(t *testing.T) {
	t.Parallel()
	runSimulation(t, 13, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sent := map[string]protocol.CommandBatch{}
		sim.withLock(func() { sim.interceptCommands = func(name string, b *protocol.CommandBatch) { sent[name] = *b } })
		sim.setRunTime(time.Minute)
		for i, team := range allTeams {
			sim.submit(newJobSpec(fmt.Sprintf("job-%d", i), 2, team))
		}
		time.Sleep(15 * time.Second)
		sim.mu.Lock()
		sim.interceptCommands = nil
		machines := len(sent)
		sim.mu.Unlock()
		if machines == 0 {
			t.Fatal("no commands were sent")
		}
		for _, label := range allControllers {
			sim.killController(label)
		}
		sim.startController("n1")
		n := sim.controllerOf("n1")
		// An agent accepts the former leader's token until the successor has reached it.
		for fenced := 0; fenced < len(sent); time.Sleep(100 * time.Millisecond) {
			fenced = 0
			n.loop.Do(func() {
				for name := range sent {
					if m := n.Machines[name]; m != nil && m.TokenConfirmed {
						fenced++
					}
				}
			})
		}
		for name, batch := range sent {
			sim.mu.Lock()
			agent := sim.agents[name]
			sim.mu.Unlock()
			if resp := sim.deliverToAgent(agent, "/orders", protocol.Encode(batch)); resp.Status == 200 {
				t.Errorf("%s executed a command from before the takeover", name)
			}
		}
		sim.waitForAllJobs(3 * time.Minute)
	})
}

// A leader that cannot reach the state store continues to answer heartbeats, so that its
// agents' leases do not expire, but stops early enough for a task cancelled through a successor
// to end within cancel_s.
func TestLeaderAnswersHeartbeatsOnlyWithinItsBound(t *testing.T) {
	t.Parallel()
	runSimulation(t, 15, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.setRunTime(time.Hour)
		for i, team := range allTeams {
			sim.submit(newJobSpec(fmt.Sprintf("job-%d", i), 1, team))
		}
		time.Sleep(12 * time.Second)
		sim.setOutage(true)
		// The bound is cancel_s − lease_s less a margin of two seconds: 25 − 8 − 2 = 15.
		answered := func() (n int) {
			for _, label := range allControllers {
				sim.mu.Lock()
				var heartbeats []*protocol.Heartbeat
				for _, agent := range sim.agents {
					heartbeats = append(heartbeats, agent.Heartbeat())
				}
				sim.mu.Unlock()
				for _, r := range heartbeats {
					if sim.sendRequest(label, "POST", "/checkin", protocol.Encode(r)).Status == 200 {
						n++
					}
				}
			}
			return n
		}
		time.Sleep(11 * time.Second)
		if answered() == 0 {
			t.Error("no heartbeat was answered 11 s into the outage")
		}
		time.Sleep(6 * time.Second)
		if n := answered(); n > 0 {
			t.Errorf("%d heartbeats were answered 17 s into the outage, want none", n)
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
			t.Errorf("submission during the outage: status %d, Retry-After %d, want 503 with Retry-After", resp.Status, resp.RetryAfter)
		}
		if resp := sim.sendRequest("n1", "GET", "/submissions/job-1", nil); resp.Status != 503 {
			t.Errorf("poll of an unfinished job during the outage: status %d, want 503", resp.Status)
		}
		time.Sleep(8 * time.Second)
		sim.mu.Lock()
		for _, agent := range sim.agents {
			if agent.Epoch != 1 {
				t.Errorf("%s lost its lease during the outage", agent.Name)
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
		for _, agent := range sim.agents {
			r = agent.Heartbeat()
		}
		sim.mu.Unlock()
		leaders := map[string]bool{}
		for _, label := range allControllers {
			resp := sim.sendRequest(label, "POST", "/checkin", protocol.Encode(r))
			if resp.Status == 421 {
				var h protocol.AssignedController
				panicOnError(protocol.Decode(resp.Body, &h))
				leaders[h.Controller] = true
				if h.Controller == label {
					t.Errorf("%s redirects the agent to itself", label)
				}
			}
		}
		if len(leaders) != 1 {
			t.Errorf("the agent is redirected to %v, want one leader", leaders)
		}
	})
}

// An unreachable machine may still run its tasks until its lease expires. The tasks must not be
// started elsewhere before.
func TestSilentMachineKeepsItsTasksUntilItsLeaseExpires(t *testing.T) {
	t.Parallel()
	runSimulation(t, 11, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.taskRunTime = func(string, int, string) time.Duration { return 25 * time.Second }
		sim.submit(newJobSpec("job-1", 12, "blue"))
		time.Sleep(15 * time.Second)
		sim.mu.Lock()
		unreachable := ""
		for name, agent := range sim.agents {
			if len(agent.Tasks) > 0 {
				unreachable = name
			}
		}
		sim.dropsMessage = func(_, host string) bool { return host == unreachable }
		sim.mu.Unlock()
		if unreachable == "" {
			t.Fatal("no machine runs a task")
		}
		time.Sleep(20 * time.Second)
		sim.withLock(func() { sim.dropsMessage = nil })
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
		sim.withLock(func() {
			sim.dropsMessage = func(from, host string) bool { return from == "n0" && strings.HasPrefix(host, "m-") }
		})
		time.Sleep(25 * time.Second)
		led := 0
		n := sim.controllers["n0"].controller
		n.loop.Do(func() {
			for _, p := range n.Partitions {
				if p.Held {
					led++
				}
			}
		})
		machines := 0
		n.loop.Do(func() { machines = len(n.Machines) })
		if led > 0 && machines > 0 {
			t.Logf("n0 still leads %d partitions and has %d machine records", led, machines)
		}
		sim.waitForAllJobs(2 * time.Minute)
		sim.withLock(func() { sim.dropsMessage = nil })
	})
}

// A new leader has not received heartbeats of its machines yet. It must not delete the machines as
// if they had never booted, and must not take the time since the takeover for the run time of an
// inherited task.
func TestTakeoverKeepsMachinesAndEstimates(t *testing.T) {
	t.Parallel()
	runSimulation(t, 19, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.setRunTime(60 * time.Second)
		for i, team := range allTeams {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 6, team)
			s.EstimateS, s.DeadlineS = 60, 200
			sim.submit(s)
		}
		time.Sleep(55 * time.Second) // longer than any boot takes
		sim.mu.Lock()
		before := maps.Clone(sim.cloud.Machines)
		sim.mu.Unlock()
		// The cluster leader is not restarted: it recorded the machines long ago.
		leader := sim.clusterLeader()
		if leader == "" {
			t.Fatal("no cluster leader")
		}
		for _, label := range allControllers {
			if label != leader {
				sim.killController(label)
				sim.startController(label)
			}
		}
		// For a moment, the new leaders and their agents cannot reach each other.
		sim.mu.Lock()
		sim.dropsMessage = func(from, host string) bool {
			return from != leader && strings.HasPrefix(host, "m-")
		}
		sim.mu.Unlock()
		time.Sleep(3 * time.Second)
		sim.withLock(func() { sim.dropsMessage = nil })
		time.Sleep(3 * time.Second)
		sim.mu.Lock()
		for name := range before {
			if _, ok := sim.cloud.Machines[name]; !ok {
				t.Errorf("%s was deleted during the takeover", name)
			}
		}
		sim.mu.Unlock()
		if len(before) == 0 {
			t.Error("no machines before the takeover")
		}
		time.Sleep(8 * time.Second)
		for _, label := range allControllers {
			if label == leader {
				continue
			}
			n := sim.controllerOf(label)
			n.loop.Do(func() {
				// Run times are learned from replicated start times; attempts with unknown
				// start times are ignored.
				for class, correction := range n.scheduler.Corrections {
					if math.Abs(correction.Ratio-1) > 0.01 {
						t.Errorf("class %s has a run-time correction of %v after inherited tasks, want 1", class, correction.Ratio)
					}
				}
				for _, m := range n.Machines {
					if m.Quarantined {
						t.Errorf("%s was quarantined", m.Name)
					}
				}
			})
		}
		sim.waitForAllJobs(3 * time.Minute)
	})
}

// An inherited attempt whose agent epoch ended before the takeover must not block its task forever,
// even if the new leader had already received the later epoch.
func TestInheritedAttemptOfAnOlderEpochIsOver(t *testing.T) {
	t.Parallel()
	set := newSimulatedCluster(t, 1).settings
	set.Label = "n0"
	c := newTestController(t.Context(), &set, settings.DefaultOperator())
	p := c.Partitions[0]
	p.Held, p.Ready, p.LeaseRevision = true, true, 5
	now := time.Now()
	c.agents.ApplyMachineRecord("m-1", storage.Machine{Type: "small", Zone: "a"}, 3, now)
	m := c.Machines["m-1"]
	m.Epoch, m.HasReported = 2, true
	j := c.addLoadedJob("job-1")
	a := addLiveAttempt(j, m, 1, cluster.AttemptCommitted)
	a.Inherited = true
	c.agents.ApplyHeartbeat(m, &protocol.Heartbeat{Machine: "m-1", Epoch: 2, Sequence: 9, Token: 5}, now)
	if len(j.LiveAttempts) != 0 || len(j.Pending) != 1 {
		t.Errorf("live attempts %v, pending tasks %v; want the task pending again", j.LiveAttempts, j.Pending)
	}
}

// Controllers that start together each acquire one partition, instead of the first one
// acquiring all of them.
func TestPartitionsAreSpreadAtStartup(t *testing.T) {
	t.Parallel()
	runSimulation(t, 20, func(sim *simulatedCluster) {
		time.Sleep(4 * time.Second)
		for _, label := range allControllers {
			if led := sim.leaseCount(label); led != 1 {
				t.Errorf("%s leads %d partitions, want 1", label, led)
			}
		}
	})
}

// After a takeover a controller must not keep leading two partitions, and handing one back must
// not restart running tasks.
func TestPartitionsAreHandedBack(t *testing.T) {
	t.Parallel()
	runSimulation(t, 22, func(sim *simulatedCluster) {
		sim.taskRunTime = func(string, int, string) time.Duration { return 90 * time.Second }
		time.Sleep(4 * time.Second)
		for i, team := range allTeams {
			sim.submit(newJobSpec(fmt.Sprintf("job-%d", i), 4, team))
		}
		time.Sleep(25 * time.Second)
		sim.killController("n0")
		time.Sleep(12 * time.Second)
		if sim.leaseCount("n1")+sim.leaseCount("n2") != 3 {
			t.Error("the killed controller's partition was not taken over")
		}
		sim.startController("n0")
		time.Sleep(25 * time.Second)
		for _, label := range allControllers {
			if n := sim.leaseCount(label); n != 1 {
				t.Errorf("%s leads %d partitions, want 1", label, n)
			}
		}
		sim.waitForAllJobs(3 * time.Minute)
		sim.mu.Lock()
		starts := 0
		for _, agent := range sim.agents {
			starts += agent.TasksStarted
		}
		sim.mu.Unlock()
		if starts > 12 {
			t.Errorf("%d starts of 12 tasks, want 12: running tasks were restarted", starts)
		}
	})
}
