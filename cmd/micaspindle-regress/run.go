package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/regress"
)

// runCmd plays the standard days of the benchmark.
type runCmd struct {
	Kit   string        `required:"" type:"path" help:"Directory of the benchmark kit."`
	Bench string        `default:"more/hunt/bin/fleetbench" help:"Benchmark program, relative to the kit."`
	Why   string        `required:"" help:"What was changed and what is expected, in one sentence of under 120 characters; kept in the journal."`
	Full  bool          `help:"Play all standard days and a random fault search on each site; by default only the two hardest days of each."`
	Days  int           `default:"4" help:"With --full: number of days that each fault search plays."`
	Again int           `default:"1" help:"How often a site whose scores fell is played again; the means are compared then."`
	Limit time.Duration `default:"1h" help:"Time limit for everything."`
	Sites []string      `arg:"" help:"Site files, relative to the kit."`
}

// Help shows an example.
func (runCmd) Help() string {
	return "Example:\n  micaspindle-regress run --kit ../given/kit --why \"Summaries are deltas: expect the same figures\" sites/one.toml sites/two.toml"
}

// reasonLengthLimit is the exclusive upper bound of the length of --why in bytes, which keeps the
// journal readable.
const reasonLengthLimit = 120

// maxAgain is the upper bound of --again.
const maxAgain = 10

// check validates the arguments and returns the benchmark kit.
func (r *runCmd) check(journal string) (*benchKit, error) {
	if why := strings.TrimSpace(r.Why); why == "" || len(why) >= reasonLengthLimit || strings.ContainsAny(why, "\n\r") {
		return nil, usageError{fmt.Errorf("--why must say in one sentence of under %d characters what was changed and what is expected", reasonLengthLimit)}
	}
	if r.Days < 1 || r.Limit <= 0 || r.Again < 0 || r.Again > maxAgain {
		return nil, usageError{errors.New("--days must be at least 1, --limit positive and --again between 0 and 10")}
	}
	return openKit(r.Kit, r.Bench, r.Sites, journal)
}

// Run plays the standard days and compares their scores with the journal.
func (r *runCmd) Run(ctx context.Context, c *cli) error {
	kit, err := r.check(c.Journal)
	if err != nil {
		return err
	}
	earlier, err := regress.ReadJournal(c.Journal)
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := context.WithTimeoutCause(ctx, r.Limit, fmt.Errorf("over the limit of %v", r.Limit))
	defer cancel()
	run := &scoreRun{options: r, kit: kit, journal: c.Journal, earlier: earlier}
	if err := run.playAll(ctx); err != nil {
		return err
	}
	if len(run.newEntries) < run.expectedEntries {
		run.fail(fmt.Errorf("the journal has %d new entries of %d expected from the runs", len(run.newEntries), run.expectedEntries))
	}
	return printComparison(c.Output, run.compare(), run.err)
}

// scoreRun is a run of the standard days on all sites.
type scoreRun struct {
	options         *runCmd
	kit             *benchKit
	journal         string
	earlier         []regress.Entry // journal entries from before the run
	newEntries      []regress.Entry // journal entries of the run
	expectedEntries int             // number of entries that the run should add
	err             error           // errors of incomplete runs; the scores of the other runs are still compared
}

// fail records the error of an incomplete run.
func (s *scoreRun) fail(err error) { s.err = errors.Join(s.err, err) }

// compare compares the new entries with the earlier ones.
func (s *scoreRun) compare() []regress.Row {
	return regress.Compare(s.earlier, regress.MergeRuns(s.newEntries))
}

// playAll plays the sites, and then repeats those whose scores dropped. It returns only errors in
// reading the journal; other errors are recorded by fail.
func (s *scoreRun) playAll(ctx context.Context) error {
	s.playSites(ctx, s.kit.sites)
	if s.options.Full {
		for _, site := range s.kit.sites {
			s.runBench(ctx, faultSearchArgs(site, s.options.Days, s.options.Why)...)
			s.expectedEntries++
		}
	}
	if err := s.readNewEntries(); err != nil {
		return err
	}
	for range s.options.Again {
		repeated := s.sitesToRepeat()
		if len(repeated) == 0 || s.err != nil {
			return nil
		}
		s.playSites(ctx, repeated)
		if err := s.readNewEntries(); err != nil {
			return err
		}
	}
	return nil
}

// playSites plays the standard days on the given sites.
func (s *scoreRun) playSites(ctx context.Context, sites []string) {
	args := append([]string{"score"}, sites...)
	if !s.options.Full {
		args = append(args, "--quick")
	}
	s.runBench(ctx, append(args, "--why", s.options.Why)...)
	s.expectedEntries += len(sites)
}

// runBench runs the benchmark unless ctx is done, and records an error by fail.
func (s *scoreRun) runBench(ctx context.Context, args ...string) {
	if ctx.Err() != nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s %s\n", args[0], strings.Join(siteNames(args), " "))
	if err := runBench(ctx, s.kit.program, args); err != nil {
		s.fail(fmt.Errorf("%s: %w", args[0], err))
	}
}

// readNewEntries reads the entries that the run has added to the journal so far.
func (s *scoreRun) readNewEntries() (err error) {
	s.newEntries, err = entriesSince(s.journal, s.earlier)
	return err
}

// sitesToRepeat returns the sites that failed only because of a lower score, which may be chance.
func (s *scoreRun) sitesToRepeat() []string {
	names := regress.SitesWithOnlyScoreDrops(s.compare())
	var sites []string
	for _, site := range s.kit.sites {
		if slices.Contains(names, siteName(site)) {
			sites = append(sites, site)
		}
	}
	return sites
}
