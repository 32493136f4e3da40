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
	// RequestCount counts the requests for machines that this process has made: a request's name
	// is made of Revision and this number.
	RequestCount int
	// PendingScaleOuts are the requests under way, by the request's name.
	PendingScaleOuts map[string]*ScaleOutRequest
	// CapacityRefusedUntil is until when machines of a kind are not asked for, since the cloud
	// had none.
	CapacityRefusedUntil map[binpack.MachineKind]time.Time
	// DeletionRequestedAt is when the deletion of a machine was last asked for, by name.
	DeletionRequestedAt map[string]time.Time
	// AdoptionTriedAt is when recording a machine without a record was last tried, by name; an
	// earlier time stands for one that is to be tried soon.
	AdoptionTriedAt map[string]time.Time
	// MovedAt is when a machine was last moved between partitions, by name.
	MovedAt map[string]time.Time
	// MachineAssignedAt is when a partition was last given a machine, by index: demand that its
	// leader sent before it noticed must not bring another one.
	MachineAssignedAt map[int]time.Time
	// ListedMachines are the machines in the cloud's last listing, by name.
	ListedMachines map[string]protocol.ListedMachine
}

// Reset forgets what the cluster leader keeps in memory about machines.
func (l *Leadership) Reset() {
	l.PendingScaleOuts, l.CapacityRefusedUntil = map[string]*ScaleOutRequest{}, map[binpack.MachineKind]time.Time{}
	l.DeletionRequestedAt, l.AdoptionTriedAt = map[string]time.Time{}, map[string]time.Time{}
	l.MovedAt, l.MachineAssignedAt = map[string]time.Time{}, map[int]time.Time{}
	l.ListedMachines = map[string]protocol.ListedMachine{}
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
