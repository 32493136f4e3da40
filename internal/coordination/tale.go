package coordination

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// What an owner knows beyond the records, and tells its standby: when attempts began,
// which machines are slow, faulty or about to be taken, which images they hold, how far
// estimates are off; and what the leader is about. It is told as what has changed since
// what the other has, bounded in size and rate. It serves predictions only: nothing that
// a rule rests on comes from it (33).

const (
	UpdatePath        = "/peer/tale"
	StateTransferPath = "/peer/recall"
	updateInterval    = time.Second
	updateTimeout     = time.Second // for a message and its answer
	// updateBytesLimit is what one message holds at most; the rest follows with the next. That is
	// some 26,000 attempts, or 500 machines with all their images: a standby that knows
	// nothing has 4,000 machines and 64,000 attempts after some 10 s.
	updateBytesLimit = PeerBodyMin * 3 / 4
	// entryOverheadBytes is what an entry takes beside itself.
	entryOverheadBytes = 8
	// updateImagesLimit is how many images of a machine are told, the newest.
	updateImagesLimit = 50
	// movedMachinesLimit is how many machines that were moved of late the leader names.
	movedMachinesLimit = 4000
	// leaderUpdateTTL is how long what the leader told counts after it was told.
	leaderUpdateTTL = 10 * time.Second
)

// ReplicationProgress is how far a part's tale has come with the standby.
type ReplicationProgress struct {
	Target       string // whom it is told to
	Acknowledged uint64 // up to where that one has it
	Clock        uint64 // the place of the newest change
}

// MachineFacts is what is told of a machine, as far as a change of it is told again.
type MachineFacts struct {
	Addr              string
	Epoch             uint64
	Quarantined       bool
	SlowTasks         int
	PreemptionNoticed bool
	Images            int
}

func (m *Machine) Facts() MachineFacts {
	return MachineFacts{m.Record.Addr, m.Epoch, m.Quarantined, m.SlowTasks, !m.PreemptionAt.IsZero(), len(m.Images)}
}

// ReplicateLoop tells each part's standby, and the leader's peers, once a second.
func (rep *Replicator) ReplicateLoop() {
	for rep.loop.Sleep(updateInterval) {
		rep.SendUpdates(rep.loop.Context())
	}
}

// SendUpdates tells everything that there is to tell now, to each at the same time.
func (rep *Replicator) SendUpdates(ctx context.Context) {
	type message struct {
		to, addr string
		part     *Partition // nil: the leader's
		tale     *peer.Tale
	}
	var out []message
	rep.loop.Do(func() {
		now := time.Now()
		for _, p := range rep.Partitions {
			if ps := rep.Peers[p.Standby]; p.Held && p.Ready && ps != nil && ps.Alive(now) {
				out = append(out, message{p.Standby, ps.Addr, p, rep.partitionUpdate(p, now)})
			}
		}
		if rep.Leadership.Held {
			tale := rep.autoscaler.leaderUpdate(now)
			for label, ps := range rep.Peers {
				if ps.Alive(now) {
					out = append(out, message{label, ps.Addr, nil, tale})
				}
			}
		}
	})
	done := make(chan struct{}, len(out))
	for _, msg := range out {
		rep.loop.Go(func() {
			defer func() { done <- struct{}{} }()
			reply := new(peer.TaleReply)
			if err := callPeer(ctx, rep.network, updateTimeout, msg.addr, UpdatePath, msg.tale, reply); err != nil {
				rep.log.Debug("tale not told", "to", msg.to, "reason", err)
				return
			}
			if msg.part != nil {
				rep.loop.Do(func() {
					if t := &msg.part.Replication; t.Target == msg.to && msg.part.LeaseRevision == msg.tale.Claim {
						t.Acknowledged = min(reply.Have, t.Clock)
					}
				})
			}
		})
	}
	for range out {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// partitionUpdate is what has changed of a part's tale since what its standby has.
func (rep *Replicator) partitionUpdate(p *Partition, now time.Time) *peer.Tale {
	t := &p.Replication
	if t.Target != p.Standby {
		t.Target, t.Acknowledged = p.Standby, 0
	}
	tale := &peer.Tale{From: rep.Settings.Label, Nonce: rep.Nonce, Claim: p.LeaseRevision, Part: uint32(p.Index), Since: t.Acknowledged}
	room := updateBytesLimit
	for _, correction := range rep.scheduler.RuntimeCorrections() {
		tale.Classes = append(tale.Classes, correction)
		room -= proto.Size(correction) + entryOverheadBytes
	}
	list := rep.partitionChanges(p)
	tale.Upto = t.Clock
	if !addChanges(tale, list, room, now) {
		rep.bounds.Met(telemetry.ReplicaMessages, 1)
	}
	return tale
}

// replicaChange is an attempt or a machine of which something changed, and the place of that
// change among all of the part.
type replicaChange struct {
	seq     uint64
	attempt *Attempt
	machine *Machine
}

// partitionChanges lists what has changed since what the part's standby has, in order.
func (rep *Replicator) partitionChanges(p *Partition) (list []replicaChange) {
	t := &p.Replication
	for _, j := range rep.Jobs {
		if j.Partition != p.Index || !j.Loaded {
			continue
		}
		for _, a := range j.LiveAttempts {
			if a.ReplicationSeq == 0 && !a.StartedAt.IsZero() && (!a.Inherited || !a.ReplicatedStart.IsZero()) {
				t.Clock++
				a.ReplicationSeq = t.Clock
			}
			if a.ReplicationSeq > t.Acknowledged {
				list = append(list, replicaChange{seq: a.ReplicationSeq, attempt: a})
			}
		}
	}
	for _, m := range rep.Machines {
		if m.Record.Partition != p.Index || !m.HasReported {
			continue
		}
		if tells := m.Facts(); m.ReplicationSeq == 0 || tells != m.Replicated {
			t.Clock++
			m.Replicated, m.ReplicationSeq = tells, t.Clock
		}
		if m.ReplicationSeq > t.Acknowledged {
			list = append(list, replicaChange{seq: m.ReplicationSeq, machine: m})
		}
	}
	slices.SortFunc(list, func(a, b replicaChange) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// addChanges puts changes into a message, as many as there is room for, and says whether
// that was all: the others follow with the next.
func addChanges(tale *peer.Tale, list []replicaChange, room int, now time.Time) bool {
	for i, change := range list {
		var at *peer.AttemptTale
		var mt *peer.MachineTale
		if a := change.attempt; a != nil {
			at = &peer.AttemptTale{Job: a.Job.Spec.ID, Task: uint32(a.TaskIndex), Attempt: a.Number, RanS: a.RunningS(now)}
			room -= proto.Size(at) + entryOverheadBytes
		} else {
			mt = change.machine.hint(now)
			room -= proto.Size(mt) + entryOverheadBytes
		}
		if room < 0 && i > 0 {
			tale.Upto = list[i-1].seq
			return false
		}
		if at != nil {
			tale.Attempts = append(tale.Attempts, at)
		} else {
			tale.Machines = append(tale.Machines, mt)
		}
	}
	return true
}

// hint is what is known of a machine beyond its record.
func (m *Machine) hint(now time.Time) *peer.MachineTale {
	mt := &peer.MachineTale{Name: m.Name, Addr: m.Record.Addr, Session: m.Epoch, Faulty: m.Quarantined, SlowTasks: uint32(m.SlowTasks), NoticeS: -1}
	if !m.PreemptionAt.IsZero() {
		mt.NoticeS = max(0, m.PreemptionAt.Sub(now).Seconds())
	}
	images := slices.SortedFunc(maps.Keys(m.Images), func(a, b string) int {
		return cmp.Or(m.Images[b].Compare(m.Images[a]), cmp.Compare(a, b))
	})
	mt.Images = images[:min(len(images), updateImagesLimit)]
	return mt
}

// ReceivedUpdates is a part's tale as its owner told it.
type ReceivedUpdates struct {
	sender, nonce       string
	lease, Acknowledged uint64
	Machines            map[string]MachineHints
	Classes             []*peer.ClassTale
	// droppedMachines is how many machines there was no room for since that was last counted.
	droppedMachines int
}

type AttemptID struct {
	Job    string
	Task   int
	Number uint64
}

type MachineHints struct {
	*peer.MachineTale
	PreemptionAt time.Time // zero: not announced
}

// replicaMachinesLimit is how many machines a tale may hold: more than any part has, so that only a
// faulty sender is bounded by it.
const replicaMachinesLimit = 100_000

// Apply takes a message in and says up to where the tale is known. What comes twice or
// late does nothing; after a gap the sender goes on from what is known.
func (h *ReceivedUpdates) Apply(t *peer.Tale, began func(AttemptID, time.Time), now time.Time) uint64 {
	if t.Claim < h.lease {
		return 0 // an owner of before
	}
	if h.sender != t.From || h.nonce != t.Nonce || h.lease != t.Claim {
		*h = ReceivedUpdates{sender: t.From, nonce: t.Nonce, lease: t.Claim}
	}
	if t.Since > h.Acknowledged || t.Upto < h.Acknowledged {
		return h.Acknowledged
	}
	if h.Machines == nil {
		h.Machines = map[string]MachineHints{}
	}
	for _, a := range t.Attempts {
		if a.RanS >= 0 && a.RanS < 1e9 {
			began(AttemptID{a.Job, int(a.Task), a.Attempt}, now.Add(-time.Duration(a.RanS*float64(time.Second))))
		}
	}
	for _, m := range t.Machines {
		if _, known := h.Machines[m.Name]; !known && len(h.Machines) >= replicaMachinesLimit {
			h.droppedMachines++
		} else {
			hm := MachineHints{MachineTale: m}
			if m.NoticeS >= 0 && m.NoticeS < 1e9 {
				hm.PreemptionAt = now.Add(time.Duration(m.NoticeS * float64(time.Second)))
			}
			h.Machines[m.Name] = hm
		}
	}
	h.Acknowledged, h.Classes = t.Upto, t.Classes
	return h.Acknowledged
}

// HandleUpdate answers an owner that tells its part's tale, or the leader.
func (rep *Replicator) HandleUpdate(who *Caller, body []byte) transport.Response {
	t := new(peer.Tale)
	if err := proto.Unmarshal(body, t); err != nil {
		return Refuse(400, "bad tale", 0)
	}
	if refusal := rep.auth.CheckSender(who, "peer", identity.Name{Kind: identity.Controller, ID: t.From}); refusal != nil {
		return *refusal
	}
	reply := new(peer.TaleReply)
	rep.loop.Do(func() {
		now := time.Now()
		if t.Leader != nil {
			rep.LastLeaderUpdate = LeaderUpdate{From: t.From, ReceivedAt: now, Update: t.Leader}
			return
		}
		if fo := rep.replicas[int(t.Part)]; fo != nil {
			reply.Have = fo.Updates.Apply(t, fo.Derived.noteStart, now)
			rep.bounds.Met(telemetry.ReplicaMachines, fo.Updates.droppedMachines)
			rep.bounds.Met(telemetry.ReplicaStarts, fo.Derived.droppedStarts)
			fo.Updates.droppedMachines, fo.Derived.droppedStarts = 0, 0
		}
	})
	return protoResponse(reply)
}

// HandleStateTransfer answers a controller that was started anew: the tale of a part as its former
// life told it here.
func (rep *Replicator) HandleStateTransfer(body []byte) transport.Response {
	req := new(peer.RecallRequest)
	if err := proto.Unmarshal(body, req); err != nil {
		return Refuse(400, "bad request", 0)
	}
	tale := &peer.Tale{Part: req.Part}
	rep.loop.Do(func() {
		if fo := rep.replicas[int(req.Part)]; fo != nil && fo.Updates.Acknowledged != 0 {
			whole := false
			if tale, whole = fo.stateTransfer(time.Now()); !whole {
				rep.bounds.Met(telemetry.RecallBytes, 1)
			}
		}
	})
	return protoResponse(tale)
}

// stateTransferBytesLimit is what a recalled tale holds at most, below what a client takes as a
// response: 64,000 attempts take some 2 MB, 4,000 machines 0.4 MB, their images the rest.
const stateTransferBytesLimit = 6 << 20

// stateTransfer is a tale as it was heard, for whoever asks. whole is false if it was too large: it
// lacks images then, which only tell where a start is quick, or even more.
func (fo *Replica) stateTransfer(now time.Time) (t *peer.Tale, whole bool) {
	h := &fo.Updates
	t = &peer.Tale{From: h.sender, Nonce: h.nonce, Claim: h.lease, Part: uint32(fo.partition), Upto: h.Acknowledged, Classes: h.Classes}
	room := stateTransferBytesLimit - proto.Size(t)
	fits := func(m proto.Message) bool {
		room -= proto.Size(m) + entryOverheadBytes
		return room >= 0
	}
	for id, sj := range fo.Derived.Jobs {
		for task, a := range sj.live {
			if a.ReplicatedStart.IsZero() {
				continue
			}
			at := &peer.AttemptTale{Job: id, Task: uint32(task), Attempt: a.Number, RanS: now.Sub(a.ReplicatedStart).Seconds()}
			if !fits(at) {
				return t, false
			}
			t.Attempts = append(t.Attempts, at)
		}
	}
	for _, hm := range h.Machines {
		m := proto.CloneOf(hm.MachineTale)
		m.Images = nil
		if !hm.PreemptionAt.IsZero() {
			m.NoticeS = max(0, hm.PreemptionAt.Sub(now).Seconds())
		}
		if !fits(m) {
			return t, false
		}
		t.Machines = append(t.Machines, m)
	}
	for _, m := range t.Machines {
		images := h.Machines[m.Name].Images
		if !fits(&peer.MachineTale{Images: images}) {
			return t, false
		}
		m.Images = images
	}
	return t, true
}

// ApplyStart puts it to an inherited attempt when it did, as its former owner had told.
func (rep *Replicator) ApplyStart(p *Partition, k AttemptID, at time.Time) bool {
	j := rep.Jobs[k.Job]
	if j == nil || j.Partition != p.Index || !j.Loaded {
		return false
	}
	a := j.LiveAttempts[k.Task]
	if a == nil || a.Number != k.Number || !a.StartUnknown() {
		return false
	}
	if a.ReplicatedStart = at; !a.StartedAt.IsZero() {
		a.StartedAt = at
	}
	a.Machine.Prediction = nil
	return true
}

// ApplyHints puts what the former owner told of machines and classes to what they are now.
func (rep *Replicator) ApplyHints(p *Partition, h *ReceivedUpdates, now time.Time) {
	for name, mt := range h.Machines {
		m := rep.Machines[name]
		if m == nil || m.Record.Partition != p.Index {
			continue
		}
		for _, image := range mt.Images {
			if _, ok := m.Images[image]; !ok {
				m.Images[image] = now
			}
		}
		if m.Record.Addr == "" {
			m.Record.Addr = mt.Addr
		}
		m.Quarantined, m.SlowTasks = m.Quarantined || mt.Faulty, max(m.SlowTasks, int(mt.SlowTasks))
		if m.EpochHint < mt.Session {
			m.EpochHint = mt.Session
		}
		if m.PreemptionAt.IsZero() {
			m.PreemptionAt = mt.PreemptionAt
		}
	}
	for _, correction := range h.Classes {
		rep.scheduler.AdoptCorrection(correction)
	}
}

// RequestStateTransfer asks the others what they were told of a part that this controller has just
// taken over without a tale of its own: its former life's, above all.
func (rep *Replicator) RequestStateTransfer(p *Partition, claim uint64) {
	for _, ps := range rep.Peers {
		rep.loop.Go(func() {
			t := new(peer.Tale)
			err := callPeer(rep.loop.Context(), rep.network, updateTimeout, ps.Addr, StateTransferPath, &peer.RecallRequest{Part: uint32(p.Index)}, t)
			if err != nil && !errors.Is(err, transport.ErrNotSent) {
				rep.log.Debug("tale not recalled", "from", ps.Addr, "reason", err)
			}
			if err != nil || t.Upto == 0 {
				return
			}
			rep.loop.Do(func() {
				if !p.Held || !p.Ready || p.LeaseRevision != claim {
					return
				}
				now, h, attempts := time.Now(), ReceivedUpdates{}, 0
				h.Apply(t, func(k AttemptID, at time.Time) {
					if rep.ApplyStart(p, k, at) {
						attempts++
					}
				}, now)
				rep.ApplyHints(p, &h, now)
				rep.log.Info("recalled what was known of a part", "part", p.Index, "attempts", attempts, "machines", len(h.Machines))
			})
		})
	}
}

// LeaderUpdate is what the leader told last.
type LeaderUpdate struct {
	From       string
	ReceivedAt time.Time
	Update     *peer.LeaderTale
}

// leaderUpdate is what the leader is about.
func (as *Autoscaler) leaderUpdate(now time.Time) *peer.Tale {
	l := &as.Leadership
	lt := &peer.LeaderTale{}
	for _, name := range slices.Sorted(maps.Keys(l.PendingScaleOut)) {
		r := l.PendingScaleOut[name]
		lt.Rentals = append(lt.Rentals, &peer.RentalTale{Name: name, Type: r.Kind.Type, Zone: r.Kind.Zone, Spot: r.Kind.Spot, Count: uint32(r.Count), Part: uint32(r.Partition)})
	}
	for kind, until := range l.RefusedCapacity {
		if until.After(now) {
			lt.Refused = append(lt.Refused, &peer.RefusalTale{Type: kind.Type, Zone: kind.Zone, Spot: kind.Spot, ForS: until.Sub(now).Seconds()})
		}
	}
	for name, at := range l.MovedAt {
		if as.Machines[name] != nil && len(lt.Moved) < movedMachinesLimit && now.Sub(at) < 2*time.Minute {
			lt.Moved = append(lt.Moved, &peer.MovedTale{Name: name, AgoS: now.Sub(at).Seconds()})
		}
	}
	return &peer.Tale{From: as.Settings.Label, Nonce: as.Nonce, Claim: l.Revision, Leader: lt}
}

// ResumeLeadership goes on with what the leader before was about: what the cloud lacked, which
// machines were moved of late, and its rentals without an answer, which are repeated
// under their own names, so that they rent nothing twice (18).
func (as *Autoscaler) ResumeLeadership(h LeaderUpdate, now time.Time) {
	l := &as.Leadership
	version := l.Revision
	if h.Update == nil || now.Sub(h.ReceivedAt) > leaderUpdateTTL || h.From == as.Settings.Label {
		return
	}
	for _, r := range h.Update.Refused {
		if r.ForS > 0 && r.ForS < 60 {
			l.RefusedCapacity[binpack.MachineKind{Type: r.Type, Zone: r.Zone, Spot: r.Spot}] = h.ReceivedAt.Add(time.Duration(r.ForS * float64(time.Second)))
		}
	}
	for _, m := range h.Update.Moved {
		l.MovedAt[m.Name] = h.ReceivedAt.Add(-time.Duration(m.AgoS * float64(time.Second)))
	}
	for _, r := range h.Update.Rentals {
		if int(r.Part) >= len(as.Partitions) || r.Count == 0 || r.Count > 50 || l.PendingScaleOut[r.Name] != nil {
			continue
		}
		rent := &ScaleOutRequest{Kind: binpack.MachineKind{Type: r.Type, Zone: r.Zone, Spot: r.Spot}, Partition: int(r.Part), Count: int(r.Count)}
		l.PendingScaleOut[r.Name] = rent
		as.log.Info("repeating a rental of the leader before", "request", r.Name, "type", r.Type, "count", r.Count)
		as.loop.Go(func() { as.finishScaleOut(r.Name, rent, version) })
	}
}
