package commit

import (
	"time"

	"micaspindle/internal/coordination/agents"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/jobs"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

const (
	// lazyRecordDelay is how long a record that no start and no user waits for may gather
	// further changes before it is written.
	lazyRecordDelay = 2 * time.Second
	// leaseExpirySlack is for how long beyond the lease's time to live, counted from its last
	// confirmed renewal, batches are still tried.
	leaseExpirySlack = 10 * time.Second
	// batchBytesLimit bounds the records in a batch, in bytes.
	batchBytesLimit = 40 << 10
	// deletionBytes is what a deletion counts as.
	deletionBytes = 100
	// recordBytesFactor is how many bytes of a batch each byte of a record counts as: the
	// message may hold it in a longer form.
	recordBytesFactor = 2
)

// batch is one transaction of a partition leader and what it stands for.
type batch struct {
	txn         protocol.Transaction
	chunks      []chunkWrite
	completions []*cluster.Job
	tokenRaises []*cluster.Machine
	starts      []*cluster.Attempt
	// cancellations are the jobs that the batch cancels; it then holds nothing else.
	cancellations []*cluster.Job
}

// chunkRef names one run record of a job.
type chunkRef struct {
	job   *cluster.Job
	chunk *cluster.RunChunk
}

// chunkWrite is the write or deletion of a run record.
type chunkWrite struct {
	chunkRef
	// generation is that of the chunk when the record was made.
	generation uint64
	// exited are the attempts whose ends the write puts on record.
	exited  []*cluster.Attempt
	deleted bool
}

// newBatch makes a batch that is conditional on the partition lease.
func newBatch(partition *cluster.Partition) *batch {
	b := &batch{}
	b.require(storage.LeaseKey(partition.Index), partition.LeaseRevision)
	return b
}

// leaseRevision is the revision of the partition lease on which the batch is conditional.
func (b *batch) leaseRevision() uint64 { return b.txn.If[0].Version }

// require makes the batch conditional on the revision of a key; 0: that it is absent.
func (b *batch) require(key string, revision uint64) {
	b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Version: revision})
}

// put writes a key, if it still has a revision.
func (b *batch) put(key string, revision uint64, record any) (bytes int) {
	value := storage.Encode(record)
	b.require(key, revision)
	b.txn.Then = append(b.txn.Then, protocol.Change{Put: key, Value: value})
	return len(value)
}

// delete removes a key, if it still has a revision.
func (b *batch) delete(key string, revision uint64) {
	b.require(key, revision)
	b.txn.Then = append(b.txn.Then, protocol.Change{Delete: key})
}

// takeChunk notes that the batch writes a chunk's record, with the ends of its exited attempts.
func (b *batch) takeChunk(job *cluster.Job, chunk *cluster.RunChunk, deleted bool) {
	b.chunks = append(b.chunks, chunkWrite{
		chunkRef:   chunkRef{job: job, chunk: chunk},
		generation: chunk.Generation,
		exited:     chunk.Exited,
		deleted:    deleted,
	})
	chunk.Exited = nil
}

// prepareBatch places waiting tasks and gathers what should be written now; nil: nothing. Up to
// half of the batch raises tokens that are due; the other half is for records, and what they
// leave of it for further tokens.
func (c *Committer) prepareBatch(partition *cluster.Partition, now time.Time) *batch {
	if !c.mayCommit(partition, now) {
		return nil
	}
	ops := c.store.TxnOps()
	b := newBatch(partition)
	if c.addCancellations(b, partition, now, ops); len(b.cancellations) > 0 {
		return b
	}
	due := addTokenRaises(b, c.agents.TokensDue(partition, now), now, ops/2)
	c.scheduler.Place(partition, now)
	c.scheduler.Preempt(partition, now)
	c.addRecords(b, partition, now, ops)
	addTokenRaises(b, due, now, ops)
	if len(b.txn.Then) == 0 {
		return nil
	}
	return b
}

// mayCommit says whether this controller leads the partition and its lease may still hold.
func (c *Committer) mayCommit(partition *cluster.Partition, now time.Time) bool {
	return partition.Held && partition.Ready && !c.Draining &&
		now.Sub(c.LeaseRenewedAt) <= c.Operator.LeaseTTL+leaseExpirySlack
}

// addCancellations cancels the jobs that need a cancelled one. It is confirmed to users that what
// these jobs need is cancelled (rules 21, 22).
func (c *Committer) addCancellations(b *batch, partition *cluster.Partition, now time.Time, ops int) {
	for _, job := range c.Dependencies.JobsToCancel {
		if len(b.txn.Then) == ops {
			return
		}
		if job.Partition == partition.Index {
			jobs.AddCancellation(&b.txn, job.Spec.ID, now)
			b.cancellations = append(b.cancellations, job)
		}
	}
}

// addTokenRaises adds the records of machines to a batch, each of which raises its machine's
// fencing token, until the batch has so many changes. It returns the machines that are left.
func addTokenRaises(b *batch, due []*cluster.Machine, now time.Time, ops int) (left []*cluster.Machine) {
	for i, machine := range due {
		if len(b.txn.Then) >= ops {
			return due[i:]
		}
		if machine.CommandRequestsInFlight > 0 && now.Sub(machine.CommandsSentAt) < agents.CommandAnswerWait {
			continue // the answer may make it needless
		}
		b.put(storage.MachineKey(machine.Name), machine.Revision, machine.Record)
		b.tokenRaises = append(b.tokenRaises, machine)
	}
	return nil
}

// addRecords adds the ends of jobs and the run records that should be written now.
func (c *Committer) addRecords(b *batch, partition *cluster.Partition, now time.Time, ops int) {
	bytes := 0
	for _, job := range c.scheduler.Queue(partition) {
		if job.Completing && c.FinalStates[job.Spec.ID] == "" {
			c.addCompletion(b, partition, job, now, ops)
			continue
		}
		for _, chunk := range job.Chunks {
			due := chunk.Urgent || now.Sub(chunk.DirtySince) > lazyRecordDelay
			if chunk.Dirty && !chunk.Unconfirmed && due && len(b.txn.Then) < ops && bytes <= batchBytesLimit {
				bytes += c.addChunk(b, partition, job, chunk)
			}
		}
	}
}

// addChunk adds the record of a chunk, or its deletion if its job has ended and nothing of it is
// live. It returns how many bytes that counts as.
func (c *Committer) addChunk(b *batch, partition *cluster.Partition, job *cluster.Job, chunk *cluster.RunChunk) (bytes int) {
	run, fits := c.runRecordWithinLimit(job, chunk)
	if !fits {
		return 0
	}
	id := job.Spec.ID
	key := storage.RunKey(partition.Index, id, chunk.Index)
	if c.FinalStates[id] != "" && len(run.Live) == 0 {
		return c.addChunkDeletion(b, key, job, chunk)
	}
	bytes = b.put(key, chunk.Revision, run)
	starts := len(b.starts)
	for _, live := range run.Live {
		if attempt := job.LiveAttempts[live.Task]; attempt.State == cluster.AttemptReserved {
			b.starts = append(b.starts, attempt)
		}
	}
	if len(b.starts) > starts {
		// No start after a cancellation (rule 17).
		b.require(storage.FinalKey(id), 0)
	}
	b.takeChunk(job, chunk, false)
	return recordBytesFactor * bytes
}

// addChunkDeletion adds the deletion of a chunk's record, if there is one. It returns how many
// bytes that counts as.
func (c *Committer) addChunkDeletion(b *batch, key string, job *cluster.Job, chunk *cluster.RunChunk) (bytes int) {
	if chunk.Revision == 0 {
		c.dropChunk(job, chunk)
		return 0
	}
	b.delete(key, chunk.Revision)
	b.takeChunk(job, chunk, true)
	return deletionBytes
}

// dropChunk forgets a chunk of an ended job that is not on record.
func (c *Committer) dropChunk(job *cluster.Job, chunk *cluster.RunChunk) {
	chunk.Dirty = false
	for _, attempt := range chunk.Exited {
		attempt.State = cluster.AttemptReleased
	}
	chunk.Exited = nil
	delete(job.Chunks, chunk.Index)
	c.jobs.DropIfReleased(job)
}

// runRecordWithinLimit returns the record of a chunk, if the state store takes one of its size. A
// record is too large if it was written under higher limits, or if the store takes less than it
// said. Attempts that only wait for the record can wait elsewhere; the rest is written when
// enough of its tasks have ended.
func (c *Committer) runRecordWithinLimit(job *cluster.Job, chunk *cluster.RunChunk) (run storage.RunRecord, fits bool) {
	run = job.RunRecord(chunk)
	limit := c.store.ValueBytes()
	if run.Size() > limit {
		c.unreserveChunk(job, chunk)
		run = job.RunRecord(chunk)
	}
	fits = run.Size() <= limit
	if !fits && !chunk.Oversized {
		c.log.Error("run record exceeds the value limit", "job", job.Spec.ID, "chunk", chunk.Index, "size", run.Size(), "limit", limit)
	}
	chunk.Oversized = !fits
	return run, fits
}

// unreserveChunk gives up the attempts of a chunk that are not on record.
func (c *Committer) unreserveChunk(job *cluster.Job, chunk *cluster.RunChunk) {
	now := time.Now()
	for _, attempt := range job.Attempts() {
		if attempt.State == cluster.AttemptReserved && attempt.TaskIndex/storage.ChunkTasks == chunk.Index {
			c.agents.ReleaseAttempt(attempt, "its run record exceeds the value limit", now)
		}
	}
}

// addCompletion makes a job done and removes its run records, as many as fit in.
func (c *Committer) addCompletion(b *batch, partition *cluster.Partition, job *cluster.Job, now time.Time, ops int) {
	if len(b.txn.Then) >= ops {
		return
	}
	id := job.Spec.ID
	b.put(storage.FinalKey(id), 0, storage.Final{Status: protocol.StatusDone, AtMS: now.UnixMilli()})
	b.completions = append(b.completions, job)
	for _, chunk := range job.Chunks {
		if chunk.Unconfirmed || len(b.txn.Then) >= ops {
			continue
		}
		if chunk.Revision != 0 {
			b.delete(storage.RunKey(partition.Index, id, chunk.Index), chunk.Revision)
		}
		b.takeChunk(job, chunk, true)
	}
}
