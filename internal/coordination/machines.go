package coordination

// The machines on record: their tokens, leases and ends.

import (
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/shares"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
)

// token identifies who may command a machine: both revisions come from the
// state service's one counter, so a takeover and a move each raise it.
func (c *Controller) token(m *machine) uint64 {
	return max(c.parts[m.rec.Part].version, m.version)
}

// machineRecorded follows the assignment record of a machine.
func (c *Controller) machineRecorded(name string, rec bookkeeping.Machine, version uint64, now time.Time) {
	m := c.machines[name]
	delete(c.unknown, name)
	if m == nil {
		m = &machine{name: name, share: shares.Of(name), attempts: map[string]*attempt{}, foreign: map[string]protocol.TaskReport{},
			errorJobs: map[string]bool{}, images: map[string]time.Time{}, recordedAt: now, ownedSince: now, lastHeard: now}
		c.machines[name] = m
	} else if version <= m.version {
		return
	}
	moved := m.version != 0 && m.rec.Part != rec.Part
	if rec.Addr == "" {
		rec.Addr = m.rec.Addr
	}
	if moved {
		m.rec = rec
		m.reset()
		m.answeredBy, m.ownedSince = now.Add(c.answerBound()), now
		m.movedBound = m.answeredBy
	}
	m.rec, m.version, m.typ = rec, version, c.types[rec.Type]
	m.moving, m.fenced, m.raiseBy = false, false, time.Time{}
	if p := c.parts[rec.Part]; p.mine && p.ready && (moved || m.heard) {
		c.fence(m)
	}
}

// machineDeleted follows the end of a record, which the leader removes only
// after the machine is certainly gone.
func (c *Controller) machineDeleted(name string, now time.Time) {
	m := c.machines[name]
	if m == nil {
		return
	}
	for _, a := range m.sorted() {
		c.attemptGone(a, "machine is gone", now)
	}
	delete(c.machines, name)
	c.gone[name] = now
}

// checkMachines finds machines whose lease must have run out.
func (c *Controller) checkMachines(now time.Time) {
	bound := time.Duration(float64(c.leaseS)*drift) + margin
	var overdue []*machine
	defer func() {
		if len(overdue) > 0 {
			c.deleteInTime(overdue[:min(len(overdue), deleteMost)])
		}
	}()
	for _, m := range c.machines {
		p := c.parts[m.rec.Part]
		if !p.mine || !p.ready || m.lost {
			continue
		}
		known, answered := p.ledger.Answered(m.share, m.answeredBy, now)
		if (m.heard || len(m.attempts) > 0) && known.Sub(answered) > bound {
			c.metrics.Count(observe.MachineLost, 1)
			c.log.Info("machine lost", "machine", m.name, "silent", now.Sub(m.lastHeard), "attempts", len(m.attempts))
			m.lost, m.fenced = true, false
			for _, a := range m.sorted() {
				c.attemptGone(a, "lease ran out", now)
			}
			continue
		}
		if c.outlasts(m, answered.Add(bound), now) && now.Sub(m.deleteTried) > deletePause {
			m.deleteTried = now
			overdue = append(overdue, m)
		}
		if !m.retiring.IsZero() && now.Sub(m.retiring) > 30*time.Second {
			m.retiring = time.Time{}
		}
		if !m.notice.IsZero() && m.fenced {
			c.drain(m, now)
		}
		for _, a := range m.attempts {
			c.keepOut(a, now)
		}
		if now.Sub(m.orderedAt) > answerPatience && c.mayRepeat(m) {
			c.repeatOrders(m)
		}
		if m.fenced && m.pendingOrders == 0 && now.Sub(m.lastOrders) > time.Second && m.pending() {
			m.lastOrders = now
			c.sendOrders(m)
		}
	}
}

const (
	// deleteAhead is how long before a withdrawn task must be gone its machine is deleted,
	// if it could not be stopped; deleteAfter is the least time that a stop is given.
	deleteAhead = 8 * time.Second
	deleteAfter = 3 * time.Second
	deletePause = 2 * time.Second
	deleteMost  = 100 // names in a request
)

// outlasts says whether a task of a withdrawn job may be on a machine for longer than
// cancel_s: it was not stopped, and the machine's lease, which may go on until ends, does
// not provably run out in time (46). A machine that is merely silent is left alone.
func (c *Controller) outlasts(m *machine, ends, now time.Time) bool {
	for _, a := range m.attempts {
		if !a.live() || !a.stopping || a.job.withdrawnAt.IsZero() || now.Sub(a.stopAt) < deleteAfter {
			continue
		}
		due := a.job.withdrawnAt.Add(c.cancelS)
		if now.After(due.Add(-deleteAhead)) && ends.After(due.Add(-margin)) {
			return true
		}
	}
	return false
}

// deleteInTime has the cloud delete machines on which withdrawn tasks may go on. Their
// owner does so itself: the leader needs the state service, which the trouble that keeps a
// task from being stopped may have taken away. The records go later, as of lost machines.
func (c *Controller) deleteInTime(machines []*machine) {
	names := make([]string, 0, len(machines))
	for _, m := range machines {
		names = append(names, m.name)
	}
	c.log.Info("deleting machines", "machines", names, "reason", "withdrawn tasks on them can't be stopped in time")
	c.duty.Go(func() {
		status, err := c.cloud("POST", "/machines/delete", protocol.MachineNames{Machines: names}, nil)
		if err != nil || status != 200 {
			c.log.Info("machines not deleted", "machines", names, "status", status, "reason", err)
			return
		}
		c.do(func() {
			now := time.Now()
			for _, m := range machines {
				if c.machines[m.name] != m {
					continue
				}
				c.metrics.Count(observe.MachineLost, 1)
				m.deleted, m.lost, m.fenced = true, true, false
				for _, a := range m.sorted() {
					c.attemptGone(a, "machine is deleted", now)
				}
			}
		})
	})
}

// usable says whether new work may go to a machine.
func (c *Controller) usable(m *machine, now time.Time) bool {
	return m.fenced && !m.lost && !m.moving && !m.faulty && m.typ != nil && m.rec.Addr != "" &&
		m.retiring.IsZero() && m.notice.IsZero() && now.After(m.avoidTill) &&
		now.Sub(m.lastHeard) < c.reportS*5/4+1500*time.Millisecond
}
