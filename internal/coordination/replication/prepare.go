package replication

import (
	"fmt"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/storage"
)

// PrepareReplica returns a replica of a partition that is current as of the revision of the newly
// acquired lease. It catches up the existing replica (warm), or reads all run records if there is
// none or it cannot be used (not warm). The former leader's writes fail after the lease's revision,
// so a replica at that revision has all of them (rule 32). It must not be called on the event loop.
func (r *Replicator) PrepareReplica(p *cluster.Partition, leaseRevision uint64) (replica *Replica, warm bool, err error) {
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
		r.log.Info("standby replica cannot be used, reading all run records", "partition", p.Index, "revision", after, "lease", leaseRevision, "error", err)
	}
	cold, err := r.readReplica(p.Index)
	if err != nil {
		return nil, false, err
	}
	if existing != nil {
		r.loop.Do(func() { cold.adoptUpdates(existing) })
	}
	return cold, false, nil
}

// catchUp applies all changes after a revision. It returns true if the replica then has reached the
// revision of the lease and matches its sample, if a sample is waiting to be compared.
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

// readReplica creates a replica from a listing of the partition's run records.
func (r *Replicator) readReplica(partition int) (*Replica, error) {
	requestedAt := time.Now()
	items, revision, err := r.store.List(r.loop.Context(), storage.RunPrefix(partition))
	if err != nil {
		return nil, fmt.Errorf("listing run records: %w", err)
	}
	replica := NewReplica(partition, requestedAt)
	replica.ApplyListing(r.log.Error, items, revision, requestedAt)
	return replica, nil
}
