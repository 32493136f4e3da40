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

// Jobs submits, queries and cancels jobs with a client's credential.
type Jobs interface {
	Submit(ctx context.Context, credential string, s *protocol.Submission) (protocol.JobStatus, error)
	Status(ctx context.Context, credential, job string) (protocol.JobStatus, error)
	Cancel(ctx context.Context, credential, job string) error
}

// executions is the state of the actions that are being executed. Actions are collected in
// batches, and each batch is submitted as a job array.
type executions struct {
	mu      sync.Mutex
	batches map[batchKey]*batch // that still accept actions
	queues  map[queueKey]*submitQueue
	// submitting holds the batches that were taken from their queue and whose job has no id yet.
	// They count as submitted.
	submitting map[*batch]bool
	submitted  map[string]*submittedJob // by job id
	running    map[string]*task         // by team and execution, so that identical actions run once
	interests  map[string]*jobInterest
	leases     map[string]interestLease // of jobs that clients of other front ends wait for
	lookups    map[string]*resultLookup // by instance and execution
	// submittedJobs and submittedActions count since the start of the process.
	submittedJobs, submittedActions atomic.Int64
}

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

// batchKey holds the properties that all actions of a batch share.
type batchKey struct {
	client       [sha256.Size]byte // hash of the credential
	instance     string
	requirements requirements
}

// batch is a list of actions that become one job array.
type batch struct {
	key        batchKey
	credential string
	tasks      []*task
	timer      *time.Timer
	// queued is set when the batch enters its submit queue. submitted is set when it leaves
	// the queue; its tasks do not change after that.
	queued, submitted bool
}

// task is an action in execution. A task waits first for its assignment to a job and then for
// its result.
type task struct {
	entry    ManifestEntry
	instance string
	space    string
	// client is the client whose quota of waiting actions the task uses.
	client string
	queued time.Time
	// batch is nil if another front end submitted the task. waiters counts the calls that
	// wait for the task's job.
	batch   *batch
	waiters int
	// assigned is closed after the submission: job and index are set if it succeeded, and err
	// if it failed.
	assigned chan struct{}
	job      string
	index    int
	err      error
	// done is closed once a result is recorded on this front end.
	done chan struct{}
	once sync.Once
}

func (t *task) key() string { return t.space + "/" + t.entry.Execution }

// joinTask returns the running task of an execution, which this or another front end started.
// If there is none, it adds a new task to a batch.
func (f *FrontEnd) joinTask(ctx context.Context, instance, space, credential string, required requirements, entry ManifestEntry) (*task, error) {
	key := space + "/" + entry.Execution
	if t := f.executions.join(key); t != nil {
		return t, nil
	}
	// An earlier process or another front end may have started the execution.
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
	t := &task{entry: entry, instance: instance, space: space, client: client, waiters: 1, queued: time.Now(), assigned: make(chan struct{}), done: make(chan struct{})}
	f.executions.running[key] = t
	f.addToBatch(batchKey{credentialHash, instance, required}, credential, t)
	return t, nil
}

// join adds a waiter to the running task of a key and returns the task, or nil if there is none.
func (e *executions) join(key string) *task {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.running[key]
	if t != nil {
		t.waiters++
	}
	return t
}

// addToBatch adds a task to the batch of its key. It queues the batch for submission once the
// batch is full or its collection time is over. The caller holds executions.mu.
func (f *FrontEnd) addToBatch(key batchKey, credential string, t *task) {
	b := f.executions.batches[key]
	if b == nil {
		b = &batch{key: key, credential: credential}
		f.executions.batches[key] = b
		b.timer = time.AfterFunc(f.config.BatchDelay, func() {
			f.executions.mu.Lock()
			defer f.executions.mu.Unlock()
			if !b.submitted {
				f.enqueueBatch(b)
			}
		})
	}
	t.batch = b
	b.tasks = append(b.tasks, t)
	if len(b.tasks) >= f.config.MaxBatchActions {
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
	t := &task{entry: entry, instance: instance, space: space, assigned: make(chan struct{}), done: make(chan struct{}), job: record.Job, index: record.Index, queued: time.UnixMilli(record.Queued)}
	close(t.assigned)
	f.executions.running[key] = t
	return t
}

// submitBatch submits a batch as a job and assigns the job, or the error, to its tasks.
func (f *FrontEnd) submitBatch(b *batch) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	id, stale, err := f.submitBatchJob(ctx, b, "")
	if err == nil && stale {
		// An earlier job of the same actions was cancelled, or its results were lost with a
		// front end. Its tasks will never have results.
		f.log.Info("resubmitting actions whose job ended without results", "job", id, "count", len(b.tasks))
		f.executions.mu.Lock()
		f.untrackJob(id)
		f.executions.mu.Unlock()
		id, _, err = f.submitBatchJob(ctx, b, rand.Text())
	}
	if err == nil {
		f.executions.submittedJobs.Add(1)
		f.executions.submittedActions.Add(int64(len(b.tasks)))
	} else {
		f.log.Info("job submission failed", "job", id, "count", len(b.tasks), "error", err)
		err = submitFailure(err)
	}
	f.assignJob(b.tasks, id, err)
}

// assignJob sets the job of the tasks of a batch, or the error if the submission failed.
func (f *FrontEnd) assignJob(tasks []*task, job string, err error) {
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
		close(t.assigned)
	}
}

// submitBatchJob submits the job of a batch. It stores the manifest and the start records
// first. If the front end is killed before it submits the job, the next attempt submits it
// under the same id. A non-empty nonce makes the id differ from that of earlier jobs of the
// same actions. stale reports that a job with this id has already ended and that it was
// cancelled or lacks a result of one of the tasks.
func (f *FrontEnd) submitBatchJob(ctx context.Context, b *batch, nonce string) (id string, stale bool, err error) {
	key, tasks, credential := b.key, b.tasks, b.credential
	manifest := Manifest{Instance: key.instance, Nonce: nonce}
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
	if denial := denialStatus(err); denial != nil {
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

// withCredential runs call with a client's credential. If the controllers reject that credential,
// which may have expired since, it repeats the call on behalf of the client with the front
// end's own rights. So an accepted execution continues, and an abandoned job is cancelled.
// *credential is replaced in that case, because the audit log would record each further use of
// the expired credential as a denied request.
func (f *FrontEnd) withCredential(credential *string, name string, call func(credential string) error) error {
	err := call(*credential)
	if name != "" && *credential != certificatePrefix+name && denialStatus(err) != nil {
		*credential = certificatePrefix + name
		return call(*credential)
	}
	return err
}

// Submitted returns the numbers of jobs and of actions that this process has submitted.
func (f *FrontEnd) Submitted() (jobs, actions int64) {
	return f.executions.submittedJobs.Load(), f.executions.submittedActions.Load()
}
