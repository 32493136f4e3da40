package replication

import (
	"time"

	"micaspindle/internal/coordination/cluster"
)

// ApplyStart sets the start time of an inherited attempt to the one sent by the former leader. It
// returns false if there is no such live attempt, or if the attempt already has a start time.
func (r *Replicator) ApplyStart(p *cluster.Partition, id AttemptID, at time.Time) bool {
	job := r.Jobs[id.Job]
	if job == nil || job.Partition != p.Index || !job.HasRunState {
		return false
	}
	a := job.LiveAttempts[id.Task]
	if a == nil || a.Number != id.Number || !a.StartTimeUnknown() {
		return false
	}
	if a.ReplicatedStart = at; !a.StartedAt.IsZero() {
		a.StartedAt = at
	}
	a.Machine.Prediction = nil
	return true
}

// ApplyHints merges the former leader's hints on machines and job classes into the current state.
func (r *Replicator) ApplyHints(p *cluster.Partition, updates *ReceivedUpdates, now time.Time) {
	for name, hints := range updates.Machines {
		if m := r.Machines[name]; m != nil && m.Record.Partition == p.Index {
			applyMachineHints(m, hints, now)
		}
	}
	for _, correction := range updates.Corrections {
		r.scheduler.AdoptCorrection(correction)
	}
}

// applyMachineHints merges received hints into a machine. An address or preemption time that the
// machine already has is kept.
func applyMachineHints(m *cluster.Machine, hints MachineHints, now time.Time) {
	for _, image := range hints.Images {
		if _, known := m.Images[image]; !known {
			m.Images[image] = now
		}
	}
	if m.Record.Addr == "" {
		m.Record.Addr = hints.Addr
	}
	if hints.Quarantined {
		m.Quarantine(now)
	}
	m.SlowTasks = max(m.SlowTasks, int(hints.SlowTasks))
	m.ReplicatedEpoch = max(m.ReplicatedEpoch, hints.Epoch)
	if m.PreemptionAt.IsZero() {
		m.PreemptionAt = hints.PreemptionAt
	}
}
