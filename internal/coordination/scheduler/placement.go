// Package scheduler decides which tasks of a partition run where. It gathers views of the
// state, has the pure packages queue, placement, preemption, fairshare and contention decide,
// and reserves what they say. It owns the corrections of run-time estimates and what is kept
// of the fair share.
package scheduler

import (
	"log/slog"
	"time"

	"micaspindle/internal/coordination/binpack"
	"micaspindle/internal/coordination/cluster"
	"micaspindle/internal/coordination/contention"
	"micaspindle/internal/coordination/placement"
	"micaspindle/internal/storage"
	"micaspindle/internal/telemetry"
)

// Scheduler decides which tasks of a partition run where: the order of its queue, placement,
// preemption and the fair share.
type Scheduler struct {
	*cluster.State
	store   *storage.Store
	log     *slog.Logger
	bounds  *telemetry.BoundReporter
	metrics *telemetry.Metrics

	agents Agents

	// Corrections are, by class, how far estimates of run times are off.
	Corrections      map[string]*runtimeCorrection
	ScarcityCache    binpack.Scarcity
	scarcityAt       time.Time
	queueBuffers     queueBuffers
	placementBuffers placementBuffers
	// ClassGroups numbers the classes as groups of the fair share, after the teams.
	ClassGroups map[string]int
}

// New makes one without collaborators.
func New(state *cluster.State, store *storage.Store, log *slog.Logger, bounds *telemetry.BoundReporter) *Scheduler {
	return &Scheduler{State: state, store: store, log: log, bounds: bounds,
		Corrections: map[string]*runtimeCorrection{}, ClassGroups: map[string]int{}}
}

// Connect gives it its collaborators, before the loop starts.
func (sched *Scheduler) Connect(agents Agents) {
	sched.agents = agents
}

// Observe makes it measure itself, before the loop starts.
func (sched *Scheduler) Observe(m *telemetry.Metrics) { sched.metrics = m }

// Place gives waiting tasks to machines by least contention: it gathers what the
// placement's room decides on, and reserves what that says.
func (sched *Scheduler) Place(p *cluster.Partition, now time.Time) {
	// The room for all of these is that of the last time.
	list, usable := sched.placementBuffers.jobs[:0], usableMachines{now: now, list: sched.placementBuffers.machines[:0], predict: sched.predictMachine}
	v := placement.View{Jobs: sched.placementBuffers.jobViews[:0], Machines: sched.placementBuffers.machineViews[:0], Scarcity: sched.Scarcity(now), Horizon: sched.horizon()}
	defer func() {
		sched.placementBuffers = placementBuffers{list, usable.list, v.Jobs, v.Machines}
		clear(list) // what ends is not held
		clear(usable.list)
		clear(v.Jobs)
	}()
	sched.updateFairShare(p, now)
	for _, j := range sched.Queue(p) {
		if len(j.Pending) == 0 || j.Ended || sched.FinalStates[j.Spec.ID] != "" || now.Before(j.BackoffUntil) {
			continue
		}
		if j.Spec.Gang && len(j.LiveAttempts) > 0 {
			continue // remnants of the last try are still on their machines
		}
		list, v.Jobs = append(list, j), append(v.Jobs, sched.placementView(j))
	}
	if len(list) == 0 {
		return
	}
	for _, m := range sched.Machines {
		if m.Record.Partition == p.Index && sched.Usable(m, now) {
			usable.list = append(usable.list, m)
			v.Machines = append(v.Machines, placement.Machine{Name: m.Name, Kind: cluster.MachineKindOf(m.Record), Free: m.Free(), FetchGBPerS: m.Type.FetchGBPerS, ReservedFor: m.ReservedFor})
		}
	}
	if len(v.Machines) == 0 {
		return
	}
	v.Of = usable
	for team, t := range sched.Settings.Params.Teams {
		v.Teams = append(v.Teams, placement.Team{Limit: cluster.TeamLimit(t), Used: p.Usage[team], Reserved: p.FairShare.ReservedQuotasOf(team)})
	}
	decided := placement.Decide(v)
	for _, i := range decided.Wanted {
		usable.list[i].IdleSince = now
	}
	for plan := decided.Start; len(plan) > 0; {
		at, n := plan[0].Job, 1
		for n < len(plan) && plan[n].Job == at {
			n++
		}
		sched.reserveAll(p, list[at], plan[:n], usable.list, now)
		plan = plan[n:]
	}
}

// placementBuffers is room for the views of placement.
type placementBuffers struct {
	jobs         []*cluster.Job
	machines     []*cluster.Machine
	jobViews     []placement.Job
	machineViews []placement.Machine
}

// longFetchShare is the share of a run from which on fetching its image counts as
// long.
const longFetchShare = 0.15

// placementView is what the placement of a job's tasks depends on.
func (sched *Scheduler) placementView(j *cluster.Job) placement.Job {
	s := j.Spec
	v := placement.Job{Waiting: len(j.Pending), Gang: s.Gang, Team: j.Team, Groups: j.Groups(), Class: j.ClassGroup, Resources: cluster.ResourcesOf(s), Constraints: cluster.ConstraintsOf(s), Types: sched.typeSet(s),
		Image: s.Image, ImageGB: s.ImageGB, LongS: longFetchShare * sched.EstimateS(s), OneZone: s.OneZone, Spread: s.Spread, Tasks: s.Tasks,
		Failed: j.FailedMachines, Prediction: sched.predictTask(s, 0)}
	if len(s.Dependencies) > 0 || !j.InheritedDeadline.IsZero() {
		v.LongS = 0 // in a pipeline, fetches add up
	}
	if s.OneZone || s.Spread {
		v.Zones = j.ZoneCounts()
	}
	return v
}

// usableMachines answers what placement asks of few of them.
type usableMachines struct {
	now  time.Time
	list []*cluster.Machine
	// predict says what runs on a machine now.
	predict func(m *cluster.Machine, now time.Time) *contention.Machine
}

// HasImage says whether a machine has an image or is fetching it already.
func (u usableMachines) HasImage(i int, image string) bool { return u.list[i].HasImage(image) }

// Running is what placement compares of a machine, kept until its attempts change or
// the prediction is old: not every task that is placed must predict every other one.
func (u usableMachines) Running(i int) *contention.Machine {
	m := u.list[i]
	if m.Prediction == nil || u.now.Sub(m.PredictedAt) >= cluster.QueueOrderTTL {
		m.Prediction = u.predict(m, u.now)
		m.PredictedAt = u.now
	}
	return m.Prediction
}

// predictMachine is what placement compares of a machine.
func (sched *Scheduler) predictMachine(m *cluster.Machine, now time.Time) *contention.Machine {
	return &contention.Machine{Tasks: sched.predictTasks(m, now), Limit: sched.Operator.LimitShare * m.Type.CPUs}
}

// reserveAll reserves what was decided for a job, as far as its records have room;
// of a gang all or nothing. What has none waits for the next round.
func (sched *Scheduler) reserveAll(p *cluster.Partition, j *cluster.Job, plan []placement.Assignment, machines []*cluster.Machine, now time.Time) {
	number := uint64(0)
	before := map[int]cluster.RunChunk{}
	if j.Spec.Gang {
		// All share one attempt number, by which workers know their mates.
		number = 1
		for i, ch := range j.Chunks {
			before[i] = *ch
			number = max(number, ch.LastNumber+1)
		}
	}
	for n, a := range plan {
		task, m, own := j.Pending[n], machines[a.Machine], number
		if !j.Spec.Gang {
			own = j.Chunk(task).LastNumber + 1
		}
		if sched.HasRecordRoom(j, task, own, m) {
			sched.Reserve(p, j, task, own, m, now)
			continue
		}
		if j.Spec.Gang {
			sched.unreserveGang(p, j, before)
			return
		}
		plan = plan[:n]
		break
	}
	j.Pending = j.Pending[len(plan):]
	if len(j.Pending) == 0 {
		j.Pending = nil
	}
}

// unreserveGang gives back what was reserved of a gang.
func (sched *Scheduler) unreserveGang(p *cluster.Partition, j *cluster.Job, before map[int]cluster.RunChunk) {
	for _, a := range j.LiveAttempts {
		delete(a.Machine.Attempts, cluster.AttemptKey(a.TaskName(), a.Number))
		a.Machine.RecountUsed()
		p.Usage[j.Team].Add(cluster.ResourcesOf(j.Spec), -1)
	}
	clear(j.LiveAttempts)
	for i, ch := range j.Chunks {
		old, existed := before[i]
		if !existed {
			delete(j.Chunks, i)
			continue
		}
		ch.Dirty, ch.Urgent, ch.LastNumber = old.Dirty, old.Urgent, old.LastNumber
	}
}

func (sched *Scheduler) Reserve(p *cluster.Partition, j *cluster.Job, task int, number uint64, m *cluster.Machine, now time.Time) {
	ch := j.Chunk(task)
	ch.LastNumber = max(ch.LastNumber, number)
	a := &cluster.Attempt{Job: j, TaskIndex: task, Number: number, Machine: m, Epoch: m.Epoch}
	j.LiveAttempts[task] = a
	m.Attempts[cluster.AttemptKey(a.TaskName(), a.Number)] = a
	p.Usage[j.Team].Add(cluster.ResourcesOf(j.Spec), 1)
	m.RecountUsed()
	m.IdleSince = now
	j.MarkDirty(task, true, now)
}
