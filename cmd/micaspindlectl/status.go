package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

// statusCmd shows the state of jobs, or waits until they have ended.
type statusCmd struct {
	IDs  []string `arg:"" name:"id" help:"Job ids."`
	Wait bool     `help:"Wait until all jobs have ended; progress goes to standard error."`
}

// Help shows examples.
func (statusCmd) Help() string {
	return "Examples:\n  micaspindlectl status job-17\n  micaspindlectl status job-17 job-18 --wait -o json"
}

// pollInterval is the pause before a request is repeated.
const pollInterval = time.Second

// Run shows the state of the jobs, with --wait once all have ended.
func (s *statusCmd) Run(ctx context.Context, c *cli) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	lastProgress := ""
	for {
		jobs, err := fetchStatuses(ctx, cl, s.IDs)
		if err != nil {
			return err
		}
		if !s.Wait || allEnded(jobs) {
			return c.printJobs(jobs)
		}
		if progress := describeProgress(jobs); progress != lastProgress {
			fmt.Fprintln(os.Stderr, "waiting:"+progress)
			lastProgress = progress
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// fetchStatuses requests the state of each job.
func fetchStatuses(ctx context.Context, cl *client.Client, ids []string) ([]protocol.JobStatus, error) {
	var jobs []protocol.JobStatus
	for _, id := range ids {
		st, err := cl.Status(ctx, id)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", id, err)
		}
		jobs = append(jobs, st)
	}
	return jobs, nil
}

// allEnded reports whether every job is in a final state.
func allEnded(jobs []protocol.JobStatus) bool {
	return !slices.ContainsFunc(jobs, func(st protocol.JobStatus) bool { return !st.Ended() })
}

// describeProgress returns the progress of all jobs on one line.
func describeProgress(jobs []protocol.JobStatus) string {
	text := ""
	for _, st := range jobs {
		text += fmt.Sprintf("  %s %s %d done %d running", st.ID, st.Status, st.Done, st.Running)
	}
	return text
}

// sleep waits for d. If ctx ends earlier, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
