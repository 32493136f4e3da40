package admission

import "time"

const (
	// minRetryDelay and maxRetryDelay bound the retry delays of refusals.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// minHoldTime is the least that a caller counts as being inside, also until one has left.
	minHoldTime = 10 * time.Millisecond
)

// makeRoom reports whether one more may wait. In a full queue a team that waits with less
// than its share takes the place of the last one of the team that is furthest
// above its own: a flood fills the queue with itself only.
func (q *Queue) makeRoom(w *waiter) bool {
	if q.waiting < q.limits.MaxWaiting {
		return true
	}
	if q.limits.MaxWaiting == 0 {
		return false
	}
	own := q.teams[w.team]
	largest := q.largestTeam()
	if largest == nil || largest.name == w.team || largest.load() <= q.loadWith(own, w) {
		return q.makeRoomWithin(own, w)
	}
	q.drop(largest)
	return true
}

// load is how many of a team wait, for its weight.
func (t *team) load() float64 { return float64(t.waiting) / t.weight }

// loadWith is the load of a caller's team, nil if it is not known, if the caller waits too.
func (q *Queue) loadWith(own *team, w *waiter) float64 {
	waiting := 1.0
	if own != nil {
		waiting += float64(own.waiting)
	}
	return waiting / weight(q.limits.Weights, w.team)
}

// largestTeam returns the team with the largest load, nil if nobody waits.
func (q *Queue) largestTeam() *team {
	var largest *team
	for _, t := range q.teams {
		if t.waiting > 0 && (largest == nil || t.load() > largest.load() || t.load() == largest.load() && t.name < largest.name) {
			largest = t
		}
	}
	return largest
}

// makeRoomWithin makes room within a team, whose client that waits with most gives a place
// to one that waits with less.
func (q *Queue) makeRoomWithin(t *team, w *waiter) bool {
	if t == nil {
		return false
	}
	own, most := 0, 0
	for name, c := range t.clients {
		if name == w.client {
			own = len(c.queue)
		}
		most = max(most, len(c.queue))
	}
	if most <= own+1 {
		return false
	}
	q.drop(t)
	return true
}

// drop refuses the last caller of the team's client that waits with most.
func (q *Queue) drop(t *team) {
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

// retryAfter is about how long it takes until those of a team who wait now have
// been served, at the team's share of the places.
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
