package replication

import (
	"context"
	"errors"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/storage"
)

const (
	// replicaRetention is the time for which a controller keeps a replica after it was last the
	// partition's standby, since it may become the standby again.
	replicaRetention = 30 * time.Second
	// followRateShare is the fraction of the state store's request rate that replicas of all
	// partitions together may use to read changes.
	followRateShare = 0.04
	// minFollowInterval is the minimum time between a replica's requests for changes.
	minFollowInterval = 500 * time.Millisecond
	// advanceTimeout limits the requests of one update of a replica.
	advanceTimeout = 4 * time.Second
	// lagLimitS is the lag in seconds above which a replica is logged as behind.
	lagLimitS = 5
)

// followInterval returns the time between a replica's requests for changes.
func (r *Replicator) followInterval() time.Duration {
	params := r.Settings.Params
	requestRate := followRateShare * params.State.Lower().RPS
	return max(minFollowInterval, time.Duration(float64(params.ControllerCount)/requestRate*float64(time.Second)))
}

// FollowLoop keeps the replicas up to date until the controller shuts down.
func (r *Replicator) FollowLoop() {
	interval := r.followInterval()
	for r.loop.Sleep(interval) {
		var due []*Replica
		r.loop.Do(func() { due = r.dueReplicas(time.Now()) })
		for _, replica := range due {
			r.advance(replica)
		}
	}
}

// dueReplicas creates missing replicas, drops those that are no longer needed, and returns all others,
// which are to be updated.
func (r *Replicator) dueReplicas(now time.Time) (due []*Replica) {
	for _, p := range r.Partitions {
		if r.isStandbyOf(p) {
			r.ensureReplica(p, now)
		}
		replica := r.Replicas[p.Index]
		if replica == nil {
			continue
		}
		if p.Held && p.Ready || now.Sub(replica.wantedAt) > replicaRetention {
			delete(r.Replicas, p.Index)
			continue
		}
		due = append(due, replica)
		r.logLag(p, replica, now)
	}
	return due
}

// isStandbyOf reports whether this controller is a partition's standby and should have a replica.
func (r *Replicator) isStandbyOf(p *cluster.Partition) bool {
	return !p.Held && r.Synced && !r.Draining && r.AnnouncedStandby(p) == r.Settings.Label
}

// ensureReplica creates a replica of a partition if there is none, and records that it is needed.
func (r *Replicator) ensureReplica(p *cluster.Partition, now time.Time) {
	replica := r.Replicas[p.Index]
	if replica == nil {
		replica = NewReplica(p.Index, now)
		r.Replicas[p.Index] = replica
		r.log.Info("standby replica created", "partition", p.Index, "controller", p.Leader)
	}
	replica.wantedAt = now
}

// logLag logs when a replica falls behind and when it has caught up again.
func (r *Replicator) logLag(p *cluster.Partition, replica *Replica, now time.Time) {
	lag := replica.lag(now)
	changed, behind := replica.lagState.Changed(lag.Seconds(), lagLimitS)
	switch {
	case changed && behind:
		r.log.Info("standby replica is behind", "partition", p.Index, "elapsed", lag)
	case changed:
		r.log.Info("standby replica has caught up", "partition", p.Index)
	}
}

// advance brings one replica up to date.
func (r *Replicator) advance(replica *Replica) {
	ctx, cancel := context.WithTimeout(r.loop.Context(), advanceTimeout)
	defer cancel()
	after, sampling, cursor := uint64(0), false, ""
	r.loop.Do(func() {
		after = replica.Records.Revision()
		sampling, cursor = replica.sampleDue(time.Now()), replica.sampleCursor
	})
	if after == 0 {
		r.loadRecords(ctx, replica)
		return
	}
	if sampling {
		// The sample is read first, so that the changes bring the replica to the sample's revision.
		r.readSample(ctx, replica, cursor)
	}
	r.readChanges(ctx, replica, after)
}

// loadRecords initializes a replica from a listing of its partition's run records.
func (r *Replicator) loadRecords(ctx context.Context, replica *Replica) {
	requestedAt := time.Now()
	items, revision, err := r.store.List(ctx, storage.RunPrefix(replica.partition))
	if err != nil {
		r.log.Debug("listing run records for standby replica failed", "partition", replica.partition, "error", err)
		return
	}
	r.ifCurrent(replica, func() { replica.ApplyListing(r.log.Error, items, revision, requestedAt) })
}

// readChanges applies the changes after a revision. If changes after the replica's revision are
// missing, the replica is reset, and the run records are listed again.
func (r *Replicator) readChanges(ctx context.Context, replica *Replica, after uint64) {
	requestedAt := time.Now()
	events, err := r.store.Watch(ctx, storage.RunPrefix(replica.partition), after, 0, storage.ImmediateWatchTimeout)
	r.ifCurrent(replica, func() {
		switch {
		case errors.Is(err, storage.ErrCompacted):
			replica.reset()
		case err != nil:
			r.log.Debug("reading changes for standby replica failed", "partition", replica.partition, "error", err)
		case !replica.Apply(r.log.Error, after, events, requestedAt):
			replica.reset()
		default:
			r.compareSample(replica)
		}
	})
}

// ifCurrent runs fn on the event loop, unless the replica has been dropped or replaced.
func (r *Replicator) ifCurrent(replica *Replica, fn func()) {
	r.loop.Do(func() {
		if r.Replicas[replica.partition] == replica {
			fn()
		}
	})
}
