package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/regress"
)

// testsCmd runs the tests except known failures.
type testsCmd struct {
	KnownRed string        `default:"KNOWN-RED.txt" type:"path" help:"List of tests that are known to fail, one a line."`
	Timeout  time.Duration `default:"20m" help:"Time limit for the tests of a package."`
	Race     bool          `default:"true" negatable:"" help:"Run with the race detector."`
}

// Help describes the format of the list.
func (testsCmd) Help() string {
	return `Runs all tests except those that KNOWN-RED.txt lists, and prints these. A line of the list is
"PACKAGE TEST: CAUSE (issue N)"; at most three, and each must name an existing test.

Exit codes: 0 all others pass; 1 a test fails; 2 the list is invalid.`
}

// Run runs all tests except the known failures, and prints these.
func (t *testsCmd) Run(ctx context.Context) error {
	known, err := t.knownFailures(ctx)
	if err != nil {
		return usageError{err}
	}
	skip := map[string][]string{} // by import path
	for _, failure := range known {
		path, err := output(ctx, "go", "list", "./"+failure.Package)
		if err != nil {
			return err
		}
		path = strings.TrimSpace(path)
		skip[path] = append(skip[path], failure.Test)
	}
	packages, err := output(ctx, "go", "list", "./...")
	if err != nil {
		return err
	}
	withoutSkips := slices.DeleteFunc(strings.Fields(packages), func(p string) bool { return skip[p] != nil })
	failed := t.test(ctx, "", withoutSkips...)
	for path, tests := range skip {
		failed = errors.Join(failed, t.test(ctx, regress.SkipPattern(tests), path))
	}
	printKnownFailures(os.Stdout, known)
	if failed != nil {
		return fmt.Errorf("%w: %w", errMayNotLand, failed)
	}
	return nil
}

// printKnownFailures prints the tests that were not run.
func printKnownFailures(out io.Writer, known []regress.KnownFailure) {
	for _, failure := range known {
		fmt.Fprintln(out, "KNOWN RED, not run:", failure.Line)
	}
	if len(known) == 0 {
		fmt.Fprintln(out, "KNOWN RED: none")
	}
}

// knownFailures reads the list and checks that each test exists.
func (t *testsCmd) knownFailures(ctx context.Context) ([]regress.KnownFailure, error) {
	text, err := os.ReadFile(t.KnownRed)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	known, err := regress.ParseKnownFailures(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path.Base(t.KnownRed), err)
	}
	for _, failure := range known {
		name, _, _ := strings.Cut(failure.Test, "/")
		listed, err := output(ctx, "go", "test", "-list", "^"+name+"$", "./"+failure.Package)
		if err != nil {
			return nil, fmt.Errorf("%s: cannot list the tests of package %s: %w", path.Base(t.KnownRed), failure.Package, err)
		}
		if !slices.Contains(strings.Fields(listed), name) {
			return nil, fmt.Errorf("%s: no test %s in package %s", path.Base(t.KnownRed), name, failure.Package)
		}
	}
	return known, nil
}

// test runs the tests of the packages, except those that match the pattern skip.
func (t *testsCmd) test(ctx context.Context, skip string, packages ...string) error {
	args := []string{"test", "-timeout", t.Timeout.String()}
	if t.Race {
		args = append(args, "-race")
	}
	if skip != "" {
		args = append(args, "-skip", skip)
	}
	cmd := exec.CommandContext(ctx, "go", append(args, packages...)...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd.Run()
}

// output returns the standard output of a command; an error includes its standard error.
func output(ctx context.Context, name string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, name, args...)
	out, err := cmd.Output()
	if ended := new(exec.ExitError); errors.As(err, &ended) {
		err = fmt.Errorf("%w: %s", err, strings.TrimSpace(string(ended.Stderr)))
	}
	return string(out), err
}
