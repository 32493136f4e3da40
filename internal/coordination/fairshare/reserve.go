package fairshare

import (
	"cmp"
	"slices"

	"micaspindle/internal/coordination/binpack"
)

// View is a snapshot of one partition.
type View struct {
	Groups   []Group // by group number; the entry of NoGroup is empty
	Jobs     []Job
	Machines []Machine
}

// Job is a job whose pending tasks may start as far as quotas are concerned.
type Job struct {
	Class, Team int // group numbers
	Resources   binpack.Resources
	Constraints binpack.Constraints
	Pending     int
	// SuspectMachines are the names of machines on which no task of the job, or only one to try
	// them, may start now. None is reserved for the job.
	SuspectMachines map[string]bool
}

// Machine is a machine on which tasks may be placed.
type Machine struct {
	Name string
	Kind binpack.MachineKind
	// Size is the total capacity, Free the unused part.
	Size, Free binpack.Resources
	// UsedCPUs is the number of CPUs in use, by group.
	UsedCPUs map[int]float64
	// ReservedFor is the group for which the machine was reserved last, or NoGroup.
	ReservedFor int
}

// Reserve returns, for each machine, the group for which it is reserved, or NoGroup. Only that
// group's tasks may start there; tasks that already run there continue. The machines are divided
// among the groups by max-min fairness: no group gets more than it wants, nor more than an equal
// share while others want theirs. Nothing is reserved for a group that already uses
// MaxReservedShare of the machines that fit its tasks, and no more than that share of any machine
// type is reserved.
func Reserve(v View) []int {
	a := allocation{View: v, groups: make([]int, len(v.Machines)), leftCPUs: map[string]float64{}}
	for i := range v.Machines {
		machine := &v.Machines[i]
		a.leftCPUs[machine.Kind.Type] += MaxReservedShare * machine.Size.CPUs
	}
	demands := v.demands()
	left := MaxReservedShare
	for i, d := range demands {
		fairShare := left / float64(len(demands)-i)
		share := min(v.Groups[d.group].reservedShare(), d.wantedCPUs/d.totalCPUs, fairShare)
		left -= share
		a.reserve(d, share*d.totalCPUs)
	}
	return a.groups
}

// demand is the demand of a group for the machines that fit its pending tasks.
type demand struct {
	group    int
	machines []int // indexes into View.Machines
	// totalCPUs is the capacity of these machines, usedCPUs the part of it that the group uses,
	// and wantedCPUs the sum of usedCPUs and the CPUs that the group's pending tasks need.
	totalCPUs, usedCPUs, wantedCPUs float64
}

// demands returns the demands of the groups for which machines are to be reserved, in order of
// the share of their machines that they want, smallest first.
func (v *View) demands() []demand {
	var demands []demand
	for group, share := range ReservedShares(v.Groups) {
		if share <= 0 {
			continue
		}
		if d := v.demand(group); d.usedCPUs < MaxReservedShare*d.totalCPUs {
			demands = append(demands, d)
		}
	}
	slices.SortStableFunc(demands, func(a, b demand) int {
		return cmp.Compare(a.wantedCPUs*b.totalCPUs, b.wantedCPUs*a.totalCPUs)
	})
	return demands
}

// demand returns the demand of a group for the machines that fit its pending tasks.
func (v *View) demand(group int) demand {
	d := demand{group: group}
	var jobs []*Job
	for i := range v.Jobs {
		job := &v.Jobs[i]
		if job.Pending > 0 && (job.Class == group || job.Team == group) {
			jobs = append(jobs, job)
			d.wantedCPUs += float64(job.Pending) * max(job.Resources.CPUs, binpack.Epsilon)
		}
	}
	for i := range v.Machines {
		machine := &v.Machines[i]
		fits := func(job *Job) bool {
			return machine.Size.Holds(job.Resources) && job.Constraints.Allows(machine.Kind) && !job.SuspectMachines[machine.Name]
		}
		if slices.ContainsFunc(jobs, fits) {
			d.machines = append(d.machines, i)
			d.totalCPUs += machine.Size.CPUs
			d.usedCPUs += machine.UsedCPUs[group]
		}
	}
	d.wantedCPUs += d.usedCPUs
	return d
}

// allocation is the working state of Reserve.
type allocation struct {
	View
	// groups holds, for each machine, the group for which it is reserved, or NoGroup.
	groups []int
	// leftCPUs is the number of CPUs that may still be reserved, by machine type.
	leftCPUs map[string]float64
}

// reserve reserves machines for a group until their CPUs reach shareCPUs or the group's demand.
func (a *allocation) reserve(d demand, shareCPUs float64) {
	slices.SortFunc(d.machines, func(x, y int) int { return compareMachines(&a.Machines[x], &a.Machines[y], d.group) })
	wantedCPUs := d.wantedCPUs
	for _, i := range d.machines {
		machine := &a.Machines[i]
		if shareCPUs < binpack.Epsilon || wantedCPUs < binpack.Epsilon {
			return
		}
		if a.groups[i] != NoGroup || machine.Size.CPUs > a.leftCPUs[machine.Kind.Type]+binpack.Epsilon {
			continue
		}
		a.groups[i] = d.group
		a.leftCPUs[machine.Kind.Type] -= machine.Size.CPUs
		shareCPUs -= machine.Size.CPUs
		wantedCPUs -= machine.Size.CPUs
	}
}

// compareMachines orders machines for a group: first those already reserved for it, since no other
// work has started there meanwhile, then those on which the group uses most CPUs, then those with
// most free CPUs.
func compareMachines(a, b *Machine, group int) int {
	if reservedA, reservedB := a.ReservedFor == group, b.ReservedFor == group; reservedA != reservedB {
		if reservedA {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.UsedCPUs[group], a.UsedCPUs[group]),
		cmp.Compare(b.Free.CPUs, a.Free.CPUs),
		cmp.Compare(a.Name, b.Name),
	)
}
