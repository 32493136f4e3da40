package cluster

import (
	"math"
	"slices"
	"time"

	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
)

// CancellationNotices are the cancellations that became known here recently, for the other
// controllers: one that only the state store refuses learns of them from nobody else, and
// its agents still come to it. A notice may be lost: what bounds how long a task may outlive
// its job's cancellation is what its leader is informed of (rules 42 and 43). They belong to
// the event loop.
type CancellationNotices struct {
	// list is in the order in which notices were added.
	list []cancelledJob
	// Limit is how many notices are stored.
	Limit int
	// retention is for how long a notice is of use.
	retention time.Duration
}

// cancelledJob is a cancelled job's id and when it was cancelled, at the earliest.
type cancelledJob struct {
	job string
	at  time.Time
}

// cancellationNoticesMin is the least Limit, where the state store takes few writes.
const cancellationNoticesMin = 500

// SetLimit derives how many notices are stored: each is a write to the state store, so that
// within the cancel bound there can't be more than the store takes in that time and in one
// burst. A notice takes some 20 bytes of a message, 44 at most, and 100 of memory.
func (n *CancellationNotices) SetLimit(cancelBound time.Duration, state settings.StateStoreLimits) {
	writesPerSecond := state.WriteRPS
	if next := state.Next.WriteRPS; next != nil {
		writesPerSecond = max(writesPerSecond, *next)
	}
	n.retention = cancelBound
	n.Limit = max(cancellationNoticesMin, int(math.Ceil(writesPerSecond*(cancelBound.Seconds()+1))))
}

// Add adds a notice and says whether there was room: those that are there already are more
// urgent than a newer one.
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

// Recent are the notices of the last maxAge; older ones are dropped.
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

// CancelledAt is when a job was cancelled, at the earliest; zero: longer ago than notices
// are stored, or not at all.
func (n *CancellationNotices) CancelledAt(job string) time.Time {
	for _, c := range n.list {
		if c.job == job {
			return c.at
		}
	}
	return time.Time{}
}
