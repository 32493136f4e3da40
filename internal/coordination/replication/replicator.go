// Package replication maintains replicas of the partitions that this controller is the standby
// of, and sends the standbys of its own partitions what is not on record. A replica is a hint
// until it is proven whole; nothing that a safety rule rests on comes from an update.
//
// What a leader knows beyond the records, and sends in its updates, is when attempts began, which
// machines are slow, quarantined or about to be preempted, which images they hold, how far
// estimates are off, and what the cluster leader is about. An update holds what has changed since
// what the other has, bounded in size and rate. It serves predictions only (rule 33).
package replication

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/overview"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Replicator maintains replicas of the partitions that this controller is the standby of, and sends
// updates to the standbys of its own partitions. Its fields belong to the event loop.
type Replicator struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester
	store   *storage.Store
	log     *slog.Logger
	bounds  *telemetry.BoundReporter
	metrics *telemetry.Metrics

	auth       Auth
	autoscaler Autoscaler
	scheduler  Scheduler

	// Replicas has the replicas held here, by partition.
	Replicas map[int]*Replica
	// Mismatches counts the replicas that differed from the state store.
	Mismatches int
}

// New makes a replicator; Connect gives it its collaborators.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Replicator {
	return &Replicator{State: state, loop: loop, network: network, store: store, log: log, bounds: bounds,
		Replicas: map[int]*Replica{}}
}

// Connect sets the collaborators. It is called once, before the loop starts.
func (r *Replicator) Connect(auth Auth, autoscaler Autoscaler, scheduler Scheduler) {
	r.auth, r.autoscaler, r.scheduler = auth, autoscaler, scheduler
}

// Observe sets the metrics. It is called before the loop starts.
func (r *Replicator) Observe(m *telemetry.Metrics) { r.metrics = m }

// DropReplica forgets the replica of a partition: what it holds belongs to the partition from then
// on.
func (r *Replicator) DropReplica(partition int) { delete(r.Replicas, partition) }

// Summaries is what this controller's summary says of its replicas.
func (r *Replicator) Summaries() (list []*peer.ReplicaStatus) {
	for partition, replica := range r.Replicas {
		list = append(list, &peer.ReplicaStatus{Partition: uint32(partition), Revision: replica.Records.Revision()})
	}
	return list
}

// Overview is what operators are shown of the replicas.
func (r *Replicator) Overview(now time.Time) (list []overview.Replica) {
	for _, p := range r.Partitions {
		if replica := r.Replicas[p.Index]; replica != nil {
			list = append(list, overview.Replica{Part: p.Index, Leader: p.Leader, Records: replica.Records.Len(), Complete: replica.Records.Revision() != 0,
				BehindS: replica.lag(now).Seconds(), ConfirmedStarts: replica.Derived.KnownStarts()})
		}
	}
	return list
}
