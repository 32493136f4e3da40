// Package placement decides which pending tasks of a partition start on which machines. It places
// each task where contention is lowest (ProCon), within the limits of the teams. It works on a
// snapshot; details that are expensive to collect are queried on demand.
package placement

import (
	"slices"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/coordination/fairshare"
)

// View is a snapshot of one partition.
type View struct {
	// Jobs are in queue order.
	Jobs     []Job
	Machines []Machine
	Teams    []Team
	Scarcity binpack.Scarcity
	Horizon  contention.Horizon
	Details  MachineDetails
}

// Machine is a machine on which tasks may start.
type Machine struct {
	Name string
	Kind binpack.MachineKind
	// Free are the resources that are not in use.
	Free        binpack.Resources
	FetchGBPerS float64
	// LastChoice marks a machine that is used only if no other one fits.
	LastChoice bool
	// ReservedFor is the fair-share group that the machine is reserved for, or
	// fairshare.NoGroup.
	ReservedFor int
}

// MachineDetails provides details that are needed for few machines only. Machines are identified by
// their indexes in the view.
type MachineDetails interface {
	// HasImage reports whether a machine has an image or is already fetching it.
	HasImage(machine int, image string) bool
	// Running returns a machine with its running tasks as input of the contention
	// prediction. The result must not be modified.
	Running(machine int) *contention.Machine
}

// Job is a job with pending tasks.
type Job struct {
	// Pending is the number of pending tasks.
	Pending int
	// Gang requires that all pending tasks start together.
	Gang bool
	// Team is an index in the view.
	Team int
	// Groups are the job's fair-share groups. Class is the group of its class.
	Groups      [2]int
	Class       int
	Resources   binpack.Resources
	Constraints binpack.Constraints
	// Types is the binpack.TypeSet of the tasks.
	Types   uint64
	Image   string
	ImageGB float64
	// LongFetchS is the duration in seconds above which fetching the image counts as long, so
	// that machines that have the image are preferred.
	LongFetchS float64
	// OneZone requires that all tasks run in the same zone. Spread requires that no zone has
	// more than SpreadLimit of them.
	OneZone, Spread bool
	// Tasks is the total number of tasks.
	Tasks int
	// Zones counts the running tasks by zone. It is only used with OneZone or Spread.
	Zones map[string]int
	// ExcludedMachines are the names of machines on which no task of the job may start.
	ExcludedMachines map[string]bool
	// LastChoiceMachines are the names of machines on which one task of the job, or a gang, may
	// start in a round if it fits on no other machine.
	LastChoiceMachines map[string]bool
	// Prediction describes a newly started task of the job for the contention prediction.
	Prediction contention.Task
}

// zoneConstrained reports whether the zones of the job's other tasks restrict where a task may run.
func (j *Job) zoneConstrained() bool { return j.OneZone || j.Spread }

// Team is a team's limit, its usage, and the parts of the limit that are reserved for starved
// classes. A limit of 0 means no limit.
type Team struct {
	Limit, Used binpack.TeamResources
	Reserved    []fairshare.ReservedQuota
}

// allows reports whether one more task of a job may start: whether it fits into the part of the
// limit that is neither used nor reserved for other classes.
func (t *Team) allows(job *Job) bool {
	used := t.Used
	for _, quota := range t.Reserved {
		if quota.Class != job.Class {
			used.CPUs += quota.Reserved.CPUs
			used.GPUs += quota.Reserved.GPUs
		}
	}
	return t.Limit.Allows(used, job.Resources)
}

// charge adds a started task of a job to the team's usage and deducts it from the reservation of
// the job's class.
func (t *Team) charge(job *Job) {
	t.Used.Add(job.Resources, 1)
	for i := range t.Reserved {
		if quota := &t.Reserved[i]; quota.Class == job.Class {
			quota.Reserved.CPUs = max(0, quota.Reserved.CPUs-job.Resources.CPUs)
			quota.Reserved.GPUs = max(0, quota.Reserved.GPUs-job.Resources.GPUs)
		}
	}
}

func (t Team) clone() Team {
	t.Reserved = slices.Clone(t.Reserved)
	return t
}

// Plan lists the tasks to start and the machines that unplaced gangs wait for.
type Plan struct {
	// Assignments are in queue order; those of one job are consecutive.
	Assignments []Assignment
	// WantedByGangs are the machines that fit some tasks of a gang that could not be placed as
	// a whole. They don't count as idle while the gang waits for more machines. A machine may be
	// listed more than once.
	WantedByGangs []int
}

// Assignment starts the next pending task of a job on a machine. The fields are indexes in the view.
type Assignment struct{ Job, Machine int }

// Decide places as many pending tasks as possible, job by job. It does not modify the view.
func Decide(v View) Plan {
	r := newRound(v)
	for i := range v.Jobs {
		if v.Jobs[i].Gang {
			r.placeGang(i)
		} else {
			r.placeTasks(i)
		}
	}
	return r.plan
}
