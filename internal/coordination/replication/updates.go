package replication

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/identity"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

const UpdatePath = "/peer/tale"

const StateTransferPath = "/peer/recall"

const updateInterval = time.Second

const updateTimeout = time.Second // for a message and its answer

// UpdateBytesLimit is what one message holds at most; the rest follows with the next. That is
// some 26,000 attempts, or 500 machines with all their images: a standby that knows
// nothing has 4,000 machines and 64,000 attempts after some 10 s.
const UpdateBytesLimit = peerapi.PortableBodyLimit * 3 / 4

// EntryOverheadBytes is what an entry takes beside itself.
const EntryOverheadBytes = 8

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
		part     *cluster.Partition // nil: the leader's
		tale     *peer.ReplicaUpdate
	}
	var out []message
	rep.loop.Do(func() {
		now := time.Now()
		for _, p := range rep.Partitions {
			if ps := rep.Peers[p.Standby]; p.Held && p.Ready && ps != nil && ps.Alive(now) {
				out = append(out, message{p.Standby, ps.Addr, p, rep.PartitionUpdate(p, now)})
			}
		}
		if rep.Leadership.Held {
			tale := rep.autoscaler.LeaderUpdate(now)
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
			reply := new(peer.ReplicaUpdateReply)
			if err := peerapi.Call(ctx, rep.network, updateTimeout, msg.addr, UpdatePath, msg.tale, reply); err != nil {
				rep.log.Debug("tale not told", "to", msg.to, "reason", err)
				return
			}
			if msg.part != nil {
				rep.loop.Do(func() {
					if t := &msg.part.Replication; t.Target == msg.to && msg.part.LeaseRevision == msg.tale.LeaseRevision {
						t.Acknowledged = min(reply.Acknowledged, t.Clock)
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

// PartitionUpdate is what has changed of a part's tale since what its standby has.
func (rep *Replicator) PartitionUpdate(p *cluster.Partition, now time.Time) *peer.ReplicaUpdate {
	t := &p.Replication
	if t.Target != p.Standby {
		t.Target, t.Acknowledged = p.Standby, 0
	}
	tale := &peer.ReplicaUpdate{From: rep.Settings.Label, Nonce: rep.Nonce, LeaseRevision: p.LeaseRevision, Partition: uint32(p.Index), After: t.Acknowledged}
	room := UpdateBytesLimit
	for _, correction := range rep.scheduler.RuntimeCorrections() {
		tale.Classes = append(tale.Classes, correction)
		room -= proto.Size(correction) + EntryOverheadBytes
	}
	list := rep.partitionChanges(p)
	tale.Through = t.Clock
	if !addChanges(tale, list, room, now) {
		rep.bounds.Met(telemetry.ReplicaUpdates, 1)
	}
	return tale
}

// replicaChange is an attempt or a machine of which something changed, and the place of that
// change among all of the part.
type replicaChange struct {
	seq     uint64
	attempt *cluster.Attempt
	machine *cluster.Machine
}

// partitionChanges lists what has changed since what the part's standby has, in order.
func (rep *Replicator) partitionChanges(p *cluster.Partition) (list []replicaChange) {
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
		if tells := m.ReplicatedFacts(); m.ReplicationSeq == 0 || tells != m.Replicated {
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
func addChanges(tale *peer.ReplicaUpdate, list []replicaChange, room int, now time.Time) bool {
	for i, change := range list {
		var at *peer.AttemptStart
		var mt *peer.MachineHint
		if a := change.attempt; a != nil {
			at = &peer.AttemptStart{Job: a.Job.Spec.ID, Task: uint32(a.TaskIndex), Attempt: a.Number, RunningS: a.RunningS(now)}
			room -= proto.Size(at) + EntryOverheadBytes
		} else {
			mt = change.machine.Hint(now)
			room -= proto.Size(mt) + EntryOverheadBytes
		}
		if room < 0 && i > 0 {
			tale.Through = list[i-1].seq
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

// ReceivedUpdates is a part's tale as its owner told it.
type ReceivedUpdates struct {
	Sender, nonce       string
	Lease, Acknowledged uint64
	Machines            map[string]MachineHints
	Classes             []*peer.RuntimeCorrection
	// droppedMachines is how many machines there was no room for since that was last counted.
	droppedMachines int
}

type AttemptID struct {
	Job    string
	Task   int
	Number uint64
}

type MachineHints struct {
	*peer.MachineHint
	PreemptionAt time.Time // zero: not announced
}

// ReplicaMachinesLimit is how many machines a tale may hold: more than any part has, so that only a
// faulty sender is bounded by it.
const ReplicaMachinesLimit = 100_000

// Apply takes a message in and says up to where the tale is known. What comes twice or
// late does nothing; after a gap the sender goes on from what is known.
func (h *ReceivedUpdates) Apply(t *peer.ReplicaUpdate, began func(AttemptID, time.Time), now time.Time) uint64 {
	if t.LeaseRevision < h.Lease {
		return 0 // an owner of before
	}
	if h.Sender != t.From || h.nonce != t.Nonce || h.Lease != t.LeaseRevision {
		*h = ReceivedUpdates{Sender: t.From, nonce: t.Nonce, Lease: t.LeaseRevision}
	}
	if t.After > h.Acknowledged || t.Through < h.Acknowledged {
		return h.Acknowledged
	}
	if h.Machines == nil {
		h.Machines = map[string]MachineHints{}
	}
	for _, a := range t.Attempts {
		if a.RunningS >= 0 && a.RunningS < 1e9 {
			began(AttemptID{Job: a.Job, Task: int(a.Task), Number: a.Attempt}, now.Add(-time.Duration(a.RunningS*float64(time.Second))))
		}
	}
	for _, m := range t.Machines {
		if _, known := h.Machines[m.Name]; !known && len(h.Machines) >= ReplicaMachinesLimit {
			h.droppedMachines++
		} else {
			hm := MachineHints{MachineHint: m}
			if m.PreemptionNoticeS >= 0 && m.PreemptionNoticeS < 1e9 {
				hm.PreemptionAt = now.Add(time.Duration(m.PreemptionNoticeS * float64(time.Second)))
			}
			h.Machines[m.Name] = hm
		}
	}
	h.Acknowledged, h.Classes = t.Through, t.Classes
	return h.Acknowledged
}

// HandleUpdate answers an owner that tells its part's tale, or the leader.
func (rep *Replicator) HandleUpdate(who *auth.Caller, body []byte) transport.Response {
	t := new(peer.ReplicaUpdate)
	if err := proto.Unmarshal(body, t); err != nil {
		return respond.Refuse(400, "bad tale", 0)
	}
	if refusal := rep.auth.CheckSender(who, "peer", identity.Name{Kind: identity.Controller, ID: t.From}); refusal != nil {
		return *refusal
	}
	reply := new(peer.ReplicaUpdateReply)
	rep.loop.Do(func() {
		now := time.Now()
		if t.Leader != nil {
			rep.LastLeaderUpdate = cluster.LeaderUpdate{From: t.From, ReceivedAt: now, Update: t.Leader}
			return
		}
		if fo := rep.Replicas[int(t.Partition)]; fo != nil {
			reply.Acknowledged = fo.Updates.Apply(t, fo.Derived.NoteStart, now)
			rep.bounds.Met(telemetry.ReplicaMachines, fo.Updates.droppedMachines)
			rep.bounds.Met(telemetry.ReplicaStarts, fo.Derived.DroppedStarts)
			fo.Updates.droppedMachines, fo.Derived.DroppedStarts = 0, 0
		}
	})
	return peerapi.Reply(reply)
}

// HandleStateTransfer answers a controller that was started anew: the tale of a part as its former
// life told it here.
func (rep *Replicator) HandleStateTransfer(body []byte) transport.Response {
	req := new(peer.StateTransferRequest)
	if err := proto.Unmarshal(body, req); err != nil {
		return respond.Refuse(400, "bad request", 0)
	}
	tale := &peer.ReplicaUpdate{Partition: req.Partition}
	rep.loop.Do(func() {
		if fo := rep.Replicas[int(req.Partition)]; fo != nil && fo.Updates.Acknowledged != 0 {
			whole := false
			if tale, whole = fo.StateTransfer(time.Now()); !whole {
				rep.bounds.Met(telemetry.StateTransferBytes, 1)
			}
		}
	})
	return peerapi.Reply(tale)
}

// StateTransferBytesLimit is what a recalled tale holds at most, below what a client takes as a
// response: 64,000 attempts take some 2 MB, 4,000 machines 0.4 MB, their images the rest.
const StateTransferBytesLimit = 6 << 20

// StateTransfer is a tale as it was heard, for whoever asks. whole is false if it was too large: it
// lacks images then, which only tell where a start is quick, or even more.
func (fo *Replica) StateTransfer(now time.Time) (t *peer.ReplicaUpdate, whole bool) {
	h := &fo.Updates
	t = &peer.ReplicaUpdate{From: h.Sender, Nonce: h.nonce, LeaseRevision: h.Lease, Partition: uint32(fo.partition), Through: h.Acknowledged, Classes: h.Classes}
	room := StateTransferBytesLimit - proto.Size(t)
	fits := func(m proto.Message) bool {
		room -= proto.Size(m) + EntryOverheadBytes
		return room >= 0
	}
	for id, sj := range fo.Derived.Jobs {
		for task, a := range sj.Live {
			if a.ReplicatedStart.IsZero() {
				continue
			}
			at := &peer.AttemptStart{Job: id, Task: uint32(task), Attempt: a.Number, RunningS: now.Sub(a.ReplicatedStart).Seconds()}
			if !fits(at) {
				return t, false
			}
			t.Attempts = append(t.Attempts, at)
		}
	}
	for _, hm := range h.Machines {
		m := proto.CloneOf(hm.MachineHint)
		m.Images = nil
		if !hm.PreemptionAt.IsZero() {
			m.PreemptionNoticeS = max(0, hm.PreemptionAt.Sub(now).Seconds())
		}
		if !fits(m) {
			return t, false
		}
		t.Machines = append(t.Machines, m)
	}
	for _, m := range t.Machines {
		images := h.Machines[m.Name].Images
		if !fits(&peer.MachineHint{Images: images}) {
			return t, false
		}
		m.Images = images
	}
	return t, true
}

// ApplyStart puts it to an inherited attempt when it did, as its former owner had told.
func (rep *Replicator) ApplyStart(p *cluster.Partition, k AttemptID, at time.Time) bool {
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
func (rep *Replicator) ApplyHints(p *cluster.Partition, h *ReceivedUpdates, now time.Time) {
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
		m.Quarantined, m.SlowTasks = m.Quarantined || mt.Quarantined, max(m.SlowTasks, int(mt.SlowTasks))
		if m.EpochHint < mt.Epoch {
			m.EpochHint = mt.Epoch
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
func (rep *Replicator) RequestStateTransfer(p *cluster.Partition, claim uint64) {
	for _, ps := range rep.Peers {
		rep.loop.Go(func() {
			t := new(peer.ReplicaUpdate)
			err := peerapi.Call(rep.loop.Context(), rep.network, updateTimeout, ps.Addr, StateTransferPath, &peer.StateTransferRequest{Partition: uint32(p.Index)}, t)
			if err != nil && !errors.Is(err, transport.ErrNotSent) {
				rep.log.Debug("tale not recalled", "from", ps.Addr, "reason", err)
			}
			if err != nil || t.Through == 0 {
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
