package autoscaler

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
)

const (
	// maxReplicatedMoves is the maximum number of machine moves in an update.
	maxReplicatedMoves = 4000
	// replicatedMoveAge is the age up to which a machine move is included in an update.
	replicatedMoveAge = 2 * time.Minute
	// maxRefusalS is the limit on the remaining seconds of a capacity refusal in an update. A
	// refusal with a longer remaining time is ignored.
	maxRefusalS = 60
	// leaderUpdateTTL is the time after its receipt for which an update may be used.
	leaderUpdateTTL = 10 * time.Second
)

// LeaderUpdate returns the state that the next cluster leader needs to continue: the scale-out
// requests in progress, the capacity refused by the cloud, and the recent machine moves.
func (a *Autoscaler) LeaderUpdate(now time.Time) *peer.ReplicaUpdate {
	leadership := &a.Leadership
	update := &peer.LeaderUpdate{}
	for _, name := range slices.Sorted(maps.Keys(leadership.PendingScaleOuts)) {
		request := leadership.PendingScaleOuts[name]
		update.ScaleOuts = append(update.ScaleOuts, &peer.ScaleOutRequest{
			Name:      name,
			Type:      request.Kind.Type,
			Zone:      request.Kind.Zone,
			Spot:      request.Kind.Spot,
			Count:     uint32(request.Count),
			Partition: uint32(request.Partition),
		})
	}
	for kind, until := range leadership.CapacityRefusedUntil {
		if until.After(now) {
			update.Refusals = append(update.Refusals, &peer.CapacityRefusal{Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, ForS: until.Sub(now).Seconds()})
		}
	}
	for name, movedAt := range leadership.MovedAt {
		if a.Machines[name] != nil && len(update.Moves) < maxReplicatedMoves && now.Sub(movedAt) < replicatedMoveAge {
			update.Moves = append(update.Moves, &peer.MachineMove{Name: name, AgoS: now.Sub(movedAt).Seconds()})
		}
	}
	return &peer.ReplicaUpdate{From: a.Settings.Label, Nonce: a.Nonce, LeaseRevision: leadership.Revision, Leader: update}
}

// ResumeLeadership continues the work of the former leader from its last update. Unanswered
// requests to the cloud are repeated under the same names, so that no machine is created twice
// (rule 18).
func (a *Autoscaler) ResumeLeadership(last cluster.LeaderUpdate, now time.Time) {
	if last.Update == nil || now.Sub(last.ReceivedAt) > leaderUpdateTTL || last.From == a.Settings.Label {
		return
	}
	leadership := &a.Leadership
	for _, refusal := range last.Update.Refusals {
		if refusal.ForS > 0 && refusal.ForS < maxRefusalS {
			kind := binpack.MachineKind{Type: refusal.Type, Zone: refusal.Zone, Spot: refusal.Spot}
			leadership.CapacityRefusedUntil[kind] = last.ReceivedAt.Add(settings.Seconds(refusal.ForS))
		}
	}
	for _, move := range last.Update.Moves {
		leadership.MovedAt[move.Name] = last.ReceivedAt.Add(-settings.Seconds(move.AgoS))
	}
	for _, request := range last.Update.ScaleOuts {
		a.resumeScaleOut(request)
	}
}

// resumeScaleOut continues a scale-out request of the former leader, if it is valid and not already
// in progress.
func (a *Autoscaler) resumeScaleOut(received *peer.ScaleOutRequest) {
	leadership := &a.Leadership
	if int(received.Partition) >= len(a.Partitions) || received.Count == 0 || received.Count > maxScaleOut || leadership.PendingScaleOuts[received.Name] != nil {
		return
	}
	request := &cluster.ScaleOutRequest{
		Kind:      binpack.MachineKind{Type: received.Type, Zone: received.Zone, Spot: received.Spot},
		Partition: int(received.Partition),
		Count:     int(received.Count),
	}
	leadership.PendingScaleOuts[received.Name] = request
	a.log.Info("scale-out resumed", "request", received.Name, "type", received.Type, "count", received.Count)
	a.runScaleOut(received.Name, request, leadership.Revision)
}
