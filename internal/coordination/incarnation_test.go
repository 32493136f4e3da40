package coordination

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/lease"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// A killed leader is detected because its agents send heartbeats to other controllers, and is
// replaced before its lease expires.
func TestLostLeaderIsReplacedBeforeItsLeaseExpires(t *testing.T) {
	t.Parallel()
	var leaderless []time.Duration
	for seed := range uint64(8) {
		runConfiguredSimulation(t, 500+seed, configureLongJobs, func(sim *simulatedCluster) {
			sim.submitLongJobs()
			time.Sleep(time.Duration(seed) * 130 * time.Millisecond)
			killed := sim.leaderOf(0)
			killedAt := time.Now()
			sim.killController(killed)
			for sim.leaderOf(0) == "" && time.Since(killedAt) < 10*time.Second {
				time.Sleep(20 * time.Millisecond)
			}
			leaderless = append(leaderless, time.Since(killedAt))
			time.Sleep(3 * time.Second)
			sim.startController(killed)
			time.Sleep(5 * time.Second)
			for i := range 3 {
				sim.cancelJob(fmt.Sprintf("job-%d", i))
			}
			sim.waitForAllJobs(time.Minute)
		})
	}
	slices.Sort(leaderless)
	t.Logf("sorted times without a leader: %v", leaderless)
	if median, longest := leaderless[len(leaderless)/2], leaderless[len(leaderless)-1]; median > 1900*time.Millisecond || longest > 2400*time.Millisecond {
		t.Errorf("partition without a leader for %s (median) and up to %s, want at most 1.9 s and 2.4 s; a lease expires after 3 s", median, longest)
	}
}

// A live leader keeps its leases when controllers cannot reach each other but their agents can,
// when agents lose their connections to it but controllers do not, during a pause of one
// second, with a state store that takes 300 ms to answer, and when packets are lost and
// retransmitted a second later.
func TestLivingLeadersKeepTheirLeases(t *testing.T) {
	t.Parallel()
	isController := func(host string) bool { return strings.HasPrefix(host, "n") }
	for name, tc := range map[string]struct {
		cut      func(from, host string) bool
		duration time.Duration
		delay    func(sim *simulatedCluster, host string) time.Duration
	}{
		"controllers cannot reach each other": {func(from, host string) bool { return isController(host) }, 20 * time.Second, nil},
		"some agents cannot reach their leader": {func(from, host string) bool {
			return from == "n0" && host < "m-000003" && strings.HasPrefix(host, "m-")
		}, 8 * time.Second, nil},
		"leader pauses for 1 s": {func(from, host string) bool { return from == "n0" && !strings.HasPrefix(host, "m-") || host == "n0" }, time.Second, nil},
		"state store is slow": {nil, 20 * time.Second, func(_ *simulatedCluster, host string) time.Duration {
			if host == "state" {
				return 300 * time.Millisecond
			}
			return 0
		}},
		"packets are retransmitted": {nil, 20 * time.Second, func(sim *simulatedCluster, _ string) time.Duration {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			if sim.rng.IntN(50) == 0 {
				return time.Second
			}
			return 0
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 520, configureLongJobs, func(sim *simulatedCluster) {
				sim.submitLongJobs()
				leaseVersions := func() string {
					sim.mu.Lock()
					defer sim.mu.Unlock()
					versions := ""
					for p := range 3 {
						versions += fmt.Sprint(sim.state.Items[storage.LeaseKey(p)].Version, " ")
					}
					return versions
				}
				before := leaseVersions()
				sim.mu.Lock()
				sim.dropsMessage = tc.cut
				if tc.delay != nil {
					sim.onRequest = func(_, host, _ string, _ []byte) bool {
						time.Sleep(tc.delay(sim, host))
						return false
					}
				}
				sim.mu.Unlock()
				time.Sleep(tc.duration)
				sim.withLock(func() { sim.dropsMessage, sim.onRequest = nil, nil })
				time.Sleep(5 * time.Second)
				if now := leaseVersions(); now != before {
					t.Errorf("lease versions changed from %s to %s: the leader lost a lease", before, now)
				}
				for i := range 3 {
					sim.cancelJob(fmt.Sprintf("job-%d", i))
				}
				sim.waitForAllJobs(time.Minute)
			})
		})
	}
}

// Machines that fail together with their leader are declared lost one machine lease after the
// leader's next incarnation starts. Without a next incarnation, they are declared lost only after
// the time for which the old incarnation may have continued to answer their heartbeats.
func TestNewIncarnationEndsThePreviousOne(t *testing.T) {
	t.Parallel()
	for _, restarted := range []bool{true, false} {
		t.Run(fmt.Sprint("restarted ", restarted), func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 530, configureLongJobs, func(sim *simulatedCluster) {
				sim.submitLongJobs()
				killed := sim.leaderOf(0)
				sim.mu.Lock()
				failed := ""
				for _, label := range allControllers {
					if n := sim.controllers[label]; label == killed {
						sim.mu.Unlock()
						n.controller.loop.Do(func() {
							for name, m := range n.controller.Machines {
								if m.Record.Partition == 0 && len(m.Attempts) > 0 && (failed == "" || name < failed) {
									failed = name
								}
							}
						})
						sim.mu.Lock()
					}
				}
				sim.agents[failed].Hung = true
				sim.mu.Unlock()
				killedAt := time.Now()
				sim.killController(killed)
				time.Sleep(3 * time.Second)
				if restarted {
					sim.startController(killed)
				}
				lostAfter := time.Duration(0)
				for lostAfter == 0 && time.Since(killedAt) < time.Minute {
					time.Sleep(100 * time.Millisecond)
					label := sim.leaderOf(0)
					n := sim.processOf(label)
					if n != nil {
						n.controller.loop.Do(func() {
							if m := n.controller.Machines[failed]; m == nil || m.Lost {
								lostAfter = time.Since(killedAt)
							}
						})
					}
				}
				lease, bound := sim.settings.Params.AgentTimes.LeaseS, 15.0 // cancel_s - lease_s - 2 s
				t.Logf("failed machine was lost after %s", lostAfter)
				if s := lostAfter.Seconds(); s < lease || restarted && s > 3+lease+4 || !restarted && s < bound+lease {
					t.Errorf("failed machine was lost after %s, want at least a machine lease, at most 7 s more with the leader's next incarnation, and at least %v s more without", lostAfter, bound)
				}
				for i := range 3 {
					sim.cancelJob(fmt.Sprintf("job-%d", i))
				}
				sim.withLock(func() { sim.agents[failed].Hung = false })
				sim.waitForAllJobs(time.Minute)
			})
		})
	}
}

// Incarnations are ordered by the revision of their record: a late write of an older incarnation's
// record is refused, and another event of the older record does not end the newer incarnation.
func TestIncarnationRecordsKeepTheirOrder(t *testing.T) {
	t.Parallel()
	runSimulation(t, 540, func(sim *simulatedCluster) {
		time.Sleep(3 * time.Second)
		key := storage.IncarnationKey("n1")
		sim.mu.Lock()
		first := sim.state.Items[key]
		sim.mu.Unlock()
		sim.killController("n1")
		sim.startController("n1")
		time.Sleep(3 * time.Second)
		sim.mu.Lock()
		second := sim.state.Items[key]
		sim.mu.Unlock()
		var a, b storage.Incarnation
		if storage.Decode(first.Value, &a) != nil || storage.Decode(second.Value, &b) != nil || a.Nonce == b.Nonce || second.Version <= first.Version {
			t.Fatalf("incarnation records %+v and %+v, want different nonces and increasing versions", a, b)
		}
		n0 := sim.controllers["n0"].controller
		ended := func(nonce string) (is bool) {
			n0.loop.Do(func() { is = !n0.leases.EndedIncarnations[lease.IncarnationID{Label: "n1", Nonce: nonce}].IsZero() })
			return is
		}
		n0.loop.Do(func() { // the event of the older record arrives again
			n0.watcher.ApplyEvent(protocol.Event{Put: key, Value: first.Value, Version: first.Version})
		})
		if !ended(a.Nonce) || ended(b.Nonce) {
			t.Errorf("first incarnation ended: %v, second: %v; want only the first ended", ended(a.Nonce), ended(b.Nonce))
		}
		// A late write of the first incarnation is refused because it is conditional on an
		// old revision.
		resp := sim.state.Serve(sim.ctx, "", "POST", "/commit", nil, protocol.Encode(&protocol.Transaction{
			If: []protocol.Condition{{Key: key, Version: 0}}, Then: []protocol.Change{{Put: key, Value: first.Value}}}))
		if resp.Status != 409 {
			t.Errorf("a late write of the first incarnation got status %d, want 409", resp.Status)
		}
	})
}

// The latest time of an answer, as computed from the observed records, must not be earlier than
// any answer that another controller may have given to a partition's machines.
func TestLastAnswerBoundCoversUnseenAnswers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		p, bound := c.Partitions[0], c.AnswerBound()
		put := func(key string, version uint64, v any) {
			c.watcher.ApplyEvent(protocol.Event{Put: key, Value: storage.Encode(v), Version: version})
		}
		setLease := func(version uint64, label, nonce string) {
			put(storage.LeaseKey(0), version, storage.Lease{Holder: label, Nonce: nonce})
		}
		m := &cluster.Machine{}
		check := func(name string, want time.Time) {
			t.Helper()
			if got := c.leases.LastAnswerBound(p, m).Until; !got.Equal(want) {
				t.Errorf("%s: the last answer may have been given until %s, want %s", name, got, want)
			}
		}
		start := time.Now()
		c.watcher.ApplyListing(nil, 1)
		check("unknown leaders before the first listing", start.Add(bound))
		time.Sleep(time.Minute)
		put(storage.IncarnationKey("n1"), 2, storage.Incarnation{Nonce: "x", Lease: 1})
		setLease(3, "n1", "x")
		setLease(4, "n2", "y")
		check("former leader whose lease ended", time.Now().Add(bound))
		time.Sleep(time.Second)
		put(storage.IncarnationKey("n1"), 5, storage.Incarnation{Nonce: "x", Lease: 2})
		check("former leader, same incarnation under another lease", time.Now().Add(bound-time.Second))
		put(storage.IncarnationKey("n1"), 6, storage.Incarnation{Nonce: "z", Lease: 3})
		check("former leader with a new incarnation, whose delegates may still answer", time.Now().Add(delegation.GrantDuration))
		time.Sleep(time.Minute)
		setLease(7, "n0", c.Nonce)
		time.Sleep(time.Minute)
		setLease(8, "n2", "y")
		check("this controller as the former leader", time.Now())
		time.Sleep(time.Minute)
		c.agents.ApplyMachineRecord("m-1", storage.Machine{Partition: 1, Type: "small"}, 9, time.Now())
		c.agents.ApplyMachineRecord("m-1", storage.Machine{Partition: 0, Type: "small"}, 10, time.Now())
		m = c.Machines["m-1"]
		check("leader of the machine's previous partition", time.Now().Add(bound))
		m = &cluster.Machine{}
		time.Sleep(time.Minute)
		setLease(11, "n0", c.Nonce)
		time.Sleep(time.Minute)
		p.Delegations.Assign(0, "n1")
		p.Delegations.Renew("n1", "x", 0, time.Minute, time.Now())
		grantEnd := p.Delegations.LatestGrantEnd()
		if left := time.Until(grantEnd); left < delegation.GrantDuration {
			t.Errorf("the grant lasts another %s, want at least the full duration", left)
		}
		setLease(12, "n2", "y")
		check("this controller as the former leader, whose delegates may still answer", grantEnd)

		// Only a lease that partition leases depend on is revoked.
		ps := c.Peers["n2"]
		ps.LastSummaryAt, ps.ReportingMachines, ps.DivertedMachines = time.Now(), map[string]bool{"a": true, "b": true, "c": true}, map[string]bool{"a": true, "b": true, "c": true}
		c.Synced = true
		put(storage.IncarnationKey("n2"), 11, storage.Incarnation{Nonce: "other", Lease: 7})
		time.Sleep(5 * time.Second)
		c.LeaseRenewedAt = time.Now()
		if c.leases.RevokeIfDead("n2", ps, time.Now()); ps.RevokedLeaseID != 0 {
			t.Error("revoked the lease of an incarnation that leads no partition")
		}
		setLease(14, "n2", "other")
		if c.leases.RevokeIfDead("n2", ps, time.Now()); ps.RevokedLeaseID != 7 {
			t.Errorf("revoked lease %d, want 7", ps.RevokedLeaseID)
		}

		p.LeaseRevision, c.RecordsRevision = 20, 19
		if unmet := c.takeover.UnmetPreconditions(p, 20, 20); !slices.Equal(unmet, []string{"machine records up to the lease revision", "final states of jobs up to the lease revision"}) {
			t.Errorf("unmet preconditions: %v, want the machine records and the final states up to the lease revision", unmet)
		}
		if c.RecordsRevision = 20; len(c.takeover.UnmetPreconditions(p, 20, 20)) != 0 || len(c.takeover.UnmetPreconditions(p, 20, 19)) != 1 {
			t.Error("wrong unmet preconditions: want none with records up to the lease revision, and one with older run records")
		}
	})
}

// A controller that has released or lost a lease does not take it up again when it receives an older state
// of the lease's record: from a listing requested before, or from a late answer to a watch. Successors
// count on its having stopped (rules 11, 34).
func TestOldLeaseRecordsAreIgnored(t *testing.T) {
	t.Parallel()
	for _, row := range []struct {
		name string
		key  string
		held func(c *Controller) bool
	}{
		{"partition", storage.LeaseKey(0), func(c *Controller) bool { return c.Partitions[0].Held }},
		{"cluster leadership", storage.LeadershipKey, func(c *Controller) bool { return c.Leadership.Held }},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c, end := newIdleController(t)
				defer end()
				lease := storage.Encode(storage.Lease{Holder: "n0", Nonce: c.Nonce})
				put := protocol.Event{Put: row.key, Value: lease, Version: 10}
				if c.watcher.ApplyEvent(put); !row.held(c) {
					t.Fatal("the lease was not taken up")
				}
				c.watcher.ApplyEvent(protocol.Event{Delete: row.key, Version: 15}) // its own release, before the watch brings it
				c.watcher.ApplyEvent(put)
				if row.held(c) {
					t.Error("a late answer to the watch revived the released lease")
				}
				c.watcher.ApplyListing([]protocol.Item{{Key: row.key, Value: lease, Version: 10}}, 12)
				if row.held(c) {
					t.Error("a listing of an older revision revived the released lease")
				}
				formerLeader, vacantSince := c.Partitions[0].FormerLeader, c.Partitions[0].VacantSince
				time.Sleep(time.Second)
				c.watcher.ApplyEvent(protocol.Event{Delete: row.key, Version: 15})
				if p := c.Partitions[0]; p.FormerLeader != formerLeader || !p.VacantSince.Equal(vacantSince) {
					t.Errorf("the release was applied again: former leader %q, vacant for %s less; want %q and 0", p.FormerLeader, p.VacantSince.Sub(vacantSince), formerLeader)
				}
				if c.watcher.ApplyEvent(protocol.Event{Put: row.key, Value: lease, Version: 16}); !row.held(c) {
					t.Error("a newer lease was not taken up")
				}
			})
		})
	}
}
