package lease

import (
	"context"
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

const (
	// SettleTime is the time for which a controller must have been alive, and a partition must have
	// had its present leader, before the partition is handed back to that controller. It prevents a
	// rolling restart from moving a partition twice.
	SettleTime = 15 * time.Second
	// ReleaseTimeout is the maximum time until the release of a lease appears in the watch. It is
	// longer than the timeout of a request, so that a partition is not acquired again while its
	// release is in progress.
	ReleaseTimeout = 4 * time.Second
	// releasedLeasesLimit is the maximum number of released leases in an incarnation record, unless
	// one transaction releases more.
	releasedLeasesLimit = 8
)

// handBack releases a partition, so that its preferred leader can acquire it.
func (h *Holder) handBack(p *cluster.Partition, now time.Time) {
	revision := p.LeaseRevision
	h.StopLeading(p, "handed back")
	p.AcquiredAt = now
	txn := h.releaseTransaction([]storage.ReleasedLease{{Partition: p.Index, LeaseRevision: revision}}, 0)
	h.loop.Go(func() { h.releaseLeases(h.loop.Context(), txn) })
}

// releaseTransaction returns the transaction that releases leases under which this controller has
// stopped acting, and that adds them to its incarnation record. leadership is the revision of the
// leadership lease if that is released too, else 0.
func (h *Holder) releaseTransaction(released []storage.ReleasedLease, leadership uint64) *protocol.Transaction {
	txn := &protocol.Transaction{}
	release := func(key string, revision uint64) {
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: revision})
		txn.Then = append(txn.Then, protocol.Change{Delete: key})
	}
	for _, r := range released {
		release(storage.LeaseKey(r.Partition), r.LeaseRevision)
	}
	if leadership != 0 {
		release(storage.LeadershipKey, leadership)
	}
	key, own := storage.IncarnationKey(h.Settings.Label), h.incarnations[h.Settings.Label]
	record := own.Incarnation
	record.Released = append(slices.Clone(record.Released), released...)
	limit := max(releasedLeasesLimit, len(released))
	record.Released = record.Released[max(0, len(record.Released)-limit):]
	txn.If = append(txn.If, protocol.Condition{Key: key, Version: own.revision})
	txn.Then = append(txn.Then, protocol.Change{Put: key, Value: storage.Encode(record)})
	return txn
}

// releaseLeases commits a release transaction and reports whether that succeeded. The controller must
// have stopped acting under the leases before: if it still answered heartbeats after the release, it
// could answer later than the next leader assumes (rules 8, 12). If the release fails, this controller
// acquires the partitions again, as it would after a restart.
func (h *Holder) releaseLeases(ctx context.Context, txn *protocol.Transaction) bool {
	revision, err := h.store.CommitLease(ctx, txn)
	if err != nil {
		h.log.Info("leases not released", "error", err)
		return false
	}
	h.loop.Do(func() {
		for _, change := range txn.Then {
			h.records.ApplyEvent(protocol.Event{Put: change.Put, Delete: change.Delete, Value: change.Value, Version: revision})
		}
	})
	return true
}
