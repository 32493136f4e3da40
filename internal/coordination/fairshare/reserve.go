package fairshare

import (
	"cmp"
	"slices"

	"micaspindle/internal/coordination/binpack"
)

// View is the state of one partition.
type View struct {
	Groups   []Group // by number; the first is that of NoGroup and empty
	Jobs     []Job
	Machines []Machine
}

// Job is a job with pending tasks that may start as far as teams' limits go.
type Job struct {
	Class, Team int // groups
	Resources   binpack.Resources
	Constraints binpack.Constraints
	Pending     int
}

// Machine is a machine that may get tasks.
type Machine struct {
	Name string
	Kind binpack.MachineKind
	// Size is all of it, Free what is not in use.
	Size, Free binpack.Resources
	// UsedCPUs is what groups use of it.
	UsedCPUs map[int]float64
	// ReservedFor is the group that it was reserved for until now, or NoGroup.
	ReservedFor int
}

// Reserve says of each machine for which group it is reserved, NoGroup if for none. Only that
// group's tasks start there; what runs there goes on. What may be reserved is divided among
// the groups by max-min fairness: no group gets more than it wants, nor more than an equal
// share as long as others want theirs. A group that uses most of what its work fits, as in a
// flood, needs no help. Of no machine type is more than MaxReservedShare reserved.
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

// demand is what a group wants of the machines that its pending work fits.
type demand struct {
	group    int
	machines []int
	// totalCPUs are those of these machines, usedCPUs what the group uses of them,
	// wantedCPUs that and what its pending tasks need.
	totalCPUs, usedCPUs, wantedCPUs float64
}

// demands lists those of the groups that something is to be reserved for, the one that wants
// the least share of its machines first.
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
			return machine.Size.Holds(job.Resources) && job.Constraints.Allows(machine.Kind)
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

// allocation is the state of one call of Reserve.
type allocation struct {
	View
	// groups is for which group each machine is reserved.
	groups []int
	// leftCPUs is what may still be reserved, by machine type.
	leftCPUs map[string]float64
}

// reserve reserves machines for a group until it has so many CPUs or all that it wants.
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

// compareMachines orders machines for a group: those first that were reserved for it before,
// so that they empty, then those where most of it runs already, then the emptiest.
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
