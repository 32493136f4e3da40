package coordination

import (
	"context"
	"errors"
	"micaspindle/internal/observe"
	"slices"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/shares"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// token identifies who may command a machine: both revisions come from the
// state service's one counter, so a takeover and a move each raise it.
func (c *Controller) token(m *machine) uint64 {
	return max(c.parts[m.rec.Part].version, m.version)
}

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
		orders.Commands = c.recalls(r)
	}
	return transport.Response{Status: 200, Body: protocol.Encode(orders)}
}

// recalls stops what a report shows of withdrawn jobs. Whoever answers a report keeps
// what it shows alive, so that nobody may do so for a task that it knows to be withdrawn:
// neither an owner that has not read its part's records yet nor a carrier, which both
// decide nothing else. A withdrawal is on record for good, so that the stop needs none.
func (c *Controller) recalls(r *protocol.Report) []protocol.Command {
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
	j, m := a.job, a.machine
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
	case protocol.CauseError:
		j.requeue(a.task)
		j.failures++
		m.errorJobs[j.spec.ID] = true
		m.avoidTill = now.Add(10 * time.Second)
		c.metrics.Count(observe.Failed, 1)
		c.log.Info("task failed", "task", a.wire(), "machine", m.name, "failures", j.failures)
		if j.failedOn == nil {
			j.failedOn = map[string]bool{}
		}
		j.failedOn[m.name] = true
		if len(j.failedOn) >= 2 {
			// It fails on different machines: the job may be at fault, so it
			// must not burn the fleet.
			j.holdTill = now.Add(min(time.Minute, time.Second<<min(j.failures, 6)))
		}
		if len(m.errorJobs) >= 2 && !m.faulty {
			m.faulty = true
			c.log.Info("machine set aside", "machine", m.name, "reason", "different jobs fail on it")
			for _, b := range m.sorted() {
				c.stopAttempt(b, b.job.spec.SaveS+1, now)
			}
		}
	case protocol.CauseFull, protocol.CauseInUse:
		j.requeue(a.task)
		m.avoidTill = now.Add(time.Second)
		c.log.Info("start refused", "task", a.wire(), "machine", m.name, "reason", t.Cause)
	case protocol.CauseUnknown:
		j.requeue(a.task)
		j.holdTill = now.Add(2 * time.Second)
		c.log.Info("start refused", "task", a.wire(), "machine", m.name, "reason", t.Cause)
	default:
		j.requeue(a.task)
	}
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

// commands lists what a worker should do, in order. An answer to a report
// repeats what direct orders may have missed.
func (c *Controller) commands(m *machine, now time.Time, repair bool) []protocol.Command {
	cmds := []protocol.Command{}
	if !m.awaits() {
		return cmds
	}
	token := c.token(m)
	for _, a := range m.sorted() {
		switch {
		case a.state == attemptCommitted && !a.stopping && !a.job.withdrawn && a.session == m.session:
			if a.inFlight > 0 || repair && a.sentToken == 0 && now.Sub(a.committed) < 500*time.Millisecond {
				continue
			}
			a.sentToken, a.sentAt = token, now
			cmds = append(cmds, protocol.Command{Op: protocol.OpStart, Task: a.wire(), Attempt: a.number})
		case a.state == attemptSeen && a.stopping:
			grace := a.stopGrace
			if grace > 0 && now.Sub(a.stopAt).Seconds() > grace+2 {
				grace = 0
			}
			cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: a.wire(), Attempt: a.number, GraceS: grace})
		case a.state == attemptOver && a.inFlight == 0:
			if a.unanswered && a.sentToken >= token {
				m.raiseToken(now.Add(reapPatience)) // a repeated start may still arrive (9)
				continue
			}
			cmds = append(cmds, protocol.Command{Op: protocol.OpForget, Task: a.wire(), Attempt: a.number})
		}
	}
	for _, t := range m.foreign {
		// No record knows it: stop it, then reap it.
		op := protocol.Command{Op: protocol.OpStop, Task: t.Task, Attempt: t.Attempt}
		if t.State == protocol.TaskEnded {
			op.Op = protocol.OpForget
		}
		cmds = append(cmds, op)
	}
	return cmds[:min(len(cmds), commandsMost)]
}

// commandsMost keeps an answer to a worker far below 64 KiB.
const commandsMost = 300

// awaits says whether there may be anything to command: most reports change
// nothing.
func (m *machine) awaits() bool {
	if len(m.foreign) > 0 {
		return true
	}
	for _, a := range m.attempts {
		if a.state == attemptCommitted || a.state == attemptOver || a.state == attemptSeen && a.stopping {
			return true
		}
	}
	return false
}

// sendOrders sends direct commands, one request at a time for each machine.
func (c *Controller) sendOrders(m *machine) {
	if m.pendingOrders > 0 {
		m.again = true
		return
	}
	c.sendOrdersNow(m)
}

// sendOrdersNow sends direct commands, whatever else is under way.
func (c *Controller) sendOrdersNow(m *machine) {
	p := c.parts[m.rec.Part]
	if !p.ready || !m.fenced || m.lost || m.rec.Addr == "" {
		return
	}
	now := time.Now()
	cmds := c.commands(m, now, false)
	if len(cmds) == 0 {
		return
	}
	var starts []*attempt
	for _, cmd := range cmds {
		if cmd.Op == protocol.OpStart {
			a := m.attempts[attemptKey(cmd.Task, cmd.Attempt)]
			a.inFlight++
			starts = append(starts, a)
		}
	}
	m.again = false
	m.ordering(now)
	orders := protocol.Orders{Token: c.token(m), Session: m.session, Commands: cmds}
	via, name, addr := p.ledger.Via(m.share, now), m.name, m.rec.Addr
	c.duty.Go(func() {
		r, sent, err := c.postOrders(via, name, addr, orders)
		c.do(func() {
			m.pendingOrders--
			for _, a := range starts {
				a.inFlight--
				if sent && r == nil {
					a.unanswered = true
				}
			}
			if err != nil {
				c.log.Debug("orders failed", "machine", m.name, "reason", err)
			}
			if r != nil && c.machines[m.name] == m && c.parts[m.rec.Part].mine {
				c.observe(m, r, time.Now())
			}
			if m.again && err == nil {
				c.sendOrders(m)
			}
		})
	})
}

var errStale = errors.New("worker refused: token or session is stale")

// orderWait is how long a worker's answer to orders is waited for.
const orderWait = 2500 * time.Millisecond

// postOrders sends orders, by way of the machine's carrier if there is one that takes
// them, and returns the worker's report. sent is false if they can never arrive or were
// certainly refused.
func (c *Controller) postOrders(via, machine, addr string, orders protocol.Orders) (r *protocol.Report, sent bool, err error) {
	body := protocol.Encode(orders)
	var resp *transport.Response
	if err = transport.ErrNotSent; via != "" {
		resp, err = c.carrying.send(via, machine, body)
	}
	if errors.Is(err, transport.ErrNotSent) {
		ctx, cancel := context.WithTimeout(c.ctx, orderWait)
		defer cancel()
		resp, err = c.net.Do(ctx, addr, "POST", "/orders", body)
	}
	if err != nil {
		return nil, !errors.Is(err, transport.ErrNotSent), err
	}
	if resp.Status != 200 && resp.Status != 409 {
		// Only a refusal shows that they will never be carried out.
		return nil, resp.Status >= 500, errStale
	}
	r = new(protocol.Report)
	if err := protocol.Decode(resp.Body, r); err != nil {
		return nil, true, err
	}
	if err := r.Check(); err != nil {
		return nil, true, err
	}
	if resp.Status == 409 {
		return r, false, errStale
	}
	return r, true, nil
}

// fence raises the worker's token by orders without commands, without waiting
// for its next report, so that nobody older commands it any more (7).
func (c *Controller) fence(m *machine) {
	m.fenced = false
	if m.rec.Addr == "" || m.lost {
		return
	}
	// The answer to a command that is held up is not waited for where it matters.
	if m.pendingOrders > 0 && !(m.cancelling() && m.pendingOrders < pendingOrdersMost) {
		return
	}
	m.ordering(time.Now())
	orders := protocol.Orders{Token: c.token(m), Session: max(m.session, m.hint, 1), Commands: []protocol.Command{}}
	via, name, addr := c.parts[m.rec.Part].ledger.Toward(m.share, time.Now()), m.name, m.rec.Addr
	c.duty.Go(func() {
		r, _, err := c.postOrders(via, name, addr, orders)
		if r != nil && errors.Is(err, errStale) && r.Session != orders.Session {
			orders.Session = r.Session
			r, _, err = c.postOrders(via, name, addr, orders)
		}
		c.do(func() {
			m.pendingOrders--
			if err != nil {
				c.log.Debug("fencing failed", "machine", m.name, "reason", err)
				return
			}
			if c.machines[m.name] == m && c.parts[m.rec.Part].mine && r.Machine == m.name {
				m.lastHeard = time.Now()
				c.observe(m, r, time.Now())
				c.sendOrders(m)
			}
		})
	})
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
		if m.cancelling() && now.Sub(m.orderedAt) > answerPatience {
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

// pending says whether direct orders could bring something forward.
func (m *machine) pending() bool {
	for _, a := range m.attempts {
		if a.state == attemptCommitted && a.inFlight == 0 && !a.stopping || a.state == attemptSeen && a.stopping {
			return true
		}
	}
	return false
}

// usable says whether new work may go to a machine.
func (c *Controller) usable(m *machine, now time.Time) bool {
	return m.fenced && !m.lost && !m.moving && !m.faulty && m.typ != nil && m.rec.Addr != "" &&
		m.retiring.IsZero() && m.notice.IsZero() && now.After(m.avoidTill) &&
		now.Sub(m.lastHeard) < c.reportS*5/4+1500*time.Millisecond
}

// refuse answers at once with a reason and when to come back.
func refuse(status int, reason string, retryAfter int) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(protocol.Problem{Error: reason}), RetryAfter: retryAfter}
}
