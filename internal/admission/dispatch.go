package admission

import (
	"slices"
	"time"
)

// maxRemembered is from how many teams, or clients of a team, on those that want nothing are
// forgotten.
const maxRemembered = 4096

// hasPlace reports whether fewer callers are inside than may be.
func (q *Queue) hasPlace() bool { return q.limits.Concurrency == 0 || q.inside < q.limits.Concurrency }

// free reports whether somebody could be admitted now.
func (q *Queue) free(now time.Time) bool {
	return q.hasPlace() && (q.limits.PerSecond == 0 || !q.paidUntil.After(now))
}

// serve admits whoever is next for as long as there is room.
func (q *Queue) serve(now time.Time) {
	for q.waiting > 0 && q.free(now) {
		t := q.nextTeam()
		c := t.nextClient()
		q.clock = max(q.clock, t.tag)
		t.clock = max(t.clock, c.tag)
		w := c.queue[0]
		c.queue = c.queue[1:]
		t.waiting--
		q.waiting--
		c.tag += w.cost
		t.tag += w.cost / t.weight
		q.pay(now, w.cost)
		q.inside++
		q.admitted++
		w.admitted = true
		close(w.decided)
	}
	q.scheduleServe(now)
}

// nextTeam returns the team that has had least for its weight, of those that wait.
func (q *Queue) nextTeam() *team {
	var next *team
	for _, t := range q.teams {
		if t.waiting > 0 && (next == nil || t.tag < next.tag || t.tag == next.tag && t.name < next.name) {
			next = t
		}
	}
	return next
}

// nextClient returns the client that has had least, of those that wait.
func (t *team) nextClient() *client {
	nextName, next := "", (*client)(nil)
	for name, c := range t.clients {
		if len(c.queue) > 0 && (next == nil || c.tag < next.tag || c.tag == next.tag && name < nextName) {
			nextName, next = name, c
		}
	}
	return next
}

// pay uses up the rate for a cost.
func (q *Queue) pay(now time.Time, cost float64) {
	if q.limits.PerSecond == 0 {
		return
	}
	if q.paidUntil.Before(now) {
		q.paidUntil = now
	}
	q.paidUntil = q.paidUntil.Add(time.Duration(cost / q.limits.PerSecond * float64(time.Second)))
}

// scheduleServe lets the next caller be admitted once the rate allows for it: that is without
// anybody leaving.
func (q *Queue) scheduleServe(now time.Time) {
	waitsForRate := q.waiting > 0 && q.limits.PerSecond > 0 && q.paidUntil.After(now) && q.hasPlace()
	if !waitsForRate || q.timer != nil {
		return
	}
	q.timer = time.AfterFunc(q.paidUntil.Sub(now), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.timer = nil
		q.serve(time.Now())
	})
}

// add puts a caller behind those of its client. Time in which a team or a client wanted
// nothing is not saved up.
func (q *Queue) add(w *waiter) {
	t := q.teams[w.team]
	if t == nil {
		q.forgetTeams()
		t = &team{name: w.team, weight: weight(q.limits.Weights, w.team), clients: map[string]*client{}}
		q.teams[w.team] = t
	}
	if t.waiting == 0 {
		t.tag = max(t.tag, q.clock)
	}
	c := t.clients[w.client]
	if c == nil {
		t.forgetClients()
		c = new(client)
		t.clients[w.client] = c
	}
	if len(c.queue) == 0 {
		c.tag = max(c.tag, t.clock)
	}
	c.queue = append(c.queue, w)
	t.waiting++
	q.waiting++
}

// remove takes a caller out that was not admitted.
func (q *Queue) remove(w *waiter) {
	t := q.teams[w.team]
	c := t.clients[w.client]
	if i := slices.Index(c.queue, w); i >= 0 {
		c.queue = slices.Delete(c.queue, i, i+1)
		t.waiting--
		q.waiting--
	}
}

// forgetTeams drops teams that want nothing and have had no more than the others, if there
// are many.
func (q *Queue) forgetTeams() {
	if len(q.teams) < maxRemembered {
		return
	}
	for name, t := range q.teams {
		if t.waiting == 0 && t.tag <= q.clock {
			delete(q.teams, name)
		}
	}
}

// forgetClients does the same with the clients of a team.
func (t *team) forgetClients() {
	if len(t.clients) < maxRemembered {
		return
	}
	for name, c := range t.clients {
		if len(c.queue) == 0 && c.tag <= t.clock {
			delete(t.clients, name)
		}
	}
}
