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
	// drainTimeout is the maximum time for which a planned shutdown waits for replica updates and
	// for the responses to commands and commits.
	drainTimeout = 150 * time.Millisecond
	// drainPollInterval is the time between two checks for outstanding responses.
	drainPollInterval = 5 * time.Millisecond
	// releaseOverhead is the number of operations in a release transaction in addition to those
	// for partition leases: the deletion of the leadership lease and the update of the incarnation record.
	releaseOverhead = 2
)

// HandOver hands the leases of this controller over to standbys before a planned shutdown. It stops
// new work, waits for the responses to commands and commits, stops answering heartbeats, and only then
// releases its leases, in this order (rule 36). Each step is bounded in time. If the process ends
// between two steps, the failover is the same as after a crash. If no other controller can take over,
// no lease is released, and this controller's next incarnation acquires the leases at once.
func (h *Holder) HandOver(ctx context.Context) {
	begun := time.Now()
	if !h.startDraining(begun) {
		h.log.Info("shutting down without a handover", "reason", "no other controller is alive")
		return
	}
	h.drain(ctx)
	released, leadership := h.stepDown()
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

// startDraining stops new work, and reports whether another controller can take over.
func (h *Holder) startDraining(now time.Time) (successor bool) {
	h.loop.Do(func() {
		h.Draining = true
		successor = failover.ChooseStandby(h.Settings.Label, h.Settings.Zone, h.FailoverCandidates(now)) != ""
	})
	return successor
}

// drain sends the last replica updates, and waits until all commands and commits are answered or
// drainTimeout is over.
func (h *Holder) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	h.replicator.SendUpdates(ctx)
	for busy := true; busy && ctx.Err() == nil; time.Sleep(drainPollInterval) {
		h.loop.Do(func() { busy = h.hasUnansweredRequests() })
	}
}

// stepDown stops acting as the leader of partitions and of the cluster, and returns the leases to
// release. leadership is the revision of the leadership lease, 0 if this controller did not hold it.
func (h *Holder) stepDown() (released []storage.ReleasedLease, leadership uint64) {
	const reason = "handed over"
	h.loop.Do(func() {
		for _, p := range h.Partitions {
			if p.Held {
				released = append(released, storage.ReleasedLease{Partition: p.Index, LeaseRevision: p.LeaseRevision})
				h.StopLeading(p, reason)
			}
		}
		if h.Leadership.Held {
			leadership = h.Leadership.Revision
			h.autoscaler.DropLeadership(reason)
		}
	})
	return released, leadership
}

// hasUnansweredRequests reports whether commands or commits of this controller's partitions are still
// unanswered.
func (h *Holder) hasUnansweredRequests() bool {
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
