package scenario

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Fault is one injected fault. Its kind determines which fields it needs.
type Fault struct {
	AtS  float64 `yaml:"at_s"`
	Kind string  `yaml:"kind"`
	// Why describes the situation that the fault is to cause.
	Why  string  `yaml:"why"`
	ForS float64 `yaml:"for_s"`
	// Class is urgent or large: the deployment's class of highest urgency, or the one
	// with the largest tasks. With Team, all jobs of a burst belong to one team that has
	// no other jobs.
	Class  string  `yaml:"class"`
	Team   bool    `yaml:"team"`
	Factor float64 `yaml:"factor"`
	// Controllers is the number of controllers that crash, freeze or are cut off, the
	// busiest first; 0 means all.
	Controllers int `yaml:"controllers"`
	// Machines is the number of machines that fail, as a fraction of the deployment's capacity.
	Machines float64 `yaml:"machines"`
	// Share is the fraction of spot machines that are reclaimed, with NoticeS seconds of
	// notice, or the fraction of machines, messages or cancellations that a fault affects.
	Share   float64 `yaml:"share"`
	NoticeS float64 `yaml:"notice_s"`
	EveryS  float64 `yaml:"every_s"`
	// From names the endpoints that controllers can't reach during a cut: state, workers,
	// all-but-workers (all but workers and users) or everything.
	From string `yaml:"from"`
	// Mode is the effect of a cut. With hold, packets are held; with reset, connections are
	// reset; with refuse, the state store refuses the controllers' requests.
	Mode string `yaml:"mode"`
	// With AtOnce, late writes are executed at once and only their responses are lost. With
	// ForNextLeader, copies of late reports are kept for the next leader.
	AtOnce        bool `yaml:"at_once"`
	ForNextLeader bool `yaml:"for_next"`
	// Jobs is the number of jobs that are cancelled, and HangS the time for which some of
	// their machines hang.
	Jobs  int     `yaml:"jobs"`
	HangS float64 `yaml:"hang_s"`
}

// Names of job classes in scenarios: the class of highest urgency, and the one with the largest
// tasks.
const (
	classUrgent = "urgent"
	classLarge  = "large"
)

// Values of Fault.From and Fault.Mode.
const (
	fromState         = "state"
	fromWorkers       = "workers"
	fromAllButWorkers = "all-but-workers"
	fromEverything    = "everything"

	modeHold   = "hold"
	modeReset  = "reset"
	modeRefuse = "refuse"
)

// requiredFields lists the required fields of each kind of fault.
var requiredFields = map[string][]string{
	"job_burst":    {"for_s", "class", "factor"},
	"machine_die":  {"machines"},
	"machine_hang": {"machines", "for_s"},
	"cloud_outage": {"for_s"},
	"state_outage": {"for_s"},
	"state_slow":   {"for_s", "factor"},
	"node_crash":   {},
	"node_freeze":  {"for_s"},
	"node_cut":     {"for_s", "from", "mode"},
	"node_roll":    {"every_s"},
	"peers_refuse": {"for_s"},
	"spot_taken":   {"share", "notice_s", "for_s"},
	"zone_cut":     {"for_s", "mode"},
	"boot_trouble": {"for_s", "factor"},
	"machine_sick": {"machines", "for_s"},
	"spot_rate":    {"for_s", "factor"},

	"late_writes":   {"for_s", "share"},
	"late_reports":  {"for_s", "share"},
	"late_commands": {"for_s", "share"},
	"machine_deaf":  {"for_s", "share"},
	"machine_mute":  {"for_s", "share"},
	"cancel_now":    {"jobs"},
	"cancel_at_end": {"for_s", "share"},
	"odd_requests":  {"for_s"},
	"close_looks":   {"for_s"},
	"quick_boots":   {"for_s"},
}

// check validates the fault.
func (f *Fault) check() error {
	required, known := requiredFields[f.Kind]
	if !known {
		return fmt.Errorf("kind: no %q; the kinds are %s", f.Kind, strings.Join(slices.Sorted(maps.Keys(requiredFields)), ", "))
	}
	if f.Why == "" {
		return errors.New("why: the purpose of the fault is missing")
	}
	for _, field := range required {
		if !f.hasValid(field) {
			return fmt.Errorf("%s needs %s", f.Kind, field)
		}
	}
	if f.AtS <= 0 || f.Controllers < 0 || f.HangS < 0 {
		return errors.New("at_s must be positive, and controllers and hang_s not negative")
	}
	return nil
}

// hasValid reports whether the field with the given name in YAML has a valid value.
func (f *Fault) hasValid(field string) bool {
	switch field {
	case "for_s":
		return f.ForS > 0
	case "class":
		return validClass(f.Class)
	case "factor":
		return f.Factor > 0
	case "machines":
		return f.Machines > 0 && f.Machines <= 1
	case "share":
		return f.Share > 0 && f.Share <= 1
	case "notice_s":
		return f.NoticeS > 0
	case "every_s":
		return f.EveryS > 0
	case "from":
		return slices.Contains([]string{fromState, fromWorkers, fromAllButWorkers, fromEverything}, f.From)
	case "mode":
		return f.Mode == modeHold || f.Mode == modeReset || f.Mode == modeRefuse && f.From == fromState
	case "jobs":
		return f.Jobs > 0
	}
	return false
}

// validClass reports whether class is a name that scenarios use for a job class.
func validClass(class string) bool { return class == classUrgent || class == classLarge }
