package scheduler

import (
	"time"

	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/placement"
)

// longFetchShare is the share of a task's run time above which fetching its image counts as long.
const longFetchShare = 0.15

// placementBuffers are the slices that Place fills, reused in each round. jobViews[i]
// is the view of jobs[i], and machineViews[i] that of machines[i].
type placementBuffers struct {
	jobs         []*cluster.Job
	jobViews     []placement.Job
	machines     []*cluster.Machine
	machineViews []placement.Machine
}

// release empties the buffers, so that they don't keep ended jobs and deleted machines in memory.
func (b *placementBuffers) release() {
	clear(b.jobs)
	clear(b.jobViews)
	clear(b.machines)
	b.jobs, b.jobViews = b.jobs[:0], b.jobViews[:0]
	b.machines, b.machineViews = b.machines[:0], b.machineViews[:0]
}

// Place assigns pending tasks of a partition to the machines with the least contention, and
// reserves an attempt for each.
func (s *Scheduler) Place(p *cluster.Partition, now time.Time) {
	buffers := &s.placementBuffers
	defer buffers.release()
	scarcity := s.Scarcity(now)
	s.updateFairShare(p, now)
	s.collectPlaceableJobs(p, now)
	if len(buffers.jobs) == 0 {
		return
	}
	s.collectPlacementMachines(p, now)
	if len(buffers.machines) == 0 {
		return
	}
	plan := placement.Decide(placement.View{
		Jobs:     buffers.jobViews,
		Machines: buffers.machineViews,
		Teams:    s.placementTeams(p),
		Scarcity: scarcity,
		Horizon:  s.horizon(),
		Details:  machineDetails{scheduler: s, machines: buffers.machines, now: now},
	})
	for _, index := range plan.WantedByGangs {
		buffers.machines[index].IdleSince = now
	}
	s.reservePlan(p, plan.Assignments, now)
}

// collectPlaceableJobs gathers the jobs of a partition that have tasks to place, in queue
// order.
func (s *Scheduler) collectPlaceableJobs(p *cluster.Partition, now time.Time) {
	buffers := &s.placementBuffers
	for _, job := range s.Queue(p) {
		if len(job.Pending) == 0 || job.Ended || s.FinalStates[job.Spec.ID] != "" || now.Before(job.BackoffUntil) {
			continue
		}
		ready := job.ReadyTasks(now)
		if ready == 0 {
			continue
		}
		if job.Spec.Gang && len(job.LiveAttempts) > 0 {
			continue // the gang's previous attempts are still on their machines
		}
		buffers.jobs = append(buffers.jobs, job)
		buffers.jobViews = append(buffers.jobViews, s.placementView(job, ready, now))
	}
}

// collectPlacementMachines gathers the usable machines of a partition.
func (s *Scheduler) collectPlacementMachines(p *cluster.Partition, now time.Time) {
	buffers := &s.placementBuffers
	for _, machine := range s.Machines {
		if !s.usableIn(p, machine, now) {
			continue
		}
		buffers.machines = append(buffers.machines, machine)
		buffers.machineViews = append(buffers.machineViews, placement.Machine{
			Name:        machine.Name,
			Kind:        cluster.MachineKindOf(machine.Record),
			Free:        machine.Free(),
			FetchGBPerS: machine.Type.FetchGBPerS,
			LastChoice:  machine.IsLastChoice(now),
			ReservedFor: machine.ReservedFor,
		})
	}
}

// placementTeams lists the limit, the usage and the reserved quotas of each team in a partition.
func (s *Scheduler) placementTeams(p *cluster.Partition) []placement.Team {
	teams := make([]placement.Team, len(s.Settings.Params.Teams))
	for index, team := range s.Settings.Params.Teams {
		teams[index] = placement.Team{
			Limit:    cluster.TeamLimit(team),
			Used:     p.Usage[index],
			Reserved: p.FairShare.ReservedQuotasOf(index),
		}
	}
	return teams
}

// placementView converts a job, of which the first ready pending tasks may start, to the input of
// placement.Decide.
func (s *Scheduler) placementView(job *cluster.Job, ready int, now time.Time) placement.Job {
	spec := job.Spec
	excluded, lastChoice := job.MachineExclusions(now)
	view := placement.Job{
		Pending:            ready,
		Gang:               spec.Gang,
		Team:               job.Team,
		Groups:             job.Groups(),
		Class:              job.ClassGroup,
		Resources:          cluster.ResourcesOf(spec),
		Constraints:        cluster.ConstraintsOf(spec),
		Types:              s.typeSet(spec),
		Image:              spec.Image,
		ImageGB:            spec.ImageGB,
		LongFetchS:         s.longFetchS(job),
		OneZone:            spec.OneZone,
		Spread:             spec.Spread,
		Tasks:              spec.Tasks,
		ExcludedMachines:   excluded,
		LastChoiceMachines: lastChoice,
		Prediction:         s.contentionTask(spec, 0),
	}
	if spec.OneZone || spec.Spread {
		view.Zones = job.ZoneCounts()
	}
	return view
}

// longFetchS returns the duration in seconds above which fetching a job's image counts as long, so that
// machines that already have the image are preferred. In a pipeline the fetches of its jobs add up, so
// every fetch counts as long.
func (s *Scheduler) longFetchS(job *cluster.Job) float64 {
	if inPipeline(job) {
		return 0
	}
	return longFetchShare * s.EstimateS(job.Spec)
}

// inPipeline reports whether a job depends on other jobs or other jobs depend on it.
func inPipeline(job *cluster.Job) bool {
	return len(job.Spec.Dependencies) > 0 || !job.InheritedDeadline.IsZero()
}
