package lease

import (
	"errors"
	"time"

	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// endedIncarnationRetention is the time for which ended incarnations are kept in memory. The leases of
// machines whose heartbeats they answered expire much earlier.
const endedIncarnationRetention = time.Hour

// IncarnationID identifies one run of a controller process by the controller's label and the random
// nonce that the process chose at its start.
type IncarnationID struct{ Label, Nonce string }

// incarnationRecord is the newest incarnation record of a controller.
type incarnationRecord struct {
	storage.Incarnation
	revision uint64
}

// announceIncarnation writes the record of this incarnation, with its controller lease, to the state
// store, and reports whether the stored record contains that lease. Other leases may be acquired only
// after it has returned true.
// Since incarnation records are ordered by revision, a record with another nonce proves that the
// previous incarnation has ended (rule 34).
func (h *Holder) announceIncarnation(leaseID uint64) bool {
	var txn *protocol.Transaction
	announced := false
	h.loop.Do(func() {
		if announced = h.announcedLease == leaseID; !announced && h.Synced {
			txn = h.incarnationTransaction(leaseID)
		}
	})
	if txn == nil {
		return announced
	}
	put := txn.Then[0]
	revision, err := h.store.CommitLease(h.loop.Context(), txn)
	var conflict *storage.Conflict
	switch {
	case err == nil:
		h.applyOwnIncarnation(protocol.Event{Put: put.Put, Value: put.Value, Version: revision})
	case errors.As(err, &conflict) || errors.Is(err, storage.ErrUnknown):
		// The record was written by the former incarnation, or by this one in a request without a
		// response.
		if item, readErr := h.store.Get(h.loop.Context(), put.Put); readErr == nil {
			h.applyOwnIncarnation(protocol.Event{Put: put.Put, Value: item.Value, Version: item.Version})
		}
	default:
		h.log.Debug("incarnation not recorded", "error", err)
	}
	h.loop.Do(func() { announced = h.announcedLease == leaseID })
	return announced
}

// incarnationTransaction returns the transaction that writes the record of this incarnation with a
// controller lease.
func (h *Holder) incarnationTransaction(leaseID uint64) *protocol.Transaction {
	key, own := storage.IncarnationKey(h.Settings.Label), h.incarnations[h.Settings.Label]
	record := storage.Incarnation{Nonce: h.Nonce, Lease: leaseID, FollowsSuccessors: true}
	if own.Nonce == h.Nonce {
		record.Released = own.Released
	}
	return &protocol.Transaction{
		If:   []protocol.Condition{{Key: key, Version: own.revision}},
		Then: []protocol.Change{{Put: key, Value: storage.Encode(record)}},
	}
}

// SuccessorConditions returns the conditions under which a job may be reassigned: that each controller's
// present process follows successors, as its incarnation record says. missing are the controllers whose
// record does not say so. It runs in the event loop.
func (h *Holder) SuccessorConditions() (conditions []protocol.Condition, missing []string) {
	for _, label := range h.Labels {
		record := h.incarnations[label]
		if !record.FollowsSuccessors {
			missing = append(missing, label)
		}
		conditions = append(conditions, protocol.Condition{Key: storage.IncarnationKey(label), Version: record.revision})
	}
	return conditions, missing
}

func (h *Holder) applyOwnIncarnation(e protocol.Event) {
	h.loop.Do(func() { h.ApplyIncarnation(h.Settings.Label, e) })
}

// ApplyIncarnation applies a change of a controller's incarnation record.
func (h *Holder) ApplyIncarnation(label string, e protocol.Event) {
	previous := h.incarnations[label]
	if e.Delete != "" || e.Version <= previous.revision {
		return
	}
	var record storage.Incarnation
	if err := storage.Decode(e.Value, &record); err != nil {
		h.log.Error("invalid incarnation record", "controller", label, "error", err)
		return
	}
	h.incarnations[label] = incarnationRecord{record, e.Version}
	if label == h.Settings.Label && record.Nonce == h.Nonce {
		h.announcedLease = record.Lease
	}
	now := time.Now()
	h.applyReleasedLeases(label, record, now)
	if previous.Nonce != "" && previous.Nonce != record.Nonce {
		h.markIncarnationEnded(IncarnationID{Label: label, Nonce: previous.Nonce}, now)
	}
}

// applyReleasedLeases shortens the answer bounds for the released leases in a controller's record,
// since the controller stopped answering heartbeats under them before it released them.
func (h *Holder) applyReleasedLeases(label string, record storage.Incarnation, now time.Time) {
	for _, released := range record.Released {
		if released.Partition < 0 || released.Partition >= len(h.Partitions) {
			continue
		}
		p := h.Partitions[released.Partition]
		failover.RecordRelease(p.FormerLeaders, label, record.Nonce, released.LeaseRevision, now.Add(delegation.GrantDuration))
		if p.Held && p.Ready {
			h.shortenBounds(p, now)
		}
	}
}

// markIncarnationEnded adds an incarnation to EndedIncarnations. Its delegates may answer heartbeats
// until their grants end.
func (h *Holder) markIncarnationEnded(id IncarnationID, now time.Time) {
	for other, at := range h.EndedIncarnations {
		if now.Sub(at) > endedIncarnationRetention {
			delete(h.EndedIncarnations, other)
		}
	}
	h.EndedIncarnations[id] = now.Add(delegation.GrantDuration)
	h.log.Info("former incarnation ended", "controller", id.Label)
	h.shortenAllBounds(now)
}
