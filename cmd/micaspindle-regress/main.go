// Command micaspindle-regress runs the users' benchmark and decides from its results whether a
// change may land. It needs the benchmark kit, which is not part of the repository.
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

// cli is the command line.
type cli struct {
	Journal string `type:"path" default:"journal" help:"Journal of the benchmark: one file for each result."`
	Output  string `default:"table" enum:"table,json" short:"o" help:"How the result is printed: table or json."`

	Run         runCmd         `cmd:"" help:"Play the standard days of the benchmark and compare the scores with the journal."`
	Scenarios   scenariosCmd   `cmd:"" help:"Play the project's load and failure scenarios; each class and team must get at least half of its jobs served."`
	FaultSearch faultSearchCmd `cmd:"" help:"Play scenarios in which two faults coincide, then let the benchmark search for violated rules at random."`
	Tests       testsCmd       `cmd:"" help:"Run the project's tests except those that are known to fail."`
	Compare     compareCmd     `cmd:"" help:"Compare the latest scores of the journal with earlier ones, without playing anything."`

	// Former names of commands, kept for one release.
	Night scenariosCmd   `cmd:"" hidden:"" help:"Former name of scenarios."`
	Hunt  faultSearchCmd `cmd:"" hidden:"" help:"Former name of fault-search."`
}

const description = `Regression runs of the users' benchmark, compared with its journal.

Exit codes: 0 the change may land; 1 it may not: a violated rule, a failed day, a
process that exited by itself, or a score that fell; 2 wrong arguments, or no kit;
3 the benchmark could not be run to completion.`

// Exit codes; description documents them.
const (
	exitMayNotLand = 1
	exitUsage      = 2
	exitIncomplete = 3
)

// usageError is an error in the arguments or the environment; the process exits with exitUsage.
type usageError struct{ error }

// errMayNotLand makes the process exit with exitMayNotLand; the printed table gives the reason.
var errMayNotLand = errors.New("the change may not land")

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errMayNotLand):
		return exitMayNotLand
	case errors.As(err, new(usageError)):
		return exitUsage
	}
	return exitIncomplete
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	parser := kong.Must(&c, kong.Name("micaspindle-regress"), kong.Description(description), kong.BindTo(ctx, (*context.Context)(nil)))
	k, err := parser.Parse(os.Args[1:])
	if err == nil {
		err = k.Run(&c)
	} else {
		err = usageError{err}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle-regress:", err)
		os.Exit(exitCode(err))
	}
}
