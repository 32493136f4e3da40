package coordination

import (
	"math"
	"slices"
	"time"

	"micaspindle/internal/protocol"
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
		if len(j.queue) > 0 && j.spec.DeadlineS > 0 && now.Sub(j.received).Seconds() < starved*j.spec.DeadlineS {
			k := contest{j.spec.Urgency, c.typeSet(j.spec)}
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

// dropLate returns the jobs that can't be done within times their deadlines.
func (c *Controller) dropLate(fleet map[string]int, jobs []*job, times float64, now time.Time) []*job {
	var dropped, kept []*job
	var work []float64 // seconds of all machines that each kept job takes
	var total float64
	for _, j := range jobs {
		w := 0.0
		if n := c.slotsOf(fleet, j.spec); n > 0 {
			w = c.estimate(j.spec) * float64(len(j.queue)) / float64(n)
		}
		left := j.spec.DeadlineS*times - now.Sub(j.received).Seconds()
		alone := c.estimate(j.spec) * c.rounds(j)
		if alone > left {
			dropped = append(dropped, j)
			continue
		}
		kept, work = append(kept, j), append(work, w)
		total += w
		// The last task starts before all work is done.
		if total-w+max(w, alone) > left {
			i := slices.Index(work, slices.Max(work))
			dropped = append(dropped, kept[i])
			total -= work[i]
			kept, work = slices.Delete(kept, i, i+1), slices.Delete(work, i, i+1)
		}
	}
	return dropped
}

// slotsOf is how many tasks of a job a fleet, counted by type, runs at a time.
func (c *Controller) slotsOf(fleet map[string]int, s *protocol.JobSpec) int {
	sum := 0
	for i := range c.catalog {
		t := &c.catalog[i]
		if n := fleet[t.Name]; n > 0 && typeFits(s, t) {
			each := math.Inf(1)
			for _, r := range [][2]float64{{s.CPUs, t.CPUs}, {s.GPUs, t.GPUs}, {s.MemGB, t.MemGB}} {
				if r[0] > 0 {
					each = min(each, math.Floor((r[1]+epsilon)/r[0]))
				}
			}
			sum += n * int(min(each, 1000))
		}
	}
	return sum
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
