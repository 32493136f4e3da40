package devcluster

import (
	"context"
	"os"
	"slices"
	"time"

	"micaspindle/internal/client"
)

// Figure is a comparison of two measured values. Both were measured in one run on one
// machine, so that their ratio is meaningful.
type Figure struct {
	What   string  `json:"what"`
	Unit   string  `json:"unit"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	Ratio  float64 `json:"ratio"`
	Aim    string  `json:"aim"`
}

// Measurement configures measurements.
type Measurement struct {
	// Binary is the controllers' program.
	Binary string
	// Against is the program of another version, to compare start, size and memory with.
	Against string
	Dir     string
	// For is how long each load runs, Rounds how many times.
	For    time.Duration
	Rounds int
}

// newFigure compares the medians of values.
func newFigure(what, unit, aim string, before, after []float64) Figure {
	b, a := median(before), median(after)
	return Figure{what, unit, b, a, a / b, aim}
}

// median returns the median of values, the upper one of an even number.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// Figures of a measurement's cluster.
const (
	measuredControllers = 3
	minStateRPS         = 600
	requestsPerWrite    = 4
)

// startCluster starts a cluster for a measurement, with or without identities, whose state
// store allows so many changes per second. The returned function stops the cluster and
// removes its directory.
func (m *Measurement) startCluster(ctx context.Context, name, binary string, hosted bool, writes float64) (*Cluster, func(), error) {
	dir, err := os.MkdirTemp(m.Dir, name+"-")
	if err != nil {
		return nil, nil, err
	}
	remove := func() { _ = os.RemoveAll(dir) }
	options := Options{
		Controllers: measuredControllers,
		Binary:      binary,
		Dir:         dir,
		LogLevel:    "error",
		WriteRPS:    writes,
		RPS:         max(minStateRPS, requestsPerWrite*writes),
	}
	if hosted {
		if options.Identities, err = Prepare(dir, measuredControllers); err != nil {
			remove()
			return nil, nil, err
		}
	}
	c, err := Start(ctx, options)
	if err != nil {
		remove()
		return nil, nil, err
	}
	stop := func() { c.Stop(); remove() }
	if err = c.AwaitReady(ctx); err == nil && hosted {
		err = c.WritePolicy(ctx, "")
	}
	var users *client.Client
	if err == nil {
		users, err = c.Client(Administrator)
	}
	if err == nil {
		_, err = users.Submit(ctx, idleJob(0))
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	return c, stop, nil
}
