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

// controllerBinary builds the controller, once for all tests of this package.
func controllerBinary(t *testing.T) string {
	t.Helper()
	return program(t, "micaspindle", "-ldflags=-linkmode=external")
}

// programs are the programs that tests of this package have built, by name.
var programs struct {
	mu    sync.Mutex
	dir   string
	built map[string]string
}

// program builds a program of the project, unless another test has built it.
func program(t *testing.T, name string, flags ...string) string {
	t.Helper()
	programs.mu.Lock()
	defer programs.mu.Unlock()
	if path, ok := programs.built[name]; ok {
		return path
	}
	path := filepath.Join(programs.dir, name)
	out, err := exec.Command("go", append(append([]string{"build"}, flags...), "-o", path, "micaspindle/cmd/"+name)...).CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	programs.built[name] = path
	return path
}

// clustersAtOnce is how many clusters of real processes run in parallel, unless -parallel
// is given: their leases run in real time. A test that restarts a front end on its old
// address, or compares times, runs alone.
const clustersAtOnce = 3

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "test.parallel" })
	if !given {
		if err := flag.Set("test.parallel", strconv.Itoa(clustersAtOnce)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	dir, err := os.MkdirTemp("", "micaspindle-lab-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs.dir, programs.built = dir, map[string]string{}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// In the demo, with real processes, the cluster leader is killed and every job is done.
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
	res, err := c.Demo(ctx, client.New(c.Addrs(), nil, ""), func(text string) { t.Log(text) })
	if err != nil {
		t.Fatal(err)
	}
	tasks := 0
	for _, job := range res.Jobs {
		tasks += job.Tasks
	}
	if res.TasksDone != tasks || res.Killed == "" || res.Successor == "" || res.Successor == res.Killed {
		t.Errorf("%d of %d tasks, %q led, then %q", res.TasksDone, tasks, res.Killed, res.Successor)
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
			t.Errorf("process %d still runs", pids[i])
		}
	}
}

// await waits until a job has ended.
func await(ctx context.Context, t *testing.T, users *client.Client, id string) {
	t.Helper()
	for {
		st, err := users.Status(ctx, id)
		if err != nil {
			t.Fatal(err)
		}
		if st.Ended() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// In a rolling restart of real controllers, each hands its partition over to the standby,
// exits with code 0, and no task is run twice.
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
	users := client.New(c.Addrs(), nil, "")
	var jobs []string
	for i, team := range []string{"payments", "venues", "payments"} {
		s := NewSubmission(fmt.Sprint("job-", i+1), "refund-batch", team, "high", 8, 2, 4, 14)
		if _, err := users.Submit(ctx, &s); err != nil {
			t.Fatal(err)
		}
		jobs = append(jobs, *s.ID)
	}
	says := func(node *Node, what string) int {
		log, err := os.ReadFile(node.LogFile)
		if err != nil {
			t.Fatal(err)
		}
		return strings.Count(string(log), what)
	}
	warm := func() (n int) {
		for _, o := range c.Nodes() {
			n += says(o, "warm=true")
		}
		return n
	}
	for _, node := range c.Nodes() {
		time.Sleep(3 * time.Second) // until it has a standby
		before := warm()
		if code, err := c.Terminate(node); err != nil || code != 0 {
			t.Fatalf("%s ended with %d, %v", node.Label, code, err)
		}
		if says(node, "handed over") == 0 || says(node, "stopped") == 0 {
			t.Errorf("%s did not hand over", node.Label)
		}
		for started := time.Now(); warm() == before; time.Sleep(10 * time.Millisecond) {
			if time.Since(started) > 10*time.Second {
				t.Fatalf("no standby took over from %s", node.Label)
			}
		}
		if err := c.Restart(node); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range jobs {
		await(ctx, t, users, id)
	}
	c.Agents(func(workers map[string]*agent.Agent) {
		starts := 0
		for _, a := range workers {
			starts += a.Starts
		}
		if starts != 24 {
			t.Errorf("24 tasks were started %d times", starts)
		}
	})
}

// Real controllers with few sockets share the machines' connections through delegates,
// continue when a delegate is killed, and start no task twice.
func TestDelegationWithFewSockets(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	const machines, sockets = 60, 120 // room for 60 of them each, full with 30
	c, err := Start(ctx, Options{Controllers: 3, Binary: controllerBinary(t), Dir: t.TempDir(), LogLevel: "info", WriteRPS: 60, RPS: 400,
		Machines: machines, Sockets: sockets})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	users := client.New(c.Addrs(), nil, "")
	s := NewSubmission("job-1", "refund-batch", "venues", "high", 2*machines, 8, 16, 30)
	s.Types = []string{"desk-box"}
	if _, err := users.Submit(ctx, &s); err != nil {
		t.Fatal(err)
	}
	// spread returns which controllers hold the machines' connections, and which lead them.
	spread := func() (connected map[*Node]int, owner *Node, all int) {
		connected = map[*Node]int{}
		for _, node := range c.Nodes() {
			v := new(overview.View)
			if err := users.ForController(node.Operations).Do(ctx, "GET", "/overview", nil, v); err != nil {
				continue // just killed
			}
			connected[node] = v.Connected
			all += v.Connected
			for _, p := range v.Partitions {
				if p.Machines > 0 {
					owner = node
				}
			}
		}
		return connected, owner, all
	}
	shared := func() (owner, carrier *Node) {
		t.Helper()
		for {
			connected, o, all := spread()
			for node, k := range connected {
				if node != o && k > 0 {
					carrier = node
				}
			}
			if all >= machines*9/10 && connected[o] <= sockets/4 && carrier != nil {
				t.Logf("%d machines' connections: owner %d of %d", all, connected[o], sockets/2)
				return o, carrier
			}
			if ctx.Err() != nil {
				t.Fatalf("not shared: %d machines, owner %d", all, connected[o])
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	_, carrier := shared()
	c.Kill(carrier)
	if err := c.Restart(carrier); err != nil {
		t.Fatal(err)
	}
	shared()
	await(ctx, t, users, "job-1")
	c.Agents(func(workers map[string]*agent.Agent) {
		starts := 0
		for _, a := range workers {
			starts += a.Starts
			if a.Epoch != 1 {
				t.Errorf("%s lost its lease", a.Name)
			}
		}
		if starts != 2*machines {
			t.Errorf("%d tasks were started %d times", 2*machines, starts)
		}
	})
}

// Real front ends and controllers with authentication: a build continues when a front end
// is killed, its output is right, and it is cached.
func TestDemoBuild(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	dir := t.TempDir()
	hosted, err := Prepare(dir, 3)
	if err != nil {
		t.Fatal(err)
	}
	c, err := Start(ctx, Options{Controllers: 3, Binary: controllerBinary(t), Dir: dir, Identities: hosted, LogLevel: "info", WriteRPS: 60, RPS: 400,
		FrontEnds: 2, FrontEndBinary: program(t, "micaspindle-reapi")})
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
		t.Errorf("%+v", first)
	}
	// A certificate grants the same rights as a token, and no more.
	for who, want := range map[string]codes.Code{Builder: codes.OK, "person/partner": codes.PermissionDenied} {
		file, err := hosted.issueCertificate(who)
		if err != nil {
			t.Fatal(err)
		}
		ring, err := identity.Load(identity.Files{Own: file, Roots: hosted.Roots})
		if err != nil {
			t.Fatal(err)
		}
		conn, err := buildtool.Dial(c.FrontEndAddrs(), ring.ClientConfig(isService), "")
		if err != nil {
			t.Fatal(err)
		}
		tool := buildtool.New(conn, "refunds")
		tool.Function = repb.DigestFunction_BLAKE3 // all the way to the machine and back
		_, err = Build(ctx, tool, "by certificate", 3, 0, func(string) {})
		_ = conn.Close()
		if err == nil && want != codes.OK || err != nil && status.Code(errors.Unwrap(err)) != want {
			t.Errorf("%s by certificate: %v, want %s", who, err, want)
		}
	}
	// A client without the right to builds is refused at once, without a retry.
	conn, err := c.BuildConn("person/partner")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // the test ends
	if _, err := Build(ctx, buildtool.New(conn, "refunds"), "other", 1, 0, func(string) {}); status.Code(errors.Unwrap(err)) != codes.PermissionDenied {
		t.Errorf("a guest built: %v", err)
	}
	c.Stop()
	for _, frontEnd := range c.FrontEnds() {
		select {
		case <-frontEnd.Exited():
		default:
			t.Errorf("process %d still runs", frontEnd.Pid())
		}
	}
}
