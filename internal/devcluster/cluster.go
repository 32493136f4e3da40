// Package devcluster runs a development cluster on loopback: fakes of the state store, the
// cloud and the worker agents as small HTTP servers, and real controllers and Remote
// Execution front ends as processes. It listens on 127.0.0.1 only, and all of it ends with
// its context.
package devcluster

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/fake/cloud"
	"micaspindle/internal/fake/state"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/transport"
)

// Options configure a cluster.
type Options struct {
	Controllers int
	// Binary is the controllers' program.
	Binary string
	// Dir holds settings, keys and logs.
	Dir string
	// Identities are the cluster's identities; nil: no authentication, everything is allowed.
	Identities *Identities
	// WriteRPS and RPS are the changes and requests per second that the state store allows.
	WriteRPS, RPS float64
	LogLevel      string
	// FrontEndConn is where machines fetch build actions from; nil: from the cluster's own front
	// ends, if it has any.
	FrontEndConn grpc.ClientConnInterface
	// FrontEnds is the number of front ends, GateBinary their program.
	FrontEnds      int
	FrontEndBinary string
	// Machines bounds the rented machines, Sockets is the limit of sockets in the
	// controllers' settings; 0: defaultMachines and defaultSockets.
	Machines, Sockets int
}

const (
	defaultMachines = 24
	defaultSockets  = 2000

	// listLag is how far the cloud's machine list is behind.
	listLag = 2 * time.Second
	// heartbeatTimeout bounds the sending of a heartbeat; maxIdleHeartbeatConns is how many
	// connections to a controller the machines share.
	heartbeatTimeout      = 4 * time.Second
	maxIdleHeartbeatConns = 64
	// stopGrace is how long a process may take to end before it is killed.
	stopGrace = 3 * time.Second
)

// Cluster is a running cluster.
type Cluster struct {
	options Options
	ctx     context.Context // ends with the cluster
	cancel  context.CancelFunc
	group   sync.WaitGroup

	// mu guards the fakes and what follows up to results.
	mu      sync.Mutex
	rng     *rand.Rand
	state   *state.Service
	cloud   *cloud.Service
	agents  map[string]*agent.Agent // by machine
	results map[string]bool         // tasks that are done

	nodes           []*Node
	frontEnds       []*FrontEnd
	heartbeatClient *http.Client
	// addresses are those of processes, with what reserves them.
	addresses map[string]reservation
}

// Teams, zones and machine types, as in a small deployment.
var (
	teams = []settings.Team{{Name: "placements-desk", CPUs: 32, CPUsMax: 128}, {Name: "payments", CPUs: 16, CPUsMax: 96}, {Name: "venues"}}
	zones = []string{"almaty", "windhoek"}
	types = []protocol.MachineType{
		{Name: "desk-box", CPUs: 16, MemGB: 64, CacheGB: 40, FetchGBPerS: 1, Price: 0.74, SpotPrice: 0.19, BootS: 1, ZonesOffered: zones},
		{Name: "hall-rack", CPUs: 64, MemGB: 256, CacheGB: 80, FetchGBPerS: 2, Price: 3.22, SpotPrice: 0.93, BootS: 2, ZonesOffered: zones}}
)

// Start starts a cluster that runs until Stop is called or ctx ends.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{
		options:   options,
		rng:       rand.New(rand.NewPCG(1, 2)),
		agents:    map[string]*agent.Agent{},
		results:   map[string]bool{},
		addresses: map[string]reservation{},
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.heartbeatClient = &http.Client{
		Timeout:   heartbeatTimeout,
		Transport: &http.Transport{TLSClientConfig: options.Identities.workerTLS(), MaxIdleConnsPerHost: maxIdleHeartbeatConns},
	}
	c.state, c.cloud = state.New(&c.mu), cloud.New(&c.mu)
	c.cloud.Types, c.cloud.Capacity, c.cloud.ListLag = types, cmp.Or(options.Machines, defaultMachines), listLag
	c.cloud.Boot, c.cloud.Stop = c.bootMachine, c.stopMachine
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// start starts the fakes and the controllers. Front ends are prepared only: they need
// controllers to start.
func (c *Cluster) start() error {
	services, err := c.startServices()
	if err != nil {
		return err
	}
	if err := c.reserveNodes(); err != nil {
		return err
	}
	if err := c.prepareFrontEnds(); err != nil {
		return err
	}
	params := c.params()
	c.limitState(params.State)
	for i, node := range c.nodes {
		if err := c.writeNodeSettings(node, zones[i%len(zones)], services, params); err != nil {
			return err
		}
		if err := c.Restart(node); err != nil {
			return err
		}
	}
	return nil
}

// startServices serves the fakes of the state store and the cloud.
func (c *Cluster) startServices() (services settings.Services, err error) {
	services.State, err = c.serve(nil, func(ctx context.Context, r *http.Request, body []byte) *transport.Response {
		return c.state.Serve(ctx, "", r.Method, r.URL.Path, r.URL.Query(), body)
	})
	if err != nil {
		return services, err
	}
	services.Cloud, err = c.serve(nil, func(_ context.Context, r *http.Request, body []byte) *transport.Response {
		return c.cloud.Serve(r.Method, r.URL.Path, r.URL.Query(), body)
	})
	return services, err
}

// Identities returns the cluster's identities, nil if it has none.
func (c *Cluster) Identities() *Identities { return c.options.Identities }

// State calls f with the state store, whose lock is held; f must not keep what it sees.
func (c *Cluster) State(f func(*state.Service)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.state)
}

// changes returns how many transactions have changed something so far.
func (c *Cluster) changes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.state.Revision)
}

// Stop stops everything and waits for it.
func (c *Cluster) Stop() {
	c.stopFrontEnds()
	c.stopControllers()
	c.cancel()
	c.mu.Lock()
	for _, a := range c.agents {
		a.PowerOff()
	}
	c.mu.Unlock()
	c.group.Wait()
	c.releaseAddrs()
}
