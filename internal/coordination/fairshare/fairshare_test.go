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

func machine(i int, typ string, cpus, free float64, used map[int]float64) Machine {
	return Machine{Name: fmt.Sprintf("m-%02d", i), Kind: binpack.MachineKind{Type: typ}, Size: binpack.Resources{CPUs: cpus, MemGB: 100},
		Free: binpack.Resources{CPUs: free, MemGB: 100}, UsedCPUs: used}
}

// full returns ten machines full of urgent tasks, while jobs of the large class wait.
func full() View {
	v := View{Groups: []Group{{}, {Open: 40, Starved: 40, Done: 10}, {Open: 500, Starved: 400, Done: 500}},
		Jobs: []Job{{Class: large, Resources: binpack.Resources{CPUs: 16}, Pending: 80}, {Class: urgent, Resources: binpack.Resources{CPUs: 2}, Pending: 4000}}}
	for i := range 10 {
		v.Machines = append(v.Machines, machine(i, "big", 32, 0, map[int]float64{urgent: 32}))
	}
	return v
}

func TestReservations(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*View)
		want   []int // indexes of the machines reserved for the large class
	}{
		"very starved: half of the machines":           {func(*View) {}, []int{0, 1, 2, 3, 4}},
		"slightly starved: few machines":               {func(v *View) { v.Groups[large] = Group{Open: 10, Starved: 7, Done: 90} }, []int{0}},
		"not starved: no machines":                     {func(v *View) { v.Groups[large].Starved, v.Groups[urgent].Starved = 1, 0 }, []int{}},
		"no more than its tasks need":                  {func(v *View) { v.Jobs[0].Pending = 3 }, []int{0, 1}},
		"only machines that its tasks fit":             {func(v *View) { v.Machines[0].Size.CPUs = 8 }, []int{1, 2, 3, 4, 5}[:4]},
		"machines reserved before come first":          {func(v *View) { v.Machines[8].ReservedFor, v.Machines[9].ReservedFor = large, large }, []int{0, 1, 2, 8, 9}},
		"machines that run its tasks come first":       {func(v *View) { v.Machines[7].UsedCPUs = map[int]float64{large: 16, urgent: 16} }, []int{0, 1, 2, 3, 7}},
		"emptier machines come first":                  {func(v *View) { v.Machines[6].Free.CPUs = 4 }, []int{0, 1, 2, 3, 6}},
		"a single machine is not reserved":             {func(v *View) { v.Machines = v.Machines[:1] }, []int{}},
		"one of two machines even if slightly starved": {func(v *View) { v.Machines = v.Machines[:2]; v.Groups[large] = Group{Open: 10, Starved: 7, Done: 90} }, []int{0}},
		"no machine that its constraints exclude":      {func(v *View) { v.Jobs[0].Constraints.Types = []string{"other"} }, []int{}},
		"no machine where its only job failed":         {func(v *View) { v.Jobs[0].SuspectMachines = map[string]bool{"m-00": true, "m-02": true} }, []int{1, 3, 4, 5}},
		"a machine where only one of its jobs failed": {func(v *View) {
			v.Jobs[0].SuspectMachines = map[string]bool{"m-00": true}
			v.Jobs = append(v.Jobs, Job{Class: large, Resources: binpack.Resources{CPUs: 16}, Pending: 1})
		}, []int{0, 1, 2, 3, 4}},
		"nothing if it uses most of the machines": {func(v *View) {
			for i := range 6 {
				v.Machines[i].UsedCPUs = map[int]float64{large: 32}
			}
		}, []int{}},
	} {
		v := full()
		c.change(&v)
		got := []int{}
		for i, g := range Reserve(v) {
			if g == large {
				got = append(got, i)
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: machines %v reserved, want %v", name, got, c.want)
		}
	}
}

// Two classes that are starved by a load surge both get reservations, although one has far more
// demand than the other. Teams with equal starved shares get none: reservations for each team would
// leave no machines for the classes.
func TestStarvedGroupsShareReservations(t *testing.T) {
	v := full()
	v.Groups = append(v.Groups, Group{Open: 30, Starved: 30})
	v.Jobs = append(v.Jobs, Job{Class: 3, Resources: binpack.Resources{CPUs: 1}, Pending: 70})
	v.Jobs[0].Pending = 9000
	count := map[int]int{}
	for _, g := range Reserve(v) {
		count[g]++
	}
	if count[3] != 3 || count[large] != 2 || count[urgent] != 0 {
		t.Errorf("machines reserved by class: %v, want 3 for the added class 3, 2 for the large class and none for the urgent class", count)
	}
	all := Group{}
	teams := []Group{{Open: 400, Starved: 300, Done: 100}, {Open: 390, Starved: 310, Done: 90}, {Open: 10, Starved: 9}}
	for _, g := range teams {
		all.Open, all.Starved, all.Done = all.Open+g.Open, all.Starved+g.Starved, all.Done+g.Done
	}
	for i, want := range []float64{0, 0.023, 0.275} {
		if got := teams[i].BeyondAverage(all).StarvedShare(); got < want-0.01 || got > want+0.01 {
			t.Errorf("team %d: starved share of BeyondAverage is %v, want %v", i, got, want)
		}
	}
}

func TestTallyDecays(t *testing.T) {
	now := time.Unix(1000, 0)
	var tally Tally
	for range 10 {
		tally.Add(now, now)
	}
	tally.Add(now.Add(-tallyDecay), now) // completed earlier, as read from a listing of the records
	if got := tally.Value(now); got < 10.3 || got > 10.4 {
		t.Errorf("ten new jobs and an old one count as %v, want 10.3 to 10.4", got)
	}
	if got := tally.Value(now.Add(5 * tallyDecay)); got > 0.1 {
		t.Errorf("after five times tallyDecay the jobs count as %v, want at most 0.1", got)
	}
	// A class that is no longer served becomes starved within tallyDecay.
	if g := (Group{Open: 30, Starved: 30, Done: tally.Value(now.Add(tallyDecay))}); g.StarvedShare() < 0.8 {
		t.Errorf("tallyDecay after the last completed job: starved share %v, want at least 0.8", g.StarvedShare())
	}
}

func TestWhenAJobCountsAsStarved(t *testing.T) {
	for allowedS, want := range map[float64]float64{0: 60, 20: 30, 155: 77.5} {
		if got := StarvationTimeS(allowedS); got != want {
			t.Errorf("a job with %v s until its deadline is starved after %v s, want %v s", allowedS, got, want)
		}
	}
}

func TestQuotas(t *testing.T) {
	use := func(class int, used, wanted float64) ClassUse {
		return ClassUse{class, binpack.TeamResources{CPUs: used}, binpack.TeamResources{CPUs: wanted}}
	}
	for name, c := range map[string]struct {
		uses []ClassUse
		want map[int]float64
	}{
		"half of the limit":                       {[]ClassUse{use(large, 0, 500)}, map[int]float64{large: 50}},
		"half of the limit less what it uses":     {[]ClassUse{use(large, 20, 500)}, map[int]float64{large: 30}},
		"nothing for a class that uses most":      {[]ClassUse{use(large, 60, 500)}, map[int]float64{}},
		"no more than it wants":                   {[]ClassUse{use(large, 0, 10)}, map[int]float64{large: 10}},
		"the class that wants least comes first":  {[]ClassUse{use(urgent, 45, 9000), use(large, 0, 500)}, map[int]float64{large: 50}},
		"little for a slightly starved class":     {[]ClassUse{use(3, 0, 500)}, map[int]float64{3: 10}},
		"nothing for a class that is not starved": {[]ClassUse{use(4, 0, 500)}, map[int]float64{}},
	} {
		got := map[int]float64{}
		for _, q := range ReserveQuotas([]float64{0, 0.5, 0.5, 0.1, 0}, binpack.TeamResources{CPUs: 100}, c.uses) {
			got[q.Class] = q.Reserved.CPUs
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: CPUs reserved by class %v, want %v", name, got, c.want)
		}
	}
}

// In random partitions, at most MaxReservedShare of a machine type is reserved, and only for
// starved groups with pending tasks that fit. The result does not depend on the order of the
// machines, and repeated calls converge.
func TestReservationsRespectConstraints(t *testing.T) {
	reservations := 0
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 3))
		v := View{Groups: []Group{{}}}
		groups := 1 + rng.IntN(6)
		for range groups {
			open := float64(rng.IntN(50))
			v.Groups = append(v.Groups, Group{Open: open, Starved: open * rng.Float64(), Done: float64(rng.IntN(100))})
		}
		for range rng.IntN(20) {
			v.Jobs = append(v.Jobs, Job{Class: rng.IntN(groups + 1), Team: rng.IntN(groups + 1), Resources: binpack.Resources{CPUs: float64(1 + rng.IntN(20))}, Pending: rng.IntN(30)})
		}
		totalCPUs := map[string]float64{}
		for i := range rng.IntN(20) {
			typ, cpus := "small", 8.0
			if rng.IntN(2) == 0 {
				typ, cpus = "big", 32
			}
			m := machine(i, typ, cpus, float64(rng.IntN(int(cpus))), map[int]float64{rng.IntN(groups + 1): float64(rng.IntN(8))})
			m.ReservedFor = rng.IntN(groups + 1)
			v.Machines = append(v.Machines, m)
			totalCPUs[typ] += cpus
		}
		reserved := Reserve(v)
		reservedCPUs := map[string]float64{}
		for i, g := range reserved {
			if g == NoGroup {
				continue
			}
			reservations++
			m := &v.Machines[i]
			reservedCPUs[m.Kind.Type] += m.Size.CPUs
			wanted := slices.ContainsFunc(v.Jobs, func(j Job) bool {
				return j.Pending > 0 && (j.Class == g || j.Team == g) && m.Size.Holds(j.Resources)
			})
			if !wanted || v.Groups[g].StarvedShare() <= minStarvedShare {
				t.Errorf("seed %d: machine %s is reserved for group %d; its starved share is %v, pending tasks that fit: %v", seed, m.Name, g, v.Groups[g].StarvedShare(), wanted)
			}
		}
		for typ, n := range reservedCPUs {
			if n > MaxReservedShare*totalCPUs[typ]+binpack.Epsilon {
				t.Errorf("seed %d: %v of %v CPUs of machine type %s are reserved, want at most the share MaxReservedShare", seed, n, totalCPUs[typ], typ)
			}
		}
		reversed := v
		reversed.Machines = slices.Clone(v.Machines)
		slices.Reverse(reversed.Machines)
		again := Reserve(reversed)
		slices.Reverse(again)
		if !reflect.DeepEqual(reserved, again) {
			t.Errorf("seed %d: with the machines in reverse order, the reservations are %v, want %v", seed, again, reserved)
		}
		// Machines beyond what is needed may be released in the first few calls.
		for range 4 {
			for i := range v.Machines {
				v.Machines[i].ReservedFor = reserved[i]
			}
			again, reserved = reserved, Reserve(v)
		}
		if !reflect.DeepEqual(reserved, again) {
			t.Errorf("seed %d: reservations do not converge: %v, then %v", seed, again, reserved)
		}
	}
	if reservations < 500 {
		t.Errorf("only %d machines reserved in all seeds, want at least 500", reservations)
	}
}
