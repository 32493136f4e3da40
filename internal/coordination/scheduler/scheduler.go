// Package scheduler decides which tasks of a partition run where. It builds views of the state,
// passes them to the pure packages queue, placement, preemption, fairshare and contention, and
// carries out their decisions: it reserves attempts on machines and preempts running ones. It owns
// the corrections of run-time estimates and the fair-share reservations.
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

// Scheduler decides the order of a partition's queue, the placement and preemption of its tasks, and
// the fair-share reservations.
type Scheduler struct {
	*cluster.State
	store   *storage.Store
	log     *slog.Logger
	bounds  *telemetry.BoundReporter
	metrics *telemetry.Metrics

	agents Agents

	// Corrections are the corrections of run-time estimates, by class.
	Corrections map[string]*runtimeCorrection
	// ScarcityCache is the last result of Scarcity, computed at scarcityAt; nil if there is none.
	ScarcityCache binpack.Scarcity
	scarcityAt    time.Time
	// ClassGroups maps each class to its fair-share group. Group numbers of classes begin after
	// those of the teams.
	ClassGroups map[string]int

	queueBuffers     queueBuffers
	placementBuffers placementBuffers
}

// New returns a scheduler. Connect must be called before the scheduler is used.
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
