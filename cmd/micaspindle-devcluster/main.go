// Command micaspindle-devcluster runs a whole cluster on loopback: stand-ins of the state
// service, the cloud and the workers, and real controllers beside them.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/term"

	"micaspindle/internal/lab"
)

type cli struct {
	Demo demoCmd `cmd:"" help:"Run jobs on a cluster, kill its leader, and tell how long people waited."`
	Up   upCmd   `cmd:"" help:"Keep a cluster running until Ctrl-C."`

	Build     buildCmd     `cmd:"" help:"Run a build of small actions through gates."`
	DemoBuild demoBuildCmd `cmd:"" help:"Build on a cluster, kill a gate in the middle, and build again from the cache."`

	Measure measureCmd `cmd:"" help:"Measure what identities and audit cost, as ratios."`
}

type clusterFlags struct {
	Controllers int    `default:"3" help:"How many controllers (1 to 9)."`
	Binary      string `type:"path" help:"The controller's program; default: micaspindle beside this one."`
	Dir         string `type:"path" help:"Where settings and logs go; default: a new folder that is removed at the end."`
	LogLevel    string `default:"info" enum:"error,info,debug" help:"What the controllers log."`
	Policy      string `type:"path" help:"With --identities: the policy file to begin with; default: an administrator and the roles of deploy/policy.example.yaml."`
	Identities  bool   `help:"Ask who comes: TLS, certificates, tokens, a policy and the audit."`
	Machines    int    `default:"24" help:"How many machines there may be (1 to 200)."`
	Sockets     int    `default:"2000" help:"How many sockets a controller is told it may use (100 to 10000); with few, controllers share the machines' connections."`
}

// gateFlags say how many gates stand before the cluster.
type gateFlags struct {
	Gates      int    `default:"${gates}" help:"How many gates for build tools (0 to 5)."`
	GateBinary string `type:"path" help:"The gate's program; default: micaspindle-reapi beside this one."`
}

// usageError marks what the caller must mend; it ends the process with code 2.
type usageError struct{ error }

// start starts the cluster and returns what takes it down again.
func (f *clusterFlags) start(ctx context.Context, gates gateFlags) (*lab.Cluster, func(), error) {
	if gates.Gates < 0 || gates.Gates > 5 {
		return nil, nil, usageError{errors.New("--gates must lie between 0 and 5")}
	}
	gateBinary := ""
	if gates.Gates > 0 {
		var err error
		if gateBinary, err = lab.FindBinary(gates.GateBinary, "micaspindle-reapi"); err != nil {
			return nil, nil, usageError{err}
		}
	}
	if f.Controllers < 1 || f.Controllers > 9 {
		return nil, nil, usageError{errors.New("--controllers must lie between 1 and 9")}
	}
	if f.Machines < 1 || f.Machines > 200 {
		return nil, nil, usageError{errors.New("--machines must lie between 1 and 200")}
	}
	if f.Sockets < 100 || f.Sockets > 10_000 {
		return nil, nil, usageError{errors.New("--sockets must lie between 100 and 10000")}
	}
	binary, err := lab.FindBinary(f.Binary, "micaspindle")
	if err != nil {
		return nil, nil, usageError{err}
	}
	remove := func() {}
	if f.Dir == "" {
		if f.Dir, err = os.MkdirTemp("", "micaspindle-devcluster-"); err != nil {
			return nil, nil, err
		}
		remove = func() { _ = os.RemoveAll(f.Dir) }
	} else if err := os.MkdirAll(f.Dir, 0o700); err != nil {
		return nil, nil, usageError{err}
	}
	opt := lab.Options{Controllers: f.Controllers, Binary: binary, Dir: f.Dir, LogLevel: f.LogLevel, WriteRPS: 60, RPS: 400,
		Gates: gates.Gates, GateBinary: gateBinary, Machines: f.Machines, Sockets: f.Sockets}
	if f.Identities {
		if opt.Hosted, err = lab.Prepare(f.Dir, f.Controllers); err != nil {
			return nil, nil, err
		}
	}
	c, err := lab.Start(ctx, opt)
	if err != nil {
		remove()
		return nil, nil, err
	}
	ready, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := c.AwaitReady(ready); err != nil {
		c.Stop()
		return nil, nil, err // the logs stay
	}
	if f.Identities {
		if err := c.WritePolicy(ready, f.Policy); err != nil {
			c.Stop()
			return nil, nil, usageError{err}
		}
	}
	return c, func() { c.Stop(); remove() }, nil
}

type demoCmd struct {
	clusterFlags
	Output string `default:"table" enum:"table,json" help:"How the result is printed."`
}

// Help shows examples.
func (demoCmd) Help() string {
	return "Examples:\n  micaspindle-devcluster demo\n  micaspindle-devcluster demo --controllers 5 --output json\n\nExit codes: 0 all jobs done, 1 something failed, 2 wrong arguments."
}

// Run runs the demo.
func (d *demoCmd) Run(ctx context.Context) error {
	begun := time.Now()
	say := progress()
	c, stop, err := d.start(ctx, gateFlags{})
	if err != nil {
		return err
	}
	defer stop()
	say(fmt.Sprintf("%d controllers are ready", d.Controllers))
	users, err := c.Client(lab.Administrator)
	if err != nil {
		return err
	}
	res, err := c.Demo(ctx, users, say)
	if d.Output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return errors.Join(err, enc.Encode(res))
	}
	fmt.Println()
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tCLASS\tURGENCY\tTASKS\tAFTER\tSTATE\tACCEPTED IN\tOVER IN")
	for _, j := range res.Jobs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d ms\t%.1f s\n", j.ID, j.Class, j.Urgency, j.Tasks, strings.Join(j.After, " "), j.State,
			j.AcceptedMS, float64(j.DoneMS)/1000)
	}
	_ = w.Flush()
	fmt.Printf("\n%d tasks ran on %d machines under %d controllers in %.0f s.\n", res.TasksDone, res.MachinesUsed, res.Processes, time.Since(begun).Seconds())
	if res.Successor != "" {
		fmt.Printf("%s led and was killed; %s led %.1f s later.\n", res.Killed, res.Successor, float64(res.LeaderlessMS)/1000)
	}
	fmt.Printf("The longest that anybody waited for an answer was %.1f s.\n", float64(res.LongestWaitMS)/1000)
	return err
}

type upCmd struct {
	clusterFlags
	gateFlags
}

// Help shows examples.
func (upCmd) Help() string {
	return "Examples:\n  micaspindle-devcluster up\n  micaspindle-devcluster up --gates 2 --identities\n  micaspindle-devcluster up --controllers 5 --dir /tmp/cluster --log-level debug\n  micaspindle-devcluster up --machines 60 --sockets 120"
}

// Run keeps a cluster up until it is told to stop.
func (u *upCmd) Run(ctx context.Context) error {
	c, stop, err := u.start(ctx, u.gateFlags)
	if err != nil {
		return err
	}
	defer stop()
	addrs := strings.Join(c.Addrs(), ",")
	var operations []string
	for _, n := range c.Nodes() {
		operations = append(operations, n.Operations)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CONTROLLER\tUSERS AND WORKERS\tPROCESS\tLOG")
	for _, n := range c.Nodes() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", n.Label, n.Addr, n.Pid(), n.LogFile)
	}
	_ = w.Flush()
	if len(c.Gates()) > 0 {
		fmt.Fprintln(w, "\nGATE\tBUILD TOOLS\tPROCESS\tLOG")
		for _, g := range c.Gates() {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", g.Label, g.Addr, g.Pid(), g.LogFile)
		}
		_ = w.Flush()
	}
	ctl, self := "micaspindlectl", "micaspindle-devcluster"
	if path, err := os.Executable(); err == nil {
		ctl, self = filepath.Join(filepath.Dir(path), ctl), path
	}
	as := ""
	if h := c.Hosted(); h != nil {
		as = fmt.Sprintf("  export SPINDLE_ROOTS=%s\n  export SPINDLE_TOKEN_FILE=%s  # or of %s\n  %s whoami\n  %s policy show\n  %s audit list\n",
			h.Roots, h.TokenFile(lab.Administrator), strings.Join(h.Others(), ", "), ctl, ctl, ctl)
	}
	fmt.Printf(`
Teams: placements-desk, payments, venues. To try, in another terminal:
  export SPINDLE_CONTROLLERS=%s
%s  %s submit --team payments --class refund-batch --urgency high --tasks 8 --estimate 5s
  %s status job-ID --wait
  %s withdraw job-ID
  %s top --operations %s
  %s shares --operations %s
`, addrs, as, ctl, ctl, ctl, ctl, strings.Join(operations, ","), ctl, strings.Join(operations, ","))
	if gates := c.GateAddrs(); len(gates) > 0 {
		fmt.Print(buildHints(self, gates, c.Hosted()))
	}
	fmt.Println("Ctrl-C ends all of it.")
	ended := make(chan string, len(c.Nodes())+len(c.Gates()))
	for _, g := range c.Gates() {
		go func() {
			<-g.Exited()
			ended <- g.Label
		}()
	}
	for _, n := range c.Nodes() {
		go func() {
			<-n.Exited()
			ended <- n.Label
		}()
	}
	for {
		select {
		case <-ctx.Done():
			fmt.Println("\nstopping")
			return nil
		case label := <-ended:
			if ctx.Err() == nil {
				fmt.Printf("%s has ended; its log says why\n", label)
			}
		}
	}
}

type measureCmd struct {
	Binary  string        `type:"path" help:"The controller's program; default: micaspindle beside this one."`
	Against string        `type:"path" help:"Another version's program, for size, start and memory; default: none."`
	For     time.Duration `default:"5s" help:"How long each load runs."`
	Rounds  int           `default:"3" help:"How often; the medians count."`
	Output  string        `default:"table" enum:"table,json" help:"How the result is printed."`
}

// Help shows examples.
func (measureCmd) Help() string {
	return "Takes a few minutes. Only the ratios mean something, and only on a quiet machine.\n\nExample:\n  micaspindle-devcluster measure --against /tmp/micaspindle.before"
}

// Run measures.
func (m *measureCmd) Run(ctx context.Context) error {
	if m.Rounds < 1 || m.For < time.Second {
		return usageError{errors.New("--rounds must be at least 1 and --for at least 1s")}
	}
	binary, err := lab.FindBinary(m.Binary, "micaspindle")
	if err != nil {
		return usageError{err}
	}
	dir, err := os.MkdirTemp("", "micaspindle-devcluster-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
	mm := lab.Measurement{Binary: binary, Against: m.Against, Dir: dir, For: m.For, Rounds: m.Rounds}
	parts := []func(context.Context, func(string)) ([]lab.Figure, error){mm.Throughput, mm.Flood}
	if m.Against != "" {
		parts = append(parts, mm.Footprint)
	}
	say := progress()
	var all []lab.Figure
	for _, part := range parts {
		figures, err := part(ctx, say)
		if err != nil {
			return err
		}
		all = append(all, figures...)
	}
	if m.Output == "json" {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(all)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WHAT\tBEFORE\tAFTER\tUNIT\tRATIO\tAIM")
	for _, f := range all {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%s\t%.2f\t%s\n", f.What, f.Before, f.After, f.Unit, f.Ratio, f.Aim)
	}
	return w.Flush()
}

// progress tells how things are: on a terminal in one line that is written
// anew, elsewhere in a line each.
func progress() func(string) {
	begun := time.Now()
	terminal := term.IsTerminal(int(os.Stderr.Fd()))
	return func(text string) {
		text = fmt.Sprintf("%5.1f s  %s", time.Since(begun).Seconds(), text)
		if terminal && (strings.Contains(text, "queued") || strings.Contains(text, "actions done")) {
			fmt.Fprintf(os.Stderr, "\r\033[K%s", text)
			return
		}
		if terminal {
			fmt.Fprint(os.Stderr, "\r\033[K")
		}
		fmt.Fprintln(os.Stderr, text)
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	parser := kong.Must(&c, kong.Vars{"gates": "0"}, kong.Name("micaspindle-devcluster"), kong.Description("A cluster on loopback, with stand-ins of everything outside the controllers."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	k, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle-devcluster:", err)
		os.Exit(2)
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "micaspindle-devcluster:", err)
		if errors.As(err, new(usageError)) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
