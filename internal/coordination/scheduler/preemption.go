package scheduler

import (
	"cmp"
	"slices"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/placement"
	"micaspindle/internal/coordination/preemption"
	"micaspindle/internal/telemetry"
)

const preemptInterval = time.Second

// Preempt stops running work for jobs that must start now and find no room.
func (sched *Scheduler) Preempt(p *cluster.Partition, now time.Time) {
	if now.Sub(p.PreemptedAt) < preemptInterval {
		return
	}
	p.PreemptedAt = now
	list := sched.Queue(p)
	if !slices.ContainsFunc(list, func(j *cluster.Job) bool { return sched.mayPreemptFor(p, j, now) }) {
		return
	}
	list = append(list, p.IdleJobs...) // what runs may be stopped
	v, tasks := sched.partitionPreemptionView(p, list, now)
	for _, s := range preemption.Decide(v) {
		a, j := tasks[s.Task], list[s.For]
		reason := "a job must start"
		if s.OwnLimit {
			reason = "team's limit"
		}
		sched.log.Info("preempting", "task", a.TaskName(), "machine", a.Machine.Name, "for", j.Spec.ID, "reason", reason)
		sched.metrics.Count(telemetry.AttemptPreempted, 1)
		sched.agents.StopAttempt(a, a.Job.Spec.SaveS+1, now)
	}
}

// mayPreemptFor says whether a job must start now, before anything more is looked at.
func (sched *Scheduler) mayPreemptFor(p *cluster.Partition, j *cluster.Job, now time.Time) bool {
	if len(j.Pending) == 0 || j.Spec.Gang || j.Ended || now.Before(j.BackoffUntil) {
		return false
	}
	v, t := sched.preemptionView(j, now), sched.preemptionTeam(p, j.Team)
	return preemption.MustStart(&v, &t, now)
}

func (sched *Scheduler) preemptionView(j *cluster.Job, now time.Time) preemption.Job {
	due, _ := j.Deadline()
	return preemption.Job{Team: j.Team, Urgency: j.Urgency(), Resources: cluster.ResourcesOf(j.Spec), Constraints: cluster.ConstraintsOf(j.Spec), Since: j.ReadySince(), Due: due,
		EstimateS: sched.EstimateS(j.Spec), Waiting: len(j.Pending), Standing: j.Spec.Standing,
		Never: j.Spec.Gang || j.Ended || now.Before(j.BackoffUntil), Failed: j.FailedMachines, Groups: j.Groups()}
}

func (sched *Scheduler) preemptionTeam(p *cluster.Partition, team int) preemption.Team {
	t := sched.Settings.Params.Teams[team]
	return preemption.Team{Guarantee: binpack.Compute{CPUs: t.CPUs, GPUs: t.GPUs}, Limit: cluster.TeamLimit(t), Used: p.Usage[team]}
}

// partitionPreemptionView gathers a part with all that runs on its usable machines.
func (sched *Scheduler) partitionPreemptionView(p *cluster.Partition, list []*cluster.Job, now time.Time) (preemption.View, []*cluster.Attempt) {
	v := preemption.View{Now: now}
	for team := range sched.Settings.Params.Teams {
		v.Teams = append(v.Teams, sched.preemptionTeam(p, team))
	}
	index := make(map[*cluster.Job]int, len(list))
	note := func(j *cluster.Job) int {
		i, ok := index[j]
		if !ok {
			i = len(v.Jobs)
			index[j] = i
			v.Jobs = append(v.Jobs, sched.preemptionView(j, now))
		}
		return i
	}
	zones := map[string]bool{}
	for _, m := range sched.Machines {
		zones[m.Record.Zone] = true
	}
	for i, j := range list {
		note(j)
		if len(j.Pending) > 0 && (j.Spec.OneZone || j.Spec.Spread) {
			closed, in := map[string]bool{}, j.ZoneCounts()
			for zone := range zones {
				closed[zone] = !placement.Open(j.Spec.OneZone, j.Spec.Spread, j.Spec.Tasks, in, zone)
			}
			v.Jobs[i].Closed = closed
		}
	}
	var tasks []*cluster.Attempt
	known := map[*cluster.Attempt]int{}
	task := func(a *cluster.Attempt) int {
		i, ok := known[a]
		if !ok {
			i = len(tasks)
			known[a] = i
			tasks = append(tasks, a)
			v.Tasks = append(v.Tasks, preemption.Task{Job: note(a.Job), Name: a.TaskName(), Loss: sched.lostWork(a, now), Stopping: a.Stopping,
				ReservedFor: p.FairShare.ReservationOf(a)})
		}
		return i
	}
	for _, j := range list {
		for _, a := range j.Attempts() {
			if a.Live() {
				task(a)
			}
		}
	}
	for _, m := range sched.Machines {
		if m.Record.Partition != p.Index || !sched.Usable(m, now) {
			continue
		}
		view := preemption.Machine{Name: m.Name, Kind: cluster.MachineKindOf(m.Record), Free: m.Free()}
		for _, a := range m.SortedAttempts() {
			if a.Live() {
				view.Tasks = append(view.Tasks, task(a))
			}
		}
		v.Machines = append(v.Machines, view)
	}
	slices.SortFunc(v.Machines, func(a, b preemption.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return v, tasks
}

// lostWork is what stopping an attempt throws away, in CPU seconds. A service
// loses nothing: what its replicas have run has been of use.
func (sched *Scheduler) lostWork(a *cluster.Attempt, now time.Time) float64 {
	s := a.Job.Spec
	lost := 0.0
	if !s.Standing {
		lost = a.RunningS(now)
	}
	if s.CheckpointS > 0 {
		lost = min(lost, s.SaveS)
	}
	return lost * max(s.CPUs, 1)
}
