package retry

import (
	"sync"
	"time"
)

// CircuitBreaker is a circuit breaker: after so many failures in a row it opens for a time, after which
// one call probes whether there is an answer again; the time grows with each probe that fails. Its
// zero value is closed. Several goroutines may use one.
type CircuitBreaker struct {
	// After is how many failures in a row open it; 0: one.
	After int
	// OpenTime is how long it stays open.
	OpenTime Backoff
	// Who identifies what it protects, so that circuits don't close together.
	Who string

	mu       sync.Mutex
	failures int
	// openUntil is when a probe may be made; zero: it is closed.
	openUntil time.Time
	// probedAt is when the one probe was let through; zero: none is under way.
	probedAt time.Time
}

// Open reports whether no call may be made now.
func (c *CircuitBreaker) Open(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.openUntil)
}

// Allow reports whether a call may be made. The outcome of each allowed call goes to Done.
func (c *CircuitBreaker) Allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.openUntil.IsZero():
		return true
	case now.Before(c.openUntil):
		return false
	}
	// One probe at a time, and another one if the outcome of the last is missing.
	if !c.probedAt.IsZero() && now.Sub(c.probedAt) < c.OpenTime.Max {
		return false
	}
	c.probedAt = now
	return true
}

// Done takes in the outcome of a call.
func (c *CircuitBreaker) Done(now time.Time, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probedAt = time.Time{}
	if answered {
		c.failures, c.openUntil = 0, time.Time{}
		return
	}
	c.failures++
	if limit := max(1, c.After); c.failures >= limit {
		c.openUntil = now.Add(c.OpenTime.Pause(c.Who, c.failures-limit+1))
	}
}
