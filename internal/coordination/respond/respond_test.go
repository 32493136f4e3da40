package respond

import (
	"errors"
	"fmt"
	"testing"

	"micaspindle/internal/storage"
)

// A refusal by the controller's own budget is told from one by the state store, whatever the
// words of the error.
func TestUnavailableTellsBudgetFromOutage(t *testing.T) {
	for _, tc := range []struct {
		name   string
		err    error
		status int
	}{
		{"budget", storage.ErrBudget, 429},
		{"wrapped budget", fmt.Errorf("reading: %w: late", storage.ErrBudget), 429},
		{"refused", storage.ErrRefused, 503},
		{"refused, with the word", fmt.Errorf("%w: job budget-report", storage.ErrRefused), 503},
		{"unanswered", storage.ErrUnknown, 503},
		{"joined", errors.Join(storage.ErrUnknown, storage.ErrNotFound), 503},
	} {
		if response := Unavailable(tc.err); response.Status != tc.status || response.RetryAfter != 1 {
			t.Errorf("%s: status %d, retry after %d, want %d and 1", tc.name, response.Status, response.RetryAfter, tc.status)
		}
	}
}
