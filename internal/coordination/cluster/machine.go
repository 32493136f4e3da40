package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// Machine is a rented machine that is on record. Every controller has the machine's record.
// The other fields are used by the partition's leader, and by the standby to prepare a
// takeover.
type Machine struct {
	// The record.

	Name string
	// Shard is the index of the machine's shard in its partition, derived from the
	// machine's name.
	Shard  int
	Record storage.Machine
	// Revision is the record's revision in the state store, or 0 if there is no record
	// yet.
	Revision uint64
	// RecordedAt is the time at which this controller first received the record.
	RecordedAt time.Time
	// Type is the machine's type, or nil if there is no catalog or the catalog does not
	// contain the type.
	Type *protocol.MachineType
	// HeartbeatsExpectedSince is the time from which the partition's leader can have
	// received the machine's heartbeats.
	HeartbeatsExpectedSince time.Time

	// The agent's heartbeats.

	// HasReported is set once a heartbeat was applied under the present leader.
	HasReported bool
	// Epoch and Sequence identify the newest heartbeat that was applied; both are 0 if
	// none was.
	Epoch    uint64
	Sequence uint64
	// NewestHeartbeatRequest identifies the newest heartbeat that was received as a request,
	// and not as the answer to commands.
	NewestHeartbeatRequest HeartbeatPosition
	// ReplicatedEpoch is the agent epoch that an earlier leader replicated, or 0 if none
	// did.
	ReplicatedEpoch uint64
	// LastHeartbeatAt is the time at which a heartbeat was last received, here or by
	// the machine's delegate.
	LastHeartbeatAt time.Time
	// LastContactAt is the time at which the agent last sent this controller a
	// heartbeat, answered or not.
	LastContactAt time.Time
	// DivertedSince is the time since which the agent has reached other controllers but
	// not this one.
	DivertedSince time.Time
	// RedirectedAt is the time at which the agent was last redirected to the machine's
	// delegate, DelegateHeartbeatAt the time at which the delegate last forwarded a
	// heartbeat.
	RedirectedAt        time.Time
	DelegateHeartbeatAt time.Time

	// The machine's lease. The machine's tasks may run until the lease expires.

	// Answers are the latest times at which controllers may have answered a heartbeat.
	Answers AnswerTimes
	// MoveBound is the answer bound of the leader of the machine's former partition, if the
	// machine was moved.
	MoveBound failover.AnswerBound
	// Lost is set once the lease has expired, so that nothing runs on the machine.
	Lost bool

	// The fencing token.

	// TokenConfirmed is set once a heartbeat with a sufficient token was received
	// (State.FencingToken). TokenSeen is the token in the newest heartbeat that was applied.
	TokenConfirmed bool
	TokenSeen      uint64
	// TokenRaiseBy is the time by which the machine's token must be raised; zero if no
	// raise is needed.
	TokenRaiseBy time.Time

	// Commands to the agent.

	// CommandRequestsInFlight is the number of requests with commands in flight. The
	// newest of them was sent at CommandsSentAt.
	CommandRequestsInFlight int
	CommandsSentAt          time.Time
	// CommandsDeferred is set if more commands are to be sent once the requests in
	// flight are answered.
	CommandsDeferred bool
	// FenceFailures is the number of consecutive messages with the fencing token that were not
	// answered. The next one is due at FenceRetryAt. FenceRetryInFlight is set while a repeated
	// one is in flight.
	FenceFailures      int
	FenceRetryAt       time.Time
	FenceRetryInFlight bool
	// ProbedAt is the time at which the agent was last asked whether it has restarted.
	ProbedAt time.Time
	// CommandsRetriedAt is the time at which commands were last repeated while no
	// request with commands was in flight.
	CommandsRetriedAt time.Time

	// What is on the machine.

	// Attempts are the attempts on the machine, by AttemptKey.
	Attempts map[string]*Attempt
	// OrphanedTasks are the tasks that the agent reports and that belong to no attempt,
	// by AttemptKey. They are stopped and then forgotten by commands to the agent.
	OrphanedTasks map[string]protocol.TaskReport
	// Used is the sum of the resources of the live attempts, computed by RecountUsed.
	Used binpack.Resources
	// Images are the images on the machine, with the time at which each was last used.
	Images map[string]time.Time
	// IdleSince is the last time at which the machine had an attempt or a task.
	IdleSince time.Time
	// Prediction is the machine's input for the contention model, computed at
	// PredictedAt; nil if it must be recomputed.
	Prediction  *contention.Machine
	PredictedAt time.Time

	// The machine's health.

	// FailedJobs are the times of the last failures of jobs on the machine since a task was
	// last done on it, by the jobs' ids.
	FailedJobs map[string]time.Time
	// SoundAt is the time at which the latest placed of the done tasks was placed.
	SoundAt time.Time
	// SlowTasks counts the consecutive tasks that ran far longer than their job's tasks on
	// other machines.
	SlowTasks int
	// Quarantined is set if the machine is considered faulty or slow, and keeps new work off it
	// (MachineBlock). QuarantinedAt is the time at which this controller learned that.
	Quarantined   bool
	QuarantinedAt time.Time
	// AvoidUntil is the time until which the machine gets no new work after a failure or a
	// refused start, which was reported at AvoidedAt.
	AvoidedAt  time.Time
	AvoidUntil time.Time

	// Reservation, preemption and removal.

	// ReservedFor is the fair-share group whose jobs alone may start on the machine, or
	// fairshare.NoGroup if all jobs may.
	ReservedFor int
	// PreemptionAt is the time at which the cloud preempts the machine; zero if there
	// is no preemption notice.
	PreemptionAt time.Time
	// RetiringSince is the time at which the machine's retirement, the preparation of
	// its deletion, began; zero if the machine is not being retired.
	RetiringSince time.Time
	// Moving is set while the record of its move to another partition is being written.
	Moving bool
	// DeleteTriedAt is the time at which this controller last requested the machine's
	// deletion from the cloud because the machine's lease might outlast the
	// cancellation bound. DeleteConfirmed is set once the cloud has confirmed the
	// deletion.
	DeleteTriedAt   time.Time
	DeleteConfirmed bool

	// LastReplicated is the state that was last replicated to the standby.
	// ReplicationSeq is the sequence number of that state among the partition's
	// replicated changes, or 0 if it has none yet.
	LastReplicated ReplicatedMachineState
	ReplicationSeq uint64
}

// HeartbeatPosition is the place of a heartbeat, or of an answer to commands, among all of an agent.
type HeartbeatPosition struct{ Epoch, Sequence uint64 }

// Before reports whether a heartbeat at position p was sent before one at position other.
func (p HeartbeatPosition) Before(other HeartbeatPosition) bool {
	return p.Epoch < other.Epoch || p.Epoch == other.Epoch && p.Sequence < other.Sequence
}

// PositionOf returns the position of a heartbeat.
func PositionOf(heartbeat *protocol.Heartbeat) HeartbeatPosition {
	return HeartbeatPosition{heartbeat.Epoch, heartbeat.Sequence}
}

// ResetLeaderState clears the state that is valid only on the leader of the machine's
// partition.
func (m *Machine) ResetLeaderState() {
	if len(m.Attempts) > 0 || len(m.OrphanedTasks) > 0 {
		m.Attempts, m.OrphanedTasks = map[string]*Attempt{}, map[string]protocol.TaskReport{}
	}
	m.TokenConfirmed, m.Lost, m.Moving, m.HasReported, m.TokenRaiseBy = false, false, false, false, time.Time{}
	m.RetiringSince, m.ReservedFor, m.ReplicationSeq = time.Time{}, fairshare.NoGroup, 0
	m.FenceFailures, m.FenceRetryAt = 0, time.Time{}
	m.resetHealth()
	m.RecountUsed()
}

// resetHealth forgets what this controller has learned of the machine's health. It may be outdated
// when the controller leads the machine's partition again, so that only the replica of the former
// leader's state counts then.
func (m *Machine) resetHealth() {
	clear(m.FailedJobs)
	m.SlowTasks, m.Quarantined, m.QuarantinedAt = 0, false, time.Time{}
	m.AvoidedAt, m.AvoidUntil, m.SoundAt = time.Time{}, time.Time{}, time.Time{}
}

// Token returns the fencing token for commands to the machine's agent. All revisions come from the
// single counter of the state store, so a takeover, a move and a token record each raise the token.
func (s *State) Token(m *Machine) uint64 {
	return max(s.FencingToken(m), s.Partitions[m.Record.Partition].RaisedToken())
}

// FencingToken returns the lowest token with which the agent obeys no former leader of the machine
// and accepts no command from before the last write of the machine's record. Heartbeats with this
// or a higher token may be reconciled, although the present token may be higher still (rule 55).
func (s *State) FencingToken(m *Machine) uint64 {
	return max(s.Partitions[m.Record.Partition].LeaseRevision, m.Revision)
}

// RaiseTokenBy requests that the machine's token be raised, at the latest at a given time.
func (m *Machine) RaiseTokenBy(by time.Time) {
	if m.TokenRaiseBy.IsZero() || by.Before(m.TokenRaiseBy) {
		m.TokenRaiseBy = by
	}
}

// IsDeleted reports whether a machine is known to be deleted although it is on record: an
// unanswered write of its record was applied after the record had been deleted (rule 44).
func (s *State) IsDeleted(name string) bool {
	_, deleted := s.DeletedMachines[name]
	return deleted
}

// Age returns the time since the machine was created. The record may lack the creation
// time, and clocks differ, so the age is at least the time since HeartbeatsExpectedSince.
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

// AcceptHeartbeat records a heartbeat that was received as a request, and reports whether it
// is newer than all heartbeats received before. An agent has only one heartbeat in flight,
// so it no longer waits for the answer to an older or duplicate heartbeat, and that answer
// could not extend the machine's lease (rule 48).
func (m *Machine) AcceptHeartbeat(heartbeat *protocol.Heartbeat) bool {
	if !m.NewestHeartbeatRequest.Before(PositionOf(heartbeat)) {
		return false
	}
	m.NewestHeartbeatRequest = PositionOf(heartbeat)
	return true
}

// IsNewer reports whether a heartbeat is newer than all applied heartbeats.
func (m *Machine) IsNewer(heartbeat *protocol.Heartbeat) bool {
	return m.Position().Before(PositionOf(heartbeat))
}

// Position returns the position of the newest heartbeat that was applied.
func (m *Machine) Position() HeartbeatPosition { return HeartbeatPosition{m.Epoch, m.Sequence} }

// HasAttemptBeforeEpoch reports whether an attempt belongs to an earlier agent epoch than
// the given one, and thus has ended.
func (m *Machine) HasAttemptBeforeEpoch(epoch uint64) bool {
	for _, a := range m.Attempts {
		if a.Epoch < epoch {
			return true
		}
	}
	return false
}

// AwaitsFence reports whether the machine's agent may be running tasks and has not confirmed the
// leader's fencing token.
func (m *Machine) AwaitsFence() bool {
	return !m.TokenConfirmed && !m.Lost && (m.HasReported || m.ReplicatedEpoch != 0 || m.FenceFailures > 0 || len(m.Attempts) > 0)
}

// HasCancelledTask reports whether a task that is being stopped because its job has ended
// is running on the machine or may still start there. Commands to such a machine are
// repeated without waiting for earlier answers.
func (m *Machine) HasCancelledTask() bool {
	for _, a := range m.Attempts {
		if a.Live() && a.Stopping && a.Job.Ended {
			return true
		}
	}
	return false
}

// ReleasedAttempts returns the number of attempts that only wait to be forgotten by the agent.
func (m *Machine) ReleasedAttempts() (n int) {
	for _, a := range m.Attempts {
		if a.State == AttemptReleased {
			n++
		}
	}
	return n
}

// NeedsCommands reports whether there may be commands for the machine. The check is cheap,
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

// HasUnsentCommands reports whether a start or stop command should be sent now, without
// waiting for the next heartbeat.
func (m *Machine) HasUnsentCommands() bool {
	for _, a := range m.Attempts {
		if a.State == AttemptCommitted && a.StartsInFlight == 0 && !a.Stopping || a.State == AttemptConfirmed && a.Stopping {
			return true
		}
	}
	return false
}
