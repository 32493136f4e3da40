package coordination

import (
	"cmp"
	"slices"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/protocol"
)

// A command without an answer may be carried out at any later time, until its worker has
// seen a higher token (50). So where a start must not come any more, the token of its
// machine is raised: the record of the machine is written again, and the worker is told.

const (
	// answerPatience is how long the answer to a command is waited for before the command
	// counts as held up, where a task of a cancelled job depends on it. It is as long as a
	// worker takes to report a change.
	answerPatience = 500 * time.Millisecond
	// stopPatience is the same where no job was cancelled.
	stopPatience = time.Second
	// reapPatience is how long an ended attempt whose start may still come stays with its
	// worker, so that one raise serves many. It holds neither room nor quota.
	reapPatience = 5 * time.Second
	// pendingOrdersMost bounds the orders to a machine that wait for an answer.
	pendingOrdersMost = 4
	// repeatShare of the sockets, and repeatsLeast at least, may hold orders beside earlier
	// ones to the same machine: where many machines are cut off, workers and users need them.
	repeatShare  = 32
	repeatsLeast = 8
)

// raiseToken wants a higher token for the machine by a moment, at the latest.
func (m *machine) raiseToken(by time.Time) {
	if m.raiseBy.IsZero() || by.Before(m.raiseBy) {
		m.raiseBy = by
	}
}

// ordering notes that orders are sent to a machine.
func (c *Controller) ordering(m *machine, now time.Time) {
	if m.pendingOrders > 0 {
		c.repeats++
	}
	m.pendingOrders++
	m.orderedAt = now
}

// ordered notes that the answer to orders has come or been given up.
func (c *Controller) ordered(m *machine) {
	if m.pendingOrders--; m.pendingOrders > 0 {
		c.repeats--
	}
}

// mayRepeat says whether orders may be sent to a machine beside those that are under way:
// a cancelled task depends on them, and there is room.
func (c *Controller) mayRepeat(m *machine) bool {
	most := max(repeatsLeast, c.set.Params.MachineLimits.Sockets/repeatShare)
	return m.cancelling() && m.pendingOrders < pendingOrdersMost && c.repeats < most
}

// mayStillStart says whether a start of an attempt was sent that can come at any time.
func (c *Controller) mayStillStart(a *attempt) bool {
	return a.state == attemptCommitted && a.stopping && a.sentToken != 0 && a.sentToken >= c.token(a.machine)
}

// keepOut has the token raised where a start of an attempt that is to stop may still come.
// The answer to the start is waited for, but not for long if its job was cancelled: its
// user was told so, and from then on nothing of it may start.
func (c *Controller) keepOut(a *attempt, now time.Time) {
	if !c.mayStillStart(a) {
		return
	}
	switch {
	case a.job.withdrawn && now.Sub(a.sentAt) > answerPatience:
	case a.inFlight == 0 && now.Sub(a.stopAt) > stopPatience:
	default:
		return
	}
	a.machine.raiseToken(now)
	c.parts[a.machine.rec.Part].wake()
}

// cancelling says whether a task of a cancelled job is or may come to be on the machine,
// so that commands to it are repeated without waiting for the answers to earlier ones.
func (m *machine) cancelling() bool {
	for _, a := range m.attempts {
		if a.live() && a.stopping && a.job.withdrawn {
			return true
		}
	}
	return false
}

// repeatOrders sends what the machine has to do beside commands that are held up.
func (c *Controller) repeatOrders(m *machine) {
	if m.fenced {
		c.sendOrdersNow(m)
	} else {
		c.fence(m)
	}
}

// tokensDue are the machines of a part whose tokens are due to be raised, the longest due first.
func (c *Controller) tokensDue(p *part, now time.Time) (due []*machine) {
	for _, m := range c.machines {
		if m.rec.Part == p.index && !m.raiseBy.IsZero() && !m.raiseBy.After(now) {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(x, y *machine) int {
		return cmp.Or(x.raiseBy.Compare(y.raiseBy), cmp.Compare(x.name, y.name))
	})
	return due
}

// raiseTokens adds the records of machines to a batch, until it has so many changes, and
// returns those that are left.
func (c *Controller) raiseTokens(b *batch, due []*machine, now time.Time, most int) (left []*machine) {
	for i, m := range due {
		if len(b.txn.Then) >= most {
			return due[i:]
		}
		if m.pendingOrders > 0 && now.Sub(m.orderedAt) < answerPatience {
			continue // their answer may make it needless
		}
		key := bookkeeping.MachineKey(m.name)
		b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Version: m.version})
		b.txn.Then = append(b.txn.Then, protocol.Change{Put: key, Value: bookkeeping.Encode(m.rec)})
		b.raised = append(b.raised, m)
	}
	return nil
}
