// Package respond makes the answers that refuse a request.
package respond

import (
	"errors"
	"strings"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// reasonBytes is how much of an error a refusal shows, in bytes.
const reasonBytes = 200

// FirstLine is the first line of an error's text, cut to what a refusal may show.
func FirstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line[:min(len(line), reasonBytes)]
}

// Unavailable answers a request that the state store could not be asked about: 429 if this
// controller's own budget refused it, 503 otherwise.
func Unavailable(err error) transport.Response {
	if errors.Is(err, storage.ErrBudget) {
		return Refuse(429, "over budget", 1)
	}
	return Refuse(503, "state service unavailable", 1)
}

// Refuse answers at once, with a reason and after how many seconds to come back; 0: not said.
func Refuse(status int, reason string, retryAfter int) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(protocol.Problem{Error: reason}), RetryAfter: retryAfter}
}
