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

// fakeDetails holds the running tasks and the image of each machine.
type fakeDetails struct {
	running [][]contention.Task
	images  []string
}

func (d fakeDetails) HasImage(m int, image string) bool {
	return m < len(d.images) && d.images[m] == image
}

func (d fakeDetails) Running(m int) *contention.Machine {
	machine := &contention.Machine{UseLimit: 6.4}
	if m < len(d.running) {
		machine.Tasks = d.running[m]
	}
	return machine
}

func machine(name, zone string, cpus float64, spot bool) Machine {
	return Machine{Name: name, Kind: binpack.MachineKind{Type: "t", Zone: zone, Spot: spot}, Free: binpack.Resources{CPUs: cpus, MemGB: 100}, FetchGBPerS: 1}
}

func job(pending int, cpus float64) Job {
	return Job{Pending: pending, Resources: binpack.Resources{CPUs: cpus, MemGB: 1}, Constraints: binpack.Constraints{Spot: true}, Types: 1, Image: "i", ImageGB: 1, LongFetchS: 10,
		Tasks: pending, Prediction: contention.Task{EstimateS: 10, Use: cpus}}
}

func TestDecide(t *testing.T) {
	busy := []contention.Task{{EstimateS: 100, Use: 2}, {EstimateS: 100, Use: 2}}
	for name, c := range map[string]struct {
		view func(v *View, d *fakeDetails)
		want Plan
	}{
		"lowest contention":                 {func(v *View, d *fakeDetails) { d.running = [][]contention.Task{busy} }, Plan{Assignments: []Assignment{{0, 1}}}},
		"tie: machine with the image":       {func(v *View, d *fakeDetails) { d.images = []string{"", "i"} }, Plan{Assignments: []Assignment{{0, 1}}}},
		"tie: machine with fewer free CPUs": {func(v *View, d *fakeDetails) { v.Machines[1].Free.CPUs = 6 }, Plan{Assignments: []Assignment{{0, 1}}}},
		"spot machine preferred":            {func(v *View, d *fakeDetails) { v.Machines[0].Kind.Spot = false }, Plan{Assignments: []Assignment{{0, 1}}}},
		"machine with the image preferred if the fetch is long": {func(v *View, d *fakeDetails) {
			d.running, d.images, v.Jobs[0].ImageGB = [][]contention.Task{busy}, []string{"i"}, 20
		}, Plan{Assignments: []Assignment{{0, 0}}}},
		"type that a more constrained job needs is avoided": {func(v *View, d *fakeDetails) {
			v.Machines[0].Kind.Type = "scarce"
			v.Scarcity.Record("scarce", 1)
			v.Jobs[0].Types = 3
		}, Plan{Assignments: []Assignment{{0, 1}}}},
		"machine where the job failed": {func(v *View, d *fakeDetails) { v.Jobs[0].ExcludedMachines = map[string]bool{"a": true} }, Plan{Assignments: []Assignment{{0, 1}}}},
		"machine where the job failed, tried again as the last choice": {func(v *View, d *fakeDetails) {
			v.Jobs[0].LastChoiceMachines, d.running = map[string]bool{"a": true}, [][]contention.Task{nil, busy}
		}, Plan{Assignments: []Assignment{{0, 1}}}},
		"machine where the job failed, tried again with one task": {func(v *View, d *fakeDetails) {
			v.Jobs = []Job{job(9, 2), job(1, 2)}
			v.Jobs[0].LastChoiceMachines = map[string]bool{"a": true}
		}, Plan{Assignments: []Assignment{{0, 1}, {0, 1}, {0, 1}, {0, 1}, {0, 0}, {1, 0}}}},
		"machines where a gang failed, tried again with all of its tasks": {func(v *View, d *fakeDetails) {
			v.Jobs[0] = job(4, 4)
			v.Jobs[0].Gang, v.Jobs[0].LastChoiceMachines = true, map[string]bool{"a": true, "b": true}
		}, Plan{Assignments: []Assignment{{0, 0}, {0, 0}, {0, 1}, {0, 1}}}},
		"slow machine as the last choice": {func(v *View, d *fakeDetails) {
			v.Jobs[0].Pending, v.Machines[0].LastChoice, d.running = 6, true, [][]contention.Task{nil, busy}
		}, Plan{Assignments: []Assignment{{0, 1}, {0, 1}, {0, 1}, {0, 1}, {0, 0}, {0, 0}}}},
		"team limit": {func(v *View, d *fakeDetails) {
			v.Jobs[0].Pending, v.Teams[0] = 3, Team{Limit: binpack.TeamResources{CPUs: 8}, Used: binpack.TeamResources{CPUs: 3.5}}
		}, Plan{Assignments: []Assignment{{0, 0}, {0, 0}}}},
		"spread over zones": {func(v *View, d *fakeDetails) {
			v.Jobs[0] = job(4, 1)
			v.Jobs[0].Spread, v.Jobs[0].Zones = true, map[string]int{"x": 2}
		}, Plan{Assignments: []Assignment{{0, 1}, {0, 1}}}},
		"one zone": {func(v *View, d *fakeDetails) {
			v.Jobs[0] = job(2, 1)
			v.Jobs[0].OneZone, v.Jobs[0].Zones = true, map[string]int{"y": 1}
		}, Plan{Assignments: []Assignment{{0, 1}, {0, 1}}}},
		"placed tasks use up resources": {func(v *View, d *fakeDetails) { v.Jobs = []Job{job(5, 4)} }, Plan{Assignments: []Assignment{{0, 0}, {0, 0}, {0, 1}, {0, 1}}}},
		"gang that fits": {func(v *View, d *fakeDetails) { v.Jobs = []Job{job(4, 4)}; v.Jobs[0].Gang = true },
			Plan{Assignments: []Assignment{{0, 0}, {0, 0}, {0, 1}, {0, 1}}}},
		"gang that does not fit, and a job behind it": {func(v *View, d *fakeDetails) {
			v.Jobs = []Job{job(5, 4), job(1, 8)}
			v.Jobs[0].Gang = true
		}, Plan{Assignments: []Assignment{{1, 0}}, WantedByGangs: []int{0, 0, 1, 1}}},
		"gang beyond the team limit": {func(v *View, d *fakeDetails) {
			v.Jobs = []Job{job(2, 4)}
			v.Jobs[0].Gang, v.Teams[0].Limit.CPUs = true, 6
		}, Plan{WantedByGangs: []int{0}}},
		"machine reserved for another group": {func(v *View, d *fakeDetails) { v.Machines[0].ReservedFor, v.Jobs[0].Groups = 5, [2]int{1, 2} },
			Plan{Assignments: []Assignment{{0, 1}}}},
		"machine reserved for the job's class": {func(v *View, d *fakeDetails) {
			v.Machines[0].ReservedFor, v.Jobs[0].Groups, v.Machines[1].Free.CPUs = 2, [2]int{1, 2}, 0
		}, Plan{Assignments: []Assignment{{0, 0}}}},
		"reserved machine, after a job of the same resources from another group": {func(v *View, d *fakeDetails) {
			v.Jobs = []Job{job(1, 2), job(1, 2)}
			v.Machines[0].ReservedFor, v.Jobs[1].Groups, v.Machines[1].Free.CPUs = 2, [2]int{1, 2}, 0
		}, Plan{Assignments: []Assignment{{1, 0}}}},
		"part of the team limit reserved for another class": {func(v *View, d *fakeDetails) {
			v.Jobs[0].Pending, v.Teams[0] = 3, Team{Limit: binpack.TeamResources{CPUs: 8}, Used: binpack.TeamResources{CPUs: 2}, Reserved: []fairshare.ReservedQuota{{Class: 4, Reserved: binpack.TeamResources{CPUs: 3}}}}
		}, Plan{Assignments: []Assignment{{0, 0}}}},
		"part of the team limit reserved for the job's class": {func(v *View, d *fakeDetails) {
			v.Jobs[0].Pending, v.Jobs[0].Class, v.Teams[0] = 9, 4, Team{Limit: binpack.TeamResources{CPUs: 8}, Used: binpack.TeamResources{CPUs: 2}, Reserved: []fairshare.ReservedQuota{{Class: 4, Reserved: binpack.TeamResources{CPUs: 3}}}}
		}, Plan{Assignments: []Assignment{{0, 0}, {0, 0}, {0, 1}}}},
		"reservation of the team limit is used up": {func(v *View, d *fakeDetails) {
			v.Jobs = []Job{job(1, 3), job(2, 2)}
			v.Jobs[0].Class, v.Teams[0] = 4, Team{Limit: binpack.TeamResources{CPUs: 8}, Used: binpack.TeamResources{CPUs: 2}, Reserved: []fairshare.ReservedQuota{{Class: 4, Reserved: binpack.TeamResources{CPUs: 3}}}}
		}, Plan{Assignments: []Assignment{{0, 0}, {1, 0}}}},
		"no machines": {func(v *View, d *fakeDetails) { v.Machines = nil }, Plan{}},
	} {
		d := fakeDetails{}
		v := View{Jobs: []Job{job(1, 2)}, Machines: []Machine{machine("a", "x", 8, true), machine("b", "y", 8, true)}, Teams: make([]Team, 1),
			Scarcity: binpack.Scarcity{}, Horizon: contention.Horizon{LengthS: 3600, OverdueS: 1}}
		c.view(&v, &d)
		v.Details = d
		got := Decide(v)
		if len(got.Assignments) == 0 {
			got.Assignments = nil
		}
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: Decide() = %+v, want %+v", name, got, c.want)
		}
	}
}

// Checks on random views that placements respect the machines' resources, the team limits and the
// jobs' constraints; that gangs start completely or not at all; and that no unconstrained task stays
// pending while a machine has room for it. Decide must be deterministic and not modify the view.
func TestPlacementsRespectConstraints(t *testing.T) {
	for seed := range uint64(400) {
		build := func() View {
			rng := rand.New(rand.NewPCG(seed, 2))
			var d fakeDetails
			v := View{Teams: []Team{{}, {Limit: binpack.TeamResources{CPUs: float64(rng.IntN(40))}}}, Scarcity: binpack.Scarcity{}, Horizon: contention.Horizon{LengthS: 3600, OverdueS: 1}}
			for i := range rng.IntN(8) {
				v.Machines = append(v.Machines, machine(fmt.Sprint("m-", i), fmt.Sprint(rng.IntN(3)), float64(rng.IntN(17)), rng.IntN(2) == 0))
				var tasks []contention.Task
				for range rng.IntN(4) {
					tasks = append(tasks, contention.Task{EstimateS: float64(1 + rng.IntN(50)), Use: 1})
				}
				d.running, d.images = append(d.running, tasks), append(d.images, fmt.Sprint(rng.IntN(3)))
			}
			for range rng.IntN(10) {
				j := job(1+rng.IntN(6), float64(1+rng.IntN(6)))
				j.Team, j.Gang, j.OneZone, j.Spread = rng.IntN(2), rng.IntN(5) == 0, rng.IntN(6) == 0, rng.IntN(6) == 0
				j.Constraints.Spot, j.Image, j.ImageGB = rng.IntN(3) > 0, fmt.Sprint(rng.IntN(3)), float64(rng.IntN(30))
				v.Jobs = append(v.Jobs, j)
			}
			v.Details = d
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
		free, used, count := make([]binpack.Resources, len(v.Machines)), make([]float64, len(v.Teams)), make([]int, len(v.Jobs))
		zones := make([]map[string]int, len(v.Jobs))
		for i, m := range v.Machines {
			free[i] = m.Free
		}
		for _, a := range plan.Assignments {
			j, m := &v.Jobs[a.Job], &v.Machines[a.Machine]
			if !free[a.Machine].Holds(j.Resources) || !j.Constraints.Allows(m.Kind) {
				t.Errorf("seed %d: assignment %+v violates the job's constraints or the machine's free resources", seed, a)
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
				t.Errorf("seed %d: team %d gets %v CPUs, limit %v", seed, team, u, limit)
			}
		}
		for i, j := range v.Jobs {
			if count[i] > j.Pending || j.Gang && count[i] != 0 && count[i] != j.Pending {
				t.Errorf("seed %d: %d of %d pending tasks placed for job %d, gang %v; want no more than pending, and all or none of a gang", seed, count[i], j.Pending, i, j.Gang)
			}
			if j.OneZone && len(zones[i]) > 1 {
				t.Errorf("seed %d: job %d must run in one zone, has tasks by zone %v", seed, i, zones[i])
			}
			for zone, n := range zones[i] {
				if j.Spread && n > SpreadLimit(j.Tasks) {
					t.Errorf("seed %d: %d of %d tasks of a spread job in zone %s, want at most %d", seed, n, j.Tasks, zone, SpreadLimit(j.Tasks))
				}
			}
			team := v.Teams[j.Team]
			if count[i] == j.Pending || j.Gang || j.OneZone || j.Spread || team.Limit.CPUs > 0 {
				continue
			}
			for m := range v.Machines {
				if free[m].Holds(j.Resources) && j.Constraints.Allows(v.Machines[m].Kind) {
					t.Errorf("seed %d: job %d has pending tasks that fit on machine %d, want them placed", seed, i, m)
				}
			}
		}
	}
}
