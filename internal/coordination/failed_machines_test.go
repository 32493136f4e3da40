package coordination

import (
	"testing"
	"time"

	"micaspindle/internal/protocol"
)

const (
	// witnessJob is a job that works all the time beside the failing one.
	witnessJob = "job-2"
	// sickTime is the time for which the only machine fails every task that it starts, from the
	// first start on.
	sickTime = 6 * time.Second
	// witnessRunTime keeps the machine in use, so that it is not returned and replaced.
	witnessRunTime = time.Hour
)

// prepareOnlyMachine limits the cloud to one machine, which fails the tasks that it starts within
// sickTime of the first start. Tasks of job-1 run 4 s, those of witnessJob witnessRunTime.
func prepareOnlyMachine(sim *simulatedCluster) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cloud.Capacity, sim.cloud.Types = 1, sim.cloud.Types[:1]
	var firstStart time.Time
	sim.taskFails = func(string, int, string) bool {
		return time.Since(firstStart) < sickTime
	}
	sim.taskRunTime = func(job string, _ int, _ string) time.Duration {
		if firstStart.IsZero() {
			firstStart = time.Now()
		}
		switch {
		case time.Since(firstStart) < sickTime:
			return time.Second
		case job == witnessJob:
			return witnessRunTime
		}
		return 4 * time.Second
	}
}

// startsOf returns the number of attempts of a job that agents have started.
func (sim *simulatedCluster) startsOf(job string) (starts int) {
	sim.withLock(func() { starts = sim.jobs[job].starts })
	return starts
}

// A machine that failed tasks of a job for seconds and works again must be tried again by the job,
// although the cloud has no other machine and other work keeps this one in use.
func TestJobsReturnToMachinesThatFailedThem(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*protocol.JobSpec){
		"array":   func(*protocol.JobSpec) {},
		"gang":    func(s *protocol.JobSpec) { s.Gang = true },
		"service": func(s *protocol.JobSpec) { s.Service, s.EstimateS, s.DeadlineS = true, 0, 0 },
		"urgent":  func(s *protocol.JobSpec) { s.Urgency = protocol.High },
		"zone":    func(s *protocol.JobSpec) { s.OneZone = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSimulation(t, 31, func(sim *simulatedCluster) {
				time.Sleep(2 * time.Second)
				prepareOnlyMachine(sim)
				failing := newJobSpec("job-1", 2, "green")
				failing.CPUs = 2
				change(failing)
				sim.submit(failing)
				for sim.startsOf("job-1") < 2 {
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(sickTime)
				before := sim.startsOf("job-1")
				over := time.Now()
				witness := newJobSpec(witnessJob, 1, "green")
				witness.CPUs = 2
				sim.submit(witness)
				for sim.startsOf("job-1") == before {
					if time.Sleep(time.Second); time.Since(over) > maxStartDelay {
						t.Errorf("no task started for %s on the only machine, which works and has room", maxStartDelay)
						break
					}
				}
				sim.cancelJob(witnessJob)
				sim.cancelJob("job-1")
			})
		})
	}
}

// An urgent job that failed on the only machine, which less urgent work then fills, must get it back:
// preemption is kept from the machine no longer than placement is. If the job fails there again, the
// other work is not preempted once more.
func TestPreemptionForJobsThatFailed(t *testing.T) {
	t.Parallel()
	for name, sickFor := range map[string]time.Duration{
		"machine works again":      sickTime,
		"job fails there for good": time.Hour,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSimulation(t, 34, func(sim *simulatedCluster) {
				time.Sleep(2 * time.Second)
				var firstStart time.Time
				sim.withLock(func() {
					sim.cloud.Capacity, sim.cloud.Types = 1, sim.cloud.Types[:1]
					sim.taskFails = func(job string, _ int, _ string) bool { return job == "job-1" && time.Since(firstStart) < sickFor }
					sim.taskRunTime = func(job string, _ int, _ string) time.Duration {
						if job == witnessJob {
							return witnessRunTime
						}
						if firstStart.IsZero() {
							firstStart = time.Now()
						}
						return time.Second
					}
				})
				service := newJobSpec(witnessJob, 1, "green")
				service.Service, service.CPUs, service.EstimateS, service.DeadlineS = true, 8, 0, 0
				service.Urgency = protocol.Low
				sim.submit(service)
				time.Sleep(20 * time.Second)
				urgent := newJobSpec("job-1", 1, "green")
				urgent.Urgency, urgent.DeadlineS = protocol.High, 0
				sim.submit(urgent)
				time.Sleep(10 * time.Minute)
				if starts := sim.startsOf("job-1"); starts < 2 {
					t.Errorf("%d attempts of the urgent job started, want at least 2", starts)
				}
				if starts := sim.startsOf(witnessJob); starts > 3 {
					t.Errorf("the service was started %d times, want at most 3: for two preemptions", starts)
				}
				sim.cancelJob(witnessJob)
				sim.cancelJob("job-1")
			})
		})
	}
}

// A machine that fails every task of a job must not get all of them again and again: after the first
// try the job tries it with one task at a time, at growing intervals.
func TestFaultyMachineIsRetriedWithSingleTasks(t *testing.T) {
	t.Parallel()
	runSimulation(t, 32, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.withLock(func() {
			sim.cloud.Capacity, sim.cloud.Types = 1, sim.cloud.Types[:1]
			sim.taskFails = func(job string, _ int, _ string) bool { return job == "job-1" }
			sim.taskRunTime = func(job string, _ int, _ string) time.Duration {
				if job == "job-1" {
					return time.Second
				}
				return witnessRunTime
			}
		})
		witness := newJobSpec(witnessJob, 1, "green")
		witness.CPUs = 2
		sim.submit(witness)
		failing := newJobSpec("job-1", 8, "green")
		failing.CPUs = 2
		sim.submit(failing)
		const watched = 10 * time.Minute
		time.Sleep(watched)
		// Three at first, beside the witness; then retries after 20 s, 40 s and each minute.
		limit := 3 + 2 + int(watched/time.Minute)
		if starts := sim.startsOf("job-1"); starts > limit || starts < limit/2 {
			t.Errorf("%d tasks started in %s on a machine that fails them all, want at most %d and at least half as many", starts, watched, limit)
		}
		if starts := sim.startsOf(witnessJob); starts != 1 {
			t.Errorf("the other job's task was started %d times, want once", starts)
		}
		sim.cancelJob(witnessJob)
		sim.cancelJob("job-1")
	})
}

// A job that fails everywhere, and a task that does in a job that works otherwise, must neither take
// machines out of use for other jobs nor be started often.
func TestFailuresOfFaultyJobsDoNotImplicateMachines(t *testing.T) {
	t.Parallel()
	wholeJob := func(job string, _ int, _ string) bool { return job == "job-1" }
	for name, test := range map[string]struct {
		fails func(job string, task int, machine string) bool
		gang  bool
		// tries is the number of tasks that may start a minute.
		tries int
	}{
		"job":  {wholeJob, false, 1},
		"task": {func(job string, task int, _ string) bool { return job == "job-1" && task == 3 }, false, 1},
		"gang": {wholeJob, true, 12},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSimulation(t, 33, func(sim *simulatedCluster) {
				time.Sleep(2 * time.Second)
				sim.withLock(func() {
					sim.taskFails = test.fails
					sim.taskRunTime = func(job string, _ int, _ string) time.Duration {
						if job == "job-1" {
							return time.Second
						}
						return witnessRunTime
					}
				})
				witness := newJobSpec(witnessJob, 12, "green")
				witness.CPUs = 2
				sim.submit(witness)
				time.Sleep(30 * time.Second)
				failing := newJobSpec("job-1", 12, "green")
				failing.CPUs, failing.Gang = 1, test.gang
				sim.submit(failing)
				time.Sleep(2 * time.Minute)
				before := sim.startsOf("job-1")
				const watched = 10 * time.Minute
				for range int(watched / time.Second) {
					time.Sleep(time.Second)
					sim.checkNoMachineAvoided()
				}
				// One try a minute, as the longest pause is that long.
				limit := test.tries * (int(watched/time.Minute) + 1)
				if starts := sim.startsOf("job-1") - before; starts > limit {
					t.Errorf("%d tasks of a job that fails everywhere started in %s, want at most %d", starts, watched, limit)
				}
				if starts := sim.startsOf(witnessJob); starts != 12 {
					t.Errorf("the other job's 12 tasks were started %d times, want once each", starts)
				}
				sim.cancelJob(witnessJob)
				sim.cancelJob("job-1")
			})
		})
	}
}

// checkNoMachineAvoided fails the test if a leader keeps new work of all jobs off a machine because
// of failures.
func (sim *simulatedCluster) checkNoMachineAvoided() {
	for _, label := range allControllers {
		process := sim.processOf(label)
		process.controller.loop.Do(func() {
			for _, machine := range process.controller.Machines {
				if machine.Quarantined || time.Now().Before(machine.AvoidUntil) {
					sim.t.Errorf("%s is quarantined (%v) or avoided because of a job that fails everywhere", machine.Name, machine.Quarantined)
				}
			}
		})
	}
}
