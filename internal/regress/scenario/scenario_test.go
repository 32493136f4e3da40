package scenario

import (
	"fmt"
	"strings"
	"testing"
)

const siteText = `
name = "a"
wire = "wire.json"
extra = "kept"
[nodes]
count = 3
max_connections = 200
restart_delay_s = 9.0
[[capacity]]
type = "t"
zone = "north"
count = 10
spot = 21
[[capacity]]
type = "t"
zone = "south"
count = 5
[[teams]]
name = "one"
cpus = 100.0
cpus_max = 200.0
[[teams]]
name = "two"
[[jobs]]
name = "big"
priority = "normal"
cpus = 32.0
arrivals = { rate = 0.5, swing = 0.3 }
initial = 5
[[jobs]]
name = "small"
priority = "high"
cpus = 4.0
arrivals = { rate = 1.0 }
initial = 8
teams = ["two"]
`

func site(t *testing.T) *Site {
	t.Helper()
	s, err := ParseSite([]byte(siteText))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestScenariosFitAnySite(t *testing.T) {
	overload, err := OverloadScenarios()
	if err != nil || len(overload) < 5 {
		t.Fatalf("%d overload scenarios, want at least 5; error %v", len(overload), err)
	}
	coinciding, err := CoincidingFaultScenarios()
	if err != nil || len(coinciding) < 12 {
		t.Fatalf("%d scenarios of coinciding faults, want at least 12; error %v", len(coinciding), err)
	}
	for _, d := range append(overload, coinciding...) {
		s := site(t)
		s.Apply(&d)
		text, err := s.ScenarioFile(&d)
		if err != nil || strings.Count(string(text), "at_s") != len(d.Faults) {
			t.Errorf("%s: scenario file with error %v, want one with all %d faults:\n%s", d.Name, err, len(d.Faults), text)
		}
		if strings.Contains(string(text), "class") && !strings.Contains(string(text), `"small`) && !strings.Contains(string(text), `"big`) && !strings.Contains(string(text), "night-flood") {
			t.Errorf("%s: scenario file without a class of the site, want small, big or night-flood:\n%s", d.Name, text)
		}
	}
}

// The large-fleet scenarios have five times the machines and three times the arrivals of the
// deployment.
func TestLargeFleetScenarios(t *testing.T) {
	overload, err := OverloadScenarios()
	if err != nil {
		t.Fatal(err)
	}
	coinciding, err := CoincidingFaultScenarios()
	if err != nil {
		t.Fatal(err)
	}
	crashes, cancelled, found := 0, 0, 0
	for _, d := range append(overload, coinciding...) {
		if !strings.HasPrefix(d.Name, "large-fleet-") {
			continue
		}
		found++
		s := site(t)
		s.Apply(&d)
		if d.Machines != 5 || d.Arrivals != 3 || s.Machines() != 5*36 {
			t.Errorf("%s: %v times the machines, %v times the arrivals, %d machines; want 5 times, 3 times and 180", d.Name, d.Machines, d.Arrivals, s.Machines())
		}
		for _, f := range d.Faults {
			switch f.Kind {
			case "node_crash":
				crashes++
			case "cancel_now":
				cancelled += f.Jobs
			}
		}
	}
	if found != 2 || crashes < 6 || cancelled != 40 {
		t.Errorf("the large-fleet scenarios: got %d scenarios, %d crashes and %d cancelled jobs; want 2, at least 6 and 40", found, crashes, cancelled)
	}
}

func TestSiteIsScaled(t *testing.T) {
	s := site(t)
	s.Apply(&Scenario{Machines: 1.5, Arrivals: 2, RestartS: 0.3, Faults: []Fault{{Kind: "job_burst", Class: "urgent", Team: true}}})
	text, err := s.File()
	if err != nil {
		t.Fatal(err)
	}
	again, err := ParseSite(text)
	if err != nil {
		t.Fatal(err)
	}
	if again.Machines() != 15+32+8 || again.all["extra"] != "kept" || again.Controllers() != 3 {
		t.Errorf("site with %d machines and %d controllers, want 55 and 3, with the extra field preserved: %v", again.Machines(), again.Controllers(), again.all)
	}
	if d := again.all["nodes"].(map[string]any)["restart_delay_s"]; number(d) != 0.3 {
		t.Errorf("restart delay %v s, want 0.3", d)
	}
	if one := again.teams[0]; number(one["cpus"]) != 200 || number(one["cpus_max"]) != 400 {
		t.Errorf("team one %v, want limits of 200 and 400 CPUs", one)
	}
	burst, big := again.findClass("urgent-night-flood"), again.findClass("big")
	if burst == nil || number(burst["arrivals"].(map[string]any)["rate"]) != 0.2 || fmt.Sprint(burst["teams"]) != "[night-flood]" {
		t.Errorf("class of the burst: %v, want an arrival rate of 0.2 and only team night-flood", burst)
	}
	if fmt.Sprint(big["teams"]) != "[one two]" || number(big["arrivals"].(map[string]any)["swing"]) != 0.3 || number(big["initial"]) != 10 {
		t.Errorf("class big: %v, want teams one and two, a swing of 0.3 and 10 initial jobs", big)
	}
}

func TestInvalidScenariosAreRejected(t *testing.T) {
	good := "name: a\nwhy: b\nmachines: 1\narrivals: 1\nrestart_s: 1\nfaults:\n  - {at_s: 1, kind: node_roll, every_s: 2, why: c}\n"
	if _, err := Parse([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for change, wantErr := range map[[2]string]string{
		{"why: b\n", ""}:                        "why",
		{"name: a", "name: A b"}:                "name",
		{"machines: 1", "machines: 9"}:          "machines",
		{"machines: 1", "machines: 5.1"}:        "machines",
		{"arrivals: 1", "arrivals: 4.1"}:        "arrivals",
		{"node_roll", "flood"}:                  `no "flood"`,
		{"every_s: 2, ", ""}:                    "needs every_s",
		{"node_roll", "late_writes"}:            "needs for_s",
		{"node_roll", "flod"}:                   "late_commands", // the error lists the valid kinds
		{"node_roll", "late_commands"}:          "needs for_s",
		{"node_roll, every_s: 2", "cancel_now"}: "needs jobs",
		{"node_roll, every_s: 2", "node_cut, from: workers, mode: refuse, for_s: 1"}: "needs mode",
		{"faults:", "jobs: [{class: small}]\nfaults:"}:                               "class must be urgent or large",
		{", why: c", ""}:         "fault 1: why",
		{"at_s: 1", "at_s: 0"}:   "at_s",
		{"at_s: 1", "at_sec: 1"}: "at_sec",
	} {
		if _, err := Parse([]byte(strings.Replace(good, change[0], change[1], 1))); err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("scenario with %q in place of %q: got error %v, want one that contains %q", change[1], change[0], err, wantErr)
		}
	}
}

const reportText = `{"wall_s":9,"rules_broken":{"total":0,"by_kind":{}},"unread":[],
"classes":{"big":{"jobs":12,"started":5,"done":5,"told_done":5,"cancelled":2,"in_deadline":0.1},"small":{"jobs":10,"started":10,"done":9,"told_done":8}},
"teams":{"one":{"jobs":4,"started":2}},"largest":{"big":{"jobs":4,"started":3}},"fleet":{"useful":0.5},"users":{"submit_ms":{"p99":1500},"errors":{"429":2,"503":3,"refused":9}},
"node_stats":[{"node":"n-0","cpu_peak":0.5,"connections_peak":100,"panics":0,"restarts":[{"at_s":50,"why":"fault"}]}]}`

func TestEvaluate(t *testing.T) {
	r, err := site(t).Evaluate("d", []byte(reportText), strings.NewReader(""))
	if err != nil || len(r.Failed) > 0 {
		t.Fatalf("evaluation of the report: got failures %v, error %v; want neither", r.Failed, err)
	}
	if r.Started != (LowestShare{0.5, "big"}) || r.Confirmed.Share != 0.5 || r.Team.Share != 0.5 || r.InTime.Share != 0.1 || r.SocketUsage != 0.5 || r.SubmitP99S != 1.5 || r.Refusals != 5 {
		t.Errorf("result %+v does not have the shares, the socket usage and the latency in the report", r)
	}
	for change, wantFailure := range map[[2]string]string{
		{`"total":0,"by_kind":{}`, `"total":1,"by_kind":{"quota":1}`}: "broken rules",
		{`"started":5`, `"started":4`}:                                "4 of 10 jobs started",
		{`"done":5`, `"done":4`}:                                      "jobs done",
		{`"told_done":5`, `"told_done":4`}:                            "jobs told done",
		{`"started":2`, `"started":1`}:                                "team one",
		{`"started":3`, `"started":1`}:                                "largest jobs began in time",
		{`"why":"fault"`, `"why":"memory"`}:                           "ended by itself",
		{`"panics":0`, `"panics":1`}:                                  "panics",
		{`"unread":[]`, `"unread":["x"]`}:                             "passed over",
		{`"unread":[]`, `"idle":{"neglected":2},"unread":[]`}:         "2 jobs waited",
		{`"unread":[]`, `"idle":{"slips":{"x":1}},"unread":[]`}:       "counted beside the rules",
	} {
		r, err := site(t).Evaluate("d", []byte(strings.Replace(reportText, change[0], change[1], 1)), strings.NewReader(""))
		if err != nil || !strings.Contains(strings.Join(r.Failed, ";"), wantFailure) {
			t.Errorf("report with %s: got failures %v and error %v, want a failure that contains %q", change[1], r.Failed, err, wantFailure)
		}
	}
	for _, text := range []string{"", "{}", `{"classes":{"a":{}}}`} {
		if _, err := site(t).Evaluate("d", []byte(text), strings.NewReader("")); err == nil {
			t.Errorf("invalid report %q was accepted, want an error", text)
		}
	}
}

// The time without a leader is the same for logs in the former form, in the present form, and with a
// change from one to the other.
func TestLeaderlessSeconds(t *testing.T) {
	type form struct{ acquired, ready, lost string }
	former := form{`msg="part claimed" part=`, `msg="part ready" part=`, `msg="part lost" part=`}
	present := form{`msg="partition lease acquired" partition=`, `msg="partition ready" partition=`, `msg="partition lost" partition=`}
	line := func(at float64, node, message string) string {
		return fmt.Sprintf("%9.4f %s time=x level=INFO %s\n", at, node, message)
	}
	for name, forms := range map[string]struct{ before, after form }{
		"the former form":                {former, former},
		"the present form":               {present, present},
		"from the former to the present": {former, present},
		"back from the present":          {present, former},
	} {
		one, two := forms.before, forms.after
		log := line(0.1, "n-0", one.acquired+`1 token=1`) + line(0.2, "n-0", one.ready+`1 live=0 after=1ms`) +
			line(53, "n-1", one.acquired+`1 token=9`) + line(53.5, "n-1", one.ready+`1 live=7 after=1ms`) + // n-0 crashed at 50
			line(60, "n-1", one.lost+`1 reason="the lease ended"`) + line(62, "n-2", two.acquired+`1 token=12`) + line(64, "n-2", two.ready+`1 live=3 after=1ms`) +
			line(70, "n-3", two.acquired+`1 token=20`) + line(71, "n-3", two.ready+`1 live=0 after=1ms`) // n-2 was frozen; nothing ran
		r, err := site(t).Evaluate("d", []byte(reportText), strings.NewReader(log))
		if err != nil || r.LeaderlessS != 3.5+4 {
			t.Errorf("%s: %v leaderless seconds, want 7.5; error %v", name, r.LeaderlessS, err)
		}
	}
	for _, other := range []string{`msg="part ready" partition=1 live=7`, `msg="partition ready" part=1 live=7`, `msg="partition readyish" partition=1 live=7`,
		`msg="partition ready" partition=x live=7`, `msg="partition rebuild failed" partition=1`} {
		if entry, ok, err := parseLeadership(strings.TrimSuffix(line(1, "n-0", other), "\n")); ok || err != nil {
			t.Errorf("log line %s is parsed as %+v, error %v; want no entry", other, entry, err)
		}
	}
	for _, form := range []form{former, present} {
		for message, event := range map[string]leadershipEvent{form.acquired: leaseAcquired, form.ready: partitionReady, form.lost: partitionLost} {
			want := leadershipEntry{at: 1, controller: "n-0", partition: "12", event: event, hasRunningWork: true}
			if entry, ok, err := parseLeadership(strings.TrimSuffix(line(1, "n-0", message+"12 live=3"), "\n")); entry != want || !ok || err != nil {
				t.Errorf("log line %s is parsed as %+v, valid %v, error %v; want %+v", message, entry, ok, err, want)
			}
		}
	}
}

func TestScenarioFileFormat(t *testing.T) {
	d, err := Parse([]byte(`name: a
why: b
machines: 1
arrivals: 1
restart_s: 1
duration_s: 200
jobs:
  - {class: large, cancelled: 0.5, run_s: 100}
faults:
  - {at_s: 1, kind: node_cut, controllers: 1, from: state, mode: refuse, for_s: 14, why: c}
  - {at_s: 2, kind: node_cut, controllers: 1, from: all-but-workers, mode: hold, for_s: 14, why: c}
  - {at_s: 3, kind: late_writes, share: 0.5, for_s: 9, at_once: true, why: c}
  - {at_s: 4, kind: late_reports, share: 0.5, for_s: 9, for_next: true, why: c}
  - {at_s: 5, kind: cancel_now, jobs: 7, hang_s: 3, why: c}
  - {at_s: 6, kind: quick_boots, for_s: 9, why: c}
  - {at_s: 7, kind: machine_deaf, share: 0.2, for_s: 9, why: c}
  - {at_s: 8, kind: late_commands, share: 0.3, for_s: 9, why: c}
`))
	if err != nil {
		t.Fatal(err)
	}
	text, err := site(t).ScenarioFile(&d)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"duration_s = 200.0", "cancelled = 0.5", `name = "big"`, "median = 100.0", "p95 = 125.0", `mode = "refuse"`, "from_peers = true",
		"at_once = true", "for_next = true", "count = 7", "hang_s = 3.0", `kind = "boot_trouble"`, "factor = 0.05", "share = 0.2",
		`kind = "late_commands"`, "share = 0.3"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the scenario file lacks %q:\n%s", want, text)
		}
	}
}
