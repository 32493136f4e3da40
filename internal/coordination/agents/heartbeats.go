// Package agents commands the workers of the partitions that this controller leads and takes
// in what they report: heartbeats, commands, fencing tokens, agent epochs, attempts and the
// leases of machines.
//
// It owns the attempts on machines. Invariant: an attempt holds its resources until it is
// proven over, by a heartbeat under the current token, a later epoch, a confirmed deletion of
// the machine, or a lease that must have expired.
package agents

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/respond"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
	"micaspindle/internal/transport"
)

// HandleHeartbeat answers a worker's report, of which raw is the body.
func (ag *Agents) HandleHeartbeat(r *protocol.Heartbeat, raw []byte) transport.Response {
	now := time.Now()
	m := ag.Machines[r.Machine]
	if m == nil {
		if _, deleted := ag.DeletedMachines[r.Machine]; !deleted && ag.Synced {
			ag.UnregisteredMachines[r.Machine] = &peer.UnregisteredMachine{Name: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
		}
		return respond.Refuse(503, "machine is not on record", 1)
	}
	p := ag.Partitions[m.Record.Partition]
	if resp, carried := ag.proxy.AnswerHeartbeat(m, r, raw, now); carried {
		return resp
	}
	m.LastContactAt = now
	if !ag.MayAnswer(p, now) {
		if p.Leader != "" && p.Leader != ag.Settings.Label {
			ag.DivertedMachines[r.Machine] = now
			ag.leases.NoteDiverted(p.Leader, r.Machine, now)
			return transport.Response{Status: 421, Body: protocol.Encode(protocol.AssignedController{Controller: p.Leader})}
		}
		return respond.Refuse(503, "part has no owner here", 1)
	}
	token := ag.Token(m)
	if r.Token > token {
		// Somebody newer commands this machine; an answer would be dropped and
		// only hold the worker here.
		return respond.Refuse(503, "superseded", 1)
	}
	if m.DeleteConfirmed || !m.AcceptHeartbeat(r) {
		return respond.Refuse(503, "a newer report has come, or the machine is gone", 1)
	}
	if r.Addr != "" {
		m.Record.Addr = r.Addr
	}
	ag.ApplyHeartbeat(m, r, now)
	m.LastHeardAt = now
	if by := ag.proxy.RedirectTarget(p, m, now); by != "" {
		return transport.Response{Status: 421, Body: protocol.Encode(protocol.AssignedController{Controller: by})}
	}
	m.AnsweredUntil = now
	orders := protocol.CommandBatch{Token: token}
	if p.Ready && m.Fenced {
		orders.Commands = ag.commandsFor(m, now, true)
	} else {
		orders.Commands = ag.StopsForCancelledJobs(r)
	}
	return transport.Response{Status: 200, Body: protocol.Encode(orders)}
}

// StopsForCancelledJobs stops what a report shows of withdrawn jobs. Whoever answers a report keeps
// what it shows alive, so that nobody may do so for a task that it knows to be withdrawn:
// neither an owner that has not read its part's records yet nor a carrier, which both
// decide nothing else. A withdrawal is on record for good, so that the stop needs none.
func (ag *Agents) StopsForCancelledJobs(r *protocol.Heartbeat) []protocol.Command {
	cmds := []protocol.Command{}
	for _, t := range r.Tasks {
		if job, _, ok := protocol.ParseTask(t.Task); ok && t.State != protocol.TaskEnded && ag.FinalStates[job] == protocol.StatusCancelled {
			cmds = append(cmds, protocol.Command{Op: protocol.OpStop, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return cmds[:min(len(cmds), commandsLimit)]
}

// ApplyHeartbeat takes in a report, from whichever way it came.
func (ag *Agents) ApplyHeartbeat(m *cluster.Machine, r *protocol.Heartbeat, now time.Time) {
	p := ag.Partitions[m.Record.Partition]
	if !p.Ready || m.DeleteConfirmed || !m.IsNewer(r) {
		return
	}
	if (!m.HasReported || r.Epoch > m.Epoch) && m.AnsweredUntil.Before(now) {
		// The lease of a session counts from its beginning, which lies before its first
		// report, until a report is answered: one that was sent to a carrier was not.
		m.AnsweredUntil = now
	}
	if !m.HasReported {
		m.HasReported, m.IdleSince = true, now
		ag.log.Info("machine up", "machine", m.Name, "type", m.Record.Type, "zone", m.Record.Zone, "spot", m.Record.Spot)
	}
	if m.Lost {
		m.Lost = false
		ag.log.Info("machine back", "machine", m.Name, "session", r.Epoch)
	}
	if r.Epoch > m.Epoch {
		if m.Epoch != 0 {
			ag.log.Info("worker's session ended", "machine", m.Name, "session", r.Epoch)
		}
		clear(m.OrphanedTasks)
	}
	// Not only when the session changes: records read at a takeover may hold
	// attempts of sessions that ended before.
	if m.HasAttemptBeforeEpoch(r.Epoch) {
		for _, a := range m.SortedAttempts() {
			if a.Epoch < r.Epoch {
				ag.ReleaseAttempt(a, "session ended", now)
			}
		}
	}
	m.Epoch, m.Sequence = r.Epoch, r.Sequence
	if r.PreemptionNoticeS != nil {
		if m.PreemptionAt.IsZero() {
			ag.log.Info("spot notice", "machine", m.Name, "seconds", *r.PreemptionNoticeS)
		}
		m.PreemptionAt = now.Add(time.Duration(*r.PreemptionNoticeS * float64(time.Second)))
	}
	if r.Token != ag.Token(m) {
		ag.Fence(m)
		return
	}
	if !m.Fenced {
		m.Fenced = true
		p.Wake()
		ag.log.Debug("machine fenced", "machine", m.Name, "token", r.Token)
	}
	ag.reconcile(m, r, now)
	if !m.PreemptionAt.IsZero() {
		ag.evacuate(m, now)
	}
	if len(m.Attempts) > 0 || len(m.OrphanedTasks) > 0 {
		m.IdleSince = now
	}
}

// reconcile compares a report under our token with our attempts.
func (ag *Agents) reconcile(m *cluster.Machine, r *protocol.Heartbeat, now time.Time) {
	seen := make(map[string]bool, len(r.Tasks))
	clear(m.OrphanedTasks)
	for _, t := range r.Tasks {
		key := cluster.AttemptKey(t.Task, t.Attempt)
		seen[key] = true
		a := m.Attempts[key]
		if a == nil {
			m.OrphanedTasks[key] = t
			continue
		}
		if a.State <= cluster.AttemptCommitted {
			a.State = cluster.AttemptConfirmed
		}
		if !a.Live() {
			continue
		}
		a.ReportedState = t.State
		switch t.State {
		case protocol.TaskRunning:
			if a.StartedAt.IsZero() {
				if a.StartedAt = now; !a.ReplicatedStart.IsZero() {
					a.StartedAt = a.ReplicatedStart
				}
				a.Job.RunningCount++
				if !a.Inherited {
					ag.metrics.RecordWait(telemetry.Start, now.Sub(a.Job.ReadySince()), now)
				}
			}
			m.Images[a.Job.Spec.Image] = now
			ag.detectSlowMachine(a, now.Sub(a.StartedAt).Seconds())
		case protocol.TaskEnded:
			ag.attemptExited(a, t, now)
		}
	}
	for key, a := range m.Attempts {
		if seen[key] {
			continue
		}
		switch {
		case a.State == cluster.AttemptReleased:
			delete(m.Attempts, key) // reaped
		case a.State == cluster.AttemptExited:
			// Stays until its end is on record.
		case a.State == cluster.AttemptConfirmed:
			ag.ReleaseAttempt(a, "vanished", now)
		case a.State == cluster.AttemptCommitted && a.Stopping && a.StartToken < r.Token:
			// No start of ours can still arrive under this token, also none under way.
			ag.ReleaseAttempt(a, "never started", now)
		}
	}
	m.RecountUsed()
}
