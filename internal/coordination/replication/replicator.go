// Package replication maintains replicas of the partitions for which this controller is the
// standby, and sends updates to the standbys of the partitions that it leads. A replica is used
// only after it has been checked for completeness, and no safety rule depends on an update.
//
// Updates carry state that is not in the state store: the start times of attempts; which machines
// are slow, quarantined or about to be preempted; the images cached on machines; the corrections of
// run time estimates; and the cluster leader's operations in progress. An update contains the
// changes since the last acknowledged one, limited in size and rate. Its contents are used for
// predictions only (rule 33).
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

// Replicator maintains replicas of the partitions for which this controller is the standby, and
// sends updates to the standbys of the partitions that it leads. Its fields may be accessed only on
// the event loop.
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

	// Replicas holds this controller's replicas by partition index.
	Replicas map[int]*Replica
	// Mismatches counts the samples in which a replica differed from the state store.
	Mismatches int
}

// New creates a replicator. Connect must be called before the replicator is used.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Replicator {
	return &Replicator{State: state, loop: loop, network: network, store: store, log: log, bounds: bounds,
		Replicas: map[int]*Replica{}}
}

// Connect sets the collaborators. It is called once, before the event loop starts.
func (r *Replicator) Connect(auth Auth, autoscaler Autoscaler, scheduler Scheduler) {
	r.auth, r.autoscaler, r.scheduler = auth, autoscaler, scheduler
}

// Observe sets the metrics. It is called before the event loop starts.
func (r *Replicator) Observe(m *telemetry.Metrics) { r.metrics = m }

// DropReplica removes the replica of a partition. It is called when a takeover transfers the
// replica's contents to the partition.
func (r *Replicator) DropReplica(partition int) { delete(r.Replicas, partition) }

// ReplicaStatuses returns the status of each replica for this controller's summary to its peers.
func (r *Replicator) ReplicaStatuses() (list []*peer.ReplicaStatus) {
	for partition, replica := range r.Replicas {
		list = append(list, &peer.ReplicaStatus{Partition: uint32(partition), Revision: replica.Records.Revision()})
	}
	return list
}

// Overview returns the status of each replica for the operators' overview.
func (r *Replicator) Overview(now time.Time) (list []overview.Replica) {
	for _, p := range r.Partitions {
		if replica := r.Replicas[p.Index]; replica != nil {
			list = append(list, overview.Replica{Partition: p.Index, Leader: p.Leader, Records: replica.Records.Len(), Complete: replica.Records.Revision() != 0,
				BehindS: replica.lag(now).Seconds(), ConfirmedStarts: replica.Derived.CountKnownStarts()})
		}
	}
	return list
}
