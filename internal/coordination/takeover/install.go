package takeover

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/replication"
	"micaspindle/internal/protocol"
	"micaspindle/internal/telemetry"
)

// Install makes a replica the state of a partition's jobs and machines. specs are the records of
// jobs that were not known here. What the replica holds belongs to the partition from then on.
// It runs on the loop.
func (t *Takeover) Install(p *cluster.Partition, replica *replication.Replica, specs map[string]*protocol.Item, warm bool) {
	now := time.Now()
	t.replicator.DropReplica(p.Index)
	t.clear(p)
	t.loadJobRecords(specs)
	t.installMachines(p, &replica.Derived, now)
	live := t.installJobs(p, &replica.Derived, now)
	t.replicator.ApplyHints(p, &replica.Updates, now)
	t.proxy.SpreadShards(p, now)
	t.fenceMachines(p, now)
	t.stopEndedJobs(p, now)
	t.markReady(p, live, warm, now)
}

// clear forgets what was believed of a partition when it was led here before.
func (t *Takeover) clear(p *cluster.Partition) {
	if !p.LeaderStateCleared {
		t.leases.ClearPartition(p)
	}
	p.LeaderStateCleared = false
}

// loadJobRecords makes the jobs known whose records were read.
func (t *Takeover) loadJobRecords(specs map[string]*protocol.Item) {
	for id, item := range specs {
		if t.FinalStates[id] == "" {
			t.jobs.ApplyJobRecord(id, item.Value)
		} else if t.Jobs[id] == nil {
			// A final job whose attempts are not all proven over.
			t.jobs.LoadJobRecord(id, item.Value)
		}
	}
}

// installMachines gives the partition's machines the attempts that the records place on them.
func (t *Takeover) installMachines(p *cluster.Partition, derived *replication.DerivedState, now time.Time) {
	for name, attempts := range derived.AttemptsByMachine {
		m := t.Machines[name]
		if m == nil || m.Record.Partition != p.Index {
			// The record of a machine goes only after the machine, and a machine moves only
			// when it is empty: these attempts are over.
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

// installJobs gives the partition's jobs the state that the records derive, and returns how many
// attempts are live.
func (t *Takeover) installJobs(p *cluster.Partition, derived *replication.DerivedState, now time.Time) (live int) {
	bound := 0
	for id, j := range t.Jobs {
		if j.Partition != p.Index {
			continue
		}
		if recorded := derived.Jobs[id]; recorded != nil {
			live += recorded.Bind(j, now)
			bound++
			p.Usage[j.Team].Add(cluster.ResourcesOf(j.Spec), float64(len(j.LiveAttempts)))
		} else {
			j.InitRunState()
		}
		j.RebuildPending()
		if t.FinalStates[id] != "" {
			j.Ended, j.CancelledAt, j.Pending = true, t.Cancellations.CancelledAt(id), nil
		} else if j.DoneCount == j.Spec.Tasks && !j.Spec.Standing {
			j.Completing = true
		}
	}
	if bound < len(derived.Jobs) {
		t.unbindUnknownJobs(p, derived)
	}
	return live
}

// unbindUnknownJobs takes the attempts of jobs that are not the partition's off their machines.
func (t *Takeover) unbindUnknownJobs(p *cluster.Partition, derived *replication.DerivedState) {
	for id, recorded := range derived.Jobs {
		if t.Jobs[id] == nil || t.Jobs[id].Partition != p.Index {
			t.log.Error("run records of an unknown job", "job", id, "count", len(recorded.Records))
			recorded.Unbind(id)
		}
	}
}

// fenceMachines begins the machine leases of the partition and raises its fencing tokens. Former
// leaders may have gone on answering until their bound (rules 8, 12, 34).
func (t *Takeover) fenceMachines(p *cluster.Partition, now time.Time) {
	for _, m := range t.Machines {
		if m.Record.Partition == p.Index {
			m.AnsweredUntil = t.leases.LastAnswerBound(p, m)
			m.LastHeartbeatAt, m.HeartbeatsExpectedSince = now, now
			t.agents.Fence(m)
		}
	}
}

// stopEndedJobs stops the attempts of jobs that have a final state.
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

// markReady lets decisions on the partition begin.
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
	t.log.Info("partition ready", "partition", p.Index, "live", live, "after", now.Sub(p.AcquiredAt), "warm", warm)
}
