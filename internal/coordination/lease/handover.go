package lease

import (
	"context"
	"time"

	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// quietFor is how long a planned end waits for answers to orders and commits.
const drainTimeout = 150 * time.Millisecond

const drainPollInterval = 5 * time.Millisecond

// HandOver gives what this controller has to whoever is to take it over, ahead of a
// planned end: it starts nothing more, has orders and commits answered, answers nobody
// any more, and only then lets its claims go, in this order (36). Each step is bounded,
// and to end in the middle of it is a loss like any other. Where nobody can take over it
// merely ends: its next life takes its claims back at once.
func (lh *Holder) HandOver(ctx context.Context) {
	begun := time.Now()
	able := false
	lh.loop.Do(func() {
		lh.Draining = true
		able = failover.ChooseStandby(lh.Settings.Label, lh.Settings.Zone, lh.Candidates(begun)) != ""
	})
	if !able {
		lh.log.Info("ending without a hand-over", "reason", "no other controller is heard")
		return
	}
	quiet, cancel := context.WithTimeout(ctx, drainTimeout)
	lh.replicator.SendUpdates(quiet)
	for busy := true; busy && quiet.Err() == nil; time.Sleep(drainPollInterval) {
		lh.loop.Do(func() { busy = lh.Busy() })
	}
	cancel()
	var letGo []storage.ReleasedLease
	leader := uint64(0)
	lh.loop.Do(func() {
		for _, p := range lh.Partitions {
			if p.Held {
				letGo = append(letGo, storage.ReleasedLease{Partition: p.Index, LeaseRevision: p.LeaseRevision})
				lh.LosePartition(p, "handed over")
			}
		}
		if lh.Leadership.Held {
			leader = lh.Leadership.Revision
			lh.autoscaler.DropLeadership("handed over")
		}
	})
	group := max(1, lh.store.TxnOps()-2)
	for len(letGo) > 0 || leader != 0 {
		n := min(group, len(letGo))
		var txn *protocol.Transaction
		lh.loop.Do(func() { txn = lh.releaseTransaction(letGo[:n], leader) })
		if txn == nil || !lh.releaseLeases(ctx, txn) {
			return
		}
		lh.metrics.Count(telemetry.PartitionHandedOver, n)
		lh.log.Info("handed over", "parts", n, "leader", leader != 0, "after", time.Since(begun))
		letGo, leader = letGo[n:], 0
	}
}

// Busy says whether answers to orders or commits of own parts are waited for.
func (lh *Holder) Busy() bool {
	for _, p := range lh.Partitions {
		if p.Held && p.Committing {
			return true
		}
	}
	for _, m := range lh.Machines {
		if m.PendingCommands > 0 && lh.Partitions[m.Record.Partition].Held {
			return true
		}
	}
	return false
}
