package peering

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/protocol/peer"
	"micaspindle/internal/telemetry"
)

// expectedMachine is a machine that will soon run waiting tasks, with the resources that are
// still free on it.
type expectedMachine struct {
	machine *cluster.Machine
	free    binpack.Resources
}

// demands lists the waiting tasks of a partition that need machines which are not there or
// expected yet, job by job and starved work first, up to a limit.
func (e *Exchange) demands(partition *cluster.Partition, expected []expectedMachine, limit int, now time.Time) (list []*peer.Demand) {
	taken := make([]binpack.Compute, len(partition.Usage)) // by jobs before, by team
	for _, job := range partition.FairShare.StarvedFirst(e.scheduler.Queue(partition), limit/StarvedDemandsShare) {
		if len(job.Pending) == 0 || job.Ended || now.Before(job.BackoffUntil) {
			continue
		}
		count := e.withinTeamLimit(partition, job, taken[job.Team])
		if count <= 0 {
			continue
		}
		taken[job.Team].Add(cluster.ResourcesOf(job.Spec), float64(count))
		if count = placeOnExpected(expected, job.Spec, count); count <= 0 {
			continue
		}
		if len(list) >= limit {
			e.bounds.Met(telemetry.Demands, 1)
			break
		}
		list = append(list, e.demand(job, count, now))
	}
	return list
}

// withinTeamLimit is how many waiting tasks of a job the team's limits allow to start, beside
// what the team uses and what the jobs before this one take.
func (e *Exchange) withinTeamLimit(partition *cluster.Partition, job *cluster.Job, taken binpack.Compute) int {
	count := len(job.Pending)
	team, used := e.Settings.Params.Teams[job.Team], partition.Usage[job.Team]
	if team.CPUsMax > 0 && job.Spec.CPUs > 0 {
		count = min(count, int((team.CPUsMax-used.CPUs-taken.CPUs+binpack.Epsilon)/job.Spec.CPUs))
	}
	if team.GPUsMax > 0 && job.Spec.GPUs > 0 {
		count = min(count, int((team.GPUsMax-used.GPUs-taken.GPUs+binpack.Epsilon)/job.Spec.GPUs))
	}
	return count
}

// placeOnExpected takes the resources for a job's tasks from expected machines and returns how
// many of the tasks are left over.
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

// demand describes so many waiting tasks of a job.
func (e *Exchange) demand(job *cluster.Job, count int, now time.Time) *peer.Demand {
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
