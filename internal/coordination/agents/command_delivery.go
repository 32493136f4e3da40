package agents

import (
	"context"
	"errors"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// CommandTimeout is how long an agent's answer to commands is waited for.
const CommandTimeout = 2500 * time.Millisecond

// errStaleCommand says that an agent refused commands, since it has seen a higher token or is
// in another epoch.
var errStaleCommand = errors.New("agent refused the commands: stale token or epoch")

// SendCommands sends what a machine's agent should do, one request at a time for each machine.
func (a *Agents) SendCommands(machine *cluster.Machine) {
	if machine.CommandRequestsInFlight > 0 {
		machine.CommandsDeferred = true
		return
	}
	a.sendCommandsNow(machine)
}

// sendCommandsNow sends what a machine's agent should do, whatever other requests are under way.
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
	starts := startedBy(commands, machine)
	machine.CommandsDeferred = false
	a.commandsSent(machine, now)
	batch := protocol.CommandBatch{Token: a.Token(machine), Epoch: machine.Epoch, Commands: commands}
	delegate := partition.Delegations.CommandRoute(machine.Shard, now)
	name, addr := machine.Name, machine.Record.Addr
	a.loop.Go(func() {
		heartbeat, sent, err := a.PostCommands(delegate, name, addr, batch)
		a.loop.Do(func() {
			startsAnswered(starts, sent && heartbeat == nil)
			a.applyCommandAnswer(machine, heartbeat, err)
		})
	})
}

// startedBy lists the attempts that commands start, and notes that their starts are under way.
func startedBy(commands []protocol.Command, machine *cluster.Machine) (starts []*cluster.Attempt) {
	for _, command := range commands {
		if command.Op == protocol.OpStart {
			attempt := machine.Attempts[cluster.AttemptKey(command.Task, command.Attempt)]
			attempt.StartsInFlight++
			starts = append(starts, attempt)
		}
	}
	return starts
}

// startsAnswered notes that starts are under way no more. If nobody knows whether they arrived,
// they still may.
func startsAnswered(starts []*cluster.Attempt, unanswered bool) {
	for _, attempt := range starts {
		attempt.StartsInFlight--
		if unanswered {
			attempt.StartUnanswered = true
		}
	}
}

// applyCommandAnswer takes in the answer to commands, and sends what has come up meanwhile.
func (a *Agents) applyCommandAnswer(machine *cluster.Machine, heartbeat *protocol.Heartbeat, err error) {
	a.commandsAnswered(machine)
	if err != nil {
		a.log.Debug("sending commands failed", "machine", machine.Name, "error", err)
	}
	if heartbeat != nil && a.leads(machine) {
		a.ApplyHeartbeat(machine, heartbeat, time.Now())
	}
	if machine.CommandsDeferred && err == nil {
		a.SendCommands(machine)
	}
}

// leads says whether a machine is still on record, in a partition that this controller holds.
func (a *Agents) leads(machine *cluster.Machine) bool {
	return a.Machines[machine.Name] == machine && a.Partitions[machine.Record.Partition].Held
}

// PostCommands sends commands, by way of the machine's delegate if there is one that takes them,
// and returns the heartbeat that the agent answers with. sent is false if the commands can never
// arrive or were certainly refused. It blocks, so it is called outside the event loop.
func (a *Agents) PostCommands(delegate, machine, addr string, batch protocol.CommandBatch) (heartbeat *protocol.Heartbeat, sent bool, err error) {
	response, err := a.deliverCommands(delegate, machine, addr, protocol.Encode(batch))
	if err != nil {
		return nil, !errors.Is(err, transport.ErrNotSent), err
	}
	if response.Status != 200 && response.Status != 409 {
		// Only a refusal shows that they will never be carried out.
		return nil, response.Status >= 500, errStaleCommand
	}
	heartbeat = new(protocol.Heartbeat)
	if err := protocol.Decode(response.Body, heartbeat); err != nil {
		return nil, true, err
	}
	if err := heartbeat.Check(); err != nil {
		return nil, true, err
	}
	if response.Status == 409 {
		return heartbeat, false, errStaleCommand
	}
	return heartbeat, true, nil
}

// deliverCommands sends encoded commands to the machine's delegate, and to the agent itself if
// there is none or it certainly did not get them.
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

// Fence raises the token that a machine's agent has seen, by a message without commands and
// without waiting for its next heartbeat, so that no earlier leader commands it any more
// (rule 7).
func (a *Agents) Fence(machine *cluster.Machine) {
	machine.TokenConfirmed = false
	if machine.Record.Addr == "" || machine.Lost {
		return
	}
	// The answer to a command that is held up is not waited for where a cancelled task
	// depends on it.
	if machine.CommandRequestsInFlight > 0 && !a.mayRepeat(machine) {
		return
	}
	now := time.Now()
	a.commandsSent(machine, now)
	batch := protocol.CommandBatch{Token: a.Token(machine), Epoch: max(machine.Epoch, machine.ReplicatedEpoch, 1), Commands: []protocol.Command{}}
	delegate := a.Partitions[machine.Record.Partition].Delegations.FenceRoute(machine.Shard, now)
	name, addr := machine.Name, machine.Record.Addr
	a.loop.Go(func() {
		heartbeat, err := a.postFence(delegate, name, addr, batch)
		a.loop.Do(func() { a.applyFenceAnswer(machine, heartbeat, err) })
	})
}

// postFence sends a message that only fences, once more if the agent turns out to be in another
// epoch.
func (a *Agents) postFence(delegate, machine, addr string, batch protocol.CommandBatch) (*protocol.Heartbeat, error) {
	heartbeat, _, err := a.PostCommands(delegate, machine, addr, batch)
	if heartbeat != nil && errors.Is(err, errStaleCommand) && heartbeat.Epoch != batch.Epoch {
		batch.Epoch = heartbeat.Epoch
		heartbeat, _, err = a.PostCommands(delegate, machine, addr, batch)
	}
	return heartbeat, err
}

// applyFenceAnswer takes in the answer to a message that only fenced.
func (a *Agents) applyFenceAnswer(machine *cluster.Machine, heartbeat *protocol.Heartbeat, err error) {
	a.commandsAnswered(machine)
	if err != nil {
		a.log.Debug("fencing failed", "machine", machine.Name, "error", err)
		return
	}
	if a.leads(machine) && heartbeat.Machine == machine.Name {
		machine.LastHeartbeatAt = time.Now()
		a.ApplyHeartbeat(machine, heartbeat, time.Now())
		a.SendCommands(machine)
	}
}
