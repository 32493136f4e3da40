package apierror

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// errorResponse returns the expected response to an error.
func errorResponse(status int, message string, retryAfter int) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(protocol.Problem{Error: message}), RetryAfter: retryAfter}
}

// TestResponse compares the responses to errors byte for byte.
func TestResponse(t *testing.T) {
	for _, tc := range []struct {
		err  error
		want transport.Response
	}{
		{New(404, "no such job"), errorResponse(404, "no such job", 0)},
		{Newf(409, "the job is %s already", "done"), errorResponse(409, "the job is done already", 0)},
		{Invalid(400, fmt.Errorf("bad\nworse")), errorResponse(400, "bad", 0)},
		{Invalid(400, errors.New(strings.Repeat("x", 300))), errorResponse(400, strings.Repeat("x", 200), 0)},
		{NotReady("stopping", 1), errorResponse(503, "stopping", 1)},
		{fmt.Errorf("submit: %w", NotReady("stopping", 2)), errorResponse(503, "stopping", 2)},
		{fmt.Errorf("poll: %w", storage.ErrBudget), errorResponse(429, "over budget", 1)},
		{storage.ErrRefused, errorResponse(503, "state service unavailable", 1)},
		{storage.ErrUnknown, errorResponse(503, "state service unavailable", 1)},
	} {
		if got := Response(tc.err); !reflect.DeepEqual(got, tc.want) {
			t.Errorf("Response(%v): got %+v, want %+v", tc.err, got, tc.want)
		}
	}
}

// Only errors that wrap storage.ErrBudget get status 429, regardless of the error's text.
func TestResponseTellsBudgetFromOutage(t *testing.T) {
	for _, tc := range []struct {
		name   string
		err    error
		status int
	}{
		{"budget", storage.ErrBudget, 429},
		{"wrapped budget", fmt.Errorf("reading: %w: late", storage.ErrBudget), 429},
		{"refused", storage.ErrRefused, 503},
		{"refused, message contains budget", fmt.Errorf("%w: job budget-report", storage.ErrRefused), 503},
		{"unanswered", storage.ErrUnknown, 503},
		{"joined", errors.Join(storage.ErrUnknown, storage.ErrNotFound), 503},
	} {
		if response := Response(tc.err); response.Status != tc.status || response.RetryAfter != 1 {
			t.Errorf("%s: got status %d and Retry-After %d, want %d and 1", tc.name, response.Status, response.RetryAfter, tc.status)
		}
	}
}
