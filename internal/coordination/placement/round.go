package placement

import (
	"maps"
	"slices"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/coordination/fairshare"
)

// round is the state of one call of Decide.
type round struct {
	View
	// placed is by machine, and nil until the first task is placed.
	placed []placed
	teams  []Team
	// full holds the shapes of tasks that found no room. Room only shrinks, but for gangs
	// that are taken back, which leave it as it was before them.
	full map[taskShape]bool
	// reservations: some machine is reserved for a group.
	reservations bool
	plan         Plan

	// Scratch space of choose.
	fitting    []int
	candidates []*contention.Machine
}

// placed is what a machine got in this round.
type placed struct {
	free   binpack.Resources
	tasks  []contention.Task
	images []string
	// prediction is the machine with these tasks; nil: not computed yet.
	prediction *contention.Machine
}

// taskShape is what decides where a task fits, if neither zones nor failures matter.
type taskShape struct {
	need  binpack.Resources
	zone  string
	spot  bool
	types uint64
	// groups are set only if there are reservations.
	groups [2]int
}

func newRound(v View) round {
	r := round{
		View:  v,
		teams: slices.Clone(v.Teams),
		full:  map[taskShape]bool{},
		reservations: slices.ContainsFunc(v.Machines, func(m Machine) bool {
			return m.ReservedFor != fairshare.NoGroup
		}),
	}
	for i := range r.teams {
		r.teams[i] = r.teams[i].clone()
	}
	return r
}

// placeTasks places pending tasks of a job while there is room.
func (r *round) placeTasks(jobIndex int) {
	job := &r.Jobs[jobIndex]
	shape := r.shape(job)
	byShape := !job.zoneBound() && len(job.FailedMachines) == 0
	if byShape && r.full[shape] {
		return
	}
	zones := zoneCounts(job)
	for range job.Pending {
		if !r.teams[job.Team].allows(job) {
			return
		}
		machine := r.choose(job, zones)
		if machine == noMachine {
			if byShape {
				r.full[shape] = true
			}
			return
		}
		r.assign(jobIndex, machine, zones)
	}
}

func (r *round) shape(job *Job) taskShape {
	shape := taskShape{need: job.Resources, zone: job.Constraints.Zone, spot: job.Constraints.Spot, types: job.Types}
	if r.reservations {
		shape.groups = job.Groups
	}
	return shape
}

// placeGang places all pending tasks of a gang, or none: half a gang would only wait for the
// rest on machines that are paid for.
func (r *round) placeGang(jobIndex int) {
	job := &r.Jobs[jobIndex]
	zones := zoneCounts(job)
	first := len(r.plan.Assignments)
	placedBefore, teamBefore := slices.Clone(r.placed), r.teams[job.Team].clone()
	for range job.Pending {
		machine := noMachine
		if r.teams[job.Team].allows(job) {
			machine = r.choose(job, zones)
		}
		if machine == noMachine {
			for _, assignment := range r.plan.Assignments[first:] {
				r.plan.WantedByGangs = append(r.plan.WantedByGangs, assignment.Machine)
			}
			r.plan.Assignments = r.plan.Assignments[:first]
			r.placed, r.teams[job.Team] = placedBefore, teamBefore
			return
		}
		r.assign(jobIndex, machine, zones)
	}
}

// assign places a task of a job on a machine.
func (r *round) assign(jobIndex, machine int, zones map[string]int) {
	if r.placed == nil {
		r.placed = make([]placed, len(r.Machines))
		for i := range r.Machines {
			r.placed[i].free = r.Machines[i].Free
		}
	}
	job, onMachine := &r.Jobs[jobIndex], &r.placed[machine]
	onMachine.free = onMachine.free.Plus(job.Resources, -1)
	// Clipped, since placeGang may go back to the slices as they were.
	onMachine.tasks = append(slices.Clip(onMachine.tasks), job.Prediction)
	onMachine.images = append(slices.Clip(onMachine.images), job.Image)
	onMachine.prediction = nil
	r.teams[job.Team].use(job)
	if zones != nil {
		zones[r.Machines[machine].Kind.Zone]++
	}
	r.plan.Assignments = append(r.plan.Assignments, Assignment{Job: jobIndex, Machine: machine})
}

// free is what is not in use of a machine.
func (r *round) free(machine int) binpack.Resources {
	if r.placed == nil {
		return r.Machines[machine].Free
	}
	return r.placed[machine].free
}

// hasImage reports whether a machine has an image, or will fetch it for a task of this round.
func (r *round) hasImage(machine int, image string) bool {
	return r.placed != nil && slices.Contains(r.placed[machine].images, image) || r.Details.HasImage(machine, image)
}

// prediction is what runs on a machine, with what it got in this round.
func (r *round) prediction(machine int) *contention.Machine {
	if r.placed == nil || len(r.placed[machine].tasks) == 0 {
		return r.Details.Running(machine)
	}
	onMachine := &r.placed[machine]
	if onMachine.prediction == nil {
		running := r.Details.Running(machine)
		onMachine.prediction = &contention.Machine{
			Tasks:    slices.Concat(running.Tasks, onMachine.tasks),
			UseLimit: running.UseLimit,
		}
	}
	return onMachine.prediction
}

// zoneCounts returns a copy of a job's counts by zone, to which placed tasks are added; nil:
// zones don't matter.
func zoneCounts(job *Job) map[string]int {
	if !job.zoneBound() {
		return nil
	}
	counts := make(map[string]int, len(job.Zones)+1)
	maps.Copy(counts, job.Zones)
	return counts
}
