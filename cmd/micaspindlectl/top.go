package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"golang.org/x/term"

	"micaspindle/internal/overview"
)

// topCmd shows the state of the cluster. On a terminal it refreshes it continuously.
type topCmd struct {
	Operations string        `env:"SPINDLE_OPERATIONS" placeholder:"HOST:PORT,..." help:"The controllers' operations addresses (operations.listen in their settings)."`
	Every      time.Duration `default:"1s" help:"Refresh interval (200ms to 1m)."`
	Once       bool          `help:"Print once and exit; the default if the output is not a terminal."`
}

// Help describes the keys, the output and the exit codes, and shows examples.
func (topCmd) Help() string {
	return "Examples:\n\n    micaspindlectl top --operations 10.0.0.1:9090,10.0.0.2:9090\n    micaspindlectl top --once -o json | jq .\n\n" +
		"Keys: q quits. Wait times are those of the slowest controller over the last two to four minutes.\nIn a cluster with authentication, the command needs the right to view every queue.\n\n" +
		"Exit codes: 0 success, 2 wrong arguments, 3 not authorized, 5 no controller answered."
}

// The limits of --every.
const (
	minRefresh = 200 * time.Millisecond
	maxRefresh = time.Minute
)

// The screen size that is used for --once, in characters.
const (
	printWidth  = 200
	printHeight = 1000
)

// Run shows the cluster's state.
func (t *topCmd) Run(ctx context.Context, c *cli) error {
	if t.Every < minRefresh || t.Every > maxRefresh {
		return usageError{errors.New("--every must lie between 200ms and 1m")}
	}
	cl, addrs, err := operationsClient(c, t.Operations)
	if err != nil {
		return err
	}
	rows, err := fetchOverviews(ctx, cl, addrs)
	switch {
	case c.Output == outputJSON:
		return errors.Join(err, printJSON(rows))
	case err != nil:
		return err
	case t.Once || !term.IsTerminal(int(os.Stdout.Fd())):
		fmt.Println(overview.Screen(rows, time.Now(), printWidth, printHeight))
		return nil
	}
	fetch := func() ([]overview.Row, error) { return fetchOverviews(ctx, cl, addrs) }
	return runTerminal(ctx, rows, fetch, t.Every)
}
