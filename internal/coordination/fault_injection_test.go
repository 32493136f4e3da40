package coordination

import (
	"context"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// injectedFaults are the faults that can be injected besides lost messages, network cuts, kills
// and pauses. They are guarded by the simulated cluster's lock.
type injectedFaults struct {
	// lateTransactionRate is the proportion of transactions that get no response. They are
	// applied 2 to 12 s later, after newer ones, or at once with loseResponsesOnly.
	lateTransactionRate float64
	loseResponsesOnly   bool
	// lateTransactionKind, if not empty, restricts late transactions to those whose first write
	// is of this kind.
	lateTransactionKind string
	// duplicatedHeartbeatRate is the proportion of heartbeats that are delivered a second time,
	// after 2 s plus a random time of up to 1.5 machine leases. With keepForReplay they are
	// instead delivered to every controller when replayHeartbeats is called.
	duplicatedHeartbeatRate float64
	keepForReplay           bool
	keptHeartbeats          []keptHeartbeat
	// delayedCommands, if set, delays direct commands.
	delayedCommands *commandDelayFault
	// copiedCommands, if set, delivers copies of direct commands that were carried out.
	copiedCommands *commandCopyFault
	// copiesHeldUntil are the times until which late commands to a machine are withheld.
	copiesHeldUntil map[string]time.Time
	// refuseStart, if set, returns the cause with which an agent refuses a start, or "".
	refuseStart func(command protocol.Command) (cause string)
	// startsAfterCancel are the tasks that started after the user had received confirmation of
	// their job's cancellation.
	startsAfterCancel []startAfterCancel
	// linkDelayMax is the maximum additional delay of a message; 0 means no delay.
	linkDelayMax time.Duration
	// Heartbeats from inboundLost machines arrive, but responses and commands to them are lost.
	// Heartbeats from outboundLost machines are lost, but commands reach them.
	inboundLost, outboundLost map[string]bool
	// sickMachines fail every task that ends.
	sickMachines map[string]bool
	// suppressNotices removes the cancellation notices from summaries between controllers.
	suppressNotices bool
	// cancelAtEnd, if set, reports whether a job is to be cancelled when its last task ends.
	cancelAtEnd func(job string) bool
	// onJobEnd, if set, is called when a job's last task ends.
	onJobEnd func(job string)
	// bootDelay is the boot time of machines; 0 means 3 to 7 seconds at random.
	bootDelay time.Duration
	writes    writeObserver
	cuts      networkCuts
	// faultCounts are the numbers of events by name, with which a test checks that its faults
	// took effect.
	faultCounts map[string]int
}

// commandDelayFault delays direct commands. The sender gets no response, and the agent receives the
// commands once, 2 to 16 s later. The agent executes them if their token and epoch still match.
type commandDelayFault struct {
	// rate is the proportion of messages that are delayed, among those that contain the
	// operation op. An empty op selects all messages, and fenceOp selects the messages without
	// commands.
	rate float64
	op   string
	// delay is the delay of each message; 0 means a random one. With loseResponsesOnly, the
	// commands arrive at once and only the response is lost.
	delay             time.Duration
	loseResponsesOnly bool
}

// startAfterCancel is a task that started after its job's cancellation was confirmed.
type startAfterCancel struct {
	task    string
	machine string
	after   time.Duration // time between the confirmation and the start
}

// keptHeartbeat is a copy of a heartbeat to be sent again.
type keptHeartbeat struct {
	machine string
	body    []byte
}

// countFault counts one occurrence of an event. The lock is held.
func (sim *simulatedCluster) countFault(event string) {
	if sim.faultCounts == nil {
		sim.faultCounts = map[string]int{}
	}
	sim.faultCounts[event]++
}

// faultCount returns the number of times that an event was counted.
func (sim *simulatedCluster) faultCount(event string) (n int) {
	sim.withLock(func() { n = sim.faultCounts[event] })
	return n
}

// fenceOp stands for a message without commands, which only raises the token.
const fenceOp = "fence"

// commandOps returns the operations in a command batch.
func commandOps(body []byte) (ops map[string]bool) {
	var batch protocol.CommandBatch
	panicOnError(protocol.Decode(body, &batch))
	ops = map[string]bool{}
	for _, command := range batch.Commands {
		ops[command.Op] = true
	}
	if len(batch.Commands) == 0 {
		ops[fenceOp] = true
	}
	return ops
}

// drawCommandDelay returns the delay of a message to an agent, and whether there is one. The lock
// is held.
func (sim *simulatedCluster) drawCommandDelay(target string, body []byte) (delay time.Duration, delayed bool) {
	fault := sim.delayedCommands
	if fault == nil || target != "/orders" || sim.rng.Float64() >= fault.rate {
		return 0, false
	}
	if fault.op != "" && !commandOps(body)[fault.op] {
		return 0, false
	}
	switch {
	case fault.loseResponsesOnly:
		return time.Millisecond, true
	case fault.delay > 0:
		return fault.delay, true
	}
	return 2*time.Second + time.Duration(sim.rng.Int64N(int64(14*time.Second))), true
}

// deliverCommandLate delivers commands after a delay, without returning the response to the
// sender. An agent that hangs receives them when it resumes. The operations are counted as
// fault events that begin with the word event.
func (sim *simulatedCluster) deliverCommandLate(machine string, delay time.Duration, body []byte, event string) {
	for wait := delay; ; wait = 100 * time.Millisecond {
		select {
		case <-time.After(wait):
		case <-sim.ctx.Done():
			return
		}
		sim.mu.Lock()
		agent := sim.agents[machine]
		hangs := agent != nil && (agent.Hung || time.Now().Before(sim.copiesHeldUntil[machine]))
		sim.mu.Unlock()
		if agent == nil {
			return
		}
		if hangs {
			continue
		}
		resp := sim.deliverToAgent(agent, "/orders", body)
		sim.withLock(func() {
			for op := range commandOps(body) {
				if resp != nil && resp.Status == 200 {
					sim.countFault(event + " " + op + " applied")
				} else {
					sim.countFault(event + " " + op + " refused")
				}
			}
		})
		return
	}
}

// drawTransactionDelay returns the delay of a transaction that gets no response, and whether it is
// such a transaction. The lock is held.
func (sim *simulatedCluster) drawTransactionDelay(host, target string, body []byte) (delay time.Duration, late bool) {
	if host != "state" || target != "/commit" || sim.lateTransactionRate == 0 || sim.rng.Float64() >= sim.lateTransactionRate {
		return 0, false
	}
	if sim.lateTransactionKind != "" {
		var txn protocol.Transaction
		panicOnError(protocol.Decode(body, &txn))
		if len(txn.Then) == 0 || writeKind(txn.Then[0].Put) != sim.lateTransactionKind {
			return 0, false
		}
	}
	if sim.loseResponsesOnly {
		return time.Millisecond, true
	}
	return time.Duration(2000+sim.rng.IntN(10_000)) * time.Millisecond, true
}

// deliverTransactionLate applies a transaction after a delay, without returning the response to
// the sender.
func (sim *simulatedCluster) deliverTransactionLate(from string, delay time.Duration, body []byte) {
	time.Sleep(delay)
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

// duplicateHeartbeat schedules a second delivery of a heartbeat, or keeps a copy for
// replayHeartbeats, with the configured probability. The lock is held.
func (sim *simulatedCluster) duplicateHeartbeat(machine, label string, heartbeat []byte) {
	if sim.duplicatedHeartbeatRate == 0 || sim.rng.Float64() >= sim.duplicatedHeartbeatRate {
		return
	}
	if sim.keepForReplay {
		sim.keptHeartbeats = append(sim.keptHeartbeats, keptHeartbeat{machine, heartbeat})
		return
	}
	lease := settings.Seconds(sim.settings.Params.AgentTimes.LeaseS)
	delay := 2*time.Second + time.Duration(sim.rng.Int64N(int64(lease+lease/2)))
	sim.group.Go(func() {
		select {
		case <-time.After(delay):
		case <-sim.ctx.Done():
			return
		}
		sim.redeliverHeartbeat(label, keptHeartbeat{machine, heartbeat})
	})
}

// redeliverHeartbeat sends a copy of an earlier heartbeat to a controller.
func (sim *simulatedCluster) redeliverHeartbeat(label string, heartbeat keptHeartbeat) {
	sim.mu.Lock()
	process := sim.controllers[label]
	if process != nil {
		sim.countFault("replayed heartbeat")
	}
	sim.mu.Unlock()
	if process != nil {
		process.handleHeartbeat(sim, heartbeat.machine, heartbeat.body)
	}
}

// replayHeartbeats sends every kept heartbeat to every controller that is running.
func (sim *simulatedCluster) replayHeartbeats() {
	sim.mu.Lock()
	kept := sim.keptHeartbeats
	sim.keptHeartbeats = nil
	labels := slices.Sorted(maps.Keys(sim.controllers))
	sim.mu.Unlock()
	for _, heartbeat := range kept {
		for _, label := range labels {
			sim.redeliverHeartbeat(label, heartbeat)
		}
	}
}
