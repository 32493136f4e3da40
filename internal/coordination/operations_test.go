package coordination

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/overview"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// operations asks a controller as an operator does.
func (w *world) operations(who, label, path string) transport.Response {
	w.mu.Lock()
	n := w.nodes[label]
	w.mu.Unlock()
	req := &transport.Request{Method: "GET", Path: path, From: "10.9.0.2:4000"}
	if who != "" {
		req.Authorization = w.ids.authorization(who)
	}
	return n.ctl.ServeOperations(w.ctx, req)
}

// Sums over all queues are for those who may view all of them.
func TestWhoMaySeeTheWhole(t *testing.T) {
	simulateIdentities(t, 5, func(w *world) {
		w.expect(200, w.operations("person/root", "n0", "/overview"))
		w.expect(200, w.operations("person/partner", "n0", "/metrics")) // a guest views everything
		w.expect(403, w.operations("person/anna", "n0", "/overview"))   // one team's clerk
		w.expect(403, w.operations("service/refunds", "n0", "/metrics"))
		w.expect(401, w.operations("", "n0", "/overview"))
		w.expect(404, w.operations("person/root", "n0", "/submissions"))
	})
}

// What is told is what is: jobs, machines, who owns, how long it took.
func TestTheOverviewIsTrue(t *testing.T) {
	simulatePrepared(t, 6, func(w *world) { w.op.Operations = &settings.Operations{} }, func(w *world) {
		time.Sleep(3 * time.Second)
		w.submit(spec("job-1", 6, "green"))
		time.Sleep(20 * time.Second)
		var owned, tasks, machines int
		for label := range w.nodes {
			var v overview.View
			must(protocol.Decode(w.expect(200, w.operations("", label, "/overview")).Body, &v))
			if v.Controller != label || !v.Ready {
				t.Errorf("%+v", v)
			}
			owned += len(v.Parts)
			for _, p := range v.Parts {
				tasks += p.Running + p.Waiting
				machines += p.Machines
			}
		}
		w.mu.Lock()
		parts := w.set.Params.Count
		w.mu.Unlock()
		if owned != parts || machines == 0 || tasks > 6 {
			t.Errorf("%d parts of %d, %d machines, %d tasks", owned, parts, machines, tasks)
		}
		body := string(w.operations("", "n0", "/metrics").Body)
		for _, want := range []string{"micaspindle_wait_seconds_bucket{what=\"submission\"", "micaspindle_part_machines", "micaspindle_ready 1"} {
			if !strings.Contains(body, want) {
				t.Errorf("%s is not told", want)
			}
		}
	})
}

// counting is a network on which nothing answers, and which counts the calls that
// are under way.
type counting struct {
	nowhere
	mu        sync.Mutex
	now, most int
	byMachine map[string]int
}

func (n *counting) Do(ctx context.Context, addr, method, target string, body []byte) (*transport.Response, error) {
	n.mu.Lock()
	n.now++
	n.most = max(n.most, n.now)
	n.byMachine[addr]++
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		n.now--
		n.mu.Unlock()
	}()
	return n.nowhere.Do(ctx, addr, method, target, body)
}

// Guards against a storm at a takeover: of 300 machines that don't answer no more
// than some are called at a time, each is called once, and those that report
// meanwhile not at all.
func TestATakeoverCallsFewAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.set.Label = "n0"
		ctx, cancel := context.WithCancel(context.Background())
		net := &counting{byMachine: map[string]int{}}
		c := New(ctx, &w.set, settings.DefaultOperator(), net, slog.New(slog.DiscardHandler))
		c.setCatalog(w.cloud.Types)
		p := c.parts[0]
		p.owner, p.version, p.mine, p.ready = "n0", 1, true, true
		const machines = 300
		for i := range machines {
			c.up(p, fmt.Sprintf("m-%03d", i), "big").fenced = false
		}
		go func() {
			defer close(c.loopDone)
			for {
				select {
				case f := <-c.calls:
					f()
				case <-ctx.Done():
					return
				}
			}
		}()
		c.do(func() {
			for _, m := range c.machines {
				c.fence(m)
				c.fence(m) // once more is nothing
			}
		})
		time.Sleep(time.Second)
		// A third of them reports before its turn.
		reported := map[string]bool{}
		c.do(func() {
			for _, m := range c.toFence[len(c.toFence)-machines/3:] {
				m.fenced = true
				reported[m.rec.Addr] = true
			}
		})
		time.Sleep(time.Minute)
		net.mu.Lock()
		if net.most != fencesMost || len(net.byMachine) != machines-len(reported) {
			t.Errorf("%d calls at a time, %d machines called, %d had reported", net.most, len(net.byMachine), len(reported))
		}
		for addr, n := range net.byMachine {
			if n != 1 || reported[addr] {
				t.Errorf("%s was called %d times, reported %v", addr, n, reported[addr])
			}
		}
		net.mu.Unlock()
		c.do(func() {
			if c.fences != 0 || len(c.toFence) != 0 {
				t.Errorf("%d calls and %d machines are left", c.fences, len(c.toFence))
			}
		})
		cancel()
		<-c.loopDone
		c.duty.Wait()
	})
}
