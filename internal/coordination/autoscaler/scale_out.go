package autoscaler

import (
	"fmt"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/scaling"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// startScaleOut sends one request. Its name holds the revision of the leader's
// claim and a counter, so that no other request ever has it.
func (as *Autoscaler) startScaleOut(plan scaling.ScaleOut) {
	l := &as.Leadership
	l.LastRequest++
	name := fmt.Sprintf("r-%d-%d", l.Revision, l.LastRequest)
	r := &cluster.ScaleOutRequest{Kind: plan.Kind, Partition: plan.Partition, Count: min(plan.Count, 50)}
	l.PendingScaleOut[name] = r
	version := l.Revision
	as.metrics.Count(telemetry.MachineRequested, r.Count)
	as.log.Info("renting", "request", name, "type", r.Kind.Type, "zone", r.Kind.Zone, "spot", r.Kind.Spot, "count", plan.Count, "part", r.Partition)
	as.loop.Go(func() { as.finishScaleOut(name, r, version) })
}

// finishScaleOut repeats a request under its name until it is answered.
func (as *Autoscaler) finishScaleOut(name string, r *cluster.ScaleOutRequest, version uint64) {
	req := protocol.CreateMachinesRequest{Request: name, Type: r.Kind.Type, Zone: r.Kind.Zone, Spot: r.Kind.Spot, Count: r.Count}
	tries := as.loop.Tries(name, cloudBackoff)
	for {
		var names protocol.MachineNames
		status, err := as.cloud.Call("POST", "/machines", req, &names)
		switch {
		case err == nil && status == 200:
			if len(names.Machines) < r.Count {
				as.loop.Do(func() { as.Leadership.RefusedCapacity[r.Kind] = time.Now().Add(15 * time.Second) })
				as.log.Info("rental partly filled", "request", name, "machines", len(names.Machines), "asked", r.Count)
			}
			as.recordMachines(names.Machines, storage.Machine{Partition: r.Partition, Type: r.Kind.Type, Zone: r.Kind.Zone,
				Spot: r.Kind.Spot, CreatedMS: time.Now().UnixMilli()})
			as.loop.Do(func() {
				delete(as.Leadership.PendingScaleOut, name)
				as.Leadership.AssignedAt[r.Partition] = time.Now()
			})
			return
		case err == nil && (status == 503 || status == 400):
			as.metrics.Count(telemetry.MachineRequestRefused, 1)
			as.log.Info("rental refused", "request", name, "type", r.Kind.Type, "zone", r.Kind.Zone, "spot", r.Kind.Spot, "status", status)
			as.loop.Do(func() {
				as.Leadership.RefusedCapacity[r.Kind] = time.Now().Add(15 * time.Second)
				delete(as.Leadership.PendingScaleOut, name)
			})
			eventloop.Signal(as.Leadership.Wakeup)
			return
		}
		as.log.Debug("rental unanswered", "request", name, "status", status, "reason", err)
		leading := false
		as.loop.Do(func() { leading = as.Leadership.Held && as.Leadership.Revision == version })
		if !leading || !as.loop.Sleep(tries.Failed()) {
			return
		}
	}
}
