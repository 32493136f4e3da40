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

// kit is a folder with one site and a scripted bench, which writes entries with
// the given score and day into the journal beside it.
func kit(t *testing.T, script string) (*runCmd, *cli) {
	t.Helper()
	dir := t.TempDir()
	journal := filepath.Join(dir, "journal")
	if err := os.Mkdir(journal, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"bench": "#!/bin/sh\nJ=" + journal + "\n" + script, "a.toml": "", "journal/0.json": past} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	return &runCmd{Kit: dir, Bench: "bench", Why: "A reason", Days: 1, Again: 1, Limit: time.Minute, Sites: []string{"a.toml"}}, &cli{Journal: journal, Output: "json"}
}

const past = `{"id":"0","at":["2026-01-01T00:00:00Z"],"cmd":"score","mode":"quick","site":"a","ok":true,"score":0.7,"days":[]}`

func entry(verb, mode string, score float64, days string) string {
	return fmt.Sprintf(`n=$(ls $J | wc -l); echo '{"id":"'$n'","at":["2026-01-02T00:00:00Z"],"cmd":"%s","mode":"%s","site":"a","ok":true,"score":%g,"days":[%s]}' >$J/$n.json;`,
		verb, mode, score, days)
}

func TestExitSaysWhetherTheChangeMayLand(t *testing.T) {
	usage := new(usageError)
	for name, c := range map[string]struct {
		script string
		change func(*runCmd)
		is     func(error) bool
	}{
		"as before":              {entry("score", "quick", 0.7, ""), nil, func(err error) bool { return err == nil }},
		"a fall":                 {entry("score", "quick", 0.6, ""), nil, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"a single run beside it": {entry("score", "quick", 0.7, "") + entry("run", "", 0.1, `{"name":"x","score":0.1,"rules":{"quota":1}}`), nil, func(err error) bool { return err == nil }},
		"a fall by chance": {`n=$(ls $J | wc -l); if [ $n = 1 ]; then s=0.62; else s=0.74; fi
echo '{"id":"'$n'","at":["2026-01-02T00:00:00Z"],"cmd":"score","mode":"quick","site":"a","ok":true,"score":'$s',"days":[]}' >$J/$n.json`,
			nil, func(err error) bool { return err == nil }},
		"the bench fails":    {entry("score", "quick", 0.7, "") + "exit 1", nil, func(err error) bool { return err != nil && !errors.Is(err, errMayNotLand) }},
		"nothing is written": {"exit 0", nil, func(err error) bool { return err != nil && strings.Contains(err.Error(), "0 new entries of 1") }},
		"a hunt finds something": {`if [ $1 = hunt ]; then ` + entry("hunt", "", 0, `{"name":"h","score":0,"rules":{"quota":1}}`) + " else " + entry("score", "", 0.7, "") + " fi",
			func(r *runCmd) { r.Full = true }, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"no kit":        {"", func(r *runCmd) { r.Kit += "/nowhere" }, func(err error) bool { return errors.As(err, usage) && strings.Contains(err.Error(), "KIT=") }},
		"no bench":      {"", func(r *runCmd) { r.Bench = "nothing" }, func(err error) bool { return errors.As(err, usage) }},
		"no site":       {"", func(r *runCmd) { r.Sites = []string{"b.toml"} }, func(err error) bool { return errors.As(err, usage) }},
		"a long why":    {"", func(r *runCmd) { r.Why = strings.Repeat("x", whyLimit) }, func(err error) bool { return errors.As(err, usage) }},
		"over its time": {"exec sleep 60", func(r *runCmd) { r.Limit = 50 * time.Millisecond }, func(err error) bool { return err != nil && strings.Contains(err.Error(), "over the limit") }},
	} {
		t.Run(name, func(t *testing.T) {
			r, c2 := kit(t, c.script)
			if c.change != nil {
				c.change(r)
			}
			if err := r.Run(context.Background(), c2); !c.is(err) {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// dayReport is the bench's report of a day with so many of ten jobs started.
func dayReport(started int) string {
	return fmt.Sprintf(`{"rules_broken":{"total":0},"classes":{"j":{"jobs":10,"started":%d,"done":10,"told_done":10}},"node_stats":[{"node":"n"}]}`, started)
}

func TestScenariosRefuseWhatIsNotServedByHalf(t *testing.T) {
	const site = "name = 'a'\n[nodes]\ncount = 1\n[[capacity]]\nzone = 'z'\ncount = 5\n[[teams]]\nname = 't'\n[[jobs]]\nname = 'j'\narrivals = {rate = 1.0}\n"
	usage := new(usageError)
	// The bench is told: run SITE DAY --seed N --log info --report FILE.
	for name, c := range map[string]struct {
		script string
		change func(*scenariosCmd)
		is     func(error) bool
	}{
		"all served":          {`echo '` + dayReport(5) + `' >$9`, nil, func(err error) bool { return err == nil }},
		"a class under half":  {`echo '` + dayReport(4) + `' >$9`, nil, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"the bench fails":     {`echo no such fault; exit 1`, nil, func(err error) bool { return err != nil && strings.Contains(err.Error(), "no such fault") }},
		"no report":           {`exit 0`, nil, func(err error) bool { return err != nil && !errors.Is(err, errMayNotLand) }},
		"a day there is not":  {"", func(n *scenariosCmd) { n.Scenario = []string{"x"} }, func(err error) bool { return errors.As(err, usage) }},
		"a file there is not": {"", func(n *scenariosCmd) { n.Scenario, n.File = nil, []string{"/nowhere.yaml"} }, func(err error) bool { return errors.As(err, usage) }},
		"a day of a file":     {`echo '` + dayReport(5) + `' >$9`, ownScenario("node_roll, every_s: 9"), func(err error) bool { return err == nil }},
		"an unknown trouble": {"", ownScenario("late_comands"), func(err error) bool {
			return errors.As(err, usage) && strings.Contains(err.Error(), "late_commands") && strings.Contains(err.Error(), "own.yaml")
		}},
		"no seeds":            {"", func(n *scenariosCmd) { n.Seeds = 0 }, func(err error) bool { return errors.As(err, usage) }},
		"a site that is none": {"", func(n *scenariosCmd) { n.Sites = []string{"bench"} }, func(err error) bool { return errors.As(err, usage) }},
	} {
		t.Run(name, func(t *testing.T) {
			r, cl := kit(t, "if [ $1 = build ]; then exit 0; fi\n"+c.script)
			if err := os.WriteFile(filepath.Join(r.Kit, "a.toml"), []byte(site), 0o600); err != nil {
				t.Fatal(err)
			}
			n := &scenariosCmd{scenarioFlags{Kit: r.Kit, Bench: r.Bench, Seeds: 1, Limit: time.Minute, Sites: r.Sites, Scenario: []string{"all-at-once", "flood-large"}}}
			if c.change != nil {
				c.change(n)
			}
			if err := n.Run(context.Background(), cl); !c.is(err) {
				t.Errorf("%v", err)
			}
		})
	}
}

// ownScenario plays a scenario of a file, with one fault of a kind.
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

func TestFaultSearchRefusesBrokenRules(t *testing.T) {
	const site = "name = 'a'\n[nodes]\ncount = 1\n[[capacity]]\nzone = 'z'\ncount = 5\n[[teams]]\nname = 't'\n[[jobs]]\nname = 'j'\npriority = 'high'\ncpus = 4.0\narrivals = {rate = 1.0}\n"
	usage := new(usageError)
	broken := `{"rules_broken":{"total":1,"by_kind":{"quota":1}},"classes":{"j":{"jobs":10,"started":10,"done":10,"told_done":10}},"node_stats":[{"node":"n"}]}`
	large := strings.Replace(dayReport(9), `"node_stats"`, `"largest":{"j":{"jobs":4,"started":1}},"node_stats"`, 1)
	hunt := func(broken string) string { return entry("hunt", "", 0, `{"name":"h","score":0,"rules":{`+broken+`}}`) }
	for name, c := range map[string]struct {
		report, hunted string
		change         func(*faultSearchCmd)
		is             func(error) bool
	}{
		"nothing found":        {dayReport(9), hunt(""), nil, func(err error) bool { return err == nil }},
		"a rule in own days":   {broken, hunt(""), nil, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"largest under half":   {large, hunt(""), nil, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"a rule in the hunt":   {dayReport(9), hunt(`"quota":1`), nil, func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"the hunt fails":       {dayReport(9), "exit 1", nil, func(err error) bool { return err != nil && !errors.Is(err, errMayNotLand) }},
		"no hunt":              {dayReport(9), "exit 1", func(h *faultSearchCmd) { h.SearchDays = 0 }, func(err error) bool { return err == nil }},
		"a size out of bounds": {"", "", func(h *faultSearchCmd) { h.Sizes = []float64{9} }, func(err error) bool { return errors.As(err, usage) }},
		"a day there is not":   {"", "", func(h *faultSearchCmd) { h.Scenario = []string{"x"} }, func(err error) bool { return errors.As(err, usage) }},
		"no kit":               {"", "", func(h *faultSearchCmd) { h.Kit = "nowhere" }, func(err error) bool { return errors.As(err, usage) }},
	} {
		t.Run(name, func(t *testing.T) {
			r, cl := kit(t, "if [ $1 = build ]; then exit 0; elif [ $1 = hunt ]; then "+c.hunted+"\n:; else echo '"+c.report+"' >$9; fi\n")
			if err := os.WriteFile(filepath.Join(r.Kit, "a.toml"), []byte(site), 0o600); err != nil {
				t.Fatal(err)
			}
			h := &faultSearchCmd{scenarioFlags: scenarioFlags{Kit: r.Kit, Bench: r.Bench, Why: "A reason", Seeds: 1, Limit: time.Minute, Sites: r.Sites, Scenario: []string{"gap"}}, Sizes: []float64{1, 1.5}, SearchDays: 2}
			if c.change != nil {
				c.change(h)
			}
			if err := h.Run(context.Background(), cl); !c.is(err) {
				t.Errorf("%v", err)
			}
		})
	}
}

// A module of two tests, one of which fails: it passes only if the list names just that one.
func TestOnlyKnownRedsArePassedOver(t *testing.T) {
	usage := new(usageError)
	for name, c := range map[string]struct {
		list string
		is   func(error) bool
	}{
		"no list":            {"", func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"the one that is":    {"p TestRed: it is red (issue 1)", func(err error) bool { return err == nil }},
		"another one":        {"p TestGreen: it is green (issue 1)", func(err error) bool { return errors.Is(err, errMayNotLand) }},
		"a name's beginning": {"p TestRe: half a name (issue 1)", func(err error) bool { return errors.As(err, usage) && strings.Contains(err.Error(), "no test TestRe") }},
		"another package's":  {"q TestRed: of another (issue 1)", func(err error) bool { return errors.As(err, usage) }},
		"no package":         {"r TestRed: of none (issue 1)", func(err error) bool { return errors.As(err, usage) }},
		"junk":               {"TestRed", func(err error) bool { return errors.As(err, usage) }},
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
			if err := cmd.Run(context.Background()); !c.is(err) {
				t.Errorf("%v", err)
			}
		})
	}
}

// Scripts may still use the former names of commands and flags.
func TestFormerNamesSelectTheSameCommands(t *testing.T) {
	for _, args := range [][]string{
		{"scenarios", "--kit", "k", "--scenario", "gap", "a.toml"},
		{"night", "--kit", "k", "--day", "gap", "a.toml"},
	} {
		var c cli
		if _, err := kong.Must(&c).Parse(args); err != nil {
			t.Fatalf("%v: %v", args, err)
		}
		cmd := c.Scenarios
		if args[0] == "night" {
			cmd = c.Night
		}
		if len(cmd.Scenario) != 1 || cmd.Scenario[0] != "gap" || len(cmd.Sites) != 1 {
			t.Errorf("%v: %+v", args, cmd)
		}
	}
	for _, args := range [][]string{
		{"fault-search", "--kit", "k", "--search-days", "3", "a.toml"},
		{"hunt", "--kit", "k", "--hunt", "3", "a.toml"},
	} {
		var c cli
		if _, err := kong.Must(&c).Parse(args); err != nil {
			t.Fatalf("%v: %v", args, err)
		}
		cmd := c.FaultSearch
		if args[0] == "hunt" {
			cmd = c.Hunt
		}
		if cmd.SearchDays != 3 || len(cmd.Sites) != 1 {
			t.Errorf("%v: %+v", args, cmd)
		}
	}
}
