package devcluster

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// settleTime is the delay between the start of a cluster and a load, in which the state store's
// rate limiter recovers from the writes of the startup.
const settleTime = 1500 * time.Millisecond

// Throughput compares accepted submissions per second without and with authentication and audit
// logging, once limited by the state store's write rate and once by the controllers.
func (m *Measurement) Throughput(ctx context.Context, progress func(string)) ([]Comparison, error) {
	var comparisons []Comparison
	for _, load := range []struct {
		name     string
		writeRPS float64
		users    int
	}{{"accepted submissions, 100 changes a second", 100, 96}, {"accepted submissions, 1000 changes a second", 1000, 192}} {
		var rate, revisions [2][]float64
		for round := range m.Rounds {
			for i, authenticated := range []bool{false, true} {
				c, stop, err := m.startCluster(ctx, "throughput", m.Binary, authenticated, load.writeRPS)
				if err != nil {
					return nil, err
				}
				administrator, err := c.Client(Administrator)
				var n int
				time.Sleep(settleTime)
				before := c.stateRevision()
				if err == nil {
					n, err = submitIdleJobs(ctx, administrator, load.users, m.LoadDuration, &atomic.Int64{})
				}
				changes := c.stateRevision() - before
				stop()
				if err != nil {
					return nil, err
				}
				rate[i] = append(rate[i], float64(n)/m.LoadDuration.Seconds())
				revisions[i] = append(revisions[i], float64(changes)/float64(max(1, n)))
			}
			progress(fmt.Sprintf("%s: round %d of %d", load.name, round+1, m.Rounds))
		}
		comparisons = append(comparisons, compareMedians(load.name, "1/s", "at least 0.90", rate[0], rate[1]),
			compareMedians("revisions for each of them", "", "at most 1.00", revisions[0], revisions[1]))
	}
	return comparisons, nil
}
