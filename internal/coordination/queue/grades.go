package queue

import (
	"math"
	"slices"
	"time"

	"micaspindle/internal/protocol"
)

// grade classifies jobs by whether they can still meet their deadlines. Lower grades are served
// first.
type grade int

const (
	// gradeStarved is the grade of starved jobs while they are served first; see starvedCycleS.
	gradeStarved grade = iota - 1
	// gradeInTime is the grade of jobs that can meet their deadline, that have none, or that have
	// no pending tasks.
	gradeInTime
	// gradeLate is the grade of jobs that can be done within lateFactor times their allowed time.
	gradeLate
	// gradeVeryLate is the grade of jobs that can't be done within lateFactor times their allowed
	// time, and of starved jobs while they are not served first.
	gradeVeryLate
)

const (
	// A job that can't be done within lateFactor times its allowed time counts as very late.
	lateFactor = 1.5
	// A job that has waited for starvationFactor times its allowed time counts as starved.
	starvationFactor = 5
	// starvedCycleS is the length in seconds of a cycle in which starved jobs are served first
	// for one second. If they were always served first, a long backlog of them would delay jobs
	// that can still meet their deadlines.
	starvedCycleS = 4
)

// deadlineGrades holds multiples of a job's allowed time, each with the grade of the jobs that can't be
// done within it. A multiple after the first applies only to the jobs that exceed the previous one.
var deadlineGrades = [...]struct {
	factor float64
	missed grade
}{{1, gradeLate}, {lateFactor, gradeVeryLate}}

// contentionKey is the key of a group of jobs that compete for the same machines: they have the same
// urgency and fit the same set of machine types.
type contentionKey struct {
	urgency protocol.Urgency
	types   uint64
}

// gradeJobs returns the grade of each job. If jobs were ordered by deadline alone, a backlog would
// make every job late. Instead, the largest jobs are postponed, so that as many jobs as possible meet
// their deadlines: the Moore-Hodgson algorithm, with the partition's machines as a single fast machine.
// order holds the indexes of the jobs in order of their due times.
func gradeJobs(jobs []Job, order []int, now time.Time) []grade {
	grades := make([]grade, len(jobs))
	groups := map[contentionKey][]int{}
	for _, i := range order {
		job := &jobs[i]
		switch {
		case job.Deadline.IsZero() || job.Pending == 0:
			grades[i] = gradeInTime
		case job.waitedS(now) < starvationFactor*job.allowedS():
			key := contentionKey{job.Urgency, job.Types}
			groups[key] = append(groups[key], i)
		case now.Unix()%starvedCycleS == 0:
			grades[i] = gradeStarved
		default:
			grades[i] = gradeVeryLate
		}
	}
	for _, group := range groups {
		late := group
		for _, deadline := range deadlineGrades {
			late = lateJobs(jobs, late, deadline.factor, now)
			for _, i := range late {
				grades[i] = deadline.missed
			}
		}
	}
	return grades
}

// lateJobs returns the jobs of a group that can't be done within factor times their allowed times,
// in the order in which they were postponed. group holds the indexes of the jobs.
func lateJobs(jobs []Job, group []int, factor float64, now time.Time) []int {
	s := schedule{jobs: jobs, teams: map[int]*backlog{}}
	for _, i := range group {
		leftS := jobs[i].allowedS()*factor - jobs[i].waitedS(now)
		s.add(i, leftS)
	}
	return s.late
}

// schedule is a trial schedule of jobs that are served one after the other. Each job queues for
// the partition's machines and for its team's limit.
type schedule struct {
	jobs     []Job
	machines backlog
	teams    map[int]*backlog
	// late holds the jobs that were postponed so that the others can meet their deadlines.
	late []int
}

// add schedules a job with leftS seconds left until its deadline.
func (s *schedule) add(i int, leftS float64) {
	job := &s.jobs[i]
	aloneS := job.EstimateS * Rounds(job.Pending, job.Parallelism)
	if aloneS > leftS {
		s.late = append(s.late, i)
		return
	}
	team := s.teams[job.Team]
	if team == nil {
		team = &backlog{}
		s.teams[job.Team] = team
	}
	if s.enqueue(&s.machines, i, job.Slots, aloneS, leftS) {
		s.enqueue(team, i, job.Parallelism, aloneS, leftS)
	}
}

// enqueue adds a job to a backlog that is served by the given number of slots. If the job would
// miss its deadline, the largest job of the backlog is postponed. It reports whether the job is
// still scheduled.
func (s *schedule) enqueue(b *backlog, i int, slots, aloneS, leftS float64) bool {
	if math.IsInf(slots, 1) || slots == 0 {
		return true
	}
	workS := s.jobs[i].EstimateS * float64(s.jobs[i].Pending) / slots
	b.add(i, workS)
	// workS is the run time if the work is divided evenly among all slots. Tasks are indivisible, so
	// the job takes at least aloneS.
	if b.totalS-workS+max(workS, aloneS) <= leftS {
		return true
	}
	largest := b.largest()
	s.late = append(s.late, largest)
	s.machines.remove(largest)
	s.teams[s.jobs[largest].Team].remove(largest)
	return largest != i
}

// backlog is the work that is queued for one resource.
type backlog struct {
	jobs   []int     // indexes of the queued jobs
	workS  []float64 // run time of each job in seconds if it gets the whole resource
	totalS float64   // sum of workS
}

func (b *backlog) add(job int, workS float64) {
	b.jobs, b.workS, b.totalS = append(b.jobs, job), append(b.workS, workS), b.totalS+workS
}

// largest returns the job with the longest run time, the first one in a tie.
func (b *backlog) largest() int {
	return b.jobs[slices.Index(b.workS, slices.Max(b.workS))]
}

// remove removes a job if it is in the backlog.
func (b *backlog) remove(job int) {
	i := slices.Index(b.jobs, job)
	if i < 0 {
		return
	}
	b.totalS -= b.workS[i]
	b.jobs, b.workS = slices.Delete(b.jobs, i, i+1), slices.Delete(b.workS, i, i+1)
}
