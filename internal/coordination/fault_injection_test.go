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

// injectedFaults are the faults that can be injected beyond lost messages, network cuts, kills
// and pauses. They are guarded by the simulated cluster's lock. faultCounts counts what
// happened, so that a test can tell whether its faults coincided.
type injectedFaults struct {
	// lateTransactionShare is the share of transactions without a response: applied 2 to 12 s
	// later, after newer ones, or with loseAnswersOnly at once.
	lateTransactionShare float64
	loseAnswersOnly      bool
	// lateTransactionKind restricts this to transactions whose first write is of a kind; "":
	// all.
	lateTransactionKind string
	// duplicatedHeartbeatShare is the share of heartbeats of which a copy arrives again, from 2
	// s to well over a machine lease later, or with keepForReplay at every controller on
	// request.
	duplicatedHeartbeatShare float64
	keepForReplay            bool
	keptHeartbeats           []keptHeartbeat
	// delayedCommands delays direct commands; nil: they arrive.
	delayedCommands *commandDelayFault
	// startsAfterCancel are the starts of tasks after the cancellation of their job was
	// confirmed to its user.
	startsAfterCancel []startAfterCancel
	// linkDelayMax is the longest additional delay of a message; 0: none.
	linkDelayMax time.Duration
	// Heartbeats of inboundLost machines arrive, but responses and commands to them are lost;
	// messages of outboundLost machines are lost, but commands reach them.
	inboundLost, outboundLost map[string]bool
	// suppressNotices: no controller receives cancellation notices.
	suppressNotices bool
	// cancelAtEnd reports whether a job is cancelled at the end of its last task.
	cancelAtEnd func(job string) bool
	// onJobEnd, if set, is called at the end of a job's last task.
	onJobEnd func(job string)
	// bootDelay is how long machines take to boot; 0: a few seconds.
	bootDelay   time.Duration
	writes      writeObserver
	cuts        networkCuts
	faultCounts map[string]int
}

// commandDelayFault delays direct commands: the sender gets no response, and the agent executes
// them once, 2 to 16 s later, if token and epoch still match then.
type commandDelayFault struct {
	// share is the proportion delayed of the messages that contain the operation op ("fence":
	// no command at all; "": any).
	share float64
	op    string
	// delay is how long; 0: drawn at random. loseAnswersOnly: only the response is lost.
	delay           time.Duration
	loseAnswersOnly bool
}

// startAfterCancel is a task that started after its job's cancellation was confirmed.
type startAfterCancel struct {
	task    string
	machine string
	after   time.Duration
}

type keptHeartbeat struct {
	machine string
	body    []byte
}

func (sim *simulatedCluster) countFault(filter string) {
	if sim.faultCounts == nil {
		sim.faultCounts = map[string]int{}
	}
	sim.faultCounts[filter]++
}

func (sim *simulatedCluster) faultCount(filter string) (n int) {
	sim.withLock(func() { n = sim.faultCounts[filter] })
	return n
}

// plannedFault is one fault of a plan. It begins at a time, or with the next write of a kind
// after it, so that it hits a step of a takeover, handover, commit or cancellation.
type plannedFault struct {
	At, For time.Duration
	Kind    string
	// Arg selects the controller or machines to hit, Share the proportion of machines or
	// messages.
	Arg   int
	Share float64
	// OnWrite is the kind of write that triggers the fault; "": none.
	OnWrite string
}

func (m plannedFault) String() string {
	return fmt.Sprintf("{At: %d, For: %d, Kind: %q, Arg: %d, Share: %.2f, OnWrite: %q},", m.At, m.For, m.Kind, m.Arg, m.Share, m.OnWrite)
}

var faultKinds = []string{"late transactions", "lost transaction answers", "late heartbeats", "replayed heartbeats", "inbound lost", "outbound lost", "refused", "cut from all but agents",

	"cut from agents", "cut off", "outage", "watches stuck", "crash", "crash of all", "away", "pause", "handover", "hang", "power off", "cancel now", "cancel at end",
	"zone cut", "lost messages", "cloud unreachable", "late commands", "late commands", "lost command answers", "slow links"}

var faultTriggers = []string{"", "", "lease", "leadership", "incarnation", "final", "run", "machine"}

// writeObserver signals writes to the state store by kind.
type writeObserver struct{ waiting map[string]chan struct{} }

func writeKind(key string) string {
	switch kind, _ := storage.ParseKey(key); kind {
	case storage.KindLease:
		return "lease"
	case storage.KindLeadership:
		return "leadership"
	case storage.KindIncarnation:
		return "incarnation"
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

// observe signals the writes of a simulated cluster from now on.
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

// nextWrite returns a channel that is closed with the next write of a kind. The lock is held.
func (s *writeObserver) nextWrite(kind string) chan struct{} {
	if s.waiting[kind] == nil {
		s.waiting[kind] = make(chan struct{})
	}
	return s.waiting[kind]
}

// injectAtTrigger waits for a fault's time and trigger, injects it and ends it. Without a write
// of the kind within patience the fault begins all the same.
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

// inject injects a fault, waits for its duration and ends it.
func (sim *simulatedCluster) inject(m plannedFault) {
	label := fmt.Sprint("n", m.Arg%3)
	back := []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second}[m.Arg/3%3]
	// during applies a setting for the fault's duration.
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
	cut := func(filter func(from, host string) bool) {
		id := sim.cuts.add(sim, filter)
		time.Sleep(m.For)
		sim.cuts.end(sim, id)
	}
	node := func(s string) bool { return len(s) == 2 && s[0] == 'n' }
	switch m.Kind {
	case "late transactions", "lost transaction answers":
		during(func(on bool) {
			sim.lateTransactionShare, sim.loseAnswersOnly = 0, false
			if on {
				sim.lateTransactionShare, sim.loseAnswersOnly = m.Share, m.Kind == "lost transaction answers"
			}
		})
	case "late heartbeats", "replayed heartbeats":
		during(func(on bool) {
			sim.duplicatedHeartbeatShare, sim.keepForReplay = 0, false
			if on {
				sim.duplicatedHeartbeatShare, sim.keepForReplay = m.Share, m.Kind == "replayed heartbeats"
			}
		})
		if m.Kind == "replayed heartbeats" {
			var next chan struct{}
			sim.withLock(func() { next = sim.writes.nextWrite("lease") })
			select {
			case <-next:
			case <-time.After(15 * time.Second):
			}
			sim.replayHeartbeats()
		}
	case "inbound lost":
		mark(&sim.inboundLost)
	case "outbound lost":
		mark(&sim.outboundLost)
	case "refused":
		sim.setStateServiceRefusal(label, true)
		time.Sleep(m.For)
		sim.setStateServiceRefusal(label, false)
	case "cut from all but agents":
		cut(func(from, host string) bool {
			return from == label && (host == "state" || node(host)) || host == label && node(from)
		})
	case "cut from agents":
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
		for _, l := range allControllers {
			sim.group.Go(func() { sim.restartController(l, back); done <- struct{}{} })
		}
		for range 3 {
			<-done
		}
	case "pause":
		sim.pauseController(label, min(m.For, 12*time.Second))
	case "handover":
		n := sim.processOf(label)
		if n != nil {
			n.controller.HandOver(sim.ctx)
			sim.restartController(label, back)
		}
	case "hang":
		for _, name := range sim.selectMachines(m) {
			sim.hangMachine(name, m.For)
		}
		time.Sleep(m.For)
	case "power off":
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
	case "cloud unreachable":
		cut(func(_, host string) bool { return host == "cloud" })
	default:
		panic("no such fault: " + m.Kind)
	}
}

// selectMachines returns the names of the proportion Share of the machines, as selected by Arg.
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

const fenceOp = "fence"

// commandOps returns the operations in a message of commands.
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

// drawCommandDelay reports whether and for how long a message to an agent is delayed. The lock
// is held.
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

// deliverCommandLate delivers commands whose sender no longer waits. An agent that hangs
// executes them when it continues.
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
					sim.countFault("late " + verb + " applied")
				} else {
					sim.countFault("late " + verb + " refused")
				}
			}
		})
		return
	}
}

// drawTransactionDelay reports whether a transaction gets no response, and after which delay it
// is applied. The lock is held.
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

// deliverTransactionLate applies a transaction whose sender no longer waits.
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
		sim.countFault("late transaction applied")
	case resp.Status == 409:
		sim.countFault("late transaction refused")
	}
}

// duplicateHeartbeat keeps a copy of a heartbeat for later. The lock is held.
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

// redeliverHeartbeat sends a copy of an old heartbeat to a controller.
func (sim *simulatedCluster) redeliverHeartbeat(label string, k keptHeartbeat) {
	sim.mu.Lock()
	n := sim.controllers[label]
	if n != nil {
		sim.countFault("replayed heartbeat")
	}
	sim.mu.Unlock()
	if n != nil {
		n.handleHeartbeat(sim, k.machine, k.body)
	}
}

// replayHeartbeats sends every kept heartbeat to every controller.
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
