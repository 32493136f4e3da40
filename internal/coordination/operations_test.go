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

// requestOperations asks a controller as an operator does.
func (w *simulatedCluster) requestOperations(who, label, path string) transport.Response {
	w.mu.Lock()
	n := w.controllers[label]
	w.mu.Unlock()
	req := &transport.Request{Method: "GET", Path: path, From: "10.9.0.2:4000"}
	if who != "" {
		req.Authorization = w.identities.authorization(who)
	}
	return n.controller.ServeOperations(w.ctx, req)
}

// Sums over all queues are for those who may view all of them.
func TestOperationsRequireRightsOnAllQueues(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 5, func(w *simulatedCluster) {
		w.expectStatus(200, w.requestOperations("person/root", "n0", "/overview"))
		w.expectStatus(200, w.requestOperations("person/partner", "n0", "/metrics")) // a guest views everything
		w.expectStatus(403, w.requestOperations("person/anna", "n0", "/overview"))   // one team's clerk
		w.expectStatus(403, w.requestOperations("service/refunds", "n0", "/metrics"))
		w.expectStatus(401, w.requestOperations("", "n0", "/overview"))
		w.expectStatus(404, w.requestOperations("person/root", "n0", "/submissions"))
	})
}

// What is told is what is: jobs, machines, who owns, how long it took.
func TestOverviewShowsTheClusterState(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 6, func(w *simulatedCluster) { w.operator.Operations = &settings.Operations{} }, func(w *simulatedCluster) {
		time.Sleep(3 * time.Second)
		w.submit(newJobSpec("job-1", 6, "green"))
		time.Sleep(20 * time.Second)
		var owned, tasks, machines int
		for label := range w.controllers {
			var v overview.View
			panicOnError(protocol.Decode(w.expectStatus(200, w.requestOperations("", label, "/overview")).Body, &v))
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
		parts := w.settings.Params.Count
		w.mu.Unlock()
		if owned != parts || machines == 0 || tasks > 6 {
			t.Errorf("%d parts of %d, %d machines, %d tasks", owned, parts, machines, tasks)
		}
		body := string(w.requestOperations("", "n0", "/metrics").Body)
		for _, want := range []string{"micaspindle_wait_seconds_bucket{what=\"submission\"", "micaspindle_part_machines", "micaspindle_ready 1"} {
			if !strings.Contains(body, want) {
				t.Errorf("%s is not told", want)
			}
		}
	})
}
