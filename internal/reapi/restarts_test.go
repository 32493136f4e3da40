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

// faultyGroup is a group of front ends that are killed and restarted during builds, with a
// fake of the cluster: its controllers are at times all down, and their responses get lost
// after they accepted a job; its machines lose tasks, run them again, and report the
// results of lost attempts late or never. No two attempts produce the same output.
type faultyGroup struct {
	t      *testing.T
	ctx    context.Context
	addrs  []string
	dirs   []string
	mu     sync.Mutex
	rng    *rand.Rand
	live   []*grpc.Server
	stores []*blobstore.Store
	jobs   map[string]*faultyJob
	runs   int
	// down is until when no controller answers; downs counts these times, lost the lost
	// responses, gone the machines that never reported.
	down              time.Time
	downs, lost, gone int
	sweeps            []context.CancelFunc
	conn              *grpc.ClientConn // of machines, to any front end
	wg                sync.WaitGroup
}

type faultyJob struct{ left, tasks int }

func (k *faultyGroup) random(n int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rng.IntN(n)
}

// Submit runs the tasks of a job, once.
func (k *faultyGroup) Submit(_ context.Context, _ string, s *protocol.Submission) (jobStatus protocol.JobStatus, err error) {
	away, lost := k.away(), k.random(8) == 0
	if away {
		return jobStatus, &client.Refusal{Status: 503}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if lost {
		k.lost++
		defer func() { err = &client.Refusal{Status: 503} }()
	}
	if j := k.jobs[*s.ID]; j != nil {
		if j.left == 0 {
			jobStatus.Status = protocol.StatusDone
		}
		return jobStatus, nil
	}
	k.jobs[*s.ID] = &faultyJob{int(*s.Tasks), int(*s.Tasks)}
	for i := range int(*s.Tasks) {
		k.wg.Go(func() { k.machine(*s.ID, *s.Image, i) })
	}
	return jobStatus, nil
}

// away reports whether no controller answers, and at random takes all of them down.
func (k *faultyGroup) away() bool {
	kill, down := k.random(12) == 0, time.Duration(50+k.random(350))*time.Millisecond
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); kill && now.After(k.down) {
		k.down = now.Add(down)
		k.downs++
	}
	return time.Now().Before(k.down)
}

// Status returns the status of a job.
func (k *faultyGroup) Status(_ context.Context, _, job string) (protocol.JobStatus, error) {
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

// Withdraw does nothing: no client of this test leaves for good.
func (k *faultyGroup) Withdraw(context.Context, string, string) error { return nil }

// machine runs a task, and again if the first attempt is lost.
func (k *faultyGroup) machine(job, image string, index int) {
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

// attempt does what a worker does, at whichever front end answers, until the result is
// recorded.
func (k *faultyGroup) attempt(image string, index int, which string, late time.Duration) {
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
	var entry ManifestEntry
	if !persist(func() error {
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
	time.Sleep(time.Duration(k.random(30)) * time.Millisecond)
	k.mu.Lock()
	k.runs++
	output := fmt.Appendf(nil, "%s %s of %s %d %d", entry.Execution, which, image, index, k.runs)
	k.mu.Unlock()
	out := digestToProto(blobstore.Of(output))
	persist(func() error {
		resp, err := cas.BatchUpdateBlobs(ctx, &repb.BatchUpdateBlobsRequest{InstanceName: instance,
			Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: out, Data: output}}})
		if err != nil {
			return err
		}
		return status.ErrorProto(resp.Responses[0].Status)
	})
	time.Sleep(late)
	ctx = metadata.AppendToOutgoingContext(ctx, ExecutionMark, entry.Execution)
	persist(func() error {
		_, err := ac.UpdateActionResult(ctx, &repb.UpdateActionResultRequest{InstanceName: instance, ActionDigest: &repb.Digest{Hash: entry.Hash, SizeBytes: entry.Size},
			ActionResult: &repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "out", Digest: out}}}})
		return err
	})
}

// begin starts a front end with the state in its directory.
func (k *faultyGroup) begin(i int) {
	var l net.Listener
	var err error
	for range 100 { // the process before may still hold the port
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
	f := New(config, store, results, everyone{}, NewPeers(2, others, quiet), k, quiet)
	server := f.Server(grpc.WaitForHandlers(true)) // a killed process leaves no calls behind
	sweep, cancel := context.WithCancel(k.ctx)
	over := make(chan struct{})
	go func() { defer close(over); f.Sweep(sweep, time.Minute) }()
	k.mu.Lock()
	k.sweeps[i] = func() { cancel(); <-over }
	k.live[i], k.stores[i] = server, store
	k.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

func (k *faultyGroup) kill(i int) {
	k.live[i].Stop()
	k.sweeps[i]()
	_ = k.stores[i].Close()
}

// Front ends are killed at random moments while several clients build overlapping sets of
// actions. Afterwards, by the public API only: every client got the same result of the same
// action, every front end has that result, its blobs exist, and the other team sees none. More seeds: KILL_SEEDS=200 go test -run TestGatesThroughKills ./internal/reapi
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

func testRestarts(t *testing.T, seed uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	k := &faultyGroup{t: t, ctx: ctx, rng: rand.New(rand.NewPCG(seed, 3)), jobs: map[string]*faultyJob{}, live: make([]*grpc.Server, 3), stores: make([]*blobstore.Store, 3), sweeps: make([]context.CancelFunc, 3)}
	for i := range 3 {
		// An address of its own, so that no connection gets the port of a front end that
		// is down.
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
			for len(mine) > 0 { // in several builds, so that clients overlap in time
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
	time.Sleep(1500 * time.Millisecond) // until the front ends reach each other again
	outputs := map[string]*repb.Digest{}
	for c, r := range reports {
		if r == nil {
			continue
		}
		for name, d := range r.Outputs {
			if outputs[name] != nil && !proto.Equal(outputs[name], d) {
				t.Errorf("seed %d: client %d got another result of action %s", seed, c, name)
			}
			outputs[name] = d
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
				t.Errorf("seed %d: front end %d has another result of action %s than a client got", seed, i, name)
			}
			if _, err := b.Read(ctx, d); err != nil {
				t.Errorf("seed %d: the output of action %s at front end %d: %v", seed, name, i, err)
			}
			resp, err := repb.NewContentAddressableStorageClient(conn).BatchReadBlobs(ctx, &repb.BatchReadBlobsRequest{InstanceName: "a/b", Digests: []*repb.Digest{d}})
			if err != nil || codes.Code(resp.Responses[0].Status.GetCode()) != codes.NotFound {
				t.Errorf("seed %d: the other team reads it: %v %v", seed, resp, err)
			}
		}
		if r.Cached != len(nodes) {
			t.Errorf("seed %d: %d of %d actions come from the cache of front end %d", seed, r.Cached, len(nodes), i)
		}
	}
	t.Logf("%d kills of front ends, %d of all controllers, %d responses of theirs lost, %d machines gone for good, %d actions of %d clients, %d runs",
		kills, k.downs, k.lost, k.gone, len(outputs), len(reports), k.runs)
}
