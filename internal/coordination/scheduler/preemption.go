package scheduler

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/preemption"
	"micaspindle/internal/telemetry"
)

const (
	// preemptInterval is the minimum time between two rounds of preemption in a partition.
	preemptInterval = time.Second
	// stopGraceMarginS is the time in seconds that a preempted task gets in addition to the time
	// that it needs to save a checkpoint.
	stopGraceMarginS = 1
)

// Reasons for preempting an attempt, as logged.
const (
	preemptForStart = "job must start now"
	preemptForQuota = "team limit reached"
)

// Preempt stops running attempts for jobs of a partition that must start now and for which no
// machine has free capacity, or whose team has reached its limit.
func (s *Scheduler) Preempt(p *cluster.Partition, now time.Time) {
	if now.Sub(p.PreemptionCheckedAt) < preemptInterval {
		return
	}
	p.PreemptionCheckedAt = now
	jobs := s.Queue(p)
	// Building the view is expensive, and usually no job has to start now.
	if !slices.ContainsFunc(jobs, func(job *cluster.Job) bool { return s.mustStart(p, job, now) }) {
		return
	}
	jobs = append(jobs, p.IdleJobs...) // their running attempts may be preempted
	view, attempts := s.preemptionView(p, jobs, now)
	for _, stop := range preemption.Decide(view) {
		s.preempt(attempts[stop.Task], jobs[stop.Job], stop.TeamLimit, now)
	}
}

// preempt stops an attempt for another job, the preemptor. atTeamLimit is set if the preemptor can't
// start because of its team's limit and not for lack of free capacity.
func (s *Scheduler) preempt(attempt *cluster.Attempt, preemptor *cluster.Job, atTeamLimit bool, now time.Time) {
	reason := preemptForStart
	if atTeamLimit {
		reason = preemptForQuota
	}
	s.log.Info("attempt preempted", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", attempt.Machine.Name, "preemptor", preemptor.Spec.ID, "reason", reason)
	s.metrics.Count(telemetry.AttemptPreempted, 1)
	s.agents.StopAttempt(attempt, attempt.Job.Spec.CheckpointDurationS+stopGraceMarginS, now)
}

// mustStart reports whether a job has to start now, so that attempts of other jobs may be preempted
// for it.
func (s *Scheduler) mustStart(p *cluster.Partition, job *cluster.Job, now time.Time) bool {
	if len(job.Pending) == 0 || !mayPreempt(job, now) {
		return false
	}
	view, team := s.preemptionJob(job, now), s.preemptionTeam(p, job.Team)
	return preemption.MustStart(&view, &team, now)
}

// mayPreempt reports whether attempts of other jobs may be preempted for a job at all.
func mayPreempt(job *cluster.Job, now time.Time) bool {
	return !job.Spec.Gang && !job.Ended && !now.Before(job.BackoffUntil)
}
