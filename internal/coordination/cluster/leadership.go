package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// Leadership is the cluster leadership as every controller knows it, and what the cluster
// leader keeps in memory for scaling. The latter may be lost: the names of scale-out
// requests are never reused, and machines without a record are adopted.
type Leadership struct {
	// From the leadership record.

	// Held is set while this controller is the cluster leader.
	Held bool
	// Holder is the cluster leader's label, or "" if there is none.
	Holder string
	// FormerHolder is the label of the last cluster leader, used while there is none.
	FormerHolder string
	// Revision is the revision of the leadership record in the state store, or 0 if there
	// is none.
	Revision uint64
	// VacantSince is the time since which there has been no cluster leader.
	VacantSince time.Time

	// Kept in memory by the cluster leader.

	// Wakeup triggers the next round of scaling early.
	Wakeup chan struct{}
	// RequestCount counts the scale-out requests that this process has made. The name of a
	// request contains Revision and this number.
	RequestCount int
	// PendingScaleOuts are the scale-out requests in progress, by name.
	PendingScaleOuts map[string]*ScaleOutRequest
	// CapacityRefusedUntil is the time until which no machines of a kind are requested
	// because the cloud had none.
	CapacityRefusedUntil map[binpack.MachineKind]time.Time
	// DeletionRequestedAt is when the deletion of a machine was last requested, by name.
	DeletionRequestedAt map[string]time.Time
	// AdoptionTriedAt is when the last attempt was made to record a machine that has no
	// record, by name. An earlier time is stored to make the next attempt sooner.
	AdoptionTriedAt map[string]time.Time
	// MovedAt is when a machine was last moved between partitions, by name.
	MovedAt map[string]time.Time
	// MachineAssignedAt is when a partition was last given a machine, by partition index.
	// Demand that the partition's leader reported before it noticed that machine must not
	// bring another one.
	MachineAssignedAt map[int]time.Time
	// ListedMachines are the machines in the cloud's last listing, by name.
	ListedMachines map[string]protocol.ListedMachine
}

// Reset clears what the cluster leader keeps in memory about machines.
func (l *Leadership) Reset() {
	l.PendingScaleOuts, l.CapacityRefusedUntil = map[string]*ScaleOutRequest{}, map[binpack.MachineKind]time.Time{}
	l.DeletionRequestedAt, l.AdoptionTriedAt = map[string]time.Time{}, map[string]time.Time{}
	l.MovedAt, l.MachineAssignedAt = map[string]time.Time{}, map[int]time.Time{}
	l.ListedMachines = map[string]protocol.ListedMachine{}
}

// ScaleOutRequest is a request for machines that is in progress.
type ScaleOutRequest struct {
	Kind binpack.MachineKind
	// Partition is the index of the partition that the machines are for.
	Partition int
	// Count is the number of machines requested.
	Count int
}

// LeaderUpdate is the part of its memory that a cluster leader last sent, from which the
// next cluster leader resumes.
type LeaderUpdate struct {
	// From is the sender's label, or "" if no update was received.
	From       string
	ReceivedAt time.Time
	Update     *peer.LeaderUpdate
}
