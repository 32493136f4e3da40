package coordination

import (
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// news is the withdrawals that became known here of late, for the other controllers:
// one that the state service alone refuses hears of them from nobody else, and its
// workers still come to it. The news may be lost; what a task may then outlive its job's
// withdrawal by is bounded by what its owner is informed of (42, 43). It belongs to the
// loop.
type news struct {
	jobs []string
	at   []time.Time
}

// newsMost is how many withdrawals are told at a time, the newest.
const newsMost = 500

// note adds a withdrawal.
func (n *news) note(job string, now time.Time) {
	n.jobs, n.at = append(n.jobs, job), append(n.at, now)
	if over := len(n.jobs) - newsMost; over > 0 {
		n.jobs, n.at = n.jobs[over:], n.at[over:]
	}
}

// latest is what there is to tell: a withdrawal for as long as a task of it may run.
func (n *news) latest(now time.Time, keep time.Duration) []string {
	old := 0
	for old < len(n.at) && now.Sub(n.at[old]) > keep {
		old++
	}
	n.jobs, n.at = n.jobs[old:], n.at[old:]
	return n.jobs
}

// heardNews takes in what another controller has seen committed. Such a record never
// changes, so that it is as good as read, however late it comes.
func (c *Controller) heardNews(sum *peer.Summary) {
	for _, id := range sum.Withdrawn {
		if protocol.ValidID(id) {
			c.setFinal(id, protocol.StatusWithdrawn)
		}
	}
}
