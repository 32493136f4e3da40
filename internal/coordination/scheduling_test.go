package coordination

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

func TestPlacementConstraintsHold(t *testing.T) {
	t.Parallel()
	runSimulation(t, 2, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		// First boot a machine that is free but that the constraints exclude: spot, small, zone a.
		sim.taskRunTime = func(string, int, string) time.Duration { return 30 * time.Second }
		first := newJobSpec("job-9", 1, "blue")
		first.CPUs, first.Zone = 1, "a"
		sim.submit(first)
		time.Sleep(10 * time.Second)
		a := newJobSpec("job-1", 6, "blue")
		a.Zone, a.Spot = "b", false
		b := newJobSpec("job-2", 4, "blue")
		b.Types = []string{"big"}
		e := newJobSpec("job-5", 1, "blue")
		e.Spot, e.CPUs = false, 1
		sim.submit(e)
		c := newJobSpec("job-3", 5, "green")
		c.Spread = true
		d := newJobSpec("job-4", 5, "green")
		d.OneZone = true
		for _, s := range []*protocol.JobSpec{a, b, c, d} {
			sim.submit(s)
		}
		sim.waitForAllJobs(4 * time.Minute)
	})
}

func TestTeamQuotaHoldsThroughFailover(t *testing.T) {
	t.Parallel()
	runSimulation(t, 3, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		// The quota of 32 CPUs allows 8 of 24 tasks at a time.
		sim.submit(newJobSpec("job-1", 24, "red"))
		sim.killController("n0")
		time.Sleep(10 * time.Second)
		sim.startController("n0")
		sim.waitForAllJobs(4 * time.Minute)
	})
}

// A scale-out whose response was lost is repeated under the same request name, so that no
// machine is rented twice. Machines without a record are adopted.
func TestScaleOutRetriesAreIdempotent(t *testing.T) {
	t.Parallel()
	runSimulation(t, 16, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		// Only responses to scale-outs are lost: after other losses more machines may be needed.
		var lost atomic.Int32
		sim.mu.Lock()
		sim.onResponse = func(_, host, target string, _ []byte, _ *transport.Response) bool {
			if host != "cloud" || target != "/machines" {
				return false
			}
			return lost.Add(1) <= 3
		}
		sim.mu.Unlock()
		sim.submit(newJobSpec("job-1", 2, "blue"))
		time.Sleep(40 * time.Second)
		sim.mu.Lock()
		if lost.Load() < 3 || sim.cloud.CreatedTotal > 2 {
			t.Errorf("%d machines rented for two tasks, want at most 2; %d responses lost, want at least 3", sim.cloud.CreatedTotal, lost.Load())
		}
		sim.mu.Unlock()
		sim.waitForAllJobs(2 * time.Minute)
	})
}

// A job that fails on every machine is retried with a backoff, so that it causes few task
// starts and few new machines. A machine on which different jobs fail is deleted.
func TestFailingJobsBackOffAndFaultyMachinesAreReplaced(t *testing.T) {
	t.Parallel()
	runSimulation(t, 10, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.withLock(func() { sim.taskFails = func(job string, _ int, _ string) bool { return job == "job-13" } })
		sim.submit(newJobSpec("job-13", 2, "red"))
		sim.submit(newJobSpec("job-2", 4, "blue"))
		time.Sleep(2 * time.Minute)
		sim.mu.Lock()
		starts := 0
		for _, agent := range sim.agents {
			starts += agent.TasksStarted
		}
		rented := sim.cloud.CreatedTotal
		sim.mu.Unlock()
		if rented > 10 || starts > 40 {
			t.Errorf("%d machines rented and %d tasks started for a job that always fails, want at most 10 and 40", rented, starts)
		}
		sim.cancelJob("job-13")

		var faulty string
		sim.mu.Lock()
		sim.taskFails = func(_ string, _ int, machine string) bool {
			if faulty == "" {
				faulty = machine
			}
			return machine == faulty
		}
		sim.mu.Unlock()
		for i := range 6 {
			sim.submit(newJobSpec(fmt.Sprintf("job-10%d", i), 4, "green"))
		}
		sim.waitForAllJobs(4 * time.Minute)
		time.Sleep(20 * time.Second)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		if faulty != "" && sim.agents[faulty] != nil && sim.agents[faulty].TasksStarted > 8 {
			t.Errorf("%s, on which every task fails, was given %d tasks and was not deleted", faulty, sim.agents[faulty].TasksStarted)
		}
	})
}

// Late jobs queue behind jobs that can still meet their deadlines, because those would otherwise be
// late, too. A job that has waited very long must not starve: it is first in the queue a quarter of
// the time.
func TestLateJobsQueueBehindJobsInTime(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		if got, want := queueOrderWithLateJobs(t), "urgent-late starving sooner in-time a-little-late late"; got != want {
			t.Errorf("queue order at a whole minute: %s, want %s", got, want)
		}
		time.Sleep(time.Second)
		if got, want := queueOrderWithLateJobs(t), "urgent-late sooner in-time a-little-late starving late"; got != want {
			t.Errorf("queue order a second after a whole minute: %s, want %s", got, want)
		}
	})
}

// queueOrderWithLateJobs returns the queue order of jobs that are late, starving or in time.
func queueOrderWithLateJobs(t *testing.T) string {
	t.Helper()
	set := newSimulatedCluster(t, 1).settings
	set.Label = "n0"
	c := New(t.Context(), &set, settings.DefaultOperator(), nil, nil)
	now := time.Now()
	add := func(id string, age, deadline float64, urgency protocol.Urgency) {
		s := newJobSpec(id, 1, "red") // runs 6 s
		s.DeadlineS, s.Urgency = deadline, urgency
		j := &cluster.Job{Spec: s, SubmittedAt: now.Add(-settings.Seconds(age))}
		j.InitRunState()
		c.Jobs[id] = j
	}
	add("late", 30, 20, protocol.Standard)          // done at 36 s, deadline 20 s
	add("a-little-late", 20, 20, protocol.Standard) // done at 26 s, within 1.5 times the deadline
	add("in-time", 1, 60, protocol.Standard)
	add("sooner", 1, 20, protocol.Standard)
	add("starving", 200, 20, protocol.Standard)
	add("urgent-late", 50, 20, protocol.High)
	var got []string
	for _, j := range c.scheduler.Queue(c.Partitions[0]) {
		got = append(got, j.Spec.ID)
	}
	return strings.Join(got, " ")
}

func TestUrgentJobsPreemptLowerUrgency(t *testing.T) {
	t.Parallel()
	runSimulation(t, 17, func(sim *simulatedCluster) {
		sim.mu.Lock()
		sim.cloud.Capacity = 1
		sim.cloud.Types = sim.cloud.Types[:1]
		sim.mu.Unlock()
		time.Sleep(2 * time.Second)
		sim.mu.Lock()
		sim.taskRunTime = func(job string, _ int, _ string) time.Duration {
			if job == "job-1" {
				return time.Hour
			}
			return 5 * time.Second
		}
		sim.mu.Unlock()
		low := newJobSpec("job-1", 2, "blue") // fills the only machine
		low.Service, low.EstimateS, low.DeadlineS = true, 0, 0
		sim.submit(low)
		time.Sleep(20 * time.Second)
		same := newJobSpec("job-2", 1, "blue")
		same.DeadlineS = 30
		sim.submit(same)
		time.Sleep(40 * time.Second)
		if st := sim.poll("", "job-2"); st != protocol.StatusQueued {
			t.Errorf("a job of the same urgency is %q, want queued", st)
		}
		high := newJobSpec("job-3", 1, "blue")
		high.Urgency, high.DeadlineS = protocol.High, 30
		sim.submit(high)
		time.Sleep(40 * time.Second)
		if st := sim.poll("", "job-3"); st != protocol.StatusDone {
			t.Errorf("the urgent job is %q, want done", st)
		}
		sim.cancelJob("job-1")
		sim.waitForAllJobs(2 * time.Minute)
	})
}

// A slow machine is detected by comparison with others of its type. A job whose estimate is wrong
// on all machines must not cause the quarantine of any machine.
func TestSlowMachineIsQuarantined(t *testing.T) {
	t.Parallel()
	for _, slow := range []bool{true, false} {
		t.Run(fmt.Sprint("slow ", slow), func(t *testing.T) {
			t.Parallel()
			runSimulation(t, 18, func(sim *simulatedCluster) {
				time.Sleep(2 * time.Second)
				sim.mu.Lock()
				sim.taskRunTime = func(_ string, _ int, machine string) time.Duration {
					if slow && machine == "m-000000" {
						return 60 * time.Second
					}
					return 12 * time.Second // twice the estimate
				}
				sim.mu.Unlock()
				for i := range 4 {
					s := newJobSpec(fmt.Sprintf("job-%d", i), 16, "green")
					s.DeadlineS = 600
					sim.submit(s)
				}
				quarantined := map[string]bool{}
				for range 300 {
					time.Sleep(time.Second)
					for _, label := range allControllers {
						n := sim.processOf(label)
						n.controller.loop.Do(func() {
							for _, m := range n.controller.Machines {
								if m.Quarantined {
									quarantined[m.Name] = true
								}
							}
						})
					}
				}
				if len(quarantined) > 1 || quarantined["m-000000"] != slow {
					t.Errorf("machines quarantined: %v, want only m-000000, and only if it is slow", quarantined)
				}
				sim.waitForAllJobs(5 * time.Minute)
			})
		})
	}
}

// The tasks of a gang start together or not at all, and restart together.
func TestGangStartsTogether(t *testing.T) {
	t.Parallel()
	runSimulation(t, 21, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.mu.Lock()
		sim.cloud.Capacity = 3 // room for six tasks of 4 CPUs on small machines
		sim.cloud.Types = sim.cloud.Types[:1]
		sim.taskRunTime = func(string, int, string) time.Duration { return 10 * time.Second }
		sim.mu.Unlock()
		gang := newJobSpec("job-1", 5, "blue")
		gang.Gang = true
		sim.submit(gang)
		maxRunning := 0
		for range 400 {
			time.Sleep(100 * time.Millisecond)
			sim.mu.Lock()
			running := 0
			for _, agent := range sim.agents {
				running += len(agent.Tasks)
			}
			sim.mu.Unlock()
			if running > 0 && running < 5 && maxRunning < 5 {
				time.Sleep(50 * time.Millisecond) // the commands go to several machines and do not all arrive at once
				sim.mu.Lock()
				running = 0
				for _, agent := range sim.agents {
					running += len(agent.Tasks)
				}
				sim.mu.Unlock()
				if running < 5 {
					t.Fatalf("only %d of the gang's 5 tasks run", running)
				}
			}
			maxRunning = max(maxRunning, running)
			// All tasks of a gang have the same attempt number.
			numbers := map[uint64]bool{}
			sim.mu.Lock()
			for _, agent := range sim.agents {
				for _, task := range agent.Tasks {
					numbers[task.Attempt] = true
				}
			}
			sim.mu.Unlock()
			if len(numbers) > 1 {
				t.Fatalf("tasks of a gang have different attempt numbers: %v", numbers)
			}
		}
		sim.waitForAllJobs(2 * time.Minute)
		tooLarge := newJobSpec("job-2", 9, "green") // more tasks than the machines have room for
		tooLarge.Gang = true
		sim.submit(tooLarge)
		time.Sleep(time.Minute)
		if st := sim.poll("", "job-2"); st != protocol.StatusQueued {
			t.Errorf("a gang that lacks capacity is %q, want queued", st)
		}
		sim.cancelJob("job-2")
		sim.waitForAllJobs(time.Minute)
	})
}
