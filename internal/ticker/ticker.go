// Package ticker beats at even intervals for a duty that does other things between the
// beats. It is a ticker, except that a beat is sent by a timer's own function and not by
// whoever looks at the channel: with the race detector, Go's fake clock lets two
// goroutines of one test that look at channels of due tickers at the same moment use the
// same record of the detector, which ends the process (seen with 1.26.8: one of three runs of
// the controllers' tests on a loaded machine, none of twelve since). It knows nothing of what is done at a beat.
package ticker

import (
	"sync"
	"time"
)

// Ticker beats until it is stopped. A beat that nobody has taken yet is not doubled.
type Ticker struct {
	C <-chan struct{}

	mu    sync.Mutex
	timer *time.Timer // nil once stopped
}

// New starts a pulse whose first beat comes after one interval.
func New(interval time.Duration) *Ticker {
	beats := make(chan struct{}, 1)
	p := &Ticker{C: beats}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := time.Now().Add(interval)
	p.timer = time.AfterFunc(interval, func() {
		select {
		case beats <- struct{}{}:
		default:
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.timer == nil {
			return
		}
		// The beats keep to the first one's time, whatever a beat was late; those
		// that a standstill has missed are left out.
		now := time.Now()
		for !next.After(now) {
			next = next.Add(interval)
		}
		p.timer.Reset(next.Sub(now))
	})
	return p
}

// Stop ends the beats.
func (p *Ticker) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer.Stop()
	p.timer = nil
}
