// Package coordination decides: who owns which part, who leads, where tasks
// run and which machines are rented. One goroutine owns all its state; I/O
// happens elsewhere and comes back to it as calls.
package coordination

import (
	"context"
	"crypto/rand"
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/coordination/partition"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/retry"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Controller is one controller process.
type Controller struct {
	Settings *settings.Settings
	Operator settings.Operator
	network  storage.Requester
	store    *storage.Store
	// cloudBudget keeps this controller within its share of the cloud's limit.
	cloudBudget *rate.Limiter
	// cloudCircuit leaves its interface alone while it does not answer.
	cloudCircuit retry.Circuit
	log          *slog.Logger
	// metrics measures what people notice; nil: nothing is measured.
	metrics *telemetry.Metrics
	// guard asks who comes; nil: everybody may do everything.
	guard  *authorizer
	Nonce  string
	loop   *eventloop.Loop
	bounds *telemetry.BoundReporter

	// Derived from the settings once.
	TeamIndex         map[string]int
	TeamPartition     []int
	Labels            []string // all controllers, sorted
	SelfIndex         int
	AgentLease        time.Duration
	CancelBound       time.Duration
	HeartbeatInterval time.Duration

	// Owned by the loop.
	Synced               bool
	Partitions           []*Partition
	Jobs                 map[string]*Job
	FinalStates          map[string]string
	Dependencies         DependencyGraph
	Machines             map[string]*Machine
	DeletedMachines      map[string]time.Time // machines that were deleted, for late reports
	MachineTypes         map[string]*protocol.MachineType
	Catalog              []protocol.MachineType
	Peers                map[string]*Peer
	UnregisteredMachines map[string]*peer.UnknownMachine
	LeaseID              uint64
	LeaseRenewedAt       time.Time // when the last confirmed renewal was sent
	ResignedAt           time.Time
	DivertedMachines     map[string]time.Time
	Leadership           Leadership
	StartedAt            time.Time
	runtimeCorrections   map[string]*runtimeCorrection
	scarcityCache        binpack.Scarcity
	scarcityAt           time.Time
	ownSummary           cachedSummary
	queueBuffers         queueBuffers
	placementBuffers     placementBuffers
	policy               policyRecords
	jobQueues            jobQueueIndex
	ClassGroups          map[string]int // groups of the floor, after the teams'
	leaseHolder
	replicator    Replicator
	proxy         Proxy
	Cancellations CancellationNotices
	// repeatedCommands counts orders under way beside earlier ones to the same machine.
	repeatedCommands int
	// Draining: this controller is about to end and hands over what it has.
	Draining bool
	// LastLeaderUpdate is what the last leader told of what it was about.
	LastLeaderUpdate LeaderUpdate
	// LeaseWakeup lets claims be looked at before their next turn.
	LeaseWakeup chan struct{}
	// WriteDemand is how many changes a second this controller wants.
	WriteDemand float64
	// RecordsAsOf is when a listing or watch was asked for whose answer is taken in:
	// everything up to then is known.
	RecordsAsOf time.Time
	// ListedEnds is when jobs ended, while a listing is taken in.
	ListedEnds map[string]time.Time
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

// New makes a controller that lives until ctx ends; Run starts its duties, but
// requests may come before.
func New(ctx context.Context, set *settings.Settings, op settings.Operator, net storage.Requester, log *slog.Logger) *Controller {
	p := set.Params
	c := &Controller{
		loop: eventloop.New(ctx, set.Label), bounds: telemetry.NewBoundReporter(log), StartedAt: time.Now(), Settings: set, Operator: op, network: net, log: log,
		store:       storage.NewStore(net, set.Services.State, p.State, p.Count),
		Nonce:       rand.Text(),
		cloudBudget: rate.NewLimiter(rate.Limit(p.Cloud.RPS*0.8), 2),

		TeamIndex: map[string]int{}, TeamPartition: partition.Assign(p.Teams, p.Count),
		AgentLease: settings.Seconds(p.Workers.LeaseS), CancelBound: settings.Seconds(p.Workers.CancelS),
		HeartbeatInterval: settings.Seconds(p.Workers.ReportS),

		Jobs: map[string]*Job{}, FinalStates: map[string]string{}, Machines: map[string]*Machine{},
		DeletedMachines: map[string]time.Time{}, MachineTypes: map[string]*protocol.MachineType{},
		Peers: map[string]*Peer{}, UnregisteredMachines: map[string]*peer.UnknownMachine{},
		DivertedMachines: map[string]time.Time{}, runtimeCorrections: map[string]*runtimeCorrection{}, ClassGroups: map[string]int{},
	}
	c.store.PollsFull = func() { c.bounds.Met(telemetry.WaitingPolls, 1) }
	c.Cancellations.SetLimit(c.CancelBound, p.State)
	c.cloudCircuit = retry.Circuit{After: cloudFailureLimit, Rest: cloudRestBackoff, Who: set.Label + " cloud"}
	for i, t := range p.Teams {
		c.TeamIndex[t.Name] = i
	}
	c.Labels = append(c.Labels, set.Label)
	for _, o := range set.Others {
		c.Labels = append(c.Labels, o.Label)
		c.Peers[o.Label] = &Peer{Addr: o.PeerAddr}
	}
	slices.Sort(c.Labels)
	c.SelfIndex = slices.Index(c.Labels, set.Label)
	for i := range p.Count {
		c.Partitions = append(c.Partitions, &Partition{Index: i, Wakeup: make(chan struct{}, 1), Usage: make([]binpack.Compute, len(p.Teams)), DoneTallies: map[int]*fairshare.Tally{}})
	}
	for _, i := range c.TeamPartition {
		c.Partitions[i].HasTeams = true
	}
	c.Dependencies.init(c.Jobs, c.JobRunTime)
	c.Leadership.Wakeup, c.LeaseWakeup = make(chan struct{}, 1), make(chan struct{}, 1)
	c.leaseHolder.init(c)
	c.replicator = Replicator{c: c, replicas: map[int]*Replica{}}
	c.proxy.init(c)
	c.Leadership.Reset()
	return c
}

// Run serves until the controller's context ends, and returns when every duty
// has ended.
func (c *Controller) Run() {
	c.loop.Start(c.tick)
	c.loop.Go(c.watchDuty)
	c.loop.Go(c.RenewLoop)
	c.loop.Go(c.CatalogLoop)
	c.loop.Go(c.LeaderLoop)
	c.loop.Go(c.replicator.FollowLoop)
	c.loop.Go(c.replicator.ReplicateLoop)
	if c.guard != nil {
		c.loop.Go(func() { c.guard.log.Run(c.loop.Context()) })
	}
	for label := range c.Peers {
		c.loop.Go(func() { c.PeerLoop(label) })
	}
	for _, p := range c.Partitions {
		c.loop.Go(func() { c.CommitLoop(p) })
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
	c.CheckMachines(now)
	c.CheckReachability(now)
	for label, ps := range c.Peers {
		c.RevokeIfDead(label, ps, now)
	}
	c.shareBudget(now)
	c.proxy.Rebalance(now)
	for _, p := range c.Partitions {
		if p.Held && p.Ready {
			c.replicator.ChooseStandby(p, now)
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
