package fairshare

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"micaspindle/internal/coordination/binpack"
)

const large, urgent = 1, 2

// machine returns a machine with free CPUs, and CPUs held by group.
func machine(i int, typ string, cpus, free float64, held map[int]float64) Machine {
	return Machine{Name: fmt.Sprintf("m-%02d", i), Kind: binpack.MachineKind{Type: typ}, Size: binpack.Resources{CPUs: cpus, MemGB: 100},
		Free: binpack.Resources{CPUs: free, MemGB: 100}, Held: held}
}

// fullFleet returns a fleet of ten big machines full of urgent work, with large jobs waiting.
func fullFleet() View {
	v := View{Groups: []Group{{}, {Open: 40, Late: 40, Done: 10}, {Open: 500, Late: 400, Done: 500}},
		Jobs: []Job{{Class: large, Need: binpack.Resources{CPUs: 16}, Waiting: 80}, {Class: urgent, Need: binpack.Resources{CPUs: 2}, Waiting: 4000}}}
	for i := range 10 {
		v.Machines = append(v.Machines, machine(i, "big", 32, 0, map[int]float64{urgent: 32}))
	}
	return v
}

// Which machines are reserved for a starved class.
func TestReservations(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*View)
		want   []int // machines reserved for the large class
	}{
		"half, while it is starved":            {func(*View) {}, []int{0, 1, 2, 3, 4}},
		"few, while it is slightly starved":    {func(v *View) { v.Groups[large] = Group{Open: 10, Late: 7, Done: 90} }, []int{0}},
		"none, while it is not starved":        {func(v *View) { v.Groups[large].Late, v.Groups[urgent].Late = 1, 0 }, []int{}},
		"no more than it needs":                {func(v *View) { v.Jobs[0].Waiting = 3 }, []int{0, 1}},
		"where its tasks fit":                  {func(v *View) { v.Machines[0].Size.CPUs = 8 }, []int{1, 2, 3, 4, 5}[:4]},
		"those reserved before":                {func(v *View) { v.Machines[8].ReservedFor, v.Machines[9].ReservedFor = large, large }, []int{0, 1, 2, 8, 9}},
		"where most of its tasks run":          {func(v *View) { v.Machines[7].Held = map[int]float64{large: 16, urgent: 16} }, []int{0, 1, 2, 3, 7}},
		"the emptiest":                         {func(v *View) { v.Machines[6].Free.CPUs = 4 }, []int{0, 1, 2, 3, 6}},
		"not of a single machine":              {func(v *View) { v.Machines = v.Machines[:1] }, []int{}},
		"one of two, however slightly starved": {func(v *View) { v.Machines = v.Machines[:2]; v.Groups[large] = Group{Open: 10, Late: 7, Done: 90} }, []int{0}},
		"none of a type that it may not use":   {func(v *View) { v.Jobs[0].Wish.Types = []string{"other"} }, []int{}},
		"none if it holds most of the fleet": {func(v *View) {
			for i := range 6 {
				v.Machines[i].Held = map[int]float64{large: 32}
			}
		}, []int{}},
	} {
		v := fullFleet()
		c.change(&v)
		got := []int{}
		for i, g := range Reserve(v) {
			if g == large {
				got = append(got, i)
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Two classes are starved by a load surge, one of which demands far more than the other: both get
// a share. The teams of the surge are starved equally, so that none of them exceeds the others;
// when machines were reserved for each of them, none was left for the starved class (scenario
// flood-urgent, seed 993: 0.18 of listing-sync done).
func TestStarvedGroupsShareReservations(t *testing.T) {
	v := fullFleet()
	v.Groups = append(v.Groups, Group{Open: 30, Late: 30})
	v.Jobs = append(v.Jobs, Job{Class: 3, Need: binpack.Resources{CPUs: 1}, Waiting: 70})
	v.Jobs[0].Waiting = 9000
	count := map[int]int{}
	for _, g := range Reserve(v) {
		count[g]++
	}
	if count[3] != 3 || count[large] != 2 || count[urgent] != 0 {
		t.Errorf("reserved %v", count)
	}
	all := Group{}
	teams := []Group{{Open: 400, Late: 300, Done: 100}, {Open: 390, Late: 310, Done: 90}, {Open: 10, Late: 9}}
	for _, g := range teams {
		all.Open, all.Late, all.Done = all.Open+g.Open, all.Late+g.Late, all.Done+g.Done
	}
	for i, want := range []float64{0, 0.023, 0.275} {
		if got := teams[i].BeyondAverage(all).StarvedShare(); got < want-0.01 || got > want+0.01 {
			t.Errorf("team %d is starved by %v, want %v", i, got, want)
		}
	}
}

// A tally of completed jobs decays with time.
func TestTallyDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var tally Tally
	for range 10 {
		tally.Add(now, now)
	}
	tally.Add(now.Add(-memory), now) // from a listing: done some time ago
	if got := tally.Value(now); got < 10.3 || got > 10.4 {
		t.Errorf("%v", got)
	}
	if got := tally.Value(now.Add(5 * memory)); got > 0.1 {
		t.Errorf("tally %v after five time constants", got)
	}
	// A class that was served for hours and then not any more is soon starved.
	if g := (Group{Open: 30, Late: 30, Done: tally.Value(now.Add(memory))}); g.StarvedShare() < 0.8 {
		t.Errorf("starved by %v", g.StarvedShare())
	}
}

// After how many seconds a waiting job counts as starved, by its run time.
func TestWhenAJobCountsAsStarved(t *testing.T) {
	for span, want := range map[float64]float64{0: 60, 20: 30, 155: 77.5} {
		if got := StarvationS(span); got != want {
			t.Errorf("%v s to do it: after %v s, want %v", span, got, want)
		}
	}
}

// Which part of a team's quota is reserved for starved classes.
func TestQuotas(t *testing.T) {
	use := func(class int, used, wanted float64) ClassUse {
		return ClassUse{class, binpack.Compute{CPUs: used}, binpack.Compute{CPUs: wanted}}
	}
	for name, c := range map[string]struct {
		uses []ClassUse
		want map[int]float64
	}{
		"half":                                    {[]ClassUse{use(large, 0, 500)}, map[int]float64{large: 50}},
		"the unused part of its half":             {[]ClassUse{use(large, 20, 500)}, map[int]float64{large: 30}},
		"nothing for the class that uses most":    {[]ClassUse{use(large, 60, 500)}, map[int]float64{}},
		"no more than it demands":                 {[]ClassUse{use(large, 0, 10)}, map[int]float64{large: 10}},
		"the small class before the surging one":  {[]ClassUse{use(urgent, 45, 9000), use(large, 0, 500)}, map[int]float64{large: 50}},
		"little for a slightly starved class":     {[]ClassUse{use(3, 0, 500)}, map[int]float64{3: 10}},
		"nothing for a class that is not starved": {[]ClassUse{use(4, 0, 500)}, map[int]float64{}},
	} {
		got := map[int]float64{}
		for _, q := range Quotas([]float64{0, 0.5, 0.5, 0.1, 0}, binpack.Compute{CPUs: 100}, c.uses) {
			got[q.Class] = q.Reserved.CPUs
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Random partitions: never more than MaxReservedShare of a machine type is reserved, only for
// starved groups with waiting tasks, independently of the order of the machines, and the
// reservations become stable after a few rounds.
func TestReservationsRespectConstraints(t *testing.T) {
	reservedCount := 0
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 3))
		v := View{Groups: []Group{{}}}
		groups := 1 + rng.IntN(6)
		for range groups {
			open := float64(rng.IntN(50))
			v.Groups = append(v.Groups, Group{Open: open, Late: open * rng.Float64(), Done: float64(rng.IntN(100))})
		}
		for range rng.IntN(20) {
			v.Jobs = append(v.Jobs, Job{Class: rng.IntN(groups + 1), Team: rng.IntN(groups + 1), Need: binpack.Resources{CPUs: float64(1 + rng.IntN(20))}, Waiting: rng.IntN(30)})
		}
		capacity := map[string]float64{}
		for i := range rng.IntN(20) {
			typ, cpus := "small", 8.0
			if rng.IntN(2) == 0 {
				typ, cpus = "big", 32
			}
			m := machine(i, typ, cpus, float64(rng.IntN(int(cpus))), map[int]float64{rng.IntN(groups + 1): float64(rng.IntN(8))})
			m.ReservedFor = rng.IntN(groups + 1)
			v.Machines = append(v.Machines, m)
			capacity[typ] += cpus
		}
		reservations := Reserve(v)
		reservedCPUs := map[string]float64{}
		for i, g := range reservations {
			if g == NoGroup {
				continue
			}
			reservedCount++
			m := &v.Machines[i]
			reservedCPUs[m.Kind.Type] += m.Size.CPUs
			wanted := slices.ContainsFunc(v.Jobs, func(j Job) bool {
				return j.Waiting > 0 && (j.Class == g || j.Team == g) && m.Size.Holds(j.Need)
			})
			if !wanted || v.Groups[g].StarvedShare() <= slight {
				t.Errorf("seed %d: %s reserved for %d, starved by %v, wanted %v", seed, m.Name, g, v.Groups[g].StarvedShare(), wanted)
			}
		}
		for typ, n := range reservedCPUs {
			if n > MaxReservedShare*capacity[typ]+binpack.Epsilon {
				t.Errorf("seed %d: %v of %v CPUs of %s reserved", seed, n, capacity[typ], typ)
			}
		}
		reversed := v
		reversed.Machines = slices.Clone(v.Machines)
		slices.Reverse(reversed.Machines)
		again := Reserve(reversed)
		slices.Reverse(again)
		if !reflect.DeepEqual(reservations, again) {
			t.Errorf("seed %d: other machines reserved in another order", seed)
		}
		// Surplus reservations may be released in the first rounds.
		for range 4 {
			for i := range v.Machines {
				v.Machines[i].ReservedFor = reservations[i]
			}
			again, reservations = reservations, Reserve(v)
		}
		if !reflect.DeepEqual(reservations, again) {
			t.Errorf("seed %d: %v, then %v", seed, again, reservations)
		}
	}
	if reservedCount < 500 {
		t.Errorf("only %d machines reserved in all seeds", reservedCount)
	}
}
