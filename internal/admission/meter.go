package admission

import (
	"math"
	"time"
)

// Meter measures a rate of events as an exponentially decaying average. Its zero value is ready
// for use.
type Meter struct {
	last time.Time
	// rate is the rate at the time last.
	rate float64
}

// meterTimeConstant is the time constant of the decay.
const meterTimeConstant = 5 * time.Second

// Add counts n events at the time now.
func (m *Meter) Add(now time.Time, n int) {
	m.rate = m.PerSecond(now) + float64(n)/meterTimeConstant.Seconds()
	m.last = now
}

// PerSecond returns the rate at the time now, 0 before the first event.
func (m *Meter) PerSecond(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-max(0, now.Sub(m.last).Seconds())/meterTimeConstant.Seconds())
}
