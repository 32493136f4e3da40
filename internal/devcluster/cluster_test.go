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

// controllerBinary builds the controller once for the tests of this package.
func controllerBinary(t *testing.T) string {
	t.Helper()
	return program(t, "micaspindle", "-ldflags=-linkmode=external")
}

// programs are those that the tests of this package have built, by name.
var programs struct {
	mu    sync.Mutex
	dir   string
	built map[string]string
}

// program builds a program of the project, or takes the one that another test has built.
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

// clustersAtOnce is how many clusters of real processes run beside each other, unless
// -parallel says it: their leases run in real time. A test that starts a gate on its old
// address again, or compares times, runs alone.
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

// The demo's cluster is of real processes; its leader is killed and every job
// is still done.
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
	for _, j := range res.Jobs {
		tasks += j.Tasks
	}
	if res.TasksDone != tasks || res.Killed == "" || res.Successor == "" || res.Successor == res.Killed {
		t.Errorf("%d of %d tasks, %q led, then %q", res.TasksDone, tasks, res.Killed, res.Successor)
	}
	pids := []int{}
	for _, n := range c.Nodes() {
		pids = append(pids, n.Pid())
	}
	c.Stop()
	for i, n := range c.Nodes() {
		select {
		case <-n.Exited():
		default:
			t.Errorf("process %d still runs", pids[i])
		}
	}
}

// await waits until a job is over.
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

// A roll of restarts of real controllers: each hands its part to the one that follows it,
// ends with code 0, and no task is run twice.
func TestRollOfRestarts(t *testing.T) {
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
	says := func(n *Node, what string) int {
		log, err := os.ReadFile(n.LogFile)
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
	for _, n := range c.Nodes() {
		time.Sleep(3 * time.Second) // it is followed by then
		before := warm()
		if code, err := c.End(n); err != nil || code != 0 {
			t.Fatalf("%s ended with %d, %v", n.Label, code, err)
		}
		if says(n, "handed over") == 0 || says(n, "stopped") == 0 {
			t.Errorf("%s did not hand over", n.Label)
		}
		for begun := time.Now(); warm() == before; time.Sleep(10 * time.Millisecond) {
			if time.Since(begun) > 10*time.Second {
				t.Fatalf("nobody took over from %s what it had", n.Label)
			}
		}
		if err := c.Restart(n); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range jobs {
		await(ctx, t, users, id)
	}
	c.Workers(func(workers map[string]*agent.Agent) {
		starts := 0
		for _, w := range workers {
			starts += w.Starts
		}
		if starts != 24 {
			t.Errorf("24 tasks were started %d times", starts)
		}
	})
}

// Real controllers whose sockets are few share the machines' connections, go on when a
// carrier is killed, and start no task twice.
func TestCrowdedControllersShare(t *testing.T) {
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
	// spread is whose connections the machines are, and who owns them.
	spread := func() (connected map[*Node]int, owner *Node, all int) {
		connected = map[*Node]int{}
		for _, n := range c.Nodes() {
			v := new(overview.View)
			if err := users.At(n.Operations).Do(ctx, "GET", "/overview", nil, v); err != nil {
				continue // killed just now
			}
			connected[n] = v.Connected
			all += v.Connected
			for _, p := range v.Parts {
				if p.Machines > 0 {
					owner = n
				}
			}
		}
		return connected, owner, all
	}
	shared := func() (owner, carrier *Node) {
		t.Helper()
		for {
			connected, o, all := spread()
			for n, k := range connected {
				if n != o && k > 0 {
					carrier = n
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
	c.Workers(func(workers map[string]*agent.Agent) {
		starts := 0
		for _, w := range workers {
			starts += w.Starts
			if w.Session != 1 {
				t.Errorf("%s lost its lease", w.Name)
			}
		}
		if starts != 2*machines {
			t.Errorf("%d tasks were started %d times", 2*machines, starts)
		}
	})
}

// Real gates before real controllers, all asking who comes: a build goes on when a
// gate is killed, comes out right, and is cached.
func TestDemoBuild(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	dir := t.TempDir()
	hosted, err := Prepare(dir, 3)
	if err != nil {
		t.Fatal(err)
	}
	c, err := Start(ctx, Options{Controllers: 3, Binary: controllerBinary(t), Dir: dir, Hosted: hosted, LogLevel: "info", WriteRPS: 60, RPS: 400,
		Gates: 2, GateBinary: program(t, "micaspindle-reapi")})
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
	if first := reports[0].Report; first.Actions != 67 || first.Cached != 0 || first.Jobs == 0 || first.Jobs > 40 || c.Gates()[0].Kills != 1 {
		t.Errorf("%+v", first)
	}
	// A certificate proves the same as a token, and gives no more.
	for who, want := range map[string]codes.Code{Builder: codes.OK, "person/partner": codes.PermissionDenied} {
		file, err := hosted.certificate(who)
		if err != nil {
			t.Fatal(err)
		}
		ring, err := identity.Load(identity.Files{Own: file, Roots: hosted.Roots})
		if err != nil {
			t.Fatal(err)
		}
		conn, err := buildtool.Dial(c.GateAddrs(), ring.Client(gatesOnly), "")
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
	// Who has no right to builds is refused for good, at once.
	conn, err := c.BuildConn("person/partner")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() //nolint:errcheck // the test ends
	if _, err := Build(ctx, buildtool.New(conn, "refunds"), "other", 1, 0, func(string) {}); status.Code(errors.Unwrap(err)) != codes.PermissionDenied {
		t.Errorf("a guest built: %v", err)
	}
	c.Stop()
	for _, g := range c.Gates() {
		select {
		case <-g.Exited():
		default:
			t.Errorf("process %d still runs", g.Pid())
		}
	}
}
