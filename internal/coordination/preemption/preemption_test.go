package preemption

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
)

var now = time.Unix(1000, 0)

// Teams: red exceeds its guarantee, blue is within its guarantee, green has none.
const red, blue, green = 0, 1, 2

func teams() []Team {
	guarantee := binpack.TeamResources{CPUs: 16}
	return []Team{{Guarantee: guarantee, Used: binpack.TeamResources{CPUs: 20}}, {Guarantee: guarantee, Used: binpack.TeamResources{CPUs: 8}}, {Used: binpack.TeamResources{CPUs: 4}}}
}

// urgentJob returns a job with one pending task that must start now.
func urgentJob(team int, u protocol.Urgency) Job {
	return Job{Team: team, Urgency: u, Resources: binpack.Resources{CPUs: 4, MemGB: 4}, Constraints: binpack.Constraints{Spot: true}, Deadline: now.Add(15 * time.Second), EstimateS: 10, Pending: 1}
}

// Checks the protocol's rule for which tasks may be preempted for which jobs.
func TestMayPreempt(t *testing.T) {
	for _, tc := range []struct {
		name        string
		job, victim Job
		redUsedCPUs float64
		want        bool
	}{
		{"lower urgency", urgentJob(red, protocol.High), urgentJob(blue, protocol.Standard), 20, true},
		{"same urgency, beyond the guarantee", urgentJob(red, protocol.High), urgentJob(green, protocol.High), 20, false},
		{"within the guarantee, other team beyond its own", urgentJob(blue, protocol.Low), urgentJob(red, protocol.Production), 20, true},
		{"within the guarantee, other team without one", urgentJob(blue, protocol.Low), urgentJob(green, protocol.High), 20, true},
		{"within the guarantee, same team", urgentJob(blue, protocol.Low), urgentJob(blue, protocol.Low), 20, false},
		{"within the guarantee, other team within its own", urgentJob(blue, protocol.Low), urgentJob(red, protocol.Low), 16, false},
	} {
		tc.victim.Pending = 0
		v := View{Now: now, Teams: teams(), Jobs: []Job{tc.job, tc.victim}, Tasks: []Task{{Job: 1, Name: "job-2/0", LostWork: 1}},
			Machines: []Machine{{Name: "m", Tasks: []int{0}}}}
		v.Teams[red].Used.CPUs = tc.redUsedCPUs
		if got := len(Decide(v)) == 1; got != tc.want {
			t.Errorf("%s: preempted = %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestDecide(t *testing.T) {
	tasks := []Task{{Job: 1, Name: "a", LostWork: 30}, {Job: 1, Name: "b", LostWork: 5}}
	machines := []Machine{{Name: "m-1", Tasks: []int{0}}, {Name: "m-2", Tasks: []int{1}}}
	low := urgentJob(blue, protocol.Low)
	low.Pending = 0
	for name, c := range map[string]struct {
		change func(*View)
		want   []Preemption
	}{
		"least lost work":                           {func(v *View) {}, []Preemption{{Task: 1}}},
		"job that can still wait":                   {func(v *View) { v.Jobs[0].Deadline = now.Add(time.Minute) }, nil},
		"job that is already late":                  {func(v *View) { v.Jobs[0].Deadline = now.Add(9 * time.Second) }, nil},
		"job without a deadline after maxWait":      {func(v *View) { v.Jobs[0].Deadline, v.Jobs[0].ReadyAt = time.Time{}, now.Add(-16*time.Second) }, []Preemption{{Task: 1}}},
		"gang":                                      {func(v *View) { v.Jobs[0].NonPreempting = true }, nil},
		"machine where the job failed":              {func(v *View) { v.Jobs[0].ExcludedMachines = map[string]bool{"m-2": true} }, []Preemption{{Task: 0}}},
		"machine where the job failed, tried again": {func(v *View) { v.Jobs[0].LastChoiceMachines = map[string]bool{"m-2": true} }, []Preemption{{Task: 0}}},
		"slow machine":                              {func(v *View) { v.Machines = slices.Clone(v.Machines); v.Machines[1].LastChoice = true }, []Preemption{{Task: 0}}},
		"two tasks on slow machines": {func(v *View) {
			v.Jobs[0].Pending, v.Machines = 2, slices.Clone(v.Machines)
			v.Machines[0].LastChoice, v.Machines[1].LastChoice = true, true
		}, []Preemption{{Task: 1}, {Task: 0}}},
		"one task on machines where the job failed": {func(v *View) {
			v.Jobs[0].Pending, v.Jobs[0].LastChoiceMachines = 3, map[string]bool{"m-1": true, "m-2": true}
		}, []Preemption{{Task: 1}}},
		"closed zone":                                 {func(v *View) { v.Jobs[0].DisallowedZones = map[string]bool{"": true} }, nil},
		"lost work above the maximum":                 {func(v *View) { v.Tasks[0].LostWork, v.Tasks[1].LostWork = 41, 41 }, nil},
		"stopping task suffices":                      {func(v *View) { v.Tasks[1].Stopping = true }, nil},
		"one pending task on each machine":            {func(v *View) { v.Jobs[0].Pending = 3 }, []Preemption{{Task: 1}, {Task: 0}}},
		"task protected by a reservation":             {func(v *View) { v.Tasks[1].ReservedFor = 7 }, []Preemption{{Task: 0}}},
		"task with a reservation for the job's group": {func(v *View) { v.Tasks[1].ReservedFor, v.Jobs[0].Groups[1] = 7, 7 }, []Preemption{{Task: 1}}},
		"team limit: task protected by a reservation": {func(v *View) {
			v.Jobs[1].Team, v.Tasks[1].ReservedFor = red, 7
			v.Teams[red].Limit.CPUs = 20
		}, []Preemption{{Task: 0, TeamLimit: true}}},
		"team limit: task of lower urgency of the same team": {func(v *View) {
			v.Jobs[1].Team = red
			v.Teams[red].Limit.CPUs = 20
		}, []Preemption{{Task: 1, TeamLimit: true}}},
	} {
		v := View{Now: now, Teams: teams(), Jobs: []Job{urgentJob(red, protocol.High), low}, Tasks: append([]Task(nil), tasks...), Machines: machines}
		c.change(&v)
		if got := Decide(v); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: Decide() = %+v, want %+v", name, got, c.want)
		}
	}
}

// Checks on random views that Decide is deterministic, exceeds maxPreemptions by no more than the
// tasks of one machine, and preempts each task only once, if it isn't already stopping and the
// protocol's rule allows it.
func TestPreemptionsRespectConstraints(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		v := View{Now: now, Teams: teams()}
		for range 2 + rng.IntN(10) {
			j := urgentJob(rng.IntN(3), protocol.Urgency(rng.IntN(4)))
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
		preemptions := Decide(v)
		if again := Decide(v); !reflect.DeepEqual(preemptions, again) {
			t.Fatalf("seed %d: Decide returned different preemptions for the same view", seed)
		}
		seen := map[int]bool{}
		for _, p := range preemptions {
			j, victim := v.Jobs[p.Job], v.Jobs[v.Tasks[p.Task].Job]
			allowed := victim.Urgency < j.Urgency || v.Teams[j.Team].withinGuarantee(&j) && victim.Team != j.Team && v.Teams[victim.Team].beyondGuarantee()
			if seen[p.Task] || v.Tasks[p.Task].Stopping || !allowed || len(preemptions) > maxPreemptions+4 {
				t.Errorf("seed %d: preemption %+v: repeated %v, task already stopping %v, allowed by the protocol %v; %d preemptions, want at most %d",
					seed, p, seen[p.Task], v.Tasks[p.Task].Stopping, allowed, len(preemptions), maxPreemptions+4)
			}
			seen[p.Task] = true
		}
	}
}
