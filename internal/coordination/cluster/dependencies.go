package cluster

import (
	"slices"
	"time"

	"micaspindle/internal/protocol"
)

// DependencyGraph holds which unfinished jobs need which, over dense indices. Every
// controller follows all of it, since jobs need jobs of other parts. A job
// without open dependencies that no other job needs has no node.
//
// A job can name accepted jobs only, so the graph has no cycle. Its depth is
// set by users, so nothing here recurses.
type DependencyGraph struct {
	Index   map[string]int32
	Nodes   []graphNode
	Free    []int32
	runTime func(*Job) time.Duration
	jobs    map[string]*Job // all unfinished jobs; the controller's
	// DoomedJobs are the jobs that are to be withdrawn, since something that they
	// need is, directly or through others.
	DoomedJobs map[string]*Job
}

// graphNode is a job that needs others or is needed.
type graphNode struct {
	id           string
	job          *Job // nil until its record is seen: a listing is not in order of age
	dependencies []int32
	dependents   []int32
	doomed       bool
}

// Init gives the graph the unfinished jobs and how to predict their run times.
func (g *DependencyGraph) Init(jobs map[string]*Job, runTime func(*Job) time.Duration) {
	g.Index, g.DoomedJobs, g.jobs, g.runTime = map[string]int32{}, map[string]*Job{}, jobs, runTime
}

// nodeOf returns a job's place, made if there is none.
func (g *DependencyGraph) nodeOf(id string) int32 {
	n, ok := g.Index[id]
	if ok {
		return n
	}
	if last := len(g.Free) - 1; last >= 0 {
		n, g.Free = g.Free[last], g.Free[:last]
	} else {
		n = int32(len(g.Nodes))
		g.Nodes = append(g.Nodes, graphNode{})
	}
	g.Index[id] = n
	g.Nodes[n] = graphNode{id: id, job: g.jobs[id]}
	return n
}

func (g *DependencyGraph) release(n int32) {
	delete(g.Index, g.Nodes[n].id)
	g.Nodes[n] = graphNode{}
	g.Free = append(g.Free, n)
}

// HasDependents says whether unfinished jobs wait for a job.
func (g *DependencyGraph) HasDependents(id string) bool {
	n, ok := g.Index[id]
	return ok && len(g.Nodes[n].dependents) > 0
}

// releaseIfIdle forgets a node that neither waits nor is waited for.
func (g *DependencyGraph) releaseIfIdle(n int32) {
	if nd := &g.Nodes[n]; len(nd.dependencies) == 0 && len(nd.dependents) == 0 && !nd.doomed {
		g.release(n)
	}
}

// Add takes a job in. final says how and when another job ended, if it did and
// that is known.
func (g *DependencyGraph) Add(j *Job, final func(id string) (status string, at time.Time)) {
	id := j.Spec.ID
	n, known := g.Index[id]
	if len(j.Spec.Dependencies) == 0 && !known {
		return
	}
	if !known {
		n = g.nodeOf(id)
	}
	g.Nodes[n].job = j
	doomed := g.Nodes[n].doomed
	var open []string
	for _, dep := range j.Spec.Dependencies {
		switch status, at := final(dep); status {
		case protocol.StatusDone:
			if at.After(j.DependenciesDoneAt) {
				j.DependenciesDoneAt = at
			}
		case protocol.StatusWithdrawn:
			doomed = true
		default:
			// One that is to be withdrawn dooms whatever names it, before its
			// own end is on record.
			if d, ok := g.Index[dep]; ok && g.Nodes[d].doomed {
				doomed = true
			}
			open = append(open, dep)
		}
	}
	j.Blocked = doomed || len(open) > 0
	if doomed {
		g.Nodes[n].doomed = false // its job is noted by doom
		g.markDoomed(n)
		return
	}
	for _, dep := range open {
		d := g.nodeOf(dep)
		g.Nodes[n].dependencies = append(g.Nodes[n].dependencies, d)
		g.Nodes[d].dependents = append(g.Nodes[d].dependents, n)
	}
	g.recomputeNeeds(n)
	g.propagateNeeds(n)
	g.releaseIfIdle(n)
}

// JobEnded takes in that a job is done or withdrawn, and returns the jobs that
// are ready now.
func (g *DependencyGraph) JobEnded(id string, done bool, now time.Time) []*Job {
	delete(g.DoomedJobs, id)
	n, ok := g.Index[id]
	if !ok {
		return nil
	}
	var ready []*Job
	for _, d := range g.Nodes[n].dependents {
		nd := &g.Nodes[d]
		nd.dependencies = removeIndex(nd.dependencies, n)
		switch {
		case !done:
			g.markDoomed(d)
		case len(nd.dependencies) == 0 && !nd.doomed && nd.job != nil:
			nd.job.Blocked, nd.job.DependenciesDoneAt = false, now
			ready = append(ready, nd.job)
			g.releaseIfIdle(d)
		}
	}
	dependencies := g.Nodes[n].dependencies
	g.release(n)
	for _, d := range dependencies {
		g.Nodes[d].dependents = removeIndex(g.Nodes[d].dependents, n)
	}
	// What the job needed is needed by one job less.
	g.relaxNeeds(dependencies)
	for _, d := range dependencies {
		g.releaseIfIdle(d)
	}
	return ready
}

// markDoomed notes that a job, and all that need it, are to be withdrawn.
func (g *DependencyGraph) markDoomed(n int32) {
	stack := []int32{n}
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		nd := &g.Nodes[n]
		if nd.doomed {
			continue
		}
		nd.doomed = true
		if nd.job != nil {
			nd.job.Blocked = true
			g.DoomedJobs[nd.id] = nd.job
		}
		stack = append(stack, nd.dependents...)
	}
}

// HasUnseenDependency says whether a job needs one whose own record was not seen yet, so
// that nobody here can say what that one needs.
func (g *DependencyGraph) HasUnseenDependency(id string) bool {
	n, ok := g.Index[id]
	return ok && slices.ContainsFunc(g.Nodes[n].dependencies, func(d int32) bool { return g.Nodes[d].job == nil })
}

// needOf is what a job asks of its dependencies: its urgency, and when they must
// be done.
func (g *DependencyGraph) needOf(j *Job) (protocol.Urgency, time.Time) {
	due, ok := j.Deadline()
	if !ok {
		return j.Urgency(), time.Time{}
	}
	return j.Urgency(), due.Add(-g.runTime(j))
}

// InheritNeed lets a job meet a need, and says whether that changed it.
func (j *Job) InheritNeed(urgency protocol.Urgency, by time.Time) bool {
	changed := false
	if urgency > j.InheritedUrgency {
		j.InheritedUrgency, changed = urgency, true
	}
	if !by.IsZero() && (j.InheritedDeadline.IsZero() || by.Before(j.InheritedDeadline)) {
		j.InheritedDeadline, changed = by, true
	}
	return changed
}

// propagateNeeds passes a job's need up to all that it depends on, as far as it
// changes something.
func (g *DependencyGraph) propagateNeeds(n int32) {
	stack := []int32{n}
	for len(stack) > 0 {
		nd := &g.Nodes[stack[len(stack)-1]]
		stack = stack[:len(stack)-1]
		if nd.job == nil {
			continue
		}
		urgency, by := g.needOf(nd.job)
		for _, d := range nd.dependencies {
			if j := g.Nodes[d].job; j != nil && j.InheritNeed(urgency, by) {
				stack = append(stack, d)
			}
		}
	}
}

// recomputeNeeds works out a job's needs from those that need it, and says whether
// that changed them.
func (g *DependencyGraph) recomputeNeeds(n int32) bool {
	nd := &g.Nodes[n]
	j := nd.job
	raised, neededBy := j.InheritedUrgency, j.InheritedDeadline
	j.InheritedUrgency, j.InheritedDeadline = protocol.Low, time.Time{}
	for _, d := range nd.dependents {
		if g.Nodes[d].job != nil && !g.Nodes[d].doomed {
			j.InheritNeed(g.needOf(g.Nodes[d].job))
		}
	}
	return raised != j.InheritedUrgency || !neededBy.Equal(j.InheritedDeadline)
}

// relaxNeeds works the needs of jobs out again, and of all that they depend on, as
// far as it changes something.
func (g *DependencyGraph) relaxNeeds(list []int32) {
	stack := slices.Clone(list)
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if g.Nodes[n].job != nil && g.recomputeNeeds(n) {
			stack = append(stack, g.Nodes[n].dependencies...)
		}
	}
}

// removeIndex removes an index from a list whose order does not matter.
func removeIndex(list []int32, n int32) []int32 {
	if i := slices.Index(list, n); i >= 0 {
		list[i] = list[len(list)-1]
		return list[:len(list)-1]
	}
	return list
}
