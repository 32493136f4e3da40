package coordination

import (
	"maps"
	"time"
)

const (
	// deletedMachineRetention is the time for which a deleted machine is kept in memory, to
	// recognize its late heartbeats.
	deletedMachineRetention = 10 * time.Minute
	// divertedMachineRetention is the time for which a machine of another controller's
	// partition counts as diverted to this controller after its last heartbeat here.
	divertedMachineRetention = 5 * time.Second
)

// tick does the periodic work of the components. It is called in the event loop every
// eventloop.TickInterval.
func (c *Controller) tick(now time.Time) {
	c.agents.CheckMachines(now)
	c.leases.CheckReachability(now)
	c.revokeDeadPeers(now)
	c.shareWriteRate(now)
	c.proxy.Rebalance(now)
	c.tickPartitions(now)
	dropOlder(c.DeletedMachines, now, deletedMachineRetention)
	dropOlder(c.DivertedMachines, now, divertedMachineRetention)
}

// revokeDeadPeers revokes the leases of dead controllers before they expire.
func (c *Controller) revokeDeadPeers(now time.Time) {
	for label, p := range c.Peers {
		c.leases.RevokeIfDead(label, p, now)
	}
}

// tickPartitions chooses the standby of each partition that this controller leads, reports its
// waiting jobs, and wakes the partition's commit loop.
func (c *Controller) tickPartitions(now time.Time) {
	for _, p := range c.Partitions {
		if p.Held && p.Ready {
			c.takeover.ChooseStandby(p, now)
			c.scheduler.ReportWaitingJobs(p, now)
			p.Wake()
		}
	}
}

// shareWriteRate sets this controller's share of the state store's write rate in proportion to
// the write demands of the controllers. A controller that is not alive is assumed to have the
// average demand of the others.
func (c *Controller) shareWriteRate(now time.Time) {
	c.WriteDemand = c.store.WriteDemand(now)
	total, alive := c.WriteDemand, 1.0
	for _, p := range c.Peers {
		if p.Alive(now) {
			total += p.Summary.WriteDemand
			alive++
		}
	}
	controllers := float64(len(c.Peers) + 1)
	c.store.ShareWriteRate(c.WriteDemand, total*controllers/alive)
}

// dropOlder deletes the entries that are older than maxAge.
func dropOlder(times map[string]time.Time, now time.Time, maxAge time.Duration) {
	maps.DeleteFunc(times, func(_ string, at time.Time) bool { return now.Sub(at) > maxAge })
}
