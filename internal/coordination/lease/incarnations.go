package lease

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Holder acquires, renews, hands over and loses the leases of partitions and of the
// cluster's leadership, and knows the incarnations of all controllers.
type Holder struct {
	*cluster.State
	loop    *eventloop.Loop
	store   *storage.Store
	log     *slog.Logger
	metrics *telemetry.Metrics

	autoscaler Autoscaler
	replicator Replicator
	takeover   Takeover
	watcher    Records

	incarnations map[string]incarnationRecord
	// EndedIncarnations is when an incarnation was proven to be over, by the record of a
	// later one.
	EndedIncarnations map[IncarnationID]time.Time
	// announcedLease is the lease that this controller's own record names.
	announcedLease uint64
}

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Holder {
	return &Holder{State: state, loop: loop, store: store, log: log,
		incarnations: map[string]incarnationRecord{}, EndedIncarnations: map[IncarnationID]time.Time{}}
}

// Connect gives it its collaborators, before the loop starts.
func (lh *Holder) Connect(autoscaler Autoscaler, replicator Replicator, takeover Takeover, watcher Records) {
	lh.autoscaler, lh.replicator, lh.takeover, lh.watcher = autoscaler, replicator, takeover, watcher
}

// Observe makes it measure itself, before the loop starts.
func (lh *Holder) Observe(m *telemetry.Metrics) { lh.metrics = m }

type IncarnationID struct{ Label, Nonce string }

// incarnationRecord is the newest record of a controller's life.
type incarnationRecord struct {
	storage.Incarnation
	revision uint64
}

// announceIncarnation records this life with its lease, which must come before any claim: records
// of lives follow one another by their stamps, so that one with another nonce proves
// that the one before is over (34). It says whether the record names the lease.
func (lh *Holder) announceIncarnation(lease uint64) bool {
	var txn *protocol.Transaction
	done, ready := false, false
	key := storage.IncarnationKey(lh.Settings.Label)
	var value []byte
	lh.loop.Do(func() {
		if done, ready = lh.announcedLease == lease, lh.Synced; done || !ready {
			return
		}
		rec := storage.Incarnation{Nonce: lh.Nonce, Lease: lease}
		if own := lh.incarnations[lh.Settings.Label]; own.Nonce == lh.Nonce {
			rec.Released = own.Released
		}
		value = storage.Encode(rec)
		txn = &protocol.Transaction{If: []protocol.Condition{{Key: key, Version: lh.incarnations[lh.Settings.Label].revision}},
			Then: []protocol.Change{{Put: key, Value: value}}}
	})
	if done || !ready {
		return done
	}
	rev, err := lh.store.CommitLease(lh.loop.Context(), txn)
	var conflict *storage.Conflict
	switch {
	case err == nil:
		lh.loop.Do(func() {
			lh.ApplyIncarnation(lh.Settings.Label, protocol.Event{Put: key, Value: value, Version: rev})
		})
	case errors.As(err, &conflict) || errors.Is(err, storage.ErrUnknown):
		// Written by the former life, or by this one without an answer.
		if item, rerr := lh.store.Get(lh.loop.Context(), key); rerr == nil {
			lh.loop.Do(func() {
				lh.ApplyIncarnation(lh.Settings.Label, protocol.Event{Put: key, Value: item.Value, Version: item.Version})
			})
		}
	default:
		lh.log.Debug("life not announced", "reason", err)
	}
	lh.loop.Do(func() { done = lh.announcedLease == lease })
	return done
}

// ApplyIncarnation follows the record of a controller's life.
func (lh *Holder) ApplyIncarnation(label string, e protocol.Event) {
	was := lh.incarnations[label]
	if e.Delete != "" || e.Version <= was.revision {
		return
	}
	var rec storage.Incarnation
	if err := storage.Decode(e.Value, &rec); err != nil {
		lh.log.Error("bad record of a controller's life", "controller", label, "reason", err)
		return
	}
	lh.incarnations[label] = incarnationRecord{rec, e.Version}
	if label == lh.Settings.Label && rec.Nonce == lh.Nonce {
		lh.announcedLease = rec.Lease
	}
	now := time.Now()
	for _, r := range rec.Released {
		if r.Partition < 0 || r.Partition >= len(lh.Partitions) {
			continue
		}
		p := lh.Partitions[r.Partition]
		failover.NoteReleased(p.FormerLeaders, label, rec.Nonce, r.LeaseRevision, now.Add(delegation.GrantDuration))
		if p.Held && p.Ready {
			lh.shortenBounds(p, now)
		}
	}
	if was.Nonce == "" || was.Nonce == rec.Nonce {
		return
	}
	for name, at := range lh.EndedIncarnations {
		if now.Sub(at) > time.Hour { // whoever it answered is long free of it
			delete(lh.EndedIncarnations, name)
		}
	}
	lh.EndedIncarnations[IncarnationID{Label: label, Nonce: was.Nonce}] = now.Add(delegation.GrantDuration) // its carriers may go on for that long
	lh.log.Info("a former life is over", "controller", label)
	for _, p := range lh.Partitions {
		if p.Held && p.Ready {
			lh.shortenBounds(p, now)
		}
	}
}

// releasedLeasesLimit is how many claims that were given up a life's record names.
const releasedLeasesLimit = 8

// releaseTransaction is the transaction by which this controller gives claims up after it has
// stopped acting under them: with it, its life's record says so. leader is the revision of
// its claim to lead, if that goes too.
func (lh *Holder) releaseTransaction(parts []storage.ReleasedLease, leader uint64) *protocol.Transaction {
	life, own := storage.IncarnationKey(lh.Settings.Label), lh.incarnations[lh.Settings.Label]
	txn := &protocol.Transaction{}
	drop := func(key string, version uint64) {
		txn.If = append(txn.If, protocol.Condition{Key: key, Version: version})
		txn.Then = append(txn.Then, protocol.Change{Delete: key})
	}
	for _, r := range parts {
		drop(storage.LeaseKey(r.Partition), r.LeaseRevision)
	}
	if leader != 0 {
		drop(storage.LeadershipKey, leader)
	}
	rec := own.Incarnation
	rec.Released = append(slices.Clone(rec.Released), parts...)
	rec.Released = rec.Released[max(0, len(rec.Released)-max(releasedLeasesLimit, len(parts))):]
	txn.If = append(txn.If, protocol.Condition{Key: life, Version: own.revision})
	txn.Then = append(txn.Then, protocol.Change{Put: life, Value: storage.Encode(rec)})
	return txn
}

// LastAnswerBound is the latest moment at which anybody but this controller may have
// answered a machine of a part.
func (lh *Holder) LastAnswerBound(p *cluster.Partition, m *cluster.Machine) time.Time {
	until := failover.AnsweredUntil(p.FormerLeaders, func(label, nonce string) time.Time {
		return lh.EndedIncarnations[IncarnationID{Label: label, Nonce: nonce}]
	})
	if m.FormerLeaderBound.After(until) {
		until = m.FormerLeaderBound
	}
	return until
}

// shortenBounds counts silent machines' leases from what is proven by now.
func (lh *Holder) shortenBounds(p *cluster.Partition, now time.Time) {
	for _, m := range lh.Machines {
		if m.Record.Partition != p.Index || !m.AnsweredUntil.After(now) {
			continue
		}
		if until := lh.LastAnswerBound(p, m); until.Before(m.AnsweredUntil) {
			m.AnsweredUntil = until
			if m.LastHeardAt.After(until) && m.HasReported {
				m.AnsweredUntil = m.LastHeardAt
			}
		}
	}
}

// noteFormerLeader notes that a part's owner is not its owner any more: it may go on answering
// workers for as long after its last renewal as rule 12 lets it.
func (lh *Holder) noteFormerLeader(p *cluster.Partition, now time.Time) {
	a := failover.FormerLeader{Label: p.Leader, Nonce: p.LeaderNonce, LeaseRevision: p.LeaseRevision, AnswersUntil: now.Add(lh.AnswerBound())}
	if a.Label == lh.Settings.Label && a.Nonce == lh.Nonce {
		// This one stopped when it lost the part, its carriers when their grants end.
		a.AnswersUntil = now
		for _, end := range []time.Time{p.DelegatedUntil, p.Delegations.LatestGrantEnd()} {
			if end.After(a.AnswersUntil) {
				a.AnswersUntil = end
			}
		}
	}
	if l := lh.incarnations[a.Label]; l.Nonce == a.Nonce && slices.Contains(l.Released, storage.ReleasedLease{Partition: p.Index, LeaseRevision: a.LeaseRevision}) {
		a.AnswersUntil = now.Add(delegation.GrantDuration)
	}
	p.FormerLeaders = append(stillAnswering(p.FormerLeaders, now), a)
}

// NoteMissedLeaders notes that owners may have come and gone unseen before a listing.
func (lh *Holder) NoteMissedLeaders(now time.Time) {
	for _, p := range lh.Partitions {
		p.FormerLeaders = slices.DeleteFunc(stillAnswering(p.FormerLeaders, now), func(a failover.FormerLeader) bool { return a.Label == "" })
		p.FormerLeaders = append(p.FormerLeaders, failover.FormerLeader{AnswersUntil: now.Add(lh.AnswerBound())})
	}
}

// stillAnswering drops those whose time is over, and that can prove nothing any more.
func stillAnswering(all []failover.FormerLeader, now time.Time) []failover.FormerLeader {
	kept := all[:0]
	for _, a := range all {
		if a.AnswersUntil.After(now) {
			kept = append(kept, a)
		}
	}
	return kept
}

// NoteDiverted notes that a machine's worker came here though its home is another: with
// others, and with the other's silence, it shows that the other is gone.
func (lh *Holder) NoteDiverted(home, machine string, now time.Time) {
	ps := lh.Peers[home]
	if ps == nil || !ps.ReportingMachines[machine] {
		return
	}
	if ps.DivertedMachines == nil {
		ps.DivertedMachines = map[string]bool{}
	}
	ps.DivertedMachines[machine] = true
	lh.RevokeIfDead(home, ps, now)
}

// RevokeIfDead ends the lease of a controller that neither controllers nor workers reach,
// so that its claims end at once and not when the lease runs out. That is an earlier
// end of the lease and nothing else: what it still writes fails on its claims, it
// answers workers no longer than after any end, and its successor counts on as much (11).
func (lh *Holder) RevokeIfDead(label string, ps *cluster.Peer, now time.Time) {
	l := lh.incarnations[label]
	e := failover.Evidence{Silent: now.Sub(ps.LastHeardAt), Interval: peering.SummaryInterval, Reporting: len(ps.ReportingMachines), Diverted: len(ps.DivertedMachines)}
	if l.Lease == 0 || l.Lease == ps.RevokedLease || !e.Dead() || !lh.Synced || now.Sub(lh.LeaseRenewedAt) > lh.Operator.LeaseTTL/2 {
		return
	}
	owns := false
	for _, p := range lh.Partitions {
		owns = owns || p.Leader == label && p.LeaderNonce == l.Nonce
	}
	if !owns {
		return
	}
	ps.RevokedLease = l.Lease
	lh.metrics.Count(telemetry.LeaseRevoked, 1)
	lh.log.Info("ending the lease of a controller that is gone", "controller", label, "silent", e.Silent, "visitors", e.Diverted, "of", e.Reporting)
	lh.loop.Go(func() {
		ctx, cancel := context.WithTimeout(lh.loop.Context(), 2*time.Second)
		defer cancel()
		lh.store.RevokeLease(ctx, l.Lease)
	})
}
