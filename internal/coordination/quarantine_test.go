package coordination

import (
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// A slow machine that a service keeps in use is never idle, so it is never returned. A job that fits
// nowhere else must not wait for that.
func TestSlowMachineInUseGivesWay(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, p := newLeadingController(t)
		slow, faulty := c.addMachine(p, "m-1", "small"), c.addMachine(p, "m-2", "small")
		slow.Quarantine(time.Now())
		faulty.Quarantine(time.Now())
		slow.SlowTasks = cluster.SlowTasksLimit
		job := c.addJob(newJobSpec("job-1", 1, "green"))
		place := func() (machines []string) {
			for _, machine := range c.Machines {
				machine.LastHeartbeatAt = time.Now()
			}
			c.scheduler.Place(p, time.Now())
			for _, attempt := range job.LiveAttempts {
				machines = append(machines, attempt.Machine.Name)
			}
			return machines
		}
		time.Sleep(30 * time.Second)
		if got := place(); len(got) > 0 {
			t.Errorf("task placed on %v 30 s after the quarantine, want none", got)
		}
		time.Sleep(30 * time.Second)
		if got := place(); len(got) != 1 || got[0] != "m-1" {
			t.Errorf("task placed on %v a minute after the quarantine, want the slow machine m-1", got)
		}
	})
}

// A slow machine that is still in use is returned when it is idle, although it gets work again.
func TestSlowMachineIsReturnedWhenIdle(t *testing.T) {
	t.Parallel()
	runSimulation(t, 35, func(sim *simulatedCluster) {
		time.Sleep(2 * time.Second)
		sim.withLock(func() {
			sim.cloud.Capacity, sim.cloud.Types = 1, sim.cloud.Types[:1]
			sim.taskRunTime = func(job string, _ int, _ string) time.Duration {
				if job == witnessJob {
					return 3 * time.Minute
				}
				return 4 * time.Second
			}
		})
		witness := newJobSpec(witnessJob, 1, "green")
		witness.DeadlineS = 600
		sim.submit(witness)
		time.Sleep(20 * time.Second)
		leader := sim.leaderOf(sim.partitionOf("green"))
		var name string
		sim.onController(leader, func(c *Controller) {
			for _, machine := range c.Machines {
				machine.SlowTasks, name = cluster.SlowTasksLimit, machine.Name
				machine.Quarantine(time.Now())
			}
		})
		submittedAt := time.Now()
		sim.submit(newJobSpec("job-1", 1, "green"))
		for sim.startsOf("job-1") == 0 {
			if time.Sleep(time.Second); time.Since(submittedAt) > maxStartDelay {
				t.Errorf("no task started for %s on the only machine, which is slow and has room", maxStartDelay)
				break
			}
		}
		time.Sleep(3 * time.Minute)
		sim.withLock(func() {
			if sim.agents[name] != nil {
				t.Errorf("%s is slow and idle, and was not returned", name)
			}
		})
	})
}

// A leader that finds a machine faulty may end before it has stopped the attempts there. Its
// successor stops them, or a service would keep the machine from being returned and replaced.
func TestSuccessorDrainsFaultyMachines(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		p, machine := c.leadFirstPartition(5)
		job := c.addLoadedJob("job-1")
		attempt := addLiveAttempt(job, machine, 2, cluster.AttemptConfirmed)
		heartbeat := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 2, Sequence: 1, Token: 5,
			Tasks: []protocol.TaskReport{{Task: attempt.TaskName(), Attempt: attempt.Number, State: protocol.TaskRunning}}}
		if status := c.agents.HandleHeartbeat(heartbeat, protocol.Encode(heartbeat)).Status; status != 200 {
			t.Fatalf("the first heartbeat was answered with status %d, want 200", status)
		}
		c.replicator.ApplyHints(p, &replication.ReceivedUpdates{Machines: map[string]replication.MachineHints{"m-1": {MachineHint: &peer.MachineHint{Quarantined: true}}}}, time.Now())
		c.agents.CheckMachines(time.Now())
		if !machine.QuarantinedAsFaulty() || !attempt.Stopping {
			t.Errorf("machine quarantined as faulty: %v, its attempt stopping: %v, want both", machine.QuarantinedAsFaulty(), attempt.Stopping)
		}
	})
}

// What a controller has learned of failures while it led a partition is outdated when it leads the
// partition again: it must neither hold back jobs nor exclude machines for it.
func TestFailuresAreForgottenWithTheLease(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, p := newLeadingController(t)
		now := time.Now()
		machine, other := c.addMachine(p, "m-1", "small"), c.addMachine(p, "m-2", "small")
		job := c.addJob(newJobSpec("job-1", 2, "green"))
		for _, failed := range []*cluster.Machine{machine, other} {
			job.RecordFailure(&cluster.Attempt{Job: job, Machine: failed}, now)
			failed.RecordFailedJob("job-1", now)
			failed.SlowTasks = 1
			failed.Avoid(now.Add(time.Minute), now)
			failed.Quarantine(now)
		}
		if !job.BackoffUntil.After(now) {
			t.Fatal("the job is not held back after failures on two machines")
		}
		c.leases.ClearLeaderState(p)
		for _, m := range []*cluster.Machine{machine, other} {
			if m.Quarantined || m.SlowTasks > 0 || len(m.FailedJobs) > 0 || m.AvoidUntil.After(now) {
				t.Errorf("%s after the loss of the lease: quarantined %v, %d slow tasks, %d failed jobs, avoided until %s, want none",
					m.Name, m.Quarantined, m.SlowTasks, len(m.FailedJobs), m.AvoidUntil)
			}
		}
		if job.BackoffUntil.After(now) || job.Failures > 0 || len(job.FailedMachines)+len(job.FailedTasks) > 0 {
			t.Errorf("job after the loss of the lease: held back until %s, %d failures, %d failed machines, %d failed tasks, want none",
				job.BackoffUntil, job.Failures, len(job.FailedMachines), len(job.FailedTasks))
		}
		c.replicator.ApplyHints(p, &replication.ReceivedUpdates{Machines: map[string]replication.MachineHints{
			"m-2": {MachineHint: &peer.MachineHint{Quarantined: true, SlowTasks: cluster.SlowTasksLimit}}}}, now)
		if machine.Quarantined || !other.QuarantinedAsSlow() {
			t.Errorf("m-1 quarantined: %v, m-2 quarantined as slow: %v, want only m-2, as the former leader found", machine.Quarantined, other.QuarantinedAsSlow())
		}
	})
}

// A service's task that ends without an error shows that its machine works, as any other task does.
func TestDoneTasksOfServicesShowThatMachinesWork(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c, end := newIdleController(t)
		defer end()
		_, machine := c.leadFirstPartition(5)
		job := c.addLoadedJob("job-1")
		job.Spec.Service = true
		attempt := addLiveAttempt(job, machine, 2, cluster.AttemptConfirmed)
		attempt.PlacedAt = time.Now()
		machine.RecordFailedJob("job-2", time.Now())
		heartbeat := &protocol.Heartbeat{Machine: "m-1", Addr: "m-1:1", Epoch: 2, Sequence: 1, Token: 5,
			Tasks: []protocol.TaskReport{{Task: attempt.TaskName(), Attempt: attempt.Number, State: protocol.TaskEnded, Cause: protocol.CauseDone}}}
		if status := c.agents.HandleHeartbeat(heartbeat, protocol.Encode(heartbeat)).Status; status != 200 {
			t.Fatalf("the heartbeat was answered with status %d, want 200", status)
		}
		if len(machine.FailedJobs) > 0 || !machine.SoundAt.Equal(attempt.PlacedAt) {
			t.Errorf("%d failed jobs counted against the machine, sound at %s, want none and %s", len(machine.FailedJobs), machine.SoundAt, attempt.PlacedAt)
		}
	})
}
