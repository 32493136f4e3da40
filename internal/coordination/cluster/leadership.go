package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// Leadership holds the cluster leadership as of its record, which every controller reads,
// and the cluster leader's own state for scaling. That state is only in memory and may be
// lost: the names of scale-out requests are never reused, and machines without a record are
// adopted.
type Leadership struct {
	// The cluster leadership, from its record.

	// Held is set while this controller is the cluster leader.
	Held bool
	// Holder is the cluster leader's label, or "" if there is none.
	Holder string
	// FormerHolder is the label of the last cluster leader. It is used while there is
	// no cluster leader.
	FormerHolder string
	// Revision is the revision of the leadership record in the state store, or 0 if there
	// is none.
	Revision uint64
	// AppliedRevision is the revision of the newest change of the record that was applied, its
	// deletion included. Older changes are ignored.
	AppliedRevision uint64
	// VacantSince is the time since which there has been no cluster leader.
	VacantSince time.Time

	// The state for scaling, which only the cluster leader has.

	// Wakeup triggers the next round of scaling early.
	Wakeup chan struct{}
	// RequestCount counts the scale-out requests that this process has made. The name of a
	// request contains Revision and this number.
	RequestCount int
	// PendingScaleOuts are the scale-out requests in progress, by name.
	PendingScaleOuts map[string]*ScaleOutRequest
	// CapacityRefusedUntil is the time until which no machines of a kind are requested
	// because the cloud refused a request for them.
	CapacityRefusedUntil map[binpack.MachineKind]time.Time
	// DeletionRequestedAt is the time at which the deletion of a machine was last
	// requested, by name.
	DeletionRequestedAt map[string]time.Time
	// AdoptionTriedAt is the time of the last attempt to write the record of a machine
	// that has none, by name. An earlier time is stored to make the next attempt
	// sooner.
	AdoptionTriedAt map[string]time.Time
	// MovedAt is the time at which a machine was last moved between partitions, by
	// name.
	MovedAt map[string]time.Time
	// MachineAssignedAt is the time at which a machine was last assigned to a
	// partition, by partition index. Demand that does not take this machine into
	// account yet must not cause another scale-out.
	MachineAssignedAt map[int]time.Time
	// ListedMachines are the machines in the cloud's last listing, by name.
	ListedMachines map[string]protocol.ListedMachine
}

// Reset clears the cluster leader's state in memory about machines.
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

// LeaderUpdate is the last update from a cluster leader about its state in memory, from
// which the next cluster leader resumes.
type LeaderUpdate struct {
	// From is the sender's label, or "" if no update was received.
	From       string
	ReceivedAt time.Time
	Update     *peer.LeaderUpdate
}
