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
	sim.taskRunTime = func(string, int, string) time.Duration { return 10 * time.Minute }
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

// cancelLongJobs cancels the jobs of submitLongJobs and waits until all of them have ended.
func (sim *simulatedCluster) cancelLongJobs() {
	for i := range 3 {
		sim.cancelJob(fmt.Sprintf("job-%d", i))
	}
	sim.waitForAllJobs(time.Minute)
}

// A killed leader is replaced by its standby, whose replica contains the start times of the
// attempts; running tasks continue.
func TestFailoverUsesTheStandbyReplica(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		runConfiguredSimulation(t, 600+seed, configureLongJobs, func(sim *simulatedCluster) {
			sim.submitLongJobs()
			time.Sleep(time.Duration(seed) * 170 * time.Millisecond)
			killed, standby := sim.leaderOf(0), sim.standbyOf(0)
			if standby == "" || standby == killed {
				t.Fatalf("seed %d: the standby of the partition led by %s is %q", seed, killed, standby)
			}
			sim.killController(killed)
			for killedAt := time.Now(); sim.leaderOf(0) == "" && time.Since(killedAt) < 10*time.Second; {
				time.Sleep(10 * time.Millisecond)
			}
			if leader := sim.leaderOf(0); leader != standby {
				t.Errorf("seed %d: %s took over, want the standby %s", seed, leader, standby)
			}
			inherited, totalError := 0, time.Duration(0)
			sim.onController(standby, func(c *Controller) {
				p := c.Partitions[0]
				if !p.WarmFailover {
					t.Errorf("seed %d: the takeover did not use the standby's replica", seed)
				}
				for _, m := range c.Machines {
					for _, a := range m.Attempts {
						if m.Record.Partition != 0 {
							continue
						}
						sim.mu.Lock()
						startedAt := time.Time{}
						if agent := sim.agents[m.Name]; agent != nil {
							for _, task := range agent.Tasks {
								if task.Name == a.TaskName() {
									startedAt = task.EndsAt.Add(-10 * time.Minute)
								}
							}
						}
						sim.mu.Unlock()
						offset := a.ReplicatedStart.Sub(startedAt)
						if startedAt.IsZero() || offset < -time.Second || offset > 3*time.Second {
							t.Errorf("seed %d: the replicated start time of %s is %s late", seed, a.TaskName(), offset)
						}
						totalError += offset.Abs()
						inherited++
					}
				}
			})
			if inherited == 0 {
				t.Fatalf("seed %d: the new leader inherited no attempts", seed)
			}
			t.Logf("seed %d: the replicated start times of %d attempts are off by %s on average", seed, inherited, totalError/time.Duration(inherited))
			sim.mu.Lock()
			starts := 0
			for _, agent := range sim.agents {
				starts += agent.TasksStarted
			}
			sim.mu.Unlock()
			sim.startController(killed)
			time.Sleep(10 * time.Second)
			sim.mu.Lock()
			for _, agent := range sim.agents {
				starts -= agent.TasksStarted
			}
			sim.mu.Unlock()
			if starts != 0 {
				t.Errorf("seed %d: %d tasks were started again after the takeover", seed, -starts)
			}
			sim.cancelLongJobs()
		})
	}
}

// A planned shutdown hands its partitions over first: the partitions have no leader for 200 ms at
// most, and the new leaders need not assume that the old one still answers heartbeats. A restarted
// controller gets a partition back by a warm takeover.
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
						t.Errorf("seed %d: %s acquired partition %d again while it shut down", seed, label, p)
					}
				}
				sim.killController(label)
			}()
			shutdownAt, lastLed := time.Now(), time.Now()
			for time.Since(shutdownAt) < 2*time.Second {
				allLed := true
				for _, p := range partitions {
					allLed = allLed && sim.leaderOf(p) != ""
				}
				if now := time.Now(); allLed {
					lastLed = now
				} else {
					longest = max(longest, now.Sub(lastLed))
				}
				time.Sleep(2 * time.Millisecond)
			}
			<-ended
			t.Logf("seed %d: %d partitions handed over, without a leader for at most %s", seed, len(partitions), longest)
			if len(partitions) == 0 || longest > 200*time.Millisecond {
				t.Errorf("seed %d: partitions %v were handed over, without a leader for up to %s; want at least one partition and at most 200 ms", seed, partitions, longest)
			}
			for _, p := range partitions {
				sim.onController(sim.leaderOf(p), func(c *Controller) {
					if !c.Partitions[p].WarmFailover {
						t.Errorf("seed %d: the takeover of partition %d did not use a replica", seed, p)
					}
					for _, m := range c.Machines {
						if m.Record.Partition == p && time.Until(m.Answers.Until()) > delegation.GrantDuration {
							t.Errorf("seed %d: other controllers may answer heartbeats of %s for another %s, want at most the duration of a grant", seed, m.Name, time.Until(m.Answers.Until()))
						}
					}
				})
			}
			sim.startController(label)
			time.Sleep(40 * time.Second)
			if back := sim.leaseCount(label); back == 0 {
				t.Errorf("seed %d: the restarted %s got no partition back", seed, label)
			}
			sim.onController(label, func(c *Controller) {
				for _, p := range c.Partitions {
					if p.Held && !p.WarmFailover && len(c.Machines) > 0 {
						t.Errorf("seed %d: the restarted controller took over partition %d without a replica", seed, p.Index)
					}
				}
			})
			sim.cancelLongJobs()
		})
	}
}

// If no other controller can take over, a planned shutdown ends at once, and the next
// incarnation of the controller reacquires its partition leases.
func TestPlannedShutdownOfTheLastController(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 630, configureLongJobs, func(sim *simulatedCluster) {
		sim.submitLongJobs()
		sim.killController("n1")
		sim.killController("n2")
		time.Sleep(6 * time.Second)
		n := sim.processOf("n0")
		shutdownAt := time.Now()
		n.controller.HandOver(sim.ctx)
		if took := time.Since(shutdownAt); took > 10*time.Millisecond {
			t.Errorf("the handover took %s although no other controller is running, want at most 10 ms", took)
		}
		sim.killController("n0")
		time.Sleep(300 * time.Millisecond)
		sim.startController("n0")
		for sim.leaseCount("n0") < 3 && time.Since(shutdownAt) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(shutdownAt); took > time.Second {
			t.Errorf("the restarted controller reacquired its partitions after %s, want at most 1 s", took)
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
		killed := sim.leaderOf(0)
		sim.killController(killed)
		time.Sleep(300 * time.Millisecond)
		sim.startController(killed)
		time.Sleep(1500 * time.Millisecond)
		if leader := sim.leaderOf(0); leader != killed {
			t.Fatalf("%s leads partition 0, want the restarted %s", leader, killed)
		}
		known, all := 0, 0
		sim.onController(killed, func(c *Controller) {
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
			t.Errorf("the start times of %d of %d attempts are known, want all and at least one", known, all)
		}
		sim.cancelLongJobs()
	})
}

// A corrupt replica is detected by comparing samples with the records; the standby drops the
// replica and reads it again before a failover uses it.
func TestCorruptReplicaIsFoundBeforeFailover(t *testing.T) {
	t.Parallel()
	for i, corrupt := range []func(replica *replication.Replica, key string){
		func(replica *replication.Replica, key string) { // removes an attempt from a run record
			for k, r := range replica.Records.All {
				if k == key {
					r.Value.Live = r.Value.Live[1:]
				}
			}
		},
		func(replica *replication.Replica, key string) { // replaces a run record with one without attempts
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
			leader, standby := sim.leaderOf(0), sim.standbyOf(0)
			key := ""
			sim.onController(standby, func(c *Controller) {
				replica := c.replicator.Replicas[0]
				for k, r := range replica.Records.All {
					if len(r.Value.Live) > 0 {
						key = k
					}
				}
				corrupt(replica, key)
			})
			if key == "" {
				t.Fatal("no run record with live attempts to corrupt")
			}
			time.Sleep(12 * time.Second) // in which this partition is sampled twice
			sim.onController(standby, func(c *Controller) {
				replica := c.replicator.Replicas[0]
				if c.replicator.Mismatches != 1 || replica == nil || replica.Records.Revision() == 0 {
					t.Errorf("case %d: %d mismatches counted, want 1 and a new replica", i, c.replicator.Mismatches)
				}
			})
			sim.killController(leader)
			time.Sleep(4 * time.Second)
			sim.startController(leader)
			sim.cancelLongJobs()
		})
	}
}

// A live standby with a replica has a head start in acquiring a vacant partition; other
// controllers wait, including the partition's preferred leader.
func TestVacantPartitionIsLeftToItsStandby(t *testing.T) {
	t.Parallel()
	c, p := newLeadingController(t)
	now := time.Now()
	c.Synced, c.StartedAt = true, now.Add(-time.Minute)
	setPeers := func(standby string, hasReplica, replicates bool) {
		c.Peers["n1"] = &cluster.Peer{LastSummaryAt: now.Add(-3 * time.Second), Summary: &peer.Summary{From: "n1", Partitions: []*peer.PartitionSummary{{Partition: uint32(p.Index), Standby: standby}}}}
		c.Peers["n2"] = &cluster.Peer{LastSummaryAt: now, Summary: &peer.Summary{From: "n2", Replicates: replicates}}
		if hasReplica {
			c.Peers["n2"].Summary.Replicas = []*peer.ReplicaStatus{{Partition: uint32(p.Index), Revision: 4}}
		}
	}
	for _, q := range c.Partitions {
		q.Held, q.Ready = false, false
	}
	p.Leader, p.LeaseRevision, p.FormerLeader, p.VacantSince = "", 0, "n1", now
	other := (p.Index + 1) % len(c.Partitions)
	for i, tc := range []struct {
		standby         string
		hasReplica      bool
		vacantFor       time.Duration
		selfIndex       int
		upForLong, want bool
	}{
		{"n2", true, 0, other, true, false},
		{"n2", true, 500 * time.Millisecond, other, true, false},
		{"n2", true, 700 * time.Millisecond, other, true, true},
		{"n2", true, 0, p.Index, true, false}, // this controller is the preferred leader
		{"n2", false, 0, p.Index, true, true},
		{"n0", false, 0, other, true, true},  // this controller is the standby
		{"n0", false, 0, other, false, true}, // this controller is the standby and has just started
		{"", false, 0, other, false, false},  // no standby was announced, and this controller has just started
	} {
		setPeers(tc.standby, tc.hasReplica, true)
		c.SelfIndex, c.StartedAt = tc.selfIndex, now.Add(-time.Minute)
		if !tc.upForLong {
			c.StartedAt = now.Add(-time.Second)
		}
		if got := c.takeover.ShouldAcquirePartition(p, now.Add(tc.vacantFor)); got != tc.want {
			t.Errorf("case %d: the decision to acquire the partition is %v, want %v", i, got, tc.want)
		}
	}
	c.Draining = true
	setPeers("n0", false, true)
	if c.takeover.ShouldAcquirePartition(p, now.Add(time.Hour)) {
		t.Error("a draining controller would acquire a partition")
	}
}

// The next cluster leader resumes scale-outs in progress under their original request names.
func TestNextClusterLeaderResumesScaleOuts(t *testing.T) {
	t.Parallel()
	runSimulation(t, 680, func(sim *simulatedCluster) {
		time.Sleep(3 * time.Second)
		leader := sim.clusterLeader()
		// The cloud's responses are lost, so that the scale-out stays in progress.
		var requestNames []string
		sim.mu.Lock()
		sim.onResponse = func(from, host, target string, body []byte, _ *transport.Response) bool {
			if host != "cloud" || target != "/machines" {
				return false
			}
			var r protocol.CreateMachinesRequest
			panicOnError(protocol.Decode(body, &r))
			sim.mu.Lock()
			defer sim.mu.Unlock()
			requestNames = append(requestNames, r.Request)
			return from == leader
		}
		sim.mu.Unlock()
		sim.submit(newJobSpec("job-1", 6, "green"))
		time.Sleep(4 * time.Second)
		sim.mu.Lock()
		inProgress := slices.Compact(slices.Sorted(slices.Values(requestNames)))
		requestNames = nil
		rented := sim.cloud.CreatedTotal
		sim.mu.Unlock()
		if len(inProgress) == 0 || rented == 0 {
			t.Fatalf("%d scale-outs in progress and %d machines rented, want at least one of each", len(inProgress), rented)
		}
		sim.killController(leader)
		time.Sleep(5 * time.Second)
		sim.mu.Lock()
		for _, name := range inProgress {
			if !slices.Contains(requestNames, name) {
				t.Errorf("the next leader did not repeat scale-out %s, its requests are %v", name, requestNames)
			}
		}
		sim.mu.Unlock()
		recorded := 0
		for _, l := range allControllers {
			sim.onController(l, func(c *Controller) { recorded = max(recorded, len(c.Machines)) })
		}
		if recorded < rented {
			t.Errorf("%d of %d rented machines have a record", recorded, rented)
		}
		sim.startController(leader)
		sim.waitForAllJobs(time.Minute)
	})
}
