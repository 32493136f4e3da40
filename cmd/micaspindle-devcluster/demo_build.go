package main

import (
	"context"
	"errors"
	"fmt"
)

// demoBuildCmd runs a sample build on a cluster and kills a front end during the build.
type demoBuildCmd struct {
	clusterFlags
	Frontends      int     `aliases:"gates" default:"2" help:"Number of Remote Execution API front ends (2 to 5)."`
	FrontendBinary string  `aliases:"gate-binary" type:"path" help:"Front end program; default: micaspindle-reapi in the directory of this program."`
	Sources        int     `default:"100" help:"Number of source files to compile (1 to 2000)."`
	Seconds        float64 `default:"0.2" help:"Duration of each action."`
	Output         string  `default:"table" enum:"table,json" help:"How the result is printed: table or json."`
}

// Help shows examples.
func (demoBuildCmd) Help() string {
	return "Examples:\n  micaspindle-devcluster demo-build\n  micaspindle-devcluster demo-build --frontends 3 --identities --sources 300\n\n" +
		"Exit codes: 0 success of both builds, 1 failure, 2 wrong arguments."
}

// Upper bounds of the flags, so that the demo stays short.
const (
	maxDemoSources       = 2000
	maxDemoActionSeconds = 10
)

// Run starts a cluster, runs the demo build on it and prints the reports.
func (d *demoBuildCmd) Run(ctx context.Context) error {
	if d.Frontends < 2 || d.Sources < 1 || d.Sources > maxDemoSources || d.Seconds < 0 || d.Seconds > maxDemoActionSeconds {
		return usageError{errors.New("--frontends must lie between 2 and 5, --sources between 1 and 2000, --seconds between 0 and 10")}
	}
	report := newProgress()
	cluster, stop, err := d.start(ctx, frontendFlags{Frontends: d.Frontends, FrontendBinary: d.FrontendBinary})
	if err != nil {
		return err
	}
	defer stop()
	report(fmt.Sprintf("%d controllers and %d front ends are ready", d.Controllers, d.Frontends))
	reports, err := cluster.DemoBuild(ctx, d.Sources, d.Seconds, report)
	if err != nil {
		return err
	}
	return printBuilds(d.Output, reports)
}
