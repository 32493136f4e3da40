package devcluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/client"
	"micaspindle/internal/fake/state"
	"micaspindle/internal/reapi"
)

// Outgoing connections have the source 127.0.0.1, so none can take the port of a stopped front end.
const frontEndAddr = "127.9.0.1:0"

// buildHarness is a cluster with a front end in the test's process, and a fake build tool.
type buildHarness struct {
	t        *testing.T
	ctx      context.Context
	cluster  *Cluster
	dir      string
	addr     string
	conn     *grpc.ClientConn
	mu       sync.Mutex
	server   *grpc.Server
	frontEnd *reapi.FrontEnd
	store    *blobstore.Store
	retries  atomic.Int64
	// instance is the instance name of the builds.
	instance string
}

func newBuildHarness(t *testing.T, ctx context.Context) *buildHarness {
	t.Helper()
	b := &buildHarness{t: t, ctx: ctx, dir: t.TempDir()}
	l, err := net.Listen("tcp", frontEndAddr)
	if err != nil {
		t.Fatal(err)
	}
	b.addr = l.Addr().String()
	if b.conn, err = grpc.NewClient("passthrough:///"+b.addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.WaitForReady(true)), grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second})); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.conn.Close() })
	// Machines have a connection of their own, so that waiting clients do not delay the fetching
	// of their actions.
	machineConn, err := grpc.NewClient("passthrough:///"+b.addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.WaitForReady(true)), grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = machineConn.Close() })
	b.cluster, err = Start(ctx, Options{Controllers: 3, Binary: controllerBinary(t), Dir: b.dir, LogLevel: "info", WriteRPS: 60, RPS: 400, FrontEndConn: machineConn})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.cluster.Stop)
	if err := b.cluster.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	b.startFrontEnd(l)
	t.Cleanup(b.stopFrontEnd)
	return b
}

// startFrontEnd starts a front end with the blobs and results of the last one. It listens on l or,
// if that is nil, on the last one's address.
func (b *buildHarness) startFrontEnd(l net.Listener) {
	b.t.Helper()
	var err error
	if l == nil {
		if l, err = net.Listen("tcp", b.addr); err != nil {
			b.t.Fatal(err)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.store, _, err = blobstore.Open(filepath.Join(b.dir, "content"), blobstore.Options{MaxBytes: 1 << 30, MaxBlob: 1 << 26, Retention: time.Minute}); err != nil {
		b.t.Fatal(err)
	}
	results, err := blobstore.OpenResults(filepath.Join(b.dir, "results"), 100_000)
	if err != nil {
		b.t.Fatal(err)
	}
	acceptAll := func(context.Context) bool { return true }
	b.frontEnd = reapi.New(reapi.Config{Instances: map[string]string{"": "venues", "refunds": "payments"}, Class: "build", MaxBlob: 1 << 26, BatchDelay: 50 * time.Millisecond, MaxBatchActions: 256, IsWorker: acceptAll},
		b.store, results, reapi.OpenAccess{}, nil, reapi.Controllers{Client: client.New(b.cluster.Addrs(), nil, "")}, slog.New(slog.DiscardHandler))
	b.server = b.frontEnd.Server(grpc.WaitForHandlers(true)) // calls end with the server, as with a killed process
	server := b.server
	go func() { _ = server.Serve(l) }()
	go b.frontEnd.Sweep(b.ctx, 2*time.Second)
}

// stopFrontEnd stops the front end at once, like a kill.
func (b *buildHarness) stopFrontEnd() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server.Stop()
	_ = b.store.Close()
}

// upload uploads blobs and retries while the front end is unavailable.
func (b *buildHarness) upload(blobs ...[]byte) error {
	req := &repb.BatchUpdateBlobsRequest{InstanceName: b.instance}
	for _, data := range blobs {
		d := blobstore.Of(data)
		req.Requests = append(req.Requests, &repb.BatchUpdateBlobsRequest_Request{Digest: &repb.Digest{Hash: d.Hash, SizeBytes: d.Size}, Data: data})
	}
	for {
		_, err := repb.NewContentAddressableStorageClient(b.conn).BatchUpdateBlobs(b.ctx, req)
		if status.Code(err) != codes.Unavailable {
			return err
		}
		b.retries.Add(1)
		time.Sleep(100 * time.Millisecond)
	}
}

func marshal(m proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return raw
}

func digestOf(raw []byte) *repb.Digest {
	d := blobstore.Of(raw)
	return &repb.Digest{Hash: d.Hash, SizeBytes: d.Size}
}

// action is a shell script over input files with one output, the file "out".
type action struct {
	script         string
	inputs         map[string]*repb.Digest
	timeout        time.Duration
	noCache        bool
	platform       map[string]string
	nodeProperties []string
}

// execute uploads and executes an action, with the retries of a build tool.
func (b *buildHarness) execute(a action) (*repb.ExecuteResponse, error) {
	root := &repb.Directory{}
	for _, name := range sortedKeys(a.inputs) {
		root.Files = append(root.Files, &repb.FileNode{Name: name, Digest: a.inputs[name]})
	}
	command := &repb.Command{Arguments: []string{"/bin/sh", "-c", a.script}, OutputPaths: []string{"out"}, OutputNodeProperties: a.nodeProperties,
		EnvironmentVariables: []*repb.Command_EnvironmentVariable{{Name: "PATH", Value: "/usr/bin:/bin"}}}
	act := &repb.Action{CommandDigest: digestOf(marshal(command)), InputRootDigest: digestOf(marshal(root)), DoNotCache: a.noCache, Platform: &repb.Platform{}}
	if a.timeout > 0 {
		act.Timeout = durationpb.New(a.timeout)
	}
	for _, name := range sortedKeys(a.platform) {
		act.Platform.Properties = append(act.Platform.Properties, &repb.Platform_Property{Name: name, Value: a.platform[name]})
	}
	if err := b.upload(marshal(root), marshal(command), marshal(act)); err != nil {
		return nil, err
	}
	for {
		resp, err := b.executeOnce(digestOf(marshal(act)))
		switch status.Code(err) {
		case codes.Unavailable, codes.Aborted, codes.Internal:
			if b.ctx.Err() != nil {
				return nil, err
			}
			b.retries.Add(1)
			time.Sleep(100 * time.Millisecond)
		default:
			return resp, err
		}
	}
}

func (b *buildHarness) executeOnce(d *repb.Digest) (*repb.ExecuteResponse, error) {
	stream, err := repb.NewExecutionClient(b.conn).Execute(b.ctx, &repb.ExecuteRequest{InstanceName: b.instance, ActionDigest: d})
	if err != nil {
		return nil, err
	}
	for {
		op, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		if !op.GetDone() {
			continue
		}
		resp := new(repb.ExecuteResponse)
		if err := op.GetResponse().UnmarshalTo(resp); err != nil {
			return nil, err
		}
		if st := resp.GetStatus(); st.GetCode() == int32(codes.Aborted) {
			return nil, status.FromProto(st).Err()
		}
		return resp, nil
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	for i := range out {
		for j := i; j > 0 && out[j] < out[j-1]; j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return out
}

func (b *buildHarness) readBlob(d *repb.Digest) string {
	resp, err := repb.NewContentAddressableStorageClient(b.conn).BatchReadBlobs(b.ctx, &repb.BatchReadBlobsRequest{Digests: []*repb.Digest{d}})
	if err != nil {
		b.t.Fatal(err)
	}
	return string(resp.Responses[0].Data)
}

// buildSample builds a graph of actions: each compiles one source, links ten compiled files, or, as the
// last action, packs all linked files. prefix is shell code that precedes each script but the last.
// buildSample returns the output of the last action and the number of cached actions.
func (b *buildHarness) buildSample(sources int, prefix string) (string, int) {
	cached := atomic.Int64{}
	run := func(a action) *repb.Digest {
		resp, err := b.execute(a)
		if err != nil || resp.GetResult().GetExitCode() != 0 || len(resp.GetResult().GetOutputFiles()) != 1 {
			b.t.Errorf("run an action: response %v, error %v; want exit code 0 and one output file", resp, err)
			return nil
		}
		if resp.GetCachedResult() {
			cached.Add(1)
		}
		return resp.Result.OutputFiles[0].Digest
	}
	objects := make([]*repb.Digest, sources)
	var wg sync.WaitGroup
	for i := range sources {
		wg.Go(func() {
			src := fmt.Appendf(nil, "source %d", i)
			if err := b.upload(src); err != nil {
				b.t.Error(err)
				return
			}
			objects[i] = run(action{script: prefix + "sed s/source/object/ <src >out", inputs: map[string]*repb.Digest{"src": digestOf(src)}})
		})
	}
	wg.Wait()
	if b.t.Failed() {
		return "", 0
	}
	libs := map[string]*repb.Digest{}
	var mu sync.Mutex
	for i := 0; i < sources; i += 10 {
		wg.Go(func() {
			in := map[string]*repb.Digest{}
			for k := i; k < min(i+10, sources); k++ {
				in[fmt.Sprintf("o%03d", k)] = objects[k]
			}
			d := run(action{script: prefix + "cat o* >out", inputs: in})
			mu.Lock()
			libs[fmt.Sprintf("l%03d", i)] = d
			mu.Unlock()
		})
	}
	wg.Wait()
	if b.t.Failed() {
		return "", 0
	}
	return b.readBlob(run(action{script: "cat l* | wc -c >out; cat l* >>out", inputs: libs})), int(cached.Load())
}

func expectedOutput(sources int) string {
	all := ""
	for i := range sources {
		all += fmt.Sprintf("object %d", i)
	}
	return fmt.Sprintf("%d\n%s", len(all), all)
}

// A build of many real actions takes few jobs and has the expected output; a second build finds
// every result in the cache.
func TestBuild(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	b := newBuildHarness(t, ctx)
	const sources = 200
	started := time.Now()
	got, cached := b.buildSample(sources, "")
	if got != expectedOutput(sources) || cached != 0 {
		t.Fatalf("first build: %d actions cached, output starts with %q; want 0 cached and the expected output", cached, got[:min(len(got), 100)])
	}
	jobs, actions := b.frontEnd.Submitted()
	t.Logf("%d actions as %d jobs in %s", actions, jobs, time.Since(started).Round(time.Millisecond))
	if actions != sources+sources/10+1 || jobs > 20 {
		t.Errorf("%d actions were submitted as %d jobs, want %d actions in at most 20 jobs", actions, jobs, sources+sources/10+1)
	}
	started = time.Now()
	got, cached = b.buildSample(sources, "")
	if got != expectedOutput(sources) || cached != sources+sources/10+1 {
		t.Errorf("second build: output starts with %q, %d of %d actions cached; want the expected output and all actions cached", got[:min(len(got), 100)], cached, sources+sources/10+1)
	}
	t.Logf("second build, from the cache, in %s", time.Since(started).Round(time.Millisecond))
	if n := b.frontEnd.DiscardedResults(); n != 0 {
		t.Errorf("%d results were discarded, want none", n)
	}
	resp, err := b.execute(action{script: "echo x >out; chmod 640 out; touch -d @1000000000 out", nodeProperties: []string{"mtime", "unix_mode"}})
	if err != nil || len(resp.GetResult().GetOutputFiles()) != 1 {
		t.Fatalf("an action with output properties: response %v, error %v; want one output file", resp, err)
	}
	if p := resp.Result.OutputFiles[0].GetNodeProperties(); p.GetUnixMode().GetValue() != 0o640 || p.GetMtime().GetSeconds() != 1_000_000_000 {
		t.Errorf("node properties of the output: got %v, want mode 0640 and an mtime of 1000000000 s", p)
	}
}

// Actions that fail, time out, reference missing blobs or have invalid names or properties return
// the right codes, and a failure is not cached.
func TestFailingActions(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	b := newBuildHarness(t, ctx)
	resp, err := b.execute(action{script: "echo told; echo wrong >&2; exit 3"})
	if err != nil || resp.Result.ExitCode != 3 || b.readBlob(resp.Result.StdoutDigest) != "told\n" || b.readBlob(resp.Result.StderrDigest) != "wrong\n" {
		t.Errorf("an action that exits with 3: response %v, error %v; want exit code 3 and the texts that it wrote", resp, err)
	}
	if again, err := b.execute(action{script: "echo told; echo wrong >&2; exit 3"}); err != nil || again.CachedResult {
		t.Errorf("a failed action, executed again: response %v, error %v; want no cached result", again, err)
	}
	resp, err = b.execute(action{script: "sleep 30 & sleep 30", timeout: time.Second})
	if err != nil || codes.Code(resp.GetStatus().GetCode()) != codes.DeadlineExceeded {
		t.Errorf("an action that exceeds its timeout: response %v, error %v; want DeadlineExceeded", resp, err)
	}
	first, err := b.execute(action{script: "date +%N >out", noCache: true})
	second, err2 := b.execute(action{script: "date +%N >out", noCache: true})
	if err != nil || err2 != nil || second.CachedResult || proto.Equal(first.Result.OutputFiles[0].Digest, second.Result.OutputFiles[0].Digest) {
		t.Errorf("an action with do_not_cache, executed twice: first response %v, error %v; second response %v, error %v; want no error, no cached result and two outputs", first, err, second, err2)
	}
	_, err = b.execute(action{script: "cat f", inputs: map[string]*repb.Digest{"f": digestOf([]byte("never uploaded"))}})
	if status.Code(err) != codes.FailedPrecondition {
		t.Errorf("an action with a missing input: got %v, want code FailedPrecondition", err)
	}
	missing := 0
	for _, d := range status.Convert(err).Details() {
		if pf, ok := d.(*errdetails.PreconditionFailure); ok {
			for _, v := range pf.Violations {
				if v.Type == "MISSING" && strings.HasPrefix(v.Subject, "blobs/"+blobstore.Of([]byte("never uploaded")).Hash) {
					missing++
				}
			}
		}
	}
	if missing != 1 {
		t.Errorf("%d violations name the missing blob, want 1; details: %v", missing, status.Convert(err).Details())
	}
	for name, tc := range map[string]struct {
		a    action
		want codes.Code
	}{
		"a parent directory":   {action{script: "true", inputs: map[string]*repb.Digest{"../up": digestOf(nil)}}, codes.InvalidArgument},
		"a path as a name":     {action{script: "true", inputs: map[string]*repb.Digest{"a/b": digestOf(nil)}}, codes.InvalidArgument},
		"an unknown property":  {action{script: "true", platform: map[string]string{"gpu": "1"}}, codes.FailedPrecondition},
		"unknown machine type": {action{script: "true", platform: map[string]string{"machine-type": "huge"}}, codes.FailedPrecondition},
		"too many CPUs":        {action{script: "true", platform: map[string]string{"cpus": "1000"}}, codes.FailedPrecondition},
		"a timeout of days":    {action{script: "true", timeout: 100 * time.Hour}, codes.InvalidArgument},
	} {
		if _, err := b.execute(tc.a); status.Code(err) != tc.want {
			t.Errorf("%s: got %v, want code %s", name, err, tc.want)
		}
	}
	stream, err := repb.NewExecutionClient(b.conn).WaitExecution(ctx, &repb.WaitExecutionRequest{Name: "operations/job-1/0/x/y/1/"})
	if err == nil {
		_, err = stream.Recv()
	}
	if status.Code(err) != codes.NotFound {
		t.Errorf("wait for an operation that does not exist: got %v, want code NotFound", err)
	}
}

// A build completes with the expected output although front ends, controllers and machines are
// killed, and a second build finds every result in the cache.
func TestBuildWithKills(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { testBuildWithKills(t, seed) })
	}
}

func testBuildWithKills(t *testing.T, seed uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	b := newBuildHarness(t, ctx)
	rng := rand.New(rand.NewPCG(seed, 9))
	stop, done := make(chan struct{}), make(chan struct{})
	frontEndKills, machineKills := 0, 0
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(300+rng.IntN(900)) * time.Millisecond):
			}
			switch rng.IntN(3) {
			case 0:
				b.stopFrontEnd()
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				b.startFrontEnd(nil)
				frontEndKills++
			case 1:
				node := b.cluster.Nodes()[i%3]
				b.cluster.KillNode(node)
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				if err := b.cluster.StartNode(node); err != nil {
					t.Error(err)
				}
			case 2:
				if b.cluster.PreemptMachine() {
					machineKills++
				}
			}
		}
	}()
	// Deferred too, so that the kills stop when the build fails.
	endKills := sync.OnceFunc(func() { close(stop); <-done })
	defer endKills()
	const sources = 120
	got, _ := b.buildSample(sources, "sleep 0.5; ")
	endKills()
	if got != expectedOutput(sources) {
		t.Fatalf("output of the build starts with %q, want the expected output of %d sources", got[:min(len(got), 100)], sources)
	}
	kills := 0
	for _, node := range b.cluster.Nodes() {
		kills += node.Kills
	}
	t.Logf("%d kills of controllers, %d of front ends, %d of machines, %d retries", kills, frontEndKills, machineKills, b.retries.Load())
	if again, cached := b.buildSample(sources, "sleep 0.5; "); again != got || cached != sources+sources/10+1 {
		t.Errorf("second build: output starts with %q, %d of %d actions cached; want the output of the first build and all actions cached", again[:min(len(again), 100)], cached, sources+sources/10+1)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.Error("the builds took longer than the time limit of 110 s")
	}
}

// An urgent job that arrives during a flood of small actions is not delayed by their queue, and
// jobs that no client waits for any more are cancelled.
func TestUrgentJobsDuringFlood(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	b := newBuildHarness(t, ctx)
	apiClient := client.New(b.cluster.Addrs(), nil, "")
	runRefundJob := func(id string) time.Duration {
		s := NewSubmission(id, "refund-batch", "payments", "high", 8, 4, 4, 1)
		started := time.Now()
		if _, err := apiClient.Submit(ctx, &s); err != nil {
			t.Fatal(err)
		}
		for {
			st, err := apiClient.Status(ctx, id)
			if err != nil {
				t.Fatal(err)
			}
			if st.Ended() {
				return time.Since(started)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	runRefundJob("job-1") // boots machines
	alone := runRefundJob("job-2")
	var wg sync.WaitGroup
	var completed atomic.Int64
	floodCtx, stopFlood := context.WithCancel(ctx)
	for i := range 1500 {
		wg.Go(func() {
			flooder := b.forRefunds(floodCtx)
			resp, err := flooder.execute(action{script: fmt.Sprintf("sleep 0.5; echo %d >out", i)})
			if err == nil && resp.GetResult().GetExitCode() == 0 {
				completed.Add(1)
			}
		})
	}
	for started := time.Now(); completed.Load() < 50; time.Sleep(20 * time.Millisecond) {
		if time.Since(started) > 30*time.Second {
			t.Fatalf("only %d actions completed within 30 s, want 50", completed.Load())
		}
	}
	before := completed.Load()
	duringFlood := runRefundJob("job-3")
	after := completed.Load()
	t.Logf("a refund job took %s alone and %s during the flood (ratio %.2f), while %d to %d of 1500 actions were complete", alone.Round(time.Millisecond),
		duringFlood.Round(time.Millisecond), duringFlood.Seconds()/alone.Seconds(), before, after)
	if after == 1500 || duringFlood > 3*alone+3*time.Second {
		t.Errorf("the refund job was delayed by the flood: it took %s, against %s alone, and %d of 1500 actions completed before it", duringFlood, alone, after)
	}
	stopFlood()
	wg.Wait()
	// No client waits for the remaining jobs of the flood, so they must be cancelled.
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		open := 0
		b.cluster.WithState(func(s *state.Service) {
			for key := range s.Items {
				if strings.HasSuffix(key, "/spec") {
					if _, ended := s.Items[strings.TrimSuffix(key, "spec")+"final"]; !ended {
						open++
					}
				}
			}
		})
		if open == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d jobs have not ended 30 s after their clients disconnected, want none", open)
		}
	}
}

// forRefunds returns a harness over the same cluster with another context and the instance name
// "refunds".
func (b *buildHarness) forRefunds(ctx context.Context) *buildHarness {
	return &buildHarness{t: b.t, ctx: ctx, cluster: b.cluster, conn: b.conn, instance: "refunds"}
}
