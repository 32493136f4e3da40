package agents

import (
	"context"
	"errors"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/transport"
)

// commandsFor lists what a worker should do, in order. An answer to a report
// repeats what direct orders may have missed.
func (ag *Agents) commandsFor(m *cluster.Machine, now time.Time, repair bool) []protocol.Command {
	cmds := []protocol.Command{}
	if !m.NeedsCommands() {
		return cmds
	}
	token := ag.Token(m)
	for _, a := range m.SortedAttempts() {
		switch {
		case a.State == cluster.AttemptCommitted && !a.Stopping && !a.Job.Ended && a.Epoch == m.Epoch:
			if a.StartsInFlight > 0 || repair && a.StartToken == 0 && now.Sub(a.CommittedAt) < 500*time.Millisecond {
				continue
			}
			a.StartToken, a.StartSentAt = token, now
			cmds = append(cmds, protocol.Command{Op: protocol.OpStart, Task: a.TaskName(), Attempt: a.Number})
		case a.State == cluster.AttemptConfirmed && a.Stopping:
			grace := a.StopGraceS
			if grace > 0 && now.Sub(a.StopRequestedAt).Seconds() > grace+2 {
				grace = 0
			}
			cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: a.TaskName(), Attempt: a.Number, GraceS: grace})
		case a.State == cluster.AttemptReleased && a.StartsInFlight == 0:
			if a.StartUnanswered && a.StartToken >= token {
				m.RaiseTokenBy(now.Add(reapDelay)) // a repeated start may still arrive (9)
				continue
			}
			cmds = append(cmds, protocol.Command{Op: protocol.OpForget, Task: a.TaskName(), Attempt: a.Number})
		}
	}
	for _, t := range m.OrphanedTasks {
		// No record knows it: stop it, then reap it.
		op := protocol.Command{Op: protocol.OpStop, Task: t.Task, Attempt: t.Attempt}
		if t.State == protocol.TaskEnded {
			op.Op = protocol.OpForget
		}
		cmds = append(cmds, op)
	}
	return cmds[:min(len(cmds), commandsLimit)]
}

// commandsLimit keeps an answer to a worker far below 64 KiB.
const commandsLimit = 300

// SendCommands sends direct commands, one request at a time for each machine.
func (ag *Agents) SendCommands(m *cluster.Machine) {
	if m.PendingCommands > 0 {
		m.CommandAgain = true
		return
	}
	ag.sendCommandsNow(m)
}

// sendCommandsNow sends direct commands, whatever else is under way.
func (ag *Agents) sendCommandsNow(m *cluster.Machine) {
	p := ag.Partitions[m.Record.Partition]
	if !p.Ready || !m.Fenced || m.Lost || m.Record.Addr == "" {
		return
	}
	now := time.Now()
	cmds := ag.commandsFor(m, now, false)
	if len(cmds) == 0 {
		return
	}
	var starts []*cluster.Attempt
	for _, cmd := range cmds {
		if cmd.Op == protocol.OpStart {
			a := m.Attempts[cluster.AttemptKey(cmd.Task, cmd.Attempt)]
			a.StartsInFlight++
			starts = append(starts, a)
		}
	}
	m.CommandAgain = false
	ag.commandsSent(m, now)
	orders := protocol.CommandBatch{Token: ag.Token(m), Epoch: m.Epoch, Commands: cmds}
	via, name, addr := p.Delegations.CommandRoute(m.Shard, now), m.Name, m.Record.Addr
	ag.loop.Go(func() {
		r, sent, err := ag.PostCommands(via, name, addr, orders)
		ag.loop.Do(func() {
			ag.commandsAnswered(m)
			for _, a := range starts {
				a.StartsInFlight--
				if sent && r == nil {
					a.StartUnanswered = true
				}
			}
			if err != nil {
				ag.log.Debug("orders failed", "machine", m.Name, "reason", err)
			}
			if r != nil && ag.Machines[m.Name] == m && ag.Partitions[m.Record.Partition].Held {
				ag.ApplyHeartbeat(m, r, time.Now())
			}
			if m.CommandAgain && err == nil {
				ag.SendCommands(m)
			}
		})
	})
}

var errStaleCommand = errors.New("worker refused: token or session is stale")

// CommandTimeout is how long a worker's answer to orders is waited for.
const CommandTimeout = 2500 * time.Millisecond

// PostCommands sends orders, by way of the machine's carrier if there is one that takes
// them, and returns the worker's report. sent is false if they can never arrive or were
// certainly refused.
func (ag *Agents) PostCommands(via, machine, addr string, orders protocol.CommandBatch) (r *protocol.Heartbeat, sent bool, err error) {
	body := protocol.Encode(orders)
	var resp *transport.Response
	if err = transport.ErrNotSent; via != "" {
		resp, err = ag.proxy.ForwardCommands(via, machine, body)
	}
	if errors.Is(err, transport.ErrNotSent) {
		ctx, cancel := context.WithTimeout(ag.loop.Context(), CommandTimeout)
		defer cancel()
		resp, err = ag.network.Do(ctx, addr, "POST", "/orders", body)
	}
	if err != nil {
		return nil, !errors.Is(err, transport.ErrNotSent), err
	}
	if resp.Status != 200 && resp.Status != 409 {
		// Only a refusal shows that they will never be carried out.
		return nil, resp.Status >= 500, errStaleCommand
	}
	r = new(protocol.Heartbeat)
	if err := protocol.Decode(resp.Body, r); err != nil {
		return nil, true, err
	}
	if err := r.Check(); err != nil {
		return nil, true, err
	}
	if resp.Status == 409 {
		return r, false, errStaleCommand
	}
	return r, true, nil
}

// Fence raises the worker's token by orders without commands, without waiting
// for its next report, so that nobody older commands it any more (7).
func (ag *Agents) Fence(m *cluster.Machine) {
	m.Fenced = false
	if m.Record.Addr == "" || m.Lost {
		return
	}
	// The answer to a command that is held up is not waited for where it matters.
	if m.PendingCommands > 0 && !ag.mayRepeat(m) {
		return
	}
	ag.commandsSent(m, time.Now())
	orders := protocol.CommandBatch{Token: ag.Token(m), Epoch: max(m.Epoch, m.EpochHint, 1), Commands: []protocol.Command{}}
	via, name, addr := ag.Partitions[m.Record.Partition].Delegations.FenceRoute(m.Shard, time.Now()), m.Name, m.Record.Addr
	ag.loop.Go(func() {
		r, _, err := ag.PostCommands(via, name, addr, orders)
		if r != nil && errors.Is(err, errStaleCommand) && r.Epoch != orders.Epoch {
			orders.Epoch = r.Epoch
			r, _, err = ag.PostCommands(via, name, addr, orders)
		}
		ag.loop.Do(func() {
			ag.commandsAnswered(m)
			if err != nil {
				ag.log.Debug("fencing failed", "machine", m.Name, "reason", err)
				return
			}
			if ag.Machines[m.Name] == m && ag.Partitions[m.Record.Partition].Held && r.Machine == m.Name {
				m.LastHeardAt = time.Now()
				ag.ApplyHeartbeat(m, r, time.Now())
				ag.SendCommands(m)
			}
		})
	})
}
