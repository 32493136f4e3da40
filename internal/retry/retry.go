// Package retry decides when what failed is tried again: pauses that grow and are
// spread, budgets that keep retries from multiplying a load, and circuits that leave
// alone what does not answer. It makes no calls and asks no clock.
package retry

import (
	"hash/fnv"
	"io"
	"math"
	"strconv"
	"sync"
	"time"
)

// Backoff is pauses between tries: each about twice as long as the one before, up
// to a most.
type Backoff struct{ First, Most time.Duration }

// Pause is how long to wait after so many failures in a row, the first being 1. It
// lies between half of the bound and all of it, at a place that hangs on who waits
// and on the try: those who failed together do not come back together, and the same
// one does the same each time.
func (b Backoff) Pause(who string, failures int) time.Duration {
	bound := min(float64(b.Most), float64(b.First)*math.Pow(2, float64(max(0, failures-1))))
	return time.Duration(bound/2 + bound/2*spread(who, failures))
}

// spread is a number from 0 to 1 that hangs on who and on the try.
func spread(who string, try int) float64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, who+" "+strconv.Itoa(try))
	x := h.Sum64()
	// The hash's high bits hardly change with the last digits of a name.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// Tries counts the failures of one duty. Its zero value has failed never.
type Tries struct {
	Backoff  Backoff
	Who      string
	failures int
}

// Failed counts a failure and says how long to wait before the next try.
func (t *Tries) Failed() time.Duration {
	t.failures++
	return t.Backoff.Pause(t.Who, t.failures)
}

// Succeeded ends the row of failures.
func (t *Tries) Succeeded() { t.failures = 0 }

// Budget bounds retries to a part of the calls: while few calls fail all may be
// tried again, and when all fail the load does not multiply. Its zero value gives
// none; several goroutines may use one.
type Budget struct {
	// Part of each call is saved for retries, up to Most.
	Part, Most float64

	mu    sync.Mutex
	begun bool
	saved float64
}

// Call notes a first try.
func (b *Budget) Call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	b.saved = min(b.Most, b.saved+b.Part)
}

// Retry says whether a retry may follow at once, and takes it from what is saved.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (b *Budget) begin() {
	if !b.begun {
		b.begun, b.saved = true, b.Most
	}
}

// Circuit leaves alone what did not answer: after so many failures in a row it opens
// for a rest, after which one call tries whether it answers again; the rest grows
// while it does not. Its zero value is closed; several goroutines may use one.
type Circuit struct {
	// After is how many failures in a row open it, 0: one.
	After int
	// Rest is how long it stays open.
	Rest Backoff
	Who  string

	mu       sync.Mutex
	failures int
	till     time.Time
	// probe is when the one call that tries was let through.
	probe time.Time
}

// Open says whether what is behind it is left alone now.
func (c *Circuit) Open(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.till)
}

// Allow says whether a call may be made. What it allows tells its outcome to Done.
func (c *Circuit) Allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.till.IsZero():
		return true
	case now.Before(c.till):
		return false
	}
	// One at a time tries, and another one if nothing was heard of it.
	if !c.probe.IsZero() && now.Sub(c.probe) < c.Rest.Most {
		return false
	}
	c.probe = now
	return true
}

// Done notes a call's outcome.
func (c *Circuit) Done(now time.Time, answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probe = time.Time{}
	if answered {
		c.failures, c.till = 0, time.Time{}
		return
	}
	if c.failures++; c.failures >= max(1, c.After) {
		c.till = now.Add(c.Rest.Pause(c.Who, c.failures-max(1, c.After)+1))
	}
}
