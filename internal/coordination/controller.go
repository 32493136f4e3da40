// Package coordination assembles a controller. It creates the state that the event loop owns
// and the components that work on it, and gives each component its collaborators. It runs the
// background tasks and periodic work of the components and routes requests from other
// controllers. It makes no decisions of its own.
//
// docs/architecture.md shows the packages and which of them owns which state.
package coordination

import (
	"context"
	"log/slog"

	"micaspindle/internal/coordination/agents"
	"micaspindle/internal/coordination/api"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/autoscaler"
	"micaspindle/internal/coordination/cloudclient"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/commit"
	"micaspindle/internal/coordination/jobs"
	"micaspindle/internal/coordination/lease"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/coordination/records"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/coordination/scheduler"
	"micaspindle/internal/coordination/takeover"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// Controller is one controller process: the state that its event loop owns, and the components that
// work on it. Controller only connects the components; they make the decisions.
type Controller struct {
	*cluster.State
	loop  *eventloop.Loop
	store *storage.Store
	log   *slog.Logger
	// metrics is set by Observe; nil disables metrics.
	metrics *telemetry.Metrics
	bounds  *telemetry.BoundReporter

	// The components. The package comment of each describes what it owns.

	scheduler  *scheduler.Scheduler
	agents     *agents.Agents
	jobs       *jobs.Tracker
	committer  *commit.Committer
	leases     *lease.Holder
	replicator *replication.Replicator
	takeover   *takeover.Takeover
	proxy      *proxy.Proxy
	cloud      *cloudclient.Client
	autoscaler *autoscaler.Autoscaler
	peering    *peering.Exchange
	auth       *auth.Auth
	watcher    *records.Watcher
	api        *api.Server
}

// New returns a controller that runs until ctx ends. Run starts the controller's background tasks;
// the controller may receive requests before that.
func New(ctx context.Context, set *settings.Settings, operator settings.Operator, network storage.Requester, log *slog.Logger) *Controller {
	params := set.Params
	state := cluster.NewState(set, operator)
	loop := eventloop.New(ctx, set.Label)
	store := storage.NewStore(network, set.Services.State, params.State, params.ControllerCount)
	bounds := telemetry.NewBoundReporter(log)
	store.OnPollRefused = func() { bounds.ReportExceeded(telemetry.WaitingPolls, 1) }
	c := &Controller{
		State: state, loop: loop, store: store, log: log, bounds: bounds,
		scheduler:  scheduler.New(state, store, log, bounds),
		agents:     agents.New(state, loop, network, store, log),
		jobs:       jobs.New(state, log, bounds),
		committer:  commit.New(state, loop, store, log),
		leases:     lease.New(state, loop, store, log),
		replicator: replication.New(state, loop, network, store, log, bounds),
		takeover:   takeover.New(state, loop, store, log),
		proxy:      proxy.New(state, loop, network, log, bounds),
		cloud:      cloudclient.New(state, loop, network),
		autoscaler: autoscaler.New(state, loop, network, store, log),
		peering:    peering.New(state, loop, network, store, log, bounds),
		auth:       auth.New(state, loop, store, log, bounds),
		watcher:    records.New(state, loop, store, log),
		api:        api.New(state, loop, store, log),
	}
	c.Dependencies.Init(c.Jobs, c.scheduler.JobRunTime)
	c.connect()
	return c
}

// connect gives the components their collaborators.
func (c *Controller) connect() {
	c.scheduler.Connect(c.agents)
	c.agents.Connect(c.cloud, c.jobs, c.leases, c.proxy, c.scheduler)
	c.jobs.Connect(c.agents, c.auth, c.scheduler)
	c.committer.Connect(c.agents, c.jobs, c.leases, c.scheduler)
	c.leases.Connect(c.autoscaler, c.replicator, c.takeover, c.watcher)
	c.replicator.Connect(c.auth, c.autoscaler, c.scheduler)
	c.takeover.Connect(c.agents, c.jobs, c.leases, c.proxy, c.replicator)
	c.proxy.Connect(c.agents, c.auth)
	c.autoscaler.Connect(c.agents, c.cloud, c.peering, c.scheduler)
	c.peering.Connect(c.jobs, c.proxy, c.replicator, c.scheduler)
	c.watcher.Connect(c.agents, c.auth, c.autoscaler, c.jobs, c.leases, c.scheduler)
	c.api.Connect(c.agents, c.auth, c.cloud, c.jobs, c.leases, c.proxy, c.replicator, c.watcher)
}

// EnableAuth makes the controller authenticate and authorize requests. It is called before Run.
func (c *Controller) EnableAuth(identities auth.Config) error { return c.auth.Enable(identities) }

// observer is a component that has metrics.
type observer interface{ Observe(*telemetry.Metrics) }

// Observe turns on the metrics of the controller and its components. It is called before Run.
func (c *Controller) Observe() {
	c.metrics = telemetry.New()
	c.bounds.Metrics = c.metrics
	for _, component := range []observer{c.scheduler, c.agents, c.committer, c.leases, c.replicator, c.takeover, c.proxy, c.autoscaler, c.api} {
		component.Observe(c.metrics)
	}
}

// Serve handles requests from users and agents, and health checks.
func (c *Controller) Serve(ctx context.Context, req *transport.Request) transport.Response {
	return c.api.Serve(ctx, req)
}

// ServeOperations handles requests from operators: /metrics and /overview.
func (c *Controller) ServeOperations(ctx context.Context, req *transport.Request) transport.Response {
	return c.api.ServeOperations(ctx, req)
}

// HandOver hands this controller's partitions and the cluster leadership over to other
// controllers before a planned shutdown. It returns when the handover is complete or has been
// abandoned, or when ctx ends.
func (c *Controller) HandOver(ctx context.Context) { c.leases.HandOver(ctx) }

// Run runs the event loop and the background tasks until the controller's context ends, and
// returns when all of them have returned.
func (c *Controller) Run() {
	c.loop.Start(c.tick)
	c.loop.Go(c.watcher.Watch)
	c.loop.Go(c.leases.RenewLoop)
	c.loop.Go(c.autoscaler.CatalogLoop)
	c.loop.Go(c.autoscaler.LeaderLoop)
	c.loop.Go(c.replicator.FollowLoop)
	c.loop.Go(c.replicator.ReplicateLoop)
	if c.auth.Enabled() {
		c.loop.Go(func() { c.auth.RunAudit(c.loop.Context()) })
	}
	for label := range c.Peers {
		c.loop.Go(func() { c.peering.SummaryLoop(label) })
	}
	for _, p := range c.Partitions {
		c.loop.Go(func() { c.committer.CommitLoop(p) })
		c.loop.Go(func() { c.proxy.RenewLoop(p) })
	}
	c.loop.Wait()
}
