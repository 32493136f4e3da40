// Package commit writes the run records and final states of the partitions that this
// controller leads, in batches of compare-and-swap transactions, one at a time for each
// partition. Invariant: every transaction is conditional on the partition lease and on the
// revision of each key that it changes; one without an answer is read back before the next.
package commit

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/retry"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// commitTimeout is how long a batch may wait for the write budget and its answer.
const commitTimeout = 10 * time.Second

// commitBackoff is the pause after a batch that failed. It doesn't grow: the budget of the state
// store makes commits wait already, and growing pauses cost users what docs/retries.md says.
var commitBackoff = retry.Backoff{First: 200 * time.Millisecond, Max: 200 * time.Millisecond}

// Committer writes the records of the partitions that this controller leads.
type Committer struct {
	*cluster.State
	loop    *eventloop.Loop
	store   *storage.Store
	log     *slog.Logger
	metrics *telemetry.Metrics

	agents    Agents
	jobs      Jobs
	leases    Leases
	scheduler Scheduler
}

// New returns a Committer without collaborators; Connect must follow.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Committer {
	return &Committer{State: state, loop: loop, store: store, log: log}
}

// Connect sets the collaborators. It is called once, before the loop starts.
func (c *Committer) Connect(agents Agents, jobs Jobs, leases Leases, scheduler Scheduler) {
	c.agents, c.jobs, c.leases, c.scheduler = agents, jobs, leases, scheduler
}

// Observe sets the metrics, before the loop starts. Without it nothing is measured.
func (c *Committer) Observe(metrics *telemetry.Metrics) { c.metrics = metrics }

// CommitLoop writes a partition's records, one transaction at a time, until the loop's context
// ends.
func (c *Committer) CommitLoop(partition *cluster.Partition) {
	tries := c.loop.Tries("commit "+strconv.Itoa(partition.Index), commitBackoff)
	for {
		select {
		case <-partition.Wakeup:
		case <-c.loop.Context().Done():
			return
		}
		if !c.commitPending(partition, tries) {
			return
		}
	}
}

// commitPending writes batches until there is nothing more to write, and reads back what went
// unanswered. It reports whether the loop's context is still alive.
func (c *Committer) commitPending(partition *cluster.Partition, tries *retry.Tries) bool {
	for {
		next, unconfirmed := c.nextBatch(partition)
		if len(unconfirmed) > 0 && !c.rereadChunks(partition, unconfirmed) && !c.loop.Sleep(tries.Failed()) {
			return false
		}
		if next == nil {
			return true
		}
		if err := c.commitBatch(partition, next); err == nil {
			tries.Succeeded()
		} else if !c.loop.Sleep(tries.Failed()) {
			return false
		}
	}
}

// nextBatch returns the chunks that must be read back first or, if there are none, the next
// batch; nil: there is nothing to write now.
func (c *Committer) nextBatch(partition *cluster.Partition) (next *batch, unconfirmed []chunkRef) {
	c.loop.Do(func() {
		unconfirmed = c.unconfirmedChunks(partition)
		if len(unconfirmed) == 0 {
			next = c.prepareBatch(partition, time.Now())
		}
		partition.Committing = next != nil
	})
	return next, unconfirmed
}

// commitBatch writes a batch and takes in its outcome.
func (c *Committer) commitBatch(partition *cluster.Partition, b *batch) error {
	ctx, cancel := context.WithTimeout(c.loop.Context(), commitTimeout)
	defer cancel()
	begun := time.Now()
	revision, err := c.commitWithin(ctx, b)
	c.metrics.RecordWait(telemetry.Commit, time.Since(begun), time.Now())
	c.loop.Do(func() {
		partition.Committing = false
		if err != nil {
			c.batchFailed(partition, b, err)
		} else {
			c.batchCommitted(partition, b, revision, time.Now())
		}
	})
	return err
}

// commitWithin sends a batch to the state store. Cancellations go ahead of other records: users
// wait for them.
func (c *Committer) commitWithin(ctx context.Context, b *batch) (revision uint64, err error) {
	if len(b.cancellations) > 0 {
		return c.store.CommitAhead(ctx, &b.txn)
	}
	return c.store.Commit(ctx, &b.txn)
}

// batchCommitted takes in that a batch was written, as of a revision.
func (c *Committer) batchCommitted(partition *cluster.Partition, b *batch, revision uint64, now time.Time) {
	if !partition.Held || b.leaseRevision() != partition.LeaseRevision {
		return
	}
	for i := range b.chunks {
		b.chunks[i].committed(revision, now)
	}
	c.sendStarts(b.starts, now)
	for _, machine := range b.tokenRaises {
		if c.Machines[machine.Name] == machine {
			c.agents.MachineRecorded(machine.Name, machine.Record, revision, now)
		}
	}
	for _, job := range b.cancellations {
		c.jobs.SetFinal(job.Spec.ID, protocol.StatusCancelled, now)
	}
	for _, job := range b.completions {
		c.jobDone(job, now)
	}
	for _, write := range b.chunks {
		c.jobs.DropIfReleased(write.job)
	}
}

// committed takes in that a chunk's record was written, as of a revision.
func (w *chunkWrite) committed(revision uint64, now time.Time) {
	chunk := w.chunk
	chunk.Revision = revision
	if chunk.Generation == w.generation {
		chunk.Dirty, chunk.Urgent = false, false
	} else {
		chunk.DirtySince = now
	}
	for _, attempt := range w.exited {
		attempt.State = cluster.AttemptReleased
	}
	if w.deleted {
		chunk.Revision = 0
		delete(w.job.Chunks, chunk.Index)
	}
}

// sendStarts has attempts that are on record now started.
func (c *Committer) sendStarts(starts []*cluster.Attempt, now time.Time) {
	machines := map[*cluster.Machine]bool{}
	for _, attempt := range starts {
		if attempt.State == cluster.AttemptReserved {
			attempt.State, attempt.CommittedAt = cluster.AttemptCommitted, now
			machines[attempt.Machine] = true
		}
	}
	for machine := range machines {
		c.agents.SendCommands(machine)
	}
}

// jobDone takes in that a job is on record as done.
func (c *Committer) jobDone(job *cluster.Job, now time.Time) {
	after := now.Sub(job.SubmittedAt)
	c.metrics.RecordWait(telemetry.Finish, after, now)
	if due, ok := job.Deadline(); ok && now.After(due) {
		c.metrics.Count(telemetry.JobLate, 1)
	}
	c.log.Info("job done", "job", job.Spec.ID, "class", job.Spec.Class, "count", job.Spec.Tasks, "after", after, "deadline_s", job.Spec.DeadlineS)
	c.jobs.SetFinal(job.Spec.ID, protocol.StatusDone, now)
}
