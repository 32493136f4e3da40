package coordination

import (
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/fairshare"
	"micaspindle/internal/protocol"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// fairShareInterval is how often it is decided anew what is kept for groups that are behind.
const fairShareInterval = time.Second

// FairShareState is what is kept for groups of a part's work that are behind.
type FairShareState struct {
	DecidedAt time.Time
	// Shares are the parts of the machines that groups get; nil: none is behind.
	Shares []float64
	// Quota is what is kept of teams' limits, by team; within says which classes of
	// which teams run no more than what is kept for them of the limit.
	Quota         [][]fairshare.ReservedQuota
	WithinReserve map[TeamClass]bool
}

type TeamClass struct{ Team, ClassGroup int }

// Share is what a group gets.
func (f *FairShareState) Share(group int) float64 {
	if group >= len(f.Shares) {
		return 0
	}
	return f.Shares[group]
}

// Starved says whether a job is of a group that something is kept for.
func (f *FairShareState) Starved(j *Job) bool {
	return f.Share(j.ClassGroup) > 0 || f.Share(TeamGroup(j.Team)) > 0
}

func (f *FairShareState) QuotaOf(team int) []fairshare.ReservedQuota {
	if f.Quota == nil {
		return nil
	}
	return f.Quota[team]
}

// ReservationOf is the group for which the room is kept that an attempt runs in.
func (f *FairShareState) ReservationOf(a *Attempt) int {
	j := a.Job
	switch kept := a.Machine.ReservedFor; {
	case f.Shares == nil:
		return fairshare.NoGroup
	case kept != fairshare.NoGroup && (kept == j.ClassGroup || kept == TeamGroup(j.Team)):
		return kept
	case f.WithinReserve[TeamClass{j.Team, j.ClassGroup}]:
		return j.ClassGroup
	}
	return fairshare.NoGroup
}

// starvedDemandsShare is which part of the demands told to the leader work of groups which are
// behind may take ahead of all other, so that machines are rented for it as well.
const starvedDemandsShare = 5

// StarvedFirst puts at most so many jobs of groups that are behind ahead of the others.
func (f *FairShareState) StarvedFirst(list []*Job, most int) []*Job {
	if f.Shares == nil {
		return list
	}
	var ahead, others []*Job
	for _, j := range list {
		if len(ahead) < most && len(j.Pending) > 0 && f.Starved(j) {
			ahead = append(ahead, j)
		} else {
			others = append(others, j)
		}
	}
	return append(ahead, others...)
}

// Groups are numbered from 1: the teams, then the classes as they come.
func TeamGroup(team int) int { return team + 1 }

// classGroupsLimit bounds the classes that are told apart, and those whose run times are learnt:
// users make up their names. It does not grow with the machines; one takes up to 300 bytes.
const classGroupsLimit = 1000

func (sched *Scheduler) ClassGroup(class string) int {
	g, known := sched.ClassGroups[class]
	switch {
	case known:
	case len(sched.ClassGroups) >= classGroupsLimit:
		sched.bounds.Met(telemetry.Classes, 1)
		return fairshare.NoGroup
	default:
		g = len(sched.Settings.Params.Teams) + len(sched.ClassGroups) + 1
		sched.ClassGroups[class] = g
	}
	return g
}

func (j *Job) Groups() [2]int { return [2]int{TeamGroup(j.Team), j.ClassGroup} }

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
		sched.CountDone(sched.TeamPartition[team], [2]int{TeamGroup(team), sched.ClassGroup(spec.Class)}, sched.ListedEnds[id])
	}
}

// updateFairShare decides what is kept for groups of a part that are behind.
func (sched *Scheduler) updateFairShare(p *Partition, now time.Time) {
	if now.Sub(p.FairShare.DecidedAt) < fairShareInterval {
		return
	}
	was := p.FairShare.Shares != nil
	p.FairShare = FairShareState{DecidedAt: now}
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
			(TeamLimit(team).Allows(p.Usage[j.Team], ResourcesOf(j.Spec)) || p.FairShare.WithinReserve[TeamClass{j.Team, j.ClassGroup}]) {
			v.Jobs = append(v.Jobs, fairshare.Job{Class: j.ClassGroup, Team: TeamGroup(j.Team), Need: ResourcesOf(j.Spec), Wish: ConstraintsOf(j.Spec), Waiting: len(j.Pending)})
		}
	}
	var machines []*Machine
	for _, m := range sched.Machines {
		if m.Record.Partition != p.Index || !sched.Usable(m, now) {
			continue
		}
		machines = append(machines, m)
		fm := fairshare.Machine{Name: m.Name, Kind: MachineKindOf(m.Record), Size: binpack.Size(m.Type), Free: m.Free(), ReservedFor: m.ReservedFor, Held: map[int]float64{}}
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
func (sched *Scheduler) countGroups(p *Partition, now time.Time) []fairshare.Group {
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
func (sched *Scheduler) reserveQuota(p *Partition, now time.Time) {
	uses := map[TeamClass]fairshare.ClassUse{}
	var machines []*Machine
	free := map[*Machine]binpack.Resources{}
	for _, m := range sched.Machines {
		if m.Record.Partition == p.Index && sched.Usable(m, now) {
			machines, free[m] = append(machines, m), m.Free()
		}
	}
	for _, j := range sched.Queue(p) {
		if sched.Settings.Params.Teams[j.Team].CPUsMax <= 0 || p.FairShare.Share(j.ClassGroup) == 0 {
			continue
		}
		u := uses[TeamClass{j.Team, j.ClassGroup}]
		u.Class = j.ClassGroup
		n, need := 0, ResourcesOf(j.Spec)
		for _, m := range machines {
			if m.ReservedFor != fairshare.NoGroup && m.ReservedFor != j.ClassGroup && m.ReservedFor != TeamGroup(j.Team) || !ConstraintsOf(j.Spec).Allows(MachineKindOf(m.Record)) {
				continue
			}
			slots := free[m].Slots(need, len(j.Pending)-n)
			n, free[m] = n+slots, free[m].Plus(need, -float64(slots))
		}
		u.Wanted.Add(need, float64(n))
		uses[TeamClass{j.Team, j.ClassGroup}] = u
	}
	for _, j := range sched.Jobs {
		k := TeamClass{j.Team, j.ClassGroup}
		u, asked := uses[k]
		if !asked || !j.Loaded {
			continue
		}
		for _, a := range j.LiveAttempts {
			if a.Live() {
				u.Used.Add(ResourcesOf(j.Spec), 1)
			}
		}
		uses[k] = u
	}
	p.FairShare.Quota, p.FairShare.WithinReserve = make([][]fairshare.ReservedQuota, len(p.Usage)), map[TeamClass]bool{}
	for team := range p.Usage {
		var of []fairshare.ClassUse
		for k, u := range uses {
			if k.Team == team {
				of = append(of, u)
			}
		}
		limit := TeamLimit(sched.Settings.Params.Teams[team])
		p.FairShare.Quota[team] = fairshare.Quotas(p.FairShare.Shares, limit, of)
		for _, u := range of {
			p.FairShare.WithinReserve[TeamClass{team, u.Class}] = u.Used.CPUs <= p.FairShare.Share(u.Class)*limit.CPUs
		}
	}
}

// starvedGroupNames names the groups that something is kept for.
func (sched *Scheduler) starvedGroupNames(p *Partition) []string {
	var names []string
	for i, t := range sched.Settings.Params.Teams {
		if p.FairShare.Share(TeamGroup(i)) > 0 {
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
