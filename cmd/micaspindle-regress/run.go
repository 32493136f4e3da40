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

// whyLimit is the length of a reason; the journal is read by people.
const whyLimit = 120

// The bounds of --again.
const maxAgain = 10

// check validates the arguments before anything is played, and returns the kit to play with.
func (r *runCmd) check(journal string) (*benchKit, error) {
	if why := strings.TrimSpace(r.Why); why == "" || len(why) >= whyLimit || strings.ContainsAny(why, "\n\r") {
		return nil, usageError{fmt.Errorf("--why: a sentence of under %d characters says what was changed and what is expected", whyLimit)}
	}
	if r.Days < 1 || r.Limit <= 0 || r.Again < 0 || r.Again > maxAgain {
		return nil, usageError{errors.New("--days must be at least 1, --limit above 0 and --again between 0 and 10")}
	}
	return openKit(r.Kit, r.Bench, r.Sites, journal)
}

// Run plays the days and compares their scores.
func (r *runCmd) Run(ctx context.Context, c *cli) error {
	kit, err := r.check(c.Journal)
	if err != nil {
		return err
	}
	earlier, err := regress.Read(c.Journal)
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := context.WithTimeoutCause(ctx, r.Limit, fmt.Errorf("over the limit of %v", r.Limit))
	defer cancel()
	run := &scoring{options: r, kit: kit, journal: c.Journal, earlier: earlier}
	if err := run.playAll(ctx); err != nil {
		return err
	}
	if len(run.played) < run.wanted {
		run.fail(fmt.Errorf("the journal has %d new entries of %d", len(run.played), run.wanted))
	}
	return verdict(c.Output, run.compare(), run.err)
}

// scoring is one run of the standard days.
type scoring struct {
	options *runCmd
	kit     *benchKit
	journal string
	earlier []regress.Entry // of the journal before the run
	played  []regress.Entry // of the journal since then
	wanted  int             // how many new entries there should be
	err     error           // why something was not played; what was is compared all the same
}

// fail records that something was not played.
func (s *scoring) fail(err error) { s.err = errors.Join(s.err, err) }

// compare compares what was played with the journal before.
func (s *scoring) compare() []regress.Row { return regress.Compare(s.earlier, regress.Merge(s.played)) }

// playAll plays the sites, then those again whose scores fell. Its error is of the journal.
func (s *scoring) playAll(ctx context.Context) error {
	s.score(ctx, s.kit.sites)
	if s.options.Full {
		for _, site := range s.kit.sites {
			s.bench(ctx, faultSearchArgs(site, s.options.Days, s.options.Why)...)
			s.wanted++
		}
	}
	if err := s.readPlayed(); err != nil {
		return err
	}
	for range s.options.Again {
		fallen := s.fallenSites()
		if len(fallen) == 0 || s.err != nil {
			return nil
		}
		s.score(ctx, fallen)
		if err := s.readPlayed(); err != nil {
			return err
		}
	}
	return nil
}

// score plays the standard days of sites.
func (s *scoring) score(ctx context.Context, sites []string) {
	args := append([]string{"score"}, sites...)
	if !s.options.Full {
		args = append(args, "--quick")
	}
	s.bench(ctx, append(args, "--why", s.options.Why)...)
	s.wanted += len(sites)
}

// bench runs the benchmark with arguments, unless the time is over.
func (s *scoring) bench(ctx context.Context, args ...string) {
	if ctx.Err() != nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s %s\n", args[0], strings.Join(siteNames(args), " "))
	if err := runBench(ctx, s.kit.program, args); err != nil {
		s.fail(fmt.Errorf("%s: %w", args[0], err))
	}
}

// readPlayed reads from the journal what was played until now.
func (s *scoring) readPlayed() (err error) {
	s.played, err = entriesSince(s.journal, s.earlier)
	return err
}

// fallenSites are the sites whose only fault is a score that fell, which may be by chance.
func (s *scoring) fallenSites() []string {
	fellOnly := regress.FellOnly(s.compare())
	var fallen []string
	for _, site := range s.kit.sites {
		if slices.Contains(fellOnly, siteName(site)) {
			fallen = append(fallen, site)
		}
	}
	return fallen
}
