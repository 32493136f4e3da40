package cluster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/protocol/peer"
)

// HintImagesLimit is how many images of a machine are replicated, the most recently used.
const HintImagesLimit = 50

// noPreemptionNotice stands in a hint's PreemptionNoticeS where the cloud gave no notice.
const noPreemptionNotice = -1

// ReplicationProgress is how far a partition's standby has followed the changes that are
// beyond the records. Changes are numbered, each attempt's and machine's by its
// ReplicationSeq.
type ReplicationProgress struct {
	// Target is the standby that they are sent to; "": nobody.
	Target string
	// NewestSeq is the number of the newest change, AcknowledgedSeq that up to which the standby
	// has confirmed them all.
	NewestSeq       uint64
	AcknowledgedSeq uint64
}

// ReplicatedMachineState are the facts of a machine of which each change is replicated.
type ReplicatedMachineState struct {
	Addr              string
	Epoch             uint64
	Quarantined       bool
	SlowTasks         int
	PreemptionNoticed bool
	// Images counts its images.
	Images int
}

// ReplicatedState are the machine's facts as they are now.
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

// Hint is what is known of a machine beyond its record, for the standby.
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
