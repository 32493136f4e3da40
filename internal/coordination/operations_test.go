package coordination

import (
	"strings"
	"testing"
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
	t.Parallel()
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
	t.Parallel()
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
			owned += len(v.Partitions)
			for _, p := range v.Partitions {
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
