package protocol

import (
	"strconv"
	"strings"
)

// Urgency is the priority of a job; higher values go first.
type Urgency int

// The urgencies, from lowest to highest.
const (
	Low Urgency = iota
	Standard
	High
	Production
)

// urgencies maps names on the wire to urgencies.
var urgencies = map[string]Urgency{"low": Low, "standard": Standard, "high": High, "production": Production}

// JobSpec is a validated submission. It is also the stored record of the job, so the tags and the
// order of its fields must not change.
type JobSpec struct {
	ID    string `msgpack:"id"`
	Class string `msgpack:"cl"`
	Team  string `msgpack:"tm"`
	// The tasks of a service run until they are stopped.
	Service bool `msgpack:"st,omitempty"`
	// Gang marks a job whose tasks start together or not at all.
	Gang                bool     `msgpack:"ga,omitempty"`
	Urgency             Urgency  `msgpack:"ur"`
	Tasks               int      `msgpack:"n"`
	CPUs                float64  `msgpack:"c"`
	GPUs                float64  `msgpack:"g,omitempty"`
	MemGB               float64  `msgpack:"m"`
	Image               string   `msgpack:"im,omitempty"`
	ImageGB             float64  `msgpack:"ig,omitempty"`
	Types               []string `msgpack:"ty,omitempty"`
	Zone                string   `msgpack:"z,omitempty"`
	OneZone             bool     `msgpack:"oz,omitempty"`
	Spread              bool     `msgpack:"sp,omitempty"`
	Spot                bool     `msgpack:"so,omitempty"`
	EstimateS           float64  `msgpack:"e,omitempty"`
	CheckpointIntervalS float64  `msgpack:"ck,omitempty"`
	CheckpointDurationS float64  `msgpack:"sv,omitempty"`
	DeadlineS           float64  `msgpack:"d,omitempty"`
	// SubmittedMS is the Unix time in milliseconds at which the job was accepted.
	SubmittedMS int64 `msgpack:"at"`
	// Dependencies are the ids of the jobs that must be done first, without duplicates.
	Dependencies []string `msgpack:"dp,omitempty"`
	// SubmittedBy is the user that submitted the job, if callers are authenticated.
	SubmittedBy string `msgpack:"by,omitempty"`
	// Replaces is the id of the job that this one was reassigned from.
	Replaces string `msgpack:"rp,omitempty"`
}

// JobClassAndTeam holds the class and the team of a job. No other fields of a JobSpec are read once its job
// is in a final state.
type JobClassAndTeam struct {
	Class string `msgpack:"cl"`
	Team  string `msgpack:"tm"`
}

// maxIDDigits is the maximum number of digits in a job id.
const maxIDDigits = 32

// ValidJobID reports whether id has the form of a job id.
func ValidJobID(id string) bool {
	digits, ok := strings.CutPrefix(id, "job-")
	if !ok || digits == "" || len(digits) > maxIDDigits {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// TaskName returns the name that a job's task has on the wire.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName splits the name of a task into the id of its job and its index in the job.
func ParseTaskName(name string) (job string, index int, ok bool) {
	job, number, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, false
	}
	index, err := strconv.Atoi(number)
	return job, index, err == nil && index >= 0 && index < maxTasks
}

// JobStatus is the response to a request for the status of a job.
type JobStatus struct {
	ID      string `msgpack:"name_id"`
	Status  string `msgpack:"status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Ended reports whether the job is in a final state.
func (s *JobStatus) Ended() bool { return s.Status == StatusDone || s.Status == StatusCancelled }

// The states of a job in responses to users. A cancelled job is called withdrawn on the wire.
const (
	StatusQueued    = "queued"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

// Arguments are the values that a job was submitted with, for callers who may read them.
type Arguments struct {
	ID           string   `msgpack:"name_id"`
	Class        string   `msgpack:"jobclass"`
	Team         string   `msgpack:"owner"`
	SubmittedBy  string   `msgpack:"by"`
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

// Arguments returns the values that the job was submitted with.
func (j *JobSpec) Arguments() Arguments {
	arguments := Arguments{
		ID:           j.ID,
		Class:        j.Class,
		Team:         j.Team,
		SubmittedBy:  j.SubmittedBy,
		Replaces:     j.Replaces,
		Tasks:        j.Tasks,
		CPUs:         j.CPUs,
		GPUs:         j.GPUs,
		MemGB:        j.MemGB,
		Image:        j.Image,
		ImageGB:      j.ImageGB,
		EstimateS:    j.EstimateS,
		DeadlineS:    j.DeadlineS,
		SubmittedMS:  j.SubmittedMS,
		Dependencies: j.Dependencies,
	}
	for name, urgency := range urgencies {
		if urgency == j.Urgency {
			arguments.Urgency = name
		}
	}
	return arguments
}
