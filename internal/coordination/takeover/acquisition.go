package takeover

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/lease"
)

const (
	// resignationPause is how long a controller acquires no leases after it has resigned because no
	// heartbeats reached it.
	resignationPause = 10 * time.Second
	// startupSettleTime is how long after its start a controller counts as new: it may not know all
	// other controllers yet.
	startupSettleTime = 5 * time.Second
	// startupDelay is the additional time for which a new controller leaves a vacant partition to
	// others.
	startupDelay = 2500 * time.Millisecond
	// delayPerPartition is the additional time, for each partition that a controller leads, for
	// which it leaves a vacant partition to others.
	delayPerPartition = 400 * time.Millisecond
	// leadershipDelayPerIndex is the additional time, for each controller before it in the order of
	// labels, for which a controller leaves the vacant cluster leadership to others.
	leadershipDelayPerIndex = 400 * time.Millisecond
	// standbyHeadStart is how long the other controllers leave a vacant partition to a standby that
	// has a replica of it.
	standbyHeadStart = 600 * time.Millisecond
)

// ShouldAcquirePartition reports whether to acquire the lease of a partition now. The standby acquires a
// vacant partition at once. So does the preferred leader, but it first gives a live standby a head
// start. Other controllers also wait for a delay that grows with the number of partitions they lead.
func (t *Takeover) ShouldAcquirePartition(p *cluster.Partition, now time.Time) bool {
	if p.Held || !t.mayAcquire(now) {
		return false
	}
	if p.LeaseRevision != 0 {
		// The holder is an earlier incarnation of this controller, or the release of the lease is not
		// recorded yet.
		return p.Leader == t.Settings.Label && now.Sub(p.AcquiredAt) > lease.ReleaseTimeout
	}
	if t.isStandbyFor(p.FormerLeader, t.AnnouncedStandby(p), now) {
		return true
	}
	if t.hasLiveStandby(p, now) && now.Sub(p.VacantSince) < standbyHeadStart {
		return false
	}
	if p.Index == t.SelfIndex {
		return true
	}
	return now.Sub(p.VacantSince) >= t.vacancyDelay(now)
}

// ShouldAcquireLeadership reports whether to acquire the cluster leadership now.
func (t *Takeover) ShouldAcquireLeadership(now time.Time) bool {
	leadership := &t.Leadership
	if leadership.Held || !t.mayAcquire(now) {
		return false
	}
	if leadership.Revision != 0 {
		return leadership.Holder == t.Settings.Label
	}
	if t.isStandbyFor(leadership.FormerHolder, "", now) {
		return true
	}
	return now.Sub(leadership.VacantSince) >= time.Duration(t.SelfIndex)*leadershipDelayPerIndex
}

// mayAcquire reports whether this controller may acquire any lease.
func (t *Takeover) mayAcquire(now time.Time) bool {
	resigned := !t.ResignedAt.IsZero() && now.Sub(t.ResignedAt) < resignationPause
	return t.Synced && !t.Draining && !resigned
}

// vacancyDelay returns how long this controller leaves a vacant partition to others.
func (t *Takeover) vacancyDelay(now time.Time) (delay time.Duration) {
	for _, p := range t.Partitions {
		if p.Held {
			delay += delayPerPartition
		}
	}
	if now.Sub(t.StartedAt) < startupSettleTime {
		delay += startupDelay
	}
	return delay
}
