package agents

import (
	"time"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// Why a heartbeat is refused; the agent tries another controller, or this one again.
var (
	errNotOnRecord = apierror.NotReady("machine is not on record", 1)
	// errSuperseded: the agent has seen a higher fencing token.
	errSuperseded = apierror.NotReady("superseded", 1)
	// errOldHeartbeat: answering it could not extend the machine's lease.
	errOldHeartbeat = apierror.NotReady("a newer report has come, or the machine is gone", 1)
	// errNoLeader: no other controller is known to lead the partition, and this one may not answer.
	errNoLeader = apierror.NotReady("part has no owner here", 1)
)

// HandleHeartbeat answers an agent's heartbeat, of which raw is the body.
func (a *Agents) HandleHeartbeat(heartbeat *protocol.Heartbeat, raw []byte) transport.Response {
	now := time.Now()
	machine := a.Machines[heartbeat.Machine]
	if machine == nil {
		a.noteUnregistered(heartbeat)
		return apierror.Response(errNotOnRecord)
	}
	partition := a.Partitions[machine.Record.Partition]
	if response, delegated := a.proxy.AnswerHeartbeat(machine, heartbeat, raw, now); delegated {
		return response
	}
	machine.LastContactAt = now
	if !a.MayAnswerHeartbeats(partition, now) {
		return a.redirectToLeader(partition, machine, now)
	}
	token := a.Token(machine)
	if heartbeat.Token > token {
		// A newer leader commands this machine; its agent would drop an answer, which would
		// only keep it coming here.
		return apierror.Response(errSuperseded)
	}
	if machine.DeleteConfirmed || !machine.AcceptHeartbeat(heartbeat) {
		return apierror.Response(errOldHeartbeat)
	}
	if heartbeat.Addr != "" {
		machine.Record.Addr = heartbeat.Addr
	}
	a.ApplyHeartbeat(machine, heartbeat, now)
	machine.LastHeartbeatAt = now
	if delegate := a.proxy.RedirectTarget(partition, machine, now); delegate != "" {
		return redirect(delegate)
	}
	// From here on the answer extends the machine lease.
	machine.AnsweredUntil = now
	batch := protocol.CommandBatch{Token: token}
	if partition.Ready && machine.TokenConfirmed {
		batch.Commands = a.commandsFor(machine, now, true)
	} else {
		batch.Commands = a.StopsForCancelledJobs(heartbeat)
	}
	return transport.Response{Status: 200, Body: protocol.Encode(batch)}
}

// noteUnregistered remembers a machine that is not on record, for the cluster leader to adopt.
// Machines whose record was just deleted and records not yet read are no reason for that.
func (a *Agents) noteUnregistered(heartbeat *protocol.Heartbeat) {
	if _, deleted := a.DeletedMachines[heartbeat.Machine]; deleted || !a.Synced {
		return
	}
	a.UnregisteredMachines[heartbeat.Machine] = &peer.UnregisteredMachine{
		Name: heartbeat.Machine,
		Addr: heartbeat.Addr,
		Type: heartbeat.Type,
		Zone: heartbeat.Zone,
		Spot: heartbeat.Spot,
	}
}

// redirectToLeader sends an agent that this controller may not answer to its partition leader,
// if there is another, and notes that it came here.
func (a *Agents) redirectToLeader(partition *cluster.Partition, machine *cluster.Machine, now time.Time) transport.Response {
	if partition.Leader == "" || partition.Leader == a.Settings.Label {
		return apierror.Response(errNoLeader)
	}
	a.DivertedMachines[machine.Name] = now
	a.leases.NoteDiverted(partition.Leader, machine.Name, now)
	return redirect(partition.Leader)
}

// redirect tells an agent to which controller it should send its heartbeats.
func redirect(label string) transport.Response {
	return transport.Response{Status: 421, Body: protocol.Encode(protocol.AssignedController{Controller: label})}
}

// StopsForCancelledJobs returns the stops of the tasks of cancelled jobs that a heartbeat shows.
// Whoever answers a heartbeat extends the lease under which its tasks run, so nobody may do so
// for a task of a job that it knows to be cancelled: neither a leader that has not yet read its
// partition's records nor a delegate, which both decide nothing else. A cancellation is final,
// so the stop needs no token check.
func (a *Agents) StopsForCancelledJobs(heartbeat *protocol.Heartbeat) []protocol.Command {
	commands := []protocol.Command{}
	for _, task := range heartbeat.Tasks {
		job, _, ok := protocol.ParseTask(task.Task)
		if ok && task.State != protocol.TaskEnded && a.FinalStates[job] == protocol.StatusCancelled {
			commands = append(commands, protocol.Command{Op: protocol.OpStop, Task: task.Task, Attempt: task.Attempt})
		}
	}
	return commands[:min(len(commands), commandsLimit)]
}

// ApplyHeartbeat takes in what a heartbeat says, whether it came directly, by way of a delegate or
// as the answer to commands. Heartbeats that are not the newest of their machine are ignored.
func (a *Agents) ApplyHeartbeat(machine *cluster.Machine, heartbeat *protocol.Heartbeat, now time.Time) {
	partition := a.Partitions[machine.Record.Partition]
	if !partition.Ready || machine.DeleteConfirmed || !machine.IsNewer(heartbeat) {
		return
	}
	if (!machine.HasReported || heartbeat.Epoch > machine.Epoch) && machine.AnsweredUntil.Before(now) {
		// The lease of an agent epoch counts from its beginning, which lies before its first
		// heartbeat, until a heartbeat is answered: one that was redirected to a delegate
		// was not.
		machine.AnsweredUntil = now
	}
	a.noteReporting(machine, heartbeat, now)
	a.applyEpoch(machine, heartbeat, now)
	a.applyPreemptionNotice(machine, heartbeat, now)
	if heartbeat.Token != a.Token(machine) {
		a.Fence(machine)
		return
	}
	if !machine.TokenConfirmed {
		machine.TokenConfirmed = true
		partition.Wake()
		a.log.Debug("machine fenced", "machine", machine.Name, "token", heartbeat.Token)
	}
	a.reconcile(machine, heartbeat, now)
	if !machine.PreemptionAt.IsZero() {
		a.evacuate(machine, now)
	}
	if len(machine.Attempts) > 0 || len(machine.OrphanedTasks) > 0 {
		machine.IdleSince = now
	}
}

// noteReporting notes that a machine reports for the first time, or again after its lease
// expired.
func (a *Agents) noteReporting(machine *cluster.Machine, heartbeat *protocol.Heartbeat, now time.Time) {
	if !machine.HasReported {
		machine.HasReported, machine.IdleSince = true, now
		a.log.Info("machine reporting", "machine", machine.Name, "type", machine.Record.Type, "zone", machine.Record.Zone, "spot", machine.Record.Spot)
	}
	if machine.Lost {
		machine.Lost = false
		a.log.Info("lost machine reporting again", "machine", machine.Name, "epoch", heartbeat.Epoch)
	}
}

// applyEpoch takes in the agent epoch and sequence number of a heartbeat. The attempts of
// earlier epochs ended with those.
func (a *Agents) applyEpoch(machine *cluster.Machine, heartbeat *protocol.Heartbeat, now time.Time) {
	if heartbeat.Epoch > machine.Epoch {
		if machine.Epoch != 0 {
			a.log.Info("agent epoch ended", "machine", machine.Name, "epoch", heartbeat.Epoch)
		}
		clear(machine.OrphanedTasks)
	}
	// Not only when the epoch changes: records read at a takeover may hold attempts of epochs
	// that ended before.
	if machine.HasAttemptBeforeEpoch(heartbeat.Epoch) {
		for _, attempt := range machine.SortedAttempts() {
			if attempt.Epoch < heartbeat.Epoch {
				a.ReleaseAttempt(attempt, "agent epoch ended", now)
			}
		}
	}
	machine.Epoch, machine.Sequence = heartbeat.Epoch, heartbeat.Sequence
}

// applyPreemptionNotice takes in that the cloud is going to take a spot machine away.
func (a *Agents) applyPreemptionNotice(machine *cluster.Machine, heartbeat *protocol.Heartbeat, now time.Time) {
	if heartbeat.PreemptionNoticeS == nil {
		return
	}
	after := time.Duration(*heartbeat.PreemptionNoticeS * float64(time.Second))
	if machine.PreemptionAt.IsZero() {
		a.log.Info("preemption notice received", "machine", machine.Name, "after", after)
	}
	machine.PreemptionAt = now.Add(after)
}
