// Package replication keeps replicas of the partitions that this controller is the standby
// of, and sends the standbys of its own partitions what is not on record. A replica is a hint
// until it is proven whole; nothing that a safety rule rests on comes from an update.
package replication

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/overview"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Replicator keeps replicas of the partitions that this controller is the standby of, and
// tells the standbys of its own partitions what is not on record.
type Replicator struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester
	store   *storage.Store
	log     *slog.Logger
	bounds  *telemetry.BoundReporter
	metrics *telemetry.Metrics

	auth       Auth
	autoscaler Autoscaler
	scheduler  Scheduler

	Replicas map[int]*Replica
	// Mismatches counts the replicas that differed from the state store.
	Mismatches int
}

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Replicator {
	return &Replicator{State: state, loop: loop, network: network, store: store, log: log, bounds: bounds,
		Replicas: map[int]*Replica{}}
}

// Connect gives it its collaborators, before the loop starts.
func (rep *Replicator) Connect(auth Auth, autoscaler Autoscaler, scheduler Scheduler) {
	rep.auth, rep.autoscaler, rep.scheduler = auth, autoscaler, scheduler
}

// Observe makes it measure itself, before the loop starts.
func (rep *Replicator) Observe(m *telemetry.Metrics) { rep.metrics = m }

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

// replicaRetention is how long a copy is kept by a controller that is not the standby any
// more: it may be again.
const replicaRetention = 30 * time.Second

// followRequestShare is which part of the state service's requests may go into following,
// for all parts together.
const followRequestShare = 0.04

const followIntervalMin = 500 * time.Millisecond

// A sample of so many records is compared this often.
const sampleInterval = 5 * time.Second

const sampleSize = 20

// lagLimitS is from when on a copy counts as behind.
const lagLimitS = 5

// pollInterval is how often a copy asks what has changed.
func (rep *Replicator) pollInterval() time.Duration {
	p := rep.Settings.Params
	return max(followIntervalMin, time.Duration(float64(p.Count)/(followRequestShare*p.State.Lower().RPS)*float64(time.Second)))
}

// FollowLoop follows what there is to follow until the controller ends.
func (rep *Replicator) FollowLoop() {
	pace := rep.pollInterval()
	for rep.loop.Sleep(pace) {
		var due []*Replica
		rep.loop.Do(func() { due = rep.dueReplicas(time.Now()) })
		for _, fo := range due {
			rep.advance(fo)
		}
	}
}

// dueReplicas says which copies are to be brought up to date, and begins and drops copies.
func (rep *Replicator) dueReplicas(now time.Time) (due []*Replica) {
	for _, p := range rep.Partitions {
		fo := rep.Replicas[p.Index]
		if !p.Held && rep.Synced && !rep.Draining && rep.NamedStandby(p) == rep.Settings.Label {
			if fo == nil {
				fo = NewReplica(p.Index, now)
				rep.Replicas[p.Index] = fo
				rep.log.Info("following a part", "part", p.Index, "owner", p.Leader)
			}
			fo.wantedAt = now
		}
		if fo == nil {
			continue
		}
		if p.Held && p.Ready || now.Sub(fo.wantedAt) > replicaRetention {
			delete(rep.Replicas, p.Index)
			continue
		}
		due = append(due, fo)
		if told, behind := fo.lag.Changed(fo.lagS(now), lagLimitS); told && behind {
			rep.log.Info("the copy of a part is behind", "part", p.Index, "seconds", fo.lagS(now))
		} else if told {
			rep.log.Info("the copy of a part has caught up", "part", p.Index)
		}
	}
	return due
}

// DropReplica forgets the replica of a partition: what it holds is its taker's from then on.
func (rep *Replicator) DropReplica(partition int) { delete(rep.Replicas, partition) }

func NewReplica(part int, now time.Time) *Replica {
	return &Replica{partition: part, Derived: newDerivedState(), wantedAt: now, asOf: now, sampledAt: now}
}

// lagS is for how many seconds nothing of the store was taken in.
func (fo *Replica) lagS(now time.Time) float64 { return now.Sub(fo.asOf).Seconds() }

// advance brings one copy up to date.
func (rep *Replicator) advance(fo *Replica) {
	ctx, cancel := context.WithTimeout(rep.loop.Context(), 4*time.Second)
	defer cancel()
	prefix, after := storage.RunPrefix(fo.partition), uint64(0)
	sampling, cursor := false, ""
	rep.loop.Do(func() {
		after = fo.Records.Revision()
		sampling, cursor = after != 0 && fo.sample == nil && time.Since(fo.sampledAt) >= sampleInterval, fo.cursor
	})
	if after == 0 {
		asked := time.Now()
		items, rev, err := rep.store.List(ctx, prefix)
		if err != nil {
			rep.log.Debug("copy not begun", "part", fo.partition, "reason", err)
			return
		}
		rep.ifCurrent(fo, func() { fo.StartFrom(rep.log.Error, items, rev, asked) })
		return
	}
	if sampling {
		// Before the changes, so that the copy comes to the sample's revision.
		if page, err := rep.store.Page(ctx, prefix, cursor, sampleSize); err == nil {
			rep.ifCurrent(fo, func() { fo.takeSample(page, time.Now()) })
		}
	}
	asked := time.Now()
	ev, err := rep.store.Watch(ctx, prefix, after, 0, storage.ChangeTimeout)
	rep.ifCurrent(fo, func() {
		switch {
		case errors.Is(err, storage.ErrCompacted):
			fo.forget()
		case err != nil:
			rep.log.Debug("copy not followed", "part", fo.partition, "reason", err)
		case !fo.Apply(rep.log.Error, after, ev, asked):
			fo.forget()
		default:
			rep.compareSample(fo)
		}
	})
}

// ifCurrent runs what concerns a copy, if it is still kept.
func (rep *Replicator) ifCurrent(fo *Replica, fn func()) {
	rep.loop.Do(func() {
		if rep.Replicas[fo.partition] == fo {
			fn()
		}
	})
}

// inherit takes what was told from a copy that can't be used itself.
func (fo *Replica) inherit(from *Replica) {
	fo.Updates = from.Updates
	for id, sj := range from.Derived.Jobs {
		for t, a := range sj.Live {
			if !a.ReplicatedStart.IsZero() {
				fo.Derived.NoteStart(AttemptID{Job: id, Task: t, Number: a.Number}, a.ReplicatedStart)
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

// StartFrom takes in a listing.
func (fo *Replica) StartFrom(complain func(string, ...any), items []protocol.Item, revision uint64, asked time.Time) {
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

// Apply takes in changes; false: they don't join what is known.
func (fo *Replica) Apply(complain func(string, ...any), after uint64, ev *protocol.Events, asked time.Time) bool {
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
func (rep *Replicator) compareSample(fo *Replica) {
	if fo.sample == nil {
		return
	}
	keys, ok := fo.Records.Mismatches(*fo.sample, equalRuns)
	if !ok {
		return
	}
	fo.sample = nil
	maps.DeleteFunc(fo.Updates.Machines, func(name string, _ MachineHints) bool { return rep.Machines[name] == nil })
	if len(keys) > 0 {
		rep.metrics.Count(telemetry.ReplicaDiffers, 1)
		rep.Mismatches++
		rep.log.Error("replica differs from the state store and is read anew", "partition", fo.partition, "keys", keys[:min(5, len(keys))], "of", len(keys))
		fo.forget()
	}
}

func equalRuns(a, b *storage.RunRecord) bool {
	return a.Last == b.Last && slices.Equal(a.Done, b.Done) && slices.Equal(a.Live, b.Live)
}

// Summaries is what this controller tells the others of its copies.
func (rep *Replicator) Summaries() (list []*peer.ReplicaStatus) {
	for part, fo := range rep.Replicas {
		list = append(list, &peer.ReplicaStatus{Partition: uint32(part), Revision: fo.Records.Revision()})
	}
	return list
}

// Overview is how the copies stand.
func (rep *Replicator) Overview(now time.Time) (list []overview.Replica) {
	for _, p := range rep.Partitions {
		if fo := rep.Replicas[p.Index]; fo != nil {
			list = append(list, overview.Replica{Part: p.Index, Leader: p.Leader, Records: fo.Records.Len(), Complete: fo.Records.Revision() != 0,
				BehindS: fo.lagS(now), ConfirmedStarts: fo.Derived.KnownStarts()})
		}
	}
	return list
}

// CompleteReplica brings a part's copy to the claim under which it is to be used, or reads the part
// anew if there is none that can be. Nothing of the owner before is applied after the
// claim, so that an answer that reaches it covers everything (32).
func (rep *Replicator) CompleteReplica(p *cluster.Partition, claim uint64) (*Replica, bool, error) {
	prefix := storage.RunPrefix(p.Index)
	var fo *Replica
	after := uint64(0)
	rep.loop.Do(func() {
		if fo = rep.Replicas[p.Index]; fo != nil {
			after = fo.Records.Revision()
		}
	})
	if after != 0 {
		asked := time.Now()
		ev, err := rep.store.CatchUp(rep.loop.Context(), prefix, after)
		good := false
		if err == nil {
			rep.ifCurrent(fo, func() {
				good = fo.Apply(rep.log.Error, after, ev, asked) && fo.Records.Revision() >= claim
				if good && fo.sample != nil {
					rep.compareSample(fo)
					good = fo.Records.Revision() != 0
				}
			})
		}
		if good {
			return fo, true, nil
		}
		rep.log.Info("the copy of a part is not used", "part", p.Index, "revision", after, "claim", claim, "reason", err)
	}
	asked := time.Now()
	items, rev, err := rep.store.List(rep.loop.Context(), prefix)
	if err != nil {
		return nil, false, fmt.Errorf("run records: %w", err)
	}
	cold := NewReplica(p.Index, asked)
	cold.StartFrom(rep.log.Error, items, rev, asked)
	if fo != nil {
		rep.loop.Do(func() { cold.inherit(fo) })
	}
	return cold, false, nil
}

// DerivedState is what a part's records come to, made ahead of a takeover: attempts by job
// and by machine, without the jobs and machines themselves.
type DerivedState struct {
	Jobs              map[string]*ReplicaJob
	AttemptsByMachine map[string]map[string]*cluster.Attempt // by name, then as machine.attempts
	// Starts is when attempts began, as far as their owner told it before their record came.
	Starts map[AttemptID]time.Time
	// DroppedStarts is how many of these there was no room for since that was last counted.
	DroppedStarts int
}

type ReplicaJob struct {
	Records map[int]*storage.RunRecord
	chunks  map[int]*cluster.RunChunk
	Live    map[int]*cluster.Attempt
}

func newDerivedState() DerivedState {
	return DerivedState{Jobs: map[string]*ReplicaJob{}, AttemptsByMachine: map[string]map[string]*cluster.Attempt{}, Starts: map[AttemptID]time.Time{}}
}

// apply brings the shadow in line with a change of a record.
func (s *DerivedState) apply(ch failover.Change[*storage.RunRecord]) {
	id, index, _ := storage.ParseRunKey(ch.Key) // was read when the change came
	sj := s.Jobs[id]
	if sj == nil {
		sj = &ReplicaJob{Records: map[int]*storage.RunRecord{}, chunks: map[int]*cluster.RunChunk{}, Live: map[int]*cluster.Attempt{}}
		s.Jobs[id] = sj
	}
	before := map[int]*cluster.Attempt{}
	if old := sj.Records[index]; old != nil {
		for _, r := range old.Live {
			delete(s.AttemptsByMachine[r.Machine], cluster.AttemptKey(protocol.TaskName(id, r.Task), r.Number))
			if len(s.AttemptsByMachine[r.Machine]) == 0 {
				delete(s.AttemptsByMachine, r.Machine)
			}
			before[r.Task] = sj.Live[r.Task]
			delete(sj.Live, r.Task)
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
	sj.chunks[index] = &cluster.RunChunk{Index: index, Revision: ch.Version, LastNumber: ch.Value.Last}
	for _, r := range ch.Value.Live {
		a := &cluster.Attempt{TaskIndex: r.Task, Number: r.Number, Epoch: r.Epoch, State: cluster.AttemptCommitted, Inherited: true}
		key := AttemptID{Job: id, Task: r.Task, Number: r.Number}
		if was := before[r.Task]; was != nil && was.Number == r.Number {
			a.ReplicatedStart = was.ReplicatedStart
		} else if at, ok := s.Starts[key]; ok {
			a.ReplicatedStart = at
			delete(s.Starts, key)
		}
		sj.Live[r.Task] = a
		on := s.AttemptsByMachine[r.Machine]
		if on == nil {
			on = map[string]*cluster.Attempt{}
			s.AttemptsByMachine[r.Machine] = on
		}
		on[cluster.AttemptKey(protocol.TaskName(id, r.Task), r.Number)] = a
	}
}

// NoteStart takes in when an attempt began, as its owner tells it.
func (s *DerivedState) NoteStart(key AttemptID, at time.Time) {
	if sj := s.Jobs[key.Job]; sj != nil {
		if a := sj.Live[key.Task]; a != nil && a.Number >= key.Number {
			if a.Number == key.Number {
				a.ReplicatedStart = at
			}
			return
		}
	}
	if _, known := s.Starts[key]; !known && len(s.Starts) >= PendingStartsLimit {
		s.DroppedStarts++
		return
	}
	s.Starts[key] = at
}

// PendingStartsLimit is how many attempts may be told of before their records have come: those that
// were committed a moment ago, or all 64,000 of 4,000 machines while the copy is begun. One
// takes some 130 bytes, all 10 MB.
const PendingStartsLimit = 80_000

// pruneStarts forgets what was told of attempts whose records have not come and won't.
func (s *DerivedState) pruneStarts(now time.Time) {
	maps.DeleteFunc(s.Starts, func(_ AttemptID, at time.Time) bool { return now.Sub(at) > time.Minute })
}

// KnownStarts is how many attempts are known to have begun.
func (s *DerivedState) KnownStarts() (n int) {
	for _, sj := range s.Jobs {
		for _, a := range sj.Live {
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
func (s *DerivedState) UnknownJobs(jobs map[string]*cluster.Job, read map[string]*protocol.Item) (ids []string) {
	for id := range s.Jobs {
		if jobs[id] == nil && read[id] == nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// Bind makes the records' state that of the job, for its part's new owner.
func (sj *ReplicaJob) Bind(j *cluster.Job, now time.Time) (live int) {
	j.Loaded, j.RunningCount, j.Completing, j.FailedMachines, j.RunTimesS = true, 0, false, nil, nil
	j.TaskDone, j.DoneCount, j.Pending = make([]bool, j.Spec.Tasks), 0, nil
	j.LiveAttempts, j.Chunks = sj.Live, sj.chunks
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
	need := cluster.ResourcesOf(j.Spec)
	for t, a := range j.LiveAttempts {
		if a.Job = j; a.Machine == nil || t < 0 || t >= j.Spec.Tasks {
			if a.Machine != nil {
				delete(a.Machine.Attempts, cluster.AttemptKey(a.TaskName(), a.Number))
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
	for t, a := range sj.Live {
		if a.Machine != nil {
			delete(a.Machine.Attempts, cluster.AttemptKey(protocol.TaskName(id, t), a.Number))
		}
	}
}
