package coordination

import (
	"micaspindle/internal/coordination/agents"

	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/standin/worker"
	"micaspindle/internal/storage"
)

// capturedCommands is an order that a controller sent and that has not come yet.
type capturedCommands struct {
	machine string
	body    []byte
}

// captureCommands keeps every order with commands that a controller sends itself from now on.
func (w *simulatedCluster) captureCommands(from string) (kept *[]capturedCommands) {
	kept = new([]capturedCommands)
	w.withLock(func() {
		w.onRequest = func(sender, host, target string, body []byte) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			if sender != from || target != "/orders" || w.workers[host] == nil || commandOps(body)[fenceOp] {
				return false
			}
			*kept = append(*kept, capturedCommands{host, body})
			return true
		}
	})
	return kept
}

// deliverCaptured brings kept orders to their workers.
func (w *simulatedCluster) deliverCaptured(orders []capturedCommands) (done, refused map[string]int) {
	done, refused = map[string]int{}, map[string]int{}
	for _, k := range orders {
		var wk *worker.Worker
		w.withLock(func() { wk = w.workers[k.machine] })
		if wk == nil {
			continue
		}
		resp := w.serveWorker(wk, "/orders", k.body)
		for verb := range commandOps(k.body) {
			if resp != nil && resp.Status == 200 {
				done[verb]++
			} else {
				refused[verb]++
			}
		}
	}
	return done, refused
}

// everySecondMessage are the orders at even or odd places, so that both have all kinds.
func everySecondMessage(orders []capturedCommands, from int) (list []capturedCommands) {
	for i := from; i < len(orders); i += 2 {
		list = append(list, orders[i])
	}
	return list
}

// hasStartsAndStops says whether orders hold starts and stops or reaps.
func hasStartsAndStops(orders []capturedCommands) bool {
	verbs := map[string]bool{}
	for _, k := range orders {
		maps.Copy(verbs, commandOps(k.body))
	}
	return verbs[protocol.OpStart] && (verbs[protocol.OpStop] || verbs[protocol.OpForget])
}

// sendCommandsOfAllKinds has an owner send starts, stops and reaps: jobs end, one is called off
// and another is submitted.
func (w *simulatedCluster) sendCommandsOfAllKinds(owner, cancelled string) error {
	for i := range 4 {
		s := newJobSpec(fmt.Sprintf("job-8%d", i), 4, "green")
		s.DeadlineS, s.CPUs = 0, 2
		w.submit(s)
	}
	time.Sleep(1500 * time.Millisecond)
	if !w.cancelAt(w.otherControllers(owner)[0], cancelled) {
		return fmt.Errorf("%s is not cancelled", cancelled)
	}
	return nil
}

// runWithStaleCommands plays an owner whose commands come after another has begun: some before its
// first fencing orders, some after.
func runWithStaleCommands(replace func(w *simulatedCluster, part int, owner string) (heir string)) func(w *simulatedCluster) error {
	return func(w *simulatedCluster) error {
		w.startLongJobs(3, 4, "green", 9*time.Second)
		part := w.partitionOf("green")
		owner := w.leaderOf(part)
		kept := w.captureCommands(owner)
		time.Sleep(2500 * time.Millisecond)
		if err := w.sendCommandsOfAllKinds(owner, "job-101"); err != nil {
			return err
		}
		var sent []capturedCommands
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			w.withLock(func() { sent = slices.Clone(*kept) })
			if hasStartsAndStops(everySecondMessage(sent, 0)) && hasStartsAndStops(everySecondMessage(sent, 1)) {
				break
			}
		}
		fencing := make(chan struct{})
		w.withLock(func() {
			w.onRequest = func(_, host, target string, body []byte) bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				if target == "/orders" && w.workers[host] != nil && commandOps(body)[fenceOp] && fencing != nil {
					close(fencing)
					fencing = nil
				}
				return false
			}
		})
		before := fencing
		type outcome struct{ done, refused map[string]int }
		brought := make(chan outcome, 1)
		w.group.Go(func() {
			<-before
			done, refused := w.deliverCaptured(everySecondMessage(sent, 0))
			brought <- outcome{done, refused}
		})
		heir := replace(w, part, owner)
		early := <-brought
		time.Sleep(3 * time.Second)
		_, refused := w.deliverCaptured(everySecondMessage(sent, 1))
		w.startMissingControllers()
		w.withLock(func() { w.onRequest = nil })
		came := map[string]int{}
		maps.Copy(came, early.refused)
		maps.Copy(came, early.done)
		if len(came) < 2 || len(early.done) == 0 || refused[protocol.OpStart] == 0 || refused[protocol.OpStop]+refused[protocol.OpForget] == 0 || heir == "" {
			return fmt.Errorf("of %d orders came before the first fencing %v, refused after it %v, new owner %q", len(sent), early, refused, heir)
		}
		return nil
	}
}

// tokenRaiseShareMax is the share of the write budget that raised tokens may take in a second.
const tokenRaiseShareMax = 0.5

var commandFaultCombinations = []faultCombination{
	{name: "an old owner's starts, stops and reaps come before and after the new one's first fencing",
		run: runWithStaleCommands(func(w *simulatedCluster, part int, owner string) string {
			w.killController(owner)
			return w.waitForNewLeader(part, owner)
		})},
	{name: "those of a process that restarted as successor of itself",
		run: runWithStaleCommands(func(w *simulatedCluster, part int, owner string) string {
			for _, l := range w.otherControllers(owner) {
				w.killController(l)
			}
			w.killController(owner)
			time.Sleep(300 * time.Millisecond)
			w.startController(owner)
			return w.waitForNewLeader(part, "")
		})},
	{name: "a process stands still between the check and the sending of a start, and the job is cancelled", run: func(w *simulatedCluster) error {
		w.startLongJobs(2, 4, "green", 12*time.Second)
		part := w.partitionOf("green")
		owner := w.leaderOf(part)
		time.Sleep(12 * time.Second)
		sending := make(chan struct{})
		var once sync.Once
		w.withLock(func() {
			w.onRequest = func(from, host, target string, body []byte) bool {
				if from != owner || target != "/orders" || host[0] != 'm' || !commandOps(body)[protocol.OpStart] {
					return false
				}
				once.Do(func() {
					close(sending)
					w.pauseController(owner, 14*time.Second)
				})
				w.waitWhilePaused(owner)
				return false
			}
		})
		s := newJobSpec("job-900", 3, "green")
		s.DeadlineS = 0
		w.submit(s)
		<-sending
		heir := w.waitForNewLeader(part, owner)
		if !w.cancelAt(heir, s.ID) {
			return fmt.Errorf("not cancelled")
		}
		time.Sleep(14 * time.Second)
		w.withLock(func() {
			w.onRequest = nil
			for _, start := range w.startsAfterCancel {
				w.t.Errorf("%s started %s after its cancellation", start.task, start.after)
			}
		})
		if refused := w.faultCount("refused start"); heir == owner || refused == 0 {
			return fmt.Errorf("new owner %s, %d old starts came and were refused", heir, refused)
		}
		return nil
	}},
	{name: "commands are carried out at once and only their answers lost, while jobs are cancelled and the owner ends", run: func(w *simulatedCluster) error {
		w.startLongJobs(3, 4, "green", 9*time.Second)
		part := w.partitionOf("green")
		w.withLock(func() { w.delayedCommands = &commandDelayFault{share: 0.7, loseAnswersOnly: true} })
		met := func() (starts, stops, reaps int) {
			return w.faultCount("late start done"), w.faultCount("late stop done"), w.faultCount("late reap done")
		}
		for i := range 60 {
			if starts, stops, reaps := met(); i >= 20 && starts >= 5 && stops >= 2 && reaps >= 3 {
				break
			}
			s := newJobSpec(fmt.Sprintf("job-%d", i), 2+i%3, "green")
			s.DeadlineS, s.CPUs = 0, 2
			w.submit(s)
			if i%4 == 3 {
				w.group.Go(func() {
					time.Sleep(4 * time.Second)
					w.cancelUntilAnswered(s.ID, i)
				})
			}
			time.Sleep(700 * time.Millisecond)
		}
		owner := w.leaderOf(part)
		w.killController(owner)
		w.waitForNewLeader(part, owner)
		w.startController(owner)
		time.Sleep(8 * time.Second)
		if starts, stops, reaps := met(); starts < 5 || stops < 2 || reaps < 3 {
			return fmt.Errorf("answers lost of %d starts, %d stops, %d reaps", starts, stops, reaps)
		}
		return nil
	}},
	{name: "half of the commands are held up for a minute while jobs are cancelled, preempted and drained", prepare: func(w *simulatedCluster) {
		w.cloud.Capacity = 40
		w.settings.Params.Teams = []settings.Team{{Name: "red", CPUs: 60, CPUsMax: 80}, {Name: "blue", CPUs: 60, CPUsMax: 200}, {Name: "green"}}
	}, run: delayHalfOfCommands, finishWithin: 5 * time.Minute},
	{name: "jobs are cancelled as their part changes hands, and their machines reach nobody", run: func(w *simulatedCluster) error {
		ids := w.startLongJobs(3, 4, "green", 2*time.Minute)
		part := w.partitionOf("green")
		owner := w.leaderOf(part)
		other := w.otherControllers(owner)[0]
		w.withLock(func() { w.outboundLost = w.machinesRunningAnyOf(ids[0]) })
		w.killController(owner)
		between := w.leaderOf(part) == ""
		cancelled := w.cancelAt(other, ids[0])
		w.waitForNewLeader(part, owner)
		time.Sleep(1500 * time.Millisecond) // far less than what is left of the lease
		left := 0
		w.withLock(func() {
			left = len(w.machinesRunning(ids[0]))
			w.outboundLost = nil
		})
		w.startController(owner)
		if left > 0 {
			w.t.Errorf("%d of its tasks go on though commands reach their machines", left)
		}
		if !between || !cancelled {
			return fmt.Errorf("cancelled %v, while nobody owned the part %v", cancelled, between)
		}
		return nil
	}},
	{name: "more work than room, urgent and not, over slow links", run: func(w *simulatedCluster) error {
		w.withLock(func() { w.linkDelayMax = 900 * time.Millisecond })
		part := w.partitionOf("green")
		waited := 0
		for i := range 40 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 4, "green")
			s.Urgency, s.DeadlineS = protocol.Urgency(i%4), 0
			w.group.Go(func() { w.submitUntilAccepted(s, i) })
			w.withLock(func() { w.jobs[s.ID] = &submittedJob{spec: s, tasksDone: map[int]bool{}} })
			if i%5 == 4 {
				w.group.Go(func() {
					time.Sleep(6 * time.Second)
					w.cancelUntilAnswered(s.ID, i)
				})
			}
			if i == 25 {
				owner := w.leaderOf(part)
				w.group.Go(func() { w.restartController(owner, time.Second) })
			}
			time.Sleep(700 * time.Millisecond)
			w.onController(w.leaderOf(part), func(c *Controller) {
				queued := 0
				for _, j := range c.Jobs {
					queued += len(j.Pending)
				}
				waited = max(waited, queued)
			})
		}
		time.Sleep(20 * time.Second)
		w.withLock(func() { w.linkDelayMax = 0 })
		if waited < 20 {
			return fmt.Errorf("at most %d tasks waited", waited)
		}
		return nil
	}, finishWithin: 5 * time.Minute},
	{name: "jobs bound to a zone lose machines where it has no room, and the leader ends", prepare: func(w *simulatedCluster) {
		w.cloud.Types[1].ZonesOffered = []string{"a"}
	}, run: func(w *simulatedCluster) error {
		w.withLock(func() { w.runTime = func(string, int, string) time.Duration { return 25 * time.Second } })
		part := w.partitionOf("green")
		bound := []string{"job-0", "job-1", "job-2"}
		w.submitPlacementBoundJobs(9, 6, 4)
		hit := w.powerOffMachinesOf(bound, func() bool {
			return len(w.cloud.Machines) >= w.cloud.Capacity &&
				!slices.ContainsFunc(bound, func(id string) bool { return len(w.jobs[id].tasksDone) == 6 })
		})
		owner := w.leaderOf(part)
		w.killController(owner)
		w.waitForNewLeader(part, owner)
		w.startController(owner)
		if hit < len(bound) {
			return fmt.Errorf("%d of %d kinds of jobs lost machines while no room was left", hit, len(bound))
		}
		return nil
	}, finishWithin: 6 * time.Minute},
}

// delayHalfOfCommands holds half of the direct commands up for a minute.
func delayHalfOfCommands(w *simulatedCluster) error {
	w.withLock(func() {
		w.runTime = func(job string, task int, _ string) time.Duration {
			return time.Duration(4+(len(job)+task*5)%16) * time.Second
		}
	})
	time.Sleep(2 * time.Second)
	raised := map[int]int{} // by second
	w.withLock(func() {
		check := w.state.BeforePut
		w.state.BeforePut = func(c protocol.Change, old protocol.Item, exists bool) {
			check(c, old, exists)
			if kind, _ := storage.ParseKey(c.Put); kind == storage.KindMachine && exists {
				raised[int(time.Now().Unix())]++
			}
		}
	})
	teams := []string{"red", "blue", "green"}
	begun := time.Now()
	for i := 0; time.Since(begun) < 75*time.Second; i++ {
		if at := time.Since(begun); at > 10*time.Second && at < 70*time.Second {
			w.withLock(func() {
				if w.delayedCommands == nil {
					w.delayedCommands = &commandDelayFault{share: 0.5}
				}
			})
		} else {
			w.withLock(func() { w.delayedCommands = nil })
		}
		s := newJobSpec(fmt.Sprintf("job-%d", i), 1+i%5, teams[i%3])
		s.Urgency, s.DeadlineS, s.CPUs = protocol.Urgency(i%4), 0, float64(2+2*(i%2))
		if i%9 == 8 {
			s.Gang, s.Tasks = true, 3
		}
		w.submit(s)
		if i%4 == 3 {
			after := time.Duration(i%7) * 900 * time.Millisecond
			w.group.Go(func() {
				time.Sleep(after)
				w.cancelUntilAnswered(s.ID, i)
			})
		}
		if i%20 == 10 {
			w.withLock(func() {
				names := slices.Sorted(maps.Keys(w.workers))
				for _, name := range names[:len(names)/5] {
					notice := time.Now().Add(15 * time.Second)
					if wk := w.workers[name]; wk.Notice == nil && wk.Spot {
						wk.Notice = &notice
						w.group.Go(func() {
							time.Sleep(15 * time.Second)
							w.withLock(func() {
								w.stopMachine(name)
								delete(w.cloud.Machines, name)
								w.countFault("machines taken")
							})
						})
					}
				}
			})
		}
		time.Sleep(600 * time.Millisecond)
	}
	w.withLock(func() { w.delayedCommands = nil })
	most := 0
	for _, n := range raised {
		most = max(most, n)
	}
	var late []string
	w.withLock(func() {
		for _, start := range w.startsAfterCancel {
			// What was fetching as its job was cancelled is another matter than a start
			// that came after it.
			if start.after > time.Second+agents.CommandAnswerWait {
				late = append(late, fmt.Sprintf("%s %s after", start.task, start.after))
			}
		}
	})
	if len(late) > 0 {
		w.t.Errorf("started after their cancellation: %v", late)
	}
	if limit := tokenRaiseShareMax * w.settings.Params.State.WriteRPS; float64(most) > limit {
		w.t.Errorf("%d records of machines written in a second, at most %v", most, limit)
	}
	done, refused, stops, taken := w.faultCount("late start done"), w.faultCount("late start refused"), w.faultCount("late stop done"), w.faultCount("machines taken")
	if done < 10 || refused < 3 || stops < 3 || taken < 1 || len(raised) == 0 {
		return fmt.Errorf("%d late starts done, %d refused, %d late stops, %d machines taken, raises in %d seconds", done, refused, stops, taken, len(raised))
	}
	return nil
}

// Each meeting of commands that are late, of slow links and of zones without room breaks
// no rule, and everything is over in time.
func TestConcurrentCommandFaults(t *testing.T) {
	t.Parallel()
	runFaultCombinations(t, 600, commandFaultCombinations)
}
