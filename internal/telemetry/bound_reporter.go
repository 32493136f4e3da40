package telemetry

import (
	"log/slog"
	"sync/atomic"
)

// BoundReporter counts each time that a bound is met, and logs the first time of each bound.
// Its methods may be called from any goroutine.
type BoundReporter struct {
	// Metrics counts; nil: bounds are logged only. It is set before the first call of Met.
	Metrics *Metrics

	// Log gets a line the first time that each bound is met.
	Log *slog.Logger

	logged [boundCount]atomic.Bool
}

// NewBoundReporter makes a reporter that does not count yet.
func NewBoundReporter(log *slog.Logger) *BoundReporter { return &BoundReporter{Log: log} }

// Met notes that a bound was met n times.
func (r *BoundReporter) Met(b Bound, n int) {
	if n <= 0 {
		return
	}
	r.Metrics.Met(b, n)
	if !r.logged[b].Swap(true) {
		r.Log.Warn("bound met; from now on it is only counted", "bound", b)
	}
}
