package jobs

import (
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// ApplyCancellationNotices takes in what another controller has seen committed. Such a record never
// changes, so that it is as good as read, however late it comes.
func (tr *Tracker) ApplyCancellationNotices(sum *peer.Summary, now time.Time) {
	for _, w := range sum.Cancelled {
		if protocol.ValidID(w.Job) {
			tr.SetFinal(w.Job, protocol.StatusWithdrawn, now.Add(-time.Duration(w.AgeMs)*time.Millisecond))
		}
	}
}
