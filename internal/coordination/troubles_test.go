package coordination

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
)

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

// drawLinkDelay is how long a message is on its way beyond the usual. The lock is held.
func (sim *simulatedCluster) drawLinkDelay() time.Duration {
	if sim.linkDelayMax == 0 {
		return 0
	}
	return time.Duration(sim.rng.Int64N(int64(sim.linkDelayMax)))
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

// setStateServiceRefusal lets the state service refuse a controller alone, or serve it again.
func (sim *simulatedCluster) setStateServiceRefusal(label string, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.state.Refused == nil {
		sim.state.Refused = map[string]bool{}
	}
	sim.state.Refused[label] = on
}

// hangMachine lets a machine stand still for some time.
func (sim *simulatedCluster) hangMachine(machine string, d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	agent := sim.workers[machine]
	if agent == nil || agent.Hung {
		return
	}
	agent.Hung = true
	sim.group.Go(func() {
		time.Sleep(d)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		agent.Hung = false
	})
}

// cancelAt asks one controller to withdraw a job, once, and notes its answer.
func (sim *simulatedCluster) cancelAt(label, id string) bool {
	sim.mu.Lock()
	sim.jobs[id].cancelRequested = true
	sim.mu.Unlock()
	resp := sim.sendRequest(label, "POST", "/submissions/"+id+"/withdraw", nil)
	if resp.Status != 200 {
		return false
	}
	var st protocol.JobStatus
	panicOnError(protocol.Decode(resp.Body, &st))
	sim.mu.Lock()
	defer sim.mu.Unlock()
	submitted := sim.jobs[id]
	if submitted.finalStatus != "" && st.Status != submitted.finalStatus {
		sim.recordViolation("went_back: %s was %s, is %s", id, submitted.finalStatus, st.Status)
	}
	submitted.finalStatus = st.Status
	if st.Status == protocol.StatusWithdrawn && submitted.cancelledAt.IsZero() {
		submitted.cancelledAt = time.Now()
	}
	return true
}

// machinesRunning lists where a job's tasks are, hung machines included. The lock is held.
func (sim *simulatedCluster) machinesRunning(id string) (machines []string) {
	for _, name := range slices.Sorted(maps.Keys(sim.workers)) {
		for _, t := range sim.workers[name].Tasks {
			if t.Job == id && t.State != protocol.TaskEnded {
				machines = append(machines, name)
			}
		}
	}
	return machines
}

// machinesRunningAnyOf marks the machines that jobs' tasks are on. The lock is held.
func (sim *simulatedCluster) machinesRunningAnyOf(ids ...string) map[string]bool {
	marked := map[string]bool{}
	for _, id := range ids {
		for _, m := range sim.machinesRunning(id) {
			marked[m] = true
		}
	}
	return marked
}

// otherControllers are the controllers but one.
func (sim *simulatedCluster) otherControllers(label string) (list []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, l := range slices.Sorted(maps.Keys(sim.controllers)) {
		if l != label {
			list = append(list, l)
		}
	}
	return list
}

// stripCancellationNotices is a summary that tells no withdrawals.
func stripCancellationNotices(body []byte) []byte {
	sum := new(peer.Summary)
	panicOnError(proto.Unmarshal(body, sum))
	sum.Cancelled = nil
	body, err := proto.Marshal(sum)
	panicOnError(err)
	return body
}
