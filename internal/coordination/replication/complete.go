package replication

import (
	"fmt"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/storage"
)

// CompleteReplica brings the replica of a partition to the lease under which it is to be used, or
// reads the records anew if there is none that can be; warm says that it did not. Nothing of the
// former leader is applied after the lease's revision, so that an answer that reaches it covers
// everything (rule 32). It must not be called on the loop.
func (r *Replicator) CompleteReplica(p *cluster.Partition, leaseRevision uint64) (replica *Replica, warm bool, err error) {
	var existing *Replica
	after := uint64(0)
	r.loop.Do(func() {
		if existing = r.Replicas[p.Index]; existing != nil {
			after = existing.Records.Revision()
		}
	})
	if after != 0 {
		complete, err := r.catchUp(existing, after, leaseRevision)
		if complete {
			return existing, true, nil
		}
		r.log.Info("standby replica not used", "partition", p.Index, "revision", after, "lease", leaseRevision, "error", err)
	}
	cold, err := r.readReplica(p.Index)
	if err != nil {
		return nil, false, err
	}
	if existing != nil {
		r.loop.Do(func() { cold.inherit(existing) })
	}
	return cold, false, nil
}

// catchUp applies all changes after a revision, and says whether the replica has come to the lease
// and agrees with its sample.
func (r *Replicator) catchUp(replica *Replica, after, leaseRevision uint64) (complete bool, err error) {
	requestedAt := time.Now()
	events, err := r.store.CatchUp(r.loop.Context(), storage.RunPrefix(replica.partition), after)
	if err != nil {
		return false, err
	}
	r.ifCurrent(replica, func() {
		complete = replica.Apply(r.log.Error, after, events, requestedAt) && replica.Records.Revision() >= leaseRevision
		if complete && replica.sample != nil {
			r.compareSample(replica)
			complete = replica.Records.Revision() != 0
		}
	})
	return complete, nil
}

// readReplica makes a replica of the records as they are now.
func (r *Replicator) readReplica(partition int) (*Replica, error) {
	requestedAt := time.Now()
	items, revision, err := r.store.List(r.loop.Context(), storage.RunPrefix(partition))
	if err != nil {
		return nil, fmt.Errorf("run records: %w", err)
	}
	replica := NewReplica(partition, requestedAt)
	replica.StartFrom(r.log.Error, items, revision, requestedAt)
	return replica, nil
}
