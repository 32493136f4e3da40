package admission

import (
	"math"
	"time"
)

// HandoffLimits bound the work that waits at another server. That server works in order of arrival,
// so new work is served after all work that waits there. Only enough work is handed off to keep the
// server busy; the rest waits in this process, where clients take turns.
type HandoffLimits struct {
	// Min is the amount of work that may always wait at the server, whatever its rate; 0 removes
	// all bounds.
	Min int
	// MaxDuration bounds the time that the server needs for the waiting work at its current rate.
	MaxDuration time.Duration
}

// Window returns the amount of work that may wait at a server, given the amounts of work that the
// server completes per second and is working on now (inService). It is at least inService, so that
// a server that scales out with the length of its queue can double its capacity.
func (l HandoffLimits) Window(perSecond float64, inService int) int {
	if l.Min == 0 {
		return math.MaxInt
	}
	return max(l.Min, inService, int(perSecond*l.MaxDuration.Seconds()))
}

// Batch is work of one client that is handed off as a whole.
type Batch struct {
	Client string
	Size   int
}

// NextBatch returns the index of the waiting batch to hand off next, or -1 if no batch may be
// handed off before the server has completed some work. Batches are in order of arrival, and
// outstanding is the work of each client that waits at the server. The client with the least
// outstanding work goes first. A client may use its equal part of the window even while others fill
// the window, and may always have one batch outstanding, whatever its size.
func NextBatch(window int, outstanding map[string]int, waiting []Batch) int {
	if len(waiting) == 0 {
		return -1
	}
	best := 0
	for i, batch := range waiting {
		if outstanding[batch.Client] < outstanding[waiting[best].Client] {
			best = i
		}
	}
	total := 0
	for _, size := range outstanding {
		total += size
	}
	own, size := outstanding[waiting[best].Client], waiting[best].Size
	if own == 0 || own+size <= window/countClients(outstanding, waiting) || total+size <= window {
		return best
	}
	return -1
}

// countClients counts the clients with outstanding or waiting work.
func countClients(outstanding map[string]int, waiting []Batch) int {
	clients := 0
	for _, size := range outstanding {
		if size > 0 {
			clients++
		}
	}
	seen := map[string]bool{}
	for _, batch := range waiting {
		if outstanding[batch.Client] == 0 && !seen[batch.Client] {
			seen[batch.Client] = true
			clients++
		}
	}
	return clients
}
