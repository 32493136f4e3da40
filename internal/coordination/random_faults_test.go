package coordination

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// Random faults violate no safety rule, and all jobs end: controllers are killed, messages are
// lost or late, the state store goes down and machines hang.
func TestSafetyUnderRandomFaults(t *testing.T) {
	t.Parallel()
	seeds := 6
	if testing.Short() {
		seeds = 2
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runConfiguredSimulation(t, uint64(100+seed), announceLowerLimits, runRandomFaults)
		})
	}
}

// announceLowerLimits announces lower limits of the state store that come into force later.
func announceLowerLimits(sim *simulatedCluster) {
	writes, kb, ops := 40.0, 2.0, 5
	sim.settings.Params.State.Next = settings.AnnouncedLimits{WriteRPS: &writes, ValueKB: &kb, TxnOps: &ops}
}

// Random faults violate no safety rule in a cluster with hundreds of machines and jobs of up to a
// hundred tasks, and all jobs end.
func TestSafetyUnderRandomFaultsInALargeFleet(t *testing.T) {
	t.Parallel()
	prepare := func(sim *simulatedCluster) {
		sim.cloud.Capacity, sim.jobTasksMax = 250, 100
		sim.cloud.Types = sim.cloud.Types[:1]
		sim.settings.Params.Teams = []settings.Team{{Name: "red", CPUs: 160, CPUsMax: 320}, {Name: "blue", CPUs: 160, CPUsMax: 640}, {Name: "green"}}
		sim.settings.Params.State.RPS, sim.settings.Params.State.WriteRPS = 600, 200
	}
	runConfiguredSimulation(t, 200, prepare, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.submit(newJobSpec("job-1000", 600, "green"))
		runRandomFaults(sim)
		if sim.cloud.CreatedTotal < 200 {
			t.Errorf("only %d machines were launched, want at least 200", sim.cloud.CreatedTotal)
		}
	})
}

// runRandomFaults injects random faults while jobs are submitted, polled and cancelled.
func runRandomFaults(sim *simulatedCluster) {
	time.Sleep(2 * time.Second)
	sim.mu.Lock()
	sim.messageFaultRate = 0.03
	sim.taskRunTime = func(job string, task int, _ string) time.Duration {
		return time.Duration(3+(len(job)*7+task*5)%15) * time.Second
	}
	sim.mu.Unlock()
	randomInt := sim.randomInt
	next := 0
	for round := range 60 {
		if round == 30 {
			// The announced limits come into force.
			limit := sim.settings.Params.State.Lower().WriteRPS
			sim.withLock(func() { sim.state.WriteLimiter = rate.NewLimiter(rate.Limit(limit), int(limit)) })
		}
		time.Sleep(time.Duration(500+randomInt(3000)) * time.Millisecond)
		switch randomInt(8) {
		case 0, 1, 2:
			s := newJobSpec(fmt.Sprintf("job-%d", next), 1+randomInt(sim.jobTasksMax), allTeams[randomInt(3)])
			s.Spread, s.OneZone = randomInt(4) == 0, randomInt(6) == 0
			s.Urgency = protocol.Urgency(randomInt(4))
			// Some jobs depend on earlier jobs, which may be in any state.
			for range randomInt(3) {
				if id := fmt.Sprintf("job-%d", max(0, next-1-randomInt(6))); next > 0 && !slices.Contains(s.Dependencies, id) {
					s.Dependencies = append(s.Dependencies, id)
				}
			}
			next++
			sim.submit(s)
		case 3:
			label := fmt.Sprintf("n%d", randomInt(3))
			if sim.processOf(label) != nil {
				sim.killController(label)
				time.Sleep(time.Duration(randomInt(6000)) * time.Millisecond)
				sim.startController(label)
			}
		case 4:
			sim.setOutage(true)
			time.Sleep(time.Duration(randomInt(9000)) * time.Millisecond)
			sim.setOutage(false)
		case 5:
			// A machine hangs for less or more than its lease.
			sim.mu.Lock()
			var last *agent.Agent
			for _, agent := range sim.agents {
				last = agent
			}
			if last != nil {
				sim.hang(last, time.Duration(2000+sim.rng.IntN(12000))*time.Millisecond)
			}
			sim.mu.Unlock()
		case 6:
			if next > 0 {
				sim.cancelJob(fmt.Sprintf("job-%d", randomInt(next)))
			}
		case 7:
			if next > 0 {
				sim.poll(fmt.Sprintf("n%d", randomInt(3)), fmt.Sprintf("job-%d", randomInt(next)))
			}
		}
	}
	sim.setMessageFaultRate(0)
	sim.waitForAllJobs(6 * time.Minute)
}
