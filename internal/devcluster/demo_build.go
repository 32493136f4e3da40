package devcluster

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"micaspindle/internal/buildtool"
)

// NamedReport is the report of a build with the name under which it is printed.
type NamedReport struct {
	Name   string
	Report *buildtool.Report
}

// Build runs a sample build and verifies the output of its last action. progress receives
// one-line messages.
func Build(ctx context.Context, b *buildtool.Builder, name string, sources int, seconds float64, progress func(string)) (*buildtool.Report, error) {
	nodes, last, want := buildtool.SampleBuild(name, sources, seconds)
	var mu sync.Mutex
	var lastReport time.Time
	report, err := b.Build(ctx, nodes, func(p buildtool.Progress) {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(lastReport) > progressInterval || p.Done == p.Total {
			lastReport = time.Now()
			progress(fmt.Sprintf("%d of %d actions done, %d of them from the cache", p.Done, p.Total, p.Cached))
		}
	})
	if err != nil {
		return nil, err
	}
	got, err := b.Read(ctx, report.Outputs[last])
	if err != nil {
		return nil, fmt.Errorf("read the output of the last action: %w", err)
	}
	report.BytesDown += int64(len(got))
	if !bytes.Equal(got, want) {
		return nil, fmt.Errorf("the output of the last action differs from the expected one: %d bytes, expected %d", len(got), len(want))
	}
	return report, nil
}

const (
	buildTimeout        = 5 * time.Minute
	buildKillDelay      = 2 * time.Second
	buildRestartDelay   = time.Second
	frontEndWaitTimeout = 20 * time.Second
)

// DemoBuild runs a sample build while a front end is killed and restarted, then runs the build
// again, for which every result must be cached.
func (c *Cluster) DemoBuild(ctx context.Context, sources int, seconds float64, progress func(string)) ([]NamedReport, error) {
	conn, err := c.BuildConn(Builder)
	if err != nil {
		return nil, err
	}
	defer conn.Close() //nolint:errcheck // no calls are open
	b := buildtool.New(conn, "refunds")
	buildCtx, cancel := context.WithTimeoutCause(ctx, buildTimeout, fmt.Errorf("the build took longer than 5 minutes"))
	defer cancel()
	victim, restarted := c.frontEnds[0], make(chan error, 1)
	go func() { restarted <- c.restartDuringBuild(buildCtx, victim, progress) }()
	first, err := Build(buildCtx, b, "demo", sources, seconds, progress)
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
	progress(victim.Label + " is serving again; repeating the build")
	second, err := Build(ctx, b, "demo", sources, seconds, progress)
	if err != nil {
		return nil, err
	}
	if second.Cached != second.Actions {
		return nil, fmt.Errorf("only %d of %d actions of the repeated build came from the cache", second.Cached, second.Actions)
	}
	return []NamedReport{{"from clean", first}, {"again", second}}, nil
}

// restartDuringBuild kills a front end during a build and restarts it. If the build ends early,
// the remaining delays are skipped.
func (c *Cluster) restartDuringBuild(buildCtx context.Context, victim *FrontEnd, progress func(string)) error {
	pause := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-buildCtx.Done():
		}
	}
	pause(buildKillDelay)
	c.KillFrontEnd(victim)
	progress(victim.Label + " was killed")
	pause(buildRestartDelay)
	return c.StartFrontEnd(victim)
}
