package admission

import (
	"math"
	"time"
)

// Work that is handed on to a server that serves it in order is out of reach: who
// comes later waits behind all of it. So only so much is handed on as keeps that
// server busy for a while, and the rest waits here, where clients take turns.

// HandoffLimits bounds how much may wait at the server it was handed on to.
type HandoffLimits struct {
	// Min may wait there however slowly it is served; 0 is no bound.
	Min int
	// MaxDuration is how long it may last at the rate at which it is served.
	MaxDuration time.Duration
}

// Window is how much may wait at a rate, while inService are being served. As
// many again may wait: a server that grows by what waits for it doubles each time.
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

// NextBatch returns the index of the waiting lot, the oldest first, that is handed on next: that
// of the client who has the least ahead. -1: none, until some of what is ahead has
// been served. A client has its part of the window also while others fill it, and
// one lot in any case: it is not kept out by lots that are large.
func NextBatch(window int, ahead map[string]int, waiting []Batch) int {
	if len(waiting) == 0 {
		return -1
	}
	best := 0
	for i, lot := range waiting {
		if ahead[lot.Client] < ahead[waiting[best].Client] {
			best = i
		}
	}
	total := 0
	for _, size := range ahead {
		total += size
	}
	own, size := ahead[waiting[best].Client], waiting[best].Size
	if own == 0 || own+size <= window/countClients(ahead, waiting) || total+size <= window {
		return best
	}
	return -1
}

// countClients counts the clients that have something ahead or waiting.
func countClients(ahead map[string]int, waiting []Batch) int {
	clients := 0
	for _, size := range ahead {
		if size > 0 {
			clients++
		}
	}
	seen := map[string]bool{}
	for _, lot := range waiting {
		if ahead[lot.Client] == 0 && !seen[lot.Client] {
			seen[lot.Client] = true
			clients++
		}
	}
	return clients
}
