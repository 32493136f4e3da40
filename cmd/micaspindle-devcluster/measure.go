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

// measureCmd compares a cluster with authentication and audit to one without.
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

// Run measures.
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
	measurement := devcluster.Measurement{Binary: binary, Against: m.Against, Dir: directory, For: m.For, Rounds: m.Rounds}
	figures, err := measureAll(ctx, &measurement)
	if err != nil {
		return err
	}
	if m.Output == outputJSON {
		return printJSON(figures)
	}
	return printFigures(figures)
}

// measureAll runs every part of the measurement, that of the program's footprint only if there
// is another version to compare with.
func measureAll(ctx context.Context, measurement *devcluster.Measurement) ([]devcluster.Figure, error) {
	parts := []func(context.Context, func(string)) ([]devcluster.Figure, error){measurement.Throughput, measurement.Flood}
	if measurement.Against != "" {
		parts = append(parts, measurement.Footprint)
	}
	report := progress()
	var all []devcluster.Figure
	for _, part := range parts {
		figures, err := part(ctx, report)
		if err != nil {
			return nil, err
		}
		all = append(all, figures...)
	}
	return all, nil
}

// printFigures shows one figure a row.
func printFigures(figures []devcluster.Figure) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "MEASURE\tBEFORE\tAFTER\tUNIT\tRATIO\tTARGET")
	for _, f := range figures {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%s\t%.2f\t%s\n", f.What, f.Before, f.After, f.Unit, f.Ratio, f.Aim)
	}
	return w.Flush()
}
