package placement

import (
	"cmp"
	"slices"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/fairshare"
)

// noMachine is the result of choose if no machine fits.
const noMachine = -1

// choose picks the machine of least contention among those that a task of a job fits.
func (r *round) choose(job *Job, zones map[string]int) int {
	r.fitting = r.fitting[:0]
	for i := range r.Machines {
		if r.fits(i, job, zones) {
			r.fitting = append(r.fitting, i)
		}
	}
	if len(r.fitting) == 0 {
		return noMachine
	}
	machines := r.preferred(r.fitting, job)
	r.candidates = r.candidates[:0]
	for _, machine := range machines {
		r.candidates = append(r.candidates, r.prediction(machine))
	}
	best := r.Horizon.Choose(r.candidates, job.Prediction, func(a, b int) bool {
		return r.before(machines[a], machines[b], job.Image)
	})
	return machines[best]
}

// fits reports whether a task of a job may start on a machine.
func (r *round) fits(machine int, job *Job, zones map[string]int) bool {
	m := &r.Machines[machine]
	return r.free(machine).Holds(job.Resources) &&
		job.Constraints.Allows(m.Kind) &&
		(zones == nil || ZoneOpen(job.OneZone, job.Spread, job.Tasks, zones, m.Kind.Zone)) &&
		!job.FailedMachines[m.Name] &&
		(m.ReservedFor == fairshare.NoGroup || slices.Contains(job.Groups[:], m.ReservedFor))
}

// preferred narrows a list of machines down by the three exceptions to least contention of
// docs/design.md. It changes the list.
func (r *round) preferred(machines []int, job *Job) []int {
	// Types that pending work of fewer choices needs are left to it.
	breadth := binpack.TypeCount(job.Types)
	machines = prefer(machines, func(machine int) bool {
		return !r.Scarcity.Contested(r.Machines[machine].Kind.Type, breadth)
	})
	// The dearer ordinary machines are left alone, so that they empty and can be scaled in.
	machines = prefer(machines, func(machine int) bool { return r.Machines[machine].Kind.Spot })
	// Where a fetch is long, machines that have the image go first, since simultaneous
	// fetches share their rate.
	return prefer(machines, func(machine int) bool {
		return job.ImageGB <= job.LongFetchS*r.Machines[machine].FetchGBPerS || r.hasImage(machine, job.Image)
	})
}

// prefer narrows a list down to the machines with a property, unless none has it.
func prefer(machines []int, has func(machine int) bool) []int {
	if !slices.ContainsFunc(machines, has) {
		return machines
	}
	return slices.DeleteFunc(machines, func(machine int) bool { return !has(machine) })
}

// before breaks ties between machines of equal contention: one that has the image goes first,
// then the fuller one, so that idle machines can be scaled in.
func (r *round) before(a, b int, image string) bool {
	if hasA, hasB := r.hasImage(a, image), r.hasImage(b, image); hasA != hasB {
		return hasA
	}
	if byFree := cmp.Compare(r.free(a).CPUs, r.free(b).CPUs); byFree != 0 {
		return byFree < 0
	}
	return r.Machines[a].Name < r.Machines[b].Name
}
