package coordination

import (
	"fmt"
	"math"
	"slices"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// rent asks the cloud for machines for what waits and finds no room.
func (c *Controller) rent(views []*view, now time.Time) {
	scarce := c.scarcity(now)
	for _, v := range views {
		if v == nil {
			continue
		}
		pending := false
		for _, r := range c.leader.renting {
			pending = pending || r.part == v.part
		}
		if pending {
			continue // the summary does not know yet what this one brings
		}
		wanted := map[offer]int{}
		have := c.fleet(v.part)
		ahead := 0.0
		for _, d := range v.demands {
			count := float64(d.Count)
			for d.Count > 0 {
				wait := d.EstimateS * (ahead + float64(d.Count)) / max(1, c.room(d, scarce, have))
				o, n := c.cheapest(d, scarce, wait, now)
				if n == 0 {
					break
				}
				wanted[o]++
				have[o]++
				c.fill(o, v.demands)
			}
			ahead += count
		}
		for o, n := range wanted {
			c.startRental(o, v.part, n)
		}
	}
}

// fleet counts a part's machines by what the cloud calls them.
func (c *Controller) fleet(part int) map[offer]int {
	have := map[offer]int{}
	for _, m := range c.machines {
		if m.rec.Part == part && m.typ != nil && !m.lost && !m.faulty {
			have[offer{m.rec.Type, m.rec.Zone, m.rec.Spot}]++
		}
	}
	return have
}

// room is how many tasks like a demand's a fleet runs at a time, on machines
// that no choosier work needs.
func (c *Controller) room(d *peer.Demand, scarce scarcity, have map[offer]int) float64 {
	sum, breadth := 0, c.demandBreadth(d)
	for o, n := range have {
		if t := c.types[o.typ]; t != nil && !scarce.contested(o.typ, breadth) && demandAllows(d, o.typ, o.zone, o.spot) {
			sum += n * perMachine(d, t, manySlots)
		}
	}
	return float64(sum)
}

// spareSlack is how much time a task must have left, beyond its run and the
// boot, for the leader to wait for spot capacity instead of paying the
// ordinary price.
const spareSlack = 10.0

// cheapest picks the offer that serves a demand at the least price for each of
// its tasks, and how many of them it holds. Types that work of fewer choices
// needs come last. wait is how long the demand's last task would wait for the
// machines that there are.
func (c *Controller) cheapest(d *peer.Demand, scarce scarcity, wait float64, now time.Time) (offer, int) {
	var best offer
	held, least, bestContested := 0, math.Inf(1), true
	breadth := c.demandBreadth(d)
	for i := range c.catalog {
		t := &c.catalog[i]
		n := perMachine(d, t, int(d.Count))
		if n == 0 {
			continue
		}
		zones := slices.Clone(t.ZonesOffered)
		slices.Sort(zones)
		for _, zone := range zones {
			for _, spot := range []bool{true, false} {
				o := offer{t.Name, zone, spot}
				if !demandAllows(d, t.Name, zone, spot) || now.Before(c.leader.refused[o]) {
					continue
				}
				if !spot && d.Spot && d.SlackS-d.EstimateS-t.BootS-wait > spareSlack {
					continue // there is time to wait for a spot machine
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				contested := scarce.contested(t.Name, breadth)
				cost := price / float64(n)
				if contested != bestContested && !contested || contested == bestContested && cost < least-epsilon {
					best, held, least, bestContested = o, n, cost, contested
				}
			}
		}
	}
	return best, held
}

// demandFits says whether a demand's tasks fit an empty machine of a type.
func demandFits(d *peer.Demand, t *protocol.MachineType) bool {
	return (len(d.Types) == 0 || slices.Contains(d.Types, t.Name)) && perMachine(d, t, 1) > 0
}

// demandBreadth is how many machine types a demand's tasks fit.
func (c *Controller) demandBreadth(d *peer.Demand) int {
	n := 0
	for i := range c.catalog {
		if demandFits(d, &c.catalog[i]) {
			n++
		}
	}
	return n
}

// fill takes from the demands what a machine of the offer would run.
func (c *Controller) fill(o offer, demands []*peer.Demand) {
	t := c.types[o.typ]
	cpus, gpus, mem := t.CPUs, t.GPUs, t.MemGB
	for _, d := range demands {
		if !demandAllows(d, o.typ, o.zone, o.spot) {
			continue
		}
		n := howMany(d, cpus, gpus, mem)
		d.Count -= uint32(n)
		cpus, gpus, mem = cpus-float64(n)*d.Cpus, gpus-float64(n)*d.Gpus, mem-float64(n)*d.MemGb
	}
}

// startRental sends one request. Its name holds the revision of the leader's
// claim and a counter, so that no other request ever has it.
func (c *Controller) startRental(o offer, part, count int) {
	l := &c.leader
	l.counter++
	name := fmt.Sprintf("r-%d-%d", l.version, l.counter)
	r := &rental{offer: o, part: part, count: min(count, 50)}
	l.renting[name] = r
	version := l.version
	c.log.Info("renting", "request", name, "type", o.typ, "zone", o.zone, "spot", o.spot, "count", count, "part", part)
	c.duty.Go(func() { c.finishRental(name, r, version) })
}

// finishRental repeats a request under its name until it is answered.
func (c *Controller) finishRental(name string, r *rental, version uint64) {
	req := protocol.Rental{Request: name, Type: r.offer.typ, Zone: r.offer.zone, Spot: r.offer.spot, Count: r.count}
	for {
		var names protocol.MachineNames
		status, err := c.cloud("POST", "/machines", req, &names)
		switch {
		case err == nil && status == 200:
			if len(names.Machines) < r.count {
				c.do(func() { c.leader.refused[r.offer] = time.Now().Add(15 * time.Second) })
				c.log.Info("rental partly filled", "request", name, "machines", len(names.Machines), "asked", r.count)
			}
			c.recordMachines(names.Machines, bookkeeping.Machine{Part: r.part, Type: r.offer.typ, Zone: r.offer.zone,
				Spot: r.offer.spot, RentedMS: time.Now().UnixMilli()})
			c.do(func() {
				delete(c.leader.renting, name)
				c.leader.settled[r.part] = time.Now()
			})
			return
		case err == nil && (status == 503 || status == 400):
			c.log.Info("rental refused", "request", name, "type", r.offer.typ, "zone", r.offer.zone, "spot", r.offer.spot, "status", status)
			c.do(func() {
				c.leader.refused[r.offer] = time.Now().Add(15 * time.Second)
				delete(c.leader.renting, name)
			})
			nudge(c.leader.kick)
			return
		}
		c.log.Debug("rental unanswered", "request", name, "status", status, "reason", err)
		leading := false
		c.do(func() { leading = c.leader.mine && c.leader.version == version })
		if !leading || !c.sleep(time.Second) {
			return
		}
	}
}
