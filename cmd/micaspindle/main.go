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

// settingsFiles are the flags that name a controller's settings files.
type settingsFiles struct {
	Config   string `required:"" type:"path" help:"Settings file of the platform (JSON)."`
	Operator string `type:"path" help:"Settings file of the operators (YAML), optional."`
}

// load reads and validates the settings files.
func (f settingsFiles) load() (*settings.Settings, settings.Operator, error) {
	set, err := settings.Load(f.Config)
	if err != nil {
		return nil, settings.Operator{}, err
	}
	op, err := settings.LoadOperator(f.Operator)
	return set, op, err
}

// settingsCmd holds the commands for settings files.
type settingsCmd struct {
	Check checkCmd `cmd:"" help:"Validate settings files and exit."`
}

// checkCmd validates settings files.
type checkCmd struct{ settingsFiles }

// Run validates the files and prints a summary.
func (c *checkCmd) Run() error {
	set, _, err := c.load()
	if err != nil {
		return usageError{err}
	}
	fmt.Printf("settings of %s are good: %d controllers, %d teams\n", set.Label, set.Params.ControllerCount, len(set.Params.Teams))
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

// Exit codes of the process.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError marks invalid arguments or settings, for which the process exits with exitUsage.
type usageError struct{ error }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	if errors.As(err, new(usageError)) {
		return exitUsage
	}
	return exitFailed
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("micaspindle"), kong.Description("A cluster scheduler that places tasks where they contend least for resources."))
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
