package cluster

import (
	"math"
	"slices"
	"time"

	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
)

// CancellationNotices are the withdrawals that became known here of late, for the other
// controllers: one that the state service alone refuses hears of them from nobody else, and
// its workers still come to it. A notice may be lost; what a task may then outlive its job's
// withdrawal by is bounded by what its owner is informed of (42, 43). It belongs to the
// loop.
type CancellationNotices struct {
	list      []cancelledJob
	Limit     int
	retention time.Duration
}

// cancelledJob is a job and when that was at the earliest.
type cancelledJob struct {
	job string
	at  time.Time
}

// cancellationNoticesMin is how many withdrawals may be told at a time where few can be written.
const cancellationNoticesMin = 500

// SetLimit derives how many withdrawals are kept: each is a change of the state service, so
// that within cancel_s there can't be more than that accepts in as long and in one burst.
// One takes some 20 bytes of a message, 44 at most, and 100 of memory.
func (n *CancellationNotices) SetLimit(cancelS time.Duration, state settings.State) {
	changes := state.WriteRPS
	if next := state.Next.WriteRPS; next != nil {
		changes = max(changes, *next)
	}
	n.retention = cancelS
	n.Limit = max(cancellationNoticesMin, int(math.Ceil(changes*(cancelS.Seconds()+1))))
}

// Add adds a withdrawal and says whether there was room: those that are told already are
// more urgent than a newer one.
func (n *CancellationNotices) Add(job string, at time.Time) bool {
	if len(n.list) >= n.Limit {
		now := time.Now()
		n.list = slices.DeleteFunc(n.list, func(w cancelledJob) bool { return now.Sub(w.at) > n.retention })
	}
	if len(n.list) >= n.Limit {
		return false
	}
	n.list = append(n.list, cancelledJob{job, at})
	return true
}

// Recent is what there is to tell: a withdrawal for as long as a task of it may run.
func (n *CancellationNotices) Recent(now time.Time, keep time.Duration) (told []*peer.CancelledJob) {
	old := 0
	for old < len(n.list) && now.Sub(n.list[old].at) > keep {
		old++
	}
	n.list = n.list[old:]
	for _, w := range n.list {
		told = append(told, &peer.CancelledJob{Job: w.job, AgeMs: uint32(max(0, now.Sub(w.at).Milliseconds()))})
	}
	return told
}

// CancelledAt is when a job was withdrawn, at the earliest; zero: longer ago than is kept.
func (n *CancellationNotices) CancelledAt(job string) time.Time {
	for _, w := range n.list {
		if w.job == job {
			return w.at
		}
	}
	return time.Time{}
}
