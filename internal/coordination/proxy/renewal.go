package proxy

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol/peer"
)

// DelegationPath is the path at which leaders accept renewal requests from their delegates.
const DelegationPath = "/peer/carry"

const (
	// renewInterval is the interval at which a delegate renews its grant.
	renewInterval = 300 * time.Millisecond
	// renewalBatchDelay is the time for which answered heartbeats are collected before they are
	// sent in one request.
	renewalBatchDelay = 50 * time.Millisecond
	// peerCallTimeout is the timeout of a renewal request to a leader, and of a forwarding
	// request to a delegate.
	peerCallTimeout = time.Second
	// renewalBytesLimit is the maximum size of the heartbeats in one request, in bytes. A single
	// larger heartbeat is sent in a request of its own.
	renewalBytesLimit = peerapi.PortableBodyLimit * 3 / 4
)

// renewal is a renewal request to a partition's leader, with the data to handle the reply.
type renewal struct {
	request   *peer.DelegationRequest
	addr      string
	startedAt time.Time
	sent      map[string]answeredHeartbeat
	sentBytes int
	// moreUnsent is set if some unsent heartbeats did not fit into the request.
	moreUnsent bool
}

// RenewLoop renews this controller's grant for a partition and sends its leader the answered
// heartbeats, until the event loop's context ends. It waits while the leader has no shard delegated
// to this controller.
func (p *Proxy) RenewLoop(partition *cluster.Partition) {
	assigned := p.Assignments[partition.Index]
	for active := false; ; active = p.RenewAll(partition, assigned) {
		var timer <-chan time.Time
		if active {
			timer = time.After(renewInterval)
		}
		select {
		case <-assigned.wakeup:
			if !p.loop.Sleep(renewalBatchDelay) {
				return
			}
		case <-timer:
		case <-p.loop.Context().Done():
			return
		}
	}
}

// SummaryReceived wakes the renewal loops of the partitions that, according to a leader's summary,
// have shards delegated to this controller.
func (p *Proxy) SummaryReceived(summary *peer.Summary) {
	for _, partition := range summary.Partitions {
		for _, delegated := range partition.Delegated {
			if delegated.Delegate == p.Settings.Label && int(partition.Partition) < len(p.Assignments) {
				eventloop.Signal(p.Assignments[partition.Partition].wakeup)
			}
		}
	}
}

// RenewAll sends renewal requests, one at a time, until all answered heartbeats are sent or a
// request fails. It reports whether any request was necessary.
func (p *Proxy) RenewAll(partition *cluster.Partition, assigned *assignment) bool {
	asked, more := p.renew(partition, assigned)
	for more && p.loop.Context().Err() == nil {
		_, more = p.renew(partition, assigned)
	}
	return asked
}

// renew sends one renewal request with as many unsent heartbeats as fit. It reports whether a
// request was necessary, and whether more heartbeats remain to be sent.
func (p *Proxy) renew(partition *cluster.Partition, assigned *assignment) (asked, more bool) {
	var next *renewal
	p.loop.Do(func() { next = p.prepareRenewal(partition, assigned, time.Now()) })
	if next == nil {
		return false, false
	}
	grant := new(peer.DelegationGrant)
	err := peerapi.Call(p.loop.Context(), p.network, peerCallTimeout, next.addr, DelegationPath, next.request, grant)
	p.loop.Do(func() {
		if err != nil {
			p.restoreUnsent(partition, assigned, next, err)
			return
		}
		more = p.finishRenewal(partition, assigned, next, grant)
	})
	return true, more
}

// prepareRenewal returns the next renewal, or nil if none is necessary.
func (p *Proxy) prepareRenewal(partition *cluster.Partition, assigned *assignment, now time.Time) *renewal {
	if !assigned.isCurrent(partition) {
		assigned.reset(partition)
	}
	leader := p.Peers[partition.Leader]
	if leader == nil || !p.isDelegate(partition, now) && len(assigned.Unsent) == 0 {
		return nil
	}
	next := &renewal{addr: leader.Addr, startedAt: now}
	next.request = &peer.DelegationRequest{
		From:          p.Settings.Label,
		Nonce:         p.Nonce,
		Partition:     uint32(partition.Index),
		LeaseRevision: assigned.Lease,
	}
	next.sent, next.sentBytes = assigned.takeUnsent()
	next.moreUnsent = len(assigned.Unsent) > 0
	if !next.moreUnsent {
		// After acknowledges the last reply. From it, the leader concludes that it has
		// received all heartbeats that were answered before that reply. So After is set
		// only if this request contains all unsent heartbeats (rule 39).
		next.request.After = assigned.Serial
	}
	for _, heartbeat := range next.sent {
		next.request.Heartbeats = append(next.request.Heartbeats, heartbeat.Raw)
	}
	return next
}

// restoreUnsent puts the heartbeats of a failed renewal back, so that they are sent again.
func (p *Proxy) restoreUnsent(partition *cluster.Partition, assigned *assignment, failed *renewal, err error) {
	if !assigned.matches(partition, failed) {
		return
	}
	assigned.UnsentBytes -= failed.sentBytes
	p.log.Debug("delegation renewal failed", "partition", partition.Index, "controller", assigned.Leader, "error", err)
	for machine, heartbeat := range failed.sent {
		assigned.add(machine, heartbeat)
	}
}

// finishRenewal applies the leader's reply and reports whether more heartbeats remain to be sent.
func (p *Proxy) finishRenewal(partition *cluster.Partition, assigned *assignment, done *renewal, grant *peer.DelegationGrant) (more bool) {
	if !assigned.matches(partition, done) {
		return false
	}
	assigned.UnsentBytes -= done.sentBytes
	if assigned.applyGrant(grant, done.startedAt) {
		p.log.Info("shards delegated to this controller changed", "partition", partition.Index, "controller", assigned.Leader, "shard", grant.Shards)
	}
	return done.moreUnsent
}

// matches reports whether the leader and its lease are still those under which a renewal was
// prepared.
func (a *assignment) matches(partition *cluster.Partition, sent *renewal) bool {
	return a.Leader == partition.Leader && a.Lease == sent.request.LeaseRevision
}

// isDelegate reports whether a partition's leader wants to delegate any shard to this controller.
func (p *Proxy) isDelegate(partition *cluster.Partition, now time.Time) bool {
	leader := p.Peers[partition.Leader]
	if partition.Held || leader == nil || !leader.Alive(now) || p.Draining {
		return false
	}
	return slices.ContainsFunc(leader.PartitionSummary(partition).GetDelegated(),
		func(delegated *peer.DelegatedShards) bool { return delegated.Delegate == p.Settings.Label })
}
