package coordination

import (
	"micaspindle/internal/coordination/cluster"

	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// after is a job that depends on others.
func after(id string, tasks int, team string, dependencies ...string) *protocol.JobSpec {
	s := spec(id, tasks, team)
	s.Dependencies = dependencies
	return s
}

// withField is a submission with one more field, or another value of one.
func withField(s *protocol.JobSpec, name string, value any) []byte {
	var m map[string]any
	must(protocol.Decode(submission(s), &m))
	m[name] = value
	return protocol.Encode(m)
}

var everywhere = []string{"n0", "n1", "n2"}

func TestWhatASubmissionMayDependOn(t *testing.T) {
	t.Parallel()
	simulate(t, 30, func(w *world) {
		time.Sleep(2 * time.Second)
		w.submit(spec("job-1", 1, "red"))
		service := spec("job-2", 1, "blue")
		service.Standing, service.EstimateS, service.DeadlineS = true, 0, 0
		w.submit(service)
		gone := spec("job-3", 1, "blue")
		gone.Standing, gone.EstimateS, gone.DeadlineS = true, 0, 0
		w.submit(gone)
		w.withdraw("job-3")
		time.Sleep(2 * time.Second)
		many := make([]string, 300)
		for i := range many {
			many[i] = fmt.Sprintf("job-%032d", i)
		}
		next := 100
		for _, tc := range []struct {
			name  string
			value any
			want  int
		}{
			{"null", nil, 201},
			{"empty", []string{}, 201},
			{"one", []string{"job-1"}, 201},
			{"one twice", []string{"job-1", "job-1"}, 201},
			{"not a list", "job-1", 400},
			{"a map", map[string]any{"a": 1}, 400},
			{"a number in it", []any{"job-1", 7}, 400},
			{"null in it", []any{nil}, 400},
			{"never accepted", []string{"job-1", "job-999"}, 422},
			{"not an id", []string{"nobody"}, 422},
			{"empty name", []string{""}, 422},
			{"itself", []string{"job-ITSELF"}, 422},
			{"service", []string{"job-2"}, 422},
			{"withdrawn service", []string{"job-3"}, 422},
			{"too many to record", many, 422},
		} {
			for _, label := range everywhere {
				next++
				s := spec(fmt.Sprintf("job-%d", next), 1, "green")
				if tc.name == "itself" {
					tc.value = []string{s.ID}
				}
				resp := w.ask(label, "POST", "/submissions", withField(s, "waits_on", tc.value))
				if resp.Status != tc.want {
					t.Errorf("%s at %s: %d %q, want %d", tc.name, label, resp.Status, resp.Body, tc.want)
				}
				if tc.name == "too many to record" && !strings.Contains(string(resp.Body), "8192") {
					t.Errorf("the answer %q does not name the limit", resp.Body)
				}
				// Of a known job, a repeat gets its state, whatever its body.
				if tc.want != 201 {
					if resp := w.ask(label, "POST", "/submissions", withField(spec("job-1", 1, "red"), "waits_on", tc.value)); resp.Status != 200 {
						t.Errorf("repeat with %s at %s: %d", tc.name, label, resp.Status)
					}
				}
			}
		}
		// Accepted by one a moment ago, named to another whose watch lags.
		for i := range 6 {
			a, b := fmt.Sprintf("job-5%d", i), fmt.Sprintf("job-6%d", i)
			if r := w.ask(everywhere[i%3], "POST", "/submissions", submission(spec(a, 1, "red"))); r.Status != 201 {
				t.Fatal(r.Status)
			}
			if r := w.ask(everywhere[(i+1)%3], "POST", "/submissions", submission(after(b, 1, "blue", a))); r.Status != 201 {
				t.Errorf("a job that names one accepted a moment ago: %d %q", r.Status, r.Body)
			}
		}
		// What can't be looked up is no reason to refuse for good.
		w.outage(true)
		begun := time.Now()
		resp := w.ask("n1", "POST", "/submissions", submission(after("job-70", 1, "red", "job-999")))
		if resp.Status != 503 || resp.RetryAfter == 0 || time.Since(begun) > time.Second {
			t.Errorf("dependency that can't be read: %d, Retry-After %d, after %s", resp.Status, resp.RetryAfter, time.Since(begun))
		}
		w.outage(false)
		w.withdraw("job-2")
	})
}

// A pipeline over teams and parts runs in order, whatever owner dies.
func TestPipelineRunsInOrder(t *testing.T) {
	t.Parallel()
	simulate(t, 31, func(w *world) {
		time.Sleep(2 * time.Second)
		w.submit(spec("job-1", 6, "red"))
		w.submit(after("job-2", 70, "green", "job-1"))
		w.submit(after("job-3", 3, "blue", "job-1"))
		w.submit(after("job-4", 2, "red", "job-2", "job-3"))
		for i := range 40 {
			time.Sleep(time.Second)
			for _, id := range []string{"job-2", "job-4"} {
				if st := w.poll(everywhere[i%3], id); st == protocol.StatusDone && id == "job-4" {
					break
				}
			}
			if i == 8 || i == 20 {
				w.kill(everywhere[i%3])
				time.Sleep(3 * time.Second)
				w.start(everywhere[i%3])
			}
		}
		w.finish(3 * time.Minute)
	})
}

// A job that waits for others asks for nothing.
func TestBlockedJobHoldsNothing(t *testing.T) {
	t.Parallel()
	c, p := owner(t)
	c.up(p, "m-1", "big")
	first := c.take(spec("job-1", 1, "green"))
	urgent := after("job-2", 4, "green", "job-1")
	urgent.Urgency = protocol.Production
	urgent.CPUs, urgent.Types = 32, []string{"big"}
	j := c.take(urgent)
	now := time.Now()
	if j.SubmittedAt = now.Add(-time.Hour); !j.Blocked {
		t.Fatal("the job is not blocked")
	}
	c.scheduler.Place(p, now)
	c.scheduler.Preempt(p, now)
	if len(j.LiveAttempts) > 0 || p.Usage[j.Team].CPUs != first.Spec.CPUs {
		t.Errorf("%d attempts, usage %v", len(j.LiveAttempts), p.Usage[j.Team])
	}
	if d := c.peering.PartitionSummary(p, now).Demands; len(d) > 0 {
		t.Errorf("demands %v", d)
	}
	if s := c.scheduler.Scarcity(now); s.Contested("big", 2) {
		t.Error("machines are kept for it")
	}
	c.jobs.SetFinal("job-1", protocol.StatusDone, time.Now())
	if j.Blocked || j.ReadySince().Before(now) {
		t.Errorf("blocked %v, ready since %s", j.Blocked, j.ReadySince())
	}
	if list := c.scheduler.Queue(p); !slices.Contains(list, j) {
		t.Error("not served when ready")
	}
}

// The deadline and urgency of the last job reach back over all that it needs,
// and are lifted when it is withdrawn.
func TestNeedsReachBack(t *testing.T) {
	t.Parallel()
	c, _ := owner(t)
	plain := func(id string, dependencies ...string) *protocol.JobSpec {
		s := after(id, 1, "green", dependencies...) // 6 s each
		s.DeadlineS, s.Urgency = 0, protocol.Low
		return s
	}
	a, b := c.take(plain("job-1")), c.take(plain("job-2", "job-1"))
	if _, ok := a.Deadline(); ok || a.Urgency() != protocol.Low {
		t.Error("a need without anybody who needs it")
	}
	last := plain("job-3", "job-2")
	last.DeadlineS, last.Urgency = 60, protocol.High
	l := c.take(last)
	due := func(j *cluster.Job, left float64) {
		t.Helper()
		at, ok := j.Deadline()
		if d := at.Sub(l.SubmittedAt).Seconds(); !ok || d < left-0.1 || d > left+0.1 {
			t.Errorf("%s is needed after %v s (%v), want %v", j.Spec.ID, d, ok, left)
		}
		if j.Urgency() != protocol.High {
			t.Errorf("%s has urgency %d", j.Spec.ID, j.Urgency())
		}
	}
	due(b, 54)
	due(a, 48)
	// One that comes late, when the first is over.
	c.jobs.SetFinal("job-1", protocol.StatusDone, time.Now())
	sooner := plain("job-4", "job-2", "job-1")
	sooner.DeadlineS = 30
	c.take(sooner)
	due(b, 24)
	c.jobs.SetFinal("job-4", protocol.StatusCancelled, time.Now())
	due(b, 54)
	c.jobs.SetFinal("job-3", protocol.StatusCancelled, time.Now())
	if _, ok := b.Deadline(); ok || b.Urgency() != protocol.Low {
		t.Error("the need outlives the job")
	}
	c.jobs.SetFinal("job-2", protocol.StatusDone, time.Now())
	if n := len(c.Dependencies.Index) + len(c.Dependencies.DoomedJobs); n > 0 || len(c.Dependencies.Free) != len(c.Dependencies.Nodes) {
		t.Errorf("%d jobs are left in the graph", n)
	}
}

// The graph, changed by steps in any order, agrees with what its words mean.
func TestGraphAgreesWithItsMeaning(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		jobs, finals := map[string]*cluster.Job{}, map[string]string{}
		var g cluster.DependencyGraph
		g.Init(jobs, func(j *cluster.Job) time.Duration { return settings.Seconds(j.Spec.EstimateS) })
		const n = 24
		now := time.Now()
		all := make([]*cluster.Job, n)
		for i := range all {
			s := spec(fmt.Sprintf("job-%d", i), 1, "red")
			s.Urgency, s.EstimateS, s.DeadlineS = protocol.Urgency(rng.IntN(4)), float64(1+rng.IntN(9)), float64(rng.IntN(3)*50)
			for d := range i {
				if rng.IntN(8) == 0 {
					s.Dependencies = append(s.Dependencies, fmt.Sprintf("job-%d", d))
				}
			}
			all[i] = &cluster.Job{Spec: s, SubmittedAt: now}
		}
		// A listing brings jobs in any order; endings come in between.
		order := rng.Perm(n)
		for len(order) > 0 || rng.IntN(20) > 0 {
			if len(order) > 0 && rng.IntN(3) > 0 {
				j := all[order[0]]
				order = order[1:]
				if finals[j.Spec.ID] != "" {
					continue // ended jobs are not taken up
				}
				jobs[j.Spec.ID] = j
				g.Add(j, func(id string) (string, time.Time) { return finals[id], time.Time{} })
			} else {
				i := rng.IntN(n)
				id := all[i].Spec.ID
				if finals[id] != "" {
					continue
				}
				done, doomed := true, false
				for _, d := range all[i].Spec.Dependencies {
					done = done && finals[d] == protocol.StatusDone
					doomed = doomed || finals[d] == protocol.StatusCancelled
				}
				done = done && rng.IntN(3) > 0
				if !done && !doomed && rng.IntN(3) > 0 {
					continue
				}
				finals[id] = protocol.StatusCancelled
				if done {
					finals[id] = protocol.StatusDone
				}
				g.JobEnded(id, done, now)
				delete(jobs, id)
			}
			checkGraph(t, seed, &g, all, jobs, finals)
			if t.Failed() {
				return
			}
		}
	}
}

func checkGraph(t *testing.T, seed uint64, g *cluster.DependencyGraph, all []*cluster.Job, jobs map[string]*cluster.Job, finals map[string]string) {
	t.Helper()
	doomed, blocked := map[string]bool{}, map[string]bool{}
	for _, j := range all { // dependencies come before dependents
		id := j.Spec.ID
		if jobs[id] == nil {
			continue
		}
		for _, d := range j.Spec.Dependencies {
			blocked[id] = blocked[id] || finals[d] != protocol.StatusDone
			doomed[id] = doomed[id] || finals[d] == protocol.StatusCancelled || doomed[d]
		}
	}
	raised, needed := map[string]protocol.Urgency{}, map[string]time.Time{}
	for i := len(all) - 1; i >= 0; i-- {
		j := all[i]
		id := j.Spec.ID
		if jobs[id] == nil {
			continue
		}
		if j.Blocked != blocked[id] || (g.DoomedJobs[id] != nil) != doomed[id] {
			t.Errorf("seed %d: %s blocked %v doomed %v, want %v %v", seed, id, j.Blocked, g.DoomedJobs[id] != nil, blocked[id], doomed[id])
		}
		if !doomed[id] && (j.InheritedUrgency < raised[id] || !needed[id].IsZero() && (j.InheritedDeadline.IsZero() || j.InheritedDeadline.After(needed[id]))) {
			t.Errorf("seed %d: %s raised to %d by %s, want %d %s", seed, id, j.InheritedUrgency, j.InheritedDeadline, raised[id], needed[id])
		}
		if doomed[id] {
			continue // what is to be withdrawn needs nothing
		}
		urgency := max(j.Spec.Urgency, raised[id])
		due := needed[id]
		if own := j.SubmittedAt.Add(settings.Seconds(j.Spec.DeadlineS)); j.Spec.DeadlineS > 0 && (due.IsZero() || own.Before(due)) {
			due = own
		}
		for _, d := range j.Spec.Dependencies {
			raised[d] = max(raised[d], urgency)
			if by := due.Add(-settings.Seconds(j.Spec.EstimateS)); !due.IsZero() && (needed[d].IsZero() || by.Before(needed[d])) {
				needed[d] = by
			}
		}
	}
}

// All jobs after a withdrawn one are withdrawn in time, however deep and over
// whichever parts, with the death of an owner, an outage that ends or a low
// rate of changes in between; so is one submitted later.
func TestWithdrawalReachesAllDependents(t *testing.T) {
	t.Parallel()
	for _, trouble := range []string{"none", "owner dies", "all die", "outage", "low rate"} {
		t.Run(trouble, func(t *testing.T) {
			t.Parallel()
			simulatePrepared(t, 32, func(w *world) {
				if trouble == "low rate" {
					writes := 12.0
					w.set.Params.State.Next.WriteRPS = &writes
				}
			}, func(w *world) {
				time.Sleep(2 * time.Second)
				w.runTime = func(string, int, string) time.Duration { return time.Hour }
				teams := []string{"red", "blue", "green"}
				w.submit(spec("job-0", 2, "red"))
				w.submit(spec("job-500", 1, "blue")) // stays
				n := 40
				for i := 1; i < n; i++ {
					s := after(fmt.Sprintf("job-%d", i), 1, teams[i%3], fmt.Sprintf("job-%d", i-1))
					if i%4 == 0 {
						s.Dependencies = append(s.Dependencies, "job-0", "job-500")
					}
					w.submit(s)
				}
				time.Sleep(10 * time.Second)
				if trouble == "low rate" {
					w.mu.Lock()
					w.state.Writes = rate.NewLimiter(12, 12)
					w.mu.Unlock()
				}
				w.withdraw("job-0")
				told := time.Now()
				switch trouble {
				case "owner dies":
					w.kill("n1")
				case "all die":
					for _, label := range everywhere {
						w.kill(label)
					}
					time.Sleep(3 * time.Second)
					for _, label := range everywhere {
						w.start(label)
					}
				case "outage":
					w.outage(true)
					time.Sleep(10 * time.Second)
					w.outage(false)
				}
				w.submit(after("job-600", 1, "blue", "job-39"))
				// Unseen by any poll: the owners withdraw, not only who is asked.
				// The reserve of 3 s is for the dead controllers' leases.
				time.Sleep(time.Until(told.Add(settings.Seconds(w.set.Params.Workers.CancelS - 3))))
				w.mu.Lock()
				for i := 1; i < n; i++ {
					if _, ok := w.state.Items[storage.FinalKey(fmt.Sprintf("job-%d", i))]; !ok {
						t.Errorf("job-%d is not withdrawn", i)
					}
				}
				w.mu.Unlock()
				for i := 1; i < n; i++ {
					if st := w.poll("", fmt.Sprintf("job-%d", i)); st != protocol.StatusCancelled {
						t.Errorf("job-%d is %q", i, st)
					}
				}
				if st := w.poll("", "job-600"); st != protocol.StatusCancelled {
					t.Errorf("a job submitted later is %q", st)
				}
				if st := w.poll("", "job-500"); st == protocol.StatusCancelled {
					t.Error("a job before it is withdrawn too")
				}
				w.withdraw("job-500")
			})
		})
	}
}

// A cancellation crosses a submission that names its job, or the completion of
// its job: whichever wins, the jobs after it follow the answer.
func TestCrossingsOfWithdrawals(t *testing.T) {
	t.Parallel()
	simulate(t, 33, func(w *world) {
		time.Sleep(2 * time.Second)
		for i := range 6 {
			a, b, c := fmt.Sprintf("job-1%d", i), fmt.Sprintf("job-2%d", i), fmt.Sprintf("job-3%d", i)
			w.submit(spec(a, 1, "red"))
			w.submit(after(b, 1, "green", a))
			time.Sleep(time.Duration(i) * 2500 * time.Millisecond)
			w.group.Go(func() { w.submit(after(c, 1, "blue", a, b)) })
			time.Sleep(time.Duration(i) * time.Millisecond)
			ended := w.withdraw(a)
			time.Sleep(30 * time.Second)
			for _, id := range []string{b, c} {
				if st := w.poll("", id); st != ended {
					t.Errorf("%s is %s, %s after it is %q", a, ended, id, st)
				}
			}
		}
		w.finish(2 * time.Minute)
	})
}

// A user may have been told of a withdrawal that this controller has not heard
// of: when it has not followed the changes for too long, it does not call a job
// queued that needs others.
func TestStaleControllerDoesNotCallDependentsQueued(t *testing.T) {
	t.Parallel()
	simulate(t, 34, func(w *world) {
		time.Sleep(2 * time.Second)
		w.runTime = func(string, int, string) time.Duration { return time.Hour }
		w.submit(spec("job-1", 1, "red"))
		w.submit(after("job-2", 1, "blue", "job-1"))
		time.Sleep(time.Second)
		ask := func() int { return w.ask("n0", "GET", "/submissions/job-2", nil).Status }
		if got := ask(); got != 200 {
			t.Errorf("a poll gets %d", got)
		}
		n := w.nodes["n0"].ctl
		w.mu.Lock()
		w.state.Stuck = true
		w.mu.Unlock()
		n.loop.Do(func() { n.RecordsCurrentAt = time.Now().Add(-n.api.StaleLimit() - time.Second) })
		if got := ask(); got != 503 {
			t.Errorf("a poll of a controller that is behind gets %d", got)
		}
		w.mu.Lock()
		w.state.Stuck = false
		w.mu.Unlock()
		time.Sleep(15 * time.Second)
		if got := ask(); got != 200 {
			t.Errorf("a poll gets %d after the watch went on", got)
		}
		w.withdraw("job-1")
		w.finish(time.Minute)
	})
}

// Names may be long: a record that would outgrow the lower limit takes fewer
// attempts at a time, and all tasks run in the end.
func TestRunRecordsKeepToTheLowerLimit(t *testing.T) {
	t.Parallel()
	simulatePrepared(t, 35, func(w *world) {
		announce(w)
		w.cloud.Prefix = strings.Repeat("m", 180)
		w.cloud.Capacity = 20
	}, func(w *world) {
		time.Sleep(2 * time.Second)
		s := spec("job-1", 64, "green")
		s.CPUs = 1
		w.submit(s)
		w.finish(8 * time.Minute)
		if most := w.state.Largest["r"]; most < 1500 {
			t.Errorf("the largest run record has %d bytes: nothing was tried", most)
		}
	})
}

// A limit that nobody announced makes batches smaller; what is too large alone
// does not block the rest.
func TestUnannouncedLimitsShrinkBatches(t *testing.T) {
	t.Parallel()
	simulate(t, 36, func(w *world) {
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		w.state.HiddenOps, w.state.HiddenValue = 2, 700
		w.mu.Unlock()
		for i := range 12 {
			s := spec(fmt.Sprintf("job-%d", i), 40, "green")
			s.CPUs, s.DeadlineS = 0.5, 600
			w.submit(s)
		}
		w.finish(8 * time.Minute)
		w.mu.Lock()
		defer w.mu.Unlock()
		if n := w.state.RefusedSize; n == 0 || n > 60 {
			t.Errorf("%d transactions refused for their size", n)
		}
	})
}

// A job that was accepted before a limit fell that nobody announced is known
// all the same to a controller that has not heard of it.
func TestRepeatOfAJobLargerThanAnUnannouncedLimit(t *testing.T) {
	t.Parallel()
	simulate(t, 38, func(w *world) {
		time.Sleep(2 * time.Second)
		s := spec("job-1", 1, "red")
		s.Class = strings.Repeat("c", 190)
		w.mu.Lock()
		w.state.Stuck = true // the others' watches bring nothing
		w.mu.Unlock()
		if got := w.ask("n0", "POST", "/submissions", submission(s)).Status; got != 201 {
			t.Fatal(got)
		}
		w.mu.Lock()
		w.state.HiddenValue = 300
		w.mu.Unlock()
		if got := w.ask("n1", "POST", "/submissions", submission(s)).Status; got != 200 {
			t.Errorf("a repeat gets %d", got)
		}
		s.ID = "job-2"
		if got := w.ask("n1", "POST", "/submissions", submission(s)).Status; got != 422 {
			t.Errorf("another of its size gets %d", got)
		}
		w.mu.Lock()
		w.state.Stuck, w.state.HiddenValue = false, 0
		w.mu.Unlock()
		w.mu.Lock()
		w.jobs["job-1"] = &userJob{spec: spec("job-1", 1, "red"), tasksDone: map[int]bool{}}
		w.mu.Unlock()
		w.finish(2 * time.Minute)
	})
}

// The rate of changes falls without notice: few refusals, and all goes on.
func TestRateOfChangesIsFollowed(t *testing.T) {
	t.Parallel()
	simulatePrepared(t, 37, func(w *world) {
		w.set.Params.State.WriteRPS = 40
		writes := 15.0
		w.set.Params.State.Next.WriteRPS = &writes
	}, func(w *world) {
		time.Sleep(2 * time.Second)
		for i := range 60 {
			if i == 20 {
				w.mu.Lock()
				w.state.Writes = rate.NewLimiter(15, 15)
				w.mu.Unlock()
			}
			s := spec(fmt.Sprintf("job-%d", i), 3, "green")
			s.DeadlineS = 600
			w.submit(s)
		}
		w.finish(5 * time.Minute)
		w.mu.Lock()
		defer w.mu.Unlock()
		if n := w.state.RefusedRate; n > 60 {
			t.Errorf("%d of %d transactions refused", n, w.state.Changes)
		}
	})
}

// Fetches of all stages of a pipeline add up: there even a short one is saved
// where a machine has the image.
func TestPipelinesGoWhereTheImageIs(t *testing.T) {
	t.Parallel()
	for _, pipeline := range []bool{false, true} {
		c, p := owner(t)
		busy := c.up(p, "m-1", "big")
		busy.Images["img"] = time.Now()
		c.up(p, "m-2", "big")
		// Two run there, so that its contention is the higher one.
		other := spec("job-1", 2, "green")
		other.Image, other.EstimateS = "other", 600
		running := c.take(other)
		for task := range 2 {
			busy.Attempts[fmt.Sprint(task)] = &cluster.Attempt{Job: running, TaskIndex: task, Machine: busy, Epoch: 1, State: cluster.AttemptConfirmed}
		}
		busy.RecountUsed()
		delete(c.Jobs, "job-1")
		s := spec("job-2", 1, "green")
		s.EstimateS, s.ImageGB = 600, 1 // a short fetch
		j := c.take(s)
		if pipeline {
			c.take(after("job-3", 1, "green", "job-2"))
		}
		c.scheduler.Place(p, time.Now())
		if got := j.LiveAttempts[0].Machine.Name; got == "m-1" != pipeline {
			t.Errorf("pipeline %v: placed on %s", pipeline, got)
		}
	}
}
