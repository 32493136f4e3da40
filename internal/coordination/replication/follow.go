package replication

import (
	"context"
	"errors"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/storage"
)

const (
	// replicaRetention is how long a replica is held by a controller that is not the standby any
	// more: it may be again.
	replicaRetention = 30 * time.Second
	// followRequestShare is which fraction of the state store's requests may go into following, for
	// all partitions together.
	followRequestShare = 0.04
	// followIntervalMin is how often a replica asks for changes at most.
	followIntervalMin = 500 * time.Millisecond
	// advanceTimeout bounds the requests that bring one replica up to date.
	advanceTimeout = 4 * time.Second
	// lagLimitS is after how many seconds without changes a replica counts as behind.
	lagLimitS = 5
)

// followInterval is how often a replica asks what has changed.
func (r *Replicator) followInterval() time.Duration {
	params := r.Settings.Params
	requestRate := followRequestShare * params.State.Lower().RPS
	return max(followIntervalMin, time.Duration(float64(params.Count)/requestRate*float64(time.Second)))
}

// FollowLoop keeps the replicas up to date until the controller ends.
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

// dueReplicas lists the replicas to bring up to date, after beginning and dropping some.
func (r *Replicator) dueReplicas(now time.Time) (due []*Replica) {
	for _, p := range r.Partitions {
		if r.isStandbyOf(p) {
			r.wantReplica(p, now)
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

// isStandbyOf says whether this controller should have a replica of a partition.
func (r *Replicator) isStandbyOf(p *cluster.Partition) bool {
	return !p.Held && r.Synced && !r.Draining && r.AnnouncedStandby(p) == r.Settings.Label
}

// wantReplica begins a replica of a partition, unless there is one.
func (r *Replicator) wantReplica(p *cluster.Partition, now time.Time) {
	replica := r.Replicas[p.Index]
	if replica == nil {
		replica = NewReplica(p.Index, now)
		r.Replicas[p.Index] = replica
		r.log.Info("standby replica begun", "partition", p.Index, "controller", p.Leader)
	}
	replica.wantedAt = now
}

// logLag logs when a replica falls behind and when it has caught up.
func (r *Replicator) logLag(p *cluster.Partition, replica *Replica, now time.Time) {
	lag := replica.lag(now)
	changed, behind := replica.behind.Changed(lag.Seconds(), lagLimitS)
	switch {
	case changed && behind:
		r.log.Info("standby replica behind", "partition", p.Index, "elapsed", lag)
	case changed:
		r.log.Info("standby replica caught up", "partition", p.Index)
	}
}

// advance brings one replica up to date.
func (r *Replicator) advance(replica *Replica) {
	ctx, cancel := context.WithTimeout(r.loop.Context(), advanceTimeout)
	defer cancel()
	after, sampling, cursor := uint64(0), false, ""
	r.loop.Do(func() {
		after = replica.Records.Revision()
		sampling, cursor = replica.sampleDue(time.Now()), replica.cursor
	})
	if after == 0 {
		r.begin(ctx, replica)
		return
	}
	if sampling {
		// Before the changes, so that the replica comes to the sample's revision.
		r.readSample(ctx, replica, cursor)
	}
	r.readChanges(ctx, replica, after)
}

// begin reads all run records of a replica's partition.
func (r *Replicator) begin(ctx context.Context, replica *Replica) {
	requestedAt := time.Now()
	items, revision, err := r.store.List(ctx, storage.RunPrefix(replica.partition))
	if err != nil {
		r.log.Debug("standby replica not begun", "partition", replica.partition, "error", err)
		return
	}
	r.ifCurrent(replica, func() { replica.StartFrom(r.log.Error, items, revision, requestedAt) })
}

// readChanges applies what has changed after a revision, or makes the replica begin anew.
func (r *Replicator) readChanges(ctx context.Context, replica *Replica, after uint64) {
	requestedAt := time.Now()
	events, err := r.store.Watch(ctx, storage.RunPrefix(replica.partition), after, 0, storage.ChangeTimeout)
	r.ifCurrent(replica, func() {
		switch {
		case errors.Is(err, storage.ErrCompacted):
			replica.reset()
		case err != nil:
			r.log.Debug("standby replica not advanced", "partition", replica.partition, "error", err)
		case !replica.Apply(r.log.Error, after, events, requestedAt):
			replica.reset()
		default:
			r.compareSample(replica)
		}
	})
}

// ifCurrent runs fn on the loop if the replica is still held.
func (r *Replicator) ifCurrent(replica *Replica, fn func()) {
	r.loop.Do(func() {
		if r.Replicas[replica.partition] == replica {
			fn()
		}
	})
}
