package reapi

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/blobstore"
	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

// Jobs submits, queries and withdraws jobs with a client's credential.
type Jobs interface {
	Submit(ctx context.Context, credential string, s *protocol.Submission) (protocol.JobStatus, error)
	Status(ctx context.Context, credential, job string) (protocol.JobStatus, error)
	Withdraw(ctx context.Context, credential, job string) error
}

// executions is the state of the actions that are being executed. Actions gather in
// batches; a batch becomes an array job.
type executions struct {
	mu      sync.Mutex
	batches map[batchKey]*batch // that still gather
	queues  map[queueKey]*submitQueue
	// submitting holds batches that left their queue and whose job has no id yet; they
	// count as submitted.
	submitting map[*batch]bool
	submitted  map[string]*submittedJob // by job
	running    map[string]*task         // by space and execution: identical actions run once
	interests  map[string]*jobInterest
	leases     map[string]interestLease // of jobs that clients of other front ends wait for
	lookups    map[string]*resultLookup // by instance and execution
	// jobs and actions count what was submitted.
	jobs, actions atomic.Int64
}

// newExecutions creates an empty state.
func newExecutions() executions {
	return executions{
		batches:    map[batchKey]*batch{},
		queues:     map[queueKey]*submitQueue{},
		submitting: map[*batch]bool{},
		submitted:  map[string]*submittedJob{},
		running:    map[string]*task{},
		interests:  map[string]*jobInterest{},
		leases:     map[string]interestLease{},
		lookups:    map[string]*resultLookup{},
	}
}

// batchKey is what the actions of a batch have in common.
type batchKey struct {
	client       [sha256.Size]byte // hash of the credential
	instance     string
	requirements requirements
}

// batch is a list of actions that become one array job.
type batch struct {
	key        batchKey
	credential string
	tasks      []*task
	timer      *time.Timer
	// queued: it waits in its submit queue. submitted: it has left the queue, and its
	// tasks do not change any more.
	queued, submitted bool
}

// task is an action that is being executed: it waits for its job, then for its result.
type task struct {
	entry    ManifestEntry
	instance string
	space    string
	// client is whose share of the waiting actions it occupies.
	client string
	queued time.Time
	// batch is where it gathers, nil if another front end submitted it; waiters counts
	// the calls that wait for its job.
	batch   *batch
	waiters int
	// placed is closed once the task has its job, or err says why it has none.
	placed chan struct{}
	job    string
	index  int
	err    error
	// done is closed once a result was recorded here.
	done chan struct{}
	once sync.Once
}

func (t *task) key() string { return t.space + "/" + t.entry.Execution }

// joinTask returns the task of an execution that is under way, here or at another front
// end, or adds a new one to a batch.
func (f *FrontEnd) joinTask(ctx context.Context, instance, space, credential string, needs requirements, entry ManifestEntry) (*task, error) {
	key := space + "/" + entry.Execution
	if t := f.executions.join(key); t != nil {
		return t, nil
	}
	// An earlier process of this front end, or another one, may have started it.
	if record := f.findStartRecord(ctx, instance, space, entry.Execution); record != nil {
		if jobStatus, err := f.jobs.Status(ctx, credential, record.Job); err == nil && !jobStatus.Ended() {
			return f.adoptTask(key, instance, space, entry, record), nil
		}
	}
	credentialHash := sha256.Sum256([]byte(credential))
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if t := f.executions.running[key]; t != nil {
		t.waiters++
		return t, nil
	}
	client := anonymousName(credential)
	if slot := callSlotOf(ctx); slot != nil && slot.client != "" {
		client = slot.client
	}
	if ledger := f.config.Shares.Waiting; ledger != nil && !ledger.Acquire(space, client, 1) {
		return nil, retryLater(codes.ResourceExhausted, time.Second, "too many actions wait to be submitted")
	}
	t := &task{entry: entry, instance: instance, space: space, client: client, waiters: 1, queued: time.Now(), placed: make(chan struct{}), done: make(chan struct{})}
	f.executions.running[key] = t
	f.addToBatch(batchKey{credentialHash, instance, needs}, credential, t)
	return t, nil
}

// join returns the running task of a key with one waiter more, nil if there is none.
func (e *executions) join(key string) *task {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.running[key]
	if t != nil {
		t.waiters++
	}
	return t
}

// addToBatch adds a task to the batch of its key, and queues the batch once it is full
// or its time to gather is over. executions.mu is held.
func (f *FrontEnd) addToBatch(key batchKey, credential string, t *task) {
	b := f.executions.batches[key]
	if b == nil {
		b = &batch{key: key, credential: credential}
		f.executions.batches[key] = b
		b.timer = time.AfterFunc(f.config.GatherFor, func() {
			f.executions.mu.Lock()
			defer f.executions.mu.Unlock()
			if !b.submitted {
				f.enqueueBatch(b)
			}
		})
	}
	t.batch = b
	b.tasks = append(b.tasks, t)
	if len(b.tasks) >= f.config.GatherMost {
		delete(f.executions.batches, key) // further actions start the next batch
		f.enqueueBatch(b)
	}
}

// adoptTask returns a task for an execution that another front end started.
func (f *FrontEnd) adoptTask(key, instance, space string, entry ManifestEntry, record *startRecord) *task {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if t := f.executions.running[key]; t != nil {
		return t
	}
	t := &task{entry: entry, instance: instance, space: space, placed: make(chan struct{}), done: make(chan struct{}), job: record.Job, index: record.Index, queued: time.UnixMilli(record.Queued)}
	close(t.placed)
	f.executions.running[key] = t
	return t
}

// submitBatch submits a batch as a job and hands its tasks the outcome.
func (f *FrontEnd) submitBatch(b *batch) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	id, stale, err := f.submitBatchJob(ctx, b, "")
	if err == nil && stale {
		// The same actions were a job before that was withdrawn, or whose results were lost
		// with a front end. Its tasks will never have results.
		f.log.Info("actions resubmitted since their job ended without results", "job", id, "count", len(b.tasks))
		f.executions.mu.Lock()
		f.untrackJob(id)
		f.executions.mu.Unlock()
		id, _, err = f.submitBatchJob(ctx, b, rand.Text())
	}
	if err == nil {
		f.executions.jobs.Add(1)
		f.executions.actions.Add(int64(len(b.tasks)))
	} else {
		f.log.Info("submission of actions failed", "job", id, "count", len(b.tasks), "error", err)
		err = submitFailure(err)
	}
	f.placeTasks(b.tasks, id, err)
}

// placeTasks sets the job of the tasks of a batch, or the error why they have none.
func (f *FrontEnd) placeTasks(tasks []*task, job string, err error) {
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if err != nil {
		f.untrackJob(job)
	}
	for i, t := range tasks {
		if ledger := f.config.Shares.Waiting; ledger != nil {
			ledger.Release(t.space, t.client, 1)
		}
		t.job, t.index, t.err = job, i, err
		if err != nil {
			delete(f.executions.running, t.key())
		}
		close(t.placed)
	}
}

// submitBatchJob submits the job of a batch. It stores the manifest and the start records
// first: a front end that is killed in between leaves a job that nobody has submitted,
// which the next attempt submits under the same id. A non-empty nonce makes the id differ
// from that of earlier jobs of the same actions. stale reports that the job had ended
// before, without the results that are wanted of it.
func (f *FrontEnd) submitBatchJob(ctx context.Context, b *batch, nonce string) (id string, stale bool, err error) {
	key, tasks, credential := b.key, b.tasks, b.credential
	manifest := Manifest{Instance: key.instance, Again: nonce}
	for _, t := range tasks {
		manifest.Tasks = append(manifest.Tasks, t.entry)
	}
	raw := manifest.Encode()
	blob := blobstore.Key{Space: tasks[0].space, Digest: blobstore.Of(raw)}
	id = jobID(blob.Digest)
	f.executions.mu.Lock()
	f.trackJob(id, b)
	f.executions.mu.Unlock()
	if err := f.store.Put(blob, raw); err != nil {
		return id, false, err
	}
	f.replicate(ctx, key.instance, blob.Space, []blobstore.Digest{blob.Digest})
	for i, t := range tasks {
		if err := f.saveStartRecord(ctx, t, startRecord{id, i, t.queued.UnixMilli()}); err != nil {
			return id, false, err
		}
	}
	var jobStatus protocol.JobStatus
	err = f.withCredential(&credential, knownName(tasks[0].client), func(credential string) (err error) {
		jobStatus, err = f.jobs.Submit(ctx, credential, submission(id, blob.Space, f.config.Class, imageOf(blob.Digest, key.instance), key.requirements, len(tasks)))
		return err
	})
	if err != nil || !jobStatus.Ended() {
		return id, false, err
	}
	return id, jobStatus.Status == protocol.StatusCancelled || slices.ContainsFunc(tasks, func(t *task) bool {
		return f.findResult(ctx, key.instance, blob.Space, blobstore.Digest{Hash: t.entry.Execution}) == nil
	}), nil
}

// submitFailure converts an error of a submission or a status request into a gRPC status.
func submitFailure(err error) error {
	if denial := denied(err); denial != nil {
		return denial
	}
	var refusal *client.Refusal
	if errors.As(err, &refusal) && (refusal.Status == http.StatusBadRequest || refusal.Status == http.StatusUnprocessableEntity) {
		return status.Errorf(codes.FailedPrecondition, "no machine can run it: %s", refusal.Reason)
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	return retryLater(codes.Unavailable, time.Second, "the cluster did not accept it now")
}

// withCredential calls with a client's credential or, if the credential has expired since,
// with the front end's own rights in the client's name: an execution that was accepted
// continues, and a job that nobody waits for is withdrawn. *credential is replaced then,
// since each further use of the expired one would be audited as a refusal.
func (f *FrontEnd) withCredential(credential *string, name string, call func(credential string) error) error {
	err := call(*credential)
	if name != "" && *credential != certificatePrefix+name && denied(err) != nil {
		*credential = certificatePrefix + name
		return call(*credential)
	}
	return err
}

// Submitted returns how many jobs this process submitted, and of how many actions.
func (f *FrontEnd) Submitted() (jobs, actions int64) {
	return f.executions.jobs.Load(), f.executions.actions.Load()
}
