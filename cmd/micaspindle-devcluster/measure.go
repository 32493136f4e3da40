package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"micaspindle/internal/devcluster"
)

// measureCmd compares a cluster with authentication and audit logging to one without.
type measureCmd struct {
	Binary  string        `type:"path" help:"Controller program; default: micaspindle in the directory of this program."`
	Against string        `type:"path" help:"Controller program of another version, to compare size, start time and memory with."`
	For     time.Duration `default:"5s" help:"Duration of each load."`
	Rounds  int           `default:"3" help:"Number of rounds; the medians are reported."`
	Output  string        `default:"table" enum:"table,json" help:"How the result is printed: table or json."`
}

// Help shows examples.
func (measureCmd) Help() string {
	return "Takes a few minutes. Only the ratios are meaningful, and only on an idle machine.\n\nExample:\n  micaspindle-devcluster measure --against /tmp/micaspindle.before"
}

// Run runs the measurements and prints the comparisons.
func (m *measureCmd) Run(ctx context.Context) error {
	if m.Rounds < 1 || m.For < time.Second {
		return usageError{errors.New("--rounds must be at least 1 and --for at least 1s")}
	}
	binary, err := devcluster.FindBinary(m.Binary, controllerProgram)
	if err != nil {
		return usageError{err}
	}
	directory, err := temporaryDirectory()
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory) //nolint:errcheck // a temporary directory
	measurement := devcluster.Measurement{Binary: binary, Baseline: m.Against, Dir: directory, LoadDuration: m.For, Rounds: m.Rounds}
	comparisons, err := measureAll(ctx, &measurement)
	if err != nil {
		return err
	}
	if m.Output == outputJSON {
		return printJSON(comparisons)
	}
	return printComparisons(comparisons)
}

// measureAll runs all measurements. The program's footprint is measured only if there is another
// version to compare with.
func measureAll(ctx context.Context, measurement *devcluster.Measurement) ([]devcluster.Comparison, error) {
	measurements := []func(context.Context, func(string)) ([]devcluster.Comparison, error){measurement.Throughput, measurement.Flood}
	if measurement.Baseline != "" {
		measurements = append(measurements, measurement.Footprint)
	}
	report := newProgress()
	var all []devcluster.Comparison
	for _, measure := range measurements {
		comparisons, err := measure(ctx, report)
		if err != nil {
			return nil, err
		}
		all = append(all, comparisons...)
	}
	return all, nil
}

// printComparisons prints a table with one comparison per row.
func printComparisons(comparisons []devcluster.Comparison) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEASURE\tBEFORE\tAFTER\tUNIT\tRATIO\tTARGET")
	for _, c := range comparisons {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%s\t%.2f\t%s\n", c.Name, c.Before, c.After, c.Unit, c.Ratio, c.Target)
	}
	return w.Flush()
}
