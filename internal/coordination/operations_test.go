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

// requestOperations sends an operator's GET request to a controller.
func (sim *simulatedCluster) requestOperations(identityName, label, path string) transport.Response {
	process := sim.processOf(label)
	req := &transport.Request{Method: "GET", Path: path, RemoteAddr: "10.9.0.2:4000"}
	if identityName != "" {
		req.Authorization = sim.identities.authorization(identityName)
	}
	return process.controller.ServeOperations(sim.ctx, req)
}

// The overview and the metrics cover all queues, so they require the right to view all queues.
func TestOperationsRequireRightsOnAllQueues(t *testing.T) {
	t.Parallel()
	runSimulationWithIdentities(t, 5, func(sim *simulatedCluster) {
		sim.expectStatus(200, sim.requestOperations("person/root", "n0", "/overview"))
		sim.expectStatus(200, sim.requestOperations("person/partner", "n0", "/metrics")) // a guest may view everything
		sim.expectStatus(403, sim.requestOperations("person/anna", "n0", "/overview"))   // a clerk of one team
		sim.expectStatus(403, sim.requestOperations("service/refunds", "n0", "/metrics"))
		sim.expectStatus(401, sim.requestOperations("", "n0", "/overview"))
		sim.expectStatus(404, sim.requestOperations("person/root", "n0", "/submissions"))
	})
}

// The overviews of all controllers together show every partition, its machines and its tasks, and
// the metrics are present.
func TestOverviewShowsTheClusterState(t *testing.T) {
	t.Parallel()
	runConfiguredSimulation(t, 6, func(sim *simulatedCluster) { sim.operator.Operations = &settings.Operations{} }, func(sim *simulatedCluster) {
		time.Sleep(3 * time.Second)
		sim.submit(newJobSpec("job-1", 6, "green"))
		time.Sleep(20 * time.Second)
		var led, tasks, machines int
		for label := range sim.controllers {
			var v overview.View
			panicOnError(protocol.Decode(sim.expectStatus(200, sim.requestOperations("", label, "/overview")).Body, &v))
			if v.Controller != label || !v.Ready {
				t.Errorf("the overview is of another controller or not ready: %+v", v)
			}
			led += len(v.Partitions)
			for _, p := range v.Partitions {
				tasks += p.Running + p.Waiting
				machines += p.Machines
			}
		}
		sim.mu.Lock()
		partitions := sim.settings.Params.ControllerCount
		sim.mu.Unlock()
		if led != partitions || machines == 0 || tasks > 6 {
			t.Errorf("the overviews show %d partitions of %d, %d machines, %d tasks; want all partitions, some machines, at most 6 tasks", led, partitions, machines, tasks)
		}
		body := string(sim.requestOperations("", "n0", "/metrics").Body)
		for _, want := range []string{"micaspindle_wait_seconds_bucket{what=\"submission\"", "micaspindle_part_machines", "micaspindle_ready 1"} {
			if !strings.Contains(body, want) {
				t.Errorf("metric %s is missing", want)
			}
		}
	})
}
