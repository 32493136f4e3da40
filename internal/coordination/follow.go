package coordination

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/standby"
	"micaspindle/internal/observe"
	"micaspindle/internal/overview"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
)

// following is the parts that this controller keeps copies of, as their standby. It
// belongs to the loop; I/O runs in its duty.
type following struct {
	c      *Controller
	copies map[int]*follower
	// differed counts the copies that differed from the store.
	differed int
}

// follower is a copy of one part's run records, with what they come to, ready to be
// taken over.
type follower struct {
	part   int
	copy   standby.Copy[*bookkeeping.Run]
	shadow shadow
	tale   heardTale
	// wanted is when this controller was last named the part's standby, asked when the
	// last answer that was taken in was asked for.
	wanted, asked time.Time
	lag           standby.Lag
	// sampled is when a sample of the store was last compared, cursor where the next one
	// begins.
	sampled time.Time
	cursor  string
	sample  *standby.Sample[*bookkeeping.Run]
}

const (
	// followFor is how long a copy is kept by a controller that is not the standby any
	// more: it may be again.
	followFor = 30 * time.Second
	// followShare is which part of the state service's requests may go into following,
	// for all parts together.
	followShare = 0.04
	followLeast = 500 * time.Millisecond
	// A sample of so many records is compared this often.
	sampleEvery = 5 * time.Second
	sampleSize  = 20
	// behindS is from when on a copy counts as behind.
	behindS = 5
)

// followPace is how often a copy asks what has changed.
func (f *following) followPace() time.Duration {
	c := f.c
	p := c.set.Params
	return max(followLeast, time.Duration(float64(p.Count)/(followShare*p.State.Lower().RPS)*float64(time.Second)))
}

// duty follows what there is to follow until the controller ends.
func (f *following) duty() {
	c := f.c
	pace := f.followPace()
	for c.sleep(pace) {
		var due []*follower
		c.do(func() { due = f.turn(time.Now()) })
		for _, fo := range due {
			f.step(fo)
		}
	}
}

// turn says which copies are to be brought up to date, and begins and drops copies.
func (f *following) turn(now time.Time) (due []*follower) {
	c := f.c
	for _, p := range c.parts {
		fo := f.copies[p.index]
		if !p.mine && c.synced && !c.leaving && f.namedStandby(p) == c.set.Label {
			if fo == nil {
				fo = newFollower(p.index, now)
				f.copies[p.index] = fo
				c.log.Info("following a part", "part", p.index, "owner", p.owner)
			}
			fo.wanted = now
		}
		if fo == nil {
			continue
		}
		if p.mine && p.ready || now.Sub(fo.wanted) > followFor {
			delete(f.copies, p.index)
			continue
		}
		due = append(due, fo)
		if told, behind := fo.lag.Turned(fo.behind(now), behindS); told && behind {
			c.log.Info("the copy of a part is behind", "part", p.index, "seconds", fo.behind(now))
		} else if told {
			c.log.Info("the copy of a part has caught up", "part", p.index)
		}
	}
	return due
}

func newFollower(part int, now time.Time) *follower {
	return &follower{part: part, shadow: newShadow(), wanted: now, asked: now, sampled: now}
}

// behind is for how many seconds nothing of the store was taken in.
func (fo *follower) behind(now time.Time) float64 { return now.Sub(fo.asked).Seconds() }

// step brings one copy up to date.
func (f *following) step(fo *follower) {
	c := f.c
	ctx, cancel := context.WithTimeout(c.ctx, 4*time.Second)
	defer cancel()
	prefix, after := bookkeeping.RunPrefix(fo.part), uint64(0)
	sampling, cursor := false, ""
	c.do(func() {
		after = fo.copy.At()
		sampling, cursor = after != 0 && fo.sample == nil && time.Since(fo.sampled) >= sampleEvery, fo.cursor
	})
	if after == 0 {
		asked := time.Now()
		items, rev, err := c.store.List(ctx, prefix)
		if err != nil {
			c.log.Debug("copy not begun", "part", fo.part, "reason", err)
			return
		}
		f.with(fo, func() { fo.start(c.log.Error, items, rev, asked) })
		return
	}
	if sampling {
		// Before the changes, so that the copy comes to the sample's revision.
		if page, err := c.store.Page(ctx, prefix, cursor, sampleSize); err == nil {
			f.with(fo, func() { fo.sampleOf(page, time.Now()) })
		}
	}
	asked := time.Now()
	ev, err := c.store.Watch(ctx, prefix, after, 0, bookkeeping.ChangePatience)
	f.with(fo, func() {
		switch {
		case errors.Is(err, bookkeeping.ErrTooOld):
			fo.forget()
		case err != nil:
			c.log.Debug("copy not followed", "part", fo.part, "reason", err)
		case !fo.follow(c.log.Error, after, ev, asked):
			fo.forget()
		default:
			fo.compare(c)
		}
	})
}

// with runs what concerns a copy, if it is still kept.
func (f *following) with(fo *follower, fn func()) {
	f.c.do(func() {
		if f.copies[fo.part] == fo {
			fn()
		}
	})
}

// inherit takes what was told from a copy that can't be used itself.
func (fo *follower) inherit(from *follower) {
	fo.tale = from.tale
	for id, sj := range from.shadow.jobs {
		for t, a := range sj.live {
			if !a.told.IsZero() {
				fo.shadow.told(taleKey{id, t, a.number}, a.told)
			}
		}
	}
}

func (fo *follower) forget() {
	fo.copy.Forget()
	fo.shadow, fo.sample = newShadow(), nil
	fo.tale.have = 0 // what was told of attempts went with their records
}

// changeOf reads a run record as it comes from the store.
func changeOf(complain func(string, ...any), key string, version uint64, dropped bool, value []byte) (standby.Change[*bookkeeping.Run], bool) {
	ch := standby.Change[*bookkeeping.Run]{Key: key, Version: version, Dropped: dropped}
	if _, _, err := bookkeeping.ParseRunKey(key); err != nil {
		complain("bad run record", "key", key, "reason", err)
		return ch, false
	}
	if !dropped {
		ch.Value = new(bookkeeping.Run)
		if err := bookkeeping.Decode(value, ch.Value); err != nil {
			complain("bad run record", "key", key, "reason", err)
			return ch, false
		}
	}
	return ch, true
}

// start takes in a listing.
func (fo *follower) start(complain func(string, ...any), items []protocol.Item, revision uint64, asked time.Time) {
	all := make([]standby.Change[*bookkeeping.Run], 0, len(items))
	for _, it := range items {
		if ch, ok := changeOf(complain, it.Key, it.Version, false, it.Value); ok {
			all = append(all, ch)
		}
	}
	fo.forget()
	fo.copy.Start(all, revision)
	for _, ch := range all {
		fo.shadow.take(ch)
	}
	fo.asked = asked
}

// follow takes in changes; false: they don't join what is known.
func (fo *follower) follow(complain func(string, ...any), after uint64, ev *protocol.Events, asked time.Time) bool {
	changes := make([]standby.Change[*bookkeeping.Run], 0, len(ev.Events))
	for _, e := range ev.Events {
		if ch, ok := changeOf(complain, e.Put+e.Delete, e.Version, e.Delete != "", e.Value); ok {
			changes = append(changes, ch)
		}
	}
	if !fo.copy.Follow(after, ev.Revision, changes, fo.shadow.take) {
		return false
	}
	if asked.After(fo.asked) {
		fo.asked = asked
	}
	return true
}

// sampleOf keeps a page of the store until the copy has come to its revision.
func (fo *follower) sampleOf(page *protocol.ItemList, now time.Time) {
	s := &standby.Sample[*bookkeeping.Run]{From: fo.cursor, Revision: page.Revision}
	for _, it := range page.Items {
		if ch, ok := changeOf(func(string, ...any) {}, it.Key, it.Version, false, it.Value); ok {
			s.Records = append(s.Records, ch)
		}
	}
	if page.More && len(page.Items) > 0 {
		s.Last = page.Items[len(page.Items)-1].Key
	}
	fo.sample, fo.sampled, fo.cursor = s, now, s.Last
	fo.shadow.prune(now)
}

// compare holds the sample against the copy, which is dropped if they differ.
func (fo *follower) compare(c *Controller) {
	if fo.sample == nil {
		return
	}
	keys, ok := fo.copy.Differs(*fo.sample, sameRun)
	if !ok {
		return
	}
	fo.sample = nil
	maps.DeleteFunc(fo.tale.machines, func(name string, _ heardMachine) bool { return c.machines[name] == nil })
	if len(keys) > 0 {
		c.metrics.Count(observe.CopyDiffers, 1)
		c.following.differed++
		c.log.Error("a copy differs from the store and is read anew", "part", fo.part, "keys", keys[:min(5, len(keys))], "of", len(keys))
		fo.forget()
	}
}

func sameRun(a, b *bookkeeping.Run) bool {
	return a.Last == b.Last && slices.Equal(a.Done, b.Done) && slices.Equal(a.Live, b.Live)
}

// follows is what this controller tells the others of its copies.
func (f *following) follows() (list []*peer.Follow) {
	for part, fo := range f.copies {
		list = append(list, &peer.Follow{Part: uint32(part), Revision: fo.copy.At()})
	}
	return list
}

// overview is how the copies stand.
func (f *following) overview(now time.Time) (list []overview.Follow) {
	c := f.c
	for _, p := range c.parts {
		if fo := f.copies[p.index]; fo != nil {
			list = append(list, overview.Follow{Part: p.index, Owner: p.owner, Records: fo.copy.Len(), Whole: fo.copy.At() != 0,
				BehindS: fo.behind(now), Told: fo.shadow.toldOf()})
		}
	}
	return list
}

// whole brings a part's copy to the claim under which it is to be used, or reads the part
// anew if there is none that can be. Nothing of the owner before is applied after the
// claim, so that an answer that reaches it covers everything (32).
func (f *following) whole(p *part, claim uint64) (*follower, bool, error) {
	c := f.c
	prefix := bookkeeping.RunPrefix(p.index)
	var fo *follower
	after := uint64(0)
	c.do(func() {
		if fo = f.copies[p.index]; fo != nil {
			after = fo.copy.At()
		}
	})
	if after != 0 {
		asked := time.Now()
		ev, err := c.store.Catch(c.ctx, prefix, after)
		good := false
		if err == nil {
			f.with(fo, func() {
				good = fo.follow(c.log.Error, after, ev, asked) && fo.copy.At() >= claim
				if good && fo.sample != nil {
					fo.compare(c)
					good = fo.copy.At() != 0
				}
			})
		}
		if good {
			return fo, true, nil
		}
		c.log.Info("the copy of a part is not used", "part", p.index, "revision", after, "claim", claim, "reason", err)
	}
	asked := time.Now()
	items, rev, err := c.store.List(c.ctx, prefix)
	if err != nil {
		return nil, false, fmt.Errorf("run records: %w", err)
	}
	cold := newFollower(p.index, asked)
	cold.start(c.log.Error, items, rev, asked)
	if fo != nil {
		c.do(func() { cold.inherit(fo) })
	}
	return cold, false, nil
}

// namedStandby is which controller a part's owner has named to take the part over; empty:
// none, or the owner is of a version that names nobody.
func (f *following) namedStandby(p *part) string {
	c := f.c
	owner := p.owner
	if owner == "" {
		owner = p.last
	}
	return c.peers[owner].told(p).GetStandby()
}

// nameStandby names who is to take an own part over: whoever it goes back to, or the
// one that was named before, while that one is as good as any.
func (f *following) nameStandby(p *part, now time.Time) {
	c := f.c
	if home := f.homeOf(p, now); home != "" && c.peers[home].summary.Copies {
		p.standby = home
		return
	}
	able := slices.DeleteFunc(f.candidates(now), func(o standby.Candidate) bool {
		ps := c.peers[o.Label]
		return ps != nil && !ps.summary.Copies
	})
	p.standby = standby.Keep(p.standby, c.set.Label, c.set.Zone, able)
}

// followedBy says whether another controller's copy of a part is whole.
func (ps *peerState) followedBy(part int) bool {
	return slices.ContainsFunc(ps.summary.GetFollows(), func(f *peer.Follow) bool { return int(f.Part) == part && f.Revision > 0 })
}

// standsBy says whether this controller is the standby of what another owned: the one
// that it had named, as long as that one is there, else whoever all would choose. One that
// has just started knows too little to be chosen, but not to be named.
func (f *following) standsBy(owner, named string, now time.Time) bool {
	c := f.c
	if owner == "" || named != c.set.Label && now.Sub(c.started) < 5*time.Second {
		return false // not known, or not settled
	}
	all := f.candidates(now)
	if named == "" || !slices.ContainsFunc(all, func(o standby.Candidate) bool { return o.Label == named }) {
		named = standby.Choose(owner, f.zoneOf(owner), all)
	}
	return named == c.set.Label
}

// heir says whether another controller is there that was named a lost part's standby and
// has a copy of it.
func (f *following) heir(p *part, now time.Time) bool {
	ps := f.c.peers[f.namedStandby(p)]
	return ps != nil && ps.recent(now) && !ps.summary.Leaving && ps.followedBy(p.index)
}

// zoneOf is a controller's zone, as the settings tell.
func (f *following) zoneOf(label string) string {
	c := f.c
	if label == c.set.Label {
		return c.set.Zone
	}
	for _, o := range c.set.Others {
		if o.Label == label {
			return o.Zone
		}
	}
	return ""
}

// candidates are the controllers that could take something over now.
func (f *following) candidates(now time.Time) []standby.Candidate {
	c := f.c
	own := standby.Candidate{Label: c.set.Label, Zone: c.set.Zone}
	for _, m := range c.machines {
		if c.parts[m.rec.Part].mine {
			own.Machines++
		}
	}
	for _, p := range c.parts {
		if p.mine {
			own.Parts++
		}
	}
	var all []standby.Candidate
	if !c.leaving {
		all = append(all, own)
	}
	for label, ps := range c.peers {
		if !ps.recent(now) || ps.summary.Leaving {
			continue
		}
		other := standby.Candidate{Label: label, Zone: f.zoneOf(label), Parts: len(ps.summary.Parts)}
		for _, p := range ps.summary.Parts {
			other.Machines += len(p.Machines)
		}
		all = append(all, other)
	}
	return all
}

// shadow is what a part's records come to, made ahead of a takeover: attempts by job
// and by machine, without the jobs and machines themselves.
type shadow struct {
	jobs     map[string]*shadowJob
	machines map[string]map[string]*attempt // by name, then as machine.attempts
	// began is when attempts began, as far as their owner told it before their record came.
	began map[taleKey]time.Time
	// dropped is how many of these there was no room for since that was last counted.
	dropped int
}

type shadowJob struct {
	runs   map[int]*bookkeeping.Run
	chunks map[int]*chunk
	live   map[int]*attempt
}

func newShadow() shadow {
	return shadow{jobs: map[string]*shadowJob{}, machines: map[string]map[string]*attempt{}, began: map[taleKey]time.Time{}}
}

// take brings the shadow in line with a change of a record.
func (s *shadow) take(ch standby.Change[*bookkeeping.Run]) {
	id, index, _ := bookkeeping.ParseRunKey(ch.Key) // was read when the change came
	sj := s.jobs[id]
	if sj == nil {
		sj = &shadowJob{runs: map[int]*bookkeeping.Run{}, chunks: map[int]*chunk{}, live: map[int]*attempt{}}
		s.jobs[id] = sj
	}
	before := map[int]*attempt{}
	if old := sj.runs[index]; old != nil {
		for _, r := range old.Live {
			delete(s.machines[r.Machine], attemptKey(protocol.TaskName(id, r.Task), r.Number))
			if len(s.machines[r.Machine]) == 0 {
				delete(s.machines, r.Machine)
			}
			before[r.Task] = sj.live[r.Task]
			delete(sj.live, r.Task)
		}
	}
	if ch.Dropped {
		delete(sj.runs, index)
		if delete(sj.chunks, index); len(sj.chunks) == 0 {
			delete(s.jobs, id)
		}
		return
	}
	sj.runs[index] = ch.Value
	sj.chunks[index] = &chunk{index: index, version: ch.Version, last: ch.Value.Last}
	for _, r := range ch.Value.Live {
		a := &attempt{task: r.Task, number: r.Number, session: r.Session, state: attemptCommitted, inherited: true}
		key := taleKey{id, r.Task, r.Number}
		if was := before[r.Task]; was != nil && was.number == r.Number {
			a.told = was.told
		} else if at, ok := s.began[key]; ok {
			a.told = at
			delete(s.began, key)
		}
		sj.live[r.Task] = a
		on := s.machines[r.Machine]
		if on == nil {
			on = map[string]*attempt{}
			s.machines[r.Machine] = on
		}
		on[attemptKey(protocol.TaskName(id, r.Task), r.Number)] = a
	}
}

// told takes in when an attempt began, as its owner tells it.
func (s *shadow) told(key taleKey, at time.Time) {
	if sj := s.jobs[key.job]; sj != nil {
		if a := sj.live[key.task]; a != nil && a.number >= key.number {
			if a.number == key.number {
				a.told = at
			}
			return
		}
	}
	if _, known := s.began[key]; !known && len(s.began) >= begunMost {
		s.dropped++
		return
	}
	s.began[key] = at
}

// begunMost is how many attempts may be told of before their records have come: those that
// were committed a moment ago, or all 64,000 of 4,000 machines while the copy is begun. One
// takes some 130 bytes, all 10 MB.
const begunMost = 80_000

// prune forgets what was told of attempts whose records have not come and won't.
func (s *shadow) prune(now time.Time) {
	maps.DeleteFunc(s.began, func(_ taleKey, at time.Time) bool { return now.Sub(at) > time.Minute })
}

// toldOf is how many attempts are known to have begun.
func (s *shadow) toldOf() (n int) {
	for _, sj := range s.jobs {
		for _, a := range sj.live {
			if !a.told.IsZero() {
				n++
			}
		}
	}
	return n
}

// unknown lists jobs that the records name and that are neither known here nor among the
// records read: ended ones whose attempts are not all proven over, and those whose own
// record has not come yet.
func (s *shadow) unknown(jobs map[string]*job, read map[string]*protocol.Item) (ids []string) {
	for id := range s.jobs {
		if jobs[id] == nil && read[id] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// bind makes the records' state that of the job, for its part's new owner.
func (sj *shadowJob) bind(j *job, now time.Time) (live int) {
	j.owned, j.running, j.finishing, j.failedOn, j.ranS = true, 0, false, nil, nil
	j.done, j.doneCount, j.queue = make([]bool, j.spec.Tasks), 0, nil
	j.live, j.chunks = sj.live, sj.chunks
	for _, run := range sj.runs {
		for _, r := range run.Done {
			for t := max(0, r[0]); t <= r[1] && t < len(j.done); t++ {
				if !j.done[t] {
					j.done[t] = true
					j.doneCount++
				}
			}
		}
	}
	need := needOf(j.spec)
	for t, a := range j.live {
		if a.job = j; a.machine == nil || t < 0 || t >= j.spec.Tasks {
			if a.machine != nil {
				delete(a.machine.attempts, attemptKey(a.wire(), a.number))
			}
			delete(j.live, t)
			j.touch(max(0, min(t, j.spec.Tasks-1)), false, now)
			continue
		}
		a.machine.used = a.machine.used.Plus(need, 1)
	}
	return len(j.live)
}

// unbound takes the attempts of a job that nobody knows off their machines, whose reports
// then show them as nobody's.
func (sj *shadowJob) unbound(id string) {
	for t, a := range sj.live {
		if a.machine != nil {
			delete(a.machine.attempts, attemptKey(protocol.TaskName(id, t), a.number))
		}
	}
}
