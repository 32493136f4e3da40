package coordination

import (
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/coordination/floor"
	"micaspindle/internal/coordination/procon"
	"micaspindle/internal/coordination/shares"
	"micaspindle/internal/coordination/standby"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// attemptState is how far an attempt has come.
type attemptState int

const (
	attemptReserved  attemptState = iota // held in memory, not yet on record
	attemptCommitted                     // on record; the start may be sent
	attemptSeen                          // the worker confirmed that it knows it
	attemptEnded                         // the worker reported its end
	attemptOver                          // proven over; waits to leave the record
)

// attempt is one try of a task on one session of a machine.
type attempt struct {
	job     *job
	task    int
	number  uint64
	machine *machine
	session uint64
	state   attemptState

	status    string // what the worker last said of it
	cause     string
	startedAt time.Time // first seen running
	committed time.Time
	sentToken uint64    // highest token under which a start was sent
	sentAt    time.Time // when a start was last sent
	inFlight  int       // orders on their way that carry its start
	// unanswered says that a start was sent and nobody knows whether it
	// arrived: it may still, so the attempt must not be reaped under this token.
	unanswered bool
	slow       bool // took far longer than its like elsewhere
	// inherited attempts began under a former owner; told is when, if it had said so.
	inherited bool
	told      time.Time
	// noted is where in its owner's tale the attempt's beginning stands; 0: not yet.
	noted     uint64
	stopping  bool
	stopGrace float64
	stopAt    time.Time
}

func (a *attempt) wire() string { return protocol.TaskName(a.job.spec.ID, a.task) }

// ranS is for how many seconds it has run, as far as is known here.
func (a *attempt) ranS(now time.Time) float64 {
	begun := a.startedAt
	if begun.IsZero() {
		begun = a.told
	}
	if begun.IsZero() {
		return 0
	}
	return now.Sub(begun).Seconds()
}

// blind says that nobody here knows when it began.
func (a *attempt) blind() bool { return a.inherited && a.told.IsZero() }

// live says that the attempt may still be or come to be on its machine.
func (a *attempt) live() bool { return a.state < attemptEnded }

// chunk is one run record of a job.
type chunk struct {
	index   int
	version uint64
	last    uint64
	dirty   bool      // differs from its record
	urgent  bool      // holds starts that wait for the record
	since   time.Time // when it became dirty
	// oversize: it does not fit the state service's limit until tasks end.
	oversize bool
	unsure   bool   // a commit went unanswered: read the key before writing
	gen      uint64 // counts changes, to tell what a commit has missed
	ended    []*attempt
}

// job is an unfinished job. Only its part's owner fills in the second half.
type job struct {
	spec     *protocol.JobSpec
	part     int
	team     int
	class    int       // its group among the floor's
	received time.Time // steady-clock moment of the submission, as well as known

	owned bool
	// withdrawn: it has ended, one way or the other, and what is left of it is stopped.
	withdrawn bool
	// withdrawnAt is when its user was told that it is withdrawn, at the earliest; zero: it
	// is done, or that is longer ago than any task of it may still run.
	withdrawnAt time.Time
	finishing   bool
	done        []bool
	doneCount   int
	queue       []int // tasks that wait, in order
	live        map[int]*attempt
	chunks      map[int]*chunk
	failures    int
	failedOn    map[string]bool      // nil: nowhere
	ranS        map[string][]float64 // run times of done tasks, by machine; nil: none is done
	holdTill    time.Time
	running     int
	// touched: some record has changed since it was last seen that none has.
	touched bool

	// What the graph of dependencies says of the job, on every controller.
	blocked  bool             // has dependencies that are not done
	readyAt  time.Time        // when the last of them was; zero if there were none
	raised   protocol.Urgency // the highest among the jobs that need it
	neededBy time.Time        // when it must be done for them to be in time; zero if no matter
}

// urgency is the highest among the job and those that need it.
func (j *job) urgency() protocol.Urgency { return max(j.spec.Urgency, j.raised) }

// since is when the job could first have started.
func (j *job) since() time.Time {
	if j.readyAt.After(j.received) {
		return j.readyAt
	}
	return j.received
}

// deadline is the latest finish at which the job and those that need it can
// still be in time, if any of them has a deadline.
func (j *job) deadline() (time.Time, bool) {
	if j.spec.DeadlineS <= 0 {
		return j.neededBy, !j.neededBy.IsZero()
	}
	own := j.received.Add(settings.Seconds(j.spec.DeadlineS))
	if !j.neededBy.IsZero() && j.neededBy.Before(own) {
		return j.neededBy, true
	}
	return own, true
}

func (j *job) chunk(task int) *chunk {
	i := task / bookkeeping.ChunkTasks
	c := j.chunks[i]
	if c == nil {
		c = &chunk{index: i}
		j.chunks[i] = c
	}
	return c
}

func (j *job) touch(task int, urgent bool, now time.Time) {
	j.touched = true
	c := j.chunk(task)
	if !c.dirty {
		c.dirty, c.since = true, now
	}
	c.gen++
	c.urgent = c.urgent || urgent
}

// record is the chunk as it should stand in the state service.
func (j *job) record(c *chunk) bookkeeping.Run {
	run := bookkeeping.Run{Last: c.last, Done: [][2]int{}, Live: []bookkeeping.Attempt{}}
	from, to := c.index*bookkeeping.ChunkTasks, min((c.index+1)*bookkeeping.ChunkTasks, j.spec.Tasks)
	for t := from; t < to; t++ {
		if j.done[t] {
			if n := len(run.Done); n > 0 && run.Done[n-1][1] == t-1 {
				run.Done[n-1][1] = t
			} else {
				run.Done = append(run.Done, [2]int{t, t})
			}
		}
		if a := j.live[t]; a != nil && a.live() {
			run.Live = append(run.Live, bookkeeping.Attempt{Task: t, Number: a.number, Machine: a.machine.name, Session: a.session})
		}
	}
	return run
}

// machine is a rented machine on record.
type machine struct {
	name    string
	share   int // of its part's machines, the same wherever it is
	rec     bookkeeping.Machine
	version uint64
	typ     *protocol.MachineType

	heard     bool   // has reported to us at all
	session   uint64 // newest seen
	sequence  uint64
	reported  struct{ session, sequence uint64 } // newest report that came as one
	hint      uint64                             // the session, as a former owner told it
	fenced    bool                               // a report under our token has come
	lastHeard time.Time
	// cameHere is when its worker last came here, whether it was answered or not.
	cameHere time.Time
	// sentAway is when its worker was last told to report to its carrier, carriedAt when a
	// carrier last told of a report.
	sentAway, carriedAt time.Time
	// movedBound is until when an owner of the part that it was moved from may answer it.
	movedBound time.Time
	// keptFor is the group of jobs that alone may start on it; floor.None: all may.
	keptFor      int
	answeredBy   time.Time // last moment at which anybody may have answered a report
	lost         bool
	deleted      bool      // by this controller: the cloud has confirmed it
	deleteTried  time.Time // when that was last tried
	notice       time.Time // when the cloud takes it away; zero if not announced
	strayedSince time.Time // since when its worker visits others and not us
	retiring     time.Time
	moving       bool
	faulty       bool
	avoidTill    time.Time
	errorJobs    map[string]bool
	slowTasks    int // tasks that took far longer than their like elsewhere
	idleSince    time.Time
	recordedAt   time.Time
	ownedSince   time.Time // since when its owner could have heard it
	// raiseBy is by when the machine's token is to be raised; zero: it need not be.
	raiseBy time.Time
	// pendingOrders is how many orders wait for the worker's answer, orderedAt when the
	// newest of them was sent; again: there is more to command once they are answered.
	pendingOrders int
	orderedAt     time.Time
	again         bool
	lastOrders    time.Time
	attempts      map[string]*attempt // by wire name and number
	foreign       map[string]protocol.TaskReport
	images        map[string]time.Time
	// tellable is what the standby was told of it, noted where in the tale that stands.
	tellable tellable
	noted    uint64

	used        fit.Amounts // by its live attempts
	predicted   *procon.Machine
	predictedAt time.Time
}

func attemptKey(task string, number uint64) string {
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

// resources recounts what the attempts on the machine hold.
func (m *machine) resources() {
	m.predicted = nil
	m.used = fit.Amounts{}
	for _, a := range m.attempts {
		if a.live() {
			m.used = m.used.Plus(needOf(a.job.spec), 1)
		}
	}
}

// free is the room on a machine whose type is known.
func (m *machine) free() fit.Amounts { return fit.Size(m.typ).Plus(m.used, -1) }

// part is a share of the teams, with its owner.
type part struct {
	index   int
	owner   string
	nonce   string // of the owner's life
	last    string // the owner before, while there is none
	version uint64 // revision of the claim; 0: unclaimed
	orphan  time.Time
	// former are earlier owners that may still answer workers.
	former  []standby.Answerer
	mine    bool
	ready   bool // rebuilt from the records
	warm    bool // they had been followed
	bare    bool // nothing is known that only its owner may believe
	claimed time.Time
	loaded  bool // some team's work is in it
	kick    chan struct{}
	// usage is what live attempts use, by team.
	usage []fit.Share
	// preempted is when work was last considered for stopping.
	preempted time.Time
	// doubt: some chunk's last write went unanswered; committing: one is under way.
	doubt, committing bool
	// standby is who was named to take the part over, homing since when it waits to go
	// back, telling what the standby was told.
	standby string
	homing  time.Time
	telling telling
	// order is the jobs that want something, as they are served, rest the others, as
	// of orderedAt.
	order, rest []*job
	orderedAt   time.Time
	// done counts what was done of late, by group; floor is what is kept for groups
	// that are behind.
	done  map[int]*floor.Tally
	floor floorState
	// ledger says who carries its machines' connections; lent is the latest end of what
	// was granted before this controller last lost the part.
	ledger shares.Ledger
	lent   time.Time
}
