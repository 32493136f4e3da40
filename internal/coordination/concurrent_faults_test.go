package coordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/standin/worker"
)

// faultCombination is a meeting of two troubles, as docs/meetings.md lists them. Its play brings
// both about and says, if they missed each other, how: a test in which the second trouble
// missed the first shows nothing.
type faultCombination struct {
	name    string
	prepare func(sim *simulatedCluster)
	run     func(sim *simulatedCluster) error
	// finishWithin is how long everything may take once the troubles are over.
	finishWithin time.Duration
}

// startLongJobs submits jobs that run for a while, and waits until they do.
func (sim *simulatedCluster) startLongJobs(n, tasks int, team string, run time.Duration) (ids []string) {
	sim.withLock(func() { sim.runTime = func(string, int, string) time.Duration { return run } })
	for i := range n {
		s := newJobSpec(fmt.Sprintf("job-%d", 100+i), tasks, team)
		s.EstimateS, s.DeadlineS, s.CPUs = run.Seconds(), 0, 2
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
	sim.t.Fatal("the long jobs don't run")
	return nil
}

// submitPlacementBoundJobs submits jobs that are bound to a zone by name, to any one zone, or apart.
func (sim *simulatedCluster) submitPlacementBoundJobs(count, tasks int, cpus float64) {
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

// powerOffMachinesOf waits until all of some jobs run and something else holds, which is asked
// with the lock held, and cuts the power of their machines. It says how many ran.
func (sim *simulatedCluster) powerOffMachinesOf(jobs []string, holds func() bool) (hit int) {
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
			ready = hit == len(jobs) && holds()
		})
		if ready {
			break
		}
	}
	if !ready {
		return 0
	}
	sim.withLock(func() {
		for m := range sim.machinesRunningAnyOf(jobs...) {
			sim.workers[m].Off()
			delete(sim.workers, m)
		}
	})
	return hit
}

var faultCombinations = []faultCombination{
	{name: "old reports reach every controller as a new leader begins", run: func(sim *simulatedCluster) error {
		sim.startLongJobs(3, 4, "green", 40*time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		sim.withLock(func() { sim.duplicatedHeartbeatShare, sim.keepForReplay = 1, true })
		time.Sleep(3 * time.Second)
		// One machine's session ends, so that some of them are of the one before.
		var slept string
		sim.withLock(func() { slept = sim.machinesRunning("job-100")[0] })
		sim.hangMachine(slept, 10*time.Second)
		time.Sleep(11 * time.Second)
		sim.withLock(func() { sim.duplicatedHeartbeatShare = 0 })
		sim.killController(leader)
		sim.waitForLeaseChange(partition)
		sim.replayHeartbeats()
		successor := sim.waitForNewLeader(partition, leader)
		sim.replayHeartbeats()
		sim.startController(leader)
		if n := sim.faultCount("old report"); n < 20 || successor == leader {
			return fmt.Errorf("%d old reports, new owner %s", n, successor)
		}
		return nil
	}},
	{name: "copies of reports come late while owners change", run: func(sim *simulatedCluster) error {
		sim.startLongJobs(4, 4, "green", 30*time.Second)
		partition := sim.partitionOf("green")
		sim.withLock(func() { sim.duplicatedHeartbeatShare = 0.6 })
		for range 2 {
			time.Sleep(5 * time.Second)
			leader := sim.leaderOf(partition)
			sim.killController(leader)
			sim.waitForNewLeader(partition, leader)
			sim.startController(leader)
		}
		sim.withLock(func() { sim.duplicatedHeartbeatShare = 0 })
		time.Sleep(14 * time.Second)
		if n := sim.faultCount("old report"); n < 10 {
			return fmt.Errorf("%d old reports", n)
		}
		return nil
	}},
	{name: "deaf machines with long tasks while the leader ends", run: func(sim *simulatedCluster) error {
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
				if m.Record.Partition == partition && !m.Fenced && len(m.Attempts) > 0 {
					unfenced++
				}
			}
		})
		withdrawn := sim.cancelAt(successor, ids[0])
		time.Sleep(12 * time.Second)
		sim.withLock(func() { sim.inboundLost = nil })
		sim.startController(leader)
		if unfenced == 0 || !withdrawn {
			return fmt.Errorf("%d machines not fenced, withdrawn %v", unfenced, withdrawn)
		}
		return nil
	}},
	{name: "mute machines while the leader ends", run: func(sim *simulatedCluster) error {
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
				if m.Record.Partition == partition && m.Fenced {
					fenced++
				}
			}
		})
		withdrawn := sim.cancelAt(successor, ids[0])
		time.Sleep(20 * time.Second) // longer than the lease
		left := 0
		sim.withLock(func() {
			left = len(sim.machinesRunning(ids[0]))
			sim.outboundLost = nil
		})
		sim.startController(leader)
		if fenced == 0 || !withdrawn || left > 0 {
			return fmt.Errorf("%d machines fenced by orders, withdrawn %v, %d of its tasks left", fenced, withdrawn, left)
		}
		return nil
	}},
	{name: "a zone with workers and the owner is cut off for longer than the lease", run: func(sim *simulatedCluster) error {
		ids := sim.startLongJobs(4, 4, "green", 90*time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		inside := map[string]bool{}
		sim.withLock(func() {
			for name, agent := range sim.workers {
				inside[name] = agent.Zone == "a"
			}
			sim.cut = func(from, host string) bool {
				in := from == leader || inside[from]
				to := host == leader || inside[host]
				return in != to
			}
		})
		successor := sim.waitForNewLeader(partition, leader)
		withdrawn := sim.cancelAt(successor, ids[0])
		time.Sleep(25 * time.Second)
		sim.withLock(func() { sim.cut = nil })
		if !withdrawn || len(inside) == 0 {
			return fmt.Errorf("withdrawn %v, %d machines", withdrawn, len(inside))
		}
		return nil
	}},
	{name: "late transactions of an owner that ends and comes back", run: func(sim *simulatedCluster) error {
		partition := sim.partitionOf("green")
		// Of one job all records are written late, of which the first that comes is done.
		sim.withLock(func() { sim.lateTransactionShare, sim.lateTransactionKind = 1, "job" })
		sim.group.Go(func() { sim.submit(newJobSpec("job-99", 3, "green")) })
		for range 30 {
			if time.Sleep(500 * time.Millisecond); sim.faultCount("late write done") > 0 {
				break
			}
		}
		sim.withLock(func() { sim.lateTransactionShare, sim.lateTransactionKind = 0.5, "" })
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
		sim.withLock(func() { sim.lateTransactionShare = 0 })
		time.Sleep(13 * time.Second)
		if done, refused := sim.faultCount("late write done"), sim.faultCount("late write refused"); done < 1 || refused < 3 {
			return fmt.Errorf("%d late writes done, %d refused", done, refused)
		}
		return nil
	}, finishWithin: 4 * time.Minute},
	{name: "answers to releases and claims are lost in hand-overs, and jobs are called off between", run: func(sim *simulatedCluster) error {
		ids := sim.startLongJobs(12, 1, "green", 60*time.Second)
		partition := sim.partitionOf("green")
		between, lost := 0, 0
		for round := range 3 {
			leader := sim.leaderOf(partition)
			if leader == "" {
				leader = sim.waitForNewLeader(partition, "")
			}
			sim.withLock(func() { sim.lateTransactionShare, sim.loseAnswersOnly = 0.5, true })
			sim.group.Go(func() { sim.handOverAndRestart(leader) })
			for i := range 4 {
				time.Sleep(40 * time.Millisecond)
				if i == 1 {
					sim.withLock(func() { sim.lateTransactionShare = 0 })
				}
				if sim.leaderOf(partition) != leader {
					between++
				}
				for _, l := range sim.otherControllers(leader) {
					if sim.cancelAt(l, ids[round*4+i]) {
						break
					}
				}
			}
			sim.withLock(func() { lost += sim.faultCounts["late write done"] })
			time.Sleep(8 * time.Second)
		}
		if between == 0 || lost == 0 {
			return fmt.Errorf("%d withdrawals between two owners, %d answers lost", between, lost)
		}
		return nil
	}},
	{name: "hand-over and back, all end, one returns within a second", run: func(sim *simulatedCluster) error {
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
		alone := sim.leaderOf(partition)
		for _, l := range []string{"n0", "n1", "n2"} {
			if l != successor {
				sim.startController(l)
			}
		}
		if alone != successor {
			return fmt.Errorf("%q decides alone, want %s", alone, successor)
		}
		return nil
	}},
	{name: "all are away for longer than the lease, one is back a second before the others", run: func(sim *simulatedCluster) error {
		sim.startLongJobs(3, 4, "green", 40*time.Second)
		sessions := func() (n uint64) {
			sim.forEachWorker(func(agent *worker.Worker) { n += agent.Session })
			return n
		}
		before := sessions()
		for _, l := range sim.otherControllers("") {
			sim.killController(l)
		}
		time.Sleep(settings.Seconds(sim.settings.Params.Workers.LeaseS) + 3*time.Second)
		for _, l := range []string{"n1", "n0", "n2"} {
			sim.startController(l)
			time.Sleep(time.Second)
		}
		if after := sessions(); after <= before {
			return fmt.Errorf("no session ended: %d, %d", before, after)
		}
		return nil
	}},
	{name: "machines are up at once while their records lag, and the leader ends", prepare: func(sim *simulatedCluster) { sim.bootDelay = 300 * time.Millisecond }, run: func(sim *simulatedCluster) error {
		sim.withLock(func() { sim.lateTransactionShare, sim.lateTransactionKind = 1, "machine" })
		for i := range 4 {
			sim.group.Go(func() { sim.submit(newJobSpec(fmt.Sprintf("job-%d", i), 6, "green")) })
		}
		early := 0
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			sim.withLock(func() {
				for name := range sim.workers {
					if _, ok := sim.state.Items["w/m/"+name]; !ok {
						early++
					}
				}
			})
		}
		leader := ""
		for _, l := range []string{"n0", "n1", "n2"} {
			sim.onController(l, func(c *Controller) {
				if c.Leadership.Held {
					leader = l
				}
			})
		}
		if leader != "" {
			sim.killController(leader)
		}
		time.Sleep(6 * time.Second)
		sim.withLock(func() { sim.lateTransactionShare, sim.lateTransactionKind = 0, "" })
		if leader != "" {
			sim.startController(leader)
		}
		if early == 0 || leader == "" {
			return fmt.Errorf("machines seen up without a record %d times, leader %q", early, leader)
		}
		return nil
	}, finishWithin: 4 * time.Minute},
	{name: "jobs of two and three tasks end on both sides of two changes of owner", run: func(sim *simulatedCluster) error {
		partition := sim.partitionOf("green")
		sim.withLock(func() {
			sim.runTime = func(_ string, task int, _ string) time.Duration { return time.Duration(6+14*task) * time.Second }
		})
		for i := range 6 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 2+i%2, "green")
			s.DeadlineS = 0
			sim.submit(s)
		}
		ended := func() (some, all int) {
			sim.withLock(func() {
				for _, submitted := range sim.jobs {
					if n := len(submitted.tasksDone); n == submitted.spec.Tasks {
						all++
					} else if n > 0 {
						some++
					}
				}
			})
			return some, all
		}
		crossed := 0
		for range 2 {
			for range 60 {
				time.Sleep(500 * time.Millisecond)
				if some, _ := ended(); some >= 2 {
					break
				}
			}
			if some, _ := ended(); some >= 2 {
				crossed++
			}
			leader := sim.leaderOf(partition)
			sim.killController(leader) // the last ends may not be on record yet
			sim.waitForNewLeader(partition, leader)
			sim.startController(leader)
			time.Sleep(8 * time.Second)
		}
		if crossed == 0 {
			return fmt.Errorf("no job was half done at a change")
		}
		return nil
	}},
	{name: "withdrawals meet the ends of last tasks", run: func(sim *simulatedCluster) error {
		sim.withLock(func() { sim.cancelAtEnd = func(string) bool { return true } })
		for i := range 20 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 1+i%3, []string{"red", "blue", "green"}[i%3])
			sim.submit(s)
			time.Sleep(300 * time.Millisecond)
		}
		for range 90 {
			if time.Sleep(time.Second); sim.faultCount("cancelled at the end") >= 10 {
				break
			}
		}
		if n := sim.faultCount("cancelled at the end"); n < 10 {
			return fmt.Errorf("%d withdrawals at the end", n)
		}
		return nil
	}},
	{name: "owners change ten times in two minutes, also in an outage", run: func(sim *simulatedCluster) error {
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
			return fmt.Errorf("%d changes", changes)
		}
		return nil
	}, finishWithin: 4 * time.Minute},
	{name: "jobs bound to one zone, arrays too, lose machines", run: func(sim *simulatedCluster) error {
		sim.withLock(func() { sim.runTime = func(string, int, string) time.Duration { return 20 * time.Second } })
		sim.submitPlacementBoundJobs(6, 4, 2)
		// One job of each kind loses all its machines, while its tasks run.
		bound := []string{"job-0", "job-2", "job-4"}
		hit := sim.powerOffMachinesOf(bound, func() bool {
			return !slices.ContainsFunc(bound, func(id string) bool { return len(sim.jobs[id].tasksDone) > 0 })
		})
		if hit < len(bound) {
			return fmt.Errorf("%d of %d kinds of jobs lost machines", hit, len(bound))
		}
		return nil
	}},
	{name: "one-task jobs four a second, a quarter of them called off, and the owner ends", prepare: func(sim *simulatedCluster) {
		sim.cloud.Capacity = 40
		sim.settings.Params.State = settings.State{RPS: 300, WriteRPS: 90, ValueKB: 8, TxnOps: 12}
	}, run: func(sim *simulatedCluster) error {
		partition := sim.partitionOf("green")
		called := 0
		for i := range 160 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 1, "green")
			s.CPUs, s.DeadlineS = 1, 0
			sim.group.Go(func() { sim.submit(s) })
			if i >= 8 && i%4 == 0 {
				called++
				sim.group.Go(func() { sim.cancelUntilAnswered(fmt.Sprintf("job-%d", i-8), i) })
			}
			if i == 80 {
				leader := sim.leaderOf(partition)
				sim.group.Go(func() { sim.restartController(leader, time.Second) })
			}
			time.Sleep(250 * time.Millisecond)
		}
		if called < 30 {
			return fmt.Errorf("%d called off", called)
		}
		return nil
	}},
	{name: "a chain of dependencies is called off at its root while its owner ends", run: func(sim *simulatedCluster) error {
		partition := sim.partitionOf("green")
		sim.startLongJobs(1, 1, "green", 90*time.Second)
		for i := range 6 {
			on := fmt.Sprintf("job-%d", i-1)
			if i == 0 {
				on = "job-100"
			}
			sim.submit(dependentJob(fmt.Sprintf("job-%d", i), 1, "green", on))
		}
		leader := sim.leaderOf(partition)
		other := sim.otherControllers(leader)[0]
		if !sim.cancelAt(other, "job-100") {
			return fmt.Errorf("not withdrawn")
		}
		sim.killController(leader) // in the middle of the chain
		cut := 0
		sim.withLock(func() {
			for i := range 6 {
				if _, ok := sim.state.Items[fmt.Sprintf("w/j/job-%d/final", i)]; !ok {
					cut++
				}
			}
		})
		sim.waitForNewLeader(partition, leader)
		sim.startController(leader)
		if cut == 0 {
			return fmt.Errorf("the chain was through before")
		}
		return nil
	}},
	{name: "a cut connection holds an order back, and the machine goes on under the next owner", run: func(sim *simulatedCluster) error {
		ids := sim.startLongJobs(2, 3, "green", 40*time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		held := map[string][]byte{}
		sim.withLock(func() {
			sim.interceptCommands = func(machine string, o *protocol.Orders) {
				if len(o.Commands) > 0 && held[machine] == nil {
					held[machine] = protocol.Encode(*o)
					o.Token = 0 // executed later
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
		late := 0
		for machine, body := range held {
			var agent *worker.Worker
			sim.withLock(func() { agent = sim.workers[machine] })
			if agent != nil {
				if resp := sim.serveWorker(agent, "/orders", body); resp != nil && resp.Status == 409 {
					late++
				}
			}
		}
		sim.startController(leader)
		if late == 0 {
			return fmt.Errorf("%d orders held back, none came late", len(held))
		}
		return nil
	}},
}

// Each meeting of docs/meetings.md breaks no rule, and everything is over in time.
func TestConcurrentFaults(t *testing.T) {
	t.Parallel()
	runFaultCombinations(t, 400, faultCombinations)
}

// runFaultCombinations plays each meeting in a world of its own, with seeds from one on.
func runFaultCombinations(t *testing.T, seed uint64, meetings []faultCombination) {
	for i, m := range meetings {
		t.Run(strings.ReplaceAll(m.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			prepare := func(sim *simulatedCluster) {
				sim.cloud.Capacity = 16
				if m.prepare != nil {
					m.prepare(sim)
				}
			}
			runConfiguredSimulation(t, seed+uint64(i), prepare, func(sim *simulatedCluster) {
				time.Sleep(2 * time.Second)
				if err := m.run(sim); err != nil {
					t.Errorf("the troubles did not meet: %v", err)
				}
				sim.withLock(func() { sim.cancelAtEnd, sim.lateTransactionShare, sim.duplicatedHeartbeatShare = nil, 0, 0 })
				over := m.finishWithin
				if over == 0 {
					over = 3 * time.Minute
				}
				sim.waitForAllJobs(over)
			})
		})
	}
}
