// Package scaling decides, for the leader, on the machines of all parts: which are
// adopted, given up, moved, rented and returned. It is a pure function of a view;
// the leader gathers that, and does what the plan says.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
)

// View is all that the decisions rest on.
type View struct {
	Now time.Time
	// Partitions are by their numbers.
	Partitions []Partition
	// Machines are those on record, by name.
	Machines []Machine
	Catalog  []protocol.MachineType
	Scarcity binpack.Scarcity
	// RefusedCapacity says until when what the cloud refused is not asked for.
	RefusedCapacity map[binpack.MachineKind]time.Time
	// ScalingOut are the parts for which a request is under way.
	ScalingOut map[int]bool
	Unrecorded []Unrecorded
	// IdleSpot and IdleOrdinary are how long machines may stand idle.
	IdleSpot, IdleOrdinary time.Duration
}

// Partition is what its owner last said.
type Partition struct {
	// Known: it has said something lately.
	Known bool
	// Demands are what waits and finds no room, in the order of service.
	Demands []Demand
}

// Demand is waiting tasks that are alike.
type Demand struct {
	Constraints binpack.Constraints
	Resources   binpack.Resources
	Count       int
	// SlackS is how long until it should be done.
	EstimateS, SlackS, WaitedS float64
}

// Machine is a machine on record.
type Machine struct {
	Name      string
	Partition int
	Kind      binpack.MachineKind
	Type      *protocol.MachineType // nil: not in the catalog
	// Serving: it is neither lost nor faulty for all that the leader knows itself.
	Serving bool
	// What its part's owner says.
	Idle, Lost, Quarantined, NeverUp, Retiring bool
	IdleS                                      float64
	// Failed is what the cloud says.
	Failed bool
	// When it came on record, was last moved, and was last sent away.
	RecordedAt, MovedAt, DeletingSince time.Time
}

// Unrecorded is a machine without a record.
type Unrecorded struct {
	Name string
	Kind binpack.MachineKind
	// TriedAt is when it was last to be adopted.
	TriedAt time.Time
}

// Plan is what is to be done.
type Plan struct {
	Adopt []Adoption
	// AdoptLater are strays that may be the answer to a rental under way.
	AdoptLater []string
	Terminate  []Termination
	Moves      []Move
	ScaleOuts  []ScaleOut
	ScaleIns   []string
}

// Adoption gives a stray to a part.
type Adoption struct {
	Name      string
	Partition int
}

// Termination gives a machine up.
type Termination struct{ Name, Reason string }

// Move moves an idle machine between parts.
type Move struct {
	Name     string
	From, To int
}

// ScaleOut is a request to the cloud.
type ScaleOut struct {
	Kind      binpack.MachineKind
	Partition int
	Count     int
}

const (
	// moveRest is how long a machine that was moved is left alone, departRest one
	// that was sent away.
	moveRest   = 3 * time.Second
	departRest = 5 * time.Second
	// paid is how long a machine is kept in any case: its first minute is paid.
	paid = 55 * time.Second
	// spareSlackS is how much time a task must have left, beyond its run and the
	// boot, to wait for spot capacity instead of paying the ordinary price.
	spareSlackS = 10.0
)

// round is one decision under way. Demands shrink as they are served.
type round struct {
	View
	demands [][]Demand
	idle    [][]int // idle machines that may be moved, by part
	plan    Plan
	moved   map[int]bool
	leaving map[int]bool
}

// Decide makes a plan.
func Decide(v View) Plan {
	r := &round{View: v, demands: make([][]Demand, len(v.Partitions)), idle: make([][]int, len(v.Partitions)), moved: map[int]bool{}, leaving: map[int]bool{}}
	for i, p := range v.Partitions {
		r.demands[i] = slices.Clone(p.Demands)
	}
	r.adopt()
	r.giveUp()
	r.move()
	r.rent()
	r.giveBack()
	return r.plan
}

// adopt gives strays to the parts that hold least, one with waiting work first.
func (r *round) adopt() {
	held := make([]int, len(r.Partitions))
	for i := range r.Machines {
		held[r.Machines[i].Partition]++
	}
	for _, s := range r.Unrecorded {
		if r.Now.Sub(s.TriedAt) < departRest {
			continue
		}
		if len(r.ScalingOut) > 0 && r.Now.Sub(s.TriedAt) > time.Hour {
			r.plan.AdoptLater = append(r.plan.AdoptLater, s.Name)
			continue
		}
		best := slices.Index(held, slices.Min(held))
		for i := range r.Partitions {
			if len(r.demands[i]) > 0 && held[i] == held[best] {
				best = i
			}
		}
		held[best]++
		r.plan.Adopt = append(r.plan.Adopt, Adoption{s.Name, best})
	}
}

// giveUp ends machines that are lost, failed, faulty or never came up.
func (r *round) giveUp() {
	for i := range r.Machines {
		m := &r.Machines[i]
		reason := ""
		switch {
		case m.Lost:
			reason = "lost"
		case m.Quarantined && m.Idle:
			reason = "faulty"
		case m.Failed:
			reason = "failed"
		case m.NeverUp:
			reason = "never came up"
		}
		if reason == "" || r.Now.Sub(m.DeletingSince) < departRest {
			continue
		}
		r.leaving[i] = true
		r.plan.Terminate = append(r.plan.Terminate, Termination{m.Name, reason})
	}
}

// wants says whether a part has waiting work for a machine of its own.
func (r *round) wants(part int, m *Machine) bool {
	return slices.ContainsFunc(r.demands[part], func(d Demand) bool {
		return d.Count > 0 && d.Constraints.Allows(m.Kind) && binpack.Size(m.Type).Slots(d.Resources, d.Count) > 0
	})
}

// move moves idle machines from parts without fitting work to the part whose tasks
// have waited longest.
func (r *round) move() {
	for i := range r.Machines {
		m := &r.Machines[i]
		if m.Type != nil && m.Idle && !m.Retiring && !m.Quarantined && !m.Lost && r.Now.Sub(m.MovedAt) >= moveRest &&
			!r.leaving[i] && r.Now.Sub(m.DeletingSince) >= departRest {
			r.idle[m.Partition] = append(r.idle[m.Partition], i)
		}
	}
	var needy []int
	oldest := make([]float64, len(r.Partitions))
	for i := range r.Partitions {
		if len(r.demands[i]) > 0 {
			needy = append(needy, i)
		}
		for _, d := range r.demands[i] {
			oldest[i] = max(oldest[i], d.WaitedS)
		}
	}
	slices.SortStableFunc(needy, func(a, b int) int { return cmp.Compare(oldest[b], oldest[a]) })
	for _, to := range needy {
		for di := range r.demands[to] {
			d := &r.demands[to][di]
			for from := range r.Partitions {
				if from != to && r.Partitions[from].Known {
					r.moveFrom(from, to, d)
				}
			}
		}
	}
}

func (r *round) moveFrom(from, to int, d *Demand) {
	r.idle[from] = slices.DeleteFunc(r.idle[from], func(i int) bool {
		m := &r.Machines[i]
		if d.Count <= 0 || !d.Constraints.Allows(m.Kind) {
			return false
		}
		n := binpack.Size(m.Type).Slots(d.Resources, d.Count)
		if n == 0 || r.wants(from, m) {
			return false
		}
		d.Count -= n
		r.moved[i] = true
		r.plan.Moves = append(r.plan.Moves, Move{m.Name, from, to})
		return true
	})
}

// rent asks the cloud for machines for what waits and finds no room.
func (r *round) rent() {
	for part := range r.Partitions {
		if !r.Partitions[part].Known || r.ScalingOut[part] {
			continue // the summary does not know yet what a request under way brings
		}
		have := r.fleet(part)
		wanted := map[binpack.MachineKind]int{}
		var kinds []binpack.MachineKind
		ahead := 0.0
		for di := range r.demands[part] {
			d := &r.demands[part][di]
			count := float64(d.Count)
			for d.Count > 0 {
				wait := d.EstimateS * (ahead + float64(d.Count)) / max(1, r.room(d, have))
				k, n := r.cheapest(d, wait)
				if n == 0 {
					break
				}
				if wanted[k] == 0 {
					kinds = append(kinds, k)
				}
				wanted[k]++
				have[k]++
				r.fill(k, r.demands[part])
			}
			ahead += count
		}
		for _, k := range kinds {
			r.plan.ScaleOuts = append(r.plan.ScaleOuts, ScaleOut{k, part, wanted[k]})
		}
	}
}

// fleet counts a part's machines by what the cloud calls them.
func (r *round) fleet(part int) map[binpack.MachineKind]int {
	have := map[binpack.MachineKind]int{}
	for i := range r.Machines {
		if m := &r.Machines[i]; m.Partition == part && m.Type != nil && m.Serving {
			have[m.Kind]++
		}
	}
	return have
}

func (r *round) typ(name string) *protocol.MachineType {
	for i := range r.Catalog {
		if r.Catalog[i].Name == name {
			return &r.Catalog[i]
		}
	}
	return nil
}

// room is how many tasks like a demand's a fleet runs at a time, on machines that
// no choosier work needs.
func (r *round) room(d *Demand, have map[binpack.MachineKind]int) float64 {
	sum, breadth := 0, r.breadth(d)
	for k, n := range have {
		if t := r.typ(k.Type); t != nil && !r.Scarcity.Contested(k.Type, breadth) && d.Constraints.Allows(k) {
			sum += n * binpack.Size(t).Slots(d.Resources, binpack.UnboundedSlots)
		}
	}
	return float64(sum)
}

// breadth is how many machine types a demand's tasks fit.
func (r *round) breadth(d *Demand) int {
	n := 0
	for i := range r.Catalog {
		if binpack.FitsType(d.Constraints, d.Resources, &r.Catalog[i]) {
			n++
		}
	}
	return n
}

// cheapest picks what serves a demand at the least price for each of its tasks, and
// how many of them it holds. Types that work of fewer choices needs come last.
// waitS is how long the demand's last task would wait for the machines that there
// are.
func (r *round) cheapest(d *Demand, waitS float64) (binpack.MachineKind, int) {
	var best binpack.MachineKind
	held, least, bestContested := 0, math.Inf(1), true
	breadth := r.breadth(d)
	for i := range r.Catalog {
		t := &r.Catalog[i]
		n := binpack.Size(t).Slots(d.Resources, d.Count)
		if n == 0 {
			continue
		}
		zones := slices.Clone(t.ZonesOffered)
		slices.Sort(zones)
		for _, zone := range zones {
			for _, spot := range []bool{true, false} {
				k := binpack.MachineKind{Type: t.Name, Zone: zone, Spot: spot}
				if !d.Constraints.Allows(k) || r.Now.Before(r.RefusedCapacity[k]) {
					continue
				}
				if !spot && d.Constraints.Spot && d.SlackS-d.EstimateS-t.BootS-waitS > spareSlackS {
					continue // there is time to wait for a spot machine
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				contested := r.Scarcity.Contested(t.Name, breadth)
				cost := price / float64(n)
				if contested != bestContested && !contested || contested == bestContested && cost < least-binpack.Epsilon {
					best, held, least, bestContested = k, n, cost, contested
				}
			}
		}
	}
	return best, held
}

// fill takes from the demands what a machine of a kind would run.
func (r *round) fill(k binpack.MachineKind, demands []Demand) {
	room := binpack.Size(r.typ(k.Type))
	for i := range demands {
		d := &demands[i]
		if d.Constraints.Allows(k) {
			n := room.Slots(d.Resources, d.Count)
			d.Count -= n
			room = room.Plus(d.Resources, -float64(n))
		}
	}
}

// giveBack returns machines that have stood idle and that nobody wants, unless
// their first minute is not over.
func (r *round) giveBack() {
	for i := range r.Machines {
		m := &r.Machines[i]
		limit := r.IdleOrdinary
		if m.Kind.Spot {
			limit = r.IdleSpot
		}
		if m.Type == nil || !m.Idle || r.moved[i] || m.IdleS < limit.Seconds() || r.Now.Sub(m.RecordedAt) < paid ||
			r.Now.Sub(m.MovedAt) < moveRest || r.leaving[i] || r.Now.Sub(m.DeletingSince) < departRest {
			continue
		}
		needed := false
		for p := range r.Partitions {
			needed = needed || !r.Partitions[p].Known || r.wants(p, m)
		}
		if !needed {
			r.plan.ScaleIns = append(r.plan.ScaleIns, m.Name)
		}
	}
}
