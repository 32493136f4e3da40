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

// Each step of a takeover is hit by each fault, right before and right after it; the safety
// rules hold, and all jobs end.
func TestFaultsAtEachStepOfATakeover(t *testing.T) {
	t.Parallel()
	steps := map[string]func(target string, body []byte) bool{
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
	faults := map[string]func(sim *simulatedCluster, label string){
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
	n := 0
	for i, step := range slices.Sorted(maps.Keys(steps)) {
		n = i
		for k, fault := range slices.Sorted(maps.Keys(faults)) {
			n += k % 2 // so that each fault comes before some steps and after others
			for _, after := range []bool{false, true} {
				// CI runs every third one; MICASPINDLE_FAILOVERS runs all.
				if n++; n%3 != 0 && environment(failoversVariable) == "" {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/after=%v", step, fault, after), func(t *testing.T) {
					t.Parallel()
					runConfiguredSimulation(t, 660, func(sim *simulatedCluster) {
						sim.cloud.Capacity = 12
						sim.runTime = func(string, int, string) time.Duration { return 15 * time.Second }
					}, func(sim *simulatedCluster) {
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
						var cut string // the controller whose step was hit
						trigger := make(chan string, 1)
						sim.mu.Lock()
						seen := func(from, target string, body []byte) bool {
							sim.mu.Lock()
							defer sim.mu.Unlock()
							if cut != "" || from == lost && step != "incarnation record" || !steps[step](target, body) {
								return false
							}
							cut = from
							trigger <- from
							return true
						}
						if after {
							sim.onResponse = func(from, _, target string, body []byte, _ *transport.Response) bool {
								hit := seen(from, target, body)
								if hit && faults[fault] != nil {
									time.Sleep(time.Millisecond) // the fault comes before the response
								}
								return hit && faults[fault] == nil
							}
						} else {
							sim.onRequest = func(from, _, target string, body []byte) bool {
								hit := seen(from, target, body)
								if hit && faults[fault] != nil {
									time.Sleep(time.Millisecond)
								}
								return hit && faults[fault] == nil
							}
						}
						sim.mu.Unlock()
						sim.group.Go(func() {
							select {
							case label := <-trigger:
								if f := faults[fault]; f != nil {
									f(sim, label)
								}
							case <-sim.ctx.Done():
							}
						})
						sim.killController(lost)
						time.Sleep(4 * time.Second)
						sim.startController(lost)
						time.Sleep(10 * time.Second)
						submit()
						sim.mu.Lock()
						sim.onResponse, sim.onRequest = nil, nil
						hit := cut != ""
						sim.mu.Unlock()
						if !hit && step != "reading records" {
							t.Error("the step was not reached")
						}
						sim.waitForAllJobs(3 * time.Minute)
					})
				})
			}
		}
	}
}

// Random failovers: leaders are lost in every way, one after another and together, while jobs
// run; every start is checked against the simulated cluster's own state. MICASPINDLE_FAILOVERS
// sets the number of seeds; CI runs a few.
func TestRandomFailovers(t *testing.T) {
	t.Parallel()
	for seed := range numberFromEnvironment(failoversVariable, 4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 10_000+seed, announceLowerLimits, runRandomFailovers)
		})
	}
}

func runRandomFailovers(sim *simulatedCluster) {
	time.Sleep(2 * time.Second)
	sim.mu.Lock()
	sim.cloud.Capacity = 16
	sim.messageFaultRate = []float64{0, 0.01, 0.03}[sim.rng.IntN(3)]
	sim.runTime = func(job string, task int, _ string) time.Duration {
		return time.Duration(4+(len(job)*7+task*5)%20) * time.Second
	}
	sim.mu.Unlock()
	dice := func(n int) int {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		return sim.rng.IntN(n)
	}
	some := func() string {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		labels := slices.Sorted(maps.Keys(sim.controllers))
		if len(labels) == 0 {
			return ""
		}
		return labels[sim.rng.IntN(len(labels))]
	}
	lose := func(label string, pause time.Duration) {
		if label == "" {
			return
		}
		sim.killController(label)
		time.Sleep(pause)
		sim.startController(label)
	}
	next := 0
	for range 40 {
		time.Sleep(time.Duration(300+dice(2500)) * time.Millisecond)
		if next < 25 && dice(2) == 0 {
			s := newJobSpec(fmt.Sprintf("job-%d", next), 1+dice(14), allTeams[dice(3)])
			s.Spread, s.OneZone, s.Urgency = dice(4) == 0, dice(6) == 0, protocol.Urgency(dice(4))
			if next > 2 && dice(3) == 0 {
				s.Dependencies = []string{fmt.Sprintf("job-%d", dice(next))}
			}
			next++
			sim.submit(s)
		}
		switch dice(10) {
		case 0, 1:
			lose(some(), []time.Duration{0, 300 * time.Millisecond, 3 * time.Second}[dice(3)])
		case 2:
			if label := some(); label != "" {
				sim.handOverAndRestart(label)
			}
		case 3: // the leader, and its standby in the middle of the takeover
			partition := dice(3)
			lost, successor := sim.leaderOf(partition), sim.standbyOf(partition)
			if lost != "" && successor != "" && lost != successor {
				sim.killController(lost)
				time.Sleep(time.Duration(900+dice(700)) * time.Millisecond)
				lose(successor, 300*time.Millisecond)
				sim.startController(lost)
			}
		case 4:
			sim.pauseController(some(), time.Duration(500+dice(6000))*time.Millisecond)
		case 5:
			label, target := some(), []string{"state", "m-", "n"}[dice(3)]
			sim.cutNetworkFor(func(from, host string) bool {
				return from == label && strings.HasPrefix(host, target) || target == "n" && host == label && strings.HasPrefix(from, "n")
			}, time.Duration(500+dice(9000))*time.Millisecond)
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
			time.Sleep(time.Duration(dice(9000)) * time.Millisecond)
			sim.setOutage(false)
		case 8:
			if next > 0 {
				sim.cancelJob(fmt.Sprintf("job-%d", dice(next)))
			}
		case 9:
			sim.mu.Lock()
			names := slices.Sorted(maps.Keys(sim.workers))
			if len(names) > 0 {
				victim := sim.workers[names[sim.rng.IntN(len(names))]]
				victim.Hung = true
				d := time.Duration(2000+sim.rng.IntN(12000)) * time.Millisecond
				sim.group.Go(func() {
					time.Sleep(d)
					sim.withLock(func() { victim.Hung = false })
				})
			}
			sim.mu.Unlock()
		}
	}
	sim.setMessageFaultRate(0)
	sim.waitForAllJobs(6 * time.Minute)
}

// A controller of a version without replication is no standby and has none; takeovers from it
// and by it work as before.
func TestOldVersionsAreNoStandbys(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 670, func(sim *simulatedCluster) { configureLongJobs(sim); sim.oldVersions = map[string]bool{"n1": true} }, func(sim *simulatedCluster) {
		sim.submitLongJobs()
		for partition := range 3 {
			who, successor := sim.leaderOf(partition), sim.standbyOf(partition)
			if successor == "n1" || who == "n1" && successor != "" {
				t.Errorf("%q is standby of partition %d of %s", successor, partition, who)
			}
		}
		for _, lost := range []string{"n1", "n0"} {
			sim.killController(lost)
			time.Sleep(5 * time.Second)
			for partition := range 3 {
				if sim.leaderOf(partition) == "" {
					t.Errorf("partition %d has no leader without %s", partition, lost)
				}
			}
			sim.startController(lost)
			time.Sleep(20 * time.Second)
		}
		sim.cancelLongJobs()
	})
}

// Replicated hints serve predictions only: leaders that send invalid epochs, starts, preemption
// notices and machines violate no safety rule and lose no job (rule 33).
func TestInvalidReplicaUpdatesBreakNoRule(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		runConfiguredSimulation(t, 690+seed, func(sim *simulatedCluster) {
			announceLowerLimits(sim)
			sim.alterReplicaUpdate = func(update *peer.ReplicaUpdate) {
				dice := func(n int) int { return sim.rng.IntN(n) }
				for _, a := range update.Attempts {
					a.RunningS, a.Attempt = float64(dice(100000)), a.Attempt+uint64(dice(2))
				}
				for i := range 5 {
					update.Attempts = append(update.Attempts, &peer.AttemptStart{Job: fmt.Sprint("job-", dice(9)), Task: uint32(dice(9)), Attempt: uint64(dice(4)), RunningS: float64(dice(90) - i)})
				}
				for _, m := range update.Machines {
					m.Epoch, m.Images, m.SlowTasks = uint64(dice(5)), []string{"img", "other"}, uint32(dice(3))
					if m.PreemptionNoticeS = -1; dice(4) == 0 {
						m.PreemptionNoticeS = float64(dice(100))
					}
				}
				for _, ct := range update.Classes {
					ct.Ratio = float64(dice(90)) - 5
				}
				if l := update.Leader; l != nil {
					for _, r := range l.ScaleOuts {
						r.Partition, r.Count = uint32(dice(5)), uint32(dice(60))
					}
				}
			}
		}, runRandomFailovers)
	}
}
