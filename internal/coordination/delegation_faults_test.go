package coordination

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/standin/worker"
)

// While work runs, each fault comes to the owner or to a carrier of it. The rules hold, all
// ends, and where only a carrier is lost no lease is.
func TestDelegationSurvivesFaults(t *testing.T) {
	t.Parallel()
	between := func(a, b string) func(from, host string) bool {
		return func(from, host string) bool { return from == a && host == b }
	}
	type fault struct {
		do func(sim *simulatedCluster, leader, delegate string)
		// kept: no worker's session may end; stays: nor may the owner lose the part.
		kept, stays bool
	}
	faults := map[string]fault{
		"the carrier is killed": {func(sim *simulatedCluster, _, delegate string) {
			sim.killController(delegate)
			time.Sleep(300 * time.Millisecond)
			sim.startController(delegate)
		}, true, false},
		"the owner is killed": {func(sim *simulatedCluster, leader, _ string) {
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
		"the carrier stands still": {func(sim *simulatedCluster, _, delegate string) { sim.pauseController(delegate, 6*time.Second) }, true, false},
		"the owner stands still":   {func(sim *simulatedCluster, leader, _ string) { sim.pauseController(leader, 2500*time.Millisecond) }, true, false},
		"the owner's way is cut": {func(sim *simulatedCluster, leader, delegate string) {
			sim.cutNetworkFor(between(leader, delegate), 12*time.Second)
		}, true, false},
		"the carrier's way is cut": {func(sim *simulatedCluster, leader, delegate string) {
			sim.cutNetworkFor(between(delegate, leader), 12*time.Second)
		}, true, false},
		"the carrier without state": {func(sim *simulatedCluster, _, delegate string) {
			sim.cutNetworkFor(between(delegate, "state"), 9*time.Second)
		}, true, false},
		"the owner without state": {func(sim *simulatedCluster, leader, _ string) {
			sim.cutNetworkFor(between(leader, "state"), 9*time.Second)
		}, false, false},
		"the carrier without workers": {func(sim *simulatedCluster, _, delegate string) {
			sim.cutNetworkFor(func(from, host string) bool { return from == delegate && strings.HasPrefix(host, "m-") }, 9*time.Second)
		}, true, false},
		"controllers don't hear each other": {func(sim *simulatedCluster, _, _ string) {
			sim.cutNetworkFor(func(from, host string) bool { return strings.HasPrefix(from, "n") && strings.HasPrefix(host, "n") }, 12*time.Second)
		}, true, true},
		// The carrier's workers come to others, while nobody hears the owner.
		"the carrier is killed unheard": {func(sim *simulatedCluster, _, delegate string) {
			sim.group.Go(func() {
				time.Sleep(time.Second)
				sim.killController(delegate)
			})
			sim.cutNetworkFor(func(from, host string) bool { return strings.HasPrefix(from, "n") && strings.HasPrefix(host, "n") }, 12*time.Second)
			sim.startController(delegate)
		}, true, true},
		"an outage": {func(sim *simulatedCluster, _, _ string) {
			sim.setOutage(true)
			time.Sleep(12 * time.Second)
			sim.setOutage(false)
		}, true, false},
		"planned ends": {func(sim *simulatedCluster, leader, delegate string) {
			sim.handOverAndRestart(delegate)
			time.Sleep(2 * time.Second)
			sim.handOverAndRestart(leader)
		}, true, false},
		"lost and late messages": {func(sim *simulatedCluster, _, _ string) {
			sim.mu.Lock()
			sim.messageFaultRate = 0.05
			sim.mu.Unlock()
			time.Sleep(15 * time.Second)
			sim.mu.Lock()
			sim.messageFaultRate = 0
			sim.mu.Unlock()
		}, false, false},
		"machines hang": {func(sim *simulatedCluster, _, _ string) {
			hang := func(on bool) {
				n := 0
				sim.forEachWorker(func(agent *worker.Worker) {
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
					t.Fatalf("nothing is carried: %v", sim.connectedMachines())
				}
				var lease uint64
				sim.onController(leader, func(c *Controller) { lease = c.Partitions[partition].LeaseRevision })
				f.do(sim, leader, delegate)
				sim.onController(leader, func(c *Controller) {
					if f.stays && c.Partitions[partition].LeaseRevision != lease {
						t.Error("a living owner lost its part")
					}
				})
				if time.Sleep(12 * time.Second); f.kept {
					sim.forEachWorker(func(agent *worker.Worker) {
						if agent.Session != 1 {
							t.Errorf("%s lost its lease: session %d", agent.Name, agent.Session)
						}
					})
				}
				sim.waitForAllJobs(6 * time.Minute)
			})
		})
	}
}

// A machine that goes silent while it is carried counts as lost no sooner than its lease has
// run out, and not much later, whatever its carrier does: it lives, is killed, or goes on
// answering for a while after it was last heard.
func TestSilentDelegatedMachinesAreLostInTime(t *testing.T) {
	t.Parallel()
	for _, what := range []string{"the carrier lives", "the carrier is killed", "the carrier is not heard"} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 730, configureFewSockets, func(sim *simulatedCluster) {
				partition := sim.startDelegation(9)
				leader, delegate := sim.leaderOf(partition), sim.delegateOf(partition)
				if what == "the carrier is not heard" {
					sim.group.Go(func() {
						sim.cutNetworkFor(func(from, host string) bool { return from == delegate && host == leader }, 30*time.Second)
					})
					time.Sleep(1900 * time.Millisecond) // its grants have just not ended
				}
				var silent *worker.Worker
				sim.forEachWorker(func(agent *worker.Worker) {
					// The one that was answered last: its lease is the longest.
					if agent.Homes[agent.Home] == delegate && len(agent.Tasks) > 0 && (silent == nil || agent.LeaseFrom.After(silent.LeaseFrom)) {
						silent = agent
					}
				})
				if silent == nil {
					t.Fatal("no machine reports to the carrier")
				}
				sim.mu.Lock()
				silent.Hung = true
				name, from, lease := silent.Name, silent.LeaseFrom, silent.Lease
				sim.mu.Unlock()
				if what == "the carrier is killed" {
					sim.killController(delegate)
				}
				gone := false
				for begun := time.Now(); !gone && time.Since(begun) < time.Minute; time.Sleep(50 * time.Millisecond) {
					sim.onController(leader, func(c *Controller) { gone = c.Machines[name] == nil || c.Machines[name].Lost })
				}
				if took := time.Since(from); took <= lease || took > lease+7*time.Second {
					t.Errorf("counts as lost %s after its lease began, which is %s", took, lease)
				}
				sim.forEachWorker(func(agent *worker.Worker) { agent.Hung = false })
				if what == "the carrier is killed" {
					sim.startController(delegate)
				}
				sim.waitForAllJobs(6 * time.Minute)
			})
		})
	}
}

// A share goes back and forth fifty times while its tasks run, through kills and
// standstills: no task is started again, no session ends.
func TestShardsMoveWhileTasksRun(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 740, func(sim *simulatedCluster) {
		configureFewSockets(sim)
		sim.runTime = func(string, int, string) time.Duration { return 8 * time.Minute }
	}, func(sim *simulatedCluster) {
		partition := sim.startDelegation(3)
		leader := sim.leaderOf(partition)
		starts := map[string]int{}
		sim.forEachWorker(func(agent *worker.Worker) { starts[agent.Name] = agent.Starts })
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
				c.proxy.MovedAt = time.Now()
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
		sim.forEachWorker(func(agent *worker.Worker) {
			if agent.Session != 1 || agent.Starts != starts[agent.Name] {
				t.Errorf("%s: session %d, %d starts more", agent.Name, agent.Session, agent.Starts-starts[agent.Name])
			}
		})
		t.Logf("%d moves of shares", moves)
	})
}

// Where a controller of a version without shares is heard, nothing is carried: once it
// comes, what was carried goes home, and no session ends; once it is gone, shares are
// given away again.
func TestOldVersionsAreNoDelegates(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 750, configureFewSockets, func(sim *simulatedCluster) {
		partition := sim.startDelegation(9)
		leader := sim.leaderOf(partition)
		delegated := func() (shares []int) {
			sim.onController(leader, func(c *Controller) {
				for _, l := range c.Labels {
					shares = append(shares, c.Partitions[partition].Delegations.ShardsOf(l)...)
				}
			})
			return shares
		}
		if len(delegated()) == 0 {
			t.Errorf("nothing is carried: %v", sim.connectedMachines())
		}
		for _, l := range []string{"n0", "n1", "n2"} {
			if l != leader {
				sim.mu.Lock()
				sim.oldVersions = map[string]bool{l: true}
				sim.mu.Unlock()
				break
			}
		}
		time.Sleep(3 * time.Second)
		if s := delegated(); len(s) > 0 {
			t.Errorf("shares %v are carried beside an old version", s)
		}
		time.Sleep(5 * time.Second)
		if n := sim.connectedMachines(); n[leader] < 9 {
			t.Errorf("the owner has the connections of %d machines: %v", n[leader], n)
		}
		sim.mu.Lock()
		sim.oldVersions = nil
		sim.mu.Unlock()
		time.Sleep(10 * time.Second)
		if len(delegated()) == 0 {
			t.Error("nothing is carried after the old version is gone")
		}
		sim.waitForAllJobs(4 * time.Minute)
		sim.forEachWorker(func(agent *worker.Worker) {
			if agent.Session != 1 {
				t.Errorf("%s lost its lease: session %d", agent.Name, agent.Session)
			}
		})
	})
}

// Random nights of crowded controllers, whose shares move all the time.
func TestRandomFailoversWithDelegation(t *testing.T) {
	t.Parallel()
	nights := 3
	if n, err := strconv.Atoi(os.Getenv("MICASPINDLE_NIGHTS")); err == nil {
		nights = n
	}
	for seed := range uint64(nights) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			asked := 0
			runConfiguredSimulation(t, 20_000+seed, func(sim *simulatedCluster) {
				announceLowerLimits(sim)
				sim.settings.Params.MachineLimits.Sockets = 8
				sim.onRequest = func(_, _, target string, _ []byte) bool {
					sim.mu.Lock()
					defer sim.mu.Unlock()
					if target == proxy.DelegationPath {
						asked++
					}
					return false
				}
			}, func(sim *simulatedCluster) {
				time.Sleep(20 * time.Second) // until the others count as settled
				runRandomFailovers(sim)
			})
			if asked == 0 {
				t.Log("nothing was carried")
			}
		})
	}
}
