package coordination

import (
	"strings"
	"testing"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// In a backlog, ordering by deadline alone could make every job late. Therefore the largest job is
// last in the queue.
func TestBacklogQueuesTheLargestJobLast(t *testing.T) {
	t.Parallel()
	c, p := newLeadingController(t)
	c.addMachine(p, "m-1", "big") // 8 tasks at a time, 6 s each
	large, small := newJobSpec("job-1", 24, "green"), newJobSpec("job-2", 8, "green")
	large.DeadlineS, small.DeadlineS = 20, 21
	c.addJob(large)
	c.addJob(small)
	var got []string
	for _, j := range c.scheduler.Queue(p) {
		got = append(got, j.Spec.ID)
	}
	if strings.Join(got, " ") != "job-2 job-1" {
		t.Errorf("queue order %v, want job-2 first: 24 s of work cannot finish in 21 s", got)
	}
	c.addMachine(p, "m-2", "big")
	p.QueueOrder = nil
	if first := c.scheduler.Queue(p)[0].Spec.ID; first != "job-1" {
		t.Errorf("%s goes first, want job-1: both jobs can meet their deadlines", first)
	}
}

// While machines of other types are free, small tasks must not fill the machines that waiting large
// tasks need.
func TestScarceMachineTypesAreLeftToJobsThatNeedThem(t *testing.T) {
	t.Parallel()
	c, p := newLeadingController(t)
	small, big := c.addMachine(p, "m-1", "small"), c.addMachine(p, "m-2", "big")
	big.Images["img"] = time.Now() // the cached image favours this machine among equals
	s := newJobSpec("job-1", 3, "green")
	s.Urgency = protocol.High
	smallJob := c.addJob(s)
	s = newJobSpec("job-2", 2, "green")
	s.CPUs = 16 // fits big machines only
	largeJob := c.addJob(s)
	c.scheduler.Place(p, time.Now())
	placed := map[*cluster.Machine]int{}
	for _, a := range smallJob.LiveAttempts {
		placed[a.Machine]++
	}
	if placed[small] != 2 || placed[big] != 1 {
		t.Errorf("small tasks placed on the small machine: %d, on the big one: %d, want 2 and 1", placed[small], placed[big])
	}
	if len(largeJob.LiveAttempts) != 1 {
		t.Errorf("%d large tasks placed, want 1", len(largeJob.LiveAttempts))
	}
}

// A machine whose boot time has long passed may never boot, so it must not reduce the demand of
// waiting jobs.
func TestOverdueMachinesDoNotCountAsCapacity(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		age  time.Duration
		want uint32
	}{{5 * time.Second, 1}, {time.Minute, 9}} {
		c, p := newLeadingController(t)
		now := time.Now()
		c.agents.ApplyMachineRecord("m-1", storage.Machine{Partition: p.Index, Type: "big", Zone: "a", Spot: true,
			CreatedMS: now.Add(-tc.age).UnixMilli()}, 2, now)
		c.Machines["m-1"].HeartbeatsExpectedSince = now.Add(-tc.age)
		c.addJob(newJobSpec("job-1", 9, "green"))
		count := uint32(0)
		for _, d := range c.peering.PartitionSummary(p, now).Demands {
			count += d.Count
		}
		if count != tc.want {
			t.Errorf("machine requested %s ago: demands for %d tasks, want %d", tc.age, count, tc.want)
		}
	}
}

// The demands of a team's jobs must together fit into its remaining quota.
func TestDemandsShareTheTeamQuota(t *testing.T) {
	t.Parallel()
	c, _ := newLeadingController(t)
	p := c.Partitions[c.TeamPartition[c.TeamIndex["red"]]] // quota 32: eight tasks
	c.addJob(newJobSpec("job-1", 6, "red"))
	c.addJob(newJobSpec("job-2", 6, "red"))
	count := uint32(0)
	for _, d := range c.peering.PartitionSummary(p, time.Now()).Demands {
		count += d.Count
	}
	if count != 8 {
		t.Errorf("%d tasks demanded, want 8", count)
	}
}

// If only the team's quota keeps urgent jobs waiting, the team's own jobs of lower urgency are
// checkpointed and preempted.
func TestPreemptionWithinATeamQuota(t *testing.T) {
	t.Parallel()
	runSimulation(t, 23, func(sim *simulatedCluster) {
		sim.taskRunTime = func(job string, _ int, _ string) time.Duration {
			if job == "job-1" {
				return 2 * time.Minute
			}
			return 5 * time.Second
		}
		time.Sleep(2 * time.Second)
		low := newJobSpec("job-1", 8, "red") // the whole quota of 32 CPUs
		low.EstimateS, low.DeadlineS, low.CheckpointIntervalS, low.CheckpointDurationS = 120, 600, 5, 1
		sim.submit(low)
		time.Sleep(30 * time.Second)
		high := newJobSpec("job-2", 2, "red")
		high.Urgency, high.DeadlineS = protocol.High, 40
		sim.submit(high)
		time.Sleep(40 * time.Second)
		if st := sim.poll("", "job-2"); st != protocol.StatusDone {
			t.Errorf("the urgent job is %q, want done", st)
		}
		sim.waitForAllJobs(10 * time.Minute)
	})
}

// A job that is requeued, or whose record changes, while the queue order is cached must be inserted
// by its urgency. At the end of the queue, jobs of lower urgency would get the machines first, and
// the ends of the job's tasks, which free quota, would be recorded later.
func TestRequeuedJobKeepsItsQueuePosition(t *testing.T) {
	t.Parallel()
	c, p := newLeadingController(t)
	high, low := newJobSpec("job-1", 1, "green"), newJobSpec("job-2", 1, "green")
	high.Urgency = protocol.High
	first, second := c.addJob(high), c.addJob(low)
	first.Pending, first.MayHaveDirtyChunk = nil, false // all its tasks run and are recorded
	if list := c.scheduler.Queue(p); len(list) != 1 || list[0] != second {
		t.Fatalf("%d jobs are queued, want job-2 only", len(list))
	}
	first.Requeue(0)
	if list := c.scheduler.Queue(p); len(list) != 2 || list[0] != first {
		t.Error("a job with a requeued task is missing from the queue or comes after a job of lower urgency")
	}
	p.QueueOrder, first.Pending = nil, nil
	c.scheduler.Queue(p)
	first.MarkDirty(0, false, time.Now())
	if list := c.scheduler.Queue(p); len(list) != 2 || list[0] != first {
		t.Error("a job with a changed record is missing from the queue or comes after a job of lower urgency")
	}
}
