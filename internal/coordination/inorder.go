package coordination

import (
	"math"
	"slices"
	"time"

	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/coordination/order"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// inOrder lists the jobs of a part that want something, in the order in which they
// are served: those with waiting tasks, with records to write, or at their end. The
// list is kept for a moment, so that events do not each sort all jobs again, unless
// another job comes to want something: served last, its tasks would find the room
// taken, and its ends would be on record, and its team's room be free, a batch later.
func (c *Controller) inOrder(p *part) []*job {
	now := time.Now()
	// The room for both is that of the last time.
	list, views := c.sorting.jobs[:0], c.sorting.views[:0]
	gone := func(j *job) bool { return !j.owned || c.jobs[j.spec.ID] != j }
	wants := func(j *job) bool { return j.active() && !gone(j) }
	if p.order != nil && now.Sub(p.orderedAt) < orderFor && !slices.ContainsFunc(p.rest, wants) {
		p.order = slices.DeleteFunc(p.order, gone)
		return slices.Clone(p.order)
	}
	p.order, p.rest, p.orderedAt = []*job{}, p.rest[:0], now
	for _, j := range c.jobs {
		switch {
		case j.part != p.index || !j.owned || j.blocked:
		case j.active():
			j.touched = j.dirty()
			list, views = append(list, j), append(views, c.forOrder(j))
		default:
			p.rest = append(p.rest, j)
		}
	}
	c.sorting = sorting{list, views}
	c.fillContest(p, list, views)
	for _, at := range order.Of(views, now) {
		p.order = append(p.order, list[at])
	}
	clear(list) // jobs that end are not held
	return slices.Clone(p.order)
}

// active says whether a job wants something of its part's owner.
func (j *job) active() bool { return len(j.queue) > 0 || j.finishing || j.touched }

// dirty says whether a record of the job waits to be written.
func (j *job) dirty() bool {
	for _, ch := range j.chunks {
		if ch.dirty {
			return true
		}
	}
	return false
}

// sorting is room for sorting jobs.
type sorting struct {
	jobs  []*job
	views []order.Job
}

// orderFor is how long an order of jobs is good for.
const orderFor = 200 * time.Millisecond

// forOrder is what the order depends on of every job.
func (c *Controller) forOrder(j *job) order.Job {
	deadline, _ := j.deadline()
	return order.Job{ID: j.spec.ID, Urgency: j.urgency(), Received: j.received, Due: j.due(), Deadline: deadline, Waiting: len(j.queue), Team: j.team}
}

// fillContest works out what the order depends on of those jobs only that wait and
// have a deadline: how long they run, on what, and how many tasks the part's machines
// and the team's limit let run at a time. Jobs that are alike share the answer.
func (c *Controller) fillContest(p *part, list []*job, views []order.Job) {
	machines := map[string]int{}
	for _, m := range c.machines {
		if m.rec.Part == p.index && m.typ != nil && !m.lost && !m.faulty {
			machines[m.typ.Name]++
		}
	}
	type like struct {
		need  fit.Amounts
		types uint64
	}
	known := map[like]float64{}
	for i, j := range list {
		v := &views[i]
		if v.Deadline.IsZero() || v.Waiting == 0 {
			continue
		}
		v.EstimateS, v.Types, v.AtOnce = c.estimate(j.spec), c.typeSet(j.spec), c.atOnce(j)
		k := like{needOf(j.spec), v.Types}
		slots, ok := known[k]
		if !ok {
			slots = c.slotsOf(machines, j.spec)
			if len(c.catalog) <= 64 {
				known[k] = slots
			}
		}
		v.Slots = slots
	}
}

// due is when a job should be done; one without a deadline queues as if it
// had a long one.
func (j *job) due() time.Time {
	if at, ok := j.deadline(); ok {
		return at
	}
	return j.since().Add(time.Hour)
}

// runTime predicts how long a job takes from its first start to its end.
func (c *Controller) runTime(j *job) time.Duration {
	return settings.Seconds(c.estimate(j.spec) * order.Rounds(j.spec.Tasks, c.atOnce(j)))
}

// slotsOf is how many tasks of a job a fleet, counted by type, runs at a time.
func (c *Controller) slotsOf(machines map[string]int, s *protocol.JobSpec) float64 {
	sum := 0.0
	for i := range c.catalog {
		t := &c.catalog[i]
		if n := machines[t.Name]; n > 0 && fit.Offered(wishOf(s), needOf(s), t) {
			sum += float64(n * fit.Size(t).Slots(needOf(s), fit.Many))
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
	return max(1, math.Floor((t.CPUsMax+fit.Epsilon)/j.spec.CPUs))
}

// typeSet is the set of machine types that a job's tasks fit, as bits.
func (c *Controller) typeSet(s *protocol.JobSpec) uint64 {
	return fit.Types(wishOf(s), needOf(s), c.catalog)
}

func needOf(s *protocol.JobSpec) fit.Amounts {
	return fit.Amounts{CPUs: s.CPUs, GPUs: s.GPUs, MemGB: s.MemGB}
}

func wishOf(s *protocol.JobSpec) fit.Wish {
	return fit.Wish{Types: s.Types, Zone: s.Zone, Spot: s.Spot}
}
