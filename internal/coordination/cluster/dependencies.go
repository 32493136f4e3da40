package cluster

import (
	"slices"
	"time"

	"micaspindle/internal/protocol"
)

// DependencyGraph holds the dependencies between unfinished jobs. Its nodes have dense
// indices. Every controller has the whole graph, since jobs may depend on jobs of other
// partitions. A job has no node if it has no unfinished dependencies and no other job
// depends on it.
//
// A job must be cancelled once a job that it depends on, directly or indirectly, is
// cancelled.
//
// A job can depend only on jobs that were accepted before it, so the graph has no cycle.
// Users determine its depth, so the traversals use an explicit stack instead of recursion.
type DependencyGraph struct {
	// NodeByJob maps job ids to node indices.
	NodeByJob map[string]int32
	// Nodes are all nodes. Those whose indices are in FreeNodes are unused.
	Nodes     []graphNode
	FreeNodes []int32
	// JobsToCancel are the unfinished jobs that must be cancelled because of a
	// dependency, by id. Jobs whose records were not read yet are left out.
	JobsToCancel map[string]*Job
	// jobs are the jobs by id, in the map that was passed to Init.
	jobs map[string]*Job
	// runTime predicts the run time of a job.
	runTime func(*Job) time.Duration
}

// graphNode is a job that has unfinished dependencies or dependents.
type graphNode struct {
	id  string
	job *Job // nil until the job's record is read: listings are not ordered by age
	// dependencies are the nodes that the job depends on, and dependents are the nodes
	// that depend on the job.
	dependencies []int32
	dependents   []int32
	mustCancel   bool
}

// Init sets the unfinished jobs, a map that the caller keeps up to date, and the predictor
// of run times.
func (g *DependencyGraph) Init(jobs map[string]*Job, runTime func(*Job) time.Duration) {
	g.NodeByJob, g.JobsToCancel, g.jobs, g.runTime = map[string]int32{}, map[string]*Job{}, jobs, runTime
}

// nodeOf returns a job's node and adds it if there is none.
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

// release removes a node; its index is reused.
func (g *DependencyGraph) release(n int32) {
	delete(g.NodeByJob, g.Nodes[n].id)
	g.Nodes[n] = graphNode{}
	g.FreeNodes = append(g.FreeNodes, n)
}

// HasDependents reports whether unfinished jobs depend on a job.
func (g *DependencyGraph) HasDependents(id string) bool { return g.DependentsOf(id) > 0 }

// DependentsOf returns the number of unfinished jobs that name a job as a dependency.
func (g *DependencyGraph) DependentsOf(id string) int {
	n, ok := g.NodeByJob[id]
	if !ok {
		return 0
	}
	return len(g.Nodes[n].dependents)
}

// releaseIfUnused removes a node that has neither dependencies nor dependents, unless its job
// must be cancelled.
func (g *DependencyGraph) releaseIfUnused(n int32) {
	if node := &g.Nodes[n]; len(node.dependencies) == 0 && len(node.dependents) == 0 && !node.mustCancel {
		g.release(n)
	}
}

// Add adds a job whose record was read. final returns the final status of another job, or
// "" if none is known, and the time at which that job ended, or zero if the time is not
// known.
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
	open, mustCancel := g.openDependencies(j, final)
	mustCancel = mustCancel || g.Nodes[n].mustCancel
	j.Blocked = mustCancel || len(open) > 0
	if mustCancel {
		g.Nodes[n].mustCancel = false // so that markToCancel adds it to JobsToCancel
		g.markToCancel(n)
		return
	}
	for _, dependency := range open {
		d := g.nodeOf(dependency)
		g.Nodes[n].dependencies = append(g.Nodes[n].dependencies, d)
		g.Nodes[d].dependents = append(g.Nodes[d].dependents, n)
	}
	g.recomputeInherited(n)
	g.propagateRequirements(n)
	g.releaseIfUnused(n)
}

// openDependencies returns the unfinished dependencies of a job and whether the job must be
// cancelled because of a dependency. It also sets the job's DependenciesDoneAt.
func (g *DependencyGraph) openDependencies(j *Job, final func(id string) (status string, at time.Time)) (open []string, mustCancel bool) {
	for _, dependency := range j.Spec.Dependencies {
		switch status, at := final(dependency); status {
		case protocol.StatusDone:
			if at.After(j.DependenciesDoneAt) {
				j.DependenciesDoneAt = at
			}
		case protocol.StatusCancelled:
			mustCancel = true
		default:
			// The dependency may have to be cancelled although it has no final record
			// yet.
			if d, ok := g.NodeByJob[dependency]; ok && g.Nodes[d].mustCancel {
				mustCancel = true
			}
			open = append(open, dependency)
		}
	}
	return open, mustCancel
}

// JobEnded removes a job that is done or cancelled, and returns the jobs that thereby
// become ready.
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
			g.markToCancel(d)
		case len(node.dependencies) == 0 && !node.mustCancel && node.job != nil:
			node.job.Blocked, node.job.DependenciesDoneAt = false, now
			ready = append(ready, node.job)
			g.releaseIfUnused(d)
		}
	}
	dependencies := g.Nodes[n].dependencies
	g.release(n)
	for _, d := range dependencies {
		g.Nodes[d].dependents = removeIndex(g.Nodes[d].dependents, n)
	}
	// The dependencies may have inherited the job's urgency or deadline.
	g.recomputeInheritedOf(dependencies)
	for _, d := range dependencies {
		g.releaseIfUnused(d)
	}
	return ready
}

// markToCancel marks a job and its direct and indirect dependents as to be cancelled.
func (g *DependencyGraph) markToCancel(n int32) {
	stack := []int32{n}
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		node := &g.Nodes[n]
		if node.mustCancel {
			continue
		}
		node.mustCancel = true
		if node.job != nil {
			node.job.Blocked = true
			g.JobsToCancel[node.id] = node.job
		}
		stack = append(stack, node.dependents...)
	}
}

// HasUnseenDependency reports whether a job has a dependency whose record was not read yet,
// so that the dependency's own dependencies are not known here.
func (g *DependencyGraph) HasUnseenDependency(id string) bool {
	n, ok := g.NodeByJob[id]
	return ok && slices.ContainsFunc(g.Nodes[n].dependencies, func(d int32) bool { return g.Nodes[d].job == nil })
}

// requirementOf returns a job's requirements on its dependencies: the job's urgency, and
// the time by which the dependencies must be done, or zero if the job has no deadline.
func (g *DependencyGraph) requirementOf(j *Job) (protocol.Urgency, time.Time) {
	due, ok := j.Deadline()
	if !ok {
		return j.Urgency(), time.Time{}
	}
	return j.Urgency(), due.Add(-g.runTime(j))
}

// propagateRequirements raises the inherited urgency and advances the inherited deadline of
// a job's direct and indirect dependencies where the job requires it.
func (g *DependencyGraph) propagateRequirements(n int32) {
	stack := []int32{n}
	for len(stack) > 0 {
		node := &g.Nodes[stack[len(stack)-1]]
		stack = stack[:len(stack)-1]
		if node.job == nil {
			continue
		}
		urgency, by := g.requirementOf(node.job)
		for _, d := range node.dependencies {
			if j := g.Nodes[d].job; j != nil && j.inheritRequirement(urgency, by) {
				stack = append(stack, d)
			}
		}
	}
}

// recomputeInherited recomputes the urgency and deadline that a job inherits from its
// dependents, and reports whether either has changed.
func (g *DependencyGraph) recomputeInherited(n int32) bool {
	node := &g.Nodes[n]
	j := node.job
	urgency, deadline := j.InheritedUrgency, j.InheritedDeadline
	j.InheritedUrgency, j.InheritedDeadline = protocol.Low, time.Time{}
	for _, d := range node.dependents {
		if g.Nodes[d].job != nil && !g.Nodes[d].mustCancel {
			j.inheritRequirement(g.requirementOf(g.Nodes[d].job))
		}
	}
	return urgency != j.InheritedUrgency || !deadline.Equal(j.InheritedDeadline)
}

// recomputeInheritedOf recomputes the inherited urgency and deadline of jobs and, where
// either has changed, also those of their dependencies.
func (g *DependencyGraph) recomputeInheritedOf(list []int32) {
	stack := slices.Clone(list)
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if g.Nodes[n].job != nil && g.recomputeInherited(n) {
			stack = append(stack, g.Nodes[n].dependencies...)
		}
	}
}

// removeIndex removes an element from a list whose order does not matter.
func removeIndex(list []int32, n int32) []int32 {
	if i := slices.Index(list, n); i >= 0 {
		list[i] = list[len(list)-1]
		return list[:len(list)-1]
	}
	return list
}
