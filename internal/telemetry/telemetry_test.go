package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestMetrics(t *testing.T) {
	var none *Metrics
	none.RecordWait(Start, time.Second, time.Now())
	none.Count(JobLate, 1)
	none.CountExceeded(Demands, 1)
	if none.Quantiles() != nil {
		t.Error("a nil Metrics returned quantiles")
	}
	m, now := New(), time.Unix(1000, 0)
	for i := range 100 {
		m.RecordWait(Start, time.Duration(i+1)*100*time.Millisecond, now)
	}
	m.RecordWait(Finish, -time.Second, now) // the clock was adjusted
	m.RecordWait(Finish, 1000*time.Hour, now)
	m.Count(JobLate, 3)
	m.CountExceeded(ForwardedHeartbeats, 2)
	q := m.Quantiles()
	if len(q) != 2 || q[0].What != "start" || q[0].Count != 100 || q[0].P50 < 4.9 || q[0].P50 > 5.2 || q[0].P99 < 9.8 || q[0].Max > 10.2 {
		t.Errorf("quantiles %+v, want 100 waits of kind start, their median about 5, their 99th percentile about 10 and maximum 10", q)
	}
	var out bytes.Buffer
	m.Write(&out, []Gauge{{"part_machines", `{part="0"}`, 7}})
	for _, want := range []string{`micaspindle_wait_seconds_bucket{what="start",le="5"} 50`, `micaspindle_wait_seconds_count{what="start"} 100`,
		"micaspindle_jobs_late_total 3", `micaspindle_bound_met_total{bound="carried_reports"} 2`,
		`micaspindle_bound_met_total{bound="peer_connections"} 0`, `micaspindle_part_machines{part="0"} 7`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
	// The quantiles cover only the current and the previous window.
	m.RecordWait(Start, time.Second, now.Add(windowLength))
	if q := m.Quantiles(); q[0].Count != 101 {
		t.Errorf("quantiles after one window: %+v, want 101 waits of kind start", q)
	}
	m.RecordWait(Start, time.Second, now.Add(2*windowLength))
	if q := m.Quantiles(); len(q) != 1 || q[0].Count != 2 {
		t.Errorf("quantiles after two windows: %+v, want only 2 waits of kind start", q)
	}
}
