// Package queue decides in which order a part's jobs are served: by urgency, then
// what can still be done in time, then by deadline, then by age. It is a pure
// function of what it is told of the jobs.
package queue

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/protocol"
)

// Job is what the order depends on.
type Job struct {
	ID      string
	Urgency protocol.Urgency
	// Received is when it was submitted, Due when it should be done, or by when it
	// queues if that is no matter: then Deadline is zero.
	Received, Due, Deadline time.Time
	// Waiting is how many tasks wait.
	Waiting int
	Team    int

	// Of jobs that don't wait, or have no deadline, the rest is not asked.

	// EstimateS is how long a task runs.
	EstimateS float64
	// Types is the set of machine types that its tasks fit.
	Types uint64
	// Slots is how many of its tasks the part's machines run at a time, AtOnce how
	// many its team's limit lets run.
	Slots, AtOnce float64
}

// spanS is how many seconds a job has from its submission until it should be done,
// at least its own run: a job that needs it may come when it is too late.
func (j *Job) spanS() float64 {
	return max(j.Deadline.Sub(j.Received).Seconds(), j.EstimateS)
}

// Rounds is how many run times so many tasks take one after the other, if only so
// many run at once.
func Rounds(tasks int, atOnce float64) float64 {
	return max(1, math.Ceil(float64(tasks)/atOnce))
}

// Order returns the jobs' places in the list in the order in which they are served.
func Order(jobs []Job, now time.Time) []int {
	list := make([]int, len(jobs))
	for i := range list {
		list[i] = i
	}
	slices.SortFunc(list, func(a, b int) int {
		if d := jobs[a].Due.Compare(jobs[b].Due); d != 0 {
			return d
		}
		return strings.Compare(jobs[a].ID, jobs[b].ID)
	})
	late := grade(jobs, list, now)
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Or(cmp.Compare(jobs[b].Urgency, jobs[a].Urgency), cmp.Compare(late[a], late[b]), byResponse(jobs, late, a, b, now))
	})
	return list
}

// hopeless is the grade of jobs that can't be done within 1.5 times their deadline.
const hopeless = 2

// byResponse orders what is late whatever is done: what takes least goes first, since by
// deadline a few large jobs would hold up many small ones, and in a flood most would
// never start. What has starved goes by its response ratio, the highest first: how long
// it has waited, over how long it takes (HRRN).
func byResponse(jobs []Job, late []int, a, b int, now time.Time) int {
	if late[a] != late[b] || late[a] != hopeless && late[a] != leading {
		return 0
	}
	if late[a] == hopeless {
		return cmp.Compare(jobs[a].work(), jobs[b].work())
	}
	return cmp.Compare(jobs[b].response(now), jobs[a].response(now))
}

// response is the response ratio, less one.
func (j *Job) response(now time.Time) float64 {
	return now.Sub(j.Received).Seconds() / j.work()
}

// work is how long what waits of a job takes on all machines that it fits.
func (j *Job) work() float64 {
	return max(j.EstimateS*float64(j.Waiting)/max(1, j.Slots), 1e-3)
}

// contest is work that competes for the same machines: one urgency, and the same
// set of machine types.
type contest struct {
	urgency protocol.Urgency
	types   uint64
}

const (
	// starved is how many times its deadline a job may wait before it goes first for a
	// share of the time, so that nothing starves.
	starved = 5
	// leading is the grade of what goes first.
	leading = -1
	// turns is how many seconds there are in a round of turns; in one of them what has
	// starved goes first. Were that so always, a long backlog would make everything
	// late that still can be in time.
	turns = 4
)

// grade says which waiting jobs will be late whatever is done: 0 for those that can
// be in time, 1 for those that can within 1.5 times their deadline, 2 for the rest.
// By deadline alone, a backlog would make every job late; the largest jobs go last
// instead, which keeps most jobs in time (the rule of Moore and Hodgson, with the
// part's machines as one fast machine). list is in order of deadlines.
func grade(jobs []Job, list []int, now time.Time) []int {
	late := make([]int, len(jobs))
	contests := map[contest][]int{}
	for _, i := range list {
		j := &jobs[i]
		switch {
		case j.Deadline.IsZero() || j.Waiting == 0:
		case now.Sub(j.Received).Seconds() < starved*j.spanS():
			k := contest{j.Urgency, j.Types}
			contests[k] = append(contests[k], i)
		case now.Unix()%turns == 0:
			late[i] = leading
		default:
			late[i] = hopeless
		}
	}
	for _, those := range contests {
		for _, times := range []float64{1, 1.5} {
			those = dropLate(jobs, those, times, now)
			for _, i := range those {
				late[i]++
			}
		}
	}
	return late
}

// backlog is work that queues for one thing, in seconds of all of it.
type backlog struct {
	jobs  []int
	work  []float64
	total float64
}

func (b *backlog) add(j int, work float64) {
	b.jobs, b.work, b.total = append(b.jobs, j), append(b.work, work), b.total+work
}

func (b *backlog) largest() int { return b.jobs[slices.Index(b.work, slices.Max(b.work))] }

func (b *backlog) remove(j int) {
	if i := slices.Index(b.jobs, j); i >= 0 {
		b.total -= b.work[i]
		b.jobs, b.work = slices.Delete(b.jobs, i, i+1), slices.Delete(b.work, i, i+1)
	}
}

// dropLate returns the jobs that can't be done within times their deadlines. They
// queue for machines, and for what their team's limit leaves.
func dropLate(jobs []Job, those []int, times float64, now time.Time) []int {
	var dropped []int
	machines, teams := &backlog{}, map[int]*backlog{}
	for _, i := range those {
		j := &jobs[i]
		left := j.spanS()*times - now.Sub(j.Received).Seconds()
		alone := j.EstimateS * Rounds(j.Waiting, j.AtOnce)
		if alone > left {
			dropped = append(dropped, i)
			continue
		}
		team := teams[j.Team]
		if team == nil {
			team = &backlog{}
			teams[j.Team] = team
		}
		// The last task starts before all work is done.
		for _, queue := range []struct {
			b     *backlog
			slots float64
		}{{machines, j.Slots}, {team, j.AtOnce}} {
			if math.IsInf(queue.slots, 1) || queue.slots == 0 {
				continue
			}
			work := j.EstimateS * float64(j.Waiting) / queue.slots
			queue.b.add(i, work)
			if queue.b.total-work+max(work, alone) > left {
				late := queue.b.largest()
				dropped = append(dropped, late)
				machines.remove(late)
				teams[jobs[late].Team].remove(late)
				if late == i {
					break
				}
			}
		}
	}
	return dropped
}
