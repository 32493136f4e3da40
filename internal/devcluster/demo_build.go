package devcluster

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"micaspindle/internal/buildtool"
)

// NamedReport is the report of a build.
type NamedReport struct {
	Name   string
	Report *buildtool.Report
}

// Build runs a sample build and verifies its last output.
func Build(ctx context.Context, b *buildtool.Builder, name string, sources int, seconds float64, say func(string)) (*buildtool.Report, error) {
	nodes, last, want := buildtool.Sample(name, sources, seconds)
	var mu sync.Mutex
	var lastReport time.Time
	report, err := b.Build(ctx, nodes, func(p buildtool.Progress) {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(lastReport) > progressInterval || p.Done == p.Of {
			lastReport = time.Now()
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

const (
	buildTimeout        = 5 * time.Minute
	buildKillDelay      = 2 * time.Second
	buildRestartDelay   = time.Second
	frontEndWaitTimeout = 20 * time.Second
)

// DemoBuild builds while a front end is killed and restarted, and builds again from the
// cache.
func (c *Cluster) DemoBuild(ctx context.Context, sources int, seconds float64, say func(string)) ([]NamedReport, error) {
	conn, err := c.BuildConn(Builder)
	if err != nil {
		return nil, err
	}
	defer conn.Close() //nolint:errcheck // the calls are over
	b := buildtool.New(conn, "refunds")
	buildCtx, cancel := context.WithTimeoutCause(ctx, buildTimeout, fmt.Errorf("the build took over 5 minutes"))
	defer cancel()
	victim, restarted := c.frontEnds[0], make(chan error, 1)
	go func() { restarted <- c.restartDuringBuild(buildCtx, victim, say) }()
	first, err := Build(buildCtx, b, "demo", sources, seconds, say)
	cancel()
	if restartErr := <-restarted; restartErr != nil && err == nil {
		err = restartErr
	}
	if err != nil {
		return nil, err
	}
	readyCtx, cancelReady := context.WithTimeout(ctx, frontEndWaitTimeout)
	defer cancelReady()
	if err := c.awaitFrontEnd(readyCtx, victim); err != nil {
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

// restartDuringBuild kills a front end when some actions of a build run and others wait,
// and restarts it. Both happen at once if the build ends before.
func (c *Cluster) restartDuringBuild(build context.Context, victim *FrontEnd, say func(string)) error {
	pause := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-build.Done():
		}
	}
	pause(buildKillDelay)
	c.KillFrontEnd(victim)
	say(victim.Label + " is killed")
	pause(buildRestartDelay)
	return c.RestartFrontEnd(victim)
}
