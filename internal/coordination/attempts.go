package coordination

// The life of an attempt at its owner, from its reservation to its end.

import (
	"slices"
	"time"

	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
)

func (m *machine) sorted() []*attempt {
	list := make([]*attempt, 0, len(m.attempts))
	for _, a := range m.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		if a.job != b.job {
			if a.job.spec.ID < b.job.spec.ID {
				return -1
			}
			return 1
		}
		return a.task - b.task
	})
	return list
}

// attemptEnded books the end that a worker reported.
func (c *Controller) attemptEnded(a *attempt, t protocol.TaskReport, now time.Time) {
	j := a.job
	a.cause = t.Cause
	a.state = attemptEnded
	c.release(a, now)
	ch := j.chunk(a.task)
	ch.ended = append(ch.ended, a)
	if j.withdrawn {
		c.dropIfOver(j)
		return
	}
	switch t.Cause {
	case protocol.CauseDone:
		c.attemptDone(a, now)
	case protocol.CauseError:
		c.attemptFailed(a, now)
	case protocol.CauseFull, protocol.CauseInUse:
		a.machine.avoidTill = now.Add(refusedPause)
		c.startRefused(a)
	case protocol.CauseUnknown:
		j.holdTill = now.Add(unknownPause)
		c.startRefused(a)
	default:
		j.requeue(a.task)
	}
}

const (
	// refusedPause is how long a machine that refused a start is given no other.
	refusedPause = time.Second
	// unknownPause is how long a job that a worker does not know waits.
	unknownPause = 2 * time.Second
	// failedPause is how long a machine on which a task failed is given no start.
	failedPause = 10 * time.Second
	// failuresPauseMost bounds how long a job that fails on several machines waits; the
	// wait doubles with each failure.
	failuresPauseMost = time.Minute
)

// attemptDone books a task that completed.
func (c *Controller) attemptDone(a *attempt, now time.Time) {
	j, m := a.job, a.machine
	if j.spec.Standing {
		j.requeue(a.task)
		return
	}
	if !a.startedAt.IsZero() && !a.blind() {
		ran := now.Sub(a.startedAt).Seconds()
		c.learn(j.spec.Class, ran, j.spec.EstimateS)
		c.compare(a, ran)
		if !a.slow {
			m.slowTasks = 0
		}
		if j.ranS == nil {
			j.ranS = map[string][]float64{}
		}
		j.ranS[m.name] = append(j.ranS[m.name], ran)
	}
	j.failures = 0
	clear(m.errorJobs)
	if !j.done[a.task] {
		j.done[a.task] = true
		j.doneCount++
	}
	j.finishing = j.doneCount == j.spec.Tasks
}

// attemptFailed books a task that failed. Its machine may be at fault, or its job.
func (c *Controller) attemptFailed(a *attempt, now time.Time) {
	j, m := a.job, a.machine
	j.requeue(a.task)
	j.failures++
	m.errorJobs[j.spec.ID] = true
	m.avoidTill = now.Add(failedPause)
	c.metrics.Count(observe.Failed, 1)
	c.log.Info("task failed", "task", a.wire(), "machine", m.name, "failures", j.failures)
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	j.failedOn[m.name] = true
	if len(j.failedOn) >= 2 {
		// It fails on different machines: the job may be at fault, so it
		// must not burn the fleet.
		j.holdTill = now.Add(min(failuresPauseMost, time.Second<<min(j.failures, 6)))
	}
	if len(m.errorJobs) >= 2 && !m.faulty {
		m.faulty = true
		c.log.Info("machine set aside", "machine", m.name, "reason", "different jobs fail on it")
		for _, b := range m.sorted() {
			c.stopAttempt(b, b.job.spec.SaveS+1, now)
		}
	}
}

// startRefused books a start that the worker refused.
func (c *Controller) startRefused(a *attempt) {
	a.job.requeue(a.task)
	c.log.Info("start refused", "task", a.wire(), "machine", a.machine.name, "reason", a.cause)
}

// attemptGone books an attempt that is proven over without a result.
func (c *Controller) attemptGone(a *attempt, reason string, now time.Time) {
	delete(a.machine.attempts, attemptKey(a.wire(), a.number))
	if !a.live() {
		return
	}
	c.log.Info("attempt over", "task", a.wire(), "machine", a.machine.name, "reason", reason)
	a.state = attemptOver
	c.release(a, now)
	a.machine.resources()
	if a.job.withdrawn {
		c.dropIfOver(a.job)
		return
	}
	a.job.requeue(a.task)
}

// release frees what an attempt held.
func (c *Controller) release(a *attempt, now time.Time) {
	j := a.job
	delete(j.live, a.task)
	if !a.startedAt.IsZero() {
		j.running--
	}
	p := c.parts[j.part]
	p.usage[j.team].Add(needOf(j.spec), -1)
	if j.spec.Gang && a.cause != protocol.CauseDone {
		// Without one, the others can't go on: all start again together.
		for _, mate := range j.mates() {
			c.stopAttempt(mate, j.spec.SaveS+1, now)
		}
	}
	j.touch(a.task, false, now)
	p.wake()
}

// mates lists the live attempts of a job.
func (j *job) mates() []*attempt {
	list := make([]*attempt, 0, len(j.live))
	for _, a := range j.live {
		list = append(list, a)
	}
	return list
}

func (j *job) requeue(task int) { j.queue = slices.Insert(j.queue, 0, task) }

// stopAttempt wants an attempt off its machine.
func (c *Controller) stopAttempt(a *attempt, grace float64, now time.Time) {
	if !a.live() || a.stopping && a.stopGrace <= grace {
		return
	}
	if a.state == attemptReserved || a.state == attemptCommitted && a.sentToken == 0 && a.inFlight == 0 && a.machine.fenced {
		// Nothing was sent, so nothing can arrive.
		c.attemptGone(a, "stopped before its start", now)
		return
	}
	a.stopping, a.stopGrace, a.stopAt = true, grace, now
	c.keepOut(a, now)
	c.sendOrders(a.machine)
}

// drain moves work off a machine that will be taken: what would be over in
// time goes on, what can save does so at the last moment, and what would be
// lost anyway is started elsewhere now.
func (c *Controller) drain(m *machine, now time.Time) {
	left := m.notice.Sub(now).Seconds()
	for _, a := range m.sorted() {
		if !a.live() || a.stopping {
			continue
		}
		s := a.job.spec
		remaining := c.remaining(a, now)
		switch {
		case a.startedAt.IsZero():
			c.stopAttempt(a, 0, now)
		case remaining < left*0.9:
		case s.CheckpointS > 0:
			if left < s.SaveS+2+1.5*c.reportS.Seconds() {
				c.stopAttempt(a, s.SaveS+1, now)
			}
		case remaining > left*1.2:
			c.stopAttempt(a, 0, now)
		}
	}
}
