package cluster

import (
	"cmp"
	"slices"
	"time"

	"micaspindle/internal/protocol"
)

// AttemptState is the stage of an attempt. It only ever increases.
type AttemptState int

const (
	AttemptReserved  AttemptState = iota // planned in memory, not in a run record yet
	AttemptCommitted                     // in a run record: the start command may be sent
	AttemptConfirmed                     // the agent has reported the attempt
	AttemptExited                        // the agent has reported the end of the attempt
	AttemptReleased                      // certainly ended: to be removed from the run record
)

// Attempt is one execution of a task on a machine, within one epoch of the machine's agent.
type Attempt struct {
	Job       *Job
	TaskIndex int
	// Number is the attempt number: unique and increasing within a run record (rule 52).
	Number  uint64
	Machine *Machine
	// Epoch is the agent epoch that the attempt was committed for.
	Epoch uint64
	State AttemptState
	// PlacedAt is the time at which this controller placed the attempt; zero if an earlier
	// leader did.
	PlacedAt time.Time

	// Reported by the agent.

	// ExitCause is the reported reason for the attempt's end, or "" if the attempt has
	// not ended or no cause was given.
	ExitCause string
	// StartedAt is the time at which the attempt was first reported as running.
	StartedAt time.Time
	// Slow is set if the attempt has run far longer than the job's tasks on other
	// machines.
	Slow bool

	// The start command.

	CommittedAt time.Time
	// StartToken is the highest fencing token under which the start command was sent,
	// or 0 if no start was sent.
	StartToken uint64
	// StartSentAt is the time at which the start command was last sent.
	StartSentAt time.Time
	// StartsInFlight is the number of requests in flight with the start command.
	StartsInFlight int
	// StartMayRepeat is set if a request with the start command was sent and not refused,
	// whether it was answered or not. A copy of the request may arrive at any later time
	// (rule 50).
	StartMayRepeat bool

	// The stop command.

	// Stopping is set once the attempt is to be stopped.
	Stopping bool
	// StopGraceS is the time in seconds between the stop signal and the kill of the
	// attempt's process.
	StopGraceS      float64
	StopRequestedAt time.Time

	// Failover.

	// Inherited is set if the attempt was committed by an earlier partition leader.
	Inherited bool
	// ReplicatedStart is the start time of an Inherited attempt, if the earlier leader
	// had replicated it.
	ReplicatedStart time.Time
	// ReplicationSeq is the sequence number of the attempt's start among the
	// partition's replicated changes, or 0 if the start has no number yet.
	ReplicationSeq uint64
}

// TaskName returns the task's name on the wire.
func (a *Attempt) TaskName() string { return protocol.TaskName(a.Job.Spec.ID, a.TaskIndex) }

// RunTimeS returns the run time of the attempt in seconds, or 0 if its start time is not
// known here.
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

// StartTimeUnknown reports whether an earlier leader committed the attempt and did not
// replicate its start time.
func (a *Attempt) StartTimeUnknown() bool { return a.Inherited && a.ReplicatedStart.IsZero() }

// Live reports whether the attempt may be running on its machine, or may still start there.
func (a *Attempt) Live() bool { return a.State < AttemptExited }

// MayStartAgain reports whether an agent that has forgotten the attempt would execute a copy of its
// start, given the highest token that the agent has certainly received.
func (a *Attempt) MayStartAgain(token uint64) bool {
	return a.StartMayRepeat && a.StartToken >= token
}

// maxDecimalDigits is the number of decimal digits of the largest uint64.
const maxDecimalDigits = 20

// AttemptKey identifies an attempt on a machine by the task's wire name and the attempt
// number. It is called for each task in each heartbeat, so it formats the number itself to
// need only one allocation.
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

// compareAttempts orders attempts by job id, then by task index.
func compareAttempts(a, b *Attempt) int {
	if a.Job != b.Job {
		return cmp.Compare(a.Job.Spec.ID, b.Job.Spec.ID)
	}
	return a.TaskIndex - b.TaskIndex
}

// SortedAttempts returns the attempts on a machine, ordered by job id and task index.
func (m *Machine) SortedAttempts() []*Attempt {
	list := make([]*Attempt, 0, len(m.Attempts))
	for _, a := range m.Attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, compareAttempts)
	return list
}
