package coordination

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/overview"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Replicator is the parts that this controller keeps copies of, as their standby. It
// belongs to the loop; I/O runs in its duty.
type Replicator struct {
	c        *Controller
	replicas map[int]*Replica
	// mismatches counts the copies that differed from the store.
	mismatches int
}

// Replica is a copy of one part's run records, with what they come to, ready to be
// taken over.
type Replica struct {
	partition int
	Records   failover.Replica[*storage.RunRecord]
	Derived   DerivedState
	Updates   ReceivedUpdates
	// wantedAt is when this controller was last named the part's standby, asked when the
	// last answer that was taken in was asked for.
	wantedAt, asOf time.Time
	lag            failover.Lag
	// sampledAt is when a sample of the store was last compared, cursor where the next one
	// begins.
	sampledAt time.Time
	cursor    string
	sample    *failover.Sample[*storage.RunRecord]
}

const (
	// replicaRetention is how long a copy is kept by a controller that is not the standby any
	// more: it may be again.
	replicaRetention = 30 * time.Second
	// followRequestShare is which part of the state service's requests may go into following,
	// for all parts together.
	followRequestShare = 0.04
	followIntervalMin  = 500 * time.Millisecond
	// A sample of so many records is compared this often.
	sampleInterval = 5 * time.Second
	sampleSize     = 20
	// lagLimitS is from when on a copy counts as behind.
	lagLimitS = 5
)

// pollInterval is how often a copy asks what has changed.
func (f *Replicator) pollInterval() time.Duration {
	c := f.c
	p := c.Settings.Params
	return max(followIntervalMin, time.Duration(float64(p.Count)/(followRequestShare*p.State.Lower().RPS)*float64(time.Second)))
}

// FollowLoop follows what there is to follow until the controller ends.
func (f *Replicator) FollowLoop() {
	c := f.c
	pace := f.pollInterval()
	for c.loop.Sleep(pace) {
		var due []*Replica
		c.loop.Do(func() { due = f.dueReplicas(time.Now()) })
		for _, fo := range due {
			f.advance(fo)
		}
	}
}

// dueReplicas says which copies are to be brought up to date, and begins and drops copies.
func (f *Replicator) dueReplicas(now time.Time) (due []*Replica) {
	c := f.c
	for _, p := range c.Partitions {
		fo := f.replicas[p.Index]
		if !p.Held && c.Synced && !c.Draining && f.NamedStandby(p) == c.Settings.Label {
			if fo == nil {
				fo = newReplica(p.Index, now)
				f.replicas[p.Index] = fo
				c.log.Info("following a part", "part", p.Index, "owner", p.Leader)
			}
			fo.wantedAt = now
		}
		if fo == nil {
			continue
		}
		if p.Held && p.Ready || now.Sub(fo.wantedAt) > replicaRetention {
			delete(f.replicas, p.Index)
			continue
		}
		due = append(due, fo)
		if told, behind := fo.lag.Changed(fo.lagS(now), lagLimitS); told && behind {
			c.log.Info("the copy of a part is behind", "part", p.Index, "seconds", fo.lagS(now))
		} else if told {
			c.log.Info("the copy of a part has caught up", "part", p.Index)
		}
	}
	return due
}

func newReplica(part int, now time.Time) *Replica {
	return &Replica{partition: part, Derived: newDerivedState(), wantedAt: now, asOf: now, sampledAt: now}
}

// lagS is for how many seconds nothing of the store was taken in.
func (fo *Replica) lagS(now time.Time) float64 { return now.Sub(fo.asOf).Seconds() }

// advance brings one copy up to date.
func (f *Replicator) advance(fo *Replica) {
	c := f.c
	ctx, cancel := context.WithTimeout(c.loop.Context(), 4*time.Second)
	defer cancel()
	prefix, after := storage.RunPrefix(fo.partition), uint64(0)
	sampling, cursor := false, ""
	c.loop.Do(func() {
		after = fo.Records.Revision()
		sampling, cursor = after != 0 && fo.sample == nil && time.Since(fo.sampledAt) >= sampleInterval, fo.cursor
	})
	if after == 0 {
		asked := time.Now()
		items, rev, err := c.store.List(ctx, prefix)
		if err != nil {
			c.log.Debug("copy not begun", "part", fo.partition, "reason", err)
			return
		}
		f.ifCurrent(fo, func() { fo.startFrom(c.log.Error, items, rev, asked) })
		return
	}
	if sampling {
		// Before the changes, so that the copy comes to the sample's revision.
		if page, err := c.store.Page(ctx, prefix, cursor, sampleSize); err == nil {
			f.ifCurrent(fo, func() { fo.takeSample(page, time.Now()) })
		}
	}
	asked := time.Now()
	ev, err := c.store.Watch(ctx, prefix, after, 0, storage.ChangePatience)
	f.ifCurrent(fo, func() {
		switch {
		case errors.Is(err, storage.ErrTooOld):
			fo.forget()
		case err != nil:
			c.log.Debug("copy not followed", "part", fo.partition, "reason", err)
		case !fo.apply(c.log.Error, after, ev, asked):
			fo.forget()
		default:
			f.compareSample(fo)
		}
	})
}

// ifCurrent runs what concerns a copy, if it is still kept.
func (f *Replicator) ifCurrent(fo *Replica, fn func()) {
	f.c.loop.Do(func() {
		if f.replicas[fo.partition] == fo {
			fn()
		}
	})
}

// inherit takes what was told from a copy that can't be used itself.
func (fo *Replica) inherit(from *Replica) {
	fo.Updates = from.Updates
	for id, sj := range from.Derived.Jobs {
		for t, a := range sj.live {
			if !a.ReplicatedStart.IsZero() {
				fo.Derived.noteStart(AttemptID{id, t, a.Number}, a.ReplicatedStart)
			}
		}
	}
}

func (fo *Replica) forget() {
	fo.Records.Reset()
	fo.Derived, fo.sample = newDerivedState(), nil
	fo.Updates.Acknowledged = 0 // what was told of attempts went with their records
}

// parseChange reads a run record as it comes from the store.
func parseChange(complain func(string, ...any), key string, version uint64, dropped bool, value []byte) (failover.Change[*storage.RunRecord], bool) {
	ch := failover.Change[*storage.RunRecord]{Key: key, Version: version, Deleted: dropped}
	if _, _, err := storage.ParseRunKey(key); err != nil {
		complain("bad run record", "key", key, "reason", err)
		return ch, false
	}
	if !dropped {
		ch.Value = new(storage.RunRecord)
		if err := storage.Decode(value, ch.Value); err != nil {
			complain("bad run record", "key", key, "reason", err)
			return ch, false
		}
	}
	return ch, true
}

// startFrom takes in a listing.
func (fo *Replica) startFrom(complain func(string, ...any), items []protocol.Item, revision uint64, asked time.Time) {
	all := make([]failover.Change[*storage.RunRecord], 0, len(items))
	for _, it := range items {
		if ch, ok := parseChange(complain, it.Key, it.Version, false, it.Value); ok {
			all = append(all, ch)
		}
	}
	fo.forget()
	fo.Records.StartFrom(all, revision)
	for _, ch := range all {
		fo.Derived.apply(ch)
	}
	fo.asOf = asked
}

// apply takes in changes; false: they don't join what is known.
func (fo *Replica) apply(complain func(string, ...any), after uint64, ev *protocol.Events, asked time.Time) bool {
	changes := make([]failover.Change[*storage.RunRecord], 0, len(ev.Events))
	for _, e := range ev.Events {
		if ch, ok := parseChange(complain, e.Put+e.Delete, e.Version, e.Delete != "", e.Value); ok {
			changes = append(changes, ch)
		}
	}
	if !fo.Records.Apply(after, ev.Revision, changes, fo.Derived.apply) {
		return false
	}
	if asked.After(fo.asOf) {
		fo.asOf = asked
	}
	return true
}

// takeSample keeps a page of the store until the copy has come to its revision.
func (fo *Replica) takeSample(page *protocol.ItemList, now time.Time) {
	s := &failover.Sample[*storage.RunRecord]{From: fo.cursor, Revision: page.Revision}
	for _, it := range page.Items {
		if ch, ok := parseChange(func(string, ...any) {}, it.Key, it.Version, false, it.Value); ok {
			s.Records = append(s.Records, ch)
		}
	}
	if page.More && len(page.Items) > 0 {
		s.Last = page.Items[len(page.Items)-1].Key
	}
	fo.sample, fo.sampledAt, fo.cursor = s, now, s.Last
	fo.Derived.pruneStarts(now)
}

// compareSample holds the sample against the records once these have come to its revision,
// and drops the replica if they differ.
func (f *Replicator) compareSample(fo *Replica) {
	c := f.c
	if fo.sample == nil {
		return
	}
	keys, ok := fo.Records.Mismatches(*fo.sample, equalRuns)
	if !ok {
		return
	}
	fo.sample = nil
	maps.DeleteFunc(fo.Updates.Machines, func(name string, _ MachineHints) bool { return c.Machines[name] == nil })
	if len(keys) > 0 {
		c.metrics.Count(telemetry.CopyDiffers, 1)
		f.mismatches++
		c.log.Error("replica differs from the state store and is read anew", "partition", fo.partition, "keys", keys[:min(5, len(keys))], "of", len(keys))
		fo.forget()
	}
}

func equalRuns(a, b *storage.RunRecord) bool {
	return a.Last == b.Last && slices.Equal(a.Done, b.Done) && slices.Equal(a.Live, b.Live)
}

// Summaries is what this controller tells the others of its copies.
func (f *Replicator) Summaries() (list []*peer.Follow) {
	for part, fo := range f.replicas {
		list = append(list, &peer.Follow{Part: uint32(part), Revision: fo.Records.Revision()})
	}
	return list
}

// Overview is how the copies stand.
func (f *Replicator) Overview(now time.Time) (list []overview.Follow) {
	c := f.c
	for _, p := range c.Partitions {
		if fo := f.replicas[p.Index]; fo != nil {
			list = append(list, overview.Follow{Part: p.Index, Owner: p.Leader, Records: fo.Records.Len(), Whole: fo.Records.Revision() != 0,
				BehindS: fo.lagS(now), Told: fo.Derived.knownStarts()})
		}
	}
	return list
}

// CompleteReplica brings a part's copy to the claim under which it is to be used, or reads the part
// anew if there is none that can be. Nothing of the owner before is applied after the
// claim, so that an answer that reaches it covers everything (32).
func (f *Replicator) CompleteReplica(p *Partition, claim uint64) (*Replica, bool, error) {
	c := f.c
	prefix := storage.RunPrefix(p.Index)
	var fo *Replica
	after := uint64(0)
	c.loop.Do(func() {
		if fo = f.replicas[p.Index]; fo != nil {
			after = fo.Records.Revision()
		}
	})
	if after != 0 {
		asked := time.Now()
		ev, err := c.store.CatchUp(c.loop.Context(), prefix, after)
		good := false
		if err == nil {
			f.ifCurrent(fo, func() {
				good = fo.apply(c.log.Error, after, ev, asked) && fo.Records.Revision() >= claim
				if good && fo.sample != nil {
					f.compareSample(fo)
					good = fo.Records.Revision() != 0
				}
			})
		}
		if good {
			return fo, true, nil
		}
		c.log.Info("the copy of a part is not used", "part", p.Index, "revision", after, "claim", claim, "reason", err)
	}
	asked := time.Now()
	items, rev, err := c.store.List(c.loop.Context(), prefix)
	if err != nil {
		return nil, false, fmt.Errorf("run records: %w", err)
	}
	cold := newReplica(p.Index, asked)
	cold.startFrom(c.log.Error, items, rev, asked)
	if fo != nil {
		c.loop.Do(func() { cold.inherit(fo) })
	}
	return cold, false, nil
}

// NamedStandby is which controller a part's owner has named to take the part over; empty:
// none, or the owner is of a version that names nobody.
func (f *Replicator) NamedStandby(p *Partition) string {
	c := f.c
	owner := p.Leader
	if owner == "" {
		owner = p.FormerLeader
	}
	return c.Peers[owner].PartitionSummary(p).GetStandby()
}

// ChooseStandby names who is to take an own part over: whoever it goes back to, or the
// one that was named before, while that one is as good as any.
func (f *Replicator) ChooseStandby(p *Partition, now time.Time) {
	c := f.c
	if home := f.preferredLeader(p, now); home != "" && c.Peers[home].Summary.Copies {
		p.Standby = home
		return
	}
	able := slices.DeleteFunc(f.Candidates(now), func(o failover.Candidate) bool {
		ps := c.Peers[o.Label]
		return ps != nil && !ps.Summary.Copies
	})
	p.Standby = failover.KeepStandby(p.Standby, c.Settings.Label, c.Settings.Zone, able)
}

// HasReplicaOf says whether another controller's copy of a part is whole.
func (ps *Peer) HasReplicaOf(part int) bool {
	return slices.ContainsFunc(ps.Summary.GetFollows(), func(f *peer.Follow) bool { return int(f.Part) == part && f.Revision > 0 })
}

// isStandbyFor says whether this controller is the standby of what another owned: the one
// that it had named, as long as that one is there, else whoever all would choose. One that
// has just started knows too little to be chosen, but not to be named.
func (f *Replicator) isStandbyFor(owner, named string, now time.Time) bool {
	c := f.c
	if owner == "" || named != c.Settings.Label && now.Sub(c.StartedAt) < 5*time.Second {
		return false // not known, or not settled
	}
	all := f.Candidates(now)
	if named == "" || !slices.ContainsFunc(all, func(o failover.Candidate) bool { return o.Label == named }) {
		named = failover.ChooseStandby(owner, f.zoneOf(owner), all)
	}
	return named == c.Settings.Label
}

// liveStandby says whether another controller is there that was named a lost part's standby and
// has a copy of it.
func (f *Replicator) liveStandby(p *Partition, now time.Time) bool {
	ps := f.c.Peers[f.NamedStandby(p)]
	return ps != nil && ps.Alive(now) && !ps.Summary.Leaving && ps.HasReplicaOf(p.Index)
}

// zoneOf is a controller's zone, as the settings tell.
func (f *Replicator) zoneOf(label string) string {
	c := f.c
	if label == c.Settings.Label {
		return c.Settings.Zone
	}
	for _, o := range c.Settings.Others {
		if o.Label == label {
			return o.Zone
		}
	}
	return ""
}

// Candidates are the controllers that could take something over now.
func (f *Replicator) Candidates(now time.Time) []failover.Candidate {
	c := f.c
	own := failover.Candidate{Label: c.Settings.Label, Zone: c.Settings.Zone}
	for _, m := range c.Machines {
		if c.Partitions[m.Record.Partition].Held {
			own.Machines++
		}
	}
	for _, p := range c.Partitions {
		if p.Held {
			own.Partitions++
		}
	}
	var all []failover.Candidate
	if !c.Draining {
		all = append(all, own)
	}
	for label, ps := range c.Peers {
		if !ps.Alive(now) || ps.Summary.Leaving {
			continue
		}
		other := failover.Candidate{Label: label, Zone: f.zoneOf(label), Partitions: len(ps.Summary.Parts)}
		for _, p := range ps.Summary.Parts {
			other.Machines += len(p.Machines)
		}
		all = append(all, other)
	}
	return all
}

// DerivedState is what a part's records come to, made ahead of a takeover: attempts by job
// and by machine, without the jobs and machines themselves.
type DerivedState struct {
	Jobs              map[string]*ReplicaJob
	AttemptsByMachine map[string]map[string]*Attempt // by name, then as machine.attempts
	// starts is when attempts began, as far as their owner told it before their record came.
	starts map[AttemptID]time.Time
	// droppedStarts is how many of these there was no room for since that was last counted.
	droppedStarts int
}

type ReplicaJob struct {
	Records map[int]*storage.RunRecord
	chunks  map[int]*RunChunk
	live    map[int]*Attempt
}

func newDerivedState() DerivedState {
	return DerivedState{Jobs: map[string]*ReplicaJob{}, AttemptsByMachine: map[string]map[string]*Attempt{}, starts: map[AttemptID]time.Time{}}
}

// apply brings the shadow in line with a change of a record.
func (s *DerivedState) apply(ch failover.Change[*storage.RunRecord]) {
	id, index, _ := storage.ParseRunKey(ch.Key) // was read when the change came
	sj := s.Jobs[id]
	if sj == nil {
		sj = &ReplicaJob{Records: map[int]*storage.RunRecord{}, chunks: map[int]*RunChunk{}, live: map[int]*Attempt{}}
		s.Jobs[id] = sj
	}
	before := map[int]*Attempt{}
	if old := sj.Records[index]; old != nil {
		for _, r := range old.Live {
			delete(s.AttemptsByMachine[r.Machine], AttemptKey(protocol.TaskName(id, r.Task), r.Number))
			if len(s.AttemptsByMachine[r.Machine]) == 0 {
				delete(s.AttemptsByMachine, r.Machine)
			}
			before[r.Task] = sj.live[r.Task]
			delete(sj.live, r.Task)
		}
	}
	if ch.Deleted {
		delete(sj.Records, index)
		if delete(sj.chunks, index); len(sj.chunks) == 0 {
			delete(s.Jobs, id)
		}
		return
	}
	sj.Records[index] = ch.Value
	sj.chunks[index] = &RunChunk{Index: index, Revision: ch.Version, LastNumber: ch.Value.Last}
	for _, r := range ch.Value.Live {
		a := &Attempt{TaskIndex: r.Task, Number: r.Number, Epoch: r.Epoch, State: AttemptCommitted, Inherited: true}
		key := AttemptID{id, r.Task, r.Number}
		if was := before[r.Task]; was != nil && was.Number == r.Number {
			a.ReplicatedStart = was.ReplicatedStart
		} else if at, ok := s.starts[key]; ok {
			a.ReplicatedStart = at
			delete(s.starts, key)
		}
		sj.live[r.Task] = a
		on := s.AttemptsByMachine[r.Machine]
		if on == nil {
			on = map[string]*Attempt{}
			s.AttemptsByMachine[r.Machine] = on
		}
		on[AttemptKey(protocol.TaskName(id, r.Task), r.Number)] = a
	}
}

// noteStart takes in when an attempt began, as its owner tells it.
func (s *DerivedState) noteStart(key AttemptID, at time.Time) {
	if sj := s.Jobs[key.Job]; sj != nil {
		if a := sj.live[key.Task]; a != nil && a.Number >= key.Number {
			if a.Number == key.Number {
				a.ReplicatedStart = at
			}
			return
		}
	}
	if _, known := s.starts[key]; !known && len(s.starts) >= pendingStartsLimit {
		s.droppedStarts++
		return
	}
	s.starts[key] = at
}

// pendingStartsLimit is how many attempts may be told of before their records have come: those that
// were committed a moment ago, or all 64,000 of 4,000 machines while the copy is begun. One
// takes some 130 bytes, all 10 MB.
const pendingStartsLimit = 80_000

// pruneStarts forgets what was told of attempts whose records have not come and won't.
func (s *DerivedState) pruneStarts(now time.Time) {
	maps.DeleteFunc(s.starts, func(_ AttemptID, at time.Time) bool { return now.Sub(at) > time.Minute })
}

// knownStarts is how many attempts are known to have begun.
func (s *DerivedState) knownStarts() (n int) {
	for _, sj := range s.Jobs {
		for _, a := range sj.live {
			if !a.ReplicatedStart.IsZero() {
				n++
			}
		}
	}
	return n
}

// UnknownJobs lists jobs that the records name and that are neither known here nor among the
// records read: ended ones whose attempts are not all proven over, and those whose own
// record has not come yet.
func (s *DerivedState) UnknownJobs(jobs map[string]*Job, read map[string]*protocol.Item) (ids []string) {
	for id := range s.Jobs {
		if jobs[id] == nil && read[id] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// Bind makes the records' state that of the job, for its part's new owner.
func (sj *ReplicaJob) Bind(j *Job, now time.Time) (live int) {
	j.Loaded, j.RunningCount, j.Completing, j.FailedMachines, j.RunTimesS = true, 0, false, nil, nil
	j.TaskDone, j.DoneCount, j.Pending = make([]bool, j.Spec.Tasks), 0, nil
	j.LiveAttempts, j.Chunks = sj.live, sj.chunks
	for _, run := range sj.Records {
		for _, r := range run.Done {
			for t := max(0, r[0]); t <= r[1] && t < len(j.TaskDone); t++ {
				if !j.TaskDone[t] {
					j.TaskDone[t] = true
					j.DoneCount++
				}
			}
		}
	}
	need := ResourcesOf(j.Spec)
	for t, a := range j.LiveAttempts {
		if a.Job = j; a.Machine == nil || t < 0 || t >= j.Spec.Tasks {
			if a.Machine != nil {
				delete(a.Machine.Attempts, AttemptKey(a.TaskName(), a.Number))
			}
			delete(j.LiveAttempts, t)
			j.MarkDirty(max(0, min(t, j.Spec.Tasks-1)), false, now)
			continue
		}
		a.Machine.Used = a.Machine.Used.Plus(need, 1)
	}
	return len(j.LiveAttempts)
}

// Unbind takes the attempts of a job that nobody knows off their machines, whose reports
// then show them as nobody's.
func (sj *ReplicaJob) Unbind(id string) {
	for t, a := range sj.live {
		if a.Machine != nil {
			delete(a.Machine.Attempts, AttemptKey(protocol.TaskName(id, t), a.Number))
		}
	}
}
