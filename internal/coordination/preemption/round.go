package preemption

import (
	"cmp"
	"slices"

	"micaspindle/internal/coordination/binpack"
)

// round is the working state of one call of Decide.
type round struct {
	View
	// stopping marks the tasks that were already stopping or are preempted in this round.
	stopping []bool
	// claimed marks the machines that were already chosen for a pending task in this round.
	claimed     []bool
	preemptions []Preemption
}

func newRound(v View) round {
	r := round{View: v, stopping: make([]bool, len(v.Tasks)), claimed: make([]bool, len(v.Machines))}
	for i := range v.Tasks {
		r.stopping[i] = v.Tasks[i].Stopping
	}
	return r
}

func (r *round) preempt(task, job int, teamLimit bool) {
	r.stopping[task] = true
	r.preemptions = append(r.preemptions, Preemption{Task: task, Job: job, TeamLimit: teamLimit})
}

// jobOf returns the job of a task.
func (r *round) jobOf(task int) *Job { return &r.Jobs[r.Tasks[task].Job] }

// freeMachines preempts tasks so that the pending tasks of a job fit on machines, each on a
// different one.
func (r *round) freeMachines(jobIndex int) {
	job := &r.Jobs[jobIndex]
	guaranteed := r.Teams[job.Team].withinGuarantee(job)
	for range job.Pending {
		if len(r.preemptions) >= maxPreemptions {
			return
		}
		cheapest, found := r.cheapestMachine(job, guaranteed)
		if !found {
			return
		}
		r.claimed[cheapest.machine] = true
		for _, task := range cheapest.tasks {
			r.preempt(task, jobIndex, false)
		}
		if cheapest.retry {
			return // the job tries one such machine at a time
		}
	}
}

// victimSet is the tasks to preempt on a machine so that one task of a job fits there.
type victimSet struct {
	machine int
	tasks   []int
	// lostWork is the sum of the LostWork of the tasks, in CPU seconds.
	lostWork float64
	// retry is set if the job failed on the machine, and lastChoice if the machine is used only if
	// there is no other.
	retry, lastChoice bool
}

// cheaperThan reports whether preempting the victims is better than preempting others.
func (s *victimSet) cheaperThan(other *victimSet) bool {
	if s.lastChoice != other.lastChoice {
		return other.lastChoice
	}
	return s.lostWork < other.lostWork
}

// cheapestMachine returns the victims on the machine where starting one task of a job loses the
// least work, on a last-choice machine only if there is no other. The first machine wins a tie. The result has no tasks if enough tasks are already
// stopping on the machine.
func (r *round) cheapestMachine(job *Job, guaranteed bool) (cheapest victimSet, found bool) {
	for i := range r.Machines {
		machine := &r.Machines[i]
		if r.claimed[i] || !job.Constraints.Allows(machine.Kind) || job.DisallowedZones[machine.Kind.Zone] || job.ExcludedMachines[machine.Name] {
			continue
		}
		candidate, possible := r.selectVictims(i, job, guaranteed)
		if possible && (!found || candidate.cheaperThan(&cheapest)) {
			cheapest, found = candidate, true
		}
	}
	return cheapest, found
}

// selectVictims selects the tasks to preempt on a machine for one task of a job, by ascending lost
// work. It reports whether the task then fits and no more than maxLostWork is lost.
func (r *round) selectVictims(machine int, job *Job, guaranteed bool) (victimSet, bool) {
	free, candidates := r.preemptibleTasks(machine, job, guaranteed)
	result := victimSet{machine: machine, retry: job.LastChoiceMachines[r.Machines[machine].Name]}
	result.lastChoice = result.retry || r.Machines[machine].LastChoice
	for _, task := range candidates {
		if free.Holds(job.Resources) {
			break
		}
		free = free.Plus(r.jobOf(task).Resources, 1)
		result.tasks = append(result.tasks, task)
		result.lostWork += r.Tasks[task].LostWork
	}
	worthwhile := job.Service || result.lostWork <= job.maxLostWork(job.Resources.CPUs)
	return result, worthwhile && free.Holds(job.Resources)
}

// preemptibleTasks returns the tasks on a machine that may be preempted for a job, by ascending lost
// work, and the machine's free resources once its stopping tasks have ended.
func (r *round) preemptibleTasks(machine int, job *Job, guaranteed bool) (free binpack.Resources, tasks []int) {
	free = r.Machines[machine].Free
	for _, task := range r.Machines[machine].Tasks {
		victim := r.jobOf(task)
		switch {
		case r.stopping[task]:
			free = free.Plus(victim.Resources, 1)
		case !r.Tasks[task].protectedFrom(job) && r.mayPreempt(victim, job, guaranteed):
			tasks = append(tasks, task)
		}
	}
	slices.SortStableFunc(tasks, func(a, b int) int { return cmp.Compare(r.Tasks[a].LostWork, r.Tasks[b].LostWork) })
	return free, tasks
}

// mayPreempt implements the protocol's rule for which tasks may be preempted for a job. guaranteed
// is set if the job's team stays within its guarantee.
func (r *round) mayPreempt(victim, job *Job, guaranteed bool) bool {
	if victim.Urgency < job.Urgency {
		return true
	}
	return guaranteed && victim.Team != job.Team && r.Teams[victim.Team].beyondGuarantee()
}
