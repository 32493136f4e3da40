package reapi

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/admission"
	"micaspindle/internal/blobstore"
	"micaspindle/internal/buildtool"
	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

// faultyGroup is a group of front ends that are killed and restarted during builds, and a fake
// cluster that executes their actions. At times, all controllers of the cluster are down, or
// their response to an accepted submission is lost. The machines lose attempts of tasks and
// run the tasks again; the result of a lost attempt is reported late or never. Each attempt
// produces a different output.
type faultyGroup struct {
	t        *testing.T
	ctx      context.Context
	addrs    []string
	dirs     []string
	mu       sync.Mutex
	rng      *rand.Rand
	servers  []*grpc.Server
	stores   []*blobstore.Store
	jobs     map[string]*faultyJob
	attempts int
	// downUntil is the end of the current outage of all controllers. outages counts these
	// outages, lostResponses the lost responses of controllers, and lostMachines the
	// machines that never report a result.
	downUntil                            time.Time
	outages, lostResponses, lostMachines int
	stopSweeps                           []context.CancelFunc
	conn                                 *grpc.ClientConn // from the machines to any front end
	wg                                   sync.WaitGroup
}

// faultyJob is a job of the fake cluster.
type faultyJob struct{ unfinished, tasks int }

// random returns a random number below n.
func (g *faultyGroup) random(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.IntN(n)
}

// Submit starts the tasks of a job; repeated submissions have no effect.
func (g *faultyGroup) Submit(_ context.Context, _ string, s *protocol.Submission) (jobStatus protocol.JobStatus, err error) {
	down, lost := g.unavailable(), g.random(8) == 0
	if down {
		return jobStatus, &client.Refusal{Status: 503}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if lost {
		g.lostResponses++
		defer func() { err = &client.Refusal{Status: 503} }()
	}
	if j := g.jobs[*s.ID]; j != nil {
		if j.unfinished == 0 {
			jobStatus.Status = protocol.StatusDone
		}
		return jobStatus, nil
	}
	g.jobs[*s.ID] = &faultyJob{int(*s.Tasks), int(*s.Tasks)}
	for i := range int(*s.Tasks) {
		g.wg.Go(func() { g.runTask(*s.ID, *s.Image, i) })
	}
	return jobStatus, nil
}

// unavailable reports whether all controllers are down. At random it begins such an outage.
func (g *faultyGroup) unavailable() bool {
	fail, duration := g.random(12) == 0, time.Duration(50+g.random(350))*time.Millisecond
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := time.Now(); fail && now.After(g.downUntil) {
		g.downUntil = now.Add(duration)
		g.outages++
	}
	return time.Now().Before(g.downUntil)
}

// Status returns the status of a job.
func (g *faultyGroup) Status(_ context.Context, _, job string) (protocol.JobStatus, error) {
	if g.unavailable() {
		return protocol.JobStatus{}, &client.Refusal{Status: 503}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	j := g.jobs[job]
	switch {
	case j == nil:
		return protocol.JobStatus{}, &client.Refusal{Status: 404}
	case j.unfinished == 0:
		return protocol.JobStatus{ID: job, Status: protocol.StatusDone}, nil
	}
	return protocol.JobStatus{ID: job, Status: protocol.StatusRunning}, nil
}

// Cancel does nothing, since no client abandons its actions in this test.
func (g *faultyGroup) Cancel(context.Context, string, string) error { return nil }

// runTask runs a task. At random, the first attempt is lost and the task runs again.
func (g *faultyGroup) runTask(job, image string, index int) {
	lost := g.random(4) == 0
	if lost {
		delay := time.Duration(g.random(120)) * time.Millisecond
		if g.random(3) > 0 {
			g.wg.Go(func() { g.runAttempt(image, index, "lost", delay) })
		} else {
			g.mu.Lock()
			g.lostMachines++
			g.mu.Unlock()
		}
		time.Sleep(time.Duration(g.random(60)) * time.Millisecond)
	}
	g.runAttempt(image, index, "kept", 0)
	g.mu.Lock()
	g.jobs[job].unfinished--
	g.mu.Unlock()
}

// runAttempt executes a task like a worker: it fetches the action, uploads an output and,
// after a delay, records the result. It retries each call, at any front end, until the call
// succeeds.
func (g *faultyGroup) runAttempt(image string, index int, label string, delay time.Duration) {
	ctx := metadata.AppendToOutgoingContext(g.ctx, WorkerMetadataKey, "1")
	cas, ac := repb.NewContentAddressableStorageClient(g.conn), repb.NewActionCacheClient(g.conn)
	manifest, instance, _ := ParseImage(image)
	retry := func(f func() error) bool {
		for g.ctx.Err() == nil {
			if f() == nil {
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	}
	var entry ManifestEntry
	if !retry(func() error {
		resp, err := cas.BatchReadBlobs(ctx, &repb.BatchReadBlobsRequest{InstanceName: instance, Digests: []*repb.Digest{digestToProto(manifest)}})
		if err != nil {
			return err
		}
		if err := status.ErrorProto(resp.Responses[0].Status); err != nil {
			return err
		}
		m, err := ParseManifest(resp.Responses[0].Data)
		if err == nil {
			entry = m.Tasks[index]
		}
		return err
	}) {
		return
	}
	time.Sleep(time.Duration(g.random(30)) * time.Millisecond)
	g.mu.Lock()
	g.attempts++
	output := fmt.Appendf(nil, "%s %s of %s %d %d", entry.Execution, label, image, index, g.attempts)
	g.mu.Unlock()
	out := digestToProto(blobstore.Of(output))
	retry(func() error {
		resp, err := cas.BatchUpdateBlobs(ctx, &repb.BatchUpdateBlobsRequest{InstanceName: instance,
			Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: out, Data: output}}})
		if err != nil {
			return err
		}
		return status.ErrorProto(resp.Responses[0].Status)
	})
	time.Sleep(delay)
	ctx = metadata.AppendToOutgoingContext(ctx, ExecutionMetadataKey, entry.Execution)
	retry(func() error {
		_, err := ac.UpdateActionResult(ctx, &repb.UpdateActionResultRequest{InstanceName: instance, ActionDigest: &repb.Digest{Hash: entry.Hash, SizeBytes: entry.Size},
			ActionResult: &repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "out", Digest: out}}}})
		return err
	})
}

// startFrontEnd starts a front end with the state that is stored in its directory.
func (g *faultyGroup) startFrontEnd(i int) {
	var l net.Listener
	var err error
	for range 100 { // the previous server may still hold the port
		if l, err = net.Listen("tcp", g.addrs[i]); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		g.t.Error(err)
		return
	}
	store, _, err := blobstore.Open(filepath.Join(g.dirs[i], "content"), largeStore)
	if err != nil {
		g.t.Error(err)
		return
	}
	results, err := blobstore.OpenResults(filepath.Join(g.dirs[i], "results"), 10_000)
	if err != nil {
		g.t.Error(err)
		return
	}
	others := map[string]*grpc.ClientConn{}
	for j, addr := range g.addrs {
		if j != i {
			conn, err := DialPeer(addr, insecure.NewCredentials())
			if err != nil {
				g.t.Error(err)
				return
			}
			others[addr] = conn
			g.t.Cleanup(func() { _ = conn.Close() })
		}
	}
	config := twoTeams
	config.MaxBlob, config.Class, config.SelfAddr = largeStore.MaxBlob, "build", g.addrs[i]
	config.Shares.Handoff = admission.HandoffLimits{Min: 16, MaxDuration: 100 * time.Millisecond}
	always := func(context.Context) bool { return true }
	config.IsPeer, config.IsWorker = always, always
	discard := slog.New(slog.DiscardHandler)
	f := New(config, store, results, allowAll{}, NewPeers(2, others, discard), g, discard)
	// Stop must wait for running calls, since no call of a killed process continues.
	server := f.Server(grpc.WaitForHandlers(true))
	sweepCtx, cancel := context.WithCancel(g.ctx)
	swept := make(chan struct{})
	go func() { defer close(swept); f.Sweep(sweepCtx, time.Minute) }()
	g.mu.Lock()
	g.stopSweeps[i] = func() { cancel(); <-swept }
	g.servers[i], g.stores[i] = server, store
	g.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

// killFrontEnd stops a front end; its directory keeps the stored state.
func (g *faultyGroup) killFrontEnd(i int) {
	g.servers[i].Stop()
	g.stopSweeps[i]()
	_ = g.stores[i].Close()
}

// Front ends are killed and restarted at random while several clients build overlapping sets
// of actions. Afterwards all clients must have the same result of each action, every front end
// must serve that result and its blobs, and another team must not see them.
//
// More seeds: KILL_SEEDS=200 go test -run TestRestartsUnderBuilds ./internal/reapi
func TestRestartsUnderBuilds(t *testing.T) {
	seeds := 6
	if text := os.Getenv("KILL_SEEDS"); text != "" {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			testRestarts(t, uint64(seed))
		})
	}
}

// testRestarts runs TestRestartsUnderBuilds with one seed.
func testRestarts(t *testing.T, seed uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	g := &faultyGroup{t: t, ctx: ctx, rng: rand.New(rand.NewPCG(seed, 3)), jobs: map[string]*faultyJob{}, servers: make([]*grpc.Server, 3), stores: make([]*blobstore.Store, 3), stopSweeps: make([]context.CancelFunc, 3)}
	for i := range 3 {
		// Each front end has its own IP address, so that no other socket can take its port
		// while it is down.
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 10+seed/250, seed%250+1, i+1))
		if err != nil {
			t.Fatal(err)
		}
		g.addrs, g.dirs = append(g.addrs, l.Addr().String()), append(g.dirs, t.TempDir())
		_ = l.Close()
	}
	for i := range g.addrs {
		g.startFrontEnd(i)
	}
	if t.Failed() {
		return
	}
	defer func() {
		for i := range g.servers {
			g.killFrontEnd(i)
		}
	}()
	var err error
	if g.conn, err = buildtool.Dial(g.addrs, nil, ""); err != nil {
		t.Fatal(err)
	}
	defer g.conn.Close() //nolint:errcheck // the test ends
	const actions = 40
	node := func(i int) buildtool.Node {
		return buildtool.Node{Name: strconv.Itoa(i), Script: "true", Sources: map[string][]byte{"s": fmt.Appendf(nil, "seed %d source %d", seed, i)}}
	}
	stop, killed := make(chan struct{}), make(chan int)
	go func() {
		kills := 0
		for {
			select {
			case <-stop:
				killed <- kills
				return
			case <-time.After(time.Duration(50+g.random(250)) * time.Millisecond):
			}
			i := g.random(3)
			g.killFrontEnd(i)
			kills++
			time.Sleep(time.Duration(g.random(150)) * time.Millisecond)
			g.startFrontEnd(i)
			// At most one front end may be down at a time, since blobs have two copies.
			time.Sleep(50 * time.Millisecond)
		}
	}()
	reports := make([]*buildtool.Report, 4)
	var wg sync.WaitGroup
	for c := range reports {
		var nodes []buildtool.Node
		for i := range actions {
			if g.random(2) == 0 {
				nodes = append(nodes, node(i))
			}
		}
		wg.Go(func() {
			conn, err := buildtool.Dial(g.addrs, nil, "")
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close() //nolint:errcheck // the build is over
			b := buildtool.New(conn, "")
			for len(nodes) > 0 { // in several small builds, so that the clients' builds overlap in time
				part := nodes[:min(len(nodes), 5)]
				nodes = nodes[len(part):]
				r, err := b.Build(ctx, part, nil)
				if err != nil {
					t.Errorf("seed %d: build of client %d failed: %v", seed, c, err)
					return
				}
				if reports[c] == nil {
					reports[c] = r
					continue
				}
				for name, d := range r.Outputs {
					reports[c].Outputs[name] = d
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	kills := <-killed
	g.wg.Wait()
	if t.Failed() {
		return
	}
	time.Sleep(1500 * time.Millisecond) // until the front ends have reconnected to each other
	outputs := map[string]*repb.Digest{}
	for c, r := range reports {
		if r == nil {
			continue
		}
		for name, d := range r.Outputs {
			if outputs[name] != nil && !proto.Equal(outputs[name], d) {
				t.Errorf("seed %d: client %d got a different result of action %s than another client", seed, c, name)
			}
			outputs[name] = d
		}
	}
	for i, addr := range g.addrs {
		conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.WaitForReady(true)))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close() //nolint:errcheck // the test ends
		b := buildtool.New(conn, "")
		var nodes []buildtool.Node
		for name := range outputs {
			n, _ := strconv.Atoi(name)
			nodes = append(nodes, node(n))
		}
		r, err := b.Build(ctx, nodes, nil)
		if err != nil {
			t.Fatal(err)
		}
		for name, d := range outputs {
			if !proto.Equal(r.Outputs[name], d) {
				t.Errorf("seed %d: front end %d has a different result of action %s than the clients got", seed, i, name)
			}
			if _, err := b.Read(ctx, d); err != nil {
				t.Errorf("seed %d: reading the output of action %s at front end %d: %v", seed, name, i, err)
			}
			resp, err := repb.NewContentAddressableStorageClient(conn).BatchReadBlobs(ctx, &repb.BatchReadBlobsRequest{InstanceName: "a/b", Digests: []*repb.Digest{d}})
			if err != nil || codes.Code(resp.Responses[0].Status.GetCode()) != codes.NotFound {
				t.Errorf("seed %d: read of the output of action %s by another team: response %v, error %v; want status NotFound", seed, name, resp, err)
			}
		}
		if r.Cached != len(nodes) {
			t.Errorf("seed %d: %d of %d actions were served from the cache of front end %d, want all", seed, r.Cached, len(nodes), i)
		}
	}
	t.Logf("%d front-end kills, %d outages of all controllers, %d lost controller responses, %d lost machines, %d actions of %d clients, %d attempts",
		kills, g.outages, g.lostResponses, g.lostMachines, len(outputs), len(reports), g.attempts)
}
