package coordination

import (
	"slices"
	"time"

	"micaspindle/internal/bookkeeping"
	"micaspindle/internal/coordination/fit"
	"micaspindle/internal/coordination/floor"
	"micaspindle/internal/observe"
	"micaspindle/internal/protocol"
)

// keepEvery is how often it is decided anew what is kept for groups that are behind.
const keepEvery = time.Second

// floorState is what is kept for groups of a part's work that are behind.
type floorState struct {
	at time.Time
	// shares are the parts of the machines that groups get; nil: none is behind.
	shares []float64
	// quota is what is kept of teams' limits, by team; within says which classes of
	// which teams run no more than what is kept for them of the limit.
	quota  [][]floor.Quota
	within map[teamClass]bool
}

type teamClass struct{ team, class int }

// share is what a group gets.
func (f *floorState) share(group int) float64 {
	if group >= len(f.shares) {
		return 0
	}
	return f.shares[group]
}

// behind says whether a job is of a group that something is kept for.
func (f *floorState) behind(j *job) bool {
	return f.share(j.class) > 0 || f.share(teamGroup(j.team)) > 0
}

func (f *floorState) quotaOf(team int) []floor.Quota {
	if f.quota == nil {
		return nil
	}
	return f.quota[team]
}

// keeps is the group for which the room is kept that an attempt runs in.
func (f *floorState) keeps(a *attempt) int {
	j := a.job
	switch kept := a.machine.keptFor; {
	case f.shares == nil:
		return floor.None
	case kept != floor.None && (kept == j.class || kept == teamGroup(j.team)):
		return kept
	case f.within[teamClass{j.team, j.class}]:
		return j.class
	}
	return floor.None
}

// behindShare is which part of the demands told to the leader work of groups which are
// behind may take ahead of all other, so that machines are rented for it as well.
const behindShare = 5

// first puts at most so many jobs of groups that are behind ahead of the others.
func (f *floorState) first(list []*job, most int) []*job {
	if f.shares == nil {
		return list
	}
	var ahead, others []*job
	for _, j := range list {
		if len(ahead) < most && len(j.queue) > 0 && f.behind(j) {
			ahead = append(ahead, j)
		} else {
			others = append(others, j)
		}
	}
	return append(ahead, others...)
}

// Groups are numbered from 1: the teams, then the classes as they come.
func teamGroup(team int) int { return team + 1 }

// classesMost bounds the classes that are told apart, and those whose run times are learnt:
// users make up their names. It does not grow with the machines; one takes up to 300 bytes.
const classesMost = 1000

func (c *Controller) classGroup(class string) int {
	g, known := c.classes[class]
	switch {
	case known:
	case len(c.classes) >= classesMost:
		c.boundMet(observe.Classes, 1)
		return floor.None
	default:
		g = len(c.set.Params.Teams) + len(c.classes) + 1
		c.classes[class] = g
	}
	return g
}

func (j *job) groups() [2]int { return [2]int{teamGroup(j.team), j.class} }

// countDone counts a job that was done.
func (c *Controller) countDone(part int, groups [2]int, at time.Time) {
	now := time.Now()
	for _, g := range groups {
		t := c.parts[part].done[g]
		if t == nil {
			t = &floor.Tally{}
			c.parts[part].done[g] = t
		}
		t.Add(at, now)
	}
}

// forgetDone begins the count anew, before a listing is taken in.
func (c *Controller) forgetDone() {
	for _, p := range c.parts {
		clear(p.done)
	}
}

// listedJob counts a listed job that is done: what a controller that was away missed.
func (c *Controller) listedJob(id string, raw []byte) {
	if c.finals[id] != protocol.StatusDone {
		return
	}
	var spec protocol.JobKind
	if bookkeeping.Decode(raw, &spec) != nil {
		return
	}
	if team, ok := c.teamIndex[spec.Team]; ok {
		c.countDone(c.teamPart[team], [2]int{teamGroup(team), c.classGroup(spec.Class)}, c.listedEnds[id])
	}
}

// keepFloor decides what is kept for groups of a part that are behind.
func (c *Controller) keepFloor(p *part, now time.Time) {
	if now.Sub(p.floor.at) < keepEvery {
		return
	}
	was := p.floor.shares != nil
	p.floor = floorState{at: now}
	groups := c.groupsOf(p, now)
	if p.floor.shares = floor.Shares(groups); p.floor.shares == nil {
		if was {
			c.log.Info("nothing is kept any more", "part", p.index)
			for _, m := range c.machines {
				if m.rec.Part == p.index {
					m.keptFor = floor.None
				}
			}
		}
		return
	}
	c.keepQuota(p, now)
	v := floor.View{Groups: groups}
	for _, j := range c.inOrder(p) {
		team := c.set.Params.Teams[j.team]
		if len(j.queue) > 0 && !j.withdrawn && !now.Before(j.holdTill) && p.floor.behind(j) &&
			(limitOf(team).Allows(p.usage[j.team], needOf(j.spec)) || p.floor.within[teamClass{j.team, j.class}]) {
			v.Jobs = append(v.Jobs, floor.Job{Class: j.class, Team: teamGroup(j.team), Need: needOf(j.spec), Wish: wishOf(j.spec), Waiting: len(j.queue)})
		}
	}
	var machines []*machine
	for _, m := range c.machines {
		if m.rec.Part != p.index || !c.usable(m, now) {
			continue
		}
		machines = append(machines, m)
		fm := floor.Machine{Name: m.name, Kind: kindOf(m.rec), Size: fit.Size(m.typ), Free: m.free(), Kept: m.keptFor, Held: map[int]float64{}}
		for _, a := range m.attempts {
			if a.live() {
				for _, g := range a.job.groups() {
					if p.floor.share(g) > 0 {
						fm.Held[g] += a.job.spec.CPUs
					}
				}
			}
		}
		v.Machines = append(v.Machines, fm)
	}
	kept := 0
	for i, g := range floor.Keep(v) {
		machines[i].keptFor = g
		if g != floor.None {
			kept++
		}
	}
	if !was {
		c.log.Info("keeping machines for what is behind", "part", p.index, "groups", c.behindNames(p), "machines", kept, "of", len(machines))
	}
}

// groupsOf counts a part's work by group.
func (c *Controller) groupsOf(p *part, now time.Time) []floor.Group {
	groups := make([]floor.Group, len(c.set.Params.Teams)+len(c.classes)+1)
	for id, j := range c.jobs {
		if j.part != p.index || !j.owned || j.blocked || j.withdrawn || c.finals[id] != "" {
			continue
		}
		late := 0.0
		if len(j.queue) > 0 && now.Sub(j.since()).Seconds() > floor.LongS(j.spec.DeadlineS) {
			late = float64(len(j.queue)) / float64(j.spec.Tasks)
		}
		for _, g := range j.groups() {
			groups[g].Open++
			groups[g].Late += late
		}
	}
	for g, t := range p.done {
		groups[g].Done = t.Of(now)
	}
	groups[floor.None] = floor.Group{}
	teams, all := groups[1:len(c.set.Params.Teams)+1], floor.Group{}
	for _, g := range teams {
		all.Open, all.Late, all.Done = all.Open+g.Open, all.Late+g.Late, all.Done+g.Done
	}
	for i := range teams {
		teams[i] = teams[i].Beyond(all)
	}
	return groups
}

// keepQuota keeps a part of teams' limits for their classes that are behind, as far as
// machines have room for their work now: where room is what it waits for, the limit is
// of more use to others.
func (c *Controller) keepQuota(p *part, now time.Time) {
	uses := map[teamClass]floor.Use{}
	var machines []*machine
	free := map[*machine]fit.Amounts{}
	for _, m := range c.machines {
		if m.rec.Part == p.index && c.usable(m, now) {
			machines, free[m] = append(machines, m), m.free()
		}
	}
	for _, j := range c.inOrder(p) {
		if c.set.Params.Teams[j.team].CPUsMax <= 0 || p.floor.share(j.class) == 0 {
			continue
		}
		u := uses[teamClass{j.team, j.class}]
		u.Class = j.class
		n, need := 0, needOf(j.spec)
		for _, m := range machines {
			if m.keptFor != floor.None && m.keptFor != j.class && m.keptFor != teamGroup(j.team) || !wishOf(j.spec).Allows(kindOf(m.rec)) {
				continue
			}
			slots := free[m].Slots(need, len(j.queue)-n)
			n, free[m] = n+slots, free[m].Plus(need, -float64(slots))
		}
		u.Wanted.Add(need, float64(n))
		uses[teamClass{j.team, j.class}] = u
	}
	for _, j := range c.jobs {
		k := teamClass{j.team, j.class}
		u, asked := uses[k]
		if !asked || !j.owned {
			continue
		}
		for _, a := range j.live {
			if a.live() {
				u.Used.Add(needOf(j.spec), 1)
			}
		}
		uses[k] = u
	}
	p.floor.quota, p.floor.within = make([][]floor.Quota, len(p.usage)), map[teamClass]bool{}
	for team := range p.usage {
		var of []floor.Use
		for k, u := range uses {
			if k.team == team {
				of = append(of, u)
			}
		}
		limit := limitOf(c.set.Params.Teams[team])
		p.floor.quota[team] = floor.Quotas(p.floor.shares, limit, of)
		for _, u := range of {
			p.floor.within[teamClass{team, u.Class}] = u.Used.CPUs <= p.floor.share(u.Class)*limit.CPUs
		}
	}
}

// behindNames names the groups that something is kept for.
func (c *Controller) behindNames(p *part) []string {
	var names []string
	for i, t := range c.set.Params.Teams {
		if p.floor.share(teamGroup(i)) > 0 {
			names = append(names, "team "+t.Name)
		}
	}
	for class, g := range c.classes {
		if p.floor.share(g) > 0 {
			names = append(names, "class "+class)
		}
	}
	slices.Sort(names)
	return names
}
