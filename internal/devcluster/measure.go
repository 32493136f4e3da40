package devcluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

// Figure is one measured comparison; what counts is the ratio, since both were
// measured in one run on one machine.
type Figure struct {
	What   string  `json:"what"`
	Unit   string  `json:"unit"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	Ratio  float64 `json:"ratio"`
	Aim    string  `json:"aim"`
}

// Measurement is what to measure with.
type Measurement struct {
	Binary string
	// Against is the program of another version, for start, size and memory.
	Against string
	Dir     string
	// For is how long each load runs, Rounds how often.
	For    time.Duration
	Rounds int
}

func figure(what, unit, aim string, before, after []float64) Figure {
	b, a := median(before), median(after)
	return Figure{what, unit, b, a, a / b, aim}
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}

// cluster starts a cluster for a measurement.
func (m *Measurement) cluster(ctx context.Context, name, binary string, hosted bool, writes float64) (*Cluster, func(), error) {
	dir, err := os.MkdirTemp(m.Dir, name+"-")
	if err != nil {
		return nil, nil, err
	}
	remove := func() { _ = os.RemoveAll(dir) }
	opt := Options{Controllers: 3, Binary: binary, Dir: dir, LogLevel: "error", WriteRPS: writes, RPS: max(600, 4*writes)}
	if hosted {
		if opt.Hosted, err = Prepare(dir, 3); err != nil {
			remove()
			return nil, nil, err
		}
	}
	c, err := Start(ctx, opt)
	if err != nil {
		remove()
		return nil, nil, err
	}
	stop := func() { c.Stop(); remove() }
	if err = c.AwaitReady(ctx); err == nil && hosted {
		err = c.WritePolicy(ctx, "")
	}
	var users *client.Client
	if err == nil {
		users, err = c.Client(Administrator)
	}
	if err == nil {
		_, err = users.Submit(ctx, idle(0))
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	return c, stop, nil
}

// Footprint compares start, size and memory of two programs, identities off.
func (m *Measurement) Footprint(ctx context.Context, say func(string)) ([]Figure, error) {
	var start, own, mapped [2][]float64
	var size [2]float64
	for round := range m.Rounds {
		for i, binary := range []string{m.Against, m.Binary} {
			info, err := os.Stat(binary)
			if err != nil {
				return nil, err
			}
			size[i] = float64(info.Size()) / 1e6
			for range 20 {
				begun := time.Now()
				if err := exec.CommandContext(ctx, binary, "version").Run(); err != nil {
					return nil, fmt.Errorf("%s version: %w", binary, err)
				}
				start[i] = append(start[i], time.Since(begun).Seconds()*1000)
			}
			c, stop, err := m.cluster(ctx, "footprint", binary, false, 200)
			if err != nil {
				return nil, err
			}
			users, err := c.Client(Administrator)
			if err == nil {
				_, err = submitFor(ctx, users, 16, m.For, &atomic.Int64{})
			}
			for _, n := range c.nodes {
				own[i] = append(own[i], residentMB(n.Pid(), "RssAnon:"))
				mapped[i] = append(mapped[i], residentMB(n.Pid(), "RssFile:"))
			}
			stop()
			if err != nil {
				return nil, err
			}
		}
		say(fmt.Sprintf("footprint: round %d of %d", round+1, m.Rounds))
	}
	return []Figure{figure("size of the program", "MB", "within 1.10", size[:1], size[1:]),
		figure("start of the program, without serving", "ms", "within 1.10", start[0], start[1]),
		figure("memory of its own, under submissions", "MB", "within 1.10", own[0], own[1]),
		figure("pages of the program file in memory", "MB", "within 1.10", mapped[0], mapped[1])}, nil
}

// residentMB is one kind of the memory that a process holds.
func residentMB(pid int, kind string) float64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, kind); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// idle is a job that waits for another, which runs for longer than any
// measurement, so that only its acceptance is measured.
func idle(n int64) *protocol.Submission {
	s := NewSubmission(fmt.Sprintf("job-%d", firstIdle+n), "applicant-verify", teams[n%int64(len(teams))].Name, "low", 1, 1, 1, 600)
	if n > 0 {
		first := fmt.Sprintf("job-%d", firstIdle)
		s.Dependencies = []*string{&first}
	}
	return &s
}

const firstIdle = 1_000_000

// submitFor submits jobs that never run, from several users at a time, each its
// next when the last is accepted; it returns how many were.
func submitFor(ctx context.Context, cl *client.Client, users int, d time.Duration, next *atomic.Int64) (int, error) {
	var accepted atomic.Int64
	var wg sync.WaitGroup
	errs := make([]error, users)
	end := time.Now().Add(d)
	for u := range users {
		wg.Go(func() {
			for time.Now().Before(end) {
				if _, err := cl.Submit(ctx, idle(next.Add(1))); err != nil {
					errs[u] = err
					return
				}
				if time.Now().Before(end) {
					accepted.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return int(accepted.Load()), errors.Join(errs...)
}

// Throughput compares accepted submissions a second with identities and audit
// off and on: bound by the state service's changes, and by the controllers.
func (m *Measurement) Throughput(ctx context.Context, say func(string)) ([]Figure, error) {
	var out []Figure
	for _, load := range []struct {
		what   string
		writes float64
		users  int
	}{{"accepted submissions, 100 changes a second", 100, 96}, {"accepted submissions, 1000 changes a second", 1000, 192}} {
		var rate, txns [2][]float64
		for round := range m.Rounds {
			for i, hosted := range []bool{false, true} {
				c, stop, err := m.cluster(ctx, "throughput", m.Binary, hosted, load.writes)
				if err != nil {
					return nil, err
				}
				users, err := c.Client(Administrator)
				var n int
				// What was written to begin with has used some of the budget.
				time.Sleep(settle)
				before := c.changes()
				if err == nil {
					n, err = submitFor(ctx, users, load.users, m.For, &atomic.Int64{})
				}
				changes := c.changes() - before
				stop()
				if err != nil {
					return nil, err
				}
				rate[i] = append(rate[i], float64(n)/m.For.Seconds())
				txns[i] = append(txns[i], float64(changes)/float64(max(1, n)))
			}
			say(fmt.Sprintf("%s: round %d of %d", load.what, round+1, m.Rounds))
		}
		out = append(out, figure(load.what, "1/s", "at least 0.90", rate[0], rate[1]),
			figure("revisions for each of them", "", "at most 1.00", txns[0], txns[1]))
	}
	return out, nil
}

// changes is how many transactions have changed something so far.
func (c *Cluster) changes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.state.Revision)
}

const (
	settle      = 1500 * time.Millisecond
	goodEvery   = 50 * time.Millisecond
	deniedEvery = time.Millisecond
)

// Flood compares the delays of good submissions with and without a flood of
// refused requests. Delays count from when a request was due, not from when it
// was sent.
func (m *Measurement) Flood(ctx context.Context, say func(string)) ([]Figure, error) {
	c, stop, err := m.cluster(ctx, "flood", m.Binary, true, 200)
	if err != nil {
		return nil, err
	}
	defer stop()
	good, err := c.Client(Administrator)
	if err != nil {
		return nil, err
	}
	partner, err := c.Client("person/partner")
	if err != nil {
		return nil, err
	}
	var next, denied, failed atomic.Int64
	var p50, p99 [2][]float64
	for round := range m.Rounds {
		for i, flood := range []bool{false, true} {
			hist := hdrhistogram.New(1, 60_000_000, 3)
			var mu sync.Mutex
			var wg sync.WaitGroup
			end := time.Now().Add(m.For)
			if flood {
				wg.Go(func() {
					openLoop(ctx, end, deniedEvery, 32, func(time.Time) {
						err := partner.Do(ctx, "GET", fmt.Sprintf("/submissions/job-%d/arguments", denied.Add(1)), nil, nil)
						var r *client.Refusal
						if !errors.As(err, &r) || r.Status != 403 {
							failed.Add(1)
						}
					})
				})
			}
			openLoop(ctx, end, goodEvery, 32, func(due time.Time) {
				if _, err := good.Submit(ctx, idle(next.Add(1))); err != nil {
					failed.Add(1)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				_ = hist.RecordValue(time.Since(due).Microseconds())
			})
			wg.Wait()
			p50[i] = append(p50[i], float64(hist.ValueAtPercentile(50))/1000)
			p99[i] = append(p99[i], float64(hist.ValueAtPercentile(99))/1000)
		}
		say(fmt.Sprintf("flood: round %d of %d, %d refused so far", round+1, m.Rounds, denied.Load()))
	}
	if n := failed.Load(); n > 0 {
		return nil, fmt.Errorf("%d requests were not answered as they should be", n)
	}
	what := fmt.Sprintf("of good submissions without and with %.0f refusals a second", float64(denied.Load())/m.For.Seconds()/float64(m.Rounds))
	return []Figure{figure("50th percentile "+what, "ms", "", p50[0], p50[1]), figure("99th percentile "+what, "ms", "within 1.20", p99[0], p99[1])}, nil
}

// openLoop calls f at a steady rate until end, whether or not the calls before
// have returned, up to a bound; f is told when it was due.
func openLoop(ctx context.Context, end time.Time, every time.Duration, atOnce int, f func(due time.Time)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for due := time.Now(); due.Before(end) && ctx.Err() == nil; due = due.Add(every) {
		time.Sleep(time.Until(due))
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(due)
		})
	}
	wg.Wait()
}
