package coordination

import (
	"context"
	"errors"
	"slices"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/coordination/procon"
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
	bumps  []*machine
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
			})
			if len(unsure) > 0 && !c.reread(p, unsure) && !c.sleep(200*time.Millisecond) {
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
			rev, err := commit(ctx, &b.txn)
			cancel()
			c.do(func() { c.committed(p, b, rev, err) })
			if err != nil && !c.sleep(150*time.Millisecond) {
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
	if !p.mine || !p.ready || now.Sub(c.renewed) > c.op.ClaimTTL+10*time.Second {
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
	for _, m := range c.machines {
		if m.wantBump && m.rec.Part == p.index && !m.sending && len(b.txn.Then) < ops {
			// Writing the record again raises the machine's token.
			key := bookkeeping.MachineKey(m.name)
			b.txn.If = append(b.txn.If, protocol.Condition{Key: key, Version: m.version})
			b.txn.Then = append(b.txn.Then, protocol.Change{Put: key, Value: bookkeeping.Encode(m.rec)})
			b.bumps = append(b.bumps, m)
		}
	}
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
	for _, m := range b.bumps {
		if c.machines[m.name] == m {
			c.machineRecorded(m.name, m.rec, rev, now)
		}
	}
	for _, j := range b.doomed {
		c.setFinal(j.spec.ID, protocol.StatusWithdrawn)
	}
	for _, j := range b.finals {
		c.log.Info("job done", "job", j.spec.ID, "class", j.spec.Class, "tasks", j.spec.Tasks, "after", now.Sub(j.received),
			"due_s", j.spec.DeadlineS)
		c.setFinal(j.spec.ID, protocol.StatusDone)
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
		bc.chunk.dirty = true
		bc.chunk.unsure = bc.chunk.unsure || unknown
		p.doubt = p.doubt || unknown
	}
	if unknown {
		c.log.Info("commit unanswered", "part", p.index, "reason", err)
		for _, m := range b.bumps {
			// The watch or the next report shows whether it was applied.
			m.wantBump = true
		}
		return
	}
	if !errors.As(err, &conflict) {
		c.log.Debug("commit refused", "part", p.index, "reason", err)
		return
	}
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

// withinLimit says whether one more task keeps the team within its limit.
func (c *Controller) withinLimit(p *part, j *job) bool {
	t := c.set.Params.Teams[j.team]
	u := p.usage[j.team]
	return (t.CPUsMax <= 0 || u.cpus+j.spec.CPUs <= t.CPUsMax+fit.Epsilon) &&
		(t.GPUsMax <= 0 || u.gpus+j.spec.GPUs <= t.GPUsMax+fit.Epsilon)
}

// zonesOpen says in which zones another task of the job may start, given where
// its other tasks are.
func (c *Controller) zoneOpen(j *job, zone string) bool {
	s := j.spec
	if s.Zone != "" && s.Zone != zone {
		return false
	}
	if !s.OneZone && !s.Spread {
		return true
	}
	in := 0
	for _, a := range j.live {
		if a.machine.rec.Zone == zone {
			in++
		} else if s.OneZone {
			return false
		}
	}
	return !s.Spread || in < zoneCeiling(s.Tasks)
}

// round is one round of placement over a part: its usable machines, and what
// was worked out once for all tasks that are placed in it.
type round struct {
	part   *part
	now    time.Time
	scarce fit.Scarcity
	free   []*machine
	// full are the shapes of tasks that found no room: room only shrinks.
	full map[shape]bool
}

// shape is what decides where a task fits, for jobs without wishes that depend
// on their other tasks.
type shape struct {
	cpus, gpus, mem float64
	zone            string
	spot            bool
	types           uint64
}

// place gives waiting tasks to machines by least contention.
func (c *Controller) place(p *part, now time.Time) {
	r := &round{part: p, now: now, scarce: c.scarcity(now), full: map[shape]bool{}}
	for _, m := range c.machines {
		if m.rec.Part == p.index && c.usable(m, now) {
			r.free = append(r.free, m)
		}
	}
	if len(r.free) == 0 {
		return
	}
	for _, j := range c.inOrder(p) {
		if len(j.queue) == 0 || j.withdrawn || c.finals[j.spec.ID] != "" || now.Before(j.holdTill) {
			continue
		}
		if j.spec.Gang {
			c.placeGang(r, j)
			continue
		}
		c.placeTasks(r, j)
	}
}

// placeTasks places waiting tasks of a job while there is room.
func (c *Controller) placeTasks(r *round, j *job) {
	s := j.spec
	sh := shape{s.CPUs, s.GPUs, s.MemGB, s.Zone, s.Spot, c.typeSet(s)}
	plain := !s.OneZone && !s.Spread && len(j.failedOn) == 0
	if plain && r.full[sh] {
		return
	}
	placed := 0
	for _, task := range j.queue {
		if !c.withinLimit(r.part, j) {
			break
		}
		m := c.choose(r, j)
		if m == nil {
			r.full[sh] = r.full[sh] || plain
			break
		}
		number := j.chunk(task).last + 1
		if !c.recordable(j, task, number, m) {
			break
		}
		placed++
		c.reserve(r, j, task, number, m)
	}
	j.queue = j.queue[placed:]
}

// placeGang reserves room for all tasks of a gang, or for none: half a gang
// would only wait for the rest on machines that are paid for.
func (c *Controller) placeGang(r *round, j *job) {
	if len(j.live) > 0 {
		return // remnants of the last try are still on their machines
	}
	before := make(map[int]chunk, len(j.chunks))
	// All share one attempt number, by which workers know their mates.
	number := uint64(1)
	for i, ch := range j.chunks {
		before[i] = *ch
		number = max(number, ch.last+1)
	}
	for _, task := range j.queue {
		var m *machine
		if c.withinLimit(r.part, j) {
			m = c.choose(r, j)
		}
		if m != nil && c.recordable(j, task, number, m) {
			c.reserve(r, j, task, number, m)
			continue
		}
		for _, a := range j.live {
			delete(a.machine.attempts, attemptKey(a.wire(), a.number))
			a.machine.resources()
			r.part.usage[j.team].add(j.spec, -1)
		}
		clear(j.live)
		for i, ch := range j.chunks {
			old, existed := before[i]
			if !existed {
				delete(j.chunks, i)
				continue
			}
			ch.dirty, ch.urgent, ch.last = old.dirty, old.urgent, old.last
		}
		// The room that was given back is there for others again.
		clear(r.full)
		return
	}
	j.queue = nil
}

func (c *Controller) reserve(r *round, j *job, task int, number uint64, m *machine) {
	ch := j.chunk(task)
	ch.last = max(ch.last, number)
	a := &attempt{job: j, task: task, number: number, machine: m, session: m.session}
	j.live[task] = a
	m.attempts[attemptKey(a.wire(), a.number)] = a
	r.part.usage[j.team].add(j.spec, 1)
	m.resources()
	m.idleSince = r.now
	j.touch(task, true, r.now)
}

// choose picks the machine of least contention among those that fit. Among
// equal ones an image at hand goes first, then the fuller one, so that idle
// machines can be returned.
func (c *Controller) choose(r *round, j *job) *machine {
	var fits []*machine
	need, wish := needOf(j.spec), wishOf(j.spec)
	for _, m := range r.free {
		if m.free().Holds(need) && wish.Allows(kindOf(m.rec)) && c.zoneOpen(j, m.rec.Zone) && !j.failedOn[m.name] {
			fits = append(fits, m)
		}
	}
	if len(fits) == 0 {
		return nil
	}
	// Three exceptions of docs/design.md. Types that waiting work of fewer choices
	// needs are left to it while another has room; the dearer ordinary machines
	// are left alone while a spot one has room, so that they empty and can be
	// returned; and where a fetch is long, machines that have the image go first,
	// since fetches at a time share their rate.
	breadth := c.breadth(j.spec)
	fits = prefer(fits, func(m *machine) bool { return !r.scarce.Contested(m.rec.Type, breadth) })
	fits = prefer(fits, func(m *machine) bool { return m.rec.Spot })
	long := longFetch * c.estimate(j.spec)
	if len(j.spec.Dependencies) > 0 || !j.neededBy.IsZero() {
		long = 0 // in a pipeline, fetches add up
	}
	fits = prefer(fits, func(m *machine) bool {
		return j.spec.ImageGB <= long*m.typ.FetchGBPerS || m.hasImage(j.spec.Image)
	})
	candidates := make([]*procon.Machine, len(fits))
	for i, m := range fits {
		candidates[i] = c.predicted(m, r.now)
	}
	best := c.horizon().Choose(candidates, c.prediction(j.spec, 0), func(a, b int) bool {
		return fits[a].before(fits[b], j.spec.Image)
	})
	return fits[best]
}

// predicted is what placement compares of a machine, kept until its attempts
// change or the prediction is old: not every task that is placed must predict
// every other one.
func (c *Controller) predicted(m *machine, now time.Time) *procon.Machine {
	if m.predicted == nil || now.Sub(m.predictedAt) >= orderFor {
		m.predicted = &procon.Machine{Tasks: c.predict(m, now), Limit: c.op.LimitShare * m.typ.CPUs}
		m.predictedAt = now
	}
	return m.predicted
}

// longFetch is the share of a run from which on fetching its image counts as
// long.
const longFetch = 0.15

// before breaks ties between machines of equal contention.
func (m *machine) before(other *machine, image string) bool {
	if mine, theirs := m.hasImage(image), other.hasImage(image); mine != theirs {
		return mine
	}
	if mine, theirs := m.typ.CPUs-m.used.CPUs, other.typ.CPUs-other.used.CPUs; mine != theirs {
		return mine < theirs
	}
	return m.name < other.name
}

// hasImage says whether a machine has an image or is fetching it already.
func (m *machine) hasImage(image string) bool {
	if _, ok := m.images[image]; ok {
		return true
	}
	for _, a := range m.attempts {
		if a.live() && a.job.spec.Image == image {
			return true
		}
	}
	return false
}

// prefer keeps the machines that meet a wish, or all if none does.
func prefer(list []*machine, wish func(*machine) bool) []*machine {
	if !slices.ContainsFunc(list, wish) {
		return list
	}
	return slices.DeleteFunc(list, func(m *machine) bool { return !wish(m) })
}

// scarcity looks over all unfinished jobs, those of other parts too: machines
// move between parts. It is kept for a moment, like the order of jobs.
func (c *Controller) scarcity(now time.Time) fit.Scarcity {
	if c.scarce != nil && now.Sub(c.scarceAt) < orderFor {
		return c.scarce
	}
	s := fit.Scarcity{}
	for id, j := range c.jobs {
		if j.withdrawn || j.blocked || c.finals[id] != "" || j.owned && len(j.queue) == 0 {
			continue
		}
		n := c.breadth(j.spec)
		for i := range c.catalog {
			if t := &c.catalog[i]; fit.Offered(wishOf(j.spec), needOf(j.spec), t) {
				s.Needs(t.Name, n)
			}
		}
	}
	c.scarce, c.scarceAt = s, now
	return s
}

// breadth is on how many machine types a task could run.
func (c *Controller) breadth(s *protocol.JobSpec) int { return fit.Breadth(c.typeSet(s)) }

func (c *Controller) horizon() procon.Horizon {
	return procon.Horizon{MaxS: 3600, OverdueS: c.reportS.Seconds()}
}

// predict lists a machine's running tasks as placement sees them.
func (c *Controller) predict(m *machine, now time.Time) []procon.Task {
	var tasks []procon.Task
	for _, a := range m.attempts {
		if a.live() {
			elapsed := 0.0
			if !a.startedAt.IsZero() {
				elapsed = now.Sub(a.startedAt).Seconds()
			}
			tasks = append(tasks, c.prediction(a.job.spec, elapsed))
		}
	}
	return tasks
}

func (c *Controller) prediction(s *protocol.JobSpec, elapsed float64) procon.Task {
	return procon.Task{ElapsedS: elapsed, EstimateS: c.estimate(s), Use: s.CPUs, Service: s.Standing}
}

// remaining predicts how long an attempt still runs.
func (c *Controller) remaining(a *attempt, now time.Time) float64 {
	if a.job.spec.Standing {
		return c.horizon().MaxS
	}
	elapsed := 0.0
	if !a.startedAt.IsZero() {
		elapsed = now.Sub(a.startedAt).Seconds()
	}
	return max(c.estimate(a.job.spec)-elapsed, c.reportS.Seconds())
}

const (
	slowFactor = 3 // how much longer than its like a task takes on a slow machine
	slowMost   = 2 // so many such tasks, and the machine is set aside
	slowLike   = 3 // so many tasks of the job must be done elsewhere, to compare
)

// compare judges a machine by a task's run time against those of the same
// job on other machines: their estimates share one error, so the estimate says
// nothing. A false alarm costs little, since work that runs goes on; only no
// new work comes, and the machine is returned once idle.
func (c *Controller) compare(a *attempt, ran float64) {
	if a.slow || a.inherited {
		return
	}
	var sum float64
	n := 0
	for name, times := range a.job.ranS {
		if name != a.machine.name {
			for _, t := range times {
				sum += t
				n++
			}
		}
	}
	if n < slowLike || ran < slowFactor*sum/float64(n) {
		return
	}
	a.slow = true
	m := a.machine
	m.slowTasks++
	if m.slowTasks >= slowMost && !m.faulty {
		m.faulty = true
		c.log.Info("machine set aside", "machine", m.name, "reason", "tasks take far longer than elsewhere")
	}
}

// classBias is how run times of a class compare with their estimates.
type classBias struct {
	ratio float64
	count int
}

// learn takes in a completed task. The ratio follows slowly, since single
// estimates are often wrong by half.
func (c *Controller) learn(class string, ran, estimate float64) {
	if estimate <= 0 || ran <= 0 {
		return
	}
	b := c.bias[class]
	if b == nil {
		if len(c.bias) > 1000 {
			return
		}
		b = &classBias{ratio: 1}
		c.bias[class] = b
	}
	b.count++
	weight := max(0.02, 1/float64(b.count+5))
	b.ratio += weight * (min(4, max(0.25, ran/estimate)) - b.ratio)
}

// estimate is the owner's estimate, corrected by what the class has shown.
func (c *Controller) estimate(s *protocol.JobSpec) float64 {
	if b := c.bias[s.Class]; b != nil {
		return s.EstimateS * b.ratio
	}
	return s.EstimateS
}
