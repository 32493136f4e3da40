package reapi

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	rpcstatus "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

// Jobs is how the gate speaks to the controllers for a client.
type Jobs interface {
	Submit(ctx context.Context, credential string, s *protocol.Submission) (protocol.JobStatus, error)
	Status(ctx context.Context, credential, job string) (protocol.JobStatus, error)
	Withdraw(ctx context.Context, credential, job string) error
}

// gatherer gathers actions into jobs.
type gatherer struct {
	mu     sync.Mutex
	lots   map[lotKey]*lot // that still gather
	queues map[line]*queue
	// leaving are lots on their way to being handed on, whose job has no id yet: they
	// are ahead as well.
	leaving map[*lot]bool
	handed  map[string]*handed // by job
	running map[string]*task   // by space and execution: identical ones run once
	wanted  map[string]*interest
	leases  map[string]lease   // of jobs that are wanted at other gates
	seekers map[string]*seeker // by instance and execution
	// jobs and actions count what was submitted.
	jobs, actions atomic.Int64
}

// persist does something with a client's credential, or, if that has ended since,
// as this gate for whom it was: what was accepted goes on, and what nobody wants
// ends, by this gate's own rights.
// The credential that has ended is not shown again: each time would be a refusal on
// record.
func (g *FrontEnd) persist(cred *string, who string, f func(cred string) error) error {
	err := f(*cred)
	var r *client.Refusal
	if who != "" && *cred != vouching+who && errors.As(err, &r) && (r.Status == 401 || r.Status == 403) {
		*cred = vouching + who
		return f(*cred)
	}
	return err
}

type lotKey struct {
	client   [sha256.Size]byte
	instance string
	needs    needs
}

// lot is a job in the making.
type lot struct {
	key   lotKey
	cred  string
	tasks []*task
	timer *time.Timer
	// queued: it has gathered and waits to be submitted. gone: it is submitted.
	queued, gone bool
}

// task is an action on its way: first to a job, then to its result.
type task struct {
	entry    ManifestEntry
	instance string
	space    string
	// caller is who takes a place among those who wait.
	caller string
	queued time.Time
	// lot is where it gathers, nil: elsewhere. waiters wait for its job.
	lot     *lot
	waiters int
	// placed is closed once the task has its job, or can't have one.
	placed chan struct{}
	job    string
	index  int
	err    error
	// done is closed once a result was recorded here.
	done chan struct{}
	once sync.Once
}

func (t *task) key() string { return t.space + "/" + t.entry.Execution }

// started notes which task an execution became.
type started struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
	// Queued is when the action came, in milliseconds since 1970.
	Queued int64 `json:"queued,omitempty"`
}

// PreconditionFailure says which blobs are missing, as the API wants it told.
func missingBlobs(missing []blobstore.Digest) error {
	st := status.New(codes.FailedPrecondition, fmt.Sprintf("%d blobs are missing, %s first", len(missing), missing[0]))
	pf := &errdetails.PreconditionFailure{}
	for _, d := range missing {
		pf.Violations = append(pf.Violations, &errdetails.PreconditionFailure_Violation{Type: "MISSING", Subject: "blobs/" + d.String()})
	}
	if with, err := st.WithDetails(pf); err == nil {
		st = with
	}
	return st.Err()
}

// load reads an action with its command and sees that all of its inputs are
// somewhere, promised, and stay inside their root.
func (g *FrontEnd) load(ctx context.Context, instance, space string, d blobstore.Digest) (*repb.Action, *repb.Command, error) {
	if err := d.Check(); err != nil {
		return nil, nil, failure(err)
	}
	function := d.Function
	get := func(d blobstore.Digest, m proto.Message) error {
		raw, err := g.read(ctx, instance, blobstore.Key{Space: space, Digest: d}, maxTreeNode)
		if errors.Is(err, blobstore.ErrNotFound) {
			return missingBlobs([]blobstore.Digest{d})
		}
		if err != nil {
			return failure(err)
		}
		if err := proto.Unmarshal(raw, m); err != nil {
			return status.Errorf(codes.InvalidArgument, "blob %s is not what it should be", d)
		}
		return nil
	}
	action, command := new(repb.Action), new(repb.Command)
	if err := get(d, action); err != nil {
		return nil, nil, err
	}
	if err := get(digestIn(function, action.GetCommandDigest()), command); err != nil {
		return nil, nil, err
	}
	if err := checkCommand(command); err != nil {
		return nil, nil, err
	}
	var files, missing []blobstore.Digest
	if err := g.walk(ctx, instance, space, digestIn(function, action.GetInputRootDigest()), func(_ blobstore.Digest, dir *repb.Directory) error {
		for _, f := range dir.GetFiles() {
			files = append(files, digestIn(function, f.GetDigest()))
		}
		if len(files) > maxDigests {
			return status.Errorf(codes.InvalidArgument, "the input root has more than %d files", maxDigests)
		}
		return checkDirectory(dir)
	}, func(lost blobstore.Digest) { missing = append(missing, lost) }); err != nil {
		return nil, nil, failure(err)
	}
	missing = append(missing, g.missing(ctx, instance, space, files)...)
	if len(missing) > 0 {
		return nil, nil, missingBlobs(missing)
	}
	return action, command, nil
}

// checkDirectory says what is wrong with an input directory: names that climb,
// digests that are none, links that lead out.
func checkDirectory(d *repb.Directory) error {
	names := map[string]bool{}
	name := func(n string) error {
		if names[n] {
			return status.Errorf(codes.InvalidArgument, "%q stands twice in a directory", clip(n))
		}
		names[n] = true
		return CheckName(n)
	}
	for _, p := range properties(d) {
		if len(p.GetProperties()) > 0 {
			return status.Errorf(codes.InvalidArgument, "node property %q is not served; %s and %s are", clip(p.GetProperties()[0].GetName()), PropertyMtime, PropertyMode)
		}
	}
	for _, f := range d.GetFiles() {
		if err := errors.Join(name(f.GetName()), digestIn(blobstore.SHA256, f.GetDigest()).Check()); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
	}
	for _, s := range d.GetDirectories() {
		if err := errors.Join(name(s.GetName()), digestIn(blobstore.SHA256, s.GetDigest()).Check()); err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
	}
	for _, l := range d.GetSymlinks() {
		if err := name(l.GetName()); err != nil {
			return err
		}
		if strings.HasPrefix(l.GetTarget(), "/") || strings.Contains("/"+l.GetTarget()+"/", "/../") || l.GetTarget() == "" {
			return status.Errorf(codes.InvalidArgument, "link %q leads out of its directory", clip(l.GetName()))
		}
	}
	return nil
}

// properties are those of a directory and of all that it names.
func properties(d *repb.Directory) []*repb.NodeProperties {
	out := []*repb.NodeProperties{d.GetNodeProperties()}
	for _, f := range d.GetFiles() {
		out = append(out, f.GetNodeProperties())
	}
	for _, l := range d.GetSymlinks() {
		out = append(out, l.GetNodeProperties())
	}
	return out
}

// Execute runs an action, or tells its result if that is known.
func (g *FrontEnd) Execute(req *repb.ExecuteRequest, out repb.Execution_ExecuteServer) error {
	ctx := out.Context()
	if g.jobs == nil {
		return status.Error(codes.Unimplemented, "this gate runs nothing")
	}
	function, err := functionOf(req.GetDigestFunction())
	if err != nil {
		return err
	}
	instance := req.GetInstanceName()
	space, err := g.space(ctx, instance, verbWrite)
	if err != nil {
		return err
	}
	digest := digestIn(function, req.GetActionDigest())
	if !req.GetSkipCacheLookup() {
		if result, err := g.stored(space, digest); err == nil && g.whole(ctx, instance, space, function, result) == nil {
			return out.Send(completed("", digest, &repb.ExecuteResponse{Result: result, CachedResult: true}))
		} else if theirs := g.peerResult(ctx, instance, digest); theirs != nil && g.whole(ctx, instance, space, function, theirs) == nil {
			return out.Send(completed("", digest, &repb.ExecuteResponse{Result: theirs, CachedResult: true}))
		}
	}
	action, command, err := g.load(ctx, instance, space, digest)
	if err != nil {
		return err
	}
	platform := action.GetPlatform()
	if platform == nil {
		//lint:ignore SA1019 clients of version 2.1 and older say it there
		platform = command.GetPlatform()
	}
	n, err := needsOf(platform, req.GetExecutionPolicy().GetPriority())
	if err != nil {
		return err
	}
	if _, err := timeoutOf(action); err != nil {
		return err
	}
	salt := ""
	if action.GetDoNotCache() || req.GetSkipCacheLookup() {
		salt = rand.Text()
	}
	t, err := g.enlist(ctx, instance, space, g.credential(ctx), n, *entryOf(executionKey(digest, salt), digest))
	if err != nil {
		return err
	}
	visitOf(ctx).over() // what it waits for now is the cluster
	select {
	case <-t.placed:
	case <-ctx.Done():
		g.gather.mu.Lock()
		t.waiters--
		out := t.waiters == 0 && g.quit(t)
		g.gather.mu.Unlock()
		if !out { // its job ends as any that nobody waits for
			cred, who := g.credential(ctx), knownName(t.caller)
			go func() {
				if <-t.placed; t.err == nil {
					g.join(t.job, cred, who)
					g.leave(t.job)
				}
			}()
		}
		return failure(ctx.Err())
	}
	if t.err != nil {
		return t.err
	}
	return g.follow(ctx, out, t)
}

// enlist finds the task of an execution that is under way, here or at another
// gate, or makes one that gathers with others.
func (g *FrontEnd) enlist(ctx context.Context, instance, space, cred string, n needs, e ManifestEntry) (*task, error) {
	key := space + "/" + e.Execution
	g.gather.mu.Lock()
	t := g.gather.running[key]
	if t != nil {
		t.waiters++
	}
	g.gather.mu.Unlock()
	if t != nil {
		return t, nil
	}
	// A gate that was here before, or another one, may have begun it.
	if s := g.startedBefore(ctx, instance, space, e.Execution); s != nil {
		if st, err := g.jobs.Status(ctx, cred, s.Job); err == nil && !st.Ended() {
			return g.adopt(key, instance, space, e, s), nil
		}
	}
	who := sha256.Sum256([]byte(cred))
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	if t := g.gather.running[key]; t != nil {
		t.waiters++
		return t, nil
	}
	caller := stranger(cred)
	if v := visitOf(ctx); v != nil && v.who != "" {
		caller = v.who
	}
	if w := g.config.Shares.Waiting; w != nil && !w.Acquire(space, caller, 1) {
		return nil, retryLater(codes.ResourceExhausted, time.Second, "too many actions wait to be submitted")
	}
	t = &task{entry: e, instance: instance, space: space, caller: caller, waiters: 1, queued: time.Now(), placed: make(chan struct{}), done: make(chan struct{})}
	g.gather.running[key] = t
	lk := lotKey{who, instance, n}
	l := g.gather.lots[lk]
	if l == nil {
		l = &lot{key: lk, cred: cred}
		g.gather.lots[lk] = l
		l.timer = time.AfterFunc(g.config.GatherFor, func() {
			g.gather.mu.Lock()
			defer g.gather.mu.Unlock()
			if !l.gone {
				g.ready(l)
			}
		})
	}
	t.lot = l
	l.tasks = append(l.tasks, t)
	if len(l.tasks) >= g.config.GatherMost {
		// It is full: others begin the next one.
		delete(g.gather.lots, lk)
		g.ready(l)
	}
	return t, nil
}

// adopt follows a task that was begun elsewhere.
func (g *FrontEnd) adopt(key, instance, space string, e ManifestEntry, s *started) *task {
	g.gather.mu.Lock()
	defer g.gather.mu.Unlock()
	if t := g.gather.running[key]; t != nil {
		return t
	}
	t := &task{entry: e, instance: instance, space: space, placed: make(chan struct{}), done: make(chan struct{}), job: s.Job, index: s.Index, queued: time.UnixMilli(s.Queued)}
	close(t.placed)
	g.gather.running[key] = t
	return t
}

// dispatch makes a job of a lot and submits it. The manifest, and what became of
// each action, are written before: a gate that ends in between leaves a job that
// nobody has submitted, which the next try submits under the same id.
func (g *FrontEnd) dispatch(l *lot) {
	tasks := l.tasks // nothing changes a lot that is gone
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	id, over, err := g.submitLot(ctx, l, "")
	if err == nil && over {
		// The same actions were a job before, which was withdrawn, or whose results went
		// with a gate: to follow that one would never end.
		g.log.Info("actions are submitted anew, since their job has ended without them", "job", id, "actions", len(tasks))
		g.gather.mu.Lock()
		g.notHanded(id)
		g.gather.mu.Unlock()
		id, _, err = g.submitLot(ctx, l, rand.Text())
	}
	if err == nil {
		g.gather.jobs.Add(1)
		g.gather.actions.Add(int64(len(tasks)))
	} else {
		g.log.Info("actions not submitted", "job", id, "actions", len(tasks), "reason", err)
		err = submitFailure(err)
	}
	g.gather.mu.Lock()
	if err != nil {
		g.notHanded(id)
	}
	for i, t := range tasks {
		if w := g.config.Shares.Waiting; w != nil {
			w.Release(t.space, t.caller, 1)
		}
		t.job, t.index, t.err = id, i, err
		if err != nil {
			delete(g.gather.running, t.key())
		}
		close(t.placed)
	}
	g.gather.mu.Unlock()
}

// submitLot submits a lot's job and says whether that has ended already, without the
// results that are wanted of it. again tells it from earlier jobs of the same actions.
func (g *FrontEnd) submitLot(ctx context.Context, l *lot, again string) (id string, over bool, err error) {
	lk, tasks, cred := l.key, l.tasks, l.cred
	m := Manifest{Instance: lk.instance, Again: again}
	for _, t := range tasks {
		m.Tasks = append(m.Tasks, t.entry)
	}
	raw := m.Encode()
	k := blobstore.Key{Space: tasks[0].space, Digest: blobstore.Of(raw)}
	id = jobID(k.Digest)
	g.gather.mu.Lock()
	g.handOn(id, l)
	g.gather.mu.Unlock()
	if err := g.store.Put(k, raw); err != nil {
		return id, false, err
	}
	g.spread(ctx, lk.instance, k.Space, []blobstore.Digest{k.Digest})
	for i, t := range tasks {
		if err := g.noteStarted(ctx, t, started{id, i, t.queued.UnixMilli()}); err != nil {
			return id, false, err
		}
	}
	var st protocol.JobStatus
	err = g.persist(&cred, knownName(tasks[0].caller), func(cred string) (err error) {
		st, err = g.jobs.Submit(ctx, cred, submission(id, k.Space, g.config.Class, imageOf(k.Digest, lk.instance), lk.needs, len(tasks)))
		return err
	})
	if err != nil || !st.Ended() {
		return id, false, err
	}
	return id, st.Status == protocol.StatusCancelled || slices.ContainsFunc(tasks, func(t *task) bool {
		return g.anywhere(ctx, lk.instance, k.Space, blobstore.Digest{Hash: t.entry.Execution}) == nil
	}), nil
}

// submitFailure is what a client is told of a job that was not accepted.
func submitFailure(err error) error {
	var r *client.Refusal
	if errors.As(err, &r) {
		switch r.Status {
		case 401:
			return status.Error(codes.Unauthenticated, "the credential proves nothing now")
		case 403:
			return status.Error(codes.PermissionDenied, "not allowed")
		case 400, 422:
			return status.Errorf(codes.FailedPrecondition, "no machine can run it: %s", r.Reason)
		}
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	return retryLater(codes.Unavailable, time.Second, "the cluster did not accept it now")
}

// noteStarted writes down which task an execution became.
func (g *FrontEnd) noteStarted(ctx context.Context, t *task, s started) error {
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	note, err := anypb.New(wrapperspb.String(string(raw)))
	if err != nil {
		return err
	}
	r := &repb.ActionResult{ExecutionMetadata: &repb.ExecutedActionMetadata{AuxiliaryMetadata: []*anypb.Any{note}}}
	body, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	key := startedKey(t.entry.Execution)
	if err := g.results.Put(t.space, key, body); err != nil {
		return err
	}
	g.spreadResult(ctx, t.instance, key, r)
	return nil
}

// startedBefore reads which task an execution became, here or at another gate.
func (g *FrontEnd) startedBefore(ctx context.Context, instance, space, execution string) *started {
	key := startedKey(execution)
	r := g.anywhere(ctx, instance, space, key)
	for _, a := range r.GetExecutionMetadata().GetAuxiliaryMetadata() {
		var text wrapperspb.StringValue
		var s started
		if a.UnmarshalTo(&text) == nil && json.Unmarshal([]byte(text.GetValue()), &s) == nil && s.Job != "" {
			return &s
		}
	}
	return nil
}

// anywhere reads a record of this gate or, if it has none, of another; nil: none
// is found.
func (g *FrontEnd) anywhere(ctx context.Context, instance, space string, key blobstore.Digest) *repb.ActionResult {
	if r, err := g.stored(space, key); err == nil {
		return r
	}
	return g.peerResult(ctx, instance, key)
}

// operation is a name that any gate can follow. The function stands before the hash
// unless that is SHA-256.
func (t *task) operation() string {
	a := t.entry.Action()
	hash := a.Hash
	if a.Function != blobstore.SHA256 {
		hash = a.Function.String() + ":" + hash
	}
	return strings.Join([]string{"operations", t.job, fmt.Sprint(t.index), t.entry.Execution, hash, fmt.Sprint(a.Size), t.instance}, "/")
}

// parseOperation reads an operation's name.
func parseOperation(name string) (*task, error) {
	bad := status.Errorf(codes.NotFound, "%q is no operation", clip(name))
	parts := strings.SplitN(name, "/", 7)
	if len(parts) != 7 || parts[0] != "operations" || !protocol.ValidID(parts[1]) {
		return nil, bad
	}
	t := &task{instance: parts[6], job: parts[1], done: make(chan struct{})}
	t.entry = ManifestEntry{Execution: parts[3], Hash: parts[4]}
	if function, hash, named := strings.Cut(parts[4], ":"); named {
		t.entry.Function, t.entry.Hash = function, hash
	}
	if _, err := fmt.Sscan(parts[2]+" "+parts[5], &t.index, &t.entry.Size); err != nil || t.entry.Action().Check() != nil ||
		(blobstore.Digest{Hash: t.entry.Execution}).Check() != nil || t.operation() != name {
		return nil, bad
	}
	return t, nil
}

// endedBadly is the status that a worker has noted beside a result, for example
// that the action ran for too long.
func endedBadly(r *repb.ActionResult) *rpcstatus.Status {
	for _, a := range r.GetExecutionMetadata().GetAuxiliaryMetadata() {
		st := new(rpcstatus.Status)
		if a.UnmarshalTo(st) == nil && st.GetCode() != 0 {
			return st
		}
	}
	return nil
}

// WaitExecution follows an operation, whichever gate began it.
func (g *FrontEnd) WaitExecution(req *repb.WaitExecutionRequest, out repb.Execution_WaitExecutionServer) error {
	ctx := out.Context()
	if g.jobs == nil {
		return status.Error(codes.Unimplemented, "this gate runs nothing")
	}
	t, err := parseOperation(req.GetName())
	if err != nil {
		return err
	}
	if t.space, err = g.space(ctx, t.instance, verbWrite); err != nil {
		return err
	}
	g.gather.mu.Lock()
	if here := g.gather.running[t.space+"/"+t.entry.Execution]; here != nil && here.job == t.job {
		t = here
	}
	g.gather.mu.Unlock()
	visitOf(ctx).over()
	return g.follow(ctx, out, t)
}

func staged(name string, action blobstore.Digest, stage repb.ExecutionStage_Value, queued time.Time) *longrunningpb.Operation {
	op := &longrunningpb.Operation{Name: name}
	m := &repb.ExecuteOperationMetadata{Stage: stage, ActionDigest: wire(action), DigestFunction: FunctionOnWire(action.Function)}
	if queued.UnixMilli() > 0 {
		m.PartialExecutionMetadata = &repb.ExecutedActionMetadata{QueuedTimestamp: timestamppb.New(queued)}
	}
	if meta, err := anypb.New(m); err == nil {
		op.Metadata = meta
	}
	return op
}

func completed(name string, action blobstore.Digest, resp *repb.ExecuteResponse) *longrunningpb.Operation {
	op := staged(name, action, repb.ExecutionStage_COMPLETED, time.Time{})
	op.Done = true
	if packed, err := anypb.New(resp); err == nil {
		op.Result = &longrunningpb.Operation_Response{Response: packed}
	}
	return op
}

// Gathered says how many actions became how many jobs since the gate began.
func (g *FrontEnd) Gathered() (jobs, actions int64) {
	return g.gather.jobs.Load(), g.gather.actions.Load()
}

// Discarded counts results that came when there was one already.
func (g *FrontEnd) Discarded() int64 { return g.discarded.Load() }
