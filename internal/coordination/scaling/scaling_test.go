package scaling

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
)

var (
	now     = time.Unix(1000, 0)
	catalog = []protocol.MachineType{
		{Name: "big", CPUs: 32, MemGB: 128, Price: 4, SpotPrice: 1, BootS: 10, Zones: []string{"b", "a"}},
		{Name: "small", CPUs: 8, MemGB: 16, Price: 1.2, SpotPrice: 0.2, BootS: 5, Zones: []string{"a"}}}
)

// newView returns a view of partitions without demands or machines.
func newView(partitions int) View {
	v := View{Now: now, Partitions: make([]Partition, partitions), Catalog: catalog, Scarcity: binpack.Scarcity{}, RefusedCapacity: map[binpack.MachineKind]time.Time{}, ScalingOut: map[int]bool{},
		IdleSpot: time.Minute, IdleOrdinary: 20 * time.Second}
	for i := range v.Partitions {
		v.Partitions[i].Reporting = true
	}
	return v
}

func (v *View) machine(name string, partition, typeIndex int, spot bool) *Machine {
	v.Machines = append(v.Machines, Machine{Name: name, Partition: partition, Kind: binpack.MachineKind{Type: catalog[typeIndex].Name, Zone: "a", Spot: spot}, Type: &catalog[typeIndex], Serving: true})
	return &v.Machines[len(v.Machines)-1]
}

func demand(count int, cpus float64) Demand {
	return Demand{Constraints: binpack.Constraints{Spot: true}, Resources: binpack.Resources{CPUs: cpus, MemGB: 1}, Count: count, EstimateS: 10, SlackS: 1000}
}

func TestDecide(t *testing.T) {
	spot := func(name string) binpack.MachineKind { return binpack.MachineKind{Type: name, Zone: "a", Spot: true} }
	for name, c := range map[string]struct {
		view func(*View)
		want Plan
	}{
		"nothing to do": {func(v *View) {}, Plan{}},
		"idle machine is moved instead of a scale-out": {func(v *View) {
			v.machine("m", 0, 1, true).Idle = true
			v.Partitions[1].Demands = []Demand{demand(4, 2)}
		}, Plan{Moves: []Move{{"m", 0, 1}}}},
		"machine stays while its own partition has demand for it": {func(v *View) {
			v.machine("m", 0, 1, true).Idle = true
			v.Partitions[0].Demands, v.Partitions[1].Demands = []Demand{demand(4, 2)}, []Demand{demand(4, 2)}
			v.ScalingOut[0], v.ScalingOut[1] = true, true
		}, Plan{}},
		"machine that was just moved": {func(v *View) {
			m := v.machine("m", 0, 1, true)
			m.Idle, m.MovedAt = true, now.Add(-time.Second)
			v.Partitions[1].Demands = []Demand{demand(4, 2)}
		}, Plan{ScaleOuts: []ScaleOut{{spot("small"), 1, 1}}}},
		"lowest price per task": {func(v *View) { v.Partitions[0].Demands = []Demand{demand(9, 4)} },
			Plan{ScaleOuts: []ScaleOut{{spot("small"), 0, 5}}}},
		"scale-out in progress": {func(v *View) {
			v.Partitions[0].Demands = []Demand{demand(9, 4)}
			v.ScalingOut[0] = true
		}, Plan{}},
		"refused machine kind": {func(v *View) {
			v.Partitions[0].Demands = []Demand{demand(2, 4)}
			v.RefusedCapacity[spot("small")] = now.Add(time.Second)
		}, Plan{ScaleOuts: []ScaleOut{{spot("big"), 0, 1}}}},
		"ordinary machine if there is no time to wait for spot": {func(v *View) {
			d := demand(1, 4)
			d.SlackS = 12
			v.Partitions[0].Demands = []Demand{d}
			for _, k := range []binpack.MachineKind{spot("small"), spot("big"), {Type: "big", Zone: "b", Spot: true}} {
				v.RefusedCapacity[k] = now.Add(time.Second)
			}
		}, Plan{ScaleOuts: []ScaleOut{{binpack.MachineKind{Type: "small", Zone: "a"}, 0, 1}}}},
		"type that a more constrained job needs is avoided": {func(v *View) {
			v.Partitions[0].Demands = []Demand{demand(2, 4)}
			v.Scarcity.Record("small", 1)
		}, Plan{ScaleOuts: []ScaleOut{{spot("big"), 0, 1}}}},
		"terminated machine is not scaled in as well": {func(v *View) {
			m := v.machine("m", 0, 1, true)
			m.Idle, m.Quarantined, m.IdleS = true, true, 1000
		}, Plan{Terminate: []Termination{{"m", "faulty"}}}},
		"termination is not repeated at once": {func(v *View) {
			m := v.machine("m", 0, 1, true)
			m.Lost, m.DeletingSince = true, now.Add(-time.Second)
		}, Plan{}},
		"ordinary machine is scaled in before spot": {func(v *View) {
			for _, spot := range []bool{false, true} {
				m := v.machine(fmt.Sprint("m ", spot), 0, 1, spot)
				m.Idle, m.IdleS = true, 30
			}
		}, Plan{ScaleIns: []string{"m false"}}},
		"no scale-in while a partition does not report": {func(v *View) {
			m := v.machine("m", 0, 1, false)
			m.Idle, m.IdleS = true, 30
			v.Partitions[1].Reporting = false
		}, Plan{}},
		"no scale-in before the minimum lifetime": {func(v *View) {
			m := v.machine("m", 0, 1, false)
			m.Idle, m.IdleS, m.RecordedAt = true, 30, now.Add(-40*time.Second)
		}, Plan{}},
		"unrecorded machines go to the smallest partition, with demand first": {func(v *View) {
			v.machine("m", 0, 1, false)
			v.Partitions = append(v.Partitions, Partition{Reporting: true, Demands: []Demand{{}}})
			v.Unrecorded = []Unrecorded{{Name: "s-1"}, {Name: "s-2"}, {Name: "s-3", TriedAt: now}}
		}, Plan{Adopt: []Adoption{{"s-1", 2}, {"s-2", 1}}}},
		"unrecorded machine is not adopted during a scale-out": {func(v *View) {
			v.ScalingOut[0] = true
			v.Unrecorded = []Unrecorded{{Name: "s"}}
		}, Plan{AdoptLater: []string{"s"}}},
	} {
		v := newView(2)
		c.view(&v)
		if got := Decide(v); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: Decide() = %+v, want %+v", name, got, c.want)
		}
	}
}

// Checks on random views that no machine is in the plan twice, and that no partition gets more new
// machines than it has pending tasks. Decide must be deterministic and not modify the view.
func TestPlansRespectConstraints(t *testing.T) {
	for seed := range uint64(300) {
		build := func() View {
			rng := rand.New(rand.NewPCG(seed, 1))
			v := newView(1 + rng.IntN(5))
			for i := range rng.IntN(40) {
				m := v.machine(fmt.Sprintf("m-%02d", i), rng.IntN(len(v.Partitions)), rng.IntN(2), rng.IntN(2) == 0)
				m.Idle, m.IdleS = rng.IntN(2) == 0, float64(rng.IntN(100))
				m.Lost, m.Quarantined, m.Failed, m.NeverUp, m.Retiring = rng.IntN(9) == 0, rng.IntN(9) == 0, rng.IntN(9) == 0, rng.IntN(9) == 0, rng.IntN(9) == 0
				m.MovedAt, m.DeletingSince = now.Add(-time.Duration(rng.IntN(9))*time.Second), now.Add(-time.Duration(rng.IntN(9))*time.Second)
			}
			for p := range v.Partitions {
				v.Partitions[p].Reporting = rng.IntN(6) > 0
				for range rng.IntN(5) {
					d := demand(1+rng.IntN(30), float64(1+rng.IntN(40)))
					d.Constraints.Spot, d.WaitedS, d.SlackS = rng.IntN(2) == 0, float64(rng.IntN(100)), float64(rng.IntN(100))
					v.Partitions[p].Demands = append(v.Partitions[p].Demands, d)
				}
				v.ScalingOut[p] = rng.IntN(4) == 0
			}
			return v
		}
		v := build()
		plan := Decide(v)
		if !reflect.DeepEqual(v, build()) {
			t.Fatalf("seed %d: Decide modified the view", seed)
		}
		if again := Decide(build()); !reflect.DeepEqual(plan, again) {
			t.Fatalf("seed %d: Decide returned different plans for the same view", seed)
		}
		changes := map[string]int{}
		for _, d := range plan.Terminate {
			changes[d.Name]++
		}
		for _, m := range plan.Moves {
			changes[m.Name]++
		}
		for _, name := range plan.ScaleIns {
			changes[name]++
		}
		for name, n := range changes {
			if n > 1 {
				t.Errorf("seed %d: machine %s is in the plan %d times: %+v", seed, name, n, plan)
			}
		}
		for _, r := range plan.ScaleOuts {
			tasks := 0
			for _, d := range v.Partitions[r.Partition].Demands {
				tasks += d.Count
			}
			if r.Count > tasks || v.ScalingOut[r.Partition] || !v.Partitions[r.Partition].Reporting {
				t.Errorf("seed %d: scale-out %+v for %d pending tasks; want no more machines than tasks, and none while a scale-out is in progress or the leader does not report", seed, r, tasks)
			}
		}
	}
}
