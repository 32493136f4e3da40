package coordination

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/coordination/lease"
	"micaspindle/internal/fake/agent"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/internal/storage"
)

// recordViolation records a violation of a safety rule, with the time since the start of the
// simulation. The lock is held.
func (sim *simulatedCluster) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)))+fmt.Sprintf(format, args...))
}

// checkLeaseWrite checks that no controller acquires a lease that another one still holds.
// Otherwise the holder might answer heartbeats for longer than its successor expects.
func (sim *simulatedCluster) checkLeaseWrite(c protocol.Change, old protocol.Item, exists bool) {
	var record storage.Lease
	if kind, _ := storage.ParseKey(c.Put); (kind == storage.KindLease || kind == storage.KindLeadership) && storage.Decode(c.Value, &record) == nil {
		// The holder's incarnation need not be the latest. A late lease write of a process
		// that has ended may be applied after the record of the next incarnation was
		// written, while the lease has not expired (rule 44).
		if !sim.incarnations[lease.IncarnationID{Label: record.Holder, Nonce: record.Nonce}] {
			sim.recordViolation("%s was acquired before its holder's incarnation was recorded", c.Put)
		}
	}
	kind, label := storage.ParseKey(c.Put)
	if kind == storage.KindIncarnation {
		var incarnation storage.Incarnation
		panicOnError(storage.Decode(c.Value, &incarnation))
		sim.incarnations[lease.IncarnationID{Label: label, Nonce: incarnation.Nonce}] = true
		sim.checkReleasedLeases(label, c.Value)
	}
	if !exists || kind != storage.KindLease && kind != storage.KindLeadership {
		return
	}
	var before, after storage.Lease
	panicOnError(storage.Decode(old.Value, &before))
	panicOnError(storage.Decode(c.Value, &after))
	if before.Holder != after.Holder {
		sim.recordViolation("lease %s was held by %s and taken by %s", c.Put, before.Holder, after.Holder)
	}
}

// checkReleasedLeases checks that a controller does not lead a partition under a lease that it
// has recorded as released.
func (sim *simulatedCluster) checkReleasedLeases(label string, value []byte) {
	var incarnation storage.Incarnation
	panicOnError(storage.Decode(value, &incarnation))
	n := sim.controllers[label]
	if n == nil || n.controller.Nonce != incarnation.Nonce {
		return
	}
	n.controller.loop.Do(func() {
		for _, r := range incarnation.Released {
			if p := n.controller.Partitions[r.Partition]; p.Held && p.LeaseRevision == r.LeaseRevision {
				sim.violations = append(sim.violations, fmt.Sprintf("%s released partition %d and still leads it", label, r.Partition))
			}
		}
	})
}

// checkFinalStateWrite checks that a job's final state is written only once, because controllers
// cache it and answer from memory (rule 15).
func (sim *simulatedCluster) checkFinalStateWrite(c protocol.Change, exists bool) {
	if kind, job := storage.ParseKey(c.Put); kind == storage.KindFinal && exists {
		sim.recordViolation("the final state of %s was written twice", job)
	}
}

// Accepting checks that the start of a task was recorded before the agent executes it.
func (sim *simulatedCluster) Accepting(agent *agent.Agent, c protocol.Command) {
	if !sim.startRecorded(c, agent) {
		sim.recordViolation("start of %s on %s was sent before it was recorded", c.Task, agent.Name)
	}
}

// startRecorded reports whether the start of a task is recorded in the state store. The lock is
// held.
func (sim *simulatedCluster) startRecorded(c protocol.Command, agent *agent.Agent) bool {
	id, task, _ := protocol.ParseTaskName(c.Task)
	for key, it := range sim.state.Items {
		if !strings.HasPrefix(key, "r/") || !strings.Contains(key, id) {
			continue // faster than parsing the key, as most belong to other jobs
		}
		if job, _, err := storage.ParseRunKey(key); err != nil || job != id {
			continue
		}
		var run storage.RunRecord
		panicOnError(storage.Decode(it.Value, &run))
		if slices.Contains(run.Live, storage.Attempt{Task: task, Number: c.Attempt, Machine: agent.Name, Epoch: agent.Epoch}) {
			return true
		}
	}
	return false
}

// Started checks the safety rules at the moment a task starts on its machine.
func (sim *simulatedCluster) Started(agent *agent.Agent, t *agent.Task) {
	submitted, index := sim.jobs[t.Job], t.Index
	submitted.starts++
	s := submitted.spec
	for _, dep := range s.Dependencies {
		if dependency := sim.lastSuccessor(dep); len(dependency.tasksDone) < dependency.spec.Tasks {
			sim.recordViolation("too_early: %s started when only %d of %d tasks of %s were done", t.Name, len(dependency.tasksDone), dependency.spec.Tasks, dep)
		}
	}
	teamCPUs, tasksInZone := 0.0, 0
	for _, other := range sim.agents {
		// A machine that hangs beyond its lease does not continue its tasks when it
		// resumes; it drops them.
		dead := time.Since(other.LeaseRenewedAt).Seconds() > sim.settings.Params.AgentTimes.LeaseS
		for _, otherTask := range other.Tasks {
			if !otherTask.Running || dead {
				continue
			}
			job, i := otherTask.Job, otherTask.Index
			if job == s.ID && i == index && otherTask != t {
				sim.recordViolation("ran_twice: %s runs on %s and %s", t.Name, agent.Name, other.Name)
			}
			otherJob := sim.jobs[job]
			if otherJob.spec.Team == s.Team {
				teamCPUs += otherJob.spec.CPUs
			}
			if job == s.ID && otherTask != t {
				if s.OneZone && other.Zone != agent.Zone {
					sim.recordViolation("wrong_place: %s runs in two zones but must run in one", s.ID)
				}
			}
			if job == s.ID && other.Zone == agent.Zone {
				tasksInZone++
			}
		}
	}
	for _, team := range sim.settings.Params.Teams {
		if team.Name == s.Team && team.CPUsMax > 0 && teamCPUs > team.CPUsMax+0.001 {
			sim.recordViolation("quota: team %s uses %v CPUs", s.Team, teamCPUs)
		}
	}
	if len(s.Types) > 0 && !slices.Contains(s.Types, agent.Type) || s.Zone != "" && s.Zone != agent.Zone || agent.Spot && !s.Spot ||
		s.Spread && tasksInZone > (s.Tasks+1)/2 {
		sim.recordViolation("wrong_place: %s must not run on machine type %s in zone %s (spot: %v)", t.Name, agent.Type, agent.Zone, agent.Spot)
	}
	if !submitted.cancelledAt.IsZero() {
		after := time.Since(submitted.cancelledAt)
		sim.startsAfterCancel = append(sim.startsAfterCancel, startAfterCancel{t.Name, agent.Name, after})
		if after > settings.Seconds(sim.settings.Params.AgentTimes.CancelS) {
			sim.recordViolation("ran_cancelled: %s started too long after its job was cancelled", t.Name)
		}
	}
}

// Running checks that the tasks of a cancelled job stop within the cancellation bound.
func (sim *simulatedCluster) Running(agent *agent.Agent, t *agent.Task, now time.Time) {
	submitted := sim.jobs[t.Job]
	if !submitted.cancelledAt.IsZero() && now.Sub(submitted.cancelledAt) > settings.Seconds(sim.settings.Params.AgentTimes.CancelS) {
		sim.recordViolation("ran_cancelled: %s still runs on %s", t.Name, agent.Name)
	}
}
