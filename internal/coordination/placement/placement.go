// Package placement decides which pending tasks start on which machines of a partition: where
// contention is least (ProCon), within the teams' limits. It is a pure function of a view;
// details that are costly to gather are asked for as they are needed.
package placement

import (
	"slices"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/coordination/fairshare"
)

// View is the state of one partition.
type View struct {
	// Jobs are in queue order.
	Jobs     []Job
	Machines []Machine
	Teams    []Team
	Scarcity binpack.Scarcity
	Horizon  contention.Horizon
	Details  MachineDetails
}

// Machine is a machine that may get tasks.
type Machine struct {
	Name string
	Kind binpack.MachineKind
	// Free is what is not in use of the machine.
	Free        binpack.Resources
	FetchGBPerS float64
	// ReservedFor is the fair-share group that the machine is reserved for, or
	// fairshare.NoGroup.
	ReservedFor int
}

// MachineDetails answers what is only asked of few machines. Machines are identified by their
// indexes in the view.
type MachineDetails interface {
	// HasImage reports whether a machine has an image or is fetching it already.
	HasImage(machine int, image string) bool
	// Running is what runs on a machine, as prediction sees it. It is not changed.
	Running(machine int) *contention.Machine
}

// Job is a job with pending tasks.
type Job struct {
	Pending int
	// Gang: all pending tasks start or none.
	Gang bool
	Team int
	// Groups are its fair-share groups, Class the one of them that is its class.
	Groups      [2]int
	Class       int
	Resources   binpack.Resources
	Constraints binpack.Constraints
	// Types is the set of machine types that its tasks fit.
	Types   uint64
	Image   string
	ImageGB float64
	// LongFetchS is how many seconds fetching its image may take; where it takes longer,
	// machines that have the image are preferred.
	LongFetchS float64
	// OneZone: its tasks must all run in one zone. Spread: no zone may have more than
	// SpreadLimit of them.
	OneZone, Spread bool
	// Tasks is how many tasks it has in all.
	Tasks int
	// Zones counts its running tasks by zone; needed only with OneZone or Spread.
	Zones map[string]int
	// FailedMachines are those on which it failed; its tasks don't start there again.
	FailedMachines map[string]bool
	// Prediction is one of its tasks as it starts.
	Prediction contention.Task
}

// zoneBound reports whether it matters in which zones the tasks run.
func (j *Job) zoneBound() bool { return j.OneZone || j.Spread }

// Team is a team's limit, what it uses, and what of the limit is reserved for starved classes.
// A limit of 0 is none.
type Team struct {
	Limit, Used binpack.Compute
	Reserved    []fairshare.ReservedQuota
}

// allows reports whether one more task of a job may start: within the limit, less what is
// reserved for other classes.
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

// use counts a task of a job that starts; it uses up what is reserved for its class.
func (t *Team) use(job *Job) {
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

// Plan is what is decided.
type Plan struct {
	// Assignments are in queue order, so those of one job are consecutive.
	Assignments []Assignment
	// WantedByGangs are machines that a gang would use which found no room for all of its
	// tasks. It waits for more room, so they don't count as idle. A machine may be listed
	// more than once.
	WantedByGangs []int
}

// Assignment starts the next pending task of a job on a machine. Both are indexes in the view.
type Assignment struct{ Job, Machine int }

// Decide places pending tasks, job by job, while there is room. The view is not changed.
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
