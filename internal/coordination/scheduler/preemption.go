package scheduler

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/preemption"
	"micaspindle/internal/telemetry"
)

const (
	// preemptInterval is the least time between two rounds of preemption in a partition.
	preemptInterval = time.Second
	// stopGraceMarginS is how many seconds a preempted task gets beyond what it needs to
	// save its state.
	stopGraceMarginS = 1
)

// Why an attempt is preempted.
const (
	preemptForStart = "job must start now"
	preemptForQuota = "team limit reached"
)

// Preempt stops running attempts for jobs of a partition that must start now and find no
// room.
func (s *Scheduler) Preempt(p *cluster.Partition, now time.Time) {
	if now.Sub(p.PreemptionCheckedAt) < preemptInterval {
		return
	}
	p.PreemptionCheckedAt = now
	jobs := s.Queue(p)
	// Gathering the view is costly, and most of the time nothing must start at once.
	if !slices.ContainsFunc(jobs, func(job *cluster.Job) bool { return s.mustStart(p, job, now) }) {
		return
	}
	jobs = append(jobs, p.IdleJobs...) // they have running attempts that may be stopped
	view, attempts := s.preemptionView(p, jobs, now)
	for _, stop := range preemption.Decide(view) {
		s.preempt(attempts[stop.Task], jobs[stop.Job], stop.TeamLimit, now)
	}
}

// preempt stops an attempt for another job.
func (s *Scheduler) preempt(attempt *cluster.Attempt, beneficiary *cluster.Job, ownLimit bool, now time.Time) {
	reason := preemptForStart
	if ownLimit {
		reason = preemptForQuota
	}
	s.log.Info("attempt preempted", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", attempt.Machine.Name, "preemptor", beneficiary.Spec.ID, "reason", reason)
	s.metrics.Count(telemetry.AttemptPreempted, 1)
	s.agents.StopAttempt(attempt, attempt.Job.Spec.SaveS+stopGraceMarginS, now)
}

// mustStart reports whether a job has to start now, so that others may be preempted for it.
func (s *Scheduler) mustStart(p *cluster.Partition, job *cluster.Job, now time.Time) bool {
	if len(job.Pending) == 0 || !mayPreempt(job, now) {
		return false
	}
	view, team := s.preemptionJob(job, now), s.preemptionTeam(p, job.Team)
	return preemption.MustStart(&view, &team, now)
}

// mayPreempt reports whether other work may be preempted for a job at all.
func mayPreempt(job *cluster.Job, now time.Time) bool {
	return !job.Spec.Gang && !job.Ended && !now.Before(job.BackoffUntil)
}
