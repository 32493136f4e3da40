package scheduler

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/queue"
)

// queueBuffers are the slices that Queue sorts, reused in each call. views[i] is the
// view of jobs[i].
type queueBuffers struct {
	jobs  []*cluster.Job
	views []queue.Job
}

// Queue lists the jobs of a partition that need the scheduler or the committer: the completing jobs,
// and those with pending tasks or records to write. The jobs are in the order in which they are
// served. The caller may modify the list.
//
// The order is cached for cluster.QueueOrderTTL, to avoid sorting all jobs for each event. It is
// recomputed at once when an idle job gets work: a job that was only appended to the cached order
// would be served last, find no free capacity, and have its completion recorded one batch late.
func (s *Scheduler) Queue(p *cluster.Partition) []*cluster.Job {
	now := time.Now()
	if p.QueueOrder == nil || now.Sub(p.QueueOrderedAt) >= cluster.QueueOrderTTL || slices.ContainsFunc(p.IdleJobs, s.belongsInQueue) {
		s.sortQueue(p, now)
	} else {
		p.QueueOrder = slices.DeleteFunc(p.QueueOrder, s.noLongerScheduled)
	}
	return slices.Clone(p.QueueOrder)
}

// noLongerScheduled reports whether this controller has dropped a job, or the job's run state, and so
// no longer schedules it.
func (s *Scheduler) noLongerScheduled(job *cluster.Job) bool {
	return !job.HasRunState || s.Jobs[job.Spec.ID] != job
}

// belongsInQueue reports whether a job has work and is still scheduled by this controller.
func (s *Scheduler) belongsInQueue(job *cluster.Job) bool {
	return job.HasWork() && !s.noLongerScheduled(job)
}

// sortQueue recomputes the queue order and the idle jobs of a partition.
func (s *Scheduler) sortQueue(p *cluster.Partition, now time.Time) {
	jobs, views := s.queueBuffers.jobs[:0], s.queueBuffers.views[:0]
	p.QueueOrder, p.IdleJobs, p.QueueOrderedAt = []*cluster.Job{}, p.IdleJobs[:0], now
	for _, job := range s.Jobs {
		switch {
		case job.Partition != p.Index || !job.HasRunState || job.Blocked:
		case job.HasWork():
			job.MayHaveDirtyChunk = job.HasDirtyChunk()
			jobs, views = append(jobs, job), append(views, queueView(job))
		default:
			p.IdleJobs = append(p.IdleJobs, job)
		}
	}
	s.queueBuffers = queueBuffers{jobs: jobs, views: views}
	s.addEstimates(p, jobs, views)
	for _, index := range queue.Order(views, now) {
		p.QueueOrder = append(p.QueueOrder, jobs[index])
	}
	clear(jobs) // so that the buffer does not keep ended jobs in memory
}

// queueView converts a job to the input of queue.Order, without the fields that addEstimates sets.
func queueView(job *cluster.Job) queue.Job {
	deadline, _ := job.Deadline()
	return queue.Job{
		ID:          job.Spec.ID,
		Urgency:     job.Urgency(),
		SubmittedAt: job.SubmittedAt,
		Due:         job.Due(),
		Deadline:    deadline,
		Pending:     len(job.Pending),
		Team:        job.Team,
	}
}
