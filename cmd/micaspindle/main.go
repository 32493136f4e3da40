// Command micaspindle is one controller of the cluster scheduler.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"micaspindle/internal/settings"
)

// cli is the command line.
type cli struct {
	Serve    serveCmd    `cmd:"" default:"withargs" help:"Run a controller (the default command)."`
	Settings settingsCmd `cmd:"" help:"Work with settings files."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

// files are the settings files of a controller.
type files struct {
	Config   string `required:"" type:"path" help:"Settings file of the platform (JSON)."`
	Operator string `type:"path" help:"Settings file of the operators (YAML), optional."`
}

// load reads and validates the files.
func (f files) load() (*settings.Settings, settings.Operator, error) {
	set, err := settings.Load(f.Config)
	if err != nil {
		return nil, settings.Operator{}, err
	}
	op, err := settings.LoadOperator(f.Operator)
	return set, op, err
}

// settingsCmd holds the commands of settings files.
type settingsCmd struct {
	Check checkCmd `cmd:"" help:"Validate settings files and exit."`
}

// checkCmd validates settings files.
type checkCmd struct{ files }

// Run checks the files.
func (c *checkCmd) Run() error {
	set, _, err := c.load()
	if err != nil {
		return usageError{err}
	}
	fmt.Printf("settings of %s are good: %d controllers, %d teams\n", set.Label, set.Params.Count, len(set.Params.Teams))
	return nil
}

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Println("micaspindle", version, runtime.Version())
	return nil
}

// The exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError marks a mistake of the caller; it ends the process with exitUsage.
type usageError struct{ error }

// exitCode is the exit code for an error.
func exitCode(err error) int {
	if errors.As(err, new(usageError)) {
		return exitUsage
	}
	return exitFailed
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("micaspindle"), kong.Description("A cluster scheduler that places work where contention is least."))
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle:", err)
		os.Exit(exitUsage)
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle:", err)
		os.Exit(exitCode(err))
	}
}
