package coordination

import (
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
	"golang.org/x/time/rate"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
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
	workers  map[string]*worker
	broken   []string
	jobs     map[string]*userJob
	trouble  float64 // share of messages lost or late
	cut      func(from, to string) bool
	runTime  func(job string, task int, machine string) time.Duration
	fails    func(job string, task int, machine string) bool
	onOrders func(machine string, o *protocol.Orders) // sees orders before they are executed
	group    sync.WaitGroup
	// stormTasks is how many tasks a storm's jobs have at most.
	stormTasks int

	state stateService
	cloud cloudService
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

type stateService struct {
	revision uint64
	items    map[string]protocol.Item
	leases   map[uint64]*stateLease
	nextID   uint64
	history  []protocol.Event
	changed  chan struct{}
	out      bool
	stuck    bool // watches bring nothing
	writes   int
	reads    int
	// Limits that nobody announced; 0: none.
	hiddenOps, hiddenValue int
	refusedSize            int
	// rate bounds the changes a second; nil: no bound.
	rate        *rate.Limiter
	refusedRate int
	// largest is the size of the largest value written, by the key's first name.
	largest map[string]int
}

type stateLease struct {
	ttl  time.Duration
	ends time.Time
}

type cloudService struct {
	types    []protocol.MachineType
	capacity int
	next     int
	requests map[string][]string
	out      bool
	rented   int
	machines map[string]time.Time
	prefix   string // of the machines' names
}

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{t: t, ctx: t.Context(), rng: rand.New(rand.NewPCG(seed, 7)), nodes: map[string]*node{},
		workers: map[string]*worker{}, jobs: map[string]*userJob{}, op: settings.DefaultOperator(), stormTasks: 12}
	w.set.Params = settings.Params{Count: 3, Zones: []string{"a", "b"},
		Teams:         []settings.Team{{Name: "red", CPUs: 16, CPUsMax: 32}, {Name: "blue", CPUs: 16, CPUsMax: 64}, {Name: "green"}},
		Workers:       settings.Workers{ReportS: 1, LeaseS: 8, CancelS: 25},
		State:         settings.State{RPS: 300, WriteRPS: 60, ValueKB: 8, TxnOps: 12},
		Cloud:         settings.Cloud{RPS: 10, ListLagS: 4},
		MachineLimits: settings.Limits{CoreShare: 0.1, MemMB: 64, Sockets: 200}}
	w.set.Services = settings.Services{Cloud: "cloud:1", State: "state:1"}
	w.state = stateService{largest: map[string]int{}, items: map[string]protocol.Item{}, leases: map[uint64]*stateLease{}, changed: make(chan struct{})}
	w.cloud = cloudService{capacity: 12, prefix: "m", requests: map[string][]string{}, machines: map[string]time.Time{},
		types: []protocol.MachineType{{Name: "small", CPUs: 8, MemGB: 32, CacheGB: 20, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3,
			BootS: 5, ZonesOffered: []string{"a", "b"}}, {Name: "big", CPUs: 32, MemGB: 128, CacheGB: 50, FetchGBPerS: 1, Price: 4,
			SpotPrice: 1.2, BootS: 8, ZonesOffered: []string{"a"}}}}
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
		ctx, cancel := context.WithCancel(context.Background())
		w.ctx = ctx
		for i := range 3 {
			w.start("n" + strconv.Itoa(i))
		}
		f(w)
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
	delay := time.Duration(1+w.rng.IntN(4)) * time.Millisecond
	late := time.Duration(w.rng.IntN(20_000)) * time.Millisecond
	trouble := w.trouble
	cut := w.cut != nil && w.cut(nn.n.label, host)
	w.mu.Unlock()
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
			time.Sleep(late)
			w.deliver(context.WithoutCancel(ctx), host, method, target, body)
		})
		<-ctx.Done()
		return nil, fmt.Errorf("late: %w", ctx.Err())
	}
	time.Sleep(delay)
	if nn.ctx.Err() != nil {
		return nil, fmt.Errorf("%w: process ended", transport.ErrNotSent)
	}
	resp := w.deliver(ctx, host, method, target, body)
	if resp == nil {
		return nil, fmt.Errorf("%w: refused", transport.ErrNotSent)
	}
	if fate < trouble {
		<-ctx.Done()
		return nil, fmt.Errorf("answer lost: %w", ctx.Err())
	}
	return resp, nil
}

func (w *world) deliver(ctx context.Context, host, method, target string, body []byte) *transport.Response {
	path, query, _ := strings.Cut(target, "?")
	q, _ := url.ParseQuery(query)
	switch host {
	case "state":
		return w.state.serve(ctx, w, method, path, q, body)
	case "cloud":
		return w.cloud.serve(w, method, path, body)
	}
	w.mu.Lock()
	n, wk := w.nodes[host], w.workers[host]
	w.mu.Unlock()
	switch {
	case n != nil:
		resp := n.ctl.ServePeers(ctx, &transport.Request{Method: method, Path: path, Body: body})
		return &resp
	case wk != nil:
		return wk.serve(path, body)
	}
	return nil
}

func answer(status int, v any) *transport.Response {
	return &transport.Response{Status: status, Body: protocol.Encode(v)}
}

func (s *stateService) serve(ctx context.Context, w *world, method, path string, q url.Values, body []byte) *transport.Response {
	w.mu.Lock()
	defer w.mu.Unlock()
	if strings.HasPrefix(path, "/changes") {
		return s.watch(ctx, w, q)
	}
	if s.out {
		return answer(503, map[string]any{})
	}
	s.expire()
	s.reads++
	switch {
	case path == "/commit":
		return s.commit(w, body)
	case path == "/grants":
		var lr protocol.LeaseRequest
		must(protocol.Decode(body, &lr))
		s.nextID++
		ttl := time.Duration(lr.TTLMS) * time.Millisecond
		s.leases[s.nextID] = &stateLease{ttl, time.Now().Add(ttl)}
		return answer(200, protocol.Lease{ID: s.nextID})
	case strings.HasPrefix(path, "/grants/"):
		num, _, _ := strings.Cut(strings.TrimPrefix(path, "/grants/"), "/")
		id, _ := strconv.ParseUint(num, 10, 64)
		l := s.leases[id]
		if l == nil {
			return answer(404, map[string]any{})
		}
		l.ends = time.Now().Add(l.ttl)
		if method == "DELETE" {
			l.ends = time.Now()
			s.expire()
		}
		return answer(200, map[string]any{})
	case path == "/store":
		list := protocol.ItemList{Revision: s.revision, Items: []protocol.Item{}}
		keys := make([]string, 0, len(s.items))
		for k := range s.items {
			if strings.HasPrefix(k, q.Get("under")) && k > q.Get("after") {
				keys = append(keys, k)
			}
		}
		slices.Sort(keys)
		for _, k := range keys {
			if len(list.Items) == 25 {
				list.More = true
				break
			}
			list.Items = append(list.Items, s.items[k])
		}
		return answer(200, list)
	}
	it, ok := s.items[strings.TrimPrefix(path, "/store/")]
	if !ok {
		return answer(404, map[string]any{"epoch": s.revision})
	}
	return answer(200, it)
}

func (s *stateService) commit(w *world, body []byte) *transport.Response {
	var txn protocol.Transaction
	must(protocol.Decode(body, &txn))
	if s.rate != nil && !s.rate.AllowN(time.Now(), len(txn.Then)) {
		s.refusedRate++
		return answer(429, map[string]any{})
	}
	s.writes += len(txn.Then)
	// Whenever an announced limit comes into force, it must have been kept to.
	limits := w.set.Params.State.Lower()
	if len(txn.Then) > limits.TxnOps || len(txn.If) > 4*limits.TxnOps || protocol.JSONSize(body) > 64<<10 {
		w.breakRule("transaction over its limits: %d changes, %d conditions", len(txn.Then), len(txn.If))
		return answer(400, map[string]any{})
	}
	large := s.hiddenOps > 0 && len(txn.Then) > s.hiddenOps
	for _, c := range txn.Then {
		large = large || s.hiddenValue > 0 && len(c.Value) > 0 && protocol.JSONSize(c.Value) > s.hiddenValue
	}
	if large {
		s.refusedSize++
		return answer(400, map[string]any{"error": "too large"})
	}
	for _, c := range txn.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return answer(400, map[string]any{"error": "no such lease"})
		}
		if len(c.Value) > 0 && protocol.JSONSize(c.Value) > int(limits.ValueKB*1024) {
			w.breakRule("value of %s is too large", c.Put)
		}
	}
	var failed []string
	for _, c := range txn.If {
		if s.items[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return answer(409, protocol.TransactionResult{Failed: failed, Revision: s.revision})
	}
	s.revision++
	for _, c := range txn.Then {
		s.checkClaim(w, c)
		if c.Delete != "" {
			delete(s.items, c.Delete)
			s.history = append(s.history, protocol.Event{Delete: c.Delete, Version: s.revision})
			continue
		}
		first, _, _ := strings.Cut(c.Put, "/")
		s.largest[first] = max(s.largest[first], protocol.JSONSize(c.Value))
		s.items[c.Put] = protocol.Item{Key: c.Put, Value: c.Value, Version: s.revision, Lease: c.Lease}
		s.history = append(s.history, protocol.Event{Put: c.Put, Value: c.Value, Version: s.revision})
	}
	s.wake()
	return answer(200, protocol.TransactionResult{Revision: s.revision})
}

// checkClaim sees that nobody takes a claim that another still holds: its owner
// might go on answering workers for longer than its successor expects.
func (s *stateService) checkClaim(w *world, c protocol.Change) {
	kind, _ := bookkeeping.ParseKey(c.Put)
	old, held := s.items[c.Put]
	if !held || kind != bookkeeping.KindClaim && kind != bookkeeping.KindLeader {
		return
	}
	var before, after bookkeeping.Claim
	must(bookkeeping.Decode(old.Value, &before))
	must(bookkeeping.Decode(c.Value, &after))
	if before.Owner != after.Owner {
		w.breakRule("claim %s of %s taken by %s", c.Put, before.Owner, after.Owner)
	}
}

func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for k, it := range s.items {
			if it.Lease == id {
				s.revision++
				delete(s.items, k)
				s.history = append(s.history, protocol.Event{Delete: k, Version: s.revision})
			}
		}
		s.wake()
	}
}

// watch is called and returns with the lock held.
func (s *stateService) watch(ctx context.Context, w *world, q url.Values) *transport.Response {
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		if !s.out && !s.stuck {
			s.expire()
			ev := protocol.Events{Revision: s.revision, Events: []protocol.Event{}}
			for _, e := range s.history {
				if e.Version > after && strings.HasPrefix(e.Put+e.Delete, q.Get("under")) {
					ev.Events = append(ev.Events, e)
				}
			}
			if len(ev.Events) > 0 || !time.Now().Before(end) {
				return &transport.Response{Status: 200, Body: encodeEvents(ev)}
			}
		}
		changed := s.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		case <-w.ctx.Done():
		}
		w.mu.Lock()
		if ctx.Err() != nil || w.ctx.Err() != nil {
			return answer(503, map[string]any{})
		}
	}
}

// encodeEvents leaves out what an event lacks, as the service does.
func encodeEvents(ev protocol.Events) []byte {
	news := []any{}
	for _, e := range ev.Events {
		if e.Delete != "" {
			news = append(news, map[string]any{"drop": e.Delete, "stamp": e.Version})
		} else {
			news = append(news, map[string]any{"put": e.Put, "v": e.Value, "stamp": e.Version})
		}
	}
	return protocol.Encode(map[string]any{"epoch": ev.Revision, "news": news})
}

// outage starts or ends an outage of the state service; leases have their full
// time again afterwards.
func (w *world) outage(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.out = on
	for _, l := range w.state.leases {
		l.ends = time.Now().Add(l.ttl)
	}
}

func (cl *cloudService) serve(w *world, method, path string, body []byte) *transport.Response {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cl.out {
		return answer(503, map[string]any{"error": "trouble"})
	}
	switch {
	case path == "/catalog":
		return answer(200, protocol.Catalog{Types: cl.types})
	case path == "/machines/delete":
		var names protocol.MachineNames
		must(protocol.Decode(body, &names))
		for _, name := range names.Machines {
			if wk := w.workers[name]; wk != nil {
				wk.off()
				delete(w.workers, name)
			}
			delete(cl.machines, name)
		}
		return answer(200, map[string]any{})
	case path == "/machines" && method == "GET":
		return answer(200, protocol.MachineList{Machines: []protocol.ListedMachine{}})
	}
	var r protocol.Rental
	must(protocol.Decode(body, &r))
	if names, ok := cl.requests[r.Request]; ok {
		return answer(200, protocol.MachineNames{Machines: names})
	}
	var names []string
	for len(names) < r.Count && len(cl.machines) < cl.capacity {
		name := fmt.Sprintf("%s-%06d", cl.prefix, cl.next)
		cl.next++
		cl.rented++
		cl.machines[name] = time.Now()
		names = append(names, name)
		w.boot(name, r.Type, r.Zone, r.Spot)
	}
	if len(names) == 0 {
		return answer(503, map[string]any{"error": "no capacity"})
	}
	cl.requests[r.Request] = names
	return answer(200, protocol.MachineNames{Machines: names})
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// worker is the stand-in for a machine's worker.
type worker struct {
	w       *world
	name    string
	typ     string
	zone    string
	spot    bool
	stopped chan struct{}
	dead    bool
	hung    bool

	session, sequence, token uint64
	leaseFrom                time.Time
	tasks                    map[string]*workerTask
	home                     int
	notice                   *time.Time
	starts                   int
}

type workerTask struct {
	name    string
	number  uint64
	state   string
	cause   string
	running bool
	begun   time.Time
	ends    time.Time
}

// boot is called with the lock held.
func (w *world) boot(name, typ, zone string, spot bool) *worker {
	wk := &worker{w: w, name: name, typ: typ, zone: zone, spot: spot, stopped: make(chan struct{}), session: 1,
		tasks: map[string]*workerTask{}, home: w.rng.IntN(3)}
	delay := time.Duration(3000+w.rng.IntN(4000)) * time.Millisecond
	w.group.Go(func() {
		select {
		case <-time.After(delay):
		case <-w.ctx.Done():
			return
		}
		w.mu.Lock()
		if _, ok := w.cloud.machines[name]; !ok {
			w.mu.Unlock()
			return
		}
		w.workers[name] = wk
		wk.leaseFrom = time.Now()
		w.mu.Unlock()
		wk.run()
	})
	return wk
}

func (wk *worker) off() {
	if !wk.dead {
		wk.dead = true
		close(wk.stopped)
	}
}

func (wk *worker) run() {
	next := time.Now()
	for {
		select {
		case <-wk.stopped:
			return
		case <-wk.w.ctx.Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
		wk.w.mu.Lock()
		if wk.hung {
			wk.w.mu.Unlock()
			continue
		}
		wk.advance(time.Now())
		due := !time.Now().Before(next)
		wk.w.mu.Unlock()
		if due {
			next = time.Now().Add(time.Second)
			if !wk.report() {
				next = time.Now().Add(time.Second)
			}
		}
	}
}

// advance runs the machine up to now, with the lock held.
func (wk *worker) advance(now time.Time) {
	lease := time.Duration(wk.w.set.Params.Workers.LeaseS * float64(time.Second))
	if now.Sub(wk.leaseFrom) > lease {
		wk.session++
		wk.tasks = map[string]*workerTask{}
		wk.leaseFrom = now
	}
	for _, t := range wk.tasks {
		job, index, _ := protocol.ParseTask(t.name)
		uj := wk.w.jobs[job]
		switch {
		case t.state == protocol.TaskFetching && now.Sub(t.begun) > 300*time.Millisecond:
			t.state, t.running = protocol.TaskRunning, true
			t.ends = now.Add(wk.w.runTime(job, index, wk.name))
			if uj.tasksDone[index] {
				t.ends = now
			}
			wk.w.started(wk, t, uj, index)
		case t.state == protocol.TaskRunning && !now.Before(t.ends):
			t.state, t.running, t.cause = protocol.TaskEnded, false, protocol.CauseDone
			if wk.w.fails != nil && wk.w.fails(job, index, wk.name) {
				t.cause = protocol.CauseError
			} else {
				uj.tasksDone[index] = true
			}
		}
		cancel := time.Duration(wk.w.set.Params.Workers.CancelS * float64(time.Second))
		if t.running && !uj.withdrawn.IsZero() && now.Sub(uj.withdrawn) > cancel {
			wk.w.breakRule("ran_cancelled: %s on %s", t.name, wk.name)
		}
	}
}

// started checks the rules at the moment a task comes onto its machine.
func (w *world) started(wk *worker, t *workerTask, uj *userJob, index int) {
	wk.starts++
	s := uj.spec
	for _, dep := range s.Dependencies {
		if dj := w.jobs[dep]; len(dj.tasksDone) < dj.spec.Tasks {
			w.breakRule("too_early: %s started with %d of %d tasks of %s done", t.name, len(dj.tasksDone), dj.spec.Tasks, dep)
		}
	}
	usage, zone := 0.0, 0
	for _, other := range w.workers {
		// A machine that hung beyond its lease won't go on with its tasks; it
		// forgets them when it wakes.
		dead := time.Since(other.leaseFrom).Seconds() > w.set.Params.Workers.LeaseS
		for _, ot := range other.tasks {
			if !ot.running || dead {
				continue
			}
			job, i, _ := protocol.ParseTask(ot.name)
			if job == s.ID && i == index && ot != t {
				w.breakRule("ran_twice: %s on %s and %s", t.name, wk.name, other.name)
			}
			oj := w.jobs[job]
			if oj.spec.Team == s.Team {
				usage += oj.spec.CPUs
			}
			if job == s.ID && ot != t {
				if s.OneZone && other.zone != wk.zone {
					w.breakRule("wrong_place: %s is in two zones", s.ID)
				}
			}
			if job == s.ID && other.zone == wk.zone {
				zone++
			}
		}
	}
	for _, team := range w.set.Params.Teams {
		if team.Name == s.Team && team.CPUsMax > 0 && usage > team.CPUsMax+0.001 {
			w.breakRule("quota: team %s uses %v", s.Team, usage)
		}
	}
	if len(s.Types) > 0 && !slices.Contains(s.Types, wk.typ) || s.Zone != "" && s.Zone != wk.zone || wk.spot && !s.Spot ||
		s.Spread && zone > (s.Tasks+1)/2 {
		w.breakRule("wrong_place: %s on %s %s spot %v", t.name, wk.typ, wk.zone, wk.spot)
	}
	if !uj.withdrawn.IsZero() && time.Since(uj.withdrawn) > 25*time.Second {
		w.breakRule("ran_cancelled: %s started", t.name)
	}
}

func (wk *worker) snapshot() *protocol.Report {
	wk.sequence++
	r := &protocol.Report{Machine: wk.name, Addr: wk.name + ":9000", Type: wk.typ, Zone: wk.zone, Spot: wk.spot,
		Session: wk.session, Sequence: wk.sequence, Token: wk.token, Tasks: []protocol.TaskReport{}}
	if wk.notice != nil {
		s := time.Until(*wk.notice).Seconds()
		r.NoticeS = &s
	}
	for _, t := range wk.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: t.name, Attempt: t.number, State: t.state, Cause: t.cause})
	}
	return r
}

// report sends one report and obeys the answer. It returns false if the worker
// goes to the next controller.
func (wk *worker) report() bool {
	w := wk.w
	w.mu.Lock()
	sent := time.Now()
	r := wk.snapshot()
	label := "n" + strconv.Itoa(wk.home)
	n := w.nodes[label]
	lost := w.rng.Float64() < w.trouble || w.cut != nil && w.cut(label, wk.name)
	w.mu.Unlock()
	var resp transport.Response
	if n != nil && !lost {
		time.Sleep(2 * time.Millisecond)
		resp = n.ctl.Serve(w.ctx, &transport.Request{Method: "POST", Path: "/checkin", Body: protocol.Encode(r)})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if wk.hung || wk.dead {
		return true
	}
	switch resp.Status {
	case 200:
		var o protocol.Orders
		must(protocol.Decode(resp.Body, &o))
		if o.Token >= wk.token && r.Session == wk.session {
			wk.token, wk.leaseFrom = o.Token, sent
			wk.execute(o.Commands)
		}
		return true
	case 421:
		var h protocol.Home
		must(protocol.Decode(resp.Body, &h))
		if i, err := strconv.Atoi(strings.TrimPrefix(h.Home, "n")); err == nil && i != wk.home {
			wk.home = i
			return false
		}
	}
	wk.home = (wk.home + 1) % 3
	return false
}

func (wk *worker) execute(cmds []protocol.Command) {
	for _, c := range cmds {
		key := attemptKey(c.Task, c.Attempt)
		t := wk.tasks[key]
		switch c.Op {
		case protocol.OpStart:
			if t == nil {
				if !wk.w.recorded(c, wk) {
					wk.w.breakRule("start of %s on %s before its record", c.Task, wk.name)
				}
				nt := &workerTask{name: c.Task, number: c.Attempt, state: protocol.TaskFetching, begun: time.Now()}
				for _, o := range wk.tasks {
					if o.name == c.Task && o.state != protocol.TaskEnded {
						nt.state, nt.cause = protocol.TaskEnded, protocol.CauseInUse
					}
				}
				wk.tasks[key] = nt
			}
		case protocol.OpStop:
			if t != nil && t.state != protocol.TaskEnded {
				t.state, t.cause, t.running = protocol.TaskEnded, protocol.CauseStopped, false
			}
		case protocol.OpForget:
			if t != nil && t.state == protocol.TaskEnded {
				delete(wk.tasks, key)
			}
		}
	}
}

// recorded says whether a start stands in the state service, with the lock
// held: no commit, no start.
func (w *world) recorded(c protocol.Command, wk *worker) bool {
	id, task, _ := protocol.ParseTask(c.Task)
	for key, it := range w.state.items {
		if job, _, err := bookkeeping.ParseRunKey(key); err != nil || job != id || !strings.HasPrefix(key, "r/") {
			continue
		}
		var run bookkeeping.Run
		must(bookkeeping.Decode(it.Value, &run))
		if slices.Contains(run.Live, bookkeeping.Attempt{Task: task, Number: c.Attempt, Machine: wk.name, Session: wk.session}) {
			return true
		}
	}
	return false
}

func (wk *worker) serve(path string, body []byte) *transport.Response {
	wk.w.mu.Lock()
	defer wk.w.mu.Unlock()
	if wk.dead {
		return nil
	}
	if wk.hung {
		return answer(504, map[string]any{})
	}
	wk.advance(time.Now())
	if path == "/show" {
		return answer(200, wk.snapshot())
	}
	var o protocol.Orders
	must(protocol.Decode(body, &o))
	if wk.w.onOrders != nil {
		wk.w.onOrders(wk.name, &o)
	}
	if o.Token < wk.token || o.Session != wk.session {
		return answer(409, wk.snapshot())
	}
	wk.token = o.Token
	wk.execute(o.Commands)
	return answer(200, wk.snapshot())
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
	return n.ctl.Serve(w.ctx, &transport.Request{Method: method, Path: path, Body: body})
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
	case protocol.StatusWithdrawn:
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
			if st.Status == protocol.StatusWithdrawn {
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
			if st := w.poll("", id); st != protocol.StatusDone && st != protocol.StatusWithdrawn {
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
