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

const red, blue, green = 0, 1, 2 // red exceeds its guarantee of 16, blue does not, green has none

// teams returns the usage of the three teams.
func teams() []Team {
	sixteen := binpack.Compute{CPUs: 16}
	return []Team{{Guarantee: sixteen, Used: binpack.Compute{CPUs: 20}}, {Guarantee: sixteen, Used: binpack.Compute{CPUs: 8}}, {Used: binpack.Compute{CPUs: 4}}}
}

// testJob returns a job that must start now to meet its deadline.
func testJob(team int, u protocol.Urgency) Job {
	return Job{Team: team, Urgency: u, Resources: binpack.Resources{CPUs: 4, MemGB: 4}, Constraints: binpack.Constraints{Spot: true}, Due: now.Add(15 * time.Second), EstimateS: 10, Waiting: 1}
}

// Which tasks may be preempted for which jobs: PROTOCOL, "Preemption".
func TestMayPreempt(t *testing.T) {
	for _, tc := range []struct {
		name        string
		job, victim Job
		used        float64 // of red
		want        bool
	}{
		{"lower urgency", testJob(red, protocol.High), testJob(blue, protocol.Standard), 20, true},
		{"same urgency, not guaranteed", testJob(red, protocol.High), testJob(green, protocol.High), 20, false},
		{"guaranteed, other team beyond its guarantee", testJob(blue, protocol.Low), testJob(red, protocol.Production), 20, true},
		{"guaranteed, other team without a guarantee", testJob(blue, protocol.Low), testJob(green, protocol.High), 20, true},
		{"guaranteed, own team", testJob(blue, protocol.Low), testJob(blue, protocol.Low), 20, false},
		{"guaranteed, other team within its guarantee", testJob(blue, protocol.Low), testJob(red, protocol.Low), 16, false},
	} {
		tc.victim.Waiting = 0
		v := View{Now: now, Teams: teams(), Jobs: []Job{tc.job, tc.victim}, Tasks: []Task{{Job: 1, Name: "job-2/0", Loss: 1}},
			Machines: []Machine{{Name: "m", Tasks: []int{0}}}}
		v.Teams[red].Used.CPUs = tc.used
		if got := len(Decide(v)) == 1; got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Which tasks are preempted, case by case.
func TestDecide(t *testing.T) {
	two := []Task{{Job: 1, Name: "a", Loss: 30}, {Job: 1, Name: "b", Loss: 5}}
	each := []Machine{{Name: "m-1", Tasks: []int{0}}, {Name: "m-2", Tasks: []int{1}}}
	low := testJob(blue, protocol.Low)
	low.Waiting = 0
	for name, c := range map[string]struct {
		change func(*View)
		want   []Stop
	}{
		"the task that loses least work":            {func(v *View) {}, []Stop{{Task: 1}}},
		"not while there is time":                   {func(v *View) { v.Jobs[0].Due = now.Add(time.Minute) }, nil},
		"not when it is too late":                   {func(v *View) { v.Jobs[0].Due = now.Add(9 * time.Second) }, nil},
		"without a deadline after some seconds":     {func(v *View) { v.Jobs[0].Due, v.Jobs[0].Since = time.Time{}, now.Add(-16*time.Second) }, []Stop{{Task: 1}}},
		"not for a gang":                            {func(v *View) { v.Jobs[0].Never = true }, nil},
		"not where it failed":                       {func(v *View) { v.Jobs[0].Failed = map[string]bool{"m-2": true} }, []Stop{{Task: 0}}},
		"not in a closed zone":                      {func(v *View) { v.Jobs[0].Closed = map[string]bool{"": true} }, nil},
		"not a task that loses more than is gained": {func(v *View) { v.Tasks[0].Loss, v.Tasks[1].Loss = 41, 41 }, nil},
		"a task that is stopping already is enough": {func(v *View) { v.Tasks[1].Stopping = true }, nil},
		"one task on each machine":                  {func(v *View) { v.Jobs[0].Waiting = 3 }, []Stop{{Task: 1}, {Task: 0}}},
		"not a task in reserved resources":          {func(v *View) { v.Tasks[1].ReservedFor = 7 }, []Stop{{Task: 0}}},
		"a task in reserved resources for the group that they are reserved for": {func(v *View) { v.Tasks[1].ReservedFor, v.Jobs[0].Groups[1] = 7, 7 }, []Stop{{Task: 1}}},
		"not a task in a reserved part of the quota": {func(v *View) {
			v.Jobs[1].Team, v.Tasks[1].ReservedFor = red, 7
			v.Teams[red].Limit.CPUs = 20
		}, []Stop{{Task: 0, OwnLimit: true}}},
		"the team's own lower urgency where its quota is exhausted": {func(v *View) {
			v.Jobs[1].Team = red
			v.Teams[red].Limit.CPUs = 20
		}, []Stop{{Task: 1, OwnLimit: true}}},
	} {
		v := View{Now: now, Teams: teams(), Jobs: []Job{testJob(red, protocol.High), low}, Tasks: append([]Task(nil), two...), Machines: each}
		c.change(&v)
		if got := Decide(v); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
}

// Random partitions: the same view gives the same stops; no task is stopped twice, while it is
// stopping already, or against the preemption rule.
func TestPreemptionsRespectConstraints(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		v := View{Now: now, Teams: teams()}
		for range 2 + rng.IntN(10) {
			j := testJob(rng.IntN(3), protocol.Urgency(rng.IntN(4)))
			j.Waiting, j.Due = rng.IntN(4), now.Add(time.Duration(8+rng.IntN(12))*time.Second)
			v.Jobs = append(v.Jobs, j)
		}
		for i := range 1 + rng.IntN(6) {
			m := Machine{Name: fmt.Sprint("m-", i), Free: binpack.Resources{CPUs: float64(rng.IntN(4)), MemGB: 100}}
			for range rng.IntN(5) {
				m.Tasks = append(m.Tasks, len(v.Tasks))
				v.Tasks = append(v.Tasks, Task{Job: rng.IntN(len(v.Jobs)), Name: fmt.Sprint(len(v.Tasks)), Loss: float64(rng.IntN(60)), Stopping: rng.IntN(5) == 0})
			}
			v.Machines = append(v.Machines, m)
		}
		stops := Decide(v)
		if again := Decide(v); !reflect.DeepEqual(stops, again) {
			t.Fatalf("seed %d: other stops of the same view", seed)
		}
		seen := map[int]bool{}
		for _, s := range stops {
			j, victim := v.Jobs[s.For], v.Jobs[v.Tasks[s.Task].Job]
			allowed := victim.Urgency < j.Urgency || v.Teams[j.Team].guarantees(&j) && victim.Team != j.Team && v.Teams[victim.Team].beyond()
			if seen[s.Task] || v.Tasks[s.Task].Stopping || !allowed || len(stops) > most+4 {
				t.Errorf("seed %d: %+v of %+v", seed, s, stops)
			}
			seen[s.Task] = true
		}
	}
}
