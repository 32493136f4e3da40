package devcluster

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"
	"google.golang.org/grpc"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"

	"micaspindle/internal/buildtool"
	"micaspindle/internal/identity"
)

// Builder is who the laboratory's builds are of.
const Builder = "service/builder"

// Instances are the instance names of the laboratory's gates, and their teams.
var Instances = map[string]string{"": "venues", "refunds": "payments", "placements": "placements-desk"}

// Gate is one gate's process.
type Gate struct {
	Label, Addr, LogFile string
	// Kills counts how often it was killed.
	Kills    int
	settings string
	cmd      *exec.Cmd
	exited   <-chan struct{}
}

// Exited tells when the gate's process has ended.
func (g *Gate) Exited() <-chan struct{} { return g.exited }

// Pid is the gate's process.
func (g *Gate) Pid() int { return g.cmd.Process.Pid }

// Gates returns the gates.
func (c *Cluster) Gates() []*Gate { return c.gates }

// GateAddrs are the addresses that build clients speak to.
func (c *Cluster) GateAddrs() []string {
	var out []string
	for _, g := range c.gates {
		out = append(out, g.Addr)
	}
	return out
}

func gatesOnly(n identity.Name) bool { return n.Kind == identity.Service }

// prepareGates gives the gates their addresses and settings, and machines their
// connection to them. Gates are started once the controllers are.
func (c *Cluster) prepareGates() error {
	if c.opt.Gates == 0 {
		return nil
	}
	for i := range c.opt.Gates {
		g := &Gate{Label: fmt.Sprintf("gate-%d", i)}
		var err error
		if g.Addr, err = c.freeAddr(); err != nil {
			return err
		}
		g.settings, g.LogFile = filepath.Join(c.opt.Dir, g.Label+".yaml"), filepath.Join(c.opt.Dir, g.Label+".log")
		c.gates = append(c.gates, g)
	}
	for _, g := range c.gates {
		peers := map[string]string{}
		for _, o := range c.gates {
			if o != g {
				peers[o.Addr] = "service/" + o.Label
			}
		}
		set := map[string]any{"listen": g.Addr, "controllers": c.Addrs(), "instances": Instances, "execute": true, "client_results": true,
			"peers": peers, "copies": min(2, c.opt.Gates),
			"store": map[string]any{"dir": filepath.Join(c.opt.Dir, g.Label), "max_gb": 2, "max_blob_mb": 256, "promise": "10m"}}
		if h := c.opt.Hosted; h != nil {
			own, err := h.certificate("service/" + g.Label)
			if err != nil {
				return err
			}
			set["identity"] = map[string]string{"own": own, "roots": h.Roots}
		}
		data, err := yaml.Marshal(set)
		if err != nil {
			return fmt.Errorf("lab: settings of %s: %w", g.Label, err)
		}
		if err := os.WriteFile(g.settings, data, 0o600); err != nil {
			return fmt.Errorf("lab: settings: %w", err)
		}
	}
	conn, err := c.dialGates(true, "")
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	c.group.Go(func() {
		<-c.ctx.Done()
		_ = conn.Close()
	})
	c.opt.Gate = conn
	return nil
}

// dialGates connects to the gates: machines with their certificate, others with a
// token.
func (c *Cluster) dialGates(machine bool, token string) (*grpc.ClientConn, error) {
	var secure *tls.Config
	if h := c.opt.Hosted; h != nil {
		if secure = h.worker.Client(gatesOnly); !machine {
			secure.GetClientCertificate = nil
		}
	}
	return buildtool.Dial(c.GateAddrs(), secure, token)
}

// BuildConn is a connection of somebody's build client to the gates.
func (c *Cluster) BuildConn(who string) (*grpc.ClientConn, error) {
	token := ""
	if h := c.opt.Hosted; h != nil {
		var err error
		if token, err = h.read(who); err != nil {
			return nil, err
		}
	}
	return c.dialGates(false, token)
}

// RestartGate starts a gate that does not run.
func (c *Cluster) RestartGate(g *Gate) error {
	cmd := exec.Command(c.opt.GateBinary, "--config", g.settings)
	c.release(g.Addr)
	exited, err := c.spawn(g.Label, g.LogFile, cmd)
	if err != nil {
		return err
	}
	g.cmd, g.exited = cmd, exited
	return nil
}

// KillGate ends a gate as kill -9 does.
func (c *Cluster) KillGate(g *Gate) {
	_ = g.cmd.Process.Kill()
	<-g.exited
	g.Kills++
}

// startGates starts all gates and waits until they serve.
func (c *Cluster) startGates(ctx context.Context) error {
	for _, g := range c.gates {
		if err := c.RestartGate(g); err != nil {
			return err
		}
	}
	for _, g := range c.gates {
		if err := c.awaitGate(ctx, g); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) awaitGate(ctx context.Context, g *Gate) error {
	var secure *tls.Config
	if h := c.opt.Hosted; h != nil {
		secure = h.worker.Client(gatesOnly)
	}
	conn, err := buildtool.Dial([]string{g.Addr}, secure, "")
	if err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	defer conn.Close() //nolint:errcheck // only asked
	for {
		once, cancel := context.WithTimeout(ctx, time.Second)
		resp, err := healthpb.NewHealthClient(conn).Check(once, &healthpb.HealthCheckRequest{})
		cancel()
		if err == nil && resp.GetStatus() == healthpb.HealthCheckResponse_SERVING {
			return nil
		}
		select {
		case <-g.exited:
			return fmt.Errorf("lab: %s ended while it started: %s", g.Label, lastLine(g.LogFile))
		case <-ctx.Done():
			return fmt.Errorf("lab: %s did not become ready: %w; log: %s", g.Label, errors.Join(ctx.Err(), err), g.LogFile)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// stopGates asks the gates to end and waits for them.
func (c *Cluster) stopGates() {
	for _, g := range c.gates {
		if g.cmd != nil {
			_ = g.cmd.Process.Signal(os.Interrupt)
		}
	}
	for _, g := range c.gates {
		if g.cmd == nil {
			continue
		}
		select {
		case <-g.exited:
		case <-time.After(3 * time.Second): // clients that wait hold it up
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
}
