package takeover

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/lease"
)

const (
	// resignedPause is how long a controller that has resigned acquires nothing.
	resignedPause = 10 * time.Second
	// startSettleTime is how long after its start a controller knows too little of the others to
	// take over like one that has been there.
	startSettleTime = 5 * time.Second
	// startDelay is how much longer it leaves a vacant partition to others until then.
	startDelay = 2500 * time.Millisecond
	// delayPerPartition is how much longer a controller leaves a vacant partition to others for
	// each partition that it holds.
	delayPerPartition = 400 * time.Millisecond
	// leadershipDelayPerIndex is how much longer a controller leaves a vacant leadership to
	// others for each that stands before it in the order of labels.
	leadershipDelayPerIndex = 400 * time.Millisecond
	// standbyHeadStart is how long the others leave a partition to the standby that has a
	// replica of it.
	standbyHeadStart = 600 * time.Millisecond
)

// WantsPartition says whether to acquire the lease of a partition now: its own partition at
// once, one that became vacant after a delay that is longer the more partitions are held.
func (t *Takeover) WantsPartition(p *cluster.Partition, now time.Time) bool {
	if p.Held || !t.mayAcquire(now) {
		return false
	}
	if p.LeaseRevision != 0 {
		// Held by a former incarnation, or its release is not on record yet.
		return p.Leader == t.Settings.Label && now.Sub(p.AcquiredAt) > lease.ReleaseTimeout
	}
	if t.isStandbyFor(p.FormerLeader, t.AnnouncedStandby(p), now) {
		return true
	}
	if t.liveStandby(p, now) && now.Sub(p.VacantSince) < standbyHeadStart {
		return false
	}
	if p.Index == t.SelfIndex {
		return true
	}
	return now.Sub(p.VacantSince) >= t.vacancyDelay(now)
}

// WantsLeadership says whether to acquire the cluster leadership now.
func (t *Takeover) WantsLeadership(now time.Time) bool {
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

// mayAcquire says whether this controller may acquire leases at all.
func (t *Takeover) mayAcquire(now time.Time) bool {
	resigned := !t.ResignedAt.IsZero() && now.Sub(t.ResignedAt) < resignedPause
	return t.Synced && !t.Draining && !resigned
}

// vacancyDelay is how long this controller leaves a vacant partition to the others.
func (t *Takeover) vacancyDelay(now time.Time) (delay time.Duration) {
	for _, p := range t.Partitions {
		if p.Held {
			delay += delayPerPartition
		}
	}
	if now.Sub(t.StartedAt) < startSettleTime {
		delay += startDelay
	}
	return delay
}
