// Package queue decides in which order the jobs of a partition are served: by urgency, then
// those first that can still be done in time, then by deadline, then by ID. It is a pure
// function of a view of the jobs.
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

// Job is what the order depends on.
type Job struct {
	ID          string
	Urgency     protocol.Urgency
	SubmittedAt time.Time
	// Due is when the job should be done or, without a deadline, by when it is to be served.
	Due time.Time
	// Deadline is when the job should be done; zero: it has no deadline.
	Deadline time.Time
	// Pending is how many tasks wait to be placed.
	Pending int
	Team    int

	// The fields below count only for jobs that have pending tasks and a deadline.

	// EstimateS is how many seconds a task runs.
	EstimateS float64
	// Types is the set of machine types that its tasks fit.
	Types uint64
	// Slots is how many of its tasks the partition's machines run at once.
	Slots float64
	// Parallelism is how many of its tasks its team's limit lets run at once.
	Parallelism float64
}

// Rounds is how many run times so many tasks take if only parallelism of them run at once.
func Rounds(tasks int, parallelism float64) float64 {
	return max(1, math.Ceil(float64(tasks)/parallelism))
}

// allowedS is how many seconds a job has from its submission until it should be done. It is
// at least the job's run time: a job that others wait for may be submitted when it is too
// late.
func (j *Job) allowedS() float64 {
	return max(j.Deadline.Sub(j.SubmittedAt).Seconds(), j.EstimateS)
}

// waitedS is how many seconds ago a job was submitted.
func (j *Job) waitedS(now time.Time) float64 { return now.Sub(j.SubmittedAt).Seconds() }

// totalRunTimeS is how many seconds the pending tasks take on all machines that they fit.
func (j *Job) totalRunTimeS() float64 {
	return max(j.EstimateS*float64(j.Pending)/max(1, j.Slots), minTotalRunTimeS)
}

// responseRatio is how long a job has waited over how long it takes: the response ratio of
// HRRN (highest response ratio next), less one.
func (j *Job) responseRatio(now time.Time) float64 {
	return j.waitedS(now) / j.totalRunTimeS()
}

// Order returns the indexes of jobs in the order in which they are served. It does not
// depend on the order of the list.
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

// compareWithinGrade orders two jobs of one grade; 0 leaves them in order of deadlines.
//
// Of the jobs that will be late whatever is done, those that take least go first: by
// deadline, a few large jobs would hold up many small ones, and in a flood most would never
// start. Starved jobs go by their response ratio, the highest first.
func compareWithinGrade(a, b *Job, g grade, now time.Time) int {
	switch g {
	case gradeHopeless:
		return cmp.Compare(a.totalRunTimeS(), b.totalRunTimeS())
	case gradeStarved:
		return cmp.Compare(b.responseRatio(now), a.responseRatio(now))
	default:
		return 0
	}
}
