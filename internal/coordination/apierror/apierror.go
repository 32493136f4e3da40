// Package apierror has the error with which a handler refuses a request: the status, the
// message for the caller, and when to try again.
package apierror

import (
	"errors"
	"fmt"
	"net/http"

	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/transport"
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

// New refuses a request that won't succeed by being repeated.
func New(status int, message string) error {
	return &Error{Status: status, Message: message}
}

// Newf is New with a formatted message.
func Newf(status int, format string, args ...any) error {
	return New(status, fmt.Sprintf(format, args...))
}

// Invalid refuses a request with a status because of what err says of its content. The
// message is the first line of it.
func Invalid(status int, err error) error {
	return New(status, respond.FirstLine(err))
}

// NotReady refuses a request that this controller can't serve yet, or no more.
func NotReady(message string, retryAfter int) error {
	return &Error{Status: http.StatusServiceUnavailable, Message: message, RetryAfter: retryAfter}
}

// Response is the answer that an error amounts to. An error that is no Error comes from the
// state store, and the request may succeed later.
func Response(err error) transport.Response {
	var refusal *Error
	if errors.As(err, &refusal) {
		return respond.Refuse(refusal.Status, refusal.Message, refusal.RetryAfter)
	}
	return respond.Unavailable(err)
}
