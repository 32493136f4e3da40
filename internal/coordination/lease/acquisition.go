package lease

import (
	"errors"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// wantedLease is a lease that this controller should acquire. The acquisition is conditional on
// revision, the revision of the lease's record, or 0 if there is no record.
type wantedLease struct {
	key      string
	revision uint64
}

// acquireWantedLeases acquires the leases that this controller should hold, while its controller
// lease is fresh.
func (h *Holder) acquireWantedLeases() {
	var wanted []wantedLease
	var leaseID uint64
	h.loop.Do(func() {
		now := time.Now()
		if leaseID = h.LeaseID; leaseID == 0 || !h.leaseIsFresh(now) {
			return
		}
		wanted = h.wantedLeases(now)
	})
	if leaseID == 0 || !h.announceIncarnation(leaseID) {
		return
	}
	for _, w := range wanted {
		h.acquireLease(w.key, w.revision, leaseID)
	}
}

// wantedLeases lists the leases to acquire now. It also hands at most one partition back to its
// preferred leader.
func (h *Holder) wantedLeases(now time.Time) (wanted []wantedLease) {
	handedBack := false
	for _, p := range h.Partitions {
		if !handedBack && h.takeover.ShouldHandBack(p, now) {
			handedBack = true // one per call, since each handback rewrites this incarnation's record
			h.handBack(p, now)
			continue
		}
		if h.takeover.ShouldAcquirePartition(p, now) {
			wanted = append(wanted, wantedLease{storage.LeaseKey(p.Index), p.LeaseRevision})
		}
	}
	if h.takeover.ShouldAcquireLeadership(now) {
		wanted = append(wanted, wantedLease{storage.LeadershipKey, h.Leadership.Revision})
	}
	return wanted
}

// acquireLease tries to acquire a lease that is free or held by this controller's former
// incarnation. If the request succeeds but its response is lost, the new record, which has this
// incarnation's nonce, arrives through the watch.
func (h *Holder) acquireLease(key string, revision, leaseID uint64) {
	value := storage.Encode(storage.Lease{Holder: h.Settings.Label, Nonce: h.Nonce})
	acquired, err := h.store.CommitLease(h.loop.Context(), &protocol.Transaction{
		If:   []protocol.Condition{{Key: key, Version: revision}},
		Then: []protocol.Change{{Put: key, Value: value, Lease: leaseID}},
	})
	if errors.Is(err, storage.ErrLeaseGone) {
		h.loop.Do(func() { h.loseAllLeases(reasonControllerLeaseEnded) })
		return
	}
	if err != nil {
		h.log.Debug("lease not acquired", "key", key, "error", err)
		return
	}
	h.loop.Do(func() { h.records.ApplyEvent(protocol.Event{Put: key, Value: value, Version: acquired}) })
}

// ApplyLease applies a change of a partition's lease record, unless a change at least as new was applied:
// this controller applies its own acquisitions and releases before the watch brings them, and a lease that
// it has released must not count as held again (rules 11, 34).
func (h *Holder) ApplyLease(p *cluster.Partition, e protocol.Event, now time.Time) {
	if e.Version <= p.LeaseAppliedRevision {
		return
	}
	p.LeaseAppliedRevision = e.Version
	if p.LeaseRevision != 0 {
		h.addFormerLeader(p, now)
	}
	if e.Delete != "" {
		p.FormerLeader, p.Leader, p.LeaderNonce, p.LeaseRevision, p.VacantSince = p.Leader, "", "", 0, now
		h.StopLeading(p, reasonLeaseEnded)
		eventloop.Signal(h.LeaseWakeup)
		return
	}
	var record storage.Lease
	if err := storage.Decode(e.Value, &record); err != nil {
		h.log.Error("invalid lease record", "partition", p.Index, "error", err)
		return
	}
	h.StopLeading(p, reasonLeaseReplaced)
	p.TokenRaiseBy = time.Time{}
	p.Leader, p.LeaderNonce, p.LeaseRevision = record.Holder, record.Nonce, e.Version
	if record.Holder == h.Settings.Label && record.Nonce == h.Nonce {
		p.Held, p.Ready, p.AcquiredAt = true, false, now
		h.log.Info("partition lease acquired", "partition", p.Index, "token", p.LeaseRevision)
		h.loop.Go(func() { h.takeover.TakeOver(p, e.Version) })
	}
}
