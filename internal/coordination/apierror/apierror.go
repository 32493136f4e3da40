// Package apierror has the error with which a handler refuses a request: the status, the
// message for the caller, and when to try again. It also makes the response to an error.
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

// messageBytes is how much of an invalid request's error is shown, in bytes.
const messageBytes = 200

// The errors that stand for an answer which the state store did not give.
var (
	errOverBudget       = &Error{Status: http.StatusTooManyRequests, Message: "over budget", RetryAfter: 1}
	errStoreUnavailable = &Error{Status: http.StatusServiceUnavailable, Message: "state service unavailable", RetryAfter: 1}
)

// Error refuses a request.
type Error struct {
	// Status is the HTTP status of the answer.
	Status int
	// Message is for the caller.
	Message string
	// RetryAfter is in how many seconds the caller should try again; 0 says nothing of it.
	RetryAfter int
}

func (e *Error) Error() string { return e.Message }

// response is the answer that refuses the request.
func (e *Error) response() transport.Response {
	return transport.Response{Status: e.Status, Body: protocol.Encode(protocol.Problem{Error: e.Message}), RetryAfter: e.RetryAfter}
}

// New refuses a request that won't succeed by being repeated.
func New(status int, message string) error {
	return &Error{Status: status, Message: message}
}

// Newf is New with a formatted message.
func Newf(status int, format string, args ...any) error {
	return New(status, fmt.Sprintf(format, args...))
}

// Invalid refuses a request with a status because of what err says of its content. The
// message is the first line of it, cut to messageBytes.
func Invalid(status int, err error) error {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return New(status, line[:min(len(line), messageBytes)])
}

// NotReady refuses a request that this controller can't serve yet, or no more.
func NotReady(message string, retryAfter int) error {
	return &Error{Status: http.StatusServiceUnavailable, Message: message, RetryAfter: retryAfter}
}

// Response is the answer that an error amounts to. An error that is no Error comes from the
// state store, and the request may succeed later: it is answered with 429 if this controller's
// own budget refused it, and with 503 otherwise.
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
