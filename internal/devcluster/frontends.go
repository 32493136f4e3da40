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

// Builder is the identity of the cluster's build clients.
const Builder = "service/builder"

// Instances maps the instance names of the cluster's front ends to teams.
var Instances = map[string]string{"": "venues", "refunds": "payments", "placements": "placements-desk"}

// Values of the front ends' settings.
const (
	maxCopies = 2
	storeGB   = 2
	maxBlobMB = 256
	retention = "10m"
)

const (
	healthTimeout  = time.Second
	healthInterval = 20 * time.Millisecond
)

// FrontEnd is the process of a front end.
type FrontEnd struct {
	Label, Addr, LogFile string
	// Kills counts the calls of KillFrontEnd.
	Kills        int
	settingsFile string
	cmd          *exec.Cmd
	exited       <-chan struct{}
}

// Exited returns a channel that is closed when the process has exited.
func (f *FrontEnd) Exited() <-chan struct{} { return f.exited }

// Pid returns the process ID.
func (f *FrontEnd) Pid() int { return f.cmd.Process.Pid }

// identity returns the name of the front end's identity.
func (f *FrontEnd) identity() string { return "service/" + f.Label }

// FrontEnds returns the front ends.
func (c *Cluster) FrontEnds() []*FrontEnd { return c.frontEnds }

// FrontEndAddrs returns the front ends' addresses for build clients.
func (c *Cluster) FrontEndAddrs() []string {
	var addrs []string
	for _, frontEnd := range c.frontEnds {
		addrs = append(addrs, frontEnd.Addr)
	}
	return addrs
}

// isService reports whether an identity is that of a service, as front ends have.
func isService(name identity.Name) bool { return name.Kind == identity.Service }

// prepareFrontEnds assigns the front ends' addresses, writes their settings, and opens the
// machines' connection to them. startFrontEnds starts them later.
func (c *Cluster) prepareFrontEnds() error {
	if c.options.FrontEnds == 0 {
		return nil
	}
	for i := range c.options.FrontEnds {
		frontEnd := &FrontEnd{Label: fmt.Sprintf("gate-%d", i)}
		var err error
		if frontEnd.Addr, err = c.reserveAddr(); err != nil {
			return err
		}
		frontEnd.settingsFile = filepath.Join(c.options.Dir, frontEnd.Label+".yaml")
		frontEnd.LogFile = filepath.Join(c.options.Dir, frontEnd.Label+".log")
		c.frontEnds = append(c.frontEnds, frontEnd)
	}
	for _, frontEnd := range c.frontEnds {
		if err := c.writeFrontEndSettings(frontEnd); err != nil {
			return err
		}
	}
	conn, err := c.dialFrontEnds(true, "")
	if err != nil {
		return fmt.Errorf("devcluster: %w", err)
	}
	c.group.Go(func() {
		<-c.ctx.Done()
		_ = conn.Close()
	})
	c.options.FrontEndConn = conn
	return nil
}

// frontEndSettings is the content of a front end's settings file.
type frontEndSettings struct {
	Listen        string            `yaml:"listen"`
	Controllers   []string          `yaml:"controllers"`
	Instances     map[string]string `yaml:"instances"`
	Execute       bool              `yaml:"execute"`
	ClientResults bool              `yaml:"client_results"`
	Peers         map[string]string `yaml:"peers"` // identities by address
	Copies        int               `yaml:"copies"`
	Store         storeSettings     `yaml:"store"`
	Identity      *identityFiles    `yaml:"identity,omitempty"`
}

// storeSettings is the section of a front end's settings about its blob store.
type storeSettings struct {
	Dir       string `yaml:"dir"`
	MaxGB     int    `yaml:"max_gb"`
	MaxBlobMB int    `yaml:"max_blob_mb"`
	Promise   string `yaml:"promise"`
}

// identityFiles is the section of a front end's settings about its certificates.
type identityFiles struct {
	Own   string `yaml:"own"`
	Roots string `yaml:"roots"`
}

// writeFrontEndSettings writes the settings file of a front end.
func (c *Cluster) writeFrontEndSettings(frontEnd *FrontEnd) error {
	config := frontEndSettings{
		Listen:        frontEnd.Addr,
		Controllers:   c.Addrs(),
		Instances:     Instances,
		Execute:       true,
		ClientResults: true,
		Peers:         map[string]string{},
		Copies:        min(maxCopies, c.options.FrontEnds),
		Store: storeSettings{
			Dir:       filepath.Join(c.options.Dir, frontEnd.Label),
			MaxGB:     storeGB,
			MaxBlobMB: maxBlobMB,
			Promise:   retention,
		},
	}
	for _, other := range c.frontEnds {
		if other != frontEnd {
			config.Peers[other.Addr] = other.identity()
		}
	}
	if identities := c.options.Identities; identities != nil {
		own, err := identities.issueCertificate(frontEnd.identity())
		if err != nil {
			return err
		}
		config.Identity = &identityFiles{Own: own, Roots: identities.Roots}
	}
	data, err := yaml.Marshal(config)
	if err != nil {
		return fmt.Errorf("devcluster: settings of %s: %w", frontEnd.Label, err)
	}
	if err := os.WriteFile(frontEnd.settingsFile, data, 0o600); err != nil {
		return fmt.Errorf("devcluster: settings: %w", err)
	}
	return nil
}

// dialFrontEnds connects to the front ends, with the machines' certificate if machine is set and
// otherwise with a token.
func (c *Cluster) dialFrontEnds(machine bool, token string) (*grpc.ClientConn, error) {
	var tlsConfig *tls.Config
	if identities := c.options.Identities; identities != nil {
		if tlsConfig = identities.workerKeyring.ClientConfig(isService); !machine {
			tlsConfig.GetClientCertificate = nil
		}
	}
	return buildtool.Dial(c.FrontEndAddrs(), tlsConfig, token)
}

// BuildConn connects a build client to the front ends with the token of the named identity.
func (c *Cluster) BuildConn(name string) (*grpc.ClientConn, error) {
	token := ""
	if identities := c.options.Identities; identities != nil {
		var err error
		if token, err = identities.readToken(name); err != nil {
			return nil, err
		}
	}
	return c.dialFrontEnds(false, token)
}

// StartFrontEnd starts a front end's process, which must not be running.
func (c *Cluster) StartFrontEnd(frontEnd *FrontEnd) error {
	cmd := exec.Command(c.options.FrontEndBinary, "--config", frontEnd.settingsFile)
	c.releaseAddr(frontEnd.Addr)
	exited, err := c.startProcess(frontEnd.Label, frontEnd.LogFile, cmd)
	if err != nil {
		return err
	}
	frontEnd.cmd, frontEnd.exited = cmd, exited
	return nil
}

// KillFrontEnd kills a front end with SIGKILL and waits until it has exited.
func (c *Cluster) KillFrontEnd(frontEnd *FrontEnd) {
	_ = frontEnd.cmd.Process.Kill()
	<-frontEnd.exited
	frontEnd.Kills++
}

// startFrontEnds starts all front ends and waits until they are serving.
func (c *Cluster) startFrontEnds(ctx context.Context) error {
	for _, frontEnd := range c.frontEnds {
		if err := c.StartFrontEnd(frontEnd); err != nil {
			return err
		}
	}
	for _, frontEnd := range c.frontEnds {
		if err := c.awaitFrontEnd(ctx, frontEnd); err != nil {
			return err
		}
	}
	return nil
}

// awaitFrontEnd waits until a front end's health check reports that it is serving.
func (c *Cluster) awaitFrontEnd(ctx context.Context, frontEnd *FrontEnd) error {
	var tlsConfig *tls.Config
	if identities := c.options.Identities; identities != nil {
		tlsConfig = identities.workerKeyring.ClientConfig(isService)
	}
	conn, err := buildtool.Dial([]string{frontEnd.Addr}, tlsConfig, "")
	if err != nil {
		return fmt.Errorf("devcluster: %w", err)
	}
	defer conn.Close() //nolint:errcheck // used for health checks only
	for {
		checkCtx, cancel := context.WithTimeout(ctx, healthTimeout)
		resp, err := healthpb.NewHealthClient(conn).Check(checkCtx, &healthpb.HealthCheckRequest{})
		cancel()
		if err == nil && resp.GetStatus() == healthpb.HealthCheckResponse_SERVING {
			return nil
		}
		select {
		case <-frontEnd.exited:
			return fmt.Errorf("devcluster: %s exited during startup: %s", frontEnd.Label, lastLine(frontEnd.LogFile))
		case <-ctx.Done():
			return fmt.Errorf("devcluster: %s did not become ready: %w; log: %s", frontEnd.Label, errors.Join(ctx.Err(), err), frontEnd.LogFile)
		case <-time.After(healthInterval):
		}
	}
}

// stopFrontEnds interrupts all front ends. It kills those that do not exit within stopGrace, for
// example because clients still wait for results.
func (c *Cluster) stopFrontEnds() {
	for _, frontEnd := range c.frontEnds {
		if frontEnd.cmd != nil {
			_ = frontEnd.cmd.Process.Signal(os.Interrupt)
		}
	}
	for _, frontEnd := range c.frontEnds {
		if frontEnd.cmd == nil {
			continue
		}
		select {
		case <-frontEnd.exited:
		case <-time.After(stopGrace):
			_ = frontEnd.cmd.Process.Kill()
			<-frontEnd.exited
		}
	}
}
