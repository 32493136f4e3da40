package proxy

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/protocol/peer"
)

// assignment is the state of this controller as a delegate of one partition's leader. It must be
// used only in the event loop.
type assignment struct {
	// Leader is the label of the partition's leader, and Lease the revision of its partition lease,
	// under which the shards are delegated.
	Leader string
	Lease  uint64
	// Shards are the delegated shards. Until GrantedUntil, by the local clock, this controller may
	// answer the heartbeats of their machines.
	Shards       [delegation.ShardCount]bool
	GrantedUntil time.Time
	// Serial is the serial number of the last grant received, or 0 if there is none.
	Serial uint64
	// Unsent holds, by machine, the newest heartbeat that was answered and not yet sent to the
	// leader. UnsentBytes is the size of these heartbeats and of those in a request in flight.
	Unsent      map[string]answeredHeartbeat
	UnsentBytes int
	// wakeup makes RenewLoop send a renewal request early.
	wakeup chan struct{}
}

// answeredHeartbeat is a heartbeat that this controller has answered, as received from the agent.
type answeredHeartbeat struct {
	Raw             []byte
	epoch, sequence uint64
}

func newAssignment() *assignment {
	return &assignment{Unsent: map[string]answeredHeartbeat{}, wakeup: make(chan struct{}, 1)}
}

// olderThan reports whether the machine sent the heartbeat h before other.
func (h answeredHeartbeat) olderThan(other answeredHeartbeat) bool {
	if h.epoch != other.epoch {
		return h.epoch < other.epoch
	}
	return h.sequence < other.sequence
}

// add stores a heartbeat to be sent to the leader, unless a newer heartbeat of the machine is
// already stored, since heartbeats may arrive out of order.
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

// takeUnsent removes as many unsent heartbeats as fit into one request, at least one if there are
// any, and returns them with their size in bytes.
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

// allows reports whether the grant allows this controller to answer a machine of the partition now.
func (a *assignment) allows(partition *cluster.Partition, machine *cluster.Machine, now time.Time) bool {
	return a.Shards[machine.Shard] && now.Before(a.GrantedUntil) && a.isCurrent(partition)
}

// isCurrent reports whether the assignment is under the partition's current leader and lease.
func (a *assignment) isCurrent(partition *cluster.Partition) bool {
	return a.Leader == partition.Leader && a.Lease == partition.LeaseRevision
}

// reset clears the assignment and sets the partition's current leader and lease. Unsent heartbeats
// are dropped: the new leader determines the state of the machines itself.
func (a *assignment) reset(partition *cluster.Partition) {
	a.Leader, a.Lease = partition.Leader, partition.LeaseRevision
	a.Serial, a.GrantedUntil, a.UnsentBytes = 0, time.Time{}, 0
	a.Shards = [delegation.ShardCount]bool{}
	clear(a.Unsent)
}

// applyGrant stores a grant that was requested at the given time, and reports whether the delegated
// shards changed.
func (a *assignment) applyGrant(grant *peer.DelegationGrant, requestedAt time.Time) (changed bool) {
	a.Serial = grant.Serial
	a.GrantedUntil = requestedAt.Add(time.Duration(grant.GrantMs) * time.Millisecond)
	previous := a.Shards
	a.Shards = [delegation.ShardCount]bool{}
	for _, shard := range grant.Shards {
		if shard < delegation.ShardCount {
			a.Shards[shard] = true
		}
	}
	return previous != a.Shards
}
