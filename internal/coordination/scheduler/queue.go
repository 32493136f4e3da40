package scheduler

import (
	"math"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/queue"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
)

// Queue lists the jobs of a part that want something, in the order in which they
// are served: those with waiting tasks, with records to write, or at their end. The
// list is kept for a moment, so that events do not each sort all jobs again, unless
// another job comes to want something: served last, its tasks would find the room
// taken, and its ends would be on record, and its team's room be free, a batch later.
func (sched *Scheduler) Queue(p *cluster.Partition) []*cluster.Job {
	now := time.Now()
	// The room for both is that of the last time.
	list, views := sched.queueBuffers.jobs[:0], sched.queueBuffers.views[:0]
	gone := func(j *cluster.Job) bool { return !j.Loaded || sched.Jobs[j.Spec.ID] != j }
	wants := func(j *cluster.Job) bool { return j.HasWork() && !gone(j) }
	if p.QueueOrder != nil && now.Sub(p.QueueOrderedAt) < cluster.QueueOrderTTL && !slices.ContainsFunc(p.IdleJobs, wants) {
		p.QueueOrder = slices.DeleteFunc(p.QueueOrder, gone)
		return slices.Clone(p.QueueOrder)
	}
	p.QueueOrder, p.IdleJobs, p.QueueOrderedAt = []*cluster.Job{}, p.IdleJobs[:0], now
	for _, j := range sched.Jobs {
		switch {
		case j.Partition != p.Index || !j.Loaded || j.Blocked:
		case j.HasWork():
			j.RecordsChanged = j.HasDirtyChunk()
			list, views = append(list, j), append(views, sched.queueView(j))
		default:
			p.IdleJobs = append(p.IdleJobs, j)
		}
	}
	sched.queueBuffers = queueBuffers{list, views}
	sched.estimateContention(p, list, views)
	for _, at := range queue.Order(views, now) {
		p.QueueOrder = append(p.QueueOrder, list[at])
	}
	clear(list) // jobs that end are not held
	return slices.Clone(p.QueueOrder)
}

// queueBuffers is room for sorting jobs.
type queueBuffers struct {
	jobs  []*cluster.Job
	views []queue.Job
}

// queueView is what the order depends on of every job.
func (sched *Scheduler) queueView(j *cluster.Job) queue.Job {
	deadline, _ := j.Deadline()
	return queue.Job{ID: j.Spec.ID, Urgency: j.Urgency(), Received: j.SubmittedAt, Due: j.Due(), Deadline: deadline, Waiting: len(j.Pending), Team: j.Team}
}

// estimateContention works out what the order depends on of those jobs only that wait and
// have a deadline: how long they run, on what, and how many tasks the part's machines
// and the team's limit let run at a time. Jobs that are alike share the answer.
func (sched *Scheduler) estimateContention(p *cluster.Partition, list []*cluster.Job, views []queue.Job) {
	machines := map[string]int{}
	for _, m := range sched.Machines {
		if m.Record.Partition == p.Index && m.Type != nil && !m.Lost && !m.Quarantined {
			machines[m.Type.Name]++
		}
	}
	type like struct {
		need  binpack.Resources
		types uint64
	}
	known := map[like]float64{}
	for i, j := range list {
		v := &views[i]
		if v.Deadline.IsZero() || v.Waiting == 0 {
			continue
		}
		v.EstimateS, v.Types, v.AtOnce = sched.EstimateS(j.Spec), sched.typeSet(j.Spec), sched.teamParallelism(j)
		k := like{cluster.ResourcesOf(j.Spec), v.Types}
		slots, ok := known[k]
		if !ok {
			slots = sched.fleetSlots(machines, j.Spec)
			if len(sched.Catalog) <= 64 {
				known[k] = slots
			}
		}
		v.Slots = slots
	}
}

// JobRunTime predicts how long a job takes from its first start to its end.
func (sched *Scheduler) JobRunTime(j *cluster.Job) time.Duration {
	return settings.Seconds(sched.EstimateS(j.Spec) * queue.Rounds(j.Spec.Tasks, sched.teamParallelism(j)))
}

// fleetSlots is how many tasks of a job a fleet, counted by type, runs at a time.
func (sched *Scheduler) fleetSlots(machines map[string]int, s *protocol.JobSpec) float64 {
	sum := 0.0
	for i := range sched.Catalog {
		t := &sched.Catalog[i]
		if n := machines[t.Name]; n > 0 && binpack.FitsOffered(cluster.ConstraintsOf(s), cluster.ResourcesOf(s), t) {
			sum += float64(n * binpack.Size(t).Slots(cluster.ResourcesOf(s), binpack.UnboundedSlots))
		}
	}
	return sum
}

// teamParallelism is how many tasks of a job its team's limit lets run at a time.
func (sched *Scheduler) teamParallelism(j *cluster.Job) float64 {
	t := sched.Settings.Params.Teams[j.Team]
	if t.CPUsMax <= 0 || j.Spec.CPUs <= 0 {
		return math.Inf(1)
	}
	return max(1, math.Floor((t.CPUsMax+binpack.Epsilon)/j.Spec.CPUs))
}

// typeSet is the set of machine types that a job's tasks fit, as bits.
func (sched *Scheduler) typeSet(s *protocol.JobSpec) uint64 {
	return binpack.TypeSet(cluster.ConstraintsOf(s), cluster.ResourcesOf(s), sched.Catalog)
}
