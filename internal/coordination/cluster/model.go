package cluster

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// AttemptState is how far an attempt has come.
type AttemptState int

const (
	AttemptReserved  AttemptState = iota // held in memory, not yet on record
	AttemptCommitted                     // on record; the start may be sent
	AttemptConfirmed                     // the worker confirmed that it knows it
	AttemptExited                        // the worker reported its end
	AttemptReleased                      // proven over; waits to leave the record
)

// Attempt is one try of a task on one session of a machine.
type Attempt struct {
	Job       *Job
	TaskIndex int
	Number    uint64
	Machine   *Machine
	Epoch     uint64
	State     AttemptState

	ReportedState  string // what the worker last said of it
	ExitCause      string
	StartedAt      time.Time // first seen running
	CommittedAt    time.Time
	StartToken     uint64    // highest token under which a start was sent
	StartSentAt    time.Time // when a start was last sent
	StartsInFlight int       // orders on their way that carry its start
	// StartUnanswered says that a start was sent and nobody knows whether it
	// arrived: it may still, so the attempt must not be reaped under this token.
	StartUnanswered bool
	Slow            bool // took far longer than its like elsewhere
	// Inherited attempts began under a former owner; told is when, if it had said so.
	Inherited       bool
	ReplicatedStart time.Time
	// ReplicationSeq is where in its owner's tale the attempt's beginning stands; 0: not yet.
	ReplicationSeq  uint64
	Stopping        bool
	StopGraceS      float64
	StopRequestedAt time.Time
}

func (a *Attempt) TaskName() string { return protocol.TaskName(a.Job.Spec.ID, a.TaskIndex) }

// RunningS is for how many seconds it has run, as far as is known here.
func (a *Attempt) RunningS(now time.Time) float64 {
	begun := a.StartedAt
	if begun.IsZero() {
		begun = a.ReplicatedStart
	}
	if begun.IsZero() {
		return 0
	}
	return now.Sub(begun).Seconds()
}

// StartUnknown says that nobody here knows when it began.
func (a *Attempt) StartUnknown() bool { return a.Inherited && a.ReplicatedStart.IsZero() }

// Live says that the attempt may still be or come to be on its machine.
func (a *Attempt) Live() bool { return a.State < AttemptExited }

// RunChunk is one run record of a job.
type RunChunk struct {
	Index      int
	Revision   uint64
	LastNumber uint64
	Dirty      bool      // differs from its record
	Urgent     bool      // holds starts that wait for the record
	DirtySince time.Time // when it became dirty
	// Oversized: it does not fit the state service's limit until tasks end.
	Oversized   bool
	Unconfirmed bool   // a commit went unanswered: read the key before writing
	Generation  uint64 // counts changes, to tell what a commit has missed
	Exited      []*Attempt
}

// Job is an unfinished job. Only its part's owner fills in the second half.
type Job struct {
	Spec        *protocol.JobSpec
	Partition   int
	Team        int
	ClassGroup  int       // its group among the floor's
	SubmittedAt time.Time // steady-clock moment of the submission, as well as known

	Loaded bool
	// Ended: it has ended, one way or the other, and what is left of it is stopped.
	Ended bool
	// CancelledAt is when its user was told that it is withdrawn, at the earliest; zero: it
	// is done, or that is longer ago than any task of it may still run.
	CancelledAt    time.Time
	Completing     bool
	TaskDone       []bool
	DoneCount      int
	Pending        []int // tasks that wait, in order
	LiveAttempts   map[int]*Attempt
	Chunks         map[int]*RunChunk
	Failures       int
	FailedMachines map[string]bool      // nil: nowhere
	RunTimesS      map[string][]float64 // run times of done tasks, by machine; nil: none is done
	BackoffUntil   time.Time
	RunningCount   int
	// RecordsChanged: some record has changed since it was last seen that none has.
	RecordsChanged bool

	// What the graph of dependencies says of the job, on every controller.
	Blocked            bool             // has dependencies that are not done
	DependenciesDoneAt time.Time        // when the last of them was; zero if there were none
	InheritedUrgency   protocol.Urgency // the highest among the jobs that need it
	InheritedDeadline  time.Time        // when it must be done for them to be in time; zero if no matter
}

// Urgency is the highest among the job and those that need it.
func (j *Job) Urgency() protocol.Urgency { return max(j.Spec.Urgency, j.InheritedUrgency) }

// ReadySince is when the job could first have started.
func (j *Job) ReadySince() time.Time {
	if j.DependenciesDoneAt.After(j.SubmittedAt) {
		return j.DependenciesDoneAt
	}
	return j.SubmittedAt
}

// Deadline is the latest finish at which the job and those that need it can
// still be in time, if any of them has a deadline.
func (j *Job) Deadline() (time.Time, bool) {
	if j.Spec.DeadlineS <= 0 {
		return j.InheritedDeadline, !j.InheritedDeadline.IsZero()
	}
	own := j.SubmittedAt.Add(settings.Seconds(j.Spec.DeadlineS))
	if !j.InheritedDeadline.IsZero() && j.InheritedDeadline.Before(own) {
		return j.InheritedDeadline, true
	}
	return own, true
}

func (j *Job) Chunk(task int) *RunChunk {
	i := task / storage.ChunkTasks
	c := j.Chunks[i]
	if c == nil {
		c = &RunChunk{Index: i}
		j.Chunks[i] = c
	}
	return c
}

func (j *Job) MarkDirty(task int, urgent bool, now time.Time) {
	j.RecordsChanged = true
	c := j.Chunk(task)
	if !c.Dirty {
		c.Dirty, c.DirtySince = true, now
	}
	c.Generation++
	c.Urgent = c.Urgent || urgent
}

// RunRecord is the chunk as it should stand in the state service.
func (j *Job) RunRecord(c *RunChunk) storage.RunRecord {
	run := storage.RunRecord{Last: c.LastNumber, Done: [][2]int{}, Live: []storage.Attempt{}}
	from, to := c.Index*storage.ChunkTasks, min((c.Index+1)*storage.ChunkTasks, j.Spec.Tasks)
	for t := from; t < to; t++ {
		if j.TaskDone[t] {
			if n := len(run.Done); n > 0 && run.Done[n-1][1] == t-1 {
				run.Done[n-1][1] = t
			} else {
				run.Done = append(run.Done, [2]int{t, t})
			}
		}
		if a := j.LiveAttempts[t]; a != nil && a.Live() {
			run.Live = append(run.Live, storage.Attempt{Task: t, Number: a.Number, Machine: a.Machine.Name, Epoch: a.Epoch})
		}
	}
	return run
}

// Machine is a rented machine on record.
type Machine struct {
	Name     string
	Shard    int // of its part's machines, the same wherever it is
	Record   storage.Machine
	Revision uint64
	Type     *protocol.MachineType

	HasReported    bool   // has reported to us at all
	Epoch          uint64 // newest seen
	Sequence       uint64
	NewestReceived struct{ Epoch, Sequence uint64 } // newest report that came as one
	EpochHint      uint64                           // the session, as a former owner told it
	Fenced         bool                             // a report under our token has come
	LastHeardAt    time.Time
	// LastContactAt is when its worker last came here, whether it was answered or not.
	LastContactAt time.Time
	// RedirectedAt is when its worker was last told to report to its carrier, carriedAt when a
	// carrier last told of a report.
	RedirectedAt, DelegateHeardAt time.Time
	// FormerLeaderBound is until when an owner of the part that it was moved from may answer it.
	FormerLeaderBound time.Time
	// ReservedFor is the group of jobs that alone may start on it; floor.None: all may.
	ReservedFor     int
	AnsweredUntil   time.Time // last moment at which anybody may have answered a report
	Lost            bool
	DeleteConfirmed bool      // by this controller: the cloud has confirmed it
	DeleteTriedAt   time.Time // when that was last tried
	PreemptionAt    time.Time // when the cloud takes it away; zero if not announced
	DivertedSince   time.Time // since when its worker visits others and not us
	RetiringSince   time.Time
	Moving          bool
	Quarantined     bool
	AvoidUntil      time.Time
	FailedJobs      map[string]bool
	SlowTasks       int // tasks that took far longer than their like elsewhere
	IdleSince       time.Time
	RecordedAt      time.Time
	LedSince        time.Time // since when its owner could have heard it
	// TokenRaiseBy is by when the machine's token is to be raised; zero: it need not be.
	TokenRaiseBy time.Time
	// PendingCommands is how many orders wait for the worker's answer, orderedAt when the
	// newest of them was sent; again: there is more to command once they are answered.
	PendingCommands   int
	CommandedAt       time.Time
	CommandAgain      bool
	CommandsRetriedAt time.Time
	Attempts          map[string]*Attempt // by wire name and number
	OrphanedTasks     map[string]protocol.TaskReport
	Images            map[string]time.Time
	// Replicated is what the standby was told of it, noted where in the tale that stands.
	Replicated     MachineFacts
	ReplicationSeq uint64

	Used        binpack.Resources // by its live attempts
	Prediction  *contention.Machine
	PredictedAt time.Time
}

func AttemptKey(task string, number uint64) string {
	var buf [20]byte
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

// RecountUsed recounts what the attempts on the machine hold.
func (m *Machine) RecountUsed() {
	m.Prediction = nil
	m.Used = binpack.Resources{}
	for _, a := range m.Attempts {
		if a.Live() {
			m.Used = m.Used.Plus(ResourcesOf(a.Job.Spec), 1)
		}
	}
}

// Free is the room on a machine whose type is known.
func (m *Machine) Free() binpack.Resources { return binpack.Size(m.Type).Plus(m.Used, -1) }

// Partition is a share of the teams, with its owner.
type Partition struct {
	Index         int
	Leader        string
	LeaderNonce   string // of the owner's life
	FormerLeader  string // the owner before, while there is none
	LeaseRevision uint64 // revision of the claim; 0: unclaimed
	VacantSince   time.Time
	// FormerAnswerers are earlier owners that may still answer workers.
	FormerAnswerers []failover.FormerLeader
	Held            bool
	Ready           bool // rebuilt from the records
	WarmFailover    bool // they had been followed
	Cleared         bool // nothing is known that only its owner may believe
	AcquiredAt      time.Time
	HasTeams        bool // some team's work is in it
	Wakeup          chan struct{}
	// Usage is what live attempts use, by team.
	Usage []binpack.Compute
	// PreemptedAt is when work was last considered for stopping.
	PreemptedAt time.Time
	// Unconfirmed: some chunk's last write went unanswered; committing: one is under way.
	Unconfirmed, Committing bool
	// Standby is who was named to take the part over, homing since when it waits to go
	// back, telling what the standby was told.
	Standby       string
	HandbackSince time.Time
	Replication   ReplicationProgress
	// QueueOrder is the jobs that want something, as they are served, rest the others, as
	// of orderedAt.
	QueueOrder, IdleJobs []*Job
	QueueOrderedAt       time.Time
	// DoneTallies counts what was done of late, by group; floor is what is kept for groups
	// that are behind.
	DoneTallies map[int]*fairshare.Tally
	FairShare   FairShareState
	// Delegations says who carries its machines' connections; lent is the latest end of what
	// was granted before this controller last lost the part.
	Delegations    delegation.Ledger
	DelegatedUntil time.Time
}
