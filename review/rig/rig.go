// Package rig runs a small deployment on loopback for the cases of the review: the project's
// controllers as separate processes, and stand-ins of the state service, the cloud, the workers
// and the users.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/fake/cloud"
	"micaspindle/internal/fake/state"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// Options describes a deployment.
type Options struct {
	// Binary is the controllers' program, Record the path of the record.
	Binary, Record string
	// Params are the settings of the deployment.
	Params settings.Params
	// Types are the machine types of the cloud.
	Types []protocol.MachineType
	// RunTime, if set, returns the run time of a task; otherwise it is the job's estimate.
	RunTime func(job string, task int) time.Duration
	// Fails, if set, reports whether a task fails at the end of its run. It is called with Mu held.
	Fails func(job string, task int, machine string) bool
	// Room is the number of machines that the cloud has of each kind.
	Room map[Kind]int
	// LogLevel is the controllers' LOG_LEVEL.
	LogLevel string
}

// Node is a controller's process.
type Node struct {
	Label, Addr, Peer string
	// Log is the path of the process's log.
	Log      string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// Start is the start of a task on a machine, with its end.
type Start struct {
	Task, Machine string
	Attempt       uint64
	At, End       time.Time
}

// Rig is a running deployment.
type Rig struct {
	Options Options
	Nodes   []*Node
	// Mu guards State, Cloud, Agents, Starts and Jobs.
	Mu     sync.Mutex
	State  *state.Service
	Cloud  *cloud.Service
	Agents map[string]*agent.Agent
	Starts []Start
	// Failures counts the tasks that failed.
	Failures int
	// Jobs are the submissions that the users have sent, by id.
	Jobs map[string]Job

	dir     string
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	record  *Record
	polls   *http.Client
	done    map[string]bool // by task
	rentals map[string]bool // rentals that were carried out, by name
	reports *http.Client
}

// maxMachines is a bound that the room of the sites never reaches.
const maxMachines = 1000

// New starts the stand-ins and the controllers.
func New(options Options) (*Rig, error) {
	r := &Rig{Options: options, Agents: map[string]*agent.Agent{}, Jobs: map[string]Job{}, done: map[string]bool{}, rentals: map[string]bool{}}
	var err error
	if r.record, err = NewRecord(options.Record); err != nil {
		return nil, err
	}
	if r.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.reports = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	r.polls = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	limits := options.Params.State
	r.State, r.Cloud = state.New(&r.Mu), cloud.New(&r.Mu)
	r.State.TxnOps, r.State.ValueKB = limits.TxnOps, limits.ValueKB
	r.State.RequestLimiter = rate.NewLimiter(rate.Limit(limits.RPS), int(limits.RPS))
	r.State.WriteLimiter = rate.NewLimiter(rate.Limit(limits.WriteRPS), int(limits.WriteRPS))
	r.Cloud.Types, r.Cloud.Capacity, r.Cloud.ListLag = options.Types, maxMachines, settings.Seconds(options.Params.Cloud.ListLagS)
	r.Cloud.Boot, r.Cloud.Stop = r.boot, r.stopMachine
	if err := r.startNodes(); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

func (r *Rig) startNodes() error {
	cloudAddr, err := r.serve(func(_ context.Context, q *http.Request, body []byte) *transport.Response {
		return r.serveCloud(q, body)
	})
	if err != nil {
		return err
	}
	for i := range r.Options.Params.ControllerCount {
		n := &Node{Label: "spindle-" + strconv.Itoa(i)}
		for _, addr := range []*string{&n.Addr, &n.Peer} {
			if *addr, err = freeAddr(); err != nil {
				return err
			}
		}
		r.Nodes = append(r.Nodes, n)
	}
	for i, n := range r.Nodes {
		stateAddr, err := r.serve(func(ctx context.Context, q *http.Request, body []byte) *transport.Response {
			return r.State.Serve(ctx, n.Label, q.Method, q.URL.Path, q.URL.Query(), body)
		})
		if err != nil {
			return err
		}
		zones := r.Options.Params.Zones
		s := settings.Settings{Label: n.Label, Zone: zones[i%len(zones)], ServeOn: n.Addr, ClusterListen: n.Peer,
			Services: settings.Services{Cloud: cloudAddr, State: stateAddr}, Params: r.Options.Params}
		for j, other := range r.Nodes {
			if other != n {
				s.Others = append(s.Others, settings.Peer{Label: other.Label, Zone: zones[j%len(zones)], PeerAddr: other.Peer})
			}
		}
		data, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return err
		}
		n.settings, n.Log = filepath.Join(r.dir, n.Label+".json"), filepath.Join(r.dir, n.Label+".log")
		if err := os.WriteFile(n.settings, data, 0o600); err != nil {
			return err
		}
		if err := r.StartNode(n); err != nil {
			return err
		}
	}
	return nil
}

// freeAddr returns a loopback address below the ephemeral ports that nobody listens on.
func freeAddr() (string, error) {
	for port := 10_000 + os.Getpid()%10_000 + int(time.Now().UnixNano()%7_000); port < 32_000; port++ {
		addr := "127.0.0.1:" + strconv.Itoa(port)
		l, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		if !slices.Contains(taken, addr) {
			taken = append(taken, addr)
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}

// taken are the addresses that freeAddr has returned.
var taken []string

// serve runs a stand-in on a loopback address. A nil answer resets the connection.
func (r *Rig) serve(handle func(ctx context.Context, q *http.Request, body []byte) *transport.Response) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return r.ctx },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			body, err := io.ReadAll(io.LimitReader(q.Body, 1<<20))
			if err != nil {
				return
			}
			answer := handle(q.Context(), q, body)
			if answer == nil {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Content-Type", "application/msgpack")
			w.WriteHeader(answer.Status)
			_, _ = w.Write(answer.Body)
		}),
	}
	r.group.Go(func() { _ = server.Serve(l) })
	r.group.Go(func() {
		<-r.ctx.Done()
		_ = server.Close()
	})
	return l.Addr().String(), nil
}

// StartNode starts a controller with the run command of the deploy file.
func (r *Rig) StartNode(n *Node) error {
	file, err := os.OpenFile(n.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(r.Options.Binary, "--config", n.settings)
	cmd.Stderr = file
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+r.Options.LogLevel)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	r.Logf("%s started, pid %d", n.Label, cmd.Process.Pid)
	exited := n.exited
	go func() {
		_ = cmd.Wait()
		_ = file.Close()
		close(exited)
	}()
	return nil
}

// Logf writes a line with the time since the start to the record.
func (r *Rig) Logf(format string, args ...any) { r.record.Logf(format, args...) }

// Stop ends all processes and stand-ins.
func (r *Rig) Stop() {
	for _, n := range r.Nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	r.cancel()
	r.Mu.Lock()
	for _, a := range r.Agents {
		a.PowerOff()
	}
	r.Mu.Unlock()
	r.group.Wait()
	_ = os.RemoveAll(r.dir)
	r.record.Close()
}

// AwaitHealthy waits until all controllers are healthy.
func (r *Rig) AwaitHealthy(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		healthy := 0
		for _, n := range r.Nodes {
			if status, _ := r.Request(n.Addr, "GET", "/healthz", nil, time.Second); status == 200 {
				healthy++
			}
		}
		if healthy == len(r.Nodes) {
			return nil
		}
	}
	return errors.New("the controllers did not become healthy")
}

// Request sends a request with its own time limit. Status 0 means that there was no answer.
func (r *Rig) Request(addr, method, path string, body any, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(r.ctx, limit)
	defer cancel()
	var raw []byte
	if body != nil {
		raw = protocol.Encode(body)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	answer, err := r.polls.Do(q)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close() //nolint:errcheck // the body has been read
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, data
}
