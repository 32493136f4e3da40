package telemetry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// window is how long waits are gathered together. Quantiles are those of the present
	// window and the whole one before it.
	window = 2 * time.Minute
	// longestMS is the longest wait that is told apart, in milliseconds.
	longestMS = 24 * 3600 * 1000
	// quantileDigits is to how many significant digits waits are told apart.
	quantileDigits = 2
)

// Quantiles are those of one wait in the last two to four minutes, in seconds.
type Quantiles struct {
	// What is the wait's name, Count how many there were.
	What  string `msgpack:"what" json:"what"`
	Count int64  `msgpack:"count" json:"count"`
	// P50 is the median, P99 the 99th percentile, Most the longest.
	P50 float64 `msgpack:"p50" json:"p50"`
	P99 float64 `msgpack:"p99" json:"p99"`
	Max float64 `msgpack:"most" json:"most"`
}

// Quantiles gives those of each wait that there was.
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
		h.Merge(m.present[w])
		if n := h.TotalCount(); n > 0 {
			out = append(out, Quantiles{What: w.String(), Count: n, P50: seconds(h.ValueAtQuantile(50)),
				P99: seconds(h.ValueAtQuantile(99)), Max: seconds(h.Max())})
		}
	}
	return out
}

// seconds converts milliseconds.
func seconds(ms int64) float64 { return float64(ms) / 1000 }

// recordInWindow adds a wait to the present window, or to a new one if that is over.
func (m *Metrics) recordInWindow(w Wait, took time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.windowStart) >= window {
		m.beginWindow(now)
	}
	_ = m.present[w].RecordValue(min(longestMS, took.Milliseconds()+1)) // within its bounds
}

// beginWindow makes the present window the previous one.
func (m *Metrics) beginWindow(now time.Time) {
	m.windowStart = now
	m.previous = m.present
	for w := range waitCount {
		m.present[w] = newWindowHistogram()
	}
}

// newWindowHistogram makes an empty histogram of waits in milliseconds.
func newWindowHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestMS, quantileDigits)
}
