// Command micaspindle-devcluster runs a development cluster on loopback: real controllers
// with fakes of the state store, the cloud and the workers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli defines the commands and their flags.
type cli struct {
	Demo demoCmd `cmd:"" help:"Run jobs on a cluster, kill its leader, and report how long users waited."`
	Up   upCmd   `cmd:"" help:"Run a cluster until Ctrl-C."`

	Build     buildCmd     `cmd:"" help:"Run a build of small actions through Remote Execution API front ends."`
	DemoBuild demoBuildCmd `cmd:"" help:"Build on a cluster, kill a front end during the build, and build again from the cache."`

	Measure measureCmd `cmd:"" help:"Measure the overhead of authentication and audit, as ratios."`
}

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error in the arguments, for which the process exits with exitUsage.
type usageError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	parser := kong.Must(&c, kong.Vars{"frontends": "0"}, kong.Name("micaspindle-devcluster"),
		kong.Description("A development cluster on loopback: real controllers, with models of the state service, the cloud and the workers."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle-devcluster:", err)
		os.Exit(exitUsage)
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle-devcluster:", err)
		if errors.As(err, new(usageError)) {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailed)
	}
}
