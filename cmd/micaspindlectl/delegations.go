package main

import (
	"context"
	"errors"
	"fmt"

	"micaspindle/internal/overview"
)

// delegationsCmd shows which controllers hold the connections to the workers.
type delegationsCmd struct {
	Operations string `env:"SPINDLE_OPERATIONS" placeholder:"HOST:PORT,..." help:"The controllers' operations addresses (operations.listen in their settings)."`
}

// Help describes the output and the exit codes, and shows examples.
func (delegationsCmd) Help() string {
	return "Examples:\n\n    micaspindlectl delegations --operations 10.0.0.1:9090,10.0.0.2:9090\n    micaspindlectl delegations -o json | jq '.[].view.moves'\n\n" +
		"The leader of a partition (OWNER) that runs short of sockets delegates worker connections, in\n" +
		"fixed groups called shares, to other controllers (docs/heartbeat-delegation.md). This needs no\n" +
		"action by operators.\nMACHINES are the worker connections a controller holds, ROOM is its capacity.\n" +
		"In a cluster with authentication, the command needs the right to view every queue.\n\n" +
		"Exit codes: 0 success, 2 wrong arguments, 3 not authorized, 5 no controller answered."
}

// Run shows the delegations.
func (d *delegationsCmd) Run(ctx context.Context, c *cli) error {
	cl, addrs, err := operationsClient(c, d.Operations)
	if err != nil {
		return err
	}
	rows, err := fetchOverviews(ctx, cl, addrs)
	if c.Output == outputJSON {
		return errors.Join(err, printJSON(rows))
	}
	if err == nil {
		fmt.Print(overview.Delegations(rows))
	}
	return err
}
