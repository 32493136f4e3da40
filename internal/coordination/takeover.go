package coordination

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/coordination/standby"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
)

// wantsPart says whether to claim a part now: its own at once, an orphan after
// a pause that is longer the more parts are held already.
func (f *following) wantsPart(p *part, now time.Time) bool {
	c := f.c
	if !c.synced || p.mine || c.leaving || now.Sub(c.resigned) < 10*time.Second && !c.resigned.IsZero() {
		return false
	}
	if p.version != 0 {
		// A former life's, or one whose release is not on record yet.
		return p.owner == c.set.Label && now.Sub(p.claimed) > releaseTime
	}
	if f.standsBy(p.last, f.namedStandby(p), now) {
		return true
	}
	if f.heir(p, now) && now.Sub(p.orphan) < heirFirst {
		return false
	}
	if p.index == c.self {
		return true
	}
	held := 0
	for _, q := range c.parts {
		if q.mine {
			held++
		}
	}
	pause := time.Duration(held) * 400 * time.Millisecond
	if now.Sub(c.started) < 5*time.Second {
		pause += 2500 * time.Millisecond
	}
	return now.Sub(p.orphan) >= pause
}

// heirFirst is how long others leave a part to the standby that has a copy of it.
const heirFirst = 600 * time.Millisecond

func (f *following) wantsLead(now time.Time) bool {
	c := f.c
	l := &c.leader
	if !c.synced || l.mine || c.leaving || now.Sub(c.resigned) < 10*time.Second && !c.resigned.IsZero() {
		return false
	}
	if l.version != 0 {
		return l.owner == c.set.Label
	}
	return f.standsBy(l.last, "", now) || now.Sub(l.orphan) >= time.Duration(c.self)*400*time.Millisecond
}

// homeOf is the controller whose own a part is and to which it goes back now that it is
// there again; empty: it stays. That is done only where it evens the work out.
func (f *following) homeOf(p *part, now time.Time) string {
	c := f.c
	if !p.mine || !p.ready || !p.loaded || p.index == c.self || p.index >= len(c.labels) || now.Sub(p.claimed) < settleIn {
		return ""
	}
	label := c.labels[p.index]
	home := c.peers[label]
	if home == nil || !home.recent(now) || home.summary.Leaving || now.Sub(home.since) < settleIn {
		return ""
	}
	mine, theirs := 0, 0
	for _, q := range c.parts {
		switch {
		case q.loaded && q.mine:
			mine++
		case q.loaded && q.owner == label:
			theirs++
		}
	}
	if mine-theirs < 2 {
		return ""
	}
	return label
}

// warmUp is how long a part that goes back waits for its home to have a copy of it.
const warmUp = 10 * time.Second

// handsBack says whether to give a part up to its home now.
func (f *following) handsBack(p *part, now time.Time) bool {
	c := f.c
	home := f.homeOf(p, now)
	if home == "" {
		p.homing = time.Time{}
		return false
	}
	if p.homing.IsZero() {
		p.homing = now
	}
	return !c.peers[home].summary.Copies || c.peers[home].followedBy(p.index) || now.Sub(p.homing) > warmUp
}

// rebuild reads what the part's former owner recorded. Everything that owner
// still sends fails from now on, since it is conditional on the old claim.
func (f *following) rebuild(p *part, version uint64) {
	c := f.c
	current := func() bool {
		ok := false
		return c.do(func() { ok = p.mine && p.version == version }) && ok
	}
	tries := c.tries("rebuild "+strconv.Itoa(p.index), rebuildPause)
	for current() {
		if err := f.tryRebuild(p, version); err == nil {
			return
		} else {
			c.log.Info("rebuilding failed", "part", p.index, "reason", err)
		}
		if !c.sleep(tries.Failed()) {
			return
		}
	}
}

func (f *following) tryRebuild(p *part, version uint64) error {
	c := f.c
	fo, warm, err := f.whole(p, version)
	if err != nil {
		return err
	}
	specs := map[string]*protocol.Item{}
	var lacks, missing []string
	told := true
	for begun := time.Now(); ; {
		c.do(func() {
			if lacks, missing = nil, nil; !p.mine || p.version != version {
				return // lost meanwhile: nothing to wait for
			}
			// Asked in the same turn as the rest: a job that ends meanwhile is not known
			// any more, yet its attempts hold their team's quota until they are over.
			if missing = fo.shadow.unknown(c.jobs, specs); len(missing) > 0 {
				return
			}
			if lacks = f.lacks(p, version, fo.copy.At()); len(lacks) > 0 {
				return
			}
			f.install(p, fo, specs, warm)
			told = fo.tale.have != 0
		})
		if len(missing) > 0 {
			for _, id := range missing {
				if specs[id], err = c.store.Get(c.ctx, bookkeeping.JobKey(id)); err != nil {
					return err
				}
			}
			continue
		}
		if len(lacks) == 0 {
			if !told {
				f.recallTale(p, version)
			}
			return nil
		}
		if time.Since(begun) > catchUp || !c.sleep(catchUpPause) {
			return fmt.Errorf("not to be decided on yet: missing %s", strings.Join(lacks, ", "))
		}
	}
}

// lacks says what is still missing before the first decision on a part whose run records
// are known up to a revision. Machines and ends of jobs come with the watch, in order.
// Quotas are added up as the records are taken in.
func (f *following) lacks(p *part, claim, runs uint64) []string {
	c := f.c
	return standby.Check{Claim: claim, Newest: p.version, Renewed: time.Since(c.renewed), TTL: c.op.ClaimTTL,
		Runs: runs, Machines: c.followed, Finals: c.followed, Counted: true}.Missing()
}

// catchUp is how long a new owner waits for what is missing before it reads anew.
const (
	catchUp      = 2 * time.Second
	catchUpPause = 10 * time.Millisecond
)

// install takes a part's copy as the state of its jobs and machines. The copy is the
// part's from then on.
func (f *following) install(p *part, fo *follower, specs map[string]*protocol.Item, warm bool) {
	c := f.c
	now := time.Now()
	delete(f.copies, p.index)
	if !p.bare {
		c.clearPart(p)
	}
	p.bare = false
	for id, it := range specs {
		if c.finals[id] == "" {
			c.applyJobRecord(id, it.Value)
		} else if c.jobs[id] == nil {
			// An ended job whose attempts are not all proven over.
			c.takeUp(id, it.Value)
		}
	}
	for name, attempts := range fo.shadow.machines {
		m := c.machines[name]
		if m == nil || m.rec.Part != p.index {
			// The record of a machine goes only after the machine, and a
			// machine moves only when it is empty: these attempts are over.
			continue
		}
		m.attempts = attempts
		for _, a := range attempts {
			a.machine, a.committed = m, now
		}
	}
	for _, m := range c.machines {
		if m.rec.Part == p.index {
			m.predicted, m.used = nil, fit.Amounts{}
		}
	}
	live, bound := 0, 0
	for id, j := range c.jobs {
		if j.part != p.index {
			continue
		}
		if sj := fo.shadow.jobs[id]; sj != nil {
			live += sj.bind(j, now)
			bound++
			p.usage[j.team].Add(needOf(j.spec), float64(len(j.live)))
		} else {
			j.own()
		}
		j.requeueAll()
		if c.finals[id] != "" {
			j.withdrawn, j.withdrawnAt, j.queue = true, c.notices.since(id), nil
		} else if j.doneCount == j.spec.Tasks && !j.spec.Standing {
			j.finishing = true
		}
	}
	if bound < len(fo.shadow.jobs) {
		for id, sj := range fo.shadow.jobs {
			if c.jobs[id] == nil || c.jobs[id].part != p.index {
				c.log.Error("run records of a job that is not known", "job", id, "records", len(sj.runs))
				sj.unbound(id)
			}
		}
	}
	f.recollect(p, &fo.tale, now)
	c.carrying.spread(p, now)
	for _, m := range c.machines {
		if m.rec.Part == p.index {
			// Former owners may have gone on answering until then (8, 12, 34).
			m.answeredBy = c.answeredUntil(p, m)
			m.lastHeard, m.ownedSince = now, now
			c.fence(m)
		}
	}
	for id, j := range c.jobs {
		if j.part == p.index && c.finals[id] != "" {
			for _, a := range j.mates() {
				c.stopAttempt(a, 0, now)
			}
			c.dropIfOver(j)
		}
	}
	p.ready, p.warm, p.order, p.telling, p.homing = true, warm, nil, telling{}, time.Time{}
	p.wake()
	c.metrics.Took(observe.Takeover, now.Sub(p.claimed), now)
	kind := observe.TakeoverCold
	if warm {
		kind = observe.TakeoverWarm
	}
	c.metrics.Count(kind, 1)
	c.log.Info("part ready", "part", p.index, "live", live, "after", now.Sub(p.claimed), "warm", warm)
}

func (j *job) requeueAll() {
	j.queue = j.queue[:0]
	if waiting := j.spec.Tasks - j.doneCount - len(j.live); cap(j.queue) < waiting {
		j.queue = make([]int, 0, waiting)
	}
	for t := range j.spec.Tasks {
		if !j.done[t] && j.live[t] == nil {
			j.queue = append(j.queue, t)
		}
	}
}
