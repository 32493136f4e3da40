package scenario

import (
	"bytes"
	"math"

	"github.com/BurntSushi/toml"
)

// The 95th percentile and the maximum of the runtimes of tasks as multiples of the median, for
// classes whose median runtime a scenario sets.
const (
	runP95Factor = 1.25
	runMaxFactor = 1.4
)

const (
	// bootFailures is the fraction of machines that fail to boot during boot_trouble.
	bootFailures = 0.2
	// quickBootFactor is the factor for boot times during quick_boots.
	quickBootFactor = 0.05
)

// File returns the contents of the site file in TOML.
func (s *Site) File() ([]byte, error) { return encode(s.all) }

// ScenarioFile encodes a scenario for this deployment in the benchmark's format.
func (s *Site) ScenarioFile(scenario *Scenario) ([]byte, error) {
	var faults []map[string]any
	for i := range scenario.Faults {
		faults = append(faults, s.encodeFault(&scenario.Faults[i]))
	}
	day := map[string]any{"name": scenario.Name, "slot": "scale", "light": false, "seed": int64(scenario.Seed), "faults": faults}
	if scenario.DurationS > 0 {
		day["duration_s"] = scenario.DurationS
	}
	var jobs []map[string]any
	for _, change := range scenario.Jobs {
		jobs = append(jobs, s.encodeChange(change))
	}
	if len(jobs) > 0 {
		day["jobs"] = jobs
	}
	return encode(map[string]any{"day": []map[string]any{day}})
}

// encodeChange converts the changes of a job class to the benchmark's format.
func (s *Site) encodeChange(change ClassChange) map[string]any {
	encoded := map[string]any{"name": s.resolveClass(change.Class)["name"]}
	if change.Cancelled > 0 {
		encoded["cancelled"] = change.Cancelled
	}
	if change.RunS > 0 {
		encoded["run_s"] = map[string]any{"median": change.RunS, "p95": change.RunS * runP95Factor, "max": change.RunS * runMaxFactor}
	}
	return encoded
}

// encodeFault converts a fault to the benchmark's format. Its kind determines its fields.
func (s *Site) encodeFault(f *Fault) map[string]any {
	encoded := map[string]any{"at_s": f.AtS, "kind": f.Kind}
	if f.ForS > 0 {
		encoded["for_s"] = f.ForS
	}
	switch f.Kind {
	case "job_burst":
		encoded["class"], encoded["factor"] = s.resolveClass(f.Class)["name"], f.Factor
		if f.Team {
			encoded["class"] = burstClassName(f.Class)
		}
	case "machine_die", "machine_hang", "machine_sick":
		encoded["count"] = int64(math.Ceil(f.Machines * float64(s.Machines())))
	case "node_crash", "node_freeze", "node_cut":
		s.encodeControllerFault(f, encoded)
	case "late_writes", "late_reports", "late_commands", "machine_deaf", "machine_mute", "cancel_at_end":
		encodeMessageFault(f, encoded)
	case "cancel_now":
		encoded["count"] = int64(f.Jobs)
		if f.HangS > 0 {
			encoded["hang_s"] = f.HangS
		}
	case "node_roll":
		encoded["every_s"] = f.EveryS
	case "spot_taken":
		encoded["share"], encoded["notice_s"], encoded["over_s"] = f.Share, f.NoticeS, f.ForS
		delete(encoded, "for_s")
	case "zone_cut":
		encoded["zone"], encoded["mode"] = s.largestZone(), f.Mode
	case "spot_rate":
		encoded["per_hour"] = f.Factor
	case "boot_trouble":
		encoded["fail"], encoded["factor"] = bootFailures, f.Factor
	case "quick_boots":
		encoded["kind"], encoded["fail"], encoded["factor"] = "boot_trouble", 0.0, quickBootFactor
	case "state_slow":
		encoded["factor"] = f.Factor
	}
	return encoded
}

// encodeControllerFault adds the number of controllers that a fault affects, the busiest first, and
// for a cut also the endpoints that the controllers can't reach.
func (s *Site) encodeControllerFault(f *Fault, encoded map[string]any) {
	controllers := f.Controllers
	if controllers == 0 || controllers > s.Controllers() {
		controllers = s.Controllers()
	}
	encoded["count"], encoded["busiest"] = int64(controllers), true
	if f.Kind != "node_cut" {
		return
	}
	encoded["mode"] = f.Mode
	switch f.From {
	case fromState:
		encoded["from_state"] = true
	case fromWorkers:
		encoded["from_workers"] = true
	case fromAllButWorkers:
		encoded["from_state"], encoded["from_peers"] = true, true
	}
}

// encodeMessageFault adds the fraction of messages that a fault affects, and its effect on them.
func encodeMessageFault(f *Fault, encoded map[string]any) {
	encoded["share"] = f.Share
	if f.Kind == "late_writes" && f.AtOnce {
		encoded["at_once"] = true
	}
	if f.Kind == "late_reports" && f.ForNextLeader {
		encoded["for_next"] = true
	}
}

// encode returns v as TOML without indentation.
func encode(v any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := toml.NewEncoder(&buffer)
	encoder.Indent = ""
	err := encoder.Encode(v)
	return buffer.Bytes(), err
}
