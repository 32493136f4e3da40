// Package ticker sends ticks at even intervals to a goroutine that waits for other things
// between them. It is a time.Ticker, except that a tick is sent by a timer's own function
// and not by whoever receives from the channel: with the race detector, the fake clock of
// testing/synctest lets two goroutines of one test that receive from channels of due
// tickers at the same moment use the same record of the detector, which ends the process
// (seen with Go 1.26.8: one of three runs of the controllers' tests on a loaded machine, none
// of twelve since).
package ticker

import (
	"sync"
	"time"
)

// Ticker sends ticks until it is stopped. A tick is dropped while the one before waits to be
// received.
type Ticker struct {
	// C is where ticks are received.
	C <-chan struct{}

	mu    sync.Mutex
	timer *time.Timer // nil once stopped
}

// New starts a ticker whose first tick comes after one interval.
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
		// Ticks stay at multiples of the interval, however late one was; those that a
		// standstill of the process has missed are left out.
		now := time.Now()
		for !next.After(now) {
			next = next.Add(interval)
		}
		t.timer.Reset(next.Sub(now))
	})
	return t
}

// Stop ends the ticks. It is called once.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.timer = nil
}
