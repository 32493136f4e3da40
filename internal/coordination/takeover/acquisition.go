package takeover

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/lease"
)

const (
	// resignationPause is the time for which a controller acquires no leases after it has resigned
	// because no heartbeats reached it.
	resignationPause = 10 * time.Second
	// startupSettleTime is the time since its start for which a controller counts as new, since it
	// may not have received the summaries of all other controllers yet.
	startupSettleTime = 5 * time.Second
	// startupDelay is the additional time for which a new controller leaves a vacant partition to
	// others.
	startupDelay = 2500 * time.Millisecond
	// delayPerPartition is the time for which a controller leaves a vacant partition to others for
	// each partition that it already leads.
	delayPerPartition = 400 * time.Millisecond
	// leadershipDelayPerIndex is the time for which a controller leaves the vacant cluster
	// leadership to each of the controllers before it in the order of labels.
	leadershipDelayPerIndex = 400 * time.Millisecond
	// standbyHeadStart is the time for which the other controllers leave a vacant partition to a
	// standby that has a replica of it.
	standbyHeadStart = 600 * time.Millisecond
)

// ShouldAcquirePartition reports whether to acquire the lease of a partition now. The standby acquires
// a vacant partition at once. The preferred leader does so too, unless a live standby exists, to which
// it leaves the partition for standbyHeadStart. Other controllers also wait until vacancyDelay has
// passed.
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

// vacancyDelay returns the time for which this controller leaves a vacant partition to others. It grows
// with the number of partitions that this controller leads.
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
