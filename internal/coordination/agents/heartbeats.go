package agents

import (
	"time"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/failover"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/transport"
)

// Errors with which a heartbeat is refused. The agent retries with this or another controller.
var (
	errUnregisteredMachine = apierror.NotReady("machine is not on record", 1)
	// errSuperseded means that the agent has received a higher fencing token.
	errSuperseded = apierror.NotReady("superseded", 1)
	// errStaleHeartbeat means that a newer heartbeat was received or the machine is deleted, so
	// no answer may extend the machine's lease.
	errStaleHeartbeat = apierror.NotReady("a newer report has come, or the machine is gone", 1)
	// errNoLeader means that this controller may not answer and no other controller is on
	// record as the partition's leader.
	errNoLeader = apierror.NotReady("part has no owner here", 1)
)

// HandleHeartbeat answers an agent's heartbeat. raw is the encoded heartbeat.
func (a *Agents) HandleHeartbeat(heartbeat *protocol.Heartbeat, raw []byte) transport.Response {
	now := time.Now()
	machine := a.Machines[heartbeat.Machine]
	if machine == nil {
		a.recordUnregistered(heartbeat)
		return apierror.Response(errUnregisteredMachine)
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
		// The machine has a newer leader. The agent would discard an answer of this
		// controller, but continue to send heartbeats here.
		return apierror.Response(errSuperseded)
	}
	if machine.DeleteConfirmed || !machine.AcceptHeartbeat(heartbeat) {
		a.ProbeIfRestarted(machine, now)
		return apierror.Response(errStaleHeartbeat)
	}
	if heartbeat.Addr != "" {
		machine.Record.Addr = heartbeat.Addr
	}
	a.ApplyHeartbeat(machine, heartbeat, now)
	machine.LastHeartbeatAt = now
	if delegate := a.proxy.RedirectTarget(partition, machine, now); delegate != "" {
		return redirect(delegate)
	}
	// The agent extends the machine lease when it receives this answer.
	machine.Answers.Answered(now)
	batch := protocol.CommandBatch{Token: token}
	if partition.Ready && machine.TokenConfirmed {
		batch.Commands = a.commandsFor(machine, now, true)
		a.logCommands(machine, batch, "heartbeat")
	} else {
		batch.Commands = a.StopsForCancelledJobs(heartbeat)
	}
	if partition.Ready && heartbeat.Token < a.FencingToken(machine) {
		a.logOlderToken(machine, heartbeat, token, now)
	}
	return transport.Response{Status: 200, Body: protocol.Encode(batch)}
}

// recordUnregistered records a machine that has no record, so that the cluster leader can adopt it.
// It ignores machines whose record was recently deleted, and all machines until this controller has
// read the records.
func (a *Agents) recordUnregistered(heartbeat *protocol.Heartbeat) {
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

// redirectToLeader answers a heartbeat that this controller may not accept: it redirects the agent
// to the partition's leader, if that is another controller, and records that the agent contacted
// this one.
func (a *Agents) redirectToLeader(partition *cluster.Partition, machine *cluster.Machine, now time.Time) transport.Response {
	if partition.Leader == "" || partition.Leader == a.Settings.Label {
		return apierror.Response(errNoLeader)
	}
	a.DivertedMachines[machine.Name] = now
	a.leases.AddDivertedMachine(partition.Leader, machine.Name, now)
	return redirect(partition.Leader)
}

// redirect returns a response that makes an agent send its heartbeats to another controller.
func redirect(label string) transport.Response {
	return transport.Response{Status: 421, Body: protocol.Encode(protocol.AssignedController{Controller: label})}
}

// StopsForCancelledJobs returns stop commands for the tasks in a heartbeat whose jobs are
// cancelled. An answer to a heartbeat extends the lease under which the machine's tasks run, so the
// answer must stop the tasks of jobs that are known to be cancelled. This holds even for a
// delegate, and for a leader that has not yet read its partition's records, although neither sends
// any other command. A cancellation is final, so stops are safe without a check of the fencing
// token.
func (a *Agents) StopsForCancelledJobs(heartbeat *protocol.Heartbeat) []protocol.Command {
	commands := []protocol.Command{}
	for _, task := range heartbeat.Tasks {
		job, _, ok := protocol.ParseTaskName(task.Task)
		if ok && task.State != protocol.TaskEnded && a.FinalStates[job] == protocol.StatusCancelled {
			commands = append(commands, protocol.Command{Op: protocol.OpStop, Task: task.Task, Attempt: task.Attempt})
		}
	}
	return commands[:min(len(commands), commandsLimit)]
}

// ApplyHeartbeat updates the state of a machine from a heartbeat, which may have been received
// directly, through a delegate or as the answer to commands. Heartbeats older than the last one
// applied are ignored.
func (a *Agents) ApplyHeartbeat(machine *cluster.Machine, heartbeat *protocol.Heartbeat, now time.Time) {
	partition := a.Partitions[machine.Record.Partition]
	if !partition.Ready || machine.DeleteConfirmed || !machine.IsNewer(heartbeat) {
		return
	}
	if !machine.HasReported || heartbeat.Epoch > machine.Epoch {
		// The agent's lease runs from the beginning of its epoch until a heartbeat is
		// answered. The epoch began before its first heartbeat, and a redirect to a
		// delegate is not an answer.
		machine.Answers.Answered(now)
	}
	a.recordReporting(machine, heartbeat, now)
	a.applyEpoch(machine, heartbeat, now)
	a.applyPreemptionNotice(machine, heartbeat, now)
	if heartbeat.Token < a.FencingToken(machine) || heartbeat.Token > a.Token(machine) {
		a.Fence(machine)
		return
	}
	machine.TokenSeen = heartbeat.Token
	a.confirmToken(machine, partition, now)
	a.reconcile(machine, heartbeat, now)
	if !machine.PreemptionAt.IsZero() {
		a.evacuate(machine, now)
	}
	if machine.ReleasedAttempts() < len(machine.Attempts) || len(machine.OrphanedTasks) > 0 {
		machine.IdleSince = now
	}
}

// confirmToken records that a machine's agent has received this leader's fencing token. From then on the
// agent discards the answers of former leaders.
func (a *Agents) confirmToken(machine *cluster.Machine, partition *cluster.Partition, now time.Time) {
	others := machine.Answers.Others()
	machine.Answers.OthersStopped(failover.AnswerBound{Until: now, Controller: others.Controller, Reason: failover.BoundByNewToken})
	if machine.TokenConfirmed {
		return
	}
	machine.TokenConfirmed = true
	machine.FenceFailures, machine.FenceRetryAt = 0, time.Time{}
	partition.Wake()
	a.log.With(boundAttributes(others, now)...).Info("machine fenced", "machine", machine.Name, "epoch", machine.Epoch, "token", machine.TokenSeen)
}

// recordReporting updates a machine whose first heartbeat was received, and one that is no longer
// lost.
func (a *Agents) recordReporting(machine *cluster.Machine, heartbeat *protocol.Heartbeat, now time.Time) {
	if !machine.HasReported {
		machine.HasReported, machine.IdleSince = true, now
		a.log.Info("first heartbeat received", "machine", machine.Name, "type", machine.Record.Type, "zone", machine.Record.Zone, "spot", machine.Record.Spot)
	}
	if machine.Lost {
		machine.Lost = false
		a.log.Info("heartbeat received from lost machine", "machine", machine.Name, "epoch", heartbeat.Epoch)
	}
}

// applyEpoch records the agent epoch and sequence number of a heartbeat, and releases the attempts
// of earlier epochs, which ended with those epochs.
func (a *Agents) applyEpoch(machine *cluster.Machine, heartbeat *protocol.Heartbeat, now time.Time) {
	if heartbeat.Epoch > machine.Epoch {
		if machine.Epoch != 0 {
			a.log.Info("agent epoch ended", "machine", machine.Name, "epoch", heartbeat.Epoch)
		}
		clear(machine.OrphanedTasks)
	}
	// This is checked even if the epoch has not changed: run records read at a takeover may
	// contain attempts of earlier epochs.
	if machine.HasAttemptBeforeEpoch(heartbeat.Epoch) {
		for _, attempt := range machine.SortedAttempts() {
			if attempt.Epoch < heartbeat.Epoch {
				a.ReleaseAttempt(attempt, "agent epoch ended", now)
			}
		}
	}
	machine.Epoch, machine.Sequence = heartbeat.Epoch, heartbeat.Sequence
}

// applyPreemptionNotice records the time at which the cloud is going to preempt a spot machine.
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
