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

// benchGracePeriod is the maximum time for the benchmark to end its processes after an interrupt.
const benchGracePeriod = 20 * time.Second

// commandRun is the benchmark's command that plays single days, as journal entries name it.
const commandRun = "run"

// benchKit is the benchmark program and the site files to play.
type benchKit struct {
	program string
	sites   []string
}

// openKit checks that the kit, its program, the site files and the journal exist.
func openKit(directory, program string, sites []string, journal string) (*benchKit, error) {
	if info, err := os.Stat(directory); err != nil || !info.IsDir() {
		return nil, usageError{fmt.Errorf("no benchmark kit at %s; it is not part of the repository, so give its directory with --kit or make regress KIT=FOLDER", directory)}
	}
	kit := &benchKit{program: filepath.Join(directory, program)}
	if info, err := os.Stat(kit.program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return nil, usageError{fmt.Errorf("no executable benchmark program at %s", kit.program)}
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

// entriesSince returns the journal's entries of scores and fault searches that are not among the
// earlier entries. Entries of single runs are left out: they may come from other work trees, use
// other seeds, or have no CPU limits.
func entriesSince(journal string, earlier []regress.Entry) ([]regress.Entry, error) {
	all, err := regress.ReadJournal(journal)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(all, func(e regress.Entry) bool {
		return e.Command == commandRun || slices.ContainsFunc(earlier, func(o regress.Entry) bool { return o.ID == e.ID && o.StartedAt.Equal(e.StartedAt) })
	}), nil
}

// siteName returns the name of the site that a site file describes.
func siteName(file string) string { return strings.TrimSuffix(filepath.Base(file), ".toml") }

// siteNames returns the names of the sites whose files are among the arguments.
func siteNames(args []string) []string {
	var all []string
	for _, a := range args {
		if strings.HasSuffix(a, ".toml") {
			all = append(all, siteName(a))
		}
	}
	return all
}

// runBench runs the benchmark with its output on standard error. When ctx is canceled, it sends
// SIGTERM, so that the benchmark can end its own processes.
func runBench(ctx context.Context, program string, args []string) error {
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = benchGracePeriod
	err := cmd.Run()
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
