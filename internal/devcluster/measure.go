package devcluster

import (
	"context"
	"os"
	"slices"
	"time"

	"micaspindle/internal/client"
)

// Comparison compares two values that were measured in the same run on the same machine, so that
// their ratio is meaningful.
type Comparison struct {
	Name   string  `json:"what"`
	Unit   string  `json:"unit"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	Ratio  float64 `json:"ratio"`
	Target string  `json:"aim"`
}

// Measurement configures the measurements.
type Measurement struct {
	// Binary is the path of the controllers' executable.
	Binary string
	// Baseline is the path of another version of the controllers' executable, which Footprint
	// compares with Binary.
	Baseline string
	Dir      string
	// LoadDuration is the duration of each load, and Rounds the number of repetitions.
	LoadDuration time.Duration
	Rounds       int
}

// compareMedians returns a comparison of the medians of two lists of values.
func compareMedians(name, unit, target string, before, after []float64) Comparison {
	b, a := median(before), median(after)
	return Comparison{name, unit, b, a, a / b, target}
}

// median returns the median of values. If their number is even, it returns the larger of the two
// middle values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// Options of the clusters for measurements.
const (
	measuredControllers = 3
	minStateRPS         = 600
	requestsPerWrite    = 4
)

// startCluster starts a cluster for a measurement, with authentication if authenticated is set,
// and submits the first idle job. writeRPS is the state store's limit on writes per second. The
// returned function stops the cluster and removes its directory.
func (m *Measurement) startCluster(ctx context.Context, name, binary string, authenticated bool, writeRPS float64) (*Cluster, func(), error) {
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
		WriteRPS:    writeRPS,
		RPS:         max(minStateRPS, requestsPerWrite*writeRPS),
	}
	if authenticated {
		if options.Identities, err = PrepareIdentities(dir, measuredControllers); err != nil {
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
	if err = c.AwaitReady(ctx); err == nil && authenticated {
		err = c.WritePolicy(ctx, "")
	}
	var administrator *client.Client
	if err == nil {
		administrator, err = c.Client(Administrator)
	}
	if err == nil {
		_, err = administrator.Submit(ctx, idleJob(0))
	}
	if err != nil {
		stop()
		return nil, nil, err
	}
	return c, stop, nil
}
