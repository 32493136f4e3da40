// Command micaspindle-regress runs the users' bench before a landing and says whether
// the change may land. It needs the kit, which is not part of the repository.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"micaspindle/internal/regress"
)

type cli struct {
	Journal string `type:"path" default:"journal" help:"The bench's journal."`
	Output  string `default:"table" enum:"table,json" short:"o" help:"How the result is printed."`

	Run     runCmd     `cmd:"" help:"Play the standard days, then compare."`
	Night   nightCmd   `cmd:"" help:"Play the project's own hard days: is half of every class and team served?"`
	Hunt    huntCmd    `cmd:"" help:"Play the project's own days on which two troubles meet, and hunt the sites: does a rule break?"`
	Tests   testsCmd   `cmd:"" help:"Run the project's tests but those that are known to fail."`
	Compare compareCmd `cmd:"" help:"Compare the latest scores of the journal with those before, without playing anything."`
}

const description = `Compares what the users' bench says now with what its journal holds.

Exit codes: 0 the change may land; 1 it may not: a broken rule, a failed day, a
process that ended by itself, or a figure that fell; 2 wrong arguments, or no kit;
3 the bench could not be run to its end.`

// usageError marks what the caller must mend; it ends the process with code 2.
type usageError struct{ error }

// errMayNotLand ends the process with code 1; the table says why.
var errMayNotLand = errors.New("the change may not land")

// whyLimit is the length of a reason; the journal is read by people.
const whyLimit = 120

type runCmd struct {
	Kit   string        `required:"" type:"path" help:"The kit's folder."`
	Bench string        `default:"more/hunt/bin/fleetbench" help:"The bench, below the kit."`
	Why   string        `required:"" help:"What was changed and what is expected, in a sentence of under 120 characters."`
	Full  bool          `help:"All standard days, and a hunt on each site; otherwise the two roughest days of each."`
	Days  int           `default:"4" help:"With --full: how many days each hunt plays."`
	Again int           `default:"1" help:"How often a site is scored once more if figures of it fell; then their means count."`
	Limit time.Duration `default:"1h" help:"How long all of it may take."`
	Sites []string      `arg:"" help:"Site files, below the kit."`
}

// Help shows an example.
func (runCmd) Help() string {
	return "Example:\n  micaspindle-regress run --kit ../given/kit --why \"Summaries are deltas: expect the same figures\" sites/one.toml sites/two.toml"
}

// check finds what the caller must mend before anything is played.
func (r *runCmd) check(journal string) (bench string, sites []string, err error) {
	if why := strings.TrimSpace(r.Why); why == "" || len(why) >= whyLimit || strings.ContainsAny(why, "\n\r") {
		return "", nil, usageError{fmt.Errorf("--why: a sentence of under %d characters says what was changed and what is expected", whyLimit)}
	}
	if r.Days < 1 || r.Limit <= 0 || r.Again < 0 || r.Again > 10 {
		return "", nil, usageError{errors.New("--days must be at least 1, --limit above 0 and --again between 0 and 10")}
	}
	if info, err := os.Stat(r.Kit); err != nil || !info.IsDir() {
		return "", nil, usageError{fmt.Errorf("the kit is not at %s; it is not part of the repository: say where it is (make regress KIT=FOLDER)", r.Kit)}
	}
	bench = filepath.Join(r.Kit, r.Bench)
	if info, err := os.Stat(bench); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", nil, usageError{fmt.Errorf("no program at %s, so this kit has no such bench", bench)}
	}
	for _, s := range r.Sites {
		path := filepath.Join(r.Kit, s)
		if info, err := os.Stat(path); err != nil || info.IsDir() {
			return "", nil, usageError{fmt.Errorf("no site file at %s", path)}
		}
		sites = append(sites, path)
	}
	if info, err := os.Stat(journal); err != nil || !info.IsDir() {
		return "", nil, usageError{fmt.Errorf("no journal at %s: run this from the root of the repository", journal)}
	}
	return bench, sites, nil
}

// Run plays the days and compares.
func (r *runCmd) Run(ctx context.Context, c *cli) error {
	bench, sites, err := r.check(c.Journal)
	if err != nil {
		return err
	}
	earlier, err := regress.Read(c.Journal)
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := context.WithTimeoutCause(ctx, r.Limit, fmt.Errorf("over the limit of %v", r.Limit))
	defer cancel()
	var ended error
	bounded := func(args ...string) {
		if ctx.Err() != nil {
			return
		}
		fmt.Fprintf(os.Stderr, "%s %s\n", args[0], strings.Join(names(args), " "))
		if err := play(ctx, bench, args); err != nil {
			// What was played until now is compared all the same.
			ended = errors.Join(ended, fmt.Errorf("%s: %w", args[0], err))
		}
	}
	score := func(sites []string) {
		args := append([]string{"score"}, sites...)
		if !r.Full {
			args = append(args, "--quick")
		}
		bounded(append(args, "--why", r.Why)...)
	}
	score(sites)
	want := len(sites)
	if r.Full {
		for _, s := range sites {
			bounded(huntArgs(s, r.Days, r.Why)...)
		}
		want *= 2
	}
	played, err := since(c.Journal, earlier)
	if err != nil {
		return err
	}
	for range r.Again {
		doubtful := regress.Doubtful(regress.Compare(earlier, regress.Merge(played)))
		var again []string
		for _, s := range sites {
			if slices.Contains(doubtful, siteName(s)) {
				again = append(again, s)
			}
		}
		if len(again) == 0 || ended != nil {
			break
		}
		score(again)
		want += len(again)
		if played, err = since(c.Journal, earlier); err != nil {
			return err
		}
	}
	if len(played) < want {
		ended = errors.Join(ended, fmt.Errorf("the journal has %d new entries of %d", len(played), want))
	}
	return verdict(c.Output, regress.Compare(earlier, regress.Merge(played)), ended)
}

// since are the journal's scores and hunts that are not among earlier entries. Single
// runs, of other folders of the repository too, may turn up meanwhile: they may be of
// other seeds, or without processor time.
func since(journal string, earlier []regress.Entry) ([]regress.Entry, error) {
	all, err := regress.Read(journal)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(all, func(e regress.Entry) bool {
		return e.Verb == "run" || slices.ContainsFunc(earlier, func(o regress.Entry) bool { return o.ID == e.ID && o.Begun.Equal(e.Begun) })
	}), nil
}

// siteName is a site file's name without folder and ending; sites are called so.
func siteName(file string) string { return strings.TrimSuffix(filepath.Base(file), ".toml") }

// names are the site files among arguments, without their folders.
func names(args []string) []string {
	var all []string
	for _, a := range args {
		if strings.HasSuffix(a, ".toml") {
			all = append(all, siteName(a))
		}
	}
	return all
}

// play runs the bench and shows what it says. An interrupt reaches it, so that it
// ends its own processes.
func play(ctx context.Context, bench string, args []string) error {
	cmd := exec.CommandContext(ctx, bench, args...)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 20 * time.Second
	err := cmd.Run()
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

type compareCmd struct {
	Quick bool     `default:"true" negatable:"" help:"Quick scores; --no-quick: full ones."`
	Sites []string `arg:"" optional:"" help:"Names of sites; default: all."`
}

// Help shows examples.
func (compareCmd) Help() string {
	return "Examples:\n  micaspindle-regress compare\n  micaspindle-regress compare --no-quick --output json"
}

// Run compares the latest score of each site.
func (p *compareCmd) Run(c *cli) error {
	all, err := regress.Read(c.Journal)
	if err != nil {
		return usageError{err}
	}
	if len(all) == 0 {
		return usageError{fmt.Errorf("no entries at %s: run this from the root of the repository", c.Journal)}
	}
	earlier, now, err := regress.Latest(all, p.Quick, p.Sites)
	if err != nil {
		return usageError{err}
	}
	return verdict(c.Output, regress.Compare(earlier, now), nil)
}

// verdict prints the rows and turns them into an exit code.
func verdict(output string, rows []regress.Row, ended error) error {
	var err error
	if output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(rows)
	} else {
		err = table(os.Stdout, rows)
	}
	if ended != nil {
		return errors.Join(ended, err)
	}
	if n := regress.Failures(rows); n > 0 {
		return fmt.Errorf("%w: %d of %d figures forbid it", errMayNotLand, n, len(rows))
	}
	return err
}

// table shows a row a figure; a site's own stands above those of its days.
func table(out io.Writer, rows []regress.Row) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SITE\tDAY\tBEFORE\tNOW\tCHANGE\tNOISE\tVERDICT")
	for _, r := range rows {
		day, before, change, noise := r.Day, "-", "-", "-"
		if day == "" {
			day = "all"
		}
		if r.Runs > 0 {
			before, change = fmt.Sprintf("%.3f", r.Before), fmt.Sprintf("%+.3f", r.Now-r.Before)
			if r.Runs > 1 {
				noise = fmt.Sprintf("%.3f", r.Noise)
			}
		}
		says := r.Note
		if r.Failed != "" {
			says = "NO: " + r.Failed
		} else if says == "" {
			says = "ok"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%s\t%s\t%s\n", r.Site, day, before, r.Now, change, noise, says)
	}
	return w.Flush()
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
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "micaspindle-regress:", err)
	switch {
	case errors.Is(err, errMayNotLand):
		os.Exit(1)
	case errors.As(err, new(usageError)):
		os.Exit(2)
	}
	os.Exit(3)
}
