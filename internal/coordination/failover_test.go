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

// configureLongJobs lets jobs of all teams fill the simulated machines with long tasks.
func configureLongJobs(sim *simulatedCluster) {
	sim.cloud.Capacity = 30
	sim.settings.Params.Teams[0].CPUsMax, sim.settings.Params.Teams[1].CPUsMax = 0, 0
	sim.runTime = func(string, int, string) time.Duration { return 10 * time.Minute }
}

// submitLongJobs submits jobs that occupy the machines, and waits until they run.
func (sim *simulatedCluster) submitLongJobs() {
	time.Sleep(2 * time.Second)
	for i, team := range allTeams {
		s := newJobSpec(fmt.Sprintf("job-%d", i), 16, team)
		s.EstimateS, s.DeadlineS, s.Spot = 600, 0, false
		sim.submit(s)
	}
	time.Sleep(30 * time.Second)
}

// cancelLongJobs cancels the jobs of submitLongJobs and waits until they are gone.
func (sim *simulatedCluster) cancelLongJobs() {
	for i := range 3 {
		sim.cancelJob(fmt.Sprintf("job-%d", i))
	}
	sim.waitForAllJobs(time.Minute)
}

// A killed leader is replaced by its standby, whose replica knows when the attempts started;
// running tasks continue.
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
				t.Errorf("seed %d: %s took over, not %s", seed, now, next)
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
							t.Errorf("seed %d: the known start of %s is %s late", seed, a.TaskName(), late)
						}
						off += late.Abs()
						inherited++
					}
				}
			})
			if inherited == 0 {
				t.Fatalf("seed %d: nothing was inherited", seed)
			}
			t.Logf("seed %d: starts of %d attempts are known within %s on average", seed, inherited, off/time.Duration(inherited))
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
				t.Errorf("seed %d: %d tasks were restarted", seed, -starts)
			}
			sim.cancelLongJobs()
		})
	}
}

// A planned shutdown hands its partitions over first: hardly a moment without a leader, no task
// lost, and the machines' leases count from the handover. A controller that returns gets its
// partition back with a warm takeover.
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
			n := sim.processOf(label)
			go func() {
				defer close(ended)
				ctx, cancel := context.WithTimeout(sim.ctx, time.Second)
				defer cancel()
				n.controller.HandOver(ctx)
				time.Sleep(time.Duration(seed%2) * time.Second) // the process may take a moment to exit
				for _, p := range partitions {
					if sim.leaderOf(p) == label {
						t.Errorf("seed %d: %s leads partition %d again", seed, label, p)
					}
				}
				sim.killController(label)
			}()
			begun, last := time.Now(), time.Now()
			for time.Since(begun) < 2*time.Second {
				led := true
				for _, p := range partitions {
					led = led && sim.leaderOf(p) != ""
				}
				if now := time.Now(); led {
					last = now
				} else {
					longest = max(longest, now.Sub(last))
				}
				time.Sleep(2 * time.Millisecond)
			}
			<-ended
			t.Logf("seed %d: %d partitions, without a leader for %s", seed, len(partitions), longest)
			if len(partitions) == 0 || longest > 200*time.Millisecond {
				t.Errorf("seed %d: partitions %v without a leader for %s", seed, partitions, longest)
			}
			for _, p := range partitions {
				sim.onController(sim.leaderOf(p), func(c *Controller) {
					if !c.Partitions[p].WarmFailover {
						t.Errorf("seed %d: takeover of partition %d was cold", seed, p)
					}
					for _, m := range c.Machines {
						if m.Record.Partition == p && time.Until(m.AnsweredUntil) > delegation.GrantDuration {
							t.Errorf("seed %d: %s counts as answered by others for %s more", seed, m.Name, time.Until(m.AnsweredUntil))
						}
					}
				})
			}
			sim.startController(label)
			time.Sleep(40 * time.Second)
			if back := sim.leaseCount(label); back == 0 {
				t.Errorf("seed %d: %s got no partition back", seed, label)
			}
			sim.onController(label, func(c *Controller) {
				for _, p := range c.Partitions {
					if p.Held && !p.WarmFailover && len(c.Machines) > 0 {
						t.Errorf("seed %d: takeover of partition %d was cold on its return", seed, p.Index)
					}
				}
			})
			sim.cancelLongJobs()
		})
	}
}

// Where no controller can take over, a planned shutdown just ends, and the next incarnation
// acquires its own leases again.
func TestPlannedShutdownOfTheLastController(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 630, configureLongJobs, func(sim *simulatedCluster) {
		sim.submitLongJobs()
		sim.killController("n1")
		sim.killController("n2")
		time.Sleep(6 * time.Second)
		n := sim.processOf("n0")
		begun := time.Now()
		n.controller.HandOver(sim.ctx)
		if took := time.Since(begun); took > 10*time.Millisecond {
			t.Errorf("the shutdown took %s", took)
		}
		sim.killController("n0")
		time.Sleep(300 * time.Millisecond)
		sim.startController("n0")
		for sim.leaseCount("n0") < 3 && time.Since(begun) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(begun); took > time.Second {
			t.Errorf("partitions led again only after %s", took)
		}
		sim.startController("n1")
		sim.startController("n2")
		sim.cancelLongJobs()
	})
}

// A controller that restarts at once reacquires its leases, and recovers the start times of its
// attempts from its standby.
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
			t.Fatalf("%s leads the partition of %s", now, lost)
		}
		known, all := 0, 0
		sim.onController(lost, func(c *Controller) {
			for _, m := range c.Machines {
				for _, a := range m.Attempts {
					if m.Record.Partition == 0 {
						all++
						if !a.StartTimeUnknown() {
							known++
						}
					}
				}
			}
		})
		if all == 0 || known < all {
			t.Errorf("of %d attempts the starts of %d are known", all, known)
		}
		sim.cancelLongJobs()
	})
}

// A corrupt replica is found by its samples, logged, dropped and read again before it is used.
func TestCorruptReplicaIsFoundBeforeFailover(t *testing.T) {
	t.Parallel()
	for i, corrupt := range []func(replica *replication.Replica, key string){
		func(replica *replication.Replica, key string) { // an attempt is missing
			for k, r := range replica.Records.All {
				if k == key {
					r.Value.Live = r.Value.Live[1:]
				}
			}
		},
		func(replica *replication.Replica, key string) { // a change was lost
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
				corrupt(replica, key)
			})
			if key == "" {
				t.Fatal("no record to corrupt")
			}
			time.Sleep(12 * time.Second) // two samples of this partition
			sim.onController(next, func(c *Controller) {
				replica := c.replicator.Replicas[0]
				if c.replicator.Mismatches != 1 || replica == nil || replica.Records.Revision() == 0 {
					t.Errorf("%d: mismatch found %d times", i, c.replicator.Mismatches)
				}
			})
			sim.killController(lost)
			time.Sleep(4 * time.Second)
			sim.startController(lost)
			sim.cancelLongJobs()
		})
	}
}

// A vacant partition is left to its standby for a moment, as long as that is present and has a
// replica; other controllers wait, also the partition's home.
func TestVacantPartitionIsLeftToItsStandby(t *testing.T) {
	t.Parallel()
	c, p := newLeadingController(t)
	now := time.Now()
	c.Synced, c.StartedAt = true, now.Add(-time.Minute)
	setPeers := func(named string, follows, copies bool) {
		c.Peers["n1"] = &cluster.Peer{LastSummaryAt: now.Add(-3 * time.Second), Summary: &peer.Summary{From: "n1", Partitions: []*peer.PartitionSummary{{Partition: uint32(p.Index), Standby: named}}}}
		c.Peers["n2"] = &cluster.Peer{LastSummaryAt: now, Summary: &peer.Summary{From: "n2", Replicates: copies}}
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
		{"n0", false, 0, other, true, true},  // this controller is the standby
		{"n0", false, 0, other, false, true}, // and has just started
		{"", false, 0, other, false, false},  // no standby was named, and this controller has just started
	} {
		setPeers(tc.named, tc.follows, true)
		c.SelfIndex, c.StartedAt = tc.self, now.Add(-time.Minute)
		if !tc.started {
			c.StartedAt = now.Add(-time.Second)
		}
		if got := c.takeover.WantsPartition(p, now.Add(tc.after)); got != tc.wanted {
			t.Errorf("%d: wanted %v", i, got)
		}
	}
	c.Draining = true
	setPeers("n0", false, true)
	if c.takeover.WantsPartition(p, now.Add(time.Hour)) {
		t.Error("a draining controller wants a partition")
	}
}

// The next cluster leader resumes scale-outs in progress under their own request names.
func TestNextClusterLeaderResumesScaleOuts(t *testing.T) {
	t.Parallel()
	runSimulation(t, 680, func(sim *simulatedCluster) {
		time.Sleep(3 * time.Second)
		leader := sim.clusterLeader()
		// The cloud's responses are lost, so that the scale-out stays in progress.
		var names []string
		sim.mu.Lock()
		sim.onResponse = func(from, host, target string, body []byte, _ *transport.Response) bool {
			if host != "cloud" || target != "/machines" {
				return false
			}
			var r protocol.CreateMachinesRequest
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
			t.Fatalf("%d scale-outs in progress, %d machines", len(mine), rented)
		}
		sim.killController(leader)
		time.Sleep(5 * time.Second)
		sim.mu.Lock()
		for _, name := range mine {
			if !slices.Contains(names, name) {
				t.Errorf("scale-out %s was not repeated, but %v", name, names)
			}
		}
		sim.mu.Unlock()
		recorded := 0
		for _, l := range allControllers {
			sim.onController(l, func(c *Controller) { recorded = max(recorded, len(c.Machines)) })
		}
		if recorded < rented {
			t.Errorf("%d of %d rented machines are on record", recorded, rented)
		}
		sim.startController(leader)
		sim.waitForAllJobs(time.Minute)
	})
}
