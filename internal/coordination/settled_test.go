package coordination

import (
	"maps"
	"slices"
	"time"

	"micaspindle/internal/fake/agent"
	"micaspindle/internal/protocol"
)

// What must hold at the end of every test, once all troubles are over: each accepted job is
// answered for, and none waits while a machine that fits has room and its team is under its
// limit.
const (
	// knownWithin is how long no question about an accepted job may go unanswered.
	knownWithin = 75 * time.Second
	// startedWithin is how long a job may wait though there is room.
	startedWithin = 90 * time.Second
)

// endTroubles ends whatever a test has left, and starts the controllers that are away.
func (w *world) endTroubles() {
	w.outage(false)
	w.locked(func() {
		w.state.Refused, w.state.Stuck = nil, false
		w.cut, w.cuts, w.asked, w.answered, w.onOrders = nil, cuts{}, nil, nil, nil
		w.trouble, w.lateWrites, w.lateReports, w.lateCommands, w.slowLinks = 0, 0, 0, nil, 0
		w.deaf, w.mute, w.noNotices, w.atEnd = nil, nil, false, nil
		for _, wk := range w.workers {
			wk.Hung = false
		}
	})
	w.startAway()
}

// startAway starts the controllers that are away.
func (w *world) startAway() {
	for _, l := range []string{"n0", "n1", "n2"} {
		w.mu.Lock()
		away := w.nodes[l] == nil
		w.mu.Unlock()
		if away {
			w.start(l)
		}
	}
}

// checkSettled checks what must hold once the troubles are over.
func (w *world) checkSettled() {
	w.endTroubles()
	begun := time.Now()
	open := map[string]bool{}
	if w.ids == nil { // else only those who may look are answered
		for _, id := range w.accepted() {
			open[id] = true
		}
	}
	since := map[wait]time.Time{}
	for {
		now := time.Now()
		for _, id := range slices.Sorted(maps.Keys(open)) {
			if w.poll("", id) != "" {
				delete(open, id)
			} else if now.Sub(begun) > knownWithin {
				w.t.Errorf("forgotten: no question about %s is answered for %s", id, knownWithin)
				delete(open, id)
			}
		}
		w.locked(func() {
			still := w.waitingThoughRoom()
			maps.DeleteFunc(since, func(wt wait, _ time.Time) bool { return !still[wt] })
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

// accepted lists the jobs that were accepted.
func (w *world) accepted() (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		if !w.jobs[id].accepted.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// wait is a job that waits, having come so far, while a machine has room for a task of it;
// of a gang, while machines have room for all.
type wait struct {
	job     string
	come    int
	machine string
}

// waitingThoughRoom lists what waits though there is room. The lock is held.
func (w *world) waitingThoughRoom() map[wait]bool {
	list := map[wait]bool{}
	if w.fails != nil {
		return list // who fails is held back
	}
	names := slices.Sorted(maps.Keys(w.workers))
	used := map[string]float64{}
	perZone := map[string]map[string]int{} // by job, how many of its tasks are in each zone
	free := make([]resources, len(names))
	for i, name := range names {
		wk := w.workers[name]
		free[i] = w.size(wk.Type)
		for _, t := range wk.Tasks {
			if t.State == protocol.TaskEnded {
				continue
			}
			s := w.jobs[t.Job].spec
			used[s.Team] += s.CPUs
			free[i].take(s)
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
		if uj.accepted.IsZero() || uj.asked || uj.ended != "" || come >= s.Tasks || !w.mayRun(uj) || !w.underLimit(s, used[s.Team]) {
			continue
		}
		places, machines := 0, ""
		for i, name := range names {
			n := placesOn(w.workers[name], free[i], s, perZone[id])
			if places += n; n == 0 {
				continue
			}
			if machines += name + " "; !s.Gang {
				list[wait{id, come, name}] = true
			}
		}
		if s.Gang && places >= s.Tasks {
			list[wait{id, come, machines}] = true
		}
	}
	return list
}

// mayRun says whether all that a job needs is done. The lock is held.
func (w *world) mayRun(uj *userJob) bool {
	for _, dep := range uj.spec.Dependencies {
		if dj := w.jobs[dep]; dj == nil || len(dj.tasksDone) < dj.spec.Tasks {
			return false
		}
	}
	return true
}

// underLimit says whether a team that uses so much has room for one more task, of a gang or
// a service for all.
func (w *world) underLimit(s *protocol.JobSpec, used float64) bool {
	tasks := 1
	if s.Gang || s.Standing {
		tasks = s.Tasks
	}
	for _, team := range w.set.Params.Teams {
		if team.Name == s.Team && team.CPUsMax > 0 && used+s.CPUs*float64(tasks) > team.CPUsMax {
			return false
		}
	}
	return true
}

// resources is what a machine has to give.
type resources struct{ cpus, memGB, gpus float64 }

// size is what a machine of a type has; nothing if there is no such type.
func (w *world) size(machineType string) resources {
	for _, mt := range w.cloud.Types {
		if mt.Name == machineType {
			return resources{mt.CPUs, mt.MemGB, mt.GPUs}
		}
	}
	return resources{}
}

// take takes what one task of a job needs.
func (r *resources) take(s *protocol.JobSpec) {
	r.cpus, r.memGB, r.gpus = r.cpus-s.CPUs, r.memGB-s.MemGB, r.gpus-s.GPUs
}

// placesOn is how many tasks of a job a machine has room for, of which so much is free;
// inZone is how many of the job's tasks are in each zone.
func placesOn(wk *agent.Agent, free resources, s *protocol.JobSpec, inZone map[string]int) int {
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
