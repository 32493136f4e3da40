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

// preparePlay writes the files of one day on the site that siteText describes.
func preparePlay(directory, siteFile string, siteText []byte, day scenario.Scenario) (*scenarioPlay, error) {
	site, err := scenario.ReadSite(siteText)
	if err != nil {
		return nil, usageError{fmt.Errorf("%s: %w", siteFile, err)}
	}
	site.Apply(&day)
	folder := filepath.Join(directory, site.Name(), day.Name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	play := &scenarioPlay{
		site:         site,
		scenario:     day,
		siteFile:     filepath.Join(folder, site.Name()+".toml"),
		scenarioFile: filepath.Join(folder, day.Name+".toml"),
	}
	if err := writeEncoded(play.siteFile, site.File); err != nil {
		return nil, err
	}
	if err := writeEncoded(play.scenarioFile, func() ([]byte, error) { return site.ScenarioFile(&day) }); err != nil {
		return nil, err
	}
	return play, copyWireFile(site, filepath.Dir(siteFile), folder)
}

// copyWireFile copies the file of the wire protocol that a site names, if it does.
func copyWireFile(site *scenario.Site, from, to string) error {
	if site.Wire() == "" {
		return nil
	}
	name := filepath.Base(site.Wire())
	text, err := os.ReadFile(filepath.Join(from, name))
	if err != nil {
		return usageError{err}
	}
	return os.WriteFile(filepath.Join(to, name), text, 0o644)
}

// writeEncoded writes a file whose content encode makes.
func writeEncoded(path string, encode func() ([]byte, error)) error {
	data, err := encode()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, data, 0o644)
}

// withSeed is the same play with a seed and files of its own for report and log.
func (p *scenarioPlay) withSeed(seed int) *scenarioPlay {
	base := filepath.Join(filepath.Dir(p.scenarioFile), fmt.Sprint(seed))
	seeded := *p
	seeded.seed, seeded.reportFile, seeded.logFile = seed, base+".json", base+".log"
	return &seeded
}

// playAll plays everything, the longest first, so many at a time; 0: one per CPU core.
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

// longestFirst orders plays by how long they are expected to take.
func longestFirst(plays []*scenarioPlay) []*scenarioPlay {
	order := slices.Clone(plays)
	slices.SortStableFunc(order, func(a, b *scenarioPlay) int { return cmp.Compare(b.expectedWork(), a.expectedWork()) })
	return order
}

// expectedWork grows with the number of jobs of a scenario; floods of jobs count most.
func (p *scenarioPlay) expectedWork() float64 {
	work := p.scenario.Arrivals * p.scenario.Machines
	for _, fault := range p.scenario.Faults {
		work += fault.Factor * fault.ForS / 100
	}
	return work
}

// play plays one scenario and judges it. The benchmark's log is long, so it goes to a file.
func (p *scenarioPlay) play(ctx context.Context, program string) error {
	log, err := os.Create(p.logFile)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // read by this function already
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
	p.result, err = p.site.Judge(p.scenario.Name, report, log)
	if p.seed != p.scenario.Seed {
		p.result.Scenario = fmt.Sprintf("%s/%d", p.scenario.Name, p.seed)
	}
	fmt.Fprintf(os.Stderr, "%s %s: played in %.0f s\n", p.site.Name(), p.result.Scenario, p.result.ElapsedS)
	return err
}

// logTail is how many lines of the benchmark's log an error shows.
const logTail = 3

// runBench runs the benchmark for one play; its output goes to log.
func (p *scenarioPlay) runBench(ctx context.Context, program string, log *os.File) error {
	cmd := exec.CommandContext(ctx, program, "run", p.siteFile, p.scenarioFile, "--seed", fmt.Sprint(p.seed), "--log", "info", "--report", p.reportFile)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = benchGrace
	err := cmd.Run()
	if err == nil {
		return nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	text, readErr := os.ReadFile(p.logFile)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	tail := strings.Join(lines[max(0, len(lines)-logTail):], " | ")
	return errors.Join(fmt.Errorf("the bench did not play it: %w: %s", err, tail), readErr)
}
