package protocol

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Submission is the body of POST /submissions.
type Submission struct {
	ID          *string  `msgpack:"name_id"`
	Class       *string  `msgpack:"jobclass"`
	Team        *string  `msgpack:"owner"`
	Shape       *string  `msgpack:"shape"`
	Urgency     *string  `msgpack:"urgency"`
	Tasks       *int64   `msgpack:"pieces"`
	CPUs        *float64 `msgpack:"vcpus"`
	GPUs        *float64 `msgpack:"gpus"`
	MemGB       *float64 `msgpack:"mem_gb"`
	Image       *string  `msgpack:"bundle"`
	ImageGB     *float64 `msgpack:"image_gb"`
	Types       []string `msgpack:"shapes_of_box"`
	Zone        *string  `msgpack:"locale"`
	OneZone     *bool    `msgpack:"same_place"`
	Spread      *bool    `msgpack:"apart"`
	Spot        *bool    `msgpack:"loaners"`
	EstimateS   *float64 `msgpack:"guess_s"`
	CheckpointS *float64 `msgpack:"snapshot_every_s"`
	SaveS       *float64 `msgpack:"snapshot_s"`
	DeadlineS   *float64 `msgpack:"due_s"`
	// Dependencies are the jobs that must be done before a task of this one
	// starts.
	Dependencies []*string `msgpack:"waits_on"`
}

// SubmissionID finds the job id in a body that is not a valid submission, or
// returns nothing.
func SubmissionID(body []byte) string {
	var s struct {
		ID string `msgpack:"name_id"`
	}
	if Decode(body, &s) != nil || !ValidID(s.ID) {
		return ""
	}
	return s.ID
}

// Urgency orders jobs; higher goes first.
type Urgency int

// The urgencies of the protocol.
const (
	Low Urgency = iota
	Standard
	High
	Production
)

var urgencies = map[string]Urgency{"low": Low, "standard": Standard, "high": High, "production": Production}

// JobSpec is a checked submission; it is also what the job's record holds.
type JobSpec struct {
	ID       string `msgpack:"id"`
	Class    string `msgpack:"cl"`
	Team     string `msgpack:"tm"`
	Standing bool   `msgpack:"st,omitempty"`
	// Gang tasks start together or not at all.
	Gang        bool     `msgpack:"ga,omitempty"`
	Urgency     Urgency  `msgpack:"ur"`
	Tasks       int      `msgpack:"n"`
	CPUs        float64  `msgpack:"c"`
	GPUs        float64  `msgpack:"g,omitempty"`
	MemGB       float64  `msgpack:"m"`
	Image       string   `msgpack:"im,omitempty"`
	ImageGB     float64  `msgpack:"ig,omitempty"`
	Types       []string `msgpack:"ty,omitempty"`
	Zone        string   `msgpack:"z,omitempty"`
	OneZone     bool     `msgpack:"oz,omitempty"`
	Spread      bool     `msgpack:"sp,omitempty"`
	Spot        bool     `msgpack:"so,omitempty"`
	EstimateS   float64  `msgpack:"e,omitempty"`
	CheckpointS float64  `msgpack:"ck,omitempty"`
	SaveS       float64  `msgpack:"sv,omitempty"`
	DeadlineS   float64  `msgpack:"d,omitempty"`
	// SubmittedMS is the wall clock at acceptance.
	SubmittedMS int64 `msgpack:"at"`
	// Dependencies are the jobs that must be done first, each named once.
	Dependencies []string `msgpack:"dp,omitempty"`
	// By is who submitted it, where that is asked.
	By string `msgpack:"by,omitempty"`
	// Replaces is the job that was reassigned to become this one.
	Replaces string `msgpack:"rp,omitempty"`
}

// JobKind is the little of a JobSpec that is read of jobs that are over.
type JobKind struct {
	Class string `msgpack:"cl"`
	Team  string `msgpack:"tm"`
}

const (
	maxTasks  = 100_000
	maxAmount = 1e6
	maxText   = 200
)

// ValidID says whether id has the form of a job id.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	if !ok || digits == "" || len(digits) > 32 {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// Check turns a submission into a job, or says in one line what is wrong. Only what may be
// null may be left out.
func (s *Submission) Check() (*JobSpec, error) {
	var j JobSpec
	for _, f := range []struct {
		name     string
		from, to *string
		rule     presence
	}{
		{"name_id", s.ID, &j.ID, filled}, {"jobclass", s.Class, &j.Class, filled}, {"owner", s.Team, &j.Team, filled},
		{"bundle", s.Image, &j.Image, present}, {"locale", s.Zone, &j.Zone, nullable},
	} {
		if err := checkText(f.name, f.from, f.to, f.rule); err != nil {
			return nil, err
		}
	}
	if !ValidID(j.ID) {
		return nil, fmt.Errorf("%w: name_id is invalid", ErrMalformed)
	}
	for _, f := range []struct {
		name     string
		from, to *float64
		rule     presence
	}{
		{"vcpus", s.CPUs, &j.CPUs, present}, {"gpus", s.GPUs, &j.GPUs, present}, {"mem_gb", s.MemGB, &j.MemGB, present},
		{"image_gb", s.ImageGB, &j.ImageGB, present}, {"guess_s", s.EstimateS, &j.EstimateS, present},
		{"snapshot_every_s", s.CheckpointS, &j.CheckpointS, present}, {"snapshot_s", s.SaveS, &j.SaveS, present},
		{"due_s", s.DeadlineS, &j.DeadlineS, nullable},
	} {
		if err := checkAmount(f.name, f.from, f.to, f.rule); err != nil {
			return nil, err
		}
	}
	for _, f := range []struct {
		name     string
		from, to *bool
	}{
		{"same_place", s.OneZone, &j.OneZone}, {"apart", s.Spread, &j.Spread}, {"loaners", s.Spot, &j.Spot},
	} {
		if f.from == nil {
			return nil, missing(f.name)
		}
		*f.to = *f.from
	}
	switch {
	case s.Shape == nil:
		return nil, missing("shape")
	case *s.Shape == "standing":
		j.Standing = true
	case *s.Shape == "gang":
		j.Gang = true
	case *s.Shape != "batch":
		return nil, fmt.Errorf("%w: shape is invalid", ErrMalformed)
	}
	if s.Urgency == nil {
		return nil, missing("urgency")
	}
	var ok bool
	if j.Urgency, ok = urgencies[*s.Urgency]; !ok {
		return nil, fmt.Errorf("%w: urgency is invalid", ErrMalformed)
	}
	switch {
	case s.Tasks == nil:
		return nil, missing("pieces")
	case *s.Tasks < 1 || *s.Tasks > maxTasks:
		return nil, fmt.Errorf("%w: pieces is out of range", ErrMalformed)
	}
	j.Tasks = int(*s.Tasks)
	if len(s.Types) > 64 {
		return nil, fmt.Errorf("%w: shapes_of_box is too long", ErrMalformed)
	}
	for _, t := range s.Types {
		if t == "" || len(t) > maxText {
			return nil, fmt.Errorf("%w: shapes_of_box is invalid", ErrMalformed)
		}
	}
	j.Types = s.Types
	// Whether the jobs named were ever accepted is not a matter of form: even
	// a name that can't be a job's is text.
	for _, d := range s.Dependencies {
		if d == nil {
			return nil, fmt.Errorf("%w: waits_on is invalid", ErrMalformed)
		}
		if !slices.Contains(j.Dependencies, *d) {
			j.Dependencies = append(j.Dependencies, *d)
		}
	}
	return &j, nil
}

// presence says what a field of a submission must hold.
type presence int

const (
	nullable presence = iota // it may be null or left out
	present                  // it must be there
	filled                   // and not be empty
)

func missing(name string) error { return fmt.Errorf("%w: %s is missing", ErrMalformed, name) }

func checkText(name string, from, to *string, rule presence) error {
	switch {
	case from == nil && rule == nullable:
		return nil
	case from == nil:
		return missing(name)
	case len(*from) > maxText || *from == "" && rule == filled:
		return fmt.Errorf("%w: %s is invalid", ErrMalformed, name)
	}
	*to = *from
	return nil
}

func checkAmount(name string, from, to *float64, rule presence) error {
	switch {
	case from == nil && rule == nullable:
		return nil
	case from == nil:
		return missing(name)
	case !finite(*from) || *from < 0 || *from > maxAmount:
		return fmt.Errorf("%w: %s is out of range", ErrMalformed, name)
	}
	*to = *from
	return nil
}

// JobStatus is what users are told about a job.
type JobStatus struct {
	ID      string `msgpack:"name_id"`
	Status  string `msgpack:"status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Ended says whether the job is over, for good.
func (s *JobStatus) Ended() bool { return s.Status == StatusDone || s.Status == StatusCancelled }

// The states of a job as users see them.
const (
	StatusQueued    = "queued"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

// Problem is the body of an answer that refuses.
type Problem struct {
	Error string `msgpack:"error"`
}

// TaskName names a task on the wire.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTask splits a task's wire name.
func ParseTask(name string) (job string, index int, ok bool) {
	job, num, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, false
	}
	index, err := strconv.Atoi(num)
	return job, index, err == nil && index >= 0 && index < maxTasks
}

// Heartbeat is what a worker says of itself: the body of POST /checkin and of the
// answers of /orders and /show.
type Heartbeat struct {
	Machine           string       `msgpack:"host"`
	Addr              string       `msgpack:"endpoint"`
	Type              string       `msgpack:"box"`
	Zone              string       `msgpack:"locale"`
	Spot              bool         `msgpack:"loaners"`
	Epoch             uint64       `msgpack:"tenure"`
	Sequence          uint64       `msgpack:"tick"`
	Token             uint64       `msgpack:"mandate"`
	PreemptionNoticeS *float64     `msgpack:"warning_s"`
	Tasks             []TaskReport `msgpack:"pieces"`
}

// TaskReport is one task in a report.
type TaskReport struct {
	Task    string `msgpack:"piece"`
	Attempt uint64 `msgpack:"try"`
	State   string `msgpack:"status"`
	Cause   string `msgpack:"cause"`
	Saved   bool   `msgpack:"kept"`
}

// The states of a task and the causes of its end.
const (
	TaskFetching = "fetching"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskEnded    = "ended"

	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseFull    = "full"
	CauseInUse   = "in_use"
	CauseUnknown = "unknown"
)

// Check says what is wrong with a report.
func (r *Heartbeat) Check() error {
	switch {
	case r.Machine == "" || len(r.Machine) > maxText || strings.ContainsAny(r.Machine, " /"):
		return fmt.Errorf("%w: host is invalid", ErrMalformed)
	case r.Epoch == 0:
		return fmt.Errorf("%w: tenure is missing", ErrMalformed)
	case r.PreemptionNoticeS != nil && !finite(*r.PreemptionNoticeS):
		return fmt.Errorf("%w: warning_s is invalid", ErrMalformed)
	}
	return nil
}

// Command is one command to a worker.
type Command struct {
	Op      string  `msgpack:"verb"`
	Task    string  `msgpack:"piece"`
	Attempt uint64  `msgpack:"try"`
	GraceS  float64 `msgpack:"wind_down_s"`
}

// EncodeMsgpack leaves the grace out of commands other than stops.
func (c *Command) EncodeMsgpack(enc *msgpack.Encoder) error {
	m := map[string]any{"verb": c.Op, "piece": c.Task, "try": c.Attempt}
	if c.Op == OpStop {
		m["wind_down_s"] = c.GraceS
	}
	return enc.EncodeMap(m)
}

// The commands that workers know.
const (
	OpStart  = "start"
	OpStop   = "stop"
	OpForget = "reap"
)

// CommandBatch carries commands to a worker: an answer to its report (without a
// session) or the body of POST /orders.
type CommandBatch struct {
	Token    uint64    `msgpack:"mandate"`
	Epoch    uint64    `msgpack:"tenure,omitempty"`
	Commands []Command `msgpack:"orders"`
}

// AssignedController tells a worker which controller answers its reports.
type AssignedController struct {
	Controller string `msgpack:"home,omitempty"`
}

// Catalog is the answer of the cloud's GET /catalog.
type Catalog struct {
	Types []MachineType `msgpack:"shapes_of_box"`
}

// MachineType is a kind of machine that the cloud rents.
type MachineType struct {
	Name         string   `msgpack:"label"`
	CPUs         float64  `msgpack:"vcpus"`
	GPUs         float64  `msgpack:"gpus"`
	MemGB        float64  `msgpack:"mem_gb"`
	CacheGB      float64  `msgpack:"cache_gb"`
	FetchGBPerS  float64  `msgpack:"pull_gb_per_s"`
	Price        float64  `msgpack:"price"`
	SpotPrice    float64  `msgpack:"spot_price"`
	BootS        float64  `msgpack:"startup_s"`
	ZonesOffered []string `msgpack:"locales"`
}

// CreateMachinesRequest is the body of the cloud's POST /machines.
type CreateMachinesRequest struct {
	Request string `msgpack:"rental"`
	Type    string `msgpack:"box"`
	Zone    string `msgpack:"locale"`
	Spot    bool   `msgpack:"loaners"`
	Count   int    `msgpack:"count"`
}

// MachineNames is the answer to a rental and the body of a deletion.
type MachineNames struct {
	Machines []string `msgpack:"hosts"`
}

// MachineList is the answer of the cloud's GET /machines.
type MachineList struct {
	Machines []ListedMachine `msgpack:"hosts"`
	More     bool            `msgpack:"more"`
}

// ListedMachine is one machine in the cloud's list.
type ListedMachine struct {
	Name  string  `msgpack:"name_id"`
	Addr  string  `msgpack:"endpoint"`
	Type  string  `msgpack:"box"`
	Zone  string  `msgpack:"locale"`
	Spot  bool    `msgpack:"loaners"`
	State string  `msgpack:"status"`
	AgeS  float64 `msgpack:"held_s"`
}

// The states of a listed machine.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// Item is a key of the state service with its value.
type Item struct {
	Key     string             `msgpack:"key"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Version uint64             `msgpack:"stamp"`
	Lease   uint64             `msgpack:"hold"`
}

// ItemList is the answer to a listing.
type ItemList struct {
	Items    []Item `msgpack:"pairs"`
	More     bool   `msgpack:"more"`
	Revision uint64 `msgpack:"epoch"`
}

// Condition demands a key's version; 0 means that the key does not exist.
type Condition struct {
	Key     string `msgpack:"key"`
	Version uint64 `msgpack:"stamp"`
}

// Change puts or deletes a key.
type Change struct {
	Put    string             `msgpack:"put,omitempty"`
	Value  msgpack.RawMessage `msgpack:"v,omitempty"`
	Lease  uint64             `msgpack:"hold,omitempty"`
	Delete string             `msgpack:"drop,omitempty"`
}

// Transaction is the body of POST /commit.
type Transaction struct {
	If   []Condition `msgpack:"when"`
	Then []Change    `msgpack:"apply"`
}

// TransactionResult is the answer to a transaction.
type TransactionResult struct {
	Revision uint64   `msgpack:"epoch"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error"`
}

// LeaseRequest is the body of POST /grants.
type LeaseRequest struct {
	TTLMS int64 `msgpack:"ttl_ms"`
}

// Lease is the answer to a lease request.
type Lease struct {
	ID uint64 `msgpack:"hold"`
}

// Event is one change in a watch.
type Event struct {
	Put     string             `msgpack:"put"`
	Value   msgpack.RawMessage `msgpack:"v"`
	Delete  string             `msgpack:"drop"`
	Version uint64             `msgpack:"stamp"`
}

// Events is the answer to a watch.
type Events struct {
	Revision uint64  `msgpack:"epoch"`
	Events   []Event `msgpack:"news"`
}

// Arguments is what a job was submitted with, as those see it who may.
type Arguments struct {
	ID           string   `msgpack:"name_id"`
	Class        string   `msgpack:"jobclass"`
	Team         string   `msgpack:"owner"`
	By           string   `msgpack:"by"`
	Replaces     string   `msgpack:"replaces"`
	Urgency      string   `msgpack:"urgency"`
	Tasks        int      `msgpack:"pieces"`
	CPUs         float64  `msgpack:"vcpus"`
	GPUs         float64  `msgpack:"gpus"`
	MemGB        float64  `msgpack:"mem_gb"`
	Image        string   `msgpack:"bundle"`
	ImageGB      float64  `msgpack:"image_gb"`
	EstimateS    float64  `msgpack:"guess_s"`
	DeadlineS    float64  `msgpack:"due_s"`
	SubmittedMS  int64    `msgpack:"submitted_ms"`
	Dependencies []string `msgpack:"waits_on"`
}

// Arguments tells a job's arguments.
func (j *JobSpec) Arguments() Arguments {
	a := Arguments{ID: j.ID, Class: j.Class, Team: j.Team, By: j.By, Replaces: j.Replaces, Tasks: j.Tasks, CPUs: j.CPUs, GPUs: j.GPUs,
		MemGB: j.MemGB, Image: j.Image, ImageGB: j.ImageGB, EstimateS: j.EstimateS, DeadlineS: j.DeadlineS, SubmittedMS: j.SubmittedMS,
		Dependencies: j.Dependencies}
	for name, u := range urgencies {
		if u == j.Urgency {
			a.Urgency = name
		}
	}
	return a
}

// Reassignment is the body of POST /submissions/{id}/reassign.
type Reassignment struct {
	As    string `msgpack:"as"`
	Team  string `msgpack:"owner"`
	Class string `msgpack:"jobclass"`
}

// CancelAll is the body of POST /withdrawals: withdraw what somebody has submitted.
type CancelAll struct {
	By string `msgpack:"by"`
}

// CancelAllResult is the answer to a sweep.
type CancelAllResult struct {
	Cancelled  int `msgpack:"withdrawn"`
	Remaining  int `msgpack:"left"`
	NotAllowed int `msgpack:"not_allowed"`
}

// WhoAmI tells a caller who it is taken for.
type WhoAmI struct {
	Name          string   `msgpack:"name"`
	How           string   `msgpack:"how"`
	Verbs         []string `msgpack:"verbs"`
	PolicyVersion uint64   `msgpack:"policy_version"`
}
