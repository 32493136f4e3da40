// Package telemetry counts events in a controller and measures the waits of users, for Prometheus
// and for `micaspindlectl top`. No metric has a label for jobs, teams or callers.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
)

// bucketBounds are the upper bounds of the histogram buckets, in seconds.
var bucketBounds = []float64{.001, .005, .01, .025, .05, .1, .25, .5, 1, 2, 5, 10, 30, 60, 120, 300, 600, 1800, 3600}

// Metrics holds the metrics of one controller. All methods may be called from any goroutine, and on a
// nil Metrics, which records nothing.
type Metrics struct {
	set    *metrics.Set
	waits  [waitCount]*metrics.PrometheusHistogram
	events [eventCount]*metrics.Counter
	bounds [boundCount]*metrics.Counter

	mu sync.Mutex
	// windowStart is the start time of the current window.
	windowStart       time.Time
	current, previous [waitCount]*hdrhistogram.Histogram // waits in milliseconds, by window
}

// New returns empty metrics.
func New() *Metrics {
	m := &Metrics{set: metrics.NewSet()}
	for w := range waitCount {
		m.waits[w] = m.set.NewPrometheusHistogramExt(fmt.Sprintf("micaspindle_wait_seconds{what=%q}", w), bucketBounds)
		m.current[w] = newWindowHistogram()
	}
	for e := range eventCount {
		m.events[e] = m.set.NewCounter(e.metricName())
	}
	for b := range boundCount {
		m.bounds[b] = m.set.NewCounter(b.metricName())
	}
	m.beginWindow(time.Time{})
	return m
}

// RecordWait records a wait that ended at now. A negative duration, which a clock adjustment may
// cause, counts as zero.
func (m *Metrics) RecordWait(w Wait, took time.Duration, now time.Time) {
	if m == nil {
		return
	}
	took = max(0, took)
	m.waits[w].Update(took.Seconds())
	m.recordInWindow(w, took, now)
}

// Count adds n to the counter of an event.
func (m *Metrics) Count(e Event, n int) {
	if m != nil && n > 0 {
		m.events[e].Add(n)
	}
}

// Gauge is the current value of a metric. Labels is empty or in Prometheus format, such as {part="0"}.
type Gauge struct {
	Name, Labels string
	Value        float64
}

// Write writes the metrics, the gauges and the metrics of the process in the Prometheus text format.
func (m *Metrics) Write(w io.Writer, gauges []Gauge) {
	if m != nil {
		m.set.WritePrometheus(w)
	}
	for _, g := range gauges {
		metrics.WriteGaugeFloat64(w, "micaspindle_"+g.Name+g.Labels, g.Value)
	}
	metrics.WriteProcessMetrics(w)
}
