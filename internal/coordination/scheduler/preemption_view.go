package scheduler

import (
	"cmp"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/placement"
	"micaspindle/internal/coordination/preemption"
)

// preemptionViewBuilder gathers what preemption in a partition depends on. Jobs and attempts
// get an index in the view when they are first met.
type preemptionViewBuilder struct {
	scheduler *Scheduler
	partition *cluster.Partition
	now       time.Time

	view         preemption.View
	jobIndex     map[*cluster.Job]int
	attempts     []*cluster.Attempt // by their indexes in view.Tasks
	attemptIndex map[*cluster.Attempt]int
}

// preemptionView gathers the given jobs of a partition, and all that runs on its usable
// machines. The jobs keep their indexes; the attempts are those of the view's tasks.
func (s *Scheduler) preemptionView(p *cluster.Partition, jobs []*cluster.Job, now time.Time) (preemption.View, []*cluster.Attempt) {
	builder := &preemptionViewBuilder{
		scheduler:    s,
		partition:    p,
		now:          now,
		view:         preemption.View{Now: now},
		jobIndex:     make(map[*cluster.Job]int, len(jobs)),
		attemptIndex: map[*cluster.Attempt]int{},
	}
	builder.addTeams()
	builder.addJobs(jobs)
	builder.addAttempts(jobs)
	builder.addMachines()
	return builder.view, builder.attempts
}

func (b *preemptionViewBuilder) addTeams() {
	for team := range b.scheduler.Settings.Params.Teams {
		b.view.Teams = append(b.view.Teams, b.scheduler.preemptionTeam(b.partition, team))
	}
}

func (b *preemptionViewBuilder) addJobs(jobs []*cluster.Job) {
	zones := b.scheduler.machineZones()
	for _, job := range jobs {
		index := b.job(job)
		if len(job.Pending) > 0 && (job.Spec.OneZone || job.Spec.Spread) {
			b.view.Jobs[index].ClosedZones = closedZones(job, zones)
		}
	}
}

// addAttempts adds the live attempts of jobs, also those on machines that are not usable:
// they count against their teams' limits.
func (b *preemptionViewBuilder) addAttempts(jobs []*cluster.Job) {
	for _, job := range jobs {
		for _, attempt := range job.Attempts() {
			if attempt.Live() {
				b.attempt(attempt)
			}
		}
	}
}

// addMachines adds the usable machines of the partition, by name.
func (b *preemptionViewBuilder) addMachines() {
	for _, machine := range b.scheduler.Machines {
		if !b.scheduler.usableIn(b.partition, machine, b.now) {
			continue
		}
		view := preemption.Machine{Name: machine.Name, Kind: cluster.MachineKindOf(machine.Record), Free: machine.Free()}
		for _, attempt := range machine.SortedAttempts() {
			if attempt.Live() {
				view.Tasks = append(view.Tasks, b.attempt(attempt))
			}
		}
		b.view.Machines = append(b.view.Machines, view)
	}
	slices.SortFunc(b.view.Machines, func(x, y preemption.Machine) int { return cmp.Compare(x.Name, y.Name) })
}

// job returns the index of a job, which it adds if need be.
func (b *preemptionViewBuilder) job(job *cluster.Job) int {
	index, known := b.jobIndex[job]
	if !known {
		index = len(b.view.Jobs)
		b.jobIndex[job] = index
		b.view.Jobs = append(b.view.Jobs, b.scheduler.preemptionJob(job, b.now))
	}
	return index
}

// attempt returns the index of an attempt, which it adds if need be.
func (b *preemptionViewBuilder) attempt(attempt *cluster.Attempt) int {
	index, known := b.attemptIndex[attempt]
	if !known {
		index = len(b.attempts)
		b.attemptIndex[attempt] = index
		b.attempts = append(b.attempts, attempt)
		b.view.Tasks = append(b.view.Tasks, preemption.Task{
			Job:         b.job(attempt.Job),
			Name:        attempt.TaskName(),
			LostWork:    lostWork(attempt, b.now),
			Stopping:    attempt.Stopping,
			ReservedFor: b.partition.FairShare.ReservationOf(attempt),
		})
	}
	return index
}

// preemptionJob is what preemption depends on of a job, but for its closed zones.
func (s *Scheduler) preemptionJob(job *cluster.Job, now time.Time) preemption.Job {
	deadline, _ := job.Deadline()
	return preemption.Job{
		Team:           job.Team,
		Urgency:        job.Urgency(),
		Resources:      cluster.ResourcesOf(job.Spec),
		Constraints:    cluster.ConstraintsOf(job.Spec),
		ReadyAt:        job.ReadySince(),
		Deadline:       deadline,
		EstimateS:      s.EstimateS(job.Spec),
		Pending:        len(job.Pending),
		Service:        job.Spec.Standing,
		NonPreempting:  !mayPreempt(job, now),
		FailedMachines: job.FailedMachines,
		Groups:         job.Groups(),
	}
}

// preemptionTeam is a team's guarantee, limit and use in a partition.
func (s *Scheduler) preemptionTeam(p *cluster.Partition, index int) preemption.Team {
	team := s.Settings.Params.Teams[index]
	return preemption.Team{
		Guarantee: binpack.Compute{CPUs: team.CPUs, GPUs: team.GPUs},
		Limit:     cluster.TeamLimit(team),
		Used:      p.Usage[index],
	}
}

// machineZones is the set of zones in which there are machines.
func (s *Scheduler) machineZones() map[string]bool {
	zones := map[string]bool{}
	for _, machine := range s.Machines {
		zones[machine.Record.Zone] = true
	}
	return zones
}

// closedZones says of each zone whether no further task of a job may start there.
func closedZones(job *cluster.Job, zones map[string]bool) map[string]bool {
	closed, running := map[string]bool{}, job.ZoneCounts()
	for zone := range zones {
		closed[zone] = !placement.ZoneOpen(job.Spec.OneZone, job.Spec.Spread, job.Spec.Tasks, running, zone)
	}
	return closed
}

// lostWork is the work that stopping an attempt throws away, in CPU seconds. A service loses
// nothing: what its replicas have run has been of use.
func lostWork(attempt *cluster.Attempt, now time.Time) float64 {
	spec := attempt.Job.Spec
	lostS := 0.0
	if !spec.Standing {
		lostS = attempt.RunTimeS(now)
	}
	if spec.CheckpointS > 0 {
		lostS = min(lostS, spec.SaveS)
	}
	return lostS * max(spec.CPUs, 1)
}
