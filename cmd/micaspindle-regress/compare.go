package main

import (
	"fmt"

	"micaspindle/internal/regress"
)

// compareCmd compares scores that are already in the journal.
type compareCmd struct {
	Quick bool     `default:"true" negatable:"" help:"Compare quick scores; --no-quick compares full ones."`
	Sites []string `arg:"" optional:"" help:"Site names; default: all."`
}

// Help shows examples.
func (compareCmd) Help() string {
	return "Examples:\n  micaspindle-regress compare\n  micaspindle-regress compare --no-quick --output json"
}

// Run compares the latest score of each site with earlier ones.
func (p *compareCmd) Run(c *cli) error {
	all, err := regress.ReadJournal(c.Journal)
	if err != nil {
		return usageError{err}
	}
	if len(all) == 0 {
		return usageError{fmt.Errorf("no journal entries at %s: run this from the root of the repository", c.Journal)}
	}
	earlier, now, err := regress.LatestScores(all, p.Quick, p.Sites)
	if err != nil {
		return usageError{err}
	}
	return printComparison(c.Output, regress.Compare(earlier, now), nil)
}
