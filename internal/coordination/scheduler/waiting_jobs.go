package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/placement"
)

const (
	// waitingReportInterval is the minimum time between two reports on a partition's waiting jobs.
	waitingReportInterval = 15 * time.Second
	// waitingReportAge is the time for which a job must have waited to be reported.
	waitingReportAge = 30 * time.Second
	// waitingReportJobs is the maximum number of jobs in a report.
	waitingReportJobs = 10
	// listedMachines is the maximum number of machines that are named for one reason.
	listedMachines = 4
)

// exclusionReason is a reason for which no task of a job may start on a machine now, as logged. Its
// values are those of cluster.MachineBlock, which concern all jobs, and the following.
type exclusionReason string

const (
	notExcluded    exclusionReason = ""
	excludedFailed exclusionReason = "job failed there"
	excludedZone   exclusionReason = "zone rule of the job"
	excludedGroup  exclusionReason = "reserved for a starved group"
	excludedRoom   exclusionReason = "no room"
)

// exclusion is the exclusion of a machine for a job.
type exclusion struct {
	reason exclusionReason
	// since and until are the times at which the exclusion began and will end; zero if unknown.
	since, until time.Time
}

// ReportWaitingJobs logs, for jobs of a partition that have waited long, what keeps them from
// starting: which machines are excluded for what reason, and since when. Jobs that failed somewhere
// go first, then those that have waited longest.
func (s *Scheduler) ReportWaitingJobs(p *cluster.Partition, now time.Time) {
	if now.Sub(p.WaitingJobsReportedAt) < waitingReportInterval {
		return
	}
	p.WaitingJobsReportedAt = now
	waiting := s.longWaitingJobs(p, now)
	p.LongWaitingJobs, p.JobsExcludedFromRoom = len(waiting), 0
	for _, job := range waiting {
		if s.isExcludedFromRoom(p, job, now) {
			p.JobsExcludedFromRoom++
		}
	}
	for _, job := range waiting[:min(len(waiting), waitingReportJobs)] {
		s.logWaitingJob(p, job, now)
	}
}

// isExcludedFromRoom reports whether a job's own failures keep it from a usable machine that has room
// for one of its tasks.
func (s *Scheduler) isExcludedFromRoom(p *cluster.Partition, job *cluster.Job, now time.Time) bool {
	need := cluster.ResourcesOf(job.Spec)
	for _, failures := range job.FailedMachines {
		machine := failures.Machine
		if now.Before(job.ExcludedUntil(failures)) && s.usableIn(p, machine, now) && machine.Free().Holds(need) {
			return true
		}
	}
	return false
}

// longWaitingJobs returns the jobs of a partition that have waited long, in the order of the report.
func (s *Scheduler) longWaitingJobs(p *cluster.Partition, now time.Time) []*cluster.Job {
	var waiting []*cluster.Job
	for _, job := range s.Queue(p) {
		if len(job.Pending) > 0 && !job.Ended && s.FinalStates[job.Spec.ID] == "" && now.Sub(job.WaitingSince()) >= waitingReportAge {
			waiting = append(waiting, job)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *cluster.Job) int {
		failedA, failedB := min(1, len(a.FailedMachines)), min(1, len(b.FailedMachines))
		return cmp.Or(cmp.Compare(failedB, failedA), a.WaitingSince().Compare(b.WaitingSince()))
	})
	return waiting
}

// logWaitingJob logs what keeps a job from starting.
func (s *Scheduler) logWaitingJob(p *cluster.Partition, job *cluster.Job, now time.Time) {
	s.log.Info("job waits", "job", job.Spec.ID, "partition", p.Index, "count", len(job.Pending), "elapsed", now.Sub(job.WaitingSince()),
		"job_backoff", max(0, job.BackoffUntil.Sub(now)), "held", len(job.Pending)-job.ReadyTasks(now), "team_limit", !s.withinQuota(p, job), "gang", job.Spec.Gang,
		"excluded", strings.Join(s.exclusions(p, job, now), "; "))
}

// exclusions lists the machines of a partition that a job's tasks could run on but for temporary
// reasons: one text for each reason.
func (s *Scheduler) exclusions(p *cluster.Partition, job *cluster.Job, now time.Time) (texts []string) {
	byReason := map[exclusionReason][]string{}
	counts := map[exclusionReason]int{}
	constraints, need := cluster.ConstraintsOf(job.Spec), cluster.ResourcesOf(job.Spec)
	zones := job.ZoneCounts()
	for _, machine := range s.Machines {
		if machine.Record.Partition != p.Index || machine.Type == nil || !constraints.Allows(cluster.MachineKindOf(machine.Record)) ||
			!binpack.Size(machine.Type).Holds(need) {
			continue
		}
		excluded := s.exclusion(job, machine, zones, now)
		counts[excluded.reason]++
		if excluded.reason != excludedRoom {
			byReason[excluded.reason] = append(byReason[excluded.reason], excluded.describe(machine.Name))
		}
	}
	for reason, count := range counts {
		texts = append(texts, describeReason(reason, count, byReason[reason]))
	}
	slices.Sort(texts)
	return texts
}

// exclusion returns the reason for which no task of a job may start on a machine now, as far as the
// job's constraints and the machine's size allow it. zones counts the job's tasks by zone.
func (s *Scheduler) exclusion(job *cluster.Job, machine *cluster.Machine, zones map[string]int, now time.Time) exclusion {
	if block := s.MachineBlock(machine, now); block != cluster.NotBlocked {
		excluded := exclusion{reason: exclusionReason(block), since: machine.BlockedSince(block)}
		if block == cluster.BlockAvoided {
			excluded.until = machine.AvoidUntil
		}
		return excluded
	}
	if failures := job.FailedMachines[machine.Name]; failures != nil && now.Before(job.ExcludedUntil(failures)) {
		return exclusion{reason: excludedFailed, since: failures.LastAt, until: job.ExcludedUntil(failures)}
	}
	spec := job.Spec
	switch {
	case !placement.ZoneAllowed(spec.OneZone, spec.Spread, spec.Tasks, zones, machine.Record.Zone):
		return exclusion{reason: excludedZone}
	case !machine.Free().Holds(cluster.ResourcesOf(spec)):
		return exclusion{reason: excludedRoom}
	case reservedForOthers(machine, job):
		return exclusion{reason: excludedGroup}
	}
	return exclusion{}
}

// describe names a machine with the times of its exclusion.
func (e exclusion) describe(machine string) string {
	text := machine
	if !e.since.IsZero() {
		text += " since " + e.since.Format(time.TimeOnly)
	}
	if !e.until.IsZero() {
		text += " until " + e.until.Format(time.TimeOnly)
	}
	return text
}

// describeReason describes the machines that are excluded for the same reason.
func describeReason(reason exclusionReason, count int, machines []string) string {
	if reason == notExcluded {
		reason = "free"
	}
	slices.Sort(machines)
	text := fmt.Sprintf("%s: %d", reason, count)
	if len(machines) == 0 {
		return text
	}
	return text + " (" + strings.Join(machines[:min(len(machines), listedMachines)], ", ") + ")"
}
