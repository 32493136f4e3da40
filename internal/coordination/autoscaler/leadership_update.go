package autoscaler

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol/peer"
)

// movedMachinesLimit is how many machines that were moved of late the leader names.
const movedMachinesLimit = 4000

// leaderUpdateTTL is how long what the leader told counts after it was told.
const leaderUpdateTTL = 10 * time.Second

// LeaderUpdate is what the leader is about.
func (as *Autoscaler) LeaderUpdate(now time.Time) *peer.ReplicaUpdate {
	l := &as.Leadership
	lt := &peer.LeaderUpdate{}
	for _, name := range slices.Sorted(maps.Keys(l.PendingScaleOut)) {
		r := l.PendingScaleOut[name]
		lt.ScaleOuts = append(lt.ScaleOuts, &peer.ScaleOutRequest{Name: name, Type: r.Kind.Type, Zone: r.Kind.Zone, Spot: r.Kind.Spot, Count: uint32(r.Count), Partition: uint32(r.Partition)})
	}
	for kind, until := range l.RefusedCapacity {
		if until.After(now) {
			lt.Refusals = append(lt.Refusals, &peer.CapacityRefusal{Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, ForS: until.Sub(now).Seconds()})
		}
	}
	for name, at := range l.MovedAt {
		if as.Machines[name] != nil && len(lt.Moves) < movedMachinesLimit && now.Sub(at) < 2*time.Minute {
			lt.Moves = append(lt.Moves, &peer.MachineMove{Name: name, AgoS: now.Sub(at).Seconds()})
		}
	}
	return &peer.ReplicaUpdate{From: as.Settings.Label, Nonce: as.Nonce, LeaseRevision: l.Revision, Leader: lt}
}

// ResumeLeadership goes on with what the leader before was about: what the cloud lacked, which
// machines were moved of late, and its rentals without an answer, which are repeated
// under their own names, so that they rent nothing twice (18).
func (as *Autoscaler) ResumeLeadership(h cluster.LeaderUpdate, now time.Time) {
	l := &as.Leadership
	version := l.Revision
	if h.Update == nil || now.Sub(h.ReceivedAt) > leaderUpdateTTL || h.From == as.Settings.Label {
		return
	}
	for _, r := range h.Update.Refusals {
		if r.ForS > 0 && r.ForS < 60 {
			l.RefusedCapacity[binpack.MachineKind{Type: r.Type, Zone: r.Zone, Spot: r.Spot}] = h.ReceivedAt.Add(time.Duration(r.ForS * float64(time.Second)))
		}
	}
	for _, m := range h.Update.Moves {
		l.MovedAt[m.Name] = h.ReceivedAt.Add(-time.Duration(m.AgoS * float64(time.Second)))
	}
	for _, r := range h.Update.ScaleOuts {
		if int(r.Partition) >= len(as.Partitions) || r.Count == 0 || r.Count > 50 || l.PendingScaleOut[r.Name] != nil {
			continue
		}
		rent := &cluster.ScaleOutRequest{Kind: binpack.MachineKind{Type: r.Type, Zone: r.Zone, Spot: r.Spot}, Partition: int(r.Partition), Count: int(r.Count)}
		l.PendingScaleOut[r.Name] = rent
		as.log.Info("repeating a rental of the leader before", "request", r.Name, "type", r.Type, "count", r.Count)
		as.loop.Go(func() { as.finishScaleOut(r.Name, rent, version) })
	}
}
