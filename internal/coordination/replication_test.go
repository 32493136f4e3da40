package coordination

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
)

// standbyOf returns the controller that has a complete replica of a partition, "" if none has.
func (sim *simulatedCluster) standbyOf(partition int) (label string) {
	for _, l := range allControllers {
		sim.onController(l, func(c *Controller) {
			if replica := c.replicator.Replicas[partition]; replica != nil && replica.Records.Revision() != 0 && c.AnnouncedStandby(c.Partitions[partition]) == l {
				label = l
			}
		})
	}
	return label
}

// partitionSnapshot returns a leader's state of a partition, for comparison.
func (c *Controller) partitionSnapshot(p *cluster.Partition) map[string]string {
	out := map[string]string{}
	for id, j := range c.Jobs {
		if j.Partition != p.Index {
			continue
		}
		for t, a := range j.LiveAttempts {
			out[a.TaskName()] = fmt.Sprint("live ", a.Number, a.Machine.Name, a.Epoch, a.State, a.Machine.Attempts[cluster.AttemptKey(a.TaskName(), a.Number)] == a, a.Job == j, t == a.TaskIndex)
		}
		for i, ch := range j.Chunks {
			out[fmt.Sprint(id, " chunk ", i)] = fmt.Sprint(ch.Index, ch.Revision, ch.LastNumber, ch.Dirty, j.MayHaveDirtyChunk)
		}
		out[id] = fmt.Sprint(j.HasRunState, j.TaskDone, j.DoneCount, j.Pending, j.Ended, j.Completing)
	}
	for name, m := range c.Machines {
		if m.Record.Partition == p.Index {
			counted := m.Used
			m.RecountUsed()
			out[name] = fmt.Sprint(len(m.Attempts), m.Used)
			if counted != m.Used {
				out["miscounted"] = fmt.Sprint(name, " ", counted, m.Used)
			}
		}
	}
	out["usage"] = fmt.Sprint(p.Usage)
	return out
}

// A replica that followed the records yields the same state as reading them again, whatever the
// records, and whichever jobs and machines are known when it is used.
func TestReplicaEqualsAListing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 5))
		var two [2]*Controller
		var p [2]*cluster.Partition
		for i := range two {
			two[i], p[i] = newLeadingController(t)
		}
		index := p[0].Index
		for i := range 12 {
			for k, c := range two {
				if i == 0 { // moved to another partition since
					c.addMachine(c.Partitions[(index+1)%3], "m-0", "big")
				} else if i < 11 { // the last is no longer recorded
					c.addMachine(p[k], fmt.Sprint("m-", i), "big")
				}
			}
		}
		tasks := map[string]int{}
		for i := range 8 {
			id := fmt.Sprint("job-", i)
			tasks[id] = 1 + rng.IntN(150)
			for _, c := range two {
				if i > 0 { // of the first only its run record is known
					c.addQueuedJob(id, tasks[id])
				}
			}
		}
		store, rev := map[string]protocol.Item{}, uint64(10)
		var events []protocol.Event
		write := func() {
			rev += 1 + uint64(rng.IntN(2))
			id := fmt.Sprint("job-", rng.IntN(8))
			chunk := rng.IntN((tasks[id] + storage.ChunkTasks - 1) / storage.ChunkTasks)
			key := storage.RunKey(index, id, chunk)
			if _, have := store[key]; have && rng.IntN(6) == 0 {
				delete(store, key)
				events = append(events, protocol.Event{Delete: key, Version: rev})
				return
			}
			run := storage.RunRecord{Last: rev}
			for task := chunk * storage.ChunkTasks; task < min((chunk+1)*storage.ChunkTasks, tasks[id]); task++ {
				switch rng.IntN(4) {
				case 0:
					run.Done = append(run.Done, [2]int{task, task})
				case 1:
					run.Live = append(run.Live, storage.Attempt{Task: task, Number: 1 + rev/8, Machine: fmt.Sprint("m-", rng.IntN(12)), Epoch: 1})
				}
			}
			it := protocol.Item{Key: key, Version: rev, Value: storage.Encode(run)}
			store[key] = it
			events = append(events, protocol.Event{Put: key, Version: rev, Value: it.Value})
		}
		listing := func() (all []protocol.Item) {
			for _, k := range slices.Sorted(maps.Keys(store)) {
				all = append(all, store[k])
			}
			return all
		}
		logError := func(what string, args ...any) { t.Error(what, args) }
		for range 20 {
			write()
		}
		warm, cold := replication.NewReplica(index, time.Now()), replication.NewReplica(index, time.Now())
		warm.StartFrom(logError, listing(), rev, time.Now())
		at := rev
		for range 30 {
			from := len(events)
			for range rng.IntN(5) {
				write()
			}
			if !warm.Apply(logError, at, &protocol.Events{Revision: rev, Events: events[from:]}, time.Now()) {
				t.Fatal("a gap")
			}
			at = rev
		}
		cold.StartFrom(logError, listing(), rev, time.Now())
		if seed%3 == 0 {
			for _, c := range two {
				c.jobs.SetFinal("job-2", protocol.StatusCancelled, time.Now())
			}
		}
		for _, c := range two {
			for _, m := range c.Machines {
				m.CommandRequestsInFlight = 1 // no command is sent
			}
		}
		two[0].takeover.Install(p[0], warm, nil, true)
		two[1].takeover.Install(p[1], cold, nil, false)
		a, b := two[0].partitionSnapshot(p[0]), two[1].partitionSnapshot(p[1])
		for k := range b {
			if a[k] != b[k] {
				t.Fatalf("seed %d: %s is %s from the replica, %s from the listing", seed, k, a[k], b[k])
			}
		}
		if a["miscounted"] != "" {
			t.Fatalf("seed %d: wrong usage of %s", seed, a["miscounted"])
		}
		if len(a) != len(b) || len(a) < 20 {
			t.Fatalf("seed %d: %d and %d entries", seed, len(a), len(b))
		}
	}
}

// Replica updates that arrive late, twice, out of order or from a former leader change nothing;
// after a gap the sender continues from what was acknowledged; the size of a message is
// bounded.
func TestReplicaUpdatesApplyInOrder(t *testing.T) {
	t.Parallel()
	now := time.Now()
	var h replication.ReceivedUpdates
	starts := map[replication.AttemptID]time.Time{}
	noteStart := func(k replication.AttemptID, at time.Time) { starts[k] = at }
	apply := func(lease, since, upto uint64, job string) uint64 {
		return h.Apply(&peer.ReplicaUpdate{From: "n0", Nonce: "x", LeaseRevision: lease, After: since, Through: upto,
			Attempts: []*peer.AttemptStart{{Job: job, Attempt: 1, RunningS: 2}}}, noteStart, now)
	}
	for i, c := range []struct {
		lease, since, upto, want uint64
		takes                    bool
	}{
		{5, 3, 4, 0, false}, // begins in the middle
		{5, 0, 4, 4, true},
		{5, 6, 8, 4, false}, // a gap
		{5, 4, 8, 8, true},
		{5, 0, 4, 8, false},  // late
		{4, 0, 9, 0, false},  // a former leader
		{6, 8, 12, 0, false}, // a new lease starts over
		{6, 0, 3, 3, true},
	} {
		job := fmt.Sprint("job-", i)
		if got := apply(c.lease, c.since, c.upto, job); got != c.want {
			t.Errorf("%d: acknowledged %d, want %d", i, got, c.want)
		}
		if at, took := starts[replication.AttemptID{Job: job, Task: 0, Number: 1}]; took != c.takes || took && !at.Equal(now.Add(-2*time.Second)) {
			t.Errorf("%d: applied %v, started %s ago", i, took, now.Sub(at))
		}
	}
	// A message is bounded, and everything is sent in the end.
	const machines, tasks = 2000, 80_000
	c, p := newLeadingController(t)
	for i := range machines {
		c.addMachine(p, fmt.Sprint("m-", i), "big")
	}
	c.addQueuedJob("job-1", tasks)
	j := c.Jobs["job-1"]
	for task := range tasks {
		c.scheduler.Reserve(p, j, task, 1, c.Machines[fmt.Sprint("m-", task%machines)], now)
		j.LiveAttempts[task].StartedAt = now
	}
	p.Standby = "n1"
	replica, messages := replication.NewReplica(p.Index, now), 0
	replica.Derived.Jobs["job-1"] = &replication.ReplicaJob{Live: map[int]*cluster.Attempt{}}
	for task := range tasks {
		replica.Derived.Jobs["job-1"].Live[task] = &cluster.Attempt{TaskIndex: task, Number: 1}
	}
	for ; replica.Derived.KnownStarts() < tasks && messages < 10; messages++ {
		raw, err := proto.Marshal(c.replicator.PartitionUpdate(p, now))
		if err != nil || len(raw) > replication.UpdateBytesLimit+replication.EntryOverheadBytes {
			t.Fatalf("a message of %d bytes (%v)", len(raw), err)
		}
		msg := new(peer.ReplicaUpdate)
		panicOnError(proto.Unmarshal(raw, msg))
		p.Replication.AcknowledgedSeq = replica.Updates.Apply(msg, replica.Derived.NoteStart, now)
	}
	if messages != 3 || len(replica.Updates.Machines) != machines {
		t.Errorf("%d messages with %d attempts and %d machines", messages, replica.Derived.KnownStarts(), len(replica.Updates.Machines))
	}
	if again := c.replicator.PartitionUpdate(p, now); len(again.Attempts)+len(again.Machines) > 0 {
		t.Errorf("sent again: %d attempts, %d machines", len(again.Attempts), len(again.Machines))
	}
}

// A replicated start time is no report that the attempt runs: it counts from then on only once
// its machine reports it.
func TestReplicatedStartIsNoReportOfRunning(t *testing.T) {
	t.Parallel()
	c, p := newLeadingController(t)
	m := c.addMachine(p, "m-1", "big")
	m.TokenConfirmed = true
	c.addQueuedJob("job-1", 1)
	j, now := c.Jobs["job-1"], time.Now()
	c.scheduler.Reserve(p, j, 0, 1, m, now)
	a := j.LiveAttempts[0]
	a.State, a.Inherited = cluster.AttemptCommitted, true
	if !c.replicator.ApplyStart(p, replication.AttemptID{Job: "job-1", Task: 0, Number: 1}, now.Add(-20*time.Second)) || c.replicator.ApplyStart(p, replication.AttemptID{Job: "job-1", Task: 0, Number: 2}, now) {
		t.Error("applied the start of this attempt and of another")
	}
	if !a.StartedAt.IsZero() || j.RunningCount != 0 || a.State != cluster.AttemptCommitted || a.RunTimeS(now) != 20 {
		t.Errorf("started %s, %d running, state %d, ran %v s", a.StartedAt, j.RunningCount, a.State, a.RunTimeS(now))
	}
	c.agents.ApplyHeartbeat(m, &protocol.Heartbeat{Machine: "m-1", Epoch: 1, Sequence: 1, Token: c.Token(m),
		Tasks: []protocol.TaskReport{{Task: a.TaskName(), Attempt: 1, State: protocol.TaskRunning}}}, now)
	if now.Sub(a.StartedAt) != 20*time.Second || j.RunningCount != 1 || a.State != cluster.AttemptConfirmed {
		t.Errorf("started %s ago, %d running, state %d", now.Sub(a.StartedAt), j.RunningCount, a.State)
	}
}
