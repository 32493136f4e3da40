package admission

import (
	"math"
	"time"
)

// Work that is handed on to a place that serves it in order is out of reach: who
// comes later waits behind all of it. So only so much is handed on as keeps that
// place busy for a while, and the rest waits here, where clients take turns.

// HandoffLimits says how much may wait at the place that serves it.
type HandoffLimits struct {
	// Min may wait there however slowly it is served; 0: there is no bound.
	Min int
	// MaxDuration is how long it may last at the rate at which it is served.
	MaxDuration time.Duration
}

// Window is how much that is at a rate, beside so many that are being served. As
// many again may wait: a place that grows by what waits for it doubles each time.
func (a HandoffLimits) Window(perSecond float64, inService int) int {
	if a.Min == 0 {
		return math.MaxInt
	}
	return max(a.Min, inService, int(perSecond*a.MaxDuration.Seconds()))
}

// Batch is something that waits to be handed on as a whole.
type Batch struct {
	Client string
	Size   int
}

// NextBatch says which of the lots that wait, the oldest first, is handed on next: that
// of the client who has the least ahead. -1: none, until some of what is ahead has
// been served. A client has his part of the window also while others fill it, and
// one lot in any case: he is not kept out by lots that are large.
func NextBatch(window int, ahead map[string]int, waiting []Batch) int {
	total, clients, best := 0, 0, -1
	for _, n := range ahead {
		if total += n; n > 0 {
			clients++
		}
	}
	seen := map[string]bool{}
	for i, l := range waiting {
		if ahead[l.Client] == 0 && !seen[l.Client] {
			seen[l.Client] = true
			clients++
		}
		if best < 0 || ahead[l.Client] < ahead[waiting[best].Client] {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	own, size := ahead[waiting[best].Client], waiting[best].Size
	if own == 0 || own+size <= window/clients || total+size <= window {
		return best
	}
	return -1
}

// Meter measures a rate over some seconds. Its zero value has measured nothing.
type Meter struct {
	last time.Time
	rate float64
}

// memory is for how long a meter remembers.
const memory = 5 * time.Second

// Add counts so many at a time.
func (m *Meter) Add(now time.Time, n int) {
	m.rate = m.PerSecond(now) + float64(n)/memory.Seconds()
	m.last = now
}

// PerSecond is the rate.
func (m *Meter) PerSecond(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-max(0, now.Sub(m.last).Seconds())/memory.Seconds())
}
