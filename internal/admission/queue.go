// Package admission shares what a server has among teams by weight, and within a
// team among its clients: places of work, a rate of bytes, amounts that are held.
// Whoever asks for more than fits waits in a bounded queue or is refused at once
// with the time to retry. It knows names and numbers only, no protocol.
package admission

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Queue admits callers, by start-time fair queueing on two levels: the team that
// has had least for its weight goes first, in it the client that has had least,
// and each client's callers in the order of their coming. The zero value admits
// everybody.
type Queue struct {
	limits Limits

	mu      sync.Mutex
	inside  int
	waiting int
	// clock is virtual: the start tag of the team that was served last.
	clock float64
	teams map[string]*team
	// paidUntil is until when the rate is used up.
	paidUntil time.Time
	// timer admits the next caller then; nil if none waits for the rate.
	timer *time.Timer
	// holdTime smooths for how long callers are inside, for the retry delays.
	holdTime time.Duration
	admitted int64
	refused  int64
}

// team is what a queue has of a team.
type team struct {
	name   string
	weight float64
	// tag is the virtual time up to which the team has been served, clock that of its clients.
	tag     float64
	clock   float64
	waiting int
	clients map[string]*client
}

// client is what a queue has of a client of a team.
type client struct {
	// tag is the virtual time up to which the client has been served.
	tag   float64
	queue []*waiter
}

// waiter is a caller that waits.
type waiter struct {
	team, client string
	cost         float64
	// decided is closed once err is set or the caller was admitted.
	decided  chan struct{}
	err      error
	admitted bool
}

// holdTimeWeight is how many earlier callers the smoothed hold time rests on.
const holdTimeWeight = 8

// New makes a queue.
func New(limits Limits) *Queue { return &Queue{limits: limits, teams: map[string]*team{}} }

// Enter admits a caller or says why not: with a BusyError or the error of ctx. What it returns
// must be called when the caller is done; it may be called again.
func (q *Queue) Enter(ctx context.Context, teamName, clientName string, cost float64) (leave func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w := &waiter{team: teamName, client: clientName, cost: max(cost, 0), decided: make(chan struct{})}
	if err := q.join(w); err != nil {
		return nil, err
	}
	gaveUp := q.wait(ctx, w)
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case w.admitted:
		return q.enterAdmitted(ctx, gaveUp)
	case w.err != nil:
		return nil, w.err
	}
	q.remove(w)
	var busy *BusyError
	if errors.As(gaveUp, &busy) {
		q.refused++
		busy.RetryAfter = q.retryAfter(teamName)
	}
	return nil, gaveUp
}

// join lets a caller wait, and admits whoever can be; it refuses the caller if too many wait.
func (q *Queue) join(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.teams == nil {
		q.teams = map[string]*team{}
	}
	now := time.Now()
	atOnce := q.waiting == 0 && q.free(now)
	if !atOnce && !q.makeRoom(w) {
		q.refused++
		return &BusyError{q.retryAfter(w.team), "too many wait"}
	}
	q.add(w)
	q.serve(now)
	return nil
}

// wait waits until it is decided on a caller, and returns why the caller gave up before, if
// it did.
func (q *Queue) wait(ctx context.Context, w *waiter) error {
	var timeout <-chan time.Time
	if q.limits.MaxWait > 0 {
		timer := time.NewTimer(q.limits.MaxWait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-w.decided:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout:
		return &BusyError{Reason: "waited for too long"}
	}
}

// enterAdmitted returns how an admitted caller leaves. One that gave up in the same moment
// enters all the same, unless its context has ended.
func (q *Queue) enterAdmitted(ctx context.Context, gaveUp error) (leave func(), err error) {
	v := &visit{begun: time.Now()}
	if gaveUp != nil && ctx.Err() != nil {
		q.end(v)
		return nil, ctx.Err()
	}
	leave = func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.end(v)
	}
	return leave, nil
}

// visit is the time that a caller is inside.
type visit struct {
	begun time.Time
	ended bool
}

// end ends a visit once, and admits who is next.
func (q *Queue) end(v *visit) {
	if v.ended {
		return
	}
	v.ended = true
	now := time.Now()
	q.inside--
	q.holdTime += (now.Sub(v.begun) - q.holdTime) / holdTimeWeight
	q.serve(now)
}

// Stats says how a queue stands.
type Stats struct {
	Inside, Waiting int
	// Admitted is how many were admitted since the beginning, Refused how many were not.
	Admitted, Refused int64
	// ByTeam is how many wait, of each team that does.
	ByTeam map[string]int
}

// Stats says how the queue stands.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	stats := Stats{Inside: q.inside, Waiting: q.waiting, Admitted: q.admitted, Refused: q.refused, ByTeam: map[string]int{}}
	for name, t := range q.teams {
		if t.waiting > 0 {
			stats.ByTeam[name] = t.waiting
		}
	}
	return stats
}
