package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"

	"micaspindle/internal/regress"
	"micaspindle/internal/regress/scenario"
)

// faultSearchCmd plays scenarios of coinciding faults, and then runs the benchmark's search for
// rule violations on random days.
type faultSearchCmd struct {
	scenarioFlags `embed:""`
	Sizes         []float64 `default:"1,1.5" help:"Fleet sizes to play scenarios at, as multiples of the machines in the site file."`
	SearchDays    int       `aliases:"hunt" default:"20" help:"Number of random days that the benchmark's own search plays on each site; 0: none."`
}

// Help shows examples.
func (faultSearchCmd) Help() string {
	return `Plays the scenarios of internal/regress/scenario/meetings, in which two faults coincide, with the
machines of the site files and with half as many again, then has the benchmark search each site at
random. It fails on violated rules, failed scenarios, processes that exited by themselves, and if
less than half of a class, a team or a class's largest jobs are served.

Examples:
  micaspindle-regress fault-search --kit ../given/kit more/hunt/one.toml more/hunt/two.toml
  micaspindle-regress fault-search --kit ../given/kit --scenario gap --seeds 20 --sizes 1 --search-days 0 more/hunt/one.toml`
}

// Bounds of --sizes.
const (
	minSize = 0.1
	maxSize = 4
)

// Run plays the scenarios and then runs the benchmark's searches.
func (f *faultSearchCmd) Run(ctx context.Context, c *cli) error {
	if f.SearchDays < 0 || len(f.Sizes) == 0 || slices.Min(f.Sizes) < minSize || slices.Max(f.Sizes) > maxSize {
		return usageError{errors.New("--search-days must not be negative, and --sizes must be between 0.1 and 4")}
	}
	scenarios, err := f.selectScenarios(scenario.CoincidingFaultScenarios())
	if err != nil {
		return err
	}
	earlier, err := regress.ReadJournal(c.Journal)
	if err != nil {
		return usageError{err}
	}
	played := f.run(ctx, c, scaleScenarios(scenarios, f.Sizes))
	if played != nil && !errors.Is(played, errMayNotLand) || f.SearchDays == 0 {
		return played
	}
	return errors.Join(played, f.runSearches(ctx, c, earlier))
}

// scaleScenarios returns the scenarios for each of the fleet sizes.
func scaleScenarios(scenarios []scenario.Scenario, sizes []float64) []scenario.Scenario {
	var scaled []scenario.Scenario
	for _, scenario := range scenarios {
		for _, size := range sizes {
			sized := scenario
			sized.Machines *= size
			if size != 1 {
				sized.Name = fmt.Sprintf("%s-x%g", scenario.Name, size)
			}
			scaled = append(scaled, sized)
		}
	}
	return scaled
}

// runSearches runs the benchmark's search on each site, and checks the journal entries that are not
// among the earlier ones.
func (f *faultSearchCmd) runSearches(ctx context.Context, c *cli, earlier []regress.Entry) error {
	kit, err := openKit(f.Kit, f.Bench, f.Sites, c.Journal)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeoutCause(ctx, f.Limit, fmt.Errorf("over the limit of %v", f.Limit))
	defer cancel()
	var incomplete error
	for _, site := range kit.sites {
		fmt.Fprintln(os.Stderr, "hunt", siteName(site))
		if err := runBench(ctx, kit.program, faultSearchArgs(site, f.SearchDays, f.Why)); err != nil {
			incomplete = errors.Join(incomplete, fmt.Errorf("fault search on %s: %w", siteName(site), err))
		}
	}
	found, err := entriesSince(c.Journal, earlier)
	if err != nil {
		return err
	}
	if len(found) < len(kit.sites) {
		incomplete = errors.Join(incomplete, fmt.Errorf("the journal has %d new entries of %d expected from the fault searches", len(found), len(kit.sites)))
	}
	return printComparison(c.Output, regress.Compare(nil, found), incomplete)
}

// faultSearchArgs returns the arguments of the benchmark's hunt command, which runs a fault search on
// a site.
func faultSearchArgs(site string, days int, why string) []string {
	return []string{"hunt", site, "--days", fmt.Sprint(days), "--why", why}
}
