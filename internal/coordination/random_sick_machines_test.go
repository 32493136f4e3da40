package coordination

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Jobs fail on machines that are sick for a while, with leaders that crash in between. Services keep
// all machines in use, so that none is returned and replaced, and the cloud has no more of them.
// After that no job waits for longer than maxStartDelay beside room.
func TestRandomSickMachinesInUse(t *testing.T) {
	t.Parallel()
	from, count := seedRange(10)
	for seed := from; seed < from+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSimulation(t, 40+seed, func(sim *simulatedCluster) {
				rng := rand.New(rand.NewPCG(seed, 81))
				time.Sleep(2 * time.Second)
				sim.withLock(func() {
					sim.cloud.Capacity, sim.cloud.Types = 1+rng.IntN(3), sim.cloud.Types[:1]
					sim.taskRunTime = func(job string, _ int, _ string) time.Duration {
						if sim.jobs[job].spec.Service {
							return witnessRunTime
						}
						return time.Duration(1+sim.rng.IntN(8)) * time.Second
					}
				})
				runServicesOnAllMachines(sim)
				submitWhileSick(sim, rng)
				sim.checkLiveness()
				for _, id := range sim.acceptedJobs() {
					sim.cancelJob(id)
				}
			})
		})
	}
}

// runServicesOnAllMachines rents all machines that the cloud has and fills half of each with services.
func runServicesOnAllMachines(sim *simulatedCluster) {
	for i := range sim.cloud.Capacity {
		service := newJobSpec(fmt.Sprintf("job-%d", 100+i), 1, "green")
		service.Service, service.EstimateS, service.DeadlineS = true, 0, 0
		service.MemGB = 17 // more than half of a machine's, so that each service has a machine of its own
		sim.submit(service)
	}
	time.Sleep(time.Minute)
}

// submitWhileSick submits jobs of different kinds while random machines are sick and controllers
// crash, and returns when the faults are over.
func submitWhileSick(sim *simulatedCluster, rng *rand.Rand) {
	for i := range 12 {
		spec := newJobSpec(fmt.Sprintf("job-%d", i), 1+rng.IntN(4), "green")
		spec.CPUs, spec.DeadlineS = float64(1+rng.IntN(2)), 600
		switch rng.IntN(5) {
		case 0:
			spec.Gang = true
		case 1:
			spec.OneZone = true
		case 2:
			spec.Zone = []string{"a", "b"}[rng.IntN(2)]
		}
		sim.submit(spec)
		fault := plannedFault{Kind: faultSickMachines, Arg: rng.IntN(1000), Share: 2 * rng.Float64(), For: time.Duration(1+rng.IntN(15)) * time.Second}
		if rng.IntN(6) == 0 {
			fault.Kind = faultCrash
		}
		sim.inject(fault)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Second)
	}
}
