package coordination

import (
	"fmt"
	"micaspindle/internal/observe"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/fleet"
	"micaspindle/internal/protocol"
)

// startRental sends one request. Its name holds the revision of the leader's
// claim and a counter, so that no other request ever has it.
func (c *Controller) startRental(plan fleet.Rental) {
	l := &c.leader
	l.counter++
	name := fmt.Sprintf("r-%d-%d", l.version, l.counter)
	r := &rental{kind: plan.Kind, part: plan.Part, count: min(plan.Count, 50)}
	l.renting[name] = r
	version := l.version
	c.metrics.Count(observe.Rented, r.count)
	c.log.Info("renting", "request", name, "type", r.kind.Type, "zone", r.kind.Zone, "spot", r.kind.Spot, "count", plan.Count, "part", r.part)
	c.duty.Go(func() { c.finishRental(name, r, version) })
}

// finishRental repeats a request under its name until it is answered.
func (c *Controller) finishRental(name string, r *rental, version uint64) {
	req := protocol.Rental{Request: name, Type: r.kind.Type, Zone: r.kind.Zone, Spot: r.kind.Spot, Count: r.count}
	tries := c.tries(name, cloudPause)
	for {
		var names protocol.MachineNames
		status, err := c.cloud("POST", "/machines", req, &names)
		switch {
		case err == nil && status == 200:
			if len(names.Machines) < r.count {
				c.do(func() { c.leader.refused[r.kind] = time.Now().Add(15 * time.Second) })
				c.log.Info("rental partly filled", "request", name, "machines", len(names.Machines), "asked", r.count)
			}
			c.recordMachines(names.Machines, bookkeeping.Machine{Part: r.part, Type: r.kind.Type, Zone: r.kind.Zone,
				Spot: r.kind.Spot, RentedMS: time.Now().UnixMilli()})
			c.do(func() {
				delete(c.leader.renting, name)
				c.leader.settled[r.part] = time.Now()
			})
			return
		case err == nil && (status == 503 || status == 400):
			c.metrics.Count(observe.RentRefused, 1)
			c.log.Info("rental refused", "request", name, "type", r.kind.Type, "zone", r.kind.Zone, "spot", r.kind.Spot, "status", status)
			c.do(func() {
				c.leader.refused[r.kind] = time.Now().Add(15 * time.Second)
				delete(c.leader.renting, name)
			})
			nudge(c.leader.kick)
			return
		}
		c.log.Debug("rental unanswered", "request", name, "status", status, "reason", err)
		leading := false
		c.do(func() { leading = c.leader.mine && c.leader.version == version })
		if !leading || !c.sleep(tries.Failed()) {
			return
		}
	}
}
