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
	// ReplicaMachinesLimit is the maximum number of machines kept from a partition's updates. It is
	// larger than any partition, so that only the updates of a faulty sender exceed it.
	ReplicaMachinesLimit = 100_000
	// secondsLimit is the upper limit of a received number of seconds: larger ones could overflow a
	// time.Duration.
	secondsLimit = 1e9
)

// MachineHints is a received hint on a machine, with its preemption time converted to local time.
type MachineHints struct {
	*peer.MachineHint
	// PreemptionAt is the time at which the cloud will preempt the machine; zero if there was no
	// preemption notice.
	PreemptionAt time.Time
}

// ReceivedUpdates is the accumulated content of the updates from a partition's leader.
type ReceivedUpdates struct {
	// Sender and nonce identify the incarnation of the sending controller. LeaseRevision is the
	// revision of its partition lease.
	Sender, nonce string
	LeaseRevision uint64
	// Acknowledged is the sequence number up to which all updates were received; 0 if none were.
	Acknowledged uint64
	Machines     map[string]MachineHints
	Corrections  []*peer.RuntimeCorrection
	// droppedMachines counts the machines dropped at ReplicaMachinesLimit since the last report.
	droppedMachines int
}

// Apply applies an update and returns the sequence number up to which all updates were received.
// Duplicate and late updates are ignored, as are those after a gap: the sender then continues from
// the returned number. storeStart is called with each attempt's start time.
func (u *ReceivedUpdates) Apply(update *peer.ReplicaUpdate, storeStart func(AttemptID, time.Time), now time.Time) uint64 {
	if update.LeaseRevision < u.LeaseRevision {
		return 0 // the update is from a former leader
	}
	if u.Sender != update.From || u.nonce != update.Nonce || u.LeaseRevision != update.LeaseRevision {
		*u = ReceivedUpdates{Sender: update.From, nonce: update.Nonce, LeaseRevision: update.LeaseRevision}
	}
	if update.After > u.Acknowledged || update.Through < u.Acknowledged {
		return u.Acknowledged
	}
	for _, start := range update.Attempts {
		if running, ok := parseSeconds(start.RunningS); ok {
			storeStart(AttemptID{Job: start.Job, Task: int(start.Task), Number: start.Attempt}, now.Add(-running))
		}
	}
	if u.Machines == nil {
		u.Machines = map[string]MachineHints{}
	}
	for _, hint := range update.Machines {
		u.storeMachineHint(hint, now)
	}
	u.Acknowledged, u.Corrections = update.Through, update.Classes
	return u.Acknowledged
}

// storeMachineHint stores the hint on a machine, unless ReplicaMachinesLimit is reached.
func (u *ReceivedUpdates) storeMachineHint(hint *peer.MachineHint, now time.Time) {
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

// parseSeconds converts a received number of seconds. ok is false if it is negative, which means
// that there is no value, or not below secondsLimit.
func parseSeconds(seconds float64) (d time.Duration, ok bool) {
	if seconds >= 0 && seconds < secondsLimit {
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, false
}

// HandleUpdate handles an update from a partition leader or the cluster leader.
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
			reply.Acknowledged = replica.Updates.Apply(update, replica.Derived.StoreStart, now)
			r.reportDropped(replica)
		}
	})
	return reply, nil
}

// reportDropped reports the entries that a replica dropped at its limits, and resets the counts.
func (r *Replicator) reportDropped(replica *Replica) {
	r.bounds.ReportExceeded(telemetry.ReplicaMachines, replica.Updates.droppedMachines)
	r.bounds.ReportExceeded(telemetry.ReplicaStarts, replica.Derived.DroppedStarts)
	replica.Updates.droppedMachines, replica.Derived.DroppedStarts = 0, 0
}
