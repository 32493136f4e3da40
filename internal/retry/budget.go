package retry

import "sync"

// Budget bounds retries to a fraction of the calls: while few calls fail all may be retried, and
// when all fail the load does not multiply. Its zero value allows none. Several goroutines may use
// one.
type Budget struct {
	// Ratio is what each call saves of a retry. At most Max retries are saved; as many are there at
	// the beginning.
	Ratio, Max float64

	mu      sync.Mutex
	started bool
	saved   float64
}

// Call counts a first try.
func (b *Budget) Call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	b.saved = min(b.Max, b.saved+b.Ratio)
}

// Retry reports whether a retry may follow at once, and takes it from what is saved.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.start()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// start fills the budget at its first use.
func (b *Budget) start() {
	if !b.started {
		b.started, b.saved = true, b.Max
	}
}
