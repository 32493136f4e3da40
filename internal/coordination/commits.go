package coordination

import (
	"context"
	"errors"
	"micaspindle/internal/observe"
	"strconv"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/protocol"
)

// lazyRecord is how long a record that no start and no user waits for may
// gather further changes before it is written.
const lazyRecord = 2 * time.Second

// batch is one transaction of a part's owner and what it stands for.
type batch struct {
	txn    protocol.Transaction
	chunks []batchChunk
	finals []*job
	raised []*machine
	starts []*attempt
	// doomed are the jobs that the batch withdraws; it then holds nothing else.
	doomed []*job
}

type batchChunk struct {
	job     *job
	chunk   *chunk
	gen     uint64
	ended   []*attempt
	deleted bool
}

// commitDuty writes a part's records, one transaction at a time.
func (c *Controller) commitDuty(p *part) {
	tries := c.tries("commit "+strconv.Itoa(p.index), commitPause)
	for {
		select {
		case <-p.kick:
		case <-c.ctx.Done():
			return
		}
		for {
			var b *batch
			var unsure []batchChunk
			c.do(func() {
				if unsure = c.unsure(p); len(unsure) == 0 {
					b = c.prepare(p, time.Now())
				}
				p.committing = b != nil
			})
			if len(unsure) > 0 && !c.reread(p, unsure) && !c.sleep(tries.Failed()) {
				return
			}
			if b == nil {
				break
			}
			ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
			commit := c.store.Commit
			if len(b.doomed) > 0 {
				commit = c.store.CommitAhead
			}
			begun := time.Now()
			rev, err := commit(ctx, &b.txn)
			cancel()
			c.metrics.Took(observe.Commit, time.Since(begun), time.Now())
			c.do(func() { c.committed(p, b, rev, err) })
			if err == nil {
				tries.Succeeded()
			} else if !c.sleep(tries.Failed()) {
				return
			}
		}
	}
}

// unsure lists chunks whose last write went unanswered.
func (c *Controller) unsure(p *part) []batchChunk {
	var list []batchChunk
	if !p.mine || !p.ready || !p.doubt {
		return nil
	}
	for _, j := range c.jobs {
		if j.part == p.index && j.owned {
			for _, ch := range j.chunks {
				if ch.unsure && len(list) < 8 {
					list = append(list, batchChunk{job: j, chunk: ch})
				}
			}
		}
	}
	p.doubt = len(list) > 0
	return list
}

// reread reads keys whose write went unanswered. The stamp seen goes into the
// next write's conditions, so that the late one and the retry exclude each
// other (2).
func (c *Controller) reread(p *part, list []batchChunk) bool {
	for _, b := range list {
		id := b.job.spec.ID
		item, err := c.store.Get(c.ctx, bookkeeping.RunKey(p.index, id, b.chunk.index))
		if err != nil && !errors.Is(err, bookkeeping.ErrNotFound) {
			return false
		}
		final, ferr := c.store.Get(c.ctx, bookkeeping.FinalKey(id))
		if ferr != nil && !errors.Is(ferr, bookkeeping.ErrNotFound) {
			return false
		}
		c.do(func() {
			if c.jobs[id] != b.job || !b.job.owned || !p.mine {
				return // the part was lost meanwhile
			}
			b.chunk.unsure = false
			b.chunk.version = 0
			if err == nil {
				b.chunk.version = item.Version
			}
			b.job.touch(b.chunk.index*bookkeeping.ChunkTasks, true, time.Now())
			if ferr == nil {
				c.applyFinalRecord(id, final.Value)
			}
		})
	}
	return true
}

// prepare places waiting tasks and gathers what should be written now.
func (c *Controller) prepare(p *part, now time.Time) *batch {
	if !p.mine || !p.ready || c.leaving || now.Sub(c.renewed) > c.op.ClaimTTL+10*time.Second {
		return nil
	}
	b := &batch{}
	b.txn.If = append(b.txn.If, protocol.Condition{Key: bookkeeping.ClaimKey(p.index), Version: p.version})
	ops := c.store.TxnOps()
	// Users were told already that what these jobs need is withdrawn (21, 22).
	for _, j := range c.graph.doomed {
		if len(b.txn.Then) == ops {
			break
		}
		if j.part == p.index {
			withdrawal(&b.txn, j.spec.ID, now)
			b.doomed = append(b.doomed, j)
		}
	}
	if len(b.doomed) > 0 {
		return b
	}
	due := c.raiseTokens(b, c.tokensDue(p, now), now, ops/2)
	c.place(p, now)
	c.preempt(p, now)
	size := 0
	for _, j := range c.inOrder(p) {
		if j.finishing && c.finals[j.spec.ID] == "" {
			c.addFinal(b, p, j, now, ops)
			continue
		}
		for _, ch := range j.chunks {
			due := ch.urgent || now.Sub(ch.since) > lazyRecord
			if !ch.dirty || ch.unsure || !due || len(b.txn.Then) >= ops || size > 40<<10 {
				continue
			}
			size += c.addChunk(b, p, j, ch)
		}
	}
	c.raiseTokens(b, due, now, ops)
	if len(b.txn.Then) == 0 {
		return nil
	}
	return b
}

func (c *Controller) addChunk(b *batch, p *part, j *job, ch *chunk) int {
	id := j.spec.ID
	key := bookkeeping.RunKey(p.index, id, ch.index)
	run := j.record(ch)
	if limit := c.store.ValueBytes(); run.Size() > limit {
		// Written under higher limits, or the service takes less than it said.
		// What only waits for the record can wait elsewhere; the rest is written
		// when enough of its tasks have ended.
		c.unreserve(j, ch)
		if run = j.record(ch); run.Size() > limit {
			if !ch.oversize {
				c.log.Error("run record is too large for now", "job", id, "chunk", ch.index, "size", run.Size(), "limit", limit)
			}
			ch.oversize = true
			return 0
		}
	}
	ch.oversize = false
	bc := batchChunk{job: j, chunk: ch, gen: ch.gen, ended: ch.ended}
	ch.ended = nil
	if c.finals[id] != "" && len(run.Live) == 0 {
		bc.deleted = true
		if ch.version == 0 {
			// Nothing on record, nothing to remove.
			ch.dirty = false
			for _, a := range bc.ended {
				a.state = attemptOver
			}
			delete(j.chunks, ch.index)
			c.dropIfOver(j)
			return 0
		}
	}
	b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Version: ch.version})
	if bc.deleted {
		b.txn.Then = append(b.txn.Then, protocol.Change{Delete: key})
		b.chunks = append(b.chunks, bc)
		return 100
	}
	value := bookkeeping.Encode(run)
	b.txn.Then = append(b.txn.Then, protocol.Change{Put: key, Value: value})
	from := len(b.starts)
	for _, r := range run.Live {
		if a := j.live[r.Task]; a.state == attemptReserved {
			b.starts = append(b.starts, a)
		}
	}
	if len(b.starts) > from {
		// No start after a withdrawal (17).
		b.txn.If = append(b.txn.If, protocol.Condition{Key: bookkeeping.FinalKey(id), Version: 0})
	}
	b.chunks = append(b.chunks, bc)
	return 2 * len(value)
}

// unreserve gives up the attempts of a chunk that are not on record.
func (c *Controller) unreserve(j *job, ch *chunk) {
	now := time.Now()
	for _, a := range j.mates() {
		if a.state == attemptReserved && a.task/bookkeeping.ChunkTasks == ch.index {
			c.attemptGone(a, "no room in the record", now)
		}
	}
}

// recordable says whether the record of a chunk has room for one more attempt.
// It adds up what the chunk's tasks take now; as they end, that only falls.
func (c *Controller) recordable(j *job, task int, number uint64, m *machine) bool {
	size := bookkeeping.RunBase + bookkeeping.AttemptSize(number, m.name, m.session)
	index := task / bookkeeping.ChunkTasks
	for t := index * bookkeeping.ChunkTasks; t < min((index+1)*bookkeeping.ChunkTasks, j.spec.Tasks); t++ {
		if a := j.live[t]; a != nil && a.live() {
			size += bookkeeping.AttemptSize(a.number, a.machine.name, a.session)
		} else if j.done[t] && (t%bookkeeping.ChunkTasks == 0 || !j.done[t-1]) {
			size += bookkeeping.RangeSize
		}
	}
	return size <= c.store.ValueBytes()
}

// addFinal makes a job done and removes its run records if they fit in.
func (c *Controller) addFinal(b *batch, p *part, j *job, now time.Time, ops int) {
	if len(b.txn.Then) >= ops {
		return
	}
	id := j.spec.ID
	key := bookkeeping.FinalKey(id)
	b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Version: 0})
	b.txn.Then = append(b.txn.Then, protocol.Change{Put: key,
		Value: bookkeeping.Encode(bookkeeping.Final{Status: protocol.StatusDone, AtMS: now.UnixMilli()})})
	b.finals = append(b.finals, j)
	for _, ch := range j.chunks {
		if ch.unsure || len(b.txn.Then) >= ops {
			continue
		}
		bc := batchChunk{job: j, chunk: ch, gen: ch.gen, ended: ch.ended, deleted: true}
		ch.ended = nil
		if ch.version != 0 {
			rk := bookkeeping.RunKey(p.index, id, ch.index)
			b.txn.If = append(b.txn.If, protocol.Condition{Key: rk, Version: ch.version})
			b.txn.Then = append(b.txn.Then, protocol.Change{Delete: rk})
		}
		b.chunks = append(b.chunks, bc)
	}
}

// committed takes in the outcome of a batch.
func (c *Controller) committed(p *part, b *batch, rev uint64, err error) {
	now := time.Now()
	p.committing = false
	if err != nil {
		c.notCommitted(p, b, err)
		return
	}
	if !p.mine || b.txn.If[0].Version != p.version {
		return
	}
	for _, bc := range b.chunks {
		ch := bc.chunk
		ch.version = rev
		if ch.gen == bc.gen {
			ch.dirty, ch.urgent = false, false
		} else {
			ch.since = now
		}
		for _, a := range bc.ended {
			a.state = attemptOver
		}
		if bc.deleted {
			ch.version = 0
			delete(bc.job.chunks, ch.index)
		}
	}
	targets := map[*machine]bool{}
	for _, a := range b.starts {
		if a.state == attemptReserved {
			a.state, a.committed = attemptCommitted, now
			targets[a.machine] = true
		}
	}
	for m := range targets {
		c.sendOrders(m)
	}
	for _, m := range b.raised {
		if c.machines[m.name] == m {
			c.machineRecorded(m.name, m.rec, rev, now)
		}
	}
	for _, j := range b.doomed {
		c.setFinal(j.spec.ID, protocol.StatusWithdrawn, now)
	}
	for _, j := range b.finals {
		c.metrics.Took(observe.Finish, now.Sub(j.received), now)
		if due, ok := j.deadline(); ok && now.After(due) {
			c.metrics.Count(observe.Late, 1)
		}
		c.log.Info("job done", "job", j.spec.ID, "class", j.spec.Class, "tasks", j.spec.Tasks, "after", now.Sub(j.received),
			"due_s", j.spec.DeadlineS)
		c.setFinal(j.spec.ID, protocol.StatusDone, now)
	}
	for _, bc := range b.chunks {
		c.dropIfOver(bc.job)
	}
}

func (c *Controller) notCommitted(p *part, b *batch, err error) {
	var conflict *bookkeeping.Conflict
	unknown := errors.Is(err, bookkeeping.ErrUnknown)
	for _, bc := range b.chunks {
		bc.chunk.ended = append(bc.ended, bc.chunk.ended...)
		bc.chunk.dirty, bc.job.touched = true, true
		bc.chunk.unsure = bc.chunk.unsure || unknown
		p.doubt = p.doubt || unknown
	}
	if unknown {
		c.metrics.Count(observe.Unanswered, 1)
		c.log.Info("commit unanswered", "part", p.index, "reason", err)
		for _, m := range b.raised {
			// The watch or the next report shows whether it was applied.
			m.raiseToken(time.Now())
		}
		return
	}
	if !errors.As(err, &conflict) {
		c.log.Debug("commit refused", "part", p.index, "reason", err)
		return
	}
	c.metrics.Count(observe.Conflict, 1)
	for _, key := range conflict.Failed {
		switch kind, id := bookkeeping.ParseKey(key); kind {
		case bookkeeping.KindClaim:
			if b.txn.If[0].Version == p.version {
				c.lose(p, "a commit found the claim gone")
			}
		case bookkeeping.KindFinal:
			c.duty.Go(func() { c.readFinal(id) })
		case bookkeeping.KindMachine:
			// The watch brings the newer record.
		default:
			for _, bc := range b.chunks {
				if bookkeeping.RunKey(p.index, bc.job.spec.ID, bc.chunk.index) == key {
					bc.chunk.unsure, p.doubt = true, true
				}
			}
		}
	}
}

// readFinal reads how a job ended, when a commit found that it has.
func (c *Controller) readFinal(id string) {
	item, err := c.store.Get(c.ctx, bookkeeping.FinalKey(id))
	if err != nil {
		return
	}
	c.do(func() { c.applyFinalRecord(id, item.Value) })
}
