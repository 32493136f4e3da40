package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"micaspindle/internal/regress"
)

// benchGrace is how long the benchmark has to end its processes after an interrupt.
const benchGrace = 20 * time.Second

// singleRunVerb is the verb of journal entries of single days.
const singleRunVerb = "run"

// benchKit is the benchmark program with the site files to play.
type benchKit struct {
	program string
	sites   []string
}

// openKit checks that the kit, its program, the site files and the journal are there.
func openKit(directory, program string, sites []string, journal string) (*benchKit, error) {
	if info, err := os.Stat(directory); err != nil || !info.IsDir() {
		return nil, usageError{fmt.Errorf("the kit is not at %s; it is not part of the repository: say where it is (make regress KIT=FOLDER)", directory)}
	}
	kit := &benchKit{program: filepath.Join(directory, program)}
	if info, err := os.Stat(kit.program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return nil, usageError{fmt.Errorf("no program at %s, so this kit has no such bench", kit.program)}
	}
	for _, site := range sites {
		path := filepath.Join(directory, site)
		if info, err := os.Stat(path); err != nil || info.IsDir() {
			return nil, usageError{fmt.Errorf("no site file at %s", path)}
		}
		kit.sites = append(kit.sites, path)
	}
	if info, err := os.Stat(journal); err != nil || !info.IsDir() {
		return nil, usageError{fmt.Errorf("no journal at %s: run this from the root of the repository", journal)}
	}
	return kit, nil
}

// entriesSince are the journal's scores and fault searches that are not among earlier
// entries. Single runs, of other work trees too, may be added meanwhile; they are left out,
// since they may be of other seeds, or without limits on processor time.
func entriesSince(journal string, earlier []regress.Entry) ([]regress.Entry, error) {
	all, err := regress.Read(journal)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(all, func(e regress.Entry) bool {
		return e.Command == singleRunVerb || slices.ContainsFunc(earlier, func(o regress.Entry) bool { return o.ID == e.ID && o.Begun.Equal(e.Begun) })
	}), nil
}

// siteName is the name of the site that a file describes.
func siteName(file string) string { return strings.TrimSuffix(filepath.Base(file), ".toml") }

// siteNames are the names of the site files among arguments.
func siteNames(args []string) []string {
	var all []string
	for _, a := range args {
		if strings.HasSuffix(a, ".toml") {
			all = append(all, siteName(a))
		}
	}
	return all
}

// runBench runs the benchmark and passes its output on. An interrupt reaches it, so that it
// ends its own processes.
func runBench(ctx context.Context, program string, args []string) error {
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = benchGrace
	err := cmd.Run()
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
