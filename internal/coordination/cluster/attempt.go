package cluster

import (
	"cmp"
	"slices"
	"time"

	"micaspindle/internal/protocol"
)

// AttemptState is how far an attempt has come. It only grows.
type AttemptState int

const (
	AttemptReserved  AttemptState = iota // in memory, not yet on record
	AttemptCommitted                     // on record: its start may be sent
	AttemptConfirmed                     // the agent has reported it
	AttemptExited                        // the agent has reported its end
	AttemptReleased                      // proven over: to be dropped from the record
)

// Attempt is one try of a task in one epoch of a machine's agent.
type Attempt struct {
	Job       *Job
	TaskIndex int
	// Number is the attempt number, unique and growing within a run record (rule 52).
	Number  uint64
	Machine *Machine
	// Epoch is the agent epoch for which it was committed.
	Epoch uint64
	State AttemptState

	// What the agent has reported.

	// ExitCause is why it ended, as reported; "": it has not, or no cause was given.
	ExitCause string
	// StartedAt is when it was first seen running.
	StartedAt time.Time
	// Slow: it has run far longer than the job's tasks on other machines.
	Slow bool

	// The start command.

	CommittedAt time.Time
	// StartToken is the highest fencing token under which a start was sent; 0: none was.
	StartToken uint64
	// StartSentAt is when a start was last sent.
	StartSentAt time.Time
	// StartsInFlight counts the requests under way that carry its start.
	StartsInFlight int
	// StartUnanswered: a start was sent and nobody knows whether it arrived. It may still
	// arrive, so the attempt must not be reaped under StartToken (rule 9).
	StartUnanswered bool

	// The stop command.

	// Stopping: it is to end.
	Stopping bool
	// StopGraceS is how many seconds its process has between the signal and the kill.
	StopGraceS      float64
	StopRequestedAt time.Time

	// Failover.

	// Inherited: it began under an earlier partition leader.
	Inherited bool
	// ReplicatedStart is when an Inherited attempt began, if its leader had replicated that.
	ReplicatedStart time.Time
	// ReplicationSeq is the sequence number of its beginning among the partition's
	// replicated changes; 0: it has none yet.
	ReplicationSeq uint64
}

// TaskName is the task's name on the wire.
func (a *Attempt) TaskName() string { return protocol.TaskName(a.Job.Spec.ID, a.TaskIndex) }

// RunTimeS is for how many seconds it has run, as far as is known here.
func (a *Attempt) RunTimeS(now time.Time) float64 {
	begun := a.StartedAt
	if begun.IsZero() {
		begun = a.ReplicatedStart
	}
	if begun.IsZero() {
		return 0
	}
	return now.Sub(begun).Seconds()
}

// StartTimeUnknown says that nobody here knows when it began.
func (a *Attempt) StartTimeUnknown() bool { return a.Inherited && a.ReplicatedStart.IsZero() }

// Live says that the attempt may still be running on its machine, or come to.
func (a *Attempt) Live() bool { return a.State < AttemptExited }

// maxDecimalDigits is the length of the largest uint64.
const maxDecimalDigits = 20

// AttemptKey identifies an attempt on a machine: the task's wire name and the attempt
// number. It is written out since it is made for each task of each heartbeat, and this
// costs one allocation.
func AttemptKey(task string, number uint64) string {
	var buf [maxDecimalDigits]byte
	i := len(buf)
	for n := number; ; n /= 10 {
		i--
		buf[i] = byte('0' + n%10)
		if n < 10 {
			break
		}
	}
	return task + "#" + string(buf[i:])
}

// compareAttempts orders attempts by job id, then task.
func compareAttempts(a, b *Attempt) int {
	if a.Job != b.Job {
		return cmp.Compare(a.Job.Spec.ID, b.Job.Spec.ID)
	}
	return a.TaskIndex - b.TaskIndex
}

// SortedAttempts lists the attempts on a machine by job id and task.
func (m *Machine) SortedAttempts() []*Attempt {
	list := make([]*Attempt, 0, len(m.Attempts))
	for _, a := range m.Attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, compareAttempts)
	return list
}
