package coordination

import (
	"math"
	"slices"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// contest is work that competes for the same machines: one urgency, and the
// same set of machine types.
type contest struct {
	urgency protocol.Urgency
	types   uint64
}

// starved is how many times its deadline a job may wait before it is served
// as if it could be in time, so that nothing starves.
const starved = 5

// grade says which waiting jobs will be late whatever is done: 0 for those
// that can be in time, 1 for those that can within 1.5 times their deadline, 2
// for the rest. By deadline alone, a backlog would make every job late; the
// largest jobs go last instead, which keeps most jobs in time (the rule of
// Moore and Hodgson, with the part's machines as one fast machine). list is in
// order of deadlines.
func (c *Controller) grade(p *part, list []*job, now time.Time) map[*job]int {
	late := map[*job]int{}
	contests := map[contest][]*job{}
	for _, j := range list {
		if span, ok := c.span(j); ok && len(j.queue) > 0 && now.Sub(j.received).Seconds() < starved*span {
			k := contest{j.urgency(), c.typeSet(j.spec)}
			contests[k] = append(contests[k], j)
		}
	}
	fleet := map[string]int{}
	for _, m := range c.machines {
		if m.rec.Part == p.index && m.typ != nil && !m.lost && !m.faulty {
			fleet[m.typ.Name]++
		}
	}
	for _, jobs := range contests {
		for _, times := range []float64{1, 1.5} {
			jobs = c.dropLate(fleet, jobs, times, now)
			for _, j := range jobs {
				late[j]++
			}
		}
	}
	return late
}

// span is how many seconds a job has from its submission until it should be
// done, at least its own run: a job that needs it may come when it is too late.
func (c *Controller) span(j *job) (float64, bool) {
	due, ok := j.deadline()
	return max(due.Sub(j.received).Seconds(), c.estimate(j.spec)), ok
}

// runTime predicts how long a job takes from its first start to its end.
func (c *Controller) runTime(j *job) time.Duration {
	rounds := max(1, math.Ceil(float64(j.spec.Tasks)/c.atOnce(j)))
	return settings.Seconds(c.estimate(j.spec) * rounds)
}

// backlog is work that queues for one thing, in seconds of all of it.
type backlog struct {
	jobs  []*job
	work  []float64
	total float64
}

func (b *backlog) add(j *job, work float64) {
	b.jobs, b.work, b.total = append(b.jobs, j), append(b.work, work), b.total+work
}

func (b *backlog) largest() *job { return b.jobs[slices.Index(b.work, slices.Max(b.work))] }

func (b *backlog) remove(j *job) {
	if i := slices.Index(b.jobs, j); i >= 0 {
		b.total -= b.work[i]
		b.jobs, b.work = slices.Delete(b.jobs, i, i+1), slices.Delete(b.work, i, i+1)
	}
}

// dropLate returns the jobs that can't be done within times their deadlines.
// They queue for machines, and for what their team's limit leaves.
func (c *Controller) dropLate(fleet map[string]int, jobs []*job, times float64, now time.Time) []*job {
	var dropped []*job
	machines, teams := &backlog{}, map[int]*backlog{}
	for _, j := range jobs {
		span, _ := c.span(j)
		left := span*times - now.Sub(j.received).Seconds()
		estimate := c.estimate(j.spec)
		alone := estimate * c.rounds(j)
		if alone > left {
			dropped = append(dropped, j)
			continue
		}
		team := teams[j.team]
		if team == nil {
			team = &backlog{}
			teams[j.team] = team
		}
		// The last task starts before all work is done.
		for _, queue := range []struct {
			b     *backlog
			slots float64
		}{{machines, c.slotsOf(fleet, j.spec)}, {team, c.atOnce(j)}} {
			if math.IsInf(queue.slots, 1) || queue.slots == 0 {
				continue
			}
			work := estimate * float64(len(j.queue)) / queue.slots
			queue.b.add(j, work)
			if queue.b.total-work+max(work, alone) > left {
				late := queue.b.largest()
				dropped = append(dropped, late)
				machines.remove(late)
				teams[late.team].remove(late)
				if late == j {
					break
				}
			}
		}
	}
	return dropped
}

// slotsOf is how many tasks of a job a fleet, counted by type, runs at a time.
func (c *Controller) slotsOf(fleet map[string]int, s *protocol.JobSpec) float64 {
	sum := 0.0
	for i := range c.catalog {
		t := &c.catalog[i]
		if n := fleet[t.Name]; n > 0 && typeFits(s, t) {
			each := slots([3]float64{s.CPUs, s.GPUs, s.MemGB}, [3]float64{t.CPUs, t.GPUs, t.MemGB}, manySlots)
			sum += float64(n * each)
		}
	}
	return sum
}

// atOnce is how many tasks of a job its team's limit lets run at a time.
func (c *Controller) atOnce(j *job) float64 {
	t := c.set.Params.Teams[j.team]
	if t.CPUsMax <= 0 || j.spec.CPUs <= 0 {
		return math.Inf(1)
	}
	return max(1, math.Floor((t.CPUsMax+epsilon)/j.spec.CPUs))
}

// rounds is how many run times the waiting tasks of a job take one after the
// other, since its team's limit lets only so many run at once.
func (c *Controller) rounds(j *job) float64 {
	return max(1, math.Ceil(float64(len(j.queue))/c.atOnce(j)))
}

// typeSet is the set of machine types that a job's tasks fit, as bits.
func (c *Controller) typeSet(s *protocol.JobSpec) uint64 {
	set := uint64(0)
	for i := range min(len(c.catalog), 64) {
		if typeFits(s, &c.catalog[i]) {
			set |= 1 << i
		}
	}
	return set
}
