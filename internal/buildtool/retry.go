package buildtool

import (
	"context"
	"errors"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// The delay before a call is repeated, unless the front end asks for a longer one, and at
// most.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// retry repeats a call while its error is transient.
func (r *run) retry(ctx context.Context, call func() error) error {
	for {
		err := call()
		if !isTransient(err) {
			return err
		}
		r.mu.Lock()
		r.lastFailure = err
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return errors.Join(context.Cause(ctx), err)
		case <-time.After(retryDelay(err)):
		}
		r.countRetry()
	}
}

// isTransient reports whether a call with this error may succeed later.
func isTransient(err error) bool {
	switch status.Code(err) {
	case codes.Unavailable, codes.Aborted, codes.Internal, codes.ResourceExhausted, codes.DeadlineExceeded:
		return true
	}
	return false
}

// retryDelay returns how long to wait before a call with this error is repeated.
func retryDelay(err error) time.Duration {
	delay := minRetryDelay
	for _, detail := range status.Convert(err).Details() {
		if info, ok := detail.(*errdetails.RetryInfo); ok {
			delay = min(maxRetryDelay, max(delay, info.GetRetryDelay().AsDuration()))
		}
	}
	return delay
}

// countRetry counts a repeated call.
func (r *run) countRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Retries++
}
