// Command micaspindle-reapi is a front end for build tools. It serves the Remote Execution API and
// runs build actions as jobs of the cluster. Controllers decide which queues a client may use.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Config string `required:"" type:"path" help:"Settings file (YAML); deploy/gate.yaml is an example."`
	Check  bool   `help:"Validate the settings and exit."`
}

// Help returns examples and the exit codes.
func (cli) Help() string {
	return "Examples:\n  micaspindle-reapi --config deploy/gate.yaml --check\n  micaspindle-reapi --config /etc/micaspindle/gate.yaml\n\n" +
		"Exit codes: 0 stopped by a signal, 1 serving failed, 2 invalid arguments or settings."
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

// run parses the arguments and serves.
func run(ctx context.Context, args []string) error {
	var c cli
	parser := kong.Must(&c, kong.Name("micaspindle-reapi"),
		kong.Description("Front end for build tools: serves the Remote Execution API and runs build actions as jobs of the cluster."))
	if _, err := parser.Parse(args); err != nil {
		return usageError{err}
	}
	s, err := load(c.Config)
	if err != nil {
		return usageError{fmt.Errorf("%s: %w", c.Config, err)}
	}
	if c.Check {
		fmt.Printf("%s is good: %d instances\n", c.Config, len(s.Instances))
		return nil
	}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})
	return serve(ctx, s, slog.New(handler))
}

// logLevel returns the level that the environment variable LOG_LEVEL names, or info if it is unset
// or not a level.
func logLevel() slog.Level {
	level := slog.LevelInfo
	if text := os.Getenv("LOG_LEVEL"); text != "" {
		_ = level.UnmarshalText([]byte(text))
	}
	return level
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle-reapi:", err)
		os.Exit(exitCode(err))
	}
}
