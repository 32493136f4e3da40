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

// instantJobs is a fake of the controllers that records the results of a job as soon as it is
// submitted. Accepting a job and ending it count as one transaction each.
type instantJobs struct {
	fakeJobs
	frontEnd     *FrontEnd
	transactions *rate.Limiter
}

func (j *instantJobs) Submit(ctx context.Context, credential string, s *protocol.Submission) (jobStatus protocol.JobStatus, err error) {
	if err := j.transactions.WaitN(ctx, 2); err != nil {
		return jobStatus, err
	}
	manifest, instance, _ := ParseImage(*s.Image)
	raw, err := j.frontEnd.store.Read(blobstore.Key{Space: "red", Digest: manifest}, maxMessageBlobBytes)
	if err != nil {
		return jobStatus, err
	}
	m, err := ParseManifest(raw)
	if err != nil {
		return jobStatus, err
	}
	go func() {
		for i := range m.Tasks {
			_, _ = j.frontEnd.RecordResult(context.Background(), instance, "red", &m.Tasks[i], &repb.ActionResult{}, false)
		}
	}()
	return jobStatus, nil
}

// callsPerConnection is the maximum number of waiting calls on one connection.
const callsPerConnection = 2000

// TestSmallActions measures the delay that a front end adds to a small action; the throughput
// of actions with and without batching when the rate of transactions is limited; and the memory
// that waiting actions take in a process with the front end and its clients.
//
// Command: GATE_THROUGHPUT=1 go test -run TestSmallActions -v ./internal/reapi
func TestSmallActions(t *testing.T) {
	if os.Getenv("GATE_THROUGHPUT") == "" {
		t.Skip("a measurement; set GATE_THROUGHPUT=1")
	}
	run := func(b *testClient, action *repb.Digest) {
		s, err := repb.NewExecutionClient(b.conn).Execute(b.ctx, &repb.ExecuteRequest{ActionDigest: action})
		for err == nil {
			op, recvErr := s.Recv()
			if recvErr != nil || op.GetDone() {
				if recvErr != nil && b.ctx.Err() == nil {
					t.Error(recvErr)
				}
				return
			}
		}
		if b.ctx.Err() == nil {
			t.Error(err)
		}
	}
	startInstant := func(config Config, transactions float64) *testClient {
		b, f, _ := startExecuting(t, config)
		f.jobs = &instantJobs{frontEnd: f, transactions: rate.NewLimiter(rate.Limit(transactions), 2)}
		return b.as("Bearer anna")
	}
	b := startInstant(twoTeams, 1e9)
	var delays []time.Duration
	for i := range 40 {
		a := b.uploadAction(fmt.Sprint("delay ", i))
		started := time.Now()
		run(b, a)
		delays = append(delays, time.Since(started))
	}
	slices.Sort(delays)
	t.Logf("added delay of one small action: p50 %s, max %s, of which batching takes %s", delays[20].Round(time.Millisecond),
		delays[39].Round(time.Millisecond), twoTeams.BatchDelay)
	const transactions, clients = 20, 400 // transactions are per second
	actionsPerSecond := func(maxActions int) float64 {
		config := twoTeams
		config.MaxBatchActions = maxActions
		b := startInstant(config, transactions)
		var done atomic.Int64
		var wg sync.WaitGroup
		started := time.Now()
		for w := range clients {
			wg.Go(func() {
				for i := 0; time.Since(started) < 6*time.Second; i++ {
					run(b, b.uploadAction(fmt.Sprint(maxActions, w, i)))
					done.Add(1)
					if maxActions == 1 && done.Load() > 60 {
						return // enough to measure the rate
					}
				}
			})
		}
		for maxActions == 1 && time.Since(started) < 6*time.Second {
			time.Sleep(50 * time.Millisecond)
		}
		n, took := done.Load(), time.Since(started).Seconds()
		if maxActions > 1 {
			wg.Wait()
			n, took = done.Load(), time.Since(started).Seconds()
		}
		return float64(n) / took
	}
	unbatched, batched := actionsPerSecond(1), actionsPerSecond(256)
	t.Logf("at %d transactions per second: %.1f actions per second with one action per job, %.0f with batching: %.0f times as many", transactions, unbatched, batched, batched/unbatched)
	for _, n := range []int{1000, 10_000} {
		b, _, _ := startExecuting(t, twoTeams)
		b = b.as("Bearer anna")
		actions := make([]*repb.Digest, n)
		for i := range actions {
			actions[i] = b.uploadAction(fmt.Sprint("wait ", i))
		}
		memory := func() uint64 {
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return m.HeapAlloc + m.StackInuse
		}
		var conns []*grpc.ClientConn
		for range (n + callsPerConnection - 1) / callsPerConnection {
			conn, err := grpc.NewClient(b.conn.Target(), grpc.WithTransportCredentials(insecure.NewCredentials()))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close() //nolint:errcheck // the test ends
			conns = append(conns, conn)
		}
		before, started := memory(), time.Now()
		var opened sync.WaitGroup
		for i, a := range actions {
			opened.Go(func() {
				s, err := repb.NewExecutionClient(conns[i%len(conns)]).Execute(b.ctx, &repb.ExecuteRequest{ActionDigest: a})
				if err == nil {
					_, err = s.Recv()
				}
				if err != nil && b.ctx.Err() == nil {
					t.Error(err)
				}
			})
		}
		opened.Wait()
		t.Logf("%d actions wait on %d connections, opened in %s: %.1f kB each for client and front end together", n, len(conns),
			time.Since(started).Round(time.Millisecond), float64(memory()-before)/1000/float64(n))
	}
}
