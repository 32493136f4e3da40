// Package ticker provides a ticker like time.Ticker that works in testing/synctest tests under the
// race detector.
//
// With time.Ticker, and the fake clock of testing/synctest, two goroutines that receive from due
// tickers at the same time can use the same state of the race detector, which crashes the process
// (seen with Go 1.26.8). This ticker avoids that: its ticks are sent by the function of a timer, and
// not by the runtime when a goroutine receives.
package ticker

import (
	"sync"
	"time"
)

// Ticker sends ticks until it is stopped. It drops a tick while the previous one has not been
// received.
type Ticker struct {
	// C delivers the ticks.
	C <-chan struct{}

	mu    sync.Mutex
	timer *time.Timer // nil after Stop
}

// New starts a ticker. The first tick is after one interval.
func New(interval time.Duration) *Ticker {
	ticks := make(chan struct{}, 1)
	t := &Ticker{C: ticks}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := time.Now().Add(interval)
	t.timer = time.AfterFunc(interval, func() {
		select {
		case ticks <- struct{}{}:
		default:
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.timer == nil {
			return
		}
		// Ticks stay at multiples of the interval, even if one is late. Ticks that were due
		// while the process was suspended are skipped.
		now := time.Now()
		for !next.After(now) {
			next = next.Add(interval)
		}
		t.timer.Reset(next.Sub(now))
	})
	return t
}

// Stop stops the ticker. It must not be called twice.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.timer = nil
}
