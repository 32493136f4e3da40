package admission

import (
	"slices"
	"time"
)

// pruneThreshold is the number of teams, or of clients of one team, at which idle ones are removed
// from memory.
const pruneThreshold = 4096

// hasSlot reports whether the concurrency limit allows another caller.
func (q *Queue) hasSlot() bool { return q.limits.Concurrency == 0 || q.active < q.limits.Concurrency }

// canAdmit reports whether the limits allow another caller now.
func (q *Queue) canAdmit(now time.Time) bool {
	return q.hasSlot() && (q.limits.PerSecond == 0 || !q.rateUsedUntil.After(now))
}

// dispatch admits waiting callers in their fair order for as long as the limits allow.
func (q *Queue) dispatch(now time.Time) {
	for q.waiting > 0 && q.canAdmit(now) {
		t := q.nextTeam()
		c := t.nextClient()
		q.virtualTime = max(q.virtualTime, t.finishTag)
		t.virtualTime = max(t.virtualTime, c.finishTag)
		w := c.queue[0]
		c.queue = c.queue[1:]
		t.waiting--
		q.waiting--
		c.finishTag += w.cost
		t.finishTag += w.cost / t.weight
		q.chargeRate(now, w.cost)
		q.active++
		q.admitted++
		w.admitted = true
		close(w.decided)
	}
	q.scheduleDispatch(now)
}

// nextTeam returns the team with the lowest finish tag of those with waiting callers.
func (q *Queue) nextTeam() *team {
	var next *team
	for _, t := range q.teams {
		if t.waiting > 0 && (next == nil || t.finishTag < next.finishTag || t.finishTag == next.finishTag && t.name < next.name) {
			next = t
		}
	}
	return next
}

// nextClient returns the client with the lowest finish tag of those with waiting callers.
func (t *team) nextClient() *client {
	nextName, next := "", (*client)(nil)
	for name, c := range t.clients {
		if len(c.queue) > 0 && (next == nil || c.finishTag < next.finishTag || c.finishTag == next.finishTag && name < nextName) {
			nextName, next = name, c
		}
	}
	return next
}

// chargeRate counts an admitted cost against the rate.
func (q *Queue) chargeRate(now time.Time, cost float64) {
	if q.limits.PerSecond == 0 {
		return
	}
	if q.rateUsedUntil.Before(now) {
		q.rateUsedUntil = now
	}
	q.rateUsedUntil = q.rateUsedUntil.Add(time.Duration(cost / q.limits.PerSecond * float64(time.Second)))
}

// scheduleDispatch sets a timer for the time at which the rate allows the next caller. It does so
// only while slots are free; otherwise the release of a slot dispatches.
func (q *Queue) scheduleDispatch(now time.Time) {
	waitsForRate := q.waiting > 0 && q.limits.PerSecond > 0 && q.rateUsedUntil.After(now) && q.hasSlot()
	if !waitsForRate || q.timer != nil {
		return
	}
	q.timer = time.AfterFunc(q.rateUsedUntil.Sub(now), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.timer = nil
		q.dispatch(time.Now())
	})
}

// add appends a caller to its client's queue. An idle team or client starts at the current
// virtual time, so that idle time earns no credit.
func (q *Queue) add(w *waiter) {
	t := q.teams[w.team]
	if t == nil {
		q.pruneTeams()
		t = &team{name: w.team, weight: weight(q.limits.Weights, w.team), clients: map[string]*client{}}
		q.teams[w.team] = t
	}
	if t.waiting == 0 {
		t.finishTag = max(t.finishTag, q.virtualTime)
	}
	c := t.clients[w.client]
	if c == nil {
		t.pruneClients()
		c = new(client)
		t.clients[w.client] = c
	}
	if len(c.queue) == 0 {
		c.finishTag = max(c.finishTag, t.virtualTime)
	}
	c.queue = append(c.queue, w)
	t.waiting++
	q.waiting++
}

// remove takes a waiting caller out of the queue.
func (q *Queue) remove(w *waiter) {
	t := q.teams[w.team]
	c := t.clients[w.client]
	if i := slices.Index(c.queue, w); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
		t.waiting--
		q.waiting--
	}
}

// pruneTeams removes idle teams once there are many teams. It keeps those whose finish tag is ahead
// of the virtual time: without the tag they would get more than their share.
func (q *Queue) pruneTeams() {
	if len(q.teams) < pruneThreshold {
		return
	}
	for name, t := range q.teams {
		if t.waiting == 0 && t.finishTag <= q.virtualTime {
			delete(q.teams, name)
		}
	}
}

// pruneClients removes idle clients of a team in the same way.
func (t *team) pruneClients() {
	if len(t.clients) < pruneThreshold {
		return
	}
	for name, c := range t.clients {
		if len(c.queue) == 0 && c.finishTag <= t.virtualTime {
			delete(t.clients, name)
		}
	}
}
