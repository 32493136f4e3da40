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

// Random faults: controllers are killed, messages are lost, late or duplicated, the state store
// goes down, machines hang and vanish; no safety rule may be violated and every job must end.
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

// announceLowerLimits announces lower limits of the state store, which come into force later.
func announceLowerLimits(sim *simulatedCluster) {
	writes, kb, ops := 40.0, 2.0, 5
	sim.settings.Params.State.Next = settings.AnnouncedLimits{WriteRPS: &writes, ValueKB: &kb, TxnOps: &ops}
}

// The same with hundreds of machines and jobs of up to a hundred tasks.
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
		if sim.cloud.Rented < 200 {
			t.Errorf("only %d machines were used", sim.cloud.Rented)
		}
	})
}

// runRandomFaults injects random faults while jobs are submitted, polled and cancelled.
func runRandomFaults(sim *simulatedCluster) {
	time.Sleep(2 * time.Second)
	sim.mu.Lock()
	sim.messageFaultRate = 0.03
	sim.runTime = func(job string, task int, _ string) time.Duration {
		return time.Duration(3+(len(job)*7+task*5)%15) * time.Second
	}
	sim.mu.Unlock()
	dice := sim.randomInt
	next := 0
	for round := range 60 {
		if round == 30 {
			// The announced limits come into force.
			limit := sim.settings.Params.State.Lower().WriteRPS
			sim.withLock(func() { sim.state.Writes = rate.NewLimiter(rate.Limit(limit), int(limit)) })
		}
		time.Sleep(time.Duration(500+dice(3000)) * time.Millisecond)
		switch dice(8) {
		case 0, 1, 2:
			s := newJobSpec(fmt.Sprintf("job-%d", next), 1+dice(sim.jobTasksMax), allTeams[dice(3)])
			s.Spread, s.OneZone = dice(4) == 0, dice(6) == 0
			s.Urgency = protocol.Urgency(dice(4))
			// Some jobs depend on earlier ones, in whatever state those are.
			for range dice(3) {
				if id := fmt.Sprintf("job-%d", max(0, next-1-dice(6))); next > 0 && !slices.Contains(s.Dependencies, id) {
					s.Dependencies = append(s.Dependencies, id)
				}
			}
			next++
			sim.submit(s)
		case 3:
			label := fmt.Sprintf("n%d", dice(3))
			if sim.processOf(label) != nil {
				sim.killController(label)
				time.Sleep(time.Duration(dice(6000)) * time.Millisecond)
				sim.startController(label)
			}
		case 4:
			sim.setOutage(true)
			time.Sleep(time.Duration(dice(9000)) * time.Millisecond)
			sim.setOutage(false)
		case 5:
			// A machine hangs, for less or more than its lease.
			sim.mu.Lock()
			var last *agent.Agent
			for _, agent := range sim.workers {
				last = agent
			}
			if last != nil {
				sim.hang(last, time.Duration(2000+sim.rng.IntN(12000))*time.Millisecond)
			}
			sim.mu.Unlock()
		case 6:
			if next > 0 {
				sim.cancelJob(fmt.Sprintf("job-%d", dice(next)))
			}
		case 7:
			if next > 0 {
				sim.poll(fmt.Sprintf("n%d", dice(3)), fmt.Sprintf("job-%d", dice(next)))
			}
		}
	}
	sim.setMessageFaultRate(0)
	sim.waitForAllJobs(6 * time.Minute)
}
