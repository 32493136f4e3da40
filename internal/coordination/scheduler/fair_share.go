package scheduler

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/fairshare"
)

// fairShareInterval is the minimum time between two updates of a partition's fair-share
// reservations.
const fairShareInterval = time.Second

// updateFairShare decides which machines of a partition, and which parts of the teams' limits, are
// reserved for starved groups.
func (s *Scheduler) updateFairShare(p *cluster.Partition, now time.Time) {
	if now.Sub(p.FairShare.ComputedAt) < fairShareInterval {
		return
	}
	wasActive := p.FairShare.Shares != nil
	p.FairShare = cluster.FairShareState{ComputedAt: now}
	groups := s.countGroups(p, now)
	p.FairShare.Shares = fairshare.ReservedShares(groups)
	if p.FairShare.Shares == nil {
		if wasActive {
			s.releaseMachines(p)
		}
		return
	}
	s.reserveQuota(p, now)
	reserved, usable := s.reserveMachines(p, groups, now)
	if !wasActive {
		s.log.Info("fair-share reservations started", "partition", p.Index, "groups", s.starvedGroupNames(p), "count", reserved, "usable", usable)
	}
}

// releaseMachines ends all reservations of a partition's machines.
func (s *Scheduler) releaseMachines(p *cluster.Partition) {
	s.log.Info("fair-share reservations released", "partition", p.Index)
	for _, machine := range s.Machines {
		if machine.Record.Partition == p.Index {
			machine.ReservedFor = fairshare.NoGroup
		}
	}
}

// reserveMachines reserves each usable machine of a partition for a starved group, or for none. It
// returns the numbers of reserved and of usable machines.
func (s *Scheduler) reserveMachines(p *cluster.Partition, groups []fairshare.Group, now time.Time) (reserved, usable int) {
	view := fairshare.View{Groups: groups, Jobs: s.starvedJobs(p, now)}
	var machines []*cluster.Machine
	for _, machine := range s.Machines {
		if s.usableIn(p, machine, now) {
			machines = append(machines, machine)
			view.Machines = append(view.Machines, fairShareMachine(p, machine))
		}
	}
	for index, group := range fairshare.Reserve(view) {
		machines[index].ReservedFor = group
		if group != fairshare.NoGroup {
			reserved++
		}
	}
	return reserved, len(machines)
}

// starvedJobs lists the jobs of starved groups that could start if machines were free.
func (s *Scheduler) starvedJobs(p *cluster.Partition, now time.Time) []fairshare.Job {
	var jobs []fairshare.Job
	for _, job := range s.Queue(p) {
		if len(job.Pending) == 0 || job.Ended || now.Before(job.BackoffUntil) || !p.FairShare.Starved(job) || !s.withinQuota(p, job) {
			continue
		}
		jobs = append(jobs, fairshare.Job{
			Class:           job.ClassGroup,
			Team:            cluster.TeamGroup(job.Team),
			Resources:       cluster.ResourcesOf(job.Spec),
			Constraints:     cluster.ConstraintsOf(job.Spec),
			Pending:         job.ReadyTasks(now),
			SuspectMachines: job.SuspectMachines(now),
		})
	}
	return jobs
}

// withinQuota reports whether one more task of a job fits into its team's limit, or whether the job's
// class stays within the part of that limit that is reserved for it.
func (s *Scheduler) withinQuota(p *cluster.Partition, job *cluster.Job) bool {
	limit := cluster.TeamLimit(s.Settings.Params.Teams[job.Team])
	return limit.Allows(p.Usage[job.Team], cluster.ResourcesOf(job.Spec)) || p.FairShare.WithinReservation[teamClass(job)]
}

// fairShareMachine converts a machine to the input of the fair-share reservations.
func fairShareMachine(p *cluster.Partition, machine *cluster.Machine) fairshare.Machine {
	view := fairshare.Machine{
		Name:        machine.Name,
		Kind:        cluster.MachineKindOf(machine.Record),
		Size:        binpack.Size(machine.Type),
		Free:        machine.Free(),
		ReservedFor: machine.ReservedFor,
		UsedCPUs:    map[int]float64{},
	}
	for _, attempt := range machine.Attempts {
		if !attempt.Live() {
			continue
		}
		for _, group := range attempt.Job.Groups() {
			if p.FairShare.Share(group) > 0 {
				view.UsedCPUs[group] += attempt.Job.Spec.CPUs
			}
		}
	}
	return view
}

// countGroups counts the open, starved and recently done jobs of a partition by group. Of a team's
// starved jobs, only the excess over the average of all teams is counted.
func (s *Scheduler) countGroups(p *cluster.Partition, now time.Time) []fairshare.Group {
	teamCount := len(s.Settings.Params.Teams)
	groups := make([]fairshare.Group, teamCount+len(s.ClassGroups)+1)
	for id, job := range s.Jobs {
		if job.Partition != p.Index || !job.HasRunState || job.Blocked || job.Ended || s.FinalStates[id] != "" {
			continue
		}
		starved := starvedFraction(job, now)
		for _, group := range job.Groups() {
			groups[group].Open++
			groups[group].Starved += starved
		}
	}
	for group, tally := range p.DoneTallies {
		groups[group].Done = tally.Value(now)
	}
	groups[fairshare.NoGroup] = fairshare.Group{}
	teams := groups[cluster.TeamGroup(0) : cluster.TeamGroup(0)+teamCount]
	all := fairshare.Group{}
	for _, team := range teams {
		all.Open += team.Open
		all.Starved += team.Starved
		all.Done += team.Done
	}
	for index := range teams {
		teams[index] = teams[index].BeyondAverage(all)
	}
	return groups
}

// starvedFraction returns the pending fraction of a job's tasks if the job has waited long enough to
// count as starved, else 0.
func starvedFraction(job *cluster.Job, now time.Time) float64 {
	if len(job.Pending) == 0 || now.Sub(job.ReadySince()).Seconds() <= fairshare.StarvationTimeS(job.Spec.DeadlineS) {
		return 0
	}
	return float64(len(job.Pending)) / float64(job.Spec.Tasks)
}

// starvedGroupNames lists the names of the groups that get reservations.
func (s *Scheduler) starvedGroupNames(p *cluster.Partition) []string {
	var names []string
	for index, team := range s.Settings.Params.Teams {
		if p.FairShare.Share(cluster.TeamGroup(index)) > 0 {
			names = append(names, "team "+team.Name)
		}
	}
	for class, group := range s.ClassGroups {
		if p.FairShare.Share(group) > 0 {
			names = append(names, "class "+class)
		}
	}
	slices.Sort(names)
	return names
}
