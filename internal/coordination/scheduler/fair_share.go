package scheduler

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// fairShareInterval is how often it is decided anew what is kept for groups that are behind.
const fairShareInterval = time.Second

// MaxClassGroups bounds the classes that are told apart, and those whose run times are learnt:
// users make up their names. It does not grow with the machines; one takes up to 300 bytes.
const MaxClassGroups = 1000

func (sched *Scheduler) ClassGroup(class string) int {
	g, known := sched.ClassGroups[class]
	switch {
	case known:
	case len(sched.ClassGroups) >= MaxClassGroups:
		sched.bounds.Met(telemetry.Classes, 1)
		return fairshare.NoGroup
	default:
		g = len(sched.Settings.Params.Teams) + len(sched.ClassGroups) + 1
		sched.ClassGroups[class] = g
	}
	return g
}

// CountDone counts a job that was done.
func (sched *Scheduler) CountDone(part int, groups [2]int, at time.Time) {
	now := time.Now()
	for _, g := range groups {
		t := sched.Partitions[part].DoneTallies[g]
		if t == nil {
			t = &fairshare.Tally{}
			sched.Partitions[part].DoneTallies[g] = t
		}
		t.Add(at, now)
	}
}

// ResetDoneCounts begins the count anew, before a listing is taken in.
func (sched *Scheduler) ResetDoneCounts() {
	for _, p := range sched.Partitions {
		clear(p.DoneTallies)
	}
}

// CountListedJob counts a listed job that is done: what a controller that was away missed.
func (sched *Scheduler) CountListedJob(id string, raw []byte) {
	if sched.FinalStates[id] != protocol.StatusDone {
		return
	}
	var spec protocol.JobKind
	if storage.Decode(raw, &spec) != nil {
		return
	}
	if team, ok := sched.TeamIndex[spec.Team]; ok {
		sched.CountDone(sched.TeamPartition[team], [2]int{cluster.TeamGroup(team), sched.ClassGroup(spec.Class)}, sched.ListedEnds[id])
	}
}

// updateFairShare decides what is kept for groups of a part that are behind.
func (sched *Scheduler) updateFairShare(p *cluster.Partition, now time.Time) {
	if now.Sub(p.FairShare.DecidedAt) < fairShareInterval {
		return
	}
	was := p.FairShare.Shares != nil
	p.FairShare = cluster.FairShareState{DecidedAt: now}
	groups := sched.countGroups(p, now)
	if p.FairShare.Shares = fairshare.Shares(groups); p.FairShare.Shares == nil {
		if was {
			sched.log.Info("nothing is kept any more", "part", p.Index)
			for _, m := range sched.Machines {
				if m.Record.Partition == p.Index {
					m.ReservedFor = fairshare.NoGroup
				}
			}
		}
		return
	}
	sched.reserveQuota(p, now)
	v := fairshare.View{Groups: groups}
	for _, j := range sched.Queue(p) {
		team := sched.Settings.Params.Teams[j.Team]
		if len(j.Pending) > 0 && !j.Ended && !now.Before(j.BackoffUntil) && p.FairShare.Starved(j) &&
			(cluster.TeamLimit(team).Allows(p.Usage[j.Team], cluster.ResourcesOf(j.Spec)) || p.FairShare.WithinReserve[cluster.TeamClass{Team: j.Team, ClassGroup: j.ClassGroup}]) {
			v.Jobs = append(v.Jobs, fairshare.Job{Class: j.ClassGroup, Team: cluster.TeamGroup(j.Team), Need: cluster.ResourcesOf(j.Spec), Wish: cluster.ConstraintsOf(j.Spec), Waiting: len(j.Pending)})
		}
	}
	var machines []*cluster.Machine
	for _, m := range sched.Machines {
		if m.Record.Partition != p.Index || !sched.Usable(m, now) {
			continue
		}
		machines = append(machines, m)
		fm := fairshare.Machine{Name: m.Name, Kind: cluster.MachineKindOf(m.Record), Size: binpack.Size(m.Type), Free: m.Free(), ReservedFor: m.ReservedFor, Held: map[int]float64{}}
		for _, a := range m.Attempts {
			if a.Live() {
				for _, g := range a.Job.Groups() {
					if p.FairShare.Share(g) > 0 {
						fm.Held[g] += a.Job.Spec.CPUs
					}
				}
			}
		}
		v.Machines = append(v.Machines, fm)
	}
	kept := 0
	for i, g := range fairshare.Reserve(v) {
		machines[i].ReservedFor = g
		if g != fairshare.NoGroup {
			kept++
		}
	}
	if !was {
		sched.log.Info("keeping machines for what is behind", "part", p.Index, "groups", sched.starvedGroupNames(p), "machines", kept, "of", len(machines))
	}
}

// countGroups counts a part's work by group.
func (sched *Scheduler) countGroups(p *cluster.Partition, now time.Time) []fairshare.Group {
	groups := make([]fairshare.Group, len(sched.Settings.Params.Teams)+len(sched.ClassGroups)+1)
	for id, j := range sched.Jobs {
		if j.Partition != p.Index || !j.Loaded || j.Blocked || j.Ended || sched.FinalStates[id] != "" {
			continue
		}
		late := 0.0
		if len(j.Pending) > 0 && now.Sub(j.ReadySince()).Seconds() > fairshare.StarvationS(j.Spec.DeadlineS) {
			late = float64(len(j.Pending)) / float64(j.Spec.Tasks)
		}
		for _, g := range j.Groups() {
			groups[g].Open++
			groups[g].Late += late
		}
	}
	for g, t := range p.DoneTallies {
		groups[g].Done = t.Value(now)
	}
	groups[fairshare.NoGroup] = fairshare.Group{}
	teams, all := groups[1:len(sched.Settings.Params.Teams)+1], fairshare.Group{}
	for _, g := range teams {
		all.Open, all.Late, all.Done = all.Open+g.Open, all.Late+g.Late, all.Done+g.Done
	}
	for i := range teams {
		teams[i] = teams[i].BeyondAverage(all)
	}
	return groups
}

// reserveQuota keeps a part of teams' limits for their classes that are behind, as far as
// machines have room for their work now: where room is what it waits for, the limit is
// of more use to others.
func (sched *Scheduler) reserveQuota(p *cluster.Partition, now time.Time) {
	uses := map[cluster.TeamClass]fairshare.ClassUse{}
	var machines []*cluster.Machine
	free := map[*cluster.Machine]binpack.Resources{}
	for _, m := range sched.Machines {
		if m.Record.Partition == p.Index && sched.Usable(m, now) {
			machines, free[m] = append(machines, m), m.Free()
		}
	}
	for _, j := range sched.Queue(p) {
		if sched.Settings.Params.Teams[j.Team].CPUsMax <= 0 || p.FairShare.Share(j.ClassGroup) == 0 {
			continue
		}
		u := uses[cluster.TeamClass{Team: j.Team, ClassGroup: j.ClassGroup}]
		u.Class = j.ClassGroup
		n, need := 0, cluster.ResourcesOf(j.Spec)
		for _, m := range machines {
			if m.ReservedFor != fairshare.NoGroup && m.ReservedFor != j.ClassGroup && m.ReservedFor != cluster.TeamGroup(j.Team) || !cluster.ConstraintsOf(j.Spec).Allows(cluster.MachineKindOf(m.Record)) {
				continue
			}
			slots := free[m].Slots(need, len(j.Pending)-n)
			n, free[m] = n+slots, free[m].Plus(need, -float64(slots))
		}
		u.Wanted.Add(need, float64(n))
		uses[cluster.TeamClass{Team: j.Team, ClassGroup: j.ClassGroup}] = u
	}
	for _, j := range sched.Jobs {
		k := cluster.TeamClass{Team: j.Team, ClassGroup: j.ClassGroup}
		u, asked := uses[k]
		if !asked || !j.Loaded {
			continue
		}
		for _, a := range j.LiveAttempts {
			if a.Live() {
				u.Used.Add(cluster.ResourcesOf(j.Spec), 1)
			}
		}
		uses[k] = u
	}
	p.FairShare.ReservedQuotas, p.FairShare.WithinReserve = make([][]fairshare.ReservedQuota, len(p.Usage)), map[cluster.TeamClass]bool{}
	for team := range p.Usage {
		var of []fairshare.ClassUse
		for k, u := range uses {
			if k.Team == team {
				of = append(of, u)
			}
		}
		limit := cluster.TeamLimit(sched.Settings.Params.Teams[team])
		p.FairShare.ReservedQuotas[team] = fairshare.Quotas(p.FairShare.Shares, limit, of)
		for _, u := range of {
			p.FairShare.WithinReserve[cluster.TeamClass{Team: team, ClassGroup: u.Class}] = u.Used.CPUs <= p.FairShare.Share(u.Class)*limit.CPUs
		}
	}
}

// starvedGroupNames names the groups that something is kept for.
func (sched *Scheduler) starvedGroupNames(p *cluster.Partition) []string {
	var names []string
	for i, t := range sched.Settings.Params.Teams {
		if p.FairShare.Share(cluster.TeamGroup(i)) > 0 {
			names = append(names, "team "+t.Name)
		}
	}
	for class, g := range sched.ClassGroups {
		if p.FairShare.Share(g) > 0 {
			names = append(names, "class "+class)
		}
	}
	slices.Sort(names)
	return names
}
