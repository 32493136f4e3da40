package autoscaler

import (
	"time"

	"micaspindle/internal/retry"
)

var recordBackoff = retry.Backoff{First: 666 * time.Millisecond, Most: 666 * time.Millisecond}

var cloudBackoff = retry.Backoff{First: 1333 * time.Millisecond, Most: 1333 * time.Millisecond}
