package devcluster

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// settleTime is how long a cluster runs before a load: its first writes have used some of
// the state store's budget.
const settleTime = 1500 * time.Millisecond

// Throughput compares accepted submissions per second without and with identities and
// audit, once limited by the state store's writes and once by the controllers.
func (m *Measurement) Throughput(ctx context.Context, say func(string)) ([]Figure, error) {
	var out []Figure
	for _, load := range []struct {
		what   string
		writes float64
		users  int
	}{{"accepted submissions, 100 changes a second", 100, 96}, {"accepted submissions, 1000 changes a second", 1000, 192}} {
		var rate, txns [2][]float64
		for round := range m.Rounds {
			for i, hosted := range []bool{false, true} {
				c, stop, err := m.startCluster(ctx, "throughput", m.Binary, hosted, load.writes)
				if err != nil {
					return nil, err
				}
				users, err := c.Client(Administrator)
				var n int
				time.Sleep(settleTime)
				before := c.changes()
				if err == nil {
					n, err = submitIdleJobs(ctx, users, load.users, m.For, &atomic.Int64{})
				}
				changes := c.changes() - before
				stop()
				if err != nil {
					return nil, err
				}
				rate[i] = append(rate[i], float64(n)/m.For.Seconds())
				txns[i] = append(txns[i], float64(changes)/float64(max(1, n)))
			}
			say(fmt.Sprintf("%s: round %d of %d", load.what, round+1, m.Rounds))
		}
		out = append(out, newFigure(load.what, "1/s", "at least 0.90", rate[0], rate[1]),
			newFigure("revisions for each of them", "", "at most 1.00", txns[0], txns[1]))
	}
	return out, nil
}
