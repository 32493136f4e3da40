package coordination

import (
	"fmt"
	"time"

	"micaspindle/internal/eventloop"
	"micaspindle/internal/telemetry"

	"micaspindle/internal/coordination/scaling"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// startScaleOut sends one request. Its name holds the revision of the leader's
// claim and a counter, so that no other request ever has it.
func (c *Controller) startScaleOut(plan scaling.ScaleOut) {
	l := &c.Leadership
	l.Requests++
	name := fmt.Sprintf("r-%d-%d", l.Revision, l.Requests)
	r := &ScaleOutRequest{Kind: plan.Kind, Partition: plan.Partition, Count: min(plan.Count, 50)}
	l.PendingScaleOut[name] = r
	version := l.Revision
	c.metrics.Count(telemetry.Rented, r.Count)
	c.log.Info("renting", "request", name, "type", r.Kind.Type, "zone", r.Kind.Zone, "spot", r.Kind.Spot, "count", plan.Count, "part", r.Partition)
	c.loop.Go(func() { c.finishScaleOut(name, r, version) })
}

// finishScaleOut repeats a request under its name until it is answered.
func (c *Controller) finishScaleOut(name string, r *ScaleOutRequest, version uint64) {
	req := protocol.Rental{Request: name, Type: r.Kind.Type, Zone: r.Kind.Zone, Spot: r.Kind.Spot, Count: r.Count}
	tries := c.loop.Tries(name, cloudBackoff)
	for {
		var names protocol.MachineNames
		status, err := c.callCloud("POST", "/machines", req, &names)
		switch {
		case err == nil && status == 200:
			if len(names.Machines) < r.Count {
				c.loop.Do(func() { c.Leadership.RefusedCapacity[r.Kind] = time.Now().Add(15 * time.Second) })
				c.log.Info("rental partly filled", "request", name, "machines", len(names.Machines), "asked", r.Count)
			}
			c.recordMachines(names.Machines, storage.Machine{Partition: r.Partition, Type: r.Kind.Type, Zone: r.Kind.Zone,
				Spot: r.Kind.Spot, RentedMS: time.Now().UnixMilli()})
			c.loop.Do(func() {
				delete(c.Leadership.PendingScaleOut, name)
				c.Leadership.AssignedAt[r.Partition] = time.Now()
			})
			return
		case err == nil && (status == 503 || status == 400):
			c.metrics.Count(telemetry.RentRefused, 1)
			c.log.Info("rental refused", "request", name, "type", r.Kind.Type, "zone", r.Kind.Zone, "spot", r.Kind.Spot, "status", status)
			c.loop.Do(func() {
				c.Leadership.RefusedCapacity[r.Kind] = time.Now().Add(15 * time.Second)
				delete(c.Leadership.PendingScaleOut, name)
			})
			eventloop.Signal(c.Leadership.Wakeup)
			return
		}
		c.log.Debug("rental unanswered", "request", name, "status", status, "reason", err)
		leading := false
		c.loop.Do(func() { leading = c.Leadership.Held && c.Leadership.Revision == version })
		if !leading || !c.loop.Sleep(tries.Failed()) {
			return
		}
	}
}
