package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/coordination/fairshare"
)

// known answers from tables.
type known struct {
	running [][]contention.Task
	images  []string // one on each machine
}

func (k known) HasImage(m int, image string) bool { return m < len(k.images) && k.images[m] == image }

func (k known) Running(m int) *contention.Machine {
	p := &contention.Machine{UseLimit: 6.4}
	if m < len(k.running) {
		p.Tasks = k.running[m]
	}
	return p
}

func machine(name, zone string, cpus float64, spot bool) Machine {
	return Machine{Name: name, Kind: binpack.MachineKind{Type: "t", Zone: zone, Spot: spot}, Free: binpack.Resources{CPUs: cpus, MemGB: 100}, FetchGBPerS: 1}
}

func job(waiting int, cpus float64) Job {
	return Job{Pending: waiting, Resources: binpack.Resources{CPUs: cpus, MemGB: 1}, Constraints: binpack.Constraints{Spot: true}, Types: 1, Image: "i", ImageGB: 1, LongFetchS: 10,
		Tasks: waiting, Prediction: contention.Task{EstimateS: 10, Use: cpus}}
}

func TestDecide(t *testing.T) {
	busy := []contention.Task{{EstimateS: 100, Use: 2}, {EstimateS: 100, Use: 2}}
	for name, c := range map[string]struct {
		view func(v *View, k *known)
		want Plan
	}{
		"the least contention":    {func(v *View, k *known) { k.running = [][]contention.Task{busy} }, Plan{Assignments: []Assignment{{0, 1}}}},
		"the image among equals":  {func(v *View, k *known) { k.images = []string{"", "i"} }, Plan{Assignments: []Assignment{{0, 1}}}},
		"the fuller among equals": {func(v *View, k *known) { v.Machines[1].Free.CPUs = 6 }, Plan{Assignments: []Assignment{{0, 1}}}},
		"spot before ordinary":    {func(v *View, k *known) { v.Machines[0].Kind.Spot = false }, Plan{Assignments: []Assignment{{0, 1}}}},
		"the image where fetching takes long": {func(v *View, k *known) {
			k.running, k.images, v.Jobs[0].ImageGB = [][]contention.Task{busy}, []string{"i"}, 20
		}, Plan{Assignments: []Assignment{{0, 0}}}},
		"a type that choosier work needs comes last": {func(v *View, k *known) {
			v.Machines[0].Kind.Type = "scarce"
			v.Scarcity.Note("scarce", 1)
			v.Jobs[0].Types = 3
		}, Plan{Assignments: []Assignment{{0, 1}}}},
		"not where it failed": {func(v *View, k *known) { v.Jobs[0].FailedMachines = map[string]bool{"a": true} }, Plan{Assignments: []Assignment{{0, 1}}}},
		"within the team's limit": {func(v *View, k *known) {
			v.Jobs[0].Pending, v.Teams[0] = 3, Team{Limit: binpack.Compute{CPUs: 8}, Used: binpack.Compute{CPUs: 3.5}}
		}, Plan{Assignments: []Assignment{{0, 0}, {0, 0}}}},
		"apart": {func(v *View, k *known) {
			v.Jobs[0] = job(4, 1)
			v.Jobs[0].Spread, v.Jobs[0].Zones = true, map[string]int{"x": 2}
		}, Plan{Assignments: []Assignment{{0, 1}, {0, 1}}}},
		"together": {func(v *View, k *known) {
			v.Jobs[0] = job(2, 1)
			v.Jobs[0].OneZone, v.Jobs[0].Zones = true, map[string]int{"y": 1}
		}, Plan{Assignments: []Assignment{{0, 1}, {0, 1}}}},
		"room that is given is gone": {func(v *View, k *known) { v.Jobs = []Job{job(5, 4)} }, Plan{Assignments: []Assignment{{0, 0}, {0, 0}, {0, 1}, {0, 1}}}},
		"a gang, whole": {func(v *View, k *known) { v.Jobs = []Job{job(4, 4)}; v.Jobs[0].Gang = true },
			Plan{Assignments: []Assignment{{0, 0}, {0, 0}, {0, 1}, {0, 1}}}},
		"a gang without room, and who comes after it": {func(v *View, k *known) {
			v.Jobs = []Job{job(5, 4), job(1, 8)}
			v.Jobs[0].Gang = true
		}, Plan{Assignments: []Assignment{{1, 0}}, WantedByGangs: []int{0, 0, 1, 1}}},
		"a gang beyond its team's limit": {func(v *View, k *known) {
			v.Jobs = []Job{job(2, 4)}
			v.Jobs[0].Gang, v.Teams[0].Limit.CPUs = true, 6
		}, Plan{WantedByGangs: []int{0}}},
		"not where it is kept for others": {func(v *View, k *known) { v.Machines[0].ReservedFor, v.Jobs[0].Groups = 5, [2]int{1, 2} },
			Plan{Assignments: []Assignment{{0, 1}}}},
		"where it is kept for its class": {func(v *View, k *known) {
			v.Machines[0].ReservedFor, v.Jobs[0].Groups, v.Machines[1].Free.CPUs = 2, [2]int{1, 2}, 0
		}, Plan{Assignments: []Assignment{{0, 0}}}},
		"where it is kept, after others like it found no room": {func(v *View, k *known) {
			v.Jobs = []Job{job(1, 2), job(1, 2)}
			v.Machines[0].ReservedFor, v.Jobs[1].Groups, v.Machines[1].Free.CPUs = 2, [2]int{1, 2}, 0
		}, Plan{Assignments: []Assignment{{1, 0}}}},
		"not into what is kept of the limit": {func(v *View, k *known) {
			v.Jobs[0].Pending, v.Teams[0] = 3, Team{Limit: binpack.Compute{CPUs: 8}, Used: binpack.Compute{CPUs: 2}, Reserved: []fairshare.ReservedQuota{{Class: 4, Reserved: binpack.Compute{CPUs: 3}}}}
		}, Plan{Assignments: []Assignment{{0, 0}}}},
		"into it, and no further than the limit": {func(v *View, k *known) {
			v.Jobs[0].Pending, v.Jobs[0].Class, v.Teams[0] = 9, 4, Team{Limit: binpack.Compute{CPUs: 8}, Used: binpack.Compute{CPUs: 2}, Reserved: []fairshare.ReservedQuota{{Class: 4, Reserved: binpack.Compute{CPUs: 3}}}}
		}, Plan{Assignments: []Assignment{{0, 0}, {0, 0}, {0, 1}}}},
		"what was kept is used up": {func(v *View, k *known) {
			v.Jobs = []Job{job(1, 3), job(2, 2)}
			v.Jobs[0].Class, v.Teams[0] = 4, Team{Limit: binpack.Compute{CPUs: 8}, Used: binpack.Compute{CPUs: 2}, Reserved: []fairshare.ReservedQuota{{Class: 4, Reserved: binpack.Compute{CPUs: 3}}}}
		}, Plan{Assignments: []Assignment{{0, 0}, {1, 0}}}},
		"no machine": {func(v *View, k *known) { v.Machines = nil }, Plan{}},
	} {
		k := known{}
		v := View{Jobs: []Job{job(1, 2)}, Machines: []Machine{machine("a", "x", 8, true), machine("b", "y", 8, true)}, Teams: make([]Team, 1),
			Scarcity: binpack.Scarcity{}, Horizon: contention.Horizon{MaxS: 3600, OverdueS: 1}}
		c.view(&v, &k)
		v.Details = k
		got := Decide(v)
		if len(got.Assignments) == 0 {
			got.Assignments = nil
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// Random partitions: no machine gets more than its room, no team more than its limit, no
// job what it does not want; gangs whole or not at all; what fits alone somewhere in
// the end waits only for its team. The same view gives the same plan, unchanged.
func TestPlacementsRespectConstraints(t *testing.T) {
	for seed := range uint64(400) {
		build := func() View {
			rng := rand.New(rand.NewPCG(seed, 2))
			var k known
			v := View{Teams: []Team{{}, {Limit: binpack.Compute{CPUs: float64(rng.IntN(40))}}}, Scarcity: binpack.Scarcity{}, Horizon: contention.Horizon{MaxS: 3600, OverdueS: 1}}
			for i := range rng.IntN(8) {
				v.Machines = append(v.Machines, machine(fmt.Sprint("m-", i), fmt.Sprint(rng.IntN(3)), float64(rng.IntN(17)), rng.IntN(2) == 0))
				var tasks []contention.Task
				for range rng.IntN(4) {
					tasks = append(tasks, contention.Task{EstimateS: float64(1 + rng.IntN(50)), Use: 1})
				}
				k.running, k.images = append(k.running, tasks), append(k.images, fmt.Sprint(rng.IntN(3)))
			}
			for range rng.IntN(10) {
				j := job(1+rng.IntN(6), float64(1+rng.IntN(6)))
				j.Team, j.Gang, j.OneZone, j.Spread = rng.IntN(2), rng.IntN(5) == 0, rng.IntN(6) == 0, rng.IntN(6) == 0
				j.Constraints.Spot, j.Image, j.ImageGB = rng.IntN(3) > 0, fmt.Sprint(rng.IntN(3)), float64(rng.IntN(30))
				v.Jobs = append(v.Jobs, j)
			}
			v.Details = k
			return v
		}
		v := build()
		plan := Decide(v)
		if !reflect.DeepEqual(v, build()) {
			t.Fatalf("seed %d: the view was changed", seed)
		}
		if again := Decide(build()); !reflect.DeepEqual(plan, again) {
			t.Fatalf("seed %d: another plan of the same view", seed)
		}
		free, used, count := make([]binpack.Resources, len(v.Machines)), make([]float64, len(v.Teams)), make([]int, len(v.Jobs))
		zones := make([]map[string]int, len(v.Jobs))
		for i, m := range v.Machines {
			free[i] = m.Free
		}
		for _, a := range plan.Assignments {
			j, m := &v.Jobs[a.Job], &v.Machines[a.Machine]
			if !free[a.Machine].Holds(j.Resources) || !j.Constraints.Allows(m.Kind) {
				t.Errorf("seed %d: %+v does not fit", seed, a)
			}
			free[a.Machine] = free[a.Machine].Plus(j.Resources, -1)
			used[j.Team] += j.Resources.CPUs
			if zones[a.Job] == nil {
				zones[a.Job] = map[string]int{}
			}
			zones[a.Job][m.Kind.Zone]++
			count[a.Job]++
		}
		for team, u := range used {
			if limit := v.Teams[team].Limit.CPUs; limit > 0 && u > limit+binpack.Epsilon {
				t.Errorf("seed %d: team %d uses %v of %v", seed, team, u, limit)
			}
		}
		for i, j := range v.Jobs {
			if count[i] > j.Pending || j.Gang && count[i] != 0 && count[i] != j.Pending {
				t.Errorf("seed %d: %d of %d tasks of job %d, gang %v", seed, count[i], j.Pending, i, j.Gang)
			}
			if j.OneZone && len(zones[i]) > 1 {
				t.Errorf("seed %d: job %d is in %v", seed, i, zones[i])
			}
			for zone, n := range zones[i] {
				if j.Spread && n > SpreadLimit(j.Tasks) {
					t.Errorf("seed %d: %d of %d tasks in zone %s", seed, n, j.Tasks, zone)
				}
			}
			team := v.Teams[j.Team]
			if count[i] == j.Pending || j.Gang || j.OneZone || j.Spread || team.Limit.CPUs > 0 {
				continue
			}
			for m := range v.Machines {
				if free[m].Holds(j.Resources) && j.Constraints.Allows(v.Machines[m].Kind) {
					t.Errorf("seed %d: job %d waits, machine %d has room", seed, i, m)
				}
			}
		}
	}
}
