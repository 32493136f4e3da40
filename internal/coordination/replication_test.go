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

// standbyOf returns the controller that has a complete replica of a partition, or "" if there is
// none.
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

// partitionSnapshot describes a leader's state of a partition by task, chunk, job and machine,
// for comparison.
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

// A replica that is updated with each change of the records yields the same state as a new listing.
// The records are random, and the controller that uses the replica lacks some of the jobs and
// machines in them.
func TestReplicaEqualsAListing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 5))
		var controllers [2]*Controller
		var p [2]*cluster.Partition
		for i := range controllers {
			controllers[i], p[i] = newLeadingController(t)
		}
		index := p[0].Index
		for i := range 12 {
			for k, c := range controllers {
				if i == 0 { // m-0 has moved to another partition
					c.addMachine(c.Partitions[(index+1)%3], "m-0", "big")
				} else if i < 11 { // m-11 has no record any more
					c.addMachine(p[k], fmt.Sprint("m-", i), "big")
				}
			}
		}
		tasks := map[string]int{}
		for i := range 8 {
			id := fmt.Sprint("job-", i)
			tasks[id] = 1 + rng.IntN(150)
			for _, c := range controllers {
				if i > 0 { // job-0 has only run records
					c.addQueuedJob(id, tasks[id])
				}
			}
		}
		store, revision := map[string]protocol.Item{}, uint64(10)
		var events []protocol.Event
		write := func() {
			revision += 1 + uint64(rng.IntN(2))
			id := fmt.Sprint("job-", rng.IntN(8))
			chunk := rng.IntN((tasks[id] + storage.ChunkTasks - 1) / storage.ChunkTasks)
			key := storage.RunKey(index, id, chunk)
			if _, exists := store[key]; exists && rng.IntN(6) == 0 {
				delete(store, key)
				events = append(events, protocol.Event{Delete: key, Version: revision})
				return
			}
			run := storage.RunRecord{Last: revision}
			for task := chunk * storage.ChunkTasks; task < min((chunk+1)*storage.ChunkTasks, tasks[id]); task++ {
				switch rng.IntN(4) {
				case 0:
					run.Done = append(run.Done, [2]int{task, task})
				case 1:
					run.Live = append(run.Live, storage.Attempt{Task: task, Number: 1 + revision/8, Machine: fmt.Sprint("m-", rng.IntN(12)), Epoch: 1})
				}
			}
			item := protocol.Item{Key: key, Version: revision, Value: storage.Encode(run)}
			store[key] = item
			events = append(events, protocol.Event{Put: key, Version: revision, Value: item.Value})
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
		warm.ApplyListing(logError, listing(), revision, time.Now())
		appliedRevision := revision
		for range 30 {
			from := len(events)
			for range rng.IntN(5) {
				write()
			}
			if !warm.Apply(logError, appliedRevision, &protocol.Events{Revision: revision, Events: events[from:]}, time.Now()) {
				t.Fatal("the replica found a gap in the changes")
			}
			appliedRevision = revision
		}
		cold.ApplyListing(logError, listing(), revision, time.Now())
		if seed%3 == 0 {
			for _, c := range controllers {
				c.jobs.SetFinalState("job-2", protocol.StatusCancelled, time.Now())
			}
		}
		for _, c := range controllers {
			for _, m := range c.Machines {
				m.CommandRequestsInFlight = 1 // no command is sent
			}
		}
		controllers[0].takeover.Install(p[0], warm, nil, true)
		controllers[1].takeover.Install(p[1], cold, nil, false)
		a, b := controllers[0].partitionSnapshot(p[0]), controllers[1].partitionSnapshot(p[1])
		for k := range b {
			if a[k] != b[k] {
				t.Fatalf("seed %d: %s is %s from the replica, %s from the listing", seed, k, a[k], b[k])
			}
		}
		if a["miscounted"] != "" {
			t.Fatalf("seed %d: the counted usage of a machine differs from the actual one: %s", seed, a["miscounted"])
		}
		if len(a) != len(b) || len(a) < 20 {
			t.Fatalf("seed %d: snapshots have %d and %d entries, want equal numbers of at least 20", seed, len(a), len(b))
		}
	}
}

// Replica updates that arrive late, twice, out of order or from a former leader change nothing.
// After a gap the sender continues from the last acknowledged update. The size of a message is
// bounded.
func TestReplicaUpdatesApplyInOrder(t *testing.T) {
	t.Parallel()
	now := time.Now()
	var received replication.ReceivedUpdates
	starts := map[replication.AttemptID]time.Time{}
	noteStart := func(k replication.AttemptID, at time.Time) { starts[k] = at }
	apply := func(lease, after, through uint64, job string) uint64 {
		return received.Apply(&peer.ReplicaUpdate{From: "n0", Nonce: "x", LeaseRevision: lease, After: after, Through: through,
			Attempts: []*peer.AttemptStart{{Job: job, Attempt: 1, RunningS: 2}}}, noteStart, now)
	}
	for i, c := range []struct {
		lease, after, through, want uint64
		applied                     bool
	}{
		{5, 3, 4, 0, false}, // the first update must start at 0
		{5, 0, 4, 4, true},
		{5, 6, 8, 4, false}, // a gap
		{5, 4, 8, 8, true},
		{5, 0, 4, 8, false},  // an update that was applied before
		{4, 0, 9, 0, false},  // a former leader
		{6, 8, 12, 0, false}, // updates under a new lease start at 0 again
		{6, 0, 3, 3, true},
	} {
		job := fmt.Sprint("job-", i)
		if got := apply(c.lease, c.after, c.through, job); got != c.want {
			t.Errorf("update %d: acknowledged %d, want %d", i, got, c.want)
		}
		if at, took := starts[replication.AttemptID{Job: job, Task: 0, Number: 1}]; took != c.applied || took && !at.Equal(now.Add(-2*time.Second)) {
			t.Errorf("update %d: applied %v, want %v; start time %s ago, want 2 s if applied", i, took, c.applied, now.Sub(at))
		}
	}
	// The size of a message is bounded. Changes that do not fit are sent in the next messages.
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
	for ; replica.Derived.CountKnownStarts() < tasks && messages < 10; messages++ {
		raw, err := proto.Marshal(c.replicator.PartitionUpdate(p, now))
		if err != nil || len(raw) > replication.UpdateBytesLimit+replication.EntryOverheadBytes {
			t.Fatalf("replica update of %d bytes is too large or failed to encode (%v)", len(raw), err)
		}
		msg := new(peer.ReplicaUpdate)
		panicOnError(proto.Unmarshal(raw, msg))
		p.Replication.AcknowledgedSeq = replica.Updates.Apply(msg, replica.Derived.StoreStart, now)
	}
	if messages != 3 || len(replica.Updates.Machines) != machines {
		t.Errorf("sent %d messages with %d attempts and %d machines, want 3 messages and %d machines", messages, replica.Derived.CountKnownStarts(), len(replica.Updates.Machines), machines)
	}
	if again := c.replicator.PartitionUpdate(p, now); len(again.Attempts)+len(again.Machines) > 0 {
		t.Errorf("acknowledged hints of %d attempts and %d machines were sent again", len(again.Attempts), len(again.Machines))
	}
}

// A replicated start time does not prove that the attempt still runs. Only once its machine reports
// the attempt does it count as running since that time.
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
		t.Error("the start time of the attempt was not applied, or that of an unknown attempt was not ignored")
	}
	if !a.StartedAt.IsZero() || j.RunningCount != 0 || a.State != cluster.AttemptCommitted || a.RunTimeS(now) != 20 {
		t.Errorf("before a heartbeat: started at %s, %d tasks running, attempt state %d, run time %v s; want a committed attempt that is not running, with a run time of 20 s", a.StartedAt, j.RunningCount, a.State, a.RunTimeS(now))
	}
	c.agents.ApplyHeartbeat(m, &protocol.Heartbeat{Machine: "m-1", Epoch: 1, Sequence: 1, Token: c.Token(m),
		Tasks: []protocol.TaskReport{{Task: a.TaskName(), Attempt: 1, State: protocol.TaskRunning}}}, now)
	if now.Sub(a.StartedAt) != 20*time.Second || j.RunningCount != 1 || a.State != cluster.AttemptConfirmed {
		t.Errorf("after a heartbeat: started %s ago, %d tasks running, attempt state %d; want 20 s, 1 and a confirmed attempt", now.Sub(a.StartedAt), j.RunningCount, a.State)
	}
}
