package main

import (
	"cmp"
	"context"
	"encoding/json"
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
	"text/tabwriter"
	"time"

	"micaspindle/internal/regress/night"
)

// dayFlags say which of the project's own days are played, and how.
type dayFlags struct {
	Kit   string        `required:"" type:"path" help:"The kit's folder."`
	Bench string        `default:"more/hunt/bin/fleetbench" help:"The bench, below the kit."`
	Why   string        `help:"Not kept by the bench for single days; it heads the table."`
	Day   []string      `help:"Only these days; default: all."`
	File  []string      `type:"path" help:"Days of your own, in the form of internal/regress/night/meetings; they are played instead."`
	Seeds int           `default:"1" help:"How many seeds of each day."`
	Jobs  int           `help:"Days at a time; default: as many as there are cores."`
	Limit time.Duration `default:"20m" help:"How long all of it may take."`
	Keep  string        `type:"path" help:"A folder for the site files, days, reports and logs; default: a temporary one, removed at the end."`
	Sites []string      `arg:"" help:"Site files, below the kit."`
}

type nightCmd struct {
	dayFlags `embed:""`
}

// Help shows examples.
func (nightCmd) Help() string {
	return `Plays the project's own hard days on site files made from the kit's, and refuses if less
than half of any class or team is served.

Examples:
  micaspindle-regress night --kit ../given/kit more/fleet/one.toml more/fleet/two.toml
  micaspindle-regress night --kit ../given/kit --day flood-urgent --seeds 3 --keep /tmp/night -o json more/fleet/one.toml`
}

// nightPlay is one day on one site.
type nightPlay struct {
	site     *night.Site
	day      night.Day
	siteFile string
	dayFile  string
	report   string
	log      string
	seed     int
	result   night.Result
	err      error
}

// Run plays and judges the days.
func (n *nightCmd) Run(ctx context.Context, c *cli) error {
	days, err := n.pick(night.Days())
	if err != nil {
		return err
	}
	return n.run(ctx, c, days)
}

// pick are the wanted ones of the days that there are, or those of files.
func (n *dayFlags) pick(days []night.Day, err error) ([]night.Day, error) {
	if err == nil && len(n.File) > 0 {
		if days, err = readDays(n.File); err != nil {
			return nil, usageError{err}
		}
	}
	if err != nil || len(n.Day) == 0 {
		return days, err
	}
	var names []string
	for _, d := range days {
		names = append(names, d.Name)
	}
	for _, name := range n.Day {
		if !slices.Contains(names, name) {
			return nil, usageError{fmt.Errorf("--day: there is no day %q; there are %s", name, strings.Join(names, ", "))}
		}
	}
	return slices.DeleteFunc(days, func(d night.Day) bool { return !slices.Contains(n.Day, d.Name) }), nil
}

// readDays reads days from files.
func readDays(files []string) ([]night.Day, error) {
	var days []night.Day
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("--file: %w", err)
		}
		day, err := night.Parse(data)
		if err != nil {
			return nil, fmt.Errorf("--file: %s: %w", file, err)
		}
		days = append(days, day)
	}
	return days, nil
}

// run plays and judges days.
func (n *dayFlags) run(ctx context.Context, c *cli, days []night.Day) error {
	if n.Seeds < 1 || n.Jobs < 0 || n.Limit <= 0 {
		return usageError{errors.New("--seeds must be at least 1, --jobs not below 0 and --limit above 0")}
	}
	check := runCmd{Kit: n.Kit, Bench: n.Bench, Why: "night", Days: 1, Limit: n.Limit, Sites: n.Sites}
	bench, sites, err := check.check(c.Journal)
	if err != nil {
		return err
	}
	dir := n.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "night"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	plays, err := n.prepare(dir, sites, days)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeoutCause(ctx, n.Limit, fmt.Errorf("over the limit of %v", n.Limit))
	defer cancel()
	// Built once, so that the days don't build it over each other.
	if err := play(ctx, bench, []string{"build"}); err != nil {
		return fmt.Errorf("build: %w", err)
	}
	n.playAll(ctx, bench, plays)
	var results []night.Result
	var ended error
	failed := 0
	for _, p := range plays {
		if p.err != nil {
			ended = errors.Join(ended, fmt.Errorf("%s %s: %w", p.site.Name(), p.day.Name, p.err))
			continue
		}
		results = append(results, p.result)
		if len(p.result.Failed) > 0 {
			failed++
		}
	}
	if n.Why != "" && c.Output == "table" {
		fmt.Println(n.Why)
	}
	if err := n.show(c.Output, results); err != nil {
		ended = errors.Join(ended, err)
	}
	switch {
	case ended != nil:
		return ended
	case failed > 0:
		return fmt.Errorf("%w: %d of %d days failed", errMayNotLand, failed, len(results))
	}
	return nil
}

func (n *dayFlags) show(output string, results []night.Result) error {
	if output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(results)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	if err := night.Table(w, results); err != nil {
		return err
	}
	return w.Flush()
}

// prepare writes the site files and days.
func (n *dayFlags) prepare(dir string, sites []string, days []night.Day) ([]*nightPlay, error) {
	var plays []*nightPlay
	for _, file := range sites {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, usageError{err}
		}
		for _, d := range days {
			site, err := night.ReadSite(data)
			if err != nil {
				return nil, usageError{fmt.Errorf("%s: %w", file, err)}
			}
			site.For(&d)
			folder := filepath.Join(dir, site.Name(), d.Name)
			if err := os.MkdirAll(folder, 0o755); err != nil {
				return nil, err
			}
			siteFile, dayFile := filepath.Join(folder, site.Name()+".toml"), filepath.Join(folder, d.Name+".toml")
			if err := write(siteFile, site.File); err != nil {
				return nil, err
			}
			if err := write(dayFile, func() ([]byte, error) { return site.DayFile(&d) }); err != nil {
				return nil, err
			}
			if wire := site.Wire(); wire != "" {
				text, err := os.ReadFile(filepath.Join(filepath.Dir(file), filepath.Base(wire)))
				if err != nil {
					return nil, usageError{err}
				}
				if err := write(filepath.Join(folder, filepath.Base(wire)), func() ([]byte, error) { return text, nil }); err != nil {
					return nil, err
				}
			}
			for i := range n.Seeds {
				base := filepath.Join(folder, fmt.Sprint(d.Seed+i))
				plays = append(plays, &nightPlay{site: site, day: d, siteFile: siteFile, dayFile: dayFile, report: base + ".json", log: base + ".log", seed: d.Seed + i})
			}
		}
	}
	return plays, nil
}

func write(path string, text func() ([]byte, error)) error {
	data, err := text()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, data, 0o644)
}

// playAll plays the days, floods first: they take longest.
func (n *dayFlags) playAll(ctx context.Context, bench string, plays []*nightPlay) {
	order := slices.Clone(plays)
	weight := func(p *nightPlay) float64 {
		sum := p.day.Arrivals * p.day.Machines
		for _, f := range p.day.Faults {
			sum += f.Factor * f.ForS / 100
		}
		return sum
	}
	slices.SortStableFunc(order, func(a, b *nightPlay) int { return cmp.Compare(weight(b), weight(a)) })
	queue := make(chan *nightPlay, len(order))
	for _, p := range order {
		queue <- p
	}
	close(queue)
	jobs := n.Jobs
	if jobs == 0 {
		jobs = runtime.NumCPU()
	}
	var all sync.WaitGroup
	for range jobs {
		all.Go(func() {
			for p := range queue {
				if p.err = context.Cause(ctx); p.err == nil {
					p.err = p.play(ctx, bench)
				}
			}
		})
	}
	all.Wait()
}

// play plays one day and judges it. The bench's log is long, so it goes to a file.
func (p *nightPlay) play(ctx context.Context, bench string) error {
	log, err := os.Create(p.log)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.CommandContext(ctx, bench, "run", p.siteFile, p.dayFile, "--seed", fmt.Sprint(p.seed), "--log", "info", "--report", p.report)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 20 * time.Second
	if err := cmd.Run(); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		data, _ := os.ReadFile(p.log)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		return fmt.Errorf("the bench did not play it: %w: %s", err, strings.Join(lines[max(0, len(lines)-3):], " | "))
	}
	report, err := os.ReadFile(p.report)
	if err != nil {
		return err
	}
	if _, err := log.Seek(0, 0); err != nil {
		return err
	}
	p.result, err = p.site.Judge(p.day.Name, report, log)
	if p.seed != p.day.Seed {
		p.result.Day = fmt.Sprintf("%s/%d", p.day.Name, p.seed)
	}
	fmt.Fprintf(os.Stderr, "%s %s: played in %.0f s\n", p.site.Name(), p.result.Day, p.result.TookS)
	return err
}
