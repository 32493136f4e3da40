// Package commit writes the run records and final states of the partitions that this controller
// leads. It batches them into compare-and-swap transactions, one at a time for each partition.
// Invariant: every transaction is conditional on the partition lease and on the revision of each
// key that it changes. The keys of a transaction without an answer are read back before the next
// transaction.
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

// commitTimeout is the timeout of a batch, including its wait for the write budget.
const commitTimeout = 10 * time.Second

// commitBackoff is the pause after a failed batch. It does not grow, since the write budget of the
// state store already limits the rate of commits, and longer pauses delay users (see
// docs/retries.md).
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

// New returns a Committer without collaborators. The caller must call Connect before using it.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Committer {
	return &Committer{State: state, loop: loop, store: store, log: log}
}

// Connect sets the collaborators. It is called once, before the loop starts.
func (c *Committer) Connect(agents Agents, jobs Jobs, leases Leases, scheduler Scheduler) {
	c.agents, c.jobs, c.leases, c.scheduler = agents, jobs, leases, scheduler
}

// Observe sets the metrics. It is called before the loop starts; without it, no metrics are
// recorded.
func (c *Committer) Observe(metrics *telemetry.Metrics) { c.metrics = metrics }

// CommitLoop writes a partition's records, one transaction at a time, until the loop's context
// ends.
func (c *Committer) CommitLoop(partition *cluster.Partition) {
	tries := c.loop.NewRetryCounter("commit "+strconv.Itoa(partition.Index), commitBackoff)
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

// commitPending writes batches until there is nothing more to write, and reads back the run records
// whose writes were not answered. It returns false if the loop's context ends.
func (c *Committer) commitPending(partition *cluster.Partition, tries *retry.FailureCounter) bool {
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

// nextBatch returns the chunks that must be read back before the next batch or, if there are none,
// the next batch. The batch is nil if there is nothing to write.
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

// commitBatch commits a batch and applies the result.
func (c *Committer) commitBatch(partition *cluster.Partition, b *batch) error {
	ctx, cancel := context.WithTimeout(c.loop.Context(), commitTimeout)
	defer cancel()
	startedAt := time.Now()
	revision, err := c.sendBatch(ctx, b)
	c.metrics.RecordWait(telemetry.Commit, time.Since(startedAt), time.Now())
	c.loop.Do(func() {
		partition.Committing = false
		if err != nil {
			c.handleBatchFailure(partition, b, err)
		} else {
			c.handleBatchCommitted(partition, b, revision, time.Now())
		}
	})
	return err
}

// sendBatch sends a batch to the state store. Cancellations are sent ahead of other records,
// because users are waiting for them.
func (c *Committer) sendBatch(ctx context.Context, b *batch) (revision uint64, err error) {
	if len(b.cancellations) > 0 {
		return c.store.CommitPriority(ctx, &b.txn)
	}
	return c.store.Commit(ctx, &b.txn)
}

// handleBatchCommitted applies the state changes of a batch that was committed at a revision.
func (c *Committer) handleBatchCommitted(partition *cluster.Partition, b *batch, revision uint64, now time.Time) {
	if !partition.Held || b.leaseRevision() != partition.LeaseRevision {
		return
	}
	for i := range b.chunks {
		b.chunks[i].recordCommitted(revision, now)
	}
	c.sendStarts(b.starts, now)
	if b.raisesTokens {
		partition.TokenRaisedAt = revision
		c.metrics.Count(telemetry.PartitionTokenRaised, 1)
	}
	c.metrics.Count(telemetry.MachineTokenRaised, len(b.tokenRaises))
	for _, machine := range b.tokenRaises {
		if c.Machines[machine.Name] == machine {
			c.agents.ApplyMachineRecord(machine.Name, machine.Record, revision, now)
		}
	}
	for _, job := range b.cancellations {
		c.jobs.SetFinalState(job.Spec.ID, protocol.StatusCancelled, now)
	}
	for _, job := range b.completions {
		c.handleJobDone(job, now)
	}
	for _, write := range b.chunks {
		c.jobs.DropIfReleased(write.job)
	}
}

// recordCommitted updates a chunk whose run record was written or deleted at a revision.
func (w *chunkWrite) recordCommitted(revision uint64, now time.Time) {
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

// sendStarts sends the starts of attempts that are now committed.
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

// handleJobDone processes a job whose completion was committed.
func (c *Committer) handleJobDone(job *cluster.Job, now time.Time) {
	after := now.Sub(job.SubmittedAt)
	c.metrics.RecordWait(telemetry.Finish, after, now)
	if deadline, ok := job.Deadline(); ok && now.After(deadline) {
		c.metrics.Count(telemetry.JobLate, 1)
	}
	c.log.Info("job done", "job", job.Spec.ID, "class", job.Spec.Class, "count", job.Spec.Tasks, "after", after, "deadline_s", job.Spec.DeadlineS)
	c.jobs.SetFinalState(job.Spec.ID, protocol.StatusDone, now)
}
