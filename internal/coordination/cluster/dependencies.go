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

// JobEnd is the end of a job according to its final record.
type JobEnd struct {
	// Status is the job's final status, or "" if the job's final record was not received.
	Status string
	// Successor is the id of the job that a reassigned job became, or "". The jobs that depend on a
	// reassigned job depend on its successor.
	Successor string
	// At is the time at which the job ended, or zero if it is not known.
	At time.Time
}

// resolveDependency follows the successors of a job that was reassigned, and returns the last one with its
// end. A successor is accepted with the end of the job that it replaces, so there is no cycle.
func resolveDependency(id string, endOf func(id string) JobEnd) (string, JobEnd) {
	end := endOf(id)
	for end.Successor != "" {
		id = end.Successor
		end = endOf(id)
	}
	return id, end
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

// Add adds a job whose record was read. endOf returns the end of another job.
func (g *DependencyGraph) Add(j *Job, endOf func(id string) JobEnd) {
	id := j.Spec.ID
	n, known := g.NodeByJob[id]
	if len(j.Spec.Dependencies) == 0 && !known {
		return
	}
	if !known {
		n = g.nodeOf(id)
	}
	g.Nodes[n].job = j
	open, mustCancel := g.openDependencies(j, endOf)
	mustCancel = mustCancel || g.Nodes[n].mustCancel
	j.Blocked = mustCancel || len(open) > 0
	if mustCancel {
		g.Nodes[n].mustCancel = false // so that markToCancel adds it to JobsToCancel
		g.markToCancel(n)
		return
	}
	for _, dependency := range open {
		g.addEdge(n, dependency)
	}
	g.recomputeInherited(n)
	g.propagateRequirements(n)
	g.releaseIfUnused(n)
}

// addEdge makes a job, by its node, depend on another job.
func (g *DependencyGraph) addEdge(n int32, dependency string) {
	d := g.nodeOf(dependency)
	g.Nodes[n].dependencies = append(g.Nodes[n].dependencies, d)
	g.Nodes[d].dependents = append(g.Nodes[d].dependents, n)
}

// openDependencies returns the unfinished dependencies of a job, successors in place of jobs that were
// reassigned, and whether the job must be cancelled because of a dependency. It also sets the job's
// DependenciesDoneAt.
func (g *DependencyGraph) openDependencies(j *Job, endOf func(id string) JobEnd) (open []string, mustCancel bool) {
	for _, named := range j.Spec.Dependencies {
		dependency, end := resolveDependency(named, endOf)
		switch end.Status {
		case protocol.StatusDone:
			if end.At.After(j.DependenciesDoneAt) {
				j.DependenciesDoneAt = end.At
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

// JobEnded removes a job that is done, cancelled or reassigned, and returns the jobs that thereby become
// ready. endOf returns the end of each job. Jobs that depend on a reassigned job depend on its successor
// from then on.
func (g *DependencyGraph) JobEnded(id string, endOf func(id string) JobEnd, now time.Time) []*Job {
	delete(g.JobsToCancel, id)
	n, ok := g.NodeByJob[id]
	if !ok {
		return nil
	}
	last, end := resolveDependency(id, endOf)
	var ready []*Job
	for _, d := range g.Nodes[n].dependents {
		g.Nodes[d].dependencies = removeIndex(g.Nodes[d].dependencies, n)
		switch {
		case end.Status == protocol.StatusDone:
			if job := g.unblock(d, now); job != nil {
				ready = append(ready, job)
			}
		case end.Status == "" && last != id:
			g.replaceDependency(d, last)
		default:
			g.markToCancel(d)
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

// unblock returns the job of a node if all its dependencies are done, and marks it ready.
func (g *DependencyGraph) unblock(n int32, now time.Time) *Job {
	node := &g.Nodes[n]
	job := node.job
	if len(node.dependencies) > 0 || node.mustCancel || job == nil {
		return nil
	}
	job.Blocked, job.DependenciesDoneAt = false, now
	g.releaseIfUnused(n)
	return job
}

// replaceDependency makes a job depend on the successor of a dependency that was reassigned.
func (g *DependencyGraph) replaceDependency(n int32, successor string) {
	if g.Nodes[n].mustCancel {
		return
	}
	g.addEdge(n, successor)
	if g.Nodes[g.NodeByJob[successor]].mustCancel {
		g.markToCancel(n)
		return
	}
	g.propagateRequirements(n)
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
