package coordination

import (
	"micaspindle/internal/coordination/cluster"

	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/eventloop"
	"micaspindle/internal/fake/agent"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// gapWorld is one whose bound for answers is long, and whose work runs for longer than a
// withdrawal has.
func gapWorld(w *world) {
	w.cloud.Capacity = 30
	w.set.Params.Teams[0].CPUsMax, w.set.Params.Teams[1].CPUsMax = 0, 0
	w.set.Params.Workers.CancelS, w.set.Params.Workers.LeaseS = 43, 18
	w.runTime = func(string, int, string) time.Duration { return 10 * time.Minute }
}

// The gap: the state service refuses the leading controller alone, another confirms
// withdrawals, and then the service is down for everybody for longer than cancel_s, while
// the workers go on reporting to the old owner. Every task must be gone within cancel_s of
// the answer's arrival at its user (checked by the world, at every step of every machine).
func TestWithdrawnBetweenARefusalAndAnOutage(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// refusedFor is how long the refusal lasts before the outage begins; 0: until a
		// successor has claimed the part, and not read its records.
		refusedFor time.Duration
		// noNotices: the controllers hear nothing of it from each other; cut: nor anything else.
		noNotices, cut bool
		// stuck: the watches bring nothing from before the first withdrawal on.
		stuck bool
		// hang is for how long machines of withdrawn jobs stand still.
		hang  time.Duration
		twice bool
	}{
		{name: "news", refusedFor: 2 * time.Second},
		{name: "no news", refusedFor: 2 * time.Second, noNotices: true},
		{name: "no news, twice", refusedFor: 1500 * time.Millisecond, noNotices: true, twice: true},
		{name: "cut from the others too", refusedFor: 2 * time.Second, noNotices: true, cut: true},
		{name: "watches bring nothing", refusedFor: 2 * time.Second, noNotices: true, stuck: true},
		{name: "the lease ends first", refusedFor: 3600 * time.Millisecond, noNotices: true},
		{name: "a successor has claimed", noNotices: true},
		{name: "a successor decides", refusedFor: 6 * time.Second, noNotices: true},
		{name: "machines hang", refusedFor: 2 * time.Second, noNotices: true, hang: 14 * time.Second},
		{name: "machines hang, a successor has claimed", noNotices: true, hang: 14 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			simulatePrepared(t, 301, gapWorld, func(w *world) {
				time.Sleep(3 * time.Second)
				// Withdrawals every 0.1 s, from 4 s before the refusal on.
				const each, before = 56, 40
				rounds := 1
				if tc.twice {
					rounds = 2
				}
				for i := range each * rounds {
					s := spec(fmt.Sprintf("job-%d", i), 1, "green")
					s.CPUs, s.EstimateS, s.DeadlineS = 2, 600, 0
					w.submit(s)
				}
				time.Sleep(40 * time.Second)
				part := 0
				w.in("n0", func(c *Controller) { part = c.TeamPartition[c.TeamIndex["green"]] })
				for round := range rounds {
					w.gap(round*each, each, before, part, func(i int, owner string) {
						switch i {
						case 0:
							w.mu.Lock()
							w.noNotices, w.state.Stuck = tc.noNotices, tc.stuck
							w.mu.Unlock()
						case before:
							w.refuse(owner, true)
							if tc.cut {
								w.mu.Lock()
								w.cut = func(from, host string) bool {
									return host == owner && from[0] == 'n' || from == owner && host[0] == 'n'
								}
								w.mu.Unlock()
							}
						}
					}, tc.hang)
					if tc.refusedFor == 0 {
						w.awaitClaim(part)
					}
					time.Sleep(tc.refusedFor - (each-before)*100*time.Millisecond)
					w.outage(true)
					time.Sleep(12 * time.Second)
					for _, l := range []string{"n0", "n1", "n2"} {
						w.refuse(l, false)
					}
					time.Sleep(45 * time.Second)
					w.mu.Lock()
					w.state.Stuck, w.cut, w.noNotices = false, nil, false
					w.mu.Unlock()
					w.outage(false)
					time.Sleep(30 * time.Second)
				}
				w.mu.Lock()
				for id, uj := range w.jobs {
					if uj.ended == protocol.StatusCancelled && len(w.runs(id)) > 0 {
						t.Errorf("%s runs on %v", id, w.runs(id))
					}
				}
				w.mu.Unlock()
			})
		})
	}
}

// gap withdraws jobs from one number on at controllers that do not own their part, one
// every 0.1 s, and lets something happen before each.
func (w *world) gap(from, count, before, part int, happen func(i int, owner string), hang time.Duration) {
	owner := w.owns(part)
	if owner == "" {
		w.t.Fatal("nobody owns the part")
	}
	others := w.others(owner)
	confirmed, after, running := 0, 0, 0
	for i := range count {
		happen(i, owner)
		job := fmt.Sprintf("job-%d", from+i)
		w.mu.Lock()
		on := w.runs(job)
		w.mu.Unlock()
		running += len(on)
		if begun := time.Now(); w.withdrawAt(others[i%len(others)], job) {
			confirmed++
			if i >= before {
				after++
			}
			if hang > 0 && i%2 == 0 {
				for _, m := range on {
					w.hang(m, hang)
				}
			}
			time.Sleep(100*time.Millisecond - time.Since(begun))
		}
	}
	if running < count/2 || confirmed < count/2 || after < 5 {
		w.t.Fatalf("%d of %d ran, %d withdrawals confirmed, %d of them after the refusal", running, count, confirmed, after)
	}
}

// awaitClaim waits until a part is claimed by another than now.
func (w *world) awaitClaim(part int) {
	key := storage.LeaseKey(part)
	w.mu.Lock()
	was := w.state.Items[key].Version
	w.mu.Unlock()
	for range 20_000 {
		time.Sleep(time.Millisecond)
		w.mu.Lock()
		now := w.state.Items[key].Version
		w.mu.Unlock()
		if now != 0 && now != was {
			return
		}
	}
	w.t.Fatal("nobody claimed the part")
}

// Every team is at its limit when the leader changes, the machines can't be asked, and a
// cancellation falls into the moment in which the successor reads its part's records: what
// the cancelled job has on its machines counts against the team's limit until it is proven
// over (6, 39, 47).
func TestLimitHoldsForJobsThatEndWhileTheirPartIsRead(t *testing.T) {
	t.Parallel()
	prepare := func(w *world) {
		gapWorld(w)
		w.set.Params.Teams[0].CPUsMax = 32
	}
	simulatePrepared(t, 302, prepare, func(w *world) {
		time.Sleep(3 * time.Second)
		for _, id := range []string{"job-1", "job-2"} {
			s := spec(id, 8, "red") // all of the limit
			s.EstimateS, s.DeadlineS = 600, 0
			w.submit(s)
		}
		time.Sleep(20 * time.Second)
		part := 0
		w.in("n0", func(c *Controller) { part = c.TeamPartition[c.TeamIndex["red"]] })
		owner := w.owns(part)
		claimed := make(chan struct{})
		var late atomic.Bool
		w.locked(func() {
			if n := len(w.runs("job-1")); n != 8 {
				t.Fatalf("%d tasks run", n)
			}
			out := w.machinesOf("job-1")
			w.cut = func(_, host string) bool { return out[host] }
			// The shared records come late, so that the successor waits for them after it
			// has read those of the part.
			w.answered = func(_, _, target string, _ []byte, _ *transport.Response) bool {
				for late.Load() && strings.HasPrefix(target, "/changes?under="+storage.WatchPrefix) {
					time.Sleep(time.Millisecond)
				}
				return false
			}
			check := w.state.BeforePut
			w.state.BeforePut = func(c protocol.Change, old protocol.Item, exists bool) {
				check(c, old, exists)
				if c.Put == storage.LeaseKey(part) && !late.Swap(true) {
					close(claimed)
				}
			}
		})
		w.kill(owner)
		<-claimed
		time.Sleep(200 * time.Millisecond)
		heir := ""
		for _, l := range w.others("") {
			w.in(l, func(c *Controller) {
				if c.Partitions[part].Held && !c.Partitions[part].Ready {
					heir = l
				}
			})
		}
		if heir == "" || !w.withdrawAt(heir, "job-1") {
			t.Fatalf("no withdrawal while %q reads", heir)
		}
		late.Store(false)
		time.Sleep(10 * time.Second)
		w.locked(func() {
			if n := len(w.runs("job-1")); n != 8 {
				t.Errorf("%d tasks of the cancelled job left: its machines were asked", n)
			}
		})
		// Afterwards the others' turn comes, once the leases have run out (47).
		time.Sleep(50 * time.Second)
		w.locked(func() {
			if n := len(w.runs("job-2")); n != 8 {
				t.Errorf("%d tasks of the next job run", n)
			}
		})
	})
}

// owning makes a controller whose loop never runs the informed owner of its first part,
// with the machine m-1, under a claim.
func (c *Controller) owning(claim uint64) (*cluster.Partition, *cluster.Machine) {
	now := time.Now()
	c.RecordsCurrentAt, c.LeaseRenewedAt, c.Synced = now, now, true
	p := c.Partitions[0]
	p.Held, p.Ready, p.LeaseRevision, p.AcquiredAt = true, true, claim, now
	c.agents.MachineRecorded("m-1", storage.Machine{Type: "small", Zone: "a", Addr: "m-1:1"}, 3, now)
	return p, c.Machines["m-1"]
}

// What an old copy of a report may and may not do at an owner: it wins no time for a
// machine that says nothing any more, un-fences nothing and ends nothing (48).
func TestOldReportsProveNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := unrun(t)
		defer end()
		_, m := c.owning(5)
		task := []protocol.TaskReport{{Task: "job-1/0", Attempt: 1, State: protocol.TaskRunning}}
		j := &cluster.Job{Spec: spec("job-1", 1, "red")}
		j.Load()
		c.Jobs["job-1"] = j
		a := &cluster.Attempt{Job: j, Number: 1, Machine: m, Epoch: 2, State: cluster.AttemptCommitted}
		j.LiveAttempts[0], j.Pending = a, nil
		m.Attempts[cluster.AttemptKey(a.TaskName(), 1)] = a
		report := func(session, sequence, token uint64, tasks []protocol.TaskReport) int {
			c.RecordsCurrentAt, c.LeaseRenewedAt = time.Now(), time.Now()
			r := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: session, Sequence: sequence, Token: token, Tasks: tasks}
			return c.agents.HandleHeartbeat(r, protocol.Encode(r)).Status
		}
		if report(2, 40, 5, task) != 200 || !m.Fenced || a.State != cluster.AttemptConfirmed {
			t.Fatal("the newest report was not taken in")
		}
		heard := time.Now()
		for _, old := range []struct {
			name                     string
			session, sequence, token uint64
		}{{"the same", 2, 40, 5}, {"older", 2, 12, 5}, {"of an owner before", 2, 39, 4}, {"of the session before", 1, 90, 5}} {
			time.Sleep(time.Second)
			if status := report(old.session, old.sequence, old.token, nil); status == 200 {
				t.Errorf("%s: answered", old.name)
			}
			if !m.Fenced || m.Epoch != 2 || !a.Live() || !m.AnsweredUntil.Equal(heard) || !m.LastHeardAt.Equal(heard) {
				t.Errorf("%s: fenced %v, session %d, live %v, answered %s and heard %s late", old.name, m.Fenced, m.Epoch, a.Live(),
					m.AnsweredUntil.Sub(heard), m.LastHeardAt.Sub(heard))
			}
		}
		// A report that was under way while orders were answered is no copy.
		c.agents.ApplyHeartbeat(m, &protocol.Heartbeat{Machine: "m-1", Epoch: 2, Sequence: 44, Token: 5, Tasks: task}, time.Now())
		if report(2, 43, 5, task) != 200 || !m.AnsweredUntil.Equal(time.Now()) {
			t.Error("a report that orders overtook is not answered")
		}
		time.Sleep(time.Duration(float64(c.AgentLease)*cluster.ClockDrift) + cluster.ClockMargin + eventloop.TickInterval)
		report(2, 41, 5, task)
		if c.agents.CheckMachines(time.Now()); !m.Lost || len(j.LiveAttempts) != 0 {
			t.Error("old reports keep a machine that is gone")
		}
	})
}

// A machine that was deleted, or whose record is written after its end by a late
// transaction, is neither room to come nor comes back by a report that was on its way (44).
func TestDeletedMachinesStayDeleted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := unrun(t)
		defer end()
		now := time.Now()
		c.RecordsCurrentAt, c.LeaseRenewedAt, c.Synced, c.Leadership.Held = now, now, true, true
		c.SetCatalog([]protocol.MachineType{{Name: "small", CPUs: 8, MemGB: 32, BootS: 5, ZonesOffered: []string{"a"}}})
		p := c.Partitions[0]
		p.Held, p.Ready, p.LeaseRevision, p.AcquiredAt = true, true, 5, now
		rec := storage.Machine{Type: "small", Zone: "a", Addr: "m-1:1"}
		for i, name := range []string{"m-1", "m-2", "m-3"} {
			c.agents.MachineRecorded(name, rec, uint64(10+i), now)
		}
		c.agents.MachineDeleted("m-1", now)
		c.agents.MachineRecorded("m-1", rec, 20, now) // the late write of its record
		failed := map[string]bool{}
		for _, m := range c.autoscaler.ScalingView(nil, now).Machines {
			failed[m.Name] = m.Failed
		}
		if !failed["m-1"] || failed["m-2"] {
			t.Errorf("to be given up: %v", failed)
		}
		waiting := &cluster.Job{Spec: spec("job-1", 6, "red"), SubmittedAt: now}
		waiting.Load()
		c.Jobs["job-1"] = waiting
		demands := func() (n uint32) {
			p.QueueOrder = nil
			for _, d := range c.peering.PartitionSummary(p, now).Demands {
				n += d.Count
			}
			return n
		}
		if n := demands(); n != 2 { // two tasks each on the two that boot
			t.Errorf("%d tasks ask for machines", n)
		}
		m := c.Machines["m-3"]
		m.DeleteConfirmed, m.Lost = true, true
		r := &protocol.Heartbeat{Machine: "m-3", Addr: "m-3:1", Epoch: 1, Sequence: 9, Token: 12}
		if resp := c.agents.HandleHeartbeat(r, protocol.Encode(r)); resp.Status == 200 || !m.Lost || m.HasReported {
			t.Errorf("a report of a deleted machine: %d, lost %v", resp.Status, m.Lost)
		}
		if c.agents.ApplyHeartbeat(m, r, now); !m.Lost || m.HasReported {
			t.Error("an answer of a deleted machine brought it back")
		}
	})
}

// A machine is deleted for what its owner knows to be withdrawn of late, not for what is left
// of jobs that are done, or were withdrawn longer ago than a lease can last.
func TestMachinesOfEndedJobsAreNotDeleted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := unrun(t)
		defer end()
		now := time.Now()
		c.agents.MachineRecorded("m-1", storage.Machine{Type: "small", Zone: "a"}, 3, now)
		m := c.Machines["m-1"]
		for i, tc := range []struct {
			status string
			ago    time.Duration
			want   bool
		}{{protocol.StatusDone, 20 * time.Second, false}, {protocol.StatusCancelled, time.Second, false},
			{protocol.StatusCancelled, 20 * time.Second, true}, {protocol.StatusCancelled, time.Hour, false}} {
			id := fmt.Sprint("job-", i)
			j := &cluster.Job{Spec: spec(id, 1, "red")}
			j.Load()
			c.Jobs[id] = j
			a := &cluster.Attempt{Job: j, Number: 1, Machine: m, Epoch: 1, State: cluster.AttemptConfirmed}
			j.LiveAttempts[0], j.Pending = a, nil
			m.Attempts = map[string]*cluster.Attempt{cluster.AttemptKey(a.TaskName(), 1): a}
			// As an owner that hears of it, and as one that finds it at a takeover.
			c.jobs.SetFinal(id, tc.status, now.Add(-tc.ago))
			for range 2 {
				a.StopRequestedAt = now.Add(-time.Minute)
				if got := c.agents.OutlastsCancelBound(m, now.Add(time.Hour), now); got != tc.want && (tc.ago < c.CancelBound || tc.status == protocol.StatusDone) {
					t.Errorf("%s %s ago: %v", tc.status, tc.ago, got)
				}
				if j.CancelledAt = c.Cancellations.CancelledAt(id); tc.ago > c.CancelBound && c.agents.OutlastsCancelBound(m, now.Add(time.Hour), now) {
					t.Errorf("%s %s ago, found at a takeover", tc.status, tc.ago)
				}
			}
		}
	})
}

// A withdrawn task that can't be stopped has its machine deleted by its owner, without the
// leader and without the state service, and before cancel_s is over; one whose lease
// provably runs out in time has not.
func TestMachinesOfWithdrawnTasksAreDeletedInTime(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// taken: the owner is lost with the withdrawal, and its successor can't know whom
		// it has answered; outage: the state service ends as well.
		taken, outage bool
		// later: the withdrawal comes after that, so that it is known whom nobody answers.
		later     bool
		deaf, cut bool
		deleted   bool
	}{
		{name: "silent under the same owner", cut: true},
		{name: "silent under the same owner in an outage", cut: true, outage: true},
		{name: "deaf under the same owner", deaf: true},
		{name: "silent after a takeover", taken: true, cut: true, deleted: true},
		{name: "silent after a takeover, then an outage", taken: true, cut: true, outage: true, deleted: true},
		{name: "withdrawn after the takeover, then an outage", taken: true, later: true, cut: true, outage: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			simulatePrepared(t, 303, gapWorld, func(w *world) {
				time.Sleep(3 * time.Second)
				for i := range 4 {
					s := spec(fmt.Sprintf("job-%d", i), 4, "green")
					s.EstimateS, s.DeadlineS = 600, 0
					w.submit(s)
				}
				time.Sleep(20 * time.Second)
				part := 0
				w.in("n0", func(c *Controller) { part = c.TeamPartition[c.TeamIndex["green"]] })
				owner := w.owns(part)
				var on []string
				w.locked(func() {
					if on = w.runs("job-1"); len(on) != 4 {
						t.Fatalf("%d tasks run", len(on))
					}
					out := w.machinesOf("job-1")
					if tc.cut {
						w.cut = func(_, host string) bool { return out[host] }
					}
					if tc.deaf {
						w.deaf = out
					}
				})
				told := time.Now()
				withdraw := func() {
					if !w.withdrawAt(w.others(owner)[0], "job-1") {
						t.Fatal("not withdrawn")
					}
					told = time.Now()
				}
				if !tc.later {
					withdraw()
				}
				if tc.taken {
					w.kill(owner)
					for range 100 {
						time.Sleep(100 * time.Millisecond)
						if w.owns(part) != "" {
							break
						}
					}
				}
				if tc.later {
					withdraw()
				}
				if tc.outage {
					w.outage(true)
				}
				missing := func() (gone int) {
					w.mu.Lock()
					defer w.mu.Unlock()
					for _, m := range on {
						if w.cloud.Machines[m] == nil {
							gone++
						}
					}
					return gone
				}
				time.Sleep(time.Until(told.Add(30 * time.Second)))
				if gone := missing(); tc.taken && gone > 0 {
					t.Errorf("%d machines deleted though there was time to stop what is on them", gone)
				}
				time.Sleep(time.Until(told.Add(43 * time.Second)))
				gone := missing()
				// Under the same owner the leader sends lost machines away by and by.
				if tc.deleted && gone != len(on) || !tc.deleted && tc.outage && gone > 0 {
					t.Errorf("%d of %d machines deleted within cancel_s", gone, len(on))
				}
				if w.owns(part) == "" && !tc.outage {
					t.Error("nobody owns the part")
				}
				w.locked(func() { w.cut, w.deaf = nil, nil })
				w.outage(false)
				time.Sleep(30 * time.Second)
			})
		})
	}
}

// An owner that the state service refuses alone hears of withdrawals from the others and
// stops what they concern at once; without that, a carrier that knows does so for the
// machines that report to it (43). The bound is not needed for either.
func TestNoticesAndCarriersStopWithdrawnTasks(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		noNotices bool
	}{{"news", false}, {"a carrier knows", true}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			prepare := func(w *world) {
				crowded(w)
				w.runTime = func(string, int, string) time.Duration { return 10 * time.Minute }
			}
			simulatePrepared(t, 304, prepare, func(w *world) {
				part := w.flock(8)
				owner := w.owns(part)
				var carried, kept int
				count := func() (carried, kept int) {
					w.each(func(wk *agent.Agent) {
						for _, task := range wk.Tasks {
							if task.Job != "job-0" && task.Job != "job-1" || task.State == protocol.TaskEnded {
							} else if wk.Homes[wk.Home] == owner {
								kept++
							} else {
								carried++
							}
						}
					})
					return carried, kept
				}
				w.locked(func() { w.noNotices = tc.noNotices })
				if carried, kept = count(); carried == 0 || kept == 0 {
					t.Fatalf("%d tasks on machines that others carry, %d on others", carried, kept)
				}
				w.refuse(owner, true)
				for _, id := range []string{"job-0", "job-1"} {
					if !w.withdrawAt(w.others(owner)[0], id) {
						t.Fatal("not withdrawn")
					}
				}
				time.Sleep(1800 * time.Millisecond) // the owner's lease goes on
				if w.owns(part) != owner {
					t.Fatal("the part changed hands")
				}
				carriedNow, keptNow := count()
				if carriedNow > 0 || !tc.noNotices && keptNow > 0 {
					t.Errorf("%d and %d of %d and %d tasks left after 1.8 s", carriedNow, keptNow, carried, kept)
				}
				if tc.noNotices && keptNow == 0 {
					t.Error("the owner knew without being told")
				}
				w.refuse(owner, false)
				w.locked(func() { w.noNotices = false })
				time.Sleep(25 * time.Second)
			})
		})
	}
}

// News say for how long a job has been withdrawn, and are taken once.
func TestCancellationNoticesBearTheirAge(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := unrun(t)
		defer end()
		begun := time.Now()
		c.jobs.ApplyCancellationNotices(&peer.Summary{Cancelled: []*peer.CancelledJob{{Job: "job-1", AgeMs: 7000}, {Job: "not an id"}}}, begun)
		time.Sleep(3 * time.Second)
		c.jobs.ApplyCancellationNotices(&peer.Summary{Cancelled: []*peer.CancelledJob{{Job: "job-1", AgeMs: 500}}}, time.Now())
		if at := c.Cancellations.CancelledAt("job-1"); begun.Sub(at) != 7*time.Second || len(c.FinalStates) != 1 {
			t.Errorf("withdrawn %s before it was heard, %d finals", begun.Sub(at), len(c.FinalStates))
		}
		if told := c.Cancellations.Recent(time.Now(), c.CancelBound); len(told) != 1 || told[0].AgeMs != 10_000 {
			t.Errorf("told on: %v", told)
		}
		for i := range c.Cancellations.Limit + 10 {
			c.jobs.SetFinal(fmt.Sprintf("job-%d", 10+i), protocol.StatusCancelled, time.Now())
		}
		if told := c.Cancellations.Recent(time.Now(), c.CancelBound); len(told) != c.Cancellations.Limit || told[0].Job != "job-1" {
			t.Errorf("%d told at a time", len(told))
		}
		if time.Sleep(c.CancelBound + time.Second); len(c.Cancellations.Recent(time.Now(), c.CancelBound)) != 0 {
			t.Error("news are told for ever")
		}
	})
}

// The first report that a new owner sees may be an old copy: that it lacks a task does not
// show that the task is not there, only one under the new token does (48).
func TestAbsenceIsBelievedUnderTheNewTokenOnly(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := unrun(t)
		defer end()
		now := time.Now()
		_, m := c.owning(9)
		j := &cluster.Job{Spec: spec("job-1", 1, "red"), Ended: true}
		j.Load()
		c.Jobs["job-1"], c.FinalStates["job-1"] = j, protocol.StatusCancelled
		a := &cluster.Attempt{Job: j, Number: 1, Machine: m, Epoch: 1, State: cluster.AttemptCommitted, Inherited: true, Stopping: true, StopRequestedAt: now}
		j.LiveAttempts[0], j.Pending = a, nil
		m.Attempts[cluster.AttemptKey(a.TaskName(), 1)] = a
		old := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 1, Sequence: 10, Token: 5}
		if c.agents.HandleHeartbeat(old, protocol.Encode(old)); !a.Live() || m.Fenced {
			t.Errorf("a report under an old token that lacks the task: live %v, fenced %v", a.Live(), m.Fenced)
		}
		r := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 1, Sequence: 11, Token: 9}
		if c.agents.HandleHeartbeat(r, protocol.Encode(r)); a.Live() || !m.Fenced {
			t.Errorf("a report under the new token: live %v, fenced %v", a.Live(), m.Fenced)
		}
	})
}

// A withdrawal that the owner has not seen yet, since its watch brings nothing and nobody
// tells it, still keeps what waits from being started: its record is in every start's
// conditions (17).
func TestNothingStartsAfterAWithdrawalThatItsOwnerHasNotSeen(t *testing.T) {
	t.Parallel()
	simulatePrepared(t, 305, gapWorld, func(w *world) {
		time.Sleep(3 * time.Second)
		w.locked(func() {
			w.cloud.Capacity = 2 // four tasks at a time
			w.cloud.Types = w.cloud.Types[:1]
			w.runTime = func(string, int, string) time.Duration { return 20 * time.Second }
		})
		first, second := spec("job-1", 4, "green"), spec("job-2", 4, "green")
		first.Urgency = protocol.High
		w.submit(first)
		w.submit(second)
		time.Sleep(18 * time.Second)
		part := w.partOf("green")
		owner := w.owns(part)
		w.locked(func() {
			w.noNotices, w.state.Stuck = true, true
			if len(w.runs("job-1")) != 4 || len(w.runs("job-2")) != 0 {
				t.Fatalf("%d and %d tasks run", len(w.runs("job-1")), len(w.runs("job-2")))
			}
		})
		if !w.withdrawAt(w.others(owner)[0], "job-2") {
			t.Fatal("not withdrawn")
		}
		unseen := false
		for range 150 { // meanwhile the first job ends, and there is room
			time.Sleep(100 * time.Millisecond)
			w.in(owner, func(c *Controller) {
				w.locked(func() {
					if len(w.jobs["job-1"].tasksDone) == 0 { // up to the moment when there is
						unseen = c.FinalStates["job-2"] == ""
					}
				})
			})
			w.locked(func() {
				if n := len(w.runs("job-2")); n > 0 {
					t.Fatalf("%d tasks of a withdrawn job started", n)
				}
			})
		}
		if !unseen {
			t.Error("the owner knew of the withdrawal before there was room")
		}
		w.locked(func() { w.noNotices, w.state.Stuck = false, false })
		time.Sleep(5 * time.Second)
	})
}
