package replication

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
)

const (
	// UpdatePath is the path at which a controller receives replica updates.
	UpdatePath = "/peer/tale"
	// updateInterval is the time between two rounds of updates.
	updateInterval = time.Second
	// updateTimeout is the timeout of a replication request to a peer.
	updateTimeout = time.Second
	// UpdateBytesLimit is the maximum size of an update; the remaining changes follow in the next
	// ones. An update holds about 26,000 attempts, or 500 machines with all their images, so a new
	// standby receives 4,000 machines and 64,000 attempts in about 10 s.
	UpdateBytesLimit = peerapi.PortableBodyLimit * 3 / 4
	// EntryOverheadBytes is the assumed encoding overhead of a list entry.
	EntryOverheadBytes = 8
)

// outgoingUpdate is an update with the controller to which it is sent.
type outgoingUpdate struct {
	label, addr string
	// partition is nil for the cluster leader's update.
	partition *cluster.Partition
	update    *peer.ReplicaUpdate
}

// ReplicateLoop sends updates until the controller shuts down. Partition leaders send them to the
// standbys of their partitions, and the cluster leader sends its update to all other controllers.
func (r *Replicator) ReplicateLoop() {
	for r.loop.Sleep(updateInterval) {
		r.SendUpdates(r.loop.Context())
	}
}

// SendUpdates sends all pending updates concurrently. It returns when each has been answered or has
// failed, or when ctx ends.
func (r *Replicator) SendUpdates(ctx context.Context) {
	var updates []outgoingUpdate
	r.loop.Do(func() { updates = r.pendingUpdates(time.Now()) })
	done := make(chan struct{}, len(updates))
	for _, u := range updates {
		r.loop.Go(func() {
			defer func() { done <- struct{}{} }()
			r.sendUpdate(ctx, u)
		})
	}
	for range updates {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// pendingUpdates returns the updates to send now.
func (r *Replicator) pendingUpdates(now time.Time) (updates []outgoingUpdate) {
	for _, p := range r.Partitions {
		if standby := r.Peers[p.Standby]; p.Held && p.Ready && standby != nil && standby.Alive(now) {
			updates = append(updates, outgoingUpdate{label: p.Standby, addr: standby.Addr, partition: p, update: r.PartitionUpdate(p, now)})
		}
	}
	if !r.Leadership.Held {
		return updates
	}
	update := r.autoscaler.LeaderUpdate(now)
	for label, other := range r.Peers {
		if other.Alive(now) {
			updates = append(updates, outgoingUpdate{label: label, addr: other.Addr, update: update})
		}
	}
	return updates
}

// sendUpdate sends one update and stores the sequence number that the standby acknowledges.
func (r *Replicator) sendUpdate(ctx context.Context, u outgoingUpdate) {
	reply := new(peer.ReplicaUpdateReply)
	if err := peerapi.Call(ctx, r.network, updateTimeout, u.addr, UpdatePath, u.update, reply); err != nil {
		r.log.Debug("replica update failed", "controller", u.label, "error", err)
		return
	}
	if u.partition == nil {
		return
	}
	r.loop.Do(func() {
		progress := &u.partition.Replication
		if progress.Target == u.label && u.partition.LeaseRevision == u.update.LeaseRevision {
			progress.AcknowledgedSeq = min(reply.Acknowledged, progress.NewestSeq)
		}
	})
}

// PartitionUpdate returns an update with all corrections of run time estimates, and with a
// partition's changes since the sequence number that its standby has acknowledged.
func (r *Replicator) PartitionUpdate(p *cluster.Partition, now time.Time) *peer.ReplicaUpdate {
	progress := &p.Replication
	if progress.Target != p.Standby {
		progress.Target, progress.AcknowledgedSeq = p.Standby, 0
	}
	update := &peer.ReplicaUpdate{From: r.Settings.Label, Nonce: r.Nonce, LeaseRevision: p.LeaseRevision, Partition: uint32(p.Index), After: progress.AcknowledgedSeq}
	budget := UpdateBytesLimit
	for _, correction := range r.scheduler.RuntimeCorrections() {
		update.Classes = append(update.Classes, correction)
		budget -= proto.Size(correction) + EntryOverheadBytes
	}
	changes := r.partitionChanges(p)
	update.Through = progress.NewestSeq
	if !addChanges(update, changes, budget, now) {
		r.bounds.ReportExceeded(telemetry.ReplicaUpdates, 1)
	}
	return update
}

// replicaChange is an attempt or a machine whose replicated state has changed.
type replicaChange struct {
	// seq is the sequence number of the change within the partition.
	seq     uint64
	attempt *cluster.Attempt
	machine *cluster.Machine
}

// partitionChanges returns a partition's changes since the sequence number that its standby has
// acknowledged, in order. It assigns sequence numbers to new changes.
func (r *Replicator) partitionChanges(p *cluster.Partition) (changes []replicaChange) {
	progress := &p.Replication
	for _, job := range r.Jobs {
		if job.Partition != p.Index || !job.HasRunState {
			continue
		}
		for _, a := range job.LiveAttempts {
			if a.ReplicationSeq == 0 && !a.StartedAt.IsZero() && (!a.Inherited || !a.ReplicatedStart.IsZero()) {
				progress.NewestSeq++
				a.ReplicationSeq = progress.NewestSeq
			}
			if a.ReplicationSeq > progress.AcknowledgedSeq {
				changes = append(changes, replicaChange{seq: a.ReplicationSeq, attempt: a})
			}
		}
	}
	for _, m := range r.Machines {
		if m.Record.Partition != p.Index || !m.HasReported {
			continue
		}
		if state := m.ReplicatedState(); m.ReplicationSeq == 0 || state != m.LastReplicated {
			progress.NewestSeq++
			m.LastReplicated, m.ReplicationSeq = state, progress.NewestSeq
		}
		if m.ReplicationSeq > progress.AcknowledgedSeq {
			changes = append(changes, replicaChange{seq: m.ReplicationSeq, machine: m})
		}
	}
	slices.SortFunc(changes, func(a, b replicaChange) int { return cmp.Compare(a.seq, b.seq) })
	return changes
}

// addChanges adds as many changes to an update as fit into the budget of bytes, but at least one. It
// reports whether all were added; the others follow in the next update.
func addChanges(update *peer.ReplicaUpdate, changes []replicaChange, budget int, now time.Time) bool {
	for i, change := range changes {
		var start *peer.AttemptStart
		var hint *peer.MachineHint
		if a := change.attempt; a != nil {
			start = &peer.AttemptStart{Job: a.Job.Spec.ID, Task: uint32(a.TaskIndex), Attempt: a.Number, RunningS: a.RunTimeS(now)}
			budget -= proto.Size(start) + EntryOverheadBytes
		} else {
			hint = change.machine.Hint(now)
			budget -= proto.Size(hint) + EntryOverheadBytes
		}
		if budget < 0 && i > 0 {
			update.Through = changes[i-1].seq
			return false
		}
		if start != nil {
			update.Attempts = append(update.Attempts, start)
		} else {
			update.Machines = append(update.Machines, hint)
		}
	}
	return true
}
