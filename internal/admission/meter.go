package admission

import (
	"math"
	"time"
)

// Meter measures a rate over some seconds. Its zero value has measured nothing.
type Meter struct {
	last time.Time
	// rate is that at the time last.
	rate float64
}

// meterMemory is the time constant by which a meter forgets.
const meterMemory = 5 * time.Second

// Add counts so many at a time.
func (m *Meter) Add(now time.Time, n int) {
	m.rate = m.PerSecond(now) + float64(n)/meterMemory.Seconds()
	m.last = now
}

// PerSecond is the rate.
func (m *Meter) PerSecond(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-max(0, now.Sub(m.last).Seconds())/meterMemory.Seconds())
}
