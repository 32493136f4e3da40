package devcluster

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"micaspindle/internal/storage"
)

const (
	probeTimeout     = time.Second
	probeInterval    = 50 * time.Millisecond
	terminateTimeout = 10 * time.Second
)

// Node is the process of a controller.
type Node struct {
	Label, Addr, Peer, LogFile string
	// Operations is the address of the operators' HTTP interface.
	Operations string
	// Kills counts the calls of KillNode.
	Kills        int
	settingsFile string
	operatorFile string
	cmd          *exec.Cmd
	exited       <-chan struct{}
}

// Exited returns a channel that is closed when the process has exited.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// Pid returns the process ID.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Nodes returns the controllers.
func (c *Cluster) Nodes() []*Node { return c.nodes }

// Addrs returns the controllers' addresses for users and workers.
func (c *Cluster) Addrs() []string {
	var addrs []string
	for _, node := range c.nodes {
		addrs = append(addrs, node.Addr)
	}
	return addrs
}

// prepareNodes assigns the controllers' labels, addresses and file names.
func (c *Cluster) prepareNodes() error {
	for i := range c.options.Controllers {
		node := &Node{Label: "spindle-" + strconv.Itoa(i)}
		for _, addr := range []*string{&node.Addr, &node.Peer, &node.Operations} {
			var err error
			if *addr, err = c.reserveAddr(); err != nil {
				return err
			}
		}
		node.settingsFile = filepath.Join(c.options.Dir, node.Label+".json")
		node.operatorFile = filepath.Join(c.options.Dir, node.Label+".yaml")
		node.LogFile = filepath.Join(c.options.Dir, node.Label+".log")
		c.nodes = append(c.nodes, node)
	}
	return nil
}

// StartNode starts a controller's process, which must not be running.
func (c *Cluster) StartNode(node *Node) error {
	cmd := exec.Command(c.options.Binary, "--config", node.settingsFile, "--operator", node.operatorFile)
	c.releaseAddr(node.Addr)
	c.releaseAddr(node.Peer)
	c.releaseAddr(node.Operations)
	exited, err := c.startProcess(node.Label, node.LogFile, cmd)
	if err != nil {
		return err
	}
	node.cmd, node.exited = cmd, exited
	return nil
}

// KillNode kills a controller with SIGKILL and waits until it has exited.
func (c *Cluster) KillNode(node *Node) {
	_ = node.cmd.Process.Kill()
	<-node.exited
	node.Kills++
}

// TerminateNode sends SIGTERM to a controller, waits until it has exited, and returns its exit
// code.
func (c *Cluster) TerminateNode(node *Node) (code int, err error) {
	if err := node.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, fmt.Errorf("terminate %s: %w", node.Label, err)
	}
	select {
	case <-node.exited:
		return node.cmd.ProcessState.ExitCode(), nil
	case <-time.After(terminateTimeout):
		return 0, fmt.Errorf("terminate %s: still running %s after SIGTERM", node.Label, terminateTimeout)
	}
}

// stopControllers interrupts all controllers and kills those that do not exit within stopGrace.
func (c *Cluster) stopControllers() {
	for _, node := range c.nodes {
		if node.cmd != nil {
			_ = node.cmd.Process.Signal(os.Interrupt)
		}
	}
	for _, node := range c.nodes {
		if node.cmd == nil {
			continue
		}
		select {
		case <-node.exited:
		case <-time.After(stopGrace):
			_ = node.cmd.Process.Kill()
		}
	}
}

// Leader returns the cluster leader according to the state store, or nil if there is none.
func (c *Cluster) Leader() *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lease storage.Lease
	item, ok := c.state.Items[storage.LeadershipKey]
	if !ok || storage.Decode(item.Value, &lease) != nil {
		return nil
	}
	for _, node := range c.nodes {
		if node.Label == lease.Holder {
			return node
		}
	}
	return nil
}

// AwaitReady waits until all controllers serve and one is the cluster leader, then starts
// the front ends and waits for them.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	probe := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{TLSClientConfig: c.options.Identities.workerTLS()}}
	defer probe.CloseIdleConnections()
	for {
		ready, err := c.countReady(ctx, probe)
		if err != nil {
			return err
		}
		if ready == len(c.nodes) && c.Leader() != nil {
			return c.startFrontEnds(ctx)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("devcluster: the cluster did not become ready: %w; logs: %s", ctx.Err(), c.options.Dir)
		case <-time.After(probeInterval):
		}
	}
}

// countReady returns the number of ready controllers, or an error if a controller has exited.
func (c *Cluster) countReady(ctx context.Context, probe *http.Client) (int, error) {
	ready := 0
	for _, node := range c.nodes {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.scheme()+"://"+node.Addr+"/healthz", nil)
		if err != nil {
			return 0, fmt.Errorf("devcluster: %w", err)
		}
		resp, err := probe.Do(req)
		if err != nil {
			select {
			case <-node.exited:
				return 0, fmt.Errorf("devcluster: %s exited during startup: %s", node.Label, lastLine(node.LogFile))
			default:
				continue
			}
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready++
		}
	}
	return ready, nil
}
