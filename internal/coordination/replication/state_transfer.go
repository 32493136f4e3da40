package replication

import (
	"errors"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/peerapi"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

const (
	// StateTransferPath is the path at which a controller returns the updates that it has received
	// for a partition.
	StateTransferPath = "/peer/recall"
	// StateTransferBytesLimit is the maximum size of a state transfer, below the size at which a
	// client refuses a response. 64,000 attempts take about 2 MB and 4,000 machines 0.4 MB; the
	// rest is for the lists of the machines' images.
	StateTransferBytesLimit = 6 << 20
)

// HandleStateTransfer returns the received updates of a partition to its new leader, usually a
// restarted controller whose earlier incarnation sent them.
func (r *Replicator) HandleStateTransfer(body []byte) (*peer.ReplicaUpdate, error) {
	request := new(peer.StateTransferRequest)
	if err := proto.Unmarshal(body, request); err != nil {
		return nil, apierror.New(http.StatusBadRequest, "bad request")
	}
	transfer := &peer.ReplicaUpdate{Partition: request.Partition}
	r.loop.Do(func() {
		if replica := r.Replicas[int(request.Partition)]; replica != nil && replica.Updates.Acknowledged != 0 {
			complete := false
			if transfer, complete = replica.StateTransfer(time.Now()); !complete {
				r.bounds.ReportExceeded(telemetry.StateTransferBytes, 1)
			}
		}
	})
	return transfer, nil
}

// StateTransfer returns the received updates of the replica's partition, for its new leader. complete
// is false if they exceed StateTransferBytesLimit. In that case, images are left out first, since they
// are only used to predict the start-up time of tasks, then machines, then start times.
func (r *Replica) StateTransfer(now time.Time) (transfer *peer.ReplicaUpdate, complete bool) {
	updates := &r.Updates
	transfer = &peer.ReplicaUpdate{From: updates.Sender, Nonce: updates.nonce, LeaseRevision: updates.LeaseRevision, Partition: uint32(r.partition),
		Through: updates.Acknowledged, Classes: updates.Corrections}
	budget := byteBudget(StateTransferBytesLimit - proto.Size(transfer))
	complete = r.addStarts(transfer, &budget, now) && updates.addMachines(transfer, &budget, now) && updates.addImages(transfer, &budget)
	return transfer, complete
}

// byteBudget is the number of bytes that can still be added to a message.
type byteBudget int

// take subtracts the size of an entry from the budget, and reports whether the entry fits.
func (b *byteBudget) take(entry proto.Message) bool {
	*b -= byteBudget(proto.Size(entry) + EntryOverheadBytes)
	return *b >= 0
}

// addStarts adds the start times of attempts and reports whether all fit.
func (r *Replica) addStarts(transfer *peer.ReplicaUpdate, budget *byteBudget, now time.Time) bool {
	for id, job := range r.Derived.Jobs {
		for task, a := range job.Live {
			if a.ReplicatedStart.IsZero() {
				continue
			}
			start := &peer.AttemptStart{Job: id, Task: uint32(task), Attempt: a.Number, RunningS: now.Sub(a.ReplicatedStart).Seconds()}
			if !budget.take(start) {
				return false
			}
			transfer.Attempts = append(transfer.Attempts, start)
		}
	}
	return true
}

// addMachines adds the machines without their images and reports whether all fit.
func (u *ReceivedUpdates) addMachines(transfer *peer.ReplicaUpdate, budget *byteBudget, now time.Time) bool {
	for _, hints := range u.Machines {
		hint := proto.CloneOf(hints.MachineHint)
		hint.Images = nil
		if !hints.PreemptionAt.IsZero() {
			hint.PreemptionNoticeS = max(0, hints.PreemptionAt.Sub(now).Seconds())
		}
		if !budget.take(hint) {
			return false
		}
		transfer.Machines = append(transfer.Machines, hint)
	}
	return true
}

// addImages adds the images of the added machines and reports whether all fit.
func (u *ReceivedUpdates) addImages(transfer *peer.ReplicaUpdate, budget *byteBudget) bool {
	for _, hint := range transfer.Machines {
		images := u.Machines[hint.Name].Images
		if !budget.take(&peer.MachineHint{Images: images}) {
			return false
		}
		hint.Images = images
	}
	return true
}

// RequestStateTransfer requests the updates of a partition from all other controllers. It is called
// after a takeover if this controller has received no updates, usually because of a restart.
func (r *Replicator) RequestStateTransfer(p *cluster.Partition, leaseRevision uint64) {
	for label, other := range r.Peers {
		r.loop.Go(func() {
			transfer := new(peer.ReplicaUpdate)
			request := &peer.StateTransferRequest{Partition: uint32(p.Index)}
			err := peerapi.Call(r.loop.Context(), r.network, updateTimeout, other.Addr, StateTransferPath, request, transfer)
			if err != nil && !errors.Is(err, transport.ErrNotSent) {
				r.log.Debug("state transfer failed", "partition", p.Index, "controller", label, "error", err)
			}
			if err != nil || transfer.Through == 0 {
				return
			}
			r.loop.Do(func() { r.applyStateTransfer(p, leaseRevision, transfer) })
		})
	}
}

// applyStateTransfer applies a state transfer from another controller, if this controller still
// leads the partition under the lease with this revision.
func (r *Replicator) applyStateTransfer(p *cluster.Partition, leaseRevision uint64, transfer *peer.ReplicaUpdate) {
	if !p.Held || !p.Ready || p.LeaseRevision != leaseRevision {
		return
	}
	now, updates, starts := time.Now(), ReceivedUpdates{}, 0
	updates.Apply(transfer, func(id AttemptID, at time.Time) {
		if r.ApplyStart(p, id, at) {
			starts++
		}
	}, now)
	r.ApplyHints(p, &updates, now)
	r.log.Info("state transfer received", "partition", p.Index, "attempts", starts, "machines", len(updates.Machines))
}
