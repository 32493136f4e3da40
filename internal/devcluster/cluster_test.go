package devcluster

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/buildtool"
	"micaspindle/internal/client"
	"micaspindle/internal/fake/agent"
	"micaspindle/internal/identity"
	"micaspindle/internal/overview"
)

// controllerBinary returns the path of the controller program, which it builds once for all tests.
func controllerBinary(t *testing.T) string {
	t.Helper()
	return buildProgram(t, "micaspindle", "-ldflags=-linkmode=external")
}

// builtPrograms holds the paths of the programs that tests have built, by program name.
var builtPrograms struct {
	mu    sync.Mutex
	dir   string
	paths map[string]string
}

// buildProgram returns the path of a program of the project, which it builds unless another test
// has done so.
func buildProgram(t *testing.T, name string, flags ...string) string {
	t.Helper()
	builtPrograms.mu.Lock()
	defer builtPrograms.mu.Unlock()
	if path, ok := builtPrograms.paths[name]; ok {
		return path
	}
	path := filepath.Join(builtPrograms.dir, name)
	out, err := exec.Command("go", append(append([]string{"build"}, flags...), "-o", path, "micaspindle/cmd/"+name)...).CombinedOutput()
	if err != nil {
		t.Fatalf("build %s: %v\n%s", name, err, out)
	}
	builtPrograms.paths[name] = path
	return path
}

// maxParallelClusters limits the clusters of real processes that run in parallel, unless -parallel
// is given, so that leases are renewed in time. A test that restarts a front end on its old
// address, or compares times, is not parallel.
const maxParallelClusters = 3

func TestMain(m *testing.M) {
	flag.Parse()
	parallelSet := false
	flag.Visit(func(f *flag.Flag) { parallelSet = parallelSet || f.Name == "test.parallel" })
	if !parallelSet {
		if err := flag.Set("test.parallel", strconv.Itoa(maxParallelClusters)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	dir, err := os.MkdirTemp("", "micaspindle-lab-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	builtPrograms.dir, builtPrograms.paths = dir, map[string]string{}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// All jobs of the demo complete although the cluster leader is killed, and Stop ends all processes.
func TestDemo(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	c, err := Start(ctx, Options{Controllers: 3, Binary: controllerBinary(t), Dir: t.TempDir(), LogLevel: "info", WriteRPS: 60, RPS: 400})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	result, err := c.Demo(ctx, client.New(c.Addrs(), nil, ""), func(text string) { t.Log(text) })
	if err != nil {
		t.Fatal(err)
	}
	tasks := 0
	for _, job := range result.Jobs {
		tasks += job.Tasks
	}
	if result.TasksDone != tasks || result.Killed == "" || result.Successor == "" || result.Successor == result.Killed {
		t.Errorf("%d of %d tasks are done, killed leader %q, successor %q; want all tasks and two different leaders", result.TasksDone, tasks, result.Killed, result.Successor)
	}
	pids := []int{}
	for _, node := range c.Nodes() {
		pids = append(pids, node.Pid())
	}
	c.Stop()
	for i, node := range c.Nodes() {
		select {
		case <-node.Exited():
		default:
			t.Errorf("controller process %d is still running after Stop", pids[i])
		}
	}
}

// awaitEnd waits until a job has ended.
func awaitEnd(ctx context.Context, t *testing.T, apiClient *client.Client, id string) {
	t.Helper()
	for {
		st, err := apiClient.Status(ctx, id)
		if err != nil {
			t.Fatal(err)
		}
		if st.Ended() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// In a rolling restart, each controller hands its partition over to the standby and exits with
// code 0, and no task is started twice.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	c, err := Start(ctx, Options{Controllers: 3, Binary: controllerBinary(t), Dir: t.TempDir(), LogLevel: "info", WriteRPS: 60, RPS: 400})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	apiClient := client.New(c.Addrs(), nil, "")
	var jobs []string
	for i, team := range []string{"payments", "venues", "payments"} {
		s := NewSubmission(fmt.Sprint("job-", i+1), "refund-batch", team, "high", 8, 2, 4, 14)
		if _, err := apiClient.Submit(ctx, &s); err != nil {
			t.Fatal(err)
		}
		jobs = append(jobs, *s.ID)
	}
	countInLog := func(node *Node, text string) int {
		log, err := os.ReadFile(node.LogFile)
		if err != nil {
			t.Fatal(err)
		}
		return strings.Count(string(log), text)
	}
	warmTakeovers := func() (n int) {
		for _, node := range c.Nodes() {
			n += countInLog(node, "warm=true")
		}
		return n
	}
	for _, node := range c.Nodes() {
		time.Sleep(3 * time.Second) // until each partition has a standby
		before := warmTakeovers()
		if code, err := c.TerminateNode(node); err != nil || code != 0 {
			t.Fatalf("terminate %s: exit code %d, error %v; want code 0", node.Label, code, err)
		}
		if countInLog(node, "handed over") == 0 || countInLog(node, "stopped") == 0 {
			t.Errorf("the log of %s lacks a handover of its partition or a clean stop", node.Label)
		}
		for started := time.Now(); warmTakeovers() == before; time.Sleep(10 * time.Millisecond) {
			if time.Since(started) > 10*time.Second {
				t.Fatalf("no standby took over from %s within 10 s", node.Label)
			}
		}
		if err := c.StartNode(node); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range jobs {
		awaitEnd(ctx, t, apiClient, id)
	}
	c.WithAgents(func(workers map[string]*agent.Agent) {
		starts := 0
		for _, a := range workers {
			starts += a.TasksStarted
		}
		if starts != 24 {
			t.Errorf("24 tasks had %d starts in total, want 24", starts)
		}
	})
}

// Controllers with few sockets delegate machine connections to each other. No machine loses its
// lease and no task is started twice when a delegate is killed.
func TestDelegationWithFewSockets(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	const machines, sockets = 60, 120 // a controller admits 60 machines and counts as full with 30
	c, err := Start(ctx, Options{Controllers: 3, Binary: controllerBinary(t), Dir: t.TempDir(), LogLevel: "info", WriteRPS: 60, RPS: 400,
		Machines: machines, Sockets: sockets})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	apiClient := client.New(c.Addrs(), nil, "")
	s := NewSubmission("job-1", "refund-batch", "venues", "high", 2*machines, 8, 16, 30)
	s.Types = []string{"desk-box"}
	if _, err := apiClient.Submit(ctx, &s); err != nil {
		t.Fatal(err)
	}
	// connections returns the number of machines connected to each controller and in total, and
	// the leader of the machines' partition.
	connections := func() (connected map[*Node]int, leader *Node, total int) {
		connected = map[*Node]int{}
		for _, node := range c.Nodes() {
			v := new(overview.View)
			if err := apiClient.ForController(node.Operations).Do(ctx, "GET", "/overview", nil, v); err != nil {
				continue // the controller may have been killed
			}
			connected[node] = v.ConnectedMachines
			total += v.ConnectedMachines
			for _, p := range v.Partitions {
				if p.Machines > 0 {
					leader = node
				}
			}
		}
		return connected, leader, total
	}
	awaitDelegation := func() (leader, delegate *Node) {
		t.Helper()
		for {
			connected, leader, total := connections()
			for node, n := range connected {
				if node != leader && n > 0 {
					delegate = node
				}
			}
			if total >= machines*9/10 && connected[leader] <= sockets/4 && delegate != nil {
				t.Logf("%d machines are connected, %d of them to the leader of their partition, which admits %d", total, connected[leader], sockets/2)
				return leader, delegate
			}
			if ctx.Err() != nil {
				t.Fatalf("machine connections were not delegated: %d machines are connected, %d of them to the leader of their partition", total, connected[leader])
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	_, delegate := awaitDelegation()
	c.KillNode(delegate)
	if err := c.StartNode(delegate); err != nil {
		t.Fatal(err)
	}
	awaitDelegation()
	awaitEnd(ctx, t, apiClient, "job-1")
	c.WithAgents(func(workers map[string]*agent.Agent) {
		starts := 0
		for _, a := range workers {
			starts += a.TasksStarted
			if a.Epoch != 1 {
				t.Errorf("machine %s lost its lease, want the lease kept", a.Name)
			}
		}
		if starts != 2*machines {
			t.Errorf("%d tasks had %d starts in total, want one start per task", 2*machines, starts)
		}
	})
}

// With authentication, a build completes correctly although a front end is killed, its results are
// cached, and clients without the right to build are refused.
func TestDemoBuild(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	dir := t.TempDir()
	identities, err := PrepareIdentities(dir, 3)
	if err != nil {
		t.Fatal(err)
	}
	c, err := Start(ctx, Options{Controllers: 3, Binary: controllerBinary(t), Dir: dir, Identities: identities, LogLevel: "info", WriteRPS: 60, RPS: 400,
		FrontEnds: 2, FrontEndBinary: buildProgram(t, "micaspindle-reapi")})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	if err := c.WritePolicy(ctx, ""); err != nil {
		t.Fatal(err)
	}
	reports, err := c.DemoBuild(ctx, 60, 0.2, func(text string) { t.Log(text) })
	if err != nil {
		t.Fatal(err)
	}
	if first := reports[0].Report; first.Actions != 67 || first.Cached != 0 || first.Jobs == 0 || first.Jobs > 40 || c.FrontEnds()[0].Kills != 1 {
		t.Errorf("first build, with %d kills of gate-0: %+v; want 67 actions, none cached, in 1 to 40 jobs, and one kill", c.FrontEnds()[0].Kills, first)
	}
	// A certificate grants the same rights as a token, and no more.
	for name, want := range map[string]codes.Code{Builder: codes.OK, "person/partner": codes.PermissionDenied} {
		file, err := identities.issueCertificate(name)
		if err != nil {
			t.Fatal(err)
		}
		keyring, err := identity.Load(identity.Files{CredentialsFile: file, RootsFile: identities.Roots})
		if err != nil {
			t.Fatal(err)
		}
		conn, err := buildtool.Dial(c.FrontEndAddrs(), keyring.ClientConfig(isService), "")
		if err != nil {
			t.Fatal(err)
		}
		tool := buildtool.New(conn, "refunds")
		tool.DigestFunction = repb.DigestFunction_BLAKE3 // other than the default
		_, err = Build(ctx, tool, "by certificate", 3, 0, func(string) {})
		_ = conn.Close()
		if err == nil && want != codes.OK || err != nil && status.Code(errors.Unwrap(err)) != want {
			t.Errorf("build of %s with a certificate: got %v, want code %s", name, err, want)
		}
	}
	// A client without the right to build is refused without retries.
	conn, err := c.BuildConn("person/partner")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // the test ends
	if _, err := Build(ctx, buildtool.New(conn, "refunds"), "other", 1, 0, func(string) {}); status.Code(errors.Unwrap(err)) != codes.PermissionDenied {
		t.Errorf("build of a client without the right to build: got %v, want code PermissionDenied", err)
	}
	c.Stop()
	for _, frontEnd := range c.FrontEnds() {
		select {
		case <-frontEnd.Exited():
		default:
			t.Errorf("front end process %d is still running after Stop", frontEnd.Pid())
		}
	}
}
