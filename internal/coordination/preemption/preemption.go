// Package preemption decides which running tasks are stopped for jobs that must
// start now and find no room, as PROTOCOL allows: only lower work, and what another
// team runs beyond its guarantee while the job is within its own. It is a pure
// function of a view of one part.
package preemption

import (
	"cmp"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
)

const (
	// lastMoment is how close to being late a job must be before running work is
	// stopped for it: stopping wastes work, and room may still come free.
	lastMoment = 8 * time.Second
	// quotaMoment is the same where only the team's limit is in the way: its own
	// lower work has to save and end first.
	quotaMoment = 20 * time.Second
	// patience is how long jobs without a deadline, and jobs within their team's
	// guarantee, wait before running work is stopped for them.
	patience = 15 * time.Second
	// maxStops is how many tasks are stopped at a time.
	maxStops = 8
)

// Team is a team's rights and use. A limit of 0 is none.
type Team struct{ Guarantee, Limit, Used binpack.Compute }

// Job is a job that waits, or whose work may be stopped.
type Job struct {
	Team        int
	Urgency     protocol.Urgency
	Resources   binpack.Resources
	Constraints binpack.Constraints
	// ReadyAt is when it could first have started, Due when it should be done; zero:
	// no matter.
	ReadyAt, Deadline time.Time
	EstimateS         float64
	Pending           int
	Service           bool
	// NonPreempting: nothing is stopped for it, as for gangs.
	NonPreempting bool
	// ClosedZones are zones where no further task of it may start, Failed machines where
	// it failed.
	ClosedZones, FailedMachines map[string]bool
	// Groups are those that it belongs to.
	Groups [2]int
}

// Task is a running one.
type Task struct {
	Job  int
	Name string
	// LostWork is what stopping it throws away, in CPU seconds.
	LostWork float64
	Stopping bool
	// ReservedFor is the group of jobs, a class or team that is behind, for which the room
	// is kept that it runs in; it is stopped only for others of the group. 0: none.
	ReservedFor int
}

// spared says whether a task must not be stopped for a job, which would undo what is
// kept for those that are behind.
func (t *Task) spared(j *Job) bool {
	return t.ReservedFor != 0 && !slices.Contains(j.Groups[:], t.ReservedFor)
}

// Machine is a usable one with what runs on it, in order of names.
type Machine struct {
	Name  string
	Kind  binpack.MachineKind
	Free  binpack.Resources
	Tasks []int
}

// View is one part.
type View struct {
	Now   time.Time
	Teams []Team
	// Jobs are in the order of service.
	Jobs     []Job
	Tasks    []Task
	Machines []Machine
}

// Stop is a task that is to be stopped for a job; OwnLimit: because the team's limit
// is in the way.
type Stop struct {
	Task, Job int
	TeamLimit bool
}

// MustStart says whether a job that waits can't do so any longer.
func MustStart(j *Job, t *Team, now time.Time) bool {
	if j.Deadline.IsZero() {
		return now.Sub(j.ReadyAt) > patience
	}
	moment := lastMoment
	if !t.Limit.Allows(t.Used, j.Resources) {
		moment = quotaMoment
	}
	spare := j.Deadline.Sub(now) - time.Duration(j.EstimateS*float64(time.Second))
	return spare >= 0 && spare < moment
}

// withinGuarantee says whether one more task keeps the team in its guarantee.
func (t *Team) withinGuarantee(j *Job) bool {
	return (t.Guarantee.CPUs > 0 || t.Guarantee.GPUs > 0) && t.Used.CPUs+j.Resources.CPUs <= t.Guarantee.CPUs+binpack.Epsilon &&
		(j.Resources.GPUs == 0 || t.Used.GPUs+j.Resources.GPUs <= t.Guarantee.GPUs+binpack.Epsilon)
}

// beyondGuarantee says whether the team uses more than its guarantee.
func (t *Team) beyondGuarantee() bool {
	return t.Used.CPUs > t.Guarantee.CPUs+binpack.Epsilon || t.Used.GPUs > t.Guarantee.GPUs+binpack.Epsilon
}

// round is a decision under way.
type round struct {
	View
	stopping []bool
	promised []bool // machines whose room is spoken for
	stops    []Stop
}

// Decide says what is stopped.
func Decide(v View) []Stop {
	r := &round{View: v, stopping: make([]bool, len(v.Tasks)), promised: make([]bool, len(v.Machines))}
	for i, t := range v.Tasks {
		r.stopping[i] = t.Stopping
	}
	for i := range v.Jobs {
		j := &v.Jobs[i]
		team := &v.Teams[j.Team]
		if j.Pending == 0 || j.NonPreempting || !MustStart(j, team, v.Now) {
			continue
		}
		if !team.Limit.Allows(team.Used, j.Resources) {
			r.freeQuota(i)
			continue
		}
		guaranteed := team.withinGuarantee(j)
		for range j.Pending {
			if len(r.stops) >= maxStops {
				break
			}
			m, victims := r.victims(j, guaranteed)
			if m < 0 {
				break
			}
			r.promised[m] = true
			for _, t := range victims {
				r.stop(t, i, false)
			}
		}
	}
	return r.stops
}

func (r *round) stop(task, job int, ownLimit bool) {
	r.stopping[task] = true
	r.stops = append(r.stops, Stop{task, job, ownLimit})
}

// worth is how much work a task of a job brings, in CPU seconds: throwing away more
// than that helps nobody.
func worth(j *Job, cpus float64) float64 { return j.EstimateS * max(cpus, 1) }

// freeQuota stops lower work of a job's own team, so that the job gets what the
// team's limit leaves.
func (r *round) freeQuota(at int) {
	j := &r.Jobs[at]
	t := &r.Teams[j.Team]
	room := binpack.Compute{CPUs: t.Limit.CPUs - t.Used.CPUs, GPUs: t.Limit.GPUs - t.Used.GPUs}
	var victims []int
	for i, task := range r.Tasks {
		lower := &r.Jobs[task.Job]
		if lower.Team != j.Team || lower.Urgency >= j.Urgency || task.spared(j) {
			continue
		}
		switch {
		case r.stopping[i]:
			room.Add(lower.Resources, 1)
		case task.LostWork <= worth(j, lower.Resources.CPUs):
			victims = append(victims, i)
		}
	}
	slices.SortFunc(victims, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.Tasks[a].LostWork, r.Tasks[b].LostWork), cmp.Compare(r.Tasks[a].Name, r.Tasks[b].Name))
	})
	need := float64(j.Pending)
	fits := func() bool {
		return (t.Limit.CPUs <= 0 || need*j.Resources.CPUs <= room.CPUs+binpack.Epsilon || room.CPUs >= t.Limit.CPUs-j.Resources.CPUs) &&
			(t.Limit.GPUs <= 0 || need*j.Resources.GPUs <= room.GPUs+binpack.Epsilon || room.GPUs >= t.Limit.GPUs-j.Resources.GPUs)
	}
	for _, i := range victims {
		if len(r.stops) >= maxStops || fits() {
			break
		}
		room.Add(r.Jobs[r.Tasks[i].Job].Resources, 1)
		r.stop(i, at, true)
	}
}

// may is PROTOCOL's rule of who may be stopped for whom.
func (r *round) may(j *Job, guaranteed bool, victim *Job) bool {
	return victim.Urgency < j.Urgency || guaranteed && victim.Team != j.Team && r.Teams[victim.Team].beyondGuarantee()
}

// victims finds the machine where room for one task of a job costs least, and what
// to stop there. A machine where work is stopping already serves as it is.
func (r *round) victims(j *Job, guaranteed bool) (best int, chosen []int) {
	best = -1
	least := 0.0
	for i := range r.Machines {
		m := &r.Machines[i]
		if r.promised[i] || !j.Constraints.Allows(m.Kind) || j.ClosedZones[m.Kind.Zone] || j.FailedMachines[m.Name] {
			continue
		}
		room := m.Free
		var candidates []int
		for _, t := range m.Tasks {
			victim := &r.Jobs[r.Tasks[t].Job]
			switch {
			case r.stopping[t]:
				room = room.Plus(victim.Resources, 1)
			case !r.Tasks[t].spared(j) && r.may(j, guaranteed, victim):
				candidates = append(candidates, t)
			}
		}
		slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(r.Tasks[a].LostWork, r.Tasks[b].LostWork) })
		var stop []int
		cost := 0.0
		for _, t := range candidates {
			if room.Holds(j.Resources) {
				break
			}
			room = room.Plus(r.Jobs[r.Tasks[t].Job].Resources, 1)
			stop = append(stop, t)
			cost += r.Tasks[t].LostWork
		}
		if !j.Service && cost > worth(j, j.Resources.CPUs) {
			continue
		}
		if room.Holds(j.Resources) && (best < 0 || cost < least) {
			best, chosen, least = i, stop, cost
		}
	}
	return best, chosen
}
