// Package devcluster runs a development cluster on loopback: fakes of the state store, the
// cloud and the worker agents as small HTTP servers, and real controllers and Remote
// Execution front ends as processes. Everything listens on 127.0.0.1 only and stops when the
// cluster's context is done.
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

// Options holds the settings of a cluster.
type Options struct {
	Controllers int
	// Binary is the path of the controllers' executable.
	Binary string
	// Dir holds settings, keys and logs.
	Dir string
	// Identities are the cluster's identities; nil disables authentication and authorization.
	Identities *Identities
	// WriteRPS and RPS are the state store's limits on writes and on requests per second.
	WriteRPS, RPS float64
	LogLevel      string
	// FrontEndConn is the connection over which machines fetch build actions; nil selects the
	// cluster's own front ends, if it has any.
	FrontEndConn grpc.ClientConnInterface
	// FrontEnds is the number of front ends, and FrontEndBinary the path of their executable.
	FrontEnds      int
	FrontEndBinary string
	// Machines is the number of machines that the cloud provides, and Sockets the socket limit in
	// the controllers' settings. 0 selects defaultMachines and defaultSockets.
	Machines, Sockets int
}

const (
	defaultMachines = 24
	defaultSockets  = 2000

	// listLag is the staleness of the cloud's machine list.
	listLag = 2 * time.Second
	// heartbeatTimeout is the timeout of a heartbeat request. maxIdleHeartbeatConns is the
	// maximum number of idle connections to each controller, for all machines together.
	heartbeatTimeout      = 4 * time.Second
	maxIdleHeartbeatConns = 64
	// stopGrace is the time after which a process that has not exited is killed.
	stopGrace = 3 * time.Second
)

// Cluster is a running cluster.
type Cluster struct {
	options Options
	ctx     context.Context // done when the cluster stops
	cancel  context.CancelFunc
	group   sync.WaitGroup

	// mu guards rng, the fakes and completedTasks.
	mu             sync.Mutex
	rng            *rand.Rand
	state          *state.Service
	cloud          *cloud.Service
	agents         map[string]*agent.Agent // by machine
	completedTasks map[string]bool         // by task name

	nodes           []*Node
	frontEnds       []*FrontEnd
	heartbeatClient *http.Client
	// addresses are the reserved addresses of processes.
	addresses map[string]reservation
}

// Teams, zones and machine types of the cluster.
var (
	teams        = []settings.Team{{Name: "placements-desk", CPUs: 32, CPUsMax: 128}, {Name: "payments", CPUs: 16, CPUsMax: 96}, {Name: "venues"}}
	zones        = []string{"almaty", "windhoek"}
	machineTypes = []protocol.MachineType{
		{Name: "desk-box", CPUs: 16, MemGB: 64, CacheGB: 40, FetchGBPerS: 1, Price: 0.74, SpotPrice: 0.19, BootS: 1, Zones: zones},
		{Name: "hall-rack", CPUs: 64, MemGB: 256, CacheGB: 80, FetchGBPerS: 2, Price: 3.22, SpotPrice: 0.93, BootS: 2, Zones: zones}}
)

// Start starts a cluster that runs until Stop is called or ctx ends.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	c := &Cluster{
		options:        options,
		rng:            rand.New(rand.NewPCG(1, 2)),
		agents:         map[string]*agent.Agent{},
		completedTasks: map[string]bool{},
		addresses:      map[string]reservation{},
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.heartbeatClient = &http.Client{
		Timeout:   heartbeatTimeout,
		Transport: &http.Transport{TLSClientConfig: options.Identities.workerTLS(), MaxIdleConnsPerHost: maxIdleHeartbeatConns},
	}
	c.state, c.cloud = state.New(&c.mu), cloud.New(&c.mu)
	c.cloud.Types, c.cloud.Capacity, c.cloud.ListLag = machineTypes, cmp.Or(options.Machines, defaultMachines), listLag
	c.cloud.Boot, c.cloud.Stop = c.bootMachine, c.stopMachine
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// start starts the fakes and the controllers and prepares the front ends, which AwaitReady
// starts once the controllers serve.
func (c *Cluster) start() error {
	services, err := c.startServices()
	if err != nil {
		return err
	}
	if err := c.prepareNodes(); err != nil {
		return err
	}
	if err := c.prepareFrontEnds(); err != nil {
		return err
	}
	params := c.params()
	c.enforceStateLimits(params.State)
	for i, node := range c.nodes {
		if err := c.writeNodeSettings(node, zones[i%len(zones)], services, params); err != nil {
			return err
		}
		if err := c.StartNode(node); err != nil {
			return err
		}
	}
	return nil
}

// startServices starts the fakes of the state store and the cloud.
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

// Identities returns the cluster's identities, or nil without authentication.
func (c *Cluster) Identities() *Identities { return c.options.Identities }

// WithState calls f with the state store while the cluster's lock is held. f must not retain
// references to the store's data.
func (c *Cluster) WithState(f func(*state.Service)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.state)
}

// stateRevision returns the state store's revision, which counts the transactions that changed
// data.
func (c *Cluster) stateRevision() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int(c.state.Revision)
}

// Stop stops all processes and fakes and waits until they have ended.
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
