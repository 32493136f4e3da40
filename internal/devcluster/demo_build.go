package devcluster

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"micaspindle/internal/buildtool"
)

// NamedReport is what a build came to.
type NamedReport struct {
	Name   string
	Report *buildtool.Report
}

// Build runs a sample build and sees that what it made is right.
func Build(ctx context.Context, b *buildtool.Builder, name string, sources int, seconds float64, say func(string)) (*buildtool.Report, error) {
	nodes, last, want := buildtool.Sample(name, sources, seconds)
	var mu sync.Mutex
	var said time.Time
	report, err := b.Build(ctx, nodes, func(p buildtool.Progress) {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(said) > time.Second || p.Done == p.Of {
			said = time.Now()
			say(fmt.Sprintf("%d of %d actions done, %d of them from the cache", p.Done, p.Of, p.Cached))
		}
	})
	if err != nil {
		return nil, err
	}
	got, err := b.Read(ctx, report.Outputs[last])
	if err != nil {
		return nil, fmt.Errorf("the last output: %w", err)
	}
	report.BytesDown += int64(len(got))
	if !bytes.Equal(got, want) {
		return nil, fmt.Errorf("the last output is wrong: %d bytes, not %d", len(got), len(want))
	}
	return report, nil
}

// DemoBuild builds, with a gate killed in the middle and started again, and builds
// once more from the cache.
func (c *Cluster) DemoBuild(ctx context.Context, sources int, seconds float64, say func(string)) ([]NamedReport, error) {
	conn, err := c.BuildConn(Builder)
	if err != nil {
		return nil, err
	}
	defer conn.Close() //nolint:errcheck // the calls are over
	b := buildtool.New(conn, "refunds")
	build, cancel := context.WithTimeoutCause(ctx, 5*time.Minute, fmt.Errorf("the build took over 5 minutes"))
	defer cancel()
	victim, killed := c.gates[0], make(chan error, 1)
	go func() {
		// Some actions run by then, others wait.
		select {
		case <-time.After(2 * time.Second):
		case <-build.Done():
		}
		c.KillGate(victim)
		say(victim.Label + " is killed")
		select {
		case <-time.After(time.Second):
		case <-build.Done():
		}
		killed <- c.RestartGate(victim)
	}()
	first, err := Build(build, b, "demo", sources, seconds, say)
	cancel()
	if rerr := <-killed; rerr != nil && err == nil {
		err = rerr
	}
	if err != nil {
		return nil, err
	}
	ready, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	if err := c.awaitGate(ready, victim); err != nil {
		return nil, err
	}
	say(victim.Label + " is back; the same build again")
	second, err := Build(ctx, b, "demo", sources, seconds, say)
	if err != nil {
		return nil, err
	}
	if second.Cached != second.Actions {
		return nil, fmt.Errorf("only %d of %d actions came from the cache", second.Cached, second.Actions)
	}
	return []NamedReport{{"from clean", first}, {"again", second}}, nil
}
