package reapi

import (
	"slices"
	"time"

	"micaspindle/internal/admission"
	"micaspindle/internal/protocol"
)

// The cluster runs a team's jobs of one urgency in the order of submission, regardless of the
// client. For fairness among the team's clients, a front end submits only as many actions as
// the submission window admits; further batches queue here, and the clients take turns
// (admission.NextBatch). The number of actions that wait for a machine in the cluster is
// computed as the submitted actions, less the received results and the tasks that were
// running at the last status request.

// queueKey identifies the jobs that the cluster runs in the order of their submission.
type queueKey struct{ space, urgency string }

// submitQueue holds the batches of one key that are ready to be submitted, oldest first.
type submitQueue struct {
	ready []*batch
	// completions measures the rate of received results.
	completions admission.Meter
}

// submittedJob is a job in the cluster that this front end submitted.
type submittedJob struct {
	queue  queueKey
	client string
	// unfinished counts the tasks without a result; running counts those of them that were
	// running at the last status request, less the results received since.
	tasks, unfinished, running int
}

// enqueueBatch queues a batch for submission, unless it is queued already. executions.mu must
// be held.
func (f *FrontEnd) enqueueBatch(b *batch) {
	if b.queued {
		return
	}
	b.queued = true
	key := b.queueKey()
	queue := f.executions.queues[key]
	if queue == nil {
		queue = new(submitQueue)
		f.executions.queues[key] = queue
	}
	queue.ready = append(queue.ready, b)
	f.submitReady(key, time.Now())
}

// submitReady submits those batches of a queue that the submission window admits now.
// executions.mu must be held.
func (f *FrontEnd) submitReady(key queueKey, now time.Time) {
	queue := f.executions.queues[key]
	if queue == nil || len(queue.ready) == 0 {
		return
	}
	outstanding, running := f.executions.load(key)
	window := f.config.Shares.Handoff.Window(queue.completions.PerSecond(now), running)
	for len(queue.ready) > 0 {
		waiting := make([]admission.Batch, len(queue.ready))
		for i, b := range queue.ready {
			waiting[i] = admission.Batch{Client: b.client(), Size: len(b.tasks)}
		}
		next := admission.NextBatch(window, outstanding, waiting)
		if next < 0 {
			return
		}
		b := queue.ready[next]
		queue.ready = append(queue.ready[:next:next], queue.ready[next+1:]...)
		outstanding[b.client()] += len(b.tasks)
		if f.executions.batches[b.key] == b {
			delete(f.executions.batches, b.key)
		}
		b.submitted = true
		f.executions.submitting[b] = true
		go f.submitBatch(b)
	}
}

// load returns the number of a queue's actions that wait for a machine in the cluster, by client,
// and the number that run there. e.mu must be held.
func (e *executions) load(key queueKey) (outstanding map[string]int, running int) {
	outstanding = map[string]int{}
	for _, job := range e.submitted {
		if job.queue == key {
			runningTasks := min(job.unfinished, job.running)
			outstanding[job.client] += job.unfinished - runningTasks
			running += runningTasks
		}
	}
	for b := range e.submitting {
		if b.queueKey() == key {
			outstanding[b.client()] += len(b.tasks)
		}
	}
	return outstanding, running
}

// trackJob adds the job of a batch that is about to be submitted to the submitted jobs.
// executions.mu must be held.
func (f *FrontEnd) trackJob(job string, b *batch) {
	delete(f.executions.submitting, b)
	if f.executions.submitted[job] == nil {
		f.executions.submitted[job] = &submittedJob{queue: b.queueKey(), client: b.client(), tasks: len(b.tasks), unfinished: len(b.tasks)}
	}
}

// countResult counts a received result of a job. executions.mu must be held.
func (f *FrontEnd) countResult(id string, now time.Time) {
	job := f.executions.submitted[id]
	if job == nil {
		return
	}
	if queue := f.executions.queues[job.queue]; queue != nil {
		queue.completions.Add(now, 1)
	}
	job.running = max(0, job.running-1)
	if job.unfinished--; job.unfinished <= 0 {
		delete(f.executions.submitted, id)
	}
	f.submitReady(job.queue, now)
}

// updateJob updates the counts of a job from the status that the controllers reported.
// executions.mu must be held.
func (f *FrontEnd) updateJob(id string, jobStatus protocol.JobStatus) {
	job := f.executions.submitted[id]
	if job == nil {
		return
	}
	job.running, job.unfinished = jobStatus.Running, min(job.unfinished, job.tasks-jobStatus.Done)
	if jobStatus.Ended() {
		delete(f.executions.submitted, id)
	}
	f.submitReady(job.queue, time.Now())
}

// untrackJob removes a job that is not in the cluster from the submitted jobs.
// executions.mu must be held.
func (f *FrontEnd) untrackJob(id string) {
	if job := f.executions.submitted[id]; job != nil {
		delete(f.executions.submitted, id)
		f.submitReady(job.queue, time.Now())
	}
}

// abandonTask removes a task that no call waits for from its batch, unless the submission of the
// batch has begun. It reports whether it removed the task. executions.mu must be held.
func (f *FrontEnd) abandonTask(t *task) bool {
	b := t.batch
	if b == nil || b.submitted {
		return false
	}
	b.tasks = without(b.tasks, t)
	delete(f.executions.running, t.key())
	if ledger := f.config.Shares.Waiting; ledger != nil {
		ledger.Release(t.space, t.client, 1)
	}
	if len(b.tasks) > 0 {
		return true
	}
	b.submitted = true
	b.timer.Stop()
	if f.executions.batches[b.key] == b {
		delete(f.executions.batches, b.key)
	}
	if queue := f.executions.queues[queueKey{t.space, b.key.requirements.urgency}]; queue != nil {
		queue.ready = without(queue.ready, b)
	}
	return true
}

// without returns a copy of a list with one element removed, or the list itself if it does
// not contain the element.
func without[T comparable](list []T, element T) []T {
	if i := slices.Index(list, element); i >= 0 {
		return append(list[:i:i], list[i+1:]...)
	}
	return list
}

func (b *batch) queueKey() queueKey { return queueKey{b.tasks[0].space, b.key.requirements.urgency} }
func (b *batch) client() string     { return b.tasks[0].client }
