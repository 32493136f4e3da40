package scheduler

import (
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/fairshare"
)

// teamClass returns the team and the class group of a job.
func teamClass(job *cluster.Job) cluster.TeamClass {
	return cluster.TeamClass{Team: job.Team, ClassGroup: job.ClassGroup}
}

// reserveQuota reserves parts of the teams' limits for their starved classes, but only for tasks for
// which machines have free capacity now. While a class waits for machines, the limit is left to the
// other classes.
func (s *Scheduler) reserveQuota(p *cluster.Partition, now time.Time) {
	uses := s.quotaWanted(p, now)
	s.addQuotaUsed(uses)
	p.FairShare.ReservedQuotas = make([][]fairshare.ReservedQuota, len(p.Usage))
	p.FairShare.WithinReservation = map[cluster.TeamClass]bool{}
	for team := range p.Usage {
		var classes []fairshare.ClassUse
		for key, use := range uses {
			if key.Team == team {
				classes = append(classes, use)
			}
		}
		limit := cluster.TeamLimit(s.Settings.Params.Teams[team])
		p.FairShare.ReservedQuotas[team] = fairshare.ReserveQuotas(p.FairShare.Shares, limit, classes)
		for _, class := range classes {
			key := cluster.TeamClass{Team: team, ClassGroup: class.Class}
			p.FairShare.WithinReservation[key] = class.Used.CPUs <= p.FairShare.Share(class.Class)*limit.CPUs
		}
	}
}

// quotaWanted adds up, by team and starved class, the resources of the pending tasks for which
// machines of a partition have free capacity. Teams without a limit are left out.
func (s *Scheduler) quotaWanted(p *cluster.Partition, now time.Time) map[cluster.TeamClass]fairshare.ClassUse {
	wanted := map[cluster.TeamClass]fairshare.ClassUse{}
	free := map[*cluster.Machine]binpack.Resources{}
	var machines []*cluster.Machine
	for _, machine := range s.Machines {
		if s.usableIn(p, machine, now) {
			machines = append(machines, machine)
			free[machine] = machine.Free()
		}
	}
	for _, job := range s.Queue(p) {
		if s.Settings.Params.Teams[job.Team].CPUsMax <= 0 || p.FairShare.Share(job.ClassGroup) == 0 {
			continue
		}
		use := wanted[teamClass(job)]
		use.Class = job.ClassGroup
		use.Wanted.Add(cluster.ResourcesOf(job.Spec), float64(allocateSlots(job, machines, free, now)))
		wanted[teamClass(job)] = use
	}
	return wanted
}

// allocateSlots returns the number of a job's pending tasks that may start now on machines that the
// job can count on, and subtracts the resources of these tasks from free.
func allocateSlots(job *cluster.Job, machines []*cluster.Machine, free map[*cluster.Machine]binpack.Resources, now time.Time) int {
	if now.Before(job.BackoffUntil) {
		return 0
	}
	taken, need, constraints := 0, cluster.ResourcesOf(job.Spec), cluster.ConstraintsOf(job.Spec)
	ready := job.ReadyTasks(now)
	suspect := job.SuspectMachines(now)
	for _, machine := range machines {
		if suspect[machine.Name] || reservedForOthers(machine, job) || !constraints.Allows(cluster.MachineKindOf(machine.Record)) {
			continue
		}
		slots := free[machine].Slots(need, ready-taken)
		taken += slots
		free[machine] = free[machine].Plus(need, -float64(slots))
	}
	return taken
}

// reservedForOthers reports whether a machine is reserved for a group to which a job doesn't belong.
func reservedForOthers(machine *cluster.Machine, job *cluster.Job) bool {
	group := machine.ReservedFor
	return group != fairshare.NoGroup && group != job.ClassGroup && group != cluster.TeamGroup(job.Team)
}

// addQuotaUsed adds to uses, for each class in it, the resources of the class's live attempts.
func (s *Scheduler) addQuotaUsed(uses map[cluster.TeamClass]fairshare.ClassUse) {
	for _, job := range s.Jobs {
		use, counted := uses[teamClass(job)]
		if !counted || !job.HasRunState {
			continue
		}
		for _, attempt := range job.LiveAttempts {
			if attempt.Live() {
				use.Used.Add(cluster.ResourcesOf(job.Spec), 1)
			}
		}
		uses[teamClass(job)] = use
	}
}
