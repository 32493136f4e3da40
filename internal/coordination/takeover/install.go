package takeover

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/protocol"
	"micaspindle/internal/telemetry"
)

// Install sets the state of a partition's jobs and machines from a replica and marks the partition
// ready. jobRecords are the records of jobs that this controller had not loaded. The partition owns
// the replica's contents from then on. Install must be called on the event loop.
func (t *Takeover) Install(p *cluster.Partition, replica *replication.Replica, jobRecords map[string]*protocol.Item, warm bool) {
	now := time.Now()
	t.replicator.DropReplica(p.Index)
	t.clearLeaderState(p)
	t.loadJobRecords(jobRecords)
	t.installMachines(p, &replica.Derived, now)
	live := t.installJobs(p, &replica.Derived, now)
	t.replicator.ApplyHints(p, &replica.Updates, now)
	t.proxy.SpreadShards(p, now)
	t.fenceMachines(p, now)
	t.stopEndedJobs(p, now)
	t.markReady(p, live, warm, now)
}

// clearLeaderState drops state that is left from an earlier leadership of this controller.
func (t *Takeover) clearLeaderState(p *cluster.Partition) {
	if !p.LeaderStateCleared {
		t.leases.ClearLeaderState(p)
	}
	p.LeaderStateCleared = false
}

// loadJobRecords adds jobs from the records that were read for the takeover.
func (t *Takeover) loadJobRecords(jobRecords map[string]*protocol.Item) {
	for id, item := range jobRecords {
		if t.FinalStates[id] == "" {
			t.jobs.ApplyJobRecord(id, item.Value)
		} else if t.Jobs[id] == nil {
			// The job has ended, but there is no proof yet that all of its attempts have.
			t.jobs.LoadJobRecord(id, item.Value)
		}
	}
}

// installMachines adds the recorded attempts to the partition's machines.
func (t *Takeover) installMachines(p *cluster.Partition, derived *replication.DerivedState, now time.Time) {
	for name, attempts := range derived.AttemptsByMachine {
		m := t.Machines[name]
		if m == nil || m.Record.Partition != p.Index {
			// These attempts have ended: a machine's record is deleted only after the machine,
			// and a machine is moved to another partition only when it is empty.
			continue
		}
		m.Attempts = attempts
		for _, a := range attempts {
			a.Machine, a.CommittedAt = m, now
		}
	}
	for _, m := range t.Machines {
		if m.Record.Partition == p.Index {
			m.Prediction, m.Used = nil, binpack.Resources{}
		}
	}
}

// installJobs sets the run state of the partition's jobs to the recorded one, and returns the number
// of live attempts.
func (t *Takeover) installJobs(p *cluster.Partition, derived *replication.DerivedState, now time.Time) (live int) {
	attached := 0
	for id, j := range t.Jobs {
		if j.Partition != p.Index {
			continue
		}
		if recorded := derived.Jobs[id]; recorded != nil {
			live += recorded.AttachTo(j, now)
			attached++
			p.Usage[j.Team].Add(cluster.ResourcesOf(j.Spec), float64(len(j.LiveAttempts)))
		} else {
			j.InitRunState()
		}
		j.RebuildPending()
		if t.FinalStates[id] != "" {
			j.Ended, j.CancelledAt, j.Pending = true, t.Cancellations.CancelledAt(id), nil
		} else if j.DoneCount == j.Spec.Tasks && !j.Spec.Service {
			j.Completing = true
		}
	}
	if attached < len(derived.Jobs) {
		t.detachUnknownJobs(p, derived)
	}
	return live
}

// detachUnknownJobs removes the attempts of unknown jobs, and of jobs of other partitions, from their
// machines.
func (t *Takeover) detachUnknownJobs(p *cluster.Partition, derived *replication.DerivedState) {
	for id, recorded := range derived.Jobs {
		if t.Jobs[id] == nil || t.Jobs[id].Partition != p.Index {
			t.log.Error("run records belong to no job of the partition", "job", id, "count", len(recorded.Records))
			recorded.DetachAttempts(id)
		}
	}
}

// fenceMachines starts the leases of the partition's machines and sends the machines the new fencing
// token. The leases start at the last time at which a former leader may have answered a heartbeat
// (rules 8, 12, 34).
func (t *Takeover) fenceMachines(p *cluster.Partition, now time.Time) {
	for _, bound := range t.leases.FormerLeaderBounds(p) {
		if bound.Until.After(now) {
			t.log.Info("former leader may answer heartbeats", "partition", p.Index, "controller", bound.Controller, "after", bound.Until.Sub(now), "reason", bound.Reason)
		}
	}
	for _, m := range t.Machines {
		if m.Record.Partition == p.Index {
			m.Answers.OthersMayAnswer(t.leases.LastAnswerBound(p, m))
			m.LastHeartbeatAt, m.HeartbeatsExpectedSince = now, now
			t.agents.Fence(m)
		}
	}
}

// stopEndedJobs stops the remaining attempts of the partition's ended jobs.
func (t *Takeover) stopEndedJobs(p *cluster.Partition, now time.Time) {
	for id, j := range t.Jobs {
		if j.Partition == p.Index && t.FinalStates[id] != "" {
			for _, a := range j.Attempts() {
				t.agents.StopAttempt(a, 0, now)
			}
			t.jobs.DropIfReleased(j)
		}
	}
}

// markReady marks the partition ready, which allows scheduling decisions on it.
func (t *Takeover) markReady(p *cluster.Partition, live int, warm bool, now time.Time) {
	p.Ready, p.WarmFailover = true, warm
	p.QueueOrder, p.Replication, p.HandbackSince = nil, cluster.ReplicationProgress{}, time.Time{}
	p.Wake()
	t.metrics.RecordWait(telemetry.Takeover, now.Sub(p.AcquiredAt), now)
	kind := telemetry.TakeoverCold
	if warm {
		kind = telemetry.TakeoverWarm
	}
	t.metrics.Count(kind, 1)
	t.log.Info("partition ready", "partition", p.Index, "live", live, "after", now.Sub(p.AcquiredAt), "warm", warm, "token", p.LeaseRevision, "records_revision", t.RecordsRevision)
}
