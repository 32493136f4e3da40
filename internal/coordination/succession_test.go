package coordination

import (
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/lease"

	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// busy fills the world's machines with long work of all teams.
func busy(w *world) {
	w.cloud.Capacity = 30
	w.set.Params.Teams[0].CPUsMax, w.set.Params.Teams[1].CPUsMax = 0, 0
	w.runTime = func(string, int, string) time.Duration { return 10 * time.Minute }
}

// long submits work that keeps all machines, and waits until it runs.
func (w *world) long() {
	time.Sleep(2 * time.Second)
	for i, team := range []string{"red", "blue", "green"} {
		s := spec(fmt.Sprintf("job-%d", i), 16, team)
		s.EstimateS, s.DeadlineS, s.Spot = 600, 0, false
		w.submit(s)
	}
	time.Sleep(30 * time.Second)
}

// owns tells which controller decides over a part with machines, "" if none does.
func (w *world) owns(part int) string {
	for _, label := range []string{"n0", "n1", "n2"} {
		w.mu.Lock()
		n := w.nodes[label]
		w.mu.Unlock()
		owner := false
		if n != nil {
			n.ctl.loop.Do(func() { owner = n.ctl.Partitions[part].Held && n.ctl.Partitions[part].Ready })
		}
		if owner {
			return label
		}
	}
	return ""
}

// An owner that ends is noticed by its workers' coming to others, not only when its
// lease has run out.
func TestLostOwnerIsSucceededBeforeItsLeaseRunsOut(t *testing.T) {
	t.Parallel()
	var took []time.Duration
	for seed := range uint64(8) {
		simulatePrepared(t, 500+seed, busy, func(w *world) {
			w.long()
			time.Sleep(time.Duration(seed) * 130 * time.Millisecond)
			lost := w.owns(0)
			begun := time.Now()
			w.kill(lost)
			for w.owns(0) == "" && time.Since(begun) < 10*time.Second {
				time.Sleep(20 * time.Millisecond)
			}
			took = append(took, time.Since(begun))
			time.Sleep(3 * time.Second)
			w.start(lost)
			time.Sleep(5 * time.Second)
			for i := range 3 {
				w.withdraw(fmt.Sprintf("job-%d", i))
			}
			w.finish(time.Minute)
		})
	}
	slices.Sort(took)
	t.Logf("without an owner: %v", took)
	if median, longest := took[len(took)/2], took[len(took)-1]; median > 1900*time.Millisecond || longest > 2400*time.Millisecond {
		t.Errorf("without an owner for %s, at the longest %s; a claim takes 3 s to run out", median, longest)
	}
}

// What must not end an owner's lease: controllers that don't hear each other while their
// workers do, workers that lose their connections while the controllers hear it, a second
// of standing still, a state service that answers thirty times as slowly, and packets that
// are lost and come a second later.
func TestLivingOwnersKeepTheirLeases(t *testing.T) {
	t.Parallel()
	node := func(host string) bool { return strings.HasPrefix(host, "n") }
	for name, c := range map[string]struct {
		cut  func(from, host string) bool
		last time.Duration
		late func(w *world, host string) time.Duration
	}{
		"peers refuse": {func(from, host string) bool { return node(host) }, 20 * time.Second, nil},
		"its workers go astray": {func(from, host string) bool {
			return from == "n0" && host < "m-000003" && strings.HasPrefix(host, "m-")
		}, 8 * time.Second, nil},
		"it stands still for 1 s": {func(from, host string) bool { return from == "n0" && !strings.HasPrefix(host, "m-") || host == "n0" }, time.Second, nil},
		"the state service is slow": {nil, 20 * time.Second, func(_ *world, host string) time.Duration {
			if host == "state" {
				return 300 * time.Millisecond
			}
			return 0
		}},
		"packets are lost": {nil, 20 * time.Second, func(w *world, _ string) time.Duration {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.rng.IntN(50) == 0 {
				return time.Second
			}
			return 0
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			simulatePrepared(t, 520, busy, func(w *world) {
				w.long()
				claims := func() string {
					w.mu.Lock()
					defer w.mu.Unlock()
					all := ""
					for p := range 3 {
						all += fmt.Sprint(w.state.Items[storage.LeaseKey(p)].Version, " ")
					}
					return all
				}
				before := claims()
				w.mu.Lock()
				w.cut = c.cut
				if c.late != nil {
					w.asked = func(_, host, _ string, _ []byte) bool {
						time.Sleep(c.late(w, host))
						return false
					}
				}
				w.mu.Unlock()
				time.Sleep(c.last)
				w.mu.Lock()
				w.cut, w.asked = nil, nil
				w.mu.Unlock()
				time.Sleep(5 * time.Second)
				if now := claims(); now != before {
					t.Errorf("claims %s, then %s", before, now)
				}
				for i := range 3 {
					w.withdraw(fmt.Sprintf("job-%d", i))
				}
				w.finish(time.Minute)
			})
		})
	}
}

// Machines that fall together with their owner are lost a lease after its new life has
// spoken, not only after the time for which the old one might have gone on answering.
func TestNewLifeProvesTheOldOneOver(t *testing.T) {
	t.Parallel()
	for _, back := range []bool{true, false} {
		t.Run(fmt.Sprint("back ", back), func(t *testing.T) {
			t.Parallel()
			simulatePrepared(t, 530, busy, func(w *world) {
				w.long()
				lost := w.owns(0)
				w.mu.Lock()
				fallen := ""
				for _, label := range []string{"n0", "n1", "n2"} {
					if n := w.nodes[label]; label == lost {
						w.mu.Unlock()
						n.ctl.loop.Do(func() {
							for name, m := range n.ctl.Machines {
								if m.Record.Partition == 0 && len(m.Attempts) > 0 && (fallen == "" || name < fallen) {
									fallen = name
								}
							}
						})
						w.mu.Lock()
					}
				}
				w.workers[fallen].Hung = true
				w.mu.Unlock()
				begun := time.Now()
				w.kill(lost)
				time.Sleep(3 * time.Second)
				if back {
					w.start(lost)
				}
				took := time.Duration(0)
				for took == 0 && time.Since(begun) < time.Minute {
					time.Sleep(100 * time.Millisecond)
					label := w.owns(0)
					w.mu.Lock()
					n := w.nodes[label]
					w.mu.Unlock()
					if n != nil {
						n.ctl.loop.Do(func() {
							if m := n.ctl.Machines[fallen]; m == nil || m.Lost {
								took = time.Since(begun)
							}
						})
					}
				}
				lease, bound := w.set.Params.Workers.LeaseS, 15.0 // cancel_s - lease_s - 2 s
				t.Logf("counted as lost after %s", took)
				if s := took.Seconds(); s < lease || back && s > 3+lease+4 || !back && s < bound+lease {
					t.Errorf("counted as lost after %s", took)
				}
				for i := range 3 {
					w.withdraw(fmt.Sprintf("job-%d", i))
				}
				w.mu.Lock()
				w.workers[fallen].Hung = false
				w.mu.Unlock()
				w.finish(time.Minute)
			})
		})
	}
}

// Lives follow one another by the stamps of their record: what an older life sent late
// can't come after a newer one, and proves nothing.
func TestRecordsOfLivesKeepTheirOrder(t *testing.T) {
	t.Parallel()
	simulate(t, 540, func(w *world) {
		time.Sleep(3 * time.Second)
		key := storage.IncarnationKey("n1")
		w.mu.Lock()
		first := w.state.Items[key]
		w.mu.Unlock()
		w.kill("n1")
		w.start("n1")
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		second := w.state.Items[key]
		w.mu.Unlock()
		var a, b storage.Incarnation
		if storage.Decode(first.Value, &a) != nil || storage.Decode(second.Value, &b) != nil || a.Nonce == b.Nonce || second.Version <= first.Version {
			t.Fatalf("lives %+v and %+v", a, b)
		}
		n0 := w.nodes["n0"].ctl
		over := func(nonce string) (is bool) {
			n0.loop.Do(func() { is = !n0.leases.EndedIncarnations[lease.IncarnationID{Label: "n1", Nonce: nonce}].IsZero() })
			return is
		}
		n0.loop.Do(func() { // the older record once more, late
			n0.watcher.ApplyEvent(protocol.Event{Put: key, Value: first.Value, Version: first.Version})
		})
		if !over(a.Nonce) || over(b.Nonce) {
			t.Errorf("over: the first life %v, the second %v", over(a.Nonce), over(b.Nonce))
		}
		// A write of the first life that comes now is refused by its stamp.
		resp := w.state.Serve(w.ctx, "", "POST", "/commit", nil, protocol.Encode(&protocol.Transaction{
			If: []protocol.Condition{{Key: key, Version: 0}}, Then: []protocol.Change{{Put: key, Value: first.Value}}}))
		if resp.Status != 409 {
			t.Errorf("a late write of the first life got %d", resp.Status)
		}
	})
}

// unrun is the controller n0 of three, whose loop never runs, and how to end it.
func unrun(t *testing.T) (c *Controller, end func()) {
	set := newWorld(t, 1).set
	set.Label, set.Others = "n0", []settings.Other{{Label: "n1", PeerAddr: "n1:2"}, {Label: "n2", PeerAddr: "n2:2"}}
	ctx, cancel := context.WithCancel(t.Context())
	c = newTestController(ctx, &set, settings.DefaultOperator())
	return c, func() { cancel(); c.loop.Abandon() }
}

// Until when somebody else may have answered a part's machines, from what was followed.
func TestUnseenAnswersAreCountedOn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := unrun(t)
		defer end()
		p, bound := c.Partitions[0], c.AnswerBound()
		put := func(key string, version uint64, v any) {
			c.watcher.ApplyEvent(protocol.Event{Put: key, Value: storage.Encode(v), Version: version})
		}
		claim := func(version uint64, label, nonce string) {
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
		check("owners before the first listing", start.Add(bound))
		time.Sleep(time.Minute)
		put(storage.IncarnationKey("n1"), 2, storage.Incarnation{Nonce: "x", Lease: 1})
		claim(3, "n1", "x")
		claim(4, "n2", "y")
		check("an owner whose claim has ended", time.Now().Add(bound))
		time.Sleep(time.Second)
		put(storage.IncarnationKey("n1"), 5, storage.Incarnation{Nonce: "x", Lease: 2})
		check("the same life with another lease", time.Now().Add(bound-time.Second))
		put(storage.IncarnationKey("n1"), 6, storage.Incarnation{Nonce: "z", Lease: 3})
		check("its next life, and its carriers", time.Now().Add(delegation.GrantDuration))
		time.Sleep(time.Minute)
		claim(7, "n0", c.Nonce)
		time.Sleep(time.Minute)
		claim(8, "n2", "y")
		check("this controller itself", time.Now())
		time.Sleep(time.Minute)
		c.agents.MachineRecorded("m-1", storage.Machine{Partition: 1, Type: "small"}, 9, time.Now())
		c.agents.MachineRecorded("m-1", storage.Machine{Partition: 0, Type: "small"}, 10, time.Now())
		m = c.Machines["m-1"]
		check("the owner of the part that a machine came from", time.Now().Add(bound))
		m = &cluster.Machine{}
		time.Sleep(time.Minute)
		claim(11, "n0", c.Nonce)
		time.Sleep(time.Minute)
		p.Delegations.Assign(0, "n1")
		p.Delegations.Renew("n1", "x", 0, time.Minute, time.Now())
		granted := p.Delegations.LatestGrantEnd()
		if left := time.Until(granted); left < delegation.GrantDuration {
			t.Errorf("granted for %s", left)
		}
		claim(12, "n2", "y")
		check("this controller, whose carriers go on", granted)

		// Whose lease is ended: the one on which the claims hang.
		ps := c.Peers["n2"]
		ps.LastHeardAt, ps.ReportingMachines, ps.DivertedMachines = time.Now(), map[string]bool{"a": true, "b": true, "c": true}, map[string]bool{"a": true, "b": true, "c": true}
		c.Synced = true
		put(storage.IncarnationKey("n2"), 11, storage.Incarnation{Nonce: "other", Lease: 7})
		time.Sleep(5 * time.Second)
		c.LeaseRenewedAt = time.Now()
		if c.leases.RevokeIfDead("n2", ps, time.Now()); ps.RevokedLease != 0 {
			t.Error("ended the lease of a life that holds no claim")
		}
		claim(14, "n2", "other")
		if c.leases.RevokeIfDead("n2", ps, time.Now()); ps.RevokedLease != 7 {
			t.Errorf("lease %d ended", ps.RevokedLease)
		}

		p.LeaseRevision, c.RecordsRevision = 20, 19
		if lacks := c.takeover.MissingEvidence(p, 20, 20); !slices.Equal(lacks, []string{"machine records up to the claim", "ends of jobs up to the claim"}) {
			t.Errorf("lacks %v", lacks)
		}
		if c.RecordsRevision = 20; len(c.takeover.MissingEvidence(p, 20, 20)) != 0 || len(c.takeover.MissingEvidence(p, 20, 19)) != 1 {
			t.Error("what was read before the claim is not enough")
		}
	})
}
