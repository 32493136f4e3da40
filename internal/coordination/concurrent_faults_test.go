package coordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// faultCombination is a combination of two faults listed in docs/concurrent-faults.md. Its run
// function injects both faults and returns an error if they did not coincide, because the test then
// checks nothing.
type faultCombination struct {
	name    string
	prepare func(sim *simulatedCluster)
	run     func(sim *simulatedCluster) error
	// finishWithin is the time after the faults within which all jobs must have ended; 0 means
	// three minutes.
	finishWithin time.Duration
}

// startLongJobs submits n jobs whose tasks run for runTime, and waits until all of them run.
func (sim *simulatedCluster) startLongJobs(n, tasks int, team string, runTime time.Duration) (ids []string) {
	sim.setRunTime(runTime)
	for i := range n {
		s := newJobSpec(fmt.Sprintf("job-%d", 100+i), tasks, team)
		s.EstimateS, s.DeadlineS, s.CPUs = runTime.Seconds(), 0, 2
		sim.submit(s)
		ids = append(ids, s.ID)
	}
	for range 40 {
		time.Sleep(time.Second)
		running := 0
		sim.withLock(func() {
			for _, id := range ids {
				running += len(sim.machinesRunning(id))
			}
		})
		if running == n*tasks {
			return ids
		}
	}
	sim.t.Fatal("not all tasks of the long jobs are running")
	return nil
}

// submitJobsWithPlacementConstraints submits jobs that are, in turn, bound to a named zone, bound
// to any single zone, and spread over zones.
func (sim *simulatedCluster) submitJobsWithPlacementConstraints(count, tasks int, cpus float64) {
	for i := range count {
		s := newJobSpec(fmt.Sprintf("job-%d", i), tasks, "green")
		s.CPUs, s.DeadlineS = cpus, 0
		switch i % 3 {
		case 0:
			s.Zone = "b"
		case 1:
			s.OneZone = true
		case 2:
			s.Spread = true
		}
		sim.submit(s)
	}
}

// powerOffMachinesOf waits until all of the jobs run and condition returns true. condition is
// called with the lock held. The function then powers off the jobs' machines and returns the number
// of jobs that lost machines.
func (sim *simulatedCluster) powerOffMachinesOf(jobs []string, condition func() bool) (hit int) {
	ready := false
	for range 160 {
		time.Sleep(250 * time.Millisecond)
		hit = 0
		sim.withLock(func() {
			for _, id := range jobs {
				if len(sim.machinesRunningAnyOf(id)) > 0 {
					hit++
				}
			}
			ready = hit == len(jobs) && condition()
		})
		if ready {
			break
		}
	}
	if !ready {
		return 0
	}
	sim.withLock(func() {
		for machine := range sim.machinesRunningAnyOf(jobs...) {
			sim.agents[machine].PowerOff()
			delete(sim.agents, machine)
		}
	})
	return hit
}

// faultCombinations are the combinations of docs/concurrent-faults.md. The index of a combination
// determines its seed.
var faultCombinations = []faultCombination{
	{name: "replayed heartbeats reach every controller during a failover", run: func(sim *simulatedCluster) error {
		sim.startLongJobs(3, 4, "green", 40*time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		sim.withLock(func() { sim.duplicatedHeartbeatRate, sim.keepForReplay = 1, true })
		time.Sleep(3 * time.Second)
		// The lease of one machine expires, so that some of the kept heartbeats are from its
		// previous epoch.
		var expired string
		sim.withLock(func() { expired = sim.machinesRunning("job-100")[0] })
		sim.hangMachine(expired, 10*time.Second)
		time.Sleep(11 * time.Second)
		sim.withLock(func() { sim.duplicatedHeartbeatRate = 0 })
		sim.killController(leader)
		sim.waitForLeaseChange(partition)
		sim.replayHeartbeats()
		successor := sim.waitForNewLeader(partition, leader)
		sim.replayHeartbeats()
		sim.startController(leader)
		if n := sim.faultCount("replayed heartbeat"); n < 20 || successor == leader {
			return fmt.Errorf("%d heartbeats replayed, want at least 20; new leader %s, want another one than before", n, successor)
		}
		return nil
	}},
	{name: "duplicated heartbeats arrive late during failovers", run: func(sim *simulatedCluster) error {
		sim.startLongJobs(4, 4, "green", 30*time.Second)
		partition := sim.partitionOf("green")
		sim.withLock(func() { sim.duplicatedHeartbeatRate = 0.6 })
		for range 2 {
			time.Sleep(5 * time.Second)
			leader := sim.leaderOf(partition)
			sim.killController(leader)
			sim.waitForNewLeader(partition, leader)
			sim.startController(leader)
		}
		sim.withLock(func() { sim.duplicatedHeartbeatRate = 0 })
		time.Sleep(14 * time.Second)
		if n := sim.faultCount("replayed heartbeat"); n < 10 {
			return fmt.Errorf("%d heartbeats replayed, want at least 10", n)
		}
		return nil
	}},
	{name: "machines with long tasks receive nothing while the leader is killed", run: func(sim *simulatedCluster) error {
		ids := sim.startLongJobs(3, 4, "green", 60*time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		sim.withLock(func() {
			sim.inboundLost = sim.machinesRunningAnyOf(ids...)
		})
		sim.killController(leader)
		successor := sim.waitForNewLeader(partition, leader)
		unfenced := 0
		sim.onController(successor, func(c *Controller) {
			for _, m := range c.Machines {
				if m.Record.Partition == partition && !m.TokenConfirmed && len(m.Attempts) > 0 {
					unfenced++
				}
			}
		})
		cancelled := sim.cancelAt(successor, ids[0])
		time.Sleep(12 * time.Second)
		sim.withLock(func() { sim.inboundLost = nil })
		sim.startController(leader)
		if unfenced == 0 || !cancelled {
			return fmt.Errorf("%d machines not fenced, want at least 1; cancellation answered: %v, want true", unfenced, cancelled)
		}
		return nil
	}},
	{name: "machines cannot send while the leader is killed", run: func(sim *simulatedCluster) error {
		ids := sim.startLongJobs(3, 4, "green", 60*time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		sim.withLock(func() {
			sim.outboundLost = sim.machinesRunningAnyOf(ids...)
		})
		sim.killController(leader)
		successor := sim.waitForNewLeader(partition, leader)
		time.Sleep(time.Second)
		fenced := 0
		sim.onController(successor, func(c *Controller) {
			for _, m := range c.Machines {
				if m.Record.Partition == partition && m.TokenConfirmed {
					fenced++
				}
			}
		})
		cancelled := sim.cancelAt(successor, ids[0])
		time.Sleep(20 * time.Second) // longer than the machine lease
		left := 0
		sim.withLock(func() {
			left = len(sim.machinesRunning(ids[0]))
			sim.outboundLost = nil
		})
		sim.startController(leader)
		if fenced == 0 || !cancelled || left > 0 {
			return fmt.Errorf("%d machines fenced by commands, cancellation answered: %v, machines that still run tasks of the cancelled job: %d; want at least 1, true and 0", fenced, cancelled, left)
		}
		return nil
	}},
	{name: "a zone with agents and the leader is cut off for longer than the lease", run: func(sim *simulatedCluster) error {
		ids := sim.startLongJobs(4, 4, "green", 90*time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		inside := map[string]bool{}
		sim.withLock(func() {
			for name, agent := range sim.agents {
				inside[name] = agent.Zone == "a"
			}
			sim.dropsMessage = func(from, host string) bool {
				in := from == leader || inside[from]
				to := host == leader || inside[host]
				return in != to
			}
		})
		successor := sim.waitForNewLeader(partition, leader)
		cancelled := sim.cancelAt(successor, ids[0])
		time.Sleep(25 * time.Second)
		sim.withLock(func() { sim.dropsMessage = nil })
		if !cancelled || len(inside) == 0 {
			return fmt.Errorf("cancellation answered: %v, %d machines when the network was cut; want true and at least 1", cancelled, len(inside))
		}
		return nil
	}},
	{name: "late transactions of a leader that restarts", run: func(sim *simulatedCluster) error {
		partition := sim.partitionOf("green")
		// All writes of this job's record are delivered late, and only the first of them to
		// arrive is applied.
		sim.withLock(func() { sim.lateTransactionRate, sim.lateTransactionKind = 1, writeOfJob })
		sim.group.Go(func() { sim.submit(newJobSpec("job-99", 3, "green")) })
		for range 30 {
			if time.Sleep(500 * time.Millisecond); sim.faultCount("late transaction applied") > 0 {
				break
			}
		}
		sim.withLock(func() { sim.lateTransactionRate, sim.lateTransactionKind = 0.5, "" })
		for i := range 8 {
			sim.group.Go(func() { sim.submit(newJobSpec(fmt.Sprintf("job-%d", i), 3, "green")) })
		}
		for range 3 {
			time.Sleep(4 * time.Second)
			if leader := sim.leaderOf(partition); leader != "" {
				sim.killController(leader)
				time.Sleep(300 * time.Millisecond)
				sim.startController(leader)
			}
		}
		time.Sleep(4 * time.Second)
		sim.withLock(func() { sim.lateTransactionRate = 0 })
		time.Sleep(13 * time.Second)
		if done, refused := sim.faultCount("late transaction applied"), sim.faultCount("late transaction refused"); done < 1 || refused < 3 {
			return fmt.Errorf("%d late transactions applied, %d refused, want at least 1 and 3", done, refused)
		}
		return nil
	}, finishWithin: 4 * time.Minute},
	{name: "responses to lease releases and acquisitions are lost in handovers while jobs are cancelled", run: func(sim *simulatedCluster) error {
		ids := sim.startLongJobs(12, 1, "green", 60*time.Second)
		partition := sim.partitionOf("green")
		betweenLeaders, lost := 0, 0
		for round := range 3 {
			leader := sim.leaderOf(partition)
			if leader == "" {
				leader = sim.waitForNewLeader(partition, "")
			}
			sim.withLock(func() { sim.lateTransactionRate, sim.loseResponsesOnly = 0.5, true })
			sim.group.Go(func() { sim.handOverAndRestart(leader) })
			for i := range 4 {
				time.Sleep(40 * time.Millisecond)
				if i == 1 {
					sim.withLock(func() { sim.lateTransactionRate = 0 })
				}
				if sim.leaderOf(partition) != leader {
					betweenLeaders++
				}
				for _, l := range sim.otherControllers(leader) {
					if sim.cancelAt(l, ids[round*4+i]) {
						break
					}
				}
			}
			sim.withLock(func() { lost += sim.faultCounts["late transaction applied"] })
			time.Sleep(8 * time.Second)
		}
		if betweenLeaders == 0 || lost == 0 {
			return fmt.Errorf("%d cancellations requested between two leaders, %d responses to transactions lost, want at least 1 of each", betweenLeaders, lost)
		}
		return nil
	}},
	{name: "handover and back, all controllers are killed, one restarts within a second", run: func(sim *simulatedCluster) error {
		sim.startLongJobs(3, 3, "green", 40*time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		sim.handOverAndRestart(leader)
		successor := sim.waitForNewLeader(partition, leader)
		sim.handOverAndRestart(successor)
		for _, l := range sim.otherControllers("") {
			sim.killController(l)
		}
		time.Sleep(500 * time.Millisecond)
		sim.startController(successor)
		time.Sleep(8 * time.Second)
		leaderAlone := sim.leaderOf(partition)
		for _, l := range allControllers {
			if l != successor {
				sim.startController(l)
			}
		}
		if leaderAlone != successor {
			return fmt.Errorf("with one controller running, %q leads the partition, want %s", leaderAlone, successor)
		}
		return nil
	}},
	{name: "all controllers are down for longer than the lease, one restarts a second before the others", run: func(sim *simulatedCluster) error {
		sim.startLongJobs(3, 4, "green", 40*time.Second)
		epochSum := func() (n uint64) {
			sim.forEachAgent(func(agent *agent.Agent) { n += agent.Epoch })
			return n
		}
		before := epochSum()
		for _, l := range sim.otherControllers("") {
			sim.killController(l)
		}
		time.Sleep(settings.Seconds(sim.settings.Params.AgentTimes.LeaseS) + 3*time.Second)
		for _, l := range []string{"n1", "n0", "n2"} {
			sim.startController(l)
			time.Sleep(time.Second)
		}
		if after := epochSum(); after <= before {
			return fmt.Errorf("no epoch ended: the sum of epochs was %d before and %d after the outage", before, after)
		}
		return nil
	}},
	{name: "machines boot before their records are written, and the cluster leader is killed", prepare: func(sim *simulatedCluster) { sim.bootDelay = 300 * time.Millisecond }, run: func(sim *simulatedCluster) error {
		sim.withLock(func() { sim.lateTransactionRate, sim.lateTransactionKind = 1, writeOfMachine })
		for i := range 4 {
			sim.group.Go(func() { sim.submit(newJobSpec(fmt.Sprintf("job-%d", i), 6, "green")) })
		}
		withoutRecord := 0
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			sim.withLock(func() {
				for name := range sim.agents {
					if _, ok := sim.state.Items["w/m/"+name]; !ok {
						withoutRecord++
					}
				}
			})
		}
		leader := sim.clusterLeader()
		if leader != "" {
			sim.killController(leader)
		}
		time.Sleep(6 * time.Second)
		sim.withLock(func() { sim.lateTransactionRate, sim.lateTransactionKind = 0, "" })
		if leader != "" {
			sim.startController(leader)
		}
		if withoutRecord == 0 || leader == "" {
			return fmt.Errorf("running machines had no record in %d samples, want at least 1; cluster leader %q", withoutRecord, leader)
		}
		return nil
	}, finishWithin: 4 * time.Minute},
	{name: "tasks of small jobs end before and after two failovers", run: func(sim *simulatedCluster) error {
		partition := sim.partitionOf("green")
		sim.withLock(func() {
			sim.taskRunTime = func(_ string, task int, _ string) time.Duration { return time.Duration(6+14*task) * time.Second }
		})
		for i := range 6 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 2+i%2, "green")
			s.DeadlineS = 0
			sim.submit(s)
		}
		jobsDone := func() (partly, fully int) {
			sim.withLock(func() {
				for _, submitted := range sim.jobs {
					if n := len(submitted.tasksDone); n == submitted.spec.Tasks {
						fully++
					} else if n > 0 {
						partly++
					}
				}
			})
			return partly, fully
		}
		failoversAmidJobs := 0
		for range 2 {
			for range 60 {
				time.Sleep(500 * time.Millisecond)
				if partly, _ := jobsDone(); partly >= 2 {
					break
				}
			}
			if partly, _ := jobsDone(); partly >= 2 {
				failoversAmidJobs++
			}
			leader := sim.leaderOf(partition)
			sim.killController(leader) // the latest task ends may not be recorded yet
			sim.waitForNewLeader(partition, leader)
			sim.startController(leader)
			time.Sleep(8 * time.Second)
		}
		if failoversAmidJobs == 0 {
			return fmt.Errorf("at no failover were two or more jobs partly done")
		}
		return nil
	}},
	{name: "cancellations race with the ends of last tasks", run: func(sim *simulatedCluster) error {
		sim.withLock(func() { sim.cancelAtEnd = func(string) bool { return true } })
		for i := range 20 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 1+i%3, allTeams[i%3])
			sim.submit(s)
			time.Sleep(300 * time.Millisecond)
		}
		for range 90 {
			if time.Sleep(time.Second); sim.faultCount("cancelled at job end") >= 10 {
				break
			}
		}
		if n := sim.faultCount("cancelled at job end"); n < 10 {
			return fmt.Errorf("%d cancellations at the end of a job, want at least 10", n)
		}
		return nil
	}},
	{name: "ten failovers in two minutes, also in a state store outage", run: func(sim *simulatedCluster) error {
		sim.startLongJobs(3, 4, "green", 30*time.Second)
		partition := sim.partitionOf("green")
		changes := 0
		for i := range 10 {
			if i == 4 {
				sim.setOutage(true)
			}
			if i == 6 {
				sim.setOutage(false)
			}
			leader := sim.leaderOf(partition)
			if leader == "" {
				leader = fmt.Sprint("n", i%3)
			}
			sim.killController(leader)
			time.Sleep(4 * time.Second)
			sim.startController(leader)
			time.Sleep(8 * time.Second)
			if l := sim.leaderOf(partition); l != leader && l != "" {
				changes++
			}
		}
		if changes < 5 {
			return fmt.Errorf("%d failovers, want at least 5", changes)
		}
		return nil
	}, finishWithin: 4 * time.Minute},
	{name: "jobs bound to a zone, job arrays included, lose machines", run: func(sim *simulatedCluster) error {
		sim.setRunTime(20 * time.Second)
		sim.submitJobsWithPlacementConstraints(6, 4, 2)
		// One job of each placement constraint loses all its machines while its tasks run.
		ids := []string{"job-0", "job-2", "job-4"}
		hit := sim.powerOffMachinesOf(ids, func() bool {
			return !slices.ContainsFunc(ids, func(id string) bool { return len(sim.jobs[id].tasksDone) > 0 })
		})
		if hit < len(ids) {
			return fmt.Errorf("%d of %d jobs lost machines, want all", hit, len(ids))
		}
		return nil
	}},
	{name: "four one-task jobs a second, a quarter of them cancelled, and the leader is killed", prepare: func(sim *simulatedCluster) {
		sim.cloud.Capacity = 40
		sim.settings.Params.State = settings.StateStoreLimits{RPS: 300, WriteRPS: 90, ValueKB: 8, TxnOps: 12}
	}, run: func(sim *simulatedCluster) error {
		partition := sim.partitionOf("green")
		cancelled := 0
		for i := range 160 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 1, "green")
			s.CPUs, s.DeadlineS = 1, 0
			sim.group.Go(func() { sim.submit(s) })
			if i >= 8 && i%4 == 0 {
				cancelled++
				sim.group.Go(func() { sim.cancelUntilAnswered(fmt.Sprintf("job-%d", i-8), i) })
			}
			if i == 80 {
				leader := sim.leaderOf(partition)
				sim.group.Go(func() { sim.restartController(leader, time.Second) })
			}
			time.Sleep(250 * time.Millisecond)
		}
		if cancelled < 30 {
			return fmt.Errorf("%d cancellations were requested, want at least 30", cancelled)
		}
		return nil
	}},
	{name: "a chain of dependencies is cancelled at its root while its leader is killed", run: func(sim *simulatedCluster) error {
		partition := sim.partitionOf("green")
		sim.startLongJobs(1, 1, "green", 90*time.Second)
		for i := range 6 {
			dependency := fmt.Sprintf("job-%d", i-1)
			if i == 0 {
				dependency = "job-100"
			}
			sim.submit(newDependentJobSpec(fmt.Sprintf("job-%d", i), 1, "green", dependency))
		}
		leader := sim.leaderOf(partition)
		other := sim.otherControllers(leader)[0]
		if !sim.cancelAt(other, "job-100") {
			return fmt.Errorf("the cancellation was not answered")
		}
		sim.killController(leader) // while the cancellation spreads along the chain
		pending := 0
		sim.withLock(func() {
			for i := range 6 {
				if _, ok := sim.state.Items[fmt.Sprintf("w/j/job-%d/final", i)]; !ok {
					pending++
				}
			}
		})
		sim.waitForNewLeader(partition, leader)
		sim.startController(leader)
		if pending == 0 {
			return fmt.Errorf("the whole chain was cancelled before the kill")
		}
		return nil
	}},
	{name: "delayed commands arrive after the machine has a new leader", run: func(sim *simulatedCluster) error {
		ids := sim.startLongJobs(2, 3, "green", 40*time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		withheld := map[string][]byte{}
		sim.withLock(func() {
			sim.interceptCommands = func(machine string, o *protocol.CommandBatch) {
				if len(o.Commands) > 0 && withheld[machine] == nil {
					withheld[machine] = protocol.Encode(*o)
					o.Token = 0 // so that the agent does not execute it now
				}
			}
		})
		s := newJobSpec("job-1", 6, "green")
		sim.submit(s)
		sim.cancelAt(leader, ids[0])
		time.Sleep(2 * time.Second)
		sim.killController(leader)
		sim.withLock(func() { sim.interceptCommands = nil })
		sim.waitForNewLeader(partition, leader)
		time.Sleep(2 * time.Second)
		refused := 0
		for machine, body := range withheld {
			var agent *agent.Agent
			sim.withLock(func() { agent = sim.agents[machine] })
			if agent != nil {
				if resp := sim.deliverToAgent(agent, "/orders", body); resp != nil && resp.Status == 409 {
					refused++
				}
			}
		}
		sim.startController(leader)
		if refused == 0 {
			return fmt.Errorf("none of %d withheld messages was refused by its machine", len(withheld))
		}
		return nil
	}},
}

// Each combination of docs/concurrent-faults.md violates no safety rule, and all jobs end in time.
func TestConcurrentFaults(t *testing.T) {
	t.Parallel()
	runFaultCombinations(t, 400, faultCombinations)
}

// runFaultCombinations runs each combination in a simulated cluster of its own, with
// consecutive seeds.
func runFaultCombinations(t *testing.T, seed uint64, combinations []faultCombination) {
	t.Helper()
	for i, combination := range combinations {
		t.Run(strings.ReplaceAll(combination.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			prepare := func(sim *simulatedCluster) {
				sim.cloud.Capacity = 16
				if combination.prepare != nil {
					combination.prepare(sim)
				}
			}
			runConfiguredSimulation(t, seed+uint64(i), prepare, func(sim *simulatedCluster) {
				time.Sleep(2 * time.Second)
				if err := combination.run(sim); err != nil {
					t.Errorf("the faults did not coincide: %v", err)
				}
				sim.withLock(func() { sim.cancelAtEnd, sim.lateTransactionRate, sim.duplicatedHeartbeatRate = nil, 0, 0 })
				limit := combination.finishWithin
				if limit == 0 {
					limit = 3 * time.Minute
				}
				sim.waitForAllJobs(limit)
			})
		})
	}
}
