package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
)

// newTestKit creates a kit with one site and a shell script in place of the benchmark program, and a
// journal with one entry. The script finds the journal's path in $J.
func newTestKit(t *testing.T, script string) (*runCmd, *cli) {
	t.Helper()
	dir := t.TempDir()
	journal := filepath.Join(dir, "journal")
	if err := os.Mkdir(journal, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"bench": "#!/bin/sh\nJ=" + journal + "\n" + script, "a.toml": "", "journal/0.json": pastEntry} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	return &runCmd{Kit: dir, Bench: "bench", Why: "A reason", Days: 1, Again: 1, Limit: time.Minute, Sites: []string{"a.toml"}}, &cli{Journal: journal, Output: "json"}
}

const pastEntry = `{"id":"0","at":["2026-01-01T00:00:00Z"],"cmd":"score","mode":"quick","site":"a","ok":true,"score":0.7,"days":[]}`

// entry returns a shell command that adds an entry to the journal.
func entry(verb, mode string, score float64, days string) string {
	return fmt.Sprintf(`n=$(ls $J | wc -l); echo '{"id":"'$n'","at":["2026-01-02T00:00:00Z"],"cmd":"%s","mode":"%s","site":"a","ok":true,"score":%g,"days":[%s]}' >$J/$n.json;`,
		verb, mode, score, days)
}

func TestRunErrorSaysWhetherTheChangeMayLand(t *testing.T) {
	usage := new(usageError)
	for name, c := range map[string]struct {
		script string
		change func(*runCmd)
		valid  func(error) bool
	}{
		"same score":                 {entry("score", "quick", 0.7, ""), nil, func(err error) bool { return err == nil }},
		"score drops":                {entry("score", "quick", 0.6, ""), nil, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"single run in the meantime": {entry("score", "quick", 0.7, "") + entry("run", "", 0.1, `{"name":"x","score":0.1,"rules":{"quota":1}}`), nil, func(err error) bool { return err == nil }},
		"score drops by chance": {`n=$(ls $J | wc -l); if [ $n = 1 ]; then s=0.62; else s=0.74; fi
echo '{"id":"'$n'","at":["2026-01-02T00:00:00Z"],"cmd":"score","mode":"quick","site":"a","ok":true,"score":'$s',"days":[]}' >$J/$n.json`,
			nil, func(err error) bool { return err == nil }},
		"benchmark fails":  {entry("score", "quick", 0.7, "") + "exit 1", nil, func(err error) bool { return err != nil && !errors.Is(err, errMayNotLand) }},
		"no entry written": {"exit 0", nil, func(err error) bool { return err != nil && strings.Contains(err.Error(), "0 new entries of 1") }},
		"fault search finds a violation": {`if [ $1 = hunt ]; then ` + entry("hunt", "", 0, `{"name":"h","score":0,"rules":{"quota":1}}`) + " else " + entry("score", "", 0.7, "") + " fi",
			func(r *runCmd) { r.Full = true }, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"no kit":              {"", func(r *runCmd) { r.Kit += "/nowhere" }, func(err error) bool { return errors.As(err, usage) && strings.Contains(err.Error(), "KIT=") }},
		"no program":          {"", func(r *runCmd) { r.Bench = "nothing" }, func(err error) bool { return errors.As(err, usage) }},
		"no site file":        {"", func(r *runCmd) { r.Sites = []string{"b.toml"} }, func(err error) bool { return errors.As(err, usage) }},
		"reason too long":     {"", func(r *runCmd) { r.Why = strings.Repeat("x", reasonLengthLimit) }, func(err error) bool { return errors.As(err, usage) }},
		"time limit exceeded": {"exec sleep 60", func(r *runCmd) { r.Limit = 50 * time.Millisecond }, func(err error) bool { return err != nil && strings.Contains(err.Error(), "over the limit") }},
	} {
		t.Run(name, func(t *testing.T) {
			r, flags := newTestKit(t, c.script)
			if c.change != nil {
				c.change(r)
			}
			if err := r.Run(context.Background(), flags); !c.valid(err) {
				t.Errorf("run returned error %v, which this case does not expect", err)
			}
		})
	}
}

// dayReport returns the benchmark's report on a day of ten jobs, with the given number started.
func dayReport(started int) string {
	return fmt.Sprintf(`{"rules_broken":{"total":0},"classes":{"j":{"jobs":10,"started":%d,"done":10,"told_done":10}},"node_stats":[{"node":"n"}]}`, started)
}

func TestScenariosFailWhenLessThanHalfIsServed(t *testing.T) {
	const site = "name = 'a'\n[nodes]\ncount = 1\n[[capacity]]\nzone = 'z'\ncount = 5\n[[teams]]\nname = 't'\n[[jobs]]\nname = 'j'\narrivals = {rate = 1.0}\n"
	usage := new(usageError)
	// The benchmark's arguments are: run SITE DAY --seed N --log info --report FILE.
	for name, c := range map[string]struct {
		script string
		change func(*scenariosCmd)
		valid  func(error) bool
	}{
		"half served":           {`echo '` + dayReport(5) + `' >$9`, nil, func(err error) bool { return err == nil }},
		"class under half":      {`echo '` + dayReport(4) + `' >$9`, nil, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"benchmark fails":       {`echo no such fault; exit 1`, nil, func(err error) bool { return err != nil && strings.Contains(err.Error(), "no such fault") }},
		"no report":             {`exit 0`, nil, func(err error) bool { return err != nil && !errors.Is(err, errMayNotLand) }},
		"unknown scenario":      {"", func(n *scenariosCmd) { n.Scenario = []string{"x"} }, func(err error) bool { return errors.As(err, usage) }},
		"missing scenario file": {"", func(n *scenariosCmd) { n.Scenario, n.File = nil, []string{"/nowhere.yaml"} }, func(err error) bool { return errors.As(err, usage) }},
		"scenario file":         {`echo '` + dayReport(5) + `' >$9`, ownScenario("node_roll, every_s: 9"), func(err error) bool { return err == nil }},
		"unknown kind of fault": {"", ownScenario("late_comands"), func(err error) bool {
			return errors.As(err, usage) && strings.Contains(err.Error(), "late_commands") && strings.Contains(err.Error(), "own.yaml")
		}},
		"no seeds":          {"", func(n *scenariosCmd) { n.Seeds = 0 }, func(err error) bool { return errors.As(err, usage) }},
		"invalid site file": {"", func(n *scenariosCmd) { n.Sites = []string{"bench"} }, func(err error) bool { return errors.As(err, usage) }},
	} {
		t.Run(name, func(t *testing.T) {
			r, flags := newTestKit(t, "if [ $1 = build ]; then exit 0; fi\n"+c.script)
			if err := os.WriteFile(filepath.Join(r.Kit, "a.toml"), []byte(site), 0o600); err != nil {
				t.Fatal(err)
			}
			n := &scenariosCmd{scenarioFlags{Kit: r.Kit, Bench: r.Bench, Seeds: 1, Limit: time.Minute, Sites: r.Sites, Scenario: []string{"all-at-once", "flood-large"}}}
			if c.change != nil {
				c.change(n)
			}
			if err := n.Run(context.Background(), flags); !c.valid(err) {
				t.Errorf("scenarios returned error %v, which this case does not expect", err)
			}
		})
	}
}

// ownScenario selects a scenario from a file, with one fault of the given kind.
func ownScenario(kind string) func(n *scenariosCmd) {
	return func(n *scenariosCmd) {
		file := filepath.Join(n.Kit, "own.yaml")
		text := "name: own\nwhy: a day\nmachines: 1\narrivals: 1\nrestart_s: 1\nfaults:\n  - {at_s: 5, kind: " + kind + ", why: so}\n"
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			panic(err)
		}
		n.Scenario, n.File = nil, []string{file}
	}
}

func TestFaultSearchFailsOnRuleViolations(t *testing.T) {
	const site = "name = 'a'\n[nodes]\ncount = 1\n[[capacity]]\nzone = 'z'\ncount = 5\n[[teams]]\nname = 't'\n[[jobs]]\nname = 'j'\npriority = 'high'\ncpus = 4.0\narrivals = {rate = 1.0}\n"
	usage := new(usageError)
	violation := `{"rules_broken":{"total":1,"by_kind":{"quota":1}},"classes":{"j":{"jobs":10,"started":10,"done":10,"told_done":10}},"node_stats":[{"node":"n"}]}`
	largeUnderHalf := strings.Replace(dayReport(9), `"node_stats"`, `"largest":{"j":{"jobs":4,"started":1}},"node_stats"`, 1)
	searchScript := func(rules string) string { return entry("hunt", "", 0, `{"name":"h","score":0,"rules":{`+rules+`}}`) }
	for name, c := range map[string]struct {
		report, search string
		change         func(*faultSearchCmd)
		valid          func(error) bool
	}{
		"no violation":            {dayReport(9), searchScript(""), nil, func(err error) bool { return err == nil }},
		"violation in a scenario": {violation, searchScript(""), nil, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"largest jobs under half": {largeUnderHalf, searchScript(""), nil, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"violation in the search": {dayReport(9), searchScript(`"quota":1`), nil, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"search fails":            {dayReport(9), "exit 1", nil, func(err error) bool { return err != nil && !errors.Is(err, errMayNotLand) }},
		"no search":               {dayReport(9), "exit 1", func(h *faultSearchCmd) { h.SearchDays = 0 }, func(err error) bool { return err == nil }},
		"size out of bounds":      {"", "", func(h *faultSearchCmd) { h.Sizes = []float64{9} }, func(err error) bool { return errors.As(err, usage) }},
		"unknown scenario":        {"", "", func(h *faultSearchCmd) { h.Scenario = []string{"x"} }, func(err error) bool { return errors.As(err, usage) }},
		"no kit":                  {"", "", func(h *faultSearchCmd) { h.Kit = "nowhere" }, func(err error) bool { return errors.As(err, usage) }},
	} {
		t.Run(name, func(t *testing.T) {
			r, flags := newTestKit(t, "if [ $1 = build ]; then exit 0; elif [ $1 = hunt ]; then "+c.search+"\n:; else echo '"+c.report+"' >$9; fi\n")
			if err := os.WriteFile(filepath.Join(r.Kit, "a.toml"), []byte(site), 0o600); err != nil {
				t.Fatal(err)
			}
			h := &faultSearchCmd{scenarioFlags: scenarioFlags{Kit: r.Kit, Bench: r.Bench, Why: "A reason", Seeds: 1, Limit: time.Minute, Sites: r.Sites, Scenario: []string{"gap"}}, Sizes: []float64{1, 1.5}, SearchDays: 2}
			if c.change != nil {
				c.change(h)
			}
			if err := h.Run(context.Background(), flags); !c.valid(err) {
				t.Errorf("fault-search returned error %v, which this case does not expect", err)
			}
		})
	}
}

// The tests pass only if the list of known failures names exactly the one test that fails.
func TestOnlyKnownFailuresAreSkipped(t *testing.T) {
	usage := new(usageError)
	for name, c := range map[string]struct {
		list  string
		valid func(error) bool
	}{
		"no list":                 {"", func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"failing test":            {"p TestRed: it fails (issue 1)", func(err error) bool { return err == nil }},
		"passing test":            {"p TestGreen: it passes (issue 1)", func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"prefix of a name":        {"p TestRe: a prefix (issue 1)", func(err error) bool { return errors.As(err, usage) && strings.Contains(err.Error(), "no test TestRe") }},
		"test of another package": {"q TestRed: in package p (issue 1)", func(err error) bool { return errors.As(err, usage) }},
		"missing package":         {"r TestRed: no such package (issue 1)", func(err error) bool { return errors.As(err, usage) }},
		"invalid line":            {"TestRed", func(err error) bool { return errors.As(err, usage) }},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			for file, text := range map[string]string{"go.mod": "module m\ngo 1.24\n",
				"p/p_test.go":   "package p\nimport \"testing\"\nfunc TestRed(t *testing.T) { t.Fail() }\nfunc TestGreen(*testing.T) {}\n",
				"q/q_test.go":   "package q\nimport \"testing\"\nfunc TestRedder(*testing.T) {}\n",
				"KNOWN-RED.txt": c.list} {
				path := filepath.Join(dir, file)
				if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			t.Chdir(dir)
			cmd := &testsCmd{KnownRed: "KNOWN-RED.txt", Timeout: time.Minute}
			if err := cmd.Run(context.Background()); !c.valid(err) {
				t.Errorf("tests returned error %v, which this case does not expect", err)
			}
		})
	}
}

// The former names of commands and flags must keep working for scripts.
func TestFormerNamesSelectTheSameCommands(t *testing.T) {
	for _, args := range [][]string{
		{"scenarios", "--kit", "k", "--scenario", "gap", "a.toml"},
		{"night", "--kit", "k", "--day", "gap", "a.toml"},
	} {
		var c cli
		if _, err := kong.Must(&c).Parse(args); err != nil {
			t.Fatalf("parse arguments %v: got error %v, want none", args, err)
		}
		cmd := c.Scenarios
		if args[0] == "night" {
			cmd = c.Night
		}
		if len(cmd.Scenario) != 1 || cmd.Scenario[0] != "gap" || len(cmd.Sites) != 1 {
			t.Errorf("arguments %v are parsed as %+v, want scenario gap and one site", args, cmd)
		}
	}
	for _, args := range [][]string{
		{"fault-search", "--kit", "k", "--search-days", "3", "a.toml"},
		{"hunt", "--kit", "k", "--hunt", "3", "a.toml"},
	} {
		var c cli
		if _, err := kong.Must(&c).Parse(args); err != nil {
			t.Fatalf("parse arguments %v: got error %v, want none", args, err)
		}
		cmd := c.FaultSearch
		if args[0] == "hunt" {
			cmd = c.Hunt
		}
		if cmd.SearchDays != 3 || len(cmd.Sites) != 1 {
			t.Errorf("arguments %v are parsed as %+v, want 3 search days and one site", args, cmd)
		}
	}
}
