package cluster

import (
	"slices"
	"time"

	"micaspindle/internal/protocol"
)

// DependencyGraph holds which unfinished jobs need which, over dense indices. Every
// controller follows all of it, since jobs need jobs of other partitions. A job without open
// dependencies that no other job needs has no node.
//
// A job is doomed once something that it needs, directly or through others, is cancelled: it
// is to be cancelled too.
//
// A job can name accepted jobs only, so the graph has no cycle. Its depth is set by users,
// so nothing here recurses.
type DependencyGraph struct {
	// NodeByJob gives the node of a job by its id.
	NodeByJob map[string]int32
	// Nodes are all nodes, those in Free unused.
	Nodes     []graphNode
	FreeNodes []int32
	// JobsToCancel are the doomed jobs that have not ended and whose records were seen, by id.
	JobsToCancel map[string]*Job
	// jobs are all unfinished jobs by id, the State's map.
	jobs map[string]*Job
	// runTime predicts a job's run time.
	runTime func(*Job) time.Duration
}

// graphNode is a job that needs others or is needed.
type graphNode struct {
	id  string
	job *Job // nil until its record is seen: a listing is not in order of age
	// dependencies and dependents are the nodes that it needs and those that need it.
	dependencies []int32
	dependents   []int32
	doomed       bool
}

// Init sets the unfinished jobs, which stay the caller's, and how to predict run times.
func (g *DependencyGraph) Init(jobs map[string]*Job, runTime func(*Job) time.Duration) {
	g.NodeByJob, g.JobsToCancel, g.jobs, g.runTime = map[string]int32{}, map[string]*Job{}, jobs, runTime
}

// nodeOf returns a job's node, made if there is none.
func (g *DependencyGraph) nodeOf(id string) int32 {
	n, ok := g.NodeByJob[id]
	if ok {
		return n
	}
	if last := len(g.FreeNodes) - 1; last >= 0 {
		n, g.FreeNodes = g.FreeNodes[last], g.FreeNodes[:last]
	} else {
		n = int32(len(g.Nodes))
		g.Nodes = append(g.Nodes, graphNode{})
	}
	g.NodeByJob[id] = n
	g.Nodes[n] = graphNode{id: id, job: g.jobs[id]}
	return n
}

// release frees a node.
func (g *DependencyGraph) release(n int32) {
	delete(g.NodeByJob, g.Nodes[n].id)
	g.Nodes[n] = graphNode{}
	g.FreeNodes = append(g.FreeNodes, n)
}

// HasDependents says whether unfinished jobs need a job.
func (g *DependencyGraph) HasDependents(id string) bool {
	n, ok := g.NodeByJob[id]
	return ok && len(g.Nodes[n].dependents) > 0
}

// releaseIfIdle frees a node that neither needs others nor is needed.
func (g *DependencyGraph) releaseIfIdle(n int32) {
	if node := &g.Nodes[n]; len(node.dependencies) == 0 && len(node.dependents) == 0 && !node.doomed {
		g.release(n)
	}
}

// Add adds a job whose record was seen. final gives the final status of another job, "" if
// none is known, and when it ended, zero if that is not known.
func (g *DependencyGraph) Add(j *Job, final func(id string) (status string, at time.Time)) {
	id := j.Spec.ID
	n, known := g.NodeByJob[id]
	if len(j.Spec.Dependencies) == 0 && !known {
		return
	}
	if !known {
		n = g.nodeOf(id)
	}
	g.Nodes[n].job = j
	open, doomed := g.openDependencies(j, final)
	doomed = doomed || g.Nodes[n].doomed
	j.Blocked = doomed || len(open) > 0
	if doomed {
		g.Nodes[n].doomed = false // so that markDoomed adds its job
		g.markDoomed(n)
		return
	}
	for _, dependency := range open {
		d := g.nodeOf(dependency)
		g.Nodes[n].dependencies = append(g.Nodes[n].dependencies, d)
		g.Nodes[d].dependents = append(g.Nodes[d].dependents, n)
	}
	g.recomputeNeeds(n)
	g.propagateNeeds(n)
	g.releaseIfIdle(n)
}

// openDependencies lists the dependencies of a job that have not ended, notes when the last
// of the others was done, and says whether some dependency dooms the job.
func (g *DependencyGraph) openDependencies(j *Job, final func(id string) (status string, at time.Time)) (open []string, doomed bool) {
	for _, dependency := range j.Spec.Dependencies {
		switch status, at := final(dependency); status {
		case protocol.StatusDone:
			if at.After(j.DependenciesDoneAt) {
				j.DependenciesDoneAt = at
			}
		case protocol.StatusCancelled:
			doomed = true
		default:
			// A doomed job dooms whatever names it, before its own end is on record.
			if d, ok := g.NodeByJob[dependency]; ok && g.Nodes[d].doomed {
				doomed = true
			}
			open = append(open, dependency)
		}
	}
	return open, doomed
}

// JobEnded notes that a job is done or cancelled, and returns the jobs that are ready now.
func (g *DependencyGraph) JobEnded(id string, done bool, now time.Time) []*Job {
	delete(g.JobsToCancel, id)
	n, ok := g.NodeByJob[id]
	if !ok {
		return nil
	}
	var ready []*Job
	for _, d := range g.Nodes[n].dependents {
		node := &g.Nodes[d]
		node.dependencies = removeIndex(node.dependencies, n)
		switch {
		case !done:
			g.markDoomed(d)
		case len(node.dependencies) == 0 && !node.doomed && node.job != nil:
			node.job.Blocked, node.job.DependenciesDoneAt = false, now
			ready = append(ready, node.job)
			g.releaseIfIdle(d)
		}
	}
	dependencies := g.Nodes[n].dependencies
	g.release(n)
	for _, d := range dependencies {
		g.Nodes[d].dependents = removeIndex(g.Nodes[d].dependents, n)
	}
	// What the job needed is now needed by one job less.
	g.relaxNeeds(dependencies)
	for _, d := range dependencies {
		g.releaseIfIdle(d)
	}
	return ready
}

// markDoomed dooms a job and all that need it, directly or through others.
func (g *DependencyGraph) markDoomed(n int32) {
	stack := []int32{n}
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		node := &g.Nodes[n]
		if node.doomed {
			continue
		}
		node.doomed = true
		if node.job != nil {
			node.job.Blocked = true
			g.JobsToCancel[node.id] = node.job
		}
		stack = append(stack, node.dependents...)
	}
}

// HasUnseenDependency says whether a job needs one whose own record was not seen yet, so
// that it is not known here what that one needs.
func (g *DependencyGraph) HasUnseenDependency(id string) bool {
	n, ok := g.NodeByJob[id]
	return ok && slices.ContainsFunc(g.Nodes[n].dependencies, func(d int32) bool { return g.Nodes[d].job == nil })
}

// needOf is what a job asks of its dependencies: its urgency, and by when they must be
// done; zero: at any time.
func (g *DependencyGraph) needOf(j *Job) (protocol.Urgency, time.Time) {
	due, ok := j.Deadline()
	if !ok {
		return j.Urgency(), time.Time{}
	}
	return j.Urgency(), due.Add(-g.runTime(j))
}

// propagateNeeds passes a job's need on to all that it depends on, as far as that changes
// something.
func (g *DependencyGraph) propagateNeeds(n int32) {
	stack := []int32{n}
	for len(stack) > 0 {
		node := &g.Nodes[stack[len(stack)-1]]
		stack = stack[:len(stack)-1]
		if node.job == nil {
			continue
		}
		urgency, by := g.needOf(node.job)
		for _, d := range node.dependencies {
			if j := g.Nodes[d].job; j != nil && j.inheritNeed(urgency, by) {
				stack = append(stack, d)
			}
		}
	}
}

// recomputeNeeds computes anew what a job inherits from those that need it, and says whether
// that changed it.
func (g *DependencyGraph) recomputeNeeds(n int32) bool {
	node := &g.Nodes[n]
	j := node.job
	urgency, deadline := j.InheritedUrgency, j.InheritedDeadline
	j.InheritedUrgency, j.InheritedDeadline = protocol.Low, time.Time{}
	for _, d := range node.dependents {
		if g.Nodes[d].job != nil && !g.Nodes[d].doomed {
			j.inheritNeed(g.needOf(g.Nodes[d].job))
		}
	}
	return urgency != j.InheritedUrgency || !deadline.Equal(j.InheritedDeadline)
}

// relaxNeeds computes anew what jobs inherit, and all that they depend on, as far as that
// changes something.
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
