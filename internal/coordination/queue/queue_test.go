package queue

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"micaspindle/internal/protocol"
)

var now = time.Unix(10_000, 0)

func job(id string, dueS, runS float64) Job {
	due := now.Add(time.Duration(dueS * float64(time.Second)))
	return Job{ID: id, Urgency: protocol.Standard, SubmittedAt: now, Due: due, Deadline: due, EstimateS: runS, Pending: 1, Slots: 1, Parallelism: math.Inf(1)}
}

func TestOrder(t *testing.T) {
	urgent, noDeadline, starved := job("urgent", 900, 5), job("no deadline", 50, 5), job("starved", -850, 50)
	urgent.Urgency, noDeadline.Deadline = protocol.High, time.Time{}
	starved.SubmittedAt = now.Add(-1000 * time.Second)
	for name, c := range map[string]struct {
		jobs []Job
		want string
	}{
		"by deadline":                    {[]Job{job("b", 30, 5), job("a", 20, 5)}, "a b"},
		"urgency first":                  {[]Job{job("a", 20, 5), urgent}, "urgent a"},
		"the largest is postponed":       {[]Job{job("large", 20, 18), job("small", 21, 6)}, "small large"},
		"all can meet their deadlines":   {[]Job{job("large", 24, 18), job("small", 25, 6)}, "large small"},
		"without a deadline by due time": {[]Job{job("a", 60, 5), noDeadline, job("b", 40, 5)}, "b no deadline a"},
		"starved jobs get a turn":        {[]Job{job("a", 20, 5), starved}, "starved a"},
		"equal due times by ID":          {[]Job{job("b", 20, 1), job("a", 20, 1)}, "a b"},
		"without machines by deadline": {func() []Job {
			l := []Job{job("large", 20, 18), job("small", 21, 6)}
			l[0].Slots, l[1].Slots = 0, 0
			return l
		}(), "large small"},
		"jobs queue for the team's limit too": {func() []Job {
			l := []Job{job("large", 20, 18), job("small", 21, 6)}
			for i := range l {
				l[i].Slots, l[i].Parallelism = math.Inf(1), 1
			}
			return l
		}(), "small large"},
	} {
		got := ""
		for i, index := range Order(c.jobs, now) {
			if i > 0 {
				got += " "
			}
			got += c.jobs[index].ID
		}
		if got != c.want {
			t.Errorf("%s: order %s, want %s", name, got, c.want)
		}
	}
}

// Of random jobs on one machine, the largest subset that can meet its deadlines is served first.
// The order of the argument does not matter.
func TestMostJobsMeetTheirDeadline(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var jobs []Job
		for i := range 1 + rng.IntN(8) {
			run := float64(1 + rng.IntN(20))
			j := job(fmt.Sprint(i), run+float64(rng.IntN(40)), run)
			jobs = append(jobs, j)
		}
		order := Order(jobs, now)
		most := 0
		for subset := range 1 << len(jobs) {
			var chosen []Job
			for i := range jobs {
				if subset>>i&1 == 1 {
					chosen = append(chosen, jobs[i])
				}
			}
			if n := inTime(chosen); n == len(chosen) {
				most = max(most, n)
			}
		}
		var served []Job
		for _, i := range order {
			served = append(served, jobs[i])
		}
		if got := inTime(served[:most]); got != most {
			t.Errorf("seed %d: %d of the first %d jobs meet their deadlines, want all", seed, got, most)
		}
		shuffled := append([]Job(nil), jobs...)
		rng.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
		var again []string
		var first []string
		for i, index := range Order(shuffled, now) {
			again, first = append(again, shuffled[index].ID), append(first, served[i].ID)
		}
		if !reflect.DeepEqual(first, again) {
			t.Errorf("seed %d: order %v after a shuffle, %v before", seed, again, first)
		}
	}
}

// inTime returns the number of jobs that meet their deadlines if they run one after the other in
// order of deadlines.
func inTime(jobs []Job) int {
	left := append([]Job(nil), jobs...)
	at, n := 0.0, 0
	for len(left) > 0 {
		first := 0
		for i := range left {
			if left[i].Due.Before(left[first].Due) {
				first = i
			}
		}
		if at += left[first].EstimateS; at <= left[first].Due.Sub(now).Seconds()+1e-9 {
			n++
		}
		left = append(left[:first], left[first+1:]...)
	}
	return n
}
