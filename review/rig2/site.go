package rig2

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/client"
	"micaspindle/internal/devcluster"
	"micaspindle/internal/fake/agent"
	"micaspindle/internal/fake/cloud"
	"micaspindle/internal/fake/state"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// answerLimit is how long a worker waits for the answer to a report, retryPause how long it waits
// before it tries the next controller (PROTOCOL, Workers -> controller nodes).
const (
	answerLimit = 4 * time.Second
	retryPause  = time.Second
	// cloudLatency is the time that the cloud takes to answer, as in the site file.
	cloudLatency = 100 * time.Millisecond
	// minReportInterval is the shortest time between two reports.
	minReportInterval = 500 * time.Millisecond
)

// Site is a small deployment with the settings of the site ombili-admissions: controllers as processes, and
// stand-ins of the state service, the cloud and the workers in this process.
type Site struct {
	Nodes []*Node

	c        *Case
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	mu       sync.Mutex // guards the fields below and the stand-ins
	state    *state.Service
	cloud    *cloud.Service
	machines map[string]*Machine
	runS     float64
	// doubles describe the starts of tasks that were on another machine.
	doubles []string
}

// Node is a controller's process.
type Node struct {
	Label, Zone, Addr, peer string
	cmd                     *exec.Cmd
}

// Machine is a worker's stand-in.
type Machine struct {
	*agent.Agent
	site     *Site
	listener *net.TCPListener
	// hung is set while the machine hangs, unreachable also while its network is interrupted.
	hung, unreachable bool
	// troubles are the troubles to come; nil if the machine never has any.
	troubles []Trouble
	// reportedAt is when the machine began its last report.
	reportedAt time.Time
}

// Trouble begins when a machine has sent a report to a controller, and lasts for a while. The machine
// hangs or, if Cut is set, its network to that controller is interrupted: the connection is reset before
// the answer comes, and the controller can't connect to the machine.
type Trouble struct {
	To  string
	For time.Duration
	Cut bool
}

// ombili has the settings of the site ombili-admissions.
var ombili = settings.Params{
	ControllerCount: controllers,
	Zones:           []string{"oshakati", "windhoek"},
	Teams:           ombiliTeams(),
	AgentTimes:      settings.AgentTimes{HeartbeatS: 0.8, LeaseS: 11, CancelS: 36},
	State:           settings.StateStoreLimits{RPS: 150, WriteRPS: 20, ValueKB: 16, TxnOps: 16},
	Cloud:           settings.CloudLimits{RPS: 4, ListLagS: 6},
	ProcessLimits:   settings.ProcessLimits{CoreShare: 0.12, MemMB: 70, Sockets: 600},
	TimeBoundMS:     5,
}

func ombiliTeams() (teams []settings.Team) {
	for n := range 12 {
		teams = append(teams, settings.Team{Name: fmt.Sprintf("placements-desk-%02d", n), CPUs: 128, CPUsMax: 384})
	}
	return teams
}

// deskBox is the only machine type that the cloud has.
var deskBox = protocol.MachineType{Name: "desk-box", CPUs: 16, MemGB: 64, CacheGB: 30, FetchGBPerS: 0.3, Price: 0.74, SpotPrice: 0.19, BootS: 20, Zones: []string{"windhoek"}}

// StartSite starts the deployment. Each task runs for runS seconds.
func (c *Case) StartSite(runS float64) (*Site, error) {
	binary, err := devcluster.FindBinary("", "micaspindle")
	if err != nil {
		return nil, err
	}
	s := &Site{c: c, machines: map[string]*Machine{}, runS: runS}
	s.ctx, s.cancel = context.WithCancel(c.ctx)
	c.stop = s.stop
	s.state, s.cloud = state.New(&s.mu), cloud.New(&s.mu)
	s.state.TxnOps, s.state.ValueKB = ombili.State.TxnOps, ombili.State.ValueKB
	s.state.RequestLimiter = rate.NewLimiter(rate.Limit(ombili.State.RPS), int(ombili.State.RPS))
	s.state.WriteLimiter = rate.NewLimiter(rate.Limit(ombili.State.WriteRPS), int(ombili.State.WriteRPS))
	s.state.RefusedClients = map[string]bool{}
	s.cloud.Types, s.cloud.Capacity, s.cloud.ListLag = []protocol.MachineType{deskBox}, 6, 6*time.Second
	s.cloud.Boot, s.cloud.Stop = s.boot, s.powerOff
	cloudAddr, err := s.serve(func(ctx context.Context, r *http.Request, body []byte) *transport.Response {
		_ = Sleep(ctx, cloudLatency)
		return s.cloud.Serve(r.Method, r.URL.Path, r.URL.Query(), body)
	})
	if err != nil {
		return nil, err
	}
	for i := range controllers {
		node := &Node{Label: fmt.Sprintf("spindle-%d", i), Zone: ombili.Zones[(i+1)%2]}
		if node.Addr, err = freeAddr(); err != nil {
			return nil, err
		}
		if node.peer, err = freeAddr(); err != nil {
			return nil, err
		}
		s.Nodes = append(s.Nodes, node)
	}
	for _, node := range s.Nodes {
		stateAddr, err := s.serve(func(ctx context.Context, r *http.Request, body []byte) *transport.Response {
			return s.state.Serve(ctx, node.Label, r.Method, r.URL.Path, r.URL.Query(), body)
		})
		if err != nil {
			return nil, err
		}
		if err := s.startNode(node, binary, settings.Services{Cloud: cloudAddr, State: stateAddr}); err != nil {
			return nil, err
		}
	}
	return s, s.awaitReady()
}

// startNode starts a controller as the deploy file says.
func (s *Site) startNode(node *Node, binary string, services settings.Services) error {
	config := settings.Settings{Label: node.Label, Zone: node.Zone, ServeOn: node.Addr, ClusterListen: node.peer, Services: services, Params: ombili}
	for _, other := range s.Nodes {
		if other != node {
			config.Others = append(config.Others, settings.Peer{Label: other.Label, Zone: other.Zone, PeerAddr: other.peer})
		}
	}
	data, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(s.c.Dir, node.Label+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.c.Dir, node.Label+".log"))
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	node.cmd = exec.Command(binary, "--config", file)
	node.cmd.Stderr, node.cmd.Env = log, append(os.Environ(), "LOG_LEVEL=info")
	node.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return node.cmd.Start()
}

// awaitReady waits until all controllers are healthy and all partitions have a leader.
func (s *Site) awaitReady() error {
	probe := &http.Client{Timeout: time.Second}
	for {
		ready := 0
		for _, node := range s.Nodes {
			resp, err := probe.Get("http://" + node.Addr + "/healthz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK && s.Leader(ready) != "" {
					ready++
				}
			}
		}
		if ready == len(s.Nodes) {
			s.c.Note("%d controllers serve", ready)
			return nil
		}
		if err := Sleep(s.ctx, 100*time.Millisecond); err != nil {
			return errors.New("the controllers did not become ready")
		}
	}
}

// stop ends all processes and stand-ins.
func (s *Site) stop() {
	for _, node := range s.Nodes {
		if node.cmd != nil && node.cmd.Process != nil {
			_ = node.cmd.Process.Kill()
			_ = node.cmd.Wait()
		}
	}
	s.cancel()
	s.mu.Lock()
	for _, m := range s.machines {
		m.PowerOff()
	}
	s.mu.Unlock()
	s.group.Wait()
}

// Client returns a client of all controllers.
func (s *Site) Client() *client.Client {
	var addrs []string
	for _, node := range s.Nodes {
		addrs = append(addrs, node.Addr)
	}
	return client.New(addrs, nil, "")
}

// Leader returns the label of a partition's leader on record, or "".
func (s *Site) Leader(partition int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader(partition)
}

func (s *Site) leader(partition int) string {
	var lease storage.Lease
	if item, ok := s.state.Items[storage.LeaseKey(partition)]; !ok || storage.Decode(item.Value, &lease) != nil {
		return ""
	}
	return lease.Holder
}

// PartitionOf returns the partition with a job's run records, or -1.
func (s *Site) PartitionOf(job string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for partition := range controllers {
		for key := range s.state.Items {
			if strings.HasPrefix(key, fmt.Sprintf("r/%d/%s/", partition, job)) {
				return partition
			}
		}
	}
	return -1
}

// Refuse makes the state service refuse one controller, or ends that.
func (s *Site) Refuse(label string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.RefusedClients[label] = on
}

// MachineWith returns the machine on which a task runs, or nil.
func (s *Site) MachineWith(task string) *Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(s.machines)) {
		if s.machines[name].has(task) {
			return s.machines[name]
		}
	}
	return nil
}

// has reports whether a task is on the machine: it runs, and the machine's lease is not over.
func (m *Machine) has(task string) bool {
	if m.PoweredOff || time.Since(m.LeaseRenewedAt) > m.LeaseDuration {
		return false
	}
	for _, t := range m.Tasks {
		if t.Name == task && t.Running {
			return true
		}
	}
	return false
}

// Doubles returns the starts of tasks that were on another machine.
func (s *Site) Doubles() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.doubles)
}

// boot starts the worker of a rented machine after a second. s.mu is held.
func (s *Site) boot(name string, rented *cloud.Machine) {
	s.group.Go(func() {
		if Sleep(s.ctx, time.Second) != nil {
			return
		}
		m := &Machine{site: s, Agent: agent.New(&s.mu, s, s)}
		addr, err := m.listen()
		if err != nil {
			s.c.Note("%s does not come up: %v", name, err)
			return
		}
		s.mu.Lock()
		if s.cloud.Machines[name] == nil {
			s.mu.Unlock()
			return
		}
		m.Name, m.Addr, m.Type, m.Zone, m.Spot = name, addr, rented.Type, rented.Zone, rented.Spot
		m.HeartbeatInterval, m.LeaseDuration = settings.Seconds(ombili.AgentTimes.HeartbeatS), settings.Seconds(ombili.AgentTimes.LeaseS)
		for _, node := range s.Nodes {
			m.Controllers = append(m.Controllers, node.Label)
		}
		m.Send = m.report
		m.FetchTime = 100 * time.Millisecond
		rented.Addr, rented.Up = addr, true
		s.machines[name] = m
		s.mu.Unlock()
		s.c.Note("%s is up", name)
		m.Run(s.ctx.Done())
	})
}

// powerOff ends a machine that was deleted. s.mu is held.
func (s *Site) powerOff(name string) {
	if m := s.machines[name]; m != nil {
		s.c.Note("%s is deleted", name)
		m.PowerOff()
		delete(s.machines, name)
	}
}

// Expect sets the troubles to come of a machine and the order in which it tries the controllers.
func (m *Machine) Expect(order []string, troubles ...Trouble) {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	m.ControllerIndex = slices.Index(order, m.Controllers[m.ControllerIndex])
	m.Controllers, m.troubles = order, troubles
}

// Pending returns the number of troubles that have not begun.
func (m *Machine) Pending() int {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	return len(m.troubles)
}

// ReportsTo returns the controller to which a machine reports.
func (m *Machine) ReportsTo() string {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	return m.Controllers[m.ControllerIndex]
}

// LeaseRenewed returns when the machine's last answered report was sent.
func (m *Machine) LeaseRenewed() time.Time {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	return m.LeaseRenewedAt
}

// report sends a report to a controller and returns the answer. Status 0 means that there was none in
// time, or that the machine was hanging then.
func (m *Machine) report(label string, body []byte) (int, []byte) {
	s := m.site
	// A change is reported no more often than every half second.
	_ = Sleep(s.ctx, time.Until(m.reportedAt.Add(minReportInterval)))
	m.reportedAt = time.Now()
	var node *Node
	for _, n := range s.Nodes {
		if n.Label == label {
			node = n
		}
	}
	s.mu.Lock()
	var trouble *Trouble
	if len(m.troubles) > 0 && m.troubles[0].To == label {
		trouble, m.troubles = &m.troubles[0], m.troubles[1:]
	}
	s.mu.Unlock()
	if trouble != nil {
		m.suffer(trouble, node, body)
		m.tryNext()
		return 0, nil
	}
	status, answer := post(s.ctx, node.Addr, body)
	if m.watched() {
		s.c.Note("%s reports to %s: %d %s", m.Name, label, status, describe(status, answer))
	}
	switch status {
	case http.StatusOK:
		m.HeartbeatInterval = settings.Seconds(ombili.AgentTimes.HeartbeatS)
	case http.StatusMisdirectedRequest:
		m.HeartbeatInterval = 0 // at once
	default:
		m.tryNext()
	}
	return status, answer
}

// suffer sends a report whose answer the machine does not get.
func (m *Machine) suffer(trouble *Trouble, node *Node, body []byte) {
	s := m.site
	m.setTrouble(trouble, true)
	if !trouble.Cut {
		s.group.Go(func() { _, _ = post(s.ctx, node.Addr, body) })
		s.c.Note("%s has sent a report to %s and hangs for %s", m.Name, node.Label, trouble.For)
		_ = Sleep(s.ctx, trouble.For)
		m.setTrouble(trouble, false)
		s.c.Note("%s goes on: no answer of %s within %s", m.Name, node.Label, answerLimit)
		return
	}
	_, _ = post(s.ctx, node.Addr, body)
	s.c.Note("%s has sent a report to %s; their network is interrupted for %s and the connection reset", m.Name, node.Label, trouble.For)
	s.group.Go(func() {
		_ = Sleep(s.ctx, trouble.For)
		m.setTrouble(trouble, false)
		s.c.Note("%s can be reached again", m.Name)
	})
}

// tryNext waits until the next controller is tried.
func (m *Machine) tryNext() {
	_ = Sleep(m.site.ctx, retryPause)
	m.HeartbeatInterval = 0
}

// describe returns the token of an answer, or the controller that it names.
func describe(status int, answer []byte) string {
	var batch protocol.CommandBatch
	var assigned protocol.AssignedController
	switch {
	case status == http.StatusOK && protocol.Decode(answer, &batch) == nil:
		return fmt.Sprintf("with token %d and %d commands", batch.Token, len(batch.Commands))
	case status == http.StatusMisdirectedRequest && protocol.Decode(answer, &assigned) == nil:
		return "home " + assigned.Controller
	}
	return ""
}

// watched reports whether the machine's reports are in the record: those of machines with troubles.
func (m *Machine) watched() bool {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	return m.troubles != nil
}

func post(ctx context.Context, addr string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/checkin", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close() //nolint:errcheck // read below
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// listen serves the machine's own address. While the machine can't be reached, it accepts no connection:
// an attempt to connect gets no answer, and one that is given up does not complete later. What comes to a
// hanging machine over an open connection waits and is carried out when the machine goes on.
func (m *Machine) listen() (string, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	// With this backlog, one waiting connection fills the queue.
	err = errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "worker")
	defer file.Close() //nolint:errcheck // the listener has a copy
	if err != nil {
		return "", err
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return "", err
	}
	m.listener = listener.(*net.TCPListener)
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: handler(func(_ context.Context, r *http.Request, body []byte) *transport.Response {
		for m.isHung() {
			if Sleep(m.site.ctx, 20*time.Millisecond) != nil {
				return nil
			}
		}
		m.site.mu.Lock()
		defer m.site.mu.Unlock()
		before := m.Token
		answer := m.Serve(r.URL.Path, body)
		if m.troubles != nil && answer != nil {
			m.site.c.Note("%s gets %s: %d, its token was %d and is %d", m.Name, r.URL.Path, answer.Status, before, m.Token)
		}
		return answer
	})}
	m.site.group.Go(func() { _ = server.Serve(gate{m.listener, m}) })
	m.site.group.Go(func() {
		<-m.site.ctx.Done()
		_ = server.Close()
	})
	return listener.Addr().String(), nil
}

// gate is a listener that accepts nothing while its machine can't be reached.
type gate struct {
	*net.TCPListener
	machine *Machine
}

// Accept implements net.Listener.
func (g gate) Accept() (net.Conn, error) {
	for {
		if g.machine.isUnreachable() {
			time.Sleep(5 * time.Millisecond)
			if g.machine.site.ctx.Err() != nil {
				return nil, net.ErrClosed
			}
			continue
		}
		if err := g.SetDeadline(time.Now().Add(5 * time.Millisecond)); err != nil {
			return nil, err
		}
		conn, err := g.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}

func (m *Machine) isHung() bool {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	return m.hung
}

func (m *Machine) isUnreachable() bool {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	return m.unreachable
}

// setTrouble begins or ends a trouble. At its begin, connections of the machine's own fill the queue of
// connections that it does not accept.
func (m *Machine) setTrouble(trouble *Trouble, on bool) {
	m.site.mu.Lock()
	m.unreachable, m.hung = on, on && !trouble.Cut
	m.site.mu.Unlock()
	if !on {
		return
	}
	time.Sleep(10 * time.Millisecond) // until the last Accept has returned
	for range 2 {
		conn, err := net.DialTimeout("tcp4", m.Addr, 20*time.Millisecond)
		if err != nil {
			return
		}
		m.site.group.Go(func() {
			for m.isUnreachable() && m.site.ctx.Err() == nil {
				time.Sleep(5 * time.Millisecond)
			}
			_ = conn.Close()
		})
	}
}

// handler returns a handler that answers with a stand-in's responses; nil closes the connection.
func handler(serve func(ctx context.Context, r *http.Request, body []byte) *transport.Response) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		if err != nil {
			return
		}
		answer := serve(r.Context(), r, body)
		if answer == nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/msgpack")
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body)
	})
}

// serve serves a stand-in on a free loopback port.
func (s *Site) serve(answer func(ctx context.Context, r *http.Request, body []byte) *transport.Response) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, BaseContext: func(net.Listener) context.Context { return s.ctx }, Handler: handler(answer)}
	s.group.Go(func() { _ = server.Serve(listener) })
	s.group.Go(func() {
		<-s.ctx.Done()
		_ = server.Close()
	})
	return listener.Addr().String(), nil
}

// freeAddr returns a loopback address that is free now.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close() //nolint:errcheck // nothing was written
	return listener.Addr().String(), nil
}

// RunTime implements agent.Workload.
func (s *Site) RunTime(string, int, string) (time.Duration, bool) {
	return settings.Seconds(s.runS), true
}

// Fails implements agent.Workload; no task fails.
func (s *Site) Fails(string, int, string) bool { return false }

// Accepting implements agent.Watcher.
func (s *Site) Accepting(*agent.Agent, protocol.Command) {}

// Running implements agent.Watcher.
func (s *Site) Running(*agent.Agent, *agent.Task, time.Time) {}

// Ended implements agent.Watcher.
func (s *Site) Ended(a *agent.Agent, t *agent.Task) {
	s.c.Note("%s ends on %s: %s", t.Name, a.Name, t.Cause)
}

// Started implements agent.Watcher. It checks that the task is on no other machine. s.mu is held.
func (s *Site) Started(a *agent.Agent, t *agent.Task) {
	s.c.Note("%s starts on %s (attempt %d, token %d)", t.Name, a.Name, t.Attempt, a.Token)
	for _, m := range s.machines {
		if m.Agent != a && m.has(t.Name) {
			s.doubles = append(s.doubles, fmt.Sprintf("%s starts on %s while it runs on %s, whose lease was renewed %s ago and lasts %s", t.Name, a.Name, m.Name,
				time.Since(m.LeaseRenewedAt).Round(time.Millisecond), m.LeaseDuration))
		}
	}
}
