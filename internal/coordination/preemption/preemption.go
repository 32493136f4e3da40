// Package preemption decides which running tasks are stopped for jobs that must start now and
// find no room, as PROTOCOL allows: only work of lower urgency, and what another team runs
// beyond its guarantee while the job's team is within its own. It is a pure function of a view
// of one partition.
package preemption

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/protocol"
)

const (
	// startMargin is how close to being late a job must be before running work is stopped
	// for it: stopping wastes work, and room may still come free.
	startMargin = 8 * time.Second
	// quotaMargin is the same where the team's limit is in the way: its own work of lower
	// urgency has to save its state and end first.
	quotaMargin = 20 * time.Second
	// maxWait is how long jobs without a deadline wait before running work is stopped for
	// them.
	maxWait = 15 * time.Second
	// maxStops is after how many stops no more are decided on in one round.
	maxStops = 8
)

// View is the state of one partition.
type View struct {
	Now   time.Time
	Teams []Team
	// Jobs are in queue order.
	Jobs     []Job
	Tasks    []Task
	Machines []Machine
}

// Team is a team's rights and use. A limit or guarantee of 0 is none.
type Team struct{ Guarantee, Limit, Used binpack.Compute }

// Job is a job that has pending tasks, or whose running tasks may be stopped.
type Job struct {
	Team        int
	Urgency     protocol.Urgency
	Resources   binpack.Resources
	Constraints binpack.Constraints
	// ReadyAt is when it could first have started.
	ReadyAt time.Time
	// Deadline is when it should be done; zero: it has no deadline.
	Deadline time.Time
	// EstimateS is how many seconds a task runs.
	EstimateS float64
	Pending   int
	// Service: it runs until it is stopped, and its run time is no measure of its worth.
	Service bool
	// NonPreempting: nothing is stopped for it, as for gangs.
	NonPreempting bool
	// ClosedZones are zones where no further task of it may start.
	ClosedZones map[string]bool
	// FailedMachines are those on which it failed.
	FailedMachines map[string]bool
	// Groups are its fair-share groups.
	Groups [2]int
}

// Task is a running task.
type Task struct {
	// Job is the index of its job in the view.
	Job  int
	Name string
	// LostWork is the work that stopping it throws away, in CPU seconds.
	LostWork float64
	Stopping bool
	// ReservedFor is the fair-share group for which the room that it runs in is reserved,
	// or fairshare.NoGroup. It is stopped only for others of the group.
	ReservedFor int
}

// protectedFrom reports whether a task must not be stopped for a job, since that would undo
// what is reserved for starved groups.
func (t *Task) protectedFrom(job *Job) bool {
	return t.ReservedFor != fairshare.NoGroup && !slices.Contains(job.Groups[:], t.ReservedFor)
}

// Machine is a usable machine. The machines of a view are in order of their names.
type Machine struct {
	Name string
	Kind binpack.MachineKind
	Free binpack.Resources
	// Tasks are indexes of the tasks that run on it.
	Tasks []int
}

// Stop is a task that is to be stopped for a job. Both are indexes in the view.
type Stop struct {
	Task, Job int
	// TeamLimit: the limit of the job's team is in the way, not a lack of room.
	TeamLimit bool
}

// MustStart reports whether a pending job can't wait any longer: it would be late if it did,
// but is in time if it starts now.
func MustStart(job *Job, team *Team, now time.Time) bool {
	if job.Deadline.IsZero() {
		return now.Sub(job.ReadyAt) > maxWait
	}
	margin := startMargin
	if !team.Limit.Allows(team.Used, job.Resources) {
		margin = quotaMargin
	}
	spare := job.Deadline.Sub(now) - time.Duration(job.EstimateS*float64(time.Second))
	return spare >= 0 && spare < margin
}

// withinGuarantee reports whether one more task of a job keeps the team within its guarantee.
func (t *Team) withinGuarantee(job *Job) bool {
	if t.Guarantee.CPUs <= 0 && t.Guarantee.GPUs <= 0 {
		return false
	}
	return t.Used.CPUs+job.Resources.CPUs <= t.Guarantee.CPUs+binpack.Epsilon &&
		(job.Resources.GPUs == 0 || t.Used.GPUs+job.Resources.GPUs <= t.Guarantee.GPUs+binpack.Epsilon)
}

// beyondGuarantee reports whether the team uses more than its guarantee.
func (t *Team) beyondGuarantee() bool {
	return t.Used.CPUs > t.Guarantee.CPUs+binpack.Epsilon || t.Used.GPUs > t.Guarantee.GPUs+binpack.Epsilon
}

// worth is how much work a task of a job brings that takes so many CPUs, in CPU seconds:
// throwing away more than that helps nobody.
func (j *Job) worth(cpus float64) float64 { return j.EstimateS * max(cpus, 1) }

// Decide says which tasks are stopped for which jobs. The view is not changed.
func Decide(v View) []Stop {
	r := newRound(v)
	for i := range v.Jobs {
		job := &v.Jobs[i]
		team := &v.Teams[job.Team]
		switch {
		case job.Pending == 0 || job.NonPreempting || !MustStart(job, team, v.Now):
		case !team.Limit.Allows(team.Used, job.Resources):
			r.freeQuota(i)
		default:
			r.freeMachines(i)
		}
	}
	return r.stops
}
