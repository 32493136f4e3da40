package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"micaspindle/internal/devcluster"
)

// demoCmd runs jobs on a cluster whose leader is killed.
type demoCmd struct {
	clusterFlags
	Output string `default:"table" enum:"table,json" help:"How the result is printed: table or json."`
}

// Help shows examples.
func (demoCmd) Help() string {
	return "Examples:\n  micaspindle-devcluster demo\n  micaspindle-devcluster demo --controllers 5 --output json\n\nExit codes: 0 all jobs completed, 1 failure, 2 wrong arguments."
}

// Run starts a cluster, runs the demo on it and prints the outcome.
func (d *demoCmd) Run(ctx context.Context) error {
	started := time.Now()
	report := newProgress()
	cluster, stop, err := d.start(ctx, frontendFlags{})
	if err != nil {
		return err
	}
	defer stop()
	report(fmt.Sprintf("%d controllers are ready", d.Controllers))
	administrator, err := cluster.Client(devcluster.Administrator)
	if err != nil {
		return err
	}
	result, err := cluster.Demo(ctx, administrator, report)
	if d.Output == outputJSON {
		return errors.Join(err, printJSON(result))
	}
	return errors.Join(err, printDemo(result, time.Since(started)))
}

// printDemo prints the jobs as a table, then a summary.
func printDemo(result *devcluster.DemoResult, took time.Duration) error {
	fmt.Println()
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "JOB\tCLASS\tURGENCY\tTASKS\tAFTER\tSTATE\tACCEPTED IN\tCOMPLETED IN")
	for _, j := range result.Jobs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d ms\t%.1f s\n", j.ID, j.Class, j.Urgency, j.Tasks, strings.Join(j.Dependencies, " "), j.State,
			j.AcceptedMS, float64(j.DoneMS)/1000)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("\n%d tasks ran on %d machines under %d controllers in %.0f s.\n", result.TasksDone, result.MachinesUsed, result.Controllers, took.Seconds())
	if result.Successor != "" {
		fmt.Printf("The leader %s was killed; %s became leader %.1f s later.\n", result.Killed, result.Successor, float64(result.LeaderlessMS)/1000)
	}
	fmt.Printf("The longest wait for an answer was %.1f s.\n", float64(result.LongestWaitMS)/1000)
	return nil
}
