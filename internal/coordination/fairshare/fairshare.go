// Package fairshare decides what is kept for classes of jobs, and for teams, that have
// fallen behind: a bounded part of the machines that their work fits, against any
// urgency and any flood of others. It is a pure function of a view of one part.
//
// A group is a class or a team; a job belongs to one of each. How far a group is
// behind is how much of what was accepted of it still waits though it has waited long,
// so it is counted from the records and a takeover does not forget it.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
)

const (
	// MaxReservedShare is the part of the machines of a type that may be kept, for all groups
	// together.
	MaxReservedShare = 0.5
	// minStarvedShare is how far behind a group may be without anything being kept for it, far
	// from where on it gets all that it may: what half of everything being served asks
	// for, with as much to spare.
	minStarvedShare, fullStarvedShare = 0.05, 0.25
	// tallyDecay is how long what is done counts: after so long, by a factor of e less.
	tallyDecay = 10 * time.Minute
	// longWait and its share of the time that a job has are how long it waits until it
	// counts as behind.
	longWait  = 30 * time.Second
	longShare = 0.5
)

// Tally counts what was done of a group of late. The zero value is none.
type Tally struct {
	sum float64
	at  time.Time
}

// Add counts a job that was done at a moment.
func (t *Tally) Add(done, now time.Time) {
	t.sum, t.at = t.Value(now)+decay(now.Sub(done)), now
}

// Value is what counts now.
func (t *Tally) Value(now time.Time) float64 { return t.sum * decay(now.Sub(t.at)) }

func decay(since time.Duration) float64 {
	return math.Exp(-max(0, since).Seconds() / tallyDecay.Seconds())
}

// StarvationS is how long a job waits until it counts as behind; spanS is how long it has
// from its submission until it should be done, 0: no matter.
func StarvationS(spanS float64) float64 {
	if spanS <= 0 {
		return 2 * longWait.Seconds()
	}
	return max(longWait.Seconds(), longShare*spanS)
}

// Group is a class or a team.
type Group struct {
	// Open is how many unfinished jobs it has, Late how much of them has waited long
	// (of each the share of its tasks that wait), Done what was done of late.
	Open, Starved, Done float64
}

// StarvedShare is the share of a group that waits though it has waited long.
func (g Group) StarvedShare() float64 {
	if g.Starved <= 0 {
		return 0
	}
	return g.Starved / max(g.Starved, g.Open+g.Done)
}

// BeyondAverage is a group as far as it is more behind than all together: what hits every team
// alike is no reason to keep machines for each of them.
func (g Group) BeyondAverage(all Group) Group {
	g.Starved = max(0, g.Starved-all.StarvedShare()*(g.Open+g.Done))
	return g
}

// share is the part of the machines that is kept for a group.
func (g Group) share() float64 {
	return MaxReservedShare * min(1, max(0, (g.StarvedShare()-minStarvedShare)/(fullStarvedShare-minStarvedShare)))
}

// NoGroup is no group; groups are numbered from 1.
const NoGroup = 0

// Job is one with tasks that wait and may start, as far as teams' limits go.
type Job struct {
	Class, Team int // groups
	Resources   binpack.Resources
	Constraints binpack.Constraints
	Pending     int
}

// Machine is one that takes tasks.
type Machine struct {
	Name string
	Kind binpack.MachineKind
	// Size is all of it, Free what is not in use.
	Size, Free binpack.Resources
	// UsedCPUs is what groups use of it, in CPUs.
	UsedCPUs map[int]float64
	// ReservedFor is the group that it was kept for until now, or None.
	ReservedFor int
}

// View is one part.
type View struct {
	Groups   []Group // by number; the first is None's and empty
	Jobs     []Job
	Machines []Machine
}

// ReservedShares are the parts of the machines that groups may get, nil if none is behind.
func ReservedShares(groups []Group) []float64 {
	if !slices.ContainsFunc(groups, func(g Group) bool { return g.share() > 0 }) {
		return nil
	}
	shares := make([]float64, len(groups))
	for i, g := range groups {
		shares[i] = g.share()
	}
	return shares
}

// room is what of a view matters for one group.
type room struct {
	group int
	// fits are the machines that its waiting work fits, cpus all of theirs, held what
	// the group uses of them, wanted that and what it waits for.
	fits               []int
	cpus, held, wanted float64
}

func (v *View) room(g int) room {
	r := room{group: g}
	var jobs []*Job
	for i := range v.Jobs {
		if j := &v.Jobs[i]; j.Pending > 0 && (j.Class == g || j.Team == g) {
			jobs = append(jobs, j)
			r.wanted += float64(j.Pending) * max(j.Resources.CPUs, binpack.Epsilon)
		}
	}
	for i := range v.Machines {
		m := &v.Machines[i]
		if slices.ContainsFunc(jobs, func(j *Job) bool { return m.Size.Holds(j.Resources) && j.Constraints.Allows(m.Kind) }) {
			r.fits = append(r.fits, i)
			r.cpus += m.Size.CPUs
			r.held += m.UsedCPUs[g]
		}
	}
	r.wanted += r.held
	return r
}

// Reserve says of each machine for which group it is kept, None if for none. Only that
// group's work starts there; what runs there goes on. What may be kept is shared among
// the groups by max-min fairness: nobody gets more than it wants, nor more than an equal
// share as long as others want theirs. One that holds most of what its work fits, as a
// flood does, needs no help. Of no machine type more than Most is kept.
func Reserve(v View) []int {
	keep := make([]int, len(v.Machines))
	left := map[string]float64{} // what may be kept, by type
	for i := range v.Machines {
		left[v.Machines[i].Kind.Type] += MaxReservedShare * v.Machines[i].Size.CPUs
	}
	var rooms []room
	for g, share := range ReservedShares(v.Groups) {
		if share > 0 {
			if r := v.room(g); r.held < MaxReservedShare*r.cpus {
				rooms = append(rooms, r)
			}
		}
	}
	slices.SortStableFunc(rooms, func(a, b room) int { return cmp.Compare(a.wanted*b.cpus, b.wanted*a.cpus) })
	rest := MaxReservedShare
	for i, r := range rooms {
		share := min(v.Groups[r.group].share(), r.wanted/r.cpus, rest/float64(len(rooms)-i))
		rest -= share
		v.keepFor(r, share*r.cpus, left, keep)
	}
	return keep
}

// keepFor keeps machines for a group until its share is reached. Those that were kept
// for it before go first, so that they empty, then those where most of it runs already,
// then the emptiest.
func (v *View) keepFor(r room, share float64, left map[string]float64, keep []int) {
	slices.SortFunc(r.fits, func(a, b int) int {
		x, y := &v.Machines[a], &v.Machines[b]
		before := func(m *Machine) int {
			if m.ReservedFor == r.group {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(before(x), before(y)), cmp.Compare(y.UsedCPUs[r.group], x.UsedCPUs[r.group]), cmp.Compare(y.Free.CPUs, x.Free.CPUs),
			cmp.Compare(x.Name, y.Name))
	})
	for _, i := range r.fits {
		m := &v.Machines[i]
		if share < binpack.Epsilon || r.wanted < binpack.Epsilon {
			return
		}
		if keep[i] != NoGroup || m.Size.CPUs > left[m.Kind.Type]+binpack.Epsilon {
			continue
		}
		keep[i] = r.group
		left[m.Kind.Type] -= m.Size.CPUs
		share, r.wanted = share-m.Size.CPUs, r.wanted-m.Size.CPUs
	}
}

// ClassUse is what a class uses of its team's limit, and what waits of it.
type ClassUse struct {
	Class        int
	Used, Wanted binpack.Compute
}

// ReservedQuota is what is kept of a team's limit for a class.
type ReservedQuota struct {
	Class    int
	Reserved binpack.Compute
}

// Quotas says how much of a team's limit is kept for each class that is behind: nobody
// else of the team may start into it. As with machines, classes that want least go
// first, one that has most of the limit needs no help, and at most Most is kept.
func Quotas(shares []float64, limit binpack.Compute, uses []ClassUse) []ReservedQuota {
	var out []ReservedQuota
	uses = slices.Clone(uses)
	slices.SortFunc(uses, func(a, b ClassUse) int {
		return cmp.Or(cmp.Compare(a.Wanted.CPUs+a.Used.CPUs, b.Wanted.CPUs+b.Used.CPUs), cmp.Compare(a.Class, b.Class))
	})
	left := binpack.Compute{CPUs: MaxReservedShare * limit.CPUs, GPUs: MaxReservedShare * limit.GPUs}
	keep := func(share, limit, used, wanted float64, left *float64) float64 {
		if used >= MaxReservedShare*limit {
			return 0
		}
		n := max(0, min(share*limit-used, wanted, *left-used))
		*left -= n + used
		return n
	}
	for _, u := range uses {
		if shares[u.Class] <= 0 {
			continue
		}
		q := ReservedQuota{u.Class, binpack.Compute{CPUs: keep(shares[u.Class], limit.CPUs, u.Used.CPUs, u.Wanted.CPUs, &left.CPUs),
			GPUs: keep(shares[u.Class], limit.GPUs, u.Used.GPUs, u.Wanted.GPUs, &left.GPUs)}}
		if q.Reserved != (binpack.Compute{}) {
			out = append(out, q)
		}
	}
	return out
}
