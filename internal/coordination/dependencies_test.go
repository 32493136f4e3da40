package coordination

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// newDependentJobSpec returns a job that depends on others.
func newDependentJobSpec(id string, tasks int, team string, dependencies ...string) *protocol.JobSpec {
	s := newJobSpec(id, tasks, team)
	s.Dependencies = dependencies
	return s
}

// submissionWithField returns a submission with one field added or replaced.
func submissionWithField(s *protocol.JobSpec, name string, value any) []byte {
	var m map[string]any
	panicOnError(protocol.Decode(encodeSubmission(s), &m))
	m[name] = value
	return protocol.Encode(m)
}

// A submission with invalid dependencies is refused by every controller; one with valid
// dependencies is accepted.
func TestValidationOfDependencies(t *testing.T) {
	t.Parallel()
	runSimulation(t, 30, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.submit(newJobSpec("job-1", 1, "red"))
		service := newJobSpec("job-2", 1, "blue")
		service.Service, service.EstimateS, service.DeadlineS = true, 0, 0
		sim.submit(service)
		cancelled := newJobSpec("job-3", 1, "blue")
		cancelled.Service, cancelled.EstimateS, cancelled.DeadlineS = true, 0, 0
		sim.submit(cancelled)
		sim.cancelJob("job-3")
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
			{"cancelled service", []string{"job-3"}, 422},
			{"too many to record", many, 422},
		} {
			for _, label := range allControllers {
				next++
				s := newJobSpec(fmt.Sprintf("job-%d", next), 1, "green")
				if tc.name == "itself" {
					tc.value = []string{s.ID}
				}
				resp := sim.sendRequest(label, "POST", "/submissions", submissionWithField(s, "waits_on", tc.value))
				if resp.Status != tc.want {
					t.Errorf("dependencies %s at %s: status %d %q, want %d", tc.name, label, resp.Status, resp.Body, tc.want)
				}
				if tc.name == "too many to record" && !strings.Contains(string(resp.Body), "8192") {
					t.Errorf("the answer %q does not name the limit", resp.Body)
				}
				// A repeated submission of a known job is answered with the job's
				// status, regardless of the body.
				if tc.want != 201 {
					if resp := sim.sendRequest(label, "POST", "/submissions", submissionWithField(newJobSpec("job-1", 1, "red"), "waits_on", tc.value)); resp.Status != 200 {
						t.Errorf("repeated submission with dependencies %s at %s: status %d, want 200", tc.name, label, resp.Status)
					}
				}
			}
		}
		// A job that one controller has just accepted is a dependency of a submission to
		// another controller, whose watch lags.
		for i := range 6 {
			a, b := fmt.Sprintf("job-5%d", i), fmt.Sprintf("job-6%d", i)
			if r := sim.sendRequest(allControllers[i%3], "POST", "/submissions", encodeSubmission(newJobSpec(a, 1, "red"))); r.Status != 201 {
				t.Fatalf("the submission of the dependency got status %d, want 201", r.Status)
			}
			if r := sim.sendRequest(allControllers[(i+1)%3], "POST", "/submissions", encodeSubmission(newDependentJobSpec(b, 1, "blue", a))); r.Status != 201 {
				t.Errorf("a dependency on a job that was just accepted: status %d %q, want 201", r.Status, r.Body)
			}
		}
		// If a dependency cannot be looked up, the refusal is temporary.
		sim.setOutage(true)
		begun := time.Now()
		resp := sim.sendRequest("n1", "POST", "/submissions", encodeSubmission(newDependentJobSpec("job-70", 1, "red", "job-999")))
		if resp.Status != 503 || resp.RetryAfter == 0 || time.Since(begun) > time.Second {
			t.Errorf("a dependency that cannot be looked up: status %d, Retry-After %d, after %s; want 503 with Retry-After within 1 s", resp.Status, resp.RetryAfter, time.Since(begun))
		}
		sim.setOutage(false)
		sim.cancelJob("job-2")
	})
}

// A pipeline over several teams and partitions runs in order while leaders are killed.
func TestDependenciesRunInOrderThroughFailovers(t *testing.T) {
	t.Parallel()
	runSimulation(t, 31, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.submit(newJobSpec("job-1", 6, "red"))
		sim.submit(newDependentJobSpec("job-2", 70, "green", "job-1"))
		sim.submit(newDependentJobSpec("job-3", 3, "blue", "job-1"))
		sim.submit(newDependentJobSpec("job-4", 2, "red", "job-2", "job-3"))
		for i := range 40 {
			time.Sleep(time.Second)
			for _, id := range []string{"job-2", "job-4"} {
				if st := sim.poll(allControllers[i%3], id); st == protocol.StatusDone && id == "job-4" {
					break
				}
			}
			if i == 8 || i == 20 {
				sim.killController(allControllers[i%3])
				time.Sleep(3 * time.Second)
				sim.startController(allControllers[i%3])
			}
		}
		sim.waitForAllJobs(3 * time.Minute)
	})
}

// A job that waits for its dependencies uses no resources and causes no demand for machines.
func TestBlockedJobHoldsNoResources(t *testing.T) {
	t.Parallel()
	c, p := newLeadingController(t)
	c.addMachine(p, "m-1", "big")
	first := c.addJob(newJobSpec("job-1", 1, "green"))
	urgent := newDependentJobSpec("job-2", 4, "green", "job-1")
	urgent.Urgency = protocol.Production
	urgent.CPUs, urgent.Types = 32, []string{"big"}
	j := c.addJob(urgent)
	now := time.Now()
	if j.SubmittedAt = now.Add(-time.Hour); !j.Blocked {
		t.Fatal("the job is not blocked")
	}
	c.scheduler.Place(p, now)
	c.scheduler.Preempt(p, now)
	if len(j.LiveAttempts) > 0 || p.Usage[j.Team].CPUs != first.Spec.CPUs {
		t.Errorf("the blocked job has %d attempts, its team uses %v", len(j.LiveAttempts), p.Usage[j.Team])
	}
	if d := c.peering.PartitionSummary(p, now).Demands; len(d) > 0 {
		t.Errorf("the summary has demands of a blocked job: %v", d)
	}
	if s := c.scheduler.Scarcity(now); s.Contested("big", 2) {
		t.Error("a machine type counts as contested for a blocked job")
	}
	c.jobs.SetFinalState("job-1", protocol.StatusDone, time.Now())
	if j.Blocked || j.ReadySince().Before(now) {
		t.Errorf("after its dependency was done, the job has blocked = %v and is ready since %s, want false and not before the dependency was done", j.Blocked, j.ReadySince())
	}
	if list := c.scheduler.Queue(p); !slices.Contains(list, j) {
		t.Error("the ready job is not queued")
	}
}

// The deadline and urgency of the last job are inherited by all its dependencies, and dropped
// when it is cancelled.
func TestDeadlineAndUrgencyAreInheritedByDependencies(t *testing.T) {
	t.Parallel()
	c, _ := newLeadingController(t)
	plain := func(id string, dependencies ...string) *protocol.JobSpec {
		s := newDependentJobSpec(id, 1, "green", dependencies...) // 6 s each
		s.DeadlineS, s.Urgency = 0, protocol.Low
		return s
	}
	a, b := c.addJob(plain("job-1")), c.addJob(plain("job-2", "job-1"))
	if _, ok := a.Deadline(); ok || a.Urgency() != protocol.Low {
		t.Error("a deadline or urgency is inherited from a job that has none")
	}
	last := plain("job-3", "job-2")
	last.DeadlineS, last.Urgency = 60, protocol.High
	l := c.addJob(last)
	expectDeadline := func(j *cluster.Job, wantS float64) {
		t.Helper()
		at, ok := j.Deadline()
		if d := at.Sub(l.SubmittedAt).Seconds(); !ok || d < wantS-0.1 || d > wantS+0.1 {
			t.Errorf("%s: deadline %v s after the submission of the last job (has a deadline: %v), want %v s", j.Spec.ID, d, ok, wantS)
		}
		if j.Urgency() != protocol.High {
			t.Errorf("%s has urgency %d, want the urgency high of its dependent", j.Spec.ID, j.Urgency())
		}
	}
	expectDeadline(b, 54)
	expectDeadline(a, 48)
	// A dependent job is added after a dependency has ended.
	c.jobs.SetFinalState("job-1", protocol.StatusDone, time.Now())
	sooner := plain("job-4", "job-2", "job-1")
	sooner.DeadlineS = 30
	c.addJob(sooner)
	expectDeadline(b, 24)
	c.jobs.SetFinalState("job-4", protocol.StatusCancelled, time.Now())
	expectDeadline(b, 54)
	c.jobs.SetFinalState("job-3", protocol.StatusCancelled, time.Now())
	if _, ok := b.Deadline(); ok || b.Urgency() != protocol.Low {
		t.Error("an inherited deadline or urgency remains after the dependent job is cancelled")
	}
	c.jobs.SetFinalState("job-2", protocol.StatusDone, time.Now())
	if n := len(c.Dependencies.NodeByJob) + len(c.Dependencies.JobsToCancel); n > 0 || len(c.Dependencies.FreeNodes) != len(c.Dependencies.Nodes) {
		t.Errorf("%d jobs are left in the graph or the graph has used nodes, want none", n)
	}
}

// A dependency graph to which jobs and final states are added in random order agrees with a direct
// computation.
func TestDependencyGraphAgreesWithAModel(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		jobs, finals := map[string]*cluster.Job{}, map[string]string{}
		var g cluster.DependencyGraph
		g.Init(jobs, func(j *cluster.Job) time.Duration { return settings.Seconds(j.Spec.EstimateS) })
		endOf := func(id string) cluster.JobEnd { return cluster.JobEnd{Status: finals[id]} }
		const n = 24
		now := time.Now()
		all := make([]*cluster.Job, n)
		for i := range all {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 1, "red")
			s.Urgency, s.EstimateS, s.DeadlineS = protocol.Urgency(rng.IntN(4)), float64(1+rng.IntN(9)), float64(rng.IntN(3)*50)
			for d := range i {
				if rng.IntN(8) == 0 {
					s.Dependencies = append(s.Dependencies, fmt.Sprintf("job-%d", d))
				}
			}
			all[i] = &cluster.Job{Spec: s, SubmittedAt: now}
		}
		// A listing returns jobs in any order, and final states arrive between them.
		order := rng.Perm(n)
		for len(order) > 0 || rng.IntN(20) > 0 {
			if len(order) > 0 && rng.IntN(3) > 0 {
				j := all[order[0]]
				order = order[1:]
				if finals[j.Spec.ID] != "" {
					continue // ended jobs are not added
				}
				jobs[j.Spec.ID] = j
				g.Add(j, endOf)
			} else {
				i := rng.IntN(n)
				id := all[i].Spec.ID
				if finals[id] != "" {
					continue
				}
				done, mustCancel := true, false
				for _, d := range all[i].Spec.Dependencies {
					done = done && finals[d] == protocol.StatusDone
					mustCancel = mustCancel || finals[d] == protocol.StatusCancelled
				}
				done = done && rng.IntN(3) > 0
				if !done && !mustCancel && rng.IntN(3) > 0 {
					continue
				}
				finals[id] = protocol.StatusCancelled
				if done {
					finals[id] = protocol.StatusDone
				}
				g.JobEnded(id, endOf, now)
				delete(jobs, id)
			}
			checkDependencyGraph(t, seed, &g, all, jobs, finals)
			if t.Failed() {
				return
			}
		}
	}
}

// A job whose dependency ended with a status that this version does not know is cancelled: it can never start.
func TestDependentsOfUnknownEndsAreCancelled(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"", "expired"} {
		var g cluster.DependencyGraph
		jobs := map[string]*cluster.Job{}
		g.Init(jobs, func(*cluster.Job) time.Duration { return time.Second })
		finals := map[string]string{}
		endOf := func(id string) cluster.JobEnd { return cluster.JobEnd{Status: finals[id]} }
		for _, s := range []*protocol.JobSpec{newJobSpec("job-1", 1, "red"), newDependentJobSpec("job-2", 1, "red", "job-1")} {
			jobs[s.ID] = &cluster.Job{Spec: s}
			g.Add(jobs[s.ID], endOf)
		}
		finals["job-1"] = status
		if ready := g.JobEnded("job-1", endOf, time.Now()); len(ready) > 0 || g.JobsToCancel["job-2"] == nil {
			t.Errorf("status %q: %d jobs ready, dependent to be cancelled: %v; want 0 and true", status, len(ready), g.JobsToCancel["job-2"] != nil)
		}
	}
}

// checkDependencyGraph compares the blocked jobs, the jobs to cancel and the inherited urgencies
// and deadlines with a direct computation.
func checkDependencyGraph(t *testing.T, seed uint64, g *cluster.DependencyGraph, all []*cluster.Job, jobs map[string]*cluster.Job, finals map[string]string) {
	t.Helper()
	mustCancel, blocked := map[string]bool{}, map[string]bool{}
	for _, j := range all { // sorted with dependencies before dependents
		id := j.Spec.ID
		if jobs[id] == nil {
			continue
		}
		for _, d := range j.Spec.Dependencies {
			blocked[id] = blocked[id] || finals[d] != protocol.StatusDone
			mustCancel[id] = mustCancel[id] || finals[d] == protocol.StatusCancelled || mustCancel[d]
		}
	}
	inheritedUrgency, inheritedDeadline := map[string]protocol.Urgency{}, map[string]time.Time{}
	for i := len(all) - 1; i >= 0; i-- {
		j := all[i]
		id := j.Spec.ID
		if jobs[id] == nil {
			continue
		}
		if j.Blocked != blocked[id] || (g.JobsToCancel[id] != nil) != mustCancel[id] {
			t.Errorf("seed %d: %s is blocked: %v, to be cancelled: %v, want %v and %v", seed, id, j.Blocked, g.JobsToCancel[id] != nil, blocked[id], mustCancel[id])
		}
		if !mustCancel[id] && (j.InheritedUrgency < inheritedUrgency[id] || !inheritedDeadline[id].IsZero() && (j.InheritedDeadline.IsZero() || j.InheritedDeadline.After(inheritedDeadline[id]))) {
			t.Errorf("seed %d: %s inherits urgency %d and deadline %s, want at least %d and at latest %s", seed, id, j.InheritedUrgency, j.InheritedDeadline, inheritedUrgency[id], inheritedDeadline[id])
		}
		if mustCancel[id] {
			continue // the dependencies of a job to be cancelled inherit nothing from it
		}
		urgency := max(j.Spec.Urgency, inheritedUrgency[id])
		deadline := inheritedDeadline[id]
		if own := j.SubmittedAt.Add(settings.Seconds(j.Spec.DeadlineS)); j.Spec.DeadlineS > 0 && (deadline.IsZero() || own.Before(deadline)) {
			deadline = own
		}
		for _, d := range j.Spec.Dependencies {
			inheritedUrgency[d] = max(inheritedUrgency[d], urgency)
			if by := deadline.Add(-settings.Seconds(j.Spec.EstimateS)); !deadline.IsZero() && (inheritedDeadline[d].IsZero() || by.Before(inheritedDeadline[d])) {
				inheritedDeadline[d] = by
			}
		}
	}
}

// All direct and indirect dependents of a cancelled job, in all partitions, are cancelled in
// time, also when leaders are killed, the state store is down for a while or its write rate is
// low. A dependent submitted later is cancelled as well.
func TestCancellationReachesAllDependents(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"none", "leader killed", "all killed", "outage", "low write rate"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, 32, func(sim *simulatedCluster) {
				if fault == "low write rate" {
					writeRate := 12.0
					sim.settings.Params.State.Next.WriteRPS = &writeRate
				}
			}, func(sim *simulatedCluster) {
				time.Sleep(2 * time.Second)
				sim.taskRunTime = func(string, int, string) time.Duration { return time.Hour }
				teams := allTeams
				sim.submit(newJobSpec("job-0", 2, "red"))
				sim.submit(newJobSpec("job-500", 1, "blue")) // a dependency that is not cancelled
				n := 40
				for i := 1; i < n; i++ {
					s := newDependentJobSpec(fmt.Sprintf("job-%d", i), 1, teams[i%3], fmt.Sprintf("job-%d", i-1))
					if i%4 == 0 {
						s.Dependencies = append(s.Dependencies, "job-0", "job-500")
					}
					sim.submit(s)
				}
				time.Sleep(10 * time.Second)
				if fault == "low write rate" {
					sim.withLock(func() { sim.state.WriteLimiter = rate.NewLimiter(12, 12) })
				}
				sim.cancelJob("job-0")
				confirmedAt := time.Now()
				switch fault {
				case "leader killed":
					sim.killController("n1")
				case "all killed":
					for _, label := range allControllers {
						sim.killController(label)
					}
					time.Sleep(3 * time.Second)
					for _, label := range allControllers {
						sim.startController(label)
					}
				case "outage":
					sim.setOutage(true)
					time.Sleep(10 * time.Second)
					sim.setOutage(false)
				}
				sim.submit(newDependentJobSpec("job-600", 1, "blue", "job-39"))
				// The partition leaders cancel the dependents without any poll. The margin of
				// 3 s is for the leases of the killed controllers.
				time.Sleep(time.Until(confirmedAt.Add(settings.Seconds(sim.settings.Params.AgentTimes.CancelS - 3))))
				sim.mu.Lock()
				for i := 1; i < n; i++ {
					if _, ok := sim.state.Items[storage.FinalKey(fmt.Sprintf("job-%d", i))]; !ok {
						t.Errorf("the final state of job-%d is not recorded in time", i)
					}
				}
				sim.mu.Unlock()
				for i := 1; i < n; i++ {
					if st := sim.poll("", fmt.Sprintf("job-%d", i)); st != protocol.StatusCancelled {
						t.Errorf("job-%d has status %q, want cancelled", i, st)
					}
				}
				if st := sim.poll("", "job-600"); st != protocol.StatusCancelled {
					t.Errorf("a dependent submitted later has status %q, want cancelled", st)
				}
				if st := sim.poll("", "job-500"); st == protocol.StatusCancelled {
					t.Error("another dependency of the cancelled jobs is cancelled too")
				}
				sim.cancelJob("job-500")
			})
		})
	}
}

// The cancellation of a job races with the submission of a dependent job or with the completion of
// the job: the dependents must end in the status in the answer to the cancellation.
func TestCancellationRacesWithDependentJobs(t *testing.T) {
	t.Parallel()
	runSimulation(t, 33, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		for i := range 6 {
			first, earlyDependent, racingDependent := fmt.Sprintf("job-1%d", i), fmt.Sprintf("job-2%d", i), fmt.Sprintf("job-3%d", i)
			sim.submit(newJobSpec(first, 1, "red"))
			sim.submit(newDependentJobSpec(earlyDependent, 1, "green", first))
			time.Sleep(time.Duration(i) * 2500 * time.Millisecond)
			sim.group.Go(func() { sim.submit(newDependentJobSpec(racingDependent, 1, "blue", first, earlyDependent)) })
			time.Sleep(time.Duration(i) * time.Millisecond)
			answer := sim.cancelJob(first)
			time.Sleep(30 * time.Second)
			for _, id := range []string{earlyDependent, racingDependent} {
				if st := sim.poll("", id); st != answer {
					t.Errorf("the cancellation of %s was answered with %s, but its dependent %s has status %q", first, answer, id, st)
				}
			}
		}
		sim.waitForAllJobs(2 * time.Minute)
	})
}

// A controller whose records are stale does not report a dependent job as queued: another
// controller may have confirmed a cancellation that this controller has not received.
func TestStaleControllerRefusesStatusOfDependentJobs(t *testing.T) {
	t.Parallel()
	runSimulation(t, 34, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.taskRunTime = func(string, int, string) time.Duration { return time.Hour }
		sim.submit(newJobSpec("job-1", 1, "red"))
		sim.submit(newDependentJobSpec("job-2", 1, "blue", "job-1"))
		time.Sleep(time.Second)
		poll := func() int { return sim.sendRequest("n0", "GET", "/submissions/job-2", nil).Status }
		if got := poll(); got != 200 {
			t.Errorf("a poll gets status %d, want 200", got)
		}
		c := sim.controllers["n0"].controller
		sim.withLock(func() { sim.state.WatchesStuck = true })
		c.loop.Do(func() { c.RecordsCurrentAt = time.Now().Add(-c.api.StaleLimit() - time.Second) })
		if got := poll(); got != 503 {
			t.Errorf("a poll at a stale controller gets status %d, want 503", got)
		}
		sim.withLock(func() { sim.state.WatchesStuck = false })
		time.Sleep(15 * time.Second)
		if got := poll(); got != 200 {
			t.Errorf("a poll gets status %d after the watch resumed, want 200", got)
		}
		sim.cancelJob("job-1")
		sim.waitForAllJobs(time.Minute)
	})
}

// With long machine names, a run record that would exceed the lower value limit holds fewer
// attempts at a time, and all tasks still run.
func TestRunRecordsStayBelowTheLowerLimit(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 35, func(sim *simulatedCluster) {
		announceLowerLimits(sim)
		sim.cloud.NamePrefix = strings.Repeat("m", 180)
		sim.cloud.Capacity = 20
	}, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		s := newJobSpec("job-1", 64, "green")
		s.CPUs = 1
		sim.submit(s)
		sim.waitForAllJobs(8 * time.Minute)
		if largest := sim.state.LargestValues["r"]; largest < 1500 {
			t.Errorf("the largest run record has %d bytes, too few to come near the limit", largest)
		}
	})
}

// When the state store applies lower limits without announcing them, batches become smaller, and a
// single write that is too large does not block other writes.
func TestUnannouncedLimitsShrinkBatches(t *testing.T) {
	t.Parallel()
	runSimulation(t, 36, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.withLock(func() { sim.state.UnannouncedTxnOps, sim.state.UnannouncedValueBytes = 2, 700 })
		for i := range 12 {
			s := newJobSpec(fmt.Sprintf("job-%d", i), 40, "green")
			s.CPUs, s.DeadlineS = 0.5, 600
			sim.submit(s)
		}
		sim.waitForAllJobs(8 * time.Minute)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if n := sim.state.RefusedForSize; n == 0 || n > 60 {
			t.Errorf("%d transactions were refused for their size, want 1 to 60", n)
		}
	})
}

// The value limit falls unannounced. A repeated submission of an accepted job that now exceeds the
// limit is still recognized by a controller that has not received the job's record.
func TestRepeatedSubmissionAboveAnUnannouncedLimit(t *testing.T) {
	t.Parallel()
	runSimulation(t, 38, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		s := newJobSpec("job-1", 1, "red")
		s.Class = strings.Repeat("c", 190)
		// The watches of the other controllers deliver nothing.
		sim.withLock(func() { sim.state.WatchesStuck = true })
		if got := sim.sendRequest("n0", "POST", "/submissions", encodeSubmission(s)).Status; got != 201 {
			t.Fatalf("the first submission gets status %d, want 201", got)
		}
		sim.withLock(func() { sim.state.UnannouncedValueBytes = 300 })
		if got := sim.sendRequest("n1", "POST", "/submissions", encodeSubmission(s)).Status; got != 200 {
			t.Errorf("the repeated submission gets status %d, want 200", got)
		}
		s.ID = "job-2"
		if got := sim.sendRequest("n1", "POST", "/submissions", encodeSubmission(s)).Status; got != 422 {
			t.Errorf("a new job of the same size gets status %d, want 422", got)
		}
		sim.withLock(func() { sim.state.WatchesStuck, sim.state.UnannouncedValueBytes = false, 0 })
		sim.withLock(func() { sim.jobs["job-1"] = newSubmittedJob(newJobSpec("job-1", 1, "red")) })
		sim.waitForAllJobs(2 * time.Minute)
	})
}

// When the write rate limit falls, few transactions are refused and all jobs end.
func TestWriteRateFollowsTheLowerLimit(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 37, func(sim *simulatedCluster) {
		sim.settings.Params.State.WriteRPS = 40
		writeRate := 15.0
		sim.settings.Params.State.Next.WriteRPS = &writeRate
	}, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		for i := range 60 {
			if i == 20 {
				sim.withLock(func() { sim.state.WriteLimiter = rate.NewLimiter(15, 15) })
			}
			s := newJobSpec(fmt.Sprintf("job-%d", i), 3, "green")
			s.DeadlineS = 600
			sim.submit(s)
		}
		sim.waitForAllJobs(5 * time.Minute)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if n := sim.state.RefusedForRate; n > 60 {
			t.Errorf("%d transactions were refused for the write rate, want at most 60; %d changes were within the rate", n, sim.state.ChangesRequested)
		}
	})
}

// The image fetches of a pipeline's stages add up. So a job in a pipeline is placed on a machine
// with its image, even if the fetch would be short.
func TestPipelinesPreferMachinesWithTheImage(t *testing.T) {
	t.Parallel()
	for _, pipeline := range []bool{false, true} {
		c, p := newLeadingController(t)
		busy := c.addMachine(p, "m-1", "big")
		busy.Images["img"] = time.Now()
		c.addMachine(p, "m-2", "big")
		// Two tasks run on m-1, so that its contention is higher.
		other := newJobSpec("job-1", 2, "green")
		other.Image, other.EstimateS = "other", 600
		running := c.addJob(other)
		for task := range 2 {
			busy.Attempts[fmt.Sprint(task)] = &cluster.Attempt{Job: running, TaskIndex: task, Machine: busy, Epoch: 1, State: cluster.AttemptConfirmed}
		}
		busy.RecountUsed()
		delete(c.Jobs, "job-1")
		s := newJobSpec("job-2", 1, "green")
		s.EstimateS, s.ImageGB = 600, 1 // a short fetch
		j := c.addJob(s)
		if pipeline {
			c.addJob(newDependentJobSpec("job-3", 1, "green", "job-2"))
		}
		c.scheduler.Place(p, time.Now())
		if got := j.LiveAttempts[0].Machine.Name; got == "m-1" != pipeline {
			t.Errorf("job in a pipeline: %v; placed on %s, want m-1 (which has the image) only in a pipeline", pipeline, got)
		}
	}
}
