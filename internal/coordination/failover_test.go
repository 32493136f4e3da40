package coordination

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// An owner that is lost is followed by its standby, from its copy, which knows when the
// attempts began; what was under way goes on.
func TestFailoverUsesTheStandbyReplica(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		runConfiguredSimulation(t, 600+seed, configureLongJobs, func(sim *simulatedCluster) {
			sim.submitLongJobs()
			time.Sleep(time.Duration(seed) * 170 * time.Millisecond)
			lost, next := sim.leaderOf(0), sim.standbyOf(0)
			if next == "" || next == lost {
				t.Fatalf("seed %d: the standby of %s is %q", seed, lost, next)
			}
			sim.killController(lost)
			for begun := time.Now(); sim.leaderOf(0) == "" && time.Since(begun) < 10*time.Second; {
				time.Sleep(10 * time.Millisecond)
			}
			if now := sim.leaderOf(0); now != next {
				t.Errorf("seed %d: %s follows, not %s", seed, now, next)
			}
			inherited, off := 0, time.Duration(0)
			sim.onController(next, func(c *Controller) {
				p := c.Partitions[0]
				if !p.WarmFailover {
					t.Errorf("seed %d: the takeover was cold", seed)
				}
				for _, m := range c.Machines {
					for _, a := range m.Attempts {
						if m.Record.Partition != 0 {
							continue
						}
						sim.mu.Lock()
						begun := time.Time{}
						if agent := sim.workers[m.Name]; agent != nil {
							for _, task := range agent.Tasks {
								if task.Name == a.TaskName() {
									begun = task.Ends.Add(-10 * time.Minute)
								}
							}
						}
						sim.mu.Unlock()
						late := a.ReplicatedStart.Sub(begun)
						if begun.IsZero() || late < -time.Second || late > 3*time.Second {
							t.Errorf("seed %d: %s began %s late, as far as is known", seed, a.TaskName(), late)
						}
						off += late.Abs()
						inherited++
					}
				}
			})
			if inherited == 0 {
				t.Fatalf("seed %d: nothing was inherited", seed)
			}
			t.Logf("seed %d: beginnings of %d attempts are known within %s on average", seed, inherited, off/time.Duration(inherited))
			sim.mu.Lock()
			starts := 0
			for _, agent := range sim.workers {
				starts += agent.Starts
			}
			sim.mu.Unlock()
			sim.startController(lost)
			time.Sleep(10 * time.Second)
			sim.mu.Lock()
			for _, agent := range sim.workers {
				starts -= agent.Starts
			}
			sim.mu.Unlock()
			if starts != 0 {
				t.Errorf("seed %d: %d tasks were started anew", seed, -starts)
			}
			sim.cancelLongJobs()
		})
	}
}

func (sim *simulatedCluster) cancelLongJobs() {
	for i := range 3 {
		sim.cancelJob(fmt.Sprintf("job-%d", i))
	}
	sim.waitForAllJobs(time.Minute)
}

// A planned end hands over first: hardly a moment without an owner, nothing lost, and the
// machines' leases count from the hand-over. Who comes back gets its part back warm.
func TestPlannedShutdownHandsOverPartitions(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		runConfiguredSimulation(t, 620+seed, configureLongJobs, func(sim *simulatedCluster) {
			sim.submitLongJobs()
			time.Sleep(time.Duration(seed) * 130 * time.Millisecond)
			label := fmt.Sprint("n", seed%3)
			var partitions []int
			sim.onController(label, func(c *Controller) {
				for _, p := range c.Partitions {
					if p.Held {
						partitions = append(partitions, p.Index)
					}
				}
			})
			longest := time.Duration(0)
			ended := make(chan struct{})
			sim.mu.Lock()
			n := sim.controllers[label]
			sim.mu.Unlock()
			go func() {
				defer close(ended)
				ctx, cancel := context.WithTimeout(sim.ctx, time.Second)
				defer cancel()
				n.controller.HandOver(ctx)
				time.Sleep(time.Duration(seed%2) * time.Second) // it may take a moment to end
				for _, p := range partitions {
					if sim.leaderOf(p) == label {
						t.Errorf("seed %d: %s owns part %d again", seed, label, p)
					}
				}
				sim.killController(label)
			}()
			begun, last := time.Now(), time.Now()
			for time.Since(begun) < 2*time.Second {
				owned := true
				for _, p := range partitions {
					owned = owned && sim.leaderOf(p) != ""
				}
				if now := time.Now(); owned {
					last = now
				} else {
					longest = max(longest, now.Sub(last))
				}
				time.Sleep(2 * time.Millisecond)
			}
			<-ended
			t.Logf("seed %d: %d parts, without an owner for %s", seed, len(partitions), longest)
			if len(partitions) == 0 || longest > 200*time.Millisecond {
				t.Errorf("seed %d: parts %v without an owner for %s", seed, partitions, longest)
			}
			for _, p := range partitions {
				sim.onController(sim.leaderOf(p), func(c *Controller) {
					if !c.Partitions[p].WarmFailover {
						t.Errorf("seed %d: part %d was taken over cold", seed, p)
					}
					for _, m := range c.Machines {
						if m.Record.Partition == p && time.Until(m.AnsweredUntil) > delegation.GrantDuration {
							t.Errorf("seed %d: %s counts as answered by others until %s from now", seed, m.Name, time.Until(m.AnsweredUntil))
						}
					}
				})
			}
			sim.startController(label)
			time.Sleep(40 * time.Second)
			if back := sim.leaseCount(label); back == 0 {
				t.Errorf("seed %d: %s has no part again", seed, label)
			}
			sim.onController(label, func(c *Controller) {
				for _, p := range c.Partitions {
					if p.Held && !p.WarmFailover && len(c.Machines) > 0 {
						t.Errorf("seed %d: part %d came back cold", seed, p.Index)
					}
				}
			})
			sim.cancelLongJobs()
		})
	}
}

// Where nobody can take over, a planned end merely ends, and the next life takes its own
// claims back.
func TestPlannedShutdownOfTheLastController(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 630, configureLongJobs, func(sim *simulatedCluster) {
		sim.submitLongJobs()
		sim.killController("n1")
		sim.killController("n2")
		time.Sleep(6 * time.Second)
		sim.mu.Lock()
		n := sim.controllers["n0"]
		sim.mu.Unlock()
		begun := time.Now()
		n.controller.HandOver(sim.ctx)
		if took := time.Since(begun); took > 10*time.Millisecond {
			t.Errorf("the end took %s", took)
		}
		sim.killController("n0")
		time.Sleep(300 * time.Millisecond)
		sim.startController("n0")
		for sim.leaseCount("n0") < 3 && time.Since(begun) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(begun); took > time.Second {
			t.Errorf("owned again only after %s", took)
		}
		sim.startController("n1")
		sim.startController("n2")
		sim.cancelLongJobs()
	})
}

// A process that is back at once takes its claims back, and hears from who followed it
// when its attempts began.
func TestRestartedLeaderRecoversReplicatedStarts(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 640, configureLongJobs, func(sim *simulatedCluster) {
		sim.submitLongJobs()
		lost := sim.leaderOf(0)
		sim.killController(lost)
		time.Sleep(300 * time.Millisecond)
		sim.startController(lost)
		time.Sleep(1500 * time.Millisecond)
		if now := sim.leaderOf(0); now != lost {
			t.Fatalf("%s owns what %s had", now, lost)
		}
		known, all := 0, 0
		sim.onController(lost, func(c *Controller) {
			for _, m := range c.Machines {
				for _, a := range m.Attempts {
					if m.Record.Partition == 0 {
						all++
						if !a.StartUnknown() {
							known++
						}
					}
				}
			}
		})
		if all == 0 || known < all {
			t.Errorf("of %d attempts it is known of %d when they began", all, known)
		}
		sim.cancelLongJobs()
	})
}

// A copy that is wrong is found by its samples, said loudly, dropped and read anew before
// it decides.
func TestCorruptReplicaIsFoundBeforeFailover(t *testing.T) {
	t.Parallel()
	for i, spoil := range []func(replica *replication.Replica, key string){
		func(replica *replication.Replica, key string) { // an attempt is missing
			for k, r := range replica.Records.All {
				if k == key {
					r.Value.Live = r.Value.Live[1:]
				}
			}
		},
		func(replica *replication.Replica, key string) { // a change got lost
			for k, r := range replica.Records.All {
				if k == key {
					*r.Value = storage.RunRecord{Last: 1}
				}
			}
		},
	} {
		runConfiguredSimulation(t, uint64(650+i), configureLongJobs, func(sim *simulatedCluster) {
			sim.operator.Operations = nil
			sim.submitLongJobs()
			lost, next := sim.leaderOf(0), sim.standbyOf(0)
			key := ""
			sim.onController(next, func(c *Controller) {
				replica := c.replicator.Replicas[0]
				for k, r := range replica.Records.All {
					if len(r.Value.Live) > 0 {
						key = k
					}
				}
				spoil(replica, key)
			})
			if key == "" {
				t.Fatal("no record to spoil")
			}
			time.Sleep(12 * time.Second) // two samples of this part
			sim.onController(next, func(c *Controller) {
				replica := c.replicator.Replicas[0]
				if c.replicator.Mismatches != 1 || replica == nil || replica.Records.Revision() == 0 {
					t.Errorf("%d: found %d times", i, c.replicator.Mismatches)
				}
			})
			sim.killController(lost)
			time.Sleep(4 * time.Second)
			sim.startController(lost)
			sim.cancelLongJobs()
		})
	}
}

// A lost part is its standby's, as long as that is there and has a copy; others leave it
// alone for a moment, its home too.
func TestVacantPartitionIsLeftToItsStandby(t *testing.T) {
	t.Parallel()
	c, p := newLeadingController(t)
	now := time.Now()
	c.Synced, c.StartedAt = true, now.Add(-time.Minute)
	told := func(named string, follows, copies bool) {
		c.Peers["n1"] = &cluster.Peer{HeardAt: now.Add(-3 * time.Second), Summary: &peer.Summary{From: "n1", Partitions: []*peer.PartitionSummary{{Partition: uint32(p.Index), Standby: named}}}}
		c.Peers["n2"] = &cluster.Peer{HeardAt: now, Summary: &peer.Summary{From: "n2", Replicates: copies}}
		if follows {
			c.Peers["n2"].Summary.Replicas = []*peer.ReplicaStatus{{Partition: uint32(p.Index), Revision: 4}}
		}
	}
	for _, q := range c.Partitions {
		q.Held, q.Ready = false, false
	}
	p.Leader, p.LeaseRevision, p.FormerLeader, p.VacantSince = "", 0, "n1", now
	other := (p.Index + 1) % len(c.Partitions)
	for i, tc := range []struct {
		named           string
		follows         bool
		after           time.Duration
		self            int
		started, wanted bool
	}{
		{"n2", true, 0, other, true, false},
		{"n2", true, 500 * time.Millisecond, other, true, false},
		{"n2", true, 700 * time.Millisecond, other, true, true},
		{"n2", true, 0, p.Index, true, false}, // its home
		{"n2", false, 0, p.Index, true, true},
		{"n0", false, 0, other, true, true},  // it is this one
		{"n0", false, 0, other, false, true}, // that has just started
		{"", false, 0, other, false, false},  // nobody was named, and this one has just started
	} {
		told(tc.named, tc.follows, true)
		c.SelfIndex, c.StartedAt = tc.self, now.Add(-time.Minute)
		if !tc.started {
			c.StartedAt = now.Add(-time.Second)
		}
		if got := c.takeover.WantsPartition(p, now.Add(tc.after)); got != tc.wanted {
			t.Errorf("%d: wanted %v", i, got)
		}
	}
	c.Draining = true
	told("n0", false, true)
	if c.takeover.WantsPartition(p, now.Add(time.Hour)) {
		t.Error("one that leaves wants a part")
	}
}

// What the leader was about goes on under the next one: rentals under their own names.
func TestNextClusterLeaderResumesScaleOuts(t *testing.T) {
	t.Parallel()
	runSimulation(t, 680, func(sim *simulatedCluster) {
		time.Sleep(3 * time.Second)
		leader := ""
		for _, l := range []string{"n0", "n1", "n2"} {
			sim.onController(l, func(c *Controller) {
				if c.Leadership.Held {
					leader = l
				}
			})
		}
		// The cloud's answers are lost, so that the rental stays under way.
		var names []string
		sim.mu.Lock()
		sim.onResponse = func(from, host, target string, body []byte, _ *transport.Response) bool {
			if host != "cloud" || target != "/machines" {
				return false
			}
			var r protocol.Rental
			panicOnError(protocol.Decode(body, &r))
			sim.mu.Lock()
			defer sim.mu.Unlock()
			names = append(names, r.Request)
			return from == leader
		}
		sim.mu.Unlock()
		sim.submit(newJobSpec("job-1", 6, "green"))
		time.Sleep(4 * time.Second)
		sim.mu.Lock()
		mine := slices.Compact(slices.Sorted(slices.Values(names)))
		names = nil
		rented := sim.cloud.Rented
		sim.mu.Unlock()
		if len(mine) == 0 || rented == 0 {
			t.Fatalf("%d rentals under way, %d machines", len(mine), rented)
		}
		sim.killController(leader)
		time.Sleep(5 * time.Second)
		sim.mu.Lock()
		for _, name := range mine {
			if !slices.Contains(names, name) {
				t.Errorf("%s was not repeated, but %v", name, names)
			}
		}
		sim.mu.Unlock()
		recorded := 0
		for _, l := range []string{"n0", "n1", "n2"} {
			sim.onController(l, func(c *Controller) { recorded = max(recorded, len(c.Machines)) })
		}
		if recorded < rented {
			t.Errorf("%d of %d rented machines are on record", recorded, rented)
		}
		sim.startController(leader)
		sim.waitForAllJobs(time.Minute)
	})
}

// configureLongJobs fills the world's machines with long work of all teams.
func configureLongJobs(sim *simulatedCluster) {
	sim.cloud.Capacity = 30
	sim.settings.Params.Teams[0].CPUsMax, sim.settings.Params.Teams[1].CPUsMax = 0, 0
	sim.runTime = func(string, int, string) time.Duration { return 10 * time.Minute }
}

// submitLongJobs submits work that keeps all machines, and waits until it runs.
func (sim *simulatedCluster) submitLongJobs() {
	time.Sleep(2 * time.Second)
	for i, team := range []string{"red", "blue", "green"} {
		s := newJobSpec(fmt.Sprintf("job-%d", i), 16, team)
		s.EstimateS, s.DeadlineS, s.Spot = 600, 0, false
		sim.submit(s)
	}
	time.Sleep(30 * time.Second)
}
