// Package placement decides which waiting tasks start on which machines of a part:
// where contention is least (ProCon), within the teams' limits. It is a pure function
// of a view; what costs much to gather, the view answers when it is asked.
package placement

import (
	"cmp"
	"math"
	"slices"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/coordination/fairshare"
)

// Machine is one that takes tasks.
type Machine struct {
	Name string
	Kind binpack.MachineKind
	// Free is the room on it.
	Free        binpack.Resources
	FetchGBPerS float64
	// ReservedFor is the group of jobs that it is kept for; 0: it is nobody's.
	ReservedFor int
}

// Job is a job with waiting tasks.
type Job struct {
	Waiting int
	// Gang: all of them start or none.
	Gang bool
	Team int
	// Groups are those that it belongs to, Class the one of them that its class is.
	Groups      [2]int
	Class       int
	Resources   binpack.Resources
	Constraints binpack.Constraints
	// Types is the set of machine types that its tasks fit.
	Types   uint64
	Image   string
	ImageGB float64
	// LongS is how long fetching its image may take; where it takes longer, machines
	// that have it go first.
	LongS float64
	// OneZone and Spread are its wishes where its tasks, so many in all, are beside
	// each other. Zones is where those are that run; asked of such jobs only.
	OneZone, Spread bool
	Tasks           int
	Zones           map[string]int
	// Failed are machines where it failed.
	Failed     map[string]bool
	Prediction contention.Task
}

// Team is what a team uses of its limit, and what of it is kept for classes that are
// behind; a limit of 0 is none.
type Team struct {
	Limit, Used binpack.Compute
	Reserved    []fairshare.ReservedQuota
}

// allows says whether a task of a job may start.
func (t *Team) allows(j *Job) bool {
	used := t.Used
	for _, q := range t.Reserved {
		if q.Class != j.Class {
			used.CPUs, used.GPUs = used.CPUs+q.Reserved.CPUs, used.GPUs+q.Reserved.GPUs
		}
	}
	return t.Limit.Allows(used, j.Resources)
}

func (t Team) clone() Team {
	t.Reserved = slices.Clone(t.Reserved)
	return t
}

// starts notes that a task of a job starts.
func (t *Team) starts(j *Job) {
	t.Used.Add(j.Resources, 1)
	for i, q := range t.Reserved {
		if q.Class == j.Class {
			t.Reserved[i].Reserved = binpack.Compute{CPUs: max(0, q.Reserved.CPUs-j.Resources.CPUs), GPUs: max(0, q.Reserved.GPUs-j.Resources.GPUs)}
		}
	}
}

// Machines answers what is only asked of few.
type Machines interface {
	// HasImage says whether a machine has an image or is fetching it already.
	HasImage(machine int, image string) bool
	// Running is what runs on a machine, as prediction sees it.
	Running(machine int) *contention.Machine
}

// View is one part.
type View struct {
	// Jobs are in the order of service.
	Jobs     []Job
	Machines []Machine
	Teams    []Team
	Scarcity binpack.Scarcity
	Horizon  contention.Horizon
	Of       Machines
}

// Assignment starts the next waiting task of a job on a machine. Those of a job are
// beside each other.
type Assignment struct{ Job, Machine int }

// Plan is what is decided.
type Plan struct {
	Start []Assignment
	// Wanted are machines that a gang would use which found no room for all of its
	// tasks. It waits for more, so they are not idle.
	Wanted []int
}

// shape is what decides where a task fits, for jobs without wishes that depend on
// their other tasks.
type shape struct {
	need  binpack.Resources
	zone  string
	spot  bool
	types uint64
	// groups matter where machines are kept.
	groups [2]int
}

// placed is what a machine got in this round.
type placed struct {
	free   binpack.Resources
	tasks  []contention.Task
	images []string
	// predicted is the machine with these, nil: as it was.
	predicted *contention.Machine
}

// round is a decision under way.
type round struct {
	View
	now   []placed // nil: nothing is placed yet
	teams []Team
	// full are the shapes of tasks that found no room: room only shrinks.
	full  map[shape]bool
	keeps bool // some machine is kept for a group
	plan  Plan
	fits  []int // scratch
	among []*contention.Machine
}

// Decide places waiting tasks, job by job, while there is room.
func Decide(v View) Plan {
	r := &round{View: v, teams: slices.Clone(v.Teams), full: map[shape]bool{},
		keeps: slices.ContainsFunc(v.Machines, func(m Machine) bool { return m.ReservedFor != 0 })}
	for i := range r.teams {
		r.teams[i] = r.teams[i].clone()
	}
	for i := range v.Jobs {
		if v.Jobs[i].Gang {
			r.gang(i)
		} else {
			r.tasks(i)
		}
	}
	return r.plan
}

// free is the room on a machine.
func (r *round) free(i int) binpack.Resources {
	if r.now == nil {
		return r.Machines[i].Free
	}
	return r.now[i].free
}

// tasks places waiting tasks of a job while there is room.
func (r *round) tasks(at int) {
	j := &r.Jobs[at]
	sh := shape{need: j.Resources, zone: j.Constraints.Zone, spot: j.Constraints.Spot, types: j.Types}
	if r.keeps {
		sh.groups = j.Groups
	}
	plain := !j.OneZone && !j.Spread && len(j.Failed) == 0
	if plain && r.full[sh] {
		return
	}
	zones := r.zones(j)
	for range j.Waiting {
		if !r.teams[j.Team].allows(j) {
			return
		}
		m := r.choose(j, zones)
		if m < 0 {
			r.full[sh] = r.full[sh] || plain
			return
		}
		r.assign(at, m, zones)
	}
}

// gang places all tasks of a gang, or none: half a gang would only wait for the rest
// on machines that are paid for.
func (r *round) gang(at int) {
	j := &r.Jobs[at]
	zones, from := r.zones(j), len(r.plan.Start)
	before, team := slices.Clone(r.now), r.teams[j.Team].clone()
	for range j.Waiting {
		m := -1
		if r.teams[j.Team].allows(j) {
			m = r.choose(j, zones)
		}
		if m < 0 {
			for _, a := range r.plan.Start[from:] {
				r.plan.Wanted = append(r.plan.Wanted, a.Machine)
			}
			r.plan.Start, r.now, r.teams[j.Team] = r.plan.Start[:from], before, team
			return
		}
		r.assign(at, m, zones)
	}
}

func (r *round) assign(at, m int, zones map[string]int) {
	if r.now == nil {
		r.now = make([]placed, len(r.Machines))
		for i := range r.Machines {
			r.now[i].free = r.Machines[i].Free
		}
	}
	j, p := &r.Jobs[at], &r.now[m]
	p.free = p.free.Plus(j.Resources, -1)
	p.tasks = append(slices.Clip(p.tasks), j.Prediction)
	p.images = append(slices.Clip(p.images), j.Image)
	p.predicted = nil
	r.teams[j.Team].starts(j)
	if zones != nil {
		zones[r.Machines[m].Kind.Zone]++
	}
	r.plan.Start = append(r.plan.Start, Assignment{at, m})
}

// zones is where a job's tasks are, to be counted on; nil: it does not matter.
func (r *round) zones(j *Job) map[string]int {
	if !j.OneZone && !j.Spread {
		return nil
	}
	zones := make(map[string]int, len(j.Zones)+1)
	for zone, n := range j.Zones {
		zones[zone] = n
	}
	return zones
}

// Open says whether another of so many tasks may start in a zone, given where the
// others are.
func Open(oneZone, spread bool, tasks int, zones map[string]int, zone string) bool {
	if oneZone {
		for other, n := range zones {
			if n > 0 && other != zone {
				return false
			}
		}
	}
	return !spread || zones[zone] < Ceiling(tasks)
}

// Ceiling is how many of n tasks may be in one zone when they are to be kept apart.
func Ceiling(n int) int { return int(math.Ceil(float64(n) / 2)) }

// choose picks the machine of least contention among those that fit, -1 if none
// does. Among equal ones an image at hand goes first, then the fuller one, so that
// idle machines can be returned.
func (r *round) choose(j *Job, zones map[string]int) int {
	fits := r.fits[:0]
	for i := range r.Machines {
		m := &r.Machines[i]
		if r.free(i).Holds(j.Resources) && j.Constraints.Allows(m.Kind) && (zones == nil || Open(j.OneZone, j.Spread, j.Tasks, zones, m.Kind.Zone)) &&
			!j.Failed[m.Name] && (m.ReservedFor == 0 || slices.Contains(j.Groups[:], m.ReservedFor)) {
			fits = append(fits, i)
		}
	}
	r.fits = fits
	if len(fits) == 0 {
		return -1
	}
	// Three exceptions of docs/design.md. Types that waiting work of fewer choices
	// needs are left to it while another has room; the dearer ordinary machines
	// are left alone while a spot one has room, so that they empty and can be
	// returned; and where a fetch is long, machines that have the image go first,
	// since fetches at a time share their rate.
	breadth := binpack.TypeCount(j.Types)
	fits = prefer(fits, func(i int) bool { return !r.Scarcity.Contested(r.Machines[i].Kind.Type, breadth) })
	fits = prefer(fits, func(i int) bool { return r.Machines[i].Kind.Spot })
	fits = prefer(fits, func(i int) bool {
		return j.ImageGB <= j.LongS*r.Machines[i].FetchGBPerS || r.hasImage(i, j.Image)
	})
	r.among = r.among[:0]
	for _, i := range fits {
		r.among = append(r.among, r.predicted(i))
	}
	best := r.Horizon.Choose(r.among, j.Prediction, func(a, b int) bool { return r.before(fits[a], fits[b], j.Image) })
	return fits[best]
}

// predicted is what runs on a machine, with what it got in this round.
func (r *round) predicted(i int) *contention.Machine {
	if r.now == nil || len(r.now[i].tasks) == 0 {
		return r.Of.Running(i)
	}
	p := &r.now[i]
	if p.predicted == nil {
		was := r.Of.Running(i)
		p.predicted = &contention.Machine{Tasks: slices.Concat(was.Tasks, p.tasks), Limit: was.Limit}
	}
	return p.predicted
}

func (r *round) hasImage(i int, image string) bool {
	return r.now != nil && slices.Contains(r.now[i].images, image) || r.Of.HasImage(i, image)
}

// before breaks ties between machines of equal contention.
func (r *round) before(a, b int, image string) bool {
	if mine, theirs := r.hasImage(a, image), r.hasImage(b, image); mine != theirs {
		return mine
	}
	if d := cmp.Compare(r.free(a).CPUs, r.free(b).CPUs); d != 0 {
		return d < 0
	}
	return r.Machines[a].Name < r.Machines[b].Name
}

// prefer keeps the machines that meet a wish, or all if none does.
func prefer(list []int, wish func(int) bool) []int {
	if !slices.ContainsFunc(list, wish) {
		return list
	}
	return slices.DeleteFunc(list, func(i int) bool { return !wish(i) })
}
