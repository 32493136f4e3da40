package audit

import (
	"errors"
	"testing"

	"micaspindle/internal/storage"
)

// Users are answered 429, and not that the state store is unavailable, when the log is behind.
func TestRefusalOfALogThatIsBehindIsOfTheBudget(t *testing.T) {
	if !errors.Is(errBehind, storage.ErrBudget) || !errors.Is(errBehind, storage.ErrRefused) {
		t.Errorf("%v is no refusal by the budget", errBehind)
	}
}
