package cluster

import (
	"time"

	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol/peer"
)

// Peer is what another controller last said of itself.
type Peer struct {
	Addr       string
	HeardAt    time.Time
	HeardSince time.Time // since when it has been heard without a gap
	Summary    *peer.Summary
	// ReportingMachines are the machines that report to it, as it last said, visitors those of
	// them that came here since; ended is the lease of it that was ended here.
	ReportingMachines, DivertedMachines map[string]bool
	RevokedLease                        uint64
}

// Alive says whether what the controller last said still counts.
func (ps *Peer) Alive(now time.Time) bool {
	return ps.Summary != nil && now.Sub(ps.HeardAt) <= 2*time.Second
}

// PartitionSummary is what the controller last said of a part as its owner; nil: nothing.
func (ps *Peer) PartitionSummary(p *Partition) *peer.PartitionSummary {
	if ps == nil || ps.Summary == nil {
		return nil
	}
	for _, sum := range ps.Summary.Partitions {
		if int(sum.Partition) == p.Index {
			return sum
		}
	}
	return nil
}

// ClockMargin is added to every bound that must hold on another machine's clock.
const ClockMargin = time.Second

// ClockDrift is by how much steady clocks may differ, with room to spare.
const ClockDrift = 1.001

func (p *Partition) Wake() { eventloop.Signal(p.Wakeup) }
