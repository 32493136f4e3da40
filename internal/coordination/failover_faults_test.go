package coordination

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// takeoverSteps recognize the steps of a takeover of partition 0 by a controller's messages. Tests
// run in the sorted order of the names, which determines the part that CI runs.
var takeoverSteps = map[string]func(target string, body []byte) bool{
	"claiming the lease": func(target string, body []byte) bool {
		return target == "/commit" && strings.Contains(string(body), storage.LeaseKey(0)) && strings.Contains(string(body), "hold")
	},
	"catching up": func(target string, _ []byte) bool {
		return strings.HasPrefix(target, "/changes?under=r/0/")
	},
	"reading records":      func(target string, _ []byte) bool { return strings.HasPrefix(target, "/store?") },
	"fencing":              func(target string, _ []byte) bool { return target == "/orders" },
	"updating the standby": func(target string, _ []byte) bool { return target == replication.UpdatePath },
	"incarnation record":   func(target string, body []byte) bool { return strings.Contains(string(body), "w/l/") },
}

// takeoverFaults inject a fault into the controller that reached the step. If the function is nil,
// the message of the step or its response is lost. Tests run in the sorted order of the names,
// which determines the part that CI runs.
var takeoverFaults = map[string]func(sim *simulatedCluster, label string){
	"killed": func(sim *simulatedCluster, label string) {
		sim.killController(label)
		time.Sleep(300 * time.Millisecond)
		sim.startController(label)
	},
	"process paused": func(sim *simulatedCluster, label string) { sim.pauseController(label, 4*time.Second) },
	"without state store": func(sim *simulatedCluster, label string) {
		sim.cutNetworkFor(func(from, host string) bool { return from == label && host == "state" }, 6*time.Second)
	},
	"without the agents": func(sim *simulatedCluster, label string) {
		sim.cutNetworkFor(func(from, host string) bool { return from == label && strings.HasPrefix(host, "m-") }, 6*time.Second)
	},
	"without peers": func(sim *simulatedCluster, label string) {
		sim.cutNetworkFor(func(from, host string) bool {
			return (from == label || host == label) && strings.HasPrefix(from, "n") && strings.HasPrefix(host, "n")
		}, 6*time.Second)
	},
	"outage": func(sim *simulatedCluster, label string) {
		sim.setOutage(true)
		time.Sleep(5 * time.Second)
		sim.setOutage(false)
	},
	"answer lost":      nil,
	"planned shutdown": func(sim *simulatedCluster, label string) { sim.handOverAndRestart(label) },
}

// Each fault immediately before and after each step of a takeover violates no safety rule, and all
// jobs end.
func TestFaultsAtEachStepOfATakeover(t *testing.T) {
	t.Parallel()
	n := 0
	for i, step := range slices.Sorted(maps.Keys(takeoverSteps)) {
		n = i
		for k, fault := range slices.Sorted(maps.Keys(takeoverFaults)) {
			n += k % 2 // so that each fault is injected before some steps and after others
			for _, after := range []bool{false, true} {
				// By default every third combination runs; with
				// MICASPINDLE_FAILOVERS set, all of them.
				if n++; n%3 != 0 && environment(failoversVariable) == "" {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/after=%v", step, fault, after), func(t *testing.T) {
					t.Parallel()
					prepare := func(sim *simulatedCluster) {
						sim.cloud.Capacity = 12
						sim.taskRunTime = func(string, int, string) time.Duration { return 15 * time.Second }
					}
					runConfiguredSimulation(t, 660, prepare, func(sim *simulatedCluster) {
						takeOverWithFault(t, sim, step, fault, after)
					})
				})
			}
		}
	}
}

// takeOverWithFault kills the leader of partition 0 and injects a fault before or after a step of
// the takeover, while jobs of all teams run.
func takeOverWithFault(t *testing.T, sim *simulatedCluster, step, fault string, after bool) {
	t.Helper()
	time.Sleep(2 * time.Second)
	submitted := 0
	submit := func() {
		for _, team := range allTeams {
			s := newJobSpec(fmt.Sprint("job-", submitted), 6, team)
			s.DeadlineS = 0
			sim.submit(s)
			submitted++
		}
	}
	submit()
	time.Sleep(15 * time.Second)
	lost := sim.leaderOf(0)
	reached := sim.injectAtStep(lost, step, takeoverFaults[fault], after)
	sim.killController(lost)
	time.Sleep(4 * time.Second)
	sim.startController(lost)
	time.Sleep(10 * time.Second)
	submit()
	sim.withLock(func() {
		sim.onResponse, sim.onRequest = nil, nil
		if !*reached && step != "reading records" {
			t.Error("no controller reached the step")
		}
	})
	sim.waitForAllJobs(3 * time.Minute)
}

// injectAtStep injects a fault into the first controller that reaches a step of a takeover, before
// or after its message. reached is guarded by the simulated cluster's lock.
func (sim *simulatedCluster) injectAtStep(lost, step string, fault func(sim *simulatedCluster, label string), after bool) (reached *bool) {
	reached = new(bool)
	trigger := make(chan string, 1)
	isFirst := func(from, target string, body []byte) bool {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if *reached || from == lost && step != "incarnation record" || !takeoverSteps[step](target, body) {
			return false
		}
		*reached = true
		trigger <- from
		return true
	}
	intercept := func(from, target string, body []byte) (dropped bool) {
		if !isFirst(from, target, body) {
			return false
		}
		if fault != nil {
			time.Sleep(time.Millisecond) // let the fault begin before the message or response arrives
		}
		return fault == nil
	}
	sim.withLock(func() {
		if after {
			sim.onResponse = func(from, _, target string, body []byte, _ *transport.Response) bool {
				return intercept(from, target, body)
			}
		} else {
			sim.onRequest = func(from, _, target string, body []byte) bool {
				return intercept(from, target, body)
			}
		}
	})
	sim.group.Go(func() {
		select {
		case label := <-trigger:
			if fault != nil {
				fault(sim, label)
			}
		case <-sim.ctx.Done():
		}
	})
	return reached
}

// Random failovers, one at a time and several at once, violate no safety rule, and all jobs end.
// MICASPINDLE_FAILOVERS sets the number of seeds; CI runs a few.
func TestRandomFailovers(t *testing.T) {
	t.Parallel()
	for seed := range numberFromEnvironment(failoversVariable, 4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 10_000+seed, announceLowerLimits, runRandomFailovers)
		})
	}
}

// runRandomFailovers kills, pauses, shuts down and cuts off random controllers while jobs are
// submitted and cancelled, the state store goes down and machines hang.
func runRandomFailovers(sim *simulatedCluster) {
	time.Sleep(2 * time.Second)
	sim.mu.Lock()
	sim.cloud.Capacity = 16
	sim.messageFaultRate = []float64{0, 0.01, 0.03}[sim.rng.IntN(3)]
	sim.taskRunTime = func(job string, task int, _ string) time.Duration {
		return time.Duration(4+(len(job)*7+task*5)%20) * time.Second
	}
	sim.mu.Unlock()
	randomInt := sim.randomInt
	randomController := func() string {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		labels := slices.Sorted(maps.Keys(sim.controllers))
		if len(labels) == 0 {
			return ""
		}
		return labels[sim.rng.IntN(len(labels))]
	}
	next := 0
	for range 40 {
		time.Sleep(time.Duration(300+randomInt(2500)) * time.Millisecond)
		if next < 25 && randomInt(2) == 0 {
			s := newJobSpec(fmt.Sprintf("job-%d", next), 1+randomInt(14), allTeams[randomInt(3)])
			s.Spread, s.OneZone, s.Urgency = randomInt(4) == 0, randomInt(6) == 0, protocol.Urgency(randomInt(4))
			if next > 2 && randomInt(3) == 0 {
				s.Dependencies = []string{fmt.Sprintf("job-%d", randomInt(next))}
			}
			next++
			sim.submit(s)
		}
		switch randomInt(10) {
		case 0, 1:
			sim.restartController(randomController(), []time.Duration{0, 300 * time.Millisecond, 3 * time.Second}[randomInt(3)])
		case 2:
			if label := randomController(); label != "" {
				sim.handOverAndRestart(label)
			}
		case 3: // a leader, and its standby during the takeover
			partition := randomInt(3)
			lost, successor := sim.leaderOf(partition), sim.standbyOf(partition)
			if lost != "" && successor != "" && lost != successor {
				sim.killController(lost)
				time.Sleep(time.Duration(900+randomInt(700)) * time.Millisecond)
				sim.restartController(successor, 300*time.Millisecond)
				sim.startController(lost)
			}
		case 4:
			sim.pauseController(randomController(), time.Duration(500+randomInt(6000))*time.Millisecond)
		case 5:
			label, target := randomController(), []string{"state", "m-", "n"}[randomInt(3)]
			sim.cutNetworkFor(func(from, host string) bool {
				return from == label && strings.HasPrefix(host, target) || target == "n" && host == label && strings.HasPrefix(from, "n")
			}, time.Duration(500+randomInt(9000))*time.Millisecond)
		case 6: // all controllers at once
			sim.mu.Lock()
			labels := slices.Sorted(maps.Keys(sim.controllers))
			sim.mu.Unlock()
			for _, l := range labels {
				sim.killController(l)
			}
			time.Sleep(300 * time.Millisecond)
			for _, l := range labels {
				sim.startController(l)
			}
		case 7:
			sim.setOutage(true)
			time.Sleep(time.Duration(randomInt(9000)) * time.Millisecond)
			sim.setOutage(false)
		case 8:
			if next > 0 {
				sim.cancelJob(fmt.Sprintf("job-%d", randomInt(next)))
			}
		case 9:
			sim.mu.Lock()
			names := slices.Sorted(maps.Keys(sim.agents))
			if len(names) > 0 {
				agent := sim.agents[names[sim.rng.IntN(len(names))]]
				sim.hang(agent, time.Duration(2000+sim.rng.IntN(12000))*time.Millisecond)
			}
			sim.mu.Unlock()
		}
	}
	sim.setMessageFaultRate(0)
	sim.waitForAllJobs(6 * time.Minute)
}

// A controller of a version without replication is not a standby, and its partitions have no
// standby. Partitions still fail over from it and to it.
func TestOldVersionsAreNoStandbys(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 670, func(sim *simulatedCluster) {
		configureLongJobs(sim)
		sim.controllersOfOldVersion = map[string]bool{"n1": true}
	}, func(sim *simulatedCluster) {
		sim.submitLongJobs()
		for partition := range 3 {
			leader, successor := sim.leaderOf(partition), sim.standbyOf(partition)
			if successor == "n1" || leader == "n1" && successor != "" {
				t.Errorf("%q is the standby of partition %d, which %s leads", successor, partition, leader)
			}
		}
		for _, lost := range []string{"n1", "n0"} {
			sim.killController(lost)
			time.Sleep(5 * time.Second)
			for partition := range 3 {
				if sim.leaderOf(partition) == "" {
					t.Errorf("partition %d has no leader after %s was killed", partition, lost)
				}
			}
			sim.startController(lost)
			time.Sleep(20 * time.Second)
		}
		sim.cancelLongJobs()
	})
}

// Replica updates with invalid epochs, starts, preemption notices and scale-outs violate no safety
// rule and lose no job, because standbys use them only as hints (rule 33).
func TestInvalidReplicaUpdatesBreakNoRule(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		runConfiguredSimulation(t, 690+seed, func(sim *simulatedCluster) {
			announceLowerLimits(sim)
			sim.alterReplicaUpdate = func(update *peer.ReplicaUpdate) {
				randomInt := func(n int) int { return sim.rng.IntN(n) }
				for _, a := range update.Attempts {
					a.RunningS, a.Attempt = float64(randomInt(100000)), a.Attempt+uint64(randomInt(2))
				}
				for i := range 5 {
					update.Attempts = append(update.Attempts, &peer.AttemptStart{Job: fmt.Sprint("job-", randomInt(9)), Task: uint32(randomInt(9)), Attempt: uint64(randomInt(4)), RunningS: float64(randomInt(90) - i)})
				}
				for _, m := range update.Machines {
					m.Epoch, m.Images, m.SlowTasks = uint64(randomInt(5)), []string{"img", "other"}, uint32(randomInt(3))
					if m.PreemptionNoticeS = -1; randomInt(4) == 0 {
						m.PreemptionNoticeS = float64(randomInt(100))
					}
				}
				for _, class := range update.Classes {
					class.Ratio = float64(randomInt(90)) - 5
				}
				if l := update.Leader; l != nil {
					for _, r := range l.ScaleOuts {
						r.Partition, r.Count = uint32(randomInt(5)), uint32(randomInt(60))
					}
				}
			}
		}, runRandomFailovers)
	}
}
