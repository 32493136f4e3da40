package preemption

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
)

var now = time.Unix(1000, 0)

const red, blue, green = 0, 1, 2 // red beyond its 16, blue within its, green has none

func teams() []Team {
	sixteen := binpack.Compute{CPUs: 16}
	return []Team{{Guarantee: sixteen, Used: binpack.Compute{CPUs: 20}}, {Guarantee: sixteen, Used: binpack.Compute{CPUs: 8}}, {Used: binpack.Compute{CPUs: 4}}}
}

// must is a job that has to start now.
func must(team int, u protocol.Urgency) Job {
	return Job{Team: team, Urgency: u, Resources: binpack.Resources{CPUs: 4, MemGB: 4}, Constraints: binpack.Constraints{Spot: true}, Deadline: now.Add(15 * time.Second), EstimateS: 10, Pending: 1}
}

// Who may be stopped for whom: PROTOCOL, "Preemption".
func TestMayPreempt(t *testing.T) {
	for _, tc := range []struct {
		name        string
		job, victim Job
		used        float64 // of red
		want        bool
	}{
		{"lower urgency", must(red, protocol.High), must(blue, protocol.Standard), 20, true},
		{"same urgency, not guaranteed", must(red, protocol.High), must(green, protocol.High), 20, false},
		{"guaranteed, other team beyond its own", must(blue, protocol.Low), must(red, protocol.Production), 20, true},
		{"guaranteed, other team without a guarantee", must(blue, protocol.Low), must(green, protocol.High), 20, true},
		{"guaranteed, own team", must(blue, protocol.Low), must(blue, protocol.Low), 20, false},
		{"guaranteed, other team within its own", must(blue, protocol.Low), must(red, protocol.Low), 16, false},
	} {
		tc.victim.Pending = 0
		v := View{Now: now, Teams: teams(), Jobs: []Job{tc.job, tc.victim}, Tasks: []Task{{Job: 1, Name: "job-2/0", LostWork: 1}},
			Machines: []Machine{{Name: "m", Tasks: []int{0}}}}
		v.Teams[red].Used.CPUs = tc.used
		if got := len(Decide(v)) == 1; got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestDecide(t *testing.T) {
	two := []Task{{Job: 1, Name: "a", LostWork: 30}, {Job: 1, Name: "b", LostWork: 5}}
	each := []Machine{{Name: "m-1", Tasks: []int{0}}, {Name: "m-2", Tasks: []int{1}}}
	low := must(blue, protocol.Low)
	low.Pending = 0
	for name, c := range map[string]struct {
		change func(*View)
		want   []Stop
	}{
		"where it costs least":                  {func(v *View) {}, []Stop{{Task: 1}}},
		"not while there is time":               {func(v *View) { v.Jobs[0].Deadline = now.Add(time.Minute) }, nil},
		"not when it is too late":               {func(v *View) { v.Jobs[0].Deadline = now.Add(9 * time.Second) }, nil},
		"without a deadline after some seconds": {func(v *View) { v.Jobs[0].Deadline, v.Jobs[0].ReadyAt = time.Time{}, now.Add(-16*time.Second) }, []Stop{{Task: 1}}},
		"not for a gang":                        {func(v *View) { v.Jobs[0].NonPreempting = true }, nil},
		"not where it failed":                   {func(v *View) { v.Jobs[0].FailedMachines = map[string]bool{"m-2": true} }, []Stop{{Task: 0}}},
		"not in a closed zone":                  {func(v *View) { v.Jobs[0].ClosedZones = map[string]bool{"": true} }, nil},
		"not what costs more than it brings":    {func(v *View) { v.Tasks[0].LostWork, v.Tasks[1].LostWork = 41, 41 }, nil},
		"what stops already is enough":          {func(v *View) { v.Tasks[1].Stopping = true }, nil},
		"each machine once":                     {func(v *View) { v.Jobs[0].Pending = 3 }, []Stop{{Task: 1}, {Task: 0}}},
		"not what runs in what is kept":         {func(v *View) { v.Tasks[1].ReservedFor = 7 }, []Stop{{Task: 0}}},
		"but for others that it is kept for":    {func(v *View) { v.Tasks[1].ReservedFor, v.Jobs[0].Groups[1] = 7, 7 }, []Stop{{Task: 1}}},
		"not what is kept of the limit": {func(v *View) {
			v.Jobs[1].Team, v.Tasks[1].ReservedFor = red, 7
			v.Teams[red].Limit.CPUs = 20
		}, []Stop{{Task: 0, TeamLimit: true}}},
		"the team's own lower work, where its limit is in the way": {func(v *View) {
			v.Jobs[1].Team = red
			v.Teams[red].Limit.CPUs = 20
		}, []Stop{{Task: 1, TeamLimit: true}}},
	} {
		v := View{Now: now, Teams: teams(), Jobs: []Job{must(red, protocol.High), low}, Tasks: append([]Task(nil), two...), Machines: each}
		c.change(&v)
		if got := Decide(v); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// Random partitions: the same view gives the same stops; nothing is stopped twice, that
// stops already, or that the rule keeps.
func TestPreemptionsRespectConstraints(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		v := View{Now: now, Teams: teams()}
		for range 2 + rng.IntN(10) {
			j := must(rng.IntN(3), protocol.Urgency(rng.IntN(4)))
			j.Pending, j.Deadline = rng.IntN(4), now.Add(time.Duration(8+rng.IntN(12))*time.Second)
			v.Jobs = append(v.Jobs, j)
		}
		for i := range 1 + rng.IntN(6) {
			m := Machine{Name: fmt.Sprint("m-", i), Free: binpack.Resources{CPUs: float64(rng.IntN(4)), MemGB: 100}}
			for range rng.IntN(5) {
				m.Tasks = append(m.Tasks, len(v.Tasks))
				v.Tasks = append(v.Tasks, Task{Job: rng.IntN(len(v.Jobs)), Name: fmt.Sprint(len(v.Tasks)), LostWork: float64(rng.IntN(60)), Stopping: rng.IntN(5) == 0})
			}
			v.Machines = append(v.Machines, m)
		}
		stops := Decide(v)
		if again := Decide(v); !reflect.DeepEqual(stops, again) {
			t.Fatalf("seed %d: other stops of the same view", seed)
		}
		seen := map[int]bool{}
		for _, s := range stops {
			j, victim := v.Jobs[s.Job], v.Jobs[v.Tasks[s.Task].Job]
			allowed := victim.Urgency < j.Urgency || v.Teams[j.Team].withinGuarantee(&j) && victim.Team != j.Team && v.Teams[victim.Team].beyondGuarantee()
			if seen[s.Task] || v.Tasks[s.Task].Stopping || !allowed || len(stops) > maxStops+4 {
				t.Errorf("seed %d: %+v of %+v", seed, s, stops)
			}
			seen[s.Task] = true
		}
	}
}
