package audit

import (
	"errors"
	"testing"

	"micaspindle/internal/storage"
)

// Users get status 429, and not 503, when the log is overloaded.
func TestOverloadIsABudgetError(t *testing.T) {
	if !errors.Is(errOverloaded, storage.ErrBudget) || !errors.Is(errOverloaded, storage.ErrRefused) {
		t.Errorf("error %q does not wrap storage.ErrBudget and storage.ErrRefused", errOverloaded)
	}
}
