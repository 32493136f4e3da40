package coordination

import (
	"context"
	"errors"
	"strconv"
	"time"

	"micaspindle/internal/telemetry"

	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
)

// lazyRecordDelay is how long a record that no start and no user waits for may
// gather further changes before it is written.
const lazyRecordDelay = 2 * time.Second

// commitBatch is one transaction of a part's owner and what it stands for.
type commitBatch struct {
	txn         protocol.Transaction
	chunks      []batchChunk
	completions []*Job
	tokenRaises []*Machine
	starts      []*Attempt
	// cancellations are the jobs that the batch withdraws; it then holds nothing else.
	cancellations []*Job
}

type batchChunk struct {
	job        *Job
	chunk      *RunChunk
	generation uint64
	exited     []*Attempt
	deleted    bool
}

// CommitLoop writes a part's records, one transaction at a time.
func (c *Controller) CommitLoop(p *Partition) {
	tries := c.loop.Tries("commit "+strconv.Itoa(p.Index), commitBackoff)
	for {
		select {
		case <-p.Wakeup:
		case <-c.loop.Context().Done():
			return
		}
		for {
			var b *commitBatch
			var unsure []batchChunk
			c.loop.Do(func() {
				if unsure = c.unconfirmedChunks(p); len(unsure) == 0 {
					b = c.prepareBatch(p, time.Now())
				}
				p.Committing = b != nil
			})
			if len(unsure) > 0 && !c.rereadChunks(p, unsure) && !c.loop.Sleep(tries.Failed()) {
				return
			}
			if b == nil {
				break
			}
			ctx, cancel := context.WithTimeout(c.loop.Context(), 10*time.Second)
			commit := c.store.Commit
			if len(b.cancellations) > 0 {
				commit = c.store.CommitAhead
			}
			begun := time.Now()
			rev, err := commit(ctx, &b.txn)
			cancel()
			c.metrics.Took(telemetry.Commit, time.Since(begun), time.Now())
			c.loop.Do(func() { c.batchCommitted(p, b, rev, err) })
			if err == nil {
				tries.Succeeded()
			} else if !c.loop.Sleep(tries.Failed()) {
				return
			}
		}
	}
}

// unconfirmedChunks lists chunks whose last write went unanswered.
func (c *Controller) unconfirmedChunks(p *Partition) []batchChunk {
	var list []batchChunk
	if !p.Held || !p.Ready || !p.Unconfirmed {
		return nil
	}
	for _, j := range c.Jobs {
		if j.Partition == p.Index && j.Loaded {
			for _, ch := range j.Chunks {
				if ch.Unconfirmed && len(list) < 8 {
					list = append(list, batchChunk{job: j, chunk: ch})
				}
			}
		}
	}
	p.Unconfirmed = len(list) > 0
	return list
}

// rereadChunks reads keys whose write went unanswered. The stamp seen goes into the
// next write's conditions, so that the late one and the retry exclude each
// other (2).
func (c *Controller) rereadChunks(p *Partition, list []batchChunk) bool {
	for _, b := range list {
		id := b.job.Spec.ID
		item, err := c.store.Get(c.loop.Context(), storage.RunKey(p.Index, id, b.chunk.Index))
		if err != nil && !errors.Is(err, storage.ErrNotFound) {
			return false
		}
		final, ferr := c.store.Get(c.loop.Context(), storage.FinalKey(id))
		if ferr != nil && !errors.Is(ferr, storage.ErrNotFound) {
			return false
		}
		c.loop.Do(func() {
			if c.Jobs[id] != b.job || !b.job.Loaded || !p.Held {
				return // the part was lost meanwhile
			}
			b.chunk.Unconfirmed = false
			b.chunk.Revision = 0
			if err == nil {
				b.chunk.Revision = item.Version
			}
			b.job.MarkDirty(b.chunk.Index*storage.ChunkTasks, true, time.Now())
			if ferr == nil {
				c.ApplyFinalRecord(id, final.Value)
			}
		})
	}
	return true
}

// prepareBatch places waiting tasks and gathers what should be written now.
func (c *Controller) prepareBatch(p *Partition, now time.Time) *commitBatch {
	if !p.Held || !p.Ready || c.Draining || now.Sub(c.LeaseRenewedAt) > c.Operator.ClaimTTL+10*time.Second {
		return nil
	}
	b := &commitBatch{}
	b.txn.If = append(b.txn.If, protocol.Condition{Key: storage.LeaseKey(p.Index), Version: p.LeaseRevision})
	ops := c.store.TxnOps()
	// Users were told already that what these jobs need is withdrawn (21, 22).
	for _, j := range c.Dependencies.DoomedJobs {
		if len(b.txn.Then) == ops {
			break
		}
		if j.Partition == p.Index {
			AddCancellation(&b.txn, j.Spec.ID, now)
			b.cancellations = append(b.cancellations, j)
		}
	}
	if len(b.cancellations) > 0 {
		return b
	}
	due := c.RaiseTokens(b, c.TokensDue(p, now), now, ops/2)
	c.Place(p, now)
	c.Preempt(p, now)
	size := 0
	for _, j := range c.Queue(p) {
		if j.Completing && c.FinalStates[j.Spec.ID] == "" {
			c.addCompletion(b, p, j, now, ops)
			continue
		}
		for _, ch := range j.Chunks {
			due := ch.Urgent || now.Sub(ch.DirtySince) > lazyRecordDelay
			if !ch.Dirty || ch.Unconfirmed || !due || len(b.txn.Then) >= ops || size > 40<<10 {
				continue
			}
			size += c.addChunk(b, p, j, ch)
		}
	}
	c.RaiseTokens(b, due, now, ops)
	if len(b.txn.Then) == 0 {
		return nil
	}
	return b
}

func (c *Controller) addChunk(b *commitBatch, p *Partition, j *Job, ch *RunChunk) int {
	id := j.Spec.ID
	key := storage.RunKey(p.Index, id, ch.Index)
	run := j.RunRecord(ch)
	if limit := c.store.ValueBytes(); run.Size() > limit {
		// Written under higher limits, or the service takes less than it said.
		// What only waits for the record can wait elsewhere; the rest is written
		// when enough of its tasks have ended.
		c.unreserveChunk(j, ch)
		if run = j.RunRecord(ch); run.Size() > limit {
			if !ch.Oversized {
				c.log.Error("run record is too large for now", "job", id, "chunk", ch.Index, "size", run.Size(), "limit", limit)
			}
			ch.Oversized = true
			return 0
		}
	}
	ch.Oversized = false
	bc := batchChunk{job: j, chunk: ch, generation: ch.Generation, exited: ch.Exited}
	ch.Exited = nil
	if c.FinalStates[id] != "" && len(run.Live) == 0 {
		bc.deleted = true
		if ch.Revision == 0 {
			// Nothing on record, nothing to remove.
			ch.Dirty = false
			for _, a := range bc.exited {
				a.State = AttemptReleased
			}
			delete(j.Chunks, ch.Index)
			c.DropIfReleased(j)
			return 0
		}
	}
	b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Version: ch.Revision})
	if bc.deleted {
		b.txn.Then = append(b.txn.Then, protocol.Change{Delete: key})
		b.chunks = append(b.chunks, bc)
		return 100
	}
	value := storage.Encode(run)
	b.txn.Then = append(b.txn.Then, protocol.Change{Put: key, Value: value})
	from := len(b.starts)
	for _, r := range run.Live {
		if a := j.LiveAttempts[r.Task]; a.State == AttemptReserved {
			b.starts = append(b.starts, a)
		}
	}
	if len(b.starts) > from {
		// No start after a withdrawal (17).
		b.txn.If = append(b.txn.If, protocol.Condition{Key: storage.FinalKey(id), Version: 0})
	}
	b.chunks = append(b.chunks, bc)
	return 2 * len(value)
}

// unreserveChunk gives up the attempts of a chunk that are not on record.
func (c *Controller) unreserveChunk(j *Job, ch *RunChunk) {
	now := time.Now()
	for _, a := range j.Attempts() {
		if a.State == AttemptReserved && a.TaskIndex/storage.ChunkTasks == ch.Index {
			c.ReleaseAttempt(a, "no room in the record", now)
		}
	}
}

// HasRecordRoom says whether the record of a chunk has room for one more attempt.
// It adds up what the chunk's tasks take now; as they end, that only falls.
func (c *Controller) HasRecordRoom(j *Job, task int, number uint64, m *Machine) bool {
	size := storage.RunBase + storage.AttemptSize(number, m.Name, m.Epoch)
	index := task / storage.ChunkTasks
	for t := index * storage.ChunkTasks; t < min((index+1)*storage.ChunkTasks, j.Spec.Tasks); t++ {
		if a := j.LiveAttempts[t]; a != nil && a.Live() {
			size += storage.AttemptSize(a.Number, a.Machine.Name, a.Epoch)
		} else if j.TaskDone[t] && (t%storage.ChunkTasks == 0 || !j.TaskDone[t-1]) {
			size += storage.RangeSize
		}
	}
	return size <= c.store.ValueBytes()
}

// addCompletion makes a job done and removes its run records if they fit in.
func (c *Controller) addCompletion(b *commitBatch, p *Partition, j *Job, now time.Time, ops int) {
	if len(b.txn.Then) >= ops {
		return
	}
	id := j.Spec.ID
	key := storage.FinalKey(id)
	b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Version: 0})
	b.txn.Then = append(b.txn.Then, protocol.Change{Put: key,
		Value: storage.Encode(storage.Final{Status: protocol.StatusDone, AtMS: now.UnixMilli()})})
	b.completions = append(b.completions, j)
	for _, ch := range j.Chunks {
		if ch.Unconfirmed || len(b.txn.Then) >= ops {
			continue
		}
		bc := batchChunk{job: j, chunk: ch, generation: ch.Generation, exited: ch.Exited, deleted: true}
		ch.Exited = nil
		if ch.Revision != 0 {
			rk := storage.RunKey(p.Index, id, ch.Index)
			b.txn.If = append(b.txn.If, protocol.Condition{Key: rk, Version: ch.Revision})
			b.txn.Then = append(b.txn.Then, protocol.Change{Delete: rk})
		}
		b.chunks = append(b.chunks, bc)
	}
}

// batchCommitted takes in the outcome of a batch.
func (c *Controller) batchCommitted(p *Partition, b *commitBatch, rev uint64, err error) {
	now := time.Now()
	p.Committing = false
	if err != nil {
		c.batchFailed(p, b, err)
		return
	}
	if !p.Held || b.txn.If[0].Version != p.LeaseRevision {
		return
	}
	for _, bc := range b.chunks {
		ch := bc.chunk
		ch.Revision = rev
		if ch.Generation == bc.generation {
			ch.Dirty, ch.Urgent = false, false
		} else {
			ch.DirtySince = now
		}
		for _, a := range bc.exited {
			a.State = AttemptReleased
		}
		if bc.deleted {
			ch.Revision = 0
			delete(bc.job.Chunks, ch.Index)
		}
	}
	targets := map[*Machine]bool{}
	for _, a := range b.starts {
		if a.State == AttemptReserved {
			a.State, a.CommittedAt = AttemptCommitted, now
			targets[a.Machine] = true
		}
	}
	for m := range targets {
		c.SendCommands(m)
	}
	for _, m := range b.tokenRaises {
		if c.Machines[m.Name] == m {
			c.MachineRecorded(m.Name, m.Record, rev, now)
		}
	}
	for _, j := range b.cancellations {
		c.SetFinal(j.Spec.ID, protocol.StatusWithdrawn, now)
	}
	for _, j := range b.completions {
		c.metrics.Took(telemetry.Finish, now.Sub(j.SubmittedAt), now)
		if due, ok := j.Deadline(); ok && now.After(due) {
			c.metrics.Count(telemetry.Late, 1)
		}
		c.log.Info("job done", "job", j.Spec.ID, "class", j.Spec.Class, "tasks", j.Spec.Tasks, "after", now.Sub(j.SubmittedAt),
			"due_s", j.Spec.DeadlineS)
		c.SetFinal(j.Spec.ID, protocol.StatusDone, now)
	}
	for _, bc := range b.chunks {
		c.DropIfReleased(bc.job)
	}
}

func (c *Controller) batchFailed(p *Partition, b *commitBatch, err error) {
	var conflict *storage.Conflict
	unknown := errors.Is(err, storage.ErrUnknown)
	for _, bc := range b.chunks {
		bc.chunk.Exited = append(bc.exited, bc.chunk.Exited...)
		bc.chunk.Dirty, bc.job.RecordsChanged = true, true
		bc.chunk.Unconfirmed = bc.chunk.Unconfirmed || unknown
		p.Unconfirmed = p.Unconfirmed || unknown
	}
	if unknown {
		c.metrics.Count(telemetry.Unanswered, 1)
		c.log.Info("commit unanswered", "part", p.Index, "reason", err)
		for _, m := range b.tokenRaises {
			// The watch or the next report shows whether it was applied.
			m.RaiseTokenBy(time.Now())
		}
		return
	}
	if !errors.As(err, &conflict) {
		c.log.Debug("commit refused", "part", p.Index, "reason", err)
		return
	}
	c.metrics.Count(telemetry.Conflict, 1)
	for _, key := range conflict.Failed {
		switch kind, id := storage.ParseKey(key); kind {
		case storage.KindLease:
			if b.txn.If[0].Version == p.LeaseRevision {
				c.LosePartition(p, "a commit found the claim gone")
			}
		case storage.KindFinal:
			c.loop.Go(func() { c.readFinal(id) })
		case storage.KindMachine:
			// The watch brings the newer record.
		default:
			for _, bc := range b.chunks {
				if storage.RunKey(p.Index, bc.job.Spec.ID, bc.chunk.Index) == key {
					bc.chunk.Unconfirmed, p.Unconfirmed = true, true
				}
			}
		}
	}
}

// readFinal reads how a job ended, when a commit found that it has.
func (c *Controller) readFinal(id string) {
	item, err := c.store.Get(c.loop.Context(), storage.FinalKey(id))
	if err != nil {
		return
	}
	c.loop.Do(func() { c.ApplyFinalRecord(id, item.Value) })
}
