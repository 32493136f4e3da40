package protocol

import (
	"fmt"
	"slices"
)

// Bounds on the fields of messages.
const (
	maxTasks  = 100_000
	maxTypes  = 64
	maxAmount = 1e6
	maxText   = 200 // bytes
)

// Submission is the body of POST /submissions, the description of a job. Scalar fields are
// pointers, to tell an omitted field from a zero value.
type Submission struct {
	ID                  *string  `msgpack:"name_id"`
	Class               *string  `msgpack:"jobclass"`
	Team                *string  `msgpack:"owner"`
	Shape               *string  `msgpack:"shape"`
	Urgency             *string  `msgpack:"urgency"`
	Tasks               *int64   `msgpack:"pieces"`
	CPUs                *float64 `msgpack:"vcpus"`
	GPUs                *float64 `msgpack:"gpus"`
	MemGB               *float64 `msgpack:"mem_gb"`
	Image               *string  `msgpack:"bundle"`
	ImageGB             *float64 `msgpack:"image_gb"`
	Types               []string `msgpack:"shapes_of_box"`
	Zone                *string  `msgpack:"locale"`
	OneZone             *bool    `msgpack:"same_place"`
	Spread              *bool    `msgpack:"apart"`
	Spot                *bool    `msgpack:"loaners"`
	EstimateS           *float64 `msgpack:"guess_s"`
	CheckpointIntervalS *float64 `msgpack:"snapshot_every_s"`
	CheckpointDurationS *float64 `msgpack:"snapshot_s"`
	DeadlineS           *float64 `msgpack:"due_s"`
	// Dependencies are the ids of jobs that must be done before a task of this job starts.
	Dependencies []*string `msgpack:"waits_on"`
}

// SubmissionID returns the job id of a submission whose other fields may be invalid, "" if body
// has no valid id.
func SubmissionID(body []byte) string {
	var s struct {
		ID string `msgpack:"name_id"`
	}
	if Decode(body, &s) != nil || !ValidJobID(s.ID) {
		return ""
	}
	return s.ID
}

// submissionChecks are the steps of Check. Each validates some fields and copies them to the job.
var submissionChecks = []func(*Submission, *JobSpec) error{
	(*Submission).checkTexts,
	(*Submission).checkAmounts,
	(*Submission).checkFlags,
	(*Submission).checkShape,
	(*Submission).checkUrgency,
	(*Submission).checkTasks,
	(*Submission).checkTypes,
	(*Submission).checkDependencies,
}

// Check validates a submission and returns its job. The error is one line on the first invalid
// field. Only nullable fields may be omitted.
func (s *Submission) Check() (*JobSpec, error) {
	var spec JobSpec
	for _, check := range submissionChecks {
		if err := check(s, &spec); err != nil {
			return nil, err
		}
	}
	return &spec, nil
}

func (s *Submission) checkTexts(spec *JobSpec) error {
	for _, field := range []struct {
		name     string
		from, to *string
		rule     presence
	}{
		{"name_id", s.ID, &spec.ID, nonEmpty},
		{"jobclass", s.Class, &spec.Class, nonEmpty},
		{"owner", s.Team, &spec.Team, nonEmpty},
		{"bundle", s.Image, &spec.Image, required},
		{"locale", s.Zone, &spec.Zone, nullable},
	} {
		if err := checkText(field.name, field.from, field.to, field.rule); err != nil {
			return err
		}
	}
	if !ValidJobID(spec.ID) {
		return invalid("name_id")
	}
	return nil
}

func (s *Submission) checkAmounts(spec *JobSpec) error {
	for _, field := range []struct {
		name     string
		from, to *float64
		rule     presence
	}{
		{"vcpus", s.CPUs, &spec.CPUs, required},
		{"gpus", s.GPUs, &spec.GPUs, required},
		{"mem_gb", s.MemGB, &spec.MemGB, required},
		{"image_gb", s.ImageGB, &spec.ImageGB, required},
		{"guess_s", s.EstimateS, &spec.EstimateS, required},
		{"snapshot_every_s", s.CheckpointIntervalS, &spec.CheckpointIntervalS, required},
		{"snapshot_s", s.CheckpointDurationS, &spec.CheckpointDurationS, required},
		{"due_s", s.DeadlineS, &spec.DeadlineS, nullable},
	} {
		if err := checkAmount(field.name, field.from, field.to, field.rule); err != nil {
			return err
		}
	}
	return nil
}

func (s *Submission) checkFlags(spec *JobSpec) error {
	for _, field := range []struct {
		name     string
		from, to *bool
	}{
		{"same_place", s.OneZone, &spec.OneZone},
		{"apart", s.Spread, &spec.Spread},
		{"loaners", s.Spot, &spec.Spot},
	} {
		if field.from == nil {
			return missing(field.name)
		}
		*field.to = *field.from
	}
	return nil
}

func (s *Submission) checkShape(spec *JobSpec) error {
	if s.Shape == nil {
		return missing("shape")
	}
	switch *s.Shape {
	case "standing":
		spec.Service = true
	case "gang":
		spec.Gang = true
	case "batch":
	default:
		return invalid("shape")
	}
	return nil
}

func (s *Submission) checkUrgency(spec *JobSpec) error {
	if s.Urgency == nil {
		return missing("urgency")
	}
	urgency, ok := urgencies[*s.Urgency]
	if !ok {
		return invalid("urgency")
	}
	spec.Urgency = urgency
	return nil
}

func (s *Submission) checkTasks(spec *JobSpec) error {
	if s.Tasks == nil {
		return missing("pieces")
	}
	if *s.Tasks < 1 || *s.Tasks > maxTasks {
		return outOfRange("pieces")
	}
	spec.Tasks = int(*s.Tasks)
	return nil
}

func (s *Submission) checkTypes(spec *JobSpec) error {
	if len(s.Types) > maxTypes {
		return fmt.Errorf("%w: shapes_of_box is too long", ErrMalformed)
	}
	for _, name := range s.Types {
		if name == "" || len(name) > maxText {
			return invalid("shapes_of_box")
		}
	}
	spec.Types = s.Types
	return nil
}

// checkDependencies removes duplicates. It allows any id, even one that is not a valid job id:
// whether the jobs exist is checked against the records later.
func (s *Submission) checkDependencies(spec *JobSpec) error {
	for _, id := range s.Dependencies {
		if id == nil {
			return invalid("waits_on")
		}
		if !slices.Contains(spec.Dependencies, *id) {
			spec.Dependencies = append(spec.Dependencies, *id)
		}
	}
	return nil
}

// presence specifies whether a field of a submission may be omitted or empty.
type presence int

const (
	nullable presence = iota // may be null or omitted
	required                 // must be present
	nonEmpty                 // must be present and not empty
)

func missing(name string) error { return fmt.Errorf("%w: %s is missing", ErrMalformed, name) }

func invalid(name string) error { return fmt.Errorf("%w: %s is invalid", ErrMalformed, name) }

func outOfRange(name string) error { return fmt.Errorf("%w: %s is out of range", ErrMalformed, name) }

func checkText(name string, from, to *string, rule presence) error {
	switch {
	case from == nil && rule == nullable:
		return nil
	case from == nil:
		return missing(name)
	case len(*from) > maxText || *from == "" && rule == nonEmpty:
		return invalid(name)
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
	case !isFinite(*from) || *from < 0 || *from > maxAmount:
		return outOfRange(name)
	}
	*to = *from
	return nil
}
