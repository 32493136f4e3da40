// Package lease acquires, renews, hands over and loses the leases of partitions and of the
// cluster's leadership, and knows the incarnations of all controllers. Invariant: a controller
// that has lost a lease, or may have, answers no agent under it; who takes it over counts on
// the latest moment at which the former leader may have answered.
package lease

import (
	"context"
	"errors"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// acquireInterval is how often a controller looks whether there is something to
// claim, so that an orphan waits for its pause and not for a renewal.
const acquireInterval = 250 * time.Millisecond

// RenewLoop keeps the lease that all claims of this process hang on, and
// claims what it should.
func (lh *Holder) RenewLoop() {
	var next time.Time
	for {
		if now := time.Now(); !now.Before(next) {
			next = now.Add(lh.Operator.LeaseTTL / 3)
			if !lh.renew() {
				next = now // a refused renewal costs the claims if a third of their time goes by each time
			}
		}
		lh.acquireWanted()
		select {
		case <-time.After(acquireInterval):
		case <-lh.LeaseWakeup:
		case <-lh.loop.Context().Done():
			return
		}
	}
}

// renew says whether the state service took the request; if not, it is repeated soon.
func (lh *Holder) renew() bool {
	var lease uint64
	if !lh.loop.Do(func() { lease = lh.LeaseID }) {
		return true
	}
	sent := time.Now()
	var err error
	if lease == 0 {
		lease, err = lh.store.GrantLease(lh.loop.Context(), lh.Operator.LeaseTTL)
	} else {
		err = lh.store.RenewLease(lh.loop.Context(), lease, time.Second)
	}
	lh.loop.Do(func() {
		switch {
		case errors.Is(err, storage.ErrNotFound):
			lh.loseAll("the lease ended")
		case err != nil:
			lh.log.Debug("renewal failed", "reason", err)
		default:
			lh.LeaseID, lh.LeaseRenewedAt = lease, sent
		}
	})
	return !errors.Is(err, storage.ErrRefused)
}

// acquireWanted claims what this controller wants, while its lease is alive.
func (lh *Holder) acquireWanted() {
	type wish struct {
		key     string
		version uint64
	}
	var wishes []wish
	var lease uint64
	lh.loop.Do(func() {
		now, handed := time.Now(), false
		if lease = lh.LeaseID; lease == 0 || now.Sub(lh.LeaseRenewedAt) > lh.Operator.LeaseTTL/2 {
			return
		}
		for _, p := range lh.Partitions {
			if !handed && lh.takeover.ShouldHandBack(p, now) {
				handed = true // one at a time: each goes into the record of this life
				version := p.LeaseRevision
				lh.LosePartition(p, "handed back")
				p.AcquiredAt = now
				txn := lh.releaseTransaction([]storage.ReleasedLease{{Partition: p.Index, LeaseRevision: version}}, 0)
				lh.loop.Go(func() { lh.releaseLeases(lh.loop.Context(), txn) })
				continue
			}
			if lh.takeover.WantsPartition(p, now) {
				wishes = append(wishes, wish{storage.LeaseKey(p.Index), p.LeaseRevision})
			}
		}
		if lh.takeover.WantsLeadership(now) {
			wishes = append(wishes, wish{storage.LeadershipKey, lh.Leadership.Revision})
		}
	})
	if lease == 0 || !lh.announceIncarnation(lease) {
		return
	}
	for _, w := range wishes {
		lh.acquireLease(w.key, w.version, lease)
	}
}

// acquireLease tries to take a claim that is free or held by this controller's former
// life. An unanswered attempt shows in the watch, where the nonce tells it.
func (lh *Holder) acquireLease(key string, version, lease uint64) {
	value := storage.Encode(storage.Lease{Holder: lh.Settings.Label, Nonce: lh.Nonce})
	rev, err := lh.store.CommitLease(lh.loop.Context(), &protocol.Transaction{
		If:   []protocol.Condition{{Key: key, Version: version}},
		Then: []protocol.Change{{Put: key, Value: value, Lease: lease}},
	})
	if errors.Is(err, storage.ErrLeaseGone) {
		lh.loop.Do(func() { lh.loseAll("the lease ended") })
		return
	}
	if err != nil {
		lh.log.Debug("claim failed", "key", key, "reason", err)
		return
	}
	lh.loop.Do(func() { lh.watcher.ApplyEvent(protocol.Event{Put: key, Value: value, Version: rev}) })
}

// SettleTime is how long a controller must have been heard, and a part have had
// its owner, before the part goes back: a roll of restarts must not move it
// twice.
const SettleTime = 15 * time.Second

// ReleaseTimeout is how long the end of a claim may take to show: longer than a
// request, so that a part is not claimed again while its release is on its way.
const ReleaseTimeout = 4 * time.Second

// releaseLeases ends claims that this controller has stopped acting under.
// Only an owner that has stopped may do so: were the claim replaced while
// it still answers workers, its answers would outlast the bound that the next
// owner counts on (8, 12). If the end goes unrecorded, the part is claimed
// again like one of a former life.
func (lh *Holder) releaseLeases(ctx context.Context, txn *protocol.Transaction) bool {
	rev, err := lh.store.CommitLease(ctx, txn)
	if err != nil {
		lh.log.Info("claims not released", "reason", err)
		return false
	}
	lh.loop.Do(func() {
		for _, ch := range txn.Then {
			lh.watcher.ApplyEvent(protocol.Event{Put: ch.Put, Delete: ch.Delete, Value: ch.Value, Version: rev})
		}
	})
	return true
}

// ApplyLease follows who owns a part.
func (lh *Holder) ApplyLease(p *cluster.Partition, e protocol.Event, now time.Time) {
	if e.Version < p.LeaseRevision || e.Put != "" && e.Version == p.LeaseRevision {
		return
	}
	if p.LeaseRevision != 0 {
		lh.noteFormerLeader(p, now)
	}
	if e.Delete != "" {
		p.FormerLeader, p.Leader, p.LeaderNonce, p.LeaseRevision, p.VacantSince = p.Leader, "", "", 0, now
		lh.LosePartition(p, "the claim ended")
		eventloop.Signal(lh.LeaseWakeup)
		return
	}
	var claim storage.Lease
	if err := storage.Decode(e.Value, &claim); err != nil {
		lh.log.Error("bad claim record", "part", p.Index, "reason", err)
		return
	}
	lh.LosePartition(p, "the claim changed hands")
	p.Leader, p.LeaderNonce, p.LeaseRevision = claim.Holder, claim.Nonce, e.Version
	if claim.Holder == lh.Settings.Label && claim.Nonce == lh.Nonce {
		p.Held, p.Ready, p.AcquiredAt = true, false, now
		lh.log.Info("part claimed", "part", p.Index, "token", p.LeaseRevision)
		lh.loop.Go(func() { lh.takeover.TakeOver(p, e.Version) })
	}
}

// LosePartition stops acting for a part.
func (lh *Holder) LosePartition(p *cluster.Partition, reason string) {
	if !p.Held {
		return
	}
	lh.log.Info("part lost", "part", p.Index, "reason", reason)
	p.Held, p.Ready, p.FairShare = false, false, cluster.FairShareState{}
	p.DelegatedUntil, p.Delegations = p.Delegations.LatestGrantEnd(), delegation.Ledger{}
	lh.ClearPartition(p)
}

func (lh *Holder) ClearPartition(p *cluster.Partition) {
	p.Cleared = true
	clear(p.Usage)
	for id, j := range lh.Jobs {
		if j.Partition != p.Index {
			continue
		}
		if j.Unload(); lh.FinalStates[id] != "" {
			delete(lh.Jobs, id)
		}
	}
	for _, m := range lh.Machines {
		if m.Record.Partition == p.Index {
			m.Reset()
		}
	}
}

func (lh *Holder) loseAll(reason string) {
	lh.LeaseID = 0
	for _, p := range lh.Partitions {
		lh.LosePartition(p, reason)
	}
	lh.autoscaler.DropLeadership(reason)
}

// CheckReachability gives parts up that this controller can't serve: when none of
// its workers has been heard for several report periods while other
// controllers hear them, it is cut off from the workers and must let go (11).
func (lh *Holder) CheckReachability(now time.Time) {
	silence := max(3*lh.HeartbeatInterval, 4*time.Second)
	for _, ps := range lh.Peers {
		if !ps.Alive(now) {
			continue
		}
		for _, name := range ps.Summary.Diverted {
			if m := lh.Machines[name]; m != nil && m.DivertedSince.IsZero() {
				m.DivertedSince = now
			}
		}
	}
	var machines, silent int
	strayed := false
	for _, m := range lh.Machines {
		p := lh.Partitions[m.Record.Partition]
		// A worker that comes and can't be answered, in an outage say, reaches this
		// controller all the same.
		heard := m.LastHeardAt
		if m.LastContactAt.After(heard) {
			heard = m.LastContactAt
		}
		if !p.Held || heard.After(m.DivertedSince) {
			m.DivertedSince = time.Time{}
		}
		if !p.Held || now.Sub(p.AcquiredAt) < silence {
			continue
		}
		machines++
		if now.Sub(heard) > silence {
			silent++
		}
		// A worker that was just sent home needs a moment to get here.
		strayed = strayed || !m.DivertedSince.IsZero() && now.Sub(m.DivertedSince) > silence
	}
	if machines > 0 && silent == machines && strayed {
		lh.log.Info("resigning", "reason", "no worker heard while others hear them", "machines", machines)
		lh.ResignedAt = now
		lease := lh.LeaseID
		lh.loseAll("resigned")
		lh.loop.Go(func() { lh.store.RevokeLease(lh.loop.Context(), lease) })
	}
}
