package commit

import (
	"time"

	"micaspindle/internal/retry"
)

// Pauses after a failure, by duty. They are spread and don't grow: the state service's
// budget makes duties wait already, and growing ones cost users what docs/retries.md
// says.
var commitBackoff = retry.Backoff{First: 200 * time.Millisecond, Most: 200 * time.Millisecond}
