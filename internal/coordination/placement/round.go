package placement

import (
	"maps"
	"slices"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/coordination/fairshare"
)

// round is the working state of one call of Decide.
type round struct {
	View
	// machineStates has one entry for each machine. It is nil until the first task is placed.
	machineStates []machineState
	teams         []Team
	// unplaceable holds the shapes of tasks that fit on no machine. They stay unplaceable for
	// the rest of the round, since free resources never grow: undoing the placement of a gang
	// only restores what was free before it.
	unplaceable map[taskShape]bool
	// hasReservations reports whether any machine is reserved for a group.
	hasReservations bool
	// lastChoiceUsed is set once a task of the present job was placed on one of its last-choice
	// machines, of which it may use no more in this round. It does not hold for gangs.
	lastChoiceUsed bool
	plan           Plan

	// Buffers that choose reuses in each call.
	fitting    []int
	candidates []*contention.Machine
}

// machineState is the state of a machine after the placements of this round.
type machineState struct {
	free binpack.Resources
	// tasks and images are those of the tasks placed in this round.
	tasks  []contention.Task
	images []string
	// prediction caches the result of round.prediction; nil if not computed yet.
	prediction *contention.Machine
}

// taskShape holds all properties that determine on which machines a task fits, for jobs without
// zone constraints or excluded machines.
type taskShape struct {
	resources binpack.Resources
	zone      string
	spot      bool
	types     uint64
	// groups are only set if there are reservations.
	groups [2]int
}

func newRound(v View) round {
	r := round{
		View:        v,
		teams:       slices.Clone(v.Teams),
		unplaceable: map[taskShape]bool{},
		hasReservations: slices.ContainsFunc(v.Machines, func(m Machine) bool {
			return m.ReservedFor != fairshare.NoGroup
		}),
	}
	for i := range r.teams {
		r.teams[i] = r.teams[i].clone()
	}
	return r
}

// placeTasks places as many pending tasks of a job as possible.
func (r *round) placeTasks(jobIndex int) {
	job := &r.Jobs[jobIndex]
	shape := r.shape(job)
	shapeSuffices := !job.zoneConstrained() && len(job.ExcludedMachines) == 0 && len(job.LastChoiceMachines) == 0
	if shapeSuffices && r.unplaceable[shape] {
		return
	}
	zones := zoneCounts(job)
	r.lastChoiceUsed = false
	for range job.Pending {
		if !r.teams[job.Team].allows(job) {
			return
		}
		machine := r.choose(job, zones)
		if machine == noMachine {
			if shapeSuffices {
				r.unplaceable[shape] = true
			}
			return
		}
		r.assign(jobIndex, machine, zones)
		r.lastChoiceUsed = r.lastChoiceUsed || job.LastChoiceMachines[r.Machines[machine].Name]
	}
}

func (r *round) shape(job *Job) taskShape {
	shape := taskShape{resources: job.Resources, zone: job.Constraints.Zone, spot: job.Constraints.Spot, types: job.Types}
	if r.hasReservations {
		shape.groups = job.Groups
	}
	return shape
}

// placeGang places all pending tasks of a gang, or none: a part of the gang would occupy machines
// without making progress.
func (r *round) placeGang(jobIndex int) {
	job := &r.Jobs[jobIndex]
	zones := zoneCounts(job)
	r.lastChoiceUsed = false
	first := len(r.plan.Assignments)
	statesBefore, teamBefore := slices.Clone(r.machineStates), r.teams[job.Team].clone()
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
			r.machineStates, r.teams[job.Team] = statesBefore, teamBefore
			return
		}
		r.assign(jobIndex, machine, zones)
	}
}

// assign places a task of a job on a machine, and counts it in zones unless that is nil.
func (r *round) assign(jobIndex, machine int, zones map[string]int) {
	if r.machineStates == nil {
		r.machineStates = make([]machineState, len(r.Machines))
		for i := range r.Machines {
			r.machineStates[i].free = r.Machines[i].Free
		}
	}
	job, state := &r.Jobs[jobIndex], &r.machineStates[machine]
	state.free = state.free.Plus(job.Resources, -1)
	// Clip makes append copy the slices, since placeGang may restore the previous ones.
	state.tasks = append(slices.Clip(state.tasks), job.Prediction)
	state.images = append(slices.Clip(state.images), job.Image)
	state.prediction = nil
	r.teams[job.Team].charge(job)
	if zones != nil {
		zones[r.Machines[machine].Kind.Zone]++
	}
	r.plan.Assignments = append(r.plan.Assignments, Assignment{Job: jobIndex, Machine: machine})
}

// free returns the resources of a machine that are not in use.
func (r *round) free(machine int) binpack.Resources {
	if r.machineStates == nil {
		return r.Machines[machine].Free
	}
	return r.machineStates[machine].free
}

// hasImage reports whether a machine has an image, is fetching it, or will fetch it for a task that
// was placed in this round.
func (r *round) hasImage(machine int, image string) bool {
	return r.machineStates != nil && slices.Contains(r.machineStates[machine].images, image) || r.Details.HasImage(machine, image)
}

// prediction returns a machine with its running tasks and those placed in this round, as input of
// the contention prediction.
func (r *round) prediction(machine int) *contention.Machine {
	if r.machineStates == nil || len(r.machineStates[machine].tasks) == 0 {
		return r.Details.Running(machine)
	}
	state := &r.machineStates[machine]
	if state.prediction == nil {
		running := r.Details.Running(machine)
		state.prediction = &contention.Machine{
			Tasks:    slices.Concat(running.Tasks, state.tasks),
			UseLimit: running.UseLimit,
		}
	}
	return state.prediction
}

// zoneCounts returns a copy of a job's running tasks by zone, to which placed tasks are added. It
// returns nil if the job has no zone constraints.
func zoneCounts(job *Job) map[string]int {
	if !job.zoneConstrained() {
		return nil
	}
	counts := make(map[string]int, len(job.Zones)+1)
	maps.Copy(counts, job.Zones)
	return counts
}
