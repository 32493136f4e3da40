package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
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
	c.synced, c.renewed, c.fresh = true, now, now
	for _, p := range c.parts {
		p.claimed = now
	}
	for i := range machines {
		c.up(p, fmt.Sprintf("m-%06d", i), "big")
	}
	for i := range machines * running {
		id, task := fmt.Sprintf("job-%d", i/each), i%each
		if task == 0 {
			c.waiting(id, each)
		}
		j, m := c.jobs[id], c.machines[fmt.Sprintf("m-%06d", i%machines)]
		c.reserve(p, j, task, 1, m, now)
		j.queue = nil
		a := j.live[task]
		a.state, a.startedAt, a.status = attemptSeen, now, protocol.TaskRunning
		for _, ch := range j.chunks { // on record
			ch.dirty, ch.urgent, ch.version = false, false, 3
		}
		j.touched = false
	}
	return c
}

func (c *Controller) waiting(id string, tasks int) {
	s := spec(id, tasks, "green")
	s.SubmittedMS = time.Now().UnixMilli()
	c.applyJobRecord(id, bookkeeping.Encode(s))
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
			c.synced = true
			c.waiting("job-1", 1)
			ctx, stop := context.WithCancel(b.Context())
			defer stop()
			go c.loop(ctx)
			if what == "final" {
				c.do(func() { c.setFinal("job-1", protocol.StatusDone, time.Now()) })
			} else {
				c.store = bookkeeping.NewStore(refusing{}, "state:1", c.set.Params.State, 3)
				time.Sleep(1600 * time.Millisecond) // until it counts as down
				_, _ = c.store.UserAbsent(ctx, bookkeeping.FinalKey("job-1"))
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
			reports := make([]*protocol.Report, 0, len(c.machines))
			for _, m := range c.machines {
				r := &protocol.Report{Machine: m.name, Type: "big", Zone: "a", Session: 1, Token: c.token(m)}
				for _, a := range m.attempts {
					r.Tasks = append(r.Tasks, protocol.TaskReport{Task: a.wire(), Attempt: a.number, State: protocol.TaskRunning})
				}
				reports = append(reports, r)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := reports[i%len(reports)]
				r.Sequence++
				c.renewed = time.Now() // however long this is measured
				c.fresh = c.renewed
				if resp := c.handleReport(r, nil); resp.Status != 200 {
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
			p := c.parts[c.teamPart[c.teamIndex["green"]]]
			b.ReportAllocs()
			for b.Loop() {
				c.place(p, time.Now())
			}
		})
		b.Run("task/"+name, func(b *testing.B) {
			c := fleetOf(b, n.machines, n.running, 1)
			p := c.parts[c.teamPart[c.teamIndex["green"]]]
			placed, next := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				if placed == 0 {
					b.StopTimer()
					c = fleetOf(b, n.machines, n.running, 1)
					p = c.parts[c.teamPart[c.teamIndex["green"]]]
					placed = n.machines * 2
					b.StartTimer()
				}
				next++
				placed--
				c.waiting(fmt.Sprintf("job-8%d", next), 1)
				c.place(p, time.Now())
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
			c.leader.mine = true
			for i := range c.catalog {
				for _, zone := range c.catalog[i].ZonesOffered {
					for _, spot := range []bool{true, false} {
						c.leader.refused[fit.Kind{Type: c.catalog[i].Name, Zone: zone, Spot: spot}] = now.Add(time.Hour)
					}
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				c.renewed = time.Now()
				c.steer(c.renewed)
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
		c.said.at = time.Time{}
		c.said.latest(c, time.Now())
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
				part := c.teamPart[c.teamIndex["green"]]
				var runs []protocol.Item
				tale := &peer.Tale{From: "n1", Nonce: "x", Claim: 1, Upto: 1}
				for id, j := range c.jobs {
					for _, ch := range j.chunks {
						runs = append(runs, protocol.Item{Key: bookkeeping.RunKey(part, id, ch.index), Version: 5,
							Value: bookkeeping.Encode(j.record(ch))})
					}
					for task := range j.live {
						tale.Attempts = append(tale.Attempts, &peer.AttemptTale{Job: id, Task: uint32(task), Attempt: 1, RanS: 3})
					}
				}
				for _, m := range c.machines {
					m.pendingOrders = 1 // nothing is sent here
				}
				b.ReportAllocs()
				for b.Loop() {
					b.StopTimer()
					fo := newFollower(part, time.Now())
					if kind == "warm" {
						fo.start(c.log.Error, runs, 5, time.Now())
						fo.tale.hear(tale, fo.shadow.told, time.Now())
					}
					c.clearPart(c.parts[part]) // as at a controller that did not own it
					runtime.GC()               // the garbage of making them is none of the takeover's
					b.StartTimer()
					if kind == "cold" {
						fo.start(c.log.Error, runs, 5, time.Now())
					}
					c.following.install(c.parts[part], fo, nil, kind == "warm")
				}
			})
		}
	}
}

// BenchmarkFollow: what a standby does with one change of a record of 64 tasks.
func BenchmarkFollow(b *testing.B) {
	fo := newFollower(0, time.Now())
	run := bookkeeping.Run{Last: 1, Done: [][2]int{{0, 31}}}
	for t := 32; t < 64; t++ {
		run.Live = append(run.Live, bookkeeping.Attempt{Task: t, Number: 1, Machine: fmt.Sprintf("m-%06d", t), Session: 1})
	}
	key, value := bookkeeping.RunKey(0, "job-1", 0), bookkeeping.Encode(run)
	complain := slog.New(slog.DiscardHandler).Error
	fo.start(complain, []protocol.Item{{Key: key, Version: 1, Value: value}}, 1, time.Now())
	b.ReportAllocs()
	for at := uint64(1); b.Loop(); at++ {
		if !fo.follow(complain, at, &protocol.Events{Revision: at + 1, Events: []protocol.Event{{Put: key, Version: at + 1, Value: value}}}, time.Now()) {
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
			for _, status := range []string{protocol.StatusDone, protocol.StatusWithdrawn} {
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
						c.setFinal(fmt.Sprint("job-", next), status, time.Now())
						if next++; !deep || status == protocol.StatusWithdrawn {
							next = n
						}
					}
				})
			}
		}
	}
}
