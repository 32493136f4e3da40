package coordination

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// plannedFault is one trouble of a plan. It begins at a time, or with the next write of a kind
// after it, so that it falls into a step of a takeover, hand-over, commit or withdrawal.
type plannedFault struct {
	At, For time.Duration
	Kind    string
	// Arg picks whom it befalls, Share of how many or how much.
	Arg   int
	Share float64
	// OnWrite is the kind of the write that it waits for; "": none.
	OnWrite string
}

func (m plannedFault) String() string {
	return fmt.Sprintf("{At: %d, For: %d, Kind: %q, Arg: %d, Share: %.2f, With: %q},", m.At, m.For, m.Kind, m.Arg, m.Share, m.OnWrite)
}

var faultKinds = []string{"late writes", "lost answers", "late reports", "old reports", "deaf", "mute", "refused", "cut from all but workers",
	"cut from workers", "cut off", "outage", "watches stuck", "crash", "crash of all", "away", "still", "hand-over", "hang", "die", "cancel now", "cancel at end",
	"zone cut", "lost messages", "cloud down", "late commands", "late commands", "lost command answers", "slow links"}

var faultTriggers = []string{"", "", "claim", "leader", "life", "final", "run", "machine"}

// drawFaultPlan draws troubles that overlap, two to four at a time.
func drawFaultPlan(seed uint64) (plan []plannedFault) {
	rng := rand.New(rand.NewPCG(seed, 77))
	for pair := range 5 {
		at := time.Duration(10+pair*22)*time.Second + time.Duration(rng.IntN(8000))*time.Millisecond
		for range 2 + rng.IntN(3) {
			m := plannedFault{Kind: faultKinds[rng.IntN(len(faultKinds))], At: at + time.Duration(rng.IntN(4000))*time.Millisecond,
				Arg: rng.IntN(1000), Share: 0.1 + 0.6*rng.Float64(), OnWrite: faultTriggers[rng.IntN(len(faultTriggers))]}
			m.For = time.Duration(500+rng.IntN(15_000)) * time.Millisecond
			if rng.IntN(5) == 0 {
				m.For *= 2
			}
			plan = append(plan, m)
		}
	}
	slices.SortStableFunc(plan, func(a, b plannedFault) int { return int(a.At - b.At) })
	return plan
}

// writeObserver tells of writes to the state service by kind.
type writeObserver struct{ waiting map[string]chan struct{} }

func writeKind(key string) string {
	switch kind, _ := storage.ParseKey(key); kind {
	case storage.KindLease:
		return "claim"
	case storage.KindLeadership:
		return "leader"
	case storage.KindIncarnation:
		return "life"
	case storage.KindFinal:
		return "final"
	case storage.KindMachine:
		return "machine"
	case storage.KindJob:
		return "job"
	}
	if strings.HasPrefix(key, "r/") {
		return "run"
	}
	return ""
}

// observe makes the world tell of writes.
func (s *writeObserver) observe(sim *simulatedCluster) {
	s.waiting = map[string]chan struct{}{}
	check := sim.state.BeforePut
	sim.state.BeforePut = func(c protocol.Change, old protocol.Item, exists bool) {
		check(c, old, exists)
		if ch := s.waiting[writeKind(c.Put)]; ch != nil {
			close(ch)
			delete(s.waiting, writeKind(c.Put))
		}
	}
}

// nextWrite is closed with the next write of a kind. The lock is held.
func (s *writeObserver) nextWrite(kind string) chan struct{} {
	if s.waiting[kind] == nil {
		s.waiting[kind] = make(chan struct{})
	}
	return s.waiting[kind]
}

// selectMachines picks every nth of the machines that are up.
func (sim *simulatedCluster) selectMachines(m plannedFault) (names []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i, name := range slices.Sorted(maps.Keys(sim.workers)) {
		if float64((i*37+m.Arg)%100) < 100*m.Share {
			names = append(names, name)
		}
	}
	return names
}

// withLock runs something with the world's lock held.
func (sim *simulatedCluster) withLock(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f()
}

// restartController ends a controller and starts it again.
func (sim *simulatedCluster) restartController(label string, away time.Duration) {
	sim.mu.Lock()
	n := sim.controllers[label]
	delete(sim.controllers, label)
	sim.mu.Unlock()
	if n == nil {
		return
	}
	n.cancel()
	<-n.done
	time.Sleep(away)
	sim.startController(label)
}

// injectAtTrigger waits for a trouble's moment, lets it happen and ends it.
func (sim *simulatedCluster) injectAtTrigger(m plannedFault, begun time.Time, patience time.Duration) {
	time.Sleep(time.Until(begun.Add(m.At)))
	if m.OnWrite != "" {
		var next chan struct{}
		sim.withLock(func() { next = sim.writes.nextWrite(m.OnWrite) })
		select {
		case <-next:
		case <-time.After(patience):
		}
	}
	sim.inject(m)
}

// inject lets a trouble happen and ends it.
func (sim *simulatedCluster) inject(m plannedFault) {
	label := fmt.Sprint("n", m.Arg%3)
	back := []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second}[m.Arg/3%3]
	// during sets something for the trouble's time.
	during := func(set func(on bool)) {
		sim.withLock(func() { set(true) })
		time.Sleep(m.For)
		sim.withLock(func() { set(false) })
	}
	mark := func(marked *map[string]bool) {
		names := sim.selectMachines(m)
		during(func(on bool) {
			if *marked == nil {
				*marked = map[string]bool{}
			}
			for _, n := range names {
				(*marked)[n] = on
			}
		})
	}
	cut := func(what func(from, host string) bool) {
		id := sim.cuts.add(sim, what)
		time.Sleep(m.For)
		sim.cuts.end(sim, id)
	}
	node := func(s string) bool { return len(s) == 2 && s[0] == 'n' }
	switch m.Kind {
	case "late writes", "lost answers":
		during(func(on bool) {
			sim.lateTransactionShare, sim.loseAnswersOnly = 0, false
			if on {
				sim.lateTransactionShare, sim.loseAnswersOnly = m.Share, m.Kind == "lost answers"
			}
		})
	case "late reports", "old reports":
		during(func(on bool) {
			sim.duplicatedHeartbeatShare, sim.keepForReplay = 0, false
			if on {
				sim.duplicatedHeartbeatShare, sim.keepForReplay = m.Share, m.Kind == "old reports"
			}
		})
		if m.Kind == "old reports" {
			var next chan struct{}
			sim.withLock(func() { next = sim.writes.nextWrite("claim") })
			select {
			case <-next:
			case <-time.After(15 * time.Second):
			}
			sim.replayHeartbeats()
		}
	case "deaf":
		mark(&sim.inboundLost)
	case "mute":
		mark(&sim.outboundLost)
	case "refused":
		sim.setStateServiceRefusal(label, true)
		time.Sleep(m.For)
		sim.setStateServiceRefusal(label, false)
	case "cut from all but workers":
		cut(func(from, host string) bool {
			return from == label && (host == "state" || node(host)) || host == label && node(from)
		})
	case "cut from workers":
		cut(func(from, host string) bool { return from == label && strings.HasPrefix(host, "m-") })
	case "cut off":
		cut(func(from, host string) bool { return from == label || host == label })
	case "zone cut":
		zone := []string{"a", "b"}[m.Arg%2]
		inside := map[string]bool{}
		sim.withLock(func() {
			for name, agent := range sim.workers {
				inside[name] = agent.Zone == zone
			}
		})
		cut(func(from, host string) bool {
			return from != label && inside[host] || from == label && strings.HasPrefix(host, "m-") && !inside[host]
		})
	case "outage":
		sim.setOutage(true)
		time.Sleep(m.For * 2)
		sim.setOutage(false)
	case "watches stuck":
		during(func(on bool) { sim.state.Stuck = on })
	case "crash":
		sim.restartController(label, back)
	case "crash of all", "away":
		if m.Kind == "away" {
			back = time.Duration(sim.settings.Params.Workers.LeaseS+2) * time.Second
		}
		done := make(chan struct{}, 3)
		for _, l := range []string{"n0", "n1", "n2"} {
			sim.group.Go(func() { sim.restartController(l, back); done <- struct{}{} })
		}
		for range 3 {
			<-done
		}
	case "still":
		sim.pauseController(label, min(m.For, 12*time.Second))
	case "hand-over":
		sim.mu.Lock()
		n := sim.controllers[label]
		sim.mu.Unlock()
		if n != nil {
			n.controller.HandOver(sim.ctx)
			sim.restartController(label, back)
		}
	case "hang":
		for _, name := range sim.selectMachines(m) {
			sim.hangMachine(name, m.For)
		}
		time.Sleep(m.For)
	case "die":
		for i, name := range sim.selectMachines(m) {
			if i < 3 {
				sim.withLock(func() {
					if agent := sim.workers[name]; agent != nil {
						agent.Off()
						delete(sim.workers, name)
					}
				})
			}
		}
	case "cancel now":
		var ids []string
		sim.withLock(func() {
			for _, id := range slices.Sorted(maps.Keys(sim.jobs)) {
				if submitted := sim.jobs[id]; !submitted.acceptedAt.IsZero() && submitted.finalStatus == "" && !submitted.cancelRequested && len(sim.machinesRunning(id)) > 0 {
					ids = append(ids, id)
				}
			}
		})
		for i, id := range ids {
			if i%3 != m.Arg%3 {
				continue
			}
			var on []string
			sim.withLock(func() { on = sim.machinesRunning(id) })
			sim.group.Go(func() { sim.cancelUntilAnswered(id, m.Arg+i) })
			if m.Arg%2 == 0 {
				for _, name := range on {
					sim.hangMachine(name, m.For)
				}
			}
		}
	case "cancel at end":
		during(func(on bool) {
			sim.cancelAtEnd = nil
			if on {
				sim.cancelAtEnd = func(job string) bool { return len(job)%2 == m.Arg%2 }
			}
		})
	case "lost messages":
		during(func(on bool) {
			sim.messageFaultRate = 0
			if on {
				sim.messageFaultRate = 0.05
			}
		})
	case "late commands", "lost command answers":
		during(func(on bool) {
			if sim.delayedCommands = nil; on {
				sim.delayedCommands = &commandDelayFault{share: m.Share, loseAnswersOnly: m.Kind == "lost command answers"}
			}
		})
	case "slow links":
		during(func(on bool) {
			if sim.linkDelayMax = 0; on {
				sim.linkDelayMax = 700 * time.Millisecond
			}
		})
	case "cloud down":
		cut(func(_, host string) bool { return host == "cloud" })
	default:
		panic("no such trouble: " + m.Kind)
	}
}

// cancelUntilAnswered withdraws a job at one controller after another until it is answered.
func (sim *simulatedCluster) cancelUntilAnswered(id string, first int) {
	for i := range 120 {
		if sim.cancelAt(fmt.Sprint("n", (first+i)%3), id) {
			return
		}
		select {
		case <-time.After(time.Second):
		case <-sim.ctx.Done():
			return
		}
	}
	sim.withLock(func() { sim.recordViolation("withdrawal of %s was never answered", id) })
}

// runFaultPlan plays a plan beside users who submit, ask and withdraw.
func runFaultPlan(sim *simulatedCluster, seed uint64, plan []plannedFault) {
	rng := rand.New(rand.NewPCG(seed, 78))
	time.Sleep(2 * time.Second)
	sim.withLock(func() {
		sim.writes.observe(sim)
		sim.runTime = func(job string, task int, _ string) time.Duration {
			return time.Duration(3+(len(job)*7+task*5+int(job[len(job)-1]))%30) * time.Second
		}
	})
	begun := time.Now()
	over := make(chan struct{}, len(plan))
	for _, m := range plan {
		sim.group.Go(func() {
			defer func() { over <- struct{}{} }()
			sim.injectAtTrigger(m, begun, 5*time.Second)
		})
	}
	var ids []string
	for i := range 40 {
		time.Sleep(time.Duration(500+rng.IntN(4500)) * time.Millisecond)
		s := newJobSpec(fmt.Sprintf("job-%d", i), 1+rng.IntN(sim.jobTasksMax), []string{"red", "blue", "green"}[rng.IntN(3)])
		s.Urgency = protocol.Urgency(rng.IntN(4))
		switch rng.IntN(8) {
		case 0:
			s.Spread = true
		case 1:
			s.OneZone = true
		case 2:
			s.Gang, s.Tasks = true, min(s.Tasks, 4)
		case 3:
			s.Zone = []string{"a", "b"}[rng.IntN(2)]
		}
		if i > 2 && rng.IntN(4) == 0 {
			s.Dependencies = []string{fmt.Sprintf("job-%d", i-1-rng.IntN(2))}
		}
		first := rng.IntN(3)
		late := rng.IntN(4) == 0
		after := time.Duration(rng.IntN(9000)) * time.Millisecond
		ids = append(ids, s.ID)
		sim.withLock(func() { sim.jobs[s.ID] = &submittedJob{spec: s, tasksDone: map[int]bool{}} })
		sim.group.Go(func() {
			sim.submitUntilAccepted(s, first)
			if late {
				time.Sleep(after)
				sim.cancelUntilAnswered(s.ID, first+1)
			}
		})
	}
	for range plan {
		<-over
	}
	sim.withLock(func() {
		sim.lateTransactionShare, sim.duplicatedHeartbeatShare, sim.messageFaultRate, sim.cancelAtEnd, sim.delayedCommands, sim.linkDelayMax = 0, 0, 0, nil, nil, 0
	})
	// More work may be waiting than five minutes take, behind a team's limit say; but as
	// long as any waits, some of it must end.
	for ended := -1; ; {
		now := sim.countFinishedTasks()
		if now == ended {
			break
		}
		ended = now
		time.Sleep(longestTaskRunTime + startedWithin)
	}
	sim.waitForAllJobs(time.Minute)
	for _, id := range ids {
		for _, l := range []string{"n0", "n1", "n2"} {
			sim.poll(l, id)
		}
	}
}

// longestTaskRunTime is how long the longest tasks of random meetings run.
const longestTaskRunTime = 33 * time.Second

// countFinishedTasks is how many tasks are done, or over with their cancelled jobs.
func (sim *simulatedCluster) countFinishedTasks() (n int) {
	sim.withLock(func() {
		for _, submitted := range sim.jobs {
			if n += len(submitted.tasksDone); submitted.finalStatus == protocol.StatusWithdrawn {
				n += submitted.spec.Tasks - len(submitted.tasksDone)
			}
		}
	})
	return n
}

// submitUntilAccepted submits a job at one controller after another until it is accepted.
func (sim *simulatedCluster) submitUntilAccepted(s *protocol.JobSpec, first int) {
	for i := range 120 {
		resp := sim.sendRequest(fmt.Sprint("n", (first+i)%3), "POST", "/submissions", encodeSubmission(s))
		switch resp.Status {
		case 200, 201:
			sim.withLock(func() {
				if submitted := sim.jobs[s.ID]; submitted.acceptedAt.IsZero() {
					submitted.acceptedAt = time.Now()
				}
			})
			return
		case 400:
			sim.withLock(func() { sim.recordViolation("submission of %s got 400", s.ID) })
			return
		case 422: // what it depends on was never accepted yet
		}
		select {
		case <-time.After(time.Second):
		case <-sim.ctx.Done():
			return
		}
	}
}

// networkCuts are the cuts that hold at a time.
type networkCuts struct {
	lastID int
	active map[int]func(from, host string) bool
}

func (c *networkCuts) add(sim *simulatedCluster, what func(from, host string) bool) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if c.active == nil {
		c.active = map[int]func(from, host string) bool{}
		sim.cut = func(from, host string) bool {
			for _, f := range c.active {
				if f(from, host) {
					return true
				}
			}
			return false
		}
	}
	c.lastID++
	c.active[c.lastID] = what
	return c.lastID
}

func (c *networkCuts) end(sim *simulatedCluster, id int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	delete(c.active, id)
}

// seedRange is how many plans to play: MICASPINDLE_MEETINGS says it, and from which seed
// on MICASPINDLE_MEETINGS_FROM; CI plays a few.
func seedRange(few int) (from, count uint64) {
	count = uint64(few)
	if n, err := strconv.Atoi(os.Getenv("MICASPINDLE_MEETINGS")); err == nil {
		count = uint64(n)
	}
	if n, err := strconv.Atoi(os.Getenv("MICASPINDLE_MEETINGS_FROM")); err == nil {
		from = uint64(n)
	}
	return from, count
}

// clusterVariant is the world that a meeting takes place in: a small one, one whose owners let
// others carry their machines' connections, one with many machines, and one in which a
// controller is of a version that knows neither copies, shares nor cancellation notices.
func clusterVariant(seed uint64) func(sim *simulatedCluster) {
	return func(sim *simulatedCluster) {
		announceLowerLimits(sim)
		sim.cloud.Capacity, sim.jobTasksMax = 16, 4
		switch seed % 4 {
		case 1:
			configureFewSockets(sim)
			sim.jobTasksMax = 8
		case 2:
			sim.cloud.Capacity, sim.jobTasksMax = 90, 60
			sim.settings.Params.Teams = []settings.Team{{Name: "red", CPUs: 60, CPUsMax: 120}, {Name: "blue", CPUs: 60, CPUsMax: 200}, {Name: "green"}}
			sim.settings.Params.State.RPS, sim.settings.Params.State.WriteRPS = 600, 200
		case 3:
			sim.oldVersions = map[string]bool{"n1": true}
		}
	}
}

// excludedFaults are the numbers of the meetings that MICASPINDLE_MEETINGS_WITHOUT names.
func excludedFaults() []string {
	return strings.Split(os.Getenv("MICASPINDLE_MEETINGS_WITHOUT"), ",")
}

// withoutFaults is a plan less the meetings that drop names by number.
func withoutFaults(plan []plannedFault, drop []string) (kept []plannedFault) {
	for i, m := range plan {
		if !slices.Contains(drop, strconv.Itoa(i)) {
			kept = append(kept, m)
		}
	}
	return kept
}

// minimizePlan is what is left of a failing plan if meetings are left out one by one, as long as
// the test still fails without them; each try is a run of its own.
func minimizePlan(t *testing.T, plan []plannedFault) []plannedFault {
	var drop []string
	for i := range plan {
		try := strings.Join(append(slices.Clone(drop), strconv.Itoa(i)), ",")
		cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^"+strings.ReplaceAll(t.Name(), "/", "$/^")+"$")
		cmd.Env = append(os.Environ(), "MICASPINDLE_MEETINGS_WITHOUT="+try, "MICASPINDLE_MEETINGS_SHRINK=")
		if cmd.Run() != nil {
			drop = strings.Split(try, ",")
		}
	}
	return withoutFaults(plan, drop)
}

// Random meetings: pairs of troubles drawn from a seed, while jobs are submitted, run and
// are withdrawn. A plan that fails is printed as rows; with MICASPINDLE_MEETINGS_SHRINK set,
// without those that it fails without.
func TestRandomConcurrentFaults(t *testing.T) {
	t.Parallel()
	from, count := seedRange(12)
	for seed := from; seed < from+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			plan := withoutFaults(drawFaultPlan(seed), excludedFaults())
			runConfiguredSimulation(t, 20_000+seed, clusterVariant(seed), func(sim *simulatedCluster) { runFaultPlan(sim, seed, plan) })
			if t.Failed() {
				if os.Getenv("MICASPINDLE_MEETINGS_SHRINK") != "" {
					plan = minimizePlan(t, plan)
				}
				for _, m := range plan {
					t.Log(m)
				}
			}
		})
	}
}
