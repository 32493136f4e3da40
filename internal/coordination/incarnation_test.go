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

// A killed leader is noticed by its agents' turning to other controllers, not only when its
// lease has expired.
func TestLostLeaderIsReplacedBeforeItsLeaseExpires(t *testing.T) {
	t.Parallel()
	var took []time.Duration
	for seed := range uint64(8) {
		runConfiguredSimulation(t, 500+seed, configureLongJobs, func(sim *simulatedCluster) {
			sim.submitLongJobs()
			time.Sleep(time.Duration(seed) * 130 * time.Millisecond)
			lost := sim.leaderOf(0)
			begun := time.Now()
			sim.killController(lost)
			for sim.leaderOf(0) == "" && time.Since(begun) < 10*time.Second {
				time.Sleep(20 * time.Millisecond)
			}
			took = append(took, time.Since(begun))
			time.Sleep(3 * time.Second)
			sim.startController(lost)
			time.Sleep(5 * time.Second)
			for i := range 3 {
				sim.cancelJob(fmt.Sprintf("job-%d", i))
			}
			sim.waitForAllJobs(time.Minute)
		})
	}
	slices.Sort(took)
	t.Logf("without a leader: %v", took)
	if median, longest := took[len(took)/2], took[len(took)-1]; median > 1900*time.Millisecond || longest > 2400*time.Millisecond {
		t.Errorf("without a leader for %s (median), %s at most; a lease expires after 3 s", median, longest)
	}
}

// What must not end a living leader's lease: controllers that cannot reach each other while
// their agents can, agents that lose their connections while the controllers reach the leader,
// a pause of a second, a state store that answers thirty times as slowly, and packets that are
// lost and retransmitted a second later.
func TestLivingLeadersKeepTheirLeases(t *testing.T) {
	t.Parallel()
	node := func(host string) bool { return strings.HasPrefix(host, "n") }
	for name, c := range map[string]struct {
		cut      func(from, host string) bool
		duration time.Duration
		delay    func(sim *simulatedCluster, host string) time.Duration
	}{
		"peers are unreachable": {func(from, host string) bool { return node(host) }, 20 * time.Second, nil},
		"its agents turn to others": {func(from, host string) bool {
			return from == "n0" && host < "m-000003" && strings.HasPrefix(host, "m-")
		}, 8 * time.Second, nil},
		"it pauses for 1 s": {func(from, host string) bool { return from == "n0" && !strings.HasPrefix(host, "m-") || host == "n0" }, time.Second, nil},
		"the state service is slow": {nil, 20 * time.Second, func(_ *simulatedCluster, host string) time.Duration {
			if host == "state" {
				return 300 * time.Millisecond
			}
			return 0
		}},
		"packets are lost": {nil, 20 * time.Second, func(sim *simulatedCluster, _ string) time.Duration {
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
					all := ""
					for p := range 3 {
						all += fmt.Sprint(sim.state.Items[storage.LeaseKey(p)].Version, " ")
					}
					return all
				}
				before := leaseVersions()
				sim.mu.Lock()
				sim.cut = c.cut
				if c.delay != nil {
					sim.onRequest = func(_, host, _ string, _ []byte) bool {
						time.Sleep(c.delay(sim, host))
						return false
					}
				}
				sim.mu.Unlock()
				time.Sleep(c.duration)
				sim.withLock(func() { sim.cut, sim.onRequest = nil, nil })
				time.Sleep(5 * time.Second)
				if now := leaseVersions(); now != before {
					t.Errorf("leases %s, then %s", before, now)
				}
				for i := range 3 {
					sim.cancelJob(fmt.Sprintf("job-%d", i))
				}
				sim.waitForAllJobs(time.Minute)
			})
		})
	}
}

// Machines that fail together with their leader count as lost one lease after its new
// incarnation has started, not only after the time for which the old one might have gone on
// answering.
func TestNewIncarnationEndsThePreviousOne(t *testing.T) {
	t.Parallel()
	for _, restarted := range []bool{true, false} {
		t.Run(fmt.Sprint("restarted ", restarted), func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 530, configureLongJobs, func(sim *simulatedCluster) {
				sim.submitLongJobs()
				lost := sim.leaderOf(0)
				sim.mu.Lock()
				failed := ""
				for _, label := range allControllers {
					if n := sim.controllers[label]; label == lost {
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
				sim.workers[failed].Hung = true
				sim.mu.Unlock()
				begun := time.Now()
				sim.killController(lost)
				time.Sleep(3 * time.Second)
				if restarted {
					sim.startController(lost)
				}
				took := time.Duration(0)
				for took == 0 && time.Since(begun) < time.Minute {
					time.Sleep(100 * time.Millisecond)
					label := sim.leaderOf(0)
					n := sim.processOf(label)
					if n != nil {
						n.controller.loop.Do(func() {
							if m := n.controller.Machines[failed]; m == nil || m.Lost {
								took = time.Since(begun)
							}
						})
					}
				}
				lease, bound := sim.settings.Params.Workers.LeaseS, 15.0 // cancel_s - lease_s - 2 s
				t.Logf("counted as lost after %s", took)
				if s := took.Seconds(); s < lease || restarted && s > 3+lease+4 || !restarted && s < bound+lease {
					t.Errorf("counted as lost after %s", took)
				}
				for i := range 3 {
					sim.cancelJob(fmt.Sprintf("job-%d", i))
				}
				sim.withLock(func() { sim.workers[failed].Hung = false })
				sim.waitForAllJobs(time.Minute)
			})
		})
	}
}

// Incarnations are ordered by the revision of their record: a late write of an older one cannot
// follow a newer one, and proves nothing.
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
			t.Fatalf("incarnations %+v and %+v", a, b)
		}
		n0 := sim.controllers["n0"].controller
		ended := func(nonce string) (is bool) {
			n0.loop.Do(func() { is = !n0.leases.EndedIncarnations[lease.IncarnationID{Label: "n1", Nonce: nonce}].IsZero() })
			return is
		}
		n0.loop.Do(func() { // the older record again, late
			n0.watcher.ApplyEvent(protocol.Event{Put: key, Value: first.Value, Version: first.Version})
		})
		if !ended(a.Nonce) || ended(b.Nonce) {
			t.Errorf("ended: first incarnation %v, second %v", ended(a.Nonce), ended(b.Nonce))
		}
		// A late write of the first incarnation is refused by its revision.
		resp := sim.state.Serve(sim.ctx, "", "POST", "/commit", nil, protocol.Encode(&protocol.Transaction{
			If: []protocol.Condition{{Key: key, Version: 0}}, Then: []protocol.Change{{Put: key, Value: first.Value}}}))
		if resp.Status != 409 {
			t.Errorf("a late write of the first incarnation got %d", resp.Status)
		}
	})
}

// The bound until which another controller may have answered a partition's machines, computed
// from the records that were followed.
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
		check := func(what string, want time.Time) {
			t.Helper()
			if got := c.leases.LastAnswerBound(p, m); !got.Equal(want) {
				t.Errorf("%s: until %s, want %s", what, got, want)
			}
		}
		start := time.Now()
		c.watcher.ApplyListing(nil, 1)
		check("leaders before the first listing", start.Add(bound))
		time.Sleep(time.Minute)
		put(storage.IncarnationKey("n1"), 2, storage.Incarnation{Nonce: "x", Lease: 1})
		setLease(3, "n1", "x")
		setLease(4, "n2", "y")
		check("a leader whose lease has ended", time.Now().Add(bound))
		time.Sleep(time.Second)
		put(storage.IncarnationKey("n1"), 5, storage.Incarnation{Nonce: "x", Lease: 2})
		check("the same incarnation with another lease", time.Now().Add(bound-time.Second))
		put(storage.IncarnationKey("n1"), 6, storage.Incarnation{Nonce: "z", Lease: 3})
		check("its next incarnation, and its delegates", time.Now().Add(delegation.GrantDuration))
		time.Sleep(time.Minute)
		setLease(7, "n0", c.Nonce)
		time.Sleep(time.Minute)
		setLease(8, "n2", "y")
		check("this controller itself", time.Now())
		time.Sleep(time.Minute)
		c.agents.MachineRecorded("m-1", storage.Machine{Partition: 1, Type: "small"}, 9, time.Now())
		c.agents.MachineRecorded("m-1", storage.Machine{Partition: 0, Type: "small"}, 10, time.Now())
		m = c.Machines["m-1"]
		check("the leader of the partition that a machine came from", time.Now().Add(bound))
		m = &cluster.Machine{}
		time.Sleep(time.Minute)
		setLease(11, "n0", c.Nonce)
		time.Sleep(time.Minute)
		p.Delegations.Assign(0, "n1")
		p.Delegations.Renew("n1", "x", 0, time.Minute, time.Now())
		granted := p.Delegations.LatestGrantEnd()
		if left := time.Until(granted); left < delegation.GrantDuration {
			t.Errorf("granted for %s", left)
		}
		setLease(12, "n2", "y")
		check("this controller, whose delegates go on answering", granted)

		// The lease that is revoked is the one that the partition leases depend on.
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
			t.Errorf("revoked lease %d", ps.RevokedLeaseID)
		}

		p.LeaseRevision, c.RecordsRevision = 20, 19
		if lacks := c.takeover.MissingEvidence(p, 20, 20); !slices.Equal(lacks, []string{"machine records up to the lease revision", "final states of jobs up to the lease revision"}) {
			t.Errorf("missing evidence: %v", lacks)
		}
		if c.RecordsRevision = 20; len(c.takeover.MissingEvidence(p, 20, 20)) != 0 || len(c.takeover.MissingEvidence(p, 20, 19)) != 1 {
			t.Error("records read before the lease was acquired are not enough")
		}
	})
}
