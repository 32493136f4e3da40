// Package scenario makes the project's own hard days out of any deployment of the users'
// kit, and judges what came of them: is every class of jobs and every team served by
// half, and did no rule break and no process end by itself.
//
// It owns the days, the site files that it writes for them, and the verdict, all of
// them pure; it runs nothing and knows no site.
package scenario

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Day is a hard day, in words that fit any deployment.
type Day struct {
	Name string `yaml:"name"`
	// Why says what the day is for.
	Why  string `yaml:"why"`
	Seed int    `yaml:"seed"`
	// Machines, Arrivals and RestartS are how the deployment differs: so many times
	// the machines; so many times the arrivals and the teams' limits; how soon a
	// process that ended is started again.
	Machines float64 `yaml:"machines"`
	Arrivals float64 `yaml:"arrivals"`
	RestartS float64 `yaml:"restart_s"`
	// DurationS is how long jobs come; 0: as the deployment says.
	DurationS float64 `yaml:"duration_s"`
	Jobs      []Jobs  `yaml:"jobs"`
	Faults    []Fault `yaml:"faults"`
}

// Jobs is how a class's jobs differ on a day.
type Jobs struct {
	// Class is urgent or large, as of a fault.
	Class string `yaml:"class"`
	// Cancelled is the share that is called off, RunS for how long the median task runs;
	// 0: as the deployment says.
	Cancelled float64 `yaml:"cancelled"`
	RunS      float64 `yaml:"run_s"`
}

// Fault is one trouble. Which of the fields it needs depends on its kind.
type Fault struct {
	AtS  float64 `yaml:"at_s"`
	Kind string  `yaml:"kind"`
	// Why says what the fault is to bring about.
	Why  string  `yaml:"why"`
	ForS float64 `yaml:"for_s"`
	// Class is urgent or large: the deployment's class of highest urgency, or that
	// whose tasks are largest; Team: all of its jobs are one team's, which has none
	// otherwise.
	Class  string  `yaml:"class"`
	Team   bool    `yaml:"team"`
	Factor float64 `yaml:"factor"`
	// Controllers are crashed, cut off or frozen, the busiest first; 0: all.
	Controllers int `yaml:"controllers"`
	// Machines is the share of those that the deployment may have that die or hang.
	Machines float64 `yaml:"machines"`
	// Share of the spot machines is taken, with so long a notice.
	Share   float64 `yaml:"share"`
	NoticeS float64 `yaml:"notice_s"`
	EveryS  float64 `yaml:"every_s"`
	// From is what cut controllers can't reach: state, workers, everything but workers and
	// users, or everything.
	From string `yaml:"from"`
	// Mode is what becomes of packets at a cut: hold or reset; refuse: it is the state
	// service that refuses the controllers.
	Mode string `yaml:"mode"`
	// AtOnce: of late writes, only the answer is lost. ForNext: the copies of late reports
	// are kept for the next leader.
	AtOnce  bool `yaml:"at_once"`
	ForNext bool `yaml:"for_next"`
	// Jobs are called off; HangS: some of their machines hang that long.
	Jobs  int     `yaml:"jobs"`
	HangS float64 `yaml:"hang_s"`
}

// machinesMost is how many times the machines of a deployment a day may have: the large ones
// have 4,000 then.
const machinesMost = 5

// kinds are the faults that there are, each with the fields that it needs.
var kinds = map[string][]string{
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

//go:embed days/*.yaml meetings/*.yaml
var files embed.FS

// Days are the project's own hard days, by name; Meetings those on which two troubles meet.
func Days() ([]Day, error)     { return daysIn("days") }
func Meetings() ([]Day, error) { return daysIn("meetings") }

func daysIn(folder string) ([]Day, error) {
	names, err := fs.Glob(files, folder+"/*.yaml")
	if err != nil {
		return nil, err
	}
	var all []Day
	for _, name := range names {
		data, err := files.ReadFile(name)
		if err != nil {
			return nil, err
		}
		d, err := Parse(data)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path.Base(name), err)
		}
		all = append(all, d)
	}
	slices.SortFunc(all, func(a, b Day) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

// Parse reads and checks a day.
func Parse(data []byte) (Day, error) {
	var d Day
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&d); err != nil {
		return d, err
	}
	var bad []error
	say := func(format string, args ...any) { bad = append(bad, fmt.Errorf(format, args...)) }
	if d.Name == "" || strings.Trim(d.Name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		say("name: %q is not made of small letters, digits and dashes", d.Name)
	}
	if d.Why == "" {
		say("why: say what the day is for")
	}
	if d.Machines < 0.1 || d.Machines > machinesMost || d.Arrivals < 0.1 || d.Arrivals > 4 || d.RestartS < 0.1 || d.RestartS > 30 {
		say("machines lie between 0.1 and %d times, arrivals between 0.1 and 4, restart_s between 0.1 and 30", machinesMost)
	}
	if d.DurationS < 0 {
		say("duration_s must not be below 0")
	}
	for i, j := range d.Jobs {
		if j.Class != "urgent" && j.Class != "large" || j.Cancelled < 0 || j.Cancelled > 1 || j.RunS < 0 {
			say("jobs %d: class is urgent or large, cancelled lies between 0 and 1, run_s is not below 0", i+1)
		}
	}
	if len(d.Faults) == 0 {
		say("faults: a day without any is no hard one")
	}
	for i := range d.Faults {
		if err := d.Faults[i].check(); err != nil {
			say("fault %d: %w", i+1, err)
		}
	}
	return d, errors.Join(bad...)
}

func (f *Fault) check() error {
	needs, known := kinds[f.Kind]
	if !known {
		return fmt.Errorf("kind: there is no %q; there are %s", f.Kind, strings.Join(slices.Sorted(maps.Keys(kinds)), ", "))
	}
	if f.Why == "" {
		return errors.New("why: say what it is to bring about")
	}
	has := map[string]bool{"for_s": f.ForS > 0, "class": f.Class == "urgent" || f.Class == "large", "factor": f.Factor > 0,
		"machines": f.Machines > 0 && f.Machines <= 1, "share": f.Share > 0 && f.Share <= 1, "notice_s": f.NoticeS > 0,
		"every_s": f.EveryS > 0, "from": slices.Contains([]string{"state", "workers", "all-but-workers", "everything"}, f.From),
		"mode": f.Mode == "hold" || f.Mode == "reset" || f.Mode == "refuse" && f.From == "state", "jobs": f.Jobs > 0}
	for _, need := range needs {
		if !has[need] {
			return fmt.Errorf("%s needs %s", f.Kind, need)
		}
	}
	if f.AtS <= 0 || f.Controllers < 0 || f.HangS < 0 {
		return errors.New("at_s must be above 0, controllers and hang_s not below")
	}
	return nil
}
