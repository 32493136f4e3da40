package coordination

import (
	"micaspindle/internal/coordination/cluster"

	"strings"
	"testing"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// owner makes a controller that owns every part, without a network.
func owner(t testing.TB) (c *Controller, p *cluster.Partition) {
	w := newWorld(t, 1)
	w.set.Label = "n0"
	c = newTestController(t.Context(), &w.set, settings.DefaultOperator())
	c.SetCatalog(w.cloud.Types)
	for _, p := range c.Partitions {
		p.Leader, p.LeaseRevision, p.Held, p.Ready = "n0", 1, true, true
	}
	return c, c.Partitions[c.TeamPartition[c.TeamIndex["green"]]]
}

// up puts a usable machine on record.
func (c *Controller) up(p *cluster.Partition, name, typ string) *cluster.Machine {
	now := time.Now()
	c.agents.MachineRecorded(name, storage.Machine{Partition: p.Index, Addr: name + ":1", Type: typ, Zone: "a", Spot: true}, 2, now)
	m := c.Machines[name]
	m.HasReported, m.Fenced, m.Epoch, m.AnsweredUntil = true, true, 1, now
	return m
}

func (c *Controller) take(s *protocol.JobSpec) *cluster.Job {
	s.SubmittedMS = time.Now().UnixMilli()
	c.jobs.ApplyJobRecord(s.ID, storage.Encode(s))
	return c.Jobs[s.ID]
}

// By deadline alone, a backlog makes every job late; the largest goes last.
func TestBacklogPutsTheLargestLast(t *testing.T) {
	t.Parallel()
	c, p := owner(t)
	c.up(p, "m-1", "big") // 8 tasks at a time, 6 s each
	large, small := spec("job-1", 24, "green"), spec("job-2", 8, "green")
	large.DeadlineS, small.DeadlineS = 20, 21
	c.take(large)
	c.take(small)
	var got []string
	for _, j := range c.scheduler.Queue(p) {
		got = append(got, j.Spec.ID)
	}
	if strings.Join(got, " ") != "job-2 job-1" {
		t.Errorf("order %v: 24 s of work can't all be over in 21 s", got)
	}
	c.up(p, "m-2", "big")
	p.QueueOrder = nil
	if first := c.scheduler.Queue(p)[0].Spec.ID; first != "job-1" {
		t.Errorf("%s goes first though both can be in time", first)
	}
}

// Small tasks must not fill the machines that waiting large ones need while
// there is another place for them.
func TestScarceTypesAreLeftToChoosyWork(t *testing.T) {
	t.Parallel()
	c, p := owner(t)
	small, big := c.up(p, "m-1", "small"), c.up(p, "m-2", "big")
	big.Images["img"] = time.Now() // it would win the tie
	s := spec("job-1", 3, "green")
	s.Urgency = protocol.High
	easy := c.take(s)
	s = spec("job-2", 2, "green")
	s.CPUs = 16 // fits big machines only
	choosy := c.take(s)
	c.scheduler.Place(p, time.Now())
	on := map[*cluster.Machine]int{}
	for _, a := range easy.LiveAttempts {
		on[a.Machine]++
	}
	if on[small] != 2 || on[big] != 1 {
		t.Errorf("small tasks on small %d and big %d machines, want 2 and 1", on[small], on[big])
	}
	if len(choosy.LiveAttempts) != 1 {
		t.Errorf("%d large tasks placed", len(choosy.LiveAttempts))
	}
}

// A machine that is long overdue may never come up: waiting work must not
// count on it.
func TestLateBootsAreNotCountedOn(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		age  time.Duration
		want uint32
	}{{5 * time.Second, 1}, {time.Minute, 9}} {
		c, p := owner(t)
		now := time.Now()
		c.agents.MachineRecorded("m-1", storage.Machine{Partition: p.Index, Type: "big", Zone: "a", Spot: true,
			CreatedMS: now.Add(-tc.age).UnixMilli()}, 2, now)
		c.Machines["m-1"].LedSince = now.Add(-tc.age)
		c.take(spec("job-1", 9, "green"))
		count := uint32(0)
		for _, d := range c.peering.PartitionSummary(p, now).Demands {
			count += d.Count
		}
		if count != tc.want {
			t.Errorf("rented %s ago: %d tasks find no room, want %d", tc.age, count, tc.want)
		}
	}
}

// Jobs of one team must not each claim all that its limit leaves.
func TestDemandsShareTheTeamsLimit(t *testing.T) {
	t.Parallel()
	c, _ := owner(t)
	p := c.Partitions[c.TeamPartition[c.TeamIndex["red"]]] // limit 32: eight tasks
	c.take(spec("job-1", 6, "red"))
	c.take(spec("job-2", 6, "red"))
	count := uint32(0)
	for _, d := range c.peering.PartitionSummary(p, time.Now()).Demands {
		count += d.Count
	}
	if count != 8 {
		t.Errorf("%d tasks demanded, want 8", count)
	}
}

// Where only the team's limit keeps urgent work waiting, the team's own lower
// work saves and makes room.
func TestLowerWorkMakesRoomUnderTheTeamsLimit(t *testing.T) {
	t.Parallel()
	simulate(t, 23, func(w *world) {
		w.runTime = func(job string, _ int, _ string) time.Duration {
			if job == "job-1" {
				return 2 * time.Minute
			}
			return 5 * time.Second
		}
		time.Sleep(2 * time.Second)
		low := spec("job-1", 8, "red") // all of its 32 CPUs
		low.EstimateS, low.DeadlineS, low.CheckpointS, low.SaveS = 120, 600, 5, 1
		w.submit(low)
		time.Sleep(30 * time.Second)
		high := spec("job-2", 2, "red")
		high.Urgency, high.DeadlineS = protocol.High, 40
		w.submit(high)
		time.Sleep(40 * time.Second)
		if st := w.poll("", "job-2"); st != protocol.StatusDone {
			t.Errorf("urgent work is %q", st)
		}
		w.finish(10 * time.Minute)
	})
}

// Guards against a fall of users' figures by 0.01: a job that came to want something
// while the order was kept was served last, so that lower work took the room first, and
// its ends, which free its team's room, went on record a batch later.
func TestWhoComesToWantSomethingKeepsHisPlace(t *testing.T) {
	t.Parallel()
	c, p := owner(t)
	high, low := spec("job-1", 1, "green"), spec("job-2", 1, "green")
	high.Urgency = protocol.High
	first, second := c.take(high), c.take(low)
	first.Pending, first.RecordsChanged = nil, false // all of it runs, and is on record
	if list := c.scheduler.Queue(p); len(list) != 1 || list[0] != second {
		t.Fatalf("%d jobs want something", len(list))
	}
	first.Requeue(0)
	if list := c.scheduler.Queue(p); len(list) != 2 || list[0] != first {
		t.Error("a task that waits again is served after lower work")
	}
	p.QueueOrder, first.Pending = nil, nil
	c.scheduler.Queue(p)
	first.MarkDirty(0, false, time.Now())
	if list := c.scheduler.Queue(p); len(list) != 2 || list[0] != first {
		t.Error("a record that changed is written after lower work's")
	}
}
