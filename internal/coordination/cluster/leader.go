package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// Leadership is what the leader keeps in memory. All of it may be lost: names
// of rentals never repeat, and machines without a record are adopted.
type Leadership struct {
	Held         bool
	Holder       string
	FormerHolder string // who led before, while nobody does
	Revision     uint64
	VacantSince  time.Time

	// Wakeup brings the next round forward.
	Wakeup          chan struct{}
	Requests        int
	PendingScaleOut map[string]*ScaleOutRequest
	RefusedCapacity map[binpack.MachineKind]time.Time // capacity that was refused, until when
	Deleting        map[string]time.Time
	Adopting        map[string]time.Time
	MovedAt         map[string]time.Time
	// AssignedAt is when a part was last given a machine: what its owner said
	// before it noticed must not bring another one.
	AssignedAt map[int]time.Time
	Listed     map[string]protocol.ListedMachine
}

// ScaleOutRequest is a request under way.
type ScaleOutRequest struct {
	Kind      binpack.MachineKind
	Partition int
	Count     int
}

func (l *Leadership) Reset() {
	l.PendingScaleOut, l.RefusedCapacity = map[string]*ScaleOutRequest{}, map[binpack.MachineKind]time.Time{}
	l.Deleting, l.Adopting = map[string]time.Time{}, map[string]time.Time{}
	l.MovedAt, l.AssignedAt = map[string]time.Time{}, map[int]time.Time{}
	l.Listed = map[string]protocol.ListedMachine{}
}

// IsDeleted says whether a machine is known to be gone though it is on record: the write of
// its record went unanswered and was applied after the record's end (44).
func (s *State) IsDeleted(name string) bool {
	_, gone := s.DeletedMachines[name]
	return gone
}

func MachineKindOf(rec storage.Machine) binpack.MachineKind {
	return binpack.MachineKind{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
}
