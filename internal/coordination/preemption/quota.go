package preemption

import (
	"cmp"
	"slices"

	"micaspindle/internal/coordination/binpack"
)

// freeQuota stops work of lower urgency of a job's own team, so that the job gets what it
// needs of the team's limit.
func (r *round) freeQuota(jobIndex int) {
	job := &r.Jobs[jobIndex]
	team := &r.Teams[job.Team]
	room, victims := r.lowerWork(job)
	for _, task := range victims {
		if len(r.stops) >= maxStops || quotaSuffices(job, team.Limit, room) {
			return
		}
		room.Add(r.jobOf(task).Resources, 1)
		r.stop(task, jobIndex, true)
	}
}

// lowerWork returns what is left of the limit of a job's team once its stopping tasks of lower
// urgency have ended, and those of its tasks that may be stopped, by lost work.
func (r *round) lowerWork(job *Job) (room binpack.Compute, victims []int) {
	team := &r.Teams[job.Team]
	room = binpack.Compute{CPUs: team.Limit.CPUs - team.Used.CPUs, GPUs: team.Limit.GPUs - team.Used.GPUs}
	for i := range r.Tasks {
		task, lower := &r.Tasks[i], r.jobOf(i)
		if lower.Team != job.Team || lower.Urgency >= job.Urgency || task.protectedFrom(job) {
			continue
		}
		switch {
		case r.stopping[i]:
			room.Add(lower.Resources, 1)
		case task.LostWork <= job.worth(lower.Resources.CPUs):
			victims = append(victims, i)
		}
	}
	slices.SortFunc(victims, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.Tasks[a].LostWork, r.Tasks[b].LostWork), cmp.Compare(r.Tasks[a].Name, r.Tasks[b].Name))
	})
	return room, victims
}

// quotaSuffices reports whether room within a team's limit holds all pending tasks of a job,
// or as many as the limit ever lets run.
func quotaSuffices(job *Job, limit, room binpack.Compute) bool {
	pending := float64(job.Pending)
	suffices := func(limit, room, need float64) bool {
		return limit <= 0 || pending*need <= room+binpack.Epsilon || room >= limit-need
	}
	return suffices(limit.CPUs, room.CPUs, job.Resources.CPUs) && suffices(limit.GPUs, room.GPUs, job.Resources.GPUs)
}
