package preemption

import (
	"cmp"
	"slices"

	"micaspindle/internal/coordination/binpack"
)

// freeQuota preempts tasks of lower urgency of a job's own team, so that the job's pending tasks fit
// within the team limit.
func (r *round) freeQuota(jobIndex int) {
	job := &r.Jobs[jobIndex]
	team := &r.Teams[job.Team]
	available, victims := r.lowerUrgencyTasks(job)
	for _, task := range victims {
		if len(r.preemptions) >= maxPreemptions || quotaSuffices(job, team.Limit, available) {
			return
		}
		available.Add(r.jobOf(task).Resources, 1)
		r.preempt(task, jobIndex, true)
	}
}

// lowerUrgencyTasks returns the tasks of a job's team that may be preempted for the job, by ascending
// lost work, and the unused part of the team limit once its stopping tasks of lower urgency have
// ended.
func (r *round) lowerUrgencyTasks(job *Job) (available binpack.TeamResources, victims []int) {
	team := &r.Teams[job.Team]
	available = binpack.TeamResources{CPUs: team.Limit.CPUs - team.Used.CPUs, GPUs: team.Limit.GPUs - team.Used.GPUs}
	for i := range r.Tasks {
		task, lower := &r.Tasks[i], r.jobOf(i)
		if lower.Team != job.Team || lower.Urgency >= job.Urgency || task.protectedFrom(job) {
			continue
		}
		switch {
		case r.stopping[i]:
			available.Add(lower.Resources, 1)
		case task.LostWork <= job.maxLostWork(lower.Resources.CPUs):
			victims = append(victims, i)
		}
	}
	slices.SortFunc(victims, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.Tasks[a].LostWork, r.Tasks[b].LostWork), cmp.Compare(r.Tasks[a].Name, r.Tasks[b].Name))
	})
	return available, victims
}

// quotaSuffices reports whether the available part of a team limit is enough for all pending tasks
// of a job, or for as many of them as fit within the limit at all.
func quotaSuffices(job *Job, limit, available binpack.TeamResources) bool {
	pending := float64(job.Pending)
	suffices := func(limit, available, need float64) bool {
		return limit <= 0 || pending*need <= available+binpack.Epsilon || available >= limit-need
	}
	return suffices(limit.CPUs, available.CPUs, job.Resources.CPUs) && suffices(limit.GPUs, available.GPUs, job.Resources.GPUs)
}
