package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// Machine is a rented machine that is on record. Every controller knows its record; the
// rest serves its partition's leader, and its standby ahead of a takeover.
type Machine struct {
	// The record.

	Name string
	// Shard is its shard among its partition's machines; it follows from the name.
	Shard  int
	Record storage.Machine
	// Revision is the record's in the state store; 0: it is not on record yet.
	Revision uint64
	// RecordedAt is when this controller first saw the record.
	RecordedAt time.Time
	// Type is the machine's type; nil: the catalog is not known or does not have it.
	Type *protocol.MachineType
	// HeartbeatsExpectedSince is since when its partition's leader could have received a heartbeat.
	HeartbeatsExpectedSince time.Time

	// Its agent's heartbeats.

	// HasReported: a heartbeat was applied under the present leader.
	HasReported bool
	// Epoch and Sequence are those of the newest heartbeat that was applied; 0: none was.
	Epoch    uint64
	Sequence uint64
	// NewestHeartbeatRequest is the newest heartbeat that came as a request of its own, and not as
	// the answer to commands.
	NewestHeartbeatRequest struct{ Epoch, Sequence uint64 }
	// ReplicatedEpoch is the agent epoch as an earlier leader replicated it; 0: none did.
	ReplicatedEpoch uint64
	// LastHeartbeatAt is when a heartbeat last came here or to the machine's delegate.
	LastHeartbeatAt time.Time
	// LastContactAt is when its agent last came here, whether it was answered or not.
	LastContactAt time.Time
	// DivertedSince is since when its agent reaches other controllers and not this one.
	DivertedSince time.Time
	// RedirectedAt is when its agent was last redirected to its delegate,
	// DelegateHeartbeatAt when the delegate last forwarded a heartbeat.
	RedirectedAt        time.Time
	DelegateHeartbeatAt time.Time

	// Its lease: its tasks run until that ends.

	// AnsweredUntil is the last moment at which anybody may have answered a heartbeat.
	AnsweredUntil time.Time
	// FormerLeaderAnswersUntil is until when the leader of the partition that it was moved from
	// may answer it.
	FormerLeaderAnswersUntil time.Time
	// Lost: its lease has expired, so that nothing runs on it.
	Lost bool

	// Its fencing token.

	// Fenced: a heartbeat under the present leader's token has come.
	TokenConfirmed bool
	// TokenRaiseBy is by when its token is to be raised; zero: it need not be.
	TokenRaiseBy time.Time

	// Commands to its agent.

	// CommandRequestsInFlight counts the requests under way that carry commands; the newest was
	// sent at CommandsSentAt.
	CommandRequestsInFlight int
	CommandsSentAt          time.Time
	// CommandsDeferred: there is more to command once those are answered.
	CommandsDeferred bool
	// CommandsRetriedAt is when commands were last repeated since none was under way.
	CommandsRetriedAt time.Time

	// What is on it.

	// Attempts are those that it holds, by AttemptKey.
	Attempts map[string]*Attempt
	// OrphanedTasks are the tasks that its agent reports and no attempt stands for, by
	// AttemptKey: they are stopped and reaped.
	OrphanedTasks map[string]protocol.TaskReport
	// Used is what the live attempts take; RecountUsed keeps it.
	Used binpack.Resources
	// Images are those that it has, with when each was last used.
	Images map[string]time.Time
	// IdleSince is when it last held an attempt or a task.
	IdleSince time.Time
	// Prediction is how fast the tasks on it run, as of PredictedAt; nil: to be computed.
	Prediction  *contention.Machine
	PredictedAt time.Time

	// Its health.

	// FailedJobs are the ids of jobs that failed on it since a task on it was last done.
	FailedJobs map[string]bool
	// SlowTasks counts tasks that ran far longer than the job's tasks on other machines.
	SlowTasks int
	// Quarantined: it is taken for faulty and gets no new work.
	Quarantined bool
	// AvoidUntil is until when it gets no new work after a failure.
	AvoidUntil time.Time

	// Its future.

	// ReservedFor is the fair-share group whose jobs alone may start on it;
	// fairshare.NoGroup: all may.
	ReservedFor int
	// PreemptionAt is when the cloud takes it away; zero: no notice was given.
	PreemptionAt time.Time
	// RetiringSince is since when its deletion is prepared; zero: it is not.
	RetiringSince time.Time
	// Moving: its move to another partition is being written.
	Moving bool
	// DeleteTriedAt is when this controller last asked the cloud to delete it since its
	// lease may outlast a cancellation; DeleteConfirmed: the cloud has confirmed it.
	DeleteTriedAt   time.Time
	DeleteConfirmed bool

	// LastReplicated is what was last sent to the standby of it, ReplicationSeq the sequence number
	// of that among the partition's replicated changes; 0: it has none yet.
	LastReplicated ReplicatedMachineState
	ReplicationSeq uint64
}

// lateHeartbeatGrace is how late a heartbeat may be, beyond a quarter of its interval,
// until no new work goes to the machine.
const lateHeartbeatGrace = 1500 * time.Millisecond

// ResetLeaderState forgets what only the leader of the machine's partition may believe.
func (m *Machine) ResetLeaderState() {
	if len(m.Attempts) > 0 || len(m.OrphanedTasks) > 0 {
		m.Attempts, m.OrphanedTasks = map[string]*Attempt{}, map[string]protocol.TaskReport{}
	}
	m.TokenConfirmed, m.Lost, m.Moving, m.HasReported, m.TokenRaiseBy = false, false, false, false, time.Time{}
	m.RetiringSince, m.ReservedFor, m.ReplicationSeq = time.Time{}, fairshare.NoGroup, 0
	m.RecountUsed()
}

// Token is the fencing token under which the machine's agent is commanded: both revisions
// come from the state store's one counter, so a takeover and a move each raise it.
func (s *State) Token(m *Machine) uint64 {
	return max(s.Partitions[m.Record.Partition].LeaseRevision, m.Revision)
}

// RaiseTokenBy asks for a higher token for the machine, at the latest by a moment.
func (m *Machine) RaiseTokenBy(by time.Time) {
	if m.TokenRaiseBy.IsZero() || by.Before(m.TokenRaiseBy) {
		m.TokenRaiseBy = by
	}
}

// Schedulable says whether new work may go to a machine.
func (s *State) Schedulable(m *Machine, now time.Time) bool {
	return m.TokenConfirmed && !m.Lost && !m.Moving && !m.Quarantined && m.Type != nil && m.Record.Addr != "" &&
		m.RetiringSince.IsZero() && m.PreemptionAt.IsZero() && now.After(m.AvoidUntil) &&
		now.Sub(m.LastHeartbeatAt) < s.HeartbeatInterval*5/4+lateHeartbeatGrace
}

// IsDeleted says whether a machine is known to be gone though it is on record: the write of
// its record went unanswered and was applied after the record's deletion (rule 44).
func (s *State) IsDeleted(name string) bool {
	_, deleted := s.DeletedMachines[name]
	return deleted
}

// Age is how long ago a machine was rented. A record may not say it, and clocks differ, so
// that it is at least how long its leader has known it.
func (m *Machine) Age(now time.Time) time.Duration {
	known := now.Sub(m.HeartbeatsExpectedSince)
	if m.Record.CreatedMS == 0 {
		return known
	}
	return max(known, time.Duration(now.UnixMilli()-m.Record.CreatedMS)*time.Millisecond)
}

// RecountUsed recounts what the attempts on the machine take, after they have changed.
func (m *Machine) RecountUsed() {
	m.Prediction = nil
	m.Used = binpack.Resources{}
	for _, a := range m.Attempts {
		if a.Live() {
			m.Used = m.Used.Plus(ResourcesOf(a.Job.Spec), 1)
		}
	}
}

// Free is what a machine whose type is known has left.
func (m *Machine) Free() binpack.Resources { return binpack.Size(m.Type).Plus(m.Used, -1) }

// HasImage says whether a machine has an image or is fetching it already.
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

// AcceptHeartbeat notes that a heartbeat came as a request of its own, and says whether it
// is newer than all such before. An agent has one under way at a time, so that nobody waits
// any more for an answer to an older one, or to one that comes twice: answering it could
// not extend the machine's lease (rule 48).
func (m *Machine) AcceptHeartbeat(heartbeat *protocol.Heartbeat) bool {
	newest := &m.NewestHeartbeatRequest
	if heartbeat.Epoch < newest.Epoch || heartbeat.Epoch == newest.Epoch && heartbeat.Sequence <= newest.Sequence {
		return false
	}
	newest.Epoch, newest.Sequence = heartbeat.Epoch, heartbeat.Sequence
	return true
}

// IsNewer says whether a heartbeat is newer than all that were applied before.
func (m *Machine) IsNewer(heartbeat *protocol.Heartbeat) bool {
	return heartbeat.Epoch > m.Epoch || heartbeat.Epoch == m.Epoch && heartbeat.Sequence > m.Sequence
}

// HasAttemptBeforeEpoch says whether some attempt is of an agent epoch before the given one,
// which has therefore ended.
func (m *Machine) HasAttemptBeforeEpoch(epoch uint64) bool {
	for _, a := range m.Attempts {
		if a.Epoch < epoch {
			return true
		}
	}
	return false
}

// HasCancelledTask says whether a task of an ended job is on the machine or may come to be,
// so that commands to it are repeated without waiting for the answers to earlier ones.
func (m *Machine) HasCancelledTask() bool {
	for _, a := range m.Attempts {
		if a.Live() && a.Stopping && a.Job.Ended {
			return true
		}
	}
	return false
}

// NeedsCommands says whether there may be anything to command: most heartbeats change
// nothing.
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

// HasUnsentCommands says whether sending commands directly, ahead of the next heartbeat,
// would start or stop anything.
func (m *Machine) HasUnsentCommands() bool {
	for _, a := range m.Attempts {
		if a.State == AttemptCommitted && a.StartsInFlight == 0 && !a.Stopping || a.State == AttemptConfirmed && a.Stopping {
			return true
		}
	}
	return false
}
