package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"micaspindle/internal/regress/scenario"
)

// scenarioFlags select the scenarios to play and configure the plays. A scenario is a simulated day
// of the benchmark on one site.
type scenarioFlags struct {
	Kit      string        `required:"" type:"path" help:"Directory of the benchmark kit."`
	Bench    string        `default:"more/hunt/bin/fleetbench" help:"Benchmark program, relative to the kit."`
	Why      string        `help:"Heads the printed table; the benchmark's journal does not keep it for single scenarios."`
	Scenario []string      `aliases:"day" help:"Only these scenarios; default: all."`
	File     []string      `type:"path" help:"Play scenarios from these YAML files instead; internal/regress/scenario/meetings shows the format."`
	Seeds    int           `default:"1" help:"Number of random seeds per scenario."`
	Jobs     int           `help:"Number of scenarios played in parallel; default: one per CPU core."`
	Limit    time.Duration `default:"20m" help:"Time limit for everything."`
	Keep     string        `type:"path" help:"Directory to keep site files, scenarios, reports and logs in; default: a temporary one, removed at the end."`
	Sites    []string      `arg:"" help:"Site files, relative to the kit."`
}

// scenariosCmd plays the project's load and failure scenarios.
type scenariosCmd struct {
	scenarioFlags `embed:""`
}

// Help shows examples.
func (scenariosCmd) Help() string {
	return `Plays overload and failure scenarios on site files derived from the kit's. It fails if less
than half of the jobs of any class or team are served.

Examples:
  micaspindle-regress scenarios --kit ../given/kit more/fleet/one.toml more/fleet/two.toml
  micaspindle-regress scenarios --kit ../given/kit --scenario flood-urgent --seeds 3 --keep /tmp/scenarios -o json more/fleet/one.toml`
}

// Run plays and evaluates the scenarios.
func (s *scenariosCmd) Run(ctx context.Context, c *cli) error {
	scenarios, err := s.selectScenarios(scenario.OverloadScenarios())
	if err != nil {
		return err
	}
	return s.run(ctx, c, scenarios)
}

// selectScenarios returns the scenarios from the files of --file or, without --file, the given
// scenarios. If --scenario is set, it returns only the scenarios with these names. err is the error
// of reading the given scenarios; if it is not nil, selectScenarios returns it.
func (f *scenarioFlags) selectScenarios(scenarios []scenario.Scenario, err error) ([]scenario.Scenario, error) {
	if err == nil && len(f.File) > 0 {
		if scenarios, err = readScenarios(f.File); err != nil {
			return nil, usageError{err}
		}
	}
	if err != nil || len(f.Scenario) == 0 {
		return scenarios, err
	}
	var names []string
	for _, d := range scenarios {
		names = append(names, d.Name)
	}
	for _, name := range f.Scenario {
		if !slices.Contains(names, name) {
			return nil, usageError{fmt.Errorf("--scenario: no scenario %q; the scenarios are %s", name, strings.Join(names, ", "))}
		}
	}
	return slices.DeleteFunc(scenarios, func(d scenario.Scenario) bool { return !slices.Contains(f.Scenario, d.Name) }), nil
}

// readScenarios reads scenarios from files.
func readScenarios(files []string) ([]scenario.Scenario, error) {
	var scenarios []scenario.Scenario
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("--file: %w", err)
		}
		scenario, err := scenario.Parse(data)
		if err != nil {
			return nil, fmt.Errorf("--file: %s: %w", file, err)
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

// run plays the scenarios and reports their results.
func (f *scenarioFlags) run(ctx context.Context, c *cli, scenarios []scenario.Scenario) error {
	if f.Seeds < 1 || f.Jobs < 0 || f.Limit <= 0 {
		return usageError{errors.New("--seeds must be at least 1, --jobs not negative and --limit positive")}
	}
	kit, err := openKit(f.Kit, f.Bench, f.Sites, c.Journal)
	if err != nil {
		return err
	}
	directory, remove, err := f.workDirectory()
	if err != nil {
		return err
	}
	defer remove()
	plays, err := preparePlays(directory, kit.sites, scenarios, f.Seeds)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeoutCause(ctx, f.Limit, fmt.Errorf("over the limit of %v", f.Limit))
	defer cancel()
	// The controller is built once, so that parallel plays don't overwrite each other's builds.
	if err := runBench(ctx, kit.program, []string{"build"}); err != nil {
		return fmt.Errorf("build: %w", err)
	}
	playAll(ctx, kit.program, plays, f.Jobs)
	if f.Why != "" && c.Output != outputJSON {
		fmt.Println(f.Why)
	}
	return reportResults(c.Output, plays)
}

// workDirectory returns the directory for the files of the plays, and a function that removes it if
// it is temporary.
func (f *scenarioFlags) workDirectory() (path string, remove func(), err error) {
	if f.Keep != "" {
		return f.Keep, func() {}, nil
	}
	path, err = os.MkdirTemp("", "micaspindle-regress-")
	return path, func() { _ = os.RemoveAll(path) }, err
}

// reportResults prints the results. It returns an error if a play did not complete or a scenario
// failed.
func reportResults(output string, plays []*scenarioPlay) error {
	var results []scenario.Result
	var incomplete error
	failed := 0
	for _, p := range plays {
		if p.err != nil {
			incomplete = errors.Join(incomplete, fmt.Errorf("%s %s: %w", p.site.Name(), p.scenario.Name, p.err))
			continue
		}
		results = append(results, p.result)
		if len(p.result.Failed) > 0 {
			failed++
		}
	}
	if err := printResults(output, results); err != nil {
		incomplete = errors.Join(incomplete, err)
	}
	switch {
	case incomplete != nil:
		return incomplete
	case failed > 0:
		return fmt.Errorf("%w: %d of %d scenarios failed", errMayNotLand, failed, len(results))
	}
	return nil
}

// printResults prints a table with a row for each result, or JSON.
func printResults(output string, results []scenario.Result) error {
	if output == outputJSON {
		return printJSON(results)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if err := scenario.Table(w, results); err != nil {
		return err
	}
	return w.Flush()
}
