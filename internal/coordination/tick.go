package coordination

import (
	"maps"
	"time"
)

const (
	// deletedMachineRetention is for how long late heartbeats of a deleted machine are
	// recognized.
	deletedMachineRetention = 10 * time.Minute
	// divertedMachineRetention is for how long a machine counts as diverted after it last
	// sent a heartbeat to this controller.
	divertedMachineRetention = 5 * time.Second
)

// tick does what is due by time, every eventloop.TickInterval, in the loop.
func (c *Controller) tick(now time.Time) {
	c.agents.CheckMachines(now)
	c.leases.CheckReachability(now)
	c.revokeDeadPeers(now)
	c.shareWriteRate(now)
	c.proxy.Rebalance(now)
	c.servePartitions(now)
	dropOlder(c.DeletedMachines, now, deletedMachineRetention)
	dropOlder(c.DivertedMachines, now, divertedMachineRetention)
}

// revokeDeadPeers revokes the leases of controllers that are dead, ahead of their expiry.
func (c *Controller) revokeDeadPeers(now time.Time) {
	for label, p := range c.Peers {
		c.leases.RevokeIfDead(label, p, now)
	}
}

// servePartitions chooses standbys for the partitions that this controller serves, and
// brings their work forward.
func (c *Controller) servePartitions(now time.Time) {
	for _, p := range c.Partitions {
		if p.Held && p.Ready {
			c.takeover.ChooseStandby(p, now)
			p.Wake()
		}
	}
}

// shareWriteRate divides the state store's write rate by what the controllers want. One that
// is not alive counts as wanting what the others want on average.
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

// dropOlder drops the entries whose time is longer ago than maxAge.
func dropOlder(times map[string]time.Time, now time.Time, maxAge time.Duration) {
	maps.DeleteFunc(times, func(_ string, at time.Time) bool { return now.Sub(at) > maxAge })
}
