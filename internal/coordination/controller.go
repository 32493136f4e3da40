// Package coordination decides: who owns which part, who leads, where tasks
// run and which machines are rented. One goroutine owns all its state; I/O
// happens elsewhere and comes back to it as calls.
package coordination

import (
	"context"
	"log/slog"
	"time"

	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/retry"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// Controller is one controller process: the state of its loop, and the components that run
// on it. It wires them and decides nothing itself.
type Controller struct {
	*State
	loop  *eventloop.Loop
	store *storage.Store
	log   *slog.Logger
	// metrics measures what people notice; nil: nothing is measured.
	metrics *telemetry.Metrics
	bounds  *telemetry.BoundReporter

	scheduler  *Scheduler
	agents     *Agents
	jobs       *Tracker
	committer  *Committer
	leases     *LeaseHolder
	replicator *Replicator
	takeover   *Takeover
	proxy      *Proxy
	cloud      *CloudClient
	autoscaler *Autoscaler
	peering    *Exchange
	auth       *Auth
	watcher    *Watcher
	api        *Server
}

// Peer is what another controller last said of itself.
type Peer struct {
	Addr       string
	HeardAt    time.Time
	HeardSince time.Time // since when it has been heard without a gap
	Summary    *peer.Summary
	// ReportingMachines are the machines that report to it, as it last said, visitors those of
	// them that came here since; ended is the lease of it that was ended here.
	ReportingMachines, DivertedMachines map[string]bool
	RevokedLease                        uint64
}

// Alive says whether what the controller last said still counts.
func (ps *Peer) Alive(now time.Time) bool {
	return ps.Summary != nil && now.Sub(ps.HeardAt) <= 2*time.Second
}

// PartitionSummary is what the controller last said of a part as its owner; nil: nothing.
func (ps *Peer) PartitionSummary(p *Partition) *peer.PartSummary {
	if ps == nil || ps.Summary == nil {
		return nil
	}
	for _, sum := range ps.Summary.Parts {
		if int(sum.Part) == p.Index {
			return sum
		}
	}
	return nil
}

// ClockMargin is added to every bound that must hold on another machine's clock.
const ClockMargin = time.Second

// ClockDrift is by how much steady clocks may differ, with room to spare.
const ClockDrift = 1.001

// New makes a controller that lives until ctx ends; Run starts its tasks, but requests may
// come before.
func New(ctx context.Context, set *settings.Settings, op settings.Operator, network storage.Requester, log *slog.Logger) *Controller {
	params := set.Params
	state := NewState(set, op)
	loop := eventloop.New(ctx, set.Label)
	store := storage.NewStore(network, set.Services.State, params.State, params.Count)
	bounds := telemetry.NewBoundReporter(log)
	store.PollsFull = func() { bounds.Met(telemetry.WaitingPolls, 1) }
	c := &Controller{
		State: state, loop: loop, store: store, log: log, bounds: bounds,
		scheduler:  NewScheduler(state, store, log, bounds),
		agents:     NewAgents(state, loop, network, store, log),
		jobs:       NewTracker(state, log, bounds),
		committer:  NewCommitter(state, loop, store, log),
		leases:     NewLeaseHolder(state, loop, store, log),
		replicator: NewReplicator(state, loop, network, store, log, bounds),
		takeover:   NewTakeover(state, loop, store, log),
		proxy:      NewProxy(state, loop, network, log, bounds),
		cloud:      NewCloudClient(state, loop, network),
		autoscaler: NewAutoscaler(state, loop, network, store, log),
		peering:    NewExchange(state, loop, network, store, log, bounds),
		auth:       NewAuth(state, loop, store, log, bounds),
		watcher:    NewWatcher(state, loop, store, log),
		api:        NewServer(state, loop, store),
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
	c.api.Connect(c.agents, c.auth, c.cloud, c.jobs, c.proxy, c.replicator, c.watcher)
}

// Identify makes the controller ask who sends a request. It is called before Run.
func (c *Controller) Identify(ids Identities) error { return c.auth.Enable(ids) }

// Observe makes the controller measure itself. It is called before Run.
func (c *Controller) Observe() {
	c.metrics = telemetry.New()
	c.bounds.Metrics = c.metrics
	for _, component := range []interface{ Observe(m *telemetry.Metrics) }{c.scheduler, c.agents, c.committer, c.leases, c.replicator,
		c.takeover, c.proxy, c.autoscaler, c.api} {
		component.Observe(c.metrics)
	}
}

// Serve answers users, workers and health checks.
func (c *Controller) Serve(ctx context.Context, req *transport.Request) transport.Response {
	return c.api.Serve(ctx, req)
}

// ServeOperations answers operators: /metrics and /overview.
func (c *Controller) ServeOperations(ctx context.Context, req *transport.Request) transport.Response {
	return c.api.ServeOperations(ctx, req)
}

// HandOver gives what this controller holds to whoever is to take it over, ahead of a
// planned end.
func (c *Controller) HandOver(ctx context.Context) { c.leases.HandOver(ctx) }

// Run serves until the controller's context ends, and returns when every duty
// has ended.
func (c *Controller) Run() {
	c.loop.Start(c.tick)
	c.loop.Go(c.watcher.watchDuty)
	c.loop.Go(c.leases.RenewLoop)
	c.loop.Go(c.autoscaler.CatalogLoop)
	c.loop.Go(c.autoscaler.LeaderLoop)
	c.loop.Go(c.replicator.FollowLoop)
	c.loop.Go(c.replicator.ReplicateLoop)
	if c.auth.Enabled() {
		c.loop.Go(func() { c.auth.RunAudit(c.loop.Context()) })
	}
	for label := range c.Peers {
		c.loop.Go(func() { c.peering.PeerLoop(label) })
	}
	for _, p := range c.Partitions {
		c.loop.Go(func() { c.committer.CommitLoop(p) })
		c.loop.Go(func() { c.proxy.RenewLoop(p) })
	}
	c.loop.Wait()
}

// Pauses after a failure, by duty. They are spread and don't grow: the state service's
// budget makes duties wait already, and growing ones cost users what docs/retries.md
// says.
var (
	commitBackoff   = retry.Backoff{First: 200 * time.Millisecond, Most: 200 * time.Millisecond}
	followBackoff   = retry.Backoff{First: 266 * time.Millisecond, Most: 266 * time.Millisecond}
	takeoverBackoff = retry.Backoff{First: 266 * time.Millisecond, Most: 266 * time.Millisecond}
	recordBackoff   = retry.Backoff{First: 666 * time.Millisecond, Most: 666 * time.Millisecond}
	cloudBackoff    = retry.Backoff{First: 1333 * time.Millisecond, Most: 1333 * time.Millisecond}
	// cloudRestBackoff is how long the cloud's interface is left alone after it did not
	// answer many times in a row.
	cloudRestBackoff = retry.Backoff{First: 600 * time.Millisecond, Most: 600 * time.Millisecond}
)

// cloudFailureLimit is how many times in a row that is.
const cloudFailureLimit = 10

func (c *Controller) tick(now time.Time) {
	c.agents.CheckMachines(now)
	c.leases.CheckReachability(now)
	for label, ps := range c.Peers {
		c.leases.RevokeIfDead(label, ps, now)
	}
	c.shareBudget(now)
	c.proxy.Rebalance(now)
	for _, p := range c.Partitions {
		if p.Held && p.Ready {
			c.takeover.ChooseStandby(p, now)
			p.Wake()
		}
	}
	for name, at := range c.DeletedMachines {
		if now.Sub(at) > 10*time.Minute {
			delete(c.DeletedMachines, name)
		}
	}
	for name, at := range c.DivertedMachines {
		if now.Sub(at) > 5*time.Second {
			delete(c.DivertedMachines, name)
		}
	}
}

// shareBudget divides the state service's budget by what the controllers want.
// One that was not heard counts as wanting as much as the others together do
// on average.
func (c *Controller) shareBudget(now time.Time) {
	c.WriteDemand = c.store.WriteDemand(now)
	total, heard := c.WriteDemand, 1.0
	for _, ps := range c.Peers {
		if ps.Alive(now) {
			total += ps.Summary.WriteDemand
			heard++
		}
	}
	c.store.ShareWriteRate(c.WriteDemand, total*float64(len(c.Peers)+1)/heard)
}

func (p *Partition) Wake() { eventloop.Signal(p.Wakeup) }
