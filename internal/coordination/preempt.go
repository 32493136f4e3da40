package coordination

import (
	"cmp"
	"micaspindle/internal/coordination/fit"
	"slices"
	"time"
)

const (
	// lastMoment is how close to being late a job must be before running work
	// is stopped for it: stopping wastes work, and room may still come free.
	lastMoment = 8 * time.Second
	// quotaMoment is the same where only the team's limit is in the way.
	quotaMoment = 20 * time.Second
	// urgentPatience is how long jobs without a deadline, and jobs within their
	// team's guarantee, wait before running work is stopped for them.
	urgentPatience = 15 * time.Second
	preemptEvery   = time.Second
	preemptMost    = 8
)

// preempt stops running work for jobs that must start now and find no room.
// Only two kinds of work may be stopped: that of lower urgency, and what
// another team runs beyond its own guarantee while the job is within its
// team's.
func (c *Controller) preempt(p *part, now time.Time) {
	if now.Sub(p.preempted) < preemptEvery {
		return
	}
	p.preempted = now
	var machines []*machine
	for _, m := range c.machines {
		if m.rec.Part == p.index && c.usable(m, now) {
			machines = append(machines, m)
		}
	}
	slices.SortFunc(machines, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	promised := map[*machine]bool{}
	stopped := 0
	for _, j := range c.inOrder(p) {
		if len(j.queue) == 0 || j.spec.Gang || j.withdrawn || now.Before(j.holdTill) || !c.mustStart(p, j, now) {
			continue
		}
		if !c.withinLimit(p, j) {
			stopped += c.freeQuota(p, j, preemptMost-stopped, now)
			continue
		}
		guaranteed := c.withinGuarantee(p, j)
		for range j.queue {
			if stopped >= preemptMost || !c.withinLimit(p, j) {
				break
			}
			m, victims := c.victims(p, j, machines, promised, guaranteed, now)
			if m == nil {
				break
			}
			promised[m] = true
			for _, a := range victims {
				c.log.Info("preempting", "task", a.wire(), "machine", m.name, "for", j.spec.ID)
				c.stopAttempt(a, a.job.spec.SaveS+1, now)
				stopped++
			}
		}
	}
}

// mustStart says whether a job can't wait any longer. Where the team's own
// lower work is in the way, that work has to save and end first.
func (c *Controller) mustStart(p *part, j *job, now time.Time) bool {
	due, ok := j.deadline()
	if !ok {
		return now.Sub(j.since()) > urgentPatience
	}
	moment := lastMoment
	if !c.withinLimit(p, j) {
		moment = quotaMoment
	}
	spare := due.Sub(now) - time.Duration(c.estimate(j.spec)*float64(time.Second))
	return spare >= 0 && spare < moment
}

// freeQuota stops lower work of a job's own team, so that the job gets what
// the team's limit leaves. It returns how many attempts it stopped.
func (c *Controller) freeQuota(p *part, j *job, most int, now time.Time) int {
	t, s := c.set.Params.Teams[j.team], j.spec
	room := quota{t.CPUsMax - p.usage[j.team].cpus, t.GPUsMax - p.usage[j.team].gpus}
	var victims []*attempt
	for _, lower := range p.order {
		if lower.team != j.team || lower.urgency() >= j.urgency() {
			continue
		}
		for _, a := range lower.live {
			switch {
			case a.stopping:
				room.add(lower.spec, 1)
			// Throwing away more work than the newcomer brings helps nobody.
			case a.live() && c.loss(a, now) <= c.estimate(s)*max(lower.spec.CPUs, 1):
				victims = append(victims, a)
			}
		}
	}
	slices.SortFunc(victims, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(c.loss(a, now), c.loss(b, now)), cmp.Compare(a.wire(), b.wire()))
	})
	need := float64(len(j.queue))
	fits := func() bool {
		return (t.CPUsMax <= 0 || need*s.CPUs <= room.cpus+fit.Epsilon || room.cpus >= t.CPUsMax-s.CPUs) &&
			(t.GPUsMax <= 0 || need*s.GPUs <= room.gpus+fit.Epsilon || room.gpus >= t.GPUsMax-s.GPUs)
	}
	stopped := 0
	for _, a := range victims {
		if stopped >= most || fits() {
			break
		}
		c.log.Info("preempting", "task", a.wire(), "machine", a.machine.name, "for", s.ID, "reason", "team's limit")
		room.add(a.job.spec, 1)
		c.stopAttempt(a, a.job.spec.SaveS+1, now)
		stopped++
	}
	return stopped
}

// withinGuarantee says whether one more task keeps the team in its guarantee.
func (c *Controller) withinGuarantee(p *part, j *job) bool {
	t, u := c.set.Params.Teams[j.team], p.usage[j.team]
	return (t.CPUs > 0 || t.GPUs > 0) && u.cpus+j.spec.CPUs <= t.CPUs+fit.Epsilon &&
		(j.spec.GPUs == 0 || u.gpus+j.spec.GPUs <= t.GPUs+fit.Epsilon)
}

// mayPreempt is PROTOCOL's rule of who may be stopped for whom.
func (c *Controller) mayPreempt(p *part, j *job, guaranteed bool, victim *job) bool {
	if victim.urgency() < j.urgency() {
		return true
	}
	t, u := c.set.Params.Teams[victim.team], p.usage[victim.team]
	beyond := u.cpus > t.CPUs+fit.Epsilon || u.gpus > t.GPUs+fit.Epsilon
	return guaranteed && victim.team != j.team && beyond
}

// victims finds the machine where room for one task of j costs least, and
// what to stop there. A machine where work is stopping already serves as it is.
func (c *Controller) victims(p *part, j *job, machines []*machine, promised map[*machine]bool, guaranteed bool, now time.Time) (*machine, []*attempt) {
	var best *machine
	var chosen []*attempt
	least := 0.0
	for _, m := range machines {
		if promised[m] || m.typ == nil || !wishOf(j.spec).Allows(kindOf(m.rec)) || !c.zoneOpen(j, m.rec.Zone) || j.failedOn[m.name] {
			continue
		}
		room := m.free()
		fits := func() bool { return room.Holds(needOf(j.spec)) }
		free := func(a *attempt) { room = room.Plus(needOf(a.job.spec), 1) }
		var candidates []*attempt
		for _, a := range m.sorted() {
			switch {
			case a.live() && a.stopping:
				free(a)
			case a.live() && c.mayPreempt(p, j, guaranteed, a.job):
				candidates = append(candidates, a)
			}
		}
		slices.SortStableFunc(candidates, func(a, b *attempt) int { return cmp.Compare(c.loss(a, now), c.loss(b, now)) })
		var stop []*attempt
		cost := 0.0
		for _, a := range candidates {
			if fits() {
				break
			}
			free(a)
			stop = append(stop, a)
			cost += c.loss(a, now)
		}
		// Throwing away more work than the newcomer brings helps nobody.
		if !j.spec.Standing && cost > c.estimate(j.spec)*max(j.spec.CPUs, 1) {
			continue
		}
		if fits() && (best == nil || cost < least) {
			best, chosen, least = m, stop, cost
		}
	}
	return best, chosen
}

// loss is what stopping an attempt throws away, in CPU seconds. A service
// loses nothing: what its replicas have run has been of use.
func (c *Controller) loss(a *attempt, now time.Time) float64 {
	s := a.job.spec
	lost := 0.0
	if !a.startedAt.IsZero() && !s.Standing {
		lost = now.Sub(a.startedAt).Seconds()
	}
	if s.CheckpointS > 0 {
		lost = min(lost, s.SaveS)
	}
	return lost * max(s.CPUs, 1)
}
