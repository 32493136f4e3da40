package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// Leadership is who leads the cluster, on every controller, and what the cluster leader
// keeps in memory to scale it. All of the latter may be lost: names of requests never
// repeat, and machines without a record are adopted.
type Leadership struct {
	// From the leadership's record.

	// Held: this controller is the cluster leader.
	Held bool
	// Holder is the cluster leader's label; "": there is none.
	Holder string
	// FormerHolder is who led last, for while nobody does.
	FormerHolder string
	// Revision is the record's in the state store; 0: there is none.
	Revision uint64
	// VacantSince is since when nobody leads.
	VacantSince time.Time

	// The cluster leader's memory.

	// Wakeup brings the next round of scaling forward.
	Wakeup chan struct{}
	// LastRequest counts the requests for machines that this process has made: a request's name
	// is made of Revision and this number.
	LastRequest int
	// PendingScaleOut are the requests under way, by the request's name.
	PendingScaleOut map[string]*ScaleOutRequest
	// RefusedCapacity is until when machines of a kind are not asked for, since the cloud
	// had none.
	RefusedCapacity map[binpack.MachineKind]time.Time
	// DeletingSince is when the deletion of a machine was last asked for, by name.
	DeletingSince map[string]time.Time
	// AdoptingSince is when recording a machine without a record was last tried, by name; an
	// earlier time stands for one that is to be tried soon.
	AdoptingSince map[string]time.Time
	// MovedAt is when a machine was last moved between partitions, by name.
	MovedAt map[string]time.Time
	// AssignedAt is when a partition was last given a machine, by index: demand that its
	// leader sent before it noticed must not bring another one.
	AssignedAt map[int]time.Time
	// Listed are the machines in the cloud's last listing, by name.
	Listed map[string]protocol.ListedMachine
}

// Reset forgets what the cluster leader keeps in memory about machines.
func (l *Leadership) Reset() {
	l.PendingScaleOut, l.RefusedCapacity = map[string]*ScaleOutRequest{}, map[binpack.MachineKind]time.Time{}
	l.DeletingSince, l.AdoptingSince = map[string]time.Time{}, map[string]time.Time{}
	l.MovedAt, l.AssignedAt = map[string]time.Time{}, map[int]time.Time{}
	l.Listed = map[string]protocol.ListedMachine{}
}

// ScaleOutRequest is a request for machines that is under way.
type ScaleOutRequest struct {
	Kind binpack.MachineKind
	// Partition is the index of the one that the machines are for.
	Partition int
	// Count is how many machines were asked for.
	Count int
}

// LeaderUpdate is what a cluster leader last sent of its memory, so that whoever leads next
// resumes from there.
type LeaderUpdate struct {
	// From is the sender's label; "": no update was received.
	From       string
	ReceivedAt time.Time
	Update     *peer.LeaderUpdate
}
