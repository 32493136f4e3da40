package coordination

import (
	"context"
	"time"

	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// quietFor is how long a planned end waits for answers to orders and commits.
const (
	drainTimeout      = 150 * time.Millisecond
	drainPollInterval = 5 * time.Millisecond
)

// HandOver gives what this controller has to whoever is to take it over, ahead of a
// planned end: it starts nothing more, has orders and commits answered, answers nobody
// any more, and only then lets its claims go, in this order (36). Each step is bounded,
// and to end in the middle of it is a loss like any other. Where nobody can take over it
// merely ends: its next life takes its claims back at once.
func (c *Controller) HandOver(ctx context.Context) {
	begun := time.Now()
	f := &c.replicator
	able := false
	c.loop.Do(func() {
		c.Draining = true
		able = failover.ChooseStandby(c.Settings.Label, c.Settings.Zone, f.Candidates(begun)) != ""
	})
	if !able {
		c.log.Info("ending without a hand-over", "reason", "no other controller is heard")
		return
	}
	quiet, cancel := context.WithTimeout(ctx, drainTimeout)
	f.SendUpdates(quiet)
	for busy := true; busy && quiet.Err() == nil; time.Sleep(drainPollInterval) {
		c.loop.Do(func() { busy = f.Busy() })
	}
	cancel()
	var letGo []storage.ReleasedLease
	leader := uint64(0)
	c.loop.Do(func() {
		for _, p := range c.Partitions {
			if p.Held {
				letGo = append(letGo, storage.ReleasedLease{Partition: p.Index, LeaseRevision: p.LeaseRevision})
				c.LosePartition(p, "handed over")
			}
		}
		if c.Leadership.Held {
			leader = c.Leadership.Revision
			c.DropLeadership("handed over")
		}
	})
	group := max(1, c.store.TxnOps()-2)
	for len(letGo) > 0 || leader != 0 {
		n := min(group, len(letGo))
		var txn *protocol.Transaction
		c.loop.Do(func() { txn = c.releaseTransaction(letGo[:n], leader) })
		if txn == nil || !c.releaseLeases(ctx, txn) {
			return
		}
		c.metrics.Count(telemetry.HandedOver, n)
		c.log.Info("handed over", "parts", n, "leader", leader != 0, "after", time.Since(begun))
		letGo, leader = letGo[n:], 0
	}
}

// Busy says whether answers to orders or commits of own parts are waited for.
func (f *Replicator) Busy() bool {
	c := f.c
	for _, p := range c.Partitions {
		if p.Held && p.Committing {
			return true
		}
	}
	for _, m := range c.Machines {
		if m.PendingCommands > 0 && c.Partitions[m.Record.Partition].Held {
			return true
		}
	}
	return false
}
