// Package queue orders the jobs of a partition: by urgency, then by whether they can still meet
// their deadlines, then by due time, then by ID. The order is a pure function of a snapshot of the
// jobs.
package queue

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/protocol"
)

// minTotalRunTimeS keeps response ratios finite.
const minTotalRunTimeS = 1e-3

// Job holds the properties of a job that the order depends on.
type Job struct {
	ID          string
	Urgency     protocol.Urgency
	SubmittedAt time.Time
	// Due is the deadline or, for a job without one, the time by which it should be served.
	Due time.Time
	// Deadline is the time by which the job should be done, or zero if it has no deadline.
	Deadline time.Time
	// Pending is the number of tasks that wait to be placed.
	Pending int
	Team    int

	// The fields below matter only for jobs that have pending tasks and a deadline.

	// EstimateS is the estimated run time of a task in seconds.
	EstimateS float64
	// Types is the set of machine types that fit its tasks, as bits.
	Types uint64
	// Slots is the number of its tasks that the partition's machines can run at once.
	Slots float64
	// Parallelism is the number of its tasks that its team's limit allows to run at once.
	Parallelism float64
}

// Rounds returns the number of consecutive rounds in which the given number of tasks run if at most
// parallelism tasks run in a round.
func Rounds(tasks int, parallelism float64) float64 {
	return max(1, math.Ceil(float64(tasks)/parallelism))
}

// allowedS returns the allowed time of a job, from submission to deadline, in seconds. It is at least
// the run time of one task, even if the deadline was already too close at the submission.
func (j *Job) allowedS() float64 {
	return max(j.Deadline.Sub(j.SubmittedAt).Seconds(), j.EstimateS)
}

// waitedS returns the time in seconds since the job was submitted.
func (j *Job) waitedS(now time.Time) float64 { return now.Sub(j.SubmittedAt).Seconds() }

// totalRunTimeS returns the time in seconds that the pending tasks take on all machines that fit them.
func (j *Job) totalRunTimeS() float64 {
	return max(j.EstimateS*float64(j.Pending)/max(1, j.Slots), minTotalRunTimeS)
}

// responseRatio returns the ratio of a job's waiting time to its run time: the response ratio of
// highest response ratio next (HRRN) scheduling, less one.
func (j *Job) responseRatio(now time.Time) float64 {
	return j.waitedS(now) / j.totalRunTimeS()
}

// Order returns the indexes of the jobs in the order in which they are to be served. The order of
// the argument does not matter.
func Order(jobs []Job, now time.Time) []int {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if byDue := jobs[a].Due.Compare(jobs[b].Due); byDue != 0 {
			return byDue
		}
		return strings.Compare(jobs[a].ID, jobs[b].ID)
	})
	grades := gradeJobs(jobs, order, now)
	slices.SortStableFunc(order, func(a, b int) int {
		if byUrgency := cmp.Compare(jobs[b].Urgency, jobs[a].Urgency); byUrgency != 0 {
			return byUrgency
		}
		if byGrade := cmp.Compare(grades[a], grades[b]); byGrade != 0 {
			return byGrade
		}
		return compareWithinGrade(&jobs[a], &jobs[b], grades[a], now)
	})
	return order
}

// compareWithinGrade orders two jobs of one grade; 0 leaves them in order of their due times.
//
// Of the very late jobs, the shortest are served first: in order of deadlines, a few large jobs would
// delay many small ones, and under a load surge most would never start. Starved jobs are ordered by
// response ratio, highest first.
func compareWithinGrade(a, b *Job, g grade, now time.Time) int {
	switch g {
	case gradeVeryLate:
		return cmp.Compare(a.totalRunTimeS(), b.totalRunTimeS())
	case gradeStarved:
		return cmp.Compare(b.responseRatio(now), a.responseRatio(now))
	default:
		return 0
	}
}
