package coordination

import (
	"context"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
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

// keptHeartbeat is a copy of a heartbeat to be sent again.
type keptHeartbeat struct {
	machine string
	body    []byte
}

// countFault counts an event of a fault. The lock is held.
func (sim *simulatedCluster) countFault(event string) {
	if sim.faultCounts == nil {
		sim.faultCounts = map[string]int{}
	}
	sim.faultCounts[event]++
}

// faultCount returns how often an event was counted.
func (sim *simulatedCluster) faultCount(event string) (n int) {
	sim.withLock(func() { n = sim.faultCounts[event] })
	return n
}

// fenceOp stands for a message without commands, which only raises the token.
const fenceOp = "fence"

// commandOps returns the operations in a message of commands.
func commandOps(body []byte) (ops map[string]bool) {
	var orders protocol.CommandBatch
	panicOnError(protocol.Decode(body, &orders))
	ops = map[string]bool{}
	for _, command := range orders.Commands {
		ops[command.Op] = true
	}
	if len(orders.Commands) == 0 {
		ops[fenceOp] = true
	}
	return ops
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
			for op := range commandOps(body) {
				if resp != nil && resp.Status == 200 {
					sim.countFault("late " + op + " applied")
				} else {
					sim.countFault("late " + op + " refused")
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
