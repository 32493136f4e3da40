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

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/fake/cloud"
	"micaspindle/internal/fake/state"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
	"micaspindle/internal/transport"
)

// world is the stand-in for everything outside the controllers: state service,
// cloud, workers and the network between them, as PROTOCOL describes them. It
// notes each broken rule where the outside world would see it.
type world struct {
	t   testing.TB
	ctx context.Context
	set settings.Settings
	op  settings.Operator

	mu       sync.Mutex
	rng      *rand.Rand
	nodes    map[string]*node
	workers  map[string]*agent.Agent
	broken   []string
	jobs     map[string]*userJob
	trouble  float64 // share of messages lost or late
	cut      func(from, to string) bool
	runTime  func(job string, task int, machine string) time.Duration
	fails    func(job string, task int, machine string) bool
	onOrders func(machine string, o *protocol.CommandBatch) // sees orders before they are executed
	// asked sees what a controller sends, and may lose it.
	asked func(from, host, target string, body []byte) (lost bool)
	// held is until when what a controller sends and gets is kept back.
	held map[string]time.Time
	// told changes what owners and the leader tell, with the lock held.
	told func(*peer.ReplicaUpdate)
	// old are controllers of a version that keeps no copies.
	old map[string]bool
	// answered sees what a controller was answered, and may lose it.
	answered func(from, host, target string, body []byte, resp *transport.Response) (lost bool)
	// ids makes the controllers ask who comes; nil: they don't.
	ids   *clerks
	group sync.WaitGroup
	// lived are the lives of controllers of which a record was written.
	lived map[lease.IncarnationID]bool
	troubles
	// stormTasks is how many tasks a storm's jobs have at most.
	stormTasks int

	state *state.Service
	cloud *cloud.Service
}

type node struct {
	label  string
	ctl    *Controller
	cancel context.CancelFunc
	done   chan struct{}
}

type userJob struct {
	spec      *protocol.JobSpec
	accepted  time.Time // zero: not yet
	asked     bool      // its user has asked to withdraw it
	withdrawn time.Time
	ended     string
	tasksDone map[int]bool
}

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{t: t, ctx: t.Context(), rng: rand.New(rand.NewPCG(seed, 7)), nodes: map[string]*node{},
		workers: map[string]*agent.Agent{}, jobs: map[string]*userJob{}, lived: map[lease.IncarnationID]bool{}, op: settings.DefaultOperator(), stormTasks: 12}
	w.set.Params = settings.Params{Count: 3, Zones: []string{"a", "b"},
		Teams:         []settings.Team{{Name: "red", CPUs: 16, CPUsMax: 32}, {Name: "blue", CPUs: 16, CPUsMax: 64}, {Name: "green"}},
		Workers:       settings.Workers{ReportS: 1, LeaseS: 8, CancelS: 25},
		State:         settings.State{RPS: 300, WriteRPS: 60, ValueKB: 8, TxnOps: 12},
		Cloud:         settings.Cloud{RPS: 10, ListLagS: 4},
		MachineLimits: settings.Limits{CoreShare: 0.1, MemMB: 64, Sockets: 200}}
	w.set.Services = settings.Services{Cloud: "cloud:1", State: "state:1"}
	w.state = state.New(&w.mu)
	w.state.Page = 25
	w.state.Oversized = func(what string) { w.breakRule("%s", what) }
	w.state.BeforePut = func(c protocol.Change, old protocol.Item, exists bool) {
		w.checkClaim(c, old, exists)
		w.checkFinal(c, exists)
	}
	w.cloud = cloud.New(&w.mu)
	w.cloud.Capacity, w.cloud.ListLag = 12, settings.Seconds(w.set.Params.Cloud.ListLagS)
	w.cloud.Boot, w.cloud.Stop = w.boot, w.stop
	w.cloud.Types = []protocol.MachineType{{Name: "small", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3,
		BootS: 5, ZonesOffered: []string{"a", "b"}}, {Name: "big", CPUs: 32, MemGB: 128, CacheGB: 50, FetchGBPerS: 1, Price: 4,
		SpotPrice: 1.2, BootS: 8, ZonesOffered: []string{"a"}}}
	w.runTime = func(string, int, string) time.Duration { return 6 * time.Second }
	return w
}

// simulate runs f in a bubble of fake time and ends everything afterwards.
func simulate(t *testing.T, seed uint64, f func(w *world)) {
	t.Helper()
	simulatePrepared(t, seed, func(*world) {}, f)
}

// simulatePrepared lets prepare change the world before the controllers start.
func simulatePrepared(t *testing.T, seed uint64, prepare, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, seed)
		prepare(w)
		// Whenever an announced limit comes into force, it must have been kept to.
		limits := w.set.Params.State.Lower()
		w.state.TxnOps, w.state.ValueKB = limits.TxnOps, limits.ValueKB
		ctx, cancel := context.WithCancel(context.Background())
		w.ctx = ctx
		for i := range 3 {
			w.start("n" + strconv.Itoa(i))
		}
		f(w)
		w.checkSettled()
		for _, n := range w.nodes {
			n.cancel()
		}
		cancel()
		w.group.Wait()
		for _, b := range w.broken {
			t.Error("rule broken:", b)
		}
	})
}

func (w *world) breakRule(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%s: ", time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)))+fmt.Sprintf(format, args...))
}

// start starts a controller, as the platform does after an end.
func (w *world) start(label string) {
	set := w.set
	set.Label, set.Zone = label, "a"
	set.ServeOn, set.ClusterListen = label+":80", label+":81"
	set.Others = nil
	for i := range 3 {
		if other := "n" + strconv.Itoa(i); other != label {
			set.Others = append(set.Others, settings.Other{Label: other, PeerAddr: other + ":81"})
		}
	}
	ctx, cancel := context.WithCancel(w.ctx)
	n := &node{label: label, cancel: cancel, done: make(chan struct{})}
	log := slog.New(slog.DiscardHandler)
	if testing.Verbose() {
		log = slog.New(slog.NewTextHandler(w.t.Output(), &slog.HandlerOptions{Level: slog.LevelInfo})).With("node", label)
	}
	n.ctl = New(ctx, &set, w.op, &nodeNet{w, n, ctx}, log)
	if w.op.Operations != nil {
		n.ctl.Observe()
	}
	if w.ids != nil {
		must(n.ctl.EnableAuth(w.ids.identities(label)))
	}
	w.mu.Lock()
	w.nodes[label] = n
	w.mu.Unlock()
	w.group.Go(func() {
		defer close(n.done)
		n.ctl.Run()
	})
}

func (w *world) kill(label string) {
	w.mu.Lock()
	n := w.nodes[label]
	delete(w.nodes, label)
	w.mu.Unlock()
	n.cancel()
	<-n.done
}

// nodeNet is the network as one controller sees it.
type nodeNet struct {
	w   *world
	n   *node
	ctx context.Context
}

// Do carries one message; it may be lost, its answer may be lost, or it may
// arrive long after the sender gave up.
func (nn *nodeNet) Do(ctx context.Context, addr, method, target string, body []byte) (*transport.Response, error) {
	w := nn.w
	host, _, _ := strings.Cut(addr, ":")
	w.mu.Lock()
	fate := w.rng.Float64()
	delay := time.Duration(1+w.rng.IntN(4))*time.Millisecond + w.linkDelay()
	after := time.Duration(w.rng.IntN(20_000)) * time.Millisecond
	trouble := w.trouble
	cut := w.cut != nil && w.cut(nn.n.label, host) || w.deaf[host]
	asked := w.asked
	late, lost := w.lateWrite(host, target, body)
	var heldFor time.Duration
	held := false
	if w.workers[host] != nil && !cut {
		heldFor, held = w.heldUp(target, body)
	}
	w.mu.Unlock()
	w.awaitHeld(nn.n.label)
	if lost {
		w.group.Go(func() { w.writeLate(nn.n.label, late, body) })
		<-ctx.Done()
		return nil, fmt.Errorf("no answer to a transaction: %w", ctx.Err())
	}
	if held {
		w.locked(func() { w.meets("held up from " + nn.n.label) })
		w.group.Go(func() { w.commandLate(host, heldFor, body) })
		<-ctx.Done()
		return nil, fmt.Errorf("held up: %w", ctx.Err())
	}
	if asked != nil && asked(nn.n.label, host, target, body) {
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
		w.group.Go(func() {
			time.Sleep(after)
			w.deliver(context.WithoutCancel(ctx), nn.n.label, host, method, target, body)
		})
		<-ctx.Done()
		return nil, fmt.Errorf("late: %w", ctx.Err())
	}
	time.Sleep(delay)
	w.awaitHeld(host)
	if nn.ctx.Err() != nil {
		return nil, fmt.Errorf("%w: process ended", transport.ErrNotSent)
	}
	resp := w.deliver(ctx, nn.n.label, host, method, target, body)
	if resp == nil {
		return nil, fmt.Errorf("%w: refused", transport.ErrNotSent)
	}
	w.awaitHeld(nn.n.label)
	w.mu.Lock()
	answered := w.answered
	w.mu.Unlock()
	if answered != nil && answered(nn.n.label, host, target, body, resp) {
		<-ctx.Done()
		return nil, fmt.Errorf("answer lost: %w", ctx.Err())
	}
	if fate < trouble {
		<-ctx.Done()
		return nil, fmt.Errorf("answer lost: %w", ctx.Err())
	}
	return resp, nil
}

// awaitHeld waits while a controller stands still.
func (w *world) awaitHeld(label string) {
	w.mu.Lock()
	until := w.held[label]
	w.mu.Unlock()
	time.Sleep(time.Until(until))
}

// ofOld is a message of a controller that keeps no copies, without what it does not know.
func ofOld(path string, body []byte) []byte {
	if path != peering.SummaryPath {
		return body
	}
	sum := new(peer.Summary)
	must(proto.Unmarshal(body, sum))
	sum.Replicas, sum.Draining, sum.Replicates, sum.Capacity, sum.Connected, sum.Cancelled = nil, false, false, 0, 0, nil
	for _, p := range sum.Partitions {
		p.Standby, p.Delegated = "", nil
	}
	body, err := proto.Marshal(sum)
	must(err)
	return body
}

func (w *world) deliver(ctx context.Context, from, host, method, target string, body []byte) *transport.Response {
	path, query, _ := strings.Cut(target, "?")
	q, _ := url.ParseQuery(query)
	switch host {
	case "state":
		return w.state.Serve(ctx, from, method, path, q, body)
	case "cloud":
		return w.cloud.Serve(method, path, q, body)
	}
	w.mu.Lock()
	n, wk := w.nodes[host], w.workers[host]
	w.mu.Unlock()
	switch {
	case n != nil && (w.old[host] || w.old[from]) && (path == replication.UpdatePath || path == replication.StateTransferPath || path == proxy.DelegationPath || path == proxy.ForwardPath):
		return &transport.Response{Status: 404}
	case n != nil:
		if w.old[from] {
			body = ofOld(path, body)
		}
		w.mu.Lock()
		noNotices := w.noNotices
		w.mu.Unlock()
		if path == peering.SummaryPath && noNotices {
			body = withoutNotices(body)
		}
		if w.told != nil && path == replication.UpdatePath {
			tale := new(peer.ReplicaUpdate)
			must(proto.Unmarshal(body, tale))
			w.mu.Lock()
			w.told(tale)
			w.mu.Unlock()
			var err error
			body, err = proto.Marshal(tale)
			must(err)
		}
		resp := n.ctl.ServePeers(ctx, &transport.Request{Method: method, Path: path, Body: body, Peer: w.ids.certificate("controller/" + from)})
		return &resp
	case wk != nil:
		return w.serveWorker(wk, path, body)
	}
	return nil
}

// checkClaim sees that nobody takes a claim that another still holds: its owner
// might go on answering workers for longer than its successor expects.
func (w *world) checkClaim(c protocol.Change, old protocol.Item, held bool) {
	var claim storage.Lease
	if kind, _ := storage.ParseKey(c.Put); (kind == storage.KindLease || kind == storage.KindLeadership) && storage.Decode(c.Value, &claim) == nil {
		// Not that the record is of this life still: a late claim of a process that ended
		// may come after its next life's record, on a lease that has not run out yet (44).
		if !w.lived[lease.IncarnationID{Label: claim.Holder, Nonce: claim.Nonce}] {
			w.breakRule("%s claimed before the record of its owner's life", c.Put)
		}
	}
	kind, label := storage.ParseKey(c.Put)
	if kind == storage.KindIncarnation {
		var life storage.Incarnation
		must(storage.Decode(c.Value, &life))
		w.lived[lease.IncarnationID{Label: label, Nonce: life.Nonce}] = true
		w.checkReleases(label, c.Value)
	}
	if !held || kind != storage.KindLease && kind != storage.KindLeadership {
		return
	}
	var before, after storage.Lease
	must(storage.Decode(old.Value, &before))
	must(storage.Decode(c.Value, &after))
	if before.Holder != after.Holder {
		w.breakRule("claim %s of %s taken by %s", c.Put, before.Holder, after.Holder)
	}
}

// checkFinal sees that how a job ended is written once: controllers answer it from memory (15).
func (w *world) checkFinal(c protocol.Change, exists bool) {
	if kind, job := storage.ParseKey(c.Put); kind == storage.KindFinal && exists {
		w.breakRule("the end of %s is written twice", job)
	}
}

// checkReleases sees that whoever writes that it gave claims up acts under none of them.
func (w *world) checkReleases(label string, value []byte) {
	var life storage.Incarnation
	must(storage.Decode(value, &life))
	n := w.nodes[label]
	if n == nil || n.ctl.Nonce != life.Nonce {
		return
	}
	n.ctl.loop.Do(func() {
		for _, r := range life.Released {
			if p := n.ctl.Partitions[r.Partition]; p.Held && p.LeaseRevision == r.LeaseRevision {
				w.broken = append(w.broken, fmt.Sprintf("%s gives part %d up and acts for it", label, r.Partition))
			}
		}
	})
}

// outage starts or ends an outage of the state service.
func (w *world) outage(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Outage(on)
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// boot starts a rented machine a while later; it is called with the lock held.
func (w *world) boot(name string, m *cloud.Machine) {
	home := w.rng.IntN(3)
	delay := time.Duration(3000+w.rng.IntN(4000)) * time.Millisecond
	if w.bootsIn > 0 {
		delay = w.bootsIn
	}
	m.Addr = name + ":9000"
	w.group.Go(func() {
		select {
		case <-time.After(delay):
		case <-w.ctx.Done():
			return
		}
		w.mu.Lock()
		if w.cloud.Machines[name] == nil {
			w.mu.Unlock()
			return
		}
		wk := agent.New(&w.mu, w, w)
		wk.Name, wk.Addr, wk.Type, wk.Zone, wk.Spot = name, m.Addr, m.Type, m.Zone, m.Spot
		wk.Lease = settings.Seconds(w.set.Params.Workers.LeaseS)
		wk.Homes, wk.Home = []string{"n0", "n1", "n2"}, home
		wk.Send = func(label string, report []byte) (int, []byte) { return w.report(name, label, report) }
		m.Up = true
		w.workers[name] = wk
		w.mu.Unlock()
		wk.Run(w.ctx.Done())
	})
}

// stop cuts a deleted machine's power.
func (w *world) stop(name string) {
	if wk := w.workers[name]; wk != nil {
		wk.Off()
		delete(w.workers, name)
	}
}

// report carries a worker's report to a controller.
func (w *world) report(machine, label string, report []byte) (int, []byte) {
	w.mu.Lock()
	n := w.nodes[label]
	lost := w.rng.Float64() < w.trouble || w.cut != nil && w.cut(label, machine) || w.mute[machine]
	deaf := w.deaf[machine]
	there, back := w.linkDelay(), w.linkDelay()
	if !lost {
		w.copyReport(machine, label, report)
	}
	w.mu.Unlock()
	if n == nil || lost {
		return 0, nil
	}
	time.Sleep(2*time.Millisecond + there)
	w.awaitHeld(label)
	resp := n.checkin(w, machine, report)
	if deaf {
		return 0, nil
	}
	time.Sleep(back)
	return resp.Status, resp.Body
}

// checkin brings a report to a controller.
func (n *node) checkin(w *world, machine string, report []byte) transport.Response {
	return n.ctl.Serve(w.ctx, &transport.Request{Method: "POST", Path: "/checkin", Body: report, Peer: w.ids.certificate("worker/" + machine)})
}

// RunTime is how long a task runs; one that was done before ends at once.
func (w *world) RunTime(job string, task int, machine string) (time.Duration, bool) {
	uj := w.jobs[job]
	if uj == nil {
		return 0, false
	}
	if uj.tasksDone[task] {
		return 0, true
	}
	return w.runTime(job, task, machine), true
}

// Fails says whether a task fails on a machine.
func (w *world) Fails(job string, task int, machine string) bool {
	return w.fails != nil && w.fails(job, task, machine)
}

// Obeying checks that a start was recorded before it was sent.
func (w *world) Obeying(wk *agent.Agent, c protocol.Command) {
	if !w.recorded(c, wk) {
		w.breakRule("start of %s on %s before its record", c.Task, wk.Name)
	}
}

// Ended notes a task's result.
func (w *world) Ended(_ *agent.Agent, t *agent.Task) {
	if t.Cause == protocol.CauseDone {
		uj := w.jobs[t.Job]
		uj.tasksDone[t.Index] = true
		if len(uj.tasksDone) == uj.spec.Tasks && w.ended != nil {
			w.ended(t.Job)
		}
		if len(uj.tasksDone) == uj.spec.Tasks && w.atEnd != nil && w.atEnd(t.Job) && !uj.asked {
			w.meets("cancelled at the end")
			w.group.Go(func() { w.insist(t.Job, len(uj.tasksDone)) })
		}
	}
}

// Running checks that a withdrawn job's tasks go away in time.
func (w *world) Running(wk *agent.Agent, t *agent.Task, now time.Time) {
	uj := w.jobs[t.Job]
	if !uj.withdrawn.IsZero() && now.Sub(uj.withdrawn) > settings.Seconds(w.set.Params.Workers.CancelS) {
		w.breakRule("ran_cancelled: %s on %s", t.Name, wk.Name)
	}
}

// Started checks the rules at the moment a task comes onto its machine.
func (w *world) Started(wk *agent.Agent, t *agent.Task) {
	uj, index := w.jobs[t.Job], t.Index
	s := uj.spec
	for _, dep := range s.Dependencies {
		if dj := w.jobs[dep]; len(dj.tasksDone) < dj.spec.Tasks {
			w.breakRule("too_early: %s started with %d of %d tasks of %s done", t.Name, len(dj.tasksDone), dj.spec.Tasks, dep)
		}
	}
	usage, zone := 0.0, 0
	for _, other := range w.workers {
		// A machine that hung beyond its lease won't go on with its tasks; it
		// forgets them when it wakes.
		dead := time.Since(other.LeaseFrom).Seconds() > w.set.Params.Workers.LeaseS
		for _, ot := range other.Tasks {
			if !ot.Running || dead {
				continue
			}
			job, i := ot.Job, ot.Index
			if job == s.ID && i == index && ot != t {
				w.breakRule("ran_twice: %s on %s and %s", t.Name, wk.Name, other.Name)
			}
			oj := w.jobs[job]
			if oj.spec.Team == s.Team {
				usage += oj.spec.CPUs
			}
			if job == s.ID && ot != t {
				if s.OneZone && other.Zone != wk.Zone {
					w.breakRule("wrong_place: %s is in two zones", s.ID)
				}
			}
			if job == s.ID && other.Zone == wk.Zone {
				zone++
			}
		}
	}
	for _, team := range w.set.Params.Teams {
		if team.Name == s.Team && team.CPUsMax > 0 && usage > team.CPUsMax+0.001 {
			w.breakRule("quota: team %s uses %v", s.Team, usage)
		}
	}
	if len(s.Types) > 0 && !slices.Contains(s.Types, wk.Type) || s.Zone != "" && s.Zone != wk.Zone || wk.Spot && !s.Spot ||
		s.Spread && zone > (s.Tasks+1)/2 {
		w.breakRule("wrong_place: %s on %s %s spot %v", t.Name, wk.Type, wk.Zone, wk.Spot)
	}
	if !uj.withdrawn.IsZero() {
		after := time.Since(uj.withdrawn)
		w.afterCancel = append(w.afterCancel, startAfterCancel{t.Name, wk.Name, after})
		if after > settings.Seconds(w.set.Params.Workers.CancelS) {
			w.breakRule("ran_cancelled: %s started", t.Name)
		}
	}
}

// recorded says whether a start stands in the state service, with the lock
// held: no commit, no start.
func (w *world) recorded(c protocol.Command, wk *agent.Agent) bool {
	id, task, _ := protocol.ParseTask(c.Task)
	for key, it := range w.state.Items {
		if !strings.HasPrefix(key, "r/") || !strings.Contains(key, id) {
			continue // without taking the key apart, as most are others'
		}
		if job, _, err := storage.ParseRunKey(key); err != nil || job != id {
			continue
		}
		var run storage.RunRecord
		must(storage.Decode(it.Value, &run))
		if slices.Contains(run.Live, storage.Attempt{Task: task, Number: c.Attempt, Machine: wk.Name, Epoch: wk.Session}) {
			return true
		}
	}
	return false
}

// serveWorker carries a request to a worker.
func (w *world) serveWorker(wk *agent.Agent, path string, body []byte) *transport.Response {
	w.mu.Lock()
	defer w.mu.Unlock()
	if wk.Dead {
		return nil
	}
	if wk.Hung {
		return &transport.Response{Status: 504, Body: protocol.Encode(map[string]any{})}
	}
	if path == "/orders" && w.onOrders != nil {
		var o protocol.CommandBatch
		must(protocol.Decode(body, &o))
		w.onOrders(wk.Name, &o)
		body = protocol.Encode(o)
	}
	resp := wk.Serve(path, body)
	if path == "/orders" && resp != nil && resp.Status == 409 {
		for verb := range verbsOf(body) {
			w.meets("refused " + verb)
		}
	}
	return resp
}

// spec is a job that fits everywhere.
func spec(id string, tasks int, team string) *protocol.JobSpec {
	return &protocol.JobSpec{ID: id, Class: "c", Team: team, Urgency: protocol.Standard, Tasks: tasks, CPUs: 4, MemGB: 4,
		Image: "img", ImageGB: 1, Spot: true, EstimateS: 6, DeadlineS: 60}
}

var urgencyNames = []string{"low", "standard", "high", "production"}

func submission(s *protocol.JobSpec) []byte {
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
	must(err)
	return b
}

// ask sends a user's request to a controller, or to any that runs.
func (w *world) ask(label, method, path string, body []byte) transport.Response {
	w.mu.Lock()
	n := w.nodes[label]
	for _, other := range w.nodes {
		if n == nil {
			n = other
		}
	}
	w.mu.Unlock()
	if n == nil {
		return transport.Response{}
	}
	return n.ctl.Serve(w.ctx, &transport.Request{Method: method, Path: path, Body: body, Authorization: w.ids.authorization(""), From: "10.9.0.1:4000"})
}

// submit submits until accepted.
func (w *world) submit(s *protocol.JobSpec) {
	w.mu.Lock()
	uj := w.jobs[s.ID]
	if uj == nil {
		uj = &userJob{spec: s, tasksDone: map[int]bool{}}
		w.jobs[s.ID] = uj
	}
	w.mu.Unlock()
	for range 60 {
		resp := w.ask("", "POST", "/submissions", submission(s))
		if resp.Status == 201 || resp.Status == 200 {
			w.mu.Lock()
			if uj.accepted.IsZero() {
				uj.accepted = time.Now()
			}
			w.mu.Unlock()
			return
		}
		if resp.Status == 400 || resp.Status == 422 {
			w.mu.Lock()
			w.breakRule("forgotten or refused: submission of %s got %d", s.ID, resp.Status)
			w.mu.Unlock()
			return
		}
		time.Sleep(time.Second)
	}
	w.t.Errorf("%s was never accepted", s.ID)
}

// poll asks for a job's state and checks it against what was said before.
func (w *world) poll(label, id string) string {
	resp := w.ask(label, "GET", "/submissions/"+id, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	uj := w.jobs[id]
	if resp.Status == 404 && uj != nil && !uj.accepted.IsZero() {
		w.breakRule("forgotten: %s", id)
	}
	if resp.Status != 200 {
		return ""
	}
	var st protocol.JobStatus
	must(protocol.Decode(resp.Body, &st))
	if uj == nil {
		w.breakRule("invented: %s", id)
		return st.Status
	}
	if uj.ended != "" && st.Status != uj.ended {
		w.breakRule("went_back: %s was %s, is %s", id, uj.ended, st.Status)
	}
	switch st.Status {
	case protocol.StatusDone:
		if len(uj.tasksDone) != uj.spec.Tasks {
			w.breakRule("not_done: %s has %d of %d", id, len(uj.tasksDone), uj.spec.Tasks)
		}
		uj.ended = st.Status
	case protocol.StatusQueued, protocol.StatusRunning:
		if at := w.orphanedAt(uj); !at.IsZero() && time.Since(at).Seconds() > w.set.Params.Workers.CancelS {
			w.breakRule("orphaned: %s is %s %s after something that it needs was withdrawn", id, st.Status, time.Since(at))
		}
	case protocol.StatusCancelled:
		if uj.withdrawn.IsZero() && uj.ended == "" && !w.mayBeWithdrawn(uj) {
			w.breakRule("went_back: %s was not withdrawn by its user", id)
		}
		uj.ended = st.Status
	}
	return st.Status
}

// orphanedAt is since when a job's user could expect it to be withdrawn, since
// something that it needs is; zero if not. Called with the lock held.
func (w *world) orphanedAt(uj *userJob) time.Time {
	first := time.Time{}
	for _, dep := range uj.spec.Dependencies {
		dj := w.jobs[dep]
		at := dj.withdrawn
		if at.IsZero() {
			at = w.orphanedAt(dj)
		}
		if at.IsZero() {
			continue
		}
		if at.Before(uj.accepted) {
			at = uj.accepted
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// mayBeWithdrawn says whether a user has asked to withdraw a job or something
// that it needs. Called with the lock held.
func (w *world) mayBeWithdrawn(uj *userJob) bool {
	return uj.asked || slices.ContainsFunc(uj.spec.Dependencies, func(dep string) bool { return w.mayBeWithdrawn(w.jobs[dep]) })
}

// withdraw cancels a job, repeating until answered.
func (w *world) withdraw(id string) string {
	w.mu.Lock()
	w.jobs[id].asked = true
	w.mu.Unlock()
	for range 60 {
		resp := w.ask("", "POST", "/submissions/"+id+"/withdraw", nil)
		if resp.Status == 200 {
			var st protocol.JobStatus
			must(protocol.Decode(resp.Body, &st))
			w.mu.Lock()
			if st.Status == protocol.StatusCancelled {
				w.jobs[id].withdrawn = time.Now()
			}
			w.jobs[id].ended = st.Status
			w.mu.Unlock()
			return st.Status
		}
		time.Sleep(time.Second)
	}
	w.t.Errorf("%s could not be withdrawn", id)
	return ""
}

// finish waits until all jobs are over.
func (w *world) finish(limit time.Duration) {
	end := time.Now().Add(limit)
	for {
		open := []string{}
		w.mu.Lock()
		ids := make([]string, 0, len(w.jobs))
		for id := range w.jobs {
			ids = append(ids, id)
		}
		w.mu.Unlock()
		slices.Sort(ids)
		for _, id := range ids {
			if st := w.poll("", id); st != protocol.StatusDone && st != protocol.StatusCancelled {
				open = append(open, id+"="+st)
			}
		}
		if len(open) == 0 {
			return
		}
		if time.Now().After(end) {
			w.t.Errorf("not over after %s: %v", limit, open)
			return
		}
		time.Sleep(2 * time.Second)
	}
}
