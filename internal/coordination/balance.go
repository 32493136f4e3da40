package coordination

import (
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// yieldTime is how long a machine that shall move is given no new work. It is
// bounded, since the leader that asked may be gone.
const yieldTime = time.Minute

// yielding is a machine on its way to another part.
type yielding struct {
	to int
	at time.Time
}

// uneven is by how many machines a part must have too few, and another too
// many, before one moves: each move leaves room unused while it empties.
const uneven = 0.75

// balance hands machines of types that can't be rented any more to the parts
// with the most work that fits nothing else. Such machines are never idle, so
// moving idle ones alone would leave them where they were rented first (an
// exception in docs/design.md).
func (c *Controller) balance(views []*view, now time.Time) {
	l := &c.leader
	for name, y := range l.yielding {
		m := c.machines[name]
		if m == nil || m.rec.Part == y.to || now.Sub(y.at) > yieldTime {
			delete(l.yielding, name)
			continue
		}
		if from := views[m.rec.Part]; from != nil {
			if st := from.states[name]; st != nil && st.Idle && now.Sub(l.moved[name]) > 3*time.Second {
				c.move(st, m, from, y.to, now)
			}
		}
	}
	scarce := c.scarcity()
	for i := range c.catalog {
		if t := &c.catalog[i]; scarce[t.Name] == 1 {
			c.balanceType(t, views, now)
		}
	}
}

func (c *Controller) balanceType(t *protocol.MachineType, views []*view, now time.Time) {
	l := &c.leader
	scarce := scarcity{t.Name: 1}
	load, have := make([]float64, len(views)), make([]float64, len(views))
	var loads, machines float64
	short := false
	for _, v := range views {
		if v == nil {
			return // nobody knows what that part holds and lacks
		}
		for _, d := range v.demands {
			if !demandFits(d, t) || c.demandBreadth(d) > 1 {
				continue
			}
			load[v.part] += float64(d.Count) * max(d.Cpus, epsilon)
			if _, n := c.cheapest(d, scarce, 0, now); n == 0 {
				short = true
			}
		}
		for name, st := range v.states {
			if m := c.machines[name]; m == nil || m.rec.Type != t.Name || st.Lost || st.Faulty || st.Retiring {
				continue
			}
			load[v.part] += t.CPUs - st.FreeCpus
			part := v.part
			if y, ok := l.yielding[name]; ok {
				part = y.to
			}
			have[part]++
			machines++
		}
		loads += load[v.part]
	}
	if !short || loads <= 0 {
		return
	}
	for float64(len(l.yielding)) < max(1, machines/6) {
		from, to := 0, 0
		over := func(p int) float64 { return have[p] - machines*load[p]/loads }
		for p := range views {
			if over(p) > over(from) {
				from = p
			}
			if over(p) < over(to) {
				to = p
			}
		}
		if over(from) < uneven || over(to) > -uneven {
			return
		}
		m := c.leastUsed(views[from], t, now)
		if m == nil {
			return
		}
		l.yielding[m.name] = yielding{to: to, at: now}
		have[from]--
		have[to]++
		c.log.Info("machine shall move", "machine", m.name, "from", from, "to", to)
		c.askOwner(views[from].owner, &peer.FleetRequest{Machine: m.name, Yield: true}, nil)
	}
}

// leastUsed picks the machine of a type that should be empty soonest.
func (c *Controller) leastUsed(v *view, t *protocol.MachineType, now time.Time) *machine {
	var best *machine
	free := 0.0
	for name, st := range v.states {
		m := c.machines[name]
		if m == nil || m.rec.Type != t.Name || !st.Heard || st.Lost || st.Faulty || st.Retiring || m.rec.Part != v.part ||
			now.Sub(c.leader.moved[name]) < yieldTime {
			continue
		}
		if _, ok := c.leader.yielding[name]; ok {
			continue
		}
		if best == nil || st.FreeCpus > free || st.FreeCpus == free && name < best.name {
			best, free = m, st.FreeCpus
		}
	}
	return best
}
