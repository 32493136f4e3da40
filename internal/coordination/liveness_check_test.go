package coordination

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/protocol"
)

// The liveness properties that must hold at the end of every test, after all faults have ended:
// status requests for accepted jobs are answered, and no job waits while a suitable machine has
// free resources and its team is below its quota. Failed tasks are no exception, since every pause
// that follows from them ends within maxStartDelay (rule 57).
const (
	// maxAnswerDelay is the maximum time for which status requests for an accepted job may be
	// unanswered.
	maxAnswerDelay = 75 * time.Second
	// maxStartDelay is the maximum time for which a job may wait while resources are free.
	maxStartDelay = 90 * time.Second
)

// clearFaults ends all faults that are still active, and starts the controllers that are down.
func (sim *simulatedCluster) clearFaults() {
	sim.setOutage(false)
	sim.withLock(func() {
		sim.state.RefusedClients, sim.state.WatchesStuck = nil, false
		sim.dropsMessage, sim.cuts, sim.onRequest, sim.onResponse, sim.interceptCommands = nil, networkCuts{}, nil, nil, nil
		sim.messageFaultRate, sim.lateTransactionRate, sim.duplicatedHeartbeatRate, sim.delayedCommands, sim.linkDelayMax = 0, 0, 0, nil, 0
		sim.copiedCommands, sim.refuseStart, sim.taskFails, sim.sickMachines = nil, nil, nil, nil
		sim.inboundLost, sim.outboundLost, sim.suppressNotices, sim.cancelAtEnd = nil, nil, false, nil
		for _, agent := range sim.agents {
			agent.Hung = false
		}
	})
	sim.startMissingControllers()
}

// startMissingControllers starts the controllers that are down.
func (sim *simulatedCluster) startMissingControllers() {
	for _, label := range allControllers {
		sim.mu.Lock()
		down := sim.controllers[label] == nil
		sim.mu.Unlock()
		if down {
			sim.startController(label)
		}
	}
}

// checkLiveness ends all faults and fails the test if a liveness property does not hold then.
func (sim *simulatedCluster) checkLiveness() {
	sim.clearFaults()
	start := time.Now()
	unanswered := map[string]bool{}
	if sim.identities == nil { // otherwise the user may lack the right to view the job
		for _, id := range sim.acceptedJobs() {
			unanswered[id] = true
		}
	}
	since := map[starvedJob]time.Time{}
	for {
		now := time.Now()
		for _, id := range slices.Sorted(maps.Keys(unanswered)) {
			if sim.poll("", id) != "" {
				delete(unanswered, id)
			} else if now.Sub(start) > maxAnswerDelay {
				sim.t.Errorf("forgotten: status requests for the accepted job %s were not answered for %s", id, maxAnswerDelay)
				delete(unanswered, id)
			}
		}
		sim.withLock(func() {
			starved := sim.starvedJobs()
			maps.DeleteFunc(since, func(job starvedJob, _ time.Time) bool { return !starved[job] })
			for job := range starved {
				if since[job].IsZero() {
					since[job] = now
				}
			}
		})
		for job, at := range since {
			if now.Sub(at) > maxStartDelay {
				sim.t.Errorf("%s has waited for %s although %s has free resources", job.job, now.Sub(at), job.machine)
				return
			}
		}
		if len(unanswered) == 0 && len(since) == 0 {
			return
		}
		time.Sleep(time.Second)
	}
}

// acceptedJobs returns the IDs of the accepted jobs.
func (sim *simulatedCluster) acceptedJobs() (ids []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(sim.jobs)) {
		if !sim.jobs[id].acceptedAt.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// starvedJob is a job that waits although a machine has free resources for one of the job's tasks
// or, if the job is a gang, although several machines together have free resources for all its
// tasks.
type starvedJob struct {
	job     string
	placed  int    // number of the job's tasks that are done or on a machine
	machine string // for a gang, several names
}

// starvedJobs returns the jobs that wait although resources are free. The lock is held.
func (sim *simulatedCluster) starvedJobs() map[starvedJob]bool {
	starved := map[starvedJob]bool{}
	names := slices.Sorted(maps.Keys(sim.agents))
	used := map[string]float64{}
	perZone := map[string]map[string]int{} // number of tasks by job and zone
	free := make([]resources, len(names))
	for i, name := range names {
		agent := sim.agents[name]
		free[i] = sim.machineResources(agent.Type)
		for _, t := range agent.Tasks {
			if t.State == protocol.TaskEnded {
				continue
			}
			s := sim.jobs[t.Job].spec
			used[s.Team] += s.CPUs
			free[i].subtract(s)
			if perZone[t.Job] == nil {
				perZone[t.Job] = map[string]int{}
			}
			perZone[t.Job][agent.Zone]++
		}
	}
	for id, submitted := range sim.jobs {
		s := submitted.spec
		placed := len(submitted.tasksDone)
		for _, n := range perZone[id] {
			placed += n
		}
		if submitted.acceptedAt.IsZero() || submitted.cancelRequested || submitted.finalStatus != "" || placed >= s.Tasks || !sim.dependenciesDone(submitted) || !sim.withinTeamLimit(s, used[s.Team]) {
			continue
		}
		slots, machines := 0, ""
		for i, name := range names {
			n := freeSlots(sim.agents[name], free[i], s, perZone[id])
			if slots += n; n == 0 {
				continue
			}
			if machines += name + " "; !s.Gang {
				starved[starvedJob{id, placed, name}] = true
			}
		}
		if s.Gang && slots >= s.Tasks {
			starved[starvedJob{id, placed, machines}] = true
		}
	}
	return starved
}

// dependenciesDone reports whether all dependencies of a job are done. The lock is held.
func (sim *simulatedCluster) dependenciesDone(submitted *submittedJob) bool {
	for _, dep := range submitted.spec.Dependencies {
		if dependency := sim.lastSuccessor(dep); dependency == nil || len(dependency.tasksDone) < dependency.spec.Tasks {
			return false
		}
	}
	return true
}

// withinTeamLimit reports whether a team that uses the given number of CPUs has quota for one
// more task of a job, or, if the job is a gang or a service, for all its tasks.
func (sim *simulatedCluster) withinTeamLimit(s *protocol.JobSpec, used float64) bool {
	tasks := 1
	if s.Gang || s.Service {
		tasks = s.Tasks
	}
	for _, team := range sim.settings.Params.Teams {
		if team.Name == s.Team && team.CPUsMax > 0 && used+s.CPUs*float64(tasks) > team.CPUsMax {
			return false
		}
	}
	return true
}

// resources are the free resources of a machine.
type resources struct{ cpus, memGB, gpus float64 }

// machineResources returns the resources of a machine type, or none if there is no such type.
func (sim *simulatedCluster) machineResources(machineType string) resources {
	for _, mt := range sim.cloud.Types {
		if mt.Name == machineType {
			return resources{mt.CPUs, mt.MemGB, mt.GPUs}
		}
	}
	return resources{}
}

// subtract subtracts the resources of one task of a job.
func (r *resources) subtract(s *protocol.JobSpec) {
	r.cpus, r.memGB, r.gpus = r.cpus-s.CPUs, r.memGB-s.MemGB, r.gpus-s.GPUs
}

// freeSlots returns the number of a job's tasks for which a machine with the given free resources
// has room. inZone is the number of the job's tasks in each zone.
func freeSlots(agent *agent.Agent, free resources, s *protocol.JobSpec, inZone map[string]int) int {
	if agent.PoweredOff || agent.Hung || agent.PreemptAt != nil || agent.Spot && !s.Spot || s.Zone != "" && s.Zone != agent.Zone ||
		len(s.Types) > 0 && !slices.Contains(s.Types, agent.Type) {
		return 0
	}
	for zone := range inZone {
		if s.OneZone && zone != agent.Zone {
			return 0
		}
	}
	if s.Spread && inZone[agent.Zone] >= (s.Tasks+1)/2 {
		return 0
	}
	n := min(free.cpus/s.CPUs, free.memGB/s.MemGB)
	if s.GPUs > 0 {
		n = min(n, free.gpus/s.GPUs)
	}
	return max(0, int(n))
}
