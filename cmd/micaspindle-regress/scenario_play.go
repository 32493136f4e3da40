package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"

	"micaspindle/internal/regress/scenario"
)

// scenarioPlay is one scenario on one site with one seed, and its result.
type scenarioPlay struct {
	site         *scenario.Site
	scenario     scenario.Scenario
	siteFile     string
	scenarioFile string
	reportFile   string
	logFile      string
	seed         int
	result       scenario.Result
	err          error
}

// preparePlays writes the site and scenario files of all plays into a directory.
func preparePlays(directory string, siteFiles []string, scenarios []scenario.Scenario, seeds int) ([]*scenarioPlay, error) {
	var plays []*scenarioPlay
	for _, file := range siteFiles {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, usageError{err}
		}
		for _, scenario := range scenarios {
			first, err := preparePlay(directory, file, text, scenario)
			if err != nil {
				return nil, err
			}
			for i := range seeds {
				plays = append(plays, first.withSeed(scenario.Seed+i))
			}
		}
	}
	return plays, nil
}

// preparePlay writes the files of one scenario on the site that siteText describes.
func preparePlay(directory, siteFile string, siteText []byte, definition scenario.Scenario) (*scenarioPlay, error) {
	site, err := scenario.ParseSite(siteText)
	if err != nil {
		return nil, usageError{fmt.Errorf("%s: %w", siteFile, err)}
	}
	site.Apply(&definition)
	folder := filepath.Join(directory, site.Name(), definition.Name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	play := &scenarioPlay{
		site:         site,
		scenario:     definition,
		siteFile:     filepath.Join(folder, site.Name()+".toml"),
		scenarioFile: filepath.Join(folder, definition.Name+".toml"),
	}
	if err := writeEncoded(play.siteFile, site.File); err != nil {
		return nil, err
	}
	if err := writeEncoded(play.scenarioFile, func() ([]byte, error) { return site.ScenarioFile(&definition) }); err != nil {
		return nil, err
	}
	return play, copyWireFile(site, filepath.Dir(siteFile), folder)
}

// copyWireFile copies the wire protocol's file, if the site names one.
func copyWireFile(site *scenario.Site, from, to string) error {
	if site.WireFile() == "" {
		return nil
	}
	name := filepath.Base(site.WireFile())
	text, err := os.ReadFile(filepath.Join(from, name))
	if err != nil {
		return usageError{err}
	}
	return os.WriteFile(filepath.Join(to, name), text, 0o644)
}

// writeEncoded writes the data that encode returns to a file.
func writeEncoded(path string, encode func() ([]byte, error)) error {
	data, err := encode()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, data, 0o644)
}

// withSeed returns a copy of the play with the given seed, and with its own report and log files.
func (p *scenarioPlay) withSeed(seed int) *scenarioPlay {
	base := filepath.Join(filepath.Dir(p.scenarioFile), fmt.Sprint(seed))
	seeded := *p
	seeded.seed, seeded.reportFile, seeded.logFile = seed, base+".json", base+".log"
	return &seeded
}

// playAll runs the plays, the longest first, with the given parallelism; 0 means one play per CPU
// core.
func playAll(ctx context.Context, program string, plays []*scenarioPlay, parallel int) {
	queue := make(chan *scenarioPlay, len(plays))
	for _, p := range longestFirst(plays) {
		queue <- p
	}
	close(queue)
	if parallel == 0 {
		parallel = runtime.NumCPU()
	}
	var workers sync.WaitGroup
	for range parallel {
		workers.Go(func() {
			for p := range queue {
				if p.err = context.Cause(ctx); p.err == nil {
					p.err = p.play(ctx, program)
				}
			}
		})
	}
	workers.Wait()
}

// longestFirst returns the plays in descending order of their expected work.
func longestFirst(plays []*scenarioPlay) []*scenarioPlay {
	order := slices.Clone(plays)
	slices.SortStableFunc(order, func(a, b *scenarioPlay) int { return cmp.Compare(b.expectedWork(), a.expectedWork()) })
	return order
}

// expectedWork estimates the duration of a scenario relative to other scenarios, from its arrivals
// and the factors and durations of its faults.
func (p *scenarioPlay) expectedWork() float64 {
	work := p.scenario.Arrivals * p.scenario.Machines
	for _, fault := range p.scenario.Faults {
		work += fault.Factor * fault.ForS / 100
	}
	return work
}

// play plays one scenario and evaluates its report and log. The benchmark's log is long, so it is
// written to a file.
func (p *scenarioPlay) play(ctx context.Context, program string) error {
	log, err := os.Create(p.logFile)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // this function has already read the file
	if err := p.runBench(ctx, program, log); err != nil {
		return err
	}
	report, err := os.ReadFile(p.reportFile)
	if err != nil {
		return err
	}
	if _, err := log.Seek(0, 0); err != nil {
		return err
	}
	p.result, err = p.site.Evaluate(p.scenario.Name, report, log)
	if p.seed != p.scenario.Seed {
		p.result.Scenario = fmt.Sprintf("%s/%d", p.scenario.Name, p.seed)
	}
	fmt.Fprintf(os.Stderr, "%s %s: played in %.0f s\n", p.site.Name(), p.result.Scenario, p.result.ElapsedS)
	return err
}

// logTailLines is the number of last lines of the benchmark's log that an error includes.
const logTailLines = 3

// runBench runs the benchmark for one play and writes its output to log.
func (p *scenarioPlay) runBench(ctx context.Context, program string, log *os.File) error {
	cmd := exec.CommandContext(ctx, program, "run", p.siteFile, p.scenarioFile, "--seed", fmt.Sprint(p.seed), "--log", "info", "--report", p.reportFile)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = benchGracePeriod
	err := cmd.Run()
	if err == nil {
		return nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	text, readErr := os.ReadFile(p.logFile)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	tail := strings.Join(lines[max(0, len(lines)-logTailLines):], " | ")
	return errors.Join(fmt.Errorf("the benchmark did not play the scenario: %w: %s", err, tail), readErr)
}
