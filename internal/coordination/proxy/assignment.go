package proxy

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/protocol/peer"
)

// assignment is what this controller does as a delegate for the leader of one partition. It
// belongs to the event loop.
type assignment struct {
	// Leader and Lease (the revision of its partition lease) tell for whom it is.
	Leader string
	Lease  uint64
	// Shards are those whose heartbeats may be answered here until GrantedUntil, by the local
	// clock.
	Shards       [delegation.ShardCount]bool
	GrantedUntil time.Time
	// Serial is that of the last grant that came; 0: none yet.
	Serial uint64
	// Unsent are the heartbeats that were answered and not yet sent to the leader, the newest
	// of each machine. UnsentBytes is the size of them and of those on their way.
	Unsent      map[string]answeredHeartbeat
	UnsentBytes int
	wakeup      chan struct{}
}

// answeredHeartbeat is a heartbeat that was answered here, as it came.
type answeredHeartbeat struct {
	Raw             []byte
	epoch, sequence uint64
}

func newAssignment() *assignment {
	return &assignment{Unsent: map[string]answeredHeartbeat{}, wakeup: make(chan struct{}, 1)}
}

// olderThan says whether the machine sent the heartbeat before another one.
func (h answeredHeartbeat) olderThan(other answeredHeartbeat) bool {
	if h.epoch != other.epoch {
		return h.epoch < other.epoch
	}
	return h.sequence < other.sequence
}

// add stores a heartbeat to be sent, unless a newer one of its machine already waits:
// heartbeats may arrive late.
func (a *assignment) add(machine string, heartbeat answeredHeartbeat) {
	if stored, ok := a.Unsent[machine]; ok {
		if heartbeat.olderThan(stored) {
			return
		}
		a.UnsentBytes -= len(stored.Raw)
	}
	a.UnsentBytes += len(heartbeat.Raw)
	a.Unsent[machine] = heartbeat
}

// takeUnsent removes as many heartbeats as one message holds and returns them with their size
// in bytes. It takes at least one if there is any.
func (a *assignment) takeUnsent() (taken map[string]answeredHeartbeat, size int) {
	taken = map[string]answeredHeartbeat{}
	for machine, heartbeat := range a.Unsent {
		if len(taken) > 0 && size+len(heartbeat.Raw) > renewalBytesLimit {
			break
		}
		taken[machine] = heartbeat
		size += len(heartbeat.Raw)
		delete(a.Unsent, machine)
	}
	return taken, size
}

// allows says whether the grant allows an answer to a machine of the partition now.
func (a *assignment) allows(partition *cluster.Partition, machine *cluster.Machine, now time.Time) bool {
	return a.Shards[machine.Shard] && now.Before(a.GrantedUntil) && a.isUnder(partition)
}

// isUnder says whether the assignment is for the partition's present leader and lease.
func (a *assignment) isUnder(partition *cluster.Partition) bool {
	return a.Leader == partition.Leader && a.Lease == partition.LeaseRevision
}

// restart begins anew under the partition's present leader and lease. Heartbeats that were
// answered for the former leader are dropped: finding out what they said is up to its
// successor.
func (a *assignment) restart(partition *cluster.Partition) {
	a.Leader, a.Lease = partition.Leader, partition.LeaseRevision
	a.Serial, a.GrantedUntil, a.UnsentBytes = 0, time.Time{}, 0
	a.Shards = [delegation.ShardCount]bool{}
	clear(a.Unsent)
}

// applyGrant takes over a grant that was asked for at the given time, and says whether it
// changes the shards.
func (a *assignment) applyGrant(grant *peer.DelegationGrant, requestedAt time.Time) (changed bool) {
	a.Serial = grant.Serial
	a.GrantedUntil = requestedAt.Add(time.Duration(grant.GrantMs) * time.Millisecond)
	former := a.Shards
	a.Shards = [delegation.ShardCount]bool{}
	for _, shard := range grant.Shards {
		if shard < delegation.ShardCount {
			a.Shards[shard] = true
		}
	}
	return former != a.Shards
}
