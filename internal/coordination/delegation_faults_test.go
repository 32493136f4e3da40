package coordination

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/fake/agent"
)

// Faults of a partition leader and of its delegates violate no safety rule while tasks run, and all
// jobs end. Where keepsEpochs is set, no machine loses its lease.
func TestDelegationSurvivesFaults(t *testing.T) {
	t.Parallel()
	between := func(a, b string) func(from, host string) bool {
		return func(from, host string) bool { return from == a && host == b }
	}
	type fault struct {
		do func(sim *simulatedCluster, leader, delegate string)
		// With keepsEpochs no agent's epoch may end; with keepsLeader the leader may not lose
		// the partition.
		keepsEpochs, keepsLeader bool
	}
	faults := map[string]fault{
		"the delegate is killed": {func(sim *simulatedCluster, _, delegate string) {
			sim.killController(delegate)
			time.Sleep(300 * time.Millisecond)
			sim.startController(delegate)
		}, true, false},
		"the leader is killed": {func(sim *simulatedCluster, leader, _ string) {
			sim.killController(leader)
			time.Sleep(3 * time.Second)
			sim.startController(leader)
		}, true, false},
		"both are killed": {func(sim *simulatedCluster, leader, delegate string) {
			sim.killController(leader)
			sim.killController(delegate)
			time.Sleep(300 * time.Millisecond)
			sim.startController(leader)
			sim.startController(delegate)
		}, true, false},
		"the delegate pauses": {func(sim *simulatedCluster, _, delegate string) { sim.pauseController(delegate, 6*time.Second) }, true, false},
		"the leader pauses":   {func(sim *simulatedCluster, leader, _ string) { sim.pauseController(leader, 2500*time.Millisecond) }, true, false},
		"the leader's link to the delegate is cut": {func(sim *simulatedCluster, leader, delegate string) {
			sim.cutNetworkFor(between(leader, delegate), 12*time.Second)
		}, true, false},
		"the delegate's link to the leader is cut": {func(sim *simulatedCluster, leader, delegate string) {
			sim.cutNetworkFor(between(delegate, leader), 12*time.Second)
		}, true, false},
		"the delegate without state store": {func(sim *simulatedCluster, _, delegate string) {
			sim.cutNetworkFor(between(delegate, "state"), 9*time.Second)
		}, true, false},
		"the leader without state store": {func(sim *simulatedCluster, leader, _ string) {
			sim.cutNetworkFor(between(leader, "state"), 9*time.Second)
		}, false, false},
		"the delegate without the agents": {func(sim *simulatedCluster, _, delegate string) {
			sim.cutNetworkFor(func(from, host string) bool { return from == delegate && strings.HasPrefix(host, "m-") }, 9*time.Second)
		}, true, false},
		"controllers cannot reach each other": {func(sim *simulatedCluster, _, _ string) {
			sim.cutNetworkFor(func(from, host string) bool { return strings.HasPrefix(from, "n") && strings.HasPrefix(host, "n") }, 12*time.Second)
		}, true, true},
		// The delegate's agents send their heartbeats to other controllers, which cannot
		// reach the leader.
		"the delegate is killed while the leader is unreachable": {func(sim *simulatedCluster, _, delegate string) {
			sim.group.Go(func() {
				time.Sleep(time.Second)
				sim.killController(delegate)
			})
			sim.cutNetworkFor(func(from, host string) bool { return strings.HasPrefix(from, "n") && strings.HasPrefix(host, "n") }, 12*time.Second)
			sim.startController(delegate)
		}, true, true},
		"an outage of the state store": {func(sim *simulatedCluster, _, _ string) {
			sim.setOutage(true)
			time.Sleep(12 * time.Second)
			sim.setOutage(false)
		}, true, false},
		"planned shutdowns": {func(sim *simulatedCluster, leader, delegate string) {
			sim.handOverAndRestart(delegate)
			time.Sleep(2 * time.Second)
			sim.handOverAndRestart(leader)
		}, true, false},
		"lost and late messages": {func(sim *simulatedCluster, _, _ string) {
			sim.setMessageFaultRate(0.05)
			time.Sleep(15 * time.Second)
			sim.setMessageFaultRate(0)
		}, false, false},
		"machines hang": {func(sim *simulatedCluster, _, _ string) {
			hang := func(on bool) {
				n := 0
				sim.forEachAgent(func(agent *agent.Agent) {
					if n++; n%3 == 0 {
						agent.Hung = on
					}
				})
			}
			hang(true)
			time.Sleep(11 * time.Second)
			hang(false)
		}, false, false},
	}
	for i, name := range slices.Sorted(maps.Keys(faults)) {
		f := faults[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 710+uint64(i), configureFewSockets, func(sim *simulatedCluster) {
				partition := sim.startDelegation(9)
				leader, delegate := sim.leaderOf(partition), sim.delegateOf(partition)
				if delegate == "" {
					t.Fatalf("no shards are delegated; connected machines %v", sim.connectedMachines())
				}
				var lease uint64
				sim.onController(leader, func(c *Controller) { lease = c.Partitions[partition].LeaseRevision })
				f.do(sim, leader, delegate)
				sim.onController(leader, func(c *Controller) {
					if f.keepsLeader && c.Partitions[partition].LeaseRevision != lease {
						t.Error("the leader lost its partition although it kept running")
					}
				})
				if time.Sleep(12 * time.Second); f.keepsEpochs {
					sim.forEachAgent(func(agent *agent.Agent) {
						if agent.Epoch != 1 {
							t.Errorf("the lease of %s expired: epoch %d, want 1", agent.Name, agent.Epoch)
						}
					})
				}
				sim.waitForAllJobs(6 * time.Minute)
			})
		})
	}
}

// A delegated machine that stops sending heartbeats is declared lost soon after its lease has
// expired, and not before, whether its delegate keeps running, is killed, or cannot reach the
// leader.
func TestSilentDelegatedMachinesAreLostInTime(t *testing.T) {
	t.Parallel()
	for _, scenario := range []string{"the delegate lives", "the delegate is killed", "the delegate is unreachable"} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 730, configureFewSockets, func(sim *simulatedCluster) {
				partition := sim.startDelegation(9)
				leader, delegate := sim.leaderOf(partition), sim.delegateOf(partition)
				if scenario == "the delegate is unreachable" {
					sim.group.Go(func() {
						sim.cutNetworkFor(func(from, host string) bool { return from == delegate && host == leader }, 30*time.Second)
					})
					time.Sleep(1900 * time.Millisecond) // until the delegate's grants are about to expire
				}
				var silent *agent.Agent
				sim.forEachAgent(func(agent *agent.Agent) {
					// The machine whose heartbeat was answered last has the
					// lease that expires last.
					if agent.Controllers[agent.ControllerIndex] == delegate && len(agent.Tasks) > 0 && (silent == nil || agent.LeaseRenewedAt.After(silent.LeaseRenewedAt)) {
						silent = agent
					}
				})
				if silent == nil {
					t.Fatal("no agent sends heartbeats to the delegate")
				}
				sim.mu.Lock()
				silent.Hung = true
				name, from, lease := silent.Name, silent.LeaseRenewedAt, silent.LeaseDuration
				sim.mu.Unlock()
				if scenario == "the delegate is killed" {
					sim.killController(delegate)
				}
				lost := false
				for begun := time.Now(); !lost && time.Since(begun) < time.Minute; time.Sleep(50 * time.Millisecond) {
					sim.onController(leader, func(c *Controller) { lost = c.Machines[name] == nil || c.Machines[name].Lost })
				}
				if took := time.Since(from); took <= lease || took > lease+7*time.Second {
					t.Errorf("machine declared lost %s after its last answer, want within 7 s after its lease of %s", took, lease)
				}
				sim.forEachAgent(func(agent *agent.Agent) { agent.Hung = false })
				if scenario == "the delegate is killed" {
					sim.startController(delegate)
				}
				sim.waitForAllJobs(6 * time.Minute)
			})
		})
	}
}

// Shards move back and forth fifty times while their tasks run and controllers are killed and
// paused: no task is started again, and every agent keeps its epoch.
func TestShardsMoveWhileTasksRun(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 740, func(sim *simulatedCluster) {
		configureFewSockets(sim)
		sim.taskRunTime = func(string, int, string) time.Duration { return 8 * time.Minute }
	}, func(sim *simulatedCluster) {
		partition := sim.startDelegation(3)
		leader := sim.leaderOf(partition)
		starts := map[string]int{}
		sim.forEachAgent(func(agent *agent.Agent) { starts[agent.Name] = agent.TasksStarted })
		others := slices.DeleteFunc([]string{"n0", "n1", "n2"}, func(l string) bool { return l == leader })
		moves := 0
		for round := range 50 {
			sim.onController(leader, func(c *Controller) {
				p := c.Partitions[partition]
				to := others[round%2]
				for s := range 16 {
					if s%4 == round%4 {
						p.Delegations.Assign(s, to)
						moves++
					}
				}
				c.proxy.ShardMovedAt = time.Now()
			})
			time.Sleep(1500 * time.Millisecond)
			switch round % 10 {
			case 3:
				sim.killController(others[0])
				time.Sleep(200 * time.Millisecond)
				sim.startController(others[0])
			case 6:
				sim.pauseController(others[1], 2*time.Second)
			case 9:
				sim.pauseController(leader, time.Second)
			}
		}
		sim.forEachAgent(func(agent *agent.Agent) {
			if agent.Epoch != 1 || agent.TasksStarted != starts[agent.Name] {
				t.Errorf("%s: epoch %d, want 1; %d repeated starts, want 0", agent.Name, agent.Epoch, agent.TasksStarted-starts[agent.Name])
			}
		})
		t.Logf("%d shards were moved", moves)
	})
}

// While a controller of a version without delegation runs, delegated shards return to the leader
// and none are delegated. After the controller has stopped, shards are delegated again. Every agent
// keeps its epoch.
func TestOldVersionsAreNoDelegates(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 750, configureFewSockets, func(sim *simulatedCluster) {
		partition := sim.startDelegation(9)
		leader := sim.leaderOf(partition)
		delegated := func() (shards []int) {
			sim.onController(leader, func(c *Controller) {
				for _, l := range c.Labels {
					shards = append(shards, c.Partitions[partition].Delegations.ShardsOf(l)...)
				}
			})
			return shards
		}
		if len(delegated()) == 0 {
			t.Errorf("no shards are delegated; connected machines %v", sim.connectedMachines())
		}
		for _, l := range allControllers {
			if l != leader {
				sim.withLock(func() { sim.controllersOfOldVersion = map[string]bool{l: true} })
				break
			}
		}
		time.Sleep(3 * time.Second)
		if s := delegated(); len(s) > 0 {
			t.Errorf("shards %v are delegated while a controller of an old version runs", s)
		}
		time.Sleep(5 * time.Second)
		if n := sim.connectedMachines(); n[leader] < 9 {
			t.Errorf("%d machines are connected to the leader, want at least 9; connected machines %v", n[leader], n)
		}
		sim.withLock(func() { sim.controllersOfOldVersion = nil })
		time.Sleep(10 * time.Second)
		if len(delegated()) == 0 {
			t.Error("no shards are delegated although no controller of an old version runs")
		}
		sim.waitForAllJobs(4 * time.Minute)
		sim.forEachAgent(func(agent *agent.Agent) {
			if agent.Epoch != 1 {
				t.Errorf("the lease of %s expired: epoch %d, want 1", agent.Name, agent.Epoch)
			}
		})
	})
}

// A controller that ignores token records would answer agents with tokens that are too low, so that
// their leases would expire. It is no delegate, and the other controllers remain delegates.
func TestControllersWithoutTokenRecordsAreNoDelegates(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 751, configureFewSockets, func(sim *simulatedCluster) {
		partition := sim.startDelegation(9)
		leader := sim.leaderOf(partition)
		others := sim.otherControllers(leader)
		delegated := func(label string) (shards int) {
			sim.onController(leader, func(c *Controller) { shards = len(c.Partitions[partition].Delegations.ShardsOf(label)) })
			return shards
		}
		sim.withLock(func() { sim.controllersWithoutTokenRecords = map[string]bool{others[0]: true} })
		time.Sleep(15 * time.Second)
		if old, current := delegated(others[0]), delegated(others[1]); old > 0 || current == 0 {
			t.Errorf("%d shards are delegated to the controller that ignores token records and %d to the other one, want none and at least one", old, current)
		}
		sim.waitForAllJobs(4 * time.Minute)
	})
}

// If controllers have few sockets, so that shards are delegated and move often, random failovers
// violate no safety rule, and all jobs end.
func TestRandomFailoversWithDelegation(t *testing.T) {
	t.Parallel()
	for seed := range numberFromEnvironment(failoversVariable, 3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			renewals := 0
			runConfiguredSimulation(t, 20_000+seed, func(sim *simulatedCluster) {
				announceLowerLimits(sim)
				sim.settings.Params.ProcessLimits.Sockets = 8
				sim.onRequest = func(_, _, target string, _ []byte) bool {
					sim.mu.Lock()
					defer sim.mu.Unlock()
					if target == proxy.DelegationPath {
						renewals++
					}
					return false
				}
			}, func(sim *simulatedCluster) {
				time.Sleep(20 * time.Second) // until the controllers regard their peers as stable
				runRandomFailovers(sim)
			})
			if renewals == 0 {
				t.Log("nothing was delegated")
			}
		})
	}
}
