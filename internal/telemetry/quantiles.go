package telemetry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowLength is the length of a window of waits. Quantiles cover the current window and the
	// previous one.
	windowLength = 2 * time.Minute
	// maxWaitMS is the longest recorded wait, in milliseconds. A longer wait is recorded as maxWaitMS.
	maxWaitMS = 24 * 3600 * 1000
	// quantileDigits is the number of significant digits of recorded waits.
	quantileDigits = 2
)

// Quantiles are the quantiles of one kind of wait in the last two to four minutes, in seconds.
type Quantiles struct {
	// What is the name of the wait, Count the number of waits.
	What  string `msgpack:"what" json:"what"`
	Count int64  `msgpack:"count" json:"count"`
	// P50 is the median, P99 the 99th percentile, Max the maximum.
	P50 float64 `msgpack:"p50" json:"p50"`
	P99 float64 `msgpack:"p99" json:"p99"`
	Max float64 `msgpack:"most" json:"most"`
}

// Quantiles returns the quantiles of each kind of wait with at least one value.
func (m *Metrics) Quantiles() []Quantiles {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Quantiles
	for w := range waitCount {
		h := newWindowHistogram()
		h.Merge(m.previous[w])
		h.Merge(m.current[w])
		if n := h.TotalCount(); n > 0 {
			out = append(out, Quantiles{What: w.String(), Count: n, P50: seconds(h.ValueAtQuantile(50)),
				P99: seconds(h.ValueAtQuantile(99)), Max: seconds(h.Max())})
		}
	}
	return out
}

// seconds converts milliseconds to seconds.
func seconds(ms int64) float64 { return float64(ms) / 1000 }

// recordInWindow adds a wait to the current window. It first begins a new window if the current one is
// over.
func (m *Metrics) recordInWindow(w Wait, took time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.windowStart) >= windowLength {
		m.beginWindow(now)
	}
	_ = m.current[w].RecordValue(min(maxWaitMS, took.Milliseconds()+1)) // cannot fail: the value is within the histogram's range
}

// beginWindow makes the current window the previous one and begins an empty one.
func (m *Metrics) beginWindow(now time.Time) {
	m.windowStart = now
	m.previous = m.current
	for w := range waitCount {
		m.current[w] = newWindowHistogram()
	}
}

// newWindowHistogram returns an empty histogram of waits in milliseconds.
func newWindowHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxWaitMS, quantileDigits)
}
