package coordination

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/protocol"
	"micaspindle/internal/standin/worker"
)

// What must hold at the end of every test, once all troubles are over: each accepted job is
// answered for, and none waits while a machine that fits has room and its team is under its
// limit.
const (
	// answeredWithin is how long no question about an accepted job may go unanswered.
	answeredWithin = 75 * time.Second
	// startedWithin is how long a job may wait though there is room.
	startedWithin = 90 * time.Second
)

// clearFaults ends whatever a test has left, and starts the controllers that are away.
func (w *simulatedCluster) clearFaults() {
	w.setOutage(false)
	w.withLock(func() {
		w.state.Refused, w.state.Stuck = nil, false
		w.cut, w.cuts, w.onRequest, w.onResponse, w.interceptCommands = nil, networkCuts{}, nil, nil, nil
		w.messageFaultRate, w.lateTransactionShare, w.duplicatedHeartbeatShare, w.delayedCommands, w.linkDelayMax = 0, 0, 0, nil, 0
		w.inboundLost, w.outboundLost, w.suppressNotices, w.cancelAtEnd = nil, nil, false, nil
		for _, wk := range w.workers {
			wk.Hung = false
		}
	})
	w.startMissingControllers()
}

// startMissingControllers starts the controllers that are away.
func (w *simulatedCluster) startMissingControllers() {
	for _, l := range []string{"n0", "n1", "n2"} {
		w.mu.Lock()
		away := w.controllers[l] == nil
		w.mu.Unlock()
		if away {
			w.startController(l)
		}
	}
}

// checkLiveness checks what must hold once the troubles are over.
func (w *simulatedCluster) checkLiveness() {
	w.clearFaults()
	begun := time.Now()
	open := map[string]bool{}
	if w.identities == nil { // else only those who may look are answered
		for _, id := range w.acceptedJobs() {
			open[id] = true
		}
	}
	since := map[starvedJob]time.Time{}
	for {
		now := time.Now()
		for _, id := range slices.Sorted(maps.Keys(open)) {
			if w.poll("", id) != "" {
				delete(open, id)
			} else if now.Sub(begun) > answeredWithin {
				w.t.Errorf("forgotten: no question about %s is answered for %s", id, answeredWithin)
				delete(open, id)
			}
		}
		w.withLock(func() {
			still := w.jobsWaitingDespiteRoom()
			maps.DeleteFunc(since, func(wt starvedJob, _ time.Time) bool { return !still[wt] })
			for wt := range still {
				if since[wt].IsZero() {
					since[wt] = now
				}
			}
		})
		for wt, at := range since {
			if now.Sub(at) > startedWithin {
				w.t.Errorf("%s waits for %s while %s has room", wt.job, now.Sub(at), wt.machine)
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
func (w *simulatedCluster) acceptedJobs() (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		if !w.jobs[id].acceptedAt.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// starvedJob is a job that waits, having come so far, while a machine has room for a task of it;
// of a gang, while machines have room for all.
type starvedJob struct {
	job     string
	placed  int
	machine string
}

// jobsWaitingDespiteRoom lists what waits though there is room. The lock is held.
func (w *simulatedCluster) jobsWaitingDespiteRoom() map[starvedJob]bool {
	list := map[starvedJob]bool{}
	if w.fails != nil {
		return list // who fails is held back
	}
	names := slices.Sorted(maps.Keys(w.workers))
	used := map[string]float64{}
	perZone := map[string]map[string]int{} // by job, how many of its tasks are in each zone
	free := make([]resources, len(names))
	for i, name := range names {
		wk := w.workers[name]
		free[i] = w.machineResources(wk.Type)
		for _, t := range wk.Tasks {
			if t.State == protocol.TaskEnded {
				continue
			}
			s := w.jobs[t.Job].spec
			used[s.Team] += s.CPUs
			free[i].subtract(s)
			if perZone[t.Job] == nil {
				perZone[t.Job] = map[string]int{}
			}
			perZone[t.Job][wk.Zone]++
		}
	}
	for id, uj := range w.jobs {
		s := uj.spec
		come := len(uj.tasksDone)
		for _, n := range perZone[id] {
			come += n
		}
		if uj.acceptedAt.IsZero() || uj.cancelRequested || uj.finalStatus != "" || come >= s.Tasks || !w.dependenciesDone(uj) || !w.withinTeamLimit(s, used[s.Team]) {
			continue
		}
		places, machines := 0, ""
		for i, name := range names {
			n := freeSlots(w.workers[name], free[i], s, perZone[id])
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

// dependenciesDone says whether all that a job needs is done. The lock is held.
func (w *simulatedCluster) dependenciesDone(uj *submittedJob) bool {
	for _, dep := range uj.spec.Dependencies {
		if dj := w.jobs[dep]; dj == nil || len(dj.tasksDone) < dj.spec.Tasks {
			return false
		}
	}
	return true
}

// withinTeamLimit says whether a team that uses so much has room for one more task, of a gang or
// a service for all.
func (w *simulatedCluster) withinTeamLimit(s *protocol.JobSpec, used float64) bool {
	tasks := 1
	if s.Gang || s.Standing {
		tasks = s.Tasks
	}
	for _, team := range w.settings.Params.Teams {
		if team.Name == s.Team && team.CPUsMax > 0 && used+s.CPUs*float64(tasks) > team.CPUsMax {
			return false
		}
	}
	return true
}

// resources is what a machine has to give.
type resources struct{ cpus, memGB, gpus float64 }

// machineResources is what a machine of a type has; nothing if there is no such type.
func (w *simulatedCluster) machineResources(machineType string) resources {
	for _, mt := range w.cloud.Types {
		if mt.Name == machineType {
			return resources{mt.CPUs, mt.MemGB, mt.GPUs}
		}
	}
	return resources{}
}

// subtract takes what one task of a job needs.
func (r *resources) subtract(s *protocol.JobSpec) {
	r.cpus, r.memGB, r.gpus = r.cpus-s.CPUs, r.memGB-s.MemGB, r.gpus-s.GPUs
}

// freeSlots is how many tasks of a job a machine has room for, of which so much is free;
// inZone is how many of the job's tasks are in each zone.
func freeSlots(wk *worker.Worker, free resources, s *protocol.JobSpec, inZone map[string]int) int {
	if wk.Dead || wk.Hung || wk.Notice != nil || wk.Spot && !s.Spot || s.Zone != "" && s.Zone != wk.Zone ||
		len(s.Types) > 0 && !slices.Contains(s.Types, wk.Type) {
		return 0
	}
	for zone := range inZone {
		if s.OneZone && zone != wk.Zone {
			return 0
		}
	}
	if s.Spread && inZone[wk.Zone] >= (s.Tasks+1)/2 {
		return 0
	}
	n := min(free.cpus/s.CPUs, free.memGB/s.MemGB)
	if s.GPUs > 0 {
		n = min(n, free.gpus/s.GPUs)
	}
	return max(0, int(n))
}
