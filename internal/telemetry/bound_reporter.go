package telemetry

import (
	"log/slog"
	"sync/atomic"
)

// BoundReporter counts the occurrences of exceeded bounds, and logs the first one of each bound.
// Its methods may be called from any goroutine.
type BoundReporter struct {
	// Metrics holds the counters. If it is nil, nothing is counted. It must be set before the first
	// call of ReportExceeded.
	Metrics *Metrics

	// Log receives a warning the first time that a bound is exceeded.
	Log *slog.Logger

	logged [boundCount]atomic.Bool
}

// NewBoundReporter returns a reporter without metrics.
func NewBoundReporter(log *slog.Logger) *BoundReporter { return &BoundReporter{Log: log} }

// ReportExceeded reports that a bound was exceeded n times.
func (r *BoundReporter) ReportExceeded(b Bound, n int) {
	if n <= 0 {
		return
	}
	r.Metrics.CountExceeded(b, n)
	if !r.logged[b].Swap(true) {
		r.Log.Warn("bound exceeded; further occurrences are only counted", "bound", b)
	}
}
