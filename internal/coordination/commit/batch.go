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
	// lazyRecordDelay is the time for which a record that is not urgent collects changes before
	// it is written.
	lazyRecordDelay = 2 * time.Second
	// leaseExpirySlack is the time for which batches are still sent after the lease should have
	// expired, counted from its last confirmed renewal.
	leaseExpirySlack = 10 * time.Second
	// tokenRecordPatience is the time for which a token record that is due waits for space in a
	// batch.
	tokenRecordPatience = 5 * time.Second
	// tokenRecordRetryDelay is the time until a token record is written again if the write was
	// not answered or the record had changed. The watch delivers the present record meanwhile.
	tokenRecordRetryDelay = 2 * time.Second
	// batchBytesLimit is the size in bytes above which no run record is added to a batch.
	batchBytesLimit = 40 << 10
	// deletionBytes is the assumed size in bytes of a deletion in a batch.
	deletionBytes = 100
	// recordBytesFactor is an upper bound on the ratio of a record's encoded size in a message
	// to its own size.
	recordBytesFactor = 2
)

// batch is a transaction of a partition leader, with the state changes to apply once it is
// committed.
type batch struct {
	txn         protocol.Transaction
	chunks      []chunkWrite
	completions []*cluster.Job
	tokenRaises []*cluster.Machine
	// raisesTokens is set if the batch writes the partition's token record.
	raisesTokens bool
	starts       []*cluster.Attempt
	// cancellations are the jobs that the batch cancels. A batch with cancellations contains
	// nothing else.
	cancellations []*cluster.Job
}

// chunkRef identifies a run record of a job.
type chunkRef struct {
	job   *cluster.Job
	chunk *cluster.RunChunk
}

// chunkWrite is the write or deletion of a run record.
type chunkWrite struct {
	chunkRef
	// generation is the chunk's generation at which the record was encoded.
	generation uint64
	// exited are the attempts whose ends are committed with the write.
	exited  []*cluster.Attempt
	deleted bool
}

// newBatch returns an empty batch that is conditional on the partition lease.
func newBatch(partition *cluster.Partition) *batch {
	b := &batch{}
	b.addCondition(storage.LeaseKey(partition.Index), partition.LeaseRevision)
	return b
}

// leaseRevision returns the revision of the partition lease on which the batch is conditional.
func (b *batch) leaseRevision() uint64 { return b.txn.If[0].Version }

// addCondition makes the batch conditional on the revision of a key. Revision 0 means that the key
// does not exist.
func (b *batch) addCondition(key string, revision uint64) {
	b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Version: revision})
}

// put adds the write of a key, on condition that the key is still at a revision. It returns the
// size of the encoded record.
func (b *batch) put(key string, revision uint64, record any) (bytes int) {
	value := storage.Encode(record)
	b.addCondition(key, revision)
	b.txn.Then = append(b.txn.Then, protocol.Change{Put: key, Value: value})
	return len(value)
}

// delete adds the deletion of a key, on condition that the key is still at a revision.
func (b *batch) delete(key string, revision uint64) {
	b.addCondition(key, revision)
	b.txn.Then = append(b.txn.Then, protocol.Change{Delete: key})
}

// recordChunkWrite records that the batch writes or deletes a chunk's run record, and moves the
// chunk's exited attempts to the batch.
func (b *batch) recordChunkWrite(job *cluster.Job, chunk *cluster.RunChunk, deleted bool) {
	b.chunks = append(b.chunks, chunkWrite{
		chunkRef:   chunkRef{job: job, chunk: chunk},
		generation: chunk.Generation,
		exited:     chunk.Exited,
		deleted:    deleted,
	})
	chunk.Exited = nil
}

// prepareBatch places waiting tasks and collects the changes that are due to be written. It returns
// nil if there are none. Token raises of single machines may use up to half of the batch, and the
// space that the records leave. The token record, which nobody waits for, uses that space, and goes
// ahead of the records only if it is long overdue.
func (c *Committer) prepareBatch(partition *cluster.Partition, now time.Time) *batch {
	if !c.mayCommit(partition, now) {
		return nil
	}
	opsLimit := c.store.TxnOps()
	b := newBatch(partition)
	if c.addCancellations(b, partition, now, opsLimit); len(b.cancellations) > 0 {
		return b
	}
	if !partition.TokenRaiseBy.IsZero() && now.Sub(partition.TokenRaiseBy) > tokenRecordPatience {
		addTokenRecord(b, partition, now, opsLimit)
	}
	remaining := addTokenRaises(b, c.agents.MachinesDueForNewToken(partition, now), now, opsLimit/2)
	c.scheduler.Place(partition, now)
	c.scheduler.Preempt(partition, now)
	c.addRecords(b, partition, now, opsLimit)
	addTokenRecord(b, partition, now, opsLimit)
	addTokenRaises(b, remaining, now, opsLimit)
	if len(b.txn.Then) == 0 {
		return nil
	}
	return b
}

// mayCommit reports whether this controller leads the partition and its lease may still be valid.
func (c *Committer) mayCommit(partition *cluster.Partition, now time.Time) bool {
	return partition.Held && partition.Ready && !c.Draining &&
		now.Sub(c.LeaseRenewedAt) <= c.Operator.LeaseTTL+leaseExpirySlack
}

// addCancellations cancels the jobs that depend on a cancelled job. Users may already see that job
// as cancelled, so its dependents must be cancelled, too (rules 21 and 22).
func (c *Committer) addCancellations(b *batch, partition *cluster.Partition, now time.Time, opsLimit int) {
	for _, job := range c.Dependencies.JobsToCancel {
		if len(b.txn.Then) == opsLimit {
			return
		}
		if job.Partition == partition.Index {
			jobs.AddCancellation(&b.txn, job.Spec.ID, now)
			b.cancellations = append(b.cancellations, job)
		}
	}
}

// addTokenRaises adds writes of machine records to a batch, each of which raises its machine's
// fencing token, until the batch has opsLimit changes. It returns the remaining machines.
func addTokenRaises(b *batch, due []*cluster.Machine, now time.Time, opsLimit int) (remaining []*cluster.Machine) {
	for i, machine := range due {
		if len(b.txn.Then) >= opsLimit {
			return due[i:]
		}
		if machine.CommandRequestsInFlight > 0 && now.Sub(machine.CommandsSentAt) < agents.CommandAnswerWait {
			continue // the answer in flight may make a new token unnecessary
		}
		b.put(storage.MachineKey(machine.Name), machine.Revision, machine.Record)
		b.tokenRaises = append(b.tokenRaises, machine)
	}
	return nil
}

// addTokenRecord adds the write of the partition's token record if it is due and not in the batch
// yet. While the watch has not delivered the previous record, its revision is unknown here, so the
// next one waits.
func addTokenRecord(b *batch, partition *cluster.Partition, now time.Time, opsLimit int) {
	due := !partition.TokenRaiseBy.IsZero() && !partition.TokenRaiseBy.After(now)
	if !due || b.raisesTokens || len(b.txn.Then) >= opsLimit || partition.TokenRaisedAt > partition.TokenRecord.Revision {
		return
	}
	b.put(storage.TokenKey(partition.Index), partition.TokenRecord.Revision, storage.Token{LeaseRevision: partition.LeaseRevision})
	b.raisesTokens = true
}

// addRecords adds the completions of jobs and the run records that are due to be written.
func (c *Committer) addRecords(b *batch, partition *cluster.Partition, now time.Time, opsLimit int) {
	bytes := 0
	for _, job := range c.scheduler.Queue(partition) {
		if job.Completing && c.FinalStates[job.Spec.ID] == "" {
			c.addCompletion(b, partition, job, now, opsLimit)
			continue
		}
		for _, chunk := range job.Chunks {
			due := chunk.Urgent || now.Sub(chunk.DirtySince) > lazyRecordDelay
			if chunk.Dirty && !chunk.Unconfirmed && due && len(b.txn.Then) < opsLimit && bytes <= batchBytesLimit {
				bytes += c.addChunk(b, partition, job, chunk)
			}
		}
	}
}

// addChunk adds the run record of a chunk, or the deletion of the record if the job has ended and
// the chunk has no live attempt. It returns the size that it adds to the batch.
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
	startsBefore := len(b.starts)
	for _, live := range run.Live {
		if attempt := job.LiveAttempts[live.Task]; attempt.State == cluster.AttemptReserved {
			b.starts = append(b.starts, attempt)
		}
	}
	if len(b.starts) > startsBefore {
		// A task must not start after its job was cancelled (rule 17).
		b.addCondition(storage.FinalKey(id), 0)
	}
	b.recordChunkWrite(job, chunk, false)
	return recordBytesFactor * bytes
}

// addChunkDeletion adds the deletion of a chunk's run record, if there is one. It returns the size
// that it adds to the batch.
func (c *Committer) addChunkDeletion(b *batch, key string, job *cluster.Job, chunk *cluster.RunChunk) (bytes int) {
	if chunk.Revision == 0 {
		c.dropChunk(job, chunk)
		return 0
	}
	b.delete(key, chunk.Revision)
	b.recordChunkWrite(job, chunk, true)
	return deletionBytes
}

// dropChunk removes a chunk without a run record from an ended job.
func (c *Committer) dropChunk(job *cluster.Job, chunk *cluster.RunChunk) {
	chunk.Dirty = false
	for _, attempt := range chunk.Exited {
		attempt.State = cluster.AttemptReleased
	}
	chunk.Exited = nil
	delete(job.Chunks, chunk.Index)
	c.jobs.DropIfReleased(job)
}

// runRecordWithinLimit returns the run record of a chunk, and whether its size is within the state
// store's limit on values. The record may be too large because the limit was higher before, or
// because the store accepts less than it announced. In that case, attempts that are only reserved
// are released; if that is not enough, the record is not written until enough tasks of the chunk
// have ended.
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

// unreserveChunk releases the reserved attempts of a chunk, which are in no run record yet.
func (c *Committer) unreserveChunk(job *cluster.Job, chunk *cluster.RunChunk) {
	now := time.Now()
	for _, attempt := range job.Attempts() {
		if attempt.State == cluster.AttemptReserved && attempt.TaskIndex/storage.ChunkTasks == chunk.Index {
			c.agents.ReleaseAttempt(attempt, "its run record exceeds the value limit", now)
		}
	}
}

// addCompletion adds the final record of a completed job, and the deletion of as many of its run
// records as fit into the batch.
func (c *Committer) addCompletion(b *batch, partition *cluster.Partition, job *cluster.Job, now time.Time, opsLimit int) {
	if len(b.txn.Then) >= opsLimit {
		return
	}
	id := job.Spec.ID
	b.put(storage.FinalKey(id), 0, storage.FinalRecord{Status: protocol.StatusDone, AtMS: now.UnixMilli()})
	b.completions = append(b.completions, job)
	for _, chunk := range job.Chunks {
		if chunk.Unconfirmed || len(b.txn.Then) >= opsLimit {
			continue
		}
		if chunk.Revision != 0 {
			b.delete(storage.RunKey(partition.Index, id, chunk.Index), chunk.Revision)
		}
		b.recordChunkWrite(job, chunk, true)
	}
}
