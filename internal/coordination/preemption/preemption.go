// Package preemption decides which running tasks of a partition are preempted for jobs that must
// start now but fit on no machine. The protocol allows preemption of tasks of lower urgency, and of
// tasks of teams that exceed their guarantees for jobs of teams that stay within theirs. The package
// works on a snapshot.
package preemption

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/protocol"
)

const (
	// startMargin is the time before a job's latest start at which it may begin to preempt.
	// Until then machines may become free without loss of work.
	startMargin = 8 * time.Second
	// quotaMargin replaces startMargin for jobs that the team limit keeps from starting. It is
	// longer since the preempted tasks must save their checkpoints and end first.
	quotaMargin = 20 * time.Second
	// maxWait is the time for which jobs without a deadline wait before they may preempt.
	maxWait = 15 * time.Second
	// maxPreemptions bounds the preemptions of a round. It is checked between machines, so the
	// last set of victims may exceed it.
	maxPreemptions = 8
)

// View is a snapshot of one partition.
type View struct {
	Now   time.Time
	Teams []Team
	// Jobs are in queue order.
	Jobs     []Job
	Tasks    []Task
	Machines []Machine
}

// Team is a team's guarantee, limit and usage. A guarantee or limit of 0 means none.
type Team struct{ Guarantee, Limit, Used binpack.TeamResources }

// Job is a job with pending tasks, or with running tasks that may be preempted.
type Job struct {
	// Team is an index in the view.
	Team        int
	Urgency     protocol.Urgency
	Resources   binpack.Resources
	Constraints binpack.Constraints
	// ReadyAt is the earliest time at which the job could have started.
	ReadyAt time.Time
	// Deadline is the time by which the job should be done; zero means no deadline.
	Deadline time.Time
	// EstimateS is the estimated run time of a task in seconds.
	EstimateS float64
	// Pending is the number of pending tasks.
	Pending int
	// Service marks a job that runs until it is stopped. Its preemptions are not limited by
	// maxLostWork, since it has no run time to compare with.
	Service bool
	// NonPreempting marks jobs that never preempt, such as gangs.
	NonPreempting bool
	// DisallowedZones are the zones where no further task of the job may start.
	DisallowedZones map[string]bool
	// ExcludedMachines are the names of machines on which no task of the job may start.
	ExcludedMachines map[string]bool
	// LastChoiceMachines are the names of machines on which one task of the job may start if no
	// other machine can be freed.
	LastChoiceMachines map[string]bool
	// Groups are the job's fair-share groups.
	Groups [2]int
}

// Task is a running task.
type Task struct {
	// Job is the index of its job in the view.
	Job  int
	Name string
	// LostWork is the work that is lost if the task is preempted, in CPU seconds.
	LostWork float64
	// Stopping marks a task whose agent has already been sent the command to stop it.
	Stopping bool
	// ReservedFor is the fair-share group for which the task's resources are reserved, or
	// fairshare.NoGroup. The task is only preempted for jobs of that group.
	ReservedFor int
}

// protectedFrom reports whether a task must not be preempted for a job because it uses resources
// that are reserved for a fair-share group to which the job does not belong.
func (t *Task) protectedFrom(job *Job) bool {
	return t.ReservedFor != fairshare.NoGroup && !slices.Contains(job.Groups[:], t.ReservedFor)
}

// Machine is a usable machine. The machines of a view are sorted by name.
type Machine struct {
	Name string
	Kind binpack.MachineKind
	Free binpack.Resources
	// LastChoice marks a machine that is used only if no other one can be freed.
	LastChoice bool
	// Tasks are the running tasks, as indexes in the view.
	Tasks []int
}

// Preemption is the decision to stop a task for a job.
type Preemption struct {
	Task, Job int // indexes in the view
	// TeamLimit is set if the job is kept from starting by its team's limit and not by a lack
	// of free machines.
	TeamLimit bool
}

// MustStart reports whether a pending job must start now. A job without a deadline must start once it
// has waited longer than maxWait. A job with a deadline must start once its latest start is less than
// startMargin away, or quotaMargin if the team limit keeps it from starting, unless the deadline can't
// be met any more.
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

// withinGuarantee reports whether the team stays within its guarantee when one more task of a job
// starts.
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

// maxLostWork returns the maximum work that may be lost to start a task of the job, in CPU seconds: the
// estimated work of the task itself on the given number of CPUs, but at least one.
func (j *Job) maxLostWork(cpus float64) float64 { return j.EstimateS * max(cpus, 1) }

// Decide returns the tasks to preempt and the jobs that they are preempted for. It does not modify
// the view.
func Decide(v View) []Preemption {
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
	return r.preemptions
}
