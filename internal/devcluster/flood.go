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
	acceptedInterval = 50 * time.Millisecond // between submissions
	deniedInterval   = time.Millisecond      // between requests that are refused
	floodConcurrency = 32
	floodWrites      = 200

	// Delays are recorded in microseconds, up to a minute.
	minDelay    = 1
	maxDelay    = 60_000_000
	delayDigits = 3
	microsPerMS = 1000
)

// Flood compares the delays of submissions without and with a flood of refused requests.
// Delays count from when a request was due, not from when it was sent.
func (m *Measurement) Flood(ctx context.Context, say func(string)) ([]Figure, error) {
	c, stop, err := m.startCluster(ctx, "flood", m.Binary, true, floodWrites)
	if err != nil {
		return nil, err
	}
	defer stop()
	f := &flood{}
	if f.submitter, err = c.Client(Administrator); err != nil {
		return nil, err
	}
	if f.intruder, err = c.Client("person/partner"); err != nil {
		return nil, err
	}
	var p50, p99 [2][]float64
	for round := range m.Rounds {
		for i, flooded := range []bool{false, true} {
			delays := f.run(ctx, time.Now().Add(m.For), flooded)
			p50[i] = append(p50[i], float64(delays.ValueAtPercentile(50))/microsPerMS)
			p99[i] = append(p99[i], float64(delays.ValueAtPercentile(99))/microsPerMS)
		}
		say(fmt.Sprintf("flood: round %d of %d, %d refused so far", round+1, m.Rounds, f.denied.Load()))
	}
	if n := f.failed.Load(); n > 0 {
		return nil, fmt.Errorf("%d requests were not answered as they should be", n)
	}
	refusalRate := float64(f.denied.Load()) / m.For.Seconds() / float64(m.Rounds)
	what := fmt.Sprintf("of good submissions without and with %.0f refusals a second", refusalRate)
	return []Figure{
		newFigure("50th percentile "+what, "ms", "", p50[0], p50[1]),
		newFigure("99th percentile "+what, "ms", "within 1.20", p99[0], p99[1]),
	}, nil
}

// flood is a load of submissions beside requests that are refused.
type flood struct {
	submitter, intruder *client.Client
	// next numbers the submissions; denied counts the refused requests, and failed those of
	// either kind with another response than expected.
	next, denied, failed atomic.Int64
}

// run runs the load until end, flooded or not, and returns the delays of submissions.
func (f *flood) run(ctx context.Context, end time.Time, flooded bool) *hdrhistogram.Histogram {
	delays := hdrhistogram.New(minDelay, maxDelay, delayDigits)
	var mu sync.Mutex
	var wg sync.WaitGroup
	if flooded {
		wg.Go(func() {
			openLoop(ctx, end, deniedInterval, floodConcurrency, func(time.Time) { f.requestDenied(ctx) })
		})
	}
	openLoop(ctx, end, acceptedInterval, floodConcurrency, func(due time.Time) {
		if _, err := f.submitter.Submit(ctx, idleJob(f.next.Add(1))); err != nil {
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

// requestDenied makes a request that must be refused.
func (f *flood) requestDenied(ctx context.Context) {
	target := fmt.Sprintf("/submissions/job-%d/arguments", f.denied.Add(1))
	err := f.intruder.Do(ctx, http.MethodGet, target, nil, nil)
	var refusal *client.Refusal
	if !errors.As(err, &refusal) || refusal.Status != http.StatusForbidden {
		f.failed.Add(1)
	}
}
