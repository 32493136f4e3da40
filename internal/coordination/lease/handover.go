package lease

import (
	"context"
	"time"

	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

const (
	// drainTimeout is how long a planned end waits for replica updates, and for the answers to
	// commands and commits.
	drainTimeout = 150 * time.Millisecond
	// drainPollInterval is how often it looks whether these answers have come.
	drainPollInterval = 5 * time.Millisecond
	// releaseOverhead is how many operations of a release are not a partition's: the end of the
	// leadership's lease and the incarnation record.
	releaseOverhead = 2
)

// HandOver hands the leases of this controller over to its standbys, ahead of a planned end: it
// starts nothing more, has commands and commits answered, answers no agent any more, and only
// then releases its leases, in this order (rule 36). Each step is bounded, and to end in the
// middle of it is a loss like any other. Where nobody can take over it merely ends: its next
// incarnation acquires its leases at once.
func (h *Holder) HandOver(ctx context.Context) {
	begun := time.Now()
	if !h.startDraining(begun) {
		h.log.Info("ending without a handover", "reason", "no other controller is alive")
		return
	}
	h.drain(ctx)
	released, leadership := h.stopActing()
	batch := max(1, h.store.TxnOps()-releaseOverhead)
	for len(released) > 0 || leadership != 0 {
		count := min(batch, len(released))
		var txn *protocol.Transaction
		h.loop.Do(func() { txn = h.releaseTransaction(released[:count], leadership) })
		if txn == nil || !h.releaseLeases(ctx, txn) {
			return
		}
		h.metrics.Count(telemetry.PartitionHandedOver, count)
		h.log.Info("partition leases handed over", "count", count, "leadership", leadership != 0, "after", time.Since(begun))
		released, leadership = released[count:], 0
	}
}

// startDraining stops new work, and says whether another controller can take over.
func (h *Holder) startDraining(now time.Time) (successor bool) {
	h.loop.Do(func() {
		h.Draining = true
		successor = failover.ChooseStandby(h.Settings.Label, h.Settings.Zone, h.FailoverCandidates(now)) != ""
	})
	return successor
}

// drain sends the last replica updates, and waits until commands and commits are answered or
// drainTimeout is over.
func (h *Holder) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	h.replicator.SendUpdates(ctx)
	for busy := true; busy && ctx.Err() == nil; time.Sleep(drainPollInterval) {
		h.loop.Do(func() { busy = h.Busy() })
	}
}

// stopActing stops acting under all leases, and returns those to release; leadership is the
// revision of the leadership's lease, 0 if it was not held.
func (h *Holder) stopActing() (released []storage.ReleasedLease, leadership uint64) {
	const reason = "handed over"
	h.loop.Do(func() {
		for _, p := range h.Partitions {
			if p.Held {
				released = append(released, storage.ReleasedLease{Partition: p.Index, LeaseRevision: p.LeaseRevision})
				h.LosePartition(p, reason)
			}
		}
		if h.Leadership.Held {
			leadership = h.Leadership.Revision
			h.autoscaler.DropLeadership(reason)
		}
	})
	return released, leadership
}

// Busy says whether answers to commands or commits of the partitions led here are outstanding.
func (h *Holder) Busy() bool {
	for _, p := range h.Partitions {
		if p.Held && p.Committing {
			return true
		}
	}
	for _, m := range h.Machines {
		if m.CommandRequestsInFlight > 0 && h.Partitions[m.Record.Partition].Held {
			return true
		}
	}
	return false
}
