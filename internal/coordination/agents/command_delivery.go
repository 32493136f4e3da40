package agents

import (
	"cmp"
	"context"
	"errors"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// CommandTimeout is the timeout of a request that sends commands to an agent.
const CommandTimeout = 2500 * time.Millisecond

// errStaleCommands is returned if an agent refused commands because it has received a higher
// fencing token or is in another epoch.
var errStaleCommands = errors.New("agent refused the commands: stale fencing token or epoch")

// SendCommands sends the pending commands to a machine's agent. While a request to the machine is
// in flight, the commands are deferred until the request is answered.
func (a *Agents) SendCommands(machine *cluster.Machine) {
	if machine.CommandRequestsInFlight > 0 {
		machine.CommandsDeferred = true
		return
	}
	a.sendCommandsNow(machine)
}

// sendCommandsNow sends the pending commands to a machine's agent, even if another request to it is
// in flight.
func (a *Agents) sendCommandsNow(machine *cluster.Machine) {
	partition := a.Partitions[machine.Record.Partition]
	if !partition.Ready || !machine.TokenConfirmed || machine.Lost || machine.Record.Addr == "" {
		return
	}
	now := time.Now()
	commands := a.commandsFor(machine, now, false)
	if len(commands) == 0 {
		return
	}
	starts := recordStartsSent(commands, machine)
	machine.CommandsDeferred = false
	a.recordCommandsSent(machine, now)
	batch := protocol.CommandBatch{Token: a.Token(machine), Epoch: machine.Epoch, Commands: commands}
	delegate := partition.Delegations.CommandRoute(machine.Shard, now)
	a.logCommands(machine, batch, cmp.Or(delegate, "direct"))
	name, addr, sentAfter := machine.Name, machine.Record.Addr, machine.Position()
	a.loop.Go(func() {
		heartbeat, sent, err := a.PostCommands(delegate, name, addr, batch)
		a.loop.Do(func() {
			recordStartsAnswered(starts, sent)
			a.applyCommandAnswer(machine, sentAfter, heartbeat, err)
		})
	})
}

// recordStartsSent returns the attempts that a list of commands starts, and counts their starts as
// in flight.
func recordStartsSent(commands []protocol.Command, machine *cluster.Machine) (starts []*cluster.Attempt) {
	for _, command := range commands {
		if command.Op == protocol.OpStart {
			attempt := machine.Attempts[cluster.AttemptKey(command.Task, command.Attempt)]
			attempt.StartsInFlight++
			starts = append(starts, attempt)
		}
	}
	return starts
}

// recordStartsAnswered records that a request with starts is no longer in flight. sent is false if
// the request was certainly refused or can never arrive.
func recordStartsAnswered(starts []*cluster.Attempt, sent bool) {
	for _, attempt := range starts {
		attempt.StartsInFlight--
		attempt.StartMayRepeat = attempt.StartMayRepeat || sent
	}
}

// applyCommandAnswer processes the answer to commands that were sent after the heartbeat at position
// sentAfter was applied, and sends the commands that were deferred.
func (a *Agents) applyCommandAnswer(machine *cluster.Machine, sentAfter cluster.HeartbeatPosition, heartbeat *protocol.Heartbeat, err error) {
	a.recordCommandsAnswered(machine)
	if err != nil {
		a.log.Info("commands not executed or not answered", "machine", machine.Name, "error", err)
	}
	if heartbeat != nil && a.isLedHere(machine) {
		a.detectRestart(machine, sentAfter, heartbeat, time.Now())
		a.ApplyHeartbeat(machine, heartbeat, time.Now())
	}
	if machine.CommandsDeferred && err == nil {
		a.SendCommands(machine)
	}
}

// isLedHere reports whether a machine is still registered, in a partition that this controller
// leads.
func (a *Agents) isLedHere(machine *cluster.Machine) bool {
	return a.Machines[machine.Name] == machine && a.Partitions[machine.Record.Partition].Held
}

// PostCommands sends commands, through the machine's delegate if there is one that accepts them,
// and returns the heartbeat in the agent's answer. sent is false if the commands were certainly
// refused or can never arrive. It blocks, so it is called outside the event loop.
func (a *Agents) PostCommands(delegate, machine, addr string, batch protocol.CommandBatch) (heartbeat *protocol.Heartbeat, sent bool, err error) {
	response, err := a.deliverCommands(delegate, machine, addr, protocol.Encode(batch))
	if err != nil {
		return nil, !errors.Is(err, transport.ErrNotSent), err
	}
	if response.Status != 200 && response.Status != 409 {
		// After a server error, the commands may still be executed.
		return nil, response.Status >= 500, errStaleCommands
	}
	heartbeat = new(protocol.Heartbeat)
	if err := protocol.Decode(response.Body, heartbeat); err != nil {
		return nil, true, err
	}
	if err := heartbeat.Check(); err != nil {
		return nil, true, err
	}
	if response.Status == 409 {
		return heartbeat, false, errStaleCommands
	}
	return heartbeat, true, nil
}

// deliverCommands sends encoded commands to the machine's delegate, or directly to the agent if
// there is no delegate or the delegate certainly did not receive them.
func (a *Agents) deliverCommands(delegate, machine, addr string, body []byte) (*transport.Response, error) {
	if delegate != "" {
		response, err := a.proxy.ForwardCommands(delegate, machine, body)
		if !errors.Is(err, transport.ErrNotSent) {
			return response, err
		}
	}
	ctx, cancel := context.WithTimeout(a.loop.Context(), CommandTimeout)
	defer cancel()
	return a.network.Do(ctx, addr, "POST", "/orders", body)
}

// Fence sends the current fencing token to a machine's agent in a message without commands, instead
// of waiting for the agent's next heartbeat. From then on, the agent refuses commands of earlier
// leaders (rule 7).
func (a *Agents) Fence(machine *cluster.Machine) {
	machine.TokenConfirmed = false
	a.sendFence(machine)
}

// sendFence sends a message without commands, which carries the current fencing token. It sends
// nothing to a lost machine, and nothing while an earlier request is in flight that may wait.
func (a *Agents) sendFence(machine *cluster.Machine) {
	if machine.Record.Addr == "" || machine.Lost {
		return
	}
	// If a cancelled task is still to be stopped, the message is sent even though an earlier
	// request has not been answered.
	if machine.CommandRequestsInFlight > 0 && !a.mayRepeat(machine) {
		return
	}
	now := time.Now()
	a.recordCommandsSent(machine, now)
	machine.FenceRetryAt = now.Add(fenceBackoff.First)
	batch := protocol.CommandBatch{Token: a.Token(machine), Epoch: max(machine.Epoch, machine.ReplicatedEpoch, 1), Commands: []protocol.Command{}}
	delegate := a.Partitions[machine.Record.Partition].Delegations.FenceRoute(machine.Shard, now)
	name, addr, sentAfter := machine.Name, machine.Record.Addr, machine.Position()
	a.loop.Go(func() {
		heartbeat, err := a.postFence(delegate, name, addr, batch)
		a.loop.Do(func() { a.applyFenceAnswer(machine, sentAfter, heartbeat, err) })
	})
}

// postFence sends a batch without commands, and repeats the batch once if the agent answers with
// another epoch.
func (a *Agents) postFence(delegate, machine, addr string, batch protocol.CommandBatch) (*protocol.Heartbeat, error) {
	heartbeat, _, err := a.PostCommands(delegate, machine, addr, batch)
	if heartbeat != nil && errors.Is(err, errStaleCommands) && heartbeat.Epoch != batch.Epoch {
		batch.Epoch = heartbeat.Epoch
		heartbeat, _, err = a.PostCommands(delegate, machine, addr, batch)
	}
	return heartbeat, err
}

// applyFenceAnswer processes the answer to a fencing message that was sent after the heartbeat at
// position sentAfter was applied.
func (a *Agents) applyFenceAnswer(machine *cluster.Machine, sentAfter cluster.HeartbeatPosition, heartbeat *protocol.Heartbeat, err error) {
	a.recordCommandsAnswered(machine)
	a.recordFenceAnswered(machine)
	if err != nil {
		a.recordFenceFailed(machine, time.Now(), err)
		return
	}
	if a.isLedHere(machine) && heartbeat.Machine == machine.Name {
		machine.LastHeartbeatAt = time.Now()
		a.detectRestart(machine, sentAfter, heartbeat, time.Now())
		a.ApplyHeartbeat(machine, heartbeat, time.Now())
		a.SendCommands(machine)
	}
}
