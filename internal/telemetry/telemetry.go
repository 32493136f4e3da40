// Package telemetry counts what a controller does and measures the waits that people
// notice, for Prometheus and for `micaspindlectl top`. Its nil value measures nothing. It
// knows no job, team or caller: no label tells one from another.
package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
)

// Wait is something that is waited for.
type Wait int

// The waits.
const (
	Submission Wait = iota // a user's submission until it is answered
	Poll                   // a user's look at a job
	Withdrawal             // a withdrawal
	Start                  // a task, from when its job could start until it runs
	Finish                 // a job, from its submission to its end
	Commit                 // a transaction of a part's owner
	Takeover               // a part, from its claim until it is served again
	waits
)

var names = [waits]string{"submission", "poll", "withdrawal", "start", "finish", "commit", "takeover"}

// String is the wait's name.
func (w Wait) String() string { return names[w] }

// Event is something that is counted.
type Event int

// The events.
const (
	Refused      Event = iota // users' requests that were refused
	Late                      // jobs that ended after their deadline
	Failed                    // attempts that ended without a result
	Stopped                   // attempts that were stopped for other work
	MachineLost               // machines that fell silent for a lease
	Rented                    // machines that were asked for
	RentRefused               // requests for machines that the cloud refused
	Conflict                  // transactions that found a key changed
	Unanswered                // transactions of which no answer came
	LeaseEnded                // leases of controllers that were gone, ended early
	TakeoverWarm              // parts taken over from a copy that was followed
	TakeoverCold              // parts read anew at their takeover
	CopyDiffers               // copies that differed from the store
	HandedOver                // parts handed over at a planned end
	ShareMoved                // shares of machines that changed their carrier
	events
)

var counts = [events]string{"requests_refused", "jobs_late", "attempts_failed", "attempts_stopped", "machines_lost", "machines_asked",
	"rentals_refused", "commits_conflicting", "commits_unanswered", "leases_ended",
	"takeovers_warm", "takeovers_cold", "copies_differing", "parts_handed_over", "shares_moved"}

// bounds of histograms, in seconds.
var bounds = []float64{.001, .005, .01, .025, .05, .1, .25, .5, 1, 2, 5, 10, 30, 60, 120, 300, 600, 1800, 3600}

// window is how far back quantiles reach: two of these, the older one whole.
const window = 2 * time.Minute

// longest is the longest wait that is told apart, in milliseconds.
const longest = 24 * 3600 * 1000

// Metrics measures one controller.
type Metrics struct {
	set    *metrics.Set
	waits  [waits]*metrics.PrometheusHistogram
	counts [events]*metrics.Counter
	met    [Bounds]*metrics.Counter

	mu       sync.Mutex
	begun    time.Time
	now, old [waits]*hdrhistogram.Histogram
}

// New makes one that has measured nothing yet.
func New() *Metrics {
	m := &Metrics{set: metrics.NewSet()}
	for w := range waits {
		m.waits[w] = m.set.NewPrometheusHistogramExt(fmt.Sprintf("micaspindle_wait_seconds{what=%q}", w), bounds)
	}
	for e := range events {
		m.counts[e] = m.set.NewCounter("micaspindle_" + counts[e] + "_total")
	}
	for b := range Bounds {
		m.met[b] = m.set.NewCounter(b.metricName())
	}
	m.turn(time.Time{})
	return m
}

func (m *Metrics) turn(now time.Time) {
	m.begun = now
	for w := range waits {
		m.old[w] = m.now[w]
		m.now[w] = hdrhistogram.New(1, longest, 2)
		if m.old[w] == nil {
			m.old[w] = hdrhistogram.New(1, longest, 2)
		}
	}
}

// Took notes a wait that ended now.
func (m *Metrics) Took(w Wait, took time.Duration, now time.Time) {
	if m == nil {
		return
	}
	took = max(0, took)
	m.waits[w].Update(took.Seconds())
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.begun) >= window {
		m.turn(now)
	}
	_ = m.now[w].RecordValue(min(longest, took.Milliseconds()+1)) // within its bounds
}

// Count notes events.
func (m *Metrics) Count(e Event, n int) {
	if m != nil && n > 0 {
		m.counts[e].Add(n)
	}
}

// Quantiles are those of the last two to four minutes, in seconds.
type Quantiles struct {
	What  string  `msgpack:"what" json:"what"`
	Count int64   `msgpack:"count" json:"count"`
	P50   float64 `msgpack:"p50" json:"p50"`
	P99   float64 `msgpack:"p99" json:"p99"`
	Most  float64 `msgpack:"most" json:"most"`
}

// Quantiles tells the waits that there were.
func (m *Metrics) Quantiles() []Quantiles {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Quantiles
	for w := range waits {
		h := hdrhistogram.New(1, longest, 2)
		h.Merge(m.old[w])
		h.Merge(m.now[w])
		if n := h.TotalCount(); n > 0 {
			s := func(ms int64) float64 { return float64(ms) / 1000 }
			out = append(out, Quantiles{w.String(), n, s(h.ValueAtQuantile(50)), s(h.ValueAtQuantile(99)), s(h.Max())})
		}
	}
	return out
}

// Gauge is a value as it stands now; Labels is empty or as in {part="0"}.
type Gauge struct {
	Name, Labels string
	Value        float64
}

// Write writes everything in Prometheus' text format.
func (m *Metrics) Write(w io.Writer, gauges []Gauge) {
	if m != nil {
		m.set.WritePrometheus(w)
	}
	for _, g := range gauges {
		metrics.WriteGaugeFloat64(w, "micaspindle_"+g.Name+g.Labels, g.Value)
	}
	metrics.WriteProcessMetrics(w)
}
