// Package scheduler decides which tasks of a partition run where. It gathers views of the
// state, has the pure packages queue, placement, preemption, fairshare and contention decide,
// and applies their plans: it reserves attempts on machines and preempts running ones. It owns
// the corrections of run-time estimates and the reservations of the fair share.
//
// All methods run in the event loop, and only the leader of a partition schedules it.
package scheduler

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Scheduler decides which tasks of a partition run where: the order of its queue, placement,
// preemption and the fair share.
type Scheduler struct {
	*cluster.State
	store   *storage.Store
	log     *slog.Logger
	bounds  *telemetry.BoundReporter
	metrics *telemetry.Metrics

	agents Agents

	// Corrections hold, by class, how run times compare with their estimates.
	Corrections map[string]*runtimeCorrection
	// ScarcityCache is the last result of Scarcity, computed at scarcityAt; nil: none.
	ScarcityCache binpack.Scarcity
	scarcityAt    time.Time
	// ClassGroups numbers the classes as groups of the fair share, after the teams.
	ClassGroups map[string]int

	queueBuffers     queueBuffers
	placementBuffers placementBuffers
}

// New makes a scheduler. Connect must be called before it is used.
func New(state *cluster.State, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Scheduler {
	return &Scheduler{
		State:       state,
		store:       store,
		log:         log,
		bounds:      bounds,
		Corrections: map[string]*runtimeCorrection{},
		ClassGroups: map[string]int{},
	}
}

// Connect sets the collaborators. It is called once, before the event loop starts.
func (s *Scheduler) Connect(agents Agents) { s.agents = agents }

// Observe sets the metrics. It is called before the event loop starts.
func (s *Scheduler) Observe(metrics *telemetry.Metrics) { s.metrics = metrics }

// usableIn reports whether a machine belongs to a partition and may get tasks.
func (s *Scheduler) usableIn(p *cluster.Partition, machine *cluster.Machine, now time.Time) bool {
	return machine.Record.Partition == p.Index && s.Schedulable(machine, now)
}
