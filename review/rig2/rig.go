// Package rig2 is what the cases 4 to 8 of the review share: a cluster of the project's own
// programs as processes on loopback, a record of what was sent and answered, and the verdict. Each
// case ends by itself and ends all processes that it started.
package rig2

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"micaspindle/internal/devcluster"
	"micaspindle/internal/protocol"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	invalid = 2
)

// limit is the time after which a case gives up. A run may take 120 seconds.
const limit = 114 * time.Second

// Case is one run of a case.
type Case struct {
	// Trouble is false if the run leaves the disruption out.
	Trouble bool
	// Dir is the folder of the cluster's settings, keys, stores and logs. It is removed at the end.
	Dir string

	ctx     context.Context
	mu      sync.Mutex
	record  *os.File
	begun   time.Time
	breaks  []string
	cluster *devcluster.Cluster
	stop    func() // stops a Site
}

// Main runs a case and exits with its verdict. play returns an error if the case could not run.
func Main(play func(ctx context.Context, c *Case) error) {
	path := flag.String("record", "record.txt", "file that gets the record of the run")
	keep := flag.Bool("keep", false, "keep the folder with the logs")
	flag.Parse()
	os.Exit(run(*path, *keep, play))
}

func run(path string, keep bool, play func(ctx context.Context, c *Case) error) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
		return invalid
	}
	defer file.Close() //nolint:errcheck // each line was written at once
	dir, err := os.MkdirTemp("", "micaspindle-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
		return invalid
	}
	if keep {
		fmt.Fprintln(os.Stderr, "review: logs are in", dir)
	} else {
		defer os.RemoveAll(dir) //nolint:errcheck // a folder for temporary files
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, ctx: ctx, record: file, begun: time.Now()}
	c.Note("begun, with the disruption: %v", c.Trouble)
	err = play(ctx, c)
	if c.cluster != nil {
		c.cluster.Stop()
	}
	if c.stop != nil {
		c.stop()
	}
	switch {
	case len(c.breaks) > 0:
		for _, text := range c.breaks {
			c.Note("RULE BROKEN: %s", text)
		}
		return broken
	case err != nil:
		c.Note("the case could not run: %v", err)
		return invalid
	}
	c.Note("the rule held")
	return held
}

// Note writes a line with the time since the start to the record and to standard output.
func (c *Case) Note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(c.begun).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Note("seen: %s", text)
	c.breaks = append(c.breaks, text)
}

// controllers is the number of controllers of both sites.
const controllers = 3

// Prepare starts a cluster with the state service's limits of the site ombili-admissions, and
// without front ends running yet. The caller may change the front ends' settings before Ready.
// people are the identities that get a token, beside those of the development cluster.
func (c *Case) Prepare(options devcluster.Options, identities bool, people ...string) (*devcluster.Cluster, error) {
	options.Controllers, options.Dir, options.LogLevel = controllers, c.Dir, "info"
	options.RPS, options.WriteRPS = 150, 20
	var err error
	if options.Binary, err = devcluster.FindBinary("", "micaspindle"); err != nil {
		return nil, err
	}
	if options.FrontEndBinary, err = devcluster.FindBinary("", "micaspindle-reapi"); err != nil {
		return nil, err
	}
	if identities {
		if options.Identities, err = devcluster.PrepareIdentities(c.Dir, controllers); err != nil {
			return nil, err
		}
		for _, name := range people {
			if err := options.Identities.IssueToken(name, time.Hour); err != nil {
				return nil, err
			}
		}
	}
	if c.cluster, err = devcluster.Start(c.ctx, options); err != nil {
		return nil, err
	}
	return c.cluster, nil
}

// Ready waits until the controllers and the front ends serve, and writes the policy if the cluster
// has identities and there is one.
func (c *Case) Ready(policy string) error {
	ctx, cancel := context.WithTimeout(c.ctx, 25*time.Second)
	defer cancel()
	if err := c.cluster.AwaitReady(ctx); err != nil {
		return err
	}
	if policy != "" {
		file := filepath.Join(c.Dir, "policy.yaml")
		if err := os.WriteFile(file, []byte(policy), 0o600); err != nil {
			return err
		}
		// A step of the policy fails if it meets a controller that has not seen the one before.
		err := c.cluster.WritePolicy(ctx, file)
		for ; err != nil && ctx.Err() == nil; err = c.cluster.WritePolicy(ctx, file) {
			c.Note("the policy is written again: %v", err)
			if err := Sleep(ctx, time.Second); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
	c.Note("%d controllers and %d front ends serve", len(c.cluster.Nodes()), len(c.cluster.FrontEnds()))
	return nil
}

// Job returns a submission of an array of tasks of one CPU and 1 GB that run for about guessS
// seconds each.
func Job(id, class, team string, tasks int64, guessS float64, waitsOn ...string) *protocol.Submission {
	job := &protocol.Submission{
		ID: new(id), Class: new(class), Team: new(team), Shape: new("batch"), Urgency: new("standard"), Tasks: new(tasks),
		CPUs: new(1.0), GPUs: new(0.0), MemGB: new(1.0), Image: new("image"), ImageGB: new(0.5), OneZone: new(false),
		Spread: new(false), Spot: new(false), EstimateS: new(guessS), CheckpointIntervalS: new(0.0), CheckpointDurationS: new(0.0),
	}
	for _, other := range waitsOn {
		job.Dependencies = append(job.Dependencies, new(other))
	}
	return job
}

// Sleep waits for d.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errors.New("the time of the run is over")
	}
}
