package preemption

import (
	"cmp"
	"slices"

	"micaspindle/internal/coordination/binpack"
)

// round is the state of one call of Decide.
type round struct {
	View
	// stopping is by task: it stops already, or is to be stopped.
	stopping []bool
	// taken is by machine: room is made there for a job already.
	taken []bool
	stops []Stop
}

func newRound(v View) round {
	r := round{View: v, stopping: make([]bool, len(v.Tasks)), taken: make([]bool, len(v.Machines))}
	for i := range v.Tasks {
		r.stopping[i] = v.Tasks[i].Stopping
	}
	return r
}

func (r *round) stop(task, job int, teamLimit bool) {
	r.stopping[task] = true
	r.stops = append(r.stops, Stop{Task: task, Job: job, TeamLimit: teamLimit})
}

// jobOf returns the job of a task.
func (r *round) jobOf(task int) *Job { return &r.Jobs[r.Tasks[task].Job] }

// freeMachines stops tasks so that the pending tasks of a job find room, each on a machine of
// its own.
func (r *round) freeMachines(jobIndex int) {
	job := &r.Jobs[jobIndex]
	guaranteed := r.Teams[job.Team].withinGuarantee(job)
	for range job.Pending {
		if len(r.stops) >= maxStops {
			return
		}
		cheapest, found := r.cheapestMachine(job, guaranteed)
		if !found {
			return
		}
		r.taken[cheapest.machine] = true
		for _, task := range cheapest.tasks {
			r.stop(task, jobIndex, false)
		}
	}
}

// eviction is what must be stopped on a machine so that it has room for one more task.
type eviction struct {
	machine int
	tasks   []int
	// lostWork is in CPU seconds.
	lostWork float64
}

// cheapestMachine finds the machine where room for one task of a job costs least, the first of
// several. A machine where enough tasks are stopping serves as it is.
func (r *round) cheapestMachine(job *Job, guaranteed bool) (cheapest eviction, found bool) {
	for i := range r.Machines {
		machine := &r.Machines[i]
		if r.taken[i] || !job.Constraints.Allows(machine.Kind) || job.ClosedZones[machine.Kind.Zone] || job.FailedMachines[machine.Name] {
			continue
		}
		candidate, possible := r.evict(i, job, guaranteed)
		if possible && (!found || candidate.lostWork < cheapest.lostWork) {
			cheapest, found = candidate, true
		}
	}
	return cheapest, found
}

// evict picks what to stop on a machine for one task of a job, by least lost work. It reports
// whether that makes room, and loses no more than the task brings.
func (r *round) evict(machine int, job *Job, guaranteed bool) (eviction, bool) {
	room, candidates := r.evictable(machine, job, guaranteed)
	result := eviction{machine: machine}
	for _, task := range candidates {
		if room.Holds(job.Resources) {
			break
		}
		room = room.Plus(r.jobOf(task).Resources, 1)
		result.tasks = append(result.tasks, task)
		result.lostWork += r.Tasks[task].LostWork
	}
	worthwhile := job.Service || result.lostWork <= job.worth(job.Resources.CPUs)
	return result, worthwhile && room.Holds(job.Resources)
}

// evictable returns the room on a machine once its stopping tasks have ended, and the tasks
// that may be stopped for a job, by lost work.
func (r *round) evictable(machine int, job *Job, guaranteed bool) (room binpack.Resources, tasks []int) {
	room = r.Machines[machine].Free
	for _, task := range r.Machines[machine].Tasks {
		victim := r.jobOf(task)
		switch {
		case r.stopping[task]:
			room = room.Plus(victim.Resources, 1)
		case !r.Tasks[task].protectedFrom(job) && r.mayStop(victim, job, guaranteed):
			tasks = append(tasks, task)
		}
	}
	slices.SortStableFunc(tasks, func(a, b int) int { return cmp.Compare(r.Tasks[a].LostWork, r.Tasks[b].LostWork) })
	return room, tasks
}

// mayStop is PROTOCOL's rule of whose tasks may be stopped for a job. guaranteed: the job's
// team is within its guarantee.
func (r *round) mayStop(victim, job *Job, guaranteed bool) bool {
	if victim.Urgency < job.Urgency {
		return true
	}
	return guaranteed && victim.Team != job.Team && r.Teams[victim.Team].beyondGuarantee()
}
