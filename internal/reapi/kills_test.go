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

// killed is some gates that are killed and started again under a build, before a
// stand-in of the cluster: its controllers are killed too, now and then all at once,
// with answers lost to what they had accepted; its machines lose tasks, run them
// again, and tell late, or never, what the lost ones came to. No two attempts make the
// same output.
type killed struct {
	t      *testing.T
	ctx    context.Context
	addrs  []string
	dirs   []string
	mu     sync.Mutex
	rng    *rand.Rand
	live   []*grpc.Server
	stores []*blobstore.Store
	jobs   map[string]*killedJob
	runs   int
	// down is until when no controller answers; downs counts these times, lost the
	// answers that were lost, gone the machines that never told.
	down              time.Time
	downs, lost, gone int
	sweeps            []context.CancelFunc
	conn              *grpc.ClientConn // of machines, to any gate
	wg                sync.WaitGroup
}

type killedJob struct{ left, tasks int }

func (k *killed) random(n int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rng.IntN(n)
}

// Submit runs each task of a job that is not known yet.
func (k *killed) Submit(_ context.Context, _ string, s *protocol.Submission) (st protocol.JobStatus, err error) {
	away, lost := k.away(), k.random(8) == 0
	if away {
		return st, &client.Refusal{Status: 503}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if lost {
		k.lost++
		defer func() { err = &client.Refusal{Status: 503} }()
	}
	if j := k.jobs[*s.ID]; j != nil {
		if j.left == 0 {
			st.Status = protocol.StatusDone
		}
		return st, nil
	}
	k.jobs[*s.ID] = &killedJob{int(*s.Tasks), int(*s.Tasks)}
	for i := range int(*s.Tasks) {
		k.wg.Go(func() { k.machine(*s.ID, *s.Image, i) })
	}
	return st, nil
}

// away says whether no controller answers, and now and then kills them all.
func (k *killed) away() bool {
	kill, down := k.random(12) == 0, time.Duration(50+k.random(350))*time.Millisecond
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); kill && now.After(k.down) {
		k.down = now.Add(down)
		k.downs++
	}
	return time.Now().Before(k.down)
}

// Status tells how a job stands.
func (k *killed) Status(_ context.Context, _, job string) (protocol.JobStatus, error) {
	if k.away() {
		return protocol.JobStatus{}, &client.Refusal{Status: 503}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[job]
	switch {
	case j == nil:
		return protocol.JobStatus{}, &client.Refusal{Status: 404}
	case j.left == 0:
		return protocol.JobStatus{ID: job, Status: protocol.StatusDone}, nil
	}
	return protocol.JobStatus{ID: job, Status: protocol.StatusRunning}, nil
}

// Withdraw does nothing: no client of these goes for good.
func (k *killed) Withdraw(context.Context, string, string) error { return nil }

// machine runs a task, once or, when the first attempt is lost, again.
func (k *killed) machine(job, image string, index int) {
	again := k.random(4) == 0
	if again {
		late := time.Duration(k.random(120)) * time.Millisecond
		if k.random(3) > 0 {
			k.wg.Go(func() { k.attempt(image, index, "lost", late) })
		} else {
			k.mu.Lock()
			k.gone++
			k.mu.Unlock()
		}
		time.Sleep(time.Duration(k.random(60)) * time.Millisecond)
	}
	k.attempt(image, index, "kept", 0)
	k.mu.Lock()
	k.jobs[job].left--
	k.mu.Unlock()
}

// attempt does what a worker does, at whichever gate answers, until it is told.
func (k *killed) attempt(image string, index int, which string, late time.Duration) {
	ctx := metadata.AppendToOutgoingContext(k.ctx, WorkerMark, "1")
	cas, ac := repb.NewContentAddressableStorageClient(k.conn), repb.NewActionCacheClient(k.conn)
	manifest, instance, _ := ParseImage(image)
	persist := func(f func() error) bool {
		for k.ctx.Err() == nil {
			if f() == nil {
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	}
	var e ManifestEntry
	if !persist(func() error {
		resp, err := cas.BatchReadBlobs(ctx, &repb.BatchReadBlobsRequest{InstanceName: instance, Digests: []*repb.Digest{wire(manifest)}})
		if err != nil {
			return err
		}
		if err := status.ErrorProto(resp.Responses[0].Status); err != nil {
			return err
		}
		m, err := ParseManifest(resp.Responses[0].Data)
		if err == nil {
			e = m.Tasks[index]
		}
		return err
	}) {
		return
	}
	time.Sleep(time.Duration(k.random(30)) * time.Millisecond)
	k.mu.Lock()
	k.runs++
	output := fmt.Appendf(nil, "%s %s of %s %d %d", e.Execution, which, image, index, k.runs)
	k.mu.Unlock()
	out := wire(blobstore.Of(output))
	persist(func() error {
		resp, err := cas.BatchUpdateBlobs(ctx, &repb.BatchUpdateBlobsRequest{InstanceName: instance,
			Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: out, Data: output}}})
		if err != nil {
			return err
		}
		return status.ErrorProto(resp.Responses[0].Status)
	})
	time.Sleep(late)
	ctx = metadata.AppendToOutgoingContext(ctx, ExecutionMark, e.Execution)
	persist(func() error {
		_, err := ac.UpdateActionResult(ctx, &repb.UpdateActionResultRequest{InstanceName: instance, ActionDigest: &repb.Digest{Hash: e.Hash, SizeBytes: e.Size},
			ActionResult: &repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "out", Digest: out}}}})
		return err
	})
}

// begin starts a gate on what its folder holds.
func (k *killed) begin(i int) {
	var l net.Listener
	var err error
	for range 100 { // the port may still be held by the one before
		if l, err = net.Listen("tcp", k.addrs[i]); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		k.t.Error(err)
		return
	}
	store, _, err := blobstore.Open(filepath.Join(k.dirs[i], "content"), roomy)
	if err != nil {
		k.t.Error(err)
		return
	}
	results, err := blobstore.OpenResults(filepath.Join(k.dirs[i], "results"), 10_000)
	if err != nil {
		k.t.Error(err)
		return
	}
	others := map[string]*grpc.ClientConn{}
	for j, addr := range k.addrs {
		if j != i {
			conn, err := DialPeer(addr, insecure.NewCredentials())
			if err != nil {
				k.t.Error(err)
				return
			}
			others[addr] = conn
			k.t.Cleanup(func() { _ = conn.Close() })
		}
	}
	config := oneTeam
	config.MaxBlob, config.Class, config.Self = roomy.MaxBlob, "build", k.addrs[i]
	config.Shares.Ahead = admission.HandoffLimits{Min: 16, MaxDuration: 100 * time.Millisecond}
	believe := func(context.Context) bool { return true }
	config.IsPeer, config.IsWorker = believe, believe
	quiet := slog.New(slog.DiscardHandler)
	g := New(config, store, results, everyone{}, NewPeers(2, others, quiet), k, quiet)
	server := g.Server(grpc.WaitForHandlers(true)) // a process leaves no calls behind
	sweep, cancel := context.WithCancel(k.ctx)
	over := make(chan struct{})
	go func() { defer close(over); g.Sweep(sweep, time.Minute) }()
	k.mu.Lock()
	k.sweeps[i] = func() { cancel(); <-over }
	k.live[i], k.stores[i] = server, store
	k.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

func (k *killed) kill(i int) {
	k.live[i].Stop()
	k.sweeps[i]()
	_ = k.stores[i].Close()
}

// Gates are killed at random moments while several clients build overlapping things.
// Afterwards, by the public API only: every client was told the same result of the
// same action, it is the one on record at every gate, its blobs are there, and the
// other team sees none of it. More seeds: KILL_SEEDS=200 go test -run TestGatesThroughKills ./internal/reapi
func TestGatesThroughKills(t *testing.T) {
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
			throughKills(t, uint64(seed))
		})
	}
}

func throughKills(t *testing.T, seed uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	k := &killed{t: t, ctx: ctx, rng: rand.New(rand.NewPCG(seed, 3)), jobs: map[string]*killedJob{}, live: make([]*grpc.Server, 3), stores: make([]*blobstore.Store, 3), sweeps: make([]context.CancelFunc, 3)}
	for i := range 3 {
		// An address of its own, so that no connection is given the port of a gate
		// that is down.
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 10+seed/250, seed%250+1, i+1))
		if err != nil {
			t.Fatal(err)
		}
		k.addrs, k.dirs = append(k.addrs, l.Addr().String()), append(k.dirs, t.TempDir())
		_ = l.Close()
	}
	for i := range k.addrs {
		k.begin(i)
	}
	if t.Failed() {
		return
	}
	defer func() {
		for i := range k.live {
			k.kill(i)
		}
	}()
	var err error
	if k.conn, err = buildtool.Dial(k.addrs, nil, ""); err != nil {
		t.Fatal(err)
	}
	defer k.conn.Close() //nolint:errcheck // the test ends
	const actions = 40
	node := func(i int) buildtool.Node {
		return buildtool.Node{Name: strconv.Itoa(i), Script: "true", Sources: map[string][]byte{"s": fmt.Appendf(nil, "seed %d source %d", seed, i)}}
	}
	stop, over := make(chan struct{}), make(chan int)
	go func() {
		kills := 0
		for {
			select {
			case <-stop:
				over <- kills
				return
			case <-time.After(time.Duration(50+k.random(250)) * time.Millisecond):
			}
			i := k.random(3)
			k.kill(i)
			kills++
			time.Sleep(time.Duration(k.random(150)) * time.Millisecond)
			k.begin(i)
			time.Sleep(50 * time.Millisecond) // one at a time: copies are two
		}
	}()
	reports := make([]*buildtool.Report, 4)
	var wg sync.WaitGroup
	for c := range reports {
		var mine []buildtool.Node
		for i := range actions {
			if k.random(2) == 0 {
				mine = append(mine, node(i))
			}
		}
		wg.Go(func() {
			conn, err := buildtool.Dial(k.addrs, nil, "")
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close() //nolint:errcheck // the build is over
			b := buildtool.New(conn, "")
			for len(mine) > 0 { // in parts, so that builds overlap in time
				part := mine[:min(len(mine), 5)]
				mine = mine[len(part):]
				r, err := b.Build(ctx, part, nil)
				if err != nil {
					t.Errorf("seed %d: client %d: %v", seed, c, err)
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
	kills := <-over
	k.wg.Wait()
	if t.Failed() {
		return
	}
	time.Sleep(1500 * time.Millisecond) // until the gates reach each other again
	told := map[string]*repb.Digest{}
	for c, r := range reports {
		if r == nil {
			continue
		}
		for name, d := range r.Outputs {
			if told[name] != nil && !proto.Equal(told[name], d) {
				t.Errorf("seed %d: client %d was told another result of action %s", seed, c, name)
			}
			told[name] = d
		}
	}
	for i, addr := range k.addrs {
		conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDefaultCallOptions(grpc.WaitForReady(true)))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close() //nolint:errcheck // the test ends
		b := buildtool.New(conn, "")
		var nodes []buildtool.Node
		for name := range told {
			n, _ := strconv.Atoi(name)
			nodes = append(nodes, node(n))
		}
		r, err := b.Build(ctx, nodes, nil)
		if err != nil {
			t.Fatal(err)
		}
		for name, d := range told {
			if !proto.Equal(r.Outputs[name], d) {
				t.Errorf("seed %d: gate %d has another result of action %s on record than was told", seed, i, name)
			}
			if _, err := b.Read(ctx, d); err != nil {
				t.Errorf("seed %d: the output of action %s at gate %d: %v", seed, name, i, err)
			}
			resp, err := repb.NewContentAddressableStorageClient(conn).BatchReadBlobs(ctx, &repb.BatchReadBlobsRequest{InstanceName: "a/b", Digests: []*repb.Digest{d}})
			if err != nil || codes.Code(resp.Responses[0].Status.GetCode()) != codes.NotFound {
				t.Errorf("seed %d: the other team reads it: %v %v", seed, resp, err)
			}
		}
		if r.Cached != len(nodes) {
			t.Errorf("seed %d: %d of %d actions come from the cache of gate %d", seed, r.Cached, len(nodes), i)
		}
	}
	t.Logf("%d kills of gates, %d of all controllers, %d answers of theirs lost, %d machines gone for good, %d actions of %d clients, %d runs",
		kills, k.downs, k.lost, k.gone, len(told), len(reports), k.runs)
}
