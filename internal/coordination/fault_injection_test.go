package coordination

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

func (sim *simulatedCluster) faultCount(what string) (n int) {
	sim.withLock(func() { n = sim.faultCounts[what] })
	return n
}

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

// injectedFaults are those that the world can bring about beyond lost messages, cuts, ends and
// standstills. Whoever looks into them holds the world's lock. met counts what has
// happened, so that a test can tell whether its troubles met at all.
type injectedFaults struct {
	// lateTransactionShare is the share of transactions without an answer: carried out 2 to 12 s
	// later, after newer ones, or with atOnce at once.
	lateTransactionShare float64
	loseAnswersOnly      bool
	// lateTransactionKind is the kind of the first key written of the transactions that it befalls;
	// "": all.
	lateTransactionKind string
	// duplicatedHeartbeatShare is the share of the workers' reports of which a copy arrives again, from
	// 2 s to well over a lease later, or with forNext at every controller once asked for.
	duplicatedHeartbeatShare float64
	keepForReplay            bool
	keptHeartbeats           []keptHeartbeat
	// delayedCommands says what becomes of direct commands; nil: they arrive.
	delayedCommands *commandDelayFault
	// startsAfterCancel are the starts of tasks whose job's user had been told that it is cancelled.
	startsAfterCancel []startAfterCancel
	// linkDelayMax is by how much a message may be late on its way; 0: by milliseconds.
	linkDelayMax time.Duration
	// inboundLost machines' reports arrive, answers and orders to them are lost; mute ones reach
	// nobody, orders reach them.
	inboundLost, outboundLost map[string]bool
	// suppressNotices: no controller hears of withdrawals from another.
	suppressNotices bool
	// cancelAtEnd is asked whether a job is called off at the end of its last task.
	cancelAtEnd func(job string) bool
	// onJobEnd, if set, hears of the ends of jobs' last tasks.
	onJobEnd func(job string)
	// bootDelay is how soon machines are up; 0: within seconds.
	bootDelay   time.Duration
	writes      writeObserver
	cuts        networkCuts
	faultCounts map[string]int
}

// commandDelayFault holds direct commands up: the sender gets no answer, and the worker carries
// them out once, 2 to 16 s later, if token and session still match then.
type commandDelayFault struct {
	// share of the commands is held up, of those that hold the verb ("fence": no command at
	// all; "": any).
	share float64
	op    string
	// delay is how long; 0: drawn. atOnce: only the answer is lost.
	delay           time.Duration
	loseAnswersOnly bool
}

// startAfterCancel is a task that started after its job's cancellation was confirmed.
type startAfterCancel struct {
	task    string
	machine string
	after   time.Duration
}

const fenceOp = "fence"

// commandOps lists the kinds of the commands of an order.
func commandOps(body []byte) (verbs map[string]bool) {
	var orders protocol.Orders
	panicOnError(protocol.Decode(body, &orders))
	verbs = map[string]bool{}
	for _, command := range orders.Commands {
		verbs[command.Op] = true
	}
	if len(orders.Commands) == 0 {
		verbs[fenceOp] = true
	}
	return verbs
}

// drawCommandDelay says whether and for how long a message to a worker is held up. The lock is held.
func (sim *simulatedCluster) drawCommandDelay(target string, body []byte) (after time.Duration, held bool) {
	late := sim.delayedCommands
	if late == nil || target != "/orders" || sim.rng.Float64() >= late.share {
		return 0, false
	}
	if late.op != "" && !commandOps(body)[late.op] {
		return 0, false
	}
	switch {
	case late.loseAnswersOnly:
		return time.Millisecond, true
	case late.delay > 0:
		return late.delay, true
	}
	return 2*time.Second + time.Duration(sim.rng.Int64N(int64(14*time.Second))), true
}

// deliverCommandLate brings a command that nobody waits for any more to its worker. One that
// hangs carries it out when it goes on.
func (sim *simulatedCluster) deliverCommandLate(machine string, after time.Duration, body []byte) {
	for wait := after; ; wait = 100 * time.Millisecond {
		select {
		case <-time.After(wait):
		case <-sim.ctx.Done():
			return
		}
		sim.mu.Lock()
		agent := sim.workers[machine]
		hangs := agent != nil && agent.Hung
		sim.mu.Unlock()
		if agent == nil {
			return
		}
		if hangs {
			continue
		}
		resp := sim.serveWorker(agent, "/orders", body)
		sim.withLock(func() {
			for verb := range commandOps(body) {
				if resp != nil && resp.Status == 200 {
					sim.countFault("late " + verb + " done")
				} else {
					sim.countFault("late " + verb + " refused")
				}
			}
		})
		return
	}
}

type keptHeartbeat struct {
	machine string
	body    []byte
}

func (sim *simulatedCluster) countFault(what string) {
	if sim.faultCounts == nil {
		sim.faultCounts = map[string]int{}
	}
	sim.faultCounts[what]++
}

// drawTransactionDelay says whether a transaction gets no answer, and how long after it is carried
// out. The lock is held.
func (sim *simulatedCluster) drawTransactionDelay(host, target string, body []byte) (after time.Duration, lost bool) {
	if host != "state" || target != "/commit" || sim.lateTransactionShare == 0 || sim.rng.Float64() >= sim.lateTransactionShare {
		return 0, false
	}
	if sim.lateTransactionKind != "" {
		var txn protocol.Transaction
		panicOnError(protocol.Decode(body, &txn))
		if len(txn.Then) == 0 || writeKind(txn.Then[0].Put) != sim.lateTransactionKind {
			return 0, false
		}
	}
	if sim.loseAnswersOnly {
		return time.Millisecond, true
	}
	return time.Duration(2000+sim.rng.IntN(10_000)) * time.Millisecond, true
}

// deliverTransactionLate carries a transaction out that nobody waits for any more.
func (sim *simulatedCluster) deliverTransactionLate(from string, after time.Duration, body []byte) {
	time.Sleep(after)
	resp := sim.deliver(context.WithoutCancel(sim.ctx), from, "state", "POST", "/commit", body)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var txn protocol.Transaction
	panicOnError(protocol.Decode(body, &txn))
	switch {
	case len(txn.Then) == 0:
	case resp.Status == 200:
		sim.countFault("late write done")
	case resp.Status == 409:
		sim.countFault("late write refused")
	}
}

// duplicateHeartbeat keeps a copy of a worker's report, for later. The lock is held.
func (sim *simulatedCluster) duplicateHeartbeat(machine, label string, report []byte) {
	if sim.duplicatedHeartbeatShare == 0 || sim.rng.Float64() >= sim.duplicatedHeartbeatShare {
		return
	}
	if sim.keepForReplay {
		sim.keptHeartbeats = append(sim.keptHeartbeats, keptHeartbeat{machine, report})
		return
	}
	lease := settings.Seconds(sim.settings.Params.Workers.LeaseS)
	after := 2*time.Second + time.Duration(sim.rng.Int64N(int64(lease+lease/2)))
	sim.group.Go(func() {
		select {
		case <-time.After(after):
		case <-sim.ctx.Done():
			return
		}
		sim.redeliverHeartbeat(label, keptHeartbeat{machine, report})
	})
}

// redeliverHeartbeat brings a copy of an old report to a controller.
func (sim *simulatedCluster) redeliverHeartbeat(label string, k keptHeartbeat) {
	sim.mu.Lock()
	n := sim.controllers[label]
	if n != nil {
		sim.countFault("old report")
	}
	sim.mu.Unlock()
	if n != nil {
		n.handleHeartbeat(sim, k.machine, k.body)
	}
}

// replayHeartbeats brings every kept report to every controller.
func (sim *simulatedCluster) replayHeartbeats() {
	sim.mu.Lock()
	kept := sim.keptHeartbeats
	sim.keptHeartbeats = nil
	labels := slices.Sorted(maps.Keys(sim.controllers))
	sim.mu.Unlock()
	for _, k := range kept {
		for _, l := range labels {
			sim.redeliverHeartbeat(l, k)
		}
	}
}
