package scheduler

import (
	"math"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/queue"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// slotsKey identifies jobs whose tasks need the same resources and fit the same machine types, so
// that they have the same number of slots.
type slotsKey struct {
	need  binpack.Resources
	types uint64
}

// addEstimates sets the fields of views that are used only for jobs with pending tasks and a
// deadline: the estimated run time of a task, the machine types that it fits, and the number of tasks
// that can run at once on the partition's machines and within the team's limit.
func (s *Scheduler) addEstimates(p *cluster.Partition, jobs []*cluster.Job, views []queue.Job) {
	machines := s.machinesByType(p)
	// A type set leaves out the types beyond its size, so equal keys may then have unequal slots.
	cacheable := len(s.Catalog) <= binpack.TypeSetSize
	cache := map[slotsKey]float64{}
	for index, job := range jobs {
		view := &views[index]
		if view.Deadline.IsZero() || view.Pending == 0 {
			continue
		}
		view.EstimateS = s.EstimateS(job.Spec)
		view.Types = s.typeSet(job.Spec)
		view.Parallelism = s.teamParallelism(job)
		key := slotsKey{cluster.ResourcesOf(job.Spec), view.Types}
		slots, cached := cache[key]
		if !cached {
			slots = s.partitionSlots(machines, job.Spec)
			if cacheable {
				cache[key] = slots
			}
		}
		view.Slots = slots
	}
}

// machinesByType counts the healthy machines of a partition by type.
func (s *Scheduler) machinesByType(p *cluster.Partition) map[string]int {
	counts := map[string]int{}
	for _, machine := range s.Machines {
		if machine.Record.Partition == p.Index && machine.Type != nil && !machine.Lost && !machine.Quarantined {
			counts[machine.Type.Name]++
		}
	}
	return counts
}

// JobRunTime predicts the time from the start of a job's first task to the end of its last.
func (s *Scheduler) JobRunTime(job *cluster.Job) time.Duration {
	rounds := queue.Rounds(job.Spec.Tasks, s.teamParallelism(job))
	return settings.Seconds(s.EstimateS(job.Spec) * rounds)
}

// partitionSlots returns the number of a job's tasks that can run at once on otherwise empty machines.
// machines counts the machines by type.
func (s *Scheduler) partitionSlots(machines map[string]int, spec *protocol.JobSpec) float64 {
	constraints, need := cluster.ConstraintsOf(spec), cluster.ResourcesOf(spec)
	slots := 0
	for index := range s.Catalog {
		machineType := &s.Catalog[index]
		if count := machines[machineType.Name]; count > 0 && binpack.FitsOffered(constraints, need, machineType) {
			slots += count * binpack.Size(machineType).Slots(need, binpack.UnboundedSlots)
		}
	}
	return float64(slots)
}

// teamParallelism returns the number of a job's tasks that can run at once within its team's limit.
func (s *Scheduler) teamParallelism(job *cluster.Job) float64 {
	team := s.Settings.Params.Teams[job.Team]
	if team.CPUsMax <= 0 || job.Spec.CPUs <= 0 {
		return math.Inf(1)
	}
	return max(1, math.Floor((team.CPUsMax+binpack.Epsilon)/job.Spec.CPUs))
}

// typeSet returns the binpack.TypeSet of a job's tasks.
func (s *Scheduler) typeSet(spec *protocol.JobSpec) uint64 {
	return binpack.TypeSet(cluster.ConstraintsOf(spec), cluster.ResourcesOf(spec), s.Catalog)
}

// Scarcity returns, for each machine type that unfinished jobs fit, the smallest TypeCount of these
// jobs. It covers the jobs of all partitions, since machines move between them, and is cached for
// cluster.QueueOrderTTL.
func (s *Scheduler) Scarcity(now time.Time) binpack.Scarcity {
	if s.ScarcityCache != nil && now.Sub(s.scarcityAt) < cluster.QueueOrderTTL {
		return s.ScarcityCache
	}
	scarcity := binpack.Scarcity{}
	for id, job := range s.Jobs {
		if job.Ended || job.Blocked || s.FinalStates[id] != "" || job.HasRunState && len(job.Pending) == 0 {
			continue
		}
		constraints, need := cluster.ConstraintsOf(job.Spec), cluster.ResourcesOf(job.Spec)
		typeCount := binpack.TypeCount(s.typeSet(job.Spec))
		for index := range s.Catalog {
			if machineType := &s.Catalog[index]; binpack.FitsOffered(constraints, need, machineType) {
				scarcity.Record(machineType.Name, typeCount)
			}
		}
	}
	s.ScarcityCache, s.scarcityAt = scarcity, now
	return scarcity
}
