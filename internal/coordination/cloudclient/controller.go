package cloudclient

import (
	"time"

	"micaspindle/internal/retry"
)

// cloudRestBackoff is how long the cloud's interface is left alone after it did not
// answer many times in a row.
var cloudRestBackoff = retry.Backoff{First: 600 * time.Millisecond, Most: 600 * time.Millisecond}

// cloudFailureLimit is how many times in a row that is.
const cloudFailureLimit = 10
