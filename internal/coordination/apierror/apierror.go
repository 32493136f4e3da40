// Package apierror defines the error that a handler returns to reject a request. It carries the
// HTTP status, the message for the caller and the Retry-After delay. The package also converts
// errors to HTTP responses.
package apierror

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// maxMessageBytes is the maximum length of the message of Invalid, in bytes.
const maxMessageBytes = 200

// The errors reported to the caller when a request to the state store failed.
var (
	errOverBudget       = &Error{Status: http.StatusTooManyRequests, Message: "over budget", RetryAfter: 1}
	errStoreUnavailable = &Error{Status: http.StatusServiceUnavailable, Message: "state service unavailable", RetryAfter: 1}
)

// Error is the reason for rejecting a request, with its HTTP status.
type Error struct {
	// Status is the HTTP status of the response.
	Status int
	// Message is shown to the caller.
	Message string
	// RetryAfter is the value of the Retry-After header, in seconds; 0 omits the header.
	RetryAfter int
}

func (e *Error) Error() string { return e.Message }

// response returns the HTTP response with the error's status and message.
func (e *Error) response() transport.Response {
	return transport.Response{Status: e.Status, Body: protocol.Encode(protocol.Problem{Error: e.Message}), RetryAfter: e.RetryAfter}
}

// New returns an Error without a Retry-After header, for a request that would fail again.
func New(status int, message string) error {
	return &Error{Status: status, Message: message}
}

// Newf is like New, with a formatted message.
func Newf(status int, format string, args ...any) error {
	return New(status, fmt.Sprintf(format, args...))
}

// Invalid returns an Error for a request whose content is invalid. The message is the first line
// of err, truncated to maxMessageBytes.
func Invalid(status int, err error) error {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return New(status, line[:min(len(line), maxMessageBytes)])
}

// NotReady returns an Error with status 503, for a request that this controller can't serve yet
// or can no longer serve. The caller may retry after retryAfter seconds.
func NotReady(message string, retryAfter int) error {
	return &Error{Status: http.StatusServiceUnavailable, Message: message, RetryAfter: retryAfter}
}

// Response converts an error to an HTTP response. Any error other than an Error comes from the
// state store, and the request may succeed later: the status is 429 if this controller's own
// request budget was exhausted, and 503 otherwise.
func Response(err error) transport.Response {
	var refusal *Error
	switch {
	case errors.As(err, &refusal):
		return refusal.response()
	case errors.Is(err, storage.ErrBudget):
		return errOverBudget.response()
	}
	return errStoreUnavailable.response()
}
