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

// drawFaultPlan draws five groups of two to four faults that overlap.
func drawFaultPlan(seed uint64) (plan []plannedFault) {
	rng := rand.New(rand.NewPCG(seed, 77))
	for group := range 5 {
		at := time.Duration(10+group*22)*time.Second + time.Duration(rng.IntN(8000))*time.Millisecond
		for range 2 + rng.IntN(3) {
			fault := plannedFault{Kind: faultKinds[rng.IntN(len(faultKinds))], At: at + time.Duration(rng.IntN(4000))*time.Millisecond,
				Arg: rng.IntN(1000), Share: 0.1 + 0.6*rng.Float64(), OnWrite: faultTriggers[rng.IntN(len(faultTriggers))]}
			fault.For = time.Duration(500+rng.IntN(15_000)) * time.Millisecond
			if rng.IntN(5) == 0 {
				fault.For *= 2
			}
			plan = append(plan, fault)
		}
	}
	plan = addSickMachines(addCopiedCommands(plan, seed), seed)
	slices.SortStableFunc(plan, func(a, b plannedFault) int { return int(a.At - b.At) })
	return plan
}

// addCopiedCommands adds spells of copied commands to about half of the groups of a plan.
func addCopiedCommands(plan []plannedFault, seed uint64) []plannedFault {
	rng := rand.New(rand.NewPCG(seed, 79))
	for group := range 5 {
		if rng.IntN(2) == 0 {
			continue
		}
		at := time.Duration(5+group*22)*time.Second + time.Duration(rng.IntN(12_000))*time.Millisecond
		plan = append(plan, plannedFault{Kind: faultCopiedCommands, At: at, For: time.Duration(3000+rng.IntN(20_000)) * time.Millisecond,
			Arg: rng.IntN(1000), Share: 0.3 + 0.7*rng.Float64()})
	}
	return plan
}

// addSickMachines adds spells in which machines fail every task to about a third of the groups of a
// plan.
func addSickMachines(plan []plannedFault, seed uint64) []plannedFault {
	rng := rand.New(rand.NewPCG(seed, 80))
	for group := range 5 {
		if rng.IntN(3) > 0 {
			continue
		}
		at := time.Duration(5+group*22)*time.Second + time.Duration(rng.IntN(12_000))*time.Millisecond
		plan = append(plan, plannedFault{Kind: faultSickMachines, At: at, For: time.Duration(3000+rng.IntN(20_000)) * time.Millisecond,
			Arg: rng.IntN(1000), Share: 0.1 + 0.7*rng.Float64()})
	}
	return plan
}

// runFaultPlan injects a plan's faults while users submit, poll and cancel jobs.
func runFaultPlan(sim *simulatedCluster, seed uint64, plan []plannedFault) {
	rng := rand.New(rand.NewPCG(seed, 78))
	time.Sleep(2 * time.Second)
	sim.withLock(func() {
		sim.writes.observe(sim)
		sim.taskRunTime = func(job string, task int, _ string) time.Duration {
			return time.Duration(3+(len(job)*7+task*5+int(job[len(job)-1]))%30) * time.Second
		}
	})
	start := time.Now()
	finished := make(chan struct{}, len(plan))
	for _, fault := range plan {
		sim.group.Go(func() {
			defer func() { finished <- struct{}{} }()
			sim.injectAtTrigger(fault, start, 5*time.Second)
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
		firstController := rng.IntN(3)
		cancel := rng.IntN(4) == 0
		cancelAfter := time.Duration(rng.IntN(9000)) * time.Millisecond
		ids = append(ids, s.ID)
		sim.withLock(func() { sim.jobs[s.ID] = newSubmittedJob(s) })
		sim.group.Go(func() {
			sim.submitUntilAccepted(s, firstController)
			if cancel {
				time.Sleep(cancelAfter)
				sim.cancelUntilAnswered(s.ID, firstController+1)
			}
		})
	}
	for range plan {
		<-finished
	}
	sim.withLock(func() {
		sim.lateTransactionRate, sim.duplicatedHeartbeatRate, sim.messageFaultRate, sim.cancelAtEnd, sim.delayedCommands, sim.linkDelayMax, sim.copiedCommands = 0, 0, 0, nil, nil, 0, nil
	})
	// Tasks may wait long, for example because of a team's quota, but some must end in each
	// interval until all have ended.
	for ended := -1; ; {
		done := sim.countFinishedTasks()
		if done == ended {
			break
		}
		ended = done
		time.Sleep(longestTaskRunTime + maxStartDelay)
	}
	sim.waitForAllJobs(time.Minute)
	for _, id := range ids {
		for _, l := range allControllers {
			sim.poll(l, id)
		}
	}
}

// longestTaskRunTime is the maximum run time of tasks in runFaultPlan.
const longestTaskRunTime = 33 * time.Second

// countFinishedTasks returns the number of tasks that are done or were cancelled with their job.
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

// regressionSeeds are the seeds of plans that have broken a rule.
var regressionSeeds = []uint64{
	7700125, // an answer of a new leader was lost, and a task ran twice (review case 4)
}

// faultPlanSeeds returns the seeds to run: by default the first defaultCount ones and regressionSeeds.
func faultPlanSeeds(defaultCount uint64) (seeds []uint64) {
	from, count := seedRange(defaultCount)
	for seed := from; seed < from+count; seed++ {
		seeds = append(seeds, seed)
	}
	if environment(faultPlansVariable) == "" && environment(faultPlansFromVariable) == "" {
		seeds = append(seeds, regressionSeeds...)
	}
	return seeds
}

// seedRange returns the first seed and the number of seeds to run: defaultCount seeds from 0 on,
// unless MICASPINDLE_FAULT_PLANS_FROM and MICASPINDLE_FAULT_PLANS set them.
func seedRange(defaultCount uint64) (from, count uint64) {
	return numberFromEnvironment(faultPlansFromVariable, 0), numberFromEnvironment(faultPlansVariable, defaultCount)
}

// clusterVariant returns a function that configures one of four clusters, selected by the seed: a
// small one, one whose leaders delegate their machines, one with many machines, and one with a
// controller of a version without replication, delegation and cancellation notices.
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
			sim.controllersOfOldVersion = map[string]bool{"n1": true}
		}
	}
}

// excludedFaults returns the indexes of faults that MICASPINDLE_FAULT_PLANS_WITHOUT lists.
func excludedFaults() []string {
	return strings.Split(environment(faultPlansWithoutVariable), ",")
}

// withoutFaults returns a plan without the faults at the excluded indexes.
func withoutFaults(plan []plannedFault, excluded []string) (kept []plannedFault) {
	for i, fault := range plan {
		if !slices.Contains(excluded, strconv.Itoa(i)) {
			kept = append(kept, fault)
		}
	}
	return kept
}

// minimizePlan returns a failing plan without the faults that are not necessary for the failure.
// For each fault, it runs the test without that fault in a new process.
func minimizePlan(t *testing.T, plan []plannedFault) []plannedFault {
	t.Helper()
	var excluded []string
	for i := range plan {
		candidate := strings.Join(append(slices.Clone(excluded), strconv.Itoa(i)), ",")
		cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^"+strings.ReplaceAll(t.Name(), "/", "$/^")+"$")
		cmd.Env = append(os.Environ(), faultPlansWithoutVariable+"="+candidate, faultPlansMinimizeVariable+"=")
		if cmd.Run() != nil {
			excluded = strings.Split(candidate, ",")
		}
	}
	return withoutFaults(plan, excluded)
}

// Random plans of overlapping faults violate no safety rule while jobs are submitted and cancelled,
// and all jobs end. A failing plan is printed, one fault per line; with
// MICASPINDLE_FAULT_PLANS_MINIMIZE set, the plan is first reduced to the faults that are necessary
// for the failure.
func TestRandomConcurrentFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range faultPlanSeeds(12) {
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
