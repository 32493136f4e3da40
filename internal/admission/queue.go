// Package admission shares the resources of a server among teams by weight, and equally among
// the clients of a team: concurrent calls, bandwidth and held amounts. A caller that finds no free
// capacity waits in a bounded queue or is refused with a retry delay. The package is independent
// of any protocol.
package admission

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Queue admits callers by start-time fair queueing on two levels: first the team with the lowest
// weighted usage, in it the client with the lowest usage, and the callers of a client in order of
// arrival. The zero value admits every caller.
type Queue struct {
	limits Limits

	mu      sync.Mutex
	active  int
	waiting int
	// virtualTime is the start tag of the team that was admitted last.
	virtualTime float64
	teams       map[string]*team
	// rateUsedUntil is the time until which the admitted cost uses up the rate.
	rateUsedUntil time.Time
	// timer dispatches at rateUsedUntil; nil if no caller waits for the rate.
	timer *time.Timer
	// holdTime is the moving average of the time for which callers hold a slot. It is used to
	// compute retry delays.
	holdTime time.Duration
	admitted int64
	refused  int64
}

// team is the state of a team in a queue.
type team struct {
	name   string
	weight float64
	// finishTag is the virtual time up to which the team has been served, virtualTime the
	// start tag of its client that was admitted last.
	finishTag   float64
	virtualTime float64
	waiting     int
	clients     map[string]*client
}

// client is the state of a client in its team.
type client struct {
	// finishTag is the virtual time up to which the client has been served.
	finishTag float64
	queue     []*waiter
}

// waiter is a waiting caller.
type waiter struct {
	team, client string
	cost         float64
	// decided is closed once admitted or err is set.
	decided  chan struct{}
	err      error
	admitted bool
}

// holdTimeWeight is the number of callers over which the average of the hold time is taken.
const holdTimeWeight = 8

// New creates a queue.
func New(limits Limits) *Queue { return &Queue{limits: limits, teams: map[string]*team{}} }

// Acquire waits until the caller is admitted, and returns a function that releases the caller's
// slot; calling it more than once has no effect. If the caller is not admitted, the error is a
// BusyError or that of ctx.
func (q *Queue) Acquire(ctx context.Context, teamName, clientName string, cost float64) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w := &waiter{team: teamName, client: clientName, cost: max(cost, 0), decided: make(chan struct{})}
	if err := q.enqueue(w); err != nil {
		return nil, err
	}
	gaveUp := q.wait(ctx, w)
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case w.admitted:
		return q.grantSlot(ctx, gaveUp)
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

// enqueue adds a caller to the queue, or refuses it if too many wait, and dispatches.
func (q *Queue) enqueue(w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.teams == nil {
		q.teams = map[string]*team{}
	}
	now := time.Now()
	immediate := q.waiting == 0 && q.canAdmit(now)
	if !immediate && !q.makeRoom(w) {
		q.refused++
		return &BusyError{q.retryAfter(w.team), "too many wait"}
	}
	q.add(w)
	q.dispatch(now)
	return nil
}

// wait waits for the decision on a caller. It returns an error if ctx ends or MaxWait passes
// before that.
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

// grantSlot returns the release function of an admitted caller. If the caller's wait timed out at
// the moment of its admission, the caller keeps the slot. If its context has ended, the slot is
// released.
func (q *Queue) grantSlot(ctx context.Context, gaveUp error) (release func(), err error) {
	s := &slot{acquired: time.Now()}
	if gaveUp != nil && ctx.Err() != nil {
		q.releaseSlot(s)
		return nil, ctx.Err()
	}
	release = func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.releaseSlot(s)
	}
	return release, nil
}

// slot is held by an admitted caller until it is released.
type slot struct {
	acquired time.Time
	released bool
}

// releaseSlot releases a slot, unless that was done before, and dispatches.
func (q *Queue) releaseSlot(s *slot) {
	if s.released {
		return
	}
	s.released = true
	now := time.Now()
	q.active--
	q.holdTime += (now.Sub(s.acquired) - q.holdTime) / holdTimeWeight
	q.dispatch(now)
}

// Stats is the state of a queue.
type Stats struct {
	// Active counts the admitted callers that have not left, Waiting those in the queue.
	Active, Waiting int
	// Admitted and Refused count callers since the queue was created.
	Admitted, Refused int64
	// ByTeam counts the waiting callers of each team that has any.
	ByTeam map[string]int
}

// Stats returns the state of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	stats := Stats{Active: q.active, Waiting: q.waiting, Admitted: q.admitted, Refused: q.refused, ByTeam: map[string]int{}}
	for name, t := range q.teams {
		if t.waiting > 0 {
			stats.ByTeam[name] = t.waiting
		}
	}
	return stats
}
