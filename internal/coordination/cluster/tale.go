package cluster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/protocol/peer"
)

// UpdateImagesLimit is how many images of a machine are told, the newest.
const UpdateImagesLimit = 50

// ReplicationProgress is how far a part's tale has come with the standby.
type ReplicationProgress struct {
	Target       string // whom it is told to
	Acknowledged uint64 // up to where that one has it
	Clock        uint64 // the place of the newest change
}

// MachineFacts is what is told of a machine, as far as a change of it is told again.
type MachineFacts struct {
	Addr              string
	Epoch             uint64
	Quarantined       bool
	SlowTasks         int
	PreemptionNoticed bool
	Images            int
}

func (m *Machine) Facts() MachineFacts {
	return MachineFacts{m.Record.Addr, m.Epoch, m.Quarantined, m.SlowTasks, !m.PreemptionAt.IsZero(), len(m.Images)}
}

// Hint is what is known of a machine beyond its record.
func (m *Machine) Hint(now time.Time) *peer.MachineHint {
	mt := &peer.MachineHint{Name: m.Name, Addr: m.Record.Addr, Epoch: m.Epoch, Quarantined: m.Quarantined, SlowTasks: uint32(m.SlowTasks), PreemptionNoticeS: -1}
	if !m.PreemptionAt.IsZero() {
		mt.PreemptionNoticeS = max(0, m.PreemptionAt.Sub(now).Seconds())
	}
	images := slices.SortedFunc(maps.Keys(m.Images), func(a, b string) int {
		return cmp.Or(m.Images[b].Compare(m.Images[a]), cmp.Compare(a, b))
	})
	mt.Images = images[:min(len(images), UpdateImagesLimit)]
	return mt
}

// LeaderUpdate is what the leader told last.
type LeaderUpdate struct {
	From       string
	ReceivedAt time.Time
	Update     *peer.LeaderUpdate
}
