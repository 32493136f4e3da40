package retry

import "sync"

// Budget limits retries to a fraction of the calls, so that retries do not multiply the load when
// most calls fail. It is a token bucket that starts full: each call adds Ratio tokens and each retry
// takes one. Its zero value allows no retries. It is safe for concurrent use.
type Budget struct {
	// Ratio is the number of tokens that a call adds, Max the capacity of the bucket.
	Ratio, Max float64

	mu      sync.Mutex
	started bool
	tokens  float64
}

// Call counts the first attempt of a call.
func (b *Budget) Call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.tokens = min(b.Max, b.tokens+b.Ratio)
}

// Retry takes a token for an immediate retry and reports whether there was one.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fill adds the initial tokens to the bucket at the first use.
func (b *Budget) fill() {
	if !b.started {
		b.started, b.tokens = true, b.Max
	}
}
