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

// builder is a cluster with a front end, and a fake build tool.
type builder struct {
	t        *testing.T
	ctx      context.Context
	c        *Cluster
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

func newBuilder(t *testing.T, ctx context.Context) *builder {
	t.Helper()
	b := &builder{t: t, ctx: ctx, dir: t.TempDir()}
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
	// Machines have a connection of their own: waiting clients must not delay the fetching
	// of what they wait for.
	machines, err := grpc.NewClient("passthrough:///"+b.addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.WaitForReady(true)), grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = machines.Close() })
	b.c, err = Start(ctx, Options{Controllers: 3, Binary: controllerBinary(t), Dir: b.dir, LogLevel: "info", WriteRPS: 60, RPS: 400, FrontEndConn: machines})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.c.Stop)
	if err := b.c.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	b.startFrontEnd(l)
	t.Cleanup(b.stopFrontEnd)
	return b
}

// startFrontEnd starts a front end with the state that the last one has left.
func (b *builder) startFrontEnd(l net.Listener) {
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
	believe := func(context.Context) bool { return true }
	b.frontEnd = reapi.New(reapi.Config{Instances: map[string]string{"": "venues", "refunds": "payments"}, Class: "build", MaxBlob: 1 << 26, GatherFor: 50 * time.Millisecond, GatherMost: 256, IsWorker: believe},
		b.store, results, reapi.OpenAccess{}, nil, reapi.Controllers{Client: client.New(b.c.Addrs(), nil, "")}, slog.New(slog.DiscardHandler))
	b.server = b.frontEnd.Server(grpc.WaitForHandlers(true)) // a killed process leaves no calls behind
	server := b.server
	go func() { _ = server.Serve(l) }()
	go b.frontEnd.Sweep(b.ctx, 2*time.Second)
}

// stopFrontEnd stops the front end as a kill does.
func (b *builder) stopFrontEnd() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server.Stop()
	_ = b.store.Close()
}

// put uploads blobs, with retries until they are stored.
func (b *builder) put(blobs ...[]byte) error {
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

// action uploads an action: a command over input files, with one output "out".
type action struct {
	script  string
	inputs  map[string]*repb.Digest
	timeout time.Duration
	noCache bool
	props   map[string]string
	nodes   []string
}

// execute executes an action as build tools do, with retries of whatever fails.
func (b *builder) execute(a action) (*repb.ExecuteResponse, error) {
	root := &repb.Directory{}
	for _, name := range sortedKeys(a.inputs) {
		root.Files = append(root.Files, &repb.FileNode{Name: name, Digest: a.inputs[name]})
	}
	command := &repb.Command{Arguments: []string{"/bin/sh", "-c", a.script}, OutputPaths: []string{"out"}, OutputNodeProperties: a.nodes,
		EnvironmentVariables: []*repb.Command_EnvironmentVariable{{Name: "PATH", Value: "/usr/bin:/bin"}}}
	act := &repb.Action{CommandDigest: digestOf(marshal(command)), InputRootDigest: digestOf(marshal(root)), DoNotCache: a.noCache, Platform: &repb.Platform{}}
	if a.timeout > 0 {
		act.Timeout = durationpb.New(a.timeout)
	}
	for _, name := range sortedKeys(a.props) {
		act.Platform.Properties = append(act.Platform.Properties, &repb.Platform_Property{Name: name, Value: a.props[name]})
	}
	if err := b.put(marshal(root), marshal(command), marshal(act)); err != nil {
		return nil, err
	}
	for {
		resp, err := b.once(digestOf(marshal(act)))
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

func (b *builder) once(d *repb.Digest) (*repb.ExecuteResponse, error) {
	s, err := repb.NewExecutionClient(b.conn).Execute(b.ctx, &repb.ExecuteRequest{InstanceName: b.instance, ActionDigest: d})
	if err != nil {
		return nil, err
	}
	for {
		op, err := s.Recv()
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

func (b *builder) read(d *repb.Digest) string {
	resp, err := repb.NewContentAddressableStorageClient(b.conn).BatchReadBlobs(b.ctx, &repb.BatchReadBlobsRequest{Digests: []*repb.Digest{d}})
	if err != nil {
		b.t.Fatal(err)
	}
	return string(resp.Responses[0].Data)
}

// build builds a graph: sources are compiled, groups of ten linked, all packed. It returns
// the last output and how many actions came from the cache.
func (b *builder) build(sources int, pause string) (string, int) {
	cached := atomic.Int64{}
	run := func(a action) *repb.Digest {
		resp, err := b.execute(a)
		if err != nil || resp.GetResult().GetExitCode() != 0 || len(resp.GetResult().GetOutputFiles()) != 1 {
			b.t.Errorf("%v %v", resp, err)
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
			if err := b.put(src); err != nil {
				b.t.Error(err)
				return
			}
			objects[i] = run(action{script: pause + "sed s/source/object/ <src >out", inputs: map[string]*repb.Digest{"src": digestOf(src)}})
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
			d := run(action{script: pause + "cat o* >out", inputs: in})
			mu.Lock()
			libs[fmt.Sprintf("l%03d", i)] = d
			mu.Unlock()
		})
	}
	wg.Wait()
	if b.t.Failed() {
		return "", 0
	}
	return b.read(run(action{script: "cat l* | wc -c >out; cat l* >>out", inputs: libs})), int(cached.Load())
}

func wanted(sources int) string {
	all := ""
	for i := range sources {
		all += fmt.Sprintf("object %d", i)
	}
	return fmt.Sprintf("%d\n%s", len(all), all)
}

// A build of a few hundred real actions, first from clean and then all from the cache.
func TestBuild(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	b := newBuilder(t, ctx)
	const sources = 200
	started := time.Now()
	got, cached := b.build(sources, "")
	if got != wanted(sources) || cached != 0 {
		t.Fatalf("%d cached, %q", cached, got[:min(len(got), 100)])
	}
	jobs, actions := b.frontEnd.Submitted()
	t.Logf("%d actions as %d jobs in %s", actions, jobs, time.Since(started).Round(time.Millisecond))
	if actions != sources+sources/10+1 || jobs > 20 {
		t.Errorf("%d actions became %d jobs", actions, jobs)
	}
	started = time.Now()
	got, cached = b.build(sources, "")
	if got != wanted(sources) || cached != sources+sources/10+1 {
		t.Errorf("%d of %d from the cache", cached, sources+sources/10+1)
	}
	t.Logf("again, from the cache, in %s", time.Since(started).Round(time.Millisecond))
	if n := b.frontEnd.Discarded(); n != 0 {
		t.Errorf("%d results were discarded", n)
	}
	resp, err := b.execute(action{script: "echo x >out; chmod 640 out; touch -d @1000000000 out", nodes: []string{"mtime", "unix_mode"}})
	if err != nil || len(resp.GetResult().GetOutputFiles()) != 1 {
		t.Fatal(resp, err)
	}
	if p := resp.Result.OutputFiles[0].GetNodeProperties(); p.GetUnixMode().GetValue() != 0o640 || p.GetMtime().GetSeconds() != 1_000_000_000 {
		t.Errorf("the output's properties: %v", p)
	}
}

// The results of actions that fail, run too long, reference missing blobs or leave their
// input root.
func TestFailingActions(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	b := newBuilder(t, ctx)
	resp, err := b.execute(action{script: "echo told; echo wrong >&2; exit 3"})
	if err != nil || resp.Result.ExitCode != 3 || b.read(resp.Result.StdoutDigest) != "told\n" || b.read(resp.Result.StderrDigest) != "wrong\n" {
		t.Errorf("%v %v", resp, err)
	}
	if again, err := b.execute(action{script: "echo told; echo wrong >&2; exit 3"}); err != nil || again.CachedResult {
		t.Errorf("a failure was cached: %v %v", again, err)
	}
	resp, err = b.execute(action{script: "sleep 30 & sleep 30", timeout: time.Second})
	if err != nil || codes.Code(resp.GetStatus().GetCode()) != codes.DeadlineExceeded {
		t.Errorf("%v %v", resp, err)
	}
	one, err := b.execute(action{script: "date +%N >out", noCache: true})
	two, err2 := b.execute(action{script: "date +%N >out", noCache: true})
	if err != nil || err2 != nil || two.CachedResult || proto.Equal(one.Result.OutputFiles[0].Digest, two.Result.OutputFiles[0].Digest) {
		t.Errorf("what must not be cached was: %v %v %v %v", one, err, two, err2)
	}
	_, err = b.execute(action{script: "cat f", inputs: map[string]*repb.Digest{"f": digestOf([]byte("never uploaded"))}})
	if status.Code(err) != codes.FailedPrecondition {
		t.Errorf("%v", err)
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
		t.Errorf("the missing blob is not named: %v", status.Convert(err).Details())
	}
	for what, tc := range map[string]struct {
		a    action
		want codes.Code
	}{
		"a name that climbs":   {action{script: "true", inputs: map[string]*repb.Digest{"../up": digestOf(nil)}}, codes.InvalidArgument},
		"a path as a name":     {action{script: "true", inputs: map[string]*repb.Digest{"a/b": digestOf(nil)}}, codes.InvalidArgument},
		"an unknown property":  {action{script: "true", props: map[string]string{"gpu": "1"}}, codes.FailedPrecondition},
		"no such machine type": {action{script: "true", props: map[string]string{"machine-type": "huge"}}, codes.FailedPrecondition},
		"too many CPUs":        {action{script: "true", props: map[string]string{"cpus": "1000"}}, codes.FailedPrecondition},
		"a timeout of days":    {action{script: "true", timeout: 100 * time.Hour}, codes.InvalidArgument},
	} {
		if _, err := b.execute(tc.a); status.Code(err) != tc.want {
			t.Errorf("%s: %v, want %s", what, err, tc.want)
		}
	}
	w, err := repb.NewExecutionClient(b.conn).WaitExecution(ctx, &repb.WaitExecutionRequest{Name: "operations/job-1/0/x/y/1/"})
	if err == nil {
		_, err = w.Recv()
	}
	if status.Code(err) != codes.NotFound {
		t.Errorf("an operation that is none: %v", err)
	}
}

// Front ends, controllers and machines are killed during a build: its output is right, and
// a second build finds every result in the cache.
func TestBuildWithKills(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { buildThroughKills(t, seed) })
	}
}

func buildThroughKills(t *testing.T, seed uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	b := newBuilder(t, ctx)
	rng := rand.New(rand.NewPCG(seed, 9))
	stop, done := make(chan struct{}), make(chan struct{})
	frontEnds, machines := 0, 0
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
				frontEnds++
			case 1:
				node := b.c.Nodes()[i%3]
				b.c.Kill(node)
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				if err := b.c.Restart(node); err != nil {
					t.Error(err)
				}
			case 2:
				if b.c.PreemptMachine() {
					machines++
				}
			}
		}
	}()
	// Also when the build fails, or the kills would outlast the test.
	endKills := sync.OnceFunc(func() { close(stop); <-done })
	defer endKills()
	const sources = 120
	got, _ := b.build(sources, "sleep 0.5; ")
	endKills()
	if got != wanted(sources) {
		t.Fatalf("built %q", got[:min(len(got), 100)])
	}
	kills := 0
	for _, node := range b.c.Nodes() {
		kills += node.Kills
	}
	t.Logf("%d kills of controllers, %d of front ends, %d of machines, %d retries", kills, frontEnds, machines, b.retries.Load())
	if again, cached := b.build(sources, "sleep 0.5; "); again != got || cached != sources+sources/10+1 {
		t.Errorf("%d of %d from the cache", cached, sources+sources/10+1)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.Error("out of time")
	}
}

// Urgent jobs that arrive during a flood of small actions start ahead of them, about as soon
// as without them.
func TestUrgentJobsDuringFlood(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	b := newBuilder(t, ctx)
	users := client.New(b.c.Addrs(), nil, "")
	refund := func(id string) time.Duration {
		s := NewSubmission(id, "refund-batch", "payments", "high", 8, 4, 4, 1)
		started := time.Now()
		if _, err := users.Submit(ctx, &s); err != nil {
			t.Fatal(err)
		}
		for {
			st, err := users.Status(ctx, id)
			if err != nil {
				t.Fatal(err)
			}
			if st.Ended() {
				return time.Since(started)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	refund("job-1") // boots machines
	alone := refund("job-2")
	var wg sync.WaitGroup
	var ran atomic.Int64
	flood, end := context.WithCancel(ctx)
	for i := range 1500 {
		wg.Go(func() {
			f := b.shallow(flood)
			resp, err := f.execute(action{script: fmt.Sprintf("sleep 0.5; echo %d >out", i)})
			if err == nil && resp.GetResult().GetExitCode() == 0 {
				ran.Add(1)
			}
		})
	}
	for started := time.Now(); ran.Load() < 50; time.Sleep(20 * time.Millisecond) {
		if time.Since(started) > 30*time.Second {
			t.Fatalf("%d actions have run", ran.Load())
		}
	}
	before := ran.Load()
	beside := refund("job-3")
	after := ran.Load()
	t.Logf("refunds took %s alone and %s beside the flood (%.2f); %d to %d of 1500 actions had run", alone.Round(time.Millisecond),
		beside.Round(time.Millisecond), beside.Seconds()/alone.Seconds(), before, after)
	if after == 1500 || beside > 3*alone+3*time.Second {
		t.Errorf("refund work waited behind a flood of builds")
	}
	end()
	wg.Wait()
	// Nobody waits for the flood any more: its remaining jobs are withdrawn.
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		open := 0
		b.c.State(func(s *state.Service) {
			for key := range s.Items {
				if strings.HasSuffix(key, "/spec") {
					if _, over := s.Items[strings.TrimSuffix(key, "spec")+"final"]; !over {
						open++
					}
				}
			}
		})
		if open == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d jobs are still open", open)
		}
	}
}

// shallow returns the builder with another context, for the team of the refunds.
func (b *builder) shallow(ctx context.Context) *builder {
	return &builder{t: b.t, ctx: ctx, c: b.c, conn: b.conn, instance: "refunds"}
}
