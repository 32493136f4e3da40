package cluster

import (
	"math"
	"slices"
	"time"

	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
)

// CancellationNotices are the recent cancellations known to this controller, to be sent to
// the other controllers. A controller that has lost only its connection to the state store
// still answers its agents' heartbeats, but receives cancellations only through these
// notices. A notice may be lost: the bound on the time for which a task may outlive its
// job's cancellation depends on State.UpToDateAt and not on notices (rules 42 and 43). The
// notices may be accessed only in the event loop.
type CancellationNotices struct {
	// list is in the order in which the notices were added.
	list []cancelledJob
	// Limit is the maximum number of notices.
	Limit int
	// retention is the time after which a notice is dropped.
	retention time.Duration
}

// cancelledJob is the id of a cancelled job and the earliest time at which it may have been
// cancelled.
type cancelledJob struct {
	job string
	at  time.Time
}

// minCancellationNotices is the lowest Limit, used where the state store accepts few
// writes.
const minCancellationNotices = 500

// SetLimit computes Limit. Each cancellation is a write to the state store, so the number
// of cancellations within cancelBound is at most the number of writes that the store
// accepts in that time and in one burst. A notice takes about 20 bytes of a message, at
// most 44, and 100 bytes of memory.
func (n *CancellationNotices) SetLimit(cancelBound time.Duration, state settings.StateStoreLimits) {
	writesPerSecond := state.WriteRPS
	if next := state.Next.WriteRPS; next != nil {
		writesPerSecond = max(writesPerSecond, *next)
	}
	n.retention = cancelBound
	n.Limit = max(minCancellationNotices, int(math.Ceil(writesPerSecond*(cancelBound.Seconds()+1))))
}

// Add adds a notice and reports whether the limit allowed it. A full list keeps its
// notices, since they are more urgent than a newer one.
func (n *CancellationNotices) Add(job string, at time.Time) bool {
	if len(n.list) >= n.Limit {
		now := time.Now()
		n.list = slices.DeleteFunc(n.list, func(c cancelledJob) bool { return now.Sub(c.at) > n.retention })
	}
	if len(n.list) >= n.Limit {
		return false
	}
	n.list = append(n.list, cancelledJob{job, at})
	return true
}

// Recent drops the notices that are older than maxAge and returns the others.
func (n *CancellationNotices) Recent(now time.Time, maxAge time.Duration) (recent []*peer.CancelledJob) {
	old := 0
	for old < len(n.list) && now.Sub(n.list[old].at) > maxAge {
		old++
	}
	n.list = n.list[old:]
	for _, c := range n.list {
		recent = append(recent, &peer.CancelledJob{Job: c.job, AgeMs: uint32(max(0, now.Sub(c.at).Milliseconds()))})
	}
	return recent
}

// CancelledAt returns the earliest time at which a job may have been cancelled, or zero if
// there is no notice for the job.
func (n *CancellationNotices) CancelledAt(job string) time.Time {
	for _, c := range n.list {
		if c.job == job {
			return c.at
		}
	}
	return time.Time{}
}
