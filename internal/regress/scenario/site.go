package scenario

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/BurntSushi/toml"
)

// Site is a deployment as its file says; what this package does not know of it is
// kept as it is.
type Site struct {
	all      map[string]any
	teams    []map[string]any
	jobs     []map[string]any
	capacity []map[string]any
}

// team is the one that a flood of a single team is of.
const team = "night-flood"

// ReadSite reads a site file.
func ReadSite(data []byte) (*Site, error) {
	s := &Site{all: map[string]any{}}
	if err := toml.Unmarshal(data, &s.all); err != nil {
		return nil, err
	}
	for _, t := range []struct {
		name string
		into *[]map[string]any
	}{{"teams", &s.teams}, {"jobs", &s.jobs}, {"capacity", &s.capacity}} {
		list, ok := s.all[t.name].([]map[string]any)
		if !ok || len(list) == 0 {
			return nil, fmt.Errorf("no [[%s]]", t.name)
		}
		*t.into = list
	}
	if _, ok := s.all["nodes"].(map[string]any); !ok {
		return nil, errors.New("no [nodes]")
	}
	return s, nil
}

// Name is the deployment's.
func (s *Site) Name() string { return text(s.all["name"]) }

// Wire is the name of the file, beside the site's, that it needs.
func (s *Site) Wire() string { return text(s.all["wire"]) }

// Controllers is how many there are.
func (s *Site) Controllers() int {
	return int(number(s.all["nodes"].(map[string]any)["count"]))
}

// Machines is how many the cloud has.
func (s *Site) Machines() int {
	n := 0.0
	for _, c := range s.capacity {
		n += number(c["count"]) + number(c["spot"])
	}
	return int(n)
}

// For makes the deployment what a day asks for.
func (s *Site) For(d *Day) {
	nodes := s.all["nodes"].(map[string]any)
	nodes["restart_delay_s"] = d.RestartS
	for _, c := range s.capacity {
		for _, k := range []string{"count", "spot"} {
			if _, ok := c[k]; ok {
				c[k] = int64(math.Round(number(c[k]) * d.Machines))
			}
		}
	}
	for _, t := range s.teams {
		for _, k := range []string{"cpus", "cpus_max", "gpus", "gpus_max"} {
			if n := number(t[k]); n > 0 {
				t[k] = n * d.Arrivals
			}
		}
	}
	for _, j := range s.jobs {
		if a, ok := j["arrivals"].(map[string]any); ok {
			a["rate"] = number(a["rate"]) * d.Arrivals
		}
		j["initial"] = int64(math.Round(number(j["initial"]) * d.Arrivals))
	}
	for i := range d.Faults {
		if f := &d.Faults[i]; f.Team {
			s.addTeam(f.Class)
		}
	}
}

// addTeam adds a team with jobs like a class's, a tenth of them, so that a burst of
// that class is a flood of one team. Nobody else has jobs of it, and it of no other.
func (s *Site) addTeam(class string) {
	if s.class(class+"-"+team) != nil {
		return
	}
	var names []any
	for _, t := range s.teams {
		names = append(names, t["name"])
	}
	for _, j := range s.jobs {
		if j["teams"] == nil {
			j["teams"] = names
		}
	}
	if !slices.ContainsFunc(s.teams, func(t map[string]any) bool { return t["name"] == team }) {
		// Without a limit, which would end the flood before the fleet's room does.
		s.teams = append(s.teams, map[string]any{"name": team, "weight": 1.0})
	}
	j := copied(s.pick(class))
	a := copied(j["arrivals"].(map[string]any))
	a["rate"] = number(a["rate"]) / 10
	j["name"], j["teams"], j["arrivals"], j["initial"] = class+"-"+team, []any{team}, a, int64(1)
	s.jobs = append(s.jobs, j)
	s.all["teams"], s.all["jobs"] = s.teams, s.jobs
}

func copied(m map[string]any) map[string]any {
	c := make(map[string]any, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

func (s *Site) class(name string) map[string]any {
	for _, j := range s.jobs {
		if j["name"] == name {
			return j
		}
	}
	return nil
}

// urgencies as the site files call them, the lowest first.
var urgencies = []string{"low", "normal", "standard", "high", "production"}

// pick finds the class of highest urgency, or that whose tasks are largest.
func (s *Site) pick(class string) map[string]any {
	return slices.MaxFunc(s.jobs, func(a, b map[string]any) int {
		cpus := cmp.Compare(number(a["cpus"]), number(b["cpus"]))
		if class == "large" {
			return cpus
		}
		return cmp.Or(cmp.Compare(slices.Index(urgencies, text(a["priority"])), slices.Index(urgencies, text(b["priority"]))), cpus)
	})
}

// zone is the one with most machines.
func (s *Site) zone() string {
	count := map[string]float64{}
	for _, c := range s.capacity {
		count[text(c["zone"])] += number(c["count"]) + number(c["spot"])
	}
	best := ""
	for zone, n := range count {
		if best == "" || n > count[best] || n == count[best] && zone < best {
			best = zone
		}
	}
	return best
}

// File is the site file.
func (s *Site) File() ([]byte, error) { return encode(s.all) }

// DayFile is a day in the form of the site files, for this deployment.
func (s *Site) DayFile(d *Day) ([]byte, error) {
	var faults []map[string]any
	for i := range d.Faults {
		faults = append(faults, s.fault(&d.Faults[i]))
	}
	day := map[string]any{"name": d.Name, "slot": "scale", "light": false, "seed": int64(d.Seed), "faults": faults}
	if d.DurationS > 0 {
		day["duration_s"] = d.DurationS
	}
	var jobs []map[string]any
	for _, j := range d.Jobs {
		out := map[string]any{"name": s.pick(j.Class)["name"]}
		if j.Cancelled > 0 {
			out["cancelled"] = j.Cancelled
		}
		if j.RunS > 0 {
			out["run_s"] = map[string]any{"median": j.RunS, "p95": j.RunS * runP95, "max": j.RunS * runMax}
		}
		jobs = append(jobs, out)
	}
	if len(jobs) > 0 {
		day["jobs"] = jobs
	}
	return encode(map[string]any{"day": []map[string]any{day}})
}

// Of tasks that run for as long as a day says, how much longer than the median the
// slowest run.
const (
	runP95 = 1.25
	runMax = 1.4
)

func (s *Site) fault(f *Fault) map[string]any {
	out := map[string]any{"at_s": f.AtS, "kind": f.Kind}
	if f.ForS > 0 {
		out["for_s"] = f.ForS
	}
	controllers := int64(f.Controllers)
	if controllers == 0 || f.Controllers > s.Controllers() {
		controllers = int64(s.Controllers())
	}
	machines := int64(math.Ceil(f.Machines * float64(s.Machines())))
	switch f.Kind {
	case "job_burst":
		out["class"], out["factor"] = s.pick(f.Class)["name"], f.Factor
		if f.Team {
			out["class"] = f.Class + "-" + team
		}
	case "machine_die", "machine_hang", "machine_sick":
		out["count"] = machines
	case "node_crash", "node_freeze":
		out["count"], out["busiest"] = controllers, true
	case "node_cut":
		out["count"], out["busiest"], out["mode"] = controllers, true, f.Mode
		switch f.From {
		case "state":
			out["from_state"] = true
		case "workers":
			out["from_workers"] = true
		case "all-but-workers":
			out["from_state"], out["from_peers"] = true, true
		}
	case "late_writes":
		out["share"] = f.Share
		if f.AtOnce {
			out["at_once"] = true
		}
	case "late_reports":
		out["share"] = f.Share
		if f.ForNext {
			out["for_next"] = true
		}
	case "machine_deaf", "machine_mute", "cancel_at_end", "late_commands":
		out["share"] = f.Share
	case "cancel_now":
		out["count"] = int64(f.Jobs)
		if f.HangS > 0 {
			out["hang_s"] = f.HangS
		}
	case "quick_boots":
		out["kind"], out["fail"], out["factor"] = "boot_trouble", 0.0, 0.05
	case "node_roll":
		out["every_s"] = f.EveryS
	case "spot_taken":
		out["share"], out["notice_s"], out["over_s"] = f.Share, f.NoticeS, f.ForS
		delete(out, "for_s")
	case "zone_cut":
		out["zone"], out["mode"] = s.zone(), f.Mode
	case "spot_rate":
		out["per_hour"] = f.Factor
	case "boot_trouble":
		out["fail"], out["factor"] = 0.2, f.Factor
	case "state_slow":
		out["factor"] = f.Factor
	}
	return out
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := toml.NewEncoder(&buf)
	enc.Indent = ""
	err := enc.Encode(v)
	return buf.Bytes(), err
}

func number(v any) float64 {
	switch n := v.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

func text(v any) string {
	s, _ := v.(string)
	return s
}
