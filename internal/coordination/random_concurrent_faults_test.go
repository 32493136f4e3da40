package coordination

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// drawFaultPlan draws faults that overlap, two to four at a time.
func drawFaultPlan(seed uint64) (plan []plannedFault) {
	rng := rand.New(rand.NewPCG(seed, 77))
	for pair := range 5 {
		at := time.Duration(10+pair*22)*time.Second + time.Duration(rng.IntN(8000))*time.Millisecond
		for range 2 + rng.IntN(3) {
			m := plannedFault{Kind: faultKinds[rng.IntN(len(faultKinds))], At: at + time.Duration(rng.IntN(4000))*time.Millisecond,
				Arg: rng.IntN(1000), Share: 0.1 + 0.6*rng.Float64(), OnWrite: faultTriggers[rng.IntN(len(faultTriggers))]}
			m.For = time.Duration(500+rng.IntN(15_000)) * time.Millisecond
			if rng.IntN(5) == 0 {
				m.For *= 2
			}
			plan = append(plan, m)
		}
	}
	slices.SortStableFunc(plan, func(a, b plannedFault) int { return int(a.At - b.At) })
	return plan
}

// runFaultPlan injects a plan's faults while users submit, poll and cancel jobs.
func runFaultPlan(sim *simulatedCluster, seed uint64, plan []plannedFault) {
	rng := rand.New(rand.NewPCG(seed, 78))
	time.Sleep(2 * time.Second)
	sim.withLock(func() {
		sim.writes.observe(sim)
		sim.runTime = func(job string, task int, _ string) time.Duration {
			return time.Duration(3+(len(job)*7+task*5+int(job[len(job)-1]))%30) * time.Second
		}
	})
	start := time.Now()
	finished := make(chan struct{}, len(plan))
	for _, m := range plan {
		sim.group.Go(func() {
			defer func() { finished <- struct{}{} }()
			sim.injectAtTrigger(m, start, 5*time.Second)
		})
	}
	var ids []string
	for i := range 40 {
		time.Sleep(time.Duration(500+rng.IntN(4500)) * time.Millisecond)
		s := newJobSpec(fmt.Sprintf("job-%d", i), 1+rng.IntN(sim.jobTasksMax), allTeams[rng.IntN(3)])
		s.Urgency = protocol.Urgency(rng.IntN(4))
		switch rng.IntN(8) {
		case 0:
			s.Spread = true
		case 1:
			s.OneZone = true
		case 2:
			s.Gang, s.Tasks = true, min(s.Tasks, 4)
		case 3:
			s.Zone = []string{"a", "b"}[rng.IntN(2)]
		}
		if i > 2 && rng.IntN(4) == 0 {
			s.Dependencies = []string{fmt.Sprintf("job-%d", i-1-rng.IntN(2))}
		}
		first := rng.IntN(3)
		late := rng.IntN(4) == 0
		after := time.Duration(rng.IntN(9000)) * time.Millisecond
		ids = append(ids, s.ID)
		sim.withLock(func() { sim.jobs[s.ID] = newSubmittedJob(s) })
		sim.group.Go(func() {
			sim.submitUntilAccepted(s, first)
			if late {
				time.Sleep(after)
				sim.cancelUntilAnswered(s.ID, first+1)
			}
		})
	}
	for range plan {
		<-finished
	}
	sim.withLock(func() {
		sim.lateTransactionShare, sim.duplicatedHeartbeatShare, sim.messageFaultRate, sim.cancelAtEnd, sim.delayedCommands, sim.linkDelayMax = 0, 0, 0, nil, nil, 0
	})
	// More work may be waiting than five minutes take, for example behind a team's quota; but
	// as long as any waits, some of it must end.
	for ended := -1; ; {
		now := sim.countFinishedTasks()
		if now == ended {
			break
		}
		ended = now
		time.Sleep(longestTaskRunTime + startedWithin)
	}
	sim.waitForAllJobs(time.Minute)
	for _, id := range ids {
		for _, l := range allControllers {
			sim.poll(l, id)
		}
	}
}

// longestTaskRunTime is the longest run time of a task in runFaultPlan.
const longestTaskRunTime = 33 * time.Second

// countFinishedTasks returns how many tasks are done, or over with their cancelled jobs.
func (sim *simulatedCluster) countFinishedTasks() (n int) {
	sim.withLock(func() {
		for _, submitted := range sim.jobs {
			if n += len(submitted.tasksDone); submitted.finalStatus == protocol.StatusCancelled {
				n += submitted.spec.Tasks - len(submitted.tasksDone)
			}
		}
	})
	return n
}

// seedRange returns the first seed and the number of seeds to run: a few from 0 on, unless
// MICASPINDLE_FAULT_PLANS and MICASPINDLE_FAULT_PLANS_FROM say otherwise.
func seedRange(few uint64) (from, count uint64) {
	return numberFromEnvironment(faultPlansFromVariable, 0), numberFromEnvironment(faultPlansVariable, few)
}

// clusterVariant returns the set-up for a seed: a small cluster, one whose leaders delegate
// their machines, one with many machines, and one in which a controller is of a version without
// replication, delegation and cancellation notices.
func clusterVariant(seed uint64) func(sim *simulatedCluster) {
	return func(sim *simulatedCluster) {
		announceLowerLimits(sim)
		sim.cloud.Capacity, sim.jobTasksMax = 16, 4
		switch seed % 4 {
		case 1:
			configureFewSockets(sim)
			sim.jobTasksMax = 8
		case 2:
			sim.cloud.Capacity, sim.jobTasksMax = 90, 60
			sim.settings.Params.Teams = []settings.Team{{Name: "red", CPUs: 60, CPUsMax: 120}, {Name: "blue", CPUs: 60, CPUsMax: 200}, {Name: "green"}}
			sim.settings.Params.State.RPS, sim.settings.Params.State.WriteRPS = 600, 200
		case 3:
			sim.oldVersions = map[string]bool{"n1": true}
		}
	}
}

// excludedFaults returns the indexes that MICASPINDLE_FAULT_PLANS_WITHOUT lists.
func excludedFaults() []string {
	return strings.Split(environment(faultPlansWithoutVariable), ",")
}

// withoutFaults returns a plan less the faults at the listed indexes.
func withoutFaults(plan []plannedFault, drop []string) (kept []plannedFault) {
	for i, m := range plan {
		if !slices.Contains(drop, strconv.Itoa(i)) {
			kept = append(kept, m)
		}
	}
	return kept
}

// minimizePlan leaves the faults of a failing plan out one by one, as long as the test still
// fails without them; each try is a run of its own.
func minimizePlan(t *testing.T, plan []plannedFault) []plannedFault {
	t.Helper()
	var drop []string
	for i := range plan {
		try := strings.Join(append(slices.Clone(drop), strconv.Itoa(i)), ",")
		cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^"+strings.ReplaceAll(t.Name(), "/", "$/^")+"$")
		cmd.Env = append(os.Environ(), faultPlansWithoutVariable+"="+try, faultPlansMinimizeVariable+"=")
		if cmd.Run() != nil {
			drop = strings.Split(try, ",")
		}
	}
	return withoutFaults(plan, drop)
}

// Random plans of overlapping faults, drawn from a seed, while jobs are submitted, run and are
// cancelled. A plan that fails is printed as rows; with MICASPINDLE_FAULT_PLANS_MINIMIZE set,
// without the rows that it fails without.
func TestRandomConcurrentFaults(t *testing.T) {
	t.Parallel()
	from, count := seedRange(12)
	for seed := from; seed < from+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			plan := withoutFaults(drawFaultPlan(seed), excludedFaults())
			runConfiguredSimulation(t, 20_000+seed, clusterVariant(seed), func(sim *simulatedCluster) { runFaultPlan(sim, seed, plan) })
			if t.Failed() {
				if environment(faultPlansMinimizeVariable) != "" {
					plan = minimizePlan(t, plan)
				}
				for _, fault := range plan {
					t.Log(fault)
				}
			}
		})
	}
}
