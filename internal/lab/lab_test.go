package lab

import (
	"context"
	"errors"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/buildtool"
	"micaspindle/internal/client"
	"micaspindle/internal/identity"
)

// controllerBinary builds the controller once for the tests of this package.
func controllerBinary(t *testing.T) string {
	t.Helper()
	return program(t, "micaspindle", "-ldflags=-linkmode=external")
}

// program builds a program of the project.
func program(t *testing.T, name string, flags ...string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	out, err := exec.Command("go", append(append([]string{"build"}, flags...), "-o", path, "micaspindle/cmd/"+name)...).CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// The demo's cluster is of real processes; its leader is killed and every job
// is still done.
func TestDemo(t *testing.T) {
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

// Real gates before real controllers, all asking who comes: a build goes on when a
// gate is killed, comes out right, and is cached.
func TestDemoBuild(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	dir := t.TempDir()
	hosted, err := Prepare(dir, 3)
	if err != nil {
		t.Fatal(err)
	}
	c, err := Start(ctx, Options{Controllers: 3, Binary: controllerBinary(t), Dir: dir, Hosted: hosted, LogLevel: "info", WriteRPS: 60, RPS: 400,
		Gates: 2, GateBinary: program(t, "spindlegate")})
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
