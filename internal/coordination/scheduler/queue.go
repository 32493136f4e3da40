package scheduler

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/queue"
)

// queueBuffers are the slices that Queue sorts in, reused from one call to the next. They
// have the same indexes.
type queueBuffers struct {
	jobs  []*cluster.Job
	views []queue.Job
}

// Queue lists the jobs of a partition that need the scheduler or the committer, in the order
// in which they are served: those with pending tasks, with records to write, or at their end.
// The caller owns the list.
//
// The order is cached for cluster.QueueOrderTTL, so that events do not each sort all jobs
// again, unless a job that was idle comes to need something: were it served last, its tasks
// would find the room taken, and its end would be recorded, and its team's room be free, a
// batch later.
func (s *Scheduler) Queue(p *cluster.Partition) []*cluster.Job {
	now := time.Now()
	if p.QueueOrder == nil || now.Sub(p.QueueOrderedAt) >= cluster.QueueOrderTTL || slices.ContainsFunc(p.IdleJobs, s.needsService) {
		s.sortQueue(p, now)
	} else {
		p.QueueOrder = slices.DeleteFunc(p.QueueOrder, s.unloaded)
	}
	return slices.Clone(p.QueueOrder)
}

// unloaded reports whether a job is no longer scheduled by this controller.
func (s *Scheduler) unloaded(job *cluster.Job) bool {
	return !job.HasRunState || s.Jobs[job.Spec.ID] != job
}

// needsService reports whether a job belongs in the queue.
func (s *Scheduler) needsService(job *cluster.Job) bool {
	return job.HasWork() && !s.unloaded(job)
}

// sortQueue sorts the queue of a partition anew.
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
	clear(jobs) // so that the buffer does not keep jobs that end alive
}

// queueView is what the order depends on of every job.
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
