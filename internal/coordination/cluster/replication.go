package cluster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/protocol/peer"
)

// HintImagesLimit is the maximum number of images that are replicated for a machine. Only
// the most recently used images are replicated.
const HintImagesLimit = 50

// noPreemptionNotice is the PreemptionNoticeS of a hint if the cloud gave no notice.
const noPreemptionNotice = -1

// ReplicationProgress tracks which changes of a partition's replicated state the standby has
// received. That state is not in the records. Each change has a sequence number, the
// ReplicationSeq of its attempt or machine.
type ReplicationProgress struct {
	// Target is the label of the standby that the changes are sent to, or "" if there is
	// none.
	Target string
	// NewestSeq is the sequence number of the newest change. The standby has confirmed all
	// changes up to AcknowledgedSeq.
	NewestSeq       uint64
	AcknowledgedSeq uint64
}

// ReplicatedMachineState is the part of a machine's state of which every change is
// replicated.
type ReplicatedMachineState struct {
	Addr              string
	Epoch             uint64
	Quarantined       bool
	SlowTasks         int
	PreemptionNoticed bool
	// Images is the number of images on the machine.
	Images int
}

// ReplicatedState returns the replicated part of the machine's present state.
func (m *Machine) ReplicatedState() ReplicatedMachineState {
	return ReplicatedMachineState{
		Addr:              m.Record.Addr,
		Epoch:             m.Epoch,
		Quarantined:       m.Quarantined,
		SlowTasks:         m.SlowTasks,
		PreemptionNoticed: !m.PreemptionAt.IsZero(),
		Images:            len(m.Images),
	}
}

// Hint returns the state of the machine that the standby needs in addition to the record.
func (m *Machine) Hint(now time.Time) *peer.MachineHint {
	hint := &peer.MachineHint{
		Name:              m.Name,
		Addr:              m.Record.Addr,
		Epoch:             m.Epoch,
		Quarantined:       m.Quarantined,
		SlowTasks:         uint32(m.SlowTasks),
		PreemptionNoticeS: noPreemptionNotice,
	}
	if !m.PreemptionAt.IsZero() {
		hint.PreemptionNoticeS = max(0, m.PreemptionAt.Sub(now).Seconds())
	}
	images := slices.SortedFunc(maps.Keys(m.Images), func(a, b string) int {
		return cmp.Or(m.Images[b].Compare(m.Images[a]), cmp.Compare(a, b))
	})
	hint.Images = images[:min(len(images), HintImagesLimit)]
	return hint
}
