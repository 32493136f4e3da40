// Package devcluster runs a cluster on loopback: the models of state service, cloud
// and workers as small HTTP servers, and real controller processes beside them.
// Nothing of it listens anywhere but on 127.0.0.1, and all of it ends with its
// context.
package devcluster

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/fake/cloud"
	"micaspindle/internal/fake/runner"
	"micaspindle/internal/fake/state"
	"micaspindle/internal/protocol"
	"micaspindle/internal/reapi"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// Options say what cluster is wanted.
type Options struct {
	Controllers int
	// Binary is the controller's program.
	Binary string
	// Dir holds settings, keys and logs.
	Dir string
	// Hosted makes the cluster ask who comes; nil: everybody may do everything.
	Hosted *Hosted
	// Writes and Requests a second that the state service takes.
	WriteRPS, RPS float64
	LogLevel      string
	// Gate is where machines fetch build actions from; nil: from the cluster's own
	// gates, if it has any.
	Gate grpc.ClientConnInterface
	// Gates is how many gates are started, GateBinary their program.
	Gates      int
	GateBinary string
	// Machines is how many there may be, Sockets how many a controller is told it may
	// use; 0: 24 and 2000.
	Machines, Sockets int
}

// Cluster is a running cluster.
type Cluster struct {
	opt    Options
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	state   *state.Service
	cloud   *cloud.Service
	workers map[string]*agent.Agent
	results map[string]bool // tasks with a result
	nodes   []*Node
	gates   []*Gate
	reports *http.Client
	given   map[string]int // addresses of processes, with the socket that holds one until its process starts, or -1
}

// Node is one controller's process.
type Node struct {
	Label, Addr, Peer, LogFile string
	// Operations is where operators ask.
	Operations string
	// Kills counts how often it was killed.
	Kills    int
	settings string
	operator string
	cmd      *exec.Cmd
	exited   <-chan struct{}
}

// Teams and machine types are those of both deployments, in small.
var (
	teams = []settings.Team{{Name: "placements-desk", CPUs: 32, CPUsMax: 128}, {Name: "payments", CPUs: 16, CPUsMax: 96}, {Name: "venues"}}
	zones = []string{"almaty", "windhoek"}
	types = []protocol.MachineType{
		{Name: "desk-box", CPUs: 16, MemGB: 64, CacheGB: 40, FetchGBPerS: 1, Price: 0.74, SpotPrice: 0.19, BootS: 1, ZonesOffered: zones},
		{Name: "hall-rack", CPUs: 64, MemGB: 256, CacheGB: 80, FetchGBPerS: 2, Price: 3.22, SpotPrice: 0.93, BootS: 2, ZonesOffered: zones}}
)

// Start starts a cluster that lives until Stop is called or ctx ends.
func Start(ctx context.Context, opt Options) (*Cluster, error) {
	c := &Cluster{opt: opt, rng: rand.New(rand.NewPCG(1, 2)), workers: map[string]*agent.Agent{}, results: map[string]bool{}, given: map[string]int{}}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.reports = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{TLSClientConfig: opt.Hosted.reports(), MaxIdleConnsPerHost: 64}}
	c.state, c.cloud = state.New(&c.mu), cloud.New(&c.mu)
	c.cloud.Types, c.cloud.Capacity, c.cloud.ListLag = types, cmp.Or(opt.Machines, 24), 2*time.Second
	c.cloud.Boot, c.cloud.Stop = c.boot, c.off
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	stateAddr, err := c.serve(nil, func(ctx context.Context, r *http.Request, body []byte) *transport.Response {
		return c.state.Serve(ctx, "", r.Method, r.URL.Path, r.URL.Query(), body)
	})
	if err != nil {
		return err
	}
	cloudAddr, err := c.serve(nil, func(_ context.Context, r *http.Request, body []byte) *transport.Response {
		return c.cloud.Serve(r.Method, r.URL.Path, r.URL.Query(), body)
	})
	if err != nil {
		return err
	}
	params := settings.Params{Count: c.opt.Controllers, Zones: zones, Teams: teams,
		Workers:       settings.Workers{ReportS: 0.5, LeaseS: 6, CancelS: 24},
		State:         settings.State{RPS: c.opt.RPS, WriteRPS: c.opt.WriteRPS, ValueKB: 16, TxnOps: 16},
		Cloud:         settings.Cloud{RPS: 6, ListLagS: c.cloud.ListLag.Seconds()},
		MachineLimits: settings.Limits{CoreShare: 1, MemMB: 256, Sockets: cmp.Or(c.opt.Sockets, 2000)}, TimeBoundMS: 5}
	c.state.TxnOps, c.state.ValueKB = params.State.TxnOps, params.State.ValueKB
	c.state.Requests = rate.NewLimiter(rate.Limit(c.opt.RPS), int(c.opt.RPS))
	c.state.Writes = rate.NewLimiter(rate.Limit(c.opt.WriteRPS), int(c.opt.WriteRPS))
	for i := range c.opt.Controllers {
		n := &Node{Label: "spindle-" + strconv.Itoa(i)}
		if n.Addr, err = c.freeAddr(); err != nil {
			return err
		}
		if n.Peer, err = c.freeAddr(); err != nil {
			return err
		}
		if n.Operations, err = c.freeAddr(); err != nil {
			return err
		}
		n.settings, n.operator = filepath.Join(c.opt.Dir, n.Label+".json"), filepath.Join(c.opt.Dir, n.Label+".yaml")
		n.LogFile = filepath.Join(c.opt.Dir, n.Label+".log")
		c.nodes = append(c.nodes, n)
	}
	if err := c.prepareGates(); err != nil {
		return err
	}
	for i, n := range c.nodes {
		set := settings.Settings{Label: n.Label, Zone: zones[i%len(zones)], ServeOn: n.Addr, ClusterListen: n.Peer,
			Services: settings.Services{Cloud: cloudAddr, State: stateAddr}, Params: params}
		for _, o := range c.nodes {
			if o != n {
				set.Others = append(set.Others, settings.Other{Label: o.Label, PeerAddr: o.Peer})
			}
		}
		data, err := json.MarshalIndent(set, "", "  ")
		if err != nil {
			return fmt.Errorf("lab: settings: %w", err)
		}
		if err := os.WriteFile(n.settings, data, 0o600); err != nil {
			return fmt.Errorf("lab: settings: %w", err)
		}
		operator := map[string]any{"operations": settings.Operations{Listen: n.Operations}}
		if h := c.opt.Hosted; h != nil {
			operator["identity"] = h.settings
		}
		if data, err = yaml.Marshal(operator); err != nil {
			return fmt.Errorf("lab: settings: %w", err)
		}
		if err := os.WriteFile(n.operator, data, 0o600); err != nil {
			return fmt.Errorf("lab: settings: %w", err)
		}
		if err := c.Restart(n); err != nil {
			return err
		}
	}
	return nil
}

// freeAddr finds a loopback address that nobody has and holds it until its process
// starts. It lies below the ports that connections are given, or one of these might
// take it while its process is down. It is bound and not listened on: whoever calls
// before that is refused, as by a process that is down.
func (c *Cluster) freeAddr() (string, error) {
	for range 200 {
		port := 10_000 + rand.IntN(20_000)
		addr := "127.0.0.1:" + strconv.Itoa(port)
		if _, again := c.given[addr]; again {
			continue
		}
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return "", fmt.Errorf("lab: hold an address: %w", err)
		}
		if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			_ = syscall.Close(fd)
			continue
		}
		c.given[addr] = fd
		return addr, nil
	}
	return "", errors.New("lab: no free port between 10000 and 30000")
}

// release lets go of an address whose process starts now.
func (c *Cluster) release(addr string) {
	if fd, held := c.given[addr]; held && fd >= 0 {
		_ = syscall.Close(fd)
		c.given[addr] = -1
	}
}

// lastLine is the end of a log.
func lastLine(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// serve answers on an address of its own until the cluster ends.
func (c *Cluster) serve(secure *tls.Config, h func(context.Context, *http.Request, []byte) *transport.Response) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("lab: %w", err)
	}
	srv := &http.Server{ReadHeaderTimeout: 5 * time.Second, BaseContext: func(net.Listener) context.Context { return c.ctx },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
			if err != nil {
				return
			}
			resp := h(r.Context(), r, body)
			if resp == nil { // a machine that says nothing
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Content-Type", "application/msgpack")
			w.WriteHeader(resp.Status)
			_, _ = w.Write(resp.Body)
		})}
	addr := l.Addr().String()
	if secure != nil {
		l = tls.NewListener(l, secure)
	}
	c.group.Go(func() { _ = srv.Serve(l) })
	c.group.Go(func() {
		<-c.ctx.Done()
		_ = srv.Close()
	})
	return addr, nil
}

// Nodes returns the controllers.
func (c *Cluster) Nodes() []*Node { return c.nodes }

func (c *Cluster) scheme() string {
	if c.opt.Hosted != nil {
		return "https"
	}
	return "http"
}

// Hosted is the cluster's identities, or nil.
func (c *Cluster) Hosted() *Hosted { return c.opt.Hosted }

// Addrs are the addresses that users and workers speak to.
func (c *Cluster) Addrs() []string {
	var out []string
	for _, n := range c.nodes {
		out = append(out, n.Addr)
	}
	return out
}

// spawn starts a process of the cluster that writes its log to a file; the channel
// is closed when it has ended. Whatever ends this process ends it too.
func (c *Cluster) spawn(label, log string, cmd *exec.Cmd) (<-chan struct{}, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	cmd.Stderr = file
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+c.opt.LogLevel)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("lab: start %s: %w", label, err)
	}
	exited := make(chan struct{})
	c.group.Go(func() {
		_ = cmd.Wait()
		_ = file.Close()
		close(exited)
	})
	return exited, nil
}

// Restart starts a controller that does not run.
func (c *Cluster) Restart(n *Node) error {
	cmd := exec.Command(c.opt.Binary, "--config", n.settings, "--operator", n.operator)
	c.release(n.Addr)
	c.release(n.Peer)
	c.release(n.Operations)
	exited, err := c.spawn(n.Label, n.LogFile, cmd)
	if err != nil {
		return err
	}
	n.cmd, n.exited = cmd, exited
	return nil
}

// Kill ends a controller as kill -9 does.
func (c *Cluster) Kill(n *Node) {
	_ = n.cmd.Process.Kill()
	<-n.exited
	n.Kills++
}

// End asks a controller to end, as a restart does, and waits until it has; it says with
// what code.
func (c *Cluster) End(n *Node) (code int, err error) {
	if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, fmt.Errorf("end %s: %w", n.Label, err)
	}
	select {
	case <-n.exited:
		return n.cmd.ProcessState.ExitCode(), nil
	case <-time.After(10 * time.Second):
		return 0, fmt.Errorf("end %s: it still runs 10 s after the signal", n.Label)
	}
}

// Exited tells when a controller's process has ended.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// Pid is the process of a controller.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Leader returns the controller that leads, or nothing.
func (c *Cluster) Leader() *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var claim storage.Lease
	it, ok := c.state.Items[storage.LeadershipKey]
	if !ok || storage.Decode(it.Value, &claim) != nil {
		return nil
	}
	for _, n := range c.nodes {
		if n.Label == claim.Holder {
			return n
		}
	}
	return nil
}

// Workers lets a test look at the machines' workers.
func (c *Cluster) Workers(f func(map[string]*agent.Agent)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.workers)
}

// State lets f look into the state service; f must not keep what it sees.
func (c *Cluster) State(f func(*state.Service)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.state)
}

// TakeMachine takes a machine that runs something away without notice, as the
// cloud does; false: there is none.
func (c *Cluster) TakeMachine() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, w := range c.workers {
		for _, t := range w.Tasks {
			if t.Running {
				c.off(name)
				delete(c.cloud.Machines, name)
				return true
			}
		}
	}
	return false
}

// Machines counts the machines that are rented now and that were so far.
func (c *Cluster) Machines() (now, ever int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cloud.Machines), c.cloud.Rented
}

// AwaitReady waits until all controllers take requests and one leads, then starts
// the gates and waits for them.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	probe := &http.Client{Timeout: time.Second, Transport: &http.Transport{TLSClientConfig: c.opt.Hosted.reports()}}
	defer probe.CloseIdleConnections()
	for {
		ready := 0
		for _, n := range c.nodes {
			req, err := http.NewRequestWithContext(ctx, "GET", c.scheme()+"://"+n.Addr+"/healthz", nil)
			if err != nil {
				return fmt.Errorf("lab: %w", err)
			}
			resp, err := probe.Do(req)
			if err != nil {
				select {
				case <-n.exited:
					return fmt.Errorf("lab: %s ended while it started: %s", n.Label, lastLine(n.LogFile))
				default:
					continue
				}
			}
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				ready++
			}
		}
		if ready == len(c.nodes) && c.Leader() != nil {
			return c.startGates(ctx)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("lab: the cluster did not become ready: %w; logs: %s", ctx.Err(), c.opt.Dir)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Stop ends everything and waits for it.
func (c *Cluster) Stop() {
	c.stopGates()
	for addr := range c.given {
		c.release(addr)
	}
	for _, n := range c.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(os.Interrupt)
		}
	}
	for _, n := range c.nodes {
		if n.cmd == nil {
			continue
		}
		select {
		case <-n.exited:
		case <-time.After(3 * time.Second):
			_ = n.cmd.Process.Kill()
		}
	}
	c.cancel()
	c.mu.Lock()
	for _, w := range c.workers {
		w.Off()
	}
	c.mu.Unlock()
	c.group.Wait()
}

// boot starts a rented machine after its time; it is called with the lock held.
func (c *Cluster) boot(name string, m *cloud.Machine) {
	bootS := 1.0
	for _, t := range types {
		if t.Name == m.Type {
			bootS = t.BootS
		}
	}
	delay := settings.Seconds(bootS * (0.6 + 0.9*c.rng.Float64()))
	home := c.rng.IntN(len(c.nodes))
	c.group.Go(func() {
		select {
		case <-time.After(delay):
		case <-c.ctx.Done():
			return
		}
		c.mu.Lock()
		gone := c.cloud.Machines[name] == nil
		c.mu.Unlock()
		if gone {
			return
		}
		c.runMachine(name, m, home)
	})
}

func (c *Cluster) runMachine(name string, m *cloud.Machine, home int) {
	w := agent.New(&c.mu, c, c)
	addr, err := c.serve(c.opt.Hosted.machines(), func(_ context.Context, r *http.Request, body []byte) *transport.Response {
		c.mu.Lock()
		defer c.mu.Unlock()
		return w.Serve(r.URL.Path, body)
	})
	if err != nil {
		return // like a machine that never comes up
	}
	c.mu.Lock()
	w.Name, w.Addr, w.Type, w.Zone, w.Spot = name, addr, m.Type, m.Zone, m.Spot
	w.ReportEvery, w.Lease = 500*time.Millisecond, 6*time.Second
	w.Home = home
	for _, n := range c.nodes {
		w.Homes = append(w.Homes, n.Label)
	}
	w.Send = c.report
	if c.opt.Gate != nil {
		w.Exec = func(t *agent.Task) func() { return c.execute(w, t) }
	}
	m.Addr, m.Up = addr, true
	c.workers[name] = w
	c.mu.Unlock()
	w.Run(c.ctx.Done())
}

func (c *Cluster) off(name string) {
	if w := c.workers[name]; w != nil {
		w.Off()
		delete(c.workers, name)
	}
}

// report carries a worker's report to a controller.
func (c *Cluster) report(home string, report []byte) (int, []byte) {
	for _, n := range c.nodes {
		if n.Label != home {
			continue
		}
		req, err := http.NewRequestWithContext(c.ctx, "POST", c.scheme()+"://"+n.Addr+"/checkin", bytes.NewReader(report))
		if err != nil {
			return 0, nil
		}
		resp, err := c.reports.Do(req)
		if err != nil {
			return 0, nil
		}
		defer resp.Body.Close() //nolint:errcheck // read to its end
		body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		if err != nil {
			return 0, nil
		}
		return resp.StatusCode, body
	}
	return 0, nil
}

// RunTime is a job's estimate, give or take a fifth; the same task takes the
// same time again, and none once it has a result. A worker would fetch the
// job's description from where users upload it; here it is the job's record.
func (c *Cluster) RunTime(job string, task int, _ string) (time.Duration, bool) {
	it, ok := c.state.Items[storage.JobKey(job)]
	var spec protocol.JobSpec
	if !ok || storage.Decode(it.Value, &spec) != nil || task >= spec.Tasks {
		return 0, false
	}
	if spec.Standing {
		return 1000 * time.Hour, true
	}
	name := protocol.TaskName(job, task)
	if c.results[name] {
		return 0, true
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, name)
	return settings.Seconds(spec.EstimateS * (0.8 + 0.4*float64(h.Sum32()%1000)/1000)), true
}

// execute runs a task that is a build action; other tasks only take time. It is
// called with the lock held.
func (c *Cluster) execute(w *agent.Agent, t *agent.Task) func() {
	it := c.state.Items[storage.JobKey(t.Job)]
	var spec protocol.JobSpec
	if storage.Decode(it.Value, &spec) != nil || !strings.HasPrefix(spec.Image, reapi.ImagePrefix) || c.results[t.Name] {
		return nil
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.group.Go(func() {
		defer cancel()
		dir := runner.Dir(filepath.Join(c.opt.Dir, "work", w.Name), t.Name, t.Attempt)
		err := runner.Run(ctx, c.opt.Gate, w.Name, spec.Image, t.Index, dir)
		_ = os.RemoveAll(dir)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil {
			w.Finish(t, protocol.CauseError)
		} else {
			w.Finish(t, protocol.CauseDone)
		}
	})
	return cancel
}

// Fails says that no task fails.
func (c *Cluster) Fails(string, int, string) bool { return false }

// Obeying sees a start.
func (c *Cluster) Obeying(*agent.Agent, protocol.Command) {}

// Started sees a task begin.
func (c *Cluster) Started(*agent.Agent, *agent.Task) {}

// Running sees a task run.
func (c *Cluster) Running(*agent.Agent, *agent.Task, time.Time) {}

// Ended keeps a task's result.
func (c *Cluster) Ended(_ *agent.Agent, t *agent.Task) {
	if t.Cause == protocol.CauseDone {
		c.results[t.Name] = true
	}
}

// FindBinary finds a program of the project: beside this one, or as told.
func FindBinary(told, name string) (string, error) {
	if told == "" {
		self, err := os.Executable()
		if err != nil {
			return "", fmt.Errorf("lab: %w", err)
		}
		told = filepath.Join(filepath.Dir(self), name)
	}
	info, err := os.Stat(told)
	if err == nil && info.IsDir() {
		err = errors.New("a folder")
	}
	if err != nil {
		return "", fmt.Errorf("no program %s at %s (make build makes it): %w", name, told, err)
	}
	return told, nil
}
