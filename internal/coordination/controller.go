// Package coordination decides: who owns which part, who leads, where tasks
// run and which machines are rented. One goroutine owns all its state; I/O
// happens elsewhere and comes back to it as calls.
package coordination

import (
	"context"
	"crypto/rand"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/coordination/floor"
	"micaspindle/internal/coordination/parts"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/pulse"
	"micaspindle/internal/retry"
	"micaspindle/internal/settings"
)

// Controller is one controller process.
type Controller struct {
	set   *settings.Settings
	op    settings.Operator
	net   bookkeeping.Doer
	store *bookkeeping.Store
	// cloudBudget keeps this controller within its share of the cloud's limit.
	cloudBudget *rate.Limiter
	// cloudCircuit leaves its interface alone while it does not answer.
	cloudCircuit retry.Circuit
	log          *slog.Logger
	// metrics measures what people notice; nil: nothing is measured.
	metrics *observe.Metrics
	// guard asks who comes; nil: everybody may do everything.
	guard *guard
	nonce string
	calls chan func()
	// loopDone is closed when the loop has ended.
	loopDone chan struct{}
	ctx      context.Context
	duty     sync.WaitGroup

	// Derived from the settings once.
	teamIndex map[string]int
	teamPart  []int
	labels    []string // all controllers, sorted
	self      int
	leaseS    time.Duration
	cancelS   time.Duration
	reportS   time.Duration

	// Owned by the loop.
	synced   bool
	parts    []*part
	jobs     map[string]*job
	finals   map[string]string
	graph    graph
	machines map[string]*machine
	gone     map[string]time.Time // machines that were deleted, for late reports
	types    map[string]*protocol.MachineType
	catalog  []protocol.MachineType
	peers    map[string]*peerState
	unknown  map[string]*peer.UnknownMachine
	lease    uint64
	renewed  time.Time // when the last confirmed renewal was sent
	resigned time.Time
	strayed  map[string]time.Time
	leader   leaderState
	started  time.Time
	bias     map[string]*classBias
	scarce   fit.Scarcity
	scarceAt time.Time
	said     said
	sorting  sorting
	placing  placing
	policy   policyRecords
	queues   queueBook
	classes  map[string]int // groups of the floor, after the teams'
	succession
	following following
	carrying  carrying
	notices   cancellationNotices
	// boundsLogged says which bounds were met before; not the loop's alone.
	boundsLogged [observe.Bounds]atomic.Bool
	// repeats counts orders under way beside earlier ones to the same machine.
	repeats int
	// leaving: this controller is about to end and hands over what it has.
	leaving bool
	// heardLeader is what the last leader told of what it was about.
	heardLeader heardLeader
	// claimKick lets claims be looked at before their next turn.
	claimKick chan struct{}
	// writeDemand is how many changes a second this controller wants.
	writeDemand float64
	// fresh is when a listing or watch was asked for whose answer is taken in:
	// everything up to then is known.
	fresh time.Time
	// listedEnds is when jobs ended, while a listing is taken in.
	listedEnds map[string]time.Time
}

// peerState is what another controller last said of itself.
type peerState struct {
	addr    string
	heard   time.Time
	since   time.Time // since when it has been heard without a gap
	summary *peer.Summary
	// reporting are the machines that report to it, as it last said, visitors those of
	// them that came here since; ended is the lease of it that was ended here.
	reporting, visitors map[string]bool
	ended               uint64
}

// recent says whether what the controller last said still counts.
func (ps *peerState) recent(now time.Time) bool {
	return ps.summary != nil && now.Sub(ps.heard) <= 2*time.Second
}

// told is what the controller last said of a part as its owner; nil: nothing.
func (ps *peerState) told(p *part) *peer.PartSummary {
	if ps == nil || ps.summary == nil {
		return nil
	}
	for _, sum := range ps.summary.Parts {
		if int(sum.Part) == p.index {
			return sum
		}
	}
	return nil
}

// margin is added to every bound that must hold on another machine's clock.
const margin = time.Second

// drift is by how much steady clocks may differ, with room to spare.
const drift = 1.001

// New makes a controller that lives until ctx ends; Run starts its duties, but
// requests may come before.
func New(ctx context.Context, set *settings.Settings, op settings.Operator, net bookkeeping.Doer, log *slog.Logger) *Controller {
	p := set.Params
	c := &Controller{
		ctx: ctx, started: time.Now(), set: set, op: op, net: net, log: log,
		store:       bookkeeping.NewStore(net, set.Services.State, p.State, p.Count),
		nonce:       rand.Text(),
		cloudBudget: rate.NewLimiter(rate.Limit(p.Cloud.RPS*0.8), 2),
		calls:       make(chan func(), 256), loopDone: make(chan struct{}),

		teamIndex: map[string]int{}, teamPart: parts.Of(p.Teams, p.Count),
		leaseS: settings.Seconds(p.Workers.LeaseS), cancelS: settings.Seconds(p.Workers.CancelS),
		reportS: settings.Seconds(p.Workers.ReportS),

		jobs: map[string]*job{}, finals: map[string]string{}, machines: map[string]*machine{},
		gone: map[string]time.Time{}, types: map[string]*protocol.MachineType{},
		peers: map[string]*peerState{}, unknown: map[string]*peer.UnknownMachine{},
		strayed: map[string]time.Time{}, bias: map[string]*classBias{}, classes: map[string]int{},
	}
	c.store.PollsFull = func() { c.boundMet(observe.WaitingPolls, 1) }
	c.notices.limit(c.cancelS, p.State)
	c.cloudCircuit = retry.Circuit{After: cloudFailures, Rest: cloudRest, Who: set.Label + " cloud"}
	for i, t := range p.Teams {
		c.teamIndex[t.Name] = i
	}
	c.labels = append(c.labels, set.Label)
	for _, o := range set.Others {
		c.labels = append(c.labels, o.Label)
		c.peers[o.Label] = &peerState{addr: o.PeerAddr}
	}
	slices.Sort(c.labels)
	c.self = slices.Index(c.labels, set.Label)
	for i := range p.Count {
		c.parts = append(c.parts, &part{index: i, kick: make(chan struct{}, 1), usage: make([]fit.Share, len(p.Teams)), done: map[int]*floor.Tally{}})
	}
	for _, i := range c.teamPart {
		c.parts[i].loaded = true
	}
	c.graph.init(c.jobs, c.runTime)
	c.leader.kick, c.claimKick = make(chan struct{}, 1), make(chan struct{}, 1)
	c.succession.init(c)
	c.following = following{c: c, copies: map[int]*follower{}}
	c.carrying.init(c)
	c.leader.init()
	return c
}

// Run serves until the controller's context ends, and returns when every duty
// has ended.
func (c *Controller) Run() {
	loopCtx, stopLoop := context.WithCancel(context.Background())
	c.duty.Add(1) // for the loop's ticks, which begin duties
	go func() {
		defer close(c.loopDone)
		c.loop(loopCtx)
	}()
	c.duty.Go(c.watchDuty)
	c.duty.Go(c.renewDuty)
	c.duty.Go(c.catalogDuty)
	c.duty.Go(c.leaderDuty)
	c.duty.Go(c.following.duty)
	c.duty.Go(c.following.taleDuty)
	if c.guard != nil {
		c.duty.Go(func() { c.guard.log.Run(c.ctx) })
	}
	for label := range c.peers {
		c.duty.Go(func() { c.peerDuty(label) })
	}
	for _, p := range c.parts {
		c.duty.Go(func() { c.commitDuty(p) })
		c.duty.Go(func() { c.carrying.duty(p) })
	}
	// The loop outlives the duties, since they end through it.
	c.duty.Wait()
	stopLoop()
	<-c.loopDone
}

const tickEvery = 250 * time.Millisecond

func (c *Controller) loop(ctx context.Context) {
	tick := pulse.Every(tickEvery)
	defer tick.Stop()
	// A tick must not begin a duty while the last ones are waited for.
	ending := c.ctx.Done()
	for {
		select {
		case fn := <-c.calls:
			fn()
		case <-tick.C:
			if ending != nil {
				c.tick(time.Now())
			}
		case <-ending:
			ending = nil
			c.duty.Done()
		case <-ctx.Done():
			return
		}
	}
}

// do runs fn in the loop and waits for it. It reports whether fn ran. What fn
// touches may be used afterwards: once do has returned, fn never runs.
func (c *Controller) do(fn func()) bool {
	done := make(chan struct{})
	select {
	case c.calls <- func() { fn(); close(done) }:
	case <-c.loopDone:
		return false
	}
	select {
	case <-done:
		return true
	case <-c.loopDone:
		// The last call may have ended together with the loop.
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
}

// Pauses after a failure, by duty. They are spread and don't grow: the state service's
// budget makes duties wait already, and growing ones cost users what docs/retries.md
// says.
var (
	commitPause  = retry.Backoff{First: 200 * time.Millisecond, Most: 200 * time.Millisecond}
	followPause  = retry.Backoff{First: 266 * time.Millisecond, Most: 266 * time.Millisecond}
	rebuildPause = retry.Backoff{First: 266 * time.Millisecond, Most: 266 * time.Millisecond}
	recordPause  = retry.Backoff{First: 666 * time.Millisecond, Most: 666 * time.Millisecond}
	cloudPause   = retry.Backoff{First: 1333 * time.Millisecond, Most: 1333 * time.Millisecond}
	// cloudRest is how long the cloud's interface is left alone after it did not
	// answer many times in a row.
	cloudRest = retry.Backoff{First: 600 * time.Millisecond, Most: 600 * time.Millisecond}
)

// cloudFailures is how many times in a row that is.
const cloudFailures = 10

// tries counts the failures of one of this controller's duties.
func (c *Controller) tries(duty string, pauses retry.Backoff) *retry.Tries {
	return &retry.Tries{Backoff: pauses, Who: c.set.Label + " " + duty}
}

// sleep waits and reports whether the controller still runs.
func (c *Controller) sleep(d time.Duration) bool {
	if d <= 0 {
		return c.ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (c *Controller) tick(now time.Time) {
	c.checkMachines(now)
	c.checkClaims(now)
	for label, ps := range c.peers {
		c.endIfGone(label, ps, now)
	}
	c.shareBudget(now)
	c.carrying.steer(now)
	for _, p := range c.parts {
		if p.mine && p.ready {
			c.following.nameStandby(p, now)
			p.wake()
		}
	}
	for name, at := range c.gone {
		if now.Sub(at) > 10*time.Minute {
			delete(c.gone, name)
		}
	}
	for name, at := range c.strayed {
		if now.Sub(at) > 5*time.Second {
			delete(c.strayed, name)
		}
	}
}

// shareBudget divides the state service's budget by what the controllers want.
// One that was not heard counts as wanting as much as the others together do
// on average.
func (c *Controller) shareBudget(now time.Time) {
	c.writeDemand = c.store.Demand(now)
	total, heard := c.writeDemand, 1.0
	for _, ps := range c.peers {
		if ps.recent(now) {
			total += ps.summary.WriteDemand
			heard++
		}
	}
	c.store.ShareWrites(c.writeDemand, total*float64(len(c.peers)+1)/heard)
}

func (p *part) wake() { nudge(p.kick) }

// nudge wakes whoever waits for the channel, if it is not awake already.
func nudge(kick chan struct{}) {
	select {
	case kick <- struct{}{}:
	default:
	}
}
