package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"micaspindle/internal/buildtool"
	"micaspindle/internal/client"
	"micaspindle/internal/identity"
	"micaspindle/internal/lab"
)

// buildHints are what a build tool is told, ready to copy.
func buildHints(self string, gates []string, h *lab.Hosted) string {
	scheme, flags, as := "grpc", "", ""
	if h != nil {
		scheme = "grpcs"
		flags = fmt.Sprintf(" --tls_certificate=%s --remote_header=\"authorization=Bearer $(cat %s)\"", h.Roots, h.TokenFile(lab.Builder))
		as = fmt.Sprintf(" --roots %s --token-file %s", h.Roots, h.TokenFile(lab.Builder))
	}
	return fmt.Sprintf(`Instances: "" is venues', "refunds" payments', "placements" placements-desk's. A build tool's flags:
  --remote_executor=%s://%s --remote_instance_name=refunds%s
A build of the project's own, the second time from the cache:
  %s build --gates %s --instance refunds%s
`, scheme, gates[0], flags, self, strings.Join(gates, ","), as)
}

type buildCmd struct {
	Gates     string        `required:"" placeholder:"HOST:PORT,..." env:"SPINDLE_GATES" help:"Addresses of gates."`
	Instance  string        `help:"Instance name: whose build it is."`
	Roots     string        `env:"SPINDLE_ROOTS" type:"path" help:"Certificates of the authorities to trust; without them the connection is in the clear."`
	Cert      string        `env:"SPINDLE_CERT" type:"path" help:"Your certificate and key in one file."`
	TokenFile string        `env:"SPINDLE_TOKEN_FILE" type:"path" help:"File that holds your token."`
	Name      string        `default:"sample" help:"Another name is another build: nothing of it is cached yet."`
	Sources   int           `default:"100" help:"How many files are compiled (1 to 50000); a link for each ten and a last action come to that."`
	Seconds   float64       `default:"0" help:"How long each action takes."`
	Limit     time.Duration `default:"10m" help:"When it is given up."`
	AtOnce    int           `default:"256" help:"How many actions are under way at a time (1 to 10000)."`
	Digest    string        `default:"sha256" enum:"sha256,blake3" help:"What digests are computed with."`
	Output    string        `default:"table" enum:"table,json" help:"How the result is printed."`
}

// Help shows examples.
func (buildCmd) Help() string {
	return "Examples:\n  micaspindle-devcluster build --gates 127.0.0.1:8980\n  micaspindle-devcluster build --gates 127.0.0.1:8980,127.0.0.1:8981 --instance refunds --sources 1000 --output json\n\n" +
		"Exit codes: 0 built right, 1 an action failed or the output is wrong, 2 wrong arguments."
}

// Run runs the sample build.
func (b *buildCmd) Run(ctx context.Context) error {
	if b.Sources < 1 || b.Sources > 50_000 || b.AtOnce < 1 || b.AtOnce > 10_000 || b.Seconds < 0 || b.Seconds > 3600 || b.Limit <= 0 {
		return usageError{errors.New("--sources must lie between 1 and 50000, --at-once between 1 and 10000, --seconds between 0 and 3600, --limit above 0")}
	}
	proof := identity.Proof{Roots: b.Roots, Cert: b.Cert, TokenFile: b.TokenFile}
	secure, token, err := proof.Load(func(n identity.Name) bool { return n.Kind == identity.Service })
	if err != nil {
		return usageError{err}
	}
	conn, err := buildtool.Dial(client.SplitAddresses(b.Gates), secure, token)
	if err != nil {
		return usageError{err}
	}
	defer conn.Close() //nolint:errcheck // the process ends
	ctx, cancel := context.WithTimeoutCause(ctx, b.Limit, fmt.Errorf("not done within %v", b.Limit))
	defer cancel()
	say := progress()
	tool := buildtool.New(conn, b.Instance)
	tool.AtOnce = b.AtOnce
	if b.Digest == "blake3" {
		tool.Function = repb.DigestFunction_BLAKE3
	}
	report, err := lab.Build(ctx, tool, b.Name, b.Sources, b.Seconds, say)
	if err != nil {
		return err
	}
	return printBuilds(b.Output, []lab.NamedReport{{Name: b.Name, Report: report}})
}

type demoBuildCmd struct {
	clusterFlags
	Gates      int     `default:"2" help:"How many gates (2 to 5)."`
	GateBinary string  `type:"path" help:"The gate's program; default: micaspindle-reapi beside this one."`
	Sources    int     `default:"100" help:"How many files are compiled."`
	Seconds    float64 `default:"0.2" help:"How long each action takes."`
	Output     string  `default:"table" enum:"table,json" help:"How the result is printed."`
}

// Help shows examples.
func (demoBuildCmd) Help() string {
	return "Examples:\n  micaspindle-devcluster demo-build\n  micaspindle-devcluster demo-build --gates 3 --identities --sources 300\n\n" +
		"Exit codes: 0 built right both times, 1 something failed, 2 wrong arguments."
}

// Run runs the demo.
func (d *demoBuildCmd) Run(ctx context.Context) error {
	if d.Gates < 2 || d.Sources < 1 || d.Sources > 2000 || d.Seconds < 0 || d.Seconds > 10 {
		return usageError{errors.New("--gates must lie between 2 and 5, --sources between 1 and 2000, --seconds between 0 and 10")}
	}
	say := progress()
	c, stop, err := d.start(ctx, gateFlags{Gates: d.Gates, GateBinary: d.GateBinary})
	if err != nil {
		return err
	}
	defer stop()
	say(fmt.Sprintf("%d controllers and %d gates are ready", d.Controllers, d.Gates))
	reports, err := c.DemoBuild(ctx, d.Sources, d.Seconds, say)
	if err != nil {
		return err
	}
	return printBuilds(d.Output, reports)
}

// buildView is a build as JSON.
type buildView struct {
	Name string `json:"name"`
	*buildtool.Report
	WaitP50 int64 `json:"wait_p50_ms"`
	WaitP99 int64 `json:"wait_p99_ms"`
	WaitMax int64 `json:"wait_max_ms"`
}

func printBuilds(output string, reports []lab.NamedReport) error {
	if output == "json" {
		var views []buildView
		for _, r := range reports {
			views = append(views, buildView{r.Name, r.Report, r.Report.Waits.ValueAtQuantile(50), r.Report.Waits.ValueAtQuantile(99), r.Report.Waits.Max()})
		}
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(views)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "BUILD\tACTIONS\tCACHED\tJOBS\tUP\tRETRIES\tWAIT P50\tP99\tLONGEST\tTOOK")
	for _, r := range reports {
		h := r.Report.Waits
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.1f kB\t%d\t%d ms\t%d ms\t%d ms\t%.2f s\n", r.Name, r.Report.Actions, r.Report.Cached, r.Report.Jobs,
			float64(r.Report.BytesUp)/1000, r.Report.Retries, h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max(), r.Report.Took.Seconds())
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		fmt.Printf("\nWaits of %s, from asking to having the result:\n", r.Name)
		bars(os.Stdout, r.Report.Waits)
		if r.Report.SlowestName != "" {
			fmt.Printf("The slowest was %s: micaspindlectl action %s\n", r.Report.Slowest, r.Report.SlowestName)
		}
	}
	return nil
}

// bars draws a histogram, each line up to twice as long a wait as the one above.
func bars(out io.Writer, h *hdrhistogram.Histogram) {
	counts := map[int]int64{}
	lowest, highest, most := 64, 0, int64(0)
	for _, b := range h.Distribution() {
		if b.Count == 0 {
			continue
		}
		at := 0
		for v := b.From; v > 1; v /= 2 {
			at++
		}
		counts[at] += b.Count
		lowest, highest, most = min(lowest, at), max(highest, at), max(most, counts[at])
	}
	for at := lowest; at <= highest; at++ {
		fmt.Fprintf(out, "%8d ms %6d %s\n", int64(1)<<(at+1), counts[at], strings.Repeat("#", int((counts[at]*50+most-1)/most)))
	}
}
