package coordination

import (
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/replication"

	"context"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// The benchmarks show how the cost of each duty grows with machines and tasks.

// fleetOf makes a controller that owns every part, with machines up and, on
// each, running tasks.
func fleetOf(b *testing.B, machines, running, each int) *Controller {
	b.Helper()
	c, p := owner(b)
	now := time.Now()
	// An owner answers workers only while it holds its claims and has followed the records.
	c.Synced, c.LeaseRenewedAt, c.RecordsCurrentAt = true, now, now
	for _, p := range c.Partitions {
		p.AcquiredAt = now
	}
	for i := range machines {
		c.up(p, fmt.Sprintf("m-%06d", i), "big")
	}
	for i := range machines * running {
		id, task := fmt.Sprintf("job-%d", i/each), i%each
		if task == 0 {
			c.waiting(id, each)
		}
		j, m := c.Jobs[id], c.Machines[fmt.Sprintf("m-%06d", i%machines)]
		c.scheduler.Reserve(p, j, task, 1, m, now)
		j.Pending = nil
		a := j.LiveAttempts[task]
		a.State, a.StartedAt, a.ReportedState = cluster.AttemptConfirmed, now, protocol.TaskRunning
		for _, ch := range j.Chunks { // on record
			ch.Dirty, ch.Urgent, ch.Revision = false, false, 3
		}
		j.RecordsChanged = false
	}
	return c
}

func (c *Controller) waiting(id string, tasks int) {
	s := spec(id, tasks, "green")
	s.SubmittedMS = time.Now().UnixMilli()
	c.jobs.ApplyJobRecord(id, storage.Encode(s))
}

// fleetSize is how many machines there are, with so many running tasks on each and so many
// tasks that wait.
type fleetSize struct{ machines, running, waiting int }

var sizes = []fleetSize{{50, 4, 500}, {200, 4, 500}, {200, 4, 4000}, {800, 4, 4000}, {3200, 4, 4000}, {10000, 4, 4000}}

// fleetSizes are the sizes to measure; -short leaves the two largest out, so that a check
// that only runs every benchmark once takes seconds.
func fleetSizes() []fleetSize {
	if testing.Short() {
		return sizes[:len(sizes)-2]
	}
	return sizes
}

// BenchmarkPoll: what a user's poll costs without the connection, refused while the
// state service is down, and answered from memory.
func BenchmarkPoll(b *testing.B) {
	for _, what := range []string{"refused", "final"} {
		b.Run(what, func(b *testing.B) {
			c, _ := owner(b)
			c.Synced = true
			c.waiting("job-1", 1)
			ctx, stop := context.WithCancel(b.Context())
			defer stop()
			go c.loop.Serve(ctx, c.tick)
			if what == "final" {
				c.loop.Do(func() { c.jobs.SetFinal("job-1", protocol.StatusDone, time.Now()) })
			} else {
				setNetwork(c, refusing{})
				time.Sleep(1600 * time.Millisecond) // until it counts as down
				_, _ = c.store.UserKeyAbsent(ctx, storage.FinalKey("job-1"))
			}
			req := &transport.Request{Method: "GET", Path: "/submissions/job-1"}
			want := map[string]int{"refused": 503, "final": 200}[what]
			for b.Loop() {
				if resp := c.Serve(ctx, req); resp.Status != want {
					b.Fatalf("status %d", resp.Status)
				}
			}
		})
	}
}

// refusing is a state service that is down.
type refusing struct{}

func (refusing) Do(context.Context, string, string, string, []byte) (*transport.Response, error) {
	return &transport.Response{Status: 503}, nil
}

// BenchmarkReport: a report that changes nothing.
func BenchmarkReport(b *testing.B) {
	for _, running := range []int{0, 4, 8} {
		b.Run(fmt.Sprintf("tasks=%d", running), func(b *testing.B) {
			c := fleetOf(b, 200, running, 1)
			reports := make([]*protocol.Heartbeat, 0, len(c.Machines))
			for _, m := range c.Machines {
				r := &protocol.Heartbeat{Machine: m.Name, Type: "big", Zone: "a", Epoch: 1, Token: c.Token(m)}
				for _, a := range m.Attempts {
					r.Tasks = append(r.Tasks, protocol.TaskReport{Task: a.TaskName(), Attempt: a.Number, State: protocol.TaskRunning})
				}
				reports = append(reports, r)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := reports[i%len(reports)]
				r.Sequence++
				c.LeaseRenewedAt = time.Now() // however long this is measured
				c.RecordsCurrentAt = c.LeaseRenewedAt
				if resp := c.agents.HandleHeartbeat(r, nil); resp.Status != 200 {
					b.Fatalf("report refused: status %d, %s", resp.Status, resp.Body)
				}
			}
		})
	}
}

// BenchmarkPlace: a round of placement over a full fleet with work waiting,
// and the placing of one task.
func BenchmarkPlace(b *testing.B) {
	for _, n := range fleetSizes() {
		name := fmt.Sprintf("machines=%d/waiting=%d", n.machines, n.waiting)
		b.Run("full/"+name, func(b *testing.B) {
			c := fleetOf(b, n.machines, 8, 1)
			for i := range n.waiting / 20 {
				c.waiting(fmt.Sprintf("job-9%d", i), 20)
			}
			p := c.Partitions[c.TeamPartition[c.TeamIndex["green"]]]
			b.ReportAllocs()
			for b.Loop() {
				c.scheduler.Place(p, time.Now())
			}
		})
		b.Run("task/"+name, func(b *testing.B) {
			c := fleetOf(b, n.machines, n.running, 1)
			p := c.Partitions[c.TeamPartition[c.TeamIndex["green"]]]
			placed, next := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				if placed == 0 {
					b.StopTimer()
					c = fleetOf(b, n.machines, n.running, 1)
					p = c.Partitions[c.TeamPartition[c.TeamIndex["green"]]]
					placed = n.machines * 2
					b.StartTimer()
				}
				next++
				placed--
				c.waiting(fmt.Sprintf("job-8%d", next), 1)
				c.scheduler.Place(p, time.Now())
			}
		})
	}
}

// bySize measures a duty that needs nothing but a fleet at work.
func bySize(b *testing.B, duty func(c *Controller)) {
	for _, n := range fleetSizes() {
		b.Run(fmt.Sprintf("machines=%d", n.machines), func(b *testing.B) {
			c := fleetOf(b, n.machines, n.running, 1)
			b.ReportAllocs()
			for b.Loop() {
				duty(c)
			}
		})
	}
}

// BenchmarkSteer: a round of the leader over a fleet at work, with demands that find
// no room and nothing to rent for them.
func BenchmarkSteer(b *testing.B) {
	for _, n := range fleetSizes() {
		b.Run(fmt.Sprintf("machines=%d", n.machines), func(b *testing.B) {
			c := fleetOf(b, n.machines, 8, 1)
			for i := range n.waiting / 20 {
				c.waiting(fmt.Sprintf("job-9%d", i), 20)
			}
			now := time.Now()
			c.Leadership.Held = true
			for i := range c.Catalog {
				for _, zone := range c.Catalog[i].ZonesOffered {
					for _, spot := range []bool{true, false} {
						c.Leadership.RefusedCapacity[binpack.MachineKind{Type: c.Catalog[i].Name, Zone: zone, Spot: spot}] = now.Add(time.Hour)
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

// BenchmarkTick: what a quarter of a second costs without any event.
func BenchmarkTick(b *testing.B) {
	bySize(b, func(c *Controller) { c.tick(time.Now()) })
}

// BenchmarkSummary: what an owner tells the others twice a second.
func BenchmarkSummary(b *testing.B) {
	bySize(b, func(c *Controller) {
		c.peering.SummaryCache.MarshalledAt = time.Time{}
		c.peering.MarshalledSummary(time.Now())
	})
}

// BenchmarkTakeover: from the answer that makes the copy of a part whole to the first
// decision, cold (all records are read then) and warm (they were followed).
func BenchmarkTakeover(b *testing.B) {
	for _, n := range fleetSizes() {
		for i, kind := range []string{"cold", "warm", "cold", "warm"} {
			each := []int{1, 20}[i/2] // arrays of one task, and as large as usual
			b.Run(fmt.Sprintf("%s/machines=%d/tasks=%d/each=%d", kind, n.machines, n.machines*n.running, each), func(b *testing.B) {
				c := fleetOf(b, n.machines, n.running, each)
				part := c.TeamPartition[c.TeamIndex["green"]]
				var runs []protocol.Item
				tale := &peer.ReplicaUpdate{From: "n1", Nonce: "x", LeaseRevision: 1, Through: 1}
				for id, j := range c.Jobs {
					for _, ch := range j.Chunks {
						runs = append(runs, protocol.Item{Key: storage.RunKey(part, id, ch.Index), Version: 5,
							Value: storage.Encode(j.RunRecord(ch))})
					}
					for task := range j.LiveAttempts {
						tale.Attempts = append(tale.Attempts, &peer.AttemptStart{Job: id, Task: uint32(task), Attempt: 1, RunningS: 3})
					}
				}
				for _, m := range c.Machines {
					m.PendingCommands = 1 // nothing is sent here
				}
				b.ReportAllocs()
				for b.Loop() {
					b.StopTimer()
					fo := replication.NewReplica(part, time.Now())
					if kind == "warm" {
						fo.StartFrom(c.log.Error, runs, 5, time.Now())
						fo.Updates.Apply(tale, fo.Derived.NoteStart, time.Now())
					}
					c.leases.ClearPartition(c.Partitions[part]) // as at a controller that did not own it
					runtime.GC()                                // the garbage of making them is none of the takeover's
					b.StartTimer()
					if kind == "cold" {
						fo.StartFrom(c.log.Error, runs, 5, time.Now())
					}
					c.takeover.Install(c.Partitions[part], fo, nil, kind == "warm")
				}
			})
		}
	}
}

// BenchmarkFollow: what a standby does with one change of a record of 64 tasks.
func BenchmarkFollow(b *testing.B) {
	fo := replication.NewReplica(0, time.Now())
	run := storage.RunRecord{Last: 1, Done: [][2]int{{0, 31}}}
	for t := 32; t < 64; t++ {
		run.Live = append(run.Live, storage.Attempt{Task: t, Number: 1, Machine: fmt.Sprintf("m-%06d", t), Epoch: 1})
	}
	key, value := storage.RunKey(0, "job-1", 0), storage.Encode(run)
	complain := slog.New(slog.DiscardHandler).Error
	fo.StartFrom(complain, []protocol.Item{{Key: key, Version: 1, Value: value}}, 1, time.Now())
	b.ReportAllocs()
	for at := uint64(1); b.Loop(); at++ {
		if !fo.Apply(complain, at, &protocol.Events{Revision: at + 1, Events: []protocol.Event{{Put: key, Version: at + 1, Value: value}}}, time.Now()) {
			b.Fatal("a gap")
		}
	}
}

// pipelines makes a controller that knows n jobs after one first job: each
// after the one before, or all after the first.
func pipelines(b *testing.B, n int, deep bool) *Controller {
	b.Helper()
	c, _ := owner(b)
	c.take(spec("job-0", 1, "green"))
	for i := 1; i < n; i++ {
		dep := 0
		if deep {
			dep = i - 1
		}
		s := after(fmt.Sprintf("job-%d", i), 1, "green", fmt.Sprintf("job-%d", dep))
		s.DeadlineS = 0
		c.take(s)
	}
	return c
}

// BenchmarkGraph: a submission at the end of a pipeline whose deadline reaches
// back over all of it, the completion of what all wait for, and its withdrawal.
func BenchmarkGraph(b *testing.B) {
	for _, n := range []int{1000, 8000} {
		for _, deep := range []bool{false, true} {
			name := fmt.Sprintf("/jobs=%d/deep=%v", n, deep)
			b.Run("submission"+name, func(b *testing.B) {
				c := pipelines(b, n, deep)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					// Each is needed a little sooner, so that all change.
					last := after(fmt.Sprintf("job-1000000%d", i), 1, "green", fmt.Sprintf("job-%d", n-1))
					last.DeadlineS = 1e6 - float64(i)/100
					c.take(last)
				}
			})
			if n > 1000 {
				continue // a pipeline for each measurement takes minutes
			}
			for _, status := range []string{protocol.StatusDone, protocol.StatusCancelled} {
				b.Run(status+name, func(b *testing.B) {
					b.ReportAllocs()
					var c *Controller
					next := n
					for b.Loop() {
						// One that ends the whole pipeline needs a new one each time; one that
						// ends its first job goes on with the next.
						if next == n {
							b.StopTimer()
							c, next = pipelines(b, n, deep), 0
							b.StartTimer()
						}
						c.jobs.SetFinal(fmt.Sprint("job-", next), status, time.Now())
						if next++; !deep || status == protocol.StatusCancelled {
							next = n
						}
					}
				})
			}
		}
	}
}
