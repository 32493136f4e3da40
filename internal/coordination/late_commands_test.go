package coordination

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/coordination/agents"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// A start that arrives after its job was cancelled is refused, because the fencing token was raised
// in the meantime, by the same or another leader (rules 9, 50, 51). In an outage of the state store
// no token can be raised; the task is then stopped as soon as it is reported.
func TestLateStartsOfCancelledJobsAreFenced(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// delayFences: half of the messages that only raise the token are delayed as well.
		delayFences bool
		// cancelAfter is the time from the sending of the start to the cancellation of the
		// job.
		cancelAfter time.Duration
		takeover    bool
		hang        time.Duration
		outage      bool
		delegated   bool
		// outboundLost: the machines reach no controller, so that only direct commands carry
		// the token to them.
		outboundLost bool
		startDelay   time.Duration
	}{
		{name: "cancelled at once", cancelAfter: 50 * time.Millisecond, startDelay: 2 * time.Second},
		{name: "cancelled just before the start arrives", cancelAfter: 1500 * time.Millisecond, startDelay: 2 * time.Second},
		{name: "start much later", cancelAfter: 200 * time.Millisecond, startDelay: 16 * time.Second},
		{name: "fences are delayed too", cancelAfter: 100 * time.Millisecond, startDelay: 2 * time.Second, delayFences: true},
		{name: "machines cannot send", cancelAfter: 100 * time.Millisecond, startDelay: 2 * time.Second, outboundLost: true},
		{name: "takeover", cancelAfter: 100 * time.Millisecond, startDelay: 9 * time.Second, takeover: true},
		{name: "machines hang", cancelAfter: 100 * time.Millisecond, startDelay: 3 * time.Second, hang: 4 * time.Second},
		{name: "through delegates", cancelAfter: 100 * time.Millisecond, startDelay: 3 * time.Second, delegated: true},
		{name: "outage", cancelAfter: 100 * time.Millisecond, startDelay: 3 * time.Second, outage: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			prepare := func(sim *simulatedCluster) {
				sim.cloud.Capacity = 16
				if tc.delegated {
					configureFewSockets(sim)
				}
			}
			runConfiguredSimulation(t, 501, prepare, func(sim *simulatedCluster) {
				if tc.delegated {
					sim.startDelegation(8)
				} else {
					time.Sleep(2 * time.Second)
					sim.startLongJobs(3, 4, "green", 20*time.Second)
					time.Sleep(25 * time.Second) // until the machines are idle
				}
				partition := sim.partitionOf("green")
				leader := sim.leaderOf(partition)
				sim.withLock(func() {
					sim.taskRunTime = func(string, int, string) time.Duration { return 30 * time.Second }
					sim.delayedCommands = &commandDelayFault{rate: 1, op: protocol.OpStart, delay: tc.startDelay}
				})
				s := newJobSpec("job-900", 4, "green")
				s.DeadlineS, s.CPUs, s.Urgency = 0, 2, protocol.Production
				if tc.delegated {
					s.Tasks = 40
				}
				sim.submit(s)
				sent := sim.waitForStartsInFlight(leader, s.ID)
				for tc.delegated && sim.faultCount("delayed from "+sim.otherControllers(leader)[0])+sim.faultCount("delayed from "+sim.otherControllers(leader)[1]) == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(tc.cancelAfter)
				if tc.outage {
					defer sim.setOutage(false)
				}
				if tc.outboundLost {
					sim.withLock(func() {
						sim.outboundLost = map[string]bool{}
						for _, m := range sent {
							sim.outboundLost[m] = true
						}
					})
				}
				if tc.hang > 0 {
					for _, m := range sent {
						sim.hangMachine(m, tc.hang)
					}
				}
				sim.withLock(func() {
					if sim.delayedCommands = nil; tc.delayFences {
						sim.delayedCommands = &commandDelayFault{rate: 0.5, op: fenceOp}
					}
				})
				if !sim.cancelAt(sim.otherControllers(leader)[0], s.ID) {
					t.Fatal("the cancellation was not answered")
				}
				if tc.outage {
					sim.setOutage(true)
				}
				if tc.takeover {
					sim.killController(leader)
					sim.waitForNewLeader(partition, leader)
				}
				time.Sleep(tc.startDelay + tc.hang + 3*time.Second)
				sim.withLock(func() {
					refused, applied := sim.faultCounts["late start refused"], sim.faultCounts["late start applied"]
					byDelegates := 0
					for _, l := range allControllers {
						if l != leader {
							byDelegates += sim.faultCounts["delayed from "+l]
						}
					}
					if refused+applied == 0 || tc.delegated && byDelegates == 0 {
						t.Errorf("%d starts arrived late, %d messages of other controllers were delayed, want at least 1 start and, with delegates, at least 1 message", refused+applied, byDelegates)
					}
					for _, start := range sim.startsAfterCancel {
						if !tc.outage {
							t.Errorf("%s started on %s %s after its cancellation", start.task, start.machine, start.after)
						}
					}
					if tc.outage && applied == 0 {
						t.Error("no late start was applied during the outage")
					}
					if n := len(sim.machinesRunning(s.ID)); n > 0 {
						t.Errorf("%d machines still run tasks of the cancelled job, want none", n)
					}
				})
			})
		})
	}
}

// When a leader is killed, its requests with starts fail, so that the next answer to a heartbeat
// would repeat the starts. Neither such an answer nor a command of a killed process may be
// delivered.
func TestKilledLeaderRepeatsNoStart(t *testing.T) {
	t.Parallel()
	runSimulation(t, 503, func(sim *simulatedCluster) {
		sim.startLongJobs(1, 4, "green", 20*time.Second)
		time.Sleep(25 * time.Second) // until the machines are idle
		partition := sim.partitionOf("green")
		leader := sim.leaderOf(partition)
		sim.withLock(func() {
			sim.delayedCommands = &commandDelayFault{rate: 1, op: protocol.OpStart, delay: 9 * time.Second}
		})
		s := newJobSpec("job-900", 4, "green")
		s.DeadlineS, s.CPUs = 0, 2
		sim.submit(s)
		machine := sim.waitForStartsInFlight(leader, s.ID)[0]

		var process *simulatedController
		var heartbeat []byte
		sim.withLock(func() {
			process = sim.controllers[leader]
			heartbeat = protocol.Encode(sim.agents[machine].Heartbeat())
		})
		// The event loop keeps running until this goroutine returns, shortly after the
		// kill.
		process.controller.loop.Go(func() {
			<-process.ctx.Done()
			time.Sleep(10 * time.Millisecond)
		})
		ended := make(chan struct{})
		go func() {
			sim.killController(leader)
			close(ended)
		}()
		synctest.Wait()
		if resp := process.handleHeartbeat(sim, machine, heartbeat); resp.Status != 0 {
			var commands protocol.CommandBatch
			panicOnError(protocol.Decode(resp.Body, &commands))
			t.Errorf("the killed leader answered a heartbeat with status %d and commands %v, want no answer", resp.Status, commands.Commands)
		}
		before := sim.faultCount("delayed from " + leader)
		start := protocol.CommandBatch{Token: 1, Epoch: 1, Commands: []protocol.Command{{Op: protocol.OpStart, Task: s.ID + "/0", Attempt: 1}}}
		ctx, cancel := context.WithTimeout(sim.ctx, agents.CommandTimeout)
		defer cancel()
		_, err := (&controllerNetwork{sim, process}).Do(ctx, machine+":9000", "POST", "/orders", protocol.Encode(start))
		if sent := sim.faultCount("delayed from "+leader) - before; !errors.Is(err, transport.ErrNotSent) || sent > 0 {
			t.Errorf("the killed leader sent %d messages with commands, error %v; want none and ErrNotSent", sent, err)
		}
		<-ended
		sim.withLock(func() { sim.delayedCommands = nil })
		sim.waitForNewLeader(partition, leader)
		sim.waitForAllJobs(time.Minute)
	})
}

// Unanswered stops of cancelled tasks are repeated before their request times out if the machines
// cannot fetch them with heartbeats (rule 54).
func TestDelayedStopsAreRepeated(t *testing.T) {
	t.Parallel()
	runSimulation(t, 502, func(sim *simulatedCluster) {
		ids := sim.startLongJobs(2, 4, "green", 5*time.Minute)
		leader := sim.leaderOf(sim.partitionOf("green"))
		sim.withLock(func() {
			sim.outboundLost = sim.machinesRunningAnyOf(ids[0])
			sim.delayedCommands = &commandDelayFault{rate: 1, op: protocol.OpStop, delay: 16 * time.Second}
		})
		if !sim.cancelAt(leader, ids[0]) {
			t.Fatal("the cancellation was not answered")
		}
		time.Sleep(300 * time.Millisecond)
		delayed := sim.faultCount("delayed from " + leader)
		sim.withLock(func() { sim.delayedCommands = nil })
		time.Sleep(700 * time.Millisecond)
		sim.withLock(func() {
			if left := len(sim.machinesRunning(ids[0])); left > 0 || delayed == 0 {
				t.Errorf("%d machines still run cancelled tasks a second after the cancellation, %d stops were delayed; want 0 and at least 1", left, delayed)
			}
		})
	})
}

// If many machines with cancelled tasks do not answer, repeated commands use a bounded share of the
// sockets and release them after the timeout.
func TestRepeatedCommandsAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newServedController(t, (*Controller).tick)
		defer end()
		setNetwork(c, unresponsiveNetwork{})
		c.loop.Do(func() {
			_, _ = c.leadFirstPartition(5)
			for i := range 100 {
				name := fmt.Sprintf("m-%d", 100+i)
				c.agents.ApplyMachineRecord(name, storage.Machine{Type: "small", Zone: "a", Addr: name + ":1"}, 3, time.Now())
				m := c.Machines[name]
				m.HasReported, m.TokenConfirmed, m.Epoch = true, true, 1
				m.Answers.Answered(time.Now())
				j := &cluster.Job{Spec: newJobSpec(fmt.Sprint("job-", i), 1, "red"), Ended: true}
				j.InitRunState()
				a := &cluster.Attempt{Job: j, Number: 1, Machine: m, Epoch: 1, State: cluster.AttemptConfirmed, Stopping: true, StopRequestedAt: time.Now()}
				j.LiveAttempts[0] = a
				m.Attempts[cluster.AttemptKey(a.TaskName(), 1)] = a
				c.agents.SendCommands(m)
			}
		})
		repeatedMax, repeated := 0, 0
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			c.loop.Do(func() {
				repeated = 0
				for _, m := range c.Machines {
					repeated += max(0, m.CommandRequestsInFlight-1)
				}
				if repeated != c.agents.RepeatedCommands {
					t.Errorf("%d repeated commands are in flight, but RepeatedCommands is %d", repeated, c.agents.RepeatedCommands)
				}
				repeatedMax = max(repeatedMax, repeated)
			})
		}
		c.loop.Do(func() { clear(c.Machines) })
		time.Sleep(2 * agents.CommandTimeout)
		c.loop.Do(func() {
			if c.agents.RepeatedCommands != 0 {
				t.Errorf("RepeatedCommands is %d after the timeout, want 0", c.agents.RepeatedCommands)
			}
		})
		if limit := max(agents.RepeatedCommandsMin, c.Settings.Params.ProcessLimits.Sockets/agents.RepeatedCommandsSocketShare); repeatedMax != limit {
			t.Errorf("at most %d repeated commands were in flight, want %d", repeatedMax, limit)
		}
	})
}

// Only a response that refuses a command proves that it will not be executed later (rule 50).
func TestWhichResponsesRefuseACommand(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		for status, mayExecute := range map[int]bool{200: true, 400: false, 409: false, 500: true, 503: true, 504: true} {
			setNetwork(c, fixedStatusNetwork{status})
			r, sent, err := c.agents.PostCommands("", "m-1", "m-1:1", protocol.CommandBatch{Token: 5, Epoch: 1})
			if sent != mayExecute || (r != nil) != (status == 200 || status == 409) || (err == nil) != (status == 200) {
				t.Errorf("status %d: commands may be executed: %v, heartbeat %v, error %v; only 400 and 409 refuse commands, and only 200 is no error", status, sent, r, err)
			}
		}
	})
}

// waitForStartsInFlight waits until requests with starts of a job are in flight, and returns their
// machines.
func (sim *simulatedCluster) waitForStartsInFlight(leader, job string) (machines []string) {
	for range 60_000 {
		time.Sleep(time.Millisecond)
		sim.onController(leader, func(c *Controller) {
			if j := c.Jobs[job]; j != nil {
				for _, a := range j.LiveAttempts {
					if a.StartsInFlight > 0 {
						machines = append(machines, a.Machine.Name)
					}
				}
			}
		})
		if len(machines) > 0 {
			return machines
		}
	}
	sim.t.Fatalf("no start of %s is in flight", job)
	return nil
}
