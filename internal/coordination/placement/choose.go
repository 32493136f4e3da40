package placement

import (
	"cmp"
	"slices"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/fairshare"
)

// noMachine is the result of choose if the task fits on no machine.
const noMachine = -1

// choose returns the machine for the next task of a job: the one with the lowest contention rate
// among the preferred machines that the task fits on.
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

// fits reports whether a task of a job may start on a machine. zones are the job's zoneCounts.
func (r *round) fits(machine int, job *Job, zones map[string]int) bool {
	m := &r.Machines[machine]
	return r.free(machine).Holds(job.Resources) &&
		job.Constraints.Allows(m.Kind) &&
		(zones == nil || ZoneAllowed(job.OneZone, job.Spread, job.Tasks, zones, m.Kind.Zone)) &&
		!job.ExcludedMachines[m.Name] &&
		!(r.lastChoiceUsed && job.LastChoiceMachines[m.Name]) &&
		(m.ReservedFor == fairshare.NoGroup || slices.Contains(job.Groups[:], m.ReservedFor))
}

// preferred filters machines by the preferences that take precedence over contention
// (docs/design.md). It reuses the slice.
func (r *round) preferred(machines []int, job *Job) []int {
	// Avoid slow machines, and those on which the job failed.
	machines = prefer(machines, func(machine int) bool { return !r.Machines[machine].LastChoice })
	if len(job.LastChoiceMachines) > 0 {
		machines = prefer(machines, func(machine int) bool { return !job.LastChoiceMachines[r.Machines[machine].Name] })
	}
	// Avoid machine types that are contested by jobs that fit fewer types.
	typeCount := binpack.TypeCount(job.Types)
	machines = prefer(machines, func(machine int) bool {
		return !r.Scarcity.Contested(r.Machines[machine].Kind.Type, typeCount)
	})
	// Prefer spot machines, so that the more expensive ordinary ones become idle and can be
	// scaled in.
	machines = prefer(machines, func(machine int) bool { return r.Machines[machine].Kind.Spot })
	// If fetching the image takes long, prefer machines that have it: concurrent fetches
	// share the machine's bandwidth.
	return prefer(machines, func(machine int) bool {
		return job.ImageGB <= job.LongFetchS*r.Machines[machine].FetchGBPerS || r.hasImage(machine, job.Image)
	})
}

// prefer returns the machines that have a property, or all of them if none has it. It reuses the
// slice.
func prefer(machines []int, has func(machine int) bool) []int {
	if !slices.ContainsFunc(machines, has) {
		return machines
	}
	return slices.DeleteFunc(machines, func(machine int) bool { return !has(machine) })
}

// before breaks ties between machines of equal contention. It prefers machines that have the image,
// then those with fewer free CPUs, so that other machines become idle and can be scaled in.
func (r *round) before(a, b int, image string) bool {
	if hasA, hasB := r.hasImage(a, image), r.hasImage(b, image); hasA != hasB {
		return hasA
	}
	if byFree := cmp.Compare(r.free(a).CPUs, r.free(b).CPUs); byFree != 0 {
		return byFree < 0
	}
	return r.Machines[a].Name < r.Machines[b].Name
}
