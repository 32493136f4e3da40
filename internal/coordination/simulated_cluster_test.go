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
	"micaspindle/internal/fake/agent"
	"micaspindle/internal/fake/cloud"
	"micaspindle/internal/fake/state"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// simulatedCluster simulates everything outside the controllers under a fake clock: the state
// store, the cloud, the agents and the network between them, as PROTOCOL describes them. It records
// each violation of a safety rule that is observable outside the controllers.
type simulatedCluster struct {
	t        testing.TB
	ctx      context.Context
	settings settings.Settings
	operator settings.Operator

	mu                sync.Mutex
	rng               *rand.Rand
	controllers       map[string]*simulatedController
	agents            map[string]*agent.Agent
	violations        []string
	jobs              map[string]*submittedJob
	messageFaultRate  float64 // proportion of messages that are lost or late
	dropsMessage      func(from, to string) bool
	taskRunTime       func(job string, task int, machine string) time.Duration
	taskFails         func(job string, task int, machine string) bool
	interceptCommands func(machine string, batch *protocol.CommandBatch) // is called with commands before they are executed
	// onRequest is called with each request that a controller sends, and may drop it.
	onRequest func(from, host, target string, body []byte) (lost bool)
	// pausedUntil is the time until which a controller's messages are withheld, by controller.
	pausedUntil map[string]time.Time
	// alterReplicaUpdate changes the replica updates of partition leaders and the cluster
	// leader before they arrive. It is called with the lock held.
	alterReplicaUpdate func(*peer.ReplicaUpdate)
	// controllersOfOldVersion are the controllers that run a version without replication and
	// delegation.
	controllersOfOldVersion map[string]bool
	// controllersWithoutTokenRecords are the controllers that run a version that ignores token
	// records.
	controllersWithoutTokenRecords map[string]bool
	// onResponse is called with each response that a controller receives, and may drop it.
	onResponse func(from, host, target string, body []byte, resp *transport.Response) (lost bool)
	// identities, if set, makes the controllers authenticate their callers.
	identities *testIdentities
	group      sync.WaitGroup
	// incarnations are the controller incarnations that are recorded in the state store.
	incarnations map[lease.IncarnationID]bool
	injectedFaults
	// jobTasksMax is the maximum number of tasks of a random job.
	jobTasksMax int

	state *state.Service
	cloud *cloud.Service
}

// simulatedController is one controller process.
type simulatedController struct {
	label      string
	controller *Controller
	// ctx ends when the process is killed. The controller's goroutines return soon after that.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// killed reports whether the process was killed. Its goroutines may still run for a moment,
// but they no longer send messages or answer requests.
func (process *simulatedController) killed() bool { return process.ctx.Err() != nil }

// unlessKilled returns the controller's response, or an empty one with status 0 if the process
// was killed before it answered.
func (process *simulatedController) unlessKilled(resp transport.Response) transport.Response {
	if process.killed() {
		return transport.Response{}
	}
	return resp
}

// submittedJob is a job according to the responses to its user.
type submittedJob struct {
	spec            *protocol.JobSpec
	acceptedAt      time.Time // zero: not accepted yet
	cancelRequested bool      // the user has requested the job's cancellation
	cancelledAt     time.Time
	finalStatus     string
	tasksDone       map[int]bool
	starts          int    // number of attempts that agents have started
	successor       string // the job that this one was reassigned to
}

// allControllers are the labels of the controllers. The slice must not be modified.
var allControllers = []string{"n0", "n1", "n2"}

// allTeams are the teams of the default settings.
var allTeams = []string{"red", "blue", "green"}

// newSubmittedJob returns a job that has not been accepted yet.
func newSubmittedJob(spec *protocol.JobSpec) *submittedJob {
	return &submittedJob{spec: spec, tasksDone: map[int]bool{}}
}

// newAcceptedJob returns a job that was accepted just now.
func newAcceptedJob(spec *protocol.JobSpec) *submittedJob {
	job := newSubmittedJob(spec)
	job.acceptedAt = time.Now()
	return job
}

// newSimulatedCluster returns a simulated cluster in which no controller runs yet.
func newSimulatedCluster(t testing.TB, seed uint64) *simulatedCluster {
	t.Helper()
	sim := &simulatedCluster{
		t:            t,
		ctx:          t.Context(),
		rng:          rand.New(rand.NewPCG(seed, 7)),
		controllers:  map[string]*simulatedController{},
		agents:       map[string]*agent.Agent{},
		jobs:         map[string]*submittedJob{},
		incarnations: map[lease.IncarnationID]bool{},
		operator:     settings.DefaultOperator(),
		jobTasksMax:  12,
	}
	sim.settings.Params = defaultParams()
	sim.settings.Services = settings.Services{Cloud: "cloud:1", State: "state:1"}
	sim.taskRunTime = func(string, int, string) time.Duration { return 6 * time.Second }
	sim.setUpState()
	sim.setUpCloud()
	return sim
}

// defaultParams returns the parameters that tests start from.
func defaultParams() settings.Params {
	return settings.Params{
		ControllerCount: 3,
		Zones:           []string{"a", "b"},
		Teams:           []settings.Team{{Name: "red", CPUs: 16, CPUsMax: 32}, {Name: "blue", CPUs: 16, CPUsMax: 64}, {Name: "green"}},
		AgentTimes:      settings.AgentTimes{HeartbeatS: 1, LeaseS: 8, CancelS: 25},
		State:           settings.StateStoreLimits{RPS: 300, WriteRPS: 60, ValueKB: 8, TxnOps: 12},
		Cloud:           settings.CloudLimits{RPS: 10, ListLagS: 4},
		ProcessLimits:   settings.ProcessLimits{CoreShare: 0.1, MemMB: 64, Sockets: 200},
	}
}

// setUpState sets up the state store and the safety checks on its writes.
func (sim *simulatedCluster) setUpState() {
	sim.state = state.New(&sim.mu)
	sim.state.PageSize = 25
	sim.state.OnOversized = func(what string) { sim.recordViolation("%s", what) }
	sim.state.BeforePut = func(c protocol.Change, old protocol.Item, exists bool) {
		sim.checkLeaseWrite(c, old, exists)
		sim.checkFinalStateWrite(c, exists)
	}
}

// setUpCloud sets up the cloud, which offers a small and a big machine type.
func (sim *simulatedCluster) setUpCloud() {
	sim.cloud = cloud.New(&sim.mu)
	sim.cloud.Capacity, sim.cloud.ListLag = 12, settings.Seconds(sim.settings.Params.Cloud.ListLagS)
	sim.cloud.Boot, sim.cloud.Stop = sim.bootMachine, sim.stopMachine
	sim.cloud.Types = []protocol.MachineType{
		{Name: "small", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: 5, Zones: []string{"a", "b"}},
		{Name: "big", CPUs: 32, MemGB: 128, CacheGB: 50, FetchGBPerS: 1, Price: 4, SpotPrice: 1.2, BootS: 8, Zones: []string{"a"}},
	}
}

// runSimulation runs f with a simulated cluster under a fake clock. Afterwards it checks safety
// and liveness and stops everything.
func runSimulation(t *testing.T, seed uint64, f func(sim *simulatedCluster)) {
	t.Helper()
	runConfiguredSimulation(t, seed, func(*simulatedCluster) {}, f)
}

// runConfiguredSimulation is runSimulation with a function that configures the simulated
// cluster before the controllers start.
func runConfiguredSimulation(t *testing.T, seed uint64, prepare, f func(sim *simulatedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulatedCluster(t, seed)
		prepare(sim)
		// The state store enforces announced lower limits from the start, because the
		// controllers must already respect them.
		limits := sim.settings.Params.State.Lower()
		sim.state.TxnOps, sim.state.ValueKB = limits.TxnOps, limits.ValueKB
		ctx, cancel := context.WithCancel(context.Background())
		sim.ctx = ctx
		for i := range 3 {
			sim.startController("n" + strconv.Itoa(i))
		}
		f(sim)
		sim.checkLiveness()
		for _, process := range sim.controllers {
			process.cancel()
		}
		cancel()
		sim.group.Wait()
		for _, violation := range sim.violations {
			t.Error("safety violation:", violation)
		}
	})
}

// startController starts a controller process, as the platform does when one has exited.
func (sim *simulatedCluster) startController(label string) {
	set := sim.settings
	set.Label, set.Zone = label, "a"
	set.ServeOn, set.ClusterListen = label+":80", label+":81"
	set.Others = nil
	for i := range 3 {
		if other := "n" + strconv.Itoa(i); other != label {
			set.Others = append(set.Others, settings.Peer{Label: other, PeerAddr: other + ":81"})
		}
	}
	ctx, cancel := context.WithCancel(sim.ctx)
	process := &simulatedController{label: label, ctx: ctx, cancel: cancel, done: make(chan struct{})}
	log := slog.New(slog.DiscardHandler)
	if testing.Verbose() {
		log = slog.New(slog.NewTextHandler(sim.t.Output(), &slog.HandlerOptions{Level: slog.LevelInfo})).With("node", label)
	}
	process.controller = New(ctx, &set, sim.operator, &controllerNetwork{sim, process}, log)
	if sim.operator.Operations != nil {
		process.controller.Observe()
	}
	if sim.identities != nil {
		panicOnError(process.controller.EnableAuth(sim.identities.forController(label)))
	}
	sim.withLock(func() { sim.controllers[label] = process })
	sim.group.Go(func() {
		defer close(process.done)
		process.controller.Run()
	})
}

// killController kills a controller's process and waits until its goroutines have returned.
func (sim *simulatedCluster) killController(label string) {
	sim.mu.Lock()
	process := sim.controllers[label]
	delete(sim.controllers, label)
	sim.mu.Unlock()
	process.cancel()
	<-process.done
}

// restartController kills a controller and starts it again after the downtime.
func (sim *simulatedCluster) restartController(label string, downtime time.Duration) {
	sim.mu.Lock()
	process := sim.controllers[label]
	delete(sim.controllers, label)
	sim.mu.Unlock()
	if process == nil {
		return
	}
	process.cancel()
	<-process.done
	time.Sleep(downtime)
	sim.startController(label)
}

// handOverAndRestart shuts a controller down after a handover and starts it again.
func (sim *simulatedCluster) handOverAndRestart(label string) {
	process := sim.processOf(label)
	if process == nil {
		return
	}
	ctx, cancel := context.WithTimeout(sim.ctx, time.Second)
	process.controller.HandOver(ctx)
	cancel()
	sim.killController(label)
	time.Sleep(300 * time.Millisecond)
	sim.startController(label)
}

// pauseController withholds the messages that a controller sends and receives, as if its process
// were stopped.
func (sim *simulatedCluster) pauseController(label string, d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.pausedUntil == nil {
		sim.pausedUntil = map[string]time.Time{}
	}
	sim.pausedUntil[label] = time.Now().Add(d)
}

// withLock runs f with the simulated cluster's lock held.
func (sim *simulatedCluster) withLock(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f()
}

// processOf returns a controller's process, or nil if it is not running.
func (sim *simulatedCluster) processOf(label string) *simulatedController {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.controllers[label]
}

// controllerOf returns a controller, which must be running.
func (sim *simulatedCluster) controllerOf(label string) *Controller {
	return sim.processOf(label).controller
}

// onController runs f in a controller's event loop, if the controller is running.
func (sim *simulatedCluster) onController(label string, f func(c *Controller)) {
	process := sim.processOf(label)
	if process != nil {
		process.controller.loop.Do(func() { f(process.controller) })
	}
}

// otherControllers returns the running controllers except the given one.
func (sim *simulatedCluster) otherControllers(label string) (list []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, other := range slices.Sorted(maps.Keys(sim.controllers)) {
		if other != label {
			list = append(list, other)
		}
	}
	return list
}

// partitionOf returns the partition of a team.
func (sim *simulatedCluster) partitionOf(team string) (partition int) {
	sim.onController("n0", func(c *Controller) { partition = c.TeamPartition[c.TeamIndex[team]] })
	return partition
}

// leaderOf returns the controller that leads a partition and has loaded its run state, or "" if
// there is none.
func (sim *simulatedCluster) leaderOf(partition int) string {
	for _, label := range allControllers {
		process := sim.processOf(label)
		leader := false
		if process != nil {
			process.controller.loop.Do(func() {
				leader = process.controller.Partitions[partition].Held && process.controller.Partitions[partition].Ready
			})
		}
		if leader {
			return label
		}
	}
	return ""
}

// clusterLeader returns the controller that leads the cluster, or "" if there is none.
func (sim *simulatedCluster) clusterLeader() (leader string) {
	for _, label := range allControllers {
		sim.onController(label, func(c *Controller) {
			if c.Leadership.Held {
				leader = label
			}
		})
	}
	return leader
}

// leaseCount returns the number of partition leases that a controller holds.
func (sim *simulatedCluster) leaseCount(label string) int {
	c := sim.controllerOf(label)
	held := 0
	c.loop.Do(func() {
		for _, p := range c.Partitions {
			if p.Held {
				held++
			}
		}
	})
	return held
}

// waitForNewLeader waits until a partition has a ready leader other than the given one, and returns
// its label.
func (sim *simulatedCluster) waitForNewLeader(partition int, before string) string {
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		if leader := sim.leaderOf(partition); leader != "" && leader != before {
			return leader
		}
	}
	sim.t.Fatalf("partition %d got no new leader within 30 s", partition)
	return ""
}

// waitForLeaseChange waits until a partition's lease is acquired again.
func (sim *simulatedCluster) waitForLeaseChange(partition int) {
	key := storage.LeaseKey(partition)
	sim.mu.Lock()
	before := sim.state.Items[key].Version
	sim.mu.Unlock()
	for range 20_000 {
		time.Sleep(time.Millisecond)
		sim.mu.Lock()
		now := sim.state.Items[key].Version
		sim.mu.Unlock()
		if now != 0 && now != before {
			return
		}
	}
	sim.t.Fatal("no controller acquired the partition's lease within 20 s")
}

// setRunTime sets the run time of every task that starts from now on.
func (sim *simulatedCluster) setRunTime(d time.Duration) {
	sim.withLock(func() { sim.taskRunTime = func(string, int, string) time.Duration { return d } })
}

// setMessageFaultRate sets the proportion of messages that are lost or late from now on.
func (sim *simulatedCluster) setMessageFaultRate(rate float64) {
	sim.withLock(func() { sim.messageFaultRate = rate })
}

// setOutage starts or ends an outage of the state store.
func (sim *simulatedCluster) setOutage(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.state.SetOutage(on)
}

// setStateStoreRefusal makes the state store refuse the requests of one controller, or accept
// them again.
func (sim *simulatedCluster) setStateStoreRefusal(label string, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.state.RefusedClients == nil {
		sim.state.RefusedClients = map[string]bool{}
	}
	sim.state.RefusedClients[label] = on
}

// panicOnError panics on an error that no test expects.
func panicOnError(err error) {
	if err != nil {
		panic(err)
	}
}

// randomInt returns a random number below n.
func (sim *simulatedCluster) randomInt(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.IntN(n)
}
