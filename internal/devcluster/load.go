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
	// firstIdleJob is the number of the first idle job.
	firstIdleJob = 1_000_000
	// idleEstimate is the estimate of idle jobs, in seconds: longer than any measurement.
	idleEstimate = 600
)

// idleJob returns a job that waits for the first idle job, which runs for longer than any
// measurement, so that only the acceptance of the others is measured.
func idleJob(n int64) *protocol.Submission {
	job := NewSubmission(fmt.Sprintf("job-%d", firstIdleJob+n), "applicant-verify", teams[n%int64(len(teams))].Name, "low", 1, 1, 1, idleEstimate)
	if n > 0 {
		first := fmt.Sprintf("job-%d", firstIdleJob)
		job.Dependencies = []*string{&first}
	}
	return &job
}

// submitIdleJobs submits idle jobs from several users for a while, each user the next job
// once the last is accepted. It returns how many were accepted.
func submitIdleJobs(ctx context.Context, controllers *client.Client, users int, duration time.Duration, next *atomic.Int64) (int, error) {
	var accepted atomic.Int64
	var wg sync.WaitGroup
	errs := make([]error, users)
	end := time.Now().Add(duration)
	for user := range users {
		wg.Go(func() {
			for time.Now().Before(end) {
				if _, err := controllers.Submit(ctx, idleJob(next.Add(1))); err != nil {
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

// openLoop calls f at a steady rate until end, whether or not earlier calls have returned,
// with at most maxConcurrent calls at a time. f gets the time when the call was due.
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
