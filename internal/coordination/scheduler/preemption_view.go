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

// preemptionViewBuilder builds the view from which preemption in a partition is decided. Jobs and
// attempts get their index in the view when they are first added.
type preemptionViewBuilder struct {
	scheduler *Scheduler
	partition *cluster.Partition
	now       time.Time

	view         preemption.View
	jobIndex     map[*cluster.Job]int
	attempts     []*cluster.Attempt // by their indexes in view.Tasks
	attemptIndex map[*cluster.Attempt]int
}

// preemptionView builds the view of the given jobs of a partition and of the attempts on its usable
// machines. view.Jobs starts with the given jobs in the same order, and attempts[i] is the attempt of
// view.Tasks[i].
func (s *Scheduler) preemptionView(p *cluster.Partition, jobs []*cluster.Job, now time.Time) (view preemption.View, attempts []*cluster.Attempt) {
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
		index := b.ensureJob(job)
		if len(job.Pending) > 0 && (job.Spec.OneZone || job.Spec.Spread) {
			b.view.Jobs[index].DisallowedZones = disallowedZones(job, zones)
		}
	}
}

// addAttempts adds the live attempts of jobs, also those on machines that are not usable, since
// they count against their teams' limits.
func (b *preemptionViewBuilder) addAttempts(jobs []*cluster.Job) {
	for _, job := range jobs {
		for _, attempt := range job.Attempts() {
			if attempt.Live() {
				b.ensureAttempt(attempt)
			}
		}
	}
}

// addMachines adds the usable machines of the partition, sorted by name.
func (b *preemptionViewBuilder) addMachines() {
	for _, machine := range b.scheduler.Machines {
		if !b.scheduler.usableIn(b.partition, machine, b.now) {
			continue
		}
		view := preemption.Machine{Name: machine.Name, Kind: cluster.MachineKindOf(machine.Record), Free: machine.Free(), LastChoice: machine.IsLastChoice(b.now)}
		for _, attempt := range machine.SortedAttempts() {
			if attempt.Live() {
				view.Tasks = append(view.Tasks, b.ensureAttempt(attempt))
			}
		}
		b.view.Machines = append(b.view.Machines, view)
	}
	slices.SortFunc(b.view.Machines, func(x, y preemption.Machine) int { return cmp.Compare(x.Name, y.Name) })
}

// ensureJob returns the index of a job in the view, and adds the job if it is missing.
func (b *preemptionViewBuilder) ensureJob(job *cluster.Job) int {
	index, known := b.jobIndex[job]
	if !known {
		index = len(b.view.Jobs)
		b.jobIndex[job] = index
		b.view.Jobs = append(b.view.Jobs, b.scheduler.preemptionJob(job, b.now))
	}
	return index
}

// ensureAttempt returns the index of an attempt in the view, and adds the attempt if it is missing.
func (b *preemptionViewBuilder) ensureAttempt(attempt *cluster.Attempt) int {
	index, known := b.attemptIndex[attempt]
	if !known {
		index = len(b.attempts)
		b.attemptIndex[attempt] = index
		b.attempts = append(b.attempts, attempt)
		b.view.Tasks = append(b.view.Tasks, preemption.Task{
			Job:         b.ensureJob(attempt.Job),
			Name:        attempt.TaskName(),
			LostWork:    lostWork(attempt, b.now),
			Stopping:    attempt.Stopping,
			ReservedFor: b.partition.FairShare.ReservationOf(attempt),
		})
	}
	return index
}

// preemptionJob converts a job to the input of preemption.Decide, without DisallowedZones.
func (s *Scheduler) preemptionJob(job *cluster.Job, now time.Time) preemption.Job {
	deadline, _ := job.Deadline()
	excluded, lastChoice := job.PreemptionExclusions(now)
	return preemption.Job{
		Team:               job.Team,
		Urgency:            job.Urgency(),
		Resources:          cluster.ResourcesOf(job.Spec),
		Constraints:        cluster.ConstraintsOf(job.Spec),
		ReadyAt:            job.ReadySince(),
		Deadline:           deadline,
		EstimateS:          s.EstimateS(job.Spec),
		Pending:            job.ReadyTasks(now),
		Service:            job.Spec.Service,
		NonPreempting:      !mayPreempt(job, now),
		ExcludedMachines:   excluded,
		LastChoiceMachines: lastChoice,
		Groups:             job.Groups(),
	}
}

// preemptionTeam returns a team's guarantee, limit and usage in a partition.
func (s *Scheduler) preemptionTeam(p *cluster.Partition, index int) preemption.Team {
	team := s.Settings.Params.Teams[index]
	return preemption.Team{
		Guarantee: binpack.TeamResources{CPUs: team.CPUs, GPUs: team.GPUs},
		Limit:     cluster.TeamLimit(team),
		Used:      p.Usage[index],
	}
}

// machineZones returns the set of zones in which there are machines.
func (s *Scheduler) machineZones() map[string]bool {
	zones := map[string]bool{}
	for _, machine := range s.Machines {
		zones[machine.Record.Zone] = true
	}
	return zones
}

// disallowedZones reports for each zone whether further tasks of a job must not start there.
func disallowedZones(job *cluster.Job, zones map[string]bool) map[string]bool {
	disallowed, running := map[string]bool{}, job.ZoneCounts()
	for zone := range zones {
		disallowed[zone] = !placement.ZoneAllowed(job.Spec.OneZone, job.Spec.Spread, job.Spec.Tasks, running, zone)
	}
	return disallowed
}

// lostWork returns the work that preempting an attempt discards, in CPU seconds. A service loses none,
// since its replicas have no result to complete.
func lostWork(attempt *cluster.Attempt, now time.Time) float64 {
	spec := attempt.Job.Spec
	lostS := 0.0
	if !spec.Service {
		lostS = attempt.RunTimeS(now)
	}
	if spec.CheckpointIntervalS > 0 {
		lostS = min(lostS, spec.CheckpointDurationS)
	}
	return lostS * max(spec.CPUs, 1)
}
