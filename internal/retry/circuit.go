package retry

import (
	"sync"
	"time"
)

// CircuitBreaker blocks calls to a target that does not answer. After a number of consecutive failures
// it opens for a time; then it is half-open and allows one call as a probe. It closes if the probe
// is answered, and opens for longer if not. Its zero value is closed. It is safe for concurrent use.
type CircuitBreaker struct {
	// FailureThreshold is the number of consecutive failures that opens the circuit; 0 means 1.
	FailureThreshold int
	// OpenTime is the time for which the circuit stays open.
	OpenTime Backoff
	// JitterKey identifies the target. It is the input of the jitter of OpenTime, so that different
	// circuits do not become half-open at the same time.
	JitterKey string

	mu       sync.Mutex
	failures int
	// openUntil is the time from which a probe is allowed. It is zero if the circuit is closed.
	openUntil time.Time
	// probedAt is the time at which the last probe was allowed. It is zero if none is in flight.
	probedAt time.Time
}

// Open reports whether the circuit is open, so that no calls are allowed.
func (c *CircuitBreaker) Open(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.openUntil)
}

// Allow reports whether a call may be made. The caller must pass the outcome of an allowed call to
// Done.
func (c *CircuitBreaker) Allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.openUntil.IsZero():
		return true
	case now.Before(c.openUntil):
		return false
	}
	// One probe at a time. If the outcome of the last one is missing for OpenTime.Max, another is
	// allowed.
	if !c.probedAt.IsZero() && now.Sub(c.probedAt) < c.OpenTime.Max {
		return false
	}
	c.probedAt = now
	return true
}

// Done records the outcome of a call that was allowed.
func (c *CircuitBreaker) Done(now time.Time, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probedAt = time.Time{}
	if answered {
		c.failures, c.openUntil = 0, time.Time{}
		return
	}
	c.failures++
	if limit := max(1, c.FailureThreshold); c.failures >= limit {
		c.openUntil = now.Add(c.OpenTime.Pause(c.JitterKey, c.failures-limit+1))
	}
}
