package coordination

import (
	"context"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/standby"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
)

// quietFor is how long a planned end waits for answers to orders and commits.
const (
	quietFor   = 150 * time.Millisecond
	quietPause = 5 * time.Millisecond
)

// HandOver gives what this controller has to whoever is to take it over, ahead of a
// planned end: it starts nothing more, has orders and commits answered, answers nobody
// any more, and only then lets its claims go, in this order (36). Each step is bounded,
// and to end in the middle of it is a loss like any other. Where nobody can take over it
// merely ends: its next life takes its claims back at once.
func (c *Controller) HandOver(ctx context.Context) {
	begun := time.Now()
	f := &c.following
	able := false
	c.do(func() {
		c.leaving = true
		able = standby.Choose(c.set.Label, c.set.Zone, f.candidates(begun)) != ""
	})
	if !able {
		c.log.Info("ending without a hand-over", "reason", "no other controller is heard")
		return
	}
	quiet, cancel := context.WithTimeout(ctx, quietFor)
	f.tellAll(quiet)
	for busy := true; busy && quiet.Err() == nil; time.Sleep(quietPause) {
		c.do(func() { busy = f.busy() })
	}
	cancel()
	var letGo []bookkeeping.Release
	leader := uint64(0)
	c.do(func() {
		for _, p := range c.parts {
			if p.mine {
				letGo = append(letGo, bookkeeping.Release{Part: p.index, Claim: p.version})
				c.lose(p, "handed over")
			}
		}
		if c.leader.mine {
			leader = c.leader.version
			c.dropLead("handed over")
		}
	})
	group := max(1, c.store.TxnOps()-2)
	for len(letGo) > 0 || leader != 0 {
		n := min(group, len(letGo))
		var txn *protocol.Transaction
		c.do(func() { txn = c.relinquish(letGo[:n], leader) })
		if txn == nil || !c.releaseClaims(ctx, txn) {
			return
		}
		c.metrics.Count(observe.HandedOver, n)
		c.log.Info("handed over", "parts", n, "leader", leader != 0, "after", time.Since(begun))
		letGo, leader = letGo[n:], 0
	}
}

// busy says whether answers to orders or commits of own parts are waited for.
func (f *following) busy() bool {
	c := f.c
	for _, p := range c.parts {
		if p.mine && p.committing {
			return true
		}
	}
	for _, m := range c.machines {
		if m.pendingOrders > 0 && c.parts[m.rec.Part].mine {
			return true
		}
	}
	return false
}
