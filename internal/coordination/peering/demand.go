package peering

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
)

// expectedMachine is a machine that will soon be able to run waiting tasks, with its free
// resources.
type expectedMachine struct {
	machine *cluster.Machine
	free    binpack.Resources
}

// demands returns the demand of a partition's waiting tasks for machines beyond the expected ones:
// one entry for each job, starved groups first, up to the limit.
func (e *Exchange) demands(partition *cluster.Partition, expected []expectedMachine, limit int, now time.Time) (list []*peer.Demand) {
	taken := make([]binpack.TeamResources, len(partition.Usage)) // by the jobs handled so far, per team
	for _, job := range partition.FairShare.StarvedFirst(e.scheduler.Queue(partition), limit/StarvedDemandsDivisor) {
		if len(job.Pending) == 0 || job.Ended || now.Before(job.BackoffUntil) {
			continue
		}
		count := e.countWithinTeamLimit(partition, job, taken[job.Team], now)
		if count <= 0 {
			continue
		}
		taken[job.Team].Add(cluster.ResourcesOf(job.Spec), float64(count))
		if count = placeOnExpected(expected, job.Spec, count); count <= 0 {
			continue
		}
		if len(list) >= limit {
			e.bounds.ReportExceeded(telemetry.Demands, 1)
			break
		}
		list = append(list, e.newDemand(job, count, now))
	}
	return list
}

// countWithinTeamLimit returns the number of a job's waiting tasks that may start within the team's
// limits. These limits are reduced by the team's usage and by taken, the resources for jobs handled
// before.
func (e *Exchange) countWithinTeamLimit(partition *cluster.Partition, job *cluster.Job, taken binpack.TeamResources, now time.Time) int {
	count := job.ReadyTasks(now)
	team, used := e.Settings.Params.Teams[job.Team], partition.Usage[job.Team]
	if team.CPUsMax > 0 && job.Spec.CPUs > 0 {
		count = min(count, int((team.CPUsMax-used.CPUs-taken.CPUs+binpack.Epsilon)/job.Spec.CPUs))
	}
	if team.GPUsMax > 0 && job.Spec.GPUs > 0 {
		count = min(count, int((team.GPUsMax-used.GPUs-taken.GPUs+binpack.Epsilon)/job.Spec.GPUs))
	}
	return count
}

// placeOnExpected reserves the resources for tasks of a job on expected machines, and returns the
// number of tasks that did not fit.
func placeOnExpected(expected []expectedMachine, spec *protocol.JobSpec, count int) int {
	constraints, needed := cluster.ConstraintsOf(spec), cluster.ResourcesOf(spec)
	for i := range expected {
		if count <= 0 {
			return 0
		}
		candidate := &expected[i]
		if !constraints.Allows(cluster.MachineKindOf(candidate.machine.Record)) {
			continue
		}
		for count > 0 && candidate.free.Holds(needed) {
			candidate.free = candidate.free.Plus(needed, -1)
			count--
		}
	}
	return count
}

// newDemand returns the demand of a number of waiting tasks of a job.
func (e *Exchange) newDemand(job *cluster.Job, count int, now time.Time) *peer.Demand {
	spec := job.Spec
	return &peer.Demand{
		Cpus:      spec.CPUs,
		Gpus:      spec.GPUs,
		MemGb:     spec.MemGB,
		Types:     spec.Types,
		Zone:      spec.Zone,
		Spot:      spec.Spot,
		Count:     uint32(count),
		WaitedS:   now.Sub(job.ReadySince()).Seconds(),
		EstimateS: e.scheduler.EstimateS(spec),
		SlackS:    job.Due().Sub(now).Seconds(),
	}
}
