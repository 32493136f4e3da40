package devcluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

const (
	// firstIdleJob is the number in the first idle job's ID.
	firstIdleJob = 1_000_000
	// idleEstimate is the estimated run time of idle jobs, in seconds; it exceeds any measurement.
	idleEstimate = 600
)

// idleJob returns the idle job with number n. Job 0 does not end during a measurement, and all
// others depend on it: they never run, so that only their acceptance is measured.
func idleJob(n int64) *protocol.Submission {
	job := NewSubmission(fmt.Sprintf("job-%d", firstIdleJob+n), "applicant-verify", teams[n%int64(len(teams))].Name, "low", 1, 1, 1, idleEstimate)
	if n > 0 {
		first := fmt.Sprintf("job-%d", firstIdleJob)
		job.Dependencies = []*string{&first}
	}
	return &job
}

// submitIdleJobs submits idle jobs from concurrent users for the given duration. Each user submits
// a job once its previous one is accepted. submitIdleJobs returns the number of accepted jobs.
func submitIdleJobs(ctx context.Context, submitter *client.Client, users int, duration time.Duration, lastJob *atomic.Int64) (int, error) {
	var accepted atomic.Int64
	var wg sync.WaitGroup
	errs := make([]error, users)
	end := time.Now().Add(duration)
	for user := range users {
		wg.Go(func() {
			for time.Now().Before(end) {
				if _, err := submitter.Submit(ctx, idleJob(lastJob.Add(1))); err != nil {
					errs[user] = err
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

// openLoop calls f every interval until end, without waiting for earlier calls unless
// maxConcurrent are running. The argument of f is the time at which its call was due.
func openLoop(ctx context.Context, end time.Time, interval time.Duration, maxConcurrent int, f func(due time.Time)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrent)
	for due := time.Now(); due.Before(end) && ctx.Err() == nil; due = due.Add(interval) {
		time.Sleep(time.Until(due))
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(due)
		})
	}
	wg.Wait()
}
