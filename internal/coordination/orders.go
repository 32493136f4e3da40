package coordination

// Commands to workers, directly and in answers to their reports.

import (
	"context"
	"errors"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

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
	c.ordering(m, now)
	orders := protocol.Orders{Token: c.token(m), Session: m.session, Commands: cmds}
	via, name, addr := p.ledger.Via(m.share, now), m.name, m.rec.Addr
	c.duty.Go(func() {
		r, sent, err := c.postOrders(via, name, addr, orders)
		c.do(func() {
			c.ordered(m)
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
	if m.pendingOrders > 0 && !c.mayRepeat(m) {
		return
	}
	c.ordering(m, time.Now())
	orders := protocol.Orders{Token: c.token(m), Session: max(m.session, m.hint, 1), Commands: []protocol.Command{}}
	via, name, addr := c.parts[m.rec.Part].ledger.Toward(m.share, time.Now()), m.name, m.rec.Addr
	c.duty.Go(func() {
		r, _, err := c.postOrders(via, name, addr, orders)
		if r != nil && errors.Is(err, errStale) && r.Session != orders.Session {
			orders.Session = r.Session
			r, _, err = c.postOrders(via, name, addr, orders)
		}
		c.do(func() {
			c.ordered(m)
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

// pending says whether direct orders could bring something forward.
func (m *machine) pending() bool {
	for _, a := range m.attempts {
		if a.state == attemptCommitted && a.inFlight == 0 && !a.stopping || a.state == attemptSeen && a.stopping {
			return true
		}
	}
	return false
}
