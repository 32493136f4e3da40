package records

import (
	"time"

	"micaspindle/internal/retry"
)

var followBackoff = retry.Backoff{First: 266 * time.Millisecond, Most: 266 * time.Millisecond}
