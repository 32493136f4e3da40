package devcluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"micaspindle/internal/client"
)

const (
	submissionInterval    = 50 * time.Millisecond
	deniedRequestInterval = time.Millisecond
	floodConcurrency      = 32
	floodWriteRPS         = 200

	// Range and significant digits of the histogram of delays, in microseconds.
	minDelay    = 1
	maxDelay    = 60_000_000
	delayDigits = 3
	microsPerMS = 1000
)

// Flood compares the delays of submissions without and with concurrent unauthorized requests. A
// delay is measured from the due time of the request, so that it includes the wait until the
// request was sent.
func (m *Measurement) Flood(ctx context.Context, progress func(string)) ([]Comparison, error) {
	c, stop, err := m.startCluster(ctx, "flood", m.Binary, true, floodWriteRPS)
	if err != nil {
		return nil, err
	}
	defer stop()
	f := &flood{}
	if f.submitter, err = c.Client(Administrator); err != nil {
		return nil, err
	}
	if f.unprivileged, err = c.Client("person/partner"); err != nil {
		return nil, err
	}
	var p50, p99 [2][]float64
	for round := range m.Rounds {
		for i, flooded := range []bool{false, true} {
			delays := f.run(ctx, time.Now().Add(m.LoadDuration), flooded)
			p50[i] = append(p50[i], float64(delays.ValueAtPercentile(50))/microsPerMS)
			p99[i] = append(p99[i], float64(delays.ValueAtPercentile(99))/microsPerMS)
		}
		progress(fmt.Sprintf("flood: round %d of %d, %d refused so far", round+1, m.Rounds, f.denied.Load()))
	}
	if n := f.failed.Load(); n > 0 {
		return nil, fmt.Errorf("%d requests got an unexpected response", n)
	}
	refusalRate := float64(f.denied.Load()) / m.LoadDuration.Seconds() / float64(m.Rounds)
	name := fmt.Sprintf("of good submissions without and with %.0f refusals a second", refusalRate)
	return []Comparison{
		compareMedians("50th percentile "+name, "ms", "", p50[0], p50[1]),
		compareMedians("99th percentile "+name, "ms", "within 1.20", p99[0], p99[1]),
	}, nil
}

// flood is a load of submissions with concurrent unauthorized requests.
type flood struct {
	submitter, unprivileged *client.Client
	// lastJob is the number of the last job submitted. denied counts the unauthorized requests,
	// failed the requests of either kind with an unexpected response.
	lastJob, denied, failed atomic.Int64
}

// run applies the load until end, with unauthorized requests if flooded, and returns the delays
// of submissions.
func (f *flood) run(ctx context.Context, end time.Time, flooded bool) *hdrhistogram.Histogram {
	delays := hdrhistogram.New(minDelay, maxDelay, delayDigits)
	var mu sync.Mutex
	var wg sync.WaitGroup
	if flooded {
		wg.Go(func() {
			openLoop(ctx, end, deniedRequestInterval, floodConcurrency, func(time.Time) { f.sendDeniedRequest(ctx) })
		})
	}
	openLoop(ctx, end, submissionInterval, floodConcurrency, func(due time.Time) {
		if _, err := f.submitter.Submit(ctx, idleJob(f.lastJob.Add(1))); err != nil {
			f.failed.Add(1)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		_ = delays.RecordValue(time.Since(due).Microseconds())
	})
	wg.Wait()
	return delays
}

// sendDeniedRequest sends a request that the controllers must deny.
func (f *flood) sendDeniedRequest(ctx context.Context) {
	target := fmt.Sprintf("/submissions/job-%d/arguments", f.denied.Add(1))
	err := f.unprivileged.Do(ctx, http.MethodGet, target, nil, nil)
	var refusal *client.Refusal
	if !errors.As(err, &refusal) || refusal.Status != http.StatusForbidden {
		f.failed.Add(1)
	}
}
