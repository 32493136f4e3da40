package lease

import (
	"errors"
	"time"

	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// endedIncarnationRetention is how long it is remembered that an incarnation is over: whoever it
// answered is long free of it by then.
const endedIncarnationRetention = time.Hour

// IncarnationID names one run of a controller's process: its label, and the nonce that it drew
// at its start.
type IncarnationID struct{ Label, Nonce string }

// incarnationRecord is the newest incarnation record of a controller.
type incarnationRecord struct {
	storage.Incarnation
	revision uint64
}

// announceIncarnation records this incarnation with its controller lease, and says whether the
// record names that lease. It must come before any lease is acquired: incarnation records follow
// one another by their revisions, so that one with another nonce proves that the incarnation
// before is over (rule 34).
func (h *Holder) announceIncarnation(lease uint64) bool {
	var txn *protocol.Transaction
	announced := false
	h.loop.Do(func() {
		if announced = h.announcedLease == lease; !announced && h.Synced {
			txn = h.incarnationTransaction(lease)
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
		// Written by the former incarnation, or by this one without an answer.
		if item, readErr := h.store.Get(h.loop.Context(), put.Put); readErr == nil {
			h.applyOwnIncarnation(protocol.Event{Put: put.Put, Value: item.Value, Version: item.Version})
		}
	default:
		h.log.Debug("incarnation not recorded", "error", err)
	}
	h.loop.Do(func() { announced = h.announcedLease == lease })
	return announced
}

// incarnationTransaction records this incarnation with a controller lease.
func (h *Holder) incarnationTransaction(lease uint64) *protocol.Transaction {
	key, own := storage.IncarnationKey(h.Settings.Label), h.incarnations[h.Settings.Label]
	record := storage.Incarnation{Nonce: h.Nonce, Lease: lease}
	if own.Nonce == h.Nonce {
		record.Released = own.Released
	}
	return &protocol.Transaction{
		If:   []protocol.Condition{{Key: key, Version: own.revision}},
		Then: []protocol.Change{{Put: key, Value: storage.Encode(record)}},
	}
}

func (h *Holder) applyOwnIncarnation(e protocol.Event) {
	h.loop.Do(func() { h.ApplyIncarnation(h.Settings.Label, e) })
}

// ApplyIncarnation applies a change of a controller's incarnation record.
func (h *Holder) ApplyIncarnation(label string, e protocol.Event) {
	before := h.incarnations[label]
	if e.Delete != "" || e.Version <= before.revision {
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
	h.noteReleasedLeases(label, record, now)
	if before.Nonce != "" && before.Nonce != record.Nonce {
		h.noteEndedIncarnation(IncarnationID{Label: label, Nonce: before.Nonce}, now)
	}
}

// noteReleasedLeases notes that a controller had stopped acting under leases that it released.
func (h *Holder) noteReleasedLeases(label string, record storage.Incarnation, now time.Time) {
	for _, released := range record.Released {
		if released.Partition < 0 || released.Partition >= len(h.Partitions) {
			continue
		}
		p := h.Partitions[released.Partition]
		failover.NoteReleased(p.FormerLeaders, label, record.Nonce, released.LeaseRevision, now.Add(delegation.GrantDuration))
		if p.Held && p.Ready {
			h.shortenBounds(p, now)
		}
	}
}

// noteEndedIncarnation notes that an incarnation is over. Its delegates may go on answering until
// their grants end.
func (h *Holder) noteEndedIncarnation(id IncarnationID, now time.Time) {
	for other, at := range h.EndedIncarnations {
		if now.Sub(at) > endedIncarnationRetention {
			delete(h.EndedIncarnations, other)
		}
	}
	h.EndedIncarnations[id] = now.Add(delegation.GrantDuration)
	h.log.Info("former incarnation ended", "controller", id.Label)
	h.shortenAllBounds(now)
}
