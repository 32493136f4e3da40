package coordination

import (
	"time"

	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/coordination/procon"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
)

// scarcity looks over all unfinished jobs, those of other parts too: machines
// move between parts. It is kept for a moment, like the order of jobs.
func (c *Controller) scarcity(now time.Time) fit.Scarcity {
	if c.scarce != nil && now.Sub(c.scarceAt) < orderFor {
		return c.scarce
	}
	s := fit.Scarcity{}
	for id, j := range c.jobs {
		if j.withdrawn || j.blocked || c.finals[id] != "" || j.owned && len(j.queue) == 0 {
			continue
		}
		n := c.breadth(j.spec)
		for i := range c.catalog {
			if t := &c.catalog[i]; fit.Offered(wishOf(j.spec), needOf(j.spec), t) {
				s.Needs(t.Name, n)
			}
		}
	}
	c.scarce, c.scarceAt = s, now
	return s
}

// breadth is on how many machine types a task could run.
func (c *Controller) breadth(s *protocol.JobSpec) int { return fit.Breadth(c.typeSet(s)) }

func (c *Controller) horizon() procon.Horizon {
	return procon.Horizon{MaxS: 3600, OverdueS: c.reportS.Seconds()}
}

// predict lists a machine's running tasks as placement sees them.
func (c *Controller) predict(m *machine, now time.Time) []procon.Task {
	var tasks []procon.Task
	for _, a := range m.attempts {
		if a.live() {
			tasks = append(tasks, c.prediction(a.job.spec, a.ranS(now)))
		}
	}
	return tasks
}

func (c *Controller) prediction(s *protocol.JobSpec, elapsed float64) procon.Task {
	return procon.Task{ElapsedS: elapsed, EstimateS: c.estimate(s), Use: s.CPUs, Service: s.Standing}
}

// remaining predicts how long an attempt still runs.
func (c *Controller) remaining(a *attempt, now time.Time) float64 {
	if a.job.spec.Standing {
		return c.horizon().MaxS
	}
	return max(c.estimate(a.job.spec)-a.ranS(now), c.reportS.Seconds())
}

const (
	slowFactor = 3 // how much longer than its like a task takes on a slow machine
	slowMost   = 2 // so many such tasks, and the machine is set aside
	slowLike   = 3 // so many tasks of the job must be done elsewhere, to compare
)

// compare judges a machine by a task's run time against those of the same
// job on other machines: their estimates share one error, so the estimate says
// nothing. A false alarm costs little, since work that runs goes on; only no
// new work comes, and the machine is returned once idle.
func (c *Controller) compare(a *attempt, ran float64) {
	if a.slow || a.blind() {
		return
	}
	var sum float64
	n := 0
	for name, times := range a.job.ranS {
		if name != a.machine.name {
			for _, t := range times {
				sum += t
				n++
			}
		}
	}
	if n < slowLike || ran < slowFactor*sum/float64(n) {
		return
	}
	a.slow = true
	m := a.machine
	m.slowTasks++
	if m.slowTasks >= slowMost && !m.faulty {
		m.faulty = true
		c.log.Info("machine set aside", "machine", m.name, "reason", "tasks take far longer than elsewhere")
	}
}

// classBias is how run times of a class compare with their estimates.
type classBias struct {
	ratio float64
	count int
}

// learn takes in a completed task. The ratio follows slowly, since single
// estimates are often wrong by half.
func (c *Controller) learn(class string, ran, estimate float64) {
	if estimate <= 0 || ran <= 0 {
		return
	}
	b := c.bias[class]
	if b == nil {
		if !c.mayLearn() {
			return
		}
		b = &classBias{ratio: 1}
		c.bias[class] = b
	}
	b.count++
	weight := max(0.02, 1/float64(b.count+5))
	b.ratio += weight * (min(4, max(0.25, ran/estimate)) - b.ratio)
}

// mayLearn says whether the run times of one more class may be learnt.
func (c *Controller) mayLearn() bool {
	if len(c.bias) < classesMost {
		return true
	}
	c.boundMet(observe.Estimates, 1)
	return false
}

// estimate is the owner's estimate, corrected by what the class has shown.
func (c *Controller) estimate(s *protocol.JobSpec) float64 {
	if b := c.bias[s.Class]; b != nil {
		return s.EstimateS * b.ratio
	}
	return s.EstimateS
}
