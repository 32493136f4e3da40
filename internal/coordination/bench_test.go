package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// The benchmarks show how the cost of each operation grows with machines and tasks.

// newControllerWithFleet returns a controller that leads every partition and whose machines run
// tasks.
func newControllerWithFleet(b *testing.B, machines, tasksPerMachine, tasksPerJob int) *Controller {
	b.Helper()
	c, p := newLeadingController(b)
	now := time.Now()
	// A leader answers heartbeats only while it holds its leases and its records are current.
	c.Synced, c.LeaseRenewedAt, c.RecordsCurrentAt = true, now, now
	for _, p := range c.Partitions {
		p.AcquiredAt = now
	}
	for i := range machines {
		c.addMachine(p, fmt.Sprintf("m-%06d", i), "big")
	}
	for i := range machines * tasksPerMachine {
		id, task := fmt.Sprintf("job-%d", i/tasksPerJob), i%tasksPerJob
		if task == 0 {
			c.addQueuedJob(id, tasksPerJob)
		}
		j, m := c.Jobs[id], c.Machines[fmt.Sprintf("m-%06d", i%machines)]
		c.scheduler.Reserve(p, j, task, 1, m, now)
		j.Pending = nil
		a := j.LiveAttempts[task]
		a.State, a.StartedAt = cluster.AttemptConfirmed, now
		for _, ch := range j.Chunks { // as if the records were written
			ch.Dirty, ch.Urgent, ch.Revision = false, false, 3
		}
		j.MayHaveDirtyChunk = false
	}
	return c
}

// fleetSize is a number of machines, of running tasks on each, and of waiting tasks.
type fleetSize struct{ machines, tasksPerMachine, waitingTasks int }

// allFleetSizes are the sizes to measure, ascending.
var allFleetSizes = []fleetSize{{50, 4, 500}, {200, 4, 500}, {200, 4, 4000}, {800, 4, 4000}, {3200, 4, 4000}, {10000, 4, 4000}}

// fleetSizes returns the sizes to measure. With -short it leaves out the two largest, so that
// running every benchmark once takes seconds.
func fleetSizes() []fleetSize {
	if testing.Short() {
		return allFleetSizes[:len(allFleetSizes)-2]
	}
	return allFleetSizes
}

// BenchmarkPoll measures a user's poll without the network: one that is refused while the state
// store is down, and one that is answered from memory.
func BenchmarkPoll(b *testing.B) {
	for _, outcome := range []string{"refused", "final"} {
		b.Run(outcome, func(b *testing.B) {
			c, _ := newLeadingController(b)
			c.Synced = true
			c.addQueuedJob("job-1", 1)
			ctx, stop := context.WithCancel(b.Context())
			defer stop()
			go c.loop.Serve(ctx, c.tick)
			if outcome == "final" {
				c.loop.Do(func() { c.jobs.SetFinalState("job-1", protocol.StatusDone, time.Now()) })
			} else {
				setNetwork(c, unavailableNetwork{})
				time.Sleep(1600 * time.Millisecond) // until the state store counts as down
				_, _ = c.store.UserKeyAbsent(ctx, storage.FinalKey("job-1"))
			}
			req := &transport.Request{Method: "GET", Path: "/submissions/job-1"}
			want := map[string]int{"refused": 503, "final": 200}[outcome]
			for b.Loop() {
				if resp := c.Serve(ctx, req); resp.Status != want {
					b.Fatalf("poll got status %d, want %d", resp.Status, want)
				}
			}
		})
	}
}

// unavailableNetwork simulates a state store that is down.
type unavailableNetwork struct{}

// Do answers every request with status 503.
func (unavailableNetwork) Do(context.Context, string, string, string, []byte) (*transport.Response, error) {
	return &transport.Response{Status: 503}, nil
}

// BenchmarkHeartbeat measures a heartbeat that changes nothing.
func BenchmarkHeartbeat(b *testing.B) {
	for _, tasksPerMachine := range []int{0, 4, 8} {
		b.Run(fmt.Sprintf("tasks=%d", tasksPerMachine), func(b *testing.B) {
			c := newControllerWithFleet(b, 200, tasksPerMachine, 1)
			heartbeats := make([]*protocol.Heartbeat, 0, len(c.Machines))
			for _, m := range c.Machines {
				r := &protocol.Heartbeat{Machine: m.Name, Type: "big", Zone: "a", Epoch: 1, Token: c.Token(m)}
				for _, a := range m.Attempts {
					r.Tasks = append(r.Tasks, protocol.TaskReport{Task: a.TaskName(), Attempt: a.Number, State: protocol.TaskRunning})
				}
				heartbeats = append(heartbeats, r)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := heartbeats[i%len(heartbeats)]
				r.Sequence++
				c.LeaseRenewedAt = time.Now() // so that the leases do not expire during the measurement
				c.RecordsCurrentAt = c.LeaseRenewedAt
				if resp := c.agents.HandleHeartbeat(r, nil); resp.Status != 200 {
					b.Fatalf("heartbeat refused: status %d, %s", resp.Status, resp.Body)
				}
			}
		})
	}
}

// BenchmarkPlace measures a round of placement on a full fleet with waiting tasks, and the
// placement of one task.
func BenchmarkPlace(b *testing.B) {
	for _, n := range fleetSizes() {
		name := fmt.Sprintf("machines=%d/waiting=%d", n.machines, n.waitingTasks)
		b.Run("full/"+name, func(b *testing.B) {
			c := newControllerWithFleet(b, n.machines, 8, 1)
			for i := range n.waitingTasks / 20 {
				c.addQueuedJob(fmt.Sprintf("job-9%d", i), 20)
			}
			p := c.Partitions[c.TeamPartition[c.TeamIndex["green"]]]
			b.ReportAllocs()
			for b.Loop() {
				c.scheduler.Place(p, time.Now())
			}
		})
		b.Run("task/"+name, func(b *testing.B) {
			c := newControllerWithFleet(b, n.machines, n.tasksPerMachine, 1)
			p := c.Partitions[c.TeamPartition[c.TeamIndex["green"]]]
			placed, next := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				if placed == 0 {
					b.StopTimer()
					c = newControllerWithFleet(b, n.machines, n.tasksPerMachine, 1)
					p = c.Partitions[c.TeamPartition[c.TeamIndex["green"]]]
					placed = n.machines * 2
					b.StartTimer()
				}
				next++
				placed--
				c.addQueuedJob(fmt.Sprintf("job-8%d", next), 1)
				c.scheduler.Place(p, time.Now())
			}
		})
	}
}

// benchmarkByFleetSize measures an operation on busy fleets of all sizes.
func benchmarkByFleetSize(b *testing.B, operation func(c *Controller)) {
	b.Helper()
	for _, n := range fleetSizes() {
		b.Run(fmt.Sprintf("machines=%d", n.machines), func(b *testing.B) {
			c := newControllerWithFleet(b, n.machines, n.tasksPerMachine, 1)
			b.ReportAllocs()
			for b.Loop() {
				operation(c)
			}
		})
	}
}

// BenchmarkReconcileFleet measures a reconciliation by the cluster leader of a full fleet with
// waiting tasks, when the cloud has refused capacity for every kind of machine.
func BenchmarkReconcileFleet(b *testing.B) {
	for _, n := range fleetSizes() {
		b.Run(fmt.Sprintf("machines=%d", n.machines), func(b *testing.B) {
			c := newControllerWithFleet(b, n.machines, 8, 1)
			for i := range n.waitingTasks / 20 {
				c.addQueuedJob(fmt.Sprintf("job-9%d", i), 20)
			}
			now := time.Now()
			c.Leadership.Held = true
			for i := range c.Catalog {
				for _, zone := range c.Catalog[i].Zones {
					for _, spot := range []bool{true, false} {
						c.Leadership.CapacityRefusedUntil[binpack.MachineKind{Type: c.Catalog[i].Name, Zone: zone, Spot: spot}] = now.Add(time.Hour)
					}
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				c.LeaseRenewedAt = time.Now()
				c.autoscaler.ReconcileFleet(c.LeaseRenewedAt)
			}
		})
	}
}

// BenchmarkTick measures a tick of the event loop (every 250 ms) without any event.
func BenchmarkTick(b *testing.B) {
	benchmarkByFleetSize(b, func(c *Controller) { c.tick(time.Now()) })
}

// BenchmarkSummary measures the summary that a controller sends to its peers twice a second.
func BenchmarkSummary(b *testing.B) {
	benchmarkByFleetSize(b, func(c *Controller) {
		c.peering.SummaryCache.MarshalledAt = time.Time{}
		c.peering.MarshalledSummary(time.Now())
	})
}

// BenchmarkTakeover measures the takeover of a partition from records in memory: a cold one, for
// which the replica is first built from all records, and a warm one with a standby's replica.
func BenchmarkTakeover(b *testing.B) {
	for _, n := range fleetSizes() {
		for i, mode := range []string{"cold", "warm", "cold", "warm"} {
			tasksPerJob := []int{1, 20}[i/2] // job arrays of one task, and of the usual size
			b.Run(fmt.Sprintf("%s/machines=%d/tasks=%d/each=%d", mode, n.machines, n.machines*n.tasksPerMachine, tasksPerJob), func(b *testing.B) {
				c := newControllerWithFleet(b, n.machines, n.tasksPerMachine, tasksPerJob)
				partition := c.TeamPartition[c.TeamIndex["green"]]
				var runs []protocol.Item
				update := &peer.ReplicaUpdate{From: "n1", Nonce: "x", LeaseRevision: 1, Through: 1}
				for id, j := range c.Jobs {
					for _, ch := range j.Chunks {
						runs = append(runs, protocol.Item{Key: storage.RunKey(partition, id, ch.Index), Version: 5,
							Value: storage.Encode(j.RunRecord(ch))})
					}
					for task := range j.LiveAttempts {
						update.Attempts = append(update.Attempts, &peer.AttemptStart{Job: id, Task: uint32(task), Attempt: 1, RunningS: 3})
					}
				}
				for _, m := range c.Machines {
					m.CommandRequestsInFlight = 1 // so that no command is sent
				}
				b.ReportAllocs()
				for b.Loop() {
					b.StopTimer()
					replica := replication.NewReplica(partition, time.Now())
					if mode == "warm" {
						replica.ApplyListing(c.log.Error, runs, 5, time.Now())
						replica.Updates.Apply(update, replica.Derived.StoreStart, time.Now())
					}
					c.leases.ClearLeaderState(c.Partitions[partition]) // as on a controller that did not lead the partition
					runtime.GC()                                       // so that the garbage of the set-up is not collected during the takeover
					b.StartTimer()
					if mode == "cold" {
						replica.ApplyListing(c.log.Error, runs, 5, time.Now())
					}
					c.takeover.Install(c.Partitions[partition], replica, nil, mode == "warm")
				}
			})
		}
	}
}

// BenchmarkApplyRecordChange measures the application of one change of a record of 64 tasks to a
// standby's replica.
func BenchmarkApplyRecordChange(b *testing.B) {
	replica := replication.NewReplica(0, time.Now())
	record := storage.RunRecord{Last: 1, Done: [][2]int{{0, 31}}}
	for t := 32; t < 64; t++ {
		record.Live = append(record.Live, storage.Attempt{Task: t, Number: 1, Machine: fmt.Sprintf("m-%06d", t), Epoch: 1})
	}
	key, value := storage.RunKey(0, "job-1", 0), storage.Encode(record)
	logError := slog.New(slog.DiscardHandler).Error
	replica.ApplyListing(logError, []protocol.Item{{Key: key, Version: 1, Value: value}}, 1, time.Now())
	b.ReportAllocs()
	for at := uint64(1); b.Loop(); at++ {
		if !replica.Apply(logError, at, &protocol.Events{Revision: at + 1, Events: []protocol.Event{{Put: key, Version: at + 1, Value: value}}}, time.Now()) {
			b.Fatal("the replica did not apply the change")
		}
	}
}

// newControllerWithPipeline returns a controller with n jobs. If deep is set, each job depends on
// the one before; otherwise all other jobs depend on the first.
func newControllerWithPipeline(b *testing.B, n int, deep bool) *Controller {
	b.Helper()
	c, _ := newLeadingController(b)
	c.addJob(newJobSpec("job-0", 1, "green"))
	for i := 1; i < n; i++ {
		dep := 0
		if deep {
			dep = i - 1
		}
		s := newDependentJobSpec(fmt.Sprintf("job-%d", i), 1, "green", fmt.Sprintf("job-%d", dep))
		s.DeadlineS = 0
		c.addJob(s)
	}
	return c
}

// BenchmarkDependencyGraph measures a submission at the end of a pipeline, whose deadline the
// jobs before it inherit, and the completion and cancellation of the first unfinished job.
func BenchmarkDependencyGraph(b *testing.B) {
	for _, n := range []int{1000, 8000} {
		for _, deep := range []bool{false, true} {
			name := fmt.Sprintf("/jobs=%d/deep=%v", n, deep)
			b.Run("submission"+name, func(b *testing.B) {
				c := newControllerWithPipeline(b, n, deep)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					// Each submission has a slightly earlier deadline, so that
					// the inherited deadlines of all jobs change.
					last := newDependentJobSpec(fmt.Sprintf("job-1000000%d", i), 1, "green", fmt.Sprintf("job-%d", n-1))
					last.DeadlineS = 1e6 - float64(i)/100
					c.addJob(last)
				}
			})
			if n > 1000 {
				continue // building larger pipelines for each iteration takes minutes
			}
			for _, status := range []string{protocol.StatusDone, protocol.StatusCancelled} {
				b.Run(status+name, func(b *testing.B) {
					b.ReportAllocs()
					var c *Controller
					next := n
					for b.Loop() {
						// A cancellation affects all dependent jobs, and so
						// does the end of a job on which all others depend:
						// the next iteration needs a new pipeline. In a
						// deep pipeline, a done job affects only the next
						// job, which the next iteration ends.
						if next == n {
							b.StopTimer()
							c, next = newControllerWithPipeline(b, n, deep), 0
							b.StartTimer()
						}
						c.jobs.SetFinalState(fmt.Sprint("job-", next), status, time.Now())
						if next++; !deep || status == protocol.StatusCancelled {
							next = n
						}
					}
				})
			}
		}
	}
}
