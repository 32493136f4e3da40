package proxy

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol/peer"
)

// DelegationPath is where a leader answers the renewals of its delegates.
const DelegationPath = "/peer/carry"

const (
	// renewInterval is how often a delegate asks the leader to renew its grant.
	renewInterval = 300 * time.Millisecond
	// gatherDelay is for how long heartbeats are gathered after one has come.
	gatherDelay = 50 * time.Millisecond
	// renewTimeout bounds the wait for the leader's reply.
	renewTimeout = time.Second
	// renewalBytesLimit is how many bytes of heartbeats one message holds; more go in several.
	renewalBytesLimit = peerapi.PortableBodyLimit * 3 / 4
)

// renewal is one request to a partition's leader, and what is needed once its reply comes.
type renewal struct {
	request   *peer.DelegationRequest
	addr      string
	startedAt time.Time
	sent      map[string]answeredHeartbeat
	sentBytes int
	// remaining: more heartbeats wait than the message holds.
	remaining bool
}

// RenewLoop asks a partition's leader to renew the grant, and sends it the heartbeats that
// were answered, until the event loop's context ends. It sleeps while the leader delegates
// nothing to this controller.
func (p *Proxy) RenewLoop(partition *cluster.Partition) {
	assigned := p.Assignments[partition.Index]
	for active := false; ; active = p.RenewAll(partition, assigned) {
		var again <-chan time.Time
		if active {
			again = time.After(renewInterval)
		}
		select {
		case <-assigned.wakeup:
			if !p.loop.Sleep(gatherDelay) {
				return
			}
		case <-again:
		case <-p.loop.Context().Done():
			return
		}
	}
}

// SummaryReceived wakes the renewals of the partitions whose leader, in its summary, delegates
// shards to this controller.
func (p *Proxy) SummaryReceived(summary *peer.Summary) {
	for _, partition := range summary.Partitions {
		for _, delegated := range partition.Delegated {
			if delegated.Delegate == p.Settings.Label && int(partition.Partition) < len(p.Assignments) {
				eventloop.Signal(p.Assignments[partition.Partition].wakeup)
			}
		}
	}
}

// RenewAll sends renewals, one at a time, until all answered heartbeats are sent or one
// renewal had no reply. It says whether there was anything to ask.
func (p *Proxy) RenewAll(partition *cluster.Partition, assigned *assignment) bool {
	asked, more := p.renew(partition, assigned)
	for more && p.loop.Context().Err() == nil {
		_, more = p.renew(partition, assigned)
	}
	return asked
}

// renew sends one renewal with the heartbeats that were answered since the last one that had
// a reply, as many as a message holds. It says whether there was anything to ask, and whether
// there is more to send.
func (p *Proxy) renew(partition *cluster.Partition, assigned *assignment) (asked, more bool) {
	var next *renewal
	p.loop.Do(func() { next = p.prepareRenewal(partition, assigned, time.Now()) })
	if next == nil {
		return false, false
	}
	grant := new(peer.DelegationGrant)
	err := peerapi.Call(p.loop.Context(), p.network, renewTimeout, next.addr, DelegationPath, next.request, grant)
	p.loop.Do(func() {
		if err != nil {
			p.restoreUnsent(partition, assigned, next, err)
			return
		}
		more = p.finishRenewal(partition, assigned, next, grant)
	})
	return true, more
}

// prepareRenewal makes the next renewal; nil: there is nothing to ask.
func (p *Proxy) prepareRenewal(partition *cluster.Partition, assigned *assignment, now time.Time) *renewal {
	if !assigned.isUnder(partition) {
		assigned.restart(partition)
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
	next.remaining = len(assigned.Unsent) > 0
	if !next.remaining {
		// Only a request with all heartbeats shows that the leader knows every answer up to
		// the last reply (rule 39).
		next.request.After = assigned.Serial
	}
	for _, heartbeat := range next.sent {
		next.request.Heartbeats = append(next.request.Heartbeats, heartbeat.Raw)
	}
	return next
}

// restoreUnsent puts the heartbeats of a failed renewal back, to be sent again.
func (p *Proxy) restoreUnsent(partition *cluster.Partition, assigned *assignment, failed *renewal, err error) {
	if !assigned.continues(partition, failed) {
		return
	}
	assigned.UnsentBytes -= failed.sentBytes
	p.log.Debug("delegation renewal failed", "partition", partition.Index, "controller", assigned.Leader, "error", err)
	for machine, heartbeat := range failed.sent {
		assigned.add(machine, heartbeat)
	}
}

// finishRenewal applies the leader's reply and says whether there is more to send.
func (p *Proxy) finishRenewal(partition *cluster.Partition, assigned *assignment, done *renewal, grant *peer.DelegationGrant) (more bool) {
	if !assigned.continues(partition, done) {
		return false
	}
	assigned.UnsentBytes -= done.sentBytes
	if assigned.applyGrant(grant, done.startedAt) {
		p.log.Info("delegated shards changed", "partition", partition.Index, "controller", assigned.Leader, "shard", grant.Shards)
	}
	return done.remaining
}

// continues says whether a renewal's reply still concerns the assignment: neither the leader
// nor its lease has changed since the renewal was made.
func (a *assignment) continues(partition *cluster.Partition, sent *renewal) bool {
	return a.Leader == partition.Leader && a.Lease == sent.request.LeaseRevision
}

// isDelegate says whether a partition's leader wants to delegate any shard to this controller.
func (p *Proxy) isDelegate(partition *cluster.Partition, now time.Time) bool {
	leader := p.Peers[partition.Leader]
	if partition.Held || leader == nil || !leader.Alive(now) || p.Draining {
		return false
	}
	return slices.ContainsFunc(leader.PartitionSummary(partition).GetDelegated(),
		func(delegated *peer.DelegatedShards) bool { return delegated.Delegate == p.Settings.Label })
}
