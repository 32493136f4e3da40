// Package commit writes the run records and final states of the partitions that this
// controller leads, in batches of compare-and-swap transactions, one at a time for each
// partition. Invariant: every transaction is conditional on the partition's lease and on the
// revision of each key that it changes; one without an answer is read back before the next.
package commit

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/jobs"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

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

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, store *storage.Store, log *slog.Logger) *Committer {
	return &Committer{State: state, loop: loop, store: store, log: log}
}

// Connect gives it its collaborators, before the loop starts.
func (co *Committer) Connect(agents Agents, jobs Jobs, leases Leases, scheduler Scheduler) {
	co.agents, co.jobs, co.leases, co.scheduler = agents, jobs, leases, scheduler
}

// Observe makes it measure itself, before the loop starts.
func (co *Committer) Observe(m *telemetry.Metrics) { co.metrics = m }

// lazyRecordDelay is how long a record that no start and no user waits for may
// gather further changes before it is written.
const lazyRecordDelay = 2 * time.Second

// commitBatch is one transaction of a part's owner and what it stands for.
type commitBatch struct {
	txn         protocol.Transaction
	chunks      []batchChunk
	completions []*cluster.Job
	tokenRaises []*cluster.Machine
	starts      []*cluster.Attempt
	// cancellations are the jobs that the batch withdraws; it then holds nothing else.
	cancellations []*cluster.Job
}

type batchChunk struct {
	job        *cluster.Job
	chunk      *cluster.RunChunk
	generation uint64
	exited     []*cluster.Attempt
	deleted    bool
}

// CommitLoop writes a part's records, one transaction at a time.
func (co *Committer) CommitLoop(p *cluster.Partition) {
	tries := co.loop.Tries("commit "+strconv.Itoa(p.Index), commitBackoff)
	for {
		select {
		case <-p.Wakeup:
		case <-co.loop.Context().Done():
			return
		}
		for {
			var b *commitBatch
			var unsure []batchChunk
			co.loop.Do(func() {
				if unsure = co.unconfirmedChunks(p); len(unsure) == 0 {
					b = co.prepareBatch(p, time.Now())
				}
				p.Committing = b != nil
			})
			if len(unsure) > 0 && !co.rereadChunks(p, unsure) && !co.loop.Sleep(tries.Failed()) {
				return
			}
			if b == nil {
				break
			}
			ctx, cancel := context.WithTimeout(co.loop.Context(), 10*time.Second)
			commit := co.store.Commit
			if len(b.cancellations) > 0 {
				commit = co.store.CommitAhead
			}
			begun := time.Now()
			rev, err := commit(ctx, &b.txn)
			cancel()
			co.metrics.RecordWait(telemetry.Commit, time.Since(begun), time.Now())
			co.loop.Do(func() { co.batchCommitted(p, b, rev, err) })
			if err == nil {
				tries.Succeeded()
			} else if !co.loop.Sleep(tries.Failed()) {
				return
			}
		}
	}
}

// unconfirmedChunks lists chunks whose last write went unanswered.
func (co *Committer) unconfirmedChunks(p *cluster.Partition) []batchChunk {
	var list []batchChunk
	if !p.Held || !p.Ready || !p.Unconfirmed {
		return nil
	}
	for _, j := range co.Jobs {
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
func (co *Committer) rereadChunks(p *cluster.Partition, list []batchChunk) bool {
	for _, b := range list {
		id := b.job.Spec.ID
		item, err := co.store.Get(co.loop.Context(), storage.RunKey(p.Index, id, b.chunk.Index))
		if err != nil && !errors.Is(err, storage.ErrNotFound) {
			return false
		}
		final, ferr := co.store.Get(co.loop.Context(), storage.FinalKey(id))
		if ferr != nil && !errors.Is(ferr, storage.ErrNotFound) {
			return false
		}
		co.loop.Do(func() {
			if co.Jobs[id] != b.job || !b.job.Loaded || !p.Held {
				return // the part was lost meanwhile
			}
			b.chunk.Unconfirmed = false
			b.chunk.Revision = 0
			if err == nil {
				b.chunk.Revision = item.Version
			}
			b.job.MarkDirty(b.chunk.Index*storage.ChunkTasks, true, time.Now())
			if ferr == nil {
				co.jobs.ApplyFinalRecord(id, final.Value)
			}
		})
	}
	return true
}

// prepareBatch places waiting tasks and gathers what should be written now.
func (co *Committer) prepareBatch(p *cluster.Partition, now time.Time) *commitBatch {
	if !p.Held || !p.Ready || co.Draining || now.Sub(co.LeaseRenewedAt) > co.Operator.LeaseTTL+10*time.Second {
		return nil
	}
	b := &commitBatch{}
	b.txn.If = append(b.txn.If, protocol.Condition{Key: storage.LeaseKey(p.Index), Version: p.LeaseRevision})
	ops := co.store.TxnOps()
	// Users were told already that what these jobs need is withdrawn (21, 22).
	for _, j := range co.Dependencies.DoomedJobs {
		if len(b.txn.Then) == ops {
			break
		}
		if j.Partition == p.Index {
			jobs.AddCancellation(&b.txn, j.Spec.ID, now)
			b.cancellations = append(b.cancellations, j)
		}
	}
	if len(b.cancellations) > 0 {
		return b
	}
	due := co.RaiseTokens(b, co.agents.TokensDue(p, now), now, ops/2)
	co.scheduler.Place(p, now)
	co.scheduler.Preempt(p, now)
	size := 0
	for _, j := range co.scheduler.Queue(p) {
		if j.Completing && co.FinalStates[j.Spec.ID] == "" {
			co.addCompletion(b, p, j, now, ops)
			continue
		}
		for _, ch := range j.Chunks {
			due := ch.Urgent || now.Sub(ch.DirtySince) > lazyRecordDelay
			if !ch.Dirty || ch.Unconfirmed || !due || len(b.txn.Then) >= ops || size > 40<<10 {
				continue
			}
			size += co.addChunk(b, p, j, ch)
		}
	}
	co.RaiseTokens(b, due, now, ops)
	if len(b.txn.Then) == 0 {
		return nil
	}
	return b
}

func (co *Committer) addChunk(b *commitBatch, p *cluster.Partition, j *cluster.Job, ch *cluster.RunChunk) int {
	id := j.Spec.ID
	key := storage.RunKey(p.Index, id, ch.Index)
	run := j.RunRecord(ch)
	if limit := co.store.ValueBytes(); run.Size() > limit {
		// Written under higher limits, or the service takes less than it said.
		// What only waits for the record can wait elsewhere; the rest is written
		// when enough of its tasks have ended.
		co.unreserveChunk(j, ch)
		if run = j.RunRecord(ch); run.Size() > limit {
			if !ch.Oversized {
				co.log.Error("run record is too large for now", "job", id, "chunk", ch.Index, "size", run.Size(), "limit", limit)
			}
			ch.Oversized = true
			return 0
		}
	}
	ch.Oversized = false
	bc := batchChunk{job: j, chunk: ch, generation: ch.Generation, exited: ch.Exited}
	ch.Exited = nil
	if co.FinalStates[id] != "" && len(run.Live) == 0 {
		bc.deleted = true
		if ch.Revision == 0 {
			// Nothing on record, nothing to remove.
			ch.Dirty = false
			for _, a := range bc.exited {
				a.State = cluster.AttemptReleased
			}
			delete(j.Chunks, ch.Index)
			co.jobs.DropIfReleased(j)
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
		if a := j.LiveAttempts[r.Task]; a.State == cluster.AttemptReserved {
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
func (co *Committer) unreserveChunk(j *cluster.Job, ch *cluster.RunChunk) {
	now := time.Now()
	for _, a := range j.Attempts() {
		if a.State == cluster.AttemptReserved && a.TaskIndex/storage.ChunkTasks == ch.Index {
			co.agents.ReleaseAttempt(a, "no room in the record", now)
		}
	}
}

// addCompletion makes a job done and removes its run records if they fit in.
func (co *Committer) addCompletion(b *commitBatch, p *cluster.Partition, j *cluster.Job, now time.Time, ops int) {
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
func (co *Committer) batchCommitted(p *cluster.Partition, b *commitBatch, rev uint64, err error) {
	now := time.Now()
	p.Committing = false
	if err != nil {
		co.batchFailed(p, b, err)
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
			a.State = cluster.AttemptReleased
		}
		if bc.deleted {
			ch.Revision = 0
			delete(bc.job.Chunks, ch.Index)
		}
	}
	targets := map[*cluster.Machine]bool{}
	for _, a := range b.starts {
		if a.State == cluster.AttemptReserved {
			a.State, a.CommittedAt = cluster.AttemptCommitted, now
			targets[a.Machine] = true
		}
	}
	for m := range targets {
		co.agents.SendCommands(m)
	}
	for _, m := range b.tokenRaises {
		if co.Machines[m.Name] == m {
			co.agents.MachineRecorded(m.Name, m.Record, rev, now)
		}
	}
	for _, j := range b.cancellations {
		co.jobs.SetFinal(j.Spec.ID, protocol.StatusCancelled, now)
	}
	for _, j := range b.completions {
		co.metrics.RecordWait(telemetry.Finish, now.Sub(j.SubmittedAt), now)
		if due, ok := j.Deadline(); ok && now.After(due) {
			co.metrics.Count(telemetry.JobLate, 1)
		}
		co.log.Info("job done", "job", j.Spec.ID, "class", j.Spec.Class, "tasks", j.Spec.Tasks, "after", now.Sub(j.SubmittedAt),
			"due_s", j.Spec.DeadlineS)
		co.jobs.SetFinal(j.Spec.ID, protocol.StatusDone, now)
	}
	for _, bc := range b.chunks {
		co.jobs.DropIfReleased(bc.job)
	}
}

func (co *Committer) batchFailed(p *cluster.Partition, b *commitBatch, err error) {
	var conflict *storage.Conflict
	unknown := errors.Is(err, storage.ErrUnknown)
	for _, bc := range b.chunks {
		bc.chunk.Exited = append(bc.exited, bc.chunk.Exited...)
		bc.chunk.Dirty, bc.job.RecordsChanged = true, true
		bc.chunk.Unconfirmed = bc.chunk.Unconfirmed || unknown
		p.Unconfirmed = p.Unconfirmed || unknown
	}
	if unknown {
		co.metrics.Count(telemetry.CommitUnanswered, 1)
		co.log.Info("commit unanswered", "part", p.Index, "reason", err)
		for _, m := range b.tokenRaises {
			// The watch or the next report shows whether it was applied.
			m.RaiseTokenBy(time.Now())
		}
		return
	}
	if !errors.As(err, &conflict) {
		co.log.Debug("commit refused", "part", p.Index, "reason", err)
		return
	}
	co.metrics.Count(telemetry.CommitConflict, 1)
	for _, key := range conflict.Failed {
		switch kind, id := storage.ParseKey(key); kind {
		case storage.KindLease:
			if b.txn.If[0].Version == p.LeaseRevision {
				co.leases.LosePartition(p, "a commit found the claim gone")
			}
		case storage.KindFinal:
			co.loop.Go(func() { co.readFinal(id) })
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
func (co *Committer) readFinal(id string) {
	item, err := co.store.Get(co.loop.Context(), storage.FinalKey(id))
	if err != nil {
		return
	}
	co.loop.Do(func() { co.jobs.ApplyFinalRecord(id, item.Value) })
}
