package takeover

import (
	"time"

	"micaspindle/internal/retry"
)

var takeoverBackoff = retry.Backoff{First: 266 * time.Millisecond, Most: 266 * time.Millisecond}
