// Package respond makes the answers that refuse a request.
package respond

import (
	"errors"
	"strings"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

func FirstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line[:min(len(line), 200)]
}

// Unavailable is the answer while the state service can't be asked.
func Unavailable(err error) transport.Response {
	if errors.Is(err, storage.ErrRefused) && strings.Contains(err.Error(), "budget") {
		return Refuse(429, "over budget", 1)
	}
	return Refuse(503, "state service unavailable", 1)
}

// Refuse answers at once with a reason and when to come back.
func Refuse(status int, reason string, retryAfter int) transport.Response {
	return transport.Response{Status: status, Body: protocol.Encode(protocol.Problem{Error: reason}), RetryAfter: retryAfter}
}
