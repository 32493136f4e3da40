package queue

import (
	"math"
	"slices"
	"time"

	"micaspindle/internal/protocol"
)

// grade says how far a job can still be in time. Lower grades are served first.
type grade int

const (
	// gradeStarved is that of starved jobs while it is their turn.
	gradeStarved grade = iota - 1
	// gradeInTime is that of jobs that can be done by their deadline, or need not be.
	gradeInTime
	// gradeLate is that of jobs that can be done within lateFactor times their deadline.
	gradeLate
	// gradeHopeless is that of jobs that can not.
	gradeHopeless
)

const (
	// lateFactor is how many times its deadline a job may take until it counts as hopeless.
	lateFactor = 1.5
	// starvationFactor is how many times its deadline a job may wait until it is starved and
	// gets turns of its own.
	starvationFactor = 5
	// turnSeconds is the length of a cycle, in one second of which starved jobs go first.
	// Were that so always, a long backlog would make everything late that can still be in
	// time.
	turnSeconds = 4
)

// deadlineGrades are the multiples of its deadline that a job is tried against, with its grade
// if it can't be done by then. Each is tried with the jobs that failed the one before.
var deadlineGrades = [...]struct {
	factor float64
	missed grade
}{{1, gradeLate}, {lateFactor, gradeHopeless}}

// contenders identifies jobs that compete for the same machines: those of one urgency that
// fit the same set of machine types.
type contenders struct {
	urgency protocol.Urgency
	types   uint64
}

// gradeJobs says of each job whether it will be late whatever is done. By deadline alone, a
// backlog would make every job late; the largest jobs go last instead, which keeps most jobs
// in time (Moore and Hodgson's rule, with the partition's machines as one fast machine).
// order holds the indexes of the jobs in order of deadlines.
func gradeJobs(jobs []Job, order []int, now time.Time) []grade {
	grades := make([]grade, len(jobs))
	groups := map[contenders][]int{}
	for _, i := range order {
		job := &jobs[i]
		switch {
		case job.Deadline.IsZero() || job.Pending == 0:
			grades[i] = gradeInTime
		case job.waitedS(now) < starvationFactor*job.allowedS():
			key := contenders{job.Urgency, job.Types}
			groups[key] = append(groups[key], i)
		case now.Unix()%turnSeconds == 0:
			grades[i] = gradeStarved
		default:
			grades[i] = gradeHopeless
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

// lateJobs returns those jobs of a group that can't be done within factor times their
// deadlines, in the order in which they are found. group holds the jobs' indexes.
func lateJobs(jobs []Job, group []int, factor float64, now time.Time) []int {
	s := schedule{jobs: jobs, teams: map[int]*backlog{}}
	for _, i := range group {
		leftS := jobs[i].allowedS()*factor - jobs[i].waitedS(now)
		s.add(i, leftS)
	}
	return s.late
}

// schedule tries to serve jobs one after the other. They queue for the partition's machines,
// and for what their teams' limits allow.
type schedule struct {
	jobs     []Job
	machines backlog
	teams    map[int]*backlog
	// late are the jobs that were dropped, so that the others can be in time.
	late []int
}

// add schedules a job that has so many seconds left.
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

// enqueue adds a job to a backlog that is served by so many slots. If that makes the job late,
// the largest job of the backlog is dropped. It reports whether the job is still scheduled.
func (s *schedule) enqueue(b *backlog, i int, slots, aloneS, leftS float64) bool {
	if math.IsInf(slots, 1) || slots == 0 {
		return true
	}
	workS := s.jobs[i].EstimateS * float64(s.jobs[i].Pending) / slots
	b.add(i, workS)
	// The job's last task starts before all of its work is done.
	if b.totalS-workS+max(workS, aloneS) <= leftS {
		return true
	}
	largest := b.largest()
	s.late = append(s.late, largest)
	s.machines.remove(largest)
	s.teams[s.jobs[largest].Team].remove(largest)
	return largest != i
}

// backlog is work that queues for one resource: indexes of jobs, and how many seconds each
// takes with all of the resource.
type backlog struct {
	jobs   []int
	workS  []float64
	totalS float64
}

func (b *backlog) add(job int, workS float64) {
	b.jobs, b.workS, b.totalS = append(b.jobs, job), append(b.workS, workS), b.totalS+workS
}

// largest is the job that takes longest, the first of several.
func (b *backlog) largest() int {
	return b.jobs[slices.Index(b.workS, slices.Max(b.workS))]
}

// remove takes a job out, if it is in the backlog.
func (b *backlog) remove(job int) {
	i := slices.Index(b.jobs, job)
	if i < 0 {
		return
	}
	b.totalS -= b.workS[i]
	b.jobs, b.workS = slices.Delete(b.jobs, i, i+1), slices.Delete(b.workS, i, i+1)
}
