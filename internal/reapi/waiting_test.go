package reapi

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/protocol"
)

// instantJobs is a fake of the controllers whose machines take no time: a submitted job has
// its results at once. Accepting and ending a job are one transaction each.
type instantJobs struct {
	scriptedJobs
	g       *FrontEnd
	changes *rate.Limiter
}

func (j *instantJobs) Submit(ctx context.Context, credential string, s *protocol.Submission) (jobStatus protocol.JobStatus, err error) {
	if err := j.changes.WaitN(ctx, 2); err != nil {
		return jobStatus, err
	}
	manifest, instance, _ := ParseImage(*s.Image)
	raw, err := j.g.store.Read(blobstore.Key{Space: "red", Digest: manifest}, maxTreeNode)
	if err != nil {
		return jobStatus, err
	}
	m, err := ParseManifest(raw)
	if err != nil {
		return jobStatus, err
	}
	go func() {
		for i := range m.Tasks {
			_, _ = j.g.RecordResult(context.Background(), instance, "red", &m.Tasks[i], &repb.ActionResult{}, false)
		}
	}()
	return jobStatus, nil
}

// perConnection is how many waiting calls a connection of the test carries.
const perConnection = 2000

// Command: GATE_THROUGHPUT=1 go test -run TestSmallActions -v ./internal/reapi
//
// TestSmallActions measures the delay that a front end adds to a small action; actions per
// second under a budget of transactions, in batches and not, in one run; and the memory of
// waiting actions, of the front end and its clients in one process.
func TestSmallActions(t *testing.T) {
	if os.Getenv("GATE_THROUGHPUT") == "" {
		t.Skip("a measurement; set GATE_THROUGHPUT=1")
	}
	run := func(b *build, action *repb.Digest) {
		s, err := repb.NewExecutionClient(b.conn).Execute(b.ctx, &repb.ExecuteRequest{ActionDigest: action})
		for err == nil {
			op, rerr := s.Recv()
			if rerr != nil || op.GetDone() {
				if rerr != nil && b.ctx.Err() == nil {
					t.Error(rerr)
				}
				return
			}
		}
		if b.ctx.Err() == nil {
			t.Error(err)
		}
	}
	instant := func(config Config, changes float64) *build {
		b, f, _ := startExecuting(t, config)
		f.jobs = &instantJobs{g: f, changes: rate.NewLimiter(rate.Limit(changes), 2)}
		return b.as("Bearer anna")
	}
	b := instant(oneTeam, 1e9)
	var delays []time.Duration
	for i := range 40 {
		a := b.action(fmt.Sprint("delay ", i))
		started := time.Now()
		run(b, a)
		delays = append(delays, time.Since(started))
	}
	slices.Sort(delays)
	t.Logf("added delay of one small action: p50 %s, longest %s, of which %s are the gathering", delays[20].Round(time.Millisecond),
		delays[39].Round(time.Millisecond), oneTeam.GatherFor)
	const changes, clients = 20, 400
	perSecond := func(most int) float64 {
		config := oneTeam
		config.GatherMost = most
		b := instant(config, changes)
		var done atomic.Int64
		var wg sync.WaitGroup
		started := time.Now()
		for w := range clients {
			wg.Go(func() {
				for i := 0; time.Since(started) < 6*time.Second; i++ {
					run(b, b.action(fmt.Sprint(most, w, i)))
					done.Add(1)
					if most == 1 && done.Load() > 60 {
						return // enough to see the rate
					}
				}
			})
		}
		for most == 1 && time.Since(started) < 6*time.Second {
			time.Sleep(50 * time.Millisecond)
		}
		n, took := done.Load(), time.Since(started).Seconds()
		if most > 1 {
			wg.Wait()
			n, took = done.Load(), time.Since(started).Seconds()
		}
		return float64(n) / took
	}
	one, gathered := perSecond(1), perSecond(256)
	t.Logf("at %d changes a second: %.1f actions a second with a job each, %.0f gathered: %.0f times as many", changes, one, gathered, gathered/one)
	for _, n := range []int{1000, 10_000} {
		b, _, _ := startExecuting(t, oneTeam)
		b = b.as("Bearer anna")
		actions := make([]*repb.Digest, n)
		for i := range actions {
			actions[i] = b.action(fmt.Sprint("wait ", i))
		}
		held := func() uint64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return m.HeapAlloc + m.StackInuse
		}
		var conns []*grpc.ClientConn
		for range (n + perConnection - 1) / perConnection {
			conn, err := grpc.NewClient(b.conn.Target(), grpc.WithTransportCredentials(insecure.NewCredentials()))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close() //nolint:errcheck // the test ends
			conns = append(conns, conn)
		}
		before, started := held(), time.Now()
		var open sync.WaitGroup
		for i, a := range actions {
			open.Go(func() {
				s, err := repb.NewExecutionClient(conns[i%len(conns)]).Execute(b.ctx, &repb.ExecuteRequest{ActionDigest: a})
				if err == nil {
					_, err = s.Recv()
				}
				if err != nil && b.ctx.Err() == nil {
					t.Error(err)
				}
			})
		}
		open.Wait()
		t.Logf("%d actions wait over %d connections, after %s: %.1f kB each, client and front end together", n, len(conns),
			time.Since(started).Round(time.Millisecond), float64(held()-before)/1000/float64(n))
	}
}
