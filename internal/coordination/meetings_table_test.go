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

// meetingTest is a meeting of two troubles, as docs/meetings.md lists them. Its play brings
// both about and says, if they missed each other, how: a test in which the second trouble
// missed the first shows nothing.
type meetingTest struct {
	name    string
	prepare func(w *world)
	play    func(w *world) error
	// over is how long everything may take once the troubles are over.
	over time.Duration
}

// longJobs submits jobs that run for a while, and waits until they do.
func (w *world) longJobs(n, tasks int, team string, run time.Duration) (ids []string) {
	w.locked(func() { w.runTime = func(string, int, string) time.Duration { return run } })
	for i := range n {
		s := spec(fmt.Sprintf("job-%d", 100+i), tasks, team)
		s.EstimateS, s.DeadlineS, s.CPUs = run.Seconds(), 0, 2
		w.submit(s)
		ids = append(ids, s.ID)
	}
	for range 40 {
		time.Sleep(time.Second)
		running := 0
		w.locked(func() {
			for _, id := range ids {
				running += len(w.runs(id))
			}
		})
		if running == n*tasks {
			return ids
		}
	}
	w.t.Fatal("the long jobs don't run")
	return nil
}

func (w *world) partOf(team string) (part int) {
	w.in("n0", func(c *Controller) { part = c.TeamPartition[c.TeamIndex[team]] })
	return part
}

func (w *world) metTimes(what string) (n int) {
	w.locked(func() { n = w.met[what] })
	return n
}

// newOwner waits until a part is decided on by another than before.
func (w *world) newOwner(part int, before string) string {
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		if l := w.owns(part); l != "" && l != before {
			return l
		}
	}
	w.t.Fatalf("part %d has no new owner", part)
	return ""
}

// submitBound submits jobs that are bound to a zone by name, to any one zone, or apart.
func (w *world) submitBound(count, tasks int, cpus float64) {
	for i := range count {
		s := spec(fmt.Sprintf("job-%d", i), tasks, "green")
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

// loseMachines waits until all of some jobs run and something else holds, which is asked
// with the lock held, and cuts the power of their machines. It says how many ran.
func (w *world) loseMachines(jobs []string, holds func() bool) (hit int) {
	ready := false
	for range 160 {
		time.Sleep(250 * time.Millisecond)
		hit = 0
		w.locked(func() {
			for _, id := range jobs {
				if len(w.machinesOf(id)) > 0 {
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
	w.locked(func() {
		for m := range w.machinesOf(jobs...) {
			w.workers[m].Off()
			delete(w.workers, m)
		}
	})
	return hit
}

var meetingTests = []meetingTest{
	{name: "old reports reach every controller as a new leader begins", play: func(w *world) error {
		w.longJobs(3, 4, "green", 40*time.Second)
		part := w.partOf("green")
		owner := w.owns(part)
		w.locked(func() { w.lateReports, w.forNext = 1, true })
		time.Sleep(3 * time.Second)
		// One machine's session ends, so that some of them are of the one before.
		var slept string
		w.locked(func() { slept = w.runs("job-100")[0] })
		w.hang(slept, 10*time.Second)
		time.Sleep(11 * time.Second)
		w.locked(func() { w.lateReports = 0 })
		w.kill(owner)
		w.awaitClaim(part)
		w.replay()
		heir := w.newOwner(part, owner)
		w.replay()
		w.start(owner)
		if n := w.metTimes("old report"); n < 20 || heir == owner {
			return fmt.Errorf("%d old reports, new owner %s", n, heir)
		}
		return nil
	}},
	{name: "copies of reports come late while owners change", play: func(w *world) error {
		w.longJobs(4, 4, "green", 30*time.Second)
		part := w.partOf("green")
		w.locked(func() { w.lateReports = 0.6 })
		for range 2 {
			time.Sleep(5 * time.Second)
			owner := w.owns(part)
			w.kill(owner)
			w.newOwner(part, owner)
			w.start(owner)
		}
		w.locked(func() { w.lateReports = 0 })
		time.Sleep(14 * time.Second)
		if n := w.metTimes("old report"); n < 10 {
			return fmt.Errorf("%d old reports", n)
		}
		return nil
	}},
	{name: "deaf machines with long tasks while the leader ends", play: func(w *world) error {
		ids := w.longJobs(3, 4, "green", 60*time.Second)
		part := w.partOf("green")
		owner := w.owns(part)
		w.locked(func() {
			w.deaf = w.machinesOf(ids...)
		})
		w.kill(owner)
		heir := w.newOwner(part, owner)
		unfenced := 0
		w.in(heir, func(c *Controller) {
			for _, m := range c.Machines {
				if m.Record.Partition == part && !m.Fenced && len(m.Attempts) > 0 {
					unfenced++
				}
			}
		})
		withdrawn := w.withdrawAt(heir, ids[0])
		time.Sleep(12 * time.Second)
		w.locked(func() { w.deaf = nil })
		w.start(owner)
		if unfenced == 0 || !withdrawn {
			return fmt.Errorf("%d machines not fenced, withdrawn %v", unfenced, withdrawn)
		}
		return nil
	}},
	{name: "mute machines while the leader ends", play: func(w *world) error {
		ids := w.longJobs(3, 4, "green", 60*time.Second)
		part := w.partOf("green")
		owner := w.owns(part)
		w.locked(func() {
			w.mute = w.machinesOf(ids...)
		})
		w.kill(owner)
		heir := w.newOwner(part, owner)
		time.Sleep(time.Second)
		fenced := 0
		w.in(heir, func(c *Controller) {
			for _, m := range c.Machines {
				if m.Record.Partition == part && m.Fenced {
					fenced++
				}
			}
		})
		withdrawn := w.withdrawAt(heir, ids[0])
		time.Sleep(20 * time.Second) // longer than the lease
		left := 0
		w.locked(func() {
			left = len(w.runs(ids[0]))
			w.mute = nil
		})
		w.start(owner)
		if fenced == 0 || !withdrawn || left > 0 {
			return fmt.Errorf("%d machines fenced by orders, withdrawn %v, %d of its tasks left", fenced, withdrawn, left)
		}
		return nil
	}},
	{name: "a zone with workers and the owner is cut off for longer than the lease", play: func(w *world) error {
		ids := w.longJobs(4, 4, "green", 90*time.Second)
		part := w.partOf("green")
		owner := w.owns(part)
		inside := map[string]bool{}
		w.locked(func() {
			for name, wk := range w.workers {
				inside[name] = wk.Zone == "a"
			}
			w.cut = func(from, host string) bool {
				in := from == owner || inside[from]
				to := host == owner || inside[host]
				return in != to
			}
		})
		heir := w.newOwner(part, owner)
		withdrawn := w.withdrawAt(heir, ids[0])
		time.Sleep(25 * time.Second)
		w.locked(func() { w.cut = nil })
		if !withdrawn || len(inside) == 0 {
			return fmt.Errorf("withdrawn %v, %d machines", withdrawn, len(inside))
		}
		return nil
	}},
	{name: "late transactions of an owner that ends and comes back", play: func(w *world) error {
		part := w.partOf("green")
		// Of one job all records are written late, of which the first that comes is done.
		w.locked(func() { w.lateWrites, w.lateWhat = 1, "job" })
		w.group.Go(func() { w.submit(spec("job-99", 3, "green")) })
		for range 30 {
			if time.Sleep(500 * time.Millisecond); w.metTimes("late write done") > 0 {
				break
			}
		}
		w.locked(func() { w.lateWrites, w.lateWhat = 0.5, "" })
		for i := range 8 {
			w.group.Go(func() { w.submit(spec(fmt.Sprintf("job-%d", i), 3, "green")) })
		}
		for range 3 {
			time.Sleep(4 * time.Second)
			if owner := w.owns(part); owner != "" {
				w.kill(owner)
				time.Sleep(300 * time.Millisecond)
				w.start(owner)
			}
		}
		time.Sleep(4 * time.Second)
		w.locked(func() { w.lateWrites = 0 })
		time.Sleep(13 * time.Second)
		if done, refused := w.metTimes("late write done"), w.metTimes("late write refused"); done < 1 || refused < 3 {
			return fmt.Errorf("%d late writes done, %d refused", done, refused)
		}
		return nil
	}, over: 4 * time.Minute},
	{name: "answers to releases and claims are lost in hand-overs, and jobs are called off between", play: func(w *world) error {
		ids := w.longJobs(12, 1, "green", 60*time.Second)
		part := w.partOf("green")
		between, lost := 0, 0
		for round := range 3 {
			owner := w.owns(part)
			if owner == "" {
				owner = w.newOwner(part, "")
			}
			w.locked(func() { w.lateWrites, w.atOnce = 0.5, true })
			w.group.Go(func() { w.handOver(owner) })
			for i := range 4 {
				time.Sleep(40 * time.Millisecond)
				if i == 1 {
					w.locked(func() { w.lateWrites = 0 })
				}
				if w.owns(part) != owner {
					between++
				}
				for _, l := range w.others(owner) {
					if w.withdrawAt(l, ids[round*4+i]) {
						break
					}
				}
			}
			w.locked(func() { lost += w.met["late write done"] })
			time.Sleep(8 * time.Second)
		}
		if between == 0 || lost == 0 {
			return fmt.Errorf("%d withdrawals between two owners, %d answers lost", between, lost)
		}
		return nil
	}},
	{name: "hand-over and back, all end, one returns within a second", play: func(w *world) error {
		w.longJobs(3, 3, "green", 40*time.Second)
		part := w.partOf("green")
		owner := w.owns(part)
		w.handOver(owner)
		heir := w.newOwner(part, owner)
		w.handOver(heir)
		for _, l := range w.others("") {
			w.kill(l)
		}
		time.Sleep(500 * time.Millisecond)
		w.start(heir)
		time.Sleep(8 * time.Second)
		alone := w.owns(part)
		for _, l := range []string{"n0", "n1", "n2"} {
			if l != heir {
				w.start(l)
			}
		}
		if alone != heir {
			return fmt.Errorf("%q decides alone, want %s", alone, heir)
		}
		return nil
	}},
	{name: "all are away for longer than the lease, one is back a second before the others", play: func(w *world) error {
		w.longJobs(3, 4, "green", 40*time.Second)
		sessions := func() (n uint64) {
			w.each(func(wk *agent.Agent) { n += wk.Session })
			return n
		}
		before := sessions()
		for _, l := range w.others("") {
			w.kill(l)
		}
		time.Sleep(settings.Seconds(w.set.Params.Workers.LeaseS) + 3*time.Second)
		for _, l := range []string{"n1", "n0", "n2"} {
			w.start(l)
			time.Sleep(time.Second)
		}
		if after := sessions(); after <= before {
			return fmt.Errorf("no session ended: %d, %d", before, after)
		}
		return nil
	}},
	{name: "machines are up at once while their records lag, and the leader ends", prepare: func(w *world) { w.bootsIn = 300 * time.Millisecond }, play: func(w *world) error {
		w.locked(func() { w.lateWrites, w.lateWhat = 1, "machine" })
		for i := range 4 {
			w.group.Go(func() { w.submit(spec(fmt.Sprintf("job-%d", i), 6, "green")) })
		}
		early := 0
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			w.locked(func() {
				for name := range w.workers {
					if _, ok := w.state.Items["w/m/"+name]; !ok {
						early++
					}
				}
			})
		}
		leader := ""
		for _, l := range []string{"n0", "n1", "n2"} {
			w.in(l, func(c *Controller) {
				if c.Leadership.Held {
					leader = l
				}
			})
		}
		if leader != "" {
			w.kill(leader)
		}
		time.Sleep(6 * time.Second)
		w.locked(func() { w.lateWrites, w.lateWhat = 0, "" })
		if leader != "" {
			w.start(leader)
		}
		if early == 0 || leader == "" {
			return fmt.Errorf("machines seen up without a record %d times, leader %q", early, leader)
		}
		return nil
	}, over: 4 * time.Minute},
	{name: "jobs of two and three tasks end on both sides of two changes of owner", play: func(w *world) error {
		part := w.partOf("green")
		w.locked(func() {
			w.runTime = func(_ string, task int, _ string) time.Duration { return time.Duration(6+14*task) * time.Second }
		})
		for i := range 6 {
			s := spec(fmt.Sprintf("job-%d", i), 2+i%2, "green")
			s.DeadlineS = 0
			w.submit(s)
		}
		ended := func() (some, all int) {
			w.locked(func() {
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
			owner := w.owns(part)
			w.kill(owner) // the last ends may not be on record yet
			w.newOwner(part, owner)
			w.start(owner)
			time.Sleep(8 * time.Second)
		}
		if crossed == 0 {
			return fmt.Errorf("no job was half done at a change")
		}
		return nil
	}},
	{name: "withdrawals meet the ends of last tasks", play: func(w *world) error {
		w.locked(func() { w.atEnd = func(string) bool { return true } })
		for i := range 20 {
			s := spec(fmt.Sprintf("job-%d", i), 1+i%3, []string{"red", "blue", "green"}[i%3])
			w.submit(s)
			time.Sleep(300 * time.Millisecond)
		}
		for range 90 {
			if time.Sleep(time.Second); w.metTimes("cancelled at the end") >= 10 {
				break
			}
		}
		if n := w.metTimes("cancelled at the end"); n < 10 {
			return fmt.Errorf("%d withdrawals at the end", n)
		}
		return nil
	}},
	{name: "owners change ten times in two minutes, also in an outage", play: func(w *world) error {
		w.longJobs(3, 4, "green", 30*time.Second)
		part := w.partOf("green")
		changes := 0
		for i := range 10 {
			if i == 4 {
				w.outage(true)
			}
			if i == 6 {
				w.outage(false)
			}
			owner := w.owns(part)
			if owner == "" {
				owner = fmt.Sprint("n", i%3)
			}
			w.kill(owner)
			time.Sleep(4 * time.Second)
			w.start(owner)
			time.Sleep(8 * time.Second)
			if l := w.owns(part); l != owner && l != "" {
				changes++
			}
		}
		if changes < 5 {
			return fmt.Errorf("%d changes", changes)
		}
		return nil
	}, over: 4 * time.Minute},
	{name: "jobs bound to one zone, arrays too, lose machines", play: func(w *world) error {
		w.locked(func() { w.runTime = func(string, int, string) time.Duration { return 20 * time.Second } })
		w.submitBound(6, 4, 2)
		// One job of each kind loses all its machines, while its tasks run.
		bound := []string{"job-0", "job-2", "job-4"}
		hit := w.loseMachines(bound, func() bool {
			return !slices.ContainsFunc(bound, func(id string) bool { return len(w.jobs[id].tasksDone) > 0 })
		})
		if hit < len(bound) {
			return fmt.Errorf("%d of %d kinds of jobs lost machines", hit, len(bound))
		}
		return nil
	}},
	{name: "one-task jobs four a second, a quarter of them called off, and the owner ends", prepare: func(w *world) {
		w.cloud.Capacity = 40
		w.set.Params.State = settings.State{RPS: 300, WriteRPS: 90, ValueKB: 8, TxnOps: 12}
	}, play: func(w *world) error {
		part := w.partOf("green")
		called := 0
		for i := range 160 {
			s := spec(fmt.Sprintf("job-%d", i), 1, "green")
			s.CPUs, s.DeadlineS = 1, 0
			w.group.Go(func() { w.submit(s) })
			if i >= 8 && i%4 == 0 {
				called++
				w.group.Go(func() { w.insist(fmt.Sprintf("job-%d", i-8), i) })
			}
			if i == 80 {
				owner := w.owns(part)
				w.group.Go(func() { w.crash(owner, time.Second) })
			}
			time.Sleep(250 * time.Millisecond)
		}
		if called < 30 {
			return fmt.Errorf("%d called off", called)
		}
		return nil
	}},
	{name: "a chain of dependencies is called off at its root while its owner ends", play: func(w *world) error {
		part := w.partOf("green")
		w.longJobs(1, 1, "green", 90*time.Second)
		for i := range 6 {
			on := fmt.Sprintf("job-%d", i-1)
			if i == 0 {
				on = "job-100"
			}
			w.submit(after(fmt.Sprintf("job-%d", i), 1, "green", on))
		}
		owner := w.owns(part)
		other := w.others(owner)[0]
		if !w.withdrawAt(other, "job-100") {
			return fmt.Errorf("not withdrawn")
		}
		w.kill(owner) // in the middle of the chain
		cut := 0
		w.locked(func() {
			for i := range 6 {
				if _, ok := w.state.Items[fmt.Sprintf("w/j/job-%d/final", i)]; !ok {
					cut++
				}
			}
		})
		w.newOwner(part, owner)
		w.start(owner)
		if cut == 0 {
			return fmt.Errorf("the chain was through before")
		}
		return nil
	}},
	{name: "a cut connection holds an order back, and the machine goes on under the next owner", play: func(w *world) error {
		ids := w.longJobs(2, 3, "green", 40*time.Second)
		part := w.partOf("green")
		owner := w.owns(part)
		held := map[string][]byte{}
		w.locked(func() {
			w.onOrders = func(machine string, o *protocol.CommandBatch) {
				if len(o.Commands) > 0 && held[machine] == nil {
					held[machine] = protocol.Encode(*o)
					o.Token = 0 // executed later
				}
			}
		})
		s := spec("job-1", 6, "green")
		w.submit(s)
		w.withdrawAt(owner, ids[0])
		time.Sleep(2 * time.Second)
		w.kill(owner)
		w.locked(func() { w.onOrders = nil })
		w.newOwner(part, owner)
		time.Sleep(2 * time.Second)
		late := 0
		for machine, body := range held {
			var wk *agent.Agent
			w.locked(func() { wk = w.workers[machine] })
			if wk != nil {
				if resp := w.serveWorker(wk, "/orders", body); resp != nil && resp.Status == 409 {
					late++
				}
			}
		}
		w.start(owner)
		if late == 0 {
			return fmt.Errorf("%d orders held back, none came late", len(held))
		}
		return nil
	}},
}

// Each meeting of docs/meetings.md breaks no rule, and everything is over in time.
func TestMeetings(t *testing.T) {
	t.Parallel()
	playMeetings(t, 400, meetingTests)
}

// playMeetings plays each meeting in a world of its own, with seeds from one on.
func playMeetings(t *testing.T, seed uint64, meetings []meetingTest) {
	for i, m := range meetings {
		t.Run(strings.ReplaceAll(m.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			prepare := func(w *world) {
				w.cloud.Capacity = 16
				if m.prepare != nil {
					m.prepare(w)
				}
			}
			simulatePrepared(t, seed+uint64(i), prepare, func(w *world) {
				time.Sleep(2 * time.Second)
				if err := m.play(w); err != nil {
					t.Errorf("the troubles did not meet: %v", err)
				}
				w.locked(func() { w.atEnd, w.lateWrites, w.lateReports = nil, 0, 0 })
				over := m.over
				if over == 0 {
					over = 3 * time.Minute
				}
				w.finish(over)
			})
		})
	}
}
