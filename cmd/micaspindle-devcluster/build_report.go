package main

import (
	"fmt"
	"io"
	"math/bits"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"micaspindle/internal/buildtool"
	"micaspindle/internal/devcluster"
)

// buildView is the JSON form of a build's report.
type buildView struct {
	Name string `json:"name"`
	*buildtool.Report
	WaitP50 int64 `json:"wait_p50_ms"`
	WaitP99 int64 `json:"wait_p99_ms"`
	WaitMax int64 `json:"wait_max_ms"`
}

// buildViews converts reports to their JSON form.
func buildViews(reports []devcluster.NamedReport) []buildView {
	var views []buildView
	for _, r := range reports {
		waits := r.Report.WaitTimes
		views = append(views, buildView{r.Name, r.Report, waits.ValueAtQuantile(50), waits.ValueAtQuantile(99), waits.Max()})
	}
	return views
}

// printBuilds prints a table with one row per build, then a histogram of each build's wait
// times; or everything as JSON.
func printBuilds(output string, reports []devcluster.NamedReport) error {
	if output == outputJSON {
		return printJSON(buildViews(reports))
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "BUILD\tACTIONS\tCACHED\tJOBS\tUPLOADED\tRETRIES\tWAIT P50\tP99\tMAX\tTOOK")
	for _, r := range reports {
		h := r.Report.WaitTimes
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.1f kB\t%d\t%d ms\t%d ms\t%d ms\t%.2f s\n", r.Name, r.Report.Actions, r.Report.Cached, r.Report.Jobs,
			float64(r.Report.BytesUp)/1000, r.Report.Retries, h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max(), r.Report.Duration.Seconds())
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		fmt.Printf("\nWait times of the actions of %s, from request to result:\n", r.Name)
		printHistogram(os.Stdout, r.Report.WaitTimes)
		if r.Report.SlowestOperation != "" {
			fmt.Printf("The slowest action was %s: micaspindlectl action %s\n", r.Report.SlowestAction, r.Report.SlowestOperation)
		}
	}
	return nil
}

// histogramWidth is the length of the longest bar, in characters.
const histogramWidth = 50

// printHistogram draws a histogram of wait times. Its buckets are powers of two, each labelled
// with its upper bound in milliseconds.
func printHistogram(out io.Writer, h *hdrhistogram.Histogram) {
	counts := map[int]int64{} // by the binary logarithm of the wait
	lowest, highest, largest := 64, 0, int64(0)
	for _, bar := range h.Distribution() {
		if bar.Count == 0 {
			continue
		}
		exponent := max(0, bits.Len64(uint64(bar.From))-1)
		counts[exponent] += bar.Count
		lowest, highest = min(lowest, exponent), max(highest, exponent)
		largest = max(largest, counts[exponent])
	}
	for exponent := lowest; exponent <= highest; exponent++ {
		length := (counts[exponent]*histogramWidth + largest - 1) / largest
		fmt.Fprintf(out, "%8d ms %6d %s\n", int64(1)<<(exponent+1), counts[exponent], strings.Repeat("#", int(length)))
	}
}
