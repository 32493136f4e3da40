package agents

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/delegation"
	"micaspindle/internal/eventloop"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Agents commands the workers of the partitions that this controller leads, and takes in
// what they report.
type Agents struct {
	*cluster.State
	loop    *eventloop.Loop
	network storage.Requester
	store   *storage.Store
	log     *slog.Logger
	metrics *telemetry.Metrics

	cloud     Cloud
	jobs      Jobs
	leases    Leases
	proxy     Proxy
	scheduler Scheduler

	// RepeatedCommands counts requests under way beside earlier ones to the same machine.
	RepeatedCommands int
}

// New makes one without collaborators.
func New(state *cluster.State, loop *eventloop.Loop, network storage.Requester, store *storage.Store, log *slog.Logger) *Agents {
	return &Agents{State: state, loop: loop, network: network, store: store, log: log}
}

// Connect gives it its collaborators, before the loop starts.
func (ag *Agents) Connect(cloud Cloud, jobs Jobs, leases Leases, proxy Proxy, scheduler Scheduler) {
	ag.cloud, ag.jobs, ag.leases, ag.proxy, ag.scheduler = cloud, jobs, leases, proxy, scheduler
}

// Observe makes it measure itself, before the loop starts.
func (ag *Agents) Observe(m *telemetry.Metrics) { ag.metrics = m }

// MachineRecorded follows the assignment record of a machine.
func (ag *Agents) MachineRecorded(name string, rec storage.Machine, version uint64, now time.Time) {
	m := ag.Machines[name]
	delete(ag.UnregisteredMachines, name)
	if m == nil {
		m = &cluster.Machine{Name: name, Shard: delegation.ShardOf(name), Attempts: map[string]*cluster.Attempt{}, OrphanedTasks: map[string]protocol.TaskReport{},
			FailedJobs: map[string]bool{}, Images: map[string]time.Time{}, RecordedAt: now, LedSince: now, LastHeardAt: now}
		ag.Machines[name] = m
	} else if version <= m.Revision {
		return
	}
	moved := m.Revision != 0 && m.Record.Partition != rec.Partition
	if rec.Addr == "" {
		rec.Addr = m.Record.Addr
	}
	if moved {
		m.Record = rec
		m.Reset()
		m.AnsweredUntil, m.LedSince = now.Add(ag.AnswerBound()), now
		m.FormerLeaderBound = m.AnsweredUntil
	}
	m.Record, m.Revision, m.Type = rec, version, ag.MachineTypes[rec.Type]
	m.Moving, m.Fenced, m.TokenRaiseBy = false, false, time.Time{}
	if p := ag.Partitions[rec.Partition]; p.Held && p.Ready && (moved || m.HasReported) {
		ag.Fence(m)
	}
}

// MachineDeleted follows the end of a record, which the leader removes only
// after the machine is certainly gone.
func (ag *Agents) MachineDeleted(name string, now time.Time) {
	m := ag.Machines[name]
	if m == nil {
		return
	}
	for _, a := range m.SortedAttempts() {
		ag.ReleaseAttempt(a, "machine is gone", now)
	}
	delete(ag.Machines, name)
	ag.DeletedMachines[name] = now
}

// CheckMachines finds machines whose lease must have run out.
func (ag *Agents) CheckMachines(now time.Time) {
	bound := time.Duration(float64(ag.AgentLease)*cluster.ClockDrift) + cluster.ClockMargin
	var overdue []*cluster.Machine
	defer func() {
		if len(overdue) > 0 {
			ag.deleteMachinesInTime(overdue[:min(len(overdue), deleteBatchLimit)])
		}
	}()
	for _, m := range ag.Machines {
		p := ag.Partitions[m.Record.Partition]
		if !p.Held || !p.Ready || m.Lost {
			continue
		}
		known, answered := p.Delegations.AnswerBounds(m.Shard, m.AnsweredUntil, now)
		if (m.HasReported || len(m.Attempts) > 0) && known.Sub(answered) > bound {
			ag.metrics.Count(telemetry.MachineLeaseExpired, 1)
			ag.log.Info("machine lost", "machine", m.Name, "silent", now.Sub(m.LastHeardAt), "attempts", len(m.Attempts))
			m.Lost, m.Fenced = true, false
			for _, a := range m.SortedAttempts() {
				ag.ReleaseAttempt(a, "lease ran out", now)
			}
			continue
		}
		if ag.OutlastsCancelBound(m, answered.Add(bound), now) && now.Sub(m.DeleteTriedAt) > deleteRetryInterval {
			m.DeleteTriedAt = now
			overdue = append(overdue, m)
		}
		if !m.RetiringSince.IsZero() && now.Sub(m.RetiringSince) > 30*time.Second {
			m.RetiringSince = time.Time{}
		}
		if !m.PreemptionAt.IsZero() && m.Fenced {
			ag.evacuate(m, now)
		}
		for _, a := range m.Attempts {
			ag.fenceOutStart(a, now)
		}
		if now.Sub(m.CommandedAt) > CommandAnswerWait && ag.mayRepeat(m) {
			ag.repeatCommands(m)
		}
		if m.Fenced && m.PendingCommands == 0 && now.Sub(m.CommandsRetriedAt) > time.Second && m.HasUnsentCommands() {
			m.CommandsRetriedAt = now
			ag.SendCommands(m)
		}
	}
}

// deleteLead is how long before a withdrawn task must be gone its machine is deleted,
// if it could not be stopped; deleteAfter is the least time that a stop is given.
const deleteLead = 8 * time.Second

const stopGraceBeforeDelete = 3 * time.Second

const deleteRetryInterval = 2 * time.Second

const deleteBatchLimit = 100 // names in a request

// OutlastsCancelBound says whether a task of a withdrawn job may be on a machine for longer than
// cancel_s: it was not stopped, and the machine's lease, which may go on until ends, does
// not provably run out in time (46). A machine that is merely silent is left alone.
func (ag *Agents) OutlastsCancelBound(m *cluster.Machine, ends, now time.Time) bool {
	for _, a := range m.Attempts {
		if !a.Live() || !a.Stopping || a.Job.CancelledAt.IsZero() || now.Sub(a.StopRequestedAt) < stopGraceBeforeDelete {
			continue
		}
		due := a.Job.CancelledAt.Add(ag.CancelBound)
		if now.After(due.Add(-deleteLead)) && ends.After(due.Add(-cluster.ClockMargin)) {
			return true
		}
	}
	return false
}

// deleteMachinesInTime has the cloud delete machines on which withdrawn tasks may go on. Their
// owner does so itself: the leader needs the state service, which the trouble that keeps a
// task from being stopped may have taken away. The records go later, as of lost machines.
func (ag *Agents) deleteMachinesInTime(machines []*cluster.Machine) {
	names := make([]string, 0, len(machines))
	for _, m := range machines {
		names = append(names, m.Name)
	}
	ag.log.Info("deleting machines", "machines", names, "reason", "withdrawn tasks on them can't be stopped in time")
	ag.loop.Go(func() {
		status, err := ag.cloud.Call("POST", "/machines/delete", protocol.MachineNames{Machines: names}, nil)
		if err != nil || status != 200 {
			ag.log.Info("machines not deleted", "machines", names, "status", status, "reason", err)
			return
		}
		ag.loop.Do(func() {
			now := time.Now()
			for _, m := range machines {
				if ag.Machines[m.Name] != m {
					continue
				}
				ag.metrics.Count(telemetry.MachineLeaseExpired, 1)
				m.DeleteConfirmed, m.Lost, m.Fenced = true, true, false
				for _, a := range m.SortedAttempts() {
					ag.ReleaseAttempt(a, "machine is deleted", now)
				}
			}
		})
	})
}
