package coordination

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/protocol"
)

// The liveness properties that must hold at the end of every test, once all faults are over:
// the status of each accepted job is answered, and no job waits while a suitable machine has
// free resources and its team is below its quota.
const (
	// answeredWithin is how long a status request of an accepted job may go unanswered.
	answeredWithin = 75 * time.Second
	// startedWithin is how long a job may wait although resources are free.
	startedWithin = 90 * time.Second
)

// clearFaults ends all faults that a test has left, and starts the controllers that are down.
func (sim *simulatedCluster) clearFaults() {
	sim.setOutage(false)
	sim.withLock(func() {
		sim.state.RefusedClients, sim.state.WatchesStuck = nil, false
		sim.cut, sim.cuts, sim.onRequest, sim.onResponse, sim.interceptCommands = nil, networkCuts{}, nil, nil, nil
		sim.messageFaultRate, sim.lateTransactionShare, sim.duplicatedHeartbeatShare, sim.delayedCommands, sim.linkDelayMax = 0, 0, 0, nil, 0
		sim.inboundLost, sim.outboundLost, sim.suppressNotices, sim.cancelAtEnd = nil, nil, false, nil
		for _, agent := range sim.workers {
			agent.Hung = false
		}
	})
	sim.startMissingControllers()
}

// startMissingControllers starts the controllers that are down.
func (sim *simulatedCluster) startMissingControllers() {
	for _, l := range allControllers {
		sim.mu.Lock()
		away := sim.controllers[l] == nil
		sim.mu.Unlock()
		if away {
			sim.startController(l)
		}
	}
}

// checkLiveness fails the test if a liveness property does not hold after the faults are over.
func (sim *simulatedCluster) checkLiveness() {
	sim.clearFaults()
	begun := time.Now()
	open := map[string]bool{}
	if sim.identities == nil { // with identities only those with the right to view are answered
		for _, id := range sim.acceptedJobs() {
			open[id] = true
		}
	}
	since := map[starvedJob]time.Time{}
	for {
		now := time.Now()
		for _, id := range slices.Sorted(maps.Keys(open)) {
			if sim.poll("", id) != "" {
				delete(open, id)
			} else if now.Sub(begun) > answeredWithin {
				sim.t.Errorf("forgotten: no status request for %s is answered for %s", id, answeredWithin)
				delete(open, id)
			}
		}
		sim.withLock(func() {
			still := sim.jobsWaitingDespiteRoom()
			maps.DeleteFunc(since, func(wt starvedJob, _ time.Time) bool { return !still[wt] })
			for wt := range still {
				if since[wt].IsZero() {
					since[wt] = now
				}
			}
		})
		for wt, at := range since {
			if now.Sub(at) > startedWithin {
				sim.t.Errorf("%s waits for %s while %s has room", wt.job, now.Sub(at), wt.machine)
				return
			}
		}
		if len(open) == 0 && len(since) == 0 {
			return
		}
		time.Sleep(time.Second)
	}
}

// acceptedJobs lists the jobs that were accepted.
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

// starvedJob is a job that waits, with a number of tasks placed, while a machine has free
// resources for a task of it, or, for a gang, while machines have them for all.
type starvedJob struct {
	job     string
	placed  int
	machine string
}

// jobsWaitingDespiteRoom returns what waits although resources are free. The lock is held.
func (sim *simulatedCluster) jobsWaitingDespiteRoom() map[starvedJob]bool {
	list := map[starvedJob]bool{}
	if sim.fails != nil {
		return list // failing jobs back off
	}
	names := slices.Sorted(maps.Keys(sim.workers))
	used := map[string]float64{}
	perZone := map[string]map[string]int{} // by job, the number of its tasks in each zone
	free := make([]resources, len(names))
	for i, name := range names {
		agent := sim.workers[name]
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
		come := len(submitted.tasksDone)
		for _, n := range perZone[id] {
			come += n
		}
		if submitted.acceptedAt.IsZero() || submitted.cancelRequested || submitted.finalStatus != "" || come >= s.Tasks || !sim.dependenciesDone(submitted) || !sim.withinTeamLimit(s, used[s.Team]) {
			continue
		}
		places, machines := 0, ""
		for i, name := range names {
			n := freeSlots(sim.workers[name], free[i], s, perZone[id])
			if places += n; n == 0 {
				continue
			}
			if machines += name + " "; !s.Gang {
				list[starvedJob{id, come, name}] = true
			}
		}
		if s.Gang && places >= s.Tasks {
			list[starvedJob{id, come, machines}] = true
		}
	}
	return list
}

// dependenciesDone reports whether all dependencies of a job are done. The lock is held.
func (sim *simulatedCluster) dependenciesDone(submitted *submittedJob) bool {
	for _, dep := range submitted.spec.Dependencies {
		if dependency := sim.jobs[dep]; dependency == nil || len(dependency.tasksDone) < dependency.spec.Tasks {
			return false
		}
	}
	return true
}

// withinTeamLimit reports whether a team with the given usage has quota for one more task, or,
// for a gang or a service, for all.
func (sim *simulatedCluster) withinTeamLimit(s *protocol.JobSpec, used float64) bool {
	tasks := 1
	if s.Gang || s.Standing {
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

// machineResources returns the resources of a machine type; none if there is no such type.
func (sim *simulatedCluster) machineResources(machineType string) resources {
	for _, mt := range sim.cloud.Types {
		if mt.Name == machineType {
			return resources{mt.CPUs, mt.MemGB, mt.GPUs}
		}
	}
	return resources{}
}

// subtract takes the resources of one task of a job.
func (r *resources) subtract(s *protocol.JobSpec) {
	r.cpus, r.memGB, r.gpus = r.cpus-s.CPUs, r.memGB-s.MemGB, r.gpus-s.GPUs
}

// freeSlots returns how many tasks of a job fit the free resources of a machine; inZone counts
// the job's tasks in each zone.
func freeSlots(agent *agent.Agent, free resources, s *protocol.JobSpec, inZone map[string]int) int {
	if agent.PoweredOff || agent.Hung || agent.PreemptedAt != nil || agent.Spot && !s.Spot || s.Zone != "" && s.Zone != agent.Zone ||
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
