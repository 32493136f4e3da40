package auth

import (
	"testing"

	"micaspindle/internal/coordination/apierror"
)

// A caller that exceeds the rate limit for unknown jobs gets 429, not 503.
func TestUnknownJobLimitIsAnsweredWith429(t *testing.T) {
	if status := apierror.Response(errUnknownJobBudget).Status; status != 429 {
		t.Errorf("response to errUnknownJobBudget: got status %d, want 429", status)
	}
}
