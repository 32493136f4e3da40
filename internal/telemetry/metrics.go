// Package telemetry counts what a controller does and measures the waits that people notice,
// for Prometheus and for `micaspindlectl top`. No label tells one job, team or caller from
// another.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
)

// bucketBounds are the upper bounds of the histograms' buckets, in seconds.
var bucketBounds = []float64{.001, .005, .01, .025, .05, .1, .25, .5, 1, 2, 5, 10, 30, 60, 120, 300, 600, 1800, 3600}

// Metrics measures one controller. The nil Metrics measures nothing. Its methods may be
// called from any goroutine.
type Metrics struct {
	set    *metrics.Set
	waits  [waitCount]*metrics.PrometheusHistogram
	events [eventCount]*metrics.Counter
	bounds [boundCount]*metrics.Counter

	mu sync.Mutex
	// windowStart is when the present window began; waits are in milliseconds.
	windowStart       time.Time
	present, previous [waitCount]*hdrhistogram.Histogram
}

// New makes a Metrics that has measured nothing yet.
func New() *Metrics {
	m := &Metrics{set: metrics.NewSet()}
	for w := range waitCount {
		m.waits[w] = m.set.NewPrometheusHistogramExt(fmt.Sprintf("micaspindle_wait_seconds{what=%q}", w), bucketBounds)
		m.present[w] = newWindowHistogram()
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

// RecordWait notes a wait that ended now. A negative one, by a clock that was set, counts as none.
func (m *Metrics) RecordWait(w Wait, took time.Duration, now time.Time) {
	if m == nil {
		return
	}
	took = max(0, took)
	m.waits[w].Update(took.Seconds())
	m.recordInWindow(w, took, now)
}

// Count counts that an event happened n times.
func (m *Metrics) Count(e Event, n int) {
	if m != nil && n > 0 {
		m.events[e].Add(n)
	}
}

// Gauge is a value as it is now; Labels is empty or as in {part="0"}.
type Gauge struct {
	Name, Labels string
	Value        float64
}

// Write writes everything that was measured, the gauges and the process's own metrics in
// Prometheus' text format.
func (m *Metrics) Write(w io.Writer, gauges []Gauge) {
	if m != nil {
		m.set.WritePrometheus(w)
	}
	for _, g := range gauges {
		metrics.WriteGaugeFloat64(w, "micaspindle_"+g.Name+g.Labels, g.Value)
	}
	metrics.WriteProcessMetrics(w)
}
