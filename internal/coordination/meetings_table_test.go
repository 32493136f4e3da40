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
	prepare func(w *simulatedCluster)
	run     func(w *simulatedCluster) error
	// finishWithin is how long everything may take once the troubles are over.
	finishWithin time.Duration
}

// startLongJobs submits jobs that run for a while, and waits until they do.
func (w *simulatedCluster) startLongJobs(n, tasks int, team string, run time.Duration) (ids []string) {
	w.withLock(func() { w.runTime = func(string, int, string) time.Duration { return run } })
	for i := range n {
		s := newJobSpec(fmt.Sprintf("job-%d", 100+i), tasks, team)
		s.EstimateS, s.DeadlineS, s.CPUs = run.Seconds(), 0, 2
		w.submit(s)
		ids = append(ids, s.ID)
	}
	for range 40 {
		time.Sleep(time.Second)
		running := 0
		w.withLock(func() {
			for _, id := range ids {
				running += len(w.machinesRunning(id))
			}
		})
		if running == n*tasks {
			return ids
		}
	}
	w.t.Fatal("the long jobs don't run")
	return nil
}

func (w *simulatedCluster) partitionOf(team string) (part int) {
	w.onController("n0", func(c *Controller) { part = c.TeamPartition[c.TeamIndex[team]] })
	return part
}

func (w *simulatedCluster) faultCount(what string) (n int) {
	w.withLock(func() { n = w.faultCounts[what] })
	return n
}

// waitForNewLeader waits until a part is decided on by another than before.
func (w *simulatedCluster) waitForNewLeader(part int, before string) string {
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		if l := w.leaderOf(part); l != "" && l != before {
			return l
		}
	}
	w.t.Fatalf("part %d has no new owner", part)
	return ""
}

// submitPlacementBoundJobs submits jobs that are bound to a zone by name, to any one zone, or apart.
func (w *simulatedCluster) submitPlacementBoundJobs(count, tasks int, cpus float64) {
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
		w.submit(s)
	}
}

// powerOffMachinesOf waits until all of some jobs run and something else holds, which is asked
// with the lock held, and cuts the power of their machines. It says how many ran.
func (w *simulatedCluster) powerOffMachinesOf(jobs []string, holds func() bool) (hit int) {
	ready := false
	for range 160 {
		time.Sleep(250 * time.Millisecond)
		hit = 0
		w.withLock(func() {
			for _, id := range jobs {
				if len(w.machinesRunningAnyOf(id)) > 0 {
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
	w.withLock(func() {
		for m := range w.machinesRunningAnyOf(jobs...) {
			w.workers[m].Off()
			delete(w.workers, m)
		}
	})
	return hit
}

var faultCombinations = []faultCombination{
	{name: "old reports reach every controller as a new leader begins", run: func(w *simulatedCluster) error {
		w.startLongJobs(3, 4, "green", 40*time.Second)
		part := w.partitionOf("green")
		owner := w.leaderOf(part)
		w.withLock(func() { w.duplicatedHeartbeatShare, w.keepForReplay = 1, true })
		time.Sleep(3 * time.Second)
		// One machine's session ends, so that some of them are of the one before.
		var slept string
		w.withLock(func() { slept = w.machinesRunning("job-100")[0] })
		w.hangMachine(slept, 10*time.Second)
		time.Sleep(11 * time.Second)
		w.withLock(func() { w.duplicatedHeartbeatShare = 0 })
		w.killController(owner)
		w.waitForLeaseChange(part)
		w.replayHeartbeats()
		heir := w.waitForNewLeader(part, owner)
		w.replayHeartbeats()
		w.startController(owner)
		if n := w.faultCount("old report"); n < 20 || heir == owner {
			return fmt.Errorf("%d old reports, new owner %s", n, heir)
		}
		return nil
	}},
	{name: "copies of reports come late while owners change", run: func(w *simulatedCluster) error {
		w.startLongJobs(4, 4, "green", 30*time.Second)
		part := w.partitionOf("green")
		w.withLock(func() { w.duplicatedHeartbeatShare = 0.6 })
		for range 2 {
			time.Sleep(5 * time.Second)
			owner := w.leaderOf(part)
			w.killController(owner)
			w.waitForNewLeader(part, owner)
			w.startController(owner)
		}
		w.withLock(func() { w.duplicatedHeartbeatShare = 0 })
		time.Sleep(14 * time.Second)
		if n := w.faultCount("old report"); n < 10 {
			return fmt.Errorf("%d old reports", n)
		}
		return nil
	}},
	{name: "deaf machines with long tasks while the leader ends", run: func(w *simulatedCluster) error {
		ids := w.startLongJobs(3, 4, "green", 60*time.Second)
		part := w.partitionOf("green")
		owner := w.leaderOf(part)
		w.withLock(func() {
			w.inboundLost = w.machinesRunningAnyOf(ids...)
		})
		w.killController(owner)
		heir := w.waitForNewLeader(part, owner)
		unfenced := 0
		w.onController(heir, func(c *Controller) {
			for _, m := range c.Machines {
				if m.Record.Partition == part && !m.Fenced && len(m.Attempts) > 0 {
					unfenced++
				}
			}
		})
		withdrawn := w.cancelAt(heir, ids[0])
		time.Sleep(12 * time.Second)
		w.withLock(func() { w.inboundLost = nil })
		w.startController(owner)
		if unfenced == 0 || !withdrawn {
			return fmt.Errorf("%d machines not fenced, withdrawn %v", unfenced, withdrawn)
		}
		return nil
	}},
	{name: "mute machines while the leader ends", run: func(w *simulatedCluster) error {
		ids := w.startLongJobs(3, 4, "green", 60*time.Second)
		part := w.partitionOf("green")
		owner := w.leaderOf(part)
		w.withLock(func() {
			w.outboundLost = w.machinesRunningAnyOf(ids...)
		})
		w.killController(owner)
		heir := w.waitForNewLeader(part, owner)
		time.Sleep(time.Second)
		fenced := 0
		w.onController(heir, func(c *Controller) {
			for _, m := range c.Machines {
				if m.Record.Partition == part && m.Fenced {
					fenced++
				}
			}
		})
		withdrawn := w.cancelAt(heir, ids[0])
		time.Sleep(20 * time.Second) // longer than the lease
		left := 0
		w.withLock(func() {
			left = len(w.machinesRunning(ids[0]))
			w.outboundLost = nil
		})
		w.startController(owner)
		if fenced == 0 || !withdrawn || left > 0 {
			return fmt.Errorf("%d machines fenced by orders, withdrawn %v, %d of its tasks left", fenced, withdrawn, left)
		}
		return nil
	}},
	{name: "a zone with workers and the owner is cut off for longer than the lease", run: func(w *simulatedCluster) error {
		ids := w.startLongJobs(4, 4, "green", 90*time.Second)
		part := w.partitionOf("green")
		owner := w.leaderOf(part)
		inside := map[string]bool{}
		w.withLock(func() {
			for name, wk := range w.workers {
				inside[name] = wk.Zone == "a"
			}
			w.cut = func(from, host string) bool {
				in := from == owner || inside[from]
				to := host == owner || inside[host]
				return in != to
			}
		})
		heir := w.waitForNewLeader(part, owner)
		withdrawn := w.cancelAt(heir, ids[0])
		time.Sleep(25 * time.Second)
		w.withLock(func() { w.cut = nil })
		if !withdrawn || len(inside) == 0 {
			return fmt.Errorf("withdrawn %v, %d machines", withdrawn, len(inside))
		}
		return nil
	}},
	{name: "late transactions of an owner that ends and comes back", run: func(w *simulatedCluster) error {
		part := w.partitionOf("green")
		// Of one job all records are written late, of which the first that comes is done.
		w.withLock(func() { w.lateTransactionShare, w.lateTransactionKind = 1, "job" })
		w.group.Go(func() { w.submit(newJobSpec("job-99", 3, "green")) })
		for range 30 {
			if time.Sleep(500 * time.Millisecond); w.faultCount("late write done") > 0 {
				break
			}
		}
		w.withLock(func() { w.lateTransactionShare, w.lateTransactionKind = 0.5, "" })
		for i := range 8 {
			w.group.Go(func() { w.submit(newJobSpec(fmt.Sprintf("job-%d", i), 3, "green")) })
		}
		for range 3 {
			time.Sleep(4 * time.Second)
			if owner := w.leaderOf(part); owner != "" {
				w.killController(owner)
				time.Sleep(300 * time.Millisecond)
				w.startController(owner)
			}
		}
		time.Sleep(4 * time.Second)
		w.withLock(func() { w.lateTransactionShare = 0 })
		time.Sleep(13 * time.Second)
		if done, refused := w.faultCount("late write done"), w.faultCount("late write refused"); done < 1 || refused < 3 {
			return fmt.Errorf("%d late writes done, %d refused", done, refused)
		}
		return nil
	}, finishWithin: 4 * time.Minute},
	{name: "answers to releases and claims are lost in hand-overs, and jobs are called off between", run: func(w *simulatedCluster) error {
		ids := w.startLongJobs(12, 1, "green", 60*time.Second)
		part := w.partitionOf("green")
		between, lost := 0, 0
		for round := range 3 {
			owner := w.leaderOf(part)
			if owner == "" {
				owner = w.waitForNewLeader(part, "")
			}
			w.withLock(func() { w.lateTransactionShare, w.loseAnswersOnly = 0.5, true })
			w.group.Go(func() { w.handOverAndRestart(owner) })
			for i := range 4 {
				time.Sleep(40 * time.Millisecond)
				if i == 1 {
					w.withLock(func() { w.lateTransactionShare = 0 })
				}
				if w.leaderOf(part) != owner {
					between++
				}
				for _, l := range w.otherControllers(owner) {
					if w.cancelAt(l, ids[round*4+i]) {
						break
					}
				}
			}
			w.withLock(func() { lost += w.faultCounts["late write done"] })
			time.Sleep(8 * time.Second)
		}
		if between == 0 || lost == 0 {
			return fmt.Errorf("%d withdrawals between two owners, %d answers lost", between, lost)
		}
		return nil
	}},
	{name: "hand-over and back, all end, one returns within a second", run: func(w *simulatedCluster) error {
		w.startLongJobs(3, 3, "green", 40*time.Second)
		part := w.partitionOf("green")
		owner := w.leaderOf(part)
		w.handOverAndRestart(owner)
		heir := w.waitForNewLeader(part, owner)
		w.handOverAndRestart(heir)
		for _, l := range w.otherControllers("") {
			w.killController(l)
		}
		time.Sleep(500 * time.Millisecond)
		w.startController(heir)
		time.Sleep(8 * time.Second)
		alone := w.leaderOf(part)
		for _, l := range []string{"n0", "n1", "n2"} {
			if l != heir {
				w.startController(l)
			}
		}
		if alone != heir {
			return fmt.Errorf("%q decides alone, want %s", alone, heir)
		}
		return nil
	}},
	{name: "all are away for longer than the lease, one is back a second before the others", run: func(w *simulatedCluster) error {
		w.startLongJobs(3, 4, "green", 40*time.Second)
		sessions := func() (n uint64) {
			w.forEachWorker(func(wk *worker.Worker) { n += wk.Session })
			return n
		}
		before := sessions()
		for _, l := range w.otherControllers("") {
			w.killController(l)
		}
		time.Sleep(settings.Seconds(w.settings.Params.Workers.LeaseS) + 3*time.Second)
		for _, l := range []string{"n1", "n0", "n2"} {
			w.startController(l)
			time.Sleep(time.Second)
		}
		if after := sessions(); after <= before {
			return fmt.Errorf("no session ended: %d, %d", before, after)
		}
		return nil
	}},
	{name: "machines are up at once while their records lag, and the leader ends", prepare: func(w *simulatedCluster) { w.bootDelay = 300 * time.Millisecond }, run: func(w *simulatedCluster) error {
		w.withLock(func() { w.lateTransactionShare, w.lateTransactionKind = 1, "machine" })
		for i := range 4 {
			w.group.Go(func() { w.submit(newJobSpec(fmt.Sprintf("job-%d", i), 6, "green")) })
		}
		early := 0
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			w.withLock(func() {
				for name := range w.workers {
					if _, ok := w.state.Items["w/m/"+name]; !ok {
						early++
					}
				}
			})
		}
		leader := ""
		for _, l := range []string{"n0", "n1", "n2"} {
			w.onController(l, func(c *Controller) {
				if c.Leadership.Held {
					leader = l
				}
			})
		}
		if leader != "" {
			w.killController(leader)
		}
		time.Sleep(6 * time.Second)
		w.withLock(func() { w.lateTransactionShare, w.lateTransactionKind = 0, "" })
		if leader != "" {
			w.startController(leader)
		}
		if early == 0 || leader == "" {
			return fmt.Errorf("machines seen up without a record %d times, leader %q", early, leader)
		}
		return nil
	}, finishWithin: 4 * time.Minute},
	{name: "jobs of two and three tasks end on both sides of two changes of owner", run: func(w *simulatedCluster) error {
		part := w.partitionOf("green")
		w.withLock(func() {
			w.runTime = func(_ string, task int, _ string) time.Duration { return time.Duration(6+14*task) * time.Second }
		})
		for i := range 6 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 2+i%2, "green")
			s.DeadlineS = 0
			w.submit(s)
		}
		ended := func() (some, all int) {
			w.withLock(func() {
				for _, uj := range w.jobs {
					if n := len(uj.tasksDone); n == uj.spec.Tasks {
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
			owner := w.leaderOf(part)
			w.killController(owner) // the last ends may not be on record yet
			w.waitForNewLeader(part, owner)
			w.startController(owner)
			time.Sleep(8 * time.Second)
		}
		if crossed == 0 {
			return fmt.Errorf("no job was half done at a change")
		}
		return nil
	}},
	{name: "withdrawals meet the ends of last tasks", run: func(w *simulatedCluster) error {
		w.withLock(func() { w.cancelAtEnd = func(string) bool { return true } })
		for i := range 20 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 1+i%3, []string{"red", "blue", "green"}[i%3])
			w.submit(s)
			time.Sleep(300 * time.Millisecond)
		}
		for range 90 {
			if time.Sleep(time.Second); w.faultCount("cancelled at the end") >= 10 {
				break
			}
		}
		if n := w.faultCount("cancelled at the end"); n < 10 {
			return fmt.Errorf("%d withdrawals at the end", n)
		}
		return nil
	}},
	{name: "owners change ten times in two minutes, also in an outage", run: func(w *simulatedCluster) error {
		w.startLongJobs(3, 4, "green", 30*time.Second)
		part := w.partitionOf("green")
		changes := 0
		for i := range 10 {
			if i == 4 {
				w.setOutage(true)
			}
			if i == 6 {
				w.setOutage(false)
			}
			owner := w.leaderOf(part)
			if owner == "" {
				owner = fmt.Sprint("n", i%3)
			}
			w.killController(owner)
			time.Sleep(4 * time.Second)
			w.startController(owner)
			time.Sleep(8 * time.Second)
			if l := w.leaderOf(part); l != owner && l != "" {
				changes++
			}
		}
		if changes < 5 {
			return fmt.Errorf("%d changes", changes)
		}
		return nil
	}, finishWithin: 4 * time.Minute},
	{name: "jobs bound to one zone, arrays too, lose machines", run: func(w *simulatedCluster) error {
		w.withLock(func() { w.runTime = func(string, int, string) time.Duration { return 20 * time.Second } })
		w.submitPlacementBoundJobs(6, 4, 2)
		// One job of each kind loses all its machines, while its tasks run.
		bound := []string{"job-0", "job-2", "job-4"}
		hit := w.powerOffMachinesOf(bound, func() bool {
			return !slices.ContainsFunc(bound, func(id string) bool { return len(w.jobs[id].tasksDone) > 0 })
		})
		if hit < len(bound) {
			return fmt.Errorf("%d of %d kinds of jobs lost machines", hit, len(bound))
		}
		return nil
	}},
	{name: "one-task jobs four a second, a quarter of them called off, and the owner ends", prepare: func(w *simulatedCluster) {
		w.cloud.Capacity = 40
		w.settings.Params.State = settings.State{RPS: 300, WriteRPS: 90, ValueKB: 8, TxnOps: 12}
	}, run: func(w *simulatedCluster) error {
		part := w.partitionOf("green")
		called := 0
		for i := range 160 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 1, "green")
			s.CPUs, s.DeadlineS = 1, 0
			w.group.Go(func() { w.submit(s) })
			if i >= 8 && i%4 == 0 {
				called++
				w.group.Go(func() { w.cancelUntilAnswered(fmt.Sprintf("job-%d", i-8), i) })
			}
			if i == 80 {
				owner := w.leaderOf(part)
				w.group.Go(func() { w.restartController(owner, time.Second) })
			}
			time.Sleep(250 * time.Millisecond)
		}
		if called < 30 {
			return fmt.Errorf("%d called off", called)
		}
		return nil
	}},
	{name: "a chain of dependencies is called off at its root while its owner ends", run: func(w *simulatedCluster) error {
		part := w.partitionOf("green")
		w.startLongJobs(1, 1, "green", 90*time.Second)
		for i := range 6 {
			on := fmt.Sprintf("job-%d", i-1)
			if i == 0 {
				on = "job-100"
			}
			w.submit(dependentJob(fmt.Sprintf("job-%d", i), 1, "green", on))
		}
		owner := w.leaderOf(part)
		other := w.otherControllers(owner)[0]
		if !w.cancelAt(other, "job-100") {
			return fmt.Errorf("not withdrawn")
		}
		w.killController(owner) // in the middle of the chain
		cut := 0
		w.withLock(func() {
			for i := range 6 {
				if _, ok := w.state.Items[fmt.Sprintf("w/j/job-%d/final", i)]; !ok {
					cut++
				}
			}
		})
		w.waitForNewLeader(part, owner)
		w.startController(owner)
		if cut == 0 {
			return fmt.Errorf("the chain was through before")
		}
		return nil
	}},
	{name: "a cut connection holds an order back, and the machine goes on under the next owner", run: func(w *simulatedCluster) error {
		ids := w.startLongJobs(2, 3, "green", 40*time.Second)
		part := w.partitionOf("green")
		owner := w.leaderOf(part)
		held := map[string][]byte{}
		w.withLock(func() {
			w.interceptCommands = func(machine string, o *protocol.Orders) {
				if len(o.Commands) > 0 && held[machine] == nil {
					held[machine] = protocol.Encode(*o)
					o.Token = 0 // executed later
				}
			}
		})
		s := newJobSpec("job-1", 6, "green")
		w.submit(s)
		w.cancelAt(owner, ids[0])
		time.Sleep(2 * time.Second)
		w.killController(owner)
		w.withLock(func() { w.interceptCommands = nil })
		w.waitForNewLeader(part, owner)
		time.Sleep(2 * time.Second)
		late := 0
		for machine, body := range held {
			var wk *worker.Worker
			w.withLock(func() { wk = w.workers[machine] })
			if wk != nil {
				if resp := w.serveWorker(wk, "/orders", body); resp != nil && resp.Status == 409 {
					late++
				}
			}
		}
		w.startController(owner)
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
			prepare := func(w *simulatedCluster) {
				w.cloud.Capacity = 16
				if m.prepare != nil {
					m.prepare(w)
				}
			}
			runConfiguredSimulation(t, seed+uint64(i), prepare, func(w *simulatedCluster) {
				time.Sleep(2 * time.Second)
				if err := m.run(w); err != nil {
					t.Errorf("the troubles did not meet: %v", err)
				}
				w.withLock(func() { w.cancelAtEnd, w.lateTransactionShare, w.duplicatedHeartbeatShare = nil, 0, 0 })
				over := m.finishWithin
				if over == 0 {
					over = 3 * time.Minute
				}
				w.waitForAllJobs(over)
			})
		})
	}
}
