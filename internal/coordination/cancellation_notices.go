package coordination

import (
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// cancellationNotices are the withdrawals that became known here of late, for the other
// controllers: one that the state service alone refuses hears of them from nobody else, and
// its workers still come to it. A notice may be lost; what a task may then outlive its job's
// withdrawal by is bounded by what its owner is informed of (42, 43). It belongs to the
// loop.
type cancellationNotices struct{ list []withdrawn }

// withdrawn is a job and when that was at the earliest.
type withdrawn struct {
	job string
	at  time.Time
}

// noticesMost is how many withdrawals are told at a time, the newest.
const noticesMost = 500

// note adds a withdrawal.
func (n *cancellationNotices) note(job string, at time.Time) {
	n.list = append(n.list, withdrawn{job, at})
	n.list = n.list[max(0, len(n.list)-noticesMost):]
}

// latest is what there is to tell: a withdrawal for as long as a task of it may run.
func (n *cancellationNotices) latest(now time.Time, keep time.Duration) (told []*peer.Withdrawn) {
	old := 0
	for old < len(n.list) && now.Sub(n.list[old].at) > keep {
		old++
	}
	n.list = n.list[old:]
	for _, w := range n.list {
		told = append(told, &peer.Withdrawn{Job: w.job, AgeMs: uint32(max(0, now.Sub(w.at).Milliseconds()))})
	}
	return told
}

// since is when a job was withdrawn, at the earliest; zero: longer ago than is kept.
func (n *cancellationNotices) since(job string) time.Time {
	for _, w := range n.list {
		if w.job == job {
			return w.at
		}
	}
	return time.Time{}
}

// heardNotices takes in what another controller has seen committed. Such a record never
// changes, so that it is as good as read, however late it comes.
func (c *Controller) heardNotices(sum *peer.Summary, now time.Time) {
	for _, w := range sum.Withdrawn {
		if protocol.ValidID(w.Job) {
			c.setFinal(w.Job, protocol.StatusWithdrawn, now.Add(-time.Duration(w.AgeMs)*time.Millisecond))
		}
	}
}
