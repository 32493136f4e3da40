package coordination

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"micaspindle/internal/coordination/agents"
	"micaspindle/internal/fake/agent"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// capturedMessage is a message with commands that a controller sent and that was not delivered
// to its machine.
type capturedMessage struct {
	machine string
	body    []byte
}

// captureCommands withholds the messages with commands that a controller sends directly to
// agents from now on. Messages that only raise the fencing token are delivered.
func (sim *simulatedCluster) captureCommands(from string) (captured *[]capturedMessage) {
	captured = new([]capturedMessage)
	sim.withLock(func() {
		sim.onRequest = func(sender, host, target string, body []byte) bool {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			if sender != from || target != "/orders" || sim.agents[host] == nil || commandOps(body)[fenceOp] {
				return false
			}
			*captured = append(*captured, capturedMessage{host, body})
			return true
		}
	})
	return captured
}

// deliverCaptured delivers captured messages to their agents, and returns the numbers of applied
// and refused messages by operation.
func (sim *simulatedCluster) deliverCaptured(messages []capturedMessage) (applied, refused map[string]int) {
	applied, refused = map[string]int{}, map[string]int{}
	for _, message := range messages {
		var agent *agent.Agent
		sim.withLock(func() { agent = sim.agents[message.machine] })
		if agent == nil {
			continue
		}
		resp := sim.deliverToAgent(agent, "/orders", message.body)
		for op := range commandOps(message.body) {
			if resp != nil && resp.Status == 200 {
				applied[op]++
			} else {
				refused[op]++
			}
		}
	}
	return applied, refused
}

// everySecondMessage returns the messages at even (from = 0) or odd (from = 1) indexes, so that
// both halves are likely to contain all operations.
func everySecondMessage(messages []capturedMessage, from int) (list []capturedMessage) {
	for i := from; i < len(messages); i += 2 {
		list = append(list, messages[i])
	}
	return list
}

// hasStartsAndStops reports whether the messages contain starts as well as stops or reaps.
func hasStartsAndStops(messages []capturedMessage) bool {
	ops := map[string]bool{}
	for _, message := range messages {
		maps.Copy(ops, commandOps(message.body))
	}
	return ops[protocol.OpStart] && (ops[protocol.OpStop] || ops[protocol.OpForget])
}

// anyAcceptable reports whether an agent would still execute one of the messages, since its leader
// has not raised the machine's token in the meantime.
func (sim *simulatedCluster) anyAcceptable(messages []capturedMessage) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.ContainsFunc(messages, func(message capturedMessage) bool {
		var batch protocol.CommandBatch
		panicOnError(protocol.Decode(message.body, &batch))
		agent := sim.agents[message.machine]
		return agent != nil && batch.Token >= agent.Token && batch.Epoch == agent.Epoch
	})
}

// sendCommandsOfAllKinds makes a leader send starts, stops and reaps: it submits jobs and cancels
// one, while others end.
func (sim *simulatedCluster) sendCommandsOfAllKinds(leader, cancelled string) error {
	for i := range 4 {
		s := newJobSpec(fmt.Sprintf("job-8%d", i), 4, "green")
		s.DeadlineS, s.CPUs = 0, 2
		sim.submit(s)
	}
	time.Sleep(1500 * time.Millisecond)
	if !sim.cancelAt(sim.otherControllers(leader)[0], cancelled) {
		return fmt.Errorf("the cancellation of %s was not answered", cancelled)
	}
	return nil
}

// runWithStaleCommands withholds the commands of a leader and replaces it. Half of the commands
// arrive when its successor sends the first fence, the other half after the machines are fenced.
func runWithStaleCommands(replace func(sim *simulatedCluster, partition int, leader string) (successor string)) func(sim *simulatedCluster) error {
	return func(sim *simulatedCluster) error {
		sim.startLongJobs(3, 4, "green", 9*time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		captured := sim.captureCommands(leader)
		time.Sleep(2500 * time.Millisecond)
		if err := sim.sendCommandsOfAllKinds(leader, "job-101"); err != nil {
			return err
		}
		var sent []capturedMessage
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			sim.withLock(func() { sent = slices.Clone(*captured) })
			if hasStartsAndStops(everySecondMessage(sent, 0)) && hasStartsAndStops(everySecondMessage(sent, 1)) && sim.anyAcceptable(everySecondMessage(sent, 0)) {
				break
			}
		}
		firstFence := make(chan struct{})
		sim.withLock(func() {
			sim.onRequest = func(_, host, target string, body []byte) bool {
				sim.mu.Lock()
				defer sim.mu.Unlock()
				if target == "/orders" && sim.agents[host] != nil && commandOps(body)[fenceOp] && firstFence != nil {
					close(firstFence)
					firstFence = nil
				}
				return false
			}
		})
		firstFenceSent := firstFence
		type outcome struct{ applied, refused map[string]int }
		delivered := make(chan outcome, 1)
		sim.group.Go(func() {
			<-firstFenceSent
			applied, refused := sim.deliverCaptured(everySecondMessage(sent, 0))
			delivered <- outcome{applied, refused}
		})
		successor := replace(sim, partition, leader)
		early := <-delivered
		time.Sleep(3 * time.Second)
		_, refused := sim.deliverCaptured(everySecondMessage(sent, 1))
		sim.startMissingControllers()
		sim.withLock(func() { sim.onRequest = nil })
		arrived := map[string]int{}
		maps.Copy(arrived, early.refused)
		maps.Copy(arrived, early.applied)
		if len(arrived) < 2 || len(early.applied) == 0 || refused[protocol.OpStart] == 0 || refused[protocol.OpStop]+refused[protocol.OpForget] == 0 || successor == "" {
			return fmt.Errorf("%d messages withheld; operations applied and refused at the first fence: %v; operations refused after all fences: %v; new leader %q; want starts, and stops or reaps, both times, at least one operation applied at the first fence, and a new leader", len(sent), early, refused, successor)
		}
		return nil
	}
}

// tokenRaiseShareMax is the maximum share of the state store's write rate that token raises may use
// in any second.
const tokenRaiseShareMax = 0.5

// commandFaultCombinations combine faults of commands, links and zones. The index of a
// combination determines its seed.
var commandFaultCombinations = []faultCombination{
	{name: "starts, stops and reaps of a former leader arrive before and after its successor's first fence",
		run: runWithStaleCommands(func(sim *simulatedCluster, partition int, leader string) string {
			sim.killController(leader)
			return sim.waitForNewLeader(partition, leader)
		})},
	{name: "starts, stops and reaps of a leader's previous incarnation arrive late",
		run: runWithStaleCommands(func(sim *simulatedCluster, partition int, leader string) string {
			for _, l := range sim.otherControllers(leader) {
				sim.killController(l)
			}
			sim.killController(leader)
			time.Sleep(300 * time.Millisecond)
			sim.startController(leader)
			return sim.waitForNewLeader(partition, "")
		})},
	{name: "a leader pauses between the check and the sending of a start, and the job is cancelled", run: func(sim *simulatedCluster) error {
		sim.startLongJobs(2, 4, "green", 12*time.Second)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		time.Sleep(12 * time.Second)
		sending := make(chan struct{})
		var once sync.Once
		sim.withLock(func() {
			sim.onRequest = func(from, host, target string, body []byte) bool {
				if from != leader || target != "/orders" || host[0] != 'm' || !commandOps(body)[protocol.OpStart] {
					return false
				}
				once.Do(func() {
					close(sending)
					sim.pauseController(leader, 14*time.Second)
				})
				sim.waitWhilePaused(leader)
				return false
			}
		})
		s := newJobSpec("job-900", 3, "green")
		s.DeadlineS = 0
		sim.submit(s)
		<-sending
		successor := sim.waitForNewLeader(partition, leader)
		if !sim.cancelAt(successor, s.ID) {
			return fmt.Errorf("the cancellation was not answered")
		}
		time.Sleep(14 * time.Second)
		sim.withLock(func() {
			sim.onRequest = nil
			for _, start := range sim.startsAfterCancel {
				sim.t.Errorf("%s started %s after its cancellation", start.task, start.after)
			}
		})
		if refused := sim.faultCount("refused start"); successor == leader || refused == 0 {
			return fmt.Errorf("new leader %s, %d stale starts refused; want another leader and at least one refusal", successor, refused)
		}
		return nil
	}},
	{name: "responses to commands are lost while jobs are cancelled and the leader is killed", run: func(sim *simulatedCluster) error {
		sim.startLongJobs(3, 4, "green", 9*time.Second)
		partition := sim.partitionOf("green")
		sim.withLock(func() { sim.delayedCommands = &commandDelayFault{rate: 0.7, loseResponsesOnly: true} })
		lostAnswers := func() (starts, stops, reaps int) {
			return sim.faultCount("late start applied"), sim.faultCount("late stop applied"), sim.faultCount("late reap applied")
		}
		for i := range 60 {
			if starts, stops, reaps := lostAnswers(); i >= 20 && starts >= 5 && stops >= 2 && reaps >= 3 {
				break
			}
			s := newJobSpec(fmt.Sprintf("job-%d", i), 2+i%3, "green")
			s.DeadlineS, s.CPUs = 0, 2
			sim.submit(s)
			if i%4 == 3 {
				sim.group.Go(func() {
					time.Sleep(4 * time.Second)
					sim.cancelUntilAnswered(s.ID, i)
				})
			}
			time.Sleep(700 * time.Millisecond)
		}
		leader := sim.leaderOf(partition)
		sim.killController(leader)
		sim.waitForNewLeader(partition, leader)
		sim.startController(leader)
		time.Sleep(8 * time.Second)
		if starts, stops, reaps := lostAnswers(); starts < 5 || stops < 2 || reaps < 3 {
			return fmt.Errorf("responses to %d starts, %d stops and %d reaps were lost, want at least 5, 2 and 3", starts, stops, reaps)
		}
		return nil
	}},
	{name: "half of the commands are delayed for a minute while jobs are cancelled, preempted and drained", prepare: func(sim *simulatedCluster) {
		sim.cloud.Capacity = 40
		sim.settings.Params.Teams = []settings.Team{{Name: "red", CPUs: 60, CPUsMax: 80}, {Name: "blue", CPUs: 60, CPUsMax: 200}, {Name: "green"}}
	}, run: delayHalfOfCommands, finishWithin: 5 * time.Minute},
	{name: "jobs are cancelled during a failover, and their machines cannot send", run: func(sim *simulatedCluster) error {
		ids := sim.startLongJobs(3, 4, "green", 2*time.Minute)
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		other := sim.otherControllers(leader)[0]
		sim.withLock(func() { sim.outboundLost = sim.machinesRunningAnyOf(ids[0]) })
		sim.killController(leader)
		leaderless := sim.leaderOf(partition) == ""
		cancelled := sim.cancelAt(other, ids[0])
		sim.waitForNewLeader(partition, leader)
		time.Sleep(1500 * time.Millisecond) // much shorter than the remaining time of the machine leases
		left := 0
		sim.withLock(func() {
			left = len(sim.machinesRunning(ids[0]))
			sim.outboundLost = nil
		})
		sim.startController(leader)
		if left > 0 {
			sim.t.Errorf("%d tasks of the cancelled job still run although commands reach their machines", left)
		}
		if !leaderless || !cancelled {
			return fmt.Errorf("cancellation answered: %v, partition without a leader at that time: %v; want both", cancelled, leaderless)
		}
		return nil
	}},
	{name: "more work than capacity at all urgencies over slow links", run: func(sim *simulatedCluster) error {
		sim.withLock(func() { sim.linkDelayMax = 900 * time.Millisecond })
		partition := sim.partitionOf("green")
		queuedMax := 0
		for i := range 40 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 4, "green")
			s.Urgency, s.DeadlineS = protocol.Urgency(i%4), 0
			sim.group.Go(func() { sim.submitUntilAccepted(s, i) })
			sim.withLock(func() { sim.jobs[s.ID] = newSubmittedJob(s) })
			if i%5 == 4 {
				sim.group.Go(func() {
					time.Sleep(6 * time.Second)
					sim.cancelUntilAnswered(s.ID, i)
				})
			}
			if i == 25 {
				leader := sim.leaderOf(partition)
				sim.group.Go(func() { sim.restartController(leader, time.Second) })
			}
			time.Sleep(700 * time.Millisecond)
			sim.onController(sim.leaderOf(partition), func(c *Controller) {
				queued := 0
				for _, j := range c.Jobs {
					queued += len(j.Pending)
				}
				queuedMax = max(queuedMax, queued)
			})
		}
		time.Sleep(20 * time.Second)
		sim.withLock(func() { sim.linkDelayMax = 0 })
		if queuedMax < 20 {
			return fmt.Errorf("at most %d tasks were queued at a time, want at least 20", queuedMax)
		}
		return nil
	}, finishWithin: 5 * time.Minute},
	{name: "jobs bound to a zone lose machines at full capacity, and the leader is killed", prepare: func(sim *simulatedCluster) {
		sim.cloud.Types[1].Zones = []string{"a"}
	}, run: func(sim *simulatedCluster) error {
		sim.setRunTime(25 * time.Second)
		partition := sim.partitionOf("green")
		ids := []string{"job-0", "job-1", "job-2"}
		sim.submitJobsWithPlacementConstraints(9, 6, 4)
		hit := sim.powerOffMachinesOf(ids, func() bool {
			return len(sim.cloud.Machines) >= sim.cloud.Capacity &&
				!slices.ContainsFunc(ids, func(id string) bool { return len(sim.jobs[id].tasksDone) == 6 })
		})
		leader := sim.leaderOf(partition)
		sim.killController(leader)
		sim.waitForNewLeader(partition, leader)
		sim.startController(leader)
		if hit < len(ids) {
			return fmt.Errorf("%d of %d jobs lost machines while the cloud had no capacity left, want all", hit, len(ids))
		}
		return nil
	}, finishWithin: 6 * time.Minute},
}

// The minimum numbers of starts and stops that arrive late in delayHalfOfCommands, and the longest
// time for which it delays commands until they have.
const (
	lateStartsAppliedMin = 10
	lateStartsRefusedMin = 3
	lateStopsAppliedMin  = 3
	delayedCommandsMax   = 4 * time.Minute
)

// delayHalfOfCommands delays half of the direct commands for a minute, or longer until enough of them
// have arrived late, while jobs are submitted and cancelled and machines are preempted.
func delayHalfOfCommands(sim *simulatedCluster) error {
	sim.withLock(func() {
		sim.taskRunTime = func(job string, task int, _ string) time.Duration {
			return time.Duration(4+(len(job)+task*5)%16) * time.Second
		}
	})
	time.Sleep(2 * time.Second)
	tokenRaises := map[int]int{} // by second
	sim.withLock(func() {
		check := sim.state.BeforePut
		sim.state.BeforePut = func(c protocol.Change, old protocol.Item, exists bool) {
			check(c, old, exists)
			if kind, _ := storage.ParseKey(c.Put); kind == storage.KindMachine && exists {
				tokenRaises[int(time.Now().Unix())]++
			}
		}
	})
	teams := allTeams
	enough := func() bool {
		return sim.faultCount("late start applied") >= lateStartsAppliedMin && sim.faultCount("late start refused") >= lateStartsRefusedMin &&
			sim.faultCount("late stop applied") >= lateStopsAppliedMin
	}
	begun := time.Now()
	end := 75 * time.Second
	for i := 0; time.Since(begun) < end; i++ {
		if end-time.Since(begun) < 10*time.Second && end < delayedCommandsMax && !enough() {
			end += 10 * time.Second
		}
		if at := time.Since(begun); at > 10*time.Second && at < end-5*time.Second {
			sim.withLock(func() {
				if sim.delayedCommands == nil {
					sim.delayedCommands = &commandDelayFault{rate: 0.5}
				}
			})
		} else {
			sim.withLock(func() { sim.delayedCommands = nil })
		}
		s := newJobSpec(fmt.Sprintf("job-%d", i), 1+i%5, teams[i%3])
		s.Urgency, s.DeadlineS, s.CPUs = protocol.Urgency(i%4), 0, float64(2+2*(i%2))
		if i%9 == 8 {
			s.Gang, s.Tasks = true, 3
		}
		sim.submit(s)
		if i%4 == 3 {
			after := time.Duration(i%7) * 900 * time.Millisecond
			sim.group.Go(func() {
				time.Sleep(after)
				sim.cancelUntilAnswered(s.ID, i)
			})
		}
		if i%20 == 10 {
			sim.withLock(func() {
				names := slices.Sorted(maps.Keys(sim.agents))
				for _, name := range names[:len(names)/5] {
					notice := time.Now().Add(15 * time.Second)
					if agent := sim.agents[name]; agent.PreemptAt == nil && agent.Spot {
						agent.PreemptAt = &notice
						sim.group.Go(func() {
							time.Sleep(15 * time.Second)
							sim.withLock(func() {
								sim.stopMachine(name)
								delete(sim.cloud.Machines, name)
								sim.countFault("machines preempted")
							})
						})
					}
				}
			})
		}
		time.Sleep(600 * time.Millisecond)
	}
	sim.withLock(func() { sim.delayedCommands = nil })
	raisesMax := 0
	for _, n := range tokenRaises {
		raisesMax = max(raisesMax, n)
	}
	var late []string
	sim.withLock(func() {
		for _, start := range sim.startsAfterCancel {
			// A task that was fetching its image at the cancellation may still start
			// within this time. A later start must have arrived after the cancellation.
			if start.after > time.Second+agents.CommandAnswerWait {
				late = append(late, fmt.Sprintf("%s after %s", start.task, start.after))
			}
		}
	})
	if len(late) > 0 {
		sim.t.Errorf("tasks started after their cancellation: %v", late)
	}
	if limit := tokenRaiseShareMax * sim.settings.Params.State.WriteRPS; float64(raisesMax) > limit {
		sim.t.Errorf("%d machine records were written in one second, want at most %v", raisesMax, limit)
	}
	applied, refused, stops, preempted := sim.faultCount("late start applied"), sim.faultCount("late start refused"), sim.faultCount("late stop applied"), sim.faultCount("machines preempted")
	if applied < lateStartsAppliedMin || refused < lateStartsRefusedMin || stops < lateStopsAppliedMin || preempted < 1 || len(tokenRaises) == 0 {
		return fmt.Errorf("%d late starts applied, %d refused, %d late stops applied, %d machines preempted, fencing tokens raised during %d different seconds; want at least 10, 3, 3, 1 and 1", applied, refused, stops, preempted, len(tokenRaises))
	}
	return nil
}

// Combinations of late commands, slow links and zones without capacity violate no safety rule,
// and all jobs end in time.
func TestConcurrentCommandFaults(t *testing.T) {
	t.Parallel()
	runFaultCombinations(t, 600, commandFaultCombinations)
}
