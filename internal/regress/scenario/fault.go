package scenario

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Fault is one injected fault. Which of the fields it needs depends on its kind.
type Fault struct {
	AtS  float64 `yaml:"at_s"`
	Kind string  `yaml:"kind"`
	// Why says what the fault is to bring about.
	Why  string  `yaml:"why"`
	ForS float64 `yaml:"for_s"`
	// Class is urgent or large: the deployment's class of highest urgency, or that
	// whose tasks are largest. Team: all of its jobs belong to one team, which has no
	// others.
	Class  string  `yaml:"class"`
	Team   bool    `yaml:"team"`
	Factor float64 `yaml:"factor"`
	// Controllers are crashed, cut off or frozen, the busiest first; 0: all.
	Controllers int `yaml:"controllers"`
	// Machines is the fraction of those that the deployment may have that die or hang.
	Machines float64 `yaml:"machines"`
	// Share is the fraction of the spot machines that is taken, with so long a notice; of
	// messages, the fraction that is late or lost.
	Share   float64 `yaml:"share"`
	NoticeS float64 `yaml:"notice_s"`
	EveryS  float64 `yaml:"every_s"`
	// From is what cut controllers can't reach: state, workers, all-but-workers (all but
	// workers and users) or everything.
	From string `yaml:"from"`
	// Mode is what becomes of packets at a cut: hold or reset; refuse: the state store
	// refuses the controllers.
	Mode string `yaml:"mode"`
	// AtOnce: of late writes, only the answer is lost. ForNext: the copies of late reports
	// are kept for the next leader.
	AtOnce        bool `yaml:"at_once"`
	ForNextLeader bool `yaml:"for_next"`
	// Jobs is how many jobs are cancelled; HangS: some of their machines hang that long.
	Jobs  int     `yaml:"jobs"`
	HangS float64 `yaml:"hang_s"`
}

// The classes that a scenario names: that of highest urgency, and that whose tasks are largest.
const (
	classUrgent = "urgent"
	classLarge  = "large"
)

// What a cut can cut controllers off from, and modes of a cut.
const (
	fromState         = "state"
	fromWorkers       = "workers"
	fromAllButWorkers = "all-but-workers"
	fromEverything    = "everything"

	modeHold   = "hold"
	modeReset  = "reset"
	modeRefuse = "refuse"
)

// requiredFields has the kinds of faults, each with the fields that it needs.
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

// check says what is wrong with a fault.
func (f *Fault) check() error {
	required, known := requiredFields[f.Kind]
	if !known {
		return fmt.Errorf("kind: there is no %q; there are %s", f.Kind, strings.Join(slices.Sorted(maps.Keys(requiredFields)), ", "))
	}
	if f.Why == "" {
		return errors.New("why: say what it is to bring about")
	}
	for _, field := range required {
		if !f.has(field) {
			return fmt.Errorf("%s needs %s", f.Kind, field)
		}
	}
	if f.AtS <= 0 || f.Controllers < 0 || f.HangS < 0 {
		return errors.New("at_s must be above 0, controllers and hang_s not below")
	}
	return nil
}

// has says whether a field, by its name in the file, has a valid value.
func (f *Fault) has(field string) bool {
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

// validClass says whether a scenario may name a class so.
func validClass(class string) bool { return class == classUrgent || class == classLarge }
