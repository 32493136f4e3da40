package coordination

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"micaspindle/internal/coordination/lease"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/standin/cloud"
	"micaspindle/internal/standin/state"
	"micaspindle/internal/standin/worker"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// leaseCount counts a controller's parts.
func (sim *simulatedCluster) leaseCount(label string) int {
	sim.mu.Lock()
	n := sim.controllers[label].controller
	sim.mu.Unlock()
	owned := 0
	n.loop.Do(func() {
		for _, p := range n.Partitions {
			if p.Held {
				owned++
			}
		}
	})
	return owned
}

// onController runs something in a controller's loop.
func (sim *simulatedCluster) onController(label string, f func(c *Controller)) {
	sim.mu.Lock()
	n := sim.controllers[label]
	sim.mu.Unlock()
	if n != nil {
		n.controller.loop.Do(func() { f(n.controller) })
	}
}

// pauseController keeps back what a controller sends and gets, as if its process stood still.
func (sim *simulatedCluster) pauseController(label string, d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.pausedUntil == nil {
		sim.pausedUntil = map[string]time.Time{}
	}
	sim.pausedUntil[label] = time.Now().Add(d)
}

// handOverAndRestart ends a controller as planned and starts it again.
func (sim *simulatedCluster) handOverAndRestart(label string) {
	sim.mu.Lock()
	n := sim.controllers[label]
	sim.mu.Unlock()
	if n == nil {
		return
	}
	ctx, cancel := context.WithTimeout(sim.ctx, time.Second)
	n.controller.HandOver(ctx)
	cancel()
	sim.killController(label)
	time.Sleep(300 * time.Millisecond)
	sim.startController(label)
}

func (sim *simulatedCluster) partitionOf(team string) (partition int) {
	sim.onController("n0", func(c *Controller) { partition = c.TeamPartition[c.TeamIndex[team]] })
	return partition
}

// waitForNewLeader waits until a part is decided on by another than before.
func (sim *simulatedCluster) waitForNewLeader(partition int, before string) string {
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		if l := sim.leaderOf(partition); l != "" && l != before {
			return l
		}
	}
	sim.t.Fatalf("part %d has no new owner", partition)
	return ""
}

// waitForLeaseChange waits until a part is claimed by another than now.
func (sim *simulatedCluster) waitForLeaseChange(partition int) {
	key := storage.LeaseKey(partition)
	sim.mu.Lock()
	was := sim.state.Items[key].Version
	sim.mu.Unlock()
	for range 20_000 {
		time.Sleep(time.Millisecond)
		sim.mu.Lock()
		now := sim.state.Items[key].Version
		sim.mu.Unlock()
		if now != 0 && now != was {
			return
		}
	}
	sim.t.Fatal("nobody claimed the part")
}

// withLock runs something with the world's lock held.
func (sim *simulatedCluster) withLock(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f()
}

// restartController ends a controller and starts it again.
func (sim *simulatedCluster) restartController(label string, away time.Duration) {
	sim.mu.Lock()
	n := sim.controllers[label]
	delete(sim.controllers, label)
	sim.mu.Unlock()
	if n == nil {
		return
	}
	n.cancel()
	<-n.done
	time.Sleep(away)
	sim.startController(label)
}

// leaderOf tells which controller decides over a part with machines, "" if none does.
func (sim *simulatedCluster) leaderOf(partition int) string {
	for _, label := range []string{"n0", "n1", "n2"} {
		sim.mu.Lock()
		n := sim.controllers[label]
		sim.mu.Unlock()
		leader := false
		if n != nil {
			n.controller.loop.Do(func() { leader = n.controller.Partitions[partition].Held && n.controller.Partitions[partition].Ready })
		}
		if leader {
			return label
		}
	}
	return ""
}

// setStateServiceRefusal lets the state service refuse a controller alone, or serve it again.
func (sim *simulatedCluster) setStateServiceRefusal(label string, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.state.Refused == nil {
		sim.state.Refused = map[string]bool{}
	}
	sim.state.Refused[label] = on
}

// otherControllers are the controllers but one.
func (sim *simulatedCluster) otherControllers(label string) (list []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, l := range slices.Sorted(maps.Keys(sim.controllers)) {
		if l != label {
			list = append(list, l)
		}
	}
	return list
}

// simulatedCluster is the stand-in for everything outside the controllers: state service,
// cloud, workers and the network between them, as PROTOCOL describes them. It
// notes each broken rule where the outside world would see it.
type simulatedCluster struct {
	t        testing.TB
	ctx      context.Context
	settings settings.Settings
	operator settings.Operator

	mu                sync.Mutex
	rng               *rand.Rand
	controllers       map[string]*simulatedController
	workers           map[string]*worker.Worker
	violations        []string
	jobs              map[string]*submittedJob
	messageFaultRate  float64 // share of messages lost or late
	cut               func(from, to string) bool
	runTime           func(job string, task int, machine string) time.Duration
	fails             func(job string, task int, machine string) bool
	interceptCommands func(machine string, o *protocol.Orders) // sees orders before they are executed
	// onRequest sees what a controller sends, and may lose it.
	onRequest func(from, host, target string, body []byte) (lost bool)
	// pausedUntil is until when what a controller sends and gets is kept back.
	pausedUntil map[string]time.Time
	// alterReplicaUpdate changes what owners and the leader tell, with the lock held.
	alterReplicaUpdate func(*peer.ReplicaUpdate)
	// oldVersions are controllers of a version that keeps no copies.
	oldVersions map[string]bool
	// onResponse sees what a controller was answered, and may lose it.
	onResponse func(from, host, target string, body []byte, resp *transport.Response) (lost bool)
	// identities makes the controllers ask who comes; nil: they don't.
	identities *testIdentities
	group      sync.WaitGroup
	// incarnations are the lives of controllers of which a record was written.
	incarnations map[lease.IncarnationID]bool
	injectedFaults
	// jobTasksMax is how many tasks a storm's jobs have at most.
	jobTasksMax int

	state *state.Service
	cloud *cloud.Service
}

type simulatedController struct {
	label      string
	controller *Controller
	cancel     context.CancelFunc
	done       chan struct{}
}

type submittedJob struct {
	spec            *protocol.JobSpec
	acceptedAt      time.Time // zero: not yet
	cancelRequested bool      // its user has asked to withdraw it
	cancelledAt     time.Time
	finalStatus     string
	tasksDone       map[int]bool
}

func newSimulatedCluster(t testing.TB, seed uint64) *simulatedCluster {
	sim := &simulatedCluster{t: t, ctx: t.Context(), rng: rand.New(rand.NewPCG(seed, 7)), controllers: map[string]*simulatedController{},
		workers: map[string]*worker.Worker{}, jobs: map[string]*submittedJob{}, incarnations: map[lease.IncarnationID]bool{}, operator: settings.DefaultOperator(), jobTasksMax: 12}
	sim.settings.Params = settings.Params{Count: 3, Zones: []string{"a", "b"},
		Teams:         []settings.Team{{Name: "red", CPUs: 16, CPUsMax: 32}, {Name: "blue", CPUs: 16, CPUsMax: 64}, {Name: "green"}},
		Workers:       settings.Workers{ReportS: 1, LeaseS: 8, CancelS: 25},
		State:         settings.State{RPS: 300, WriteRPS: 60, ValueKB: 8, TxnOps: 12},
		Cloud:         settings.Cloud{RPS: 10, ListLagS: 4},
		MachineLimits: settings.Limits{CoreShare: 0.1, MemMB: 64, Sockets: 200}}
	sim.settings.Services = settings.Services{Cloud: "cloud:1", State: "state:1"}
	sim.state = state.New(&sim.mu)
	sim.state.Page = 25
	sim.state.Oversized = func(what string) { sim.recordViolation("%s", what) }
	sim.state.BeforePut = func(c protocol.Change, old protocol.Item, exists bool) {
		sim.checkLeaseWrite(c, old, exists)
		sim.checkFinalStateWrite(c, exists)
	}
	sim.cloud = cloud.New(&sim.mu)
	sim.cloud.Capacity, sim.cloud.ListLag = 12, settings.Seconds(sim.settings.Params.Cloud.ListLagS)
	sim.cloud.Boot, sim.cloud.Stop = sim.bootMachine, sim.stopMachine
	sim.cloud.Types = []protocol.MachineType{{Name: "small", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3,
		BootS: 5, ZonesOffered: []string{"a", "b"}}, {Name: "big", CPUs: 32, MemGB: 128, CacheGB: 50, FetchGBPerS: 1, Price: 4,
		SpotPrice: 1.2, BootS: 8, ZonesOffered: []string{"a"}}}
	sim.runTime = func(string, int, string) time.Duration { return 6 * time.Second }
	return sim
}

// runSimulation runs f in a bubble of fake time and ends everything afterwards.
func runSimulation(t *testing.T, seed uint64, f func(sim *simulatedCluster)) {
	t.Helper()
	runConfiguredSimulation(t, seed, func(*simulatedCluster) {}, f)
}

// runConfiguredSimulation lets prepare change the world before the controllers start.
func runConfiguredSimulation(t *testing.T, seed uint64, prepare, f func(sim *simulatedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulatedCluster(t, seed)
		prepare(sim)
		// Whenever an announced limit comes into force, it must have been kept to.
		limits := sim.settings.Params.State.Lower()
		sim.state.TxnOps, sim.state.ValueKB = limits.TxnOps, limits.ValueKB
		ctx, cancel := context.WithCancel(context.Background())
		sim.ctx = ctx
		for i := range 3 {
			sim.startController("n" + strconv.Itoa(i))
		}
		f(sim)
		sim.checkLiveness()
		for _, n := range sim.controllers {
			n.cancel()
		}
		cancel()
		sim.group.Wait()
		for _, b := range sim.violations {
			t.Error("rule broken:", b)
		}
	})
}

// startController starts a controller, as the platform does after an end.
func (sim *simulatedCluster) startController(label string) {
	set := sim.settings
	set.Label, set.Zone = label, "a"
	set.ServeOn, set.ClusterListen = label+":80", label+":81"
	set.Others = nil
	for i := range 3 {
		if other := "n" + strconv.Itoa(i); other != label {
			set.Others = append(set.Others, settings.Other{Label: other, PeerAddr: other + ":81"})
		}
	}
	ctx, cancel := context.WithCancel(sim.ctx)
	n := &simulatedController{label: label, cancel: cancel, done: make(chan struct{})}
	log := slog.New(slog.DiscardHandler)
	if testing.Verbose() {
		log = slog.New(slog.NewTextHandler(sim.t.Output(), &slog.HandlerOptions{Level: slog.LevelInfo})).With("node", label)
	}
	n.controller = New(ctx, &set, sim.operator, &controllerNetwork{sim, n, ctx}, log)
	if sim.operator.Operations != nil {
		n.controller.Observe()
	}
	if sim.identities != nil {
		panicOnError(n.controller.Identify(sim.identities.forController(label)))
	}
	sim.mu.Lock()
	sim.controllers[label] = n
	sim.mu.Unlock()
	sim.group.Go(func() {
		defer close(n.done)
		n.controller.Run()
	})
}

func (sim *simulatedCluster) killController(label string) {
	sim.mu.Lock()
	n := sim.controllers[label]
	delete(sim.controllers, label)
	sim.mu.Unlock()
	n.cancel()
	<-n.done
}

// setOutage starts or ends an outage of the state service.
func (sim *simulatedCluster) setOutage(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.state.Outage(on)
}

func panicOnError(err error) {
	if err != nil {
		panic(err)
	}
}
