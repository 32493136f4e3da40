package replication

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/auth"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
)

const (
	// ReplicaMachinesLimit is how many machines the updates of a partition may hold: more than any
	// partition has, so that only a faulty sender is bounded by it.
	ReplicaMachinesLimit = 100_000
	// secondsLimit bounds the seconds that a sender may name: beyond it a duration could overflow.
	secondsLimit = 1e9
)

// MachineHints is what was received of a machine.
type MachineHints struct {
	*peer.MachineHint
	// PreemptionAt is when the cloud takes it away; zero: that was not announced.
	PreemptionAt time.Time
}

// ReceivedUpdates is what the leader of a partition has sent of it.
type ReceivedUpdates struct {
	// Sender, nonce and Lease are the incarnation that sent it, and the revision of its lease.
	Sender, nonce string
	Lease         uint64
	// Acknowledged is up to where the updates are known; 0: nothing is.
	Acknowledged uint64
	Machines     map[string]MachineHints
	Classes      []*peer.RuntimeCorrection
	// droppedMachines is for how many machines there was no space since that was last counted.
	droppedMachines int
}

// Apply applies an update and returns up to where the updates are known. What comes twice or late
// does nothing; after a gap the sender goes on from what is known. noteStart is called with each
// attempt's start.
func (u *ReceivedUpdates) Apply(update *peer.ReplicaUpdate, noteStart func(AttemptID, time.Time), now time.Time) uint64 {
	if update.LeaseRevision < u.Lease {
		return 0 // from a former leader
	}
	if u.Sender != update.From || u.nonce != update.Nonce || u.Lease != update.LeaseRevision {
		*u = ReceivedUpdates{Sender: update.From, nonce: update.Nonce, Lease: update.LeaseRevision}
	}
	if update.After > u.Acknowledged || update.Through < u.Acknowledged {
		return u.Acknowledged
	}
	for _, start := range update.Attempts {
		if running, ok := parseSeconds(start.RunningS); ok {
			noteStart(AttemptID{Job: start.Job, Task: int(start.Task), Number: start.Attempt}, now.Add(-running))
		}
	}
	if u.Machines == nil {
		u.Machines = map[string]MachineHints{}
	}
	for _, hint := range update.Machines {
		u.noteMachine(hint, now)
	}
	u.Acknowledged, u.Classes = update.Through, update.Classes
	return u.Acknowledged
}

// noteMachine stores what was received of a machine, if there is space for it.
func (u *ReceivedUpdates) noteMachine(hint *peer.MachineHint, now time.Time) {
	if _, known := u.Machines[hint.Name]; !known && len(u.Machines) >= ReplicaMachinesLimit {
		u.droppedMachines++
		return
	}
	hints := MachineHints{MachineHint: hint}
	if notice, ok := parseSeconds(hint.PreemptionNoticeS); ok {
		hints.PreemptionAt = now.Add(notice)
	}
	u.Machines[hint.Name] = hints
}

// parseSeconds reads seconds that a sender named; ok is false if they are negative, which says that
// there are none, or beyond all bounds.
func parseSeconds(seconds float64) (d time.Duration, ok bool) {
	if seconds >= 0 && seconds < secondsLimit {
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, false
}

// HandleUpdate answers a partition leader's or the cluster leader's update.
func (r *Replicator) HandleUpdate(caller *auth.Caller, body []byte) (*peer.ReplicaUpdateReply, error) {
	update := new(peer.ReplicaUpdate)
	if err := proto.Unmarshal(body, update); err != nil {
		return nil, apierror.New(http.StatusBadRequest, "bad replica update")
	}
	if err := r.auth.CheckPeer(caller, update.From); err != nil {
		return nil, err
	}
	reply := new(peer.ReplicaUpdateReply)
	r.loop.Do(func() {
		now := time.Now()
		if update.Leader != nil {
			r.LastLeaderUpdate = cluster.LeaderUpdate{From: update.From, ReceivedAt: now, Update: update.Leader}
			return
		}
		if replica := r.Replicas[int(update.Partition)]; replica != nil {
			reply.Acknowledged = replica.Updates.Apply(update, replica.Derived.NoteStart, now)
			r.reportDropped(replica)
		}
	})
	return reply, nil
}

// reportDropped reports what a replica had no space for.
func (r *Replicator) reportDropped(replica *Replica) {
	r.bounds.Met(telemetry.ReplicaMachines, replica.Updates.droppedMachines)
	r.bounds.Met(telemetry.ReplicaStarts, replica.Derived.DroppedStarts)
	replica.Updates.droppedMachines, replica.Derived.DroppedStarts = 0, 0
}
