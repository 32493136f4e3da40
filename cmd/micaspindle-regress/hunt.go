package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"micaspindle/internal/regress"
	"micaspindle/internal/regress/night"
)

type huntCmd struct {
	dayFlags `embed:""`
	Sizes    []float64 `default:"1,1.5" help:"How many times the machines of the site file the own days have."`
	Hunt     int       `default:"20" help:"How many days the bench's own hunt plays on each site; 0: none."`
}

// Help shows examples.
func (huntCmd) Help() string {
	return `Plays the days of internal/regress/night/meetings, on which two troubles meet, at the sizes of the
site files and with half as many machines again, then has the bench hunt each site. It refuses
broken rules, failed days, processes that ended by themselves, and less than half of a class, a
team or a class's largest jobs.

Examples:
  micaspindle-regress hunt --kit ../given/kit more/hunt/one.toml more/hunt/two.toml
  micaspindle-regress hunt --kit ../given/kit --day gap --seeds 20 --sizes 1 --hunt 0 more/hunt/one.toml`
}

// Run plays the days, then the hunts.
func (h *huntCmd) Run(ctx context.Context, c *cli) error {
	if h.Hunt < 0 || len(h.Sizes) == 0 || slices.Min(h.Sizes) < 0.1 || slices.Max(h.Sizes) > 4 {
		return usageError{errors.New("--hunt must not be below 0, --sizes lie between 0.1 and 4")}
	}
	meetings, err := h.pick(night.Meetings())
	if err != nil {
		return err
	}
	var days []night.Day
	for _, d := range meetings {
		for _, size := range h.Sizes {
			sized := d
			if sized.Machines *= size; size != 1 {
				sized.Name = fmt.Sprintf("%s-x%g", d.Name, size)
			}
			days = append(days, sized)
		}
	}
	earlier, err := regress.Read(c.Journal)
	if err != nil {
		return usageError{err}
	}
	played := h.run(ctx, c, days)
	if played != nil && !errors.Is(played, errMayNotLand) || h.Hunt == 0 {
		return played
	}
	ctx, cancel := context.WithTimeoutCause(ctx, h.Limit, fmt.Errorf("over the limit of %v", h.Limit))
	defer cancel()
	var ended error
	for _, s := range h.Sites {
		fmt.Fprintln(os.Stderr, "hunt", siteName(s))
		if err := play(ctx, filepath.Join(h.Kit, h.Bench), huntArgs(filepath.Join(h.Kit, s), h.Hunt, h.Why)); err != nil {
			ended = errors.Join(ended, fmt.Errorf("hunt of %s: %w", siteName(s), err))
		}
	}
	hunted, err := since(c.Journal, earlier)
	if err != nil {
		return err
	}
	if len(hunted) < len(h.Sites) {
		ended = errors.Join(ended, fmt.Errorf("the journal has %d new entries of %d hunts", len(hunted), len(h.Sites)))
	}
	return errors.Join(played, verdict(c.Output, regress.Compare(nil, hunted), ended))
}

// huntArgs has the bench hunt a site.
func huntArgs(site string, days int, why string) []string {
	return []string{"hunt", site, "--days", fmt.Sprint(days), "--why", why}
}
