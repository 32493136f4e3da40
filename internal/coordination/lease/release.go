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
	// SettleTime is how long a controller must have been alive, and a partition have had its
	// leader, before the partition is handed back: a rolling restart must not move it twice.
	SettleTime = 15 * time.Second
	// ReleaseTimeout is how long the end of a lease may take to show: longer than a request, so
	// that a partition is not acquired again while its release is on its way.
	ReleaseTimeout = 4 * time.Second
	// releasedLeasesLimit is how many released leases an incarnation's record names, unless one
	// transaction releases more.
	releasedLeasesLimit = 8
)

// handBack releases a partition for its preferred leader.
func (h *Holder) handBack(p *cluster.Partition, now time.Time) {
	revision := p.LeaseRevision
	h.LosePartition(p, "handed back")
	p.AcquiredAt = now
	txn := h.releaseTransaction([]storage.ReleasedLease{{Partition: p.Index, LeaseRevision: revision}}, 0)
	h.loop.Go(func() { h.releaseLeases(h.loop.Context(), txn) })
}

// releaseTransaction is the transaction by which this controller releases leases after it has
// stopped acting under them: with it, the record of its incarnation says so. leadership is the
// revision of its lease of the leadership if that is released too, else 0.
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

// releaseLeases ends leases that this controller has stopped acting under, and says whether
// that is on record. Only a leader that has stopped may do so: were the lease replaced while
// it still answers agents, its answers would outlast the bound that the next leader counts on
// (rules 8, 12). If the end goes unrecorded, the partition is acquired again like one of a
// former incarnation.
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
