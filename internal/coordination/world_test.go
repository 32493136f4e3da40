package coordination

import (
	"micaspindle/internal/coordination/lease"
	"micaspindle/internal/coordination/peering"
	"micaspindle/internal/coordination/proxy"
	"micaspindle/internal/coordination/replication"

	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/standin/cloud"
	"micaspindle/internal/standin/state"
	"micaspindle/internal/standin/worker"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

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

func (sim *simulatedCluster) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)))+fmt.Sprintf(format, args...))
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

// controllerNetwork is the network as one controller sees it.
type controllerNetwork struct {
	cluster *simulatedCluster
	sender  *simulatedController
	ctx     context.Context
}

// Do carries one message; it may be lost, its answer may be lost, or it may
// arrive long after the sender gave up.
func (network *controllerNetwork) Do(ctx context.Context, addr, method, target string, body []byte) (*transport.Response, error) {
	sim := network.cluster
	host, _, _ := strings.Cut(addr, ":")
	sim.mu.Lock()
	fate := sim.rng.Float64()
	delay := time.Duration(1+sim.rng.IntN(4))*time.Millisecond + sim.drawLinkDelay()
	after := time.Duration(sim.rng.IntN(20_000)) * time.Millisecond
	trouble := sim.messageFaultRate
	cut := sim.cut != nil && sim.cut(network.sender.label, host) || sim.inboundLost[host]
	asked := sim.onRequest
	late, lost := sim.drawTransactionDelay(host, target, body)
	var heldFor time.Duration
	held := false
	if sim.workers[host] != nil && !cut {
		heldFor, held = sim.drawCommandDelay(target, body)
	}
	sim.mu.Unlock()
	sim.waitWhilePaused(network.sender.label)
	if lost {
		sim.group.Go(func() { sim.deliverTransactionLate(network.sender.label, late, body) })
		<-ctx.Done()
		return nil, fmt.Errorf("no answer to a transaction: %w", ctx.Err())
	}
	if held {
		sim.withLock(func() { sim.countFault("held up from " + network.sender.label) })
		sim.group.Go(func() { sim.deliverCommandLate(host, heldFor, body) })
		<-ctx.Done()
		return nil, fmt.Errorf("held up: %w", ctx.Err())
	}
	if asked != nil && asked(network.sender.label, host, target, body) {
		cut = true
	}
	if cut {
		<-ctx.Done()
		return nil, fmt.Errorf("cut: %w", ctx.Err())
	}
	if fate < trouble/3 {
		<-ctx.Done()
		return nil, fmt.Errorf("request lost: %w", ctx.Err())
	}
	if fate < trouble*2/3 && ctx.Done() != nil {
		sim.group.Go(func() {
			time.Sleep(after)
			sim.deliver(context.WithoutCancel(ctx), network.sender.label, host, method, target, body)
		})
		<-ctx.Done()
		return nil, fmt.Errorf("late: %w", ctx.Err())
	}
	time.Sleep(delay)
	sim.waitWhilePaused(host)
	if network.ctx.Err() != nil {
		return nil, fmt.Errorf("%w: process ended", transport.ErrNotSent)
	}
	resp := sim.deliver(ctx, network.sender.label, host, method, target, body)
	if resp == nil {
		return nil, fmt.Errorf("%w: refused", transport.ErrNotSent)
	}
	sim.waitWhilePaused(network.sender.label)
	sim.mu.Lock()
	answered := sim.onResponse
	sim.mu.Unlock()
	if answered != nil && answered(network.sender.label, host, target, body, resp) {
		<-ctx.Done()
		return nil, fmt.Errorf("answer lost: %w", ctx.Err())
	}
	if fate < trouble {
		<-ctx.Done()
		return nil, fmt.Errorf("answer lost: %w", ctx.Err())
	}
	return resp, nil
}

// waitWhilePaused waits while a controller stands still.
func (sim *simulatedCluster) waitWhilePaused(label string) {
	sim.mu.Lock()
	until := sim.pausedUntil[label]
	sim.mu.Unlock()
	time.Sleep(time.Until(until))
}

// downgradeSummary is a message of a controller that keeps no copies, without what it does not know.
func downgradeSummary(path string, body []byte) []byte {
	if path != peering.SummaryPath {
		return body
	}
	sum := new(peer.Summary)
	panicOnError(proto.Unmarshal(body, sum))
	sum.Replicas, sum.Draining, sum.Replicates, sum.Capacity, sum.Connected, sum.Cancelled = nil, false, false, 0, 0, nil
	for _, p := range sum.Partitions {
		p.Standby, p.Delegated = "", nil
	}
	body, err := proto.Marshal(sum)
	panicOnError(err)
	return body
}

func (sim *simulatedCluster) deliver(ctx context.Context, from, host, method, target string, body []byte) *transport.Response {
	path, query, _ := strings.Cut(target, "?")
	q, _ := url.ParseQuery(query)
	switch host {
	case "state":
		return sim.state.Serve(ctx, from, method, path, q, body)
	case "cloud":
		return sim.cloud.Serve(method, path, q, body)
	}
	sim.mu.Lock()
	n, agent := sim.controllers[host], sim.workers[host]
	sim.mu.Unlock()
	switch {
	case n != nil && (sim.oldVersions[host] || sim.oldVersions[from]) && (path == replication.UpdatePath || path == replication.StateTransferPath || path == proxy.DelegationPath || path == proxy.ForwardPath):
		return &transport.Response{Status: 404}
	case n != nil:
		if sim.oldVersions[from] {
			body = downgradeSummary(path, body)
		}
		sim.mu.Lock()
		noNotices := sim.suppressNotices
		sim.mu.Unlock()
		if path == peering.SummaryPath && noNotices {
			body = stripCancellationNotices(body)
		}
		if sim.alterReplicaUpdate != nil && path == replication.UpdatePath {
			update := new(peer.ReplicaUpdate)
			panicOnError(proto.Unmarshal(body, update))
			sim.mu.Lock()
			sim.alterReplicaUpdate(update)
			sim.mu.Unlock()
			var err error
			body, err = proto.Marshal(update)
			panicOnError(err)
		}
		resp := n.controller.ServePeers(ctx, &transport.Request{Method: method, Path: path, Body: body, Peer: sim.identities.certificate("controller/" + from)})
		return &resp
	case agent != nil:
		return sim.serveWorker(agent, path, body)
	}
	return nil
}

// checkLeaseWrite sees that nobody takes a claim that another still holds: its owner
// might go on answering workers for longer than its successor expects.
func (sim *simulatedCluster) checkLeaseWrite(c protocol.Change, old protocol.Item, held bool) {
	var record storage.Lease
	if kind, _ := storage.ParseKey(c.Put); (kind == storage.KindLease || kind == storage.KindLeadership) && storage.Decode(c.Value, &record) == nil {
		// Not that the record is of this life still: a late claim of a process that ended
		// may come after its next life's record, on a lease that has not run out yet (44).
		if !sim.incarnations[lease.IncarnationID{Label: record.Holder, Nonce: record.Nonce}] {
			sim.recordViolation("%s claimed before the record of its owner's life", c.Put)
		}
	}
	kind, label := storage.ParseKey(c.Put)
	if kind == storage.KindIncarnation {
		var incarnation storage.Incarnation
		panicOnError(storage.Decode(c.Value, &incarnation))
		sim.incarnations[lease.IncarnationID{Label: label, Nonce: incarnation.Nonce}] = true
		sim.checkReleasedLeases(label, c.Value)
	}
	if !held || kind != storage.KindLease && kind != storage.KindLeadership {
		return
	}
	var before, after storage.Lease
	panicOnError(storage.Decode(old.Value, &before))
	panicOnError(storage.Decode(c.Value, &after))
	if before.Holder != after.Holder {
		sim.recordViolation("claim %s of %s taken by %s", c.Put, before.Holder, after.Holder)
	}
}

// checkFinalStateWrite sees that how a job ended is written once: controllers answer it from memory (15).
func (sim *simulatedCluster) checkFinalStateWrite(c protocol.Change, exists bool) {
	if kind, job := storage.ParseKey(c.Put); kind == storage.KindFinal && exists {
		sim.recordViolation("the end of %s is written twice", job)
	}
}

// checkReleasedLeases sees that whoever writes that it gave claims up acts under none of them.
func (sim *simulatedCluster) checkReleasedLeases(label string, value []byte) {
	var incarnation storage.Incarnation
	panicOnError(storage.Decode(value, &incarnation))
	n := sim.controllers[label]
	if n == nil || n.controller.Nonce != incarnation.Nonce {
		return
	}
	n.controller.loop.Do(func() {
		for _, r := range incarnation.Released {
			if p := n.controller.Partitions[r.Partition]; p.Held && p.LeaseRevision == r.LeaseRevision {
				sim.violations = append(sim.violations, fmt.Sprintf("%s gives part %d up and acts for it", label, r.Partition))
			}
		}
	})
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

// bootMachine starts a rented machine a while later; it is called with the lock held.
func (sim *simulatedCluster) bootMachine(name string, m *cloud.Machine) {
	home := sim.rng.IntN(3)
	delay := time.Duration(3000+sim.rng.IntN(4000)) * time.Millisecond
	if sim.bootDelay > 0 {
		delay = sim.bootDelay
	}
	m.Addr = name + ":9000"
	sim.group.Go(func() {
		select {
		case <-time.After(delay):
		case <-sim.ctx.Done():
			return
		}
		sim.mu.Lock()
		if sim.cloud.Machines[name] == nil {
			sim.mu.Unlock()
			return
		}
		agent := worker.New(&sim.mu, sim, sim)
		agent.Name, agent.Addr, agent.Type, agent.Zone, agent.Spot = name, m.Addr, m.Type, m.Zone, m.Spot
		agent.Lease = settings.Seconds(sim.settings.Params.Workers.LeaseS)
		agent.Homes, agent.Home = []string{"n0", "n1", "n2"}, home
		agent.Send = func(label string, report []byte) (int, []byte) { return sim.sendHeartbeat(name, label, report) }
		m.Up = true
		sim.workers[name] = agent
		sim.mu.Unlock()
		agent.Run(sim.ctx.Done())
	})
}

// stopMachine cuts a deleted machine's power.
func (sim *simulatedCluster) stopMachine(name string) {
	if agent := sim.workers[name]; agent != nil {
		agent.Off()
		delete(sim.workers, name)
	}
}

// sendHeartbeat carries a worker's report to a controller.
func (sim *simulatedCluster) sendHeartbeat(machine, label string, report []byte) (int, []byte) {
	sim.mu.Lock()
	n := sim.controllers[label]
	lost := sim.rng.Float64() < sim.messageFaultRate || sim.cut != nil && sim.cut(label, machine) || sim.outboundLost[machine]
	deaf := sim.inboundLost[machine]
	there, back := sim.drawLinkDelay(), sim.drawLinkDelay()
	if !lost {
		sim.duplicateHeartbeat(machine, label, report)
	}
	sim.mu.Unlock()
	if n == nil || lost {
		return 0, nil
	}
	time.Sleep(2*time.Millisecond + there)
	sim.waitWhilePaused(label)
	resp := n.handleHeartbeat(sim, machine, report)
	if deaf {
		return 0, nil
	}
	time.Sleep(back)
	return resp.Status, resp.Body
}

// handleHeartbeat brings a report to a controller.
func (n *simulatedController) handleHeartbeat(sim *simulatedCluster, machine string, report []byte) transport.Response {
	return n.controller.Serve(sim.ctx, &transport.Request{Method: "POST", Path: "/checkin", Body: report, Peer: sim.identities.certificate("worker/" + machine)})
}

// RunTime is how long a task runs; one that was done before ends at once.
func (sim *simulatedCluster) RunTime(job string, task int, machine string) (time.Duration, bool) {
	submitted := sim.jobs[job]
	if submitted == nil {
		return 0, false
	}
	if submitted.tasksDone[task] {
		return 0, true
	}
	return sim.runTime(job, task, machine), true
}

// Fails says whether a task fails on a machine.
func (sim *simulatedCluster) Fails(job string, task int, machine string) bool {
	return sim.fails != nil && sim.fails(job, task, machine)
}

// Obeying checks that a start was recorded before it was sent.
func (sim *simulatedCluster) Obeying(agent *worker.Worker, c protocol.Command) {
	if !sim.startRecorded(c, agent) {
		sim.recordViolation("start of %s on %s before its record", c.Task, agent.Name)
	}
}

// Ended notes a task's result.
func (sim *simulatedCluster) Ended(_ *worker.Worker, t *worker.Task) {
	if t.Cause == protocol.CauseDone {
		submitted := sim.jobs[t.Job]
		submitted.tasksDone[t.Index] = true
		if len(submitted.tasksDone) == submitted.spec.Tasks && sim.onJobEnd != nil {
			sim.onJobEnd(t.Job)
		}
		if len(submitted.tasksDone) == submitted.spec.Tasks && sim.cancelAtEnd != nil && sim.cancelAtEnd(t.Job) && !submitted.cancelRequested {
			sim.countFault("cancelled at the end")
			sim.group.Go(func() { sim.cancelUntilAnswered(t.Job, len(submitted.tasksDone)) })
		}
	}
}

// Running checks that a withdrawn job's tasks go away in time.
func (sim *simulatedCluster) Running(agent *worker.Worker, t *worker.Task, now time.Time) {
	submitted := sim.jobs[t.Job]
	if !submitted.cancelledAt.IsZero() && now.Sub(submitted.cancelledAt) > settings.Seconds(sim.settings.Params.Workers.CancelS) {
		sim.recordViolation("ran_cancelled: %s on %s", t.Name, agent.Name)
	}
}

// Started checks the rules at the moment a task comes onto its machine.
func (sim *simulatedCluster) Started(agent *worker.Worker, t *worker.Task) {
	submitted, index := sim.jobs[t.Job], t.Index
	s := submitted.spec
	for _, dep := range s.Dependencies {
		if dependency := sim.jobs[dep]; len(dependency.tasksDone) < dependency.spec.Tasks {
			sim.recordViolation("too_early: %s started with %d of %d tasks of %s done", t.Name, len(dependency.tasksDone), dependency.spec.Tasks, dep)
		}
	}
	usage, zone := 0.0, 0
	for _, other := range sim.workers {
		// A machine that hung beyond its lease won't go on with its tasks; it
		// forgets them when it wakes.
		dead := time.Since(other.LeaseFrom).Seconds() > sim.settings.Params.Workers.LeaseS
		for _, otherTask := range other.Tasks {
			if !otherTask.Running || dead {
				continue
			}
			job, i := otherTask.Job, otherTask.Index
			if job == s.ID && i == index && otherTask != t {
				sim.recordViolation("ran_twice: %s on %s and %s", t.Name, agent.Name, other.Name)
			}
			otherJob := sim.jobs[job]
			if otherJob.spec.Team == s.Team {
				usage += otherJob.spec.CPUs
			}
			if job == s.ID && otherTask != t {
				if s.OneZone && other.Zone != agent.Zone {
					sim.recordViolation("wrong_place: %s is in two zones", s.ID)
				}
			}
			if job == s.ID && other.Zone == agent.Zone {
				zone++
			}
		}
	}
	for _, team := range sim.settings.Params.Teams {
		if team.Name == s.Team && team.CPUsMax > 0 && usage > team.CPUsMax+0.001 {
			sim.recordViolation("quota: team %s uses %v", s.Team, usage)
		}
	}
	if len(s.Types) > 0 && !slices.Contains(s.Types, agent.Type) || s.Zone != "" && s.Zone != agent.Zone || agent.Spot && !s.Spot ||
		s.Spread && zone > (s.Tasks+1)/2 {
		sim.recordViolation("wrong_place: %s on %s %s spot %v", t.Name, agent.Type, agent.Zone, agent.Spot)
	}
	if !submitted.cancelledAt.IsZero() {
		after := time.Since(submitted.cancelledAt)
		sim.startsAfterCancel = append(sim.startsAfterCancel, startAfterCancel{t.Name, agent.Name, after})
		if after > settings.Seconds(sim.settings.Params.Workers.CancelS) {
			sim.recordViolation("ran_cancelled: %s started", t.Name)
		}
	}
}

// startRecorded says whether a start stands in the state service, with the lock
// held: no commit, no start.
func (sim *simulatedCluster) startRecorded(c protocol.Command, agent *worker.Worker) bool {
	id, task, _ := protocol.ParseTask(c.Task)
	for key, it := range sim.state.Items {
		if !strings.HasPrefix(key, "r/") || !strings.Contains(key, id) {
			continue // without taking the key apart, as most are others'
		}
		if job, _, err := storage.ParseRunKey(key); err != nil || job != id {
			continue
		}
		var run storage.RunRecord
		panicOnError(storage.Decode(it.Value, &run))
		if slices.Contains(run.Live, storage.Attempt{Task: task, Number: c.Attempt, Machine: agent.Name, Epoch: agent.Session}) {
			return true
		}
	}
	return false
}

// serveWorker carries a request to a worker.
func (sim *simulatedCluster) serveWorker(agent *worker.Worker, path string, body []byte) *transport.Response {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if agent.Dead {
		return nil
	}
	if agent.Hung {
		return &transport.Response{Status: 504, Body: protocol.Encode(map[string]any{})}
	}
	if path == "/orders" && sim.interceptCommands != nil {
		var o protocol.Orders
		panicOnError(protocol.Decode(body, &o))
		sim.interceptCommands(agent.Name, &o)
		body = protocol.Encode(o)
	}
	resp := agent.Serve(path, body)
	if path == "/orders" && resp != nil && resp.Status == 409 {
		for verb := range commandOps(body) {
			sim.countFault("refused " + verb)
		}
	}
	return resp
}

// newJobSpec is a job that fits everywhere.
func newJobSpec(id string, tasks int, team string) *protocol.JobSpec {
	return &protocol.JobSpec{ID: id, Class: "c", Team: team, Urgency: protocol.Standard, Tasks: tasks, CPUs: 4, MemGB: 4,
		Image: "img", ImageGB: 1, Spot: true, EstimateS: 6, DeadlineS: 60}
}

var urgencyNames = []string{"low", "standard", "high", "production"}

func encodeSubmission(s *protocol.JobSpec) []byte {
	shape := "batch"
	if s.Standing {
		shape = "standing"
	}
	if s.Gang {
		shape = "gang"
	}
	m := map[string]any{"name_id": s.ID, "jobclass": s.Class, "owner": s.Team, "shape": shape, "urgency": urgencyNames[s.Urgency],
		"pieces": s.Tasks, "vcpus": s.CPUs, "gpus": s.GPUs, "mem_gb": s.MemGB, "bundle": s.Image, "image_gb": s.ImageGB,
		"same_place": s.OneZone, "apart": s.Spread, "loaners": s.Spot, "guess_s": s.EstimateS, "due_s": s.DeadlineS,
		"snapshot_every_s": s.CheckpointS, "snapshot_s": s.SaveS, "locale": nil, "shapes_of_box": nil}
	if s.Zone != "" {
		m["locale"] = s.Zone
	}
	if len(s.Types) > 0 {
		m["shapes_of_box"] = s.Types
	}
	if s.Dependencies != nil {
		m["waits_on"] = s.Dependencies
	}
	b, err := msgpack.Marshal(m)
	panicOnError(err)
	return b
}

// sendRequest sends a user's request to a controller, or to any that runs.
func (sim *simulatedCluster) sendRequest(label, method, path string, body []byte) transport.Response {
	sim.mu.Lock()
	n := sim.controllers[label]
	for _, other := range sim.controllers {
		if n == nil {
			n = other
		}
	}
	sim.mu.Unlock()
	if n == nil {
		return transport.Response{}
	}
	return n.controller.Serve(sim.ctx, &transport.Request{Method: method, Path: path, Body: body, Authorization: sim.identities.authorization(""), From: "10.9.0.1:4000"})
}

// submit submits until accepted.
func (sim *simulatedCluster) submit(s *protocol.JobSpec) {
	sim.mu.Lock()
	submitted := sim.jobs[s.ID]
	if submitted == nil {
		submitted = &submittedJob{spec: s, tasksDone: map[int]bool{}}
		sim.jobs[s.ID] = submitted
	}
	sim.mu.Unlock()
	for range 60 {
		resp := sim.sendRequest("", "POST", "/submissions", encodeSubmission(s))
		if resp.Status == 201 || resp.Status == 200 {
			sim.mu.Lock()
			if submitted.acceptedAt.IsZero() {
				submitted.acceptedAt = time.Now()
			}
			sim.mu.Unlock()
			return
		}
		if resp.Status == 400 || resp.Status == 422 {
			sim.mu.Lock()
			sim.recordViolation("forgotten or refused: submission of %s got %d", s.ID, resp.Status)
			sim.mu.Unlock()
			return
		}
		time.Sleep(time.Second)
	}
	sim.t.Errorf("%s was never accepted", s.ID)
}

// poll asks for a job's state and checks it against what was said before.
func (sim *simulatedCluster) poll(label, id string) string {
	resp := sim.sendRequest(label, "GET", "/submissions/"+id, nil)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	submitted := sim.jobs[id]
	if resp.Status == 404 && submitted != nil && !submitted.acceptedAt.IsZero() {
		sim.recordViolation("forgotten: %s", id)
	}
	if resp.Status != 200 {
		return ""
	}
	var st protocol.JobStatus
	panicOnError(protocol.Decode(resp.Body, &st))
	if submitted == nil {
		sim.recordViolation("invented: %s", id)
		return st.Status
	}
	if submitted.finalStatus != "" && st.Status != submitted.finalStatus {
		sim.recordViolation("went_back: %s was %s, is %s", id, submitted.finalStatus, st.Status)
	}
	switch st.Status {
	case protocol.StatusDone:
		if len(submitted.tasksDone) != submitted.spec.Tasks {
			sim.recordViolation("not_done: %s has %d of %d", id, len(submitted.tasksDone), submitted.spec.Tasks)
		}
		submitted.finalStatus = st.Status
	case protocol.StatusQueued, protocol.StatusRunning:
		if at := sim.dependencyCancelledAt(submitted); !at.IsZero() && time.Since(at).Seconds() > sim.settings.Params.Workers.CancelS {
			sim.recordViolation("orphaned: %s is %s %s after something that it needs was withdrawn", id, st.Status, time.Since(at))
		}
	case protocol.StatusWithdrawn:
		if submitted.cancelledAt.IsZero() && submitted.finalStatus == "" && !sim.mayBeCancelled(submitted) {
			sim.recordViolation("went_back: %s was not withdrawn by its user", id)
		}
		submitted.finalStatus = st.Status
	}
	return st.Status
}

// dependencyCancelledAt is since when a job's user could expect it to be withdrawn, since
// something that it needs is; zero if not. Called with the lock held.
func (sim *simulatedCluster) dependencyCancelledAt(submitted *submittedJob) time.Time {
	first := time.Time{}
	for _, dep := range submitted.spec.Dependencies {
		dependency := sim.jobs[dep]
		at := dependency.cancelledAt
		if at.IsZero() {
			at = sim.dependencyCancelledAt(dependency)
		}
		if at.IsZero() {
			continue
		}
		if at.Before(submitted.acceptedAt) {
			at = submitted.acceptedAt
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// mayBeCancelled says whether a user has asked to withdraw a job or something
// that it needs. Called with the lock held.
func (sim *simulatedCluster) mayBeCancelled(submitted *submittedJob) bool {
	return submitted.cancelRequested || slices.ContainsFunc(submitted.spec.Dependencies, func(dep string) bool { return sim.mayBeCancelled(sim.jobs[dep]) })
}

// cancelJob cancels a job, repeating until answered.
func (sim *simulatedCluster) cancelJob(id string) string {
	sim.mu.Lock()
	sim.jobs[id].cancelRequested = true
	sim.mu.Unlock()
	for range 60 {
		resp := sim.sendRequest("", "POST", "/submissions/"+id+"/withdraw", nil)
		if resp.Status == 200 {
			var st protocol.JobStatus
			panicOnError(protocol.Decode(resp.Body, &st))
			sim.mu.Lock()
			if st.Status == protocol.StatusWithdrawn {
				sim.jobs[id].cancelledAt = time.Now()
			}
			sim.jobs[id].finalStatus = st.Status
			sim.mu.Unlock()
			return st.Status
		}
		time.Sleep(time.Second)
	}
	sim.t.Errorf("%s could not be withdrawn", id)
	return ""
}

// waitForAllJobs waits until all jobs are over.
func (sim *simulatedCluster) waitForAllJobs(limit time.Duration) {
	end := time.Now().Add(limit)
	for {
		open := []string{}
		sim.mu.Lock()
		ids := make([]string, 0, len(sim.jobs))
		for id := range sim.jobs {
			ids = append(ids, id)
		}
		sim.mu.Unlock()
		slices.Sort(ids)
		for _, id := range ids {
			if st := sim.poll("", id); st != protocol.StatusDone && st != protocol.StatusWithdrawn {
				open = append(open, id+"="+st)
			}
		}
		if len(open) == 0 {
			return
		}
		if time.Now().After(end) {
			sim.t.Errorf("not over after %s: %v", limit, open)
			return
		}
		time.Sleep(2 * time.Second)
	}
}
