package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// Machine is a rented machine that is on record. Every controller has its record. The other
// fields are used by its partition's leader, and by the standby to prepare a takeover.
type Machine struct {
	// The record.

	Name string
	// Shard is its shard among its partition's machines, derived from its name.
	Shard  int
	Record storage.Machine
	// Revision is the record's revision in the state store, or 0 if it is not on record
	// yet.
	Revision uint64
	// RecordedAt is when this controller first saw the record.
	RecordedAt time.Time
	// Type is the machine's type, or nil if the catalog is not known or does not contain
	// it.
	Type *protocol.MachineType
	// HeartbeatsExpectedSince is the time since which the leader of its partition can have
	// received heartbeats from it.
	HeartbeatsExpectedSince time.Time

	// The agent's heartbeats.

	// HasReported is set once a heartbeat was applied under the present leader.
	HasReported bool
	// Epoch and Sequence are those of the newest heartbeat that was applied, or 0 if none
	// was.
	Epoch    uint64
	Sequence uint64
	// NewestHeartbeatRequest identifies the newest heartbeat that came as a request, and
	// not as the answer to commands.
	NewestHeartbeatRequest struct{ Epoch, Sequence uint64 }
	// ReplicatedEpoch is the agent epoch that an earlier leader replicated, or 0 if none
	// did.
	ReplicatedEpoch uint64
	// LastHeartbeatAt is when a heartbeat was last received, here or by the machine's
	// delegate.
	LastHeartbeatAt time.Time
	// LastContactAt is when its agent last contacted this controller, whether it was
	// answered or not.
	LastContactAt time.Time
	// DivertedSince is the time since which its agent has reached other controllers but not
	// this one.
	DivertedSince time.Time
	// RedirectedAt is when its agent was last redirected to its delegate,
	// DelegateHeartbeatAt when the delegate last forwarded a heartbeat.
	RedirectedAt        time.Time
	DelegateHeartbeatAt time.Time

	// The machine's lease; its tasks may run until it expires.

	// AnsweredUntil is the latest time at which any controller may have answered a
	// heartbeat.
	AnsweredUntil time.Time
	// FormerLeaderAnswersUntil is the time until which the leader of the partition that the
	// machine was moved from may answer its heartbeats.
	FormerLeaderAnswersUntil time.Time
	// Lost is set once the lease has expired, so that nothing runs on the machine.
	Lost bool

	// The fencing token.

	// TokenConfirmed is set once a heartbeat with the present fencing token was received.
	TokenConfirmed bool
	// TokenRaiseBy is the time by which its token must be raised; zero if it need not be.
	TokenRaiseBy time.Time

	// Commands to the agent.

	// CommandRequestsInFlight counts the requests in flight that carry commands. The newest
	// was sent at CommandsSentAt.
	CommandRequestsInFlight int
	CommandsSentAt          time.Time
	// CommandsDeferred is set if there is more to command once those requests are answered.
	CommandsDeferred bool
	// CommandsRetriedAt is when commands were last repeated while no such request was in
	// flight.
	CommandsRetriedAt time.Time

	// What is on the machine.

	// Attempts are the attempts on the machine, by AttemptKey.
	Attempts map[string]*Attempt
	// OrphanedTasks are the tasks that its agent reports and that belong to no attempt, by
	// AttemptKey. The agent is told to stop and then to forget them.
	OrphanedTasks map[string]protocol.TaskReport
	// Used is the sum of what the live attempts take, computed by RecountUsed.
	Used binpack.Resources
	// Images are the images on the machine, with the time at which each was last used.
	Images map[string]time.Time
	// IdleSince is when it last had an attempt or a task.
	IdleSince time.Time
	// Prediction is the machine as the contention model sees it, computed at PredictedAt;
	// nil if it must be recomputed.
	Prediction  *contention.Machine
	PredictedAt time.Time

	// The machine's health.

	// FailedJobs are the ids of jobs that failed on the machine since a task was last done
	// on it.
	FailedJobs map[string]bool
	// SlowTasks counts the tasks that ran far longer than their job's tasks on other
	// machines.
	SlowTasks int
	// Quarantined is set if the machine is considered faulty. It then gets no new work.
	Quarantined bool
	// AvoidUntil is the time until which the machine gets no new work after a failure.
	AvoidUntil time.Time

	// Reservation, preemption and removal.

	// ReservedFor is the fair-share group whose jobs alone may start on the machine, or
	// fairshare.NoGroup if all jobs may.
	ReservedFor int
	// PreemptionAt is when the cloud takes the machine away; zero if no notice was given.
	PreemptionAt time.Time
	// RetiringSince is the time since which the machine has been prepared for its deletion;
	// zero if it is not.
	RetiringSince time.Time
	// Moving is set while the record of its move to another partition is being written.
	Moving bool
	// DeleteTriedAt is when this controller last asked the cloud to delete the machine
	// because its lease might outlast the bound on cancellations. DeleteConfirmed is set
	// once the cloud has confirmed the deletion.
	DeleteTriedAt   time.Time
	DeleteConfirmed bool

	// LastReplicated is the state that was last replicated to the standby. ReplicationSeq
	// is its sequence number among the partition's replicated changes, or 0 if it has none
	// yet.
	LastReplicated ReplicatedMachineState
	ReplicationSeq uint64
}

// lateHeartbeatGrace is how late a heartbeat may be, in addition to a quarter of the
// heartbeat interval, before the machine gets no new work.
const lateHeartbeatGrace = 1500 * time.Millisecond

// ResetLeaderState clears the state that is valid only on the leader of the machine's
// partition.
func (m *Machine) ResetLeaderState() {
	if len(m.Attempts) > 0 || len(m.OrphanedTasks) > 0 {
		m.Attempts, m.OrphanedTasks = map[string]*Attempt{}, map[string]protocol.TaskReport{}
	}
	m.TokenConfirmed, m.Lost, m.Moving, m.HasReported, m.TokenRaiseBy = false, false, false, false, time.Time{}
	m.RetiringSince, m.ReservedFor, m.ReplicationSeq = time.Time{}, fairshare.NoGroup, 0
	m.RecountUsed()
}

// Token returns the fencing token for commands to the machine's agent. Both revisions come
// from the single counter of the state store, so a takeover and a move each raise the
// token.
func (s *State) Token(m *Machine) uint64 {
	return max(s.Partitions[m.Record.Partition].LeaseRevision, m.Revision)
}

// RaiseTokenBy requests that the machine's token be raised, at the latest at a given time.
func (m *Machine) RaiseTokenBy(by time.Time) {
	if m.TokenRaiseBy.IsZero() || by.Before(m.TokenRaiseBy) {
		m.TokenRaiseBy = by
	}
}

// Schedulable reports whether new work may go to a machine.
func (s *State) Schedulable(m *Machine, now time.Time) bool {
	return m.TokenConfirmed && !m.Lost && !m.Moving && !m.Quarantined && m.Type != nil && m.Record.Addr != "" &&
		m.RetiringSince.IsZero() && m.PreemptionAt.IsZero() && now.After(m.AvoidUntil) &&
		now.Sub(m.LastHeartbeatAt) < s.HeartbeatInterval*5/4+lateHeartbeatGrace
}

// IsDeleted reports whether a machine is known to be deleted although it is on record: an
// unanswered write of its record was applied after the record had been deleted (rule 44).
func (s *State) IsDeleted(name string) bool {
	_, deleted := s.DeletedMachines[name]
	return deleted
}

// Age returns how long ago the machine was rented. The record may not tell, and clocks
// differ, so it is at least the time for which the leader has known the machine.
func (m *Machine) Age(now time.Time) time.Duration {
	known := now.Sub(m.HeartbeatsExpectedSince)
	if m.Record.CreatedMS == 0 {
		return known
	}
	return max(known, time.Duration(now.UnixMilli()-m.Record.CreatedMS)*time.Millisecond)
}

// RecountUsed recomputes Used after the attempts on the machine have changed.
func (m *Machine) RecountUsed() {
	m.Prediction = nil
	m.Used = binpack.Resources{}
	for _, a := range m.Attempts {
		if a.Live() {
			m.Used = m.Used.Plus(ResourcesOf(a.Job.Spec), 1)
		}
	}
}

// Free returns the unused resources of a machine whose type is known.
func (m *Machine) Free() binpack.Resources { return binpack.Size(m.Type).Plus(m.Used, -1) }

// HasImage reports whether a machine has an image or is already fetching it.
func (m *Machine) HasImage(image string) bool {
	if _, ok := m.Images[image]; ok {
		return true
	}
	for _, a := range m.Attempts {
		if a.Live() && a.Job.Spec.Image == image {
			return true
		}
	}
	return false
}

// AcceptHeartbeat records a heartbeat that came as a request, and reports whether it is
// newer than all earlier ones. An agent has only one heartbeat in flight, so it no longer
// waits for the answer to an older or a repeated one, and that answer could not extend the
// machine's lease (rule 48).
func (m *Machine) AcceptHeartbeat(heartbeat *protocol.Heartbeat) bool {
	newest := &m.NewestHeartbeatRequest
	if heartbeat.Epoch < newest.Epoch || heartbeat.Epoch == newest.Epoch && heartbeat.Sequence <= newest.Sequence {
		return false
	}
	newest.Epoch, newest.Sequence = heartbeat.Epoch, heartbeat.Sequence
	return true
}

// IsNewer reports whether a heartbeat is newer than all that were applied.
func (m *Machine) IsNewer(heartbeat *protocol.Heartbeat) bool {
	return heartbeat.Epoch > m.Epoch || heartbeat.Epoch == m.Epoch && heartbeat.Sequence > m.Sequence
}

// HasAttemptBeforeEpoch reports whether some attempt belongs to an earlier agent epoch than
// the given one, and so has ended.
func (m *Machine) HasAttemptBeforeEpoch(epoch uint64) bool {
	for _, a := range m.Attempts {
		if a.Epoch < epoch {
			return true
		}
	}
	return false
}

// HasCancelledTask reports whether a task of an ended job is running on the machine or may
// still start there. If so, commands to the machine are repeated without waiting for
// earlier answers.
func (m *Machine) HasCancelledTask() bool {
	for _, a := range m.Attempts {
		if a.Live() && a.Stopping && a.Job.Ended {
			return true
		}
	}
	return false
}

// NeedsCommands reports whether there may be commands for the machine. It is a cheap check,
// since most heartbeats change nothing.
func (m *Machine) NeedsCommands() bool {
	if len(m.OrphanedTasks) > 0 {
		return true
	}
	for _, a := range m.Attempts {
		if a.State == AttemptCommitted || a.State == AttemptReleased || a.State == AttemptConfirmed && a.Stopping {
			return true
		}
	}
	return false
}

// HasUnsentCommands reports whether commands that are sent now, ahead of the next
// heartbeat, would start or stop anything.
func (m *Machine) HasUnsentCommands() bool {
	for _, a := range m.Attempts {
		if a.State == AttemptCommitted && a.StartsInFlight == 0 && !a.Stopping || a.State == AttemptConfirmed && a.Stopping {
			return true
		}
	}
	return false
}
