package buildtool

import (
	"context"
	"errors"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Bounds of the delay before a retry. Between them, the front end sets the delay.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// retry makes a call until it succeeds or fails with an error that is not transient.
func (r *run) retry(ctx context.Context, call func() error) error {
	for {
		err := call()
		if !isTransient(err) {
			return err
		}
		r.mu.Lock()
		r.lastTransientErr = err
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return errors.Join(context.Cause(ctx), err)
		case <-time.After(retryDelay(err)):
		}
		r.countRetry()
	}
}

// isTransient reports whether a call that failed with this error is worth a retry.
func isTransient(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.Aborted, codes.Internal, codes.ResourceExhausted, codes.DeadlineExceeded:
		return true
	}
	return false
}

// retryDelay returns the delay before the retry of a call that failed with this error.
func retryDelay(err error) time.Duration {
	delay := minRetryDelay
	for _, detail := range status.Convert(err).Details() {
		if info, ok := detail.(*errdetails.RetryInfo); ok {
			delay = min(maxRetryDelay, max(delay, info.GetRetryDelay().AsDuration()))
		}
	}
	return delay
}

// countRetry adds a retry to the report.
func (r *run) countRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Retries++
}
