package coordination

// What workers report: who may answer a report, and what it proves.

import (
	"time"

	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// handleReport answers a worker's report, of which raw is the body.
func (c *Controller) handleReport(r *protocol.Report, raw []byte) transport.Response {
	now := time.Now()
	m := c.machines[r.Machine]
	if m == nil {
		if _, deleted := c.gone[r.Machine]; !deleted && c.synced {
			c.unknown[r.Machine] = &peer.UnknownMachine{Name: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
		}
		return refuse(503, "machine is not on record", 1)
	}
	p := c.parts[m.rec.Part]
	if resp, carried := c.carrying.answer(m, r, raw, now); carried {
		return resp
	}
	m.cameHere = now
	if !c.entitled(p, now) {
		if p.owner != "" && p.owner != c.set.Label {
			c.strayed[r.Machine] = now
			c.visited(p.owner, r.Machine, now)
			return transport.Response{Status: 421, Body: protocol.Encode(protocol.Home{Home: p.owner})}
		}
		return refuse(503, "part has no owner here", 1)
	}
	token := c.token(m)
	if r.Token > token {
		// Somebody newer commands this machine; an answer would be dropped and
		// only hold the worker here.
		return refuse(503, "superseded", 1)
	}
	if m.deleted || !m.reports(r) {
		return refuse(503, "a newer report has come, or the machine is gone", 1)
	}
	if r.Addr != "" {
		m.rec.Addr = r.Addr
	}
	c.observe(m, r, now)
	m.lastHeard = now
	if by := c.carrying.sendsAway(p, m, now); by != "" {
		return transport.Response{Status: 421, Body: protocol.Encode(protocol.Home{Home: by})}
	}
	m.answeredBy = now
	orders := protocol.Orders{Token: token}
	if p.ready && m.fenced {
		orders.Commands = c.commands(m, now, true)
	} else {
		orders.Commands = c.stopsOfWithdrawn(r)
	}
	return transport.Response{Status: 200, Body: protocol.Encode(orders)}
}

// stopsOfWithdrawn stops what a report shows of withdrawn jobs. Whoever answers a report keeps
// what it shows alive, so that nobody may do so for a task that it knows to be withdrawn:
// neither an owner that has not read its part's records yet nor a carrier, which both
// decide nothing else. A withdrawal is on record for good, so that the stop needs none.
func (c *Controller) stopsOfWithdrawn(r *protocol.Report) []protocol.Command {
	cmds := []protocol.Command{}
	for _, t := range r.Tasks {
		if job, _, ok := protocol.ParseTask(t.Task); ok && t.State != protocol.TaskEnded && c.finals[job] == protocol.StatusWithdrawn {
			cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return cmds[:min(len(cmds), commandsMost)]
}

// observe takes in a report, from whichever way it came.
func (c *Controller) observe(m *machine, r *protocol.Report, now time.Time) {
	p := c.parts[m.rec.Part]
	if !p.ready || m.deleted || !m.newer(r) {
		return
	}
	if (!m.heard || r.Session > m.session) && m.answeredBy.Before(now) {
		// The lease of a session counts from its beginning, which lies before its first
		// report, until a report is answered: one that was sent to a carrier was not.
		m.answeredBy = now
	}
	if !m.heard {
		m.heard, m.idleSince = true, now
		c.log.Info("machine up", "machine", m.name, "type", m.rec.Type, "zone", m.rec.Zone, "spot", m.rec.Spot)
	}
	if m.lost {
		m.lost = false
		c.log.Info("machine back", "machine", m.name, "session", r.Session)
	}
	if r.Session > m.session {
		if m.session != 0 {
			c.log.Info("worker's session ended", "machine", m.name, "session", r.Session)
		}
		clear(m.foreign)
	}
	// Not only when the session changes: records read at a takeover may hold
	// attempts of sessions that ended before.
	if m.outlived(r.Session) {
		for _, a := range m.sorted() {
			if a.session < r.Session {
				c.attemptGone(a, "session ended", now)
			}
		}
	}
	m.session, m.sequence = r.Session, r.Sequence
	if r.NoticeS != nil {
		if m.notice.IsZero() {
			c.log.Info("spot notice", "machine", m.name, "seconds", *r.NoticeS)
		}
		m.notice = now.Add(time.Duration(*r.NoticeS * float64(time.Second)))
	}
	if r.Token != c.token(m) {
		c.fence(m)
		return
	}
	if !m.fenced {
		m.fenced = true
		p.wake()
		c.log.Debug("machine fenced", "machine", m.name, "token", r.Token)
	}
	c.reconcile(m, r, now)
	if !m.notice.IsZero() {
		c.drain(m, now)
	}
	if len(m.attempts) > 0 || len(m.foreign) > 0 {
		m.idleSince = now
	}
}

// reports takes in that a report came as one, and says whether it did for the first time.
// A worker has one under way at a time, so that nobody waits any more for an answer to one
// that comes after a newer one, or twice: it can keep no lease alive (48).
func (m *machine) reports(r *protocol.Report) bool {
	if r.Session < m.reported.session || r.Session == m.reported.session && r.Sequence <= m.reported.sequence {
		return false
	}
	m.reported.session, m.reported.sequence = r.Session, r.Sequence
	return true
}

// newer says whether a report is newer than all that came before.
func (m *machine) newer(r *protocol.Report) bool {
	return r.Session > m.session || r.Session == m.session && r.Sequence > m.sequence
}

// outlived says whether a session has ended the session of some attempt.
func (m *machine) outlived(session uint64) bool {
	for _, a := range m.attempts {
		if a.session < session {
			return true
		}
	}
	return false
}

// reconcile compares a report under our token with our attempts.
func (c *Controller) reconcile(m *machine, r *protocol.Report, now time.Time) {
	seen := make(map[string]bool, len(r.Tasks))
	clear(m.foreign)
	for _, t := range r.Tasks {
		key := attemptKey(t.Task, t.Attempt)
		seen[key] = true
		a := m.attempts[key]
		if a == nil {
			m.foreign[key] = t
			continue
		}
		if a.state <= attemptCommitted {
			a.state = attemptSeen
		}
		if !a.live() {
			continue
		}
		a.status = t.State
		switch t.State {
		case protocol.TaskRunning:
			if a.startedAt.IsZero() {
				if a.startedAt = now; !a.told.IsZero() {
					a.startedAt = a.told
				}
				a.job.running++
				if !a.inherited {
					c.metrics.Took(observe.Start, now.Sub(a.job.since()), now)
				}
			}
			m.images[a.job.spec.Image] = now
			c.compare(a, now.Sub(a.startedAt).Seconds())
		case protocol.TaskEnded:
			c.attemptEnded(a, t, now)
		}
	}
	for key, a := range m.attempts {
		if seen[key] {
			continue
		}
		switch {
		case a.state == attemptOver:
			delete(m.attempts, key) // reaped
		case a.state == attemptEnded:
			// Stays until its end is on record.
		case a.state == attemptSeen:
			c.attemptGone(a, "vanished", now)
		case a.state == attemptCommitted && a.stopping && a.sentToken < r.Token:
			// No start of ours can still arrive under this token, also none under way.
			c.attemptGone(a, "never started", now)
		}
	}
	m.resources()
}
