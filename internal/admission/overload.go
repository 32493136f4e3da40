package admission

import "time"

const (
	// minRetryDelay and maxRetryDelay bound the retry delays of refusals.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// minHoldTime is the lower bound of the hold time from which retry delays are computed. It
	// is used until a hold time has been measured.
	minHoldTime = 10 * time.Millisecond
)

// makeRoom reports whether one more caller may wait. If the queue is full, it evicts a waiter of
// the team with the highest load, provided that the caller's team has a lower one, and otherwise
// tries makeRoomWithin. A team that floods the queue thus keeps out only its own callers.
func (q *Queue) makeRoom(w *waiter) bool {
	if q.waiting < q.limits.MaxWaiting {
		return true
	}
	if q.limits.MaxWaiting == 0 {
		return false
	}
	own := q.teams[w.team]
	largest := q.mostLoadedTeam()
	if largest == nil || largest.name == w.team || largest.load() <= q.loadWith(own, w) {
		return q.makeRoomWithin(own, w)
	}
	q.evict(largest)
	return true
}

// load returns the number of the team's waiting callers divided by its weight.
func (t *team) load() float64 { return float64(t.waiting) / t.weight }

// loadWith returns the load that the caller's team would have if the caller waited too. own is the
// state of that team, nil if the queue has none.
func (q *Queue) loadWith(own *team, w *waiter) float64 {
	waiting := 1.0
	if own != nil {
		waiting += float64(own.waiting)
	}
	return waiting / weight(q.limits.Weights, w.team)
}

// mostLoadedTeam returns the team with the highest load, nil if no caller waits.
func (q *Queue) mostLoadedTeam() *team {
	var largest *team
	for _, t := range q.teams {
		if t.waiting > 0 && (largest == nil || t.load() > largest.load() || t.load() == largest.load() && t.name < largest.name) {
			largest = t
		}
	}
	return largest
}

// makeRoomWithin is makeRoom among the clients of one team: it evicts the last waiter of the
// client with the most waiters, if the caller's client would have fewer even with the caller.
func (q *Queue) makeRoomWithin(t *team, w *waiter) bool {
	if t == nil {
		return false
	}
	own, largest := 0, 0
	for name, c := range t.clients {
		if name == w.client {
			own = len(c.queue)
		}
		largest = max(largest, len(c.queue))
	}
	if largest <= own+1 {
		return false
	}
	q.evict(t)
	return true
}

// evict refuses the last waiter of the team's client with the most waiters.
func (q *Queue) evict(t *team) {
	largestName, largest := "", (*client)(nil)
	for name, c := range t.clients {
		if len(c.queue) > 0 && (largest == nil || len(c.queue) > len(largest.queue) || len(c.queue) == len(largest.queue) && name < largestName) {
			largestName, largest = name, c
		}
	}
	last := largest.queue[len(largest.queue)-1]
	q.remove(last)
	q.refused++
	last.err = &BusyError{q.retryAfter(t.name), "others who wait with less go first"}
	close(last.decided)
}

// retryAfter estimates the time until the team's waiting callers have been admitted, given the
// team's share of the slots.
func (q *Queue) retryAfter(name string) time.Duration {
	waiting, own, weights := 1.0, weight(q.limits.Weights, name), 0.0
	for _, t := range q.teams {
		if t.waiting > 0 || t.name == name {
			weights += t.weight
		}
		if t.name == name {
			waiting += float64(t.waiting)
		}
	}
	weights = max(weights, own)
	holdTime := max(q.holdTime, minHoldTime)
	delay := time.Duration(waiting * float64(holdTime) / float64(max(1, q.limits.Concurrency)) * weights / own)
	return min(maxRetryDelay, max(minRetryDelay, delay))
}
