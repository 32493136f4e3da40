package auth

import (
	"testing"

	"micaspindle/internal/coordination/apierror"
)

// Who asks too often for unknown jobs is answered 429, not that the state store is unavailable.
func TestRefusalForUnknownJobsIsOfTheBudget(t *testing.T) {
	if status := apierror.Response(errUnknownJobBudget).Status; status != 429 {
		t.Errorf("status %d, want 429", status)
	}
}
